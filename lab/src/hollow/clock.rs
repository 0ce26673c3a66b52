//! The machine's monotonic clock, which all processes of a run share, and run time on that clock.

use super::protocol::Micros;
use nix::time::{clock_gettime, ClockId};
use std::time::Duration;
use tokio::time::Instant;

/// Microseconds of the machine's monotonic clock.
pub fn monotonic_us() -> u64 {
    clock_us(ClockId::CLOCK_MONOTONIC)
}

/// CPU time of this process, in microseconds.
pub fn cpu_time_us() -> u64 {
    clock_us(ClockId::CLOCK_PROCESS_CPUTIME_ID)
}

fn clock_us(clock: ClockId) -> u64 {
    // The system call fails only for unsupported clocks; both of these are supported.
    let time = clock_gettime(clock).map(Duration::from).unwrap_or_default();
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Run time: microseconds since the origin of a run.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin_us: u64,
    instant: Instant,
    instant_us: u64,
}

impl Clock {
    /// Creates a clock for a run with this origin on the monotonic clock.
    pub fn new(origin: u64) -> Self {
        Self { origin_us: origin, instant: Instant::now(), instant_us: monotonic_us() }
    }

    /// Current run time; zero before the origin.
    pub fn now(&self) -> Micros {
        monotonic_us().saturating_sub(self.origin_us)
    }

    /// Converts run time to an instant of the async runtime.
    pub fn instant_at(&self, at: Micros) -> Instant {
        let since = self.origin_us.saturating_add(at).saturating_sub(self.instant_us);
        self.instant + Duration::from_micros(since)
    }
}
