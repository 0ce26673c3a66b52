//! The real driver: runs real node processes on loopback sockets in real time; all other parties are emulated.

mod agent;
mod clients;
mod faults;
mod lab;
pub mod link;
mod nodes;
mod peer_logs;
pub mod process;
mod servers;

use crate::experiment::{Arm, Driver, Experiment, Policy};
use crate::judge::RunResult as Run;
use crate::model::Micros;
use crate::plan::Plan;
use crate::policies;
use lab::{Lab, TimerEvent};
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

/// Time limit for all nodes to become ready.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for a node to exit after SIGTERM at the end of a run.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval at which a run checks for interruption and crashed nodes, and reports progress.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// File descriptors needed for each link of a node, and those reserved for everything else.
const DESCRIPTORS_PER_LINK: u64 = 4;
const RESERVED_DESCRIPTORS: u64 = 512;

/// Why a run could not be carried out.
#[derive(Debug, Error)]
pub enum RealError {
    /// A process failed to start.
    #[error("{0}")]
    Process(#[from] ProcessError),
    /// A system call failed.
    #[error("{operation}: {error}")]
    System {
        /// The operation that failed.
        operation: &'static str,
        /// The cause.
        error: io::Error,
    },
    /// The descriptor limit of this process is too low for the experiment.
    #[error(
        "{nodes} nodes and {servers} servers need {required} descriptors, and this process may hold {limit}"
    )]
    Descriptors {
        /// Number of nodes.
        nodes: u32,
        /// Number of servers.
        servers: u32,
        /// Descriptors required.
        required: u64,
        /// The hard limit of descriptors.
        limit: u64,
    },
    /// The experiment or arm needs real processes.
    #[error("arm {0}: peers and node-slow need real nodes: --driver real")]
    NeedsRealDriver(String),
    /// The arm's policy exists only in the simulator.
    #[error("arm {0}: its policy runs in simulated time only")]
    SimulationOnly(String),
}

/// How a run is carried out.
#[derive(Clone, Debug)]
pub struct Options {
    /// The node program.
    pub program: PathBuf,
    /// The lab program, which starts the nodes so that they end with it.
    pub lab_program: PathBuf,
    /// Directory for configurations and logs.
    pub folder: PathBuf,
    /// A run is void if the 99th percentile of event lateness exceeds this, or the maximum exceeds ten times this.
    pub max_lateness: Duration,
    /// Further peers of the nodes, which are not started by this run.
    pub external_peers: Option<ExternalPeers>,
}

/// Peers that run outside this run; nodes get them as additional seeds.
#[derive(Clone, Debug)]
pub struct ExternalPeers {
    /// Their addresses.
    pub seeds: Vec<SocketAddr>,
    /// The location that the nodes announce to their peers.
    pub location: Location,
    /// Probe interval of the nodes.
    pub probe_every: Duration,
    /// Time without an answer after which nodes send indirect probes.
    pub probe_timeout: Duration,
    /// Whether the nodes take part in dissemination.
    pub dissemination: bool,
    /// Receives the addresses of the nodes before they start.
    pub node_addresses: mpsc::Sender<Vec<PeerAddress>>,
}

/// The peer addresses of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The address that it advertises.
    pub advertise: SocketAddr,
    /// The source address of its datagrams.
    pub source: SocketAddr,
}

/// Runs one arm of an experiment and evaluates it. `progress` is called periodically with the elapsed run time.
pub fn run(
    experiment: &Experiment,
    name: &str,
    arm: &Arm,
    seed: u64,
    options: &Options,
    stop: &AtomicBool,
    progress: &dyn Fn(Micros),
) -> Result<Run, RealError> {
    if arm.policy != Policy::Walkpick {
        return Err(RealError::SimulationOnly(name.to_owned()));
    }
    let system_error = |operation| move |error| RealError::System { operation, error };
    raise_descriptor_limit(experiment)?;
    std::fs::create_dir_all(&options.folder).map_err(system_error("cannot create the run directory"))?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(system_error("cannot create the async runtime"))?;
    let plan = Rc::new(Plan::new(experiment, seed));
    LocalSet::new().block_on(&runtime, async {
        let lab = Lab::new(plan.clone(), options.clone())
            .map_err(system_error("cannot create the state of the run"))?;
        policies::warm_caches(&plan, arm.policy, &mut lab.state.borrow_mut().fleet);
        nodes::create(&lab).map_err(system_error("cannot open the links of the nodes"))?;
        if arm.peers {
            nodes::connect_peers(&lab)
                .await
                .map_err(system_error("cannot open the links between the nodes"))?;
            nodes::report_peer_addresses(&lab);
        }
        // Stops the nodes even if the run failed.
        let result = run_plan(&lab, !arm.no_faults, stop, progress).await;
        let ended = stop_nodes(&lab).await;
        result?;
        lab.count_work();
        Ok(evaluate(&lab, name, stop.load(Ordering::Relaxed), ended))
    })
}

/// Raises the soft descriptor limit to the hard limit, and fails if that is too low.
fn raise_descriptor_limit(experiment: &Experiment) -> Result<(), RealError> {
    let (nodes, servers) = (experiment.deployment.nodes, experiment.deployment.servers);
    let required = u64::from(nodes) * (u64::from(servers) + 2) * DESCRIPTORS_PER_LINK + RESERVED_DESCRIPTORS;
    let system_error = |error: nix::Error| RealError::System {
        operation: "cannot read or raise the descriptor limit",
        error: error.into(),
    };
    let (soft, limit) = getrlimit(Resource::RLIMIT_NOFILE).map_err(system_error)?;
    if soft < limit {
        setrlimit(Resource::RLIMIT_NOFILE, limit, limit).map_err(system_error)?;
    }
    match required <= limit {
        true => Ok(()),
        false => Err(RealError::Descriptors { nodes, servers, required, limit }),
    }
}

