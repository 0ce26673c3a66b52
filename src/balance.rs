//! Every decision the router makes. Its interface, the types in and out, is `src/api.rs`.

use crate::api::*;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

const TRIP_RATE: f64 = 0.6;
const MIN_CALLS: u32 = 3;
const WINDOW: Duration = Duration::from_secs(5);
const COOLDOWN: Duration = Duration::from_secs(6);
const TRIALS: u32 = 3;
/// No breaker trips while the other servers fail at this rate: the cause is not that one server's.
const COMMON_RATE: f64 = TRIP_RATE / 2.0;
/// Outcomes of a zone over which its failure rate is averaged.
const ZONE_SPAN: f64 = 8.0;
/// Share of a cold server's stated multiple that is used: half a span's sends may be in hand when one begins.
const COLD_PART: f64 = 0.7;
/// Idle connections that all nodes together may keep to a server: well under the table of the smallest one.
const KEPT_OPEN: f64 = 1000.0;
/// Retry budget: each request pays in this much, and no more than so many are saved up.
const RETRY_SHARE: f64 = 0.2;
const RETRY_SAVED: f64 = 10.0;
/// What the retry of an error costs of that budget at least, however soon the error came.
const RETRY_LEAST: f64 = 0.1;
/// An answer is late past this share of its aim, from a server at least this busy.
const AIM_SHARE: f64 = 0.7;
const BUSY: f64 = 0.8;
/// Up to so many nodes, each meets a server often enough for the queue that it reports to be worth heeding.
const FEW_NODES: u32 = 100;
/// In-flight limit: its start for all nodes together, its least, its steps for answers in time and late, and
/// for those late with no queue.
const LIMIT_START: f64 = 16.0;
const LIMIT_LEAST: f64 = 0.05;
const LIMIT_UP: f64 = 0.1;
const LIMIT_DOWN: f64 = 1.0;
const LIMIT_EASE: f64 = 0.3;
/// Time over which a limit that was cut goes back to its start.
const LIMIT_SPAN: Duration = WINDOW;
/// Answers over which the pace of a kind of server is averaged, and how many at par it starts with.
const PACE_SPAN: f64 = 200.0;
const PACE_PRIOR: f64 = 10.0;
/// Requests over which a key's share of them is averaged, and how many servers serve it for each server's
/// mean share that it makes.
const POPULAR_SPAN: f64 = 1024.0;
const COPIES: f64 = 2.0;
/// Servers of a key's order that may take it; for want of room at the first, up to this share of their bound.
const SPREAD: usize = 3;
const SPILL: f64 = 0.5;
/// A request that is held for want of room tries again at such steps of its aim.
const HOLD_STEP: f64 = 0.1;
/// A refused client is told to come back after such a part of its aim.
const AWAY_STEP: f64 = 0.02;
const FOLLOW_AGAIN: Duration = Duration::from_secs(1);
/// Keys whose last answer is remembered.
const KEYS_KNOWN: usize = 4096;
/// Requests for each one in time that a node admits while most of what it sends fails.
const ADMIT: f64 = 1.3;
/// Answers in time that are taken for granted: one of many nodes sees no more than some ten within the span.
const ADMIT_PRIOR: f64 = 1.0;
/// What a refusal for want of admission counts: less than a failure, so that admission grows fast again.
const REFUSED: f64 = 0.25;
/// For so many times that span an origin that fails is left alone: it works its queue down in no more.
const REST_SPANS: u32 = 3;
/// Aims of the quickest class over which it is counted what is in time: a jam comes and goes within a few.
const RATE_AIMS: u32 = 4;
/// Time over which weights that change with load are averaged, the most of it that a single list stands for,
/// and what a weight counts at least, as a part of the largest.
const WEIGHT_SPAN: Duration = Duration::from_secs(4);
const WEIGHT_STEP: Duration = Duration::from_secs(1);
const WEIGHT_LEAST: f64 = 0.01;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Closed,
    Open { until: Timestamp },
    HalfOpen { admitted: u32, passed: u32 },
}

#[derive(Debug)]
struct Breaker {
    state: State,
    /// Counts state changes: outcomes of attempts sent in an earlier state say nothing of the present one.
    epoch: u32,
    window_ends: Timestamp,
    calls: u32,
    failures: u32,
    /// Calls and failures of the window before, where it was one of many failures.
    before: (u32, u32),
}

impl Breaker {
    fn new(now: Timestamp) -> Self {
        let (window_ends, before) = (now + WINDOW, (0, 0));
        Self { state: State::Closed, epoch: 0, window_ends, calls: 0, failures: 0, before }
    }

    fn enter(&mut self, state: State, now: Timestamp) {
        let epoch = self.epoch + 1;
        *self = Self { state, epoch, ..Self::new(now) };
    }

