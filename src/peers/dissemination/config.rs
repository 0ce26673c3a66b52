//! How a node takes part.

use std::time::Duration;

/// How a node takes part in dissemination.
#[derive(Clone, Debug, PartialEq)]
pub struct DisseminationConfig {
    /// Messages of another cluster are dropped.
    pub cluster: String,
    /// Datagrams are no longer than this.
    pub max_datagram_bytes: usize,
    /// What each datagram costs beside its own bytes, where it is sent in an envelope.
    pub overhead_bytes: usize,
    /// What a node may send for control in a second, membership included. Who drives the core keeps to it.
    pub control_bytes_per_second: u32,
    /// A publisher is told who has not applied an entry after this time. Entries are applied within 2.4 s; a node that
    /// lags is named by the one above it after 4 s, and that word takes up to 2 s more up the tree.
    pub acknowledge_timeout: Duration,
    /// A log that has been behind for so long is told to be stale, and takes a snapshot where entries are gone.
    pub stale_after: Duration,
}

impl Default for DisseminationConfig {
    fn default() -> Self {
        Self {
            cluster: "walkpick".to_owned(),
            max_datagram_bytes: 1_136,
            overhead_bytes: 60,
            control_bytes_per_second: 16_384,
            acknowledge_timeout: Duration::from_secs(6),
            stale_after: Duration::from_secs(10),
        }
    }
}
