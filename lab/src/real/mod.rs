//! The real driver: real nodes on loopback sockets in real time, between a model of everything else.

mod agent;
mod clients;
mod faults;
mod lab;
pub mod link;
mod meetings;
mod nodes;
pub mod process;
mod servers;

use crate::experiment::{Arm, Driver, Experiment, Policy};
use crate::judge::RunResult as Run;
use crate::model::Micros;
use crate::plan::Plan;
use crate::policies;
use lab::{Lab, Tick};
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use nix::sys::signal::Signal;
use process::ProcessError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use thiserror::Error;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, sleep_until, timeout_at, Instant};
use walkpick::peers::Location;

/// All nodes have this long to be ready.
const READY: Duration = Duration::from_secs(30);
/// A node that is told to go at the end of a run has this long.
const END: Duration = Duration::from_secs(8);
/// How often the lab looks whether it is to stop, whether its nodes live, and tells how far it is.
const LOOK: Duration = Duration::from_millis(100);
/// Descriptors that the lab needs for each link of a node, and those left for all else.
const FOR_EACH_LINK: u64 = 4;
const SPARE: u64 = 512;

/// Why a run came to nothing.
#[derive(Debug, Error)]
pub enum RealError {
    /// A process failed at the start.
    #[error("{0}")]
    Process(#[from] ProcessError),
    /// The machine refused something.
    #[error("{what}: {error}")]
    Machine {
        /// What was tried.
        what: &'static str,
        /// Why it failed.
        error: io::Error,
    },
    /// The descriptors that this process may hold are too few.
    #[error(
        "{nodes} nodes and {servers} servers need {needed} descriptors, and this process may hold {most}"
    )]
    Descriptors {
        /// Nodes.
        nodes: u32,
        /// Servers.
        servers: u32,
        /// What they need.
        needed: u64,
        /// What there is.
        most: u64,
    },
    /// It needs processes.
    #[error("arm {0}: peers and node-slow need real nodes: --driver real")]
    OnlyReal(String),
    /// The arm's decisions are no program's.
    #[error("arm {0}: its decisions run in simulated time only")]
    NoProgram(String),
}

/// How a run is carried out.
#[derive(Clone, Debug)]
pub struct Options {
    /// The node's program.
    pub program: PathBuf,
    /// The lab's own, which holds the nodes.
    pub lab: PathBuf,
    /// Where configurations and logs go.
    pub folder: PathBuf,
    /// A run in which one in a hundred things came later than this, or one ten times as late, is void.
    pub lateness: Duration,
    /// Further peers of the nodes that meet, which the run does not hold itself.
    pub company: Option<Company>,
}

/// Peers of the nodes that others hold: nodes have them as further seeds.
#[derive(Clone, Debug)]
pub struct Company {
    /// Where they are reached.
    pub seeds: Vec<SocketAddr>,
    /// Where the nodes run, as they tell their peers.
    pub location: Location,
    /// How often they probe their peers.
    pub probe_every: Duration,
    /// How long they wait for an answer before they ask others.
    pub probe_timeout: Duration,
    /// Whether they take part in dissemination.
    pub dissemination: bool,
    /// Is told where the nodes are, before they start.
    pub nodes: mpsc::Sender<Vec<Reached>>,
}

/// Where a node that meets its peers is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reached {
    /// Where others reach it.
    pub advertise: SocketAddr,
    /// Where its datagrams come from.
    pub source: SocketAddr,
}

/// Runs an experiment in an arm, and judges. `told`: is given the time of the run now and then.
pub fn run(
    experiment: &Experiment,
    name: &str,
    arm: &Arm,
    seed: u64,
    options: &Options,
    stop: &AtomicBool,
    told: &dyn Fn(Micros),
) -> Result<Run, RealError> {
    if arm.policy != Policy::Walkpick {
        return Err(RealError::NoProgram(name.to_owned()));
    }
    let machine = |what| move |error| RealError::Machine { what, error };
    descriptors(experiment)?;
    std::fs::create_dir_all(&options.folder).map_err(machine("the run's folder"))?;
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(machine("a runtime"))?;
    let plan = Rc::new(Plan::new(experiment, seed));
    LocalSet::new().block_on(&runtime, async {
        let lab = Lab::new(plan.clone(), options.clone()).map_err(machine("the lab's state"))?;
        policies::warm_caches(&plan, arm.policy, &mut lab.state.borrow_mut().fleet);
        nodes::place(&lab).map_err(machine("links for the nodes"))?;
        if arm.peers {
            nodes::meet(&lab).await.map_err(machine("links between the nodes"))?;
            nodes::tell_company(&lab);
        }
        // All of them, whatever comes: dropped, they kill their processes.
        let ran = rehearse(&lab, !arm.no_faults, stop, told).await;
        let ended = end(&lab).await;
        ran?;
        lab.count_work();
        Ok(judge(&lab, name, stop.load(Ordering::Relaxed), ended))
    })
}

/// Raises the number of descriptors as far as it may, and says whether that is enough.
fn descriptors(experiment: &Experiment) -> Result<(), RealError> {
    let (nodes, servers) = (experiment.deployment.nodes, experiment.deployment.servers);
    let needed = u64::from(nodes) * (u64::from(servers) + 2) * FOR_EACH_LINK + SPARE;
    let machine =
        |error: nix::Error| RealError::Machine { what: "the limit of descriptors", error: error.into() };
    let (soft, most) = getrlimit(Resource::RLIMIT_NOFILE).map_err(machine)?;
    if soft < most {
        setrlimit(Resource::RLIMIT_NOFILE, most, most).map_err(machine)?;
    }
    match needed <= most {
        true => Ok(()),
        false => Err(RealError::Descriptors { nodes, servers, needed, most }),
    }
}

