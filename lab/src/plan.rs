//! What an experiment and a seed come to before anything runs, the same for both drivers and in every arm: classes,
//! requests, settings of the nodes, the make of each machine, and every draw that is asked for by name.

use crate::draw::{self, Stream};
use crate::experiment::Experiment;
use crate::model::clients::{self, Ask, End, Kind};
use crate::model::origin::OriginParts;
use crate::model::server::ServerParts;
use crate::model::{micros, Micros, SECOND};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::num::NonZeroUsize;
use std::time::Duration;
use walkpick::{Class, Name, Settings};

/// After the last arrival a run goes on until all is answered.
pub const TAIL: Micros = 12 * SECOND;
/// A new connection that is not up by then has failed.
pub const CONNECT_TIMEOUT: Micros = 200_000;
/// Servers close a connection that has stood idle for so long.
pub const KEEPALIVE: Micros = 15 * SECOND;
/// How often discovery tells of new weights.
pub const WEIGHTS_EVERY: Micros = 1_100_000;
/// A planned restart (protocol page): clients keep coming for so long after SIGTERM; the kill comes no sooner than the
/// longest deadline, which counts as 3 s at the most, and 0.7 s.
pub const COMING: Micros = 300_000;
const LONGEST_DEADLINE: Micros = 3 * SECOND;
const AFTER_DEADLINE: Micros = 700_000;
const SLOTS_PER_CORE: f64 = 4.0;
const ROOM_PER_CORE: f64 = 20.0;
const CONNECTIONS_PER_CORE: f64 = 750.0;
const HANDSHAKE_WORK_US: f64 = 1_400.0;
const FETCH_TIMEOUT: Micros = SECOND;
const SPEED: f64 = 0.97;
const SPEED_CV: f64 = 0.15;
const FALL_MULTIPLE: f64 = 3.0;
const FALL_SPAN: Micros = 1_500_000;
const MOST_ATTEMPTS: u32 = 5;

/// A run's plan.
#[derive(Debug)]
pub struct Plan {
    /// What is to be run.
    pub experiment: Experiment,
    /// What all draws come from.
    pub seed: u64,
    /// Classes of requests.
    pub kinds: Vec<Kind>,
    /// What nodes are told, but for their zone.
    pub settings: Settings,
    /// Names of the zones.
    pub zones: Vec<Name>,
    /// All requests, in their order.
    pub asks: Vec<Ask>,
    /// Objects.
    pub keys: u64,
    /// The origin.
    pub origin: OriginParts,
}

/// Mass of the first `first` of `all` objects whose popularity follows Zipf's law.
fn popular_mass(first: f64, all: f64, zipf: f64) -> f64 {
    let sum = |n: f64| (1..=n as u64).map(|rank| (rank as f64).powf(-zipf)).sum::<f64>();
    sum(first.min(all)) / sum(all).max(1e-9)
}

impl Plan {
    /// Of an experiment and a seed.
    pub fn new(experiment: &Experiment, seed: u64) -> Self {
        let parts = &experiment.deployment;
        let kinds = clients::kinds();
        let zones: Vec<Name> = (0..parts.zones).map(|zone| Name::from(format!("z{zone}").as_str())).collect();
        let shares = kinds.iter().map(|kind| kind.share).sum::<f64>();
        let work_us = kinds.iter().map(|kind| kind.share * kind.work_us).sum::<f64>() / shares;
        let capacity = f64::from(parts.servers) * parts.cores * SPEED * SECOND as f64 / work_us;
        let kept = f64::from(parts.servers) * f64::from(parts.memory);
        let keys = (kept * experiment.load.keys_per_memory).max(1.0);
        let load = clients::Load {
            rate: capacity * experiment.load.share,
            swing: experiment.load.swing,
            zones: parts.zones as usize,
            first_zone: experiment.load.first_zone,
            keys: keys as u64,
            zipf: experiment.load.zipf,
            drift: experiment.load.drift,
            try_share: (0.5, 0.6),
            heeds: experiment.load.heeds,
        };
        let asks = clients::arrivals(seed, micros(experiment.lead + experiment.length), &load, &kinds);
        let writes = kinds.iter().filter(|kind| kind.write).map(|kind| kind.share).sum::<f64>() / shares;
        let left = (1.0 - writes) * (1.0 - popular_mass(kept, keys, load.zipf)) + writes;
        let origin_rate = load.rate * left * parts.origin_headroom;
        let origin = OriginParts {
            places: (origin_rate * parts.origin_time.as_secs_f64()).ceil().max(1.0) as usize,
            mean_us: micros(parts.origin_time) as f64,
            fall_multiple: 3.0,
            fall_us: 3 * SECOND,
            down_us: 5 * SECOND,
        };
        let settings = Settings {
            nodes: parts.nodes,
            classes: kinds.iter().map(|kind| kind.class.clone()).collect(),
            nominal_weights: false,
            max_attempts: MOST_ATTEMPTS,
            hedging: true,
            cancelling: true,
            probing: parts.probes,
            max_retry_after: Duration::from_secs(2),
            connect_timeout: Duration::from_micros(CONNECT_TIMEOUT),
            keepalive: Duration::from_micros(KEEPALIVE),
            cold_share: parts.cold_share,
            warm_within: parts.warm,
            overload_multiple: FALL_MULTIPLE,
            overload_window: Duration::from_micros(FALL_SPAN),
            ..Settings::default()
        };
        Self { experiment: experiment.clone(), seed, kinds, settings, zones, asks, keys: keys as u64, origin }
    }

