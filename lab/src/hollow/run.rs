//! One run: checks the machine, starts the processes, sends them the schedule, and computes figures from their reports.

use super::children::{ChildError, HollowProcess, ProcessGroup, ProcessMessage};
use super::clock;
use super::complete::{Complete, CompleteError, CompleteOptions, CompleteResult};
use super::deliveries::delivery_figures;
use super::figures::{figures, ConvergenceTracker, RunData};
use super::machine::{Requirements, TooLarge};
use super::protocol::{Begin, NodeToOpen};
use super::schedule::Schedule;
use super::settings::Hollow;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::runtime;
use tokio::task::LocalSet;
use tokio::time::{interval, timeout};

/// Number of nodes that all others contact when they join.
const SEEDS: usize = 3;
/// Time from sending the schedule to the origin of the run.
const START_DELAY: Duration = Duration::from_millis(500);
/// Time limit for all reports after the end of the schedule.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);
/// How often the lab checks whether it is to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Nodes of one run that share the first three bytes of their addresses.
const NODES_PER_SUBNET: usize = 250;

/// Why a run failed.
#[derive(Debug, Error)]
pub enum HollowError {
    /// The run exceeds the limits of this machine.
    #[error(transparent)]
    TooLarge(#[from] TooLarge),
    /// A hollow process failed.
    #[error(transparent)]
    Child(#[from] ChildError),
    /// The complete nodes failed.
    #[error(transparent)]
    Complete(#[from] CompleteError),
    /// A system call failed.
    #[error("{what}: {error}")]
    System {
        /// What the call was for.
        what: &'static str,
        /// The I/O error.
        error: io::Error,
    },
    /// Reports were not received in time.
    #[error("{missing} of {all} hollow processes did not report in time")]
    MissingReports {
        /// Number of missing reports.
        missing: usize,
        /// Number of processes.
        all: usize,
    },
}

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Number of hollow nodes.
    pub nodes: usize,
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Seed of random draws.
    pub seed: u64,
    /// All other settings.
    pub hollow: Hollow,
}

/// How runs are carried out.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Path of the lab's program, which also serves as hollow process.
    pub lab: PathBuf,
    /// Path of the node's program, for complete nodes.
    pub program: PathBuf,
    /// Directory of configurations and logs of complete nodes.
    pub folder: PathBuf,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct HollowRun {
    /// Number of hollow nodes.
    pub nodes: usize,
    /// Number of hollow processes.
    pub processes: usize,
    /// Number of complete nodes.
    pub complete: usize,
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Seed of random draws.
    pub seed: u64,
    /// Why the run is void, if it is.
    pub void: Option<String>,
    /// Whether the run was stopped early.
    pub interrupted: bool,
    /// Figures by name; a figure whose event never occurred is missing.
    pub figures: BTreeMap<String, f64>,
}

impl RunPlan {
    /// Number of hollow processes.
    pub fn processes(&self) -> usize {
        self.hollow.processes.min(self.nodes).max(1)
    }

    /// Resources that the run needs.
    pub fn requirements(&self) -> Requirements {
        Requirements::new(self.nodes, self.processes(), self.hollow.complete)
    }
}

/// Runs it. `stop` ends it early.
pub fn run(plan: &RunPlan, options: &RunOptions, stop: &Arc<AtomicBool>) -> Result<HollowRun, HollowError> {
    plan.requirements().check()?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| HollowError::System { what: "cannot create the runtime", error })?;
    LocalSet::new().block_on(&runtime, run_cluster(plan, options, stop))
}

async fn run_cluster(
    plan: &RunPlan,
    options: &RunOptions,
    stop: &Arc<AtomicBool>,
) -> Result<HollowRun, HollowError> {
    let schedule = Schedule::new(&plan.hollow, plan.nodes);
    let (mut processes, addresses) = open(plan, options).await?;
    let seeds: Vec<usize> = (0..SEEDS.min(plan.nodes)).collect();
    let complete = start_complete(plan, options, &schedule, &addresses, &seeds, stop).await?;
    let begin = Begin {
        origin: clock::monotonic_us() + START_DELAY.as_micros() as u64,
        cluster: "lab".to_owned(),
        complete: complete.as_ref().map(|complete| complete.addresses.clone()).unwrap_or_default(),
        addresses,
        seeds,
        probe_every: plan.hollow.probe_every.as_micros() as u64,
        probe_timeout: plan.hollow.probe_timeout.as_micros() as u64,
        dissemination: plan.hollow.publish.is_some(),
        map: plan.hollow.map,
        loss: plan.loss,
        seed: plan.seed,
        events: schedule.events.clone(),
        end: schedule.end,
    };
    for process in &mut processes {
        process.begin(begin.clone()).await?;
    }
    let collected = collect(plan, processes, &schedule, stop).await;
    if !matches!(collected, Ok(Some(_))) {
        stop.store(true, Ordering::Relaxed);
    }
    // Wait for the complete nodes in any case, so that none outlives the run.
    let ended = complete.map(|complete| complete.join(begin.origin)).transpose();
    let data = collected?;
    Ok(judge(plan, &schedule, data, ended?))
}

/// Starts the processes and opens their nodes' sockets. Returns the processes and the address of each node.
async fn open(
    plan: &RunPlan,
    options: &RunOptions,
) -> Result<(Vec<HollowProcess>, Vec<SocketAddr>), HollowError> {
    let count = plan.processes();
    let mut processes = Vec::new();
    for process in 0..count {
        processes.push(HollowProcess::start(&options.lab, process)?);
    }
    let mut addresses = vec![SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)); plan.nodes];
    for (index, process) in processes.iter_mut().enumerate() {
        // Round-robin, so that the loss of a zone affects all processes alike.
        let nodes_of_process: Vec<usize> = (index..plan.nodes).step_by(count).collect();
        let nodes =
            nodes_of_process.iter().map(|&node| NodeToOpen { node, address: node_address(node) }).collect();
        let opened = process.open(nodes).await?;
        for (node, address) in nodes_of_process.into_iter().zip(opened) {
            addresses[node] = address;
        }
    }
    Ok((processes, addresses))
}

