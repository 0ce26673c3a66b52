//! One node's decisions in simulated time, with one of its servers in trouble. Nodes share nothing but the servers, and
//! the servers here answer whatever comes, so that each node can be played alone, at its full rate.

use crate::draw::{self, Stream};
use crate::model::clients::{self, ClientClass};
use crate::model::{micros, Micros, SECOND};
use rand::Rng;
use rand_distr::{Distribution, Zipf};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;
use walkpick::{
    Action, Balancer, ClassId, Event, LoadReport, Outcome, Request, RequestId, ServerEntry, ServerId,
    ServerList, Settings, Status, Timestamp,
};

/// Counts are kept for each tenth of a second.
pub const BIN: Micros = SECOND / 10;
/// The node's clock begins here, so that servers may have started before.
const EPOCH: Micros = 10_000 * SECOND;
/// What a server takes for a request, on the mean: with 16 at once (the settings' slots) it serves 4,000 a second.
const ANSWER_US: f64 = 4_000.0;
/// There and back.
const NETWORK_US: Micros = 600;
/// A new connection that is not up by then has failed; see the operators' page.
const CONNECT: Micros = 200_000;
/// Servers close a connection that has stood idle for so long.
const KEEPALIVE: Micros = 15 * SECOND;
/// A fresh server's part of its capacity, and the time until all of it is there.
const COLD_SHARE: f64 = 0.25;
const WARM: Micros = 18 * SECOND;
/// Discovery tells of a restart so late, at the least and at the most.
const NOTICE: (Micros, Micros) = (800_000, 3 * SECOND);
/// Objects, and how uneven their popularity is.
const KEYS: f64 = 44_000.0;
const ZIPF: f64 = 0.9;
/// Clients wait for this part of their class's deadline, at the least and at the most.
const PATIENCE: (f64, f64) = (0.5, 0.6);

/// What befalls the one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// It says nothing, nor does its machine, from `begins` until it goes on as before at `ends`.
    Silent,
    /// Its process starts anew at `begins`: connections break, it is cold, and discovery says so.
    Restarted,
}

/// A play.
#[derive(Clone, Debug)]
pub struct Setting {
    /// Nodes of the fleet, as this one is told.
    pub nodes: u32,
    /// Cache servers, and the zones that they are in.
    pub servers: usize,
    /// See `servers`.
    pub zones: usize,
    /// Requests a second of this node.
    pub rate: f64,
    /// What befalls the first server.
    pub trouble: Trouble,
    /// From when to when.
    pub begins: Micros,
    /// See `begins`.
    pub ends: Micros,
    /// When the play ends.
    pub length: Micros,
}

/// What the server in trouble met from this node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Met {
    /// Attempts sent to it, by tenth of a second.
    pub requests: Vec<u32>,
    /// New connections that were tried, by tenth of a second.
    pub connections: Vec<u32>,
    /// How long after the trouble began the node first shut it, if it did.
    pub shut_after: Option<Micros>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Arrives,
    Ends { ticket: u64, attempt: u32 },
    Wakes,
    Told,
}

/// An attempt under way.
struct Attempt {
    server: usize,
    sent: Micros,
    status: Status,
}

struct Play<'a> {
    setting: &'a Setting,
    balancer: Balancer,
    kinds: Vec<ClientClass>,
    random: Xoshiro256PlusPlus,
    now: Micros,
    count: u64,
    /// Popularity of the objects.
    popular: Option<Zipf<f64>>,
    queue: BinaryHeap<Reverse<(Micros, u64, Next)>>,
    /// Attempts of each request that is under way.
    open: HashMap<u64, Vec<Attempt>>,
    places: HashMap<ServerId, usize>,
    /// By server: since when each idle connection has stood so.
    idle: Vec<Vec<Micros>>,
    tickets: u64,
    met: Met,
}

