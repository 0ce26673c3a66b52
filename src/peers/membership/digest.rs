//! Digests by which views are compared: of a whole view, and of each bucket of it. A view is divided into buckets by a
//! hash of the members' addresses. The smallest buckets are called leaves; a coarser bucket is a range of leaves.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::peers::identity::Peer;

/// A view has two to this power leaves; with four thousand nodes each holds about four.
const MAX_DEPTH: u8 = 10;
/// Mean number of nodes in a bucket. It is small, so that few nodes are listed that both views hold.
const NODES_PER_BUCKET: u32 = 4;
/// Maximum number of buckets in a comparison; their digests take two bytes each.
const MAX_BUCKETS: u32 = 256;

/// A hash of a peer's identity, the same at every node and in every build. The digest of a view is the wrapping sum of
/// the hashes of its nodes, and so does not depend on their order.
pub(super) fn identity_hash(peer: &Peer) -> u64 {
    identity_hash_of(peer.address, peer.generation, peer.salt)
}

/// See [`identity_hash`].
pub(super) fn identity_hash_of(address: SocketAddr, generation: u64, salt: u32) -> u64 {
    mix(address_bits(address) ^ mix(generation ^ mix(u64::from(salt))))
}

/// The leaf of a view that an address belongs to.
pub(super) fn leaf_of(address: SocketAddr) -> u16 {
    (mix(address_bits(address)) >> (64 - MAX_DEPTH)) as u16
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

/// A peer's identity in eight bytes, a quarter of its full size. Tags show whether two identities have the same address,
/// which of those is the later one, and whether they are equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(super) struct IdentityTag {
    /// Part of the hash of its address; two addresses of one bucket rarely share it.
    address: [u8; 3],
    /// Its generation in units of 16.8 s; at that unit three bytes repeat after nine years.
    generation: [u8; 3],
    /// Part of the hash of the identity; tells apart identities whose generation is in the same unit.
    check: [u8; 2],
}

/// The low bits of the generation that a tag leaves out.
const GENERATION_UNIT_BITS: u32 = 24;

impl IdentityTag {
    pub fn of(peer: &Peer) -> Self {
        let [a, b, c, ..] = mix(address_bits(peer.address)).to_le_bytes();
        let [.., o, p, q] = (peer.generation >> GENERATION_UNIT_BITS).to_be_bytes();
        let [.., x, y] = identity_hash(peer).to_le_bytes();
        Self { address: [a, b, c], generation: [o, p, q], check: [x, y] }
    }

    /// Whether both identities have the same address.
    pub fn same_address(&self, other: &Self) -> bool {
        self.address == other.address
    }

    /// Orders two identities with the same address by generation, to the precision of tags.
    pub fn compare_generation(&self, other: &Self) -> std::cmp::Ordering {
        self.generation.cmp(&other.generation)
    }
}

/// A division of a view into two to the power of `depth` buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Bucketing {
    depth: u8,
}

impl Bucketing {
    /// The division that is used for a view with this many nodes.
    pub fn for_nodes(nodes: u32) -> Self {
        let buckets = (nodes / NODES_PER_BUCKET).clamp(1, MAX_BUCKETS);
        Self { depth: buckets.ilog2() as u8 }
    }

    /// Whether it is within bounds; a peer may send any value.
    pub fn is_valid(self) -> bool {
        self.depth <= MAX_DEPTH
    }

    pub fn buckets(self) -> u16 {
        1 << self.depth
    }

    /// The leaves that a bucket consists of.
    pub fn leaves(self, bucket: u16) -> std::ops::Range<u16> {
        let shift = MAX_DEPTH - self.depth;
        bucket << shift..(bucket + 1) << shift
    }
}

/// The digests of a view and of its leaves, updated with each change.
#[derive(Clone)]
pub(super) struct ViewDigest {
    whole: u64,
    leaves: Vec<u64>,
}

impl ViewDigest {
    pub fn new() -> Self {
        Self { whole: 0, leaves: vec![0; 1 << MAX_DEPTH] }
    }

    pub fn whole(&self) -> u64 {
        self.whole
    }

    pub fn add(&mut self, address: SocketAddr, identity_hash: u64) {
        self.whole = self.whole.wrapping_add(identity_hash);
        let leaf = &mut self.leaves[usize::from(leaf_of(address))];
        *leaf = leaf.wrapping_add(identity_hash);
    }

    pub fn remove(&mut self, address: SocketAddr, identity_hash: u64) {
        self.add(address, identity_hash.wrapping_neg());
    }

    /// The digest of a bucket in two bytes. It depends on `nonce`, so that a collision does not repeat in the next
    /// comparison.
    pub fn bucket(&self, bucketing: Bucketing, bucket: u16, nonce: u32) -> u16 {
        let range = bucketing.leaves(bucket);
        let leaves = &self.leaves[usize::from(range.start)..usize::from(range.end)];
        let sum = leaves.iter().fold(0u64, |sum, digest| sum.wrapping_add(*digest));
        mix(sum ^ u64::from(nonce)) as u16
    }
}

#[cfg(test)]
mod tests;
