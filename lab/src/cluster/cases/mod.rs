//! Failure cases that are run on a simulated cluster, and the figures of each.

mod outcome;
mod parallel;
mod reports;
mod scenario;
mod series;

pub use outcome::{CaseOutcome, Figure, FIGURES};
pub use parallel::run_all;
pub use scenario::{run, NotApplicable, Scenario};
pub use series::series;

use super::topology::{Topology, ZONES};
use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// Nodes in a rack of the planned deployment.
const RACK_NODES: usize = 12;
/// Nodes in a zone of the planned deployment.
const ZONE_NODES: usize = 28;
/// Nodes in a region of the planned deployment.
const REGION_NODES: usize = 66;
/// Restarts on an ordinary day.
const RESTARTS_PER_DAY: usize = 32;

/// The failure or operation that the cluster goes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    /// All nodes start at once, and nothing else happens
    Join,
    /// Nothing happens for the configured time
    #[value(alias = "calm")]
    Rest,
    /// One node is killed
    Kill,
    /// One node leaves with a leave message
    Leave,
    /// One node is paused for 10 s
    Pause,
    /// A day's 32 restarts at once: a leave message, and a start 1 s later
    Restarts,
    /// A tenth of the nodes restart at once: a leave message, and a start 1 s later
    #[value(alias = "roll")]
    RestartTenth,
    /// A rack (12, or a site) is killed at once
    RackLost,
    /// A zone (28, or one of the topology's) is killed at once
    ZoneLost,
    /// One node in 19 is killed at once
    ZoneShareLost,
    /// Seven nodes in ten are killed at once and started 2 s later
    #[value(alias = "herd")]
    KillMost,
    /// Two halves cannot reach each other for 30 s
    Split,
    /// A region (66, or one of the topology's) is cut off for 3 minutes
    RegionCut,
    /// All nodes restart, one in twenty every 10 s: a leave message, and a start 1 s later
    Release,
}

/// The cases that run by default.
pub const CASES: [Case; 7] =
    [Case::Kill, Case::Leave, Case::Rest, Case::Pause, Case::Split, Case::RestartTenth, Case::KillMost];

/// All cases.
pub const ALL_CASES: [Case; 14] = [
    Case::Join,
    Case::Rest,
    Case::Kill,
    Case::Leave,
    Case::Pause,
    Case::Restarts,
    Case::RestartTenth,
    Case::RackLost,
    Case::ZoneLost,
    Case::ZoneShareLost,
    Case::KillMost,
    Case::Split,
    Case::RegionCut,
    Case::Release,
];

impl Case {
    /// The name used in settings, arguments and series.
    pub fn name(self) -> String {
        self.to_possible_value().map(|value| value.get_name().to_owned()).unwrap_or_default()
    }

    /// The nodes that the fault affects. Seeds are avoided where the case leaves a choice.
    fn affected(self, nodes: usize, topology: Topology) -> Vec<usize> {
        let last = |count: usize| (nodes.saturating_sub(count)..nodes).collect();
        let located = |at: fn(Topology, usize) -> usize| {
            // The last site, zone or region has no seed.
            let last_index = (0..nodes).map(|node| at(topology, node)).max();
            (0..nodes).filter(|node| Some(at(topology, *node)) == last_index).collect()
        };
        let flat = topology == Topology::Flat;
        match self {
            Self::Join | Self::Rest => Vec::new(),
            Self::Kill | Self::Leave | Self::Pause => last(1),
            Self::Restarts => last(RESTARTS_PER_DAY),
            Self::RestartTenth => (0..nodes).filter(|node| node % 10 == 3).collect(),
            Self::RackLost if flat => last(RACK_NODES),
            Self::RackLost => located(|topology, node| topology.location(node).site),
            Self::ZoneLost if flat => last(ZONE_NODES),
            Self::ZoneLost => located(|topology, node| topology.location(node).zone),
            Self::ZoneShareLost => last((nodes / ZONES).max(1)),
            Self::KillMost => (0..nodes).filter(|node| node % 10 < 7).collect(),
            Self::Split => (nodes / 2..nodes).collect(),
            Self::RegionCut if flat => last(REGION_NODES),
            Self::RegionCut => located(|topology, node| topology.location(node).region),
            Self::Release => (0..nodes).collect(),
        }
    }

    /// Whether the case is meant to affect more than half of the nodes.
    fn affects_most(self) -> bool {
        matches!(self, Self::KillMost | Self::Release)
    }
}

#[cfg(test)]
mod tests;
