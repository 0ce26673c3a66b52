//! How a zone fares as a whole, and what its servers take from that.

use super::breaker::{State, COMMON_RATE, COOLDOWN, MIN_CALLS, TRIALS, TRIP_RATE, WINDOW};
use super::hash::{mix, unit};
use super::Balancer;
use crate::api::{Action, Name, Timestamp};

/// Outcomes of a zone over which its failure rate is averaged.
const ZONE_SPAN: f64 = 8.0;

/// How the servers of a zone fare as a whole, at this node and lately.
#[derive(Debug)]
pub(super) struct Zone {
    pub(super) name: Option<Name>,
    pub(super) calls: u32,
    pub(super) failing: f64,
    pub(super) heard: Timestamp,
    /// It fails as a whole, and when a trial there was last sent.
    pub(super) shut: bool,
    pub(super) tried: Timestamp,
}

impl Zone {
    pub(super) fn note(&mut self, ok: bool, now: Timestamp) {
        if now >= self.heard + WINDOW {
            (self.calls, self.failing) = (0, 0.0);
        }
        (self.calls, self.heard) = (self.calls.saturating_add(1), now);
        let failed = if ok { 0.0 } else { 1.0 };
        self.failing += (failed - self.failing) / f64::from(self.calls).min(ZONE_SPAN);
    }

    /// Its failure rate, where enough was heard of it lately to tell.
    pub(super) fn rate(&self, now: Timestamp) -> Option<f64> {
        (self.calls >= MIN_CALLS && now < self.heard + WINDOW).then_some(self.failing)
    }
}

impl Balancer {
    /// Whether a zone fares otherwise than some other one: what ails it is then not common to all servers.
    pub(super) fn apart(&self, zone: usize, now: Timestamp) -> bool {
        let others = self.zones.iter().enumerate().filter(|(other, _)| *other != zone);
        others.filter_map(|(_, other)| other.rate(now)).any(|rate| rate < COMMON_RATE)
    }

    /// Counts how an attempt fared for its zone. Where the whole zone fails and others don't, so do those of
    /// its servers that this node has not heard enough of to know better.
    pub(super) fn judge_zone(&mut self, z: usize, ok: bool, now: Timestamp, actions: &mut Vec<Action>) {
        self.zones[z].note(ok, now);
        let others = self.zones[z].rate(now);
        let apart = self.apart(z, now);
        let zone = &mut self.zones[z];
        let told = |what: &str| {
            let name = zone.name.as_ref().map_or("with no name", |name| name.as_str());
            Action::Log(format!("zone {name} {what}"))
        };
        if ok && zone.shut {
            actions.push(told("answers again"));
            (zone.shut, zone.calls) = (false, 0);
        } else if !ok && apart && others.is_some_and(|rate| rate >= TRIP_RATE) {
            if !zone.shut {
                actions.push(told("fails as a whole"));
            }
            zone.shut = true;
            let seed = self.seed ^ now.as_micros();
            for mate in self.servers.iter_mut().filter(|mate| mate.zone == z) {
                mate.breaker.turn(now);
                if mate.breaker.state == State::Closed && mate.breaker.failing(others) {
                    // Those that are shut together must not all be due for a trial together.
                    let jittered = COOLDOWN.mul_f64(1.0 + unit(mix(seed ^ mate.hash)) / 2.0);
                    mate.breaker.enter(State::Open { until: now + jittered }, now);
                }
            }
        }
    }

    /// One trial tells of a whole zone: while it fails, not each of its servers is tried after its cooldown.
    pub(super) fn may_try(&self, i: usize, now: Timestamp) -> bool {
        let zone = &self.zones[self.servers[i].zone];
        let trial = self.servers[i].breaker.state != State::Closed;
        !(trial && zone.shut) || now >= zone.tried + COOLDOWN / TRIALS
    }
}
