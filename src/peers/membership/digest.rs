//! Digests by which views are compared: of a whole view, and of each part of it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::peers::identity::Peer;

/// A view's finest parts: two to this power. Up to four thousand nodes that is about four nodes in each.
const FINEST: u8 = 10;
/// Nodes in a part on the mean: few where most parts differ, so that what is alike is not listed; more where few do, so
/// that digests of all parts take few bytes.
const NODES_IN_FINE_PART: u32 = 4;
const NODES_IN_COARSE_PART: u32 = 16;

/// A hash of one life of a peer, the same at every node and in every build. The digest of a view is the sum, without
/// regard to order, of these for each life of a node in it.
pub(super) fn life_hash(peer: &Peer) -> u64 {
    life_hash_of(peer.address, peer.order, peer.salt)
}

/// See [`life_hash`].
pub(super) fn life_hash_of(address: SocketAddr, order: u64, salt: u32) -> u64 {
    mix(address_bits(address) ^ mix(order ^ mix(u64::from(salt))))
}

/// Which finest part of a view an address belongs to.
pub(super) fn part_of(address: SocketAddr) -> u16 {
    (mix(address_bits(address)) >> (64 - FINEST)) as u16
}

fn address_bits(address: SocketAddr) -> u64 {
    match address {
        SocketAddr::V4(address) => u64::from(address.ip().to_bits()) << 16 | u64::from(address.port()),
        SocketAddr::V6(address) => {
            let bits = address.ip().to_bits();
            mix(bits as u64) ^ (bits >> 64) as u64 ^ u64::from(address.port())
        }
    }
}

/// The finalizer of SplitMix64.
pub(super) fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Six bytes of the hash of a life: enough to tell any two lives of a cluster apart, in a fifth of an identity's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(super) struct LifeTag([u8; 6]);

impl LifeTag {
    pub fn of(life: u64) -> Self {
        let [a, b, c, d, e, f, ..] = life.to_le_bytes();
        Self([a, b, c, d, e, f])
    }
}

/// A way to cut a view into parts: two to the power of `depth`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Partition {
    depth: u8,
}

impl Partition {
    /// For a view of so many nodes, where much differs.
    pub fn fine(nodes: u32) -> Self {
        Self::of_parts(nodes / NODES_IN_FINE_PART)
    }

    /// For a view of so many nodes, where little differs.
    pub fn coarse(nodes: u32) -> Self {
        Self::of_parts(nodes / NODES_IN_COARSE_PART)
    }

    fn of_parts(parts: u32) -> Self {
        Self { depth: (parts.max(1).ilog2() as u8).min(FINEST) }
    }

    /// Whether it is one that a peer may ask for.
    pub fn is_valid(self) -> bool {
        self.depth <= FINEST
    }

    pub fn parts(self) -> u16 {
        1 << self.depth
    }

    /// The finest parts that one part of this partition is made of.
    pub fn finest(self, part: u16) -> std::ops::Range<u16> {
        let shift = FINEST - self.depth;
        part << shift..(part + 1) << shift
    }
}

/// The digest of a view and of its parts, kept up with each change.
#[derive(Clone)]
pub(super) struct ViewDigest {
    whole: u64,
    parts: Vec<u64>,
}

impl ViewDigest {
    pub fn new() -> Self {
        Self { whole: 0, parts: vec![0; 1 << FINEST] }
    }

    pub fn whole(&self) -> u64 {
        self.whole
    }

    pub fn add(&mut self, address: SocketAddr, life: u64) {
        self.whole = self.whole.wrapping_add(life);
        let part = &mut self.parts[usize::from(part_of(address))];
        *part = part.wrapping_add(life);
    }

    pub fn remove(&mut self, address: SocketAddr, life: u64) {
        self.add(address, life.wrapping_neg());
    }

    /// A part's digest in two bytes. With another `nonce` it is another one: two that are alike by chance are so once.
    pub fn short(&self, partition: Partition, part: u16, nonce: u32) -> u16 {
        let range = partition.finest(part);
        let finest = &self.parts[usize::from(range.start)..usize::from(range.end)];
        let sum = finest.iter().fold(0u64, |sum, digest| sum.wrapping_add(*digest));
        mix(sum ^ u64::from(nonce)) as u16
    }
}

#[cfg(test)]
mod tests;
