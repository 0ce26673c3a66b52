//! The interface of a [`Balancer`](crate::Balancer): settings and events go in, actions come out.

use std::fmt;
use std::ops::Add;
use std::sync::Arc;
use std::time::Duration;

macro_rules! string_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);
        impl $name {
            /// The string itself.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.into())
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

string_newtype!(/// Identifies a server by the name that the caller uses for it. Cheap to clone.
    ServerId);
string_newtype!(/// Identifies a request. An id is never reused. Cheap to clone.
    RequestId);
string_newtype!(/// Name of a zone, a kind of machine, a class or a tenant. Only compared, never interpreted.
    Name);

/// A reading of the caller's monotonic clock, in microseconds since an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The latest timestamp that can be represented.
    pub const MAX: Self = Self(u64::MAX);
    /// Creates a timestamp from a number of microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }
    /// The number of microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;
    fn add(self, time: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(time.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// The set of servers that recognize and discard a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers in the zone that the request was first sent to.
    Zone,
    /// The servers in the cell that the request was first sent to.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Running it again does no harm.
    Safe,
    /// Servers within `scope` discard repeats for `window`, from the first attempt that may have run.
    Keyed {
        /// The servers that discard repeats.
        scope: DedupScope,
        /// How long they discard repeats.
        window: Duration,
    },
    /// It must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: Name,
    /// Whether its requests may run more than once.
    pub effect: Effect,
    /// Answers within this time have their full worth.
    pub latency_target: Duration,
    /// Clients give up for good after this time.
    pub deadline: Duration,
    /// Worth of an answer within the latency target.
    pub worth: f64,
    /// Share of the worth that remains when an answer misses the latency target.
    pub late_worth: f64,
}

impl Default for Class {
    /// The most conservative class: its requests are never repeated.
    fn default() -> Self {
        Self {
            name: "".into(),
            effect: Effect::Unsafe,
            latency_target: Duration::from_millis(500),
            deadline: Duration::from_secs(1),
            worth: 1.0,
            late_worth: 0.0,
        }
    }
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: Name,
    /// Requests per second, summed over all nodes, that are within its quota.
    pub quota_per_s: f64,
}

/// Where values that the cache lacks come from.
#[derive(Clone, Debug, PartialEq)]
pub enum CacheMode {
    /// Read-through and write-through: cache servers fetch missing values and forward writes.
    Through,
    /// Cache-aside: the balancer sends misses and writes to the origin, a server of a kind of its own.
    Aside {
        /// Kind of the origin's server entry.
        origin_kind: Name,
    },
}

/// Start-up settings. `Default` provides a value for each setting that the caller does not know.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Zone of this node.
    pub zone: Option<Name>,
    /// Number of nodes.
    pub nodes: u32,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request over its tenant's quota, as a share of its class's worth.
    pub over_share_worth: f64,
    /// Where values that the cache lacks come from.
    pub mode: CacheMode,
    /// Whether server weights are nominal and include a server's speed. Otherwise weights follow the server's
    /// load and say nothing about the speed of its cores.
    pub nominal_weights: bool,
    /// Whether the node must subscribe to the server list ([`Action::Subscribe`]); otherwise it is pushed.
    pub must_subscribe: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether a request may have two attempts in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether servers may be probed.
    pub probing: bool,
    /// Longest retry-after delay that clients honour; zero if they honour none.
    pub max_retry_after: Duration,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Servers close connections that have been idle for this long.
    pub keepalive: Duration,
    /// Share of its full capacity that a server has when it starts.
    pub cold_share: f64,
    /// A server is warm, at full capacity, this long after its start.
    pub warm_within: Duration,
    /// A cold server crashes when it is sent more than this multiple of its current capacity.
    pub overload_multiple: f64,
    /// The window over which requests are counted against that multiple.
    pub overload_window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: None,
            nodes: 1,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            mode: CacheMode::Through,
            nominal_weights: true,
            must_subscribe: false,
            max_attempts: 3,
            hedging: false,
            cancelling: false,
            probing: false,
            max_retry_after: Duration::ZERO,
            connect_timeout: Duration::from_millis(250),
            keepalive: Duration::from_secs(15),
            cold_share: 0.3,
            warm_within: Duration::from_secs(10),
            overload_multiple: 2.0,
            overload_window: Duration::from_secs(1),
        }
    }
}

/// State of a server according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Accepts requests.
    Ready,
    /// Finishes the requests that it has and must not be sent new ones.
    Draining,
    /// No longer part of the fleet.
    Removed,
}

/// A server as listed by discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Identifies the server.
    pub id: ServerId,
    /// Zone that the server is in.
    pub zone: Option<Name>,
    /// Kind of machine.
    pub kind: Option<Name>,
    /// Small group of servers that deduplicate repeated requests together.
    pub cell: u64,
    /// Whether it accepts requests.
    pub availability: Availability,
    /// Capacity relative to other servers.
    pub weight: f64,
    /// When it last started; `None` if that was long ago.
    pub started: Option<Timestamp>,
}

