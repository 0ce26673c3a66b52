//! Decision modules that an arm may run: the program's own, baselines, and broken ones for the judges to catch.

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

/// A decision module, as a node hosts it.
pub trait Decisions {
    /// Is shown the true state before each event that concerns this object. None but [`Policy::Top`] looks.
    fn see(&mut self, _now: Micros, _fleet: &Fleet, _key: u64) {}

    /// Takes in what happened and appends what the node must do.
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>);
}

impl Decisions for Balancer {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// The module of an arm.
pub fn build(policy: Policy, settings: Settings, seed: u64) -> Box<dyn Decisions> {
    let simple = |how| Box::new(Simple::new(how, settings.clone(), seed));
    match policy {
        Policy::Walkpick => Box::new(Balancer::new(settings, seed)),
        Policy::Random => simple(How::Random),
        Policy::Top => Box::new(Top { settings, expects: HashMap::new(), open: HashMap::new() }),
        Policy::Hash => simple(How::Hash),
        Policy::BlocksNothing => simple(How::Blind),
        Policy::IgnoresDrains => Box::new(NeverDrains(Balancer::new(settings, seed))),
        Policy::ResendsCharge => {
            let careless = |class: &Class| Class { effect: Effect::Safe, ..class.clone() };
            let classes = settings.classes.iter().map(careless).collect();
            Box::new(Balancer::new(Settings { classes, ..settings }, seed))
        }
    }
}

/// Servers hold what they were asked for lately: each object where a module of this arm sends it, the most popular ones
/// last.
pub fn fill(plan: &Plan, policy: Policy, fleet: &mut Fleet) {
    // The top sends nothing before it is shown the servers: it finds them as plain hashing would leave them.
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
        let sent = actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(server.clone()),
            _ => None,
        });
        let Some(server) = sent else { continue };
        if let Some(place) = fleet.place(&server) {
            fleet.machines[place].server.keep(key);
        }
        let (took, load) = (Duration::from_millis(1), LoadReport::default());
        let (status, note) = (Status::Ok, Some(CacheStatus::Hit));
        let outcome =
            Outcome { id, attempt: 0, server, status, cache_status: note, took, finished: true, load };
        module.handle(Timestamp::from_micros(now), Event::Outcome(outcome), &mut actions);
    }
}

/// What a bound on all policies would know: who answers, how long each would take, and what each holds. It takes the
/// server that would answer first, asks another after an error where the class allows it, and refuses what none would
/// answer in time. It still knows nothing of the future, nor of what other nodes send at the same moment.
struct Top {
    settings: Settings,
    /// Of each server that answers: see [`crate::model::server::Server::expects`].
    expects: HashMap<ServerId, Expects>,
    open: HashMap<RequestId, (Request, u32)>,
}

/// A server as the top sees it.
struct Expects {
    /// Time of a job of a second's work, in seconds.
    for_work: f64,
    /// Whether it holds the object that the present event is about.
    holds: bool,
    cold: bool,
}

impl Top {
    fn send(&mut self, now: Timestamp, request: Request, attempt: u32, actions: &mut Vec<Action>) {
        /// What a fetch from the origin takes about, in seconds.
        const FETCH: f64 = 0.2;
        let work = request.expected_work.unwrap_or_default().as_secs_f64().max(0.001);
        let takes = |sight: &Expects| {
            let fetch = if sight.holds { 0.0 } else { FETCH };
            sight.for_work * work + fetch
        };
        // One that is cold is spared, as no module may push it over.
        let warm = self.expects.iter().filter(|(_, sight)| !sight.cold);
        let first =
            warm.map(|(id, sight)| (takes(sight), id)).min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let id = request.id.clone();
        let left = request.valid_until.since(now).as_secs_f64();
        match first.filter(|(takes, _)| *takes < left) {
            Some((_, server)) => {
                let (server, timeout) = (server.clone(), request.valid_until.since(now));
                actions.push(Action::Send { id: id.clone(), server, timeout, start_within: None });
                self.open.insert(id, (request, attempt));
            }
            None if attempt == 0 => {
                actions.push(Action::Refuse { id, retry_after: Duration::ZERO, reason: EndReason::NoServer })
            }
            None => actions.push(Action::Fail { id, reason: EndReason::NoServer }),
        }
    }
}

