//! What an experiment and a seed determine before the run, the same for both drivers and in every arm: classes,
//! requests, settings of the nodes, parameters of each machine, and draws by identifier.

use crate::draw::{self, Stream};
use crate::experiment::Experiment;
use crate::model::clients::{self, ClientClass, ClientOutcome, ClientRequest};
use crate::model::origin::OriginConfig;
use crate::model::server::ServerConfig;
use crate::model::{micros, Micros, SECOND};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::num::NonZeroUsize;
use std::time::Duration;
use walkpick::{Class, Name, Settings};

/// A run continues this long after the last arrival, until all requests are answered.
pub const RUN_TAIL: Micros = 12 * SECOND;
/// A connection attempt fails after this time.
pub const CONNECT_TIMEOUT: Micros = 200_000;
/// Servers close connections that were idle for this long.
pub const KEEPALIVE_TIMEOUT: Micros = 15 * SECOND;
/// Interval at which discovery publishes new weights.
pub const WEIGHT_UPDATE_INTERVAL: Micros = 1_100_000;
/// Planned restarts (protocol page): new requests keep arriving for this long after SIGTERM.
pub const FRONT_DRAIN_DELAY: Micros = 300_000;
/// Planned restarts: the kill follows SIGTERM after the longest deadline, of which at most this much counts, plus a
/// margin of 0.7 s.
const MAX_DEADLINE_BEFORE_KILL: Micros = 3 * SECOND;
const KILL_MARGIN: Micros = 700_000;
const SLOTS_PER_CORE: f64 = 4.0;
const QUEUE_PER_CORE: f64 = 20.0;
const CONNECTIONS_PER_CORE: f64 = 750.0;
const HANDSHAKE_WORK_US: f64 = 1_400.0;
const FETCH_TIMEOUT: Micros = SECOND;
const SPEED: f64 = 0.97;
const SPEED_CV: f64 = 0.15;
const OVERLOAD_MULTIPLE: f64 = 3.0;
const OVERLOAD_WINDOW: Micros = 1_500_000;
const MAX_ATTEMPTS: u32 = 5;

/// The plan of a run.
#[derive(Debug)]
pub struct Plan {
    /// The experiment.
    pub experiment: Experiment,
    /// The seed of all draws.
    pub seed: u64,
    /// Classes of requests.
    pub classes: Vec<ClientClass>,
    /// Settings of the nodes, except their zone.
    pub settings: Settings,
    /// Names of the zones.
    pub zones: Vec<Name>,
    /// All requests, in order of arrival.
    pub requests: Vec<ClientRequest>,
    /// Number of objects.
    pub keys: u64,
    /// Parameters of the origin.
    pub origin: OriginConfig,
}

/// Share of the requests for the `first` most popular of `all` objects whose popularity follows a Zipf distribution.
fn popular_share(first: f64, all: f64, zipf: f64) -> f64 {
    let sum = |n: f64| (1..=n as u64).map(|rank| (rank as f64).powf(-zipf)).sum::<f64>();
    sum(first.min(all)) / sum(all).max(1e-9)
}

