//! Where nodes stand: regions, zones in them, racks in those; and how long a datagram takes from one place to another.

use crate::cluster::topology::{BETWEEN_REGIONS_MS, REGIONS, ZONES};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use walkpick::peers::Location;

/// Nodes that share a rack.
pub const RACK: usize = 12;
/// One way between two zones of a region.
const BETWEEN_ZONES: Duration = Duration::from_millis(1);

/// The longest way of the table between regions, which [`Map::farthest`] is.
const LONGEST_MS: u32 = 200;

/// Regions and zones, and how far regions lie apart: the table of the simulated cluster, stretched.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Map {
    /// Regions.
    pub regions: usize,
    /// Zones, over which nodes are spread in turn, and which are spread over the regions in turn.
    pub zones: usize,
    /// One way between the two regions of the table that lie farthest apart; all others in proportion.
    #[serde(with = "humantime_serde")]
    pub farthest: Duration,
}

impl Default for Map {
    fn default() -> Self {
        let farthest = Duration::from_millis(LONGEST_MS.into());
        Self { regions: REGIONS, zones: ZONES, farthest }
    }
}

/// Where one node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Its region.
    pub region: usize,
    /// Its zone; zones of different regions have different numbers.
    pub zone: usize,
}

impl Place {
    /// As peers are told it.
    pub fn location(&self) -> Location {
        let (region, zone) = (format!("r{}", self.region), format!("z{}", self.zone));
        Location { region, zone, site: String::new() }
    }
}

impl Map {
    /// Where a node stands.
    pub fn place(&self, node: usize) -> Place {
        let zone = node % self.zones.max(1);
        Place { region: zone % self.regions.clamp(1, REGIONS), zone }
    }

    /// How long a datagram takes, one way.
    pub fn delay(&self, from: Place, to: Place) -> Duration {
        if from.zone == to.zone {
            return Duration::ZERO;
        }
        if from.region == to.region {
            return BETWEEN_ZONES;
        }
        let of_table = BETWEEN_REGIONS_MS[from.region][to.region];
        self.farthest.mul_f64(of_table as f64 / f64::from(LONGEST_MS))
    }

    /// The nodes of a zone, of so many in all.
    pub fn in_zone(&self, zone: usize, nodes: usize) -> Vec<usize> {
        (0..nodes).filter(|&node| self.place(node).zone == zone).collect()
    }

    /// The nodes of a region, of so many in all.
    pub fn in_region(&self, region: usize, nodes: usize) -> Vec<usize> {
        (0..nodes).filter(|&node| self.place(node).region == region).collect()
    }

    /// The nodes of the first rack of a zone.
    pub fn in_rack(&self, zone: usize, nodes: usize) -> Vec<usize> {
        self.in_zone(zone, nodes).into_iter().take(RACK).collect()
    }
}

#[cfg(test)]
mod tests;