/// Plays one node. Equal settings and seeds give equal plays.
pub fn play(setting: &Setting, seed: u64) -> Met {
    let mut play = Play::new(setting, seed);
    play.feed(Event::Restored((0..setting.servers).map(|i| entry(setting, i, None)).collect()));
    play.at(0, Next::Arrives);
    if setting.trouble == Trouble::Restarted {
        let notice = play.random.random_range(NOTICE.0..NOTICE.1);
        play.at(setting.begins + notice, Next::Told);
    }
    while let Some(Reverse((at, _, next))) = play.queue.pop() {
        if at >= setting.length {
            break;
        }
        play.now = at;
        play.step(next);
    }
    play.met
}

fn entry(setting: &Setting, place: usize, started: Option<Timestamp>) -> ServerEntry {
    let zone = format!("zone-{}", place % setting.zones.max(1));
    ServerEntry { zone: Some(zone.as_str().into()), started, ..ServerEntry::new(&format!("s-{place:04}")) }
}

fn ticket_of(id: &RequestId) -> u64 {
    id.as_str().parse().unwrap_or(u64::MAX)
}

impl<'a> Play<'a> {
    fn new(setting: &'a Setting, seed: u64) -> Self {
        let kinds = clients::client_classes();
        let settings = Settings {
            zone: Some("zone-0".into()),
            nodes: setting.nodes,
            classes: kinds.iter().map(|kind| kind.config.clone()).collect(),
            nominal_weights: false,
            max_attempts: 5,
            max_retry_after: Duration::from_secs(2),
            connect_timeout: Duration::from_micros(CONNECT),
            keepalive: Duration::from_micros(KEEPALIVE),
            cold_share: COLD_SHARE,
            warm_within: Duration::from_micros(WARM),
            overload_multiple: 3.0,
            overload_window: Duration::from_millis(1_500),
            ..Settings::default()
        };
        let bins = (setting.length / BIN) as usize + 1;
        let place = |i: usize| (entry(setting, i, None).id, i);
        Self {
            setting,
            balancer: Balancer::new(settings, seed),
            kinds,
            random: draw::stream(seed, Stream::Requests),
            now: 0,
            count: 0,
            popular: Zipf::new(KEYS, ZIPF).ok(),
            queue: BinaryHeap::new(),
            open: HashMap::new(),
            places: (0..setting.servers).map(place).collect(),
            idle: vec![Vec::new(); setting.servers],
            tickets: 0,
            met: Met { requests: vec![0; bins], connections: vec![0; bins], shut_after: None },
        }
    }