    /// When the last request comes and all of them are answered.
    pub fn end(&self) -> Micros {
        self.length() + TAIL
    }

    /// Nothing counts before this: memories fill, and nodes meet their servers.
    pub fn lead(&self) -> Micros {
        micros(self.experiment.lead)
    }

    /// How long clients come, with the lead.
    pub fn length(&self) -> Micros {
        self.lead() + micros(self.experiment.length)
    }

    /// Of all that was drawn ahead: the same in every arm and under both drivers.
    pub fn draws(&self) -> String {
        let mut drawn = DefaultHasher::new();
        for ask in &self.asks {
            (ask.at, ask.key, ask.kind, ask.zone, ask.work_us.to_bits(), ask.patience).hash(&mut drawn);
        }
        format!("{:016x}", drawn.finish())
    }

    /// The name and the make of server `i`. Names tell nothing of zone, kind or age.
    pub fn server(&self, i: usize) -> (String, ServerParts) {
        let unit = |what: u64| draw::unit(self.seed, Stream::Servers, (i as u64) << 8 | what);
        let deployment = &self.experiment.deployment;
        let spread = 1.0 + SPEED_CV * 3.46 * (unit(1) - 0.5);
        let parts = ServerParts {
            cores: deployment.cores,
            slots: (deployment.cores * SLOTS_PER_CORE).max(1.0) as usize,
            room: (deployment.cores * ROOM_PER_CORE) as usize,
            speed: SPEED * spread,
            thrash_at: 7.4,
            thrash: 0.05,
            cold_share: deployment.cold_share,
            warm_us: micros(deployment.warm),
            memory: NonZeroUsize::new(deployment.memory as usize).unwrap_or(NonZeroUsize::MIN),
            coalesces: unit(2) < 0.5,
            fetch_us: FETCH_TIMEOUT,
            handshake_us: HANDSHAKE_WORK_US,
            connections: (deployment.cores * CONNECTIONS_PER_CORE) as usize,
            fall_multiple: FALL_MULTIPLE,
            fall_us: FALL_SPAN,
        };
        (format!("s-{:08x}", (unit(3) * f64::from(u32::MAX)) as u32), parts)
    }

    /// What a node's random numbers begin with, in each of its lives.
    pub fn node_seed(&self, node: usize, life: u32) -> u64 {
        self.seed ^ ((node as u64) << 32 | u64::from(life)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    /// A way through the network, drawn for `what` alone.
    pub fn latency(&self, mean_us: f64, what: u64) -> Micros {
        (mean_us * (0.85 + 0.4 * draw::unit(self.seed, Stream::Network, what))) as Micros
    }

    /// The class of a request.
    pub fn class(&self, ask: usize) -> &Class {
        &self.kinds[self.asks[ask].kind].class
    }

    /// The place of a node's zone.
    pub fn node_zone(&self, node: usize) -> usize {
        node % self.zones.len()
    }

    /// The node that the front deals a client's try to: one of the client's zone, if any is in use there.
    pub fn front(&self, ask: usize, number: u32, in_use: impl Fn(usize) -> bool) -> Option<usize> {
        let in_use: Vec<_> =
            (0..self.experiment.deployment.nodes as usize).filter(|&node| in_use(node)).collect();
        let zone = self.asks[ask].zone;
        let near: Vec<_> = in_use.iter().copied().filter(|&node| self.node_zone(node) == zone).collect();
        let among = if near.is_empty() { in_use } else { near };
        let dealt = draw::unit(self.seed, Stream::Front, (ask as u64) << 8 | u64::from(number));
        among.get((dealt * among.len() as f64) as usize).copied()
    }

    /// When a client sends a request again whose try of this number came to this end now, if it does. `stay`: how long it
    /// was told to stay away.
    pub fn again(&self, ask: usize, number: u32, end: End, stay: Micros, now: Micros) -> Option<Micros> {
        let (asked, load, class) = (&self.asks[ask], &self.experiment.load, self.class(ask));
        if number >= load.retries || !clients::repeats(class.effect, end, now.saturating_sub(asked.at)) {
            return None;
        }
        let stay = if asked.heeds { stay } else { 0 };
        let again = now + micros(load.backoff).max(stay).max(1);
        (again < asked.at + micros(class.deadline)).then_some(again)
    }

    /// How long after SIGTERM a node is killed.
    pub fn kill_after(&self) -> Micros {
        let longest = self.kinds.iter().map(|kind| micros(kind.class.deadline)).max().unwrap_or(0);
        longest.min(LONGEST_DEADLINE) + AFTER_DEADLINE
    }

    /// Whether a server errs in an attempt, where it errs in `part` of them.
    pub fn errs(&self, attempt: u64, part: f64) -> bool {
        draw::unit(self.seed, Stream::Errors, attempt) < part
    }

    /// Whether an answer breaks off, where `part` of them do.
    pub fn breaks(&self, job: u64, part: f64) -> bool {
        draw::unit(self.seed, Stream::Errors, job ^ 1 << 53) < part
    }

    /// The servers or nodes that a fault meets: the same in every arm.
    pub fn met(&self, fault: usize, of: usize, part: f64) -> Vec<usize> {
        let mut drawn: Vec<_> = (0..of)
            .map(|i| (draw::unit(self.seed, Stream::Faults, (fault as u64) << 32 | i as u64).to_bits(), i))
            .collect();
        drawn.sort_unstable();
        let mut met: Vec<_> =
            drawn.iter().take((part * of as f64).round() as usize).map(|(_, i)| *i).collect();
        met.sort_unstable();
        met
    }
}
