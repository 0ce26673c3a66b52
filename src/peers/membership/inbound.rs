//! The engine's messages taken apart: its header, the words on members behind it, and what rides at the end.
//!
//! The engine looks each member up by walking its list, and passes on all that is news to it. So words that cannot be
//! news are left out before it sees them, and what is passed on is decided here.

use foca::{Header, Member, Message, State};

use std::borrow::Cow;

use super::members::{MemberTable, ReportedState};
use crate::peers::identity::Peer;

/// A word on one member.
pub(super) type MemberUpdate = Member<Peer>;

/// The number of updates before them, in network byte order.
const COUNT_BYTES: usize = 2;

/// A message of the engine.
pub(super) struct InboundMessage<'a> {
    pub header: Header<Peer>,
    pub updates: Vec<MemberUpdate>,
    /// Its bytes before the updates.
    head: Cow<'a, [u8]>,
    /// Custom broadcasts.
    tail: &'a [u8],
}

impl<'a> InboundMessage<'a> {
    /// Reads a message; none where it is malformed.
    pub fn decode(payload: &'a [u8]) -> Option<Self> {
        let (header, rest) = postcard::take_from_bytes::<Header<Peer>>(payload).ok()?;
        let head = &payload[..payload.len() - rest.len()];
        let (updates, tail) = match rest.split_first_chunk::<COUNT_BYTES>() {
            Some((count, rest)) if carries_updates(&header.message) => decode_updates(*count, rest)?,
            _ => (Vec::new(), rest),
        };
        Some(Self { header, updates, head: head.into(), tail })
    }

    /// Whether it asks its reader for a sign of life.
    pub fn is_probe(&self) -> bool {
        matches!(self.header.message, Message::Ping(_) | Message::IndirectPing { .. })
    }

    /// Addresses the message to another life of its reader.
    pub fn readdress(&mut self, reader: Peer) {
        self.header.dst = reader;
        // It was read from bytes, so that it can be written to them.
        if let Ok(head) = postcard::to_stdvec(&self.header) {
            self.head = head.into();
        }
    }

    /// The same message without its updates.
    pub fn without_updates(&self) -> Vec<u8> {
        let count: &[u8] = match carries_updates(&self.header.message) && self.tail.len() != 1 {
            true => &[0; COUNT_BYTES],
            false => &[],
        };
        [&self.head[..], count, self.tail].concat()
    }
}

fn carries_updates(message: &Message<Peer>) -> bool {
    !matches!(message, Message::Announce | Message::TurnUndead | Message::Broadcast)
}

fn decode_updates(count: [u8; COUNT_BYTES], mut rest: &[u8]) -> Option<(Vec<MemberUpdate>, &[u8])> {
    let mut updates = Vec::new();
    for _ in 0..u16::from_be_bytes(count) {
        let (update, left) = postcard::take_from_bytes(rest).ok()?;
        updates.push(update);
        rest = left;
    }
    Some((updates, rest))
}

/// Whether an update may change what the engine holds. It is remembered as given to the engine.
pub(super) fn is_new_update(table: &mut MemberTable, update: &MemberUpdate) -> bool {
    let peer = update.id();
    if update.state() == State::Down {
        let held = table.get(&peer.address);
        return held.is_none_or(|held| match held.peer == *peer {
            true => !held.status.is_departed(),
            false => peer.supersedes(&held.peer),
        });
    }
    let suspected = update.state() == State::Suspect;
    table.record_report(peer, ReportedState { incarnation: update.incarnation(), suspected })
}

/// A message of the engine with no more than so many of its updates.
pub(super) fn truncate_updates(payload: &[u8], most: usize) -> Vec<u8> {
    let whole = || payload.to_vec();
    let header = postcard::take_from_bytes::<Header<Peer>>(payload);
    let Some((header, rest)) = header.ok().filter(|_| most < usize::MAX) else { return whole() };
    let Some((count, updates)) = rest.split_first_chunk::<COUNT_BYTES>() else { return whole() };
    if !carries_updates(&header.message) || usize::from(u16::from_be_bytes(*count)) <= most {
        return whole();
    }
    let (mut left, mut kept) = (updates, 0u16);
    while usize::from(kept) < most {
        let Ok((_, behind)) = postcard::take_from_bytes::<MemberUpdate>(left) else { break };
        left = behind;
        kept += 1;
    }
    let head = &payload[..payload.len() - rest.len()];
    [head, &kept.to_be_bytes(), &updates[..updates.len() - left.len()]].concat()
}

#[cfg(test)]
mod tests;
