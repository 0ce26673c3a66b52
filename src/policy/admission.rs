//! Admission control: in-flight limits, token buckets of cold servers, and load shedding under overload.

use super::breaker::WINDOW;
use super::servers::Server;
use super::{Balancer, PendingRequest};
use crate::api::{Action, Request, Timestamp};
use std::time::Duration;

/// Share of a cold server's overload multiple that its token bucket grants. The rest is a margin: a bucket
/// may hold half a window's sends when a window begins.
const OVERLOAD_MULTIPLE_SHARE: f64 = 0.7;
/// An answer is late past this share of its latency target, if its server is at least this utilized.
pub(super) const LATE_SHARE: f64 = 0.7;
pub(super) const HIGH_UTILIZATION: f64 = 0.8;
/// In-flight limit: its minimum, the increase for an answer in time, the decrease for a late one, and the
/// decrease for a late one from a server that reports no queue.
const MIN_LIMIT: f64 = 0.05;
const LIMIT_INCREASE: f64 = 0.1;
const LIMIT_DECREASE: f64 = 1.0;
const LIMIT_DECREASE_UNQUEUED: f64 = 0.3;
/// Time constant with which a decreased limit returns to its initial value.
const LIMIT_RECOVERY: Duration = WINDOW;
/// Requests that a node admits per good event while most of what it sends fails.
const ADMIT_RATIO: f64 = 1.3;
/// Good events that are assumed on top of those counted: one out of many nodes counts at most about ten
/// within the rate window.
const GOOD_EVENTS_PRIOR: f64 = 1.0;
/// Weight of a refusal for overload, relative to a failure: this factor times the square of the share of
/// sends that fail, at most 1. While many sends fail, the refused requests would have failed as well: an
/// overload lasts for as long as most of the work sent into it is wasted. Once sends are answered in time, a
/// refusal has little weight and admission grows quickly again.
const REFUSAL_WEIGHT: f64 = 5.0;
/// Length of the rate window, in latency targets of the fastest class: an overload comes and goes within a
/// few.
pub(super) const RATE_WINDOW_TARGETS: u32 = 4;

/// What an ended attempt shows about the load of its server.
pub(super) struct LoadSignals {
    pub(super) answered: bool,
    pub(super) in_time: bool,
    /// The server rejected the attempt or did not answer before the timeout.
    pub(super) overloaded: bool,
    /// The attempt was counted when it became overdue.
    pub(super) already_counted: bool,
    /// The server reports a utilization below `HIGH_UTILIZATION`.
    pub(super) underutilized: bool,
    /// The server reports that no request waits.
    pub(super) unqueued: bool,
}

impl Server {
    /// Its current in-flight limit. A limit that was decreased recovers with time: a node that rarely calls
    /// the server would otherwise wait long for the answers in time that make up for a late one, while the
    /// server has capacity again.
    pub(super) fn limit(&self, initial: f64, now: Timestamp) -> f64 {
        let decay = (-now.since(self.limit_changed_at).as_secs_f64() / LIMIT_RECOVERY.as_secs_f64()).exp();
        self.limit + (initial - self.limit).max(0.0) * (1.0 - decay)
    }
}

impl Balancer {
    /// Refills the token buckets of cold servers. A cold server that all nodes together overload never
    /// recovers, so each node grants it tokens at a rate derived from the good answers that the node sees:
    /// its share of them by capacity, times the permitted multiple. Fractions add up until they make a
    /// request.
    pub(super) fn refill_buckets(&mut self, now: Timestamp) {
        let elapsed = now.since(self.buckets_filled_at).as_secs_f64();
        self.buckets_filled_at = now;
        if !self.servers.iter().any(|server| self.is_cold(server, now)) {
            return;
        }
        let caches = self.servers.iter().filter(|server| self.in_use(server));
        let total_capacity = caches.map(|server| self.capacity(server, now)).sum::<f64>().max(1e-9);
        let tokens_per_s = self.good_events.max(1.0) / self.rate_window.as_secs_f64()
            * self.settings.overload_multiple
            * OVERLOAD_MULTIPLE_SHARE;
        for i in 0..self.servers.len() {
            let tokens_per_s = tokens_per_s * self.capacity(&self.servers[i], now) / total_capacity;
            let window_tokens = tokens_per_s * self.settings.overload_window.as_secs_f64();
            let server = &mut self.servers[i];
            server.tokens = (server.tokens + tokens_per_s * elapsed).min((window_tokens / 2.0).max(1.0));
            // The random variation of N requests from all nodes is allowed for with 2 * sqrt(N) + 2 requests.
            // A single request may be as large as half of that.
            server.max_request_tokens = 1.0
                + (window_tokens / OVERLOAD_MULTIPLE_SHARE * f64::from(self.settings.nodes.max(1))).sqrt();
        }
    }

