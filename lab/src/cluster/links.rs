//! What the network between peers does to datagrams.

use std::time::Duration;

/// What every link does to the datagrams on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// Every datagram takes this much longer.
    pub delay: Duration,
    /// And up to this much more, by chance.
    pub jitter: Duration,
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// Part of the datagrams that come twice.
    pub duplicate: f64,
    /// Part of the datagrams that come after those behind them.
    pub reorder: f64,
    /// Nothing gets through.
    pub silent: bool,
}
