//! Configuration of a node's part in dissemination.

use std::time::Duration;

/// Configuration of a node's part in dissemination.
#[derive(Clone, Debug, PartialEq)]
pub struct DisseminationConfig {
    /// Name of the cluster. Messages of other clusters are dropped.
    pub cluster: String,
    /// Largest datagram that is sent or accepted, in bytes.
    pub max_datagram_bytes: usize,
    /// Bytes that the enclosing envelope adds to each datagram; they are charged to the byte budget.
    pub overhead_bytes: usize,
    /// Bytes of control traffic that a node may send per second, membership included. The caller enforces the limit.
    pub control_bytes_per_second: u32,
    /// After this time the publisher is notified which nodes have not applied an entry. Entries are applied within 2.4 s;
    /// a lagging node is reported by its parent after 4 s, and that report takes up to 2 s more to reach the root.
    pub acknowledge_timeout: Duration,
    /// A log that has been behind for this long is reported as stale, and skips entries that no node retains any more.
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
