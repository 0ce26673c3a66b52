//! The operating conditions that capacity is computed for: an ordinary day, the peak load and each planned failure.

use super::Plan;
use std::fmt;

/// An operating condition of the fleet; each is one column of the tables.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Case {
    /// Only single machines fail.
    OrdinaryDay,
    /// The highest request rate.
    Peak,
    /// The restarts that may coincide on an ordinary day.
    RestartsAtOnce,
    /// A rack or a switch fails.
    RackLost,
    /// A zone fails, with its nodes and cache servers.
    ZoneLost,
    /// A region is partitioned off; its clients use the other regions.
    RegionCut,
    /// The partitioned region is reconnected.
    RegionReturn,
    /// A release restarts all nodes in batches.
    Release,
    /// Failures that membership is measured in but the plan does not list.
    OtherFailures,
}

impl Case {
    /// All cases, in column order.
    pub const ALL: [Self; 9] = [
        Self::OrdinaryDay,
        Self::Peak,
        Self::RestartsAtOnce,
        Self::RackLost,
        Self::ZoneLost,
        Self::RegionCut,
        Self::RegionReturn,
        Self::Release,
        Self::OtherFailures,
    ];

    /// The number of nodes that serve no requests in this case.
    pub fn nodes_unavailable(self, plan: &Plan) -> f64 {
        match self {
            Self::RestartsAtOnce => plan.restarts_at_once,
            Self::RackLost => plan.rack_nodes,
            Self::ZoneLost => plan.nodes / plan.zones,
            Self::RegionCut => plan.nodes / plan.regions,
            Self::Release => plan.release_nodes_at_once,
            Self::OrdinaryDay | Self::Peak | Self::RegionReturn | Self::OtherFailures => 0.0,
        }
    }

    /// The number of cache servers that are unreachable in this case.
    pub fn servers_unavailable(self, plan: &Plan) -> f64 {
        match self {
            Self::ZoneLost => plan.servers / plan.zones,
            Self::RegionCut => plan.servers / plan.regions,
            _ => 0.0,
        }
    }
}

impl fmt::Display for Case {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.pad(match self {
            Self::OrdinaryDay => "ordinary day",
            Self::Peak => "peak",
            Self::RestartsAtOnce => "restarts at once",
            Self::RackLost => "rack lost",
            Self::ZoneLost => "zone lost",
            Self::RegionCut => "region cut",
            Self::RegionReturn => "its return",
            Self::Release => "release",
            Self::OtherFailures => "other trouble",
        })
    }
}
