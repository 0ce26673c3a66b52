//! The life cycle of a request: admission, attempts, the evaluation of their outcomes, and its final answer.

use super::admission::{LoadSignals, HIGH_UTILIZATION, LATE_SHARE};
use super::breaker::State;
use super::deployment::{MAX_IDLE_CONNECTIONS, MAX_NODES_FOR_QUEUE_REPORTS};
use super::hash::key_of;
use super::retries::{MAX_RETRY_BUDGET, RETRY_DEPOSIT};
use super::Balancer;
use crate::api::*;
use std::time::Duration;

/// Interval at which a request that waits for a free server looks for one, as a share of its latency target.
const WAIT_STEP: f64 = 0.1;
/// How long a refused client is asked to stay away, as a share of its latency target.
const RETRY_AFTER_SHARE: f64 = 0.02;

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) entry: ServerEntry,
    pub(super) sent_at: Timestamp,
    /// Epochs of the server's breaker, the origin's and the one for error retries when it was sent.
    pub(super) epochs: (u32, u32, u32),
    pub(super) status: Option<Status>,
    /// When a missing answer counts as a failure, and whether it has been counted.
    pub(super) overdue_at: Timestamp,
    pub(super) overdue_counted: bool,
    /// What it added to the retry budget (negative if it was paid from it), and the tokens that it took.
    pub(super) deposit: f64,
    pub(super) tokens: f64,
}

#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) attempts: Vec<Attempt>,
    /// Uniform between 0 and 1, for all random choices about this request.
    pub(super) random_draw: f64,
    pub(super) arrived_at: Timestamp,
    /// The client has its final answer or needs none.
    pub(super) done: bool,
}

impl PendingRequest {
    pub(super) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.status.is_none()).count()
    }

    pub(super) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| !a.status.is_some_and(Status::never_ran))
    }
}

impl Balancer {
    pub(super) fn class_index(&self, request: &Request) -> usize {
        let no_class = self.settings.classes.len() - 1;
        request.class.map_or(no_class, |id| id.0.min(no_class))
    }