    /// Expected work of a request as a multiple of the mean; 1 if there is no estimate.
    pub(super) fn relative_work(&self, request: &Request) -> f64 {
        let estimate = request.expected_work.filter(|_| self.estimates > 0.0);
        estimate.map_or(1.0, |work| work.as_secs_f64() / self.mean_estimate_s.max(1e-9))
    }

    pub(super) fn has_tokens(&self, i: usize, request: &Request, now: Timestamp) -> bool {
        let server = &self.servers[i];
        !self.is_cold(server, now)
            || server.tokens >= 1.0 && self.relative_work(request) <= server.max_request_tokens.max(1.0)
    }

    /// The latency past which an answer to the request is late: `LATE_SHARE` of its latency target, or up to
    /// the whole target for a request with more work than average.
    pub(super) fn late_after(&self, request: &Request) -> Duration {
        let work = request.expected_work.map_or(0.0, |work| work.as_secs_f64());
        let share = (LATE_SHARE * work / self.average_work_s.max(1e-9)).clamp(LATE_SHARE, 1.0);
        self.class(request).latency_target.mul_f64(share)
    }

    /// Counts overdue attempts against their zones and the limits of their servers. The timeout that shows
    /// the same comes only when the client gives up, and until then a silent zone or an overloaded server
    /// would keep getting requests. Breakers wait for the timeout: under overload, the first few calls of a
    /// window become overdue at all servers together.
    pub(super) fn count_overdue_attempts(
        &mut self,
        now: Timestamp,
        pending: &mut PendingRequest,
        actions: &mut Vec<Action>,
    ) {
        let overdue = pending
            .attempts
            .iter_mut()
            .filter(|a| a.status.is_none() && !a.overdue_counted && a.overdue_at <= now);
        for attempt in overdue {
            attempt.overdue_counted = true;
            let position = self.servers.binary_search_by(|server| server.entry.id.cmp(&attempt.entry.id));
            if let Ok(i) = position {
                let server = &mut self.servers[i];
                if !server.has_spare_capacity {
                    self.bad_events += 1.0;
                    server.limit = (server.limit(self.initial_limit, now) - LIMIT_DECREASE).max(MIN_LIMIT);
                    server.limit_changed_at = now;
                }
                self.record_zone_outcome(self.servers[i].zone, false, now, actions);
            }
        }
    }

    /// Whether to refuse this request because the fleet cannot serve all of them in time. An overload of the
    /// whole fleet clears only if most requests are refused before they are sent.
    pub(super) fn should_shed(&mut self, random_draw: f64) -> bool {
        let good = self.good_events + GOOD_EVENTS_PRIOR;
        let sent = good + self.bad_events;
        let failure_rate = self.bad_events / sent;
        let refused = self.refusals * (REFUSAL_WEIGHT * failure_rate * failure_rate).min(1.0);
        let excess = random_draw * (sent + refused) > good * ADMIT_RATIO;
        self.refusals += if excess { 1.0 } else { 0.0 };
        excess
    }

    /// Adjusts a server's in-flight limit and the counts for admission after an attempt has ended.
    pub(super) fn adjust_limit(&mut self, i: usize, now: Timestamp, signals: LoadSignals) {
        let LoadSignals { answered, in_time, overloaded, already_counted, underutilized, unqueued } = signals;
        let server = &mut self.servers[i];
        (server.limit, server.limit_changed_at) = (server.limit(self.initial_limit, now), now);
        server.has_spare_capacity = underutilized || unqueued;
        if answered && (in_time || underutilized || unqueued) {
            self.good_events += 1.0;
        }
        if answered && in_time && f64::from(server.in_flight) * 2.0 >= server.limit {
            server.limit += LIMIT_INCREASE;
        } else if answered && !in_time && !underutilized && unqueued {
            server.limit = (server.limit - LIMIT_DECREASE_UNQUEUED).max(MIN_LIMIT);
        } else if !already_counted && (answered && !in_time && !underutilized || overloaded) {
            self.bad_events += 1.0;
            server.limit = (server.limit - LIMIT_DECREASE).max(MIN_LIMIT);
        }
    }
}
