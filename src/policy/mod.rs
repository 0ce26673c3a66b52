//! Every decision the router makes. Its interface, the types in and out, is `src/api.rs`.

mod admission;
mod breaker;
mod deployment;
mod hash;
mod origin;
mod placement;
mod requests;
mod retries;
mod servers;
pub mod subscription;
mod zones;

use crate::api::*;
use admission::RATE_AIMS;
use breaker::Breaker;
use deployment::SERVER_SLOTS;
use hash::{key_of, mix, unit};
use placement::Key;
use requests::{Attempt, Held};
use retries::RETRY_SAVED;
use servers::{Departed, Kind, Server};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use zones::Zone;

/// From a call of discovery that failed to [`Action::Subscribe`].
pub const RESUBSCRIBE_DELAY: Duration = Duration::from_secs(1);

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
    /// The mean of the work that requests announce, in seconds, and of how many that is.
    mean_work: f64,
    works: f64,
    kinds: Vec<Kind>,
    zones: Vec<Zone>,
    /// The breaker of what servers fetch misses from, where they tell of misses.
    origin: Breaker,
    /// The breaker of trying a read's error again elsewhere: errors that come again are the origin's.
    fetches: Breaker,
    /// Never walked but to forget: its order differs from run to run.
    keys: HashMap<u64, Key>,
    /// Answers that show no queue, what showed one, and what was refused for that, over about `rate_span`.
    rate_span: Duration,
    good: f64,
    bad: f64,
    refused: f64,
    counted: Timestamp,
    /// When the last list came.
    listed: Timestamp,
    /// When discovery's last list came; `None` while there is only the one that the node was started with,
    /// which may be old.
    heard: Option<Timestamp>,
    /// Looked up by id only, never walked.
    departed: Departed,
    /// Up to when cold servers' token buckets are filled.
    filled: Timestamp,
}

/// Where the in-flight limits begin: the part of one of so many nodes.
fn limit_start(nodes: u32) -> f64 {
    (SERVER_SLOTS / f64::from(nodes.max(1))).max(1.0)
}

impl Balancer {
    /// A balancer that knows no server yet. `seed` should differ between nodes.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        let limit_start = limit_start(settings.nodes);
        let quickest = settings.classes.iter().map(|class| class.latency_target).min().unwrap_or_default();
        let rate_span = (quickest * RATE_AIMS).max(Duration::from_millis(1));
        // The last class is for requests of none: the most careful one.
        settings.classes.push(Class::default());
        let usual = settings.classes.iter().map(|class| class.latency_target.as_secs_f64()).collect();
        Self {
            settings,
            seed,
            drawn: 0,
            usual,
            usual_work: 0.0,
            mean_work: 0.0,
            works: 0.0,
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
            refused: 0.0,
            counted: Timestamp::default(),
            listed: Timestamp::default(),
            heard: None,
            departed: Departed::new(),
            filled: Timestamp::default(),
        }
    }

    /// Takes in what happened at `now` and appends what the node must do.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let faded = (-now.since(self.counted).as_secs_f64() / self.rate_span.as_secs_f64()).exp();
        (self.good, self.bad, self.refused) = (self.good * faded, self.bad * faded, self.refused * faded);
        self.counted = now;
        self.refill(now);
        match event {
            Event::NodeCount(nodes) => {
                (self.settings.nodes, self.limit_start) = (nodes, limit_start(nodes));
            }
            Event::Restored(list) => self.learn(now, &list, true),
            Event::Servers(ServerList::Full(list)) => self.hear(now, &list, true),
            Event::Servers(ServerList::Changes(list)) => self.hear(now, &list, false),
            // Asked for again after a while: discovery that fails is loaded enough.
            Event::Servers(ServerList::Unavailable) => self.follow_at = Some(now + RESUBSCRIBE_DELAY),
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
        if self.settings.must_subscribe && self.follow_at.is_some_and(|at| now >= at) {
            self.follow_at = None;
            actions.push(Action::Subscribe);
        }
        while self.due.first().is_some_and(|(at, _)| *at <= now) {
            if let Some(mut held) = self.due.pop_first().and_then(|(_, id)| self.held.remove(&id)) {
                self.miss_answers(now, &mut held, actions);
                self.decide(now, held, actions);
            }
        }
        let due = self.due.first().map(|(at, _)| *at);
        let follow = self.follow_at.filter(|_| self.settings.must_subscribe);
        let next = due.into_iter().chain(follow).min();
        if let Some(at) = next.filter(|at| self.armed.is_none_or(|armed| *at < armed)) {
            self.armed = Some(at);
            actions.push(Action::Wake { after: at.since(now) });
        }
    }
}