/// An address that is unique within this run. Concurrent runs that share an address use different ports.
fn node_address(node: usize) -> Ipv4Addr {
    let [.., high, low] = std::process::id().wrapping_mul(0x9e37_79b1).to_be_bytes();
    let (subnet, host) = (node / NODES_PER_SUBNET, node % NODES_PER_SUBNET);
    Ipv4Addr::new(127, 1 + high % 254, low.wrapping_add(subnet as u8), 1 + host as u8)
}

async fn start_complete(
    plan: &RunPlan,
    options: &RunOptions,
    schedule: &Schedule,
    addresses: &[SocketAddr],
    seeds: &[usize],
    stop: &Arc<AtomicBool>,
) -> Result<Option<Complete>, HollowError> {
    if plan.hollow.complete == 0 {
        return Ok(None);
    }
    let seeds = seeds.iter().map(|seed| addresses[*seed]).collect();
    let options = CompleteOptions {
        program: options.program.clone(),
        lab: options.lab.clone(),
        folder: options.folder.clone(),
        lateness: plan.hollow.lateness,
        location: plan.hollow.map.place(0).location(),
        probe_every: plan.hollow.probe_every,
        probe_timeout: plan.hollow.probe_timeout,
        dissemination: plan.hollow.publish.is_some(),
    };
    let nodes = plan.hollow.complete;
    let started =
        Complete::start(nodes, schedule.end, plan.loss, plan.seed, seeds, options, stop.clone()).await?;
    Ok(Some(started))
}

