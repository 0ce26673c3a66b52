//! Which datagrams are read at all.

use serde::Serialize;

use crate::peers::Micros;

/// Datagrams that are read in a second at the most, and how many may be saved up.
const DATAGRAMS_PER_SECOND: f64 = 4_000.0;

/// Datagrams that were dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DroppedDatagrams {
    /// Of another cluster.
    pub foreign: u64,
    /// That cannot be read, or that nobody would send.
    pub malformed: u64,
    /// Over the bound on what is read.
    #[serde(rename = "flood")]
    pub rate_limited: u64,
    /// Of peers over the bound on how many are held.
    #[serde(rename = "crowd")]
    pub too_many_peers: u64,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::peers) enum DropReason {
    Foreign,
    Malformed,
    RateLimited,
    TooManyPeers,
}

/// Bounds the rate of what is read, and counts what is dropped.
pub(in crate::peers) struct Admission {
    /// Datagrams that may still be read.
    tokens: f64,
    refilled_at: Micros,
    dropped: DroppedDatagrams,
}

impl Admission {
    pub fn new(now: Micros) -> Self {
        Self { tokens: DATAGRAMS_PER_SECOND, refilled_at: now, dropped: DroppedDatagrams::default() }
    }

    /// Whether one more may be read. One that may not is counted.
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
