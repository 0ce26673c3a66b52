//! Applies faults to node processes, links and discovery.

use super::lab::Lab;
use super::{clients, nodes};
use crate::experiment::{FaultKind, RemoteKind};
use crate::judge::NodeState;
use crate::model::{micros, Micros, SECOND};
use crate::plan::FRONT_DRAIN_DELAY;
use nix::sys::signal::Signal;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

/// Period of the stop/continue cycle of a slowed process.
const SLOW_PERIOD: Duration = Duration::from_millis(100);
/// Effects of a fault on a node's connections may show up to this much later.
const RECOVERY_MARGIN: Micros = SECOND / 2;
/// Time limit for a restarted node to become ready.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);

/// Applies the beginning, a step or the end of a fault.
pub fn apply(lab: &Rc<Lab>, fault_index: usize, begins: bool, step: usize) {
    let plan = lab.plan.clone();
    let fault = &plan.experiment.fault[fault_index];
    let affected = plan.affected(fault_index, plan.experiment.deployment.nodes as usize, fault.part);
    match fault.what {
        FaultKind::NodeKilled => affected.into_iter().for_each(|node| match begins {
            true => spawn_tracked(lab, kill(lab.clone(), node)),
            false => spawn_tracked(lab, start(lab.clone(), node)),
        }),
        FaultKind::NodeTerminated => affected.into_iter().for_each(|node| match begins {
            true => spawn_tracked(lab, terminate(lab.clone(), node)),
            false => spawn_tracked(lab, start(lab.clone(), node)),
        }),
        FaultKind::NodesRolled if begins => {
            if let Some(&node) = affected.get(step) {
                let shared_lab = lab.clone();
                spawn_tracked(lab, async move {
                    terminate(shared_lab.clone(), node).await;
                    start(shared_lab, node).await;
                });
            }
        }
        FaultKind::NodePaused => affected.into_iter().for_each(|node| {
            set_disturbed(lab, node, begins);
            let state = if begins { NodeState::Paused } else { NodeState::Serving };
            lab.state.borrow_mut().record.node_state_changed(node, state, lab.now());
            signal(lab, node, if begins { Signal::SIGSTOP } else { Signal::SIGCONT });
        }),
        FaultKind::NodeSlow if begins => {
            let until = plan.lead() + micros(fault.to);
            for node in affected {
                spawn_tracked(lab, slow(lab.clone(), node, fault.size, until));
            }
        }
        FaultKind::NodeReloaded if begins => {
            for node in affected {
                if let Err(error) = nodes::move_agent(lab, node) {
                    lab.state
                        .borrow_mut()
                        .void_reason
                        .get_or_insert(format!("n{node} cannot be reloaded: {error}"));
                }
                // A node that is still starting reads the new file anyway.
                if lab.state.borrow().nodes[node].ready {
                    signal(lab, node, Signal::SIGHUP);
                }
            }
        }
        FaultKind::NodeClock => {
            for node in affected {
                lab.state.borrow_mut().nodes[node].clock_offset_s = if begins { fault.size } else { 0.0 };
            }
        }
        FaultKind::Link => {
            let active = begins && step.is_multiple_of(2);
            let state = &mut *lab.state.borrow_mut();
            let Some(affected) = state.links.set_fault(&plan, fault_index, active) else { return };
            state.refresh_links();
            if affected.remote == RemoteKind::Client {
                let until = if begins { Micros::MAX } else { lab.now() + RECOVERY_MARGIN };
                affected.nodes.iter().for_each(|&node| state.nodes[node].disturbed_until = until);
            }
            if active && fault.link.as_ref().is_some_and(|link| link.reset) {
                state.reset_links(&affected);
            }
        }
        FaultKind::DiscoveryLate | FaultKind::DiscoveryLoses => {
            lab.state.borrow_mut().discovery.apply_fault(&plan, fault, begins);
        }
        // Faults that end by themselves, and those that the fleet model handles.
        _ => {}
    }
}

