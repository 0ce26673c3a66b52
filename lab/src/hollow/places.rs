//! Places of nodes (regions, zones within them, racks within zones) and the delay of a datagram from one place to
//! another.

use crate::cluster::topology::{BETWEEN_REGIONS_MS, REGIONS, ZONES};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use walkpick::peers::Location;

/// Nodes that share a rack.
pub const NODES_PER_RACK: usize = 12;
/// One-way delay between two zones of a region.
const ZONE_DELAY: Duration = Duration::from_millis(1);

/// The longest delay in the table of regions, which corresponds to [`Map::farthest`].
const MAX_REGION_DELAY_MS: u32 = 200;

/// Regions, zones and delays between regions: the table of the simulated cluster, scaled.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Map {
    /// Number of regions.
    pub regions: usize,
    /// Number of zones. Nodes are assigned to zones round-robin, and zones to regions likewise.
    pub zones: usize,
    /// One-way delay between the two regions of the table that are farthest apart; the others are scaled in proportion.
    #[serde(with = "humantime_serde")]
    pub farthest: Duration,
}

impl Default for Map {
    fn default() -> Self {
        let farthest = Duration::from_millis(MAX_REGION_DELAY_MS.into());
        Self { regions: REGIONS, zones: ZONES, farthest }
    }
}

/// Place of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Its region.
    pub region: usize,
    /// Its zone; zone numbers are unique across regions.
    pub zone: usize,
}

impl Place {
    /// The location that membership announces.
    pub fn location(&self) -> Location {
        let (region, zone) = (format!("r{}", self.region), format!("z{}", self.zone));
        Location { region, zone, site: String::new() }
    }
}

impl Map {
    /// The place of a node.
    pub fn place(&self, node: usize) -> Place {
        let zone = node % self.zones.max(1);
        Place { region: zone % self.regions.clamp(1, REGIONS), zone }
    }

    /// One-way delay of a datagram.
    pub fn delay(&self, from: Place, to: Place) -> Duration {
        if from.zone == to.zone {
            return Duration::ZERO;
        }
        if from.region == to.region {
            return ZONE_DELAY;
        }
        let table_delay_ms = BETWEEN_REGIONS_MS[from.region][to.region];
        self.farthest.mul_f64(table_delay_ms as f64 / f64::from(MAX_REGION_DELAY_MS))
    }

    /// The nodes of a zone, in a cluster of `nodes`.
    pub fn in_zone(&self, zone: usize, nodes: usize) -> Vec<usize> {
        (0..nodes).filter(|&node| self.place(node).zone == zone).collect()
    }

    /// The nodes of a region, in a cluster of `nodes`.
    pub fn in_region(&self, region: usize, nodes: usize) -> Vec<usize> {
        (0..nodes).filter(|&node| self.place(node).region == region).collect()
    }

    /// The nodes of the first rack of a zone.
    pub fn in_rack(&self, zone: usize, nodes: usize) -> Vec<usize> {
        self.in_zone(zone, nodes).into_iter().take(NODES_PER_RACK).collect()
    }
}

#[cfg(test)]
mod tests;
