//! What is let in: in-flight limits, cold servers' token buckets, what a jammed fleet can still serve.

use super::breaker::WINDOW;
use super::servers::Server;
use super::{Balancer, Held};
use crate::api::{Action, Request, Timestamp};
use std::time::Duration;

/// Share of a cold server's stated multiple that is used: half a span's sends may be in hand when one begins.
const COLD_PART: f64 = 0.7;
/// An answer is late past this share of its aim, from a server at least this busy.
pub(super) const AIM_SHARE: f64 = 0.7;
pub(super) const BUSY: f64 = 0.8;
/// In-flight limit: its least, its steps for answers in time and late, and for those late with no queue.
const LIMIT_LEAST: f64 = 0.05;
const LIMIT_UP: f64 = 0.1;
const LIMIT_DOWN: f64 = 1.0;
const LIMIT_EASE: f64 = 0.3;
/// Time over which a limit that was cut goes back to its start.
const LIMIT_SPAN: Duration = WINDOW;
/// Requests for each one in time that a node admits while most of what it sends fails.
const ADMIT: f64 = 1.3;
/// Answers in time that are taken for granted: one of many nodes sees no more than some ten within the span.
const ADMIT_PRIOR: f64 = 1.0;
/// What a refusal for want of admission counts, as a part of a failure: so many times the square of the share
/// of sends that fail, one at the most. While many fail, what was refused would have failed as well: a jam
/// lasts for as long as most of what is sent into it is wasted. Once sends are in time a refusal counts for
/// little, and admission grows fast again.
const REFUSED: f64 = 5.0;
/// Aims of the quickest class over which it is counted what is in time: a jam comes and goes within a few.
pub(super) const RATE_AIMS: u32 = 4;

/// What an ended attempt tells of its server's load.
pub(super) struct Signs {
    pub(super) answered: bool,
    pub(super) in_time: bool,
    pub(super) jammed: bool,
    /// That it was overdue has been counted already.
    pub(super) known: bool,
    /// The server says that it has room, or that nobody waits.
    pub(super) spare: bool,
    pub(super) unqueued: bool,
}

impl Server {
    /// Its in-flight limit now. What late answers told of its load grows old: a node that meets it seldom
    /// would wait long for as many answers in time as undo one late one, while the server has room again.
    pub(super) fn limit(&self, start: f64, now: Timestamp) -> f64 {
        let aged = (-now.since(self.limited).as_secs_f64() / LIMIT_SPAN.as_secs_f64()).exp();
        self.limit + (start - self.limit).max(0.0) * (1.0 - aged)
    }
}

impl Balancer {
    /// Pushed over by all nodes, a cold server never comes back: each node adds up, bit by bit, its part of
    /// what the server's size should get of the good answers seen here, until that makes a whole request.
    pub(super) fn refill(&mut self, now: Timestamp) {
        let since = now.since(self.filled).as_secs_f64();
        self.filled = now;
        if !self.servers.iter().any(|server| self.is_cold(server, now)) {
            return;
        }
        let caches = self.servers.iter().filter(|server| self.in_use(server));
        let fleet = caches.map(|server| self.capacity(server, now)).sum::<f64>().max(1e-9);
        let pace =
            self.good.max(1.0) / self.rate_span.as_secs_f64() * self.settings.overload_multiple * COLD_PART;
        for i in 0..self.servers.len() {
            let pace = pace * self.capacity(&self.servers[i], now) / fleet;
            let due = pace * self.settings.overload_window.as_secs_f64();
            let server = &mut self.servers[i];
            server.tokens = (server.tokens + pace * since).min((due / 2.0).max(1.0));
            // Of N from all nodes, 2 x root of N + 2 are put down to chance: no request is half of that.
            server.heaviest = 1.0 + (due / COLD_PART * f64::from(self.settings.nodes.max(1))).sqrt();
        }
    }

    /// What a request is of a usual one, by the work that its client announces.
    pub(super) fn in_mean_work(&self, request: &Request) -> f64 {
        let known = request.expected_work.filter(|_| self.works > 0.0);
        known.map_or(1.0, |work| work.as_secs_f64() / self.mean_work.max(1e-9))
    }

    pub(super) fn has_tokens(&self, i: usize, request: &Request, now: Timestamp) -> bool {
        let server = &self.servers[i];
        !self.is_cold(server, now)
            || server.tokens >= 1.0 && self.in_mean_work(request) <= server.heaviest.max(1.0)
    }

    /// An answer to it that comes later is late: past a part of its aim, or for a heavy one past more of it.
    pub(super) fn due_within(&self, request: &Request) -> Duration {
        let work = request.expected_work.map_or(0.0, |work| work.as_secs_f64());
        let share = (AIM_SHARE * work / self.usual_work.max(1e-9)).clamp(AIM_SHARE, 1.0);
        self.class(request).latency_target.mul_f64(share)
    }

    /// Counts the attempts that are overdue against their zones and servers' limits. The time-out that tells
    /// the same comes when the client gives up, and meanwhile a silent zone or a jam takes all that comes.
    /// Breakers wait for it: in a jam, the first few calls of a window are overdue together at every server.
    pub(super) fn miss_answers(&mut self, now: Timestamp, held: &mut Held, actions: &mut Vec<Action>) {
        let out = held.attempts.iter_mut().filter(|a| a.status.is_none() && !a.counted && a.overdue <= now);
        for attempt in out {
            attempt.counted = true;
            let place = self.servers.binary_search_by(|server| server.entry.id.cmp(&attempt.entry.id));
            if let Ok(i) = place {
                let server = &mut self.servers[i];
                if !server.calm {
                    self.bad += 1.0;
                    server.limit = (server.limit(self.limit_start, now) - LIMIT_DOWN).max(LIMIT_LEAST);
                    server.limited = now;
                }
                self.judge_zone(self.servers[i].zone, false, now, actions);
            }
        }
    }

    /// Whether this request is more than the fleet can still serve in time: one that is jammed as a whole
    /// drains only if most is refused before it is sent.
    pub(super) fn refuses(&mut self, luck: f64) -> bool {
        let good = self.good + ADMIT_PRIOR;
        let sent = good + self.bad;
        let failing = self.bad / sent;
        let refused = self.refused * (REFUSED * failing * failing).min(1.0);
        let excess = luck * (sent + refused) > good * ADMIT;
        self.refused += if excess { 1.0 } else { 0.0 };
        excess
    }

    /// Moves the in-flight limit of a server, and what is counted for admission, by an ended attempt.
    pub(super) fn weigh(&mut self, i: usize, now: Timestamp, signs: Signs) {
        let Signs { answered, in_time, jammed, known, spare, unqueued } = signs;
        let server = &mut self.servers[i];
        (server.limit, server.limited) = (server.limit(self.limit_start, now), now);
        server.calm = spare || unqueued;
        if answered && (in_time || spare || unqueued) {
            self.good += 1.0;
        }
        if answered && in_time && f64::from(server.in_flight) * 2.0 >= server.limit {
            server.limit += LIMIT_UP;
        } else if answered && !in_time && !spare && unqueued {
            server.limit = (server.limit - LIMIT_EASE).max(LIMIT_LEAST);
        } else if !known && (answered && !in_time && !spare || jammed) {
            self.bad += 1.0;
            server.limit = (server.limit - LIMIT_DOWN).max(LIMIT_LEAST);
        }
    }
}
