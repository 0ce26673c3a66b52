//! Outputs of the dissemination core, and its counters.

use super::super::Micros;
use super::message::{Channel, Entry, Refusal};
use std::net::SocketAddr;

/// An action for the caller to carry out, or an event for the subscriber or the publisher.
#[derive(Clone, Debug, PartialEq)]
pub enum DisseminationOutput {
    /// Send a datagram.
    Send {
        /// Destination.
        to: SocketAddr,
        /// The datagram.
        data: Vec<u8>,
    },
    /// Deliver an entry to the subscriber: each entry of a publisher comes once and in order.
    Deliver {
        /// Key of the publisher.
        publisher: u64,
        /// The entry.
        entry: Entry,
    },
    /// The subscriber does not get this publisher's entries up to `through`: it joined later, or was unreachable for longer
    /// than entries are retained.
    LogReset {
        /// Key of the publisher.
        publisher: u64,
        /// Sequence of the last entry that was delivered.
        after: u64,
        /// Sequence of the last entry that is skipped.
        through: u64,
    },
    /// A publisher continues under a later epoch, from `first` on.
    EpochChanged {
        /// Key of the publisher.
        publisher: u64,
        /// The new epoch.
        epoch: u64,
        /// First sequence of the new epoch.
        first: u64,
    },
    /// A new version of a state was received. The subscriber accepts or refuses it by
    /// [`Dissemination::decide_state`](super::Dissemination::decide_state).
    StateOffered {
        /// Key of the publisher.
        publisher: u64,
        /// The version.
        entry: Entry,
    },
    /// The subscriber accepted a version of a state; it is now in force.
    StateApplied {
        /// Key of the publisher.
        publisher: u64,
        /// The version.
        entry: Entry,
    },
    /// To the publisher: a node refused a version.
    StateRefused {
        /// Kind of the state.
        kind: u16,
        /// The node, the version and the reason.
        refusal: Refusal,
    },
    /// To the publisher: all present nodes have applied this entry or version.
    Acknowledged {
        /// The publisher's log, or one of its states.
        channel: Channel,
        /// Sequence of the entry, or the version.
        sequence: u64,
        /// Time from publishing to this acknowledgement.
        elapsed: Micros,
        /// Number of nodes that have applied it.
        nodes: u32,
    },
    /// To the publisher: not all present nodes reported within the time limit that they have applied this entry or version.
    Unacknowledged {
        /// The publisher's log, or one of its states.
        channel: Channel,
        /// Sequence of the entry, or the version.
        sequence: u64,
        /// Number of nodes that have applied it.
        nodes: u32,
        /// Keys of nodes that have not, up to a limit.
        lagging: Vec<u64>,
        /// Number of further nodes that have not.
        unlisted: u32,
    },
    /// This node has been behind in a log for longer than [`stale_after`](super::DisseminationConfig::stale_after).
    Stale {
        /// Key of the publisher.
        publisher: u64,
        /// Number of entries that are known to exist and were not delivered.
        behind: u64,
    },
    /// To a publisher: another process publishes under this later epoch, so this one must stop publishing.
    Fenced {
        /// The current epoch.
        epoch: u64,
    },
}

/// Counts of what was dropped, abandoned or repaired since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct DisseminationCounters {
    /// Datagrams that could not be decoded.
    pub malformed: u64,
    /// Datagrams or entries over the size limit.
    pub oversized: u64,
    /// Datagrams of another cluster.
    pub foreign: u64,
    /// Datagrams of a later schema.
    pub later_schema: u64,
    /// Entries that were received again.
    pub duplicates: u64,
    /// Entries of an epoch that had ended.
    pub fenced: u64,
    /// Entries too far ahead of the last one delivered, and messages of publishers beyond the limit.
    pub refused: u64,
    /// Pushes, repairs and reports that were dropped because a queue was full or their receiver was removed. What was lost
    /// is requested again.
    #[serde(rename = "given_up")]
    pub abandoned: u64,
    /// Entries that were sent again.
    pub repaired: u64,
    /// Largest number of items that were queued for lack of byte budget.
    #[serde(rename = "most_waiting")]
    pub max_queued: u64,
}

impl DisseminationCounters {
    /// Adds the counters of another node; of `max_queued` the larger one is kept.
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
