//! What nodes send each other for dissemination.

use serde::{Deserialize, Serialize};

/// The version of these messages. A node drops and counts what it can't read.
pub const SCHEMA: u16 = 1;
/// The largest payload of an entry.
pub const MAX_PAYLOAD_BYTES: usize = 1_024;
/// The most that a later version may add to an entry: it is carried on as it is.
pub const MAX_EXTENSION_BYTES: usize = 32;

/// One entry of a log, or one version of a state. What identifies it is publisher, epoch and sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The epoch of its publisher that issued it.
    pub epoch: u64,
    /// Its place in the log, or the version of the state.
    pub sequence: u64,
    /// What it is about; of state, what it is a version of.
    pub kind: u16,
    /// How its payload is written. Nodes carry all; subscribers judge it.
    pub schema: u16,
    /// What it says.
    pub payload: Vec<u8>,
    /// What later versions add.
    pub extension: Vec<u8>,
}

impl Entry {
    /// Whether it is no larger than entries may be.
    pub fn fits(&self) -> bool {
        self.payload.len() <= MAX_PAYLOAD_BYTES && self.extension.len() <= MAX_EXTENSION_BYTES
    }

    /// Bytes on the wire, at the most.
    pub fn size(&self) -> usize {
        const FIELDS: usize = 3 * 5 + 2 * 3 + 2 * 2;
        FIELDS + self.payload.len() + self.extension.len()
    }
}

/// What belongs to one publisher and is acknowledged together.
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
    /// The publisher's key.
    pub publisher: u64,
    /// The epoch that is followed.
    pub epoch: u64,
    /// The first sequence of this epoch.
    pub first: u64,
    /// All up to this one were delivered.
    pub delivered: u64,
    /// Ranges held behind that, both ends included.
    pub held_ranges: Vec<(u64, u64)>,
    /// It has been behind for so long that it takes a snapshot where an entry is no longer held.
    pub stale: bool,
}

/// Which version of a state a node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatePosition {
    /// The publisher's key.
    pub publisher: u64,
    /// What it is a version of.
    pub kind: u16,
    /// The epoch of the version held.
    pub epoch: u64,
    /// The version held.
    pub version: u64,
}

/// A node that lacks entries, or a whole branch of the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingNode {
    /// The node's key.
    pub key: u64,
    /// Nothing is known of all that is below it either.
    pub whole_subtree: bool,
}

/// A node that refused a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The node's key.
    pub key: u64,
    /// The version.
    pub version: u64,
    /// Why, in the subscriber's words.
    pub reason: String,
}

/// What a branch of the tree has applied: all nodes of the set have all of the line up to `through`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The publisher's key.
    pub publisher: u64,
    /// Which line of it.
    pub channel: Channel,
    /// The epoch.
    pub epoch: u64,
    /// The sequence.
    pub through: u64,
    /// How many nodes are in the set.
    pub nodes: u32,
    /// The sum over their lives.
    pub set_hash: u64,
    /// Nodes of the branch that are not in the set, as far as they fit.
    pub lagging: Vec<LaggingNode>,
    /// Whether some did not fit.
    pub lagging_truncated: bool,
    /// Who refused the version `through`, as far as they fit.
    pub refusals: Vec<Refusal>,
    /// How many refused it.
    pub refusal_count: u32,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Entries of a log: pushed along the tree, or sent again.
    Entries {
        /// The publisher's key.
        publisher: u64,
        /// The epoch that the sender follows.
        epoch: u64,
        /// The first sequence of it.
        first: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// Which versions of the publisher's states the sender holds.
        states: Vec<StatePosition>,
    },
    /// A version of a state, whole.
    State {
        /// The publisher's key.
        publisher: u64,
        /// The version.
        entry: Entry,
    },
    /// What the sender holds: a digest. Who has more sends it.
    Digest {
        /// Logs.
        logs: Vec<LogPosition>,
        /// States.
        states: Vec<StatePosition>,
        /// All that the sender knows of is here.
        complete: bool,
        /// How many hops of the tree an entry takes from the receiver to the sender, as far as known: what is younger than
        /// that is on its way. None where nothing comes from the sender's parent, and all is wanted.
        hops: u8,
        /// The sender has just started: it asks for a [`Message::JoinResponse`].
        joining: bool,
    },
    /// To a node that has just started: where each log stands.
    JoinResponse {
        /// The sender's positions.
        logs: Vec<LogPosition>,
    },
    /// A snapshot of a log: what came up to `through` is no longer held.
    Skip {
        /// The publisher's key.
        publisher: u64,
        /// The epoch that the sender follows.
        epoch: u64,
        /// The first sequence of it.
        first: u64,
        /// The last one that is left out.
        through: u64,
    },
    /// Acknowledgements on their way up the tree.
    Reports(Vec<Report>),
    /// Reports of this publisher's lines have come.
    Confirm {
        /// The publisher's key.
        publisher: u64,
    },
    /// To whoever goes by an earlier epoch: another one is in force.
    Fenced {
        /// The publisher's key.
        publisher: u64,
        /// The epoch in force.
        epoch: u64,
        /// The first sequence of it.
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

/// Why a datagram can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is longer than datagrams may be.
    #[error("too long")]
    Oversized,
    /// It is not a message.
    #[error("not a message")]
    Malformed,
    /// It is of another cluster.
    #[error("of another cluster")]
    Foreign,
    /// It is of a later schema.
    #[error("of a later schema")]
    LaterSchema,
}

/// Writes a message.
pub fn encode(cluster: u32, message: &Message) -> Vec<u8> {
    // A message of owned fields can't fail to be written.
    postcard::to_stdvec(&OutgoingPacket { schema: SCHEMA, cluster, message }).unwrap_or_default()
}

/// Reads a message.
pub fn decode(cluster: u32, largest: usize, data: &[u8]) -> Result<Message, DecodeError> {
    if data.len() > largest {
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
