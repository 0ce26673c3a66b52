//! Placement of nodes in regions, zones and sites, and the latency between them.

use crate::model::Micros;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Number of regions in the planned deployment.
pub const REGIONS: usize = 8;
/// Number of zones in the planned deployment.
pub const ZONES: usize = 19;
/// Number of sites in the planned deployment.
pub const SITES: usize = 43;

/// Minimum and maximum one-way latency within a zone.
const WITHIN_ZONE_US: (Micros, Micros) = (150, 900);
/// Added to it between zones of a region.
const BETWEEN_ZONES_US: Micros = 1_000;
/// Added to it between regions, one way, in milliseconds: 20 to the nearest region, 200 to the farthest.
pub const BETWEEN_REGIONS_MS: [[Micros; REGIONS]; REGIONS] = [
    [0, 20, 40, 70, 100, 130, 160, 200],
    [20, 0, 20, 50, 80, 110, 150, 180],
    [40, 20, 0, 30, 60, 100, 130, 160],
    [70, 50, 30, 0, 40, 70, 110, 140],
    [100, 80, 60, 40, 0, 40, 80, 110],
    [130, 110, 100, 70, 40, 0, 50, 80],
    [160, 150, 130, 110, 80, 50, 0, 40],
    [200, 180, 160, 140, 110, 80, 40, 0],
];

/// The network that the nodes run in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Topology {
    /// All nodes in one zone: less than 1 ms between any two nodes
    #[default]
    Flat,
    /// 8 regions, 19 zones and 43 sites, with 20 to 200 ms between regions
    Regions,
}

/// Location of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Index of the site.
    pub site: usize,
    /// Index of the zone.
    pub zone: usize,
    /// Index of the region.
    pub region: usize,
}

impl Topology {
    /// The name used in settings and series.
    pub fn name(self) -> &'static str {
        match self {
            Self::Flat => "flat",
            Self::Regions => "regions",
        }
    }

    /// Location of a node: nodes are assigned to sites round robin, likewise sites to zones and zones to regions.
    pub fn location(self, node: usize) -> Location {
        match self {
            Self::Flat => Location { site: 0, zone: 0, region: 0 },
            Self::Regions => {
                let site = node % SITES;
                let zone = site % ZONES;
                Location { site, zone, region: zone % REGIONS }
            }
        }
    }

    /// One-way latency of a datagram.
    pub fn latency(self, from: usize, to: usize, random: &mut impl Rng) -> Micros {
        let within_zone = random.random_range(WITHIN_ZONE_US.0..WITHIN_ZONE_US.1);
        within_zone + self.added_latency(self.location(from), self.location(to))
    }

    /// Latency on top of that within a zone.
    fn added_latency(self, from: Location, to: Location) -> Micros {
        if from.zone == to.zone {
            return 0;
        }
        if from.region == to.region {
            return BETWEEN_ZONES_US;
        }
        BETWEEN_REGIONS_MS[from.region][to.region] * 1_000
    }
}

#[cfg(test)]
mod tests;
