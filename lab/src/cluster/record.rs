//! What a simulated cluster records while it runs.

use crate::model::Micros;
use walkpick::peers::{Agreement, PeerStatus};

/// A node reported that a peer's standing changed.
#[derive(Clone, Debug)]
pub struct StandingChange {
    /// When.
    pub at: Micros,
    /// The node that reported it.
    pub observer: usize,
    /// The peer whose standing changed.
    pub subject: usize,
    /// Its new standing.
    pub standing: PeerStatus,
    /// Whether that process ran and could be reached from the observer: then it must not be reported as lost.
    pub reachable: bool,
}

/// A node reported that its agreement with the others changed.
#[derive(Clone, Copy, Debug)]
pub struct AgreementChange {
    /// When.
    pub at: Micros,
    /// The node that reported it.
    pub observer: usize,
    /// Its new agreement.
    pub agreement: Agreement,
}
