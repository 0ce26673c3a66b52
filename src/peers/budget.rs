//! A token bucket for the bytes that a node's control traffic may send, with a reserve for traffic of higher priority.

use super::Micros;

/// Classes of control traffic, by descending priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrafficClass {
    /// Probes, suspicions and joining.
    Membership,
    /// Versioned state.
    Configuration,
    /// Log entries that are sent for the first time.
    Log,
    /// Retransmission of data that a peer missed.
    Repair,
}

impl TrafficClass {
    /// The percentage of the bucket's depth that this class leaves to classes of higher priority.
    fn reserve_percent(self) -> i64 {
        match self {
            TrafficClass::Membership => 0,
            TrafficClass::Configuration => 10,
            TrafficClass::Log => 20,
            TrafficClass::Repair => 40,
        }
    }
}

/// Millionths of a byte in a byte. In this unit a rate in bytes per second adds a whole number each microsecond.
const MICROBYTES: i64 = 1_000_000;

/// A token bucket of bytes. Time is the caller's monotonic clock.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    bytes_per_second: i64,
    /// In millionths of a byte, like `tokens`.
    depth: i64,
    tokens: i64,
    refilled_at: Micros,
}

impl ByteBudget {
    /// A full bucket. `bytes_per_second`: its rate; `depth`: its capacity, in bytes.
    pub fn new(bytes_per_second: u32, depth: u32, now: Micros) -> Self {
        let depth = i64::from(depth) * MICROBYTES;
        Self { bytes_per_second: i64::from(bytes_per_second.max(1)), depth, tokens: depth, refilled_at: now }
    }

    /// Takes `bytes` if the class may have them; returns whether it did.
    pub fn try_take(&mut self, now: Micros, class: TrafficClass, bytes: usize) -> bool {
        self.refill(now);
        let left = self.tokens - microbytes(bytes);
        let allowed = left >= self.reserve(class);
        if allowed {
            self.tokens = left;
        }
        allowed
    }

    /// Takes `bytes` for data that is sent in any case. The balance may become negative.
    pub fn charge(&mut self, now: Micros, bytes: usize) {
        self.refill(now);
        self.tokens = self.tokens.saturating_sub(microbytes(bytes));
    }

    /// The time until the class may send `bytes`; `None` if the bucket is too small for that.
    pub fn time_until_available(&mut self, now: Micros, class: TrafficClass, bytes: usize) -> Option<Micros> {
        self.refill(now);
        let needed = self.reserve(class).saturating_add(microbytes(bytes));
        if needed > self.depth {
            return None;
        }
        let missing = needed.saturating_sub(self.tokens).max(0);
        u64::try_from(missing).ok().map(|missing| missing.div_ceil(self.bytes_per_second.unsigned_abs()))
    }

    fn reserve(&self, class: TrafficClass) -> i64 {
        self.depth / 100 * class.reserve_percent()
    }

    fn refill(&mut self, now: Micros) {
        let elapsed = i64::try_from(now.saturating_sub(self.refilled_at)).unwrap_or(i64::MAX);
        let refilled = self.tokens.saturating_add(elapsed.saturating_mul(self.bytes_per_second));
        self.tokens = refilled.min(self.depth);
        self.refilled_at = self.refilled_at.max(now);
    }
}

fn microbytes(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX).saturating_mul(MICROBYTES)
}

#[cfg(test)]
mod tests;
