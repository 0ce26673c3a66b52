//! What the lab and its hollow processes tell each other, one JSON object a line: the lab on the process's standard
//! input, the process on its standard output.

use super::places::Map;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use walkpick::peers::{Agreement, PeerStatus};

/// Microseconds since the run's origin, on the machine's monotonic clock, which all processes share.
pub type Micros = u64;

/// From the lab to a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "message", rename_all = "kebab-case")]
pub enum ToProcess {
    /// Opens the sockets of its nodes.
    Open {
        /// Its nodes.
        nodes: Vec<NodeToOpen>,
    },
    /// Runs the schedule.
    Begin(Box<Begin>),
    /// Tells what was measured up to now, and ends.
    End,
}

/// A node that a process is to hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeToOpen {
    /// Its number in the cluster.
    pub node: usize,
    /// Its own address; the port is the system's choice.
    pub address: Ipv4Addr,
}

/// All that a process needs for its run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Begin {
    /// When the run begins, in microseconds of the machine's monotonic clock.
    pub origin: u64,
    /// The cluster's name.
    pub cluster: String,
    /// Where each hollow node is reached, by its number.
    pub addresses: Vec<SocketAddr>,
    /// The complete nodes of the cluster.
    pub complete: Vec<CompleteAddresses>,
    /// Whom nodes ask when they join, by number.
    pub seeds: Vec<usize>,
    /// Each node probes another one so often, in microseconds.
    pub probe_every: u64,
    /// An answer that takes longer is asked for by way of others, in microseconds.
    pub probe_timeout: u64,
    /// Whether nodes take part in dissemination.
    pub dissemination: bool,
    /// Regions and delays.
    pub map: Map,
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// For the random draws.
    pub seed: u64,
    /// What happens, in its order.
    pub events: Vec<Event>,
    /// When the run ends.
    pub end: Micros,
}

/// Where a complete node is reached, and where its own datagrams come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompleteAddresses {
    /// Where others reach it.
    pub advertise: SocketAddr,
    /// Where its datagrams come from.
    pub source: SocketAddr,
}

/// Something that happens at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When.
    pub at: Micros,
    /// What.
    pub what: Happening,
}

/// What can happen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Happening {
    /// A node starts, or starts anew.
    Start(usize),
    /// A node is gone without a word.
    Kill(usize),
    /// A node says farewell and is gone.
    Leave(usize),
    /// A region loses all others.
    Cut(usize),
    /// It has them back.
    Heal(usize),
    /// A node opens its log and its state for publishing.
    OpenPublisher(usize),
    /// It issues an entry of its log.
    PublishEntry {
        /// Which node.
        node: usize,
        /// Bytes of the entry.
        bytes: usize,
    },
    /// It issues a version of its state.
    PublishState {
        /// Which node.
        node: usize,
        /// Bytes of the state.
        bytes: usize,
    },
}

/// From a process to the lab.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "message", rename_all = "kebab-case")]
pub enum FromProcess {
    /// Its sockets are open.
    Opened {
        /// Where its nodes are reached, in the order asked for.
        addresses: Vec<SocketAddr>,
    },
    /// What its nodes see, several times a second.
    Views(ViewsOfProcess),
    /// All that it measured. It ends after this.
    Report(Box<Report>),
}

/// The views of a process's nodes, in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewsOfProcess {
    /// When.
    pub at: Micros,
    /// Its nodes that run.
    pub running: u32,
    /// The fewest nodes that one of them sees.
    pub fewest: u32,
    /// The most.
    pub most: u32,
    /// Whether all say that views agree.
    pub agreed: bool,
    /// The digest of their views, where it is the same for all.
    pub digest: Option<u64>,
}

impl ViewsOfProcess {
    /// Sums up the views of nodes that run.
    pub fn new(at: Micros, views: impl Iterator<Item = walkpick::peers::ViewSummary>) -> Self {
        let mut views = views.peekable();
        let digest = views.peek().map(|view| view.digest);
        let none = Self { at, running: 0, fewest: u32::MAX, most: 0, agreed: true, digest };
        views.fold(none, |sum, view| Self {
            at,
            running: sum.running + 1,
            fewest: sum.fewest.min(view.nodes),
            most: sum.most.max(view.nodes),
            agreed: sum.agreed && view.agreement == Agreement::Agreed,
            digest: sum.digest.filter(|digest| *digest == view.digest),
        })
    }
}

/// What a process has measured.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Of each of its nodes.
    pub nodes: Vec<NodeReport>,
    /// What its nodes said of others that are gone.
    pub words: Vec<Word>,
    /// What its nodes published, and heard of that.
    pub published: Published,
    /// Processor time and memory, once a second.
    pub usage: Vec<Usage>,
    /// Memory that it held before its nodes started, in bytes.
    pub memory_before: u64,
    /// How late timers and deliveries were: the 99th percentile, in microseconds.
    pub late_p99: u64,
    /// The latest one.
    pub late_most: u64,
    /// Datagrams that were to be lost, and those that no cut region let through.
    pub lost: u64,
    /// Datagrams that the lab itself could not carry: they make the run void.
    pub not_carried: u64,
    /// Datagrams that the system did not take.
    pub refused: u64,
    /// Datagrams that came for its nodes and found the socket's queue full.
    pub queue_full: u64,
}

/// What a node did.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct NodeReport {
    /// Its number.
    pub node: usize,
    /// Bytes that it sent, by second of the run: payload of datagrams.
    pub bytes: Vec<u32>,
    /// Datagrams that it sent.
    pub datagrams: u64,
    /// How often it came back after others had declared it gone.
    pub came_back: u32,
    /// Datagrams that it dropped for one of the reasons that peers count.
    pub dropped: u64,
    /// What came to it of publishers' logs and states, by life.
    pub lives: Vec<Life>,
}

/// What came to one life of a node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Life {
    /// When it began.
    pub from: Micros,
    /// Entries of the log, as they were handed over.
    pub entries: Vec<Numbered>,
    /// Versions of the state that were in force, as they came.
    pub versions: Vec<Numbered>,
    /// Entries that it was told to be left out.
    pub resets: Vec<Reset>,
}

/// An entry or a version, and when something became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Numbered {
    /// Its sequence or version.
    pub number: u64,
    /// When.
    pub at: Micros,
}

/// Entries that are left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reset {
    /// When that was told.
    pub at: Micros,
    /// The last one before them.
    pub after: u64,
    /// The last one of them.
    pub through: u64,
}

/// What was published, and what became of it as its publisher was told.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// Entries of the log.
    pub entries: Vec<Numbered>,
    /// Versions of the state.
    pub versions: Vec<Numbered>,
    /// What could not be published.
    pub refused: u64,
    /// Entries that all present nodes have applied.
    pub entries_acknowledged: Vec<Acknowledged>,
    /// Versions that are in force at all present nodes.
    pub versions_acknowledged: Vec<Acknowledged>,
    /// How often the publisher was told who lacks something.
    pub unacknowledged: u64,
}

/// A publisher's word that all present nodes have applied something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledged {
    /// The entry or version.
    pub number: u64,
    /// When that was told.
    pub at: Micros,
    /// How many nodes.
    pub nodes: u32,
}

/// A node's word on another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// When.
    pub at: Micros,
    /// Who said it.
    pub by: usize,
    /// Of whom.
    pub of: usize,
    /// What became of it: lost or left.
    pub standing: PeerStatus,
}

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// When.
    pub at: Micros,
    /// Processor time since its start, in microseconds.
    pub processor: u64,
    /// Memory that it holds, in bytes.
    pub memory: u64,
}
