//! The view that a node has of its cluster, as it is reported to callers.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::agreement::Agreement;
use crate::peers::identity::Peer;
use crate::peers::Micros;

/// The status of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerStatus {
    /// It answers.
    Present,
    /// It failed to answer a probe, but may still be alive.
    Suspected,
    /// It announced that it leaves.
    Left,
    /// It departed without a leave message.
    Lost,
}

impl PeerStatus {
    /// Whether the peer is no longer in the cluster.
    pub(super) fn is_departed(self) -> bool {
        matches!(self, Self::Left | Self::Lost)
    }
}

/// A peer and its status.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PeerRecord {
    /// The peer.
    pub peer: Peer,
    /// Its status.
    #[serde(rename = "standing")]
    pub status: PeerStatus,
    /// For how long it has had this status, in microseconds.
    #[serde(rename = "since")]
    pub status_age_us: Micros,
}

/// The view that a node has of its cluster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct View {
    /// All peers that it knows, without itself, sorted by name.
    pub peers: Vec<PeerRecord>,
    /// The number of nodes that are present, including itself.
    pub nodes: u32,
    /// The effective node count.
    #[serde(rename = "in_force")]
    pub effective_nodes: u32,
    /// How far the views of the nodes agree.
    pub agreement: Agreement,
    /// For how long the agreement has had this value, in microseconds.
    #[serde(rename = "since")]
    pub agreement_age_us: Micros,
    /// The digest of its own view.
    pub digest: u64,
    /// The differing digests that peers report, with the addresses of those peers.
    pub differing: BTreeMap<u64, Vec<SocketAddr>>,
}

/// The parts of a [`View`] that are cheap to obtain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewSummary {
    /// The number of nodes that are present, including the node itself.
    pub nodes: u32,
    /// The effective node count.
    pub effective_nodes: u32,
    /// How far the views of the nodes agree.
    pub agreement: Agreement,
    /// The digest of its view.
    pub digest: u64,
}
