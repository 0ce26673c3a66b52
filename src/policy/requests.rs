//! A request's way through the module: taken, sent, judged by each outcome, ended once.

use super::admission::{Signs, AIM_SHARE, BUSY};
use super::breaker::State;
use super::deployment::{NODES_MEETING_OFTEN, SERVER_CONNECTIONS};
use super::hash::key_of;
use super::retries::{RETRY_SAVED, RETRY_SHARE};
use super::Balancer;
use crate::api::*;
use std::time::Duration;

/// A request that is held for want of room tries again at such steps of its aim.
const HOLD_STEP: f64 = 0.1;
/// A refused client is told to come back after such a part of its aim.
const AWAY_STEP: f64 = 0.02;

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) entry: ServerEntry,
    pub(super) sent: Timestamp,
    /// Of the server's breaker, of the origin's and of that for fetches, when it was sent.
    pub(super) epochs: (u32, u32, u32),
    pub(super) status: Option<Status>,
    /// When no answer to it is a failure, and whether that was counted.
    pub(super) overdue: Timestamp,
    pub(super) counted: bool,
    /// What it paid into the retry budget (less than zero where it took from it), and what tokens it took.
    pub(super) paid: f64,
    pub(super) work: f64,
}

#[derive(Debug)]
pub(super) struct Held {
    pub(super) request: Request,
    pub(super) attempts: Vec<Attempt>,
    pub(super) luck: f64,
    pub(super) arrived: Timestamp,
    pub(super) done: bool,
}

impl Held {
    pub(super) fn outstanding(&self) -> usize {
        self.attempts.iter().filter(|a| a.status.is_none()).count()
    }

    pub(super) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| !a.status.is_some_and(Status::never_ran))
    }
}

impl Balancer {
    pub(super) fn class_slot(&self, request: &Request) -> usize {
        let other = self.settings.classes.len() - 1;
        request.class.map_or(other, |id| id.0.min(other))
    }

