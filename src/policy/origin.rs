//! The origin behind the servers: breakers for what they fetch and for errors that come again elsewhere.

use super::breaker::{State, COMMON_RATE};
use super::hash::{mix, unit};
use super::{Balancer, Held};
use crate::api::{Action, CacheMode, Outcome, Status, Timestamp};

/// For so many times that span an origin that fails is left alone: it works its queue down in no more.
const REST_SPANS: u32 = 3;

impl Balancer {
    /// An open state of the origin's breakers: they trip at all nodes together and must not all end together.
    pub(super) fn rest(&self, now: Timestamp) -> State {
        let part = 0.75 + unit(mix(self.seed ^ now.as_micros())) / 2.0;
        State::Open { until: now + (self.rate_span * REST_SPANS).mul_f64(part) }
    }

    /// Counts whether an error came again at another server. One that does is no server's: all ask the same
    /// origin, and one that cannot keep up serves nobody while failed fetches are tried again elsewhere.
    pub(super) fn judge_fetches(
        &mut self,
        now: Timestamp,
        held: &Held,
        outcome: &Outcome,
        epoch: u32,
        actions: &mut Vec<Action>,
    ) {
        let before = (outcome.attempt as usize).checked_sub(1).and_then(|i| held.attempts.get(i));
        if self.settings.mode != CacheMode::Through || before.and_then(|a| a.status) != Some(Status::Failed) {
            return;
        }
        let ok = match outcome.status {
            Status::Ok => Some(true),
            Status::Failed => Some(false),
            _ => None,
        };
        // Where few of all attempts fail, two errors in a row are chance: spoilt answers, or two bad servers.
        if self.fetches.on_outcome(epoch, ok, None, now) {
            let breakers = self.servers.iter().map(|server| &server.breaker);
            let recent = breakers.filter(|breaker| now < breaker.window_ends);
            let (calls, failed) = recent.fold((0, 0), |(c, f), b| (c + b.calls, f + b.failures));
            if f64::from(failed) < COMMON_RATE * f64::from(calls) {
                return self.fetches.enter(State::Closed, now);
            }
            self.fetches.enter(self.rest(now), now);
            actions.push(Action::Log("errors come again at other servers: taken for the origin's".into()));
        }
    }
}
