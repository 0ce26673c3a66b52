//! Breakers of the origin behind the servers: for misses that they fetch, and for errors that retries repeat.

use super::breaker::{State, COMMON_RATE};
use super::hash::{mix, unit_interval};
use super::{Balancer, PendingRequest};
use crate::api::{Action, CacheMode, Outcome, Status, Timestamp};

/// How long the origin's breakers stay open, in rate windows: the origin needs no longer to clear its queue.
const OPEN_RATE_WINDOWS: u32 = 3;

impl Balancer {
    /// The open state for the origin's breakers. Its length is jittered, because these breakers trip at all
    /// nodes together and must not all send their trials together.
    pub(super) fn origin_open_state(&self, now: Timestamp) -> State {
        let jitter = 0.75 + unit_interval(mix(self.seed ^ now.as_micros())) / 2.0;
        State::Open { until: now + (self.rate_window * OPEN_RATE_WINDOWS).mul_f64(jitter) }
    }

    /// Counts whether an error was repeated when the request was retried at another server. Such an error
    /// comes from the origin that all servers use, and an origin that is overloaded serves nobody while
    /// failed fetches are retried at other servers.
    pub(super) fn record_error_retry(
        &mut self,
        now: Timestamp,
        pending: &PendingRequest,
        outcome: &Outcome,
        epoch: u32,
        actions: &mut Vec<Action>,
    ) {
        let previous = (outcome.attempt as usize).checked_sub(1).and_then(|i| pending.attempts.get(i));
        if self.settings.mode != CacheMode::Through || previous.and_then(|a| a.status) != Some(Status::Failed)
        {
            return;
        }
        let ok = match outcome.status {
            Status::Ok => Some(true),
            Status::Failed => Some(false),
            _ => None,
        };
        if self.error_retry_breaker.on_outcome(epoch, ok, None, now) {
            let breakers = self.servers.iter().map(|server| &server.breaker);
            let recent = breakers.filter(|breaker| now < breaker.window_ends);
            let (calls, failed) = recent.fold((0, 0), |(c, f), b| (c + b.calls, f + b.failures));
            // If few of all attempts fail, two errors in a row are a coincidence: corrupted answers, or two
            // faulty servers.
            if f64::from(failed) < COMMON_RATE * f64::from(calls) {
                return self.error_retry_breaker.enter(State::Closed, now);
            }
            self.error_retry_breaker.enter(self.origin_open_state(now), now);
            actions.push(Action::Log("errors come again at other servers: taken for the origin's".into()));
        }
    }
}
