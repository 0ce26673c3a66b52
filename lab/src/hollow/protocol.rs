//! Messages between the lab and its hollow processes, one JSON object per line: from the lab on the standard input of
//! the process, from the process on its standard output.

use super::places::Map;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use walkpick::peers::{Agreement, PeerStatus};

/// Microseconds since the run's origin, on the machine's monotonic clock, which all processes share.
pub type Micros = u64;

/// Message from the lab to a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "message", rename_all = "kebab-case")]
pub enum ToProcess {
    /// Open the sockets of these nodes.
    Open {
        /// The nodes of this process.
        nodes: Vec<NodeToOpen>,
    },
    /// Execute the schedule.
    Begin(Box<Begin>),
    /// Send the measurements so far, and end.
    End,
}

/// A node that a process is to hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeToOpen {
    /// Its number in the cluster.
    pub node: usize,
    /// Its own address; the system chooses the port.
    pub address: Ipv4Addr,
}

/// Settings of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Begin {
    /// Origin of the run, in microseconds of the machine's monotonic clock.
    pub origin: u64,
    /// Name of the cluster.
    pub cluster: String,
    /// Addresses of the hollow nodes, by number.
    pub addresses: Vec<SocketAddr>,
    /// The complete nodes of the cluster.
    pub complete: Vec<CompleteAddresses>,
    /// Numbers of the nodes that a joining node contacts.
    pub seeds: Vec<usize>,
    /// Probe interval, in microseconds.
    pub probe_every: u64,
    /// Timeout of a direct probe before indirect probes are sent, in microseconds.
    pub probe_timeout: u64,
    /// Whether nodes take part in dissemination.
    pub dissemination: bool,
    /// Regions and delays.
    pub map: Map,
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Seed of random draws.
    pub seed: u64,
    /// Events in order of time.
    pub events: Vec<Event>,
    /// When the run ends.
    pub end: Micros,
}

/// Addresses of a complete node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompleteAddresses {
    /// Where others reach it.
    pub advertise: SocketAddr,
    /// Source of its datagrams.
    pub source: SocketAddr,
}

/// A scheduled event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When it happens.
    pub at: Micros,
    /// What happens.
    #[serde(rename = "what")]
    pub kind: EventKind,
}

/// Kinds of events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A node starts or restarts.
    Start(usize),
    /// A node stops without notice.
    Kill(usize),
    /// A node sends a leave message and stops.
    Leave(usize),
    /// A region is cut off from all others.
    Cut(usize),
    /// A region is reconnected.
    Heal(usize),
    /// A node opens its log and its state for publishing.
    OpenPublisher(usize),
    /// A node publishes a log entry.
    PublishEntry {
        /// Number of the node.
        node: usize,
        /// Size of the entry.
        bytes: usize,
    },
    /// A node publishes a state version.
    PublishState {
        /// Number of the node.
        node: usize,
        /// Size of the state.
        bytes: usize,
    },
}

/// Message from a process to the lab.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "message", rename_all = "kebab-case")]
pub enum FromProcess {
    /// The sockets are open.
    Opened {
        /// Addresses of the nodes, in the order of the request.
        addresses: Vec<SocketAddr>,
    },
    /// Views of the nodes, sent several times a second.
    Views(ProcessViews),
    /// All measurements. The process ends after this.
    Report(Box<Report>),
}

/// Summary of the views of a process's nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessViews {
    /// When it was taken.
    pub at: Micros,
    /// Number of running nodes.
    pub running: u32,
    /// The smallest number of nodes in a view.
    #[serde(rename = "fewest")]
    pub min_nodes: u32,
    /// The largest number of nodes in a view.
    #[serde(rename = "most")]
    pub max_nodes: u32,
    /// Whether all nodes report that views agree.
    pub agreed: bool,
    /// The digest of the views, if it is the same for all.
    pub digest: Option<u64>,
}

impl ProcessViews {
    /// Summarizes the views of running nodes.
    pub fn new(at: Micros, views: impl Iterator<Item = walkpick::peers::ViewSummary>) -> Self {
        let mut views = views.peekable();
        let digest = views.peek().map(|view| view.digest);
        let none = Self { at, running: 0, min_nodes: u32::MAX, max_nodes: 0, agreed: true, digest };
        views.fold(none, |sum, view| Self {
            at,
            running: sum.running + 1,
            min_nodes: sum.min_nodes.min(view.nodes),
            max_nodes: sum.max_nodes.max(view.nodes),
            agreed: sum.agreed && view.agreement == Agreement::Agreed,
            digest: sum.digest.filter(|digest| *digest == view.digest),
        })
    }
}

