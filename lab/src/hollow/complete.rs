//! Complete nodes beside the hollow ones: real processes with servers, discovery and clients of their own, as the lab's
//! experiments on real nodes have them, in a thread of their own.

use super::protocol::{CompleteAddresses, Micros};
use crate::experiment::{
    Arm, Deployment, Direction, Driver, Experiment, LinkTrouble, Load, Party, Trouble, What,
};
use crate::judge::Result as Run;
use crate::real::{self, Company, Options, RealError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
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
        let CompleteOptions { program, lab, lateness, location, probe_every, probe_timeout, .. } = options;
        let company = Some(Company { seeds, location, probe_every, probe_timeout, nodes: sender });
        let options = Options { program, lab, folder: folder.clone(), lateness, company };
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

    /// Waits for their end.
    pub fn end(self) -> Result<CompleteEnd, CompleteError> {
        let run = self.thread.join().map_err(|_| CompleteError::Thread)??;
        let logs = (0..self.nodes).map(|node| self.folder.join(format!("n{node}.log")));
        let see = logs.map(|log| relied_on(&log)).min().flatten();
        Ok(CompleteEnd { run, see })
    }
}

fn experiment(nodes: usize, length: Duration, loss: f64) -> Experiment {
    let length = (length + LONGER).saturating_sub(LEAD).max(Duration::from_secs(1));
    // Between complete nodes datagrams are lost as everywhere.
    let link = LinkTrouble { to: Party::Peer, direction: Direction::Both, loss, ..LinkTrouble::default() };
    let lossy = Trouble {
        what: What::Link,
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

/// A line of a node's log on the number of nodes.
#[derive(Debug, Deserialize)]
struct Line {
    target: String,
    nodes: Option<u32>,
}

/// The most nodes that a node said it relies on.
fn relied_on(log: &Path) -> Option<u32> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Line>(line).ok());
    lines.filter(|line| line.target == "peers").filter_map(|line| line.nodes).max()
}
