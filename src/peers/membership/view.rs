//! Peers as a node sees them: their standing, and the digest by which views are compared.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use super::agreement::Agreement;
use crate::peers::identity::Peer;
use crate::peers::Micros;

/// What became of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It answers.
    Present,
    /// It did not answer lately.
    Suspected,
    /// It said that it leaves.
    Left,
    /// It is gone without a word.
    Lost,
}

impl Standing {
    /// Whether it is gone.
    pub(super) fn is_gone(self) -> bool {
        matches!(self, Self::Left | Self::Lost)
    }
}

/// One peer as it is seen.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Seen {
    /// Who.
    pub peer: Peer,
    /// What became of it.
    pub standing: Standing,
    /// For how long, in microseconds.
    pub since: Micros,
}

/// What a node sees of its cluster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct View {
    /// All peers that it knows of, itself apart, by name.
    pub peers: Vec<Seen>,
    /// Nodes that are present, itself among them.
    pub nodes: u32,
    /// The count that it relies on.
    pub in_force: u32,
    /// How far views lie apart.
    pub agreement: Agreement,
    /// For how long, in microseconds.
    pub since: Micros,
    /// Its own view's digest.
    pub digest: u64,
    /// Digests of others that differ, with those that have them.
    pub differing: BTreeMap<u64, Vec<SocketAddr>>,
}

/// The figures of a [`View`] that cost nothing to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewSummary {
    /// Nodes that are present, the node itself among them.
    pub nodes: u32,
    /// The count that it relies on.
    pub in_force: u32,
    /// How far views lie apart.
    pub agreement: Agreement,
    /// The digest of its view.
    pub digest: u64,
}

/// A peer in the table.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub peer: Peer,
    pub standing: Standing,
    /// When it came to stand so.
    pub since: Micros,
    /// The version of the envelope that it sent last; 0 until it is heard.
    pub schema: u16,
}

/// All peers that are known of, by address.
#[derive(Default)]
pub(super) struct MemberTable {
    members: HashMap<SocketAddr, Member>,
}

impl MemberTable {
    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn get(&self, address: &SocketAddr) -> Option<&Member> {
        self.members.get(address)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Nodes of a standing; observers are not counted.
    pub fn count(&self, standing: Standing) -> usize {
        self.members.values().filter(|held| held.standing == standing && !held.peer.observer).count()
    }

    /// An address has another identity.
    pub fn replace(&mut self, peer: &Peer) {
        if let Some(held) = self.members.get_mut(&peer.address) {
            held.peer = peer.clone();
        }
    }

    /// A peer was heard in this version of the envelope.
    pub fn heard(&mut self, address: &SocketAddr, schema: u16) {
        if let Some(held) = self.members.get_mut(address) {
            held.schema = schema;
        }
    }

    /// Sets how a peer stands; whether that is another standing than before.
    pub fn set(&mut self, now: Micros, peer: &Peer, standing: Standing) -> bool {
        let before = self.members.remove(&peer.address);
        // A restart may be another version: it is heard again before it counts.
        let schema = before.as_ref().filter(|before| before.peer == *peer).map_or(0, |before| before.schema);
        self.members.insert(peer.address, Member { peer: peer.clone(), standing, since: now, schema });
        // An observer that goes is nobody's loss.
        if peer.observer && standing != Standing::Present {
            self.members.remove(&peer.address);
        }
        before.is_none_or(|before| (&before.peer, before.standing) != (peer, standing))
    }

    /// All of them by name, as a view tells them.
    pub fn seen(&self, now: Micros) -> Vec<Seen> {
        let mut members: Vec<_> = self.members.values().collect();
        members.sort_by(|a, b| (&a.peer.name, a.peer.address).cmp(&(&b.peer.name, b.peer.address)));
        let seen = members.into_iter().map(|member| Seen {
            peer: member.peer.clone(),
            standing: member.standing,
            since: now.saturating_sub(member.since),
        });
        seen.collect()
    }
}

/// A hash of one life of a peer, the same at every node and in every build. The digest of a view is the sum, without
/// regard to order, of these for each life of a node in it.
pub(super) fn life_hash(peer: &Peer) -> u64 {
    let address = match peer.address {
        SocketAddr::V4(address) => u64::from(address.ip().to_bits()) << 16 | u64::from(address.port()),
        SocketAddr::V6(address) => {
            let bits = address.ip().to_bits();
            mix(bits as u64) ^ (bits >> 64) as u64 ^ u64::from(address.port())
        }
    };
    mix(address ^ mix(peer.order ^ mix(u64::from(peer.salt))))
}

/// The finalizer of SplitMix64.
pub(super) fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
mod tests;