impl Decisions for Top {
    fn see(&mut self, now: Micros, fleet: &Fleet, key: u64) {
        let answers = |machine: &&Machine| !machine.mute() && machine.availability == Availability::Ready;
        let sights = fleet.machines.iter().filter(answers).map(|machine| {
            let sight = Expects {
                for_work: machine.server.expects(now),
                holds: machine.server.holds(key),
                cold: machine.server.warmth(now) < 1.0,
            };
            (machine.id.clone(), sight)
        });
        self.expects = sights.collect();
    }

    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.send(now, request, 0, actions),
            Event::Outcome(outcome) => {
                let Some((request, attempt)) = self.open.remove(&outcome.id) else { return };
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
            Event::Abandoned(id) => drop(self.open.remove(&id)),
            _ => {}
        }
    }
}

/// Shows its module every server as ready.
struct NeverDrains(Balancer);

impl Decisions for NeverDrains {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let ready = |list: &[ServerEntry]| {
            let entries = list.iter().map(|e| ServerEntry { availability: Availability::Ready, ..e.clone() });
            entries.collect::<Vec<_>>().into()
        };
        let event = match event {
            Event::Restored(list) => Event::Restored(ready(&list)),
            Event::Servers(ServerList::Full(list) | ServerList::Changes(list)) => {
                Event::Servers(ServerList::Changes(ready(&list)))
            }
            other => other,
        };
        self.0.handle(now, event, actions);
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum How {
    Random,
    Hash,
    /// To any server that was ever named, whatever the class.
    Blind,
}

/// The paper's defaults.
const TRIP_RATE: f64 = 0.6;
const MIN_CALLS: u32 = 3;
const WINDOW: Duration = Duration::from_secs(5);
const COOLDOWN: Duration = Duration::from_secs(6);
const TRIALS: u32 = 3;

#[derive(Clone, Copy)]
enum State {
    Closed { window: Timestamp, calls: u32, failures: u32 },
    Open(Timestamp),
    Half { sent: u32, passed: u32 },
}

impl State {
    fn closed(now: Timestamp) -> Self {
        Self::Closed { window: now + WINDOW, calls: 0, failures: 0 }
    }

    fn admits(self, now: Timestamp) -> bool {
        match self {
            Self::Closed { .. } => true,
            Self::Open(until) => now >= until,
            Self::Half { sent, .. } => sent < TRIALS,
        }
    }

    fn sent(self) -> Self {
        match self {
            Self::Open(_) => Self::Half { sent: 1, passed: 0 },
            Self::Half { sent, passed } => Self::Half { sent: sent + 1, passed },
            closed => closed,
        }
    }

    fn judged(self, ok: bool, now: Timestamp) -> Self {
        match self {
            Self::Half { .. } if !ok => Self::Open(now + COOLDOWN),
            Self::Half { passed, .. } if passed + 1 >= TRIALS => Self::closed(now),
            Self::Half { sent, passed } => Self::Half { sent, passed: passed + 1 },
            Self::Open(until) => Self::Open(until),
            Self::Closed { window, calls, failures } => {
                let turned = now >= window;
                let (calls, failures) = if turned { (0, 0) } else { (calls, failures) };
                let (calls, failures) = (calls + 1, failures + u32::from(!ok));
                if calls >= MIN_CALLS && f64::from(failures) >= TRIP_RATE * f64::from(calls) {
                    return Self::Open(now + COOLDOWN);
                }
                Self::Closed { window: if turned { now + WINDOW } else { window }, calls, failures }
            }
        }
    }
}

/// A baseline: picks by chance or by hash, tries again elsewhere while the class allows it.
struct Simple {
    how: How,
    settings: Settings,
    random: SplitMix64,
    servers: BTreeMap<ServerId, (ServerEntry, State)>,
    open: HashMap<RequestId, (Request, u32)>,
}

impl Simple {
    fn new(how: How, settings: Settings, seed: u64) -> Self {
        let random = SplitMix64::seed_from_u64(seed);
        Self { how, settings, random, servers: BTreeMap::new(), open: HashMap::new() }
    }

