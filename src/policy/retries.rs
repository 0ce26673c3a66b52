//! Which requests may be sent again, and what that costs of the retry budget.

use super::{Attempt, Balancer, Held};
use crate::api::{DedupScope, Effect, Request, ServerEntry, Status, Timestamp};

/// Retry budget: each request pays in this much, and no more than so many are saved up.
pub(super) const RETRY_SHARE: f64 = 0.2;
pub(super) const RETRY_SAVED: f64 = 10.0;
/// What the retry of an error costs of that budget at least, however soon the error came.
const RETRY_LEAST: f64 = 0.1;

impl Balancer {
    /// What trying again after `last` takes from the budget. The budget keeps retries from multiplying the
    /// servers' work; an error that came sooner than an answer does has cost them that much less of it.
    pub(super) fn retry_cost(&self, now: Timestamp, request: &Request, last: &Attempt) -> f64 {
        if last.status != Some(Status::Failed) {
            return 1.0;
        }
        let usual = self.usual[self.class_slot(request)].max(1e-6);
        (now.since(last.sent).as_secs_f64() / usual).clamp(RETRY_LEAST, 1.0)
    }

    /// Until when rule 2 lets the request begin once more, here or by its client: past the window in which
    /// servers drop repeats, `keyed` counts as `unsafe`.
    pub(super) fn repeatable_until(&self, held: &Held) -> Timestamp {
        let until = |earlier: &Attempt| match self.class(&held.request).effect {
            Effect::Safe => Timestamp::MAX,
            Effect::Unsafe => Timestamp::default(),
            Effect::Keyed { window, .. } => earlier.sent + window,
        };
        held.may_have_run().map(until).min().unwrap_or(Timestamp::MAX)
    }

    /// Whether rule 2 lets the request go to this server now.
    pub(super) fn may_send(&self, now: Timestamp, held: &Held, entry: &ServerEntry) -> bool {
        let knows = |earlier: &Attempt| match self.class(&held.request).effect {
            Effect::Keyed { scope: DedupScope::Zone, .. } => earlier.entry.zone == entry.zone,
            Effect::Keyed { scope: DedupScope::Cell, .. } => earlier.entry.cell == entry.cell,
            _ => true,
        };
        now < self.repeatable_until(held) && held.may_have_run().all(knows)
    }
}
