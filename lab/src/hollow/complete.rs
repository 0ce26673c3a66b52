//! Complete nodes beside the hollow ones: real processes with their own servers, discovery and clients, run by the
//! driver of experiments on real nodes in a separate thread.

use super::clock;
use super::protocol::{CompleteAddresses, Incarnation, Micros, Reset, TimedSequence};
use crate::experiment::{
    Arm, Deployment, Direction, Driver, Experiment, FaultKind, LinkFault, Load, RemoteKind, ScheduledFault,
};
use crate::judge::RunResult as Run;
use crate::real::{self, ExternalPeers, Options, RealError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::timeout;
use walkpick::peers::Location;

/// Warm-up during which the complete nodes' results do not count.
const WARM_UP: Duration = Duration::from_secs(5);
/// Complete nodes run this much longer than the hollow ones, so that no hollow node sees them leave.
const EXTRA_RUN_TIME: Duration = Duration::from_secs(2);
/// Time limit for the network links of the complete nodes.
const LINK_TIMEOUT: Duration = Duration::from_secs(30);
/// Servers for each complete node.
const SERVERS_PER_NODE: u32 = 2;
/// Load as a fraction of the servers' capacity.
const LOAD_SHARE: f64 = 0.2;
/// Name of the arm in results.
const ARM_NAME: &str = "beside-hollow";

/// Failure of the complete nodes.
#[derive(Debug, Error)]
pub enum CompleteError {
    /// Their run failed.
    #[error("complete nodes failed: {0}")]
    Run(#[from] RealError),
    /// Their network links were not set up in time.
    #[error(
        "the complete nodes' network links were not set up within {}",
        humantime::format_duration(LINK_TIMEOUT)
    )]
    LinkTimeout,
    /// Their thread panicked.
    #[error("the thread of the complete nodes panicked")]
    Thread,
}

/// Settings of the complete nodes' run.
#[derive(Clone, Debug)]
pub struct CompleteOptions {
    /// Path of the node's program.
    pub program: PathBuf,
    /// Path of the lab's program.
    pub lab: PathBuf,
    /// Directory of configurations and logs.
    pub folder: PathBuf,
    /// See [`Options::max_lateness`].
    pub lateness: Duration,
    /// Location of all complete nodes.
    pub location: Location,
    /// Probe interval.
    pub probe_every: Duration,
    /// Probe timeout.
    pub probe_timeout: Duration,
    /// Whether they take part in dissemination.
    pub dissemination: bool,
}

/// Running complete nodes.
pub struct Complete {
    thread: JoinHandle<Result<Run, RealError>>,
    folder: PathBuf,
    nodes: usize,
    /// Addresses of each node.
    pub addresses: Vec<CompleteAddresses>,
}

/// Result of the complete nodes' run.
#[derive(Debug)]
pub struct CompleteResult {
    /// Their own run, judged.
    pub run: Run,
    /// The largest number of nodes that each complete node counted in its view; the minimum over the complete nodes.
    pub min_nodes_seen: Option<u32>,
    /// What each of them received of publishers' logs and states.
    pub received: Vec<Incarnation>,
}

impl Complete {
    /// Starts this many complete nodes for the length of a run of hollow nodes.
    pub async fn start(
        nodes: usize,
        length: Micros,
        loss: f64,
        seed: u64,
        seeds: Vec<SocketAddr>,
        options: CompleteOptions,
        stop: Arc<AtomicBool>,
    ) -> Result<Self, CompleteError> {
        let (sender, mut addresses) = mpsc::channel(1);
        let folder = options.folder.clone();
        let CompleteOptions {
            program,
            lab,
            lateness,
            location,
            probe_every,
            probe_timeout,
            dissemination,
            ..
        } = options;
        let external_peers = Some(ExternalPeers {
            seeds,
            location,
            probe_every,
            probe_timeout,
            dissemination,
            node_addresses: sender,
        });
        let options = Options {
            program,
            lab_program: lab,
            folder: folder.clone(),
            max_lateness: lateness,
            external_peers,
        };
        let experiment = build_experiment(nodes, Duration::from_micros(length), loss);
        let arm = Arm { peers: true, ..Arm::default() };
        let thread = std::thread::spawn(move || {
            real::run(&experiment, ARM_NAME, &arm, seed, &options, &stop, &|_| ())
        });
        // The channel closes if the run failed.
        match timeout(LINK_TIMEOUT, addresses.recv()).await {
            Ok(Some(links)) => {
                let addresses = links
                    .into_iter()
                    .map(|node| CompleteAddresses { advertise: node.advertise, source: node.source });
                Ok(Self { addresses: addresses.collect(), thread, folder, nodes })
            }
            Ok(None) => match thread.join() {
                Ok(Err(error)) => Err(error.into()),
                _ => Err(CompleteError::Thread),
            },
            Err(_) => Err(CompleteError::LinkTimeout),
        }
    }

