//! Where nodes stand, and how long datagrams take between them.

use crate::draw::{self, Stream};
use crate::model::Micros;
use rand::Rng;
use std::net::{Ipv4Addr, SocketAddr};
use walkpick::peers::dissemination::Member;

const PORT: u16 = 7_946;
/// One way, between two regions.
const BETWEEN_REGIONS_US: (f64, f64) = (20_000.0, 200_000.0);
/// Between zones of a region, and within a zone.
const BETWEEN_ZONES_US: (Micros, Micros) = (500, 2_000);
const WITHIN_ZONE_US: (Micros, Micros) = (150, 900);
/// What chance adds to a way between regions, as a part of it.
const JITTER: f64 = 0.05;

/// Regions, zones and sites, over which nodes are dealt in turn.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Regions.
    pub regions: usize,
    /// Zones of all regions.
    pub zones: usize,
    /// Sites of all zones.
    pub sites: usize,
}

impl Default for Topology {
    /// The operators' plan.
    fn default() -> Self {
        Self { regions: 8, zones: 19, sites: 43 }
    }
}

impl Topology {
    /// The site of a node.
    pub fn site(&self, node: usize) -> usize {
        node % self.sites
    }

    /// The zone of a node.
    pub fn zone(&self, node: usize) -> usize {
        self.site(node) % self.zones
    }

    /// The region of a node.
    pub fn region(&self, node: usize) -> usize {
        self.zone(node) % self.regions
    }

    /// A node as others know it, in this life.
    pub fn member(&self, node: usize, life: u32) -> Member {
        let name = |what: &str, number: usize| format!("{what}-{number}");
        let (region, zone, site) = (self.region(node), self.zone(node), self.site(node));
        Member::new(
            (node as u64) << 32 | u64::from(life),
            &name("node", node),
            address(node),
            &name("region", region),
            &name("zone", zone),
            &name("site", site),
        )
    }

    /// The time of one datagram from one node to another.
    pub fn way(&self, seed: u64, from: usize, to: usize, random: &mut impl Rng) -> Micros {
        let (here, there) = (self.region(from), self.region(to));
        if here != there {
            let pair = (here.min(there) * self.regions + here.max(there)) as u64;
            let (least, most) = BETWEEN_REGIONS_US;
            let way = least + (most - least) * draw::unit(seed, Stream::Network, pair);
            return (way * (1.0 + JITTER * random.random::<f64>())) as Micros;
        }
        let (least, most) = if self.zone(from) == self.zone(to) { WITHIN_ZONE_US } else { BETWEEN_ZONES_US };
        random.random_range(least..most)
    }
}

/// Where a node listens.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(0x0a00_0001 + node as u32), PORT))
}

/// Whose address it is.
pub fn place(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => (address.ip().to_bits() as usize).checked_sub(0x0a00_0001),
        SocketAddr::V6(_) => None,
    }
}