/// Spawns a task that the run waits for before it ends.
fn spawn_tracked(lab: &Rc<Lab>, work: impl Future<Output = ()> + 'static) {
    lab.state.borrow_mut().active_tasks += 1;
    let lab = lab.clone();
    spawn_local(async move {
        work.await;
        lab.state.borrow_mut().active_tasks -= 1;
    });
}

/// Marks a node as disturbed by a fault, or as disturbed only for the recovery margin once the fault ends.
fn set_disturbed(lab: &Lab, node: usize, begins: bool) {
    let until = if begins { Micros::MAX } else { lab.now() + RECOVERY_MARGIN };
    lab.state.borrow_mut().nodes[node].disturbed_until = until;
}

fn signal(lab: &Lab, node: usize, signal: Signal) {
    if let Some(process) = &lab.state.borrow().nodes[node].process {
        process.signal(signal);
    }
}

async fn kill(lab: Rc<Lab>, node: usize) {
    set_disturbed(&lab, node, true);
    let process = {
        let state = &mut *lab.state.borrow_mut();
        state.record.node_state_changed(node, NodeState::Down, lab.now());
        let node = &mut state.nodes[node];
        node.died = Some(lab.now());
        node.idle_connections.clear();
        node.accumulate_usage();
        node.process.take()
    };
    if let Some(mut process) = process {
        process.kill().await;
    }
}

/// Sends SIGTERM as in a planned restart, and kills the node if it does not exit in time.
async fn terminate(lab: Rc<Lab>, node: usize) {
    signal(&lab, node, Signal::SIGTERM);
    lab.state.borrow_mut().record.node_state_changed(node, NodeState::Leaving, lab.now());
    let signalled_at = tokio::time::Instant::now();
    let kill_at = signalled_at + Duration::from_micros(lab.plan.kill_delay());
    sleep(Duration::from_micros(FRONT_DRAIN_DELAY)).await;
    let process = {
        let state = &mut *lab.state.borrow_mut();
        let node = &mut state.nodes[node];
        node.ready = false;
        node.accumulate_usage();
        node.process.take()
    };
    let Some(mut process) = process else { return };
    let limit = kill_at.saturating_duration_since(tokio::time::Instant::now());
    let ended = process.wait_or_kill(limit).await;
    lab.state.borrow_mut().record.node_state_changed(node, NodeState::Down, lab.now());
    match ended {
        Some(status) if status.success() => {}
        ended => {
            let how = ended.map_or_else(
                || "did not exit in time and was killed".to_owned(),
                |status| format!("ended with {status}"),
            );
            let state = &mut *lab.state.borrow_mut();
            let what = || format!("n{node}, after SIGTERM, {how}: {}", process.log_tail());
            state.record.violation(lab.now(), "crash", what);
        }
    }
}

async fn start(lab: Rc<Lab>, node: usize) {
    match nodes::start(&lab, node) {
        Ok(()) => {
            if clients::wait_until_ready(&lab, node, STARTUP_TIMEOUT).await {
                let state = &mut *lab.state.borrow_mut();
                state.nodes[node].ready = true;
                state.nodes[node].died = None;
                state.nodes[node].disturbed_until = lab.now();
                state.record.node_state_changed(node, NodeState::Serving, lab.now());
            }
        }
        Err(error) => {
            lab.state.borrow_mut().void_reason.get_or_insert(error.to_string());
        }
    }
}

/// Limits a process to a share of the time by alternating SIGSTOP and SIGCONT.
async fn slow(lab: Rc<Lab>, node: usize, share: f64, until: Micros) {
    set_disturbed(&lab, node, true);
    lab.state.borrow_mut().record.node_state_changed(node, NodeState::Slow, lab.now());
    let runs = SLOW_PERIOD.mul_f64(share.clamp(0.01, 1.0));
    let mut next = tokio::time::Instant::now();
    while lab.now() < until {
        signal(&lab, node, Signal::SIGSTOP);
        sleep_until(next + SLOW_PERIOD - runs).await;
        signal(&lab, node, Signal::SIGCONT);
        next += SLOW_PERIOD;
        sleep_until(next).await;
    }
    set_disturbed(&lab, node, false);
    lab.state.borrow_mut().record.node_state_changed(node, NodeState::Serving, lab.now());
}
