//! Random draws. Every draw is derived from the seed and its purpose, so that it is the same in every arm of an
//! experiment, whatever the nodes do.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_xoshiro::{SplitMix64, Xoshiro256PlusPlus};

/// The purpose of a stream of draws.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// Properties of the servers.
    Servers = 1,
    /// Arrival times of requests.
    Arrivals = 2,
    /// Contents of requests.
    Requests = 3,
    /// Servers and nodes that faults affect.
    Faults = 4,
    /// Network delays.
    Network = 5,
    /// Service times and errors of the origin.
    Origin = 6,
    /// Nodes that the front load balancer picks.
    Front = 7,
    /// Delays of discovery updates, and seeds of simulated peers.
    DiscoveryUpdates = 8,
    /// Responses of servers that fail or break off, and noise of load reports.
    Errors = 9,
    /// Behaviour of clients, and popularity drift.
    Clients = 10,
}

/// A generator for draws in sequence (xoshiro256++).
pub fn stream(seed: u64, stream: Stream) -> Xoshiro256PlusPlus {
    Xoshiro256PlusPlus::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stream as u64)
}

/// A uniform draw from 0 to 1 that depends on its arguments alone, not on other draws (splitmix64).
pub fn unit(seed: u64, stream: Stream, draw_id: u64) -> f64 {
    let state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (stream as u64) << 56 ^ draw_id;
    SplitMix64::seed_from_u64(state).random::<f64>()
}

/// An exponentially distributed time with this mean.
pub fn exponential_us(random: &mut impl Rng, mean_us: f64) -> u64 {
    let unit: f64 = Exp1.sample(random);
    (unit * mean_us) as u64
}

/// A log-normally distributed value with this mean and coefficient of variation.
pub fn lognormal(random: &mut impl Rng, mean: f64, cv: f64) -> f64 {
    LogNormal::from_mean_cv(mean, cv).map_or(mean, |law| law.sample(random))
}