impl Plan {
    /// The plan of an experiment with a seed.
    pub fn new(experiment: &Experiment, seed: u64) -> Self {
        let deployment = &experiment.deployment;
        let classes = clients::client_classes();
        let zones: Vec<Name> =
            (0..deployment.zones).map(|zone| Name::from(format!("z{zone}").as_str())).collect();
        let shares = classes.iter().map(|class| class.share).sum::<f64>();
        let work_us = classes.iter().map(|class| class.share * class.work_us).sum::<f64>() / shares;
        let capacity = f64::from(deployment.servers) * deployment.cores * SPEED * SECOND as f64 / work_us;
        let cached = f64::from(deployment.servers) * f64::from(deployment.memory);
        let keys = (cached * experiment.load.keys_per_memory).max(1.0);
        let workload = clients::Workload {
            rate_per_s: capacity * experiment.load.share,
            swing: experiment.load.swing,
            zones: deployment.zones as usize,
            first_zone_share: experiment.load.first_zone,
            keys: keys as u64,
            zipf: experiment.load.zipf,
            drift: experiment.load.drift,
            try_timeout_shares: (0.5, 0.6),
            honors_retry_after_share: experiment.load.heeds,
        };
        let requests = clients::generate_requests(
            seed,
            micros(experiment.lead + experiment.length),
            &workload,
            &classes,
        );
        let writes =
            classes.iter().filter(|class| class.write).map(|class| class.share).sum::<f64>() / shares;
        let misses = (1.0 - writes) * (1.0 - popular_share(cached, keys, workload.zipf)) + writes;
        let origin_rate = workload.rate_per_s * misses * deployment.origin_headroom;
        let origin = OriginConfig {
            slots: (origin_rate * deployment.origin_time.as_secs_f64()).ceil().max(1.0) as usize,
            mean_service_us: micros(deployment.origin_time) as f64,
            overload_multiple: 3.0,
            overload_window_us: 3 * SECOND,
            down_us: 5 * SECOND,
        };
        let settings = Settings {
            nodes: deployment.nodes,
            classes: classes.iter().map(|class| class.config.clone()).collect(),
            nominal_weights: false,
            max_attempts: MAX_ATTEMPTS,
            hedging: true,
            cancelling: true,
            probing: deployment.probes,
            max_retry_after: Duration::from_secs(2),
            connect_timeout: Duration::from_micros(CONNECT_TIMEOUT),
            keepalive: Duration::from_micros(KEEPALIVE_TIMEOUT),
            cold_share: deployment.cold_share,
            warm_within: deployment.warm,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_window: Duration::from_micros(OVERLOAD_WINDOW),
            ..Settings::default()
        };
        Self {
            experiment: experiment.clone(),
            seed,
            classes,
            settings,
            zones,
            requests,
            keys: keys as u64,
            origin,
        }
    }

    /// When the run ends: [`RUN_TAIL`] after the last arrival.
    pub fn end(&self) -> Micros {
        self.length() + RUN_TAIL
    }

    /// Duration of the warm-up phase, in which caches fill and nodes find their servers. It does not count in figures.
    pub fn lead(&self) -> Micros {
        micros(self.experiment.lead)
    }

    /// Duration of the arrivals, including the lead.
    pub fn length(&self) -> Micros {
        self.lead() + micros(self.experiment.length)
    }

    /// Digest of the requests, the same in every arm and under both drivers.
    pub fn draws_digest(&self) -> String {
        let mut hasher = DefaultHasher::new();
        for request in &self.requests {
            (
                request.at,
                request.key,
                request.class,
                request.zone,
                request.work_us.to_bits(),
                request.try_timeout,
            )
                .hash(&mut hasher);
        }
        format!("{:016x}", hasher.finish())
    }

    /// Name and parameters of server `i`. Names reveal nothing about zone, kind or age.
    pub fn server_config(&self, i: usize) -> (String, ServerConfig) {
        let unit = |draw_id: u64| draw::unit(self.seed, Stream::Servers, (i as u64) << 8 | draw_id);
        let deployment = &self.experiment.deployment;
        // A uniform distribution has a width of 3.46 standard deviations.
        let variation = 1.0 + SPEED_CV * 3.46 * (unit(1) - 0.5);
        let config = ServerConfig {
            cores: deployment.cores,
            slots: (deployment.cores * SLOTS_PER_CORE).max(1.0) as usize,
            queue_capacity: (deployment.cores * QUEUE_PER_CORE) as usize,
            speed: SPEED * variation,
            thrash_at: 7.4,
            thrash: 0.05,
            cold_share: deployment.cold_share,
            warm_us: micros(deployment.warm),
            cache_objects: NonZeroUsize::new(deployment.memory as usize).unwrap_or(NonZeroUsize::MIN),
            coalesces_fetches: unit(2) < 0.5,
            fetch_timeout_us: FETCH_TIMEOUT,
            handshake_work_us: HANDSHAKE_WORK_US,
            max_connections: (deployment.cores * CONNECTIONS_PER_CORE) as usize,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_window_us: OVERLOAD_WINDOW,
        };
        (format!("s-{:08x}", (unit(3) * f64::from(u32::MAX)) as u32), config)
    }

