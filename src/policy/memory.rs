//! How a node divides its memory: how many connections it may hold, and which bodies of requests and answers.

/// Memory for a connection to a client and one to a cache server, with all that belongs to a request on them
/// but the bodies. It is an upper bound, for the longest heads.
const BYTES_PER_CONNECTION: u64 = 64 << 10;
/// The share of the memory that bodies may occupy.
const BODY_SHARE: u64 = 4;
/// Bodies up to this size may use the whole share: ordinary requests are served while large ones fill the
/// rest.
pub const SMALL_BODY_BYTES: usize = 4 << 10;

/// The number of connections to clients, and to cache servers, for which a node has memory.
pub fn max_connections(memory_bytes: u64) -> usize {
    usize::try_from(memory_bytes / BYTES_PER_CONNECTION).unwrap_or(usize::MAX).max(1)
}

/// What a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyKind {
    /// A request that has not been forwarded: it can be refused, and its client retries it.
    Request,
    /// An answer to a request that may have been executed: it is read once there is memory for it, or its
    /// time is over.
    Answer,
}

/// Whether a body may occupy memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may, and is counted.
    Granted,
    /// Try again once memory has been released.
    Wait,
    /// It may not.
    Refused,
}

/// Counts the memory that bodies occupy, within the share of the node's memory that they may occupy together.
#[derive(Debug)]
pub struct BodyBudget {
    capacity: usize,
    used: usize,
}

impl BodyBudget {
    /// A budget for a node with this much memory.
    pub fn new(memory_bytes: u64) -> Self {
        Self { capacity: usize::try_from(memory_bytes / BODY_SHARE).unwrap_or(usize::MAX), used: 0 }
    }

    /// How many bytes bodies may occupy together.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// How many bytes bodies occupy.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Decides whether a body that occupies `held` bytes may occupy `wanted` bytes instead, and counts them
    /// if so.
    pub fn resize(&mut self, kind: BodyKind, held: usize, wanted: usize) -> Decision {
        let used = self.used.saturating_sub(held).saturating_add(wanted);
        if wanted <= held || used <= self.limit(kind, wanted) {
            self.used = used;
            return Decision::Granted;
        }
        match kind {
            BodyKind::Request => Decision::Refused,
            BodyKind::Answer => Decision::Wait,
        }
    }

    /// Up to how many bytes in all a body of this size may be added. Answers come before further requests:
    /// those that they belong to already occupy memory, which the answer releases.
    fn limit(&self, kind: BodyKind, size: usize) -> usize {
        match kind {
            _ if size <= SMALL_BODY_BYTES => self.capacity,
            BodyKind::Request => self.capacity / 8 * 5,
            BodyKind::Answer => self.capacity / 8 * 7,
        }
    }

    /// How many bytes to count for a body that needs this capacity and has at most `max_bytes`. An answer
    /// that is not small counts with its largest size at once: answers that each hold a part could otherwise
    /// wait for each other.
    pub fn charge(kind: BodyKind, capacity: usize, max_bytes: usize) -> usize {
        match kind {
            BodyKind::Answer if capacity > SMALL_BODY_BYTES => max_bytes.max(capacity),
            BodyKind::Request | BodyKind::Answer => capacity,
        }
    }

    /// How many bytes to count for a body of which only the announced length is known. A request counts for
    /// nothing before it arrives, whatever its client announces. An answer is not read before there is memory
    /// for it.
    pub fn initial_charge(kind: BodyKind, announced: usize) -> usize {
        match kind {
            BodyKind::Request => 0,
            BodyKind::Answer => announced,
        }
    }
}