/// Collects the messages of the processes until their end; `None` if the run was stopped early.
async fn collect(
    plan: &RunPlan,
    processes: Vec<HollowProcess>,
    schedule: &Schedule,
    stop: &AtomicBool,
) -> Result<Option<RunData>, HollowError> {
    let all = processes.len();
    let mut data = RunData { nodes: plan.nodes, complete: plan.hollow.complete, ..RunData::default() };
    let mut group = ProcessGroup::new(processes);
    let mut tracker = ConvergenceTracker::new(all, plan.hollow.complete);
    let limit = START_DELAY + Duration::from_micros(schedule.end) + REPORT_TIMEOUT;
    let receive = async {
        let mut stop_timer = interval(STOP_POLL_INTERVAL);
        while data.reports.len() < all {
            tokio::select! {
                Some(event) = group.next() => match event.message? {
                    ProcessMessage::Views(views) => {
                        data.views.push((event.process, views));
                        if tracker.update(event.process, views) && plan.hollow.end_when_met {
                            group.end().await;
                        }
                    }
                    ProcessMessage::Report(report) => data.reports.push(*report),
                },
                _ = stop_timer.tick() => if stop.load(Ordering::Relaxed) {
                    return Ok(false);
                },
            }
        }
        Ok::<_, ChildError>(true)
    };
    match timeout(limit, receive).await {
        Ok(Ok(true)) => Ok(Some(data)),
        Ok(Ok(false)) => Ok(None),
        Ok(Err(error)) => Err(error.into()),
        Err(_) => Err(HollowError::MissingReports { missing: all - data.reports.len(), all }),
    }
}

fn judge(
    plan: &RunPlan,
    schedule: &Schedule,
    data: Option<RunData>,
    complete: Option<CompleteResult>,
) -> HollowRun {
    let mut run = HollowRun {
        nodes: plan.nodes,
        processes: plan.processes(),
        complete: plan.hollow.complete,
        loss: plan.loss,
        seed: plan.seed,
        void: None,
        interrupted: data.is_none(),
        figures: BTreeMap::new(),
    };
    let Some(data) = data else { return run };
    run.figures = figures(schedule, &data);
    run.void = void_reason(plan, &run.figures, &data);
    if plan.hollow.publish.is_some() {
        let received = complete.iter().flat_map(|complete| &complete.received);
        run.figures.extend(delivery_figures(schedule, &data, received));
    }
    if let Some(complete) = complete {
        let void = complete.run.void.clone().map(|reason| format!("the complete nodes' run: {reason}"));
        run.void = run.void.or(void);
        run.figures.extend(complete_figures(&complete));
    }
    run
}

fn void_reason(plan: &RunPlan, figures: &BTreeMap<String, f64>, data: &RunData) -> Option<String> {
    let bound = plan.hollow.lateness.as_secs_f64() * 1_000.0;
    let figure = |name: &str| figures.get(name).copied().unwrap_or(f64::INFINITY);
    let (p99, max) = (figure("late_p99_ms"), figure("late_max_ms"));
    if p99 > bound || max > 10.0 * bound {
        return Some(format!(
            "the lab was late: {p99:.1} ms at the 99th percentile, {max:.1} ms at the most, over its bound of {bound} ms and ten times that"
        ));
    }
    let overflowed: u64 = data.reports.iter().map(|report| report.overflowed).sum();
    (overflowed > 0)
        .then(|| format!("{overflowed} datagrams were dropped over the limit of delayed datagrams"))
}

fn complete_figures(result: &CompleteResult) -> Vec<(String, f64)> {
    let names = [
        ("served", "complete_served"),
        ("rules", "complete_rules"),
        ("cpu_share", "complete_core_fraction"),
        ("memory_mb", "complete_memory_mb"),
    ];
    let mut figures: Vec<_> = names
        .iter()
        .filter_map(|(from, to)| Some(((*to).to_owned(), *result.run.figures.get(*from)?)))
        .collect();
    figures.extend(result.min_nodes_seen.map(|nodes| ("complete_see".to_owned(), f64::from(nodes))));
    figures
}

#[cfg(test)]
mod tests;
