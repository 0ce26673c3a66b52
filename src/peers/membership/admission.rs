//! Rate limit for received datagrams, and counts of those that were dropped.

use serde::Serialize;

use crate::peers::Micros;

/// Maximum number of datagrams that are read per second; also the size of the token bucket.
const DATAGRAMS_PER_SECOND: f64 = 4_000.0;

/// Counts of dropped datagrams, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DroppedDatagrams {
    /// They belong to another cluster.
    pub foreign: u64,
    /// They cannot be decoded, or their contents are invalid.
    pub malformed: u64,
    /// They exceed the rate limit.
    #[serde(rename = "flood")]
    pub rate_limited: u64,
    /// They come from an unknown peer while the maximum number of peers is known.
    #[serde(rename = "crowd")]
    pub too_many_peers: u64,
}

/// The reason for dropping a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::peers) enum DropReason {
    Foreign,
    Malformed,
    RateLimited,
    TooManyPeers,
}

/// Limits the rate of datagrams that are read, and counts those that are dropped.
pub(in crate::peers) struct Admission {
    /// The number of datagrams that may be read now.
    tokens: f64,
    refilled_at: Micros,
    dropped: DroppedDatagrams,
}

impl Admission {
    pub fn new(now: Micros) -> Self {
        Self { tokens: DATAGRAMS_PER_SECOND, refilled_at: now, dropped: DroppedDatagrams::default() }
    }

    /// Whether one more datagram may be read; if not, it is counted as dropped.
    pub fn admit(&mut self, now: Micros) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed * DATAGRAMS_PER_SECOND).min(DATAGRAMS_PER_SECOND);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.drop(DropReason::RateLimited);
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    pub fn drop(&mut self, reason: DropReason) {
        let count = match reason {
            DropReason::Foreign => &mut self.dropped.foreign,
            DropReason::Malformed => &mut self.dropped.malformed,
            DropReason::RateLimited => &mut self.dropped.rate_limited,
            DropReason::TooManyPeers => &mut self.dropped.too_many_peers,
        };
        *count += 1;
    }

    pub fn dropped(&self) -> DroppedDatagrams {
        self.dropped
    }
}

#[cfg(test)]
mod tests;
