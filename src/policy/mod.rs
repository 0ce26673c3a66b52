//! All decisions of the balancer. The interface, its input and output types, is in `src/api.rs`.

mod admission;
mod breaker;
mod call_timing;
mod capacity;
mod deployment;
mod hash;
pub mod memory;
mod origin;
pub mod pacing;
mod placement;
pub mod repeats;
mod requests;
mod retries;
mod servers;
pub mod subscription;
mod zones;

use crate::api::*;
use admission::RATE_WINDOW_TARGETS;
use breaker::Breaker;
use capacity::ServerKind;
use deployment::SERVER_CONCURRENCY;
use hash::{key_of, mix, unit_interval};
use placement::KeyStats;
use requests::{Attempt, PendingRequest};
use retries::MAX_RETRY_BUDGET;
use servers::{RemovedServers, Server};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use zones::Zone;

/// Delay between a failed call to discovery and the next [`Action::Subscribe`].
pub const RESUBSCRIBE_DELAY: Duration = Duration::from_secs(1);

/// Decides for one node. It has no clock and does no I/O: equal events give equal actions.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    seed: u64,
    /// Number of requests so far: the counter behind the random draws and the age of keys.
    request_count: u64,
    /// Sorted by id. Draining servers stay until discovery removes them.
    servers: Vec<Server>,
    /// Requests without a final answer. Never iterated, since the order of a hash map differs between runs.
    pending: HashMap<RequestId, PendingRequest>,
    /// When to look at a pending request again: it has an overdue attempt or waits for a free server.
    timers: BTreeSet<(Timestamp, RequestId)>,
    /// Time of the [`Action::Wake`] that is outstanding.
    wake_at: Option<Timestamp>,
    /// When to subscribe to discovery; `None` while the subscription stands.
    subscribe_at: Option<Timestamp>,
    retry_budget: f64,
    initial_limit: f64,
    /// Moving average of the latency of answers, in seconds, by class.
    typical_latency_s: Vec<f64>,
    /// Moving average of the expected work over all attempts, in seconds. No estimate counts as 0.
    average_work_s: f64,
    /// Mean of the expected work over attempts with an estimate, in seconds, and its sample count.
    mean_estimate_s: f64,
    estimates: f64,
    kinds: Vec<ServerKind>,
    zones: Vec<Zone>,
    /// Breaker of the origin that servers fetch misses from, fed where servers report misses.
    origin_breaker: Breaker,
    /// Breaker for retrying an error of a read at another server: errors that repeat there come from the
    /// origin.
    error_retry_breaker: Breaker,
    /// Never iterated except to evict, since the order of a hash map differs between runs.
    keys: HashMap<u64, KeyStats>,
    /// Event counts for admission, with exponential decay over `rate_window`: answers that show no overload,
    /// answers and timeouts that do, and requests refused because of it.
    rate_window: Duration,
    good_events: f64,
    bad_events: f64,
    refusals: f64,
    /// When the counts were last decayed.
    counts_decayed_at: Timestamp,
    /// When a server list was last applied.
    list_applied_at: Timestamp,
    /// When discovery's last list was applied; `None` while there is only the restored one, which may be
    /// stale.
    discovery_list_at: Option<Timestamp>,
    /// Only looked up by id, never iterated.
    removed_servers: RemovedServers,
    /// When the token buckets of cold servers were last refilled.
    buckets_filled_at: Timestamp,
}

/// The initial in-flight limit of a server: the share of one out of `nodes` nodes in its concurrency.
fn initial_limit(nodes: u32) -> f64 {
    (SERVER_CONCURRENCY / f64::from(nodes.max(1))).max(1.0)
}