    fn learn(&mut self, list: &[ServerEntry], full: bool, now: Timestamp) {
        if full && self.how != How::Blind {
            self.servers.retain(|id, _| list.iter().any(|entry| entry.id == *id));
        }
        for entry in list {
            if entry.availability == Availability::Removed && self.how != How::Blind {
                self.servers.remove(&entry.id);
                continue;
            }
            let known = self.servers.entry(entry.id.clone());
            known.or_insert_with(|| (entry.clone(), State::closed(now))).0 = entry.clone();
        }
    }

    fn pick(&mut self, now: Timestamp, key: u64, attempt: u32) -> Option<ServerId> {
        let usable =
            |entry: &ServerEntry| self.how == How::Blind || entry.availability == Availability::Ready;
        let ready: Vec<_> = self.servers.values().filter(|(entry, _)| usable(entry)).collect();
        if ready.is_empty() {
            return None;
        }
        let place = |round: u64| {
            let mut hash = SplitMix64::seed_from_u64(key ^ round << 48);
            hash.random_range(0..ready.len())
        };
        let at = match self.how {
            How::Random => self.random.random_range(0..ready.len()),
            How::Blind => place(attempt.into()),
            How::Hash => {
                let rounds = (u64::from(attempt)..64).map(place);
                rounds.clone().find(|&i| ready[i].1.admits(now)).unwrap_or_else(|| place(0))
            }
        };
        Some(ready[at].0.id.clone())
    }

    fn send(&mut self, now: Timestamp, request: Request, attempt: u32, actions: &mut Vec<Action>) {
        let id = request.id.clone();
        let Some(server) = self.pick(now, request.key.unwrap_or(0), attempt) else {
            return actions.push(Action::Fail { id, reason: EndReason::NoServer });
        };
        if let Some((_, state)) = self.servers.get_mut(&server) {
            *state = state.sent();
        }
        let timeout = request.valid_until.since(now);
        actions.push(Action::Send { id: id.clone(), server, timeout, start_within: None });
        self.open.insert(id, (request, attempt));
    }

    fn outcome(&mut self, now: Timestamp, outcome: &Outcome, actions: &mut Vec<Action>) {
        let ok = matches!(outcome.status, Status::Ok | Status::Miss);
        if let Some((_, state)) = self.servers.get_mut(&outcome.server) {
            *state = state.judged(ok, now);
        }
        let Some((request, attempt)) = self.open.remove(&outcome.id) else { return };
        if ok || outcome.finished {
            return;
        }
        let class = request.class.and_then(|class| self.settings.classes.get(class.0));
        let safe = class.is_some_and(|class| class.effect == Effect::Safe);
        let again = outcome.status.never_ran() || safe || self.how == How::Blind;
        if again && attempt + 1 < self.settings.max_attempts.min(3) && now < request.valid_until {
            return self.send(now, request, attempt + 1, actions);
        }
        actions.push(Action::Fail { id: outcome.id.clone(), reason: EndReason::NoServer });
    }
}

impl Decisions for Simple {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Restored(list) | Event::Servers(ServerList::Full(list)) => self.learn(&list, true, now),
            Event::Servers(ServerList::Changes(list)) => self.learn(&list, false, now),
            Event::Request(request) => self.send(now, request, 0, actions),
            Event::Outcome(outcome) => self.outcome(now, &outcome, actions),
            Event::Abandoned(id) => drop(self.open.remove(&id)),
            _ => {}
        }
    }
}
