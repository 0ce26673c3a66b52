//! Complete nodes beside the hollow ones: real processes with servers, discovery and clients of their own, as the lab's
//! experiments on real nodes have them, in a thread of their own.

use super::clock;
use super::protocol::{CompleteAddresses, Life, Micros, Numbered, Reset};
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

/// Before that nothing counts for the complete nodes.
const LEAD: Duration = Duration::from_secs(5);
/// They go on for so long after the hollow ones have ended, so that nobody misses them before.
const LONGER: Duration = Duration::from_secs(2);
/// Their links have this long to be laid.
const LAID: Duration = Duration::from_secs(30);
/// Servers for each complete node.
const SERVERS: u32 = 2;
/// Work asked of them, as a part of what the servers can do.
const LOAD: f64 = 0.2;
/// The arm's name, in results.
const ARM: &str = "beside-hollow";

/// Why there are no complete nodes.
#[derive(Debug, Error)]
pub enum CompleteError {
    /// Their run came to nothing.
    #[error("the complete nodes: {0}")]
    Run(#[from] RealError),
    /// They were not there in time.
    #[error("the complete nodes' links were not laid within {}", humantime::format_duration(LAID))]
    Late,
    /// Their thread failed.
    #[error("the complete nodes' thread failed")]
    Thread,
}

/// How complete nodes are run.
#[derive(Clone, Debug)]
pub struct CompleteOptions {
    /// The node's program.
    pub program: PathBuf,
    /// The lab's own.
    pub lab: PathBuf,
    /// Where configurations and logs go.
    pub folder: PathBuf,
    /// See [`Options::lateness`].
    pub lateness: Duration,
    /// Where they run.
    pub location: Location,
    /// How often they probe.
    pub probe_every: Duration,
    /// How long they wait for an answer.
    pub probe_timeout: Duration,
    /// Whether they take part in dissemination.
    pub dissemination: bool,
}

/// Complete nodes that run.
pub struct Complete {
    thread: JoinHandle<Result<Run, RealError>>,
    folder: PathBuf,
    nodes: usize,
    /// Where they are.
    pub addresses: Vec<CompleteAddresses>,
}

/// What became of them.
#[derive(Debug)]
pub struct CompleteEnd {
    /// Their own run, judged.
    pub run: Run,
    /// The fewest nodes that one of them relied on at the most.
    pub see: Option<u32>,
    /// What came to each of publishers' logs and states.
    pub received: Vec<Life>,
}

impl Complete {
    /// Starts so many, for as long as a run of hollow nodes takes.
    pub async fn start(
        nodes: usize,
        length: Micros,
        loss: f64,
        seed: u64,
        seeds: Vec<SocketAddr>,
        options: CompleteOptions,
        stop: Arc<AtomicBool>,
    ) -> Result<Self, CompleteError> {
        let (sender, mut told) = mpsc::channel(1);
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
        let company = Some(ExternalPeers {
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
            external_peers: company,
        };
        let experiment = experiment(nodes, Duration::from_micros(length), loss);
        let arm = Arm { peers: true, ..Arm::default() };
        let thread =
            std::thread::spawn(move || real::run(&experiment, ARM, &arm, seed, &options, &stop, &|_| ()));
        // The channel closes where the run came to nothing.
        match timeout(LAID, told.recv()).await {
            Ok(Some(reached)) => {
                let addresses = reached
                    .into_iter()
                    .map(|node| CompleteAddresses { advertise: node.advertise, source: node.source });
                Ok(Self { addresses: addresses.collect(), thread, folder, nodes })
            }
            Ok(None) => match thread.join() {
                Ok(Err(error)) => Err(error.into()),
                _ => Err(CompleteError::Thread),
            },
            Err(_) => Err(CompleteError::Late),
        }
    }

    /// Waits for their end. `origin`: of the hollow nodes' run.
    pub fn end(self, origin: u64) -> Result<CompleteEnd, CompleteError> {
        let run = self.thread.join().map_err(|_| CompleteError::Thread)??;
        let logs = (0..self.nodes).map(|node| read_log(&self.folder.join(format!("n{node}.log"))));
        let logs: Vec<_> = logs.collect();
        let see = logs.iter().map(|lines| lines.iter().filter_map(|line| line.nodes).max()).min().flatten();
        let begun = unix_of(origin);
        let received = logs.iter().map(|lines| received(lines, begun)).collect();
        Ok(CompleteEnd { run, see, received })
    }
}

fn experiment(nodes: usize, length: Duration, loss: f64) -> Experiment {
    let length = (length + LONGER).saturating_sub(LEAD).max(Duration::from_secs(1));
    // Between complete nodes datagrams are lost as everywhere.
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
        lead: LEAD,
        driver: Driver::Real,
        deployment: Deployment {
            nodes: nodes as u32,
            servers: SERVERS * nodes as u32,
            zones: 2.min(nodes as u32),
            ..Deployment::default()
        },
        load: Load { share: LOAD, ..Load::default() },
        fault: if loss > 0.0 { vec![lossy] } else { Vec::new() },
        arm: BTreeMap::new(),
        check: Vec::new(),
    }
}

/// A line of a node's log on its peers.
#[derive(Debug, Deserialize)]
struct Line {
    timestamp: String,
    target: String,
    nodes: Option<u32>,
    sequence: Option<u64>,
    version: Option<u64>,
    after: Option<u64>,
    through: Option<u64>,
}

fn read_log(log: &Path) -> Vec<Line> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Line>(line).ok());
    lines.filter(|line| line.target == "peers").collect()
}

/// Unix time at a time of the machine's monotonic clock, in microseconds.
fn unix_of(monotonic: u64) -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let unix = u64::try_from(unix.as_micros()).unwrap_or(u64::MAX);
    unix.saturating_sub(clock::monotonic()).saturating_add(monotonic)
}

/// What came to a node, by its log. `begun`: the run's origin in Unix time.
fn received(lines: &[Line], begun: u64) -> Life {
    let mut life = Life::default();
    for line in lines {
        let Some(at) = time_of(line, begun) else { continue };
        life.entries.extend(line.sequence.map(|number| Numbered { number, at }));
        life.versions.extend(line.version.map(|number| Numbered { number, at }));
        let left_out = line.after.zip(line.through);
        life.resets.extend(left_out.map(|(after, through)| Reset { at, after, through }));
    }
    life
}

fn time_of(line: &Line, begun: u64) -> Option<Micros> {
    let unix = humantime::parse_rfc3339(&line.timestamp).ok()?.duration_since(UNIX_EPOCH).ok()?;
    Some(u64::try_from(unix.as_micros()).ok()?.saturating_sub(begun))
}
