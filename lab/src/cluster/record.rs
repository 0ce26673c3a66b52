//! Events that a simulated cluster records while it runs.

use crate::model::Micros;
use walkpick::peers::{Agreement, PeerStatus};

/// A node reported that the status of a peer changed.
#[derive(Clone, Debug)]
pub struct StatusChange {
    /// Time of the report.
    pub at: Micros,
    /// The node that reported it.
    pub observer: usize,
    /// The peer whose status changed.
    pub subject: usize,
    /// Its new status.
    pub status: PeerStatus,
    /// Whether the subject was running and reachable from the observer, in which case reporting it as lost is an error.
    pub reachable: bool,
}

/// A node reported that its agreement with the others changed.
#[derive(Clone, Copy, Debug)]
pub struct AgreementChange {
    /// Time of the report.
    pub at: Micros,
    /// The node that reported it.
    pub observer: usize,
    /// Its new agreement.
    pub agreement: Agreement,
}