    pub(super) fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[self.class_slot(request)]
    }

    pub(super) fn outcome(&mut self, now: Timestamp, outcome: &Outcome, actions: &mut Vec<Action>) {
        let Some(mut held) = self.held.remove(&outcome.id) else { return };
        let Some(attempt) = held.attempts.get_mut(outcome.attempt as usize) else { return self.keep(held) };
        attempt.status = Some(outcome.status);
        let unsent = (outcome.status == Status::Ignored).then_some((attempt.paid, attempt.work));
        let fetched =
            outcome.cache_status == Some(CacheStatus::Miss) && self.settings.mode == CacheMode::Through;
        let epochs = attempt.epochs;
        self.judge_fetches(now, &held, outcome, epochs.2, actions);
        let unfetched = outcome.status == Status::Failed && self.fetches.state != State::Closed;
        self.bad += if unfetched { 1.0 } else { 0.0 };
        // A client that gave up before an answer would have been late tells of itself, not of the server.
        let impatient = outcome.status == Status::TimedOut
            && outcome.took < self.class(&held.request).latency_target.mul_f64(AIM_SHARE);
        let ok = match outcome.status {
            Status::Ok | Status::Miss => Some(true),
            Status::Canceled | Status::Ignored => None,
            _ if impatient => None,
            // A failed fetch is the origin's failure, not the server's: another would ask the same origin.
            _ if fetched || unfetched => None,
            _ => Some(false),
        };
        if fetched || outcome.cache_status == Some(CacheStatus::Hit) {
            if let Some(key) = self.keys.get_mut(&key_of(&held.request)) {
                key.kept = ok.is_some();
            }
        }
        // With all fetches failing no answer tells of a miss: errors of the origin's do.
        let fetch = if unfetched { Some(false) } else { fetched.then_some(ok.is_some()) };
        if self.origin.on_outcome(epochs.1, fetch, None, now) {
            self.origin.enter(self.rest(now), now);
            actions.push(Action::Log("breaker of the origin tripped".into()));
        }
        // What was overdue has been counted already.
        let known = held.attempts[outcome.attempt as usize].counted;
        let epoch = epochs.0;
        let in_time = outcome.took <= self.due_within(&held.request);
        let work = held.request.expected_work.map_or(0.0, |work| work.as_secs_f64());
        self.usual_work += (work - self.usual_work) / 100.0;
        if work > 0.0 {
            self.works = (self.works + 1.0).min(100.0);
            self.mean_work += (work - self.mean_work) / self.works;
        }
        let spare = outcome.load.utilization.is_some_and(|busy| busy < BUSY);
        // Where nobody waits it is most often the work itself that takes long. One of many nodes cannot tell:
        // it meets the server so seldom that the report is older than the bursts of the others.
        let few = self.settings.nodes <= NODES_MEETING_OFTEN;
        let unqueued = few && outcome.load.queue_length.is_some_and(|waiting| waiting < 1.0);
        if outcome.status == Status::Ok {
            let slot = self.class_slot(&held.request);
            self.usual[slot] += (outcome.took.as_secs_f64() - self.usual[slot]) / 20.0;
        }
        let par = held
            .request
            .expected_work
            .unwrap_or(self.class(&held.request).latency_target)
            .as_secs_f64()
            .max(1e-6);
        if let Ok(i) = self.servers.binary_search_by(|server| server.entry.id.cmp(&outcome.server)) {
            let told = matches!(outcome.status, Status::Ok | Status::TimedOut) && !fetched && !impatient;
            if told && self.warmth(&self.servers[i], now) >= 1.0 {
                self.kinds[self.servers[i].kind].note(outcome.took.as_secs_f64() / par);
            }
            let (answered, failed) = (ok == Some(true), ok == Some(false));
            let jammed = failed && matches!(outcome.status, Status::QueueFull | Status::TimedOut);
            self.weigh(i, now, Signs { answered, in_time, jammed, known, spare, unqueued });
            let server = &mut self.servers[i];
            server.in_flight = server.in_flight.saturating_sub(1);
            server.tokens += unsent.map_or(0.0, |(_, work)| work);
            // A handshake costs the server work, an idle connection only its place. Where the connections of
            // all nodes would fill its table, one that is used too seldom gives its place up.
            let part = SERVER_CONNECTIONS / f64::from(self.settings.nodes.max(1));
            if server.in_flight == 0 && part < 1.0 && server.gap > self.settings.keepalive.mul_f64(part) {
                actions.push(Action::Close { server: server.entry.id.clone() });
            }
            if let Some(ok) = ok.filter(|ok| *ok || !known) {
                self.judge_zone(self.servers[i].zone, ok, now, actions);
            }
            self.judge(i, epoch, ok, now, actions);
        }
        self.retry_budget -= unsent.map_or(0.0, |(paid, _)| paid);
        held.done |= outcome.finished;
        self.decide(now, held, actions);
    }

    pub(super) fn decide(&mut self, now: Timestamp, held: Held, actions: &mut Vec<Action>) {
        if held.outstanding() > 0 {
            return self.keep(held);
        }
        if held.done {
            return;
        }
        // Asking the origin after a miss is the ordinary way on, any other attempt a retry on a budget.
        // What was not sent is not repeated.
        let last = held.attempts.iter().rfind(|a| a.status != Some(Status::Ignored));
        let retry = last.filter(|a| a.status != Some(Status::Miss));
        let cost = retry.map_or(0.0, |last| self.retry_cost(now, &held.request, last));
        let barred = self.retry_budget < cost;
        let failed = retry.is_some_and(|last| last.status == Some(Status::Failed));
        let barred = barred || failed && !self.fetches.admits(now);
        let excess = held.attempts.is_empty() && self.refuses(held.luck);
        // An origin with a queue longer than anyone waits serves nobody until likely misses leave it alone.
        let kept = !held.request.write && self.keys.get(&key_of(&held.request)).is_some_and(|key| key.kept);
        let ends = if excess {
            Some(EndReason::Overload)
        } else if barred {
            Some(EndReason::RetryBudget)
        } else if now >= held.request.valid_until {
            Some(EndReason::OutOfTime)
        } else if !(kept || self.origin.admits(now)) {
            Some(EndReason::OriginFailing)
        } else {
            None
        };
        if let Some(reason) = ends {
            return self.end(now, held, reason, actions);
        }
        let Some(i) = self.pick(now, &held) else {
            // A burst passes: without room a request waits, while thrice a usual answer would be in time.
            let aim = self.class(&held.request).latency_target;
            let usual = Duration::from_secs_f64(self.usual[self.class_slot(&held.request)]);
            let again = now + aim.mul_f64(HOLD_STEP);
            if held.attempts.is_empty()
                && again + usual * 3 <= (held.arrived + aim).min(held.request.valid_until)
                && self.servers.iter().any(|server| self.in_use(server))
            {
                self.due.insert((again, held.request.id.clone()));
                return self.keep(held);
            }
            return self.end(now, held, EndReason::NoServer, actions);
        };
        let paid = if retry.is_some() { -cost } else { RETRY_SHARE };
        let paid = paid.min(RETRY_SAVED - self.retry_budget);
        self.retry_budget += paid;
        self.send(now, held, i, (kept, failed), paid, actions);
    }

    fn send(
        &mut self,
        now: Timestamp,
        mut held: Held,
        i: usize,
        (kept, failed): (bool, bool),
        paid: f64,
        actions: &mut Vec<Action>,
    ) {
        // A heavy one may take more than is there: its server gets that much less afterwards.
        let work = self.in_mean_work(&held.request);
        let server = &mut self.servers[i];
        server.tokens -= work;
        server.in_flight += 1;
        (server.sent, server.gap) = (now, now.since(server.sent));
        if server.breaker.state != State::Closed {
            self.zones[server.zone].tried = now;
        }
        server.breaker.on_send(now);
        if !kept {
            self.origin.on_send(now);
        }
        let skew = u32::from(kept && self.origin.state != State::Closed);
        if failed {
            self.fetches.on_send(now);
        }
        let epochs = (server.breaker.epoch, self.origin.epoch.wrapping_sub(skew), self.fetches.epoch);
        let (entry, overdue) = (server.entry.clone(), now + self.due_within(&held.request));
        if overdue < held.request.valid_until {
            self.due.insert((overdue, held.request.id.clone()));
        }
        let until = self.repeatable_until(&held);
        let start_within = (until < held.request.valid_until).then(|| until.since(now));
        let (status, counted) = (None, false);
        held.attempts.push(Attempt { entry, sent: now, epochs, status, overdue, counted, paid, work });
        let timeout = held.request.valid_until.since(now);
        let (id, server) = (held.request.id.clone(), self.servers[i].entry.id.clone());
        actions.push(Action::Send { id, server, timeout, start_within });
        self.keep(held);
    }

    pub(super) fn keep(&mut self, held: Held) {
        self.held.insert(held.request.id.clone(), held);
    }

    /// How long refused clients should stay away: until the origin's breaker lets its first trial through,
    /// or shortly: the front deals a client that comes again to another node, which may have room.
    pub(super) fn retry_after(&self, now: Timestamp, request: &Request) -> Duration {
        let origin = self.servers.iter().find(|server| self.is_origin(&server.entry));
        let advice = match origin.map_or(self.origin.state, |server| server.breaker.state) {
            State::Open { until } => until.since(now),
            _ => self.class(request).latency_target.mul_f64(AWAY_STEP),
        };
        advice.min(self.settings.max_retry_after)
    }

    pub(super) fn end(&mut self, now: Timestamp, held: Held, reason: EndReason, actions: &mut Vec<Action>) {
        let effect = self.class(&held.request).effect;
        let scattered = matches!(effect, Effect::Keyed { scope: DedupScope::Zone | DedupScope::Cell, .. })
            && held.may_have_run().next().is_some();
        let retry_after = self.retry_after(now, &held.request);
        // Its client comes again in its own time: no sooner than it is told to.
        let again = now + retry_after < self.repeatable_until(&held);
        if again && !scattered && now < held.request.valid_until {
            let id = held.request.id;
            actions.push(Action::Refuse { id, retry_after, reason });
        } else {
            actions.push(Action::Fail { id: held.request.id, reason });
        }
    }
}
