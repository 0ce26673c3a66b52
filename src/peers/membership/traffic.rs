//! Counts of the datagrams that membership sends, by kind.

use serde::Serialize;

use crate::peers::identity::Peer;

/// The purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TrafficKind {
    /// Direct and indirect probes, and their acknowledgements.
    Probe,
    /// Updates sent to random peers.
    Gossip,
    /// Requests a list of members from the node at an address.
    Announce,
    /// The response to an announce: a list of some members.
    Feed,
    /// Leave messages, and notices to a peer that it is considered down.
    Notice,
    /// Anti-entropy: compares views and transfers missing members.
    Repair,
}

/// All kinds of traffic.
pub const TRAFFIC_KINDS: [TrafficKind; 6] = [
    TrafficKind::Probe,
    TrafficKind::Gossip,
    TrafficKind::Announce,
    TrafficKind::Feed,
    TrafficKind::Notice,
    TrafficKind::Repair,
];

impl TrafficKind {
    /// The kind of a message of the engine.
    pub(super) fn of(message: &foca::Message<Peer>) -> Self {
        use foca::Message;
        match message {
            Message::Announce => Self::Announce,
            Message::Feed => Self::Feed,
            Message::Gossip => Self::Gossip,
            Message::Broadcast | Message::TurnUndead => Self::Notice,
            _ => Self::Probe,
        }
    }
}

/// The datagrams sent of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCount {
    /// Their number.
    pub datagrams: u64,
    /// Their bytes, without network headers.
    pub bytes: u64,
}

/// Counts of all datagrams sent, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    counts: [TrafficCount; TRAFFIC_KINDS.len()],
}

impl Traffic {
    /// The datagrams sent of one kind.
    pub fn sent(&self, kind: TrafficKind) -> TrafficCount {
        self.counts[kind as usize]
    }

    pub(super) fn add(&mut self, kind: TrafficKind, bytes: usize) {
        let count = &mut self.counts[kind as usize];
        count.datagrams += 1;
        count.bytes += bytes as u64;
    }
}

#[cfg(test)]
mod tests;