    fn admits(&self, now: Timestamp) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } => now >= until,
            State::HalfOpen { admitted, .. } => admitted < TRIALS,
        }
    }

    fn on_send(&mut self, now: Timestamp) {
        match &mut self.state {
            State::Open { until } if now >= *until => {
                self.enter(State::HalfOpen { admitted: 1, passed: 0 }, now);
            }
            State::HalfOpen { admitted, .. } => *admitted += 1,
            _ => {}
        }
    }

    /// Begins a new window where the present one is over.
    fn turn(&mut self, now: Timestamp) {
        if now >= self.window_ends {
            // A server that failed much and stayed closed fails on: judged by the first few calls of each
            // new window alone, it would trip by chance at a rate that is under the threshold.
            let partly = f64::from(self.failures) >= COMMON_RATE * f64::from(self.calls);
            let recent = partly && now < self.window_ends + WINDOW;
            self.before = if recent { (self.calls, self.failures) } else { (0, 0) };
            (self.window_ends, self.calls, self.failures) = (now + WINDOW, 0, 0);
        }
    }

    /// Whether calls fail at the rate that trips. Those that are lacking to tell are taken to fare as
    /// `others` do, where that is known: one of many nodes rarely meets a server often within a window.
    fn failing(&self, others: Option<f64>) -> bool {
        let (calls, failures) = (self.calls + self.before.0, self.failures + self.before.1);
        let lacking = match others {
            None if self.calls < MIN_CALLS => return false,
            None => 0,
            Some(_) => MIN_CALLS.saturating_sub(calls),
        };
        let failures = f64::from(failures) + f64::from(lacking) * others.unwrap_or(0.0);
        failures >= TRIP_RATE * f64::from(calls + lacking)
    }

    /// `ok` is `None` where it tells nothing: a trial gives its place back. Returns whether it should trip.
    fn on_outcome(&mut self, epoch: u32, ok: Option<bool>, others: Option<f64>, now: Timestamp) -> bool {
        if epoch != self.epoch {
            return false;
        }
        match (&mut self.state, ok) {
            (State::HalfOpen { admitted, .. }, None) => *admitted -= 1,
            (State::HalfOpen { .. }, Some(false)) => return true,
            (State::HalfOpen { passed, .. }, Some(true)) => {
                *passed += 1;
                if *passed >= TRIALS {
                    self.enter(State::Closed, now);
                }
            }
            (State::Closed, Some(ok)) => {
                self.turn(now);
                self.calls += 1;
                self.failures += u32::from(!ok);
                return self.failing(others);
            }
            _ => {}
        }
        false
    }
}

#[derive(Debug)]
struct Server {
    entry: ServerEntry,
    /// What its weight is cut by, the requests that it holds: the inverse of the weight, over `WEIGHT_SPAN`.
    load: f64,
    kind: usize,
    zone: usize,
    hash: u64,
    breaker: Breaker,
    /// The sends that it may get from here while it is cold.
    room: f64,
    in_flight: u32,
    limit: f64,
    /// When an answer last changed it.
    limited: Timestamp,
    /// Its last report told of room: what takes long there is the work itself.
    calm: bool,
    /// When it was last sent to, and how long after the send before.
    sent: Timestamp,
    gap: Duration,
}

/// What answers of a kind of server take against their forecast work: a logarithm, so that no few decide.
#[derive(Debug)]
struct Kind {
    name: Option<Name>,
    pace: f64,
    answers: f64,
}

impl Server {
    /// Its in-flight limit now. What late answers told of its load grows old: a node that meets it seldom
    /// would wait long for as many answers in time as undo one late one, while the server has room again.
    fn limit(&self, start: f64, now: Timestamp) -> f64 {
        let aged = (-now.since(self.limited).as_secs_f64() / LIMIT_SPAN.as_secs_f64()).exp();
        self.limit + (start - self.limit).max(0.0) * (1.0 - aged)
    }
}

/// How the servers of a zone fare as a whole, at this node and lately.
#[derive(Debug)]
struct Zone {
    name: Option<Name>,
    calls: u32,
    failing: f64,
    heard: Timestamp,
    /// It fails as a whole, and when a trial there was last sent.
    shut: bool,
    tried: Timestamp,
}

impl Zone {
    fn note(&mut self, ok: bool, now: Timestamp) {
        if now >= self.heard + WINDOW {
            (self.calls, self.failing) = (0, 0.0);
        }
        (self.calls, self.heard) = (self.calls.saturating_add(1), now);
        let failed = if ok { 0.0 } else { 1.0 };
        self.failing += (failed - self.failing) / f64::from(self.calls).min(ZONE_SPAN);
    }

    /// Its failure rate, where enough was heard of it lately to tell.
    fn rate(&self, now: Timestamp) -> Option<f64> {
        (self.calls >= MIN_CALLS && now < self.heard + WINDOW).then_some(self.failing)
    }
}

#[derive(Debug)]
struct Attempt {
    entry: ServerEntry,
    sent: Timestamp,
    /// Of the server's breaker, of the origin's and of that for fetches, when it was sent.
    epochs: (u32, u32, u32),
    status: Option<Status>,
    /// When no answer to it is a failure, and whether that was counted.
    overdue: Timestamp,
    counted: bool,
}

/// What this node knows of a key.
#[derive(Debug, Default)]
struct Key {
    /// Its last answer here was held by its server.
    kept: bool,
    /// Requests for it before the present one, over about the last `POPULAR_SPAN` of all, and the number of
    /// this node's request when that was counted.
    before: f64,
    drawn: u64,
}

#[derive(Debug)]
struct Held {
    request: Request,
    attempts: Vec<Attempt>,
    luck: f64,
    arrived: Timestamp,
    done: bool,
}

impl Held {
    fn outstanding(&self) -> usize {
        self.attempts.iter().filter(|a| a.status.is_none()).count()
    }

    fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| !a.status.is_some_and(Status::never_ran))
    }
}

/// Decides for one node. It has no clock and does no I/O: equal events give equal actions.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    seed: u64,
    drawn: u64,
    /// Sorted by id. Draining servers stay until discovery removes them.
    servers: Vec<Server>,
    /// Looked up by id only, never walked: its order differs from run to run.
    held: HashMap<RequestId, Held>,
    due: BTreeSet<(Timestamp, RequestId)>,
    armed: Option<Timestamp>,
    follow_at: Option<Timestamp>,
    retry_budget: f64,
    limit_start: f64,
    /// By class: what its answers take of late, in seconds.
    usual: Vec<f64>,
    usual_work: f64,
    kinds: Vec<Kind>,
    zones: Vec<Zone>,
    /// The breaker of what servers fetch misses from, where they tell of misses.
    origin: Breaker,
    /// The breaker of trying a read's error again elsewhere: errors that come again are the origin's.
    fetches: Breaker,
    /// Never walked but to forget: its order differs from run to run.
    keys: HashMap<u64, Key>,
    /// Answers that show no queue, and what showed one or was refused for it, over about `rate_span`.
    rate_span: Duration,
    good: f64,
    bad: f64,
    counted: Timestamp,
    /// When the last list came.
    listed: Timestamp,
    /// Up to when cold servers' room is added up.
    filled: Timestamp,
}