    /// Seed of the random generator of an incarnation of a node.
    pub fn node_seed(&self, node: usize, incarnation: u32) -> u64 {
        self.seed ^ ((node as u64) << 32 | u64::from(incarnation)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    /// One-way network latency around `mean_us`, drawn for `draw_id` alone.
    pub fn latency(&self, mean_us: f64, draw_id: u64) -> Micros {
        (mean_us * (0.85 + 0.4 * draw::unit(self.seed, Stream::Network, draw_id))) as Micros
    }

    /// The class of a request.
    pub fn class(&self, request: usize) -> &Class {
        &self.classes[self.requests[request].class].config
    }

    /// Index of a node's zone.
    pub fn node_zone(&self, node: usize) -> usize {
        node % self.zones.len()
    }

    /// The node that the front load balancer picks for try number `number` of a request: one in the client's zone, if any
    /// is in use there.
    pub fn pick_node(&self, request: usize, number: u32, in_use: impl Fn(usize) -> bool) -> Option<usize> {
        let in_use: Vec<_> =
            (0..self.experiment.deployment.nodes as usize).filter(|&node| in_use(node)).collect();
        let zone = self.requests[request].zone;
        let near: Vec<_> = in_use.iter().copied().filter(|&node| self.node_zone(node) == zone).collect();
        let candidates = if near.is_empty() { in_use } else { near };
        let drawn = draw::unit(self.seed, Stream::Front, (request as u64) << 8 | u64::from(number));
        candidates.get((drawn * candidates.len() as f64) as usize).copied()
    }

    /// When a client retries a request, if it does. Its try number `number` has just ended with `outcome`, at time `now`.
    /// `retry_after`: how long the node asked it to wait.
    pub fn retry_at(
        &self,
        request: usize,
        number: u32,
        outcome: ClientOutcome,
        retry_after: Micros,
        now: Micros,
    ) -> Option<Micros> {
        let (planned, load, class) = (&self.requests[request], &self.experiment.load, self.class(request));
        if number >= load.retries
            || !clients::should_retry(class.effect, outcome, now.saturating_sub(planned.at))
        {
            return None;
        }
        let retry_after = if planned.honors_retry_after { retry_after } else { 0 };
        let retry_at = now + micros(load.backoff).max(retry_after).max(1);
        (retry_at < planned.at + micros(class.deadline)).then_some(retry_at)
    }

    /// Time from SIGTERM to the kill of a node.
    pub fn kill_delay(&self) -> Micros {
        let longest = self.classes.iter().map(|class| micros(class.config.deadline)).max().unwrap_or(0);
        longest.min(MAX_DEADLINE_BEFORE_KILL) + KILL_MARGIN
    }

    /// Whether a server answers an attempt with an error, where it does so for a `share` of them.
    pub fn errs(&self, draw_id: u64, share: f64) -> bool {
        draw::unit(self.seed, Stream::Errors, draw_id) < share
    }

    /// Whether a response breaks off, where a `share` of them does.
    pub fn truncates(&self, job: u64, share: f64) -> bool {
        draw::unit(self.seed, Stream::Errors, job ^ 1 << 53) < share
    }

    /// The servers or nodes, out of `count`, that a fault affects: the same in every arm.
    pub fn affected(&self, fault: usize, count: usize, share: f64) -> Vec<usize> {
        let mut drawn: Vec<_> = (0..count)
            .map(|i| (draw::unit(self.seed, Stream::Faults, (fault as u64) << 32 | i as u64).to_bits(), i))
            .collect();
        drawn.sort_unstable();
        let mut affected: Vec<_> =
            drawn.iter().take((share * count as f64).round() as usize).map(|(_, i)| *i).collect();
        affected.sort_unstable();
        affected
    }
}
