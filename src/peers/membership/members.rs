//! The table of peers: their standing, counts by standing, and the digest of the view, kept up with each change.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;

use super::digest::{life_hash, part_of, LifeTag, ViewDigest};
use super::view::{PeerRecord, PeerStatus};
use crate::peers::identity::Peer;
use crate::peers::Micros;

/// A peer in the table.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub peer: Peer,
    /// The hash of this life of it.
    pub life: u64,
    pub tag: LifeTag,
    pub standing: PeerStatus,
    /// When it came to stand so.
    pub since: Micros,
    /// The version of the envelope that it sent last; 0 until it is heard.
    pub schema: u16,
    /// The latest word on this life that the engine was given.
    pub word: Word,
}

/// A word on one life, in the order of SWIM: the greater incarnation goes first, and in one incarnation a suspicion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Word {
    pub incarnation: foca::Incarnation,
    pub suspected: bool,
}

impl Member {
    /// Whether it is a node in the view.
    pub fn is_counted(&self) -> bool {
        !self.peer.observer && !self.standing.is_gone()
    }
}

/// How many nodes stand how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StandingCounts {
    pub present: usize,
    pub suspected: usize,
    pub left: usize,
    pub lost: usize,
}

impl StandingCounts {
    fn of(&mut self, standing: PeerStatus) -> &mut usize {
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
    counts: StandingCounts,
    /// Of the nodes in the view, and of the node itself where it is counted.
    digest: ViewDigest,
}

impl MemberTable {
    pub fn new() -> Self {
        Self { members: BTreeMap::new(), counts: StandingCounts::default(), digest: ViewDigest::new() }
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn counts(&self) -> StandingCounts {
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
    pub fn in_parts(&self, parts: Range<u16>) -> impl Iterator<Item = &Member> {
        let from = |part| (part, SocketAddr::from(([0, 0, 0, 0], 0)));
        self.members.range(from(parts.start)..from(parts.end)).map(|(_, member)| member)
    }

    /// The node itself has another identity.
    pub fn set_own(&mut self, before: Option<&Peer>, own: &Peer) {
        if let Some(before) = before.filter(|before| !before.observer) {
            self.digest.remove(before.address, life_hash(before));
        }
        if !own.observer {
            self.digest.add(own.address, life_hash(own));
        }
    }

    /// An address has another identity, which stands as the one before did.
    pub fn replace(&mut self, peer: &Peer) {
        let Some(mut member) = self.take(&peer.address) else { return };
        (member.peer, member.life, member.tag) = (peer.clone(), life_hash(peer), LifeTag::of(peer));
        (member.schema, member.word) = (0, Word::default());
        self.put(member);
    }

    /// A peer was heard in this version of the envelope.
    pub fn heard(&mut self, address: &SocketAddr, schema: u16) {
        if let Some(member) = self.members.get_mut(&key(address)) {
            member.schema = schema;
        }
    }

    /// The engine was given a word on a life; whether it may have changed what the engine holds.
    pub fn hear_word(&mut self, peer: &Peer, word: Word) -> bool {
        let Some(member) = self.members.get_mut(&key(&peer.address)) else { return true };
        if member.peer != *peer {
            return peer.supersedes(&member.peer);
        }
        let news = word > member.word && !member.standing.is_gone();
        if news {
            member.word = word;
        }
        news
    }

    /// Sets how a peer stands; whether that is another standing than before.
    pub fn set(&mut self, now: Micros, peer: &Peer, standing: PeerStatus) -> bool {
        let before = self.take(&peer.address);
        let same = before.as_ref().filter(|before| before.peer == *peer);
        let is_news = same.is_none_or(|before| before.standing != standing);
        // A restart may be another version, and has its own incarnations.
        let (schema, word) = same.map_or((0, Word::default()), |before| (before.schema, before.word));
        // An observer that goes is nobody's loss.
        if !(peer.observer && standing != PeerStatus::Present) {
            let (peer, life, tag) = (peer.clone(), life_hash(peer), LifeTag::of(peer));
            self.put(Member { peer, life, tag, standing, since: now, schema, word });
        }
        is_news
    }

    /// All of them by name, as a view tells them.
    pub fn seen(&self, now: Micros) -> Vec<PeerRecord> {
        let mut members: Vec<_> = self.members.values().collect();
        members.sort_by(|a, b| (&a.peer.name, a.peer.address).cmp(&(&b.peer.name, b.peer.address)));
        let seen = members.into_iter().map(|member| PeerRecord {
            peer: member.peer.clone(),
            status: member.standing,
            status_age_us: now.saturating_sub(member.since),
        });
        seen.collect()
    }

    fn take(&mut self, address: &SocketAddr) -> Option<Member> {
        let member = self.members.remove(&key(address))?;
        if !member.peer.observer {
            *self.counts.of(member.standing) -= 1;
        }
        if member.is_counted() {
            self.digest.remove(*address, member.life);
        }
        Some(member)
    }

    fn put(&mut self, member: Member) {
        if !member.peer.observer {
            *self.counts.of(member.standing) += 1;
        }
        if member.is_counted() {
            self.digest.add(member.peer.address, member.life);
        }
        self.members.insert(key(&member.peer.address), member);
    }
}

fn key(address: &SocketAddr) -> (u16, SocketAddr) {
    (part_of(*address), *address)
}

#[cfg(test)]
mod tests;