async fn rehearse(
    lab: &Rc<Lab>,
    faults: bool,
    stop: &AtomicBool,
    told: &dyn Fn(Micros),
) -> Result<(), RealError> {
    let nodes = lab.plan.experiment.deployment.nodes as usize;
    let by = Instant::now() + READY;
    for node in 0..nodes {
        nodes::start(lab, node)?;
    }
    for node in 0..nodes {
        wait_for_start(lab, node, by).await?;
    }
    lab.begin(faults);
    let end = lab.moment(lab.plan.end());
    let last = lab.plan.requests.last().map_or(0, |ask| ask.at);
    let mut look = interval(LOOK);
    loop {
        tokio::select! {
            tick = lab.next() => match tick {
                Tick::Due(due) => lab.due(due),
                Tick::Hear { node, change } => lab.hear(node, change),
                Tick::Arrive { ask } => drop(spawn_local(clients::client(lab.clone(), ask))),
            },
            _ = look.tick() => {
                let now = lab.now();
                told(now);
                look_for_crashes(lab);
                let over = now > last && now >= lab.plan.length() && lab.state.borrow().under_way == 0;
                if over || stop.load(Ordering::Relaxed) || Instant::now() >= end {
                    return Ok(());
                }
            }
        }
    }
}

async fn wait_for_start(lab: &Rc<Lab>, node: usize, by: Instant) -> Result<(), ProcessError> {
    loop {
        let asked = timeout_at(by, clients::healthy(lab, node)).await;
        if start_is_over(lab, node, asked.ok())? {
            return Ok(());
        }
        sleep_until((Instant::now() + Duration::from_millis(20)).min(by)).await;
    }
}

/// `healthy`: what the node said of itself; `None` once its time is over.
fn start_is_over(lab: &Lab, node: usize, healthy: Option<bool>) -> Result<bool, ProcessError> {
    let held = &mut lab.state.borrow_mut().nodes[node];
    let Some(process) = &mut held.process else { return Ok(true) };
    let (name, log) = (held.name.clone(), process.last_words());
    if let Some(status) = process.ended() {
        return Err(ProcessError::Died { name, status, log });
    }
    held.ready = healthy.ok_or(ProcessError::Unready { name, limit: READY, log })?;
    Ok(held.ready)
}

/// A process that ends while nothing met it has crashed.
fn look_for_crashes(lab: &Lab) {
    let now = lab.now();
    let state = &mut *lab.state.borrow_mut();
    for (i, node) in state.nodes.iter_mut().enumerate() {
        let Some(status) = node.process.as_mut().and_then(process::Process::ended) else { continue };
        let Some(process) = node.process.take() else { continue };
        // One that was told to go may be gone before the front has left it.
        if node.ready && !status.success() {
            let what = || format!("n{i} ended by itself, {status}: {}", process.last_words());
            state.record.violation(now, "crash", what);
        }
        (node.ready, node.troubled) = (false, Micros::MAX);
        node.died.get_or_insert(now);
    }
}

/// Ends all processes; those that do not end well when they are told to are named.
async fn end(lab: &Rc<Lab>) -> Vec<String> {
    let mut running = Vec::new();
    for node in &mut lab.state.borrow_mut().nodes {
        node.account();
        if let Some(process) = node.process.take() {
            process.signal(Signal::SIGCONT);
            process.signal(Signal::SIGTERM);
            running.push((node.name.clone(), process));
        }
    }
    let by = Instant::now() + END;
    let mut ended = Vec::new();
    for (name, mut process) in running {
        match process.finish(by.saturating_duration_since(Instant::now())).await {
            Some(status) if status.success() => {}
            Some(status) => ended.push(format!("{name} ended with {status}: {}", process.last_words())),
            None => ended.push(format!("{name} had to be killed at the end")),
        }
    }
    ended
}

fn judge(lab: &Lab, name: &str, interrupted: bool, ended: Vec<String>) -> Run {
    let (late_p99, late_max) = lab.lateness();
    let state = &mut *lab.state.borrow_mut();
    for what in ended {
        state.record.violation(lab.now(), "crash", || what);
    }
    let nodes = state.nodes.len().max(1) as f64;
    let cpu_s: f64 = state.nodes.iter().map(|node| node.used.cpu_s).sum();
    let memory = state.nodes.iter().map(|node| node.used.memory_mb).fold(0.0, f64::max);
    let bound = lab.options.lateness.as_secs_f64() * 1_000.0;
    let late = late_p99 > bound || late_max > 10.0 * bound;
    let void = state.void.clone().or_else(|| {
        late.then(|| format!("the lab was late: {late_p99:.1} ms at the 99th percentile, {late_max:.1} ms at the most, over its bound of {bound} ms and ten times that"))
    });
    let requests = lab.plan.requests.len().max(1) as f64;
    let further = [
        ("cpu_ms", cpu_s * 1_000.0 / requests),
        ("cpu_share", cpu_s / nodes / (lab.now().max(1) as f64 / 1e6)),
        ("memory_mb", memory),
        ("late_p99_ms", late_p99),
        ("late_max_ms", late_max),
    ];
    let mut run = state.record.result(&lab.plan, name, further);
    let logs: Vec<_> = state.nodes.iter().map(|node| node.log.clone()).collect();
    if state.nodes.iter().any(|node| node.meets.is_some()) {
        run.figures.extend(meetings::figures(&lab.plan, lab.epoch(), &run.spans, &logs));
        run.checks = crate::judge::evaluate_checks(&lab.plan.experiment, name, Driver::Real, &run.figures);
    }
    (run.driver, run.void, run.interrupted) = ("real", void, interrupted);
    run
}
