//! Which requests may be repeated, and what a retry costs of the retry budget.

use super::{Attempt, Balancer, PendingRequest};
use crate::api::{DedupScope, Effect, Request, ServerEntry, Status, Timestamp};

/// Retry budget: the deposit per request, and the maximum balance.
pub(super) const RETRY_DEPOSIT: f64 = 0.2;
pub(super) const MAX_RETRY_BUDGET: f64 = 10.0;
/// Minimum cost of retrying after an error, however early the error came.
const MIN_RETRY_COST: f64 = 0.1;

impl Balancer {
    /// Cost of a retry after `last`. The budget keeps retries from multiplying the servers' work, so an error
    /// that came sooner than an answer usually does costs less, as it took less of that work.
    pub(super) fn retry_cost(&self, now: Timestamp, request: &Request, last: &Attempt) -> f64 {
        if last.status != Some(Status::Failed) {
            return 1.0;
        }
        let typical = self.typical_latency_s[self.class_index(request)].max(1e-6);
        (now.since(last.sent_at).as_secs_f64() / typical).clamp(MIN_RETRY_COST, 1.0)
    }

    /// Until when the request may be sent again, by this node or by its client, without running twice. Past
    /// the window in which servers discard repeats, `Effect::Keyed` counts as `Effect::Unsafe`.
    pub(super) fn repeatable_until(&self, pending: &PendingRequest) -> Timestamp {
        let until = |earlier: &Attempt| match self.class(&pending.request).effect {
            Effect::Safe => Timestamp::MAX,
            Effect::Unsafe => Timestamp::default(),
            Effect::Keyed { window, .. } => earlier.sent_at + window,
        };
        pending.may_have_run().map(until).min().unwrap_or(Timestamp::MAX)
    }

    /// Whether the request may be sent to this server now without running twice.
    pub(super) fn may_send(&self, now: Timestamp, pending: &PendingRequest, entry: &ServerEntry) -> bool {
        let deduplicates = |earlier: &Attempt| match self.class(&pending.request).effect {
            Effect::Keyed { scope: DedupScope::Zone, .. } => earlier.entry.zone == entry.zone,
            Effect::Keyed { scope: DedupScope::Cell, .. } => earlier.entry.cell == entry.cell,
            _ => true,
        };
        now < self.repeatable_until(pending) && pending.may_have_run().all(deduplicates)
    }
}