    pub(super) fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[self.class_index(request)]
    }

    /// Evaluates the end of an attempt, then answers the request or makes another attempt.
    pub(super) fn on_outcome(&mut self, now: Timestamp, outcome: &Outcome, actions: &mut Vec<Action>) {
        let Some(mut pending) = self.pending.remove(&outcome.id) else { return };
        let Some(attempt) = pending.attempts.get_mut(outcome.attempt as usize) else {
            return self.keep(pending);
        };
        attempt.status = Some(outcome.status);
        let unsent = (outcome.status == Status::Ignored).then_some((attempt.deposit, attempt.tokens));
        let fetched =
            outcome.cache_status == Some(CacheStatus::Miss) && self.settings.mode == CacheMode::Through;
        let epochs = attempt.epochs;
        self.record_error_retry(now, &pending, outcome, epochs.2, actions);
        let origin_error =
            outcome.status == Status::Failed && self.error_retry_breaker.state != State::Closed;
        self.bad_events += if origin_error { 1.0 } else { 0.0 };
        // A client that gave up before the answer would have been late says nothing about the server.
        let gave_up_early = outcome.status == Status::TimedOut
            && outcome.took < self.class(&pending.request).latency_target.mul_f64(LATE_SHARE);
        let ok = match outcome.status {
            Status::Ok | Status::Miss => Some(true),
            Status::Canceled | Status::Ignored => None,
            _ if gave_up_early => None,
            // A failed fetch is the origin's failure: any other server would ask the same origin.
            _ if fetched || origin_error => None,
            _ => Some(false),
        };
        if fetched || outcome.cache_status == Some(CacheStatus::Hit) {
            if let Some(key) = self.keys.get_mut(&key_of(&pending.request)) {
                key.cached = ok.is_some();
            }
        }
        // While all fetches fail, no answer reports a miss; errors of the origin count as failed fetches.
        let fetch = if origin_error { Some(false) } else { fetched.then_some(ok.is_some()) };
        if self.origin_breaker.on_outcome(epochs.1, fetch, None, now) {
            self.origin_breaker.enter(self.origin_open_state(now), now);
            actions.push(Action::Log("breaker of the origin tripped".into()));
        }
        // Attempts that became overdue were counted then.
        let already_counted = pending.attempts[outcome.attempt as usize].overdue_counted;
        let epoch = epochs.0;
        let in_time = outcome.took <= self.late_after(&pending.request);
        let work = pending.request.expected_work.map_or(0.0, |work| work.as_secs_f64());
        self.average_work_s += (work - self.average_work_s) / 100.0;
        if work > 0.0 {
            self.estimates = (self.estimates + 1.0).min(100.0);
            self.mean_estimate_s += (work - self.mean_estimate_s) / self.estimates;
        }
        let underutilized =
            outcome.load.utilization.is_some_and(|utilization| utilization < HIGH_UTILIZATION);
        // A slow answer from a server without a queue is usually due to the request's own work. Out of many
        // nodes, each one calls a server so rarely that its report is older than the other nodes' bursts.
        let few_nodes = self.settings.nodes <= MAX_NODES_FOR_QUEUE_REPORTS;
        let unqueued = few_nodes && outcome.load.queue_length.is_some_and(|length| length < 1.0);
        if outcome.status == Status::Ok {
            let class = self.class_index(&pending.request);
            self.typical_latency_s[class] +=
                (outcome.took.as_secs_f64() - self.typical_latency_s[class]) / 20.0;
        }
        let expected_s = pending
            .request
            .expected_work
            .unwrap_or(self.class(&pending.request).latency_target)
            .as_secs_f64()
            .max(1e-6);
        if let Ok(i) = self.servers.binary_search_by(|server| server.entry.id.cmp(&outcome.server)) {
            let shows_speed =
                matches!(outcome.status, Status::Ok | Status::TimedOut) && !fetched && !gave_up_early;
            if shows_speed && self.warmth(&self.servers[i], now) >= 1.0 {
                self.kinds[self.servers[i].kind].record(outcome.took.as_secs_f64() / expected_s);
            }
            let (answered, failed) = (ok == Some(true), ok == Some(false));
            let overloaded = failed && matches!(outcome.status, Status::QueueFull | Status::TimedOut);
            self.adjust_limit(
                i,
                now,
                LoadSignals { answered, in_time, overloaded, already_counted, underutilized, unqueued },
            );
            let server = &mut self.servers[i];
            server.in_flight = server.in_flight.saturating_sub(1);
            server.tokens += unsent.map_or(0.0, |(_, tokens)| tokens);
            // A handshake costs the server work, an idle connection only a table entry. If the connections of
            // all nodes would fill its table, one that is rarely used is closed.
            let share = MAX_IDLE_CONNECTIONS / f64::from(self.settings.nodes.max(1));
            if server.in_flight == 0
                && share < 1.0
                && server.send_interval > self.settings.keepalive.mul_f64(share)
            {
                actions.push(Action::Close { server: server.entry.id.clone() });
            }
            if let Some(ok) = ok.filter(|ok| *ok || !already_counted) {
                self.record_zone_outcome(self.servers[i].zone, ok, now, actions);
            }
            self.record_server_outcome(i, epoch, ok, now, actions);
        }
        self.retry_budget -= unsent.map_or(0.0, |(deposit, _)| deposit);
        pending.done |= outcome.finished;
        self.dispatch(now, pending, actions);
    }

    /// Makes the next attempt of a request, lets it wait or ends it, unless an attempt is in flight.
    pub(super) fn dispatch(&mut self, now: Timestamp, pending: PendingRequest, actions: &mut Vec<Action>) {
        if pending.in_flight() > 0 {
            return self.keep(pending);
        }
        if pending.done {
            return;
        }
        // Asking the origin after a miss is the normal course; any other further attempt is a retry and needs
        // budget. An attempt that was never sent is not repeated by the next one.
        let last = pending.attempts.iter().rfind(|a| a.status != Some(Status::Ignored));
        let retry = last.filter(|a| a.status != Some(Status::Miss));
        let cost = retry.map_or(0.0, |last| self.retry_cost(now, &pending.request, last));
        let barred = self.retry_budget < cost;
        let after_error = retry.is_some_and(|last| last.status == Some(Status::Failed));
        let barred = barred || after_error && !self.error_retry_breaker.admits(now);
        let excess = pending.attempts.is_empty() && self.should_shed(pending.random_draw);
        // An origin whose queue is longer than any client waits serves nobody until likely misses stop.
        let likely_hit =
            !pending.request.write && self.keys.get(&key_of(&pending.request)).is_some_and(|key| key.cached);
        let reason = if excess {
            Some(EndReason::Overload)
        } else if barred {
            Some(EndReason::RetryBudget)
        } else if now >= pending.request.valid_until {
            Some(EndReason::OutOfTime)
        } else if !(likely_hit || self.origin_breaker.admits(now)) {
            Some(EndReason::OriginFailing)
        } else {
            None
        };
        if let Some(reason) = reason {
            return self.end(now, pending, reason, actions);
        }
        let Some(i) = self.pick_server(now, &pending) else {
            // To absorb a burst, a request waits for a free server while there is time for three times the
            // typical latency within its target.
            let target = self.class(&pending.request).latency_target;
            let typical = Duration::from_secs_f64(self.typical_latency_s[self.class_index(&pending.request)]);
            let next_try = now + target.mul_f64(WAIT_STEP);
            if pending.attempts.is_empty()
                && next_try + typical * 3 <= (pending.arrived_at + target).min(pending.request.valid_until)
                && self.servers.iter().any(|server| self.in_use(server))
            {
                self.timers.insert((next_try, pending.request.id.clone()));
                return self.keep(pending);
            }
            return self.end(now, pending, EndReason::NoServer, actions);
        };
        let deposit = if retry.is_some() { -cost } else { RETRY_DEPOSIT };
        let deposit = deposit.min(MAX_RETRY_BUDGET - self.retry_budget);
        self.retry_budget += deposit;
        self.send(now, pending, i, (likely_hit, after_error), deposit, actions);
    }

    fn send(
        &mut self,
        now: Timestamp,
        mut pending: PendingRequest,
        i: usize,
        (likely_hit, after_error): (bool, bool),
        deposit: f64,
        actions: &mut Vec<Action>,
    ) {
        // A large request may overdraw the bucket: the server then gets that much less afterwards.
        let tokens = self.relative_work(&pending.request);
        let server = &mut self.servers[i];
        server.tokens -= tokens;
        server.in_flight += 1;
        (server.last_sent_at, server.send_interval) = (now, now.since(server.last_sent_at));
        if server.breaker.state != State::Closed {
            self.zones[server.zone].last_trial_at = now;
        }
        server.breaker.on_send(now);
        if !likely_hit {
            self.origin_breaker.on_send(now);
        }
        // A likely hit is no trial of the origin: an epoch of the past makes its breaker ignore the outcome.
        let skew = u32::from(likely_hit && self.origin_breaker.state != State::Closed);
        if after_error {
            self.error_retry_breaker.on_send(now);
        }
        let epochs = (
            server.breaker.epoch,
            self.origin_breaker.epoch.wrapping_sub(skew),
            self.error_retry_breaker.epoch,
        );
        let (entry, overdue_at) = (server.entry.clone(), now + self.late_after(&pending.request));
        if overdue_at < pending.request.valid_until {
            self.timers.insert((overdue_at, pending.request.id.clone()));
        }
        let until = self.repeatable_until(&pending);
        let start_within = (until < pending.request.valid_until).then(|| until.since(now));
        let (status, overdue_counted) = (None, false);
        pending.attempts.push(Attempt {
            entry,
            sent_at: now,
            epochs,
            status,
            overdue_at,
            overdue_counted,
            deposit,
            tokens,
        });
        let timeout = pending.request.valid_until.since(now);
        let (id, server) = (pending.request.id.clone(), self.servers[i].entry.id.clone());
        actions.push(Action::Send { id, server, timeout, start_within });
        self.keep(pending);
    }

    pub(super) fn keep(&mut self, pending: PendingRequest) {
        self.pending.insert(pending.request.id.clone(), pending);
    }

    /// How long refused clients should stay away: until the origin's breaker admits its first trial if it is
    /// open, otherwise briefly, as a client that retries is routed to another node, which may have capacity.
    pub(super) fn retry_after(&self, now: Timestamp, request: &Request) -> Duration {
        let origin = self.servers.iter().find(|server| self.is_origin(&server.entry));
        let delay = match origin.map_or(self.origin_breaker.state, |server| server.breaker.state) {
            State::Open { until } => until.since(now),
            _ => self.class(request).latency_target.mul_f64(RETRY_AFTER_SHARE),
        };
        delay.min(self.settings.max_retry_after)
    }

    /// Gives the final answer: refuses the request if its client may safely retry it, otherwise fails it.
    pub(super) fn end(
        &mut self,
        now: Timestamp,
        pending: PendingRequest,
        reason: EndReason,
        actions: &mut Vec<Action>,
    ) {
        let effect = self.class(&pending.request).effect;
        // A client's retry may reach servers outside the scope that discards repeats.
        let limited_scope =
            matches!(effect, Effect::Keyed { scope: DedupScope::Zone | DedupScope::Cell, .. })
                && pending.may_have_run().next().is_some();
        let retry_after = self.retry_after(now, &pending.request);
        // The client retries at a time of its own choice, but not before the delay that it is given.
        let repeatable = now + retry_after < self.repeatable_until(&pending);
        if repeatable && !limited_scope && now < pending.request.valid_until {
            let id = pending.request.id;
            actions.push(Action::Refuse { id, retry_after, reason });
        } else {
            actions.push(Action::Fail { id: pending.request.id, reason });
        }
    }
}
