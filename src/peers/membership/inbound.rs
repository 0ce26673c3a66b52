//! Decoding of the engine's messages: the header, the member updates after it, and the custom broadcasts at the end.
//!
//! The engine looks up each member by a linear search, and gossips every update that is new to it. So updates that cannot
//! be new are filtered out beforehand, and whether an update is gossiped is decided here.

use foca::{Header, Member, Message, State};

use std::borrow::Cow;

use super::members::{MemberTable, ReportedState};
use crate::peers::identity::Peer;

/// An update about one member.
pub(super) type MemberUpdate = Member<Peer>;

/// The length of the number that precedes the updates, in network byte order.
const COUNT_BYTES: usize = 2;

/// A message of the engine.
pub(super) struct InboundMessage<'a> {
    pub header: Header<Peer>,
    pub updates: Vec<MemberUpdate>,
    /// The encoded header.
    head: Cow<'a, [u8]>,
    /// Custom broadcasts.
    tail: &'a [u8],
}

impl<'a> InboundMessage<'a> {
    /// Decodes a message; `None` if it is malformed.
    pub fn decode(payload: &'a [u8]) -> Option<Self> {
        let (header, rest) = postcard::take_from_bytes::<Header<Peer>>(payload).ok()?;
        let head = &payload[..payload.len() - rest.len()];
        let (updates, tail) = match rest.split_first_chunk::<COUNT_BYTES>() {
            Some((count, rest)) if carries_updates(&header.message) => decode_updates(*count, rest)?,
            _ => (Vec::new(), rest),
        };
        Some(Self { header, updates, head: head.into(), tail })
    }

    /// Whether it is a direct or indirect probe of its receiver.
    pub fn is_probe(&self) -> bool {
        matches!(self.header.message, Message::Ping(_) | Message::IndirectPing { .. })
    }

    /// Addresses the message to another identity of its receiver.
    pub fn readdress(&mut self, receiver: Peer) {
        self.header.dst = receiver;
        // The header was decoded, so encoding it again does not fail.
        if let Ok(head) = postcard::to_stdvec(&self.header) {
            self.head = head.into();
        }
    }

    /// The encoded message without its updates.
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
        let (update, remaining) = postcard::take_from_bytes(rest).ok()?;
        updates.push(update);
        rest = remaining;
    }
    Some((updates, rest))
}

/// Whether an update may change the state of the engine. If so, it is recorded as given to the engine.
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

/// A message of the engine with at most `max` of its updates. A truncated message also loses its custom broadcasts.
pub(super) fn truncate_updates(payload: &[u8], max: usize) -> Vec<u8> {
    let whole = || payload.to_vec();
    let header = postcard::take_from_bytes::<Header<Peer>>(payload);
    let Some((header, rest)) = header.ok().filter(|_| max < usize::MAX) else { return whole() };
    let Some((count, updates)) = rest.split_first_chunk::<COUNT_BYTES>() else { return whole() };
    if !carries_updates(&header.message) || usize::from(u16::from_be_bytes(*count)) <= max {
        return whole();
    }
    let (mut rest_of_updates, mut kept) = (updates, 0u16);
    while usize::from(kept) < max {
        let Ok((_, remaining)) = postcard::take_from_bytes::<MemberUpdate>(rest_of_updates) else { break };
        rest_of_updates = remaining;
        kept += 1;
    }
    let head = &payload[..payload.len() - rest.len()];
    [head, &kept.to_be_bytes(), &updates[..updates.len() - rest_of_updates.len()]].concat()
}

#[cfg(test)]
mod tests;
