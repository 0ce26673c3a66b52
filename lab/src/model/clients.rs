//! Clients: an open-loop arrival process drawn before the run, request classes, popular keys that drift, per-try
//! timeouts and client retries (operators' page, "Request classes" and "What clients do").

use super::{micros, Micros, SECOND};
use crate::draw::{self, Stream};
use rand::Rng;
use rand_distr::{Distribution, Zipf};
use std::time::Duration;
use walkpick::{Class, DedupScope, Effect};

/// A class of requests, with its part in the clients' traffic.
#[derive(Clone, Debug)]
pub struct ClientClass {
    /// The class as configured on nodes.
    pub config: Class,
    /// Share of all requests.
    pub share: f64,
    /// Mean work, in microseconds of a standard core.
    pub work_us: f64,
    /// Coefficient of variation of the work.
    pub cv: f64,
    /// Whether its requests modify their object.
    pub write: bool,
}

/// The four classes of the operators' page, each at the middle of its ranges.
pub fn client_classes() -> Vec<ClientClass> {
    let ms = Duration::from_millis;
    let class = |name: &str, share, work_ms: u64, cv, latency_target, deadline, worth, effect| ClientClass {
        config: Class {
            name: name.into(),
            effect,
            latency_target: ms(latency_target),
            deadline: ms(deadline),
            worth,
            late_worth: 0.0,
        },
        share,
        work_us: (work_ms * 1_000) as f64,
        cv,
        write: effect != Effect::Safe,
    };
    let keyed = Effect::Keyed { scope: DedupScope::All, window: ms(3_000) };
    vec![
        class("sub-view", 0.605, 86, 1.1, 500, 1_000, 3.0, Effect::Safe),
        class("catalogue", 0.36, 155, 1.0, 1_200, 4_000, 1.0, Effect::Safe),
        class("charge", 0.026, 180, 1.1, 1_200, 4_000, 8.0, Effect::Unsafe),
        class("plan-change", 0.009, 200, 1.1, 1_500, 5_000, 2.0, keyed),
    ]
}

/// A client's request. It is drawn before the run, so nothing that nodes do changes it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// When its client sends the first try.
    pub at: Micros,
    /// Index of its class.
    pub class: usize,
    /// Index of its client's zone.
    pub zone: usize,
    /// Key of the object.
    pub key: u64,
    /// Work, in microseconds of a standard core.
    pub work_us: f64,
    /// The client's estimate of that work.
    pub hint_us: f64,
    /// How long its client waits for each try.
    pub try_timeout: Micros,
    /// Whether its client waits for the retry-after time of a refusal before it retries.
    pub honors_retry_after: bool,
}

/// How a request, or one try of it, ended for its client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientOutcome {
    /// Still in flight, or ended without an answer.
    #[default]
    Unanswered,
    /// No node was reachable.
    Unreachable,
    /// Refused by the node.
    Refused,
    /// Failed.
    Failed,
    /// Served.
    Served,
}

/// Whether a client retries a request that ended with `outcome` (protocol page, "Clients"). `since_first`: time since
/// its first try.
pub fn should_retry(effect: Effect, outcome: ClientOutcome, since_first: Micros) -> bool {
    match (outcome, effect) {
        (ClientOutcome::Served, _) => false,
        (ClientOutcome::Refused | ClientOutcome::Unreachable, _) | (_, Effect::Safe) => true,
        (_, Effect::Keyed { scope, window }) => scope == DedupScope::All && since_first < micros(window),
        (_, Effect::Unsafe) => false,
    }
}

/// Parameters of the arrival process.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Mean requests per second.
    pub rate_per_s: f64,
    /// Amplitude of the sine by which the rate varies, relative to the mean; its period is 20 s.
    pub swing: f64,
    /// Number of client zones.
    pub zones: usize,
    /// Share of the clients in the first zone.
    pub first_zone_share: f64,
    /// Number of objects.
    pub keys: u64,
    /// Exponent of the Zipf distribution of their popularity.
    pub zipf: f64,
    /// Fraction of the popularity ranks that pass to another object each second.
    pub drift: f64,
    /// Lowest and highest try timeout, as fractions of the deadline of the class.
    pub try_timeout_shares: (f64, f64),
    /// Share of the clients that wait for the retry-after time of a refusal.
    pub honors_retry_after_share: f64,
}

/// Draws all requests of a run, in order of arrival.
pub fn generate_requests(
    seed: u64,
    length: Micros,
    workload: &Workload,
    classes: &[ClientClass],
) -> Vec<ClientRequest> {
    let (mut times, mut contents) =
        (draw::stream(seed, Stream::Arrivals), draw::stream(seed, Stream::Requests));
    let popularity = Zipf::new(workload.keys.max(1) as f64, workload.zipf).ok();
    let max_rate = workload.rate_per_s * (1.0 + workload.swing);
    let (mut requests, mut now) = (Vec::new(), 0);
    loop {
        now += draw::exponential_us(&mut times, SECOND as f64 / max_rate).max(1);
        if now >= length {
            return requests;
        }
        // Thinning: arrivals are drawn at the maximum rate and kept in proportion to the current one.
        let wave = (now as f64 / (20.0 * SECOND as f64) * std::f64::consts::TAU).sin();
        if times.random::<f64>() * (1.0 + workload.swing) > 1.0 + workload.swing * wave {
            continue;
        }
        let honors_retry_after =
            draw::unit(seed, Stream::Clients, requests.len() as u64) < workload.honors_retry_after_share;
        let request = draw_request(now, workload, classes, popularity.as_ref(), &mut contents);
        requests.push(ClientRequest { honors_retry_after, ..request });
    }
}

/// The object that holds a popularity rank at time `now`. Each rank passes to another object at its own moments, so that
/// of 100 ranks `100 * drift` have changed after one second.
fn object(rank: u64, now: Micros, workload: &Workload) -> u64 {
    /// Distance between successive objects of a rank: a prime, so that neighbouring ranks take unrelated objects.
    const STRIDE: u64 = 7_919;
    let phase = draw::unit(1, Stream::Clients, rank);
    let changes = (now as f64 / SECOND as f64 * workload.drift + phase) as u64;
    let index = rank.wrapping_add(changes.wrapping_mul(STRIDE)) % workload.keys.max(1);
    draw::unit(0, Stream::Requests, index).to_bits()
}

fn draw_request(
    now: Micros,
    workload: &Workload,
    classes: &[ClientClass],
    popularity: Option<&Zipf<f64>>,
    random: &mut impl Rng,
) -> ClientRequest {
    let mut left = random.random::<f64>() * classes.iter().map(|class| class.share).sum::<f64>();
    let class = classes.iter().position(|class| {
        left -= class.share;
        left < 0.0
    });
    let class = class.unwrap_or(0);
    let rank = popularity.map_or(1.0, |law| law.sample(random)) as u64;
    let key = object(rank, now, workload);
    let work_us = draw::lognormal(random, classes[class].work_us, classes[class].cv);
    let hint_us = draw::lognormal(random, work_us.max(1.0), 0.3);
    let first = random.random::<f64>() < workload.first_zone_share;
    let zone = if first || workload.zones < 2 { 0 } else { random.random_range(1..workload.zones) };
    let (min, range) =
        (workload.try_timeout_shares.0, workload.try_timeout_shares.1 - workload.try_timeout_shares.0);
    let share = min + random.random::<f64>() * range;
    let try_timeout = (classes[class].config.deadline.as_micros() as f64 * share) as Micros;
    ClientRequest { at: now, class, zone, key, work_us, hint_us, try_timeout, honors_retry_after: false }
}

#[cfg(test)]
mod tests;
