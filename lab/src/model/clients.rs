//! Clients: arrivals drawn ahead, open loop; classes, popular keys that drift, patience, retries of their own
//! (operators' page, "Request classes" and "What clients do").

use super::{micros, Micros, SECOND};
use crate::draw::{self, Stream};
use rand::Rng;
use rand_distr::{Distribution, Zipf};
use std::time::Duration;
use walkpick::{Class, DedupScope, Effect};

/// A class of requests, as clients send it.
#[derive(Clone, Debug)]
pub struct Kind {
    /// As nodes know it.
    pub class: Class,
    /// Part of all requests.
    pub share: f64,
    /// Mean work, in microseconds of a standard core, and its coefficient of variation.
    pub work_us: f64,
    /// See `work_us`.
    pub cv: f64,
    /// Whether it changes its object.
    pub write: bool,
}

/// The four classes of the operators' page, at the middle of their ranges.
pub fn kinds() -> Vec<Kind> {
    let ms = Duration::from_millis;
    let kind = |name: &str, share, work_ms: u64, cv, aim, deadline, worth, effect| Kind {
        class: Class {
            name: name.into(),
            effect,
            latency_target: ms(aim),
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
        kind("sub-view", 0.605, 86, 1.1, 500, 1_000, 3.0, Effect::Safe),
        kind("catalogue", 0.36, 155, 1.0, 1_200, 4_000, 1.0, Effect::Safe),
        kind("charge", 0.026, 180, 1.1, 1_200, 4_000, 8.0, Effect::Unsafe),
        kind("plan-change", 0.009, 200, 1.1, 1_500, 5_000, 2.0, keyed),
    ]
}

/// One request, drawn ahead: nothing that nodes do changes it.
#[derive(Clone, Debug)]
pub struct Ask {
    /// When its client first sends it.
    pub at: Micros,
    /// Place of its class.
    pub kind: usize,
    /// Place of its client's zone.
    pub zone: usize,
    /// The object.
    pub key: u64,
    /// Work, in microseconds of a standard core.
    pub work_us: f64,
    /// What its client's guess of that work is.
    pub hint_us: f64,
    /// How long its client waits for each try.
    pub patience: Micros,
    /// Whether its client stays away for as long as it is told to.
    pub heeds: bool,
}

/// What became of a request, or of one try.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Not over, or over with no answer.
    #[default]
    None,
    /// No node could be reached.
    Unreached,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// Served.
    Served,
}

/// Whether a client sends a request again that came to this end (protocol page, "Clients"). `since_first`: since it
/// first sent it.
pub fn repeats(effect: Effect, end: End, since_first: Micros) -> bool {
    match (end, effect) {
        (End::Served, _) => false,
        (End::Refused | End::Unreached, _) | (_, Effect::Safe) => true,
        (_, Effect::Keyed { scope, window }) => scope == DedupScope::All && since_first < micros(window),
        (_, Effect::Unsafe) => false,
    }
}

/// What is drawn.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests a second, on the mean.
    pub rate: f64,
    /// Ups and downs of the rate, as a part of it, with one wave in 20 s.
    pub swing: f64,
    /// Zones that clients are in; the first has this part of them.
    pub zones: usize,
    /// See `zones`.
    pub first_zone: f64,
    /// Objects, and how uneven their popularity is (the exponent of Zipf's law).
    pub keys: u64,
    /// See `keys`.
    pub zipf: f64,
    /// Part of the objects that give their rank to others each second.
    pub drift: f64,
    /// Parts of its class's deadline that a client waits for a try.
    pub try_share: (f64, f64),
    /// Part of the clients that stay away for as long as they are told to.
    pub heeds: f64,
}

/// All requests of a run, in their order.
pub fn arrivals(seed: u64, length: Micros, load: &Load, kinds: &[Kind]) -> Vec<Ask> {
    let (mut when, mut what) = (draw::stream(seed, Stream::Arrivals), draw::stream(seed, Stream::Requests));
    let popularity = Zipf::new(load.keys.max(1) as f64, load.zipf).ok();
    let most = load.rate * (1.0 + load.swing);
    let (mut asks, mut now) = (Vec::new(), 0);
    loop {
        now += draw::exponential_us(&mut when, SECOND as f64 / most).max(1);
        if now >= length {
            return asks;
        }
        // Thinned: the rate at this moment against the most.
        let wave = (now as f64 / (20.0 * SECOND as f64) * std::f64::consts::TAU).sin();
        if when.random::<f64>() * (1.0 + load.swing) > 1.0 + load.swing * wave {
            continue;
        }
        let heeds = draw::unit(seed, Stream::Clients, asks.len() as u64) < load.heeds;
        asks.push(Ask { heeds, ..ask(now, load, kinds, popularity.as_ref(), &mut what) });
    }
}

/// The object that has a rank at this time. Each rank goes over to another object now and then, each in its own time, so
/// that of a hundred ranks `100 * drift` have done so after a second.
fn object(rank: u64, now: Micros, load: &Load) -> u64 {
    /// From object to object of a rank: a prime, so that neighbours part.
    const STRIDE: u64 = 7_919;
    let phase = draw::unit(1, Stream::Clients, rank);
    let turns = (now as f64 / SECOND as f64 * load.drift + phase) as u64;
    let place = rank.wrapping_add(turns.wrapping_mul(STRIDE)) % load.keys.max(1);
    draw::unit(0, Stream::Requests, place).to_bits()
}

fn ask(now: Micros, load: &Load, kinds: &[Kind], popularity: Option<&Zipf<f64>>, what: &mut impl Rng) -> Ask {
    let mut left = what.random::<f64>() * kinds.iter().map(|kind| kind.share).sum::<f64>();
    let kind = kinds.iter().position(|kind| {
        left -= kind.share;
        left < 0.0
    });
    let kind = kind.unwrap_or(0);
    let rank = popularity.map_or(1.0, |law| law.sample(what)) as u64;
    let key = object(rank, now, load);
    let work_us = draw::lognormal(what, kinds[kind].work_us, kinds[kind].cv);
    let hint_us = draw::lognormal(what, work_us.max(1.0), 0.3);
    let first = what.random::<f64>() < load.first_zone;
    let zone = if first || load.zones < 2 { 0 } else { what.random_range(1..load.zones) };
    let (least, span) = (load.try_share.0, load.try_share.1 - load.try_share.0);
    let share = least + what.random::<f64>() * span;
    let patience = (kinds[kind].class.deadline.as_micros() as f64 * share) as Micros;
    Ask { at: now, kind, zone, key, work_us, hint_us, patience, heeds: false }
}

#[cfg(test)]
mod tests;
