//! The table of peers: the status of each, counts by status, and the digest of the view, updated with each change.

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
    /// The hash of its identity.
    pub identity_hash: u64,
    pub tag: IdentityTag,
    pub status: PeerStatus,
    /// When its status last changed.
    pub status_since: Micros,
    /// The envelope version of its last datagram; 0 until one is received.
    pub schema: u16,
    /// The latest report on this identity that the engine was given.
    pub reported: ReportedState,
}

/// A report that a peer is alive or suspected. Reports are ordered as in SWIM: the higher incarnation takes precedence,
/// and within one incarnation a suspicion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReportedState {
    pub incarnation: foca::Incarnation,
    pub suspected: bool,
}

impl Member {
    /// Whether it counts as a node of the view.
    pub fn is_counted(&self) -> bool {
        !self.peer.observer && !self.status.is_departed()
    }
}

/// The number of nodes with each status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StatusCounts {
    pub present: usize,
    pub suspected: usize,
    pub left: usize,
    pub lost: usize,
}

impl StatusCounts {
    fn count_mut(&mut self, status: PeerStatus) -> &mut usize {
        match status {
            PeerStatus::Present => &mut self.present,
            PeerStatus::Suspected => &mut self.suspected,
            PeerStatus::Left => &mut self.left,
            PeerStatus::Lost => &mut self.lost,
        }
    }
}

/// All known peers, without the node itself, ordered by the leaf of the view that their address belongs to.
pub(super) struct MemberTable {
    members: BTreeMap<(u16, SocketAddr), Member>,
    counts: StatusCounts,
    /// The digest of the nodes in the view, including this one unless it is an observer.
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

    /// The members in a range of leaves.
    pub fn in_leaves(&self, leaves: Range<u16>) -> impl Iterator<Item = &Member> {
        let from = |leaf| (leaf, SocketAddr::from(([0, 0, 0, 0], 0)));
        self.members.range(from(leaves.start)..from(leaves.end)).map(|(_, member)| member)
    }

    /// Sets the identity of the node itself.
    pub fn set_local(&mut self, before: Option<&Peer>, own: &Peer) {
        if let Some(before) = before.filter(|before| !before.observer) {
            self.digest.remove(before.address, identity_hash(before));
        }
        if !own.observer {
            self.digest.add(own.address, identity_hash(own));
        }
    }

    /// Sets a new identity for an address; its status stays.
    pub fn replace_identity(&mut self, peer: &Peer) {
        let Some(mut member) = self.take(&peer.address) else { return };
        (member.peer, member.identity_hash, member.tag) =
            (peer.clone(), identity_hash(peer), IdentityTag::of(peer));
        (member.schema, member.reported) = (0, ReportedState::default());
        self.put(member);
    }

    /// Records the envelope version of a peer's datagram.
    pub fn set_schema(&mut self, address: &SocketAddr, schema: u16) {
        if let Some(member) = self.members.get_mut(&key(address)) {
            member.schema = schema;
        }
    }

    /// Records a report that is given to the engine; returns whether it may change the state of the engine.
    pub fn record_report(&mut self, peer: &Peer, report: ReportedState) -> bool {
        let Some(member) = self.members.get_mut(&key(&peer.address)) else { return true };
        if member.peer != *peer {
            return peer.supersedes(&member.peer);
        }
        let is_new = report > member.reported && !member.status.is_departed();
        if is_new {
            member.reported = report;
        }
        is_new
    }

    /// Sets the status of a peer; returns whether its status or identity has changed.
    pub fn set_status(&mut self, now: Micros, peer: &Peer, status: PeerStatus) -> bool {
        let before = self.take(&peer.address);
        let same = before.as_ref().filter(|before| before.peer == *peer);
        let changed = same.is_none_or(|before| before.status != status);
        // A restarted process may run another version, and its incarnations start from zero.
        let (schema, reported) =
            same.map_or((0, ReportedState::default()), |before| (before.schema, before.reported));
        // An observer is removed as soon as it is no longer present.
        if !(peer.observer && status != PeerStatus::Present) {
            let (peer, identity_hash, tag) = (peer.clone(), identity_hash(peer), IdentityTag::of(peer));
            self.put(Member { peer, identity_hash, tag, status, status_since: now, schema, reported });
        }
        changed
    }

    /// All peers, sorted by name and address.
    pub fn records(&self, now: Micros) -> Vec<PeerRecord> {
        let mut members: Vec<_> = self.members.values().collect();
        members.sort_by(|a, b| (&a.peer.name, a.peer.address).cmp(&(&b.peer.name, b.peer.address)));
        let records = members.into_iter().map(|member| PeerRecord {
            peer: member.peer.clone(),
            status: member.status,
            status_age_us: now.saturating_sub(member.status_since),
        });
        records.collect()
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
