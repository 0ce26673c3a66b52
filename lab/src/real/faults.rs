//! Faults that meet processes, links and discovery.

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

/// Turns of a process that gets a share of its time.
const TURN: Duration = Duration::from_millis(100);
/// What a fault did to a node's connections may show this much later.
const AFTERMATH: Micros = SECOND / 2;
/// A node that is started again has this long to be ready.
const READY: Duration = Duration::from_secs(30);

/// A fault begins, goes on or ends.
pub fn meet(lab: &Rc<Lab>, trouble: usize, begins: bool, step: usize) {
    let plan = lab.plan.clone();
    let fault = &plan.experiment.fault[trouble];
    let met = plan.affected(trouble, plan.experiment.deployment.nodes as usize, fault.part);
    match fault.what {
        FaultKind::NodeKilled => met.into_iter().for_each(|node| match begins {
            true => under_way(lab, kill(lab.clone(), node)),
            false => under_way(lab, start(lab.clone(), node)),
        }),
        FaultKind::NodeTerminated => met.into_iter().for_each(|node| match begins {
            true => under_way(lab, terminate(lab.clone(), node)),
            false => under_way(lab, start(lab.clone(), node)),
        }),
        FaultKind::NodesRolled if begins => {
            if let Some(&node) = met.get(step) {
                let held = lab.clone();
                under_way(lab, async move {
                    terminate(held.clone(), node).await;
                    start(held, node).await;
                });
            }
        }
        FaultKind::NodePaused => met.into_iter().for_each(|node| {
            trouble_node(lab, node, begins);
            let doing = if begins { NodeState::Paused } else { NodeState::Serving };
            lab.state.borrow_mut().record.node_state_changed(node, doing, lab.now());
            signal(lab, node, if begins { Signal::SIGSTOP } else { Signal::SIGCONT });
        }),
        FaultKind::NodeSlow if begins => {
            let until = plan.lead() + micros(fault.to);
            for node in met {
                under_way(lab, slow(lab.clone(), node, fault.size, until));
            }
        }
        FaultKind::NodeReloaded if begins => {
            for node in met {
                if let Err(error) = nodes::move_agent(lab, node) {
                    lab.state.borrow_mut().void.get_or_insert(format!("n{node} cannot be reloaded: {error}"));
                }
                // One that is only just starting reads the new file.
                if lab.state.borrow().nodes[node].ready {
                    signal(lab, node, Signal::SIGHUP);
                }
            }
        }
        FaultKind::NodeClock => {
            for node in met {
                lab.state.borrow_mut().nodes[node].clock_s = if begins { fault.size } else { 0.0 };
            }
        }
        FaultKind::Link => {
            let on = begins && step.is_multiple_of(2);
            let state = &mut *lab.state.borrow_mut();
            let Some(met) = state.links.set_fault(&plan, trouble, on) else { return };
            state.refresh_links();
            if met.remote == RemoteKind::Client {
                let until = if begins { Micros::MAX } else { lab.now() + AFTERMATH };
                met.nodes.iter().for_each(|&node| state.nodes[node].troubled = until);
            }
            if on && fault.link.as_ref().is_some_and(|link| link.reset) {
                state.reset_links(&met);
            }
        }
        FaultKind::DiscoveryLate | FaultKind::DiscoveryLoses => {
            lab.state.borrow_mut().discovery.apply_fault(&plan, fault, begins);
        }
        // The end of a fault that ends by itself, and those of the model.
        _ => {}
    }
}

/// Goes on beside the run, which is not over before.
fn under_way(lab: &Rc<Lab>, work: impl Future<Output = ()> + 'static) {
    lab.state.borrow_mut().under_way += 1;
    let lab = lab.clone();
    spawn_local(async move {
        work.await;
        lab.state.borrow_mut().under_way -= 1;
    });
}

/// Something meets a node's process, or no longer does.
fn trouble_node(lab: &Lab, node: usize, begins: bool) {
    let until = if begins { Micros::MAX } else { lab.now() + AFTERMATH };
    lab.state.borrow_mut().nodes[node].troubled = until;
}

fn signal(lab: &Lab, node: usize, signal: Signal) {
    if let Some(process) = &lab.state.borrow().nodes[node].process {
        process.signal(signal);
    }
}

async fn kill(lab: Rc<Lab>, node: usize) {
    trouble_node(&lab, node, true);
    let process = {
        let state = &mut *lab.state.borrow_mut();
        state.record.node_state_changed(node, NodeState::Down, lab.now());
        let node = &mut state.nodes[node];
        node.died = Some(lab.now());
        node.idle.clear();
        node.account();
        node.process.take()
    };
    if let Some(mut process) = process {
        process.kill().await;
    }
}

/// Tells a node to go, as at a planned restart, and kills it when it has not.
async fn terminate(lab: Rc<Lab>, node: usize) {
    signal(&lab, node, Signal::SIGTERM);
    lab.state.borrow_mut().record.node_state_changed(node, NodeState::Leaving, lab.now());
    let told = tokio::time::Instant::now();
    let kill_at = told + Duration::from_micros(lab.plan.kill_delay());
    sleep(Duration::from_micros(FRONT_DRAIN_DELAY)).await;
    let process = {
        let state = &mut *lab.state.borrow_mut();
        let node = &mut state.nodes[node];
        node.ready = false;
        node.account();
        node.process.take()
    };
    let Some(mut process) = process else { return };
    let limit = kill_at.saturating_duration_since(tokio::time::Instant::now());
    let ended = process.finish(limit).await;
    lab.state.borrow_mut().record.node_state_changed(node, NodeState::Down, lab.now());
    match ended {
        Some(status) if status.success() => {}
        ended => {
            let how =
                ended.map_or_else(|| "had to be killed".to_owned(), |status| format!("ended with {status}"));
            let state = &mut *lab.state.borrow_mut();
            let what = || format!("n{node}, told to go, {how}: {}", process.last_words());
            state.record.violation(lab.now(), "crash", what);
        }
    }
}

async fn start(lab: Rc<Lab>, node: usize) {
    match nodes::start(&lab, node) {
        Ok(()) => {
            if clients::wait_until_healthy(&lab, node, READY).await {
                let state = &mut *lab.state.borrow_mut();
                state.nodes[node].ready = true;
                state.nodes[node].died = None;
                state.nodes[node].troubled = lab.now();
                state.record.node_state_changed(node, NodeState::Serving, lab.now());
            }
        }
        Err(error) => {
            lab.state.borrow_mut().void.get_or_insert(error.to_string());
        }
    }
}

/// Gives a process a share of its time alone, by turns.
async fn slow(lab: Rc<Lab>, node: usize, share: f64, until: Micros) {
    trouble_node(&lab, node, true);
    lab.state.borrow_mut().record.node_state_changed(node, NodeState::Slow, lab.now());
    let runs = TURN.mul_f64(share.clamp(0.01, 1.0));
    let mut next = tokio::time::Instant::now();
    while lab.now() < until {
        signal(&lab, node, Signal::SIGSTOP);
        sleep_until(next + TURN - runs).await;
        signal(&lab, node, Signal::SIGCONT);
        next += TURN;
        sleep_until(next).await;
    }
    trouble_node(&lab, node, false);
    lab.state.borrow_mut().record.node_state_changed(node, NodeState::Serving, lab.now());
}
