//! Decision modules for the arms of an experiment: the program's own, baselines, and faulty ones that the judges must
//! catch.

use crate::draw::{self, Stream};
use crate::experiment::Policy;
use crate::model::fleet::{Fleet, Machine};
use crate::model::{Micros, SECOND};
use crate::plan::Plan;
use rand::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use walkpick::{
    Action, Availability, Balancer, CacheStatus, Class, ClassId, Effect, EndReason, Event, LoadReport,
    Outcome, Request, RequestId, ServerEntry, ServerId, ServerList, Settings, Status, Timestamp,
};

/// A decision module, as hosted by a node.
pub trait DecisionModule {
    /// Shows the module the true state before each event that concerns the object `key`. Only [`Policy::Top`] uses it.
    fn observe(&mut self, _now: Micros, _fleet: &Fleet, _key: u64) {}

    /// Handles an event and appends the actions that the node must take.
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>);
}

impl DecisionModule for Balancer {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// Builds the decision module of a policy.
pub fn build(policy: Policy, settings: Settings, seed: u64) -> Box<dyn DecisionModule> {
    let baseline = |pick_by| Box::new(Baseline::new(pick_by, settings.clone(), seed));
    match policy {
        Policy::Walkpick => Box::new(Balancer::new(settings, seed)),
        Policy::Random => baseline(PickBy::Random),
        Policy::Top => Box::new(Top { settings, servers: HashMap::new(), in_flight: HashMap::new() }),
        Policy::Hash => baseline(PickBy::Hash),
        Policy::BlocksNothing => baseline(PickBy::Unfiltered),
        Policy::IgnoresDrains => Box::new(NeverDrains(Balancer::new(settings, seed))),
        Policy::ResendsCharge => {
            let as_safe = |class: &Class| Class { effect: Effect::Safe, ..class.clone() };
            let classes = settings.classes.iter().map(as_safe).collect();
            Box::new(Balancer::new(Settings { classes, ..settings }, seed))
        }
    }
}

/// Fills the servers' caches as if every object had been requested through this policy before, the most popular ones
/// last.
pub fn warm_caches(plan: &Plan, policy: Policy, fleet: &mut Fleet) {
    // `Top` sends nothing before it has observed the servers, so it starts with the caches of plain hashing.
    let policy = if policy == Policy::Top { Policy::Hash } else { policy };
    let mut module = build(policy, plan.settings.clone(), plan.seed);
    let (mut now, mut actions) = (0, Vec::new());
    let list = fleet.entries().into();
    module.handle(Timestamp::from_micros(now), Event::Restored(list), &mut actions);
    for rank in (1..=plan.keys).rev() {
        let key = draw::unit(0, Stream::Requests, rank % plan.keys).to_bits();
        let id = RequestId::from(rank.to_string().as_str());
        let valid_until = Timestamp::from_micros(now + SECOND);
        let request =
            Request { class: Some(ClassId(0)), key: Some(key), ..Request::new(id.as_str(), valid_until) };
        actions.clear();
        module.handle(Timestamp::from_micros(now), Event::Request(request), &mut actions);
        now += 1_000;
        let sent_to = actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(server.clone()),
            _ => None,
        });
        let Some(server) = sent_to else { continue };
        if let Some(index) = fleet.index_of(&server) {
            fleet.machines[index].server.cache(key);
        }
        let (took, load) = (Duration::from_millis(1), LoadReport::default());
        let (status, cache_status) = (Status::Ok, Some(CacheStatus::Hit));
        let outcome = Outcome { id, attempt: 0, server, status, cache_status, took, finished: true, load };
        module.handle(Timestamp::from_micros(now), Event::Outcome(outcome), &mut actions);
    }
}

/// An upper bound for all policies. It knows which servers respond, how long each would take and what each has cached.
/// It picks the server that would answer first, retries elsewhere after an error where the class allows it, and refuses
/// requests that no server would answer in time. It does not know the future, nor what other nodes send at the same
/// moment.
struct Top {
    settings: Settings,
    /// The servers that respond.
    servers: HashMap<ServerId, ObservedServer>,
    /// Requests in flight, with the number of their attempt.
    in_flight: HashMap<RequestId, (Request, u32)>,
}

/// The true state of a server.
struct ObservedServer {
    /// See [`crate::model::server::Server::expected_stretch`].
    stretch: f64,
    /// Whether it has cached the object of the current event.
    has_cached: bool,
    cold: bool,
}

