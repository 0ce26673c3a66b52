//! The failure rate of each zone, and how it affects the breakers of the zone's servers.

use super::breaker::{State, COMMON_RATE, COOLDOWN, MIN_CALLS, TRIALS, TRIP_RATE, WINDOW};
use super::hash::{mix, unit_interval};
use super::Balancer;
use crate::api::{Action, Name, Timestamp};

/// Number of outcomes over which the failure rate of a zone is averaged.
const RATE_OUTCOMES: f64 = 8.0;

/// Recent outcomes of all servers of a zone, as seen by this node.
#[derive(Debug)]
pub(super) struct Zone {
    pub(super) name: Option<Name>,
    pub(super) calls: u32,
    pub(super) failure_rate: f64,
    pub(super) last_outcome_at: Timestamp,
    /// Whether the zone fails as a whole, and when a trial was last sent to one of its servers.
    pub(super) down: bool,
    pub(super) last_trial_at: Timestamp,
}

impl Zone {
    pub(super) fn record(&mut self, ok: bool, now: Timestamp) {
        if now >= self.last_outcome_at + WINDOW {
            (self.calls, self.failure_rate) = (0, 0.0);
        }
        (self.calls, self.last_outcome_at) = (self.calls.saturating_add(1), now);
        let failed = if ok { 0.0 } else { 1.0 };
        self.failure_rate += (failed - self.failure_rate) / f64::from(self.calls).min(RATE_OUTCOMES);
    }

    /// Its failure rate; `None` if there are too few recent outcomes.
    pub(super) fn recent_rate(&self, now: Timestamp) -> Option<f64> {
        (self.calls >= MIN_CALLS && now < self.last_outcome_at + WINDOW).then_some(self.failure_rate)
    }
}

impl Balancer {
    /// Whether some other zone is healthy, so that a failure of this zone has no cause common to all servers.
    pub(super) fn other_zone_healthy(&self, zone: usize, now: Timestamp) -> bool {
        let others = self.zones.iter().enumerate().filter(|(other, _)| *other != zone);
        others.filter_map(|(_, other)| other.recent_rate(now)).any(|rate| rate < COMMON_RATE)
    }

    /// Records the outcome of an attempt for its zone. If the zone fails as a whole and another zone does
    /// not, the breakers of its servers open, except where this node's own outcomes show that a server works.
    pub(super) fn record_zone_outcome(
        &mut self,
        z: usize,
        ok: bool,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        self.zones[z].record(ok, now);
        let zone_rate = self.zones[z].recent_rate(now);
        let other_healthy = self.other_zone_healthy(z, now);
        let zone = &mut self.zones[z];
        let log = |change: &str| {
            let name = zone.name.as_ref().map_or("with no name", |name| name.as_str());
            Action::Log(format!("zone {name} {change}"))
        };
        if ok && zone.down {
            actions.push(log("answers again"));
            (zone.down, zone.calls) = (false, 0);
        } else if !ok && other_healthy && zone_rate.is_some_and(|rate| rate >= TRIP_RATE) {
            if !zone.down {
                actions.push(log("fails as a whole"));
            }
            zone.down = true;
            let seed = self.seed ^ now.as_micros();
            for server in self.servers.iter_mut().filter(|server| server.zone == z) {
                server.breaker.roll_window(now);
                if server.breaker.state == State::Closed && server.breaker.is_failing(zone_rate) {
                    // Breakers that open together must not all become due for a trial together.
                    let jittered = COOLDOWN.mul_f64(1.0 + unit_interval(mix(seed ^ server.hash)) / 2.0);
                    server.breaker.enter(State::Open { until: now + jittered }, now);
                }
            }
        }
    }

    /// Whether the state of its zone lets the server get a request. While a zone is down, one trial shows the
    /// state of all of it, so its servers do not each get trials after their cooldowns.
    pub(super) fn zone_admits(&self, i: usize, now: Timestamp) -> bool {
        let zone = &self.zones[self.servers[i].zone];
        let trial = self.servers[i].breaker.state != State::Closed;
        !(trial && zone.down) || now >= zone.last_trial_at + COOLDOWN / TRIALS
    }
}