impl Balancer {
    /// Creates a balancer that knows no server yet. `seed` should differ between nodes.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        let initial_limit = initial_limit(settings.nodes);
        let shortest_target =
            settings.classes.iter().map(|class| class.latency_target).min().unwrap_or_default();
        let rate_window = (shortest_target * RATE_WINDOW_TARGETS).max(Duration::from_millis(1));
        // The last class, the most conservative one, is for requests without a class.
        settings.classes.push(Class::default());
        let typical_latency_s =
            settings.classes.iter().map(|class| class.latency_target.as_secs_f64()).collect();
        Self {
            settings,
            seed,
            request_count: 0,
            typical_latency_s,
            average_work_s: 0.0,
            mean_estimate_s: 0.0,
            estimates: 0.0,
            kinds: Vec::new(),
            zones: Vec::new(),
            origin_breaker: Breaker::new(Timestamp::default()),
            error_retry_breaker: Breaker::new(Timestamp::default()),
            keys: HashMap::new(),
            servers: Vec::new(),
            pending: HashMap::new(),
            timers: BTreeSet::new(),
            wake_at: None,
            subscribe_at: Some(Timestamp::default()),
            initial_limit,
            retry_budget: MAX_RETRY_BUDGET,
            rate_window,
            good_events: 0.0,
            bad_events: 0.0,
            refusals: 0.0,
            counts_decayed_at: Timestamp::default(),
            list_applied_at: Timestamp::default(),
            discovery_list_at: None,
            removed_servers: RemovedServers::new(),
            buckets_filled_at: Timestamp::default(),
        }
    }

    /// Processes an event that happened at `now` and appends the actions that the node must carry out.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let decay = (-now.since(self.counts_decayed_at).as_secs_f64() / self.rate_window.as_secs_f64()).exp();
        (self.good_events, self.bad_events, self.refusals) =
            (self.good_events * decay, self.bad_events * decay, self.refusals * decay);
        self.counts_decayed_at = now;
        self.refill_buckets(now);
        match event {
            Event::NodeCount(nodes) => {
                (self.settings.nodes, self.initial_limit) = (nodes, initial_limit(nodes));
            }
            Event::Restored(list) => self.apply_list(now, &list, true),
            Event::Servers(ServerList::Full(list)) => self.apply_discovery_list(now, &list, true),
            Event::Servers(ServerList::Changes(list)) => self.apply_discovery_list(now, &list, false),
            // Subscribes again after a delay, so as not to add load to a discovery that is failing.
            Event::Servers(ServerList::Unavailable) => self.subscribe_at = Some(now + RESUBSCRIBE_DELAY),
            Event::Request(request) => {
                self.request_count += 1;
                let random_draw = unit_interval(mix(self.seed ^ self.request_count));
                self.count_key_request(key_of(&request));
                let pending = PendingRequest {
                    request,
                    attempts: Vec::new(),
                    random_draw,
                    arrived_at: now,
                    done: false,
                };
                self.dispatch(now, pending, actions);
            }
            Event::Outcome(outcome) => self.on_outcome(now, &outcome, actions),
            Event::Abandoned(id) => {
                self.pending.get_mut(&id).into_iter().for_each(|pending| pending.done = true)
            }
            Event::Timer => self.wake_at = None,
            Event::FirstByte { .. } | Event::Probed { .. } => {}
        }
        if self.settings.must_subscribe && self.subscribe_at.is_some_and(|at| now >= at) {
            self.subscribe_at = None;
            actions.push(Action::Subscribe);
        }
        while self.timers.first().is_some_and(|(at, _)| *at <= now) {
            if let Some(mut pending) = self.timers.pop_first().and_then(|(_, id)| self.pending.remove(&id)) {
                self.count_overdue_attempts(now, &mut pending, actions);
                self.dispatch(now, pending, actions);
            }
        }
        let timer = self.timers.first().map(|(at, _)| *at);
        let subscription = self.subscribe_at.filter(|_| self.settings.must_subscribe);
        let next = timer.into_iter().chain(subscription).min();
        if let Some(at) = next.filter(|at| self.wake_at.is_none_or(|wake_at| *at < wake_at)) {
            self.wake_at = Some(at);
            actions.push(Action::Wake { after: at.since(now) });
        }
    }
}