    fn at(&mut self, at: Micros, next: Next) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, next)));
    }

    fn step(&mut self, next: Next) {
        match next {
            Next::Arrives => self.arrives(),
            Next::Ends { ticket, attempt } => self.ends(ticket, attempt),
            Next::Wakes => self.feed(Event::Timer),
            Next::Told => {
                let started = Timestamp::from_micros(EPOCH + self.setting.begins);
                let fresh = entry(self.setting, 0, Some(started));
                self.feed(Event::Servers(ServerList::Changes([fresh].into())));
            }
        }
    }

    fn arrives(&mut self) {
        let between = draw::exponential_us(&mut self.random, SECOND as f64 / self.setting.rate).max(1);
        self.at(self.now + between, Next::Arrives);
        let mut which = self.random.random::<f64>() * self.kinds.iter().map(|kind| kind.share).sum::<f64>();
        let kind = self.kinds.iter().position(|kind| {
            which -= kind.share;
            which < 0.0
        });
        let kind = kind.unwrap_or(0);
        let deadline = micros(self.kinds[kind].config.deadline) as f64;
        let patience = deadline * self.random.random_range(PATIENCE.0..PATIENCE.1);
        let key = self.popular.as_ref().map_or(0.0, |law| law.sample(&mut self.random)) as u64;
        let ticket = self.tickets;
        self.tickets += 1;
        self.open.insert(ticket, Vec::new());
        let until = Timestamp::from_micros(EPOCH + self.now + patience as Micros);
        self.feed(Event::Request(Request {
            class: Some(ClassId(kind)),
            key: Some(key),
            expected_work: Some(Duration::from_micros(ANSWER_US as Micros)),
            write: self.kinds[kind].write,
            ..Request::new(&ticket.to_string(), until)
        }));
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(Timestamp::from_micros(EPOCH + self.now), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout, .. } => self.send(ticket_of(&id), &server, timeout),
            Action::Refuse { id, .. } | Action::Fail { id, .. } => drop(self.open.remove(&ticket_of(&id))),
            Action::Wake { after } => self.at(self.now + micros(after).max(1), Next::Wakes),
            Action::Close { server } => {
                if let Some(&place) = self.places.get(&server) {
                    self.idle[place].clear();
                }
            }
            Action::Log(text) => self.hears(&text),
            Action::Cancel { .. } | Action::Probe { .. } | Action::Subscribe => {}
        }
    }

    /// The decisions say themselves when they shut a server or its zone.
    fn hears(&mut self, text: &str) {
        let shut = text == "breaker of s-0000 tripped" || text == "zone zone-0 fails as a whole";
        if shut && self.now >= self.setting.begins && self.met.shut_after.is_none() {
            self.met.shut_after = Some(self.now - self.setting.begins);
        }
    }

    fn silent(&self, server: usize) -> bool {
        let Setting { trouble, begins, ends, .. } = *self.setting;
        server == 0 && trouble == Trouble::Silent && (begins..ends).contains(&self.now)
    }

    /// A kept connection, if there is one that still holds.
    fn kept(&mut self, server: usize) -> bool {
        let restarted = server == 0 && self.setting.trouble == Trouble::Restarted;
        let broken = restarted.then_some(self.setting.begins).filter(|&at| at <= self.now);
        let idle = &mut self.idle[server];
        let (now, since) = (self.now, idle.pop());
        let kept = since.is_some_and(|since| now < since + KEEPALIVE && broken.is_none_or(|at| at < since));
        if !kept {
            idle.clear();
        }
        kept
    }

    fn send(&mut self, ticket: u64, server: &ServerId, timeout: Duration) {
        let Some(&place) = self.places.get(server) else { return };
        let kept = self.kept(place);
        if place == 0 {
            let bin = (self.now / BIN) as usize;
            self.met.requests[bin] += 1;
            self.met.connections[bin] += u32::from(!kept);
        }
        let timeout = micros(timeout).max(1);
        let (status, takes) = match (self.silent(place), kept) {
            (true, true) => (Status::TimedOut, timeout),
            (true, false) => (Status::ConnectError, timeout.min(CONNECT)),
            (false, _) => self.answer(place, kept, timeout),
        };
        let Some(attempts) = self.open.get_mut(&ticket) else { return };
        attempts.push(Attempt { server: place, sent: self.now, status });
        let attempt = attempts.len() as u32 - 1;
        self.at(self.now + takes, Next::Ends { ticket, attempt });
    }

    /// How a server that works answers: a cold one takes as many times as long as it has less of its capacity.
    fn answer(&mut self, server: usize, kept: bool, timeout: Micros) -> (Status, Micros) {
        let restarted = server == 0 && self.setting.trouble == Trouble::Restarted;
        let age = self.now.checked_sub(self.setting.begins).filter(|_| restarted);
        let warmth = age.map_or(1.0, |age| (COLD_SHARE + age as f64 / WARM as f64).min(1.0));
        let work = draw::lognormal(&mut self.random, ANSWER_US, 1.0) / warmth;
        let takes = work as Micros + if kept { NETWORK_US } else { 2 * NETWORK_US };
        match takes < timeout {
            true => (Status::Ok, takes),
            false => (Status::TimedOut, timeout),
        }
    }

    fn ends(&mut self, ticket: u64, attempt: u32) {
        let Some(attempts) = self.open.get(&ticket) else { return };
        let Some(&Attempt { server, sent, status }) = attempts.get(attempt as usize) else { return };
        if status == Status::Ok {
            self.idle[server].push(self.now);
            self.open.remove(&ticket);
        }
        let id = RequestId::from(ticket.to_string().as_str());
        let server = entry(self.setting, server, None).id;
        let took = Duration::from_micros(self.now - sent);
        let (finished, load) = (status == Status::Ok, LoadReport::default());
        let outcome = Outcome { id, attempt, server, status, cache_status: None, took, finished, load };
        self.feed(Event::Outcome(outcome));
    }
}
