//! Random draws. Every draw is named by what it is for, so that it is the same in every arm of an experiment,
//! whatever the nodes do.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_xoshiro::{SplitMix64, Xoshiro256PlusPlus};

/// What a stream of draws is for.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// What the servers are.
    Servers = 1,
    /// When requests come.
    Arrivals = 2,
    /// What they are.
    Requests = 3,
    /// Whom faults meet.
    Faults = 4,
    /// How long the network takes.
    Network = 5,
    /// What the origin takes.
    Origin = 6,
    /// Where the front sends a client.
    Front = 7,
    /// When nodes hear of a list.
    Lists = 8,
    /// Which answers a server spoils.
    Errors = 9,
    /// What clients are like.
    Clients = 10,
}

/// A stream of draws in their order (xoshiro256++).
pub fn stream(seed: u64, stream: Stream) -> Xoshiro256PlusPlus {
    Xoshiro256PlusPlus::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stream as u64)
}

/// A draw from 0 to 1 for one thing alone, which no other draw moves (splitmix64).
pub fn unit(seed: u64, stream: Stream, what: u64) -> f64 {
    let state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (stream as u64) << 56 ^ what;
    SplitMix64::seed_from_u64(state).random::<f64>()
}

/// A time whose mean is `mean_us`, spread as waiting times are.
pub fn exponential_us(random: &mut impl Rng, mean_us: f64) -> u64 {
    let unit: f64 = Exp1.sample(random);
    (unit * mean_us) as u64
}

/// A figure around `mean` with this coefficient of variation, never below zero.
pub fn lognormal(random: &mut impl Rng, mean: f64, cv: f64) -> f64 {
    LogNormal::from_mean_cv(mean, cv).map_or(mean, |law| law.sample(random))
}
