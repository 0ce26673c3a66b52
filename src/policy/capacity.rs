//! What a server can take: its listed weight, its speed and its slow start.

use super::servers::Server;
use super::Balancer;
use crate::api::{Name, Timestamp};
use std::time::Duration;

/// Number of answers over which the speed of a server kind is averaged, and the number of answers at exactly
/// the expected time that it starts with.
const SPEED_ANSWERS: f64 = 200.0;
const SPEED_PRIOR_ANSWERS: f64 = 10.0;
/// Time over which weights that vary with load are averaged, the maximum time that a single list stands for,
/// and the minimum of a weight as a share of the largest.
const WEIGHT_WINDOW: Duration = Duration::from_secs(4);
const MAX_WEIGHT_STEP: Duration = Duration::from_secs(1);
const MIN_WEIGHT_SHARE: f64 = 0.01;
/// A server counts towards the usual load of its kind with this power of its warmth, so that one that has
/// started earlier outweighs many that have just started.
const WARMTH_EXPONENT: i32 = 8;

/// What is known of all servers of a kind together.
#[derive(Debug)]
pub(super) struct ServerKind {
    pub(super) name: Option<Name>,
    /// How the latency of a kind of server compares to the expected work. The average is of logarithms, so
    /// that a few extreme answers do not dominate it.
    pub(super) log_slowness: f64,
    answers: f64,
    /// The mean inverse weight of its servers under their usual load.
    usual_inverse_weight: f64,
}

impl ServerKind {
    /// A kind of which nothing but its name is known.
    pub(super) fn new(name: Option<Name>) -> Self {
        Self { name, log_slowness: 0.0, answers: SPEED_PRIOR_ANSWERS, usual_inverse_weight: 0.0 }
    }

    /// Records an answer that took `ratio` times as long as expected.
    pub(super) fn record(&mut self, ratio: f64) {
        self.answers = (self.answers + 1.0).min(SPEED_ANSWERS);
        self.log_slowness += (ratio.max(1e-3).ln() - self.log_slowness) / self.answers;
    }
}

/// The mean inverse weight of some servers, above all of the warm ones.
#[derive(Clone, Copy, Debug, Default)]
struct MeanInverseWeight {
    sum: f64,
    total_share: f64,
    any_warm: bool,
}

impl MeanInverseWeight {
    fn add(&mut self, inverse_weight: f64, warmth: f64) {
        let share = warmth.powi(WARMTH_EXPONENT);
        self.sum += share * inverse_weight;
        self.total_share += share;
        self.any_warm |= warmth >= 1.0;
    }

    /// The mean; 0 without any server.
    fn mean(&self) -> f64 {
        if self.total_share > 0.0 {
            self.sum / self.total_share
        } else {
            0.0
        }
    }
}

impl Balancer {
    /// Averages the listed weights of all servers, after a list was applied at `now`.
    ///
    /// A weight that varies with load reflects the few requests in the server at one moment, and all nodes
    /// get the same value. Without averaging, each list would move keys back and forth at all nodes at once,
    /// and each move causes a miss.
    pub(super) fn average_weights(&mut self, now: Timestamp) {
        let step = match self.settings.nominal_weights {
            true => 1.0,
            false => {
                let elapsed = now.since(self.list_applied_at).min(MAX_WEIGHT_STEP);
                1.0 - (-elapsed.as_secs_f64() / WEIGHT_WINDOW.as_secs_f64()).exp()
            }
        };
        let largest = self.servers.iter().map(|server| server.entry.weight).fold(f64::MIN_POSITIVE, f64::max);
        for server in &mut self.servers {
            let listed = 1.0 / server.entry.weight.max(largest * MIN_WEIGHT_SHARE);
            let step = if server.inverse_weight > 0.0 { step } else { 1.0 };
            server.inverse_weight += (listed - server.inverse_weight) * step;
        }
        self.update_usual_weights(now);
    }

    /// Determines the usual load of each kind: that of its warm servers. A kind without any is compared with
    /// the warm servers of all kinds.
    fn update_usual_weights(&mut self, now: Timestamp) {
        let mut fleet = MeanInverseWeight::default();
        let mut kinds = vec![MeanInverseWeight::default(); self.kinds.len()];
        for server in self.servers.iter().filter(|server| self.in_use(server)) {
            let warmth = self.warmth(server, now);
            fleet.add(server.inverse_weight, warmth);
            kinds[server.kind].add(server.inverse_weight, warmth);
        }
        for (kind, own) in self.kinds.iter_mut().zip(kinds) {
            let compared = if own.any_warm || !fleet.any_warm { own } else { fleet };
            kind.usual_inverse_weight = compared.mean();
        }
    }

    /// The share of its full capacity that a server has in slow start; 1 once it is warm.
    pub(super) fn warmth(&self, server: &Server, now: Timestamp) -> f64 {
        let warm_within = self.settings.warm_within.as_secs_f64().max(1e-6);
        let age = server.age(now).map_or(warm_within, |age| age.as_secs_f64());
        let cold_share = self.settings.cold_share;
        (cold_share + (1.0 - cold_share) * age / warm_within).min(1.0)
    }

    /// Whether a server is in slow start.
    pub(super) fn is_cold(&self, server: &Server, now: Timestamp) -> bool {
        !self.is_origin(&server.entry) && self.warmth(server, now) < 1.0
    }

    /// The capacity of a server, relative to others.
    pub(super) fn capacity(&self, server: &Server, now: Timestamp) -> f64 {
        let warmth = self.warmth(server, now);
        if self.settings.nominal_weights {
            return (warmth / server.inverse_weight).max(1e-9);
        }
        let kind = &self.kinds[server.kind];
        // A weight that varies with load is the capacity that is free. A server that has just started has all
        // of its own free, the others what their load leaves: compared with them, it counts as loaded as they
        // are.
        let inverse_weight = match warmth < 1.0 {
            true => server.inverse_weight.max(kind.usual_inverse_weight),
            false => server.inverse_weight,
        };
        ((-kind.log_slowness).exp() / inverse_weight * warmth).max(1e-9)
    }
}
