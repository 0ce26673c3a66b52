//! One run: the machine is asked, processes are started and told what to do, and what they tell becomes figures.

use super::children::{ChildError, HollowProcess, Listening, What};
use super::clock;
use super::complete::{Complete, CompleteEnd, CompleteError, CompleteOptions};
use super::deliveries::delivery_figures;
use super::figures::{figures, Told, Watch};
use super::machine::{Need, TooLarge};
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

/// Nodes that all others ask when they join.
const SEEDS: usize = 3;
/// Between the word to begin and the beginning.
const AHEAD: Duration = Duration::from_millis(500);
/// After the end of its schedule a run has this long to tell everything.
const TELL: Duration = Duration::from_secs(30);
/// How often the lab looks whether it is to stop.
const STOP: Duration = Duration::from_millis(100);
/// Nodes of one run that share the first three bytes of their addresses.
const PER_SUBNET: usize = 250;

/// Why a run came to nothing.
#[derive(Debug, Error)]
pub enum HollowError {
    /// This machine cannot hold it.
    #[error(transparent)]
    TooLarge(#[from] TooLarge),
    /// A hollow process failed.
    #[error(transparent)]
    Child(#[from] ChildError),
    /// The complete nodes failed.
    #[error(transparent)]
    Complete(#[from] CompleteError),
    /// The system refused something.
    #[error("{what}: {error}")]
    System {
        /// What was tried.
        what: &'static str,
        /// Why it failed.
        error: io::Error,
    },
    /// The processes did not tell everything in time.
    #[error("{missing} of {all} hollow processes have not told what they measured")]
    Silent {
        /// How many.
        missing: usize,
        /// Of how many.
        all: usize,
    },
}

/// What one run is.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Hollow nodes.
    pub nodes: usize,
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// For the random draws.
    pub seed: u64,
    /// All else.
    pub hollow: Hollow,
}

/// How runs are carried out.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The lab's own program, which becomes the hollow processes.
    pub lab: PathBuf,
    /// The node's program, for complete nodes.
    pub program: PathBuf,
    /// Where configurations and logs of complete nodes go.
    pub folder: PathBuf,
}

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct HollowRun {
    /// Hollow nodes.
    pub nodes: usize,
    /// Processes that shared them.
    pub processes: usize,
    /// Complete nodes beside them.
    pub complete: usize,
    /// Part of the datagrams that were lost.
    pub loss: f64,
    /// The seed.
    pub seed: u64,
    /// Why it counts for nothing, if it does.
    pub void: Option<String>,
    /// It was ended before its end.
    pub interrupted: bool,
    /// What it came to; what was not reached is missing.
    pub figures: BTreeMap<String, f64>,
}

impl RunPlan {
    /// Processes of this run.
    pub fn processes(&self) -> usize {
        self.hollow.processes.min(self.nodes).max(1)
    }

    /// What it needs of the machine.
    pub fn need(&self) -> Need {
        Need::new(self.nodes, self.processes(), self.hollow.complete)
    }
}

/// Runs it. `stop` ends it early.
pub fn run(plan: &RunPlan, options: &RunOptions, stop: &Arc<AtomicBool>) -> Result<HollowRun, HollowError> {
    plan.need().check()?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| HollowError::System { what: "a runtime", error })?;
    LocalSet::new().block_on(&runtime, carry_out(plan, options, stop))
}

async fn carry_out(
    plan: &RunPlan,
    options: &RunOptions,
    stop: &Arc<AtomicBool>,
) -> Result<HollowRun, HollowError> {
    let schedule = Schedule::new(&plan.hollow, plan.nodes);
    let (mut processes, addresses) = open(plan, options).await?;
    let seeds: Vec<usize> = (0..SEEDS.min(plan.nodes)).collect();
    let complete = start_complete(plan, options, &schedule, &addresses, &seeds, stop).await?;
    let begin = Begin {
        origin: clock::monotonic() + AHEAD.as_micros() as u64,
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
    let heard = listen(plan, processes, &schedule, stop).await;
    if !matches!(heard, Ok(Some(_))) {
        stop.store(true, Ordering::Relaxed);
    }
    // They end in any case before the lab goes on.
    let ended = complete.map(|complete| complete.end(begin.origin)).transpose();
    let told = heard?;
    Ok(judge(plan, &schedule, told, ended?))
}

/// Starts the processes and has them open their nodes' sockets: the processes, and where each node is reached.
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
    for (place, process) in processes.iter_mut().enumerate() {
        // In turn: a zone's loss meets all processes alike.
        let held: Vec<usize> = (place..plan.nodes).step_by(count).collect();
        let nodes = held.iter().map(|&node| NodeToOpen { node, address: own_address(node) }).collect();
        let opened = process.open(nodes).await?;
        for (node, address) in held.into_iter().zip(opened) {
            addresses[node] = address;
        }
    }
    Ok((processes, addresses))
}

