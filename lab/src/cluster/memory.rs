//! Memory that peers take, as the growth of this process by whole clusters of them.

use super::SimulatedCluster;
use crate::model::SECOND;
use crate::slopes::{Method, Point, Series};
use procfs::process::Process;
use procfs::{ProcError, WithCurrentSystemInfo};
use thiserror::Error;
use walkpick::peers::PeersConfig;

/// Nodes that everybody asks first.
const SEEDS: usize = 3;
const JOIN_LIMIT: u64 = 60 * SECOND;
/// After all have joined: what waits to be told is told.
const SETTLE: u64 = 5 * SECOND;

/// Why memory cannot be measured.
#[derive(Debug, Error)]
pub enum MemoryError {
    /// The system does not tell of it.
    #[error("the process's memory cannot be read: {0}")]
    Unreadable(#[from] ProcError),
    /// Nodes did not find each other.
    #[error("{0} nodes did not all join within 60 s: no memory is measured")]
    NotJoined(usize),
}

/// Bytes for each member that a node holds, at each size, with what the network around the nodes holds counted in. Nothing
/// else may run in this process meanwhile. The clusters are kept until the end: one does not grow into what another left.
pub fn memory_per_member(sizes: &[usize], seed: u64, command: &str) -> Result<Series, MemoryError> {
    let (mut kept, mut points) = (Vec::new(), Vec::new());
    for nodes in sizes.iter().copied() {
        let before = resident_bytes()?;
        kept.push(joined(nodes, seed)?);
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

fn joined(nodes: usize, seed: u64) -> Result<SimulatedCluster, MemoryError> {
    let config = PeersConfig { configured_nodes: nodes as u32, ..PeersConfig::default() };
    let mut cluster = SimulatedCluster::new(config, nodes, SEEDS.min(nodes), seed);
    (0..nodes).for_each(|node| cluster.start(node));
    if cluster.run_until(JOIN_LIMIT, SimulatedCluster::converged).is_none() {
        return Err(MemoryError::NotJoined(nodes));
    }
    cluster.run(SETTLE);
    Ok(cluster)
}

fn resident_bytes() -> Result<u64, ProcError> {
    Ok(Process::myself()?.stat()?.rss_bytes().get())
}
