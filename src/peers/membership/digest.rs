//! Digests by which views are compared: of a whole view, and of each part of it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::peers::identity::Peer;

/// A view's finest parts: two to this power. Up to four thousand nodes that is about four nodes in each.
const FINEST: u8 = 10;
/// Nodes in a part on the mean: few, so that little is listed that is alike.
const NODES_IN_PART: u32 = 4;
/// Parts that are compared at the most: their digests take this many times two bytes.
const MOST_COMPARED: u32 = 256;

/// A hash of one life of a peer, the same at every node and in every build. The digest of a view is the sum, without
/// regard to order, of these for each life of a node in it.
pub(super) fn life_hash(peer: &Peer) -> u64 {
    life_hash_of(peer.address, peer.generation, peer.salt)
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

/// One life of a peer in eight bytes, a quarter of an identity's: enough to tell which lives are one address's, which of
/// them is the later one, and whether two are the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(super) struct LifeTag {
    /// Of the hash of its address. Within one part of a view two addresses hardly ever share it.
    address: [u8; 3],
    /// Its order in units of 16.8 s, so that it is no more often the same again than in nine years.
    order: [u8; 3],
    /// Of the hash of the life, for those that began in one such unit.
    check: [u8; 2],
}

/// Bits of the order that a tag leaves out.
const ORDER_UNIT_BITS: u32 = 24;

impl LifeTag {
    pub fn of(peer: &Peer) -> Self {
        let [a, b, c, ..] = mix(address_bits(peer.address)).to_le_bytes();
        let [.., o, p, q] = (peer.generation >> ORDER_UNIT_BITS).to_be_bytes();
        let [.., x, y] = life_hash(peer).to_le_bytes();
        Self { address: [a, b, c], order: [o, p, q], check: [x, y] }
    }

    /// Whether both are lives of one address.
    pub fn same_address(&self, other: &Self) -> bool {
        self.address == other.address
    }

    /// Which of two lives of one address is the later one, as far as tags tell.
    pub fn compare_order(&self, other: &Self) -> std::cmp::Ordering {
        self.order.cmp(&other.order)
    }
}

/// A way to cut a view into parts: two to the power of `depth`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Partition {
    depth: u8,
}

impl Partition {
    /// The one for a view of so many nodes.
    pub fn for_nodes(nodes: u32) -> Self {
        let parts = (nodes / NODES_IN_PART).clamp(1, MOST_COMPARED);
        Self { depth: parts.ilog2() as u8 }
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