impl Balancer {
    /// A balancer that knows no server yet. `seed` should differ between nodes.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        let limit_start = (LIMIT_START / f64::from(settings.nodes.max(1))).max(1.0);
        let quickest = settings.classes.iter().map(|class| class.aim).min().unwrap_or_default();
        let rate_span = (quickest * RATE_AIMS).max(Duration::from_millis(1));
        // The last class is for requests of none: the most careful one.
        settings.classes.push(Class::default());
        let usual = settings.classes.iter().map(|class| class.aim.as_secs_f64()).collect();
        Self {
            settings,
            seed,
            drawn: 0,
            usual,
            usual_work: 0.0,
            kinds: Vec::new(),
            zones: Vec::new(),
            origin: Breaker::new(Timestamp::default()),
            fetches: Breaker::new(Timestamp::default()),
            keys: HashMap::new(),
            servers: Vec::new(),
            held: HashMap::new(),
            due: BTreeSet::new(),
            armed: None,
            follow_at: Some(Timestamp::default()),
            limit_start,
            retry_budget: RETRY_SAVED,
            rate_span,
            good: 0.0,
            bad: 0.0,
            counted: Timestamp::default(),
            listed: Timestamp::default(),
            filled: Timestamp::default(),
        }
    }

    /// Takes in what happened at `now` and appends what the node must do.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let faded = (-now.since(self.counted).as_secs_f64() / self.rate_span.as_secs_f64()).exp();
        (self.good, self.bad, self.counted) = (self.good * faded, self.bad * faded, now);
        self.make_room(now);
        match event {
            Event::Restored(list) | Event::Servers(ServerList::Full(list)) => self.learn(now, &list, true),
            Event::Servers(ServerList::Changes(list)) => self.learn(now, &list, false),
            // Asked for again after a while: discovery that fails is loaded enough.
            Event::Servers(ServerList::Unavailable) => self.follow_at = Some(now + FOLLOW_AGAIN),
            Event::Request(request) => {
                self.drawn += 1;
                let luck = unit(mix(self.seed ^ self.drawn));
                self.meet(key_of(&request));
                let held = Held { request, attempts: Vec::new(), luck, arrived: now, done: false };
                self.decide(now, held, actions);
            }
            Event::Outcome(outcome) => self.outcome(now, &outcome, actions),
            Event::Abandoned(id) => self.held.get_mut(&id).into_iter().for_each(|held| held.done = true),
            Event::Timer => self.armed = None,
            Event::FirstByte { .. } | Event::Probed { .. } => {}
        }
        if self.settings.must_follow && self.follow_at.is_some_and(|at| now >= at) {
            self.follow_at = None;
            actions.push(Action::Follow);
        }
        while self.due.first().is_some_and(|(at, _)| *at <= now) {
            if let Some(mut held) = self.due.pop_first().and_then(|(_, id)| self.held.remove(&id)) {
                self.miss_answers(now, &mut held, actions);
                self.decide(now, held, actions);
            }
        }
        let due = self.due.first().map(|(at, _)| *at);
        let follow = self.follow_at.filter(|_| self.settings.must_follow);
        let next = due.into_iter().chain(follow).min();
        if let Some(at) = next.filter(|at| self.armed.is_none_or(|armed| *at < armed)) {
            self.armed = Some(at);
            actions.push(Action::Wake { after: at.since(now) });
        }
    }

    fn learn(&mut self, now: Timestamp, entries: &[ServerEntry], full: bool) {
        let newest = match self.settings.sized {
            true => 1.0,
            false => {
                1.0 - (-now.since(self.listed).min(WEIGHT_STEP).as_secs_f64() / WEIGHT_SPAN.as_secs_f64())
                    .exp()
            }
        };
        self.listed = now;
        if full {
            self.servers.retain(|server| entries.iter().any(|entry| entry.id == server.entry.id));
        }
        for entry in entries {
            let place = self.servers.binary_search_by(|server| server.entry.id.cmp(&entry.id));
            match place {
                Ok(i) if entry.availability == Availability::Gone => {
                    self.servers.remove(i);
                }
                Ok(i) => {
                    if entry.started != self.servers[i].entry.started {
                        self.servers[i].breaker.enter(State::Closed, now);
                        self.servers[i].room = unit(mix(self.seed ^ self.servers[i].hash));
                        let zone = &mut self.zones[self.servers[i].zone];
                        (zone.shut, zone.calls) = (false, 0);
                    }
                    self.servers[i].entry = entry.clone();
                }
                Err(_) if entry.availability == Availability::Gone => {}
                Err(i) => {
                    let hash = mix(hash_text(entry.id.as_str()));
                    let kind = self.kinds.iter().position(|kind| kind.name == entry.kind);
                    let kind = kind.unwrap_or_else(|| {
                        self.kinds.push(Kind { name: entry.kind.clone(), pace: 0.0, answers: PACE_PRIOR });
                        self.kinds.len() - 1
                    });
                    // The origin fares otherwise than the cache servers beside it.
                    let name = entry.zone.clone().filter(|_| !self.is_origin(entry));
                    let zone = self.zones.iter().position(|zone| zone.name == name);
                    let zone = zone.unwrap_or_else(|| {
                        let heard = now;
                        self.zones.push(Zone {
                            name,
                            calls: 0,
                            failing: 0.0,
                            heard,
                            shut: false,
                            tried: heard,
                        });
                        self.zones.len() - 1
                    });
                    let (entry, breaker, gap) = (entry.clone(), Breaker::new(now), Duration::MAX);
                    let (in_flight, limit, calm, sent) = (0, self.limit_start, false, now);
                    // Not a whole send: many nodes would use it at once.
                    let room = unit(mix(self.seed ^ hash));
                    let limited = now;
                    let load = 0.0;
                    let fresh = Server {
                        entry,
                        load,
                        kind,
                        zone,
                        hash,
                        breaker,
                        room,
                        in_flight,
                        limit,
                        limited,
                        calm,
                        sent,
                        gap,
                    };
                    self.servers.insert(i, fresh);
                }
            }
        }
        // A live weight shows the few requests held at one moment. All nodes are told the same: taken as it
        // comes, each list moves keys to and fro at all of them in step, and each move is a miss.
        let largest = self.servers.iter().map(|server| server.entry.weight).fold(f64::MIN_POSITIVE, f64::max);
        for server in &mut self.servers {
            let told = 1.0 / server.entry.weight.max(largest * WEIGHT_LEAST);
            server.load += (told - server.load) * if server.load > 0.0 { newest } else { 1.0 };
        }
    }

    fn class_slot(&self, request: &Request) -> usize {
        let other = self.settings.classes.len() - 1;
        request.class.map_or(other, |id| id.0.min(other))
    }

    fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[self.class_slot(request)]
    }

    fn is_origin(&self, entry: &ServerEntry) -> bool {
        let CacheMode::Aside { origin_kind } = &self.settings.mode else { return false };
        entry.kind.as_ref() == Some(origin_kind)
    }

    fn warmth(&self, entry: &ServerEntry, now: Timestamp) -> f64 {
        let warm = self.settings.warm_within.as_secs_f64().max(1e-6);
        let age = entry.started.map_or(warm, |at| now.since(at).as_secs_f64());
        let cold = self.settings.cold_share;
        (cold + (1.0 - cold) * age / warm).min(1.0)
    }

    fn capacity(&self, server: &Server, now: Timestamp) -> f64 {
        let speed = if self.settings.sized { 1.0 } else { (-self.kinds[server.kind].pace).exp() };
        (speed / server.load * self.warmth(&server.entry, now)).max(1e-9)
    }

    fn is_cold(&self, server: &Server, now: Timestamp) -> bool {
        !self.is_origin(&server.entry) && self.warmth(&server.entry, now) < 1.0
    }

    /// Pushed over by all nodes, a cold server never comes back: each node adds up, bit by bit, its part of
    /// what the server's size should get of the good answers seen here, until that makes a whole request.
    fn make_room(&mut self, now: Timestamp) {
        let since = now.since(self.filled).as_secs_f64();
        self.filled = now;
        if !self.servers.iter().any(|server| self.is_cold(server, now)) {
            return;
        }
        let caches = self.servers.iter().filter(|server| self.in_use(server));
        let fleet = caches.map(|server| self.capacity(server, now)).sum::<f64>().max(1e-9);
        let pace =
            self.good.max(1.0) / self.rate_span.as_secs_f64() * self.settings.fall_multiple * COLD_PART;
        for i in 0..self.servers.len() {
            let pace = pace * self.capacity(&self.servers[i], now) / fleet;
            let most = (pace * self.settings.fall_span.as_secs_f64() / 2.0).max(1.0);
            self.servers[i].room = (self.servers[i].room + pace * since).min(most);
        }
    }

    fn takes_more(&self, i: usize, now: Timestamp) -> bool {
        self.servers[i].room >= 1.0 || !self.is_cold(&self.servers[i], now)
    }

    /// Many servers failing together have a common cause: ejecting them would push their keys onto the rest.
    fn is_outlier(&self, i: usize, now: Timestamp) -> bool {
        let others = self.servers.iter().filter(|other| other.hash != self.servers[i].hash);
        let recent = others.map(|other| &other.breaker).filter(|breaker| now < breaker.window_ends);
        let (calls, failed) = recent.fold((0, 0), |(c, f), b| (c + b.calls, f + b.failures));
        calls < MIN_CALLS || f64::from(failed) < COMMON_RATE * f64::from(calls)
    }

    /// Whether a zone fares otherwise than some other one: what ails it is then not common to all servers.
    fn apart(&self, zone: usize, now: Timestamp) -> bool {
        let others = self.zones.iter().enumerate().filter(|(other, _)| *other != zone);
        others.filter_map(|(_, other)| other.rate(now)).any(|rate| rate < COMMON_RATE)
    }

    /// Counts an outcome for the server's breaker and opens it where it trips.
    fn judge(&mut self, i: usize, epoch: u32, ok: Option<bool>, now: Timestamp, actions: &mut Vec<Action>) {
        let z = self.servers[i].zone;
        let apart = self.apart(z, now);
        let others = self.zones[z].rate(now).filter(|rate| apart || *rate < COMMON_RATE);
        let tripped = self.servers[i].breaker.on_outcome(epoch, ok, others, now);
        if tripped && (apart || self.is_outlier(i, now)) {
            self.servers[i].breaker.enter(State::Open { until: now + COOLDOWN }, now);
            actions.push(Action::Log(format!("breaker of {} tripped", self.servers[i].entry.id)));
        }
    }

    /// Counts how an attempt fared for its zone. Where the whole zone fails and others don't, so do those of
    /// its servers that this node has not heard enough of to know better.
    fn judge_zone(&mut self, z: usize, ok: bool, now: Timestamp, actions: &mut Vec<Action>) {
        self.zones[z].note(ok, now);
        let others = self.zones[z].rate(now);
        let apart = self.apart(z, now);
        let zone = &mut self.zones[z];
        let told = |what: &str| {
            let name = zone.name.as_ref().map_or("with no name", |name| name.as_str());
            Action::Log(format!("zone {name} {what}"))
        };
        if ok && zone.shut {
            actions.push(told("answers again"));
            (zone.shut, zone.calls) = (false, 0);
        } else if !ok && apart && others.is_some_and(|rate| rate >= TRIP_RATE) {
            if !zone.shut {
                actions.push(told("fails as a whole"));
            }
            zone.shut = true;
            let seed = self.seed ^ now.as_micros();
            for mate in self.servers.iter_mut().filter(|mate| mate.zone == z) {
                mate.breaker.turn(now);
                if mate.breaker.state == State::Closed && mate.breaker.failing(others) {
                    // Those that are shut together must not all be due for a trial together.
                    let jittered = COOLDOWN.mul_f64(1.0 + unit(mix(seed ^ mate.hash)) / 2.0);
                    mate.breaker.enter(State::Open { until: now + jittered }, now);
                }
            }
        }
    }

    /// One trial tells of a whole zone: while it fails, not each of its servers is tried after its cooldown.
    fn may_try(&self, i: usize, now: Timestamp) -> bool {
        let zone = &self.zones[self.servers[i].zone];
        let trial = self.servers[i].breaker.state != State::Closed;
        !(trial && zone.shut) || now >= zone.tried + COOLDOWN / TRIALS
    }

    fn in_use(&self, server: &Server) -> bool {
        server.entry.availability == Availability::Ready && !self.is_origin(&server.entry)
    }

    fn outcome(&mut self, now: Timestamp, outcome: &Outcome, actions: &mut Vec<Action>) {
        let Some(mut held) = self.held.remove(&outcome.id) else { return };
        let Some(attempt) = held.attempts.get_mut(outcome.attempt as usize) else { return self.keep(held) };
        attempt.status = Some(outcome.status);
        let fetched = outcome.note == Some(Note::Miss) && self.settings.mode == CacheMode::Through;
        let epochs = attempt.epochs;
        self.judge_fetches(now, &held, outcome, epochs.2, actions);
        let unfetched = outcome.status == Status::Failed && self.fetches.state != State::Closed;
        self.bad += if unfetched { 1.0 } else { 0.0 };
        // A client that gave up before an answer would have been late tells of itself, not of the server.
        let impatient = outcome.status == Status::TimedOut
            && outcome.took < self.class(&held.request).aim.mul_f64(AIM_SHARE);
        let ok = match outcome.status {
            Status::Ok | Status::Miss => Some(true),
            Status::Canceled | Status::Ignored => None,
            _ if impatient => None,
            // A failed fetch is the origin's failure, not the server's: another would ask the same origin.
            _ if fetched || unfetched => None,
            _ => Some(false),
        };
        if fetched || outcome.note == Some(Note::Hit) {
            if let Some(key) = self.keys.get_mut(&key_of(&held.request)) {
                key.kept = ok.is_some();
            }
        }
        // With all fetches failing no answer tells of a miss: errors of the origin's do.
        let fetch = if unfetched { Some(false) } else { fetched.then_some(ok.is_some()) };
        if self.origin.on_outcome(epochs.1, fetch, None, now) {
            self.origin.enter(self.rest(now), now);
            actions.push(Action::Log("breaker of the origin tripped".into()));
        }
        // What was overdue has been counted already.
        let known = held.attempts[outcome.attempt as usize].counted;
        let epoch = epochs.0;
        let in_time = outcome.took <= self.due_within(&held.request);
        let work = held.request.expected_work.map_or(0.0, |work| work.as_secs_f64());
        self.usual_work += (work - self.usual_work) / 100.0;
        let spare = outcome.load.busy.is_some_and(|busy| busy < BUSY);
        // Where nobody waits it is most often the work itself that takes long. One of many nodes cannot tell:
        // it meets the server so seldom that the report is older than the bursts of the others.
        let few = self.settings.nodes <= FEW_NODES;
        let unqueued = few && outcome.load.waiting.is_some_and(|waiting| waiting < 1.0);
        if outcome.status == Status::Ok {
            let slot = self.class_slot(&held.request);
            self.usual[slot] += (outcome.took.as_secs_f64() - self.usual[slot]) / 20.0;
        }
        let par = held.request.expected_work.unwrap_or(self.class(&held.request).aim).as_secs_f64().max(1e-6);
        if let Ok(i) = self.servers.binary_search_by(|server| server.entry.id.cmp(&outcome.server)) {
            let told = matches!(outcome.status, Status::Ok | Status::TimedOut) && !fetched && !impatient;
            if told && self.warmth(&self.servers[i].entry, now) >= 1.0 {
                let kind = &mut self.kinds[self.servers[i].kind];
                kind.answers = (kind.answers + 1.0).min(PACE_SPAN);
                kind.pace += ((outcome.took.as_secs_f64() / par).max(1e-3).ln() - kind.pace) / kind.answers;
            }
            let server = &mut self.servers[i];
            (server.limit, server.limited) = (server.limit(self.limit_start, now), now);
            server.calm = spare || unqueued;
            let (answered, failed) = (ok == Some(true), ok == Some(false));
            let jammed = failed && matches!(outcome.status, Status::QueueFull | Status::TimedOut);
            if answered && (in_time || spare || unqueued) {
                self.good += 1.0;
            }
            if answered && in_time && f64::from(server.in_flight) * 2.0 >= server.limit {
                server.limit += LIMIT_UP;
            } else if answered && !in_time && !spare && unqueued {
                server.limit = (server.limit - LIMIT_EASE).max(LIMIT_LEAST);
            } else if !known && (answered && !in_time && !spare || jammed) {
                self.bad += 1.0;
                server.limit = (server.limit - LIMIT_DOWN).max(LIMIT_LEAST);
            }
            server.in_flight = server.in_flight.saturating_sub(1);
            // A handshake costs the server work, an idle connection only its place. Where the connections of
            // all nodes would fill its table, one that is used too seldom gives its place up.
            let part = KEPT_OPEN / f64::from(self.settings.nodes.max(1));
            if server.in_flight == 0 && part < 1.0 && server.gap > self.settings.keepalive.mul_f64(part) {
                actions.push(Action::Close { server: server.entry.id.clone() });
            }
            if let Some(ok) = ok.filter(|ok| *ok || !known) {
                self.judge_zone(self.servers[i].zone, ok, now, actions);
            }
            self.judge(i, epoch, ok, now, actions);
        }
        held.done |= outcome.finished;
        self.decide(now, held, actions);
    }

    /// An open state of the origin's breakers: they trip at all nodes together and must not all end together.
    fn rest(&self, now: Timestamp) -> State {
        let part = 0.75 + unit(mix(self.seed ^ now.as_micros())) / 2.0;
        State::Open { until: now + (self.rate_span * REST_SPANS).mul_f64(part) }
    }

    /// Counts whether an error came again at another server. One that does is no server's: all ask the same
    /// origin, and one that cannot keep up serves nobody while failed fetches are tried again elsewhere.
    fn judge_fetches(
        &mut self,
        now: Timestamp,
        held: &Held,
        outcome: &Outcome,
        epoch: u32,
        actions: &mut Vec<Action>,
    ) {
        let before = (outcome.attempt as usize).checked_sub(1).and_then(|i| held.attempts.get(i));
        if self.settings.mode != CacheMode::Through || before.and_then(|a| a.status) != Some(Status::Failed) {
            return;
        }
        let ok = match outcome.status {
            Status::Ok => Some(true),
            Status::Failed => Some(false),
            _ => None,
        };
        // Where few of all attempts fail, two errors in a row are chance: spoilt answers, or two bad servers.
        if self.fetches.on_outcome(epoch, ok, None, now) {
            let breakers = self.servers.iter().map(|server| &server.breaker);
            let recent = breakers.filter(|breaker| now < breaker.window_ends);
            let (calls, failed) = recent.fold((0, 0), |(c, f), b| (c + b.calls, f + b.failures));
            if f64::from(failed) < COMMON_RATE * f64::from(calls) {
                return self.fetches.enter(State::Closed, now);
            }
            self.fetches.enter(self.rest(now), now);
            actions.push(Action::Log("errors come again at other servers: taken for the origin's".into()));
        }
    }

    /// An answer to it that comes later is late: past a part of its aim, or for a heavy one past more of it.
    fn due_within(&self, request: &Request) -> Duration {
        let work = request.expected_work.map_or(0.0, |work| work.as_secs_f64());
        let share = (AIM_SHARE * work / self.usual_work.max(1e-9)).clamp(AIM_SHARE, 1.0);
        self.class(request).aim.mul_f64(share)
    }

    /// Counts the attempts that are overdue against their zones and servers' limits. The time-out that tells
    /// the same comes when the client gives up, and meanwhile a silent zone or a jam takes all that comes.
    /// Breakers wait for it: in a jam, the first few calls of a window are overdue together at every server.
    fn miss_answers(&mut self, now: Timestamp, held: &mut Held, actions: &mut Vec<Action>) {
        let out = held.attempts.iter_mut().filter(|a| a.status.is_none() && !a.counted && a.overdue <= now);
        for attempt in out {
            attempt.counted = true;
            let place = self.servers.binary_search_by(|server| server.entry.id.cmp(&attempt.entry.id));
            if let Ok(i) = place {
                let server = &mut self.servers[i];
                if !server.calm {
                    self.bad += 1.0;
                    server.limit = (server.limit(self.limit_start, now) - LIMIT_DOWN).max(LIMIT_LEAST);
                    server.limited = now;
                }
                self.judge_zone(self.servers[i].zone, false, now, actions);
            }
        }
    }

    fn decide(&mut self, now: Timestamp, mut held: Held, actions: &mut Vec<Action>) {
        if held.outstanding() > 0 {
            return self.keep(held);
        }
        if held.done {
            return;
        }
        // Asking the origin after a miss is the ordinary way on, any other attempt a retry on a budget.
        let retry = held.attempts.last().filter(|a| a.status != Some(Status::Miss));
        let cost = retry.map_or(0.0, |last| self.retry_cost(now, &held.request, last));
        let barred = self.retry_budget < cost;
        let failed = retry.is_some_and(|last| last.status == Some(Status::Failed));
        let barred = barred || failed && !self.fetches.admits(now);
        // A fleet that is jammed as a whole drains only if most is refused before it is sent.
        let good = self.good + ADMIT_PRIOR;
        let excess = held.attempts.is_empty() && held.luck * (good + self.bad) > good * ADMIT;
        self.bad += if excess { REFUSED } else { 0.0 };
        // An origin with a queue longer than anyone waits serves nobody until likely misses leave it alone.
        let kept = !held.request.write && self.keys.get(&key_of(&held.request)).is_some_and(|key| key.kept);
        if excess || barred || now >= held.request.valid_until || !(kept || self.origin.admits(now)) {
            return self.end(now, held, actions);
        }
        let Some(i) = self.pick(now, &held) else {
            // A burst passes: without room a request waits, while thrice a usual answer would be in time.
            let aim = self.class(&held.request).aim;
            let usual = Duration::from_secs_f64(self.usual[self.class_slot(&held.request)]);
            let again = now + aim.mul_f64(HOLD_STEP);
            if held.attempts.is_empty()
                && again + usual * 3 <= (held.arrived + aim).min(held.request.valid_until)
                && self.servers.iter().any(|server| self.in_use(server))
            {
                self.due.insert((again, held.request.id.clone()));
                return self.keep(held);
            }
            return self.end(now, held, actions);
        };
        let paid = if retry.is_some() { -cost } else { RETRY_SHARE };
        self.retry_budget = (self.retry_budget + paid).min(RETRY_SAVED);
        let server = &mut self.servers[i];
        server.room = (server.room - 1.0).max(0.0);
        server.in_flight += 1;
        (server.sent, server.gap) = (now, now.since(server.sent));
        if server.breaker.state != State::Closed {
            self.zones[server.zone].tried = now;
        }
        server.breaker.on_send(now);
        if !kept {
            self.origin.on_send(now);
        }
        let skew = u32::from(kept && self.origin.state != State::Closed);
        if failed {
            self.fetches.on_send(now);
        }
        let epochs = (server.breaker.epoch, self.origin.epoch.wrapping_sub(skew), self.fetches.epoch);
        let (entry, overdue) = (server.entry.clone(), now + self.due_within(&held.request));
        if overdue < held.request.valid_until {
            self.due.insert((overdue, held.request.id.clone()));
        }
        held.attempts.push(Attempt { entry, sent: now, epochs, status: None, overdue, counted: false });
        let timeout = held.request.valid_until.since(now);
        let (id, server) = (held.request.id.clone(), self.servers[i].entry.id.clone());
        actions.push(Action::Send { id, server, timeout });
        self.keep(held);
    }

    /// What trying again after `last` takes from the budget. The budget keeps retries from multiplying the
    /// servers' work; an error that came sooner than an answer does has cost them that much less of it.
    fn retry_cost(&self, now: Timestamp, request: &Request, last: &Attempt) -> f64 {
        if last.status != Some(Status::Failed) {
            return 1.0;
        }
        let usual = self.usual[self.class_slot(request)].max(1e-6);
        (now.since(last.sent).as_secs_f64() / usual).clamp(RETRY_LEAST, 1.0)
    }

    fn keep(&mut self, held: Held) {
        self.held.insert(held.request.id.clone(), held);
    }

    /// Whether rule 2 lets the request go to this server now.
    fn may_send(&self, now: Timestamp, held: &Held, entry: &ServerEntry) -> bool {
        let effect = self.class(&held.request).effect;
        held.may_have_run().all(|earlier| match effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { scope, window } => {
                now < earlier.sent + window
                    && match scope {
                        Scope::All => true,
                        Scope::Zone => earlier.entry.zone == entry.zone,
                        Scope::Cell => earlier.entry.cell == entry.cell,
                    }
            }
        })
    }

    fn pick(&self, now: Timestamp, held: &Held) -> Option<usize> {
        if held.attempts.len() >= self.settings.max_attempts as usize {
            return None;
        }
        let usable = |i: &usize| {
            let entry = &self.servers[*i].entry;
            entry.availability == Availability::Ready
                && self.may_send(now, held, entry)
                && self.servers[*i].breaker.admits(now)
                && self.may_try(*i, now)
                && self.takes_more(*i, now)
                && !held.attempts.iter().any(|a| a.entry.id == entry.id)
        };
        let room = |i: usize, share: f64| {
            f64::from(self.servers[i].in_flight) + held.luck
                < self.servers[i].limit(self.limit_start, now) * share
        };
        let aside = matches!(self.settings.mode, CacheMode::Aside { .. });
        let missed = held.attempts.iter().any(|a| a.status == Some(Status::Miss));
        if aside && (held.request.write || missed) {
            let mut origins = (0..self.servers.len()).filter(|&i| self.is_origin(&self.servers[i].entry));
            return origins.find(usable).filter(|i| room(*i, 1.0));
        }
        let key = key_of(&held.request);
        let mut order = self.order(key, now).peekable();
        let own = *order.peek()?;
        // For want of room to the next few and no further: over a slow fleet, hits would turn to misses.
        let copies = self.copies(key);
        let mut open: Vec<_> = order.filter(usable).take(SPREAD.max(copies)).collect();
        if !open.is_empty() {
            // Those that serve the key come first, each request beginning at one of them.
            let copies = copies.min(open.len());
            open[..copies].rotate_left((unit(mix(held.luck.to_bits())) * copies as f64) as usize);
            let share = |n| if n < copies { 1.0 } else { SPILL };
            return open.into_iter().enumerate().find(|&(n, i)| room(i, share(n))).map(|(_, i)| i);
        }
        // Every server is blocked: the key's own server then, rather than none.
        (self.takes_more(own, now) && held.attempts.is_empty() && room(own, 1.0)).then_some(own)
    }

    /// Counts a request for a key. Keys that were not asked for lately give way when too many are known.
    fn meet(&mut self, key: u64) {
        let drawn = self.drawn;
        if self.keys.len() >= KEYS_KNOWN {
            self.keys.retain(|_, known| drawn - known.drawn < KEYS_KNOWN as u64 / 2);
        }
        let known = self.keys.entry(key).or_insert(Key { drawn, before: -1.0, kept: false });
        let faded = (-((drawn - known.drawn) as f64) / POPULAR_SPAN).exp();
        (known.before, known.drawn) = ((known.before + 1.0) * faded, drawn);
    }

    /// How many servers of its order serve a key: one does unless its requests make much of a server's share.
    /// The more servers there are the less of all traffic it takes for one key to jam the one it hashes to.
    fn copies(&self, key: u64) -> usize {
        let (before, servers) =
            (self.keys.get(&key).map_or(0.0, |known| known.before), self.servers.len() as f64);
        let met = POPULAR_SPAN * (1.0 - (-(self.drawn as f64) / POPULAR_SPAN).exp());
        // The first few requests tell little: as if there had been one more for each server, of other keys.
        let share = before / (met + servers).max(1.0);
        1 + (COPIES * servers * share).round() as usize
    }

    /// The ready cache servers in the key's own order, by weighted rendezvous: a leaver moves only its keys.
    fn order(&self, key: u64, now: Timestamp) -> impl Iterator<Item = usize> + use<> {
        let rank = |(i, server): (usize, &Server)| {
            let distance = -unit(mix(key ^ server.hash)).ln() / self.capacity(server, now);
            // The bits of positive numbers sort as the numbers do.
            (distance.to_bits(), i)
        };
        let in_use = self.servers.iter().enumerate().filter(|(_, server)| self.in_use(server));
        let mut ranked: Vec<_> = in_use.map(rank).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, i)| i)
    }

    /// How long refused clients should stay away: until the origin's breaker lets its first trial through,
    /// or shortly: the front deals a client that comes again to another node, which may have room.
    fn retry_after(&self, now: Timestamp, request: &Request) -> Duration {
        let origin = self.servers.iter().find(|server| self.is_origin(&server.entry));
        let advice = match origin.map_or(self.origin.state, |server| server.breaker.state) {
            State::Open { until } => until.since(now),
            _ => self.class(request).aim.mul_f64(AWAY_STEP),
        };
        advice.min(self.settings.max_retry_after)
    }

    fn end(&mut self, now: Timestamp, held: Held, actions: &mut Vec<Action>) {
        let effect = self.class(&held.request).effect;
        let safe_again = matches!(effect, Effect::Safe | Effect::Keyed { scope: Scope::All, .. })
            || held.may_have_run().next().is_none();
        if safe_again && now < held.request.valid_until {
            let retry_after = self.retry_after(now, &held.request);
            let id = held.request.id;
            actions.push(Action::Refuse { id, retry_after });
        } else {
            actions.push(Action::Fail { id: held.request.id });
        }
    }
}

fn key_of(request: &Request) -> u64 {
    request.key.unwrap_or_else(|| hash_text(request.id.as_str()))
}

/// Spreads nearby numbers (the finaliser of splitmix64).
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn unit(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

fn hash_text(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}