    /// Waits for the end of the run. `origin`: origin of the hollow nodes' run.
    pub fn join(self, origin: u64) -> Result<CompleteResult, CompleteError> {
        let run = self.thread.join().map_err(|_| CompleteError::Thread)??;
        let logs = (0..self.nodes).map(|node| read_log(&self.folder.join(format!("n{node}.log"))));
        let logs: Vec<_> = logs.collect();
        let min_nodes_seen =
            logs.iter().map(|lines| lines.iter().filter_map(|line| line.nodes).max()).min().flatten();
        let origin_us = unix_time_us(origin);
        let received = logs.iter().map(|lines| received(lines, origin_us)).collect();
        Ok(CompleteResult { run, min_nodes_seen, received })
    }
}

fn build_experiment(nodes: usize, length: Duration, loss: f64) -> Experiment {
    let length = (length + EXTRA_RUN_TIME).saturating_sub(WARM_UP).max(Duration::from_secs(1));
    // Datagrams between complete nodes are lost at the same rate as all others.
    let link = LinkFault { to: RemoteKind::Peer, direction: Direction::Both, loss, ..LinkFault::default() };
    let lossy = ScheduledFault {
        what: FaultKind::Link,
        from: Duration::ZERO,
        to: length,
        part: 1.0,
        size: 1.0,
        class: None,
        link: Some(link),
    };
    Experiment {
        name: "hollow".to_owned(),
        about: "complete nodes beside hollow ones".to_owned(),
        length,
        lead: WARM_UP,
        driver: Driver::Real,
        deployment: Deployment {
            nodes: nodes as u32,
            servers: SERVERS_PER_NODE * nodes as u32,
            zones: 2.min(nodes as u32),
            ..Deployment::default()
        },
        load: Load { share: LOAD_SHARE, ..Load::default() },
        fault: if loss > 0.0 { vec![lossy] } else { Vec::new() },
        arm: BTreeMap::new(),
        check: Vec::new(),
    }
}

/// A line of a node's log with the target `peers`.
#[derive(Debug, Deserialize)]
struct PeersLogLine {
    timestamp: String,
    target: String,
    nodes: Option<u32>,
    sequence: Option<u64>,
    version: Option<u64>,
    after: Option<u64>,
    through: Option<u64>,
}

fn read_log(log: &Path) -> Vec<PeersLogLine> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter_map(|line| serde_json::from_str::<PeersLogLine>(line).ok());
    lines.filter(|line| line.target == "peers").collect()
}

/// Converts a time of the monotonic clock to Unix time, in microseconds.
fn unix_time_us(monotonic_us: u64) -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let unix = u64::try_from(unix.as_micros()).unwrap_or(u64::MAX);
    unix.saturating_sub(clock::monotonic_us()).saturating_add(monotonic_us)
}

/// What a node received, according to its log. `origin_us`: the run's origin in Unix time.
fn received(lines: &[PeersLogLine], origin_us: u64) -> Incarnation {
    let mut incarnation = Incarnation::default();
    for line in lines {
        let Some(at) = run_time(line, origin_us) else { continue };
        incarnation.entries.extend(line.sequence.map(|number| TimedSequence { number, at }));
        incarnation.versions.extend(line.version.map(|number| TimedSequence { number, at }));
        let skipped = line.after.zip(line.through);
        incarnation.resets.extend(skipped.map(|(after, through)| Reset { at, after, through }));
    }
    incarnation
}

fn run_time(line: &PeersLogLine, origin_us: u64) -> Option<Micros> {
    let unix = humantime::parse_rfc3339(&line.timestamp).ok()?.duration_since(UNIX_EPOCH).ok()?;
    Some(u64::try_from(unix.as_micros()).ok()?.saturating_sub(origin_us))
}
