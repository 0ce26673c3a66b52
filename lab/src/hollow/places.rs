//! Where nodes stand: regions, zones in them, racks in those; and how long a datagram takes from one place to another.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Nodes that share a rack.
pub const RACK: usize = 12;
/// One way between two zones of a region.
const BETWEEN_ZONES: Duration = Duration::from_millis(1);

/// Regions and zones, and how far regions lie apart.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Map {
    /// Regions, on a ring: opposite ones are the farthest.
    pub regions: u32,
    /// Zones, over which nodes are spread in turn, and which are spread over the regions in turn.
    pub zones: u32,
    /// One way between neighbouring regions.
    #[serde(with = "humantime_serde")]
    pub nearest: Duration,
    /// One way between opposite regions.
    #[serde(with = "humantime_serde")]
    pub farthest: Duration,
}

/// Where one node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Its region.
    pub region: u32,
    /// Its zone; zones of different regions have different numbers.
    pub zone: u32,
}

impl Map {
    /// Where a node stands.
    pub fn place(&self, node: usize) -> Place {
        let zone = (node % self.zones.max(1) as usize) as u32;
        Place { region: zone % self.regions.max(1), zone }
    }

    /// How long a datagram takes, one way.
    pub fn delay(&self, from: Place, to: Place) -> Duration {
        if from.zone == to.zone {
            return Duration::ZERO;
        }
        let steps = self.steps(from.region, to.region);
        if steps == 0 {
            return BETWEEN_ZONES;
        }
        let most = (self.regions / 2).max(1);
        let spread = self.farthest.saturating_sub(self.nearest);
        let part = if most == 1 { 0.0 } else { f64::from(steps - 1) / f64::from(most - 1) };
        self.nearest + spread.mul_f64(part)
    }

    /// Steps along the ring of regions, the shorter way.
    fn steps(&self, one: u32, two: u32) -> u32 {
        let apart = one.abs_diff(two);
        apart.min(self.regions.saturating_sub(apart))
    }

    /// The nodes of a zone, of so many in all.
    pub fn in_zone(&self, zone: u32, nodes: usize) -> Vec<usize> {
        (0..nodes).filter(|&node| self.place(node).zone == zone).collect()
    }

    /// The nodes of a region, of so many in all.
    pub fn in_region(&self, region: u32, nodes: usize) -> Vec<usize> {
        (0..nodes).filter(|&node| self.place(node).region == region).collect()
    }

    /// The nodes of the first rack of a zone.
    pub fn in_rack(&self, zone: u32, nodes: usize) -> Vec<usize> {
        self.in_zone(zone, nodes).into_iter().take(RACK).collect()
    }
}

#[cfg(test)]
mod tests;
