//! What the core wants done, what it tells, and what it counts.

use super::super::Micros;
use super::message::{Channel, Entry, Refusal};
use std::net::SocketAddr;

/// What dissemination wants done, or tells.
#[derive(Clone, Debug, PartialEq)]
pub enum DisseminationOutput {
    /// Send a datagram.
    Send {
        /// To.
        to: SocketAddr,
        /// Its bytes.
        data: Vec<u8>,
    },
    /// An entry for the subscriber: the next one of its publisher, in order, once.
    Deliver {
        /// The publisher's key.
        publisher: u64,
        /// The entry.
        entry: Entry,
    },
    /// The subscriber gets none of this publisher's entries up to `through`: it joined later, or was away for longer
    /// than they are kept.
    LogReset {
        /// The publisher's key.
        publisher: u64,
        /// The last one that was delivered.
        after: u64,
        /// The last one that is left out.
        through: u64,
    },
    /// A publisher goes on under a later epoch, from `first`.
    EpochChanged {
        /// The publisher's key.
        publisher: u64,
        /// The epoch.
        epoch: u64,
        /// The first sequence of it.
        first: u64,
    },
    /// A version of a state has come. The subscriber answers by
    /// [`Dissemination::decide_state`](super::Dissemination::decide_state).
    StateOffered {
        /// The publisher's key.
        publisher: u64,
        /// The version.
        entry: Entry,
    },
    /// A version of a state is in force.
    StateApplied {
        /// The publisher's key.
        publisher: u64,
        /// The version.
        entry: Entry,
    },
    /// To the publisher: nodes that refused a version.
    StateRefused {
        /// The kind of the state.
        kind: u16,
        /// Who, which version, why.
        refusal: Refusal,
    },
    /// To the publisher: all present nodes have applied this.
    Acknowledged {
        /// Its log or state.
        channel: Channel,
        /// The entry or version.
        sequence: u64,
        /// The time from publishing it to this word.
        elapsed: Micros,
        /// How many nodes.
        nodes: u32,
    },
    /// To the publisher: within the bound not all present nodes have said that they applied this.
    Unacknowledged {
        /// Its log or state.
        channel: Channel,
        /// The entry or version.
        sequence: u64,
        /// How many nodes have said so.
        nodes: u32,
        /// Keys of those that have not, as far as they are named.
        lagging: Vec<u64>,
        /// How many more there are.
        unlisted: u32,
    },
    /// This node has been behind in a log for longer than the bound.
    Stale {
        /// The publisher's key.
        publisher: u64,
        /// How many entries it lacks, as far as it knows.
        behind: u64,
    },
    /// To a publisher: another one goes on under this later epoch; it must not publish any more.
    Fenced {
        /// The epoch in force.
        epoch: u64,
    },
}

/// What was dropped or given up, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct DisseminationCounters {
    /// Datagrams that are no messages.
    pub malformed: u64,
    /// Datagrams or entries that are too long.
    pub oversized: u64,
    /// Datagrams of another cluster.
    pub foreign: u64,
    /// Datagrams of a later schema.
    pub later_schema: u64,
    /// Entries that came again.
    pub duplicates: u64,
    /// Entries of an epoch that is over.
    pub fenced: u64,
    /// Entries too far ahead, or of publishers over the bound.
    pub refused: u64,
    /// Pushes, answers and reports that were given up because too much waited; what they held is asked for again.
    #[serde(rename = "given_up")]
    pub abandoned: u64,
    /// Entries that were sent again.
    pub repaired: u64,
    /// The most datagrams' worth of messages that waited for the budget.
    #[serde(rename = "most_waiting")]
    pub max_queued: u64,
}

impl DisseminationCounters {
    /// Adds another node's; of what waited the larger counts.
    pub fn add(&mut self, other: &Self) {
        self.malformed += other.malformed;
        self.oversized += other.oversized;
        self.foreign += other.foreign;
        self.later_schema += other.later_schema;
        self.duplicates += other.duplicates;
        self.fenced += other.fenced;
        self.refused += other.refused;
        self.abandoned += other.abandoned;
        self.repaired += other.repaired;
        self.max_queued = self.max_queued.max(other.max_queued);
    }
}
