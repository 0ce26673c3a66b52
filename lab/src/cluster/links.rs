//! Delay, loss, duplication and reordering of datagrams between peers.

use std::time::Duration;

/// Conditions that apply to every link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// Added to the latency of every datagram.
    pub delay: Duration,
    /// Upper bound of the random delay added on top.
    pub jitter: Duration,
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// Fraction of the datagrams that are delivered twice.
    pub duplicate: f64,
    /// Fraction of the datagrams that are delayed past later ones.
    pub reorder: f64,
    /// Drops every datagram.
    pub silent: bool,
}