/// An address that no other node of this run has. Runs that share one have other ports.
fn own_address(node: usize) -> Ipv4Addr {
    let [.., high, low] = std::process::id().wrapping_mul(0x9e37_79b1).to_be_bytes();
    let (subnet, host) = (node / PER_SUBNET, node % PER_SUBNET);
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
    let how = CompleteOptions {
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
        Complete::start(nodes, schedule.end, plan.loss, plan.seed, seeds, how, stop.clone()).await?;
    Ok(Some(started))
}

/// Hears the processes to their end; `None` where the run was ended before.
async fn listen(
    plan: &RunPlan,
    processes: Vec<HollowProcess>,
    schedule: &Schedule,
    stop: &AtomicBool,
) -> Result<Option<Told>, HollowError> {
    let all = processes.len();
    let mut told = Told { nodes: plan.nodes, complete: plan.hollow.complete, ..Told::default() };
    let mut listening = Listening::to(processes);
    let mut watch = Watch::new(all, plan.hollow.complete);
    let limit = AHEAD + Duration::from_micros(schedule.end) + TELL;
    let hear = async {
        let mut look = interval(STOP);
        while told.reports.len() < all {
            tokio::select! {
                Some(heard) = listening.next() => match heard.what? {
                    What::Views(views) => {
                        told.views.push((heard.process, views));
                        if watch.hear(heard.process, views) && plan.hollow.end_when_met {
                            listening.end().await;
                        }
                    }
                    What::Report(report) => told.reports.push(*report),
                },
                _ = look.tick() => if stop.load(Ordering::Relaxed) {
                    return Ok(false);
                },
            }
        }
        Ok::<_, ChildError>(true)
    };
    match timeout(limit, hear).await {
        Ok(Ok(true)) => Ok(Some(told)),
        Ok(Ok(false)) => Ok(None),
        Ok(Err(error)) => Err(error.into()),
        Err(_) => Err(HollowError::Silent { missing: all - told.reports.len(), all }),
    }
}

fn judge(
    plan: &RunPlan,
    schedule: &Schedule,
    told: Option<Told>,
    complete: Option<CompleteEnd>,
) -> HollowRun {
    let mut run = HollowRun {
        nodes: plan.nodes,
        processes: plan.processes(),
        complete: plan.hollow.complete,
        loss: plan.loss,
        seed: plan.seed,
        void: None,
        interrupted: told.is_none(),
        figures: BTreeMap::new(),
    };
    let Some(told) = told else { return run };
    run.figures = figures(schedule, &told);
    run.void = why_void(plan, &run.figures, &told);
    if plan.hollow.publish.is_some() {
        let of_complete = complete.iter().flat_map(|complete| &complete.received);
        run.figures.extend(delivery_figures(schedule, &told, of_complete));
    }
    if let Some(complete) = complete {
        let void = complete.run.void.clone().map(|why| format!("the complete nodes' run: {why}"));
        run.void = run.void.or(void);
        run.figures.extend(figures_of_complete(&complete));
    }
    run
}

fn why_void(plan: &RunPlan, figures: &BTreeMap<String, f64>, told: &Told) -> Option<String> {
    let bound = plan.hollow.lateness.as_secs_f64() * 1_000.0;
    let figure = |name: &str| figures.get(name).copied().unwrap_or(f64::INFINITY);
    let (p99, most) = (figure("late_p99_ms"), figure("late_max_ms"));
    if p99 > bound || most > 10.0 * bound {
        return Some(format!(
            "the lab was late: {p99:.1} ms at the 99th percentile, {most:.1} ms at the most, over its bound of {bound} ms and ten times that"
        ));
    }
    let not_carried: u64 = told.reports.iter().map(|report| report.not_carried).sum();
    (not_carried > 0).then(|| format!("{not_carried} datagrams were more than the lab could carry"))
}

fn figures_of_complete(end: &CompleteEnd) -> Vec<(String, f64)> {
    let names = [
        ("served", "complete_served"),
        ("rules", "complete_rules"),
        ("cpu_share", "complete_core_fraction"),
        ("memory_mb", "complete_memory_mb"),
    ];
    let mut figures: Vec<_> = names
        .iter()
        .filter_map(|(from, to)| Some(((*to).to_owned(), *end.run.figures.get(*from)?)))
        .collect();
    figures.extend(end.see.map(|see| ("complete_see".to_owned(), f64::from(see))));
    figures
}

#[cfg(test)]
mod tests;