async fn run_plan(
    lab: &Rc<Lab>,
    faults: bool,
    stop: &AtomicBool,
    progress: &dyn Fn(Micros),
) -> Result<(), RealError> {
    let nodes = lab.plan.experiment.deployment.nodes as usize;
    let by = Instant::now() + STARTUP_TIMEOUT;
    for node in 0..nodes {
        nodes::start(lab, node)?;
    }
    for node in 0..nodes {
        wait_until_ready(lab, node, by).await?;
    }
    lab.start_clock(faults);
    let end = lab.instant_at(lab.plan.end());
    let last = lab.plan.requests.last().map_or(0, |request| request.at);
    let mut poll = interval(POLL_INTERVAL);
    loop {
        tokio::select! {
            event = lab.next_event() => match event {
                TimerEvent::Fleet(due) => lab.handle_fleet_event(due),
                TimerEvent::DiscoveryUpdate { node, change } => lab.deliver_update(node, change),
                TimerEvent::RequestArrival { request_index } => drop(spawn_local(clients::run_client(lab.clone(), request_index))),
            },
            _ = poll.tick() => {
                let now = lab.now();
                progress(now);
                detect_crashes(lab);
                let over = now > last && now >= lab.plan.length() && lab.state.borrow().active_tasks == 0;
                if over || stop.load(Ordering::Relaxed) || Instant::now() >= end {
                    return Ok(());
                }
            }
        }
    }
}

async fn wait_until_ready(lab: &Rc<Lab>, node: usize, by: Instant) -> Result<(), ProcessError> {
    loop {
        let healthy = timeout_at(by, clients::is_ready(lab, node)).await;
        if startup_finished(lab, node, healthy.ok())? {
            return Ok(());
        }
        sleep_until((Instant::now() + Duration::from_millis(20)).min(by)).await;
    }
}

/// `healthy`: result of the health check; `None` once the start-up time limit has passed.
fn startup_finished(lab: &Lab, node: usize, healthy: Option<bool>) -> Result<bool, ProcessError> {
    let node_state = &mut lab.state.borrow_mut().nodes[node];
    let Some(process) = &mut node_state.process else { return Ok(true) };
    let (name, log) = (node_state.name.clone(), process.log_tail());
    if let Some(status) = process.exit_status() {
        return Err(ProcessError::ExitedEarly { name, status, log });
    }
    node_state.ready = healthy.ok_or(ProcessError::NotReady { name, limit: STARTUP_TIMEOUT, log })?;
    Ok(node_state.ready)
}

/// Records a crash for each process that exited without being stopped by a fault.
fn detect_crashes(lab: &Lab) {
    let now = lab.now();
    let state = &mut *lab.state.borrow_mut();
    for (i, node) in state.nodes.iter_mut().enumerate() {
        let Some(status) = node.process.as_mut().and_then(process::Process::exit_status) else { continue };
        let Some(process) = node.process.take() else { continue };
        // A node that was sent SIGTERM may exit before the front end stops using it.
        if node.ready && !status.success() {
            let what = || format!("n{i} exited unexpectedly, {status}: {}", process.log_tail());
            state.record.violation(now, "crash", what);
        }
        (node.ready, node.disturbed_until) = (false, Micros::MAX);
        node.died.get_or_insert(now);
    }
}

/// Stops all processes. Returns a message for each that was killed or exited with an error.
async fn stop_nodes(lab: &Rc<Lab>) -> Vec<String> {
    let mut running = Vec::new();
    for node in &mut lab.state.borrow_mut().nodes {
        node.accumulate_usage();
        if let Some(process) = node.process.take() {
            process.signal(Signal::SIGCONT);
            process.signal(Signal::SIGTERM);
            running.push((node.name.clone(), process));
        }
    }
    let by = Instant::now() + SHUTDOWN_TIMEOUT;
    let mut ended = Vec::new();
    for (name, mut process) in running {
        match process.wait_or_kill(by.saturating_duration_since(Instant::now())).await {
            Some(status) if status.success() => {}
            Some(status) => ended.push(format!("{name} ended with {status}: {}", process.log_tail())),
            None => {
                ended.push(format!("{name} did not exit after SIGTERM at the end of the run and was killed"))
            }
        }
    }
    ended
}

fn evaluate(lab: &Lab, name: &str, interrupted: bool, ended: Vec<String>) -> Run {
    let (late_p99, late_max) = lab.lateness();
    let state = &mut *lab.state.borrow_mut();
    for what in ended {
        state.record.violation(lab.now(), "crash", || what);
    }
    let nodes = state.nodes.len().max(1) as f64;
    let cpu_s: f64 = state.nodes.iter().map(|node| node.usage.cpu_s).sum();
    let memory = state.nodes.iter().map(|node| node.usage.memory_mb).fold(0.0, f64::max);
    let bound = lab.options.max_lateness.as_secs_f64() * 1_000.0;
    let late = late_p99 > bound || late_max > 10.0 * bound;
    let void = state.void_reason.clone().or_else(|| {
        late.then(|| format!("the lab was late: p99 {late_p99:.1} ms, maximum {late_max:.1} ms; bounds are {bound} ms and ten times that"))
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
    if state.nodes.iter().any(|node| node.peer_endpoint.is_some()) {
        run.figures.extend(peer_logs::figures(&lab.plan, lab.epoch(), &run.spans, &logs));
        run.checks = crate::judge::evaluate_checks(&lab.plan.experiment, name, Driver::Real, &run.figures);
    }
    (run.driver, run.void, run.interrupted) = ("real", void, interrupted);
    run
}
