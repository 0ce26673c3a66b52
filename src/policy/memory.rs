//! How a node divides its memory between all that draws on it: the list of cache servers, connections, and
//! the bodies of requests and answers. [`MemoryBudget`] is the only owner of the limit.

/// What the program occupies before it has a list or a connection, its pages of code and its tables of keys
/// and ids included.
const PROGRAM_BYTES: u64 = 6 << 20;
/// One part in this many of the memory is left to the allocator, for what it holds but does not use.
const ALLOCATOR_PARTS: u64 = 16;
/// The least part of the memory that is divided, however little there is.
const MIN_DIVIDED_PARTS: u64 = 4;
/// Memory for a listed cache server: its entry, its state and its pool.
pub const SERVER_ENTRY_BYTES: usize = 2_350;
/// Memory for a connection to a client, with its task and buffers, and short heads that come in one piece.
pub const CLIENT_CONNECTION_BYTES: usize = 21 << 10;
/// Memory for a head that comes in pieces: the read buffer grows for it.
pub const HEAD_BYTES: usize = 16 << 10;
/// How much of that the read buffer occupies for the life of the connection.
pub const KEPT_HEAD_BYTES: usize = 8 << 10;
/// Memory for a connection to a cache server that has served many requests, with its task, its buffers and
/// the queue of its requests.
pub const SERVER_CONNECTION_BYTES: usize = 38 << 10;
/// Bodies may occupy one part in this many of the memory, and one part in this many of what is divided
/// between them and connections.
const BODY_MEMORY_PARTS: u64 = 4;
const BODY_DIVIDED_PARTS: usize = 3;
/// What is left to connections is divided into this many parts. Some are for connections to clients alone,
/// some for those to cache servers alone, and the others for whoever takes them first.
const CONNECTION_PARTS: usize = 9;
const CLIENT_PARTS: usize = 4;
const SERVER_PARTS: usize = 3;
/// Bodies up to this size may use the whole share of bodies: ordinary requests are served while large ones
/// fill the rest.
pub const SMALL_BODY_BYTES: usize = 4 << 10;

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// A listed cache server. It is never refused: a node has to know all of them.
    ServerEntry,
    /// A connection to a client, without the requests on it.
    ClientConnection,
    /// A connection to a cache server.
    ServerConnection,
    /// The body of a request that has not been forwarded, its head if that is long or comes in pieces, and
    /// bytes behind it: the request can be refused, and its client retries it.
    Request,
    /// The body of an answer to a request that may have been executed: it is read once there is memory for
    /// it, or its time is over.
    Answer,
}

/// Whether memory may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may, and is counted.
    Granted,
    /// Try again once memory has been released.
    Wait,
    /// It may not.
    Refused,
}

/// Counts all that draws on the memory of a node, and decides who gets more of it.
#[derive(Debug)]
pub struct MemoryBudget {
    /// What is divided: the node's memory without the program.
    divided: usize,
    /// The most that bodies may ever occupy.
    max_bodies: usize,
    server_entries: usize,
    client_connections: usize,
    server_connections: usize,
    messages: usize,
}

impl MemoryBudget {
    /// A budget for a node with this much memory.
    pub fn new(memory_bytes: u64) -> Self {
        let for_program = PROGRAM_BYTES + memory_bytes / ALLOCATOR_PARTS;
        let divided = memory_bytes.saturating_sub(for_program).max(memory_bytes / MIN_DIVIDED_PARTS);
        let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        Self {
            divided: size(divided),
            max_bodies: size(memory_bytes / BODY_MEMORY_PARTS),
            server_entries: 0,
            client_connections: 0,
            server_connections: 0,
            messages: 0,
        }
    }

    /// How many bytes are used for this.
    pub fn used(&self, memory_use: MemoryUse) -> usize {
        match memory_use {
            MemoryUse::ServerEntry => self.server_entries,
            MemoryUse::ClientConnection => self.client_connections,
            MemoryUse::ServerConnection => self.server_connections,
            MemoryUse::Request | MemoryUse::Answer => self.messages,
        }
    }

    /// How many bytes all bodies may occupy together.
    pub fn body_capacity(&self) -> usize {
        self.max_bodies.min(self.shared() / BODY_DIVIDED_PARTS)
    }

    /// How many bytes the list of cache servers leaves to connections and bodies.
    fn shared(&self) -> usize {
        self.divided.saturating_sub(self.server_entries)
    }

