//! The circuit breaker: closed, open, half-open, tripping on the failure rate of a window.

use crate::api::Timestamp;
use std::time::Duration;

pub(super) const TRIP_RATE: f64 = 0.6;
pub(super) const MIN_CALLS: u32 = 3;
pub(super) const WINDOW: Duration = Duration::from_secs(5);
pub(super) const COOLDOWN: Duration = Duration::from_secs(6);
pub(super) const TRIALS: u32 = 3;
/// No breaker trips while the other servers fail at this rate: the cause is not that one server's.
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
    /// Counts state changes: outcomes of attempts sent in an earlier state say nothing of the present one.
    pub(super) epoch: u32,
    pub(super) window_ends: Timestamp,
    pub(super) calls: u32,
    pub(super) failures: u32,
    /// Calls and failures of the window before, where it was one of many failures.
    pub(super) before: (u32, u32),
}

impl Breaker {
    pub(super) fn new(now: Timestamp) -> Self {
        let (window_ends, before) = (now + WINDOW, (0, 0));
        Self { state: State::Closed, epoch: 0, window_ends, calls: 0, failures: 0, before }
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

    /// Begins a new window where the present one is over.
    pub(super) fn turn(&mut self, now: Timestamp) {
        if now >= self.window_ends {
            // A server that failed much and stayed closed fails on: judged by the first few calls of each
            // new window alone, it would trip by chance at a rate that is under the threshold.
            let partly = f64::from(self.failures) >= COMMON_RATE * f64::from(self.calls);
            let recent = partly && now < self.window_ends + WINDOW;
            self.before = if recent { (self.calls, self.failures) } else { (0, 0) };
            (self.window_ends, self.calls, self.failures) = (now + WINDOW, 0, 0);
        }
    }

    /// Whether calls fail at the rate that trips. Those that are lacking to tell are taken to fare as
    /// `others` do, where that is known: one of many nodes rarely meets a server often within a window.
    pub(super) fn failing(&self, others: Option<f64>) -> bool {
        let (calls, failures) = (self.calls + self.before.0, self.failures + self.before.1);
        let lacking = match others {
            None if self.calls < MIN_CALLS => return false,
            None => 0,
            Some(_) => MIN_CALLS.saturating_sub(calls),
        };
        let failures = f64::from(failures) + f64::from(lacking) * others.unwrap_or(0.0);
        failures >= TRIP_RATE * f64::from(calls + lacking)
    }

    /// `ok` is `None` where it tells nothing: a trial gives its place back. Returns whether it should trip.
    pub(super) fn on_outcome(
        &mut self,
        epoch: u32,
        ok: Option<bool>,
        others: Option<f64>,
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
                self.turn(now);
                self.calls += 1;
                self.failures += u32::from(!ok);
                return self.failing(others);
            }
            _ => {}
        }
        false
    }
}
