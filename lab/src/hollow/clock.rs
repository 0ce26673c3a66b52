//! The machine's monotonic clock, which all processes of a run share, and the time of a run on it.

use super::protocol::Micros;
use nix::time::{clock_gettime, ClockId};
use std::time::Duration;
use tokio::time::Instant;

/// Microseconds of the machine's monotonic clock.
pub fn monotonic() -> u64 {
    micros_of(ClockId::CLOCK_MONOTONIC)
}

/// Microseconds of processor time that this process has used.
pub fn processor() -> u64 {
    micros_of(ClockId::CLOCK_PROCESS_CPUTIME_ID)
}

fn micros_of(clock: ClockId) -> u64 {
    // The system refuses clocks alone that it does not have, and has these.
    let time = clock_gettime(clock).map(Duration::from).unwrap_or_default();
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// The time of a run: microseconds since its origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: u64,
    instant: Instant,
    instant_is: u64,
}

impl Clock {
    /// Of a run with this origin on the machine's clock.
    pub fn new(origin: u64) -> Self {
        Self { origin, instant: Instant::now(), instant_is: monotonic() }
    }

    /// The time of the run; zero before its origin.
    pub fn now(&self) -> Micros {
        monotonic().saturating_sub(self.origin)
    }

    /// The moment of a time of the run.
    pub fn moment(&self, at: Micros) -> Instant {
        let since = self.origin.saturating_add(at).saturating_sub(self.instant_is);
        self.instant + Duration::from_micros(since)
    }
}