/// Measurements of a process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Measurements of each of its nodes.
    pub nodes: Vec<NodeReport>,
    /// Changes to lost or left that its nodes reported.
    #[serde(rename = "words")]
    pub status_changes: Vec<StatusChange>,
    /// What its nodes published, and how that was acknowledged.
    pub published: Published,
    /// CPU time and memory, sampled once a second.
    pub usage: Vec<Usage>,
    /// Resident memory before its nodes started, in bytes.
    pub memory_before: u64,
    /// Lateness of timers and deliveries: 99th percentile, in microseconds.
    #[serde(rename = "late_p99")]
    pub lateness_p99_us: u64,
    /// Lateness of timers and deliveries: maximum, in microseconds.
    #[serde(rename = "late_most")]
    pub lateness_max_us: u64,
    /// Datagrams lost at random or between partitioned regions.
    pub lost: u64,
    /// Datagrams dropped because too many were delayed: they make the run void.
    #[serde(rename = "not_carried")]
    pub overflowed: u64,
    /// Datagrams that the system rejected on sending.
    pub refused: u64,
    /// Received datagrams dropped because the socket's queue was full.
    pub queue_full: u64,
}

/// Measurements of a node.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct NodeReport {
    /// Its number.
    pub node: usize,
    /// Bytes sent in each second of the run, datagram payload only.
    pub bytes: Vec<u32>,
    /// Datagrams sent.
    pub datagrams: u64,
    /// How often it rejoined after others had declared it lost.
    #[serde(rename = "came_back")]
    pub rejoined: u32,
    /// Datagrams that its membership dropped, for any reason.
    pub dropped: u64,
    /// What it received of publishers' logs and states, by incarnation.
    #[serde(rename = "lives")]
    pub incarnations: Vec<Incarnation>,
}

/// What one incarnation of a node received.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Incarnation {
    /// When it started.
    #[serde(rename = "from")]
    pub started_at: Micros,
    /// Log entries, in the order of delivery.
    pub entries: Vec<TimedSequence>,
    /// State versions that came into force, in order.
    pub versions: Vec<TimedSequence>,
    /// Log resets.
    pub resets: Vec<Reset>,
}

/// The sequence number of an entry or version, and the time of what happened to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedSequence {
    /// Sequence number or version.
    pub number: u64,
    /// When it happened.
    pub at: Micros,
}

/// A log reset: entries that the node skips.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reset {
    /// When it was received.
    pub at: Micros,
    /// The last entry before the skipped ones.
    pub after: u64,
    /// The last skipped entry.
    pub through: u64,
}

/// What was published, and what the publisher learned of its delivery.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// Log entries.
    pub entries: Vec<TimedSequence>,
    /// State versions.
    pub versions: Vec<TimedSequence>,
    /// Entries and versions that could not be published.
    pub refused: u64,
    /// Entries that all present nodes have applied.
    pub entries_acknowledged: Vec<Acknowledged>,
    /// Versions that are in force at all present nodes.
    pub versions_acknowledged: Vec<Acknowledged>,
    /// How often the publisher was notified of nodes without acknowledgement.
    pub unacknowledged: u64,
}

/// Notification that all present nodes have applied an entry or version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledged {
    /// Sequence number or version.
    pub number: u64,
    /// When the publisher was notified.
    pub at: Micros,
    /// Number of nodes.
    pub nodes: u32,
}

/// A change of a node's status, as reported by another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusChange {
    /// When it was reported.
    pub at: Micros,
    /// The node that reports it.
    #[serde(rename = "by")]
    pub reporter: usize,
    /// The node whose status changed.
    #[serde(rename = "of")]
    pub subject: usize,
    /// The new status: lost or left.
    #[serde(rename = "standing")]
    pub status: PeerStatus,
}

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// When they were sampled.
    pub at: Micros,
    /// CPU time since the start of the process, in microseconds.
    #[serde(rename = "processor")]
    pub cpu_us: u64,
    /// Resident memory, in bytes.
    #[serde(rename = "memory")]
    pub memory_bytes: u64,
}
