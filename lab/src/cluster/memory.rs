//! Memory used by peers, measured as the growth of this process when whole clusters are created in it.

use super::SimulatedCluster;
use crate::model::SECOND;
use crate::slopes::{Method, Point, Series};
use procfs::process::Process;
use procfs::{ProcError, WithCurrentSystemInfo};
use thiserror::Error;
use walkpick::peers::PeersConfig;

const SEEDS: usize = 3;
const JOIN_TIMEOUT: u64 = 60 * SECOND;
/// Run time after all nodes have joined, in which queued updates are sent.
const SETTLE: u64 = 5 * SECOND;

/// Why memory cannot be measured.
#[derive(Debug, Error)]
pub enum MemoryError {
    /// The operating system does not report it.
    #[error("cannot read the resident memory of this process: {0}")]
    Unreadable(#[from] ProcError),
    /// Not all nodes joined the cluster in time.
    #[error("{0} nodes did not all join within 60 s; memory was not measured")]
    NotJoined(usize),
}

/// Bytes per member held by a node, at each cluster size, including the memory of the simulated network. Nothing else may
/// run in this process meanwhile. All clusters are kept until the end, so that none reuses memory that another has freed.
pub fn memory_per_member(sizes: &[usize], seed: u64, command: &str) -> Result<Series, MemoryError> {
    let (mut kept, mut points) = (Vec::new(), Vec::new());
    for nodes in sizes.iter().copied() {
        let before = resident_bytes()?;
        kept.push(joined_cluster(nodes, seed)?);
        let grown = resident_bytes()?.saturating_sub(before);
        let members = (nodes * nodes) as f64;
        points.push(Point { size: nodes as f64, value: grown as f64 / members, seed });
    }
    Ok(Series {
        name: "membership.memory_per_member".to_owned(),
        unit: "B".to_owned(),
        against: "nodes".to_owned(),
        method: Method::InProcess,
        command: command.to_owned(),
        points,
    })
}

fn joined_cluster(nodes: usize, seed: u64) -> Result<SimulatedCluster, MemoryError> {
    let config = PeersConfig { configured_nodes: nodes as u32, ..PeersConfig::default() };
    let mut cluster = SimulatedCluster::new(config, nodes, SEEDS.min(nodes), seed);
    (0..nodes).for_each(|node| cluster.start(node));
    if cluster.run_until(JOIN_TIMEOUT, SimulatedCluster::converged).is_none() {
        return Err(MemoryError::NotJoined(nodes));
    }
    cluster.run(SETTLE);
    Ok(cluster)
}

fn resident_bytes() -> Result<u64, ProcError> {
    Ok(Process::myself()?.stat()?.rss_bytes().get())
}
