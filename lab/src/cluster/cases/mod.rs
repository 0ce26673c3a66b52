//! Cases of trouble that a simulated cluster goes through, each with its figures.

mod known;
mod outcome;
mod parallel;
mod play;
mod series;

pub use outcome::{CaseOutcome, Figure, FIGURES};
pub use parallel::run_all;
pub use play::{run, NotApplicable, Play};
pub use series::series;

use super::topology::{Topology, ZONES};
use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// A rack of the operators' plan.
const RACK: usize = 12;
/// A zone of theirs.
const ZONE: usize = 28;
/// A region of theirs.
const REGION: usize = 66;
/// Restarts of an ordinary day.
const RESTARTS_OF_A_DAY: usize = 32;

/// What happens to the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    /// All start at once, and nothing more
    Join,
    /// Nothing happens, for as long as is asked for
    #[value(alias = "calm")]
    Rest,
    /// One is killed
    Kill,
    /// One leaves with a farewell
    Leave,
    /// One is paused for 10 s
    Pause,
    /// A day's 32 restarts at once: a farewell, and a start 1 s later
    Restarts,
    /// A tenth are restarted at once: a farewell, and a start 1 s later
    #[value(alias = "roll")]
    RestartTenth,
    /// A rack (12, or a site) is killed at once
    RackLost,
    /// A zone (28, or one of the topology's) is killed at once
    ZoneLost,
    /// One in 19 is killed at once
    ZoneShareLost,
    /// Seven in ten are killed at once, and started 2 s later
    #[value(alias = "herd")]
    KillMost,
    /// Two halves cannot reach each other for 30 s
    Split,
    /// A region (66, or one of the topology's) is cut off for 3 minutes
    RegionCut,
    /// All are restarted, one in twenty every 10 s: a farewell, and a start 1 s later
    Release,
}

/// The cases that run where none is asked for.
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
    /// As it is written.
    pub fn name(self) -> String {
        self.to_possible_value().map(|value| value.get_name().to_owned()).unwrap_or_default()
    }

    /// The nodes that the trouble is about, the seeds not among them where there are others.
    fn affected(self, nodes: usize, topology: Topology) -> Vec<usize> {
        let last = |count: usize| (nodes.saturating_sub(count)..nodes).collect();
        let located = |at: fn(Topology, usize) -> usize| {
            // The last site, zone or region: no seed stands there.
            let most = (0..nodes).map(|node| at(topology, node)).max();
            (0..nodes).filter(|node| Some(at(topology, *node)) == most).collect()
        };
        let flat = topology == Topology::Flat;
        match self {
            Self::Join | Self::Rest => Vec::new(),
            Self::Kill | Self::Leave | Self::Pause => last(1),
            Self::Restarts => last(RESTARTS_OF_A_DAY),
            Self::RestartTenth => (0..nodes).filter(|node| node % 10 == 3).collect(),
            Self::RackLost if flat => last(RACK),
            Self::RackLost => located(|topology, node| topology.location(node).site),
            Self::ZoneLost if flat => last(ZONE),
            Self::ZoneLost => located(|topology, node| topology.location(node).zone),
            Self::ZoneShareLost => last((nodes / ZONES).max(1)),
            Self::KillMost => (0..nodes).filter(|node| node % 10 < 7).collect(),
            Self::Split => (nodes / 2..nodes).collect(),
            Self::RegionCut if flat => last(REGION),
            Self::RegionCut => located(|topology, node| topology.location(node).region),
            Self::Release => (0..nodes).collect(),
        }
    }

    /// Whether most of the nodes are meant to be met.
    fn meets_most(self) -> bool {
        matches!(self, Self::KillMost | Self::Release)
    }
}

#[cfg(test)]
mod tests;