    /// How many bytes all connections may occupy together.
    fn connection_capacity(&self) -> usize {
        self.shared() - self.body_capacity()
    }

    /// How many connections to clients there may be, if those to cache servers leave the memory.
    pub fn max_client_connections(&self) -> usize {
        (self.client_capacity() / CLIENT_CONNECTION_BYTES).max(1)
    }

    /// How many connections to cache servers there may be, if those to clients leave the memory.
    pub fn max_server_connections(&self) -> usize {
        (self.server_capacity() / SERVER_CONNECTION_BYTES).max(1)
    }

    fn client_capacity(&self) -> usize {
        self.connection_capacity() / CONNECTION_PARTS * (CONNECTION_PARTS - SERVER_PARTS)
    }

    fn server_capacity(&self) -> usize {
        self.connection_capacity() / CONNECTION_PARTS * (CONNECTION_PARTS - CLIENT_PARTS)
    }

    /// Whether one more connection to a client would have memory if those to cache servers left it.
    pub fn has_share_for_client(&self) -> bool {
        self.client_connections.saturating_add(CLIENT_CONNECTION_BYTES) <= self.client_capacity()
    }

    /// Decides whether something that occupies `held` bytes may occupy `wanted` bytes instead, and counts
    /// them if so.
    pub fn resize(&mut self, memory_use: MemoryUse, held: usize, wanted: usize) -> Decision {
        let used = self.used(memory_use).saturating_sub(held).saturating_add(wanted);
        if wanted <= held || self.allows(memory_use, wanted, used) {
            *self.counter(memory_use) = used;
            return Decision::Granted;
        }
        match memory_use {
            MemoryUse::ServerEntry | MemoryUse::Answer => Decision::Wait,
            MemoryUse::ClientConnection | MemoryUse::ServerConnection | MemoryUse::Request => {
                Decision::Refused
            }
        }
    }

    /// Whether `used` bytes may be used for this together, `size` of them for a single one.
    fn allows(&self, memory_use: MemoryUse, size: usize, used: usize) -> bool {
        match memory_use {
            MemoryUse::ServerEntry => true,
            // However little memory there is, a node has a connection to a client and one to a cache server.
            MemoryUse::ClientConnection => {
                let together = used.saturating_add(self.server_connections);
                used <= CLIENT_CONNECTION_BYTES
                    || used <= self.client_capacity() && together <= self.connection_capacity()
            }
            MemoryUse::ServerConnection => {
                let together = used.saturating_add(self.client_connections);
                used <= SERVER_CONNECTION_BYTES
                    || used <= self.server_capacity() && together <= self.connection_capacity()
            }
            MemoryUse::Request | MemoryUse::Answer => used <= self.body_limit(memory_use, size),
        }
    }

    /// Up to how many bytes in all a body of this size may be added. Answers come before further requests:
    /// those that they belong to already occupy memory, which the answer releases.
    fn body_limit(&self, memory_use: MemoryUse, size: usize) -> usize {
        let capacity = self.body_capacity();
        match memory_use {
            _ if size <= SMALL_BODY_BYTES => capacity,
            MemoryUse::Request => capacity / 8 * 5,
            _ => capacity / 8 * 7,
        }
    }

    fn counter(&mut self, memory_use: MemoryUse) -> &mut usize {
        match memory_use {
            MemoryUse::ServerEntry => &mut self.server_entries,
            MemoryUse::ClientConnection => &mut self.client_connections,
            MemoryUse::ServerConnection => &mut self.server_connections,
            MemoryUse::Request | MemoryUse::Answer => &mut self.messages,
        }
    }
}

/// How many bytes to count for a body that needs this capacity and has at most `max_bytes`. An answer that is
/// not small counts with its largest size at once: answers that each hold a part could otherwise wait for
/// each other.
pub fn body_charge(memory_use: MemoryUse, capacity: usize, max_bytes: usize) -> usize {
    match memory_use {
        MemoryUse::Answer if capacity > SMALL_BODY_BYTES => max_bytes.max(capacity),
        _ => capacity,
    }
}

/// How many bytes to count for a body of which only the announced length is known. A request counts for
/// nothing before it arrives, whatever its client announces. An answer is not read before there is memory for
/// it.
pub fn initial_body_charge(memory_use: MemoryUse, announced: usize) -> usize {
    match memory_use {
        MemoryUse::Answer => announced,
        _ => 0,
    }
}
