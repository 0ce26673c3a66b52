//! What a simulated cluster records while it runs.

use crate::model::Micros;
use walkpick::peers::{Agreement, Standing};

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
    pub standing: Standing,
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

/// Counts of all that was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes, without the network's headers.
    pub bytes: u64,
}
