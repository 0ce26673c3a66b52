//! Placement of nodes in regions, zones and sites, and the latency between them.

use crate::draw::{self, Stream};
use crate::model::Micros;
use rand::Rng;
use std::net::{Ipv4Addr, SocketAddr};
use walkpick::peers::dissemination::Member;

const PORT: u16 = 7_946;
/// Minimum and maximum one-way latency between two regions.
const BETWEEN_REGIONS_US: (f64, f64) = (20_000.0, 200_000.0);
/// Minimum and maximum one-way latency between zones of a region.
const BETWEEN_ZONES_US: (Micros, Micros) = (500, 2_000);
/// Minimum and maximum one-way latency within a zone.
const WITHIN_ZONE_US: (Micros, Micros) = (150, 900);
/// Upper bound of the random addition to the latency between regions, as a fraction of it.
const JITTER: f64 = 0.05;

/// Regions, zones and sites, to which nodes are assigned round robin.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Number of regions.
    pub regions: usize,
    /// Number of zones in all regions.
    pub zones: usize,
    /// Number of sites in all zones.
    pub sites: usize,
}

impl Default for Topology {
    /// The planned deployment.
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

    /// A node's identity as other nodes know it, for this count of its identities.
    pub fn member(&self, node: usize, identity: u32) -> Member {
        let name = |what: &str, number: usize| format!("{what}-{number}");
        let (region, zone, site) = (self.region(node), self.zone(node), self.site(node));
        Member::new(
            (node as u64) << 32 | u64::from(identity),
            &name("node", node),
            address(node),
            &name("region", region),
            &name("zone", zone),
            &name("site", site),
        )
    }

    /// One-way latency of a datagram.
    pub fn latency(&self, seed: u64, from: usize, to: usize, random: &mut impl Rng) -> Micros {
        let (here, there) = (self.region(from), self.region(to));
        if here != there {
            let pair = (here.min(there) * self.regions + here.max(there)) as u64;
            let (min, max) = BETWEEN_REGIONS_US;
            let latency = min + (max - min) * draw::unit(seed, Stream::Network, pair);
            return (latency * (1.0 + JITTER * random.random::<f64>())) as Micros;
        }
        let (min, max) = if self.zone(from) == self.zone(to) { WITHIN_ZONE_US } else { BETWEEN_ZONES_US };
        random.random_range(min..max)
    }
}

/// The address that a node listens on.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(0x0a00_0001 + node as u32), PORT))
}

/// The index of the node with this address; may be out of range.
pub fn node_index(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => (address.ip().to_bits() as usize).checked_sub(0x0a00_0001),
        SocketAddr::V6(_) => None,
    }
}
