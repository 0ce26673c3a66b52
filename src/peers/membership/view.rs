//! Peers as a node sees them: their standing, and the digest by which views are compared.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::agreement::Agreement;
use crate::peers::identity::Peer;
use crate::peers::Micros;

/// What became of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerStatus {
    /// It answers.
    Present,
    /// It did not answer lately.
    Suspected,
    /// It said that it leaves.
    Left,
    /// It is gone without a word.
    Lost,
}

impl PeerStatus {
    /// Whether it is gone.
    pub(super) fn is_departed(self) -> bool {
        matches!(self, Self::Left | Self::Lost)
    }
}

/// One peer as it is seen.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PeerRecord {
    /// Who.
    pub peer: Peer,
    /// What became of it.
    #[serde(rename = "standing")]
    pub status: PeerStatus,
    /// For how long, in microseconds.
    #[serde(rename = "since")]
    pub status_age_us: Micros,
}

/// What a node sees of its cluster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct View {
    /// All peers that it knows of, itself apart, by name.
    pub peers: Vec<PeerRecord>,
    /// Nodes that are present, itself among them.
    pub nodes: u32,
    /// The count that it relies on.
    #[serde(rename = "in_force")]
    pub effective_nodes: u32,
    /// How far views lie apart.
    pub agreement: Agreement,
    /// For how long, in microseconds.
    #[serde(rename = "since")]
    pub agreement_age_us: Micros,
    /// Its own view's digest.
    pub digest: u64,
    /// Digests of others that differ, with those that have them.
    pub differing: BTreeMap<u64, Vec<SocketAddr>>,
}

/// The figures of a [`View`] that cost nothing to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewSummary {
    /// Nodes that are present, the node itself among them.
    pub nodes: u32,
    /// The count that it relies on.
    pub effective_nodes: u32,
    /// How far views lie apart.
    pub agreement: Agreement,
    /// The digest of its view.
    pub digest: u64,
}
