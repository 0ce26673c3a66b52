//! The circuit breaker: closed, open or half-open, tripping on the failure rate within a window.

use crate::api::Timestamp;
use std::time::Duration;

pub(super) const TRIP_RATE: f64 = 0.6;
pub(super) const MIN_CALLS: u32 = 3;
pub(super) const WINDOW: Duration = Duration::from_secs(5);
pub(super) const COOLDOWN: Duration = Duration::from_secs(6);
pub(super) const TRIALS: u32 = 3;
/// A server's breaker does not trip while the other servers fail at this rate: the cause is a common one.
pub(super) const COMMON_RATE: f64 = TRIP_RATE / 2.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum State {
    Closed,
    Open { until: Timestamp },
    HalfOpen { admitted: u32, passed: u32 },
}

#[derive(Debug)]
pub(super) struct Breaker {
    pub(super) state: State,
    /// Number of state changes so far. The outcome of an attempt that was sent in an earlier state is
    /// ignored.
    pub(super) epoch: u32,
    pub(super) window_ends: Timestamp,
    pub(super) calls: u32,
    pub(super) failures: u32,
    /// Calls and failures of the previous window if many of its calls failed, otherwise zeros.
    pub(super) previous: (u32, u32),
}

impl Breaker {
    pub(super) fn new(now: Timestamp) -> Self {
        let (window_ends, previous) = (now + WINDOW, (0, 0));
        Self { state: State::Closed, epoch: 0, window_ends, calls: 0, failures: 0, previous }
    }

    pub(super) fn enter(&mut self, state: State, now: Timestamp) {
        let epoch = self.epoch + 1;
        *self = Self { state, epoch, ..Self::new(now) };
    }

    pub(super) fn admits(&self, now: Timestamp) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } => now >= until,
            State::HalfOpen { admitted, .. } => admitted < TRIALS,
        }
    }

    pub(super) fn on_send(&mut self, now: Timestamp) {
        match &mut self.state {
            State::Open { until } if now >= *until => {
                self.enter(State::HalfOpen { admitted: 1, passed: 0 }, now);
            }
            State::HalfOpen { admitted, .. } => *admitted += 1,
            _ => {}
        }
    }

    /// Starts a new window if the current one has ended.
    pub(super) fn roll_window(&mut self, now: Timestamp) {
        if now >= self.window_ends {
            // A server that fails often but stays closed is judged over two windows: by the first few calls
            // of each new window alone it would trip by chance at a failure rate below the threshold.
            let many_failed = f64::from(self.failures) >= COMMON_RATE * f64::from(self.calls);
            let carry_over = many_failed && now < self.window_ends + WINDOW;
            self.previous = if carry_over { (self.calls, self.failures) } else { (0, 0) };
            (self.window_ends, self.calls, self.failures) = (now + WINDOW, 0, 0);
        }
    }

    /// Whether calls fail at the rate that trips the breaker. With fewer than `MIN_CALLS` calls, the missing
    /// ones are assumed to fail at the rate of the server's zone, if that is known: out of many nodes, each
    /// one rarely calls a server often within a window.
    pub(super) fn is_failing(&self, zone_rate: Option<f64>) -> bool {
        let (calls, failures) = (self.calls + self.previous.0, self.failures + self.previous.1);
        let missing = match zone_rate {
            None if self.calls < MIN_CALLS => return false,
            None => 0,
            Some(_) => MIN_CALLS.saturating_sub(calls),
        };
        let failures = f64::from(failures) + f64::from(missing) * zone_rate.unwrap_or(0.0);
        failures >= TRIP_RATE * f64::from(calls + missing)
    }

    /// Counts an outcome. `ok` is `None` for an outcome that says nothing about the server; a trial is then
    /// returned to the pool. Returns whether the breaker should trip.
    pub(super) fn on_outcome(
        &mut self,
        epoch: u32,
        ok: Option<bool>,
        zone_rate: Option<f64>,
        now: Timestamp,
    ) -> bool {
        if epoch != self.epoch {
            return false;
        }
        match (&mut self.state, ok) {
            (State::HalfOpen { admitted, .. }, None) => *admitted -= 1,
            (State::HalfOpen { .. }, Some(false)) => return true,
            (State::HalfOpen { passed, .. }, Some(true)) => {
                *passed += 1;
                if *passed >= TRIALS {
                    self.enter(State::Closed, now);
                }
            }
            (State::Closed, Some(ok)) => {
                self.roll_window(now);
                self.calls += 1;
                self.failures += u32::from(!ok);
                return self.is_failing(zone_rate);
            }
            _ => {}
        }
        false
    }
}
