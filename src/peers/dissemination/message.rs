//! Messages between nodes. They are encoded with `postcard`, so the order of fields and variants is the wire format.

use serde::{Deserialize, Serialize};

/// Version of the message format. A node drops and counts messages of a later version.
pub const SCHEMA: u16 = 1;
/// Largest payload of an entry.
pub const MAX_PAYLOAD_BYTES: usize = 1_024;
/// Largest extension that a later version may add to an entry. Nodes forward it unchanged.
pub const MAX_EXTENSION_BYTES: usize = 32;

/// One entry of a log, or one version of a state. Publisher, epoch and sequence identify it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The publisher's epoch in which it was issued.
    pub epoch: u64,
    /// Sequence number in the log, or version of the state.
    pub sequence: u64,
    /// Application-defined kind. Each kind of state has its own versions.
    pub kind: u16,
    /// Format of the payload. Nodes forward entries of any schema; subscribers interpret it.
    pub schema: u16,
    /// Application data.
    pub payload: Vec<u8>,
    /// Data added by later versions of this program.
    pub extension: Vec<u8>,
}

impl Entry {
    /// Whether payload and extension are within their size limits.
    pub fn fits(&self) -> bool {
        self.payload.len() <= MAX_PAYLOAD_BYTES && self.extension.len() <= MAX_EXTENSION_BYTES
    }

    /// Upper bound of the encoded size in bytes.
    pub fn size(&self) -> usize {
        const FIELDS: usize = 3 * 5 + 2 * 3 + 2 * 2;
        FIELDS + self.payload.len() + self.extension.len()
    }
}

/// A part of a publisher's output that is acknowledged separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Channel {
    /// Its log.
    Log,
    /// Its versioned state of this kind.
    State(u16),
}

/// How much of a log a node holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// Key of the publisher.
    pub publisher: u64,
    /// The epoch that the node follows.
    pub epoch: u64,
    /// First sequence of this epoch.
    pub first: u64,
    /// All entries up to this sequence were delivered.
    pub delivered: u64,
    /// Inclusive ranges of entries that are held beyond `delivered`.
    pub held_ranges: Vec<(u64, u64)>,
    /// The log has been behind for so long that the node accepts a [`Message::Skip`] over entries no longer retained.
    pub stale: bool,
}

/// Which version of a state a node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatePosition {
    /// Key of the publisher.
    pub publisher: u64,
    /// Kind of the state.
    pub kind: u16,
    /// Epoch of the version held.
    pub epoch: u64,
    /// The version held.
    pub version: u64,
}

/// A node that has not applied something, or a whole subtree of which nothing is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingNode {
    /// Key of the node.
    pub key: u64,
    /// Nothing is known of any node below it either.
    pub whole_subtree: bool,
}

/// A node's refusal of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Key of the node.
    pub key: u64,
    /// The refused version.
    pub version: u64,
    /// Reason given by the subscriber.
    pub reason: String,
}

/// What a subtree has applied: every node of the set has applied everything up to `through`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Key of the publisher.
    pub publisher: u64,
    /// The publisher's log, or one of its states.
    pub channel: Channel,
    /// The epoch.
    pub epoch: u64,
    /// Sequence of the entry, or the version.
    pub through: u64,
    /// Number of nodes in the set.
    pub nodes: u32,
    /// Sum of the hashes of the nodes' incarnations: see [`set_hash`](super::overlay::set_hash).
    pub set_hash: u64,
    /// Nodes of the subtree that are not in the set, up to a limit.
    pub lagging: Vec<LaggingNode>,
    /// Whether there are more lagging nodes than are listed.
    pub lagging_truncated: bool,
    /// Refusals of the version `through`, up to a limit.
    pub refusals: Vec<Refusal>,
    /// Number of nodes that refused it.
    pub refusal_count: u32,
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Entries of a log: pushed along the tree, or sent again to repair a loss.
    Entries {
        /// Key of the publisher.
        publisher: u64,
        /// The epoch that the sender follows.
        epoch: u64,
        /// First sequence of this epoch.
        first: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// Versions of the publisher's states that the sender holds.
        states: Vec<StatePosition>,
    },
    /// A complete version of a state.
    State {
        /// Key of the publisher.
        publisher: u64,
        /// The version.
        entry: Entry,
    },
    /// A digest of what the sender holds. The receiver sends what the sender is missing.
    Digest {
        /// Logs.
        logs: Vec<LogPosition>,
        /// States.
        states: Vec<StatePosition>,
        /// Whether the digest covers everything that the sender knows of.
        complete: bool,
        /// Hops of the tree from the receiver to the sender, as far as known. Entries too recent to have passed that many
        /// hops are still on their way and need not be sent. Zero if the sender gets nothing from its parent and wants
        /// everything.
        hops: u8,
        /// The sender has just started and asks for a [`Message::JoinResponse`].
        joining: bool,
    },
    /// Response to a node that has just started: the current position of each log.
    JoinResponse {
        /// Positions of the logs at the sender.
        logs: Vec<LogPosition>,
    },
    /// Entries of a log up to `through` are no longer retained; the receiver continues after them.
    Skip {
        /// Key of the publisher.
        publisher: u64,
        /// The epoch that the sender follows.
        epoch: u64,
        /// First sequence of this epoch.
        first: u64,
        /// Sequence of the last entry that is skipped.
        through: u64,
    },
    /// Acknowledgements, sent up the tree.
    Reports(Vec<Report>),
    /// Confirms that reports on this publisher's channels were received.
    Confirm {
        /// Key of the publisher.
        publisher: u64,
    },
    /// Response to a sender that follows an earlier epoch: a later one is current.
    Fenced {
        /// Key of the publisher.
        publisher: u64,
        /// The current epoch.
        epoch: u64,
        /// First sequence of this epoch.
        first: u64,
    },
}

#[derive(Serialize)]
struct OutgoingPacket<'a> {
    schema: u16,
    cluster: u32,
    message: &'a Message,
}

#[derive(Deserialize)]
struct Header {
    schema: u16,
    cluster: u32,
}

/// Why a datagram could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is over the size limit.
    #[error("datagram exceeds the size limit")]
    Oversized,
    /// It is not a valid message.
    #[error("datagram is not a valid message")]
    Malformed,
    /// It belongs to another cluster.
    #[error("datagram belongs to another cluster")]
    Foreign,
    /// It has a later schema.
    #[error("datagram has a later schema")]
    LaterSchema,
}

/// Encodes a message. `cluster`: hash of the cluster's name.
pub fn encode(cluster: u32, message: &Message) -> Vec<u8> {
    // Encoding a message of owned fields cannot fail.
    postcard::to_stdvec(&OutgoingPacket { schema: SCHEMA, cluster, message }).unwrap_or_default()
}

/// Decodes a datagram of at most `max_bytes` bytes. `cluster`: hash of the cluster's name.
pub fn decode(cluster: u32, max_bytes: usize, data: &[u8]) -> Result<Message, DecodeError> {
    if data.len() > max_bytes {
        return Err(DecodeError::Oversized);
    }
    let (header, rest) = postcard::take_from_bytes::<Header>(data).map_err(|_| DecodeError::Malformed)?;
    if header.cluster != cluster {
        return Err(DecodeError::Foreign);
    }
    if header.schema > SCHEMA {
        return Err(DecodeError::LaterSchema);
    }
    postcard::from_bytes(rest).map_err(|_| DecodeError::Malformed)
}
