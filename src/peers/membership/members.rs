//! The table of peers: their standing, counts by standing, and the digest of the view, kept up with each change.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;

use super::digest::{identity_hash, leaf_of, IdentityTag, ViewDigest};
use super::view::{PeerRecord, PeerStatus};
use crate::peers::identity::Peer;
use crate::peers::Micros;

/// A peer in the table.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub peer: Peer,
    /// The hash of this life of it.
    pub identity_hash: u64,
    pub tag: IdentityTag,
    pub status: PeerStatus,
    /// When it came to stand so.
    pub status_since: Micros,
    /// The version of the envelope that it sent last; 0 until it is heard.
    pub schema: u16,
    /// The latest word on this life that the engine was given.
    pub reported: ReportedState,
}

/// A word on one life, in the order of SWIM: the greater incarnation goes first, and in one incarnation a suspicion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReportedState {
    pub incarnation: foca::Incarnation,
    pub suspected: bool,
}

impl Member {
    /// Whether it is a node in the view.
    pub fn is_counted(&self) -> bool {
        !self.peer.observer && !self.status.is_departed()
    }
}

/// How many nodes stand how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StatusCounts {
    pub present: usize,
    pub suspected: usize,
    pub left: usize,
    pub lost: usize,
}

impl StatusCounts {
    fn count_mut(&mut self, standing: PeerStatus) -> &mut usize {
        match standing {
            PeerStatus::Present => &mut self.present,
            PeerStatus::Suspected => &mut self.suspected,
            PeerStatus::Left => &mut self.left,
            PeerStatus::Lost => &mut self.lost,
        }
    }
}

/// All peers that are known of, the node itself apart. They lie by the part of the view that their address belongs to.
pub(super) struct MemberTable {
    members: BTreeMap<(u16, SocketAddr), Member>,
    counts: StatusCounts,
    /// Of the nodes in the view, and of the node itself where it is counted.
    digest: ViewDigest,
}

impl MemberTable {
    pub fn new() -> Self {
        Self { members: BTreeMap::new(), counts: StatusCounts::default(), digest: ViewDigest::new() }
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn counts(&self) -> StatusCounts {
        self.counts
    }

    pub fn digest(&self) -> &ViewDigest {
        &self.digest
    }

    pub fn get(&self, address: &SocketAddr) -> Option<&Member> {
        self.members.get(&key(address))
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Those of some of the finest parts of the view.
    pub fn in_leaves(&self, parts: Range<u16>) -> impl Iterator<Item = &Member> {
        let from = |part| (part, SocketAddr::from(([0, 0, 0, 0], 0)));
        self.members.range(from(parts.start)..from(parts.end)).map(|(_, member)| member)
    }

    /// The node itself has another identity.
    pub fn set_local(&mut self, before: Option<&Peer>, own: &Peer) {
        if let Some(before) = before.filter(|before| !before.observer) {
            self.digest.remove(before.address, identity_hash(before));
        }
        if !own.observer {
            self.digest.add(own.address, identity_hash(own));
        }
    }

    /// An address has another identity, which stands as the one before did.
    pub fn replace_identity(&mut self, peer: &Peer) {
        let Some(mut member) = self.take(&peer.address) else { return };
        (member.peer, member.identity_hash, member.tag) =
            (peer.clone(), identity_hash(peer), IdentityTag::of(peer));
        (member.schema, member.reported) = (0, ReportedState::default());
        self.put(member);
    }

    /// A peer was heard in this version of the envelope.
    pub fn set_schema(&mut self, address: &SocketAddr, schema: u16) {
        if let Some(member) = self.members.get_mut(&key(address)) {
            member.schema = schema;
        }
    }

    /// The engine was given a word on a life; whether it may have changed what the engine holds.
    pub fn record_report(&mut self, peer: &Peer, word: ReportedState) -> bool {
        let Some(member) = self.members.get_mut(&key(&peer.address)) else { return true };
        if member.peer != *peer {
            return peer.supersedes(&member.peer);
        }
        let news = word > member.reported && !member.status.is_departed();
        if news {
            member.reported = word;
        }
        news
    }

    /// Sets how a peer stands; whether that is another standing than before.
    pub fn set_status(&mut self, now: Micros, peer: &Peer, standing: PeerStatus) -> bool {
        let before = self.take(&peer.address);
        let same = before.as_ref().filter(|before| before.peer == *peer);
        let is_new_update = same.is_none_or(|before| before.status != standing);
        // A restart may be another version, and has its own incarnations.
        let (schema, word) =
            same.map_or((0, ReportedState::default()), |before| (before.schema, before.reported));
        // An observer that goes is nobody's loss.
        if !(peer.observer && standing != PeerStatus::Present) {
            let (peer, life, tag) = (peer.clone(), identity_hash(peer), IdentityTag::of(peer));
            self.put(Member {
                peer,
                identity_hash: life,
                tag,
                status: standing,
                status_since: now,
                schema,
                reported: word,
            });
        }
        is_new_update
    }

    /// All of them by name, as a view tells them.
    pub fn records(&self, now: Micros) -> Vec<PeerRecord> {
        let mut members: Vec<_> = self.members.values().collect();
        members.sort_by(|a, b| (&a.peer.name, a.peer.address).cmp(&(&b.peer.name, b.peer.address)));
        let seen = members.into_iter().map(|member| PeerRecord {
            peer: member.peer.clone(),
            status: member.status,
            status_age_us: now.saturating_sub(member.status_since),
        });
        seen.collect()
    }

    fn take(&mut self, address: &SocketAddr) -> Option<Member> {
        let member = self.members.remove(&key(address))?;
        if !member.peer.observer {
            *self.counts.count_mut(member.status) -= 1;
        }
        if member.is_counted() {
            self.digest.remove(*address, member.identity_hash);
        }
        Some(member)
    }

    fn put(&mut self, member: Member) {
        if !member.peer.observer {
            *self.counts.count_mut(member.status) += 1;
        }
        if member.is_counted() {
            self.digest.add(member.peer.address, member.identity_hash);
        }
        self.members.insert(key(&member.peer.address), member);
    }
}

fn key(address: &SocketAddr) -> (u16, SocketAddr) {
    (leaf_of(*address), *address)
}

#[cfg(test)]
mod tests;