impl Top {
    fn send(&mut self, now: Timestamp, request: Request, attempt: u32, actions: &mut Vec<Action>) {
        /// Typical time of a fetch from the origin.
        const FETCH_S: f64 = 0.2;
        let work_s = request.expected_work.unwrap_or_default().as_secs_f64().max(0.001);
        let expected_s = |server: &ObservedServer| {
            let fetch_s = if server.has_cached { 0.0 } else { FETCH_S };
            server.stretch * work_s + fetch_s
        };
        // Cold servers are avoided, because no module may overload them.
        let warm = self.servers.iter().filter(|(_, server)| !server.cold);
        let first = warm
            .map(|(id, server)| (expected_s(server), id))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let id = request.id.clone();
        let left_s = request.valid_until.since(now).as_secs_f64();
        match first.filter(|(expected_s, _)| *expected_s < left_s) {
            Some((_, server)) => {
                let (server, timeout) = (server.clone(), request.valid_until.since(now));
                actions.push(Action::Send { id: id.clone(), server, timeout, start_within: None });
                self.in_flight.insert(id, (request, attempt));
            }
            None if attempt == 0 => {
                actions.push(Action::Refuse { id, retry_after: Duration::ZERO, reason: EndReason::NoServer })
            }
            None => actions.push(Action::Fail { id, reason: EndReason::NoServer }),
        }
    }
}

impl DecisionModule for Top {
    fn observe(&mut self, now: Micros, fleet: &Fleet, key: u64) {
        let responds =
            |machine: &&Machine| !machine.unresponsive() && machine.availability == Availability::Ready;
        let servers = fleet.machines.iter().filter(responds).map(|machine| {
            let observed = ObservedServer {
                stretch: machine.server.expected_stretch(now),
                has_cached: machine.server.has_cached(key),
                cold: machine.server.capacity_share(now) < 1.0,
            };
            (machine.id.clone(), observed)
        });
        self.servers = servers.collect();
    }

    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.send(now, request, 0, actions),
            Event::Outcome(outcome) => {
                let Some((request, attempt)) = self.in_flight.remove(&outcome.id) else { return };
                if outcome.finished {
                    return;
                }
                let class = request.class.and_then(|class| self.settings.classes.get(class.0));
                let safe = class.is_some_and(|class| class.effect == Effect::Safe);
                if (outcome.status.never_ran() || safe) && attempt + 1 < self.settings.max_attempts {
                    self.send(now, request, attempt + 1, actions);
                } else {
                    actions.push(Action::Fail { id: outcome.id, reason: EndReason::NoServer });
                }
            }
            Event::Abandoned(id) => drop(self.in_flight.remove(&id)),
            _ => {}
        }
    }
}

/// Reports every server as ready to its module.
struct NeverDrains(Balancer);

impl DecisionModule for NeverDrains {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let as_ready = |list: &[ServerEntry]| {
            let entries = list.iter().map(|e| ServerEntry { availability: Availability::Ready, ..e.clone() });
            entries.collect::<Vec<_>>().into()
        };
        let event = match event {
            Event::Restored(list) => Event::Restored(as_ready(&list)),
            Event::Servers(ServerList::Full(list) | ServerList::Changes(list)) => {
                Event::Servers(ServerList::Changes(as_ready(&list)))
            }
            other => other,
        };
        self.0.handle(now, event, actions);
    }
}

/// How a baseline picks a server.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PickBy {
    /// At random among the ready servers.
    Random,
    /// By the hash of the key among the ready servers whose breaker admits requests.
    Hash,
    /// By the hash of the key among all servers that were ever listed. Resends requests of every class.
    Unfiltered,
}

/// Defaults of the paper for its breakers.
const FAILURE_RATE_THRESHOLD: f64 = 0.6;
const MIN_CALLS: u32 = 3;
const WINDOW: Duration = Duration::from_secs(5);
const OPEN_DURATION: Duration = Duration::from_secs(6);
const HALF_OPEN_TRIALS: u32 = 3;

/// State of a breaker.
#[derive(Clone, Copy)]
enum Breaker {
    Closed { window_end: Timestamp, calls: u32, failures: u32 },
    Open(Timestamp),
    HalfOpen { sent: u32, succeeded: u32 },
}

impl Breaker {
    fn closed(now: Timestamp) -> Self {
        Self::Closed { window_end: now + WINDOW, calls: 0, failures: 0 }
    }

    fn admits(self, now: Timestamp) -> bool {
        match self {
            Self::Closed { .. } => true,
            Self::Open(until) => now >= until,
            Self::HalfOpen { sent, .. } => sent < HALF_OPEN_TRIALS,
        }
    }

    /// The state after a request was sent.
    fn after_send(self) -> Self {
        match self {
            Self::Open(_) => Self::HalfOpen { sent: 1, succeeded: 0 },
            Self::HalfOpen { sent, succeeded } => Self::HalfOpen { sent: sent + 1, succeeded },
            closed => closed,
        }
    }

    /// The state after the outcome of a request.
    fn after_outcome(self, ok: bool, now: Timestamp) -> Self {
        match self {
            Self::HalfOpen { .. } if !ok => Self::Open(now + OPEN_DURATION),
            Self::HalfOpen { succeeded, .. } if succeeded + 1 >= HALF_OPEN_TRIALS => Self::closed(now),
            Self::HalfOpen { sent, succeeded } => Self::HalfOpen { sent, succeeded: succeeded + 1 },
            Self::Open(until) => Self::Open(until),
            Self::Closed { window_end, calls, failures } => {
                let expired = now >= window_end;
                let (calls, failures) = if expired { (0, 0) } else { (calls, failures) };
                let (calls, failures) = (calls + 1, failures + u32::from(!ok));
                if calls >= MIN_CALLS && f64::from(failures) >= FAILURE_RATE_THRESHOLD * f64::from(calls) {
                    return Self::Open(now + OPEN_DURATION);
                }
                Self::Closed { window_end: if expired { now + WINDOW } else { window_end }, calls, failures }
            }
        }
    }
}

