//! What membership sends, counted by kind.

use serde::Serialize;

use crate::peers::identity::Peer;

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TrafficKind {
    /// Whether a peer is there, and the answer, by way of others too.
    Probe,
    /// News to random peers.
    Gossip,
    /// Asks whoever is there for a list of members.
    Announce,
    /// The answer: a part of the members.
    Feed,
    /// LeaveMessages, and the word to one that it is taken for gone.
    Notice,
    /// Compares views and brings what one lacks.
    Repair,
}

/// All kinds.
pub const TRAFFIC_KINDS: [TrafficKind; 6] = [
    TrafficKind::Probe,
    TrafficKind::Gossip,
    TrafficKind::Announce,
    TrafficKind::Feed,
    TrafficKind::Notice,
    TrafficKind::Repair,
];

impl TrafficKind {
    /// That of a message of the engine.
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

/// Datagrams of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCount {
    /// How many.
    pub datagrams: u64,
    /// Their bytes, without headers of the network.
    pub bytes: u64,
}

/// All that was sent, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    counts: [TrafficCount; TRAFFIC_KINDS.len()],
}

impl Traffic {
    /// What was sent of a kind.
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
