//! The columns of the tables: the ordinary day, the peak, and each failure of the plan.

use super::Plan;
use std::fmt;

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Case {
    /// Nothing beyond single machines.
    OrdinaryDay,
    /// The most requests.
    Peak,
    /// Restarts of an ordinary day, all at once.
    RestartsAtOnce,
    /// A rack or a switch is lost.
    RackLost,
    /// A zone is lost, nodes and cache servers.
    ZoneLost,
    /// A region is cut off; its clients come to the others.
    RegionCut,
    /// It comes back.
    RegionReturn,
    /// All nodes are restarted in turn.
    Release,
    /// What the plan does not name and membership is measured in.
    OtherTrouble,
}

impl Case {
    /// All, in the order of the columns.
    pub const ALL: [Self; 9] = [
        Self::OrdinaryDay,
        Self::Peak,
        Self::RestartsAtOnce,
        Self::RackLost,
        Self::ZoneLost,
        Self::RegionCut,
        Self::RegionReturn,
        Self::Release,
        Self::OtherTrouble,
    ];

    /// Nodes that take no requests meanwhile.
    pub fn nodes_out(self, plan: &Plan) -> f64 {
        match self {
            Self::RestartsAtOnce => plan.restarts_at_once,
            Self::RackLost => plan.rack_nodes,
            Self::ZoneLost => plan.nodes / plan.zones,
            Self::RegionCut => plan.nodes / plan.regions,
            Self::Release => plan.release_nodes_at_once,
            Self::OrdinaryDay | Self::Peak | Self::RegionReturn | Self::OtherTrouble => 0.0,
        }
    }

    /// Cache servers that are out of reach meanwhile.
    pub fn servers_out(self, plan: &Plan) -> f64 {
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
            Self::OtherTrouble => "other trouble",
        })
    }
}