/// A baseline: picks a server at random or by hash, and retries elsewhere where the class allows it.
struct Baseline {
    pick_by: PickBy,
    settings: Settings,
    random: SplitMix64,
    servers: BTreeMap<ServerId, (ServerEntry, Breaker)>,
    /// Requests in flight, with the number of their attempt.
    in_flight: HashMap<RequestId, (Request, u32)>,
}

impl Baseline {
    fn new(pick_by: PickBy, settings: Settings, seed: u64) -> Self {
        let random = SplitMix64::seed_from_u64(seed);
        Self { pick_by, settings, random, servers: BTreeMap::new(), in_flight: HashMap::new() }
    }

    fn apply_list(&mut self, list: &[ServerEntry], full: bool, now: Timestamp) {
        if full && self.pick_by != PickBy::Unfiltered {
            self.servers.retain(|id, _| list.iter().any(|entry| entry.id == *id));
        }
        for entry in list {
            if entry.availability == Availability::Removed && self.pick_by != PickBy::Unfiltered {
                self.servers.remove(&entry.id);
                continue;
            }
            let known = self.servers.entry(entry.id.clone());
            known.or_insert_with(|| (entry.clone(), Breaker::closed(now))).0 = entry.clone();
        }
    }

    fn pick(&mut self, now: Timestamp, key: u64, attempt: u32) -> Option<ServerId> {
        let usable = |entry: &ServerEntry| {
            self.pick_by == PickBy::Unfiltered || entry.availability == Availability::Ready
        };
        let candidates: Vec<_> = self.servers.values().filter(|(entry, _)| usable(entry)).collect();
        if candidates.is_empty() {
            return None;
        }
        let index_by_hash = |round: u64| {
            let mut hash = SplitMix64::seed_from_u64(key ^ round << 48);
            hash.random_range(0..candidates.len())
        };
        let index = match self.pick_by {
            PickBy::Random => self.random.random_range(0..candidates.len()),
            PickBy::Unfiltered => index_by_hash(attempt.into()),
            PickBy::Hash => {
                let rounds = (u64::from(attempt)..64).map(index_by_hash);
                rounds.clone().find(|&i| candidates[i].1.admits(now)).unwrap_or_else(|| index_by_hash(0))
            }
        };
        Some(candidates[index].0.id.clone())
    }

    fn send(&mut self, now: Timestamp, request: Request, attempt: u32, actions: &mut Vec<Action>) {
        let id = request.id.clone();
        let Some(server) = self.pick(now, request.key.unwrap_or(0), attempt) else {
            return actions.push(Action::Fail { id, reason: EndReason::NoServer });
        };
        if let Some((_, breaker)) = self.servers.get_mut(&server) {
            *breaker = breaker.after_send();
        }
        let timeout = request.valid_until.since(now);
        actions.push(Action::Send { id: id.clone(), server, timeout, start_within: None });
        self.in_flight.insert(id, (request, attempt));
    }

    fn outcome(&mut self, now: Timestamp, outcome: &Outcome, actions: &mut Vec<Action>) {
        let ok = matches!(outcome.status, Status::Ok | Status::Miss);
        if let Some((_, breaker)) = self.servers.get_mut(&outcome.server) {
            *breaker = breaker.after_outcome(ok, now);
        }
        let Some((request, attempt)) = self.in_flight.remove(&outcome.id) else { return };
        if ok || outcome.finished {
            return;
        }
        let class = request.class.and_then(|class| self.settings.classes.get(class.0));
        let safe = class.is_some_and(|class| class.effect == Effect::Safe);
        let may_retry = outcome.status.never_ran() || safe || self.pick_by == PickBy::Unfiltered;
        if may_retry && attempt + 1 < self.settings.max_attempts.min(3) && now < request.valid_until {
            return self.send(now, request, attempt + 1, actions);
        }
        actions.push(Action::Fail { id: outcome.id.clone(), reason: EndReason::NoServer });
    }
}

impl DecisionModule for Baseline {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Restored(list) | Event::Servers(ServerList::Full(list)) => {
                self.apply_list(&list, true, now)
            }
            Event::Servers(ServerList::Changes(list)) => self.apply_list(&list, false, now),
            Event::Request(request) => self.send(now, request, 0, actions),
            Event::Outcome(outcome) => self.outcome(now, &outcome, actions),
            Event::Abandoned(id) => drop(self.in_flight.remove(&id)),
            _ => {}
        }
    }
}
