//! Where nodes stand, and how long datagrams take between them.

use crate::model::Micros;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Regions, zones and sites of the operators' plan.
pub const REGIONS: usize = 8;
/// See [`REGIONS`].
pub const ZONES: usize = 19;
/// See [`REGIONS`].
pub const SITES: usize = 43;

/// Time on the way within a zone, at the least and at the most.
const WITHIN_ZONE_US: (Micros, Micros) = (150, 900);
/// What the way to another zone of the region takes beside that.
const BETWEEN_ZONES_US: Micros = 1_000;
/// What the way to another region takes beside that, one way, in milliseconds: 20 to the next, 200 to the farthest.
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

/// Which network the nodes stand in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Topology {
    /// All in one zone: under 1 ms from any node to any other one.
    #[default]
    Flat,
    /// 8 regions, 19 zones and 43 sites, 20 to 200 ms from one region to another.
    Regions,
}

/// Where a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Its site.
    pub site: usize,
    /// Its zone.
    pub zone: usize,
    /// Its region.
    pub region: usize,
}

impl Topology {
    /// As it is written.
    pub fn name(self) -> &'static str {
        match self {
            Self::Flat => "flat",
            Self::Regions => "regions",
        }
    }

    /// Where a node stands: nodes go to the sites in turn, sites to the zones, zones to the regions.
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

    /// How long a datagram takes from one node to another.
    pub fn latency(self, from: usize, to: usize, random: &mut impl Rng) -> Micros {
        let near = random.random_range(WITHIN_ZONE_US.0..WITHIN_ZONE_US.1);
        near + self.distance(self.location(from), self.location(to))
    }

    /// What the way takes beside that within a zone.
    fn distance(self, from: Location, to: Location) -> Micros {
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