impl ServerEntry {
    /// Creates the entry of a ready server with weight 1 that started long ago.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            zone: None,
            kind: None,
            cell: 0,
            availability: Availability::Ready,
            weight: 1.0,
            started: None,
        }
    }
}

/// An update from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerList {
    /// The complete list: servers that it lacks have been removed.
    Full(Arc<[ServerEntry]>),
    /// The entries that changed.
    Changes(Arc<[ServerEntry]>),
    /// A call failed or the subscription broke; the current list stays in use.
    Unavailable,
}

/// A request from a client. It must get exactly one final answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifies the request.
    pub id: RequestId,
    /// Class of the request; `None` if the settings do not define it.
    pub class: Option<ClassId>,
    /// Tenant that the request belongs to.
    pub tenant: Option<TenantId>,
    /// Key of the object that is read or written.
    pub key: Option<u64>,
    /// When the client stops waiting for this request.
    pub valid_until: Timestamp,
    /// Rough estimate of the processing time on a standard core.
    pub expected_work: Option<Duration>,
    /// Whether it modifies the object.
    pub write: bool,
    /// Whether the client marked it as a retry.
    pub client_retry: bool,
}

impl Request {
    /// Creates a read without a class that must be answered before `valid_until`.
    pub fn new(id: &str, valid_until: Timestamp) -> Self {
        Self {
            id: id.into(),
            class: None,
            tenant: None,
            key: None,
            valid_until,
            expected_work: None,
            write: false,
            client_retry: false,
        }
    }
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The server answered successfully.
    Ok,
    /// The server answered with an error; the request may have run.
    Failed,
    /// The server rejected it unprocessed; it never ran.
    QueueFull,
    /// No answer before the timeout; it may have run or may still be running.
    TimedOut,
    /// No connection could be established; it never ran.
    ConnectError,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled by this node; it may have run.
    Canceled,
    /// Never sent.
    Ignored,
    /// The server has no value for the key; the request never ran.
    Miss,
}

impl Status {
    /// Whether this status proves that the request never ran.
    pub const fn never_ran(self) -> bool {
        matches!(self, Self::QueueFull | Self::ConnectError | Self::Ignored | Self::Miss)
    }
}

/// Load that a server reports with an answer; `None` for figures that it does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Recent service time, without queueing.
    pub service_time: Option<Duration>,
    /// Utilization of its cores, from 0 to 1.
    pub utilization: Option<f64>,
    /// Number of requests that wait for a core.
    pub queue_length: Option<f64>,
}

/// How a cache server obtained its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// The value was cached.
    Hit,
    /// The value was not cached.
    Miss,
    /// The value was not cached and is being fetched for another request.
    MissFetching,
}

/// The end of an attempt. Every [`Action::Send`] gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, counted from 0 in sending order.
    pub attempt: u32,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// How the server obtained the answer, if it says so.
    pub cache_status: Option<CacheStatus>,
    /// Time from sending the attempt to its end.
    pub took: Duration,
    /// Whether the client has its final answer.
    pub finished: bool,
    /// Load that the server reported.
    pub load: LoadReport,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node starts with the last list that it had, which may be stale.
    Restored(Arc<[ServerEntry]>),
    /// An update from discovery.
    Servers(ServerList),
    /// The current number of nodes, which replaces [`Settings::nodes`]. The caller makes sure that a node
    /// that is merely partitioned from the others does not get a lower number.
    NodeCount(u32),
    /// A client sent a request.
    Request(Request),
    /// The answer to an attempt started to stream to the client.
    FirstByte {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// The client disconnected and needs no answer any more.
    Abandoned(RequestId),
    /// The delay of an [`Action::Wake`] has passed.
    Timer,
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How the probe ended.
        status: Status,
        /// Time from sending the probe to its end.
        took: Duration,
        /// Load that the server reported.
        load: LoadReport,
    },
}

/// Why a request ends without an answer from a server; written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Admission control: the fleet cannot answer all requests within their latency targets.
    Overload,
    /// The retry budget is too low for another attempt.
    RetryBudget,
    /// The client no longer waits for it.
    OutOfTime,
    /// The origin's breaker is open and the request would probably miss the cache.
    OriginFailing,
    /// No server is available: none is in use and below its limits, or the request may not be repeated.
    NoServer,
}

/// Something that the node must do. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Timeout of the attempt; it ends earlier if the client stops waiting.
        timeout: Duration,
        /// The request must be written within this time, however long the connection takes to establish: a
        /// repeat that is sent later may run twice. `None` if there is no such limit.
        start_within: Option<Duration>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: the request was not served and is safe to retry.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; zero for no advice.
        retry_after: Duration,
        /// Why the request is refused.
        reason: EndReason,
    },
    /// Final answer: the request failed and may have run.
    Fail {
        /// The request.
        id: RequestId,
        /// Why no further attempt is made.
        reason: EndReason,
    },
    /// Deliver [`Event::Timer`] after a delay.
    Wake {
        /// The delay from now.
        after: Duration,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close the idle connections to a server.
    Close {
        /// The server.
        server: ServerId,
    },
    /// Subscribe to discovery's changes.
    Subscribe,
    /// A log line for operators.
    Log(String),
}
