//! Simulation of one node's decisions while one of its servers has a fault. Nodes share nothing but the servers, and
//! the simulated servers have unlimited capacity, so each node can be simulated on its own at its full rate.

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

/// Width of a count's time bin: a tenth of a second.
pub const BIN: Micros = SECOND / 10;
/// Start of the node's clock; above zero, so that servers may have started earlier.
const EPOCH: Micros = 10_000 * SECOND;
/// Mean response time of a server in microseconds: with 16 concurrent requests (the slots in the settings) it serves
/// 4,000 a second.
const RESPONSE_US: f64 = 4_000.0;
/// Network round trip.
const NETWORK_US: Micros = 600;
/// Connect timeout, as given on the operators' page.
const CONNECT_TIMEOUT: Micros = 200_000;
/// Idle time after which servers close a connection.
const KEEPALIVE: Micros = 15 * SECOND;
/// Share of its capacity that a restarted server has at once, and the time in which it would gain all of it from
/// zero.
const COLD_SHARE: f64 = 0.25;
const SLOW_START: Micros = 18 * SECOND;
/// Minimum and maximum delay until discovery reports a restart.
const DISCOVERY_DELAY: (Micros, Micros) = (800_000, 3 * SECOND);
/// Number of keys, and the exponent of their Zipf distribution.
const KEYS: f64 = 44_000.0;
const ZIPF: f64 = 0.9;
/// Minimum and maximum time that clients wait, as a share of their class's deadline.
const CLIENT_TIMEOUT_SHARE: (f64, f64) = (0.5, 0.6);

/// The fault of the first server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The server and its host do not respond from `begins` on; at `ends` it continues as before.
    Silent,
    /// The server's process restarts at `begins`: connections break, it is cold, and discovery reports the new start
    /// time.
    Restarted,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Nodes of the fleet, as given in the settings.
    pub nodes: u32,
    /// Number of cache servers.
    pub servers: usize,
    /// Number of zones that the servers are spread over.
    pub zones: usize,
    /// Requests per second of this node.
    pub rate: f64,
    /// The fault of the first server.
    pub fault: Fault,
    /// Start of the fault.
    pub fault_start: Micros,
    /// End of the fault.
    pub fault_end: Micros,
    /// End of the simulation.
    pub length: Micros,
}

/// Load from this node on the server with the fault.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Attempts sent to it, by time bin.
    pub requests: Vec<u32>,
    /// New connections attempted, by time bin.
    pub connections: Vec<u32>,
    /// Time from the start of the fault until the node first opened the server's breaker, if it did.
    pub opened_after: Option<Micros>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival,
    AttemptEnd { number: u64, attempt: u32 },
    Timer,
    DiscoveryUpdate,
}

/// An attempt in flight.
struct Attempt {
    server: usize,
    sent: Micros,
    status: Status,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    balancer: Balancer,
    classes: Vec<ClientClass>,
    random: Xoshiro256PlusPlus,
    now: Micros,
    sequence: u64,
    /// Popularity of the keys.
    key_popularity: Option<Zipf<f64>>,
    queue: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    /// Attempts of each request in flight.
    in_flight: HashMap<u64, Vec<Attempt>>,
    indices: HashMap<ServerId, usize>,
    /// For each server, the times since which its idle connections have been idle.
    idle: Vec<Vec<Micros>>,
    next_number: u64,
    load: ServerLoad,
}

/// Simulates one node. Equal scenarios and seeds give equal results.
pub fn simulate(scenario: &Scenario, seed: u64) -> ServerLoad {
    let mut simulation = Simulation::new(scenario, seed);
    simulation
        .handle_event(Event::Restored((0..scenario.servers).map(|i| entry(scenario, i, None)).collect()));
    simulation.schedule(0, SimEvent::Arrival);
    if scenario.fault == Fault::Restarted {
        let delay = simulation.random.random_range(DISCOVERY_DELAY.0..DISCOVERY_DELAY.1);
        simulation.schedule(scenario.fault_start + delay, SimEvent::DiscoveryUpdate);
    }
    while let Some(Reverse((at, _, event))) = simulation.queue.pop() {
        if at >= scenario.length {
            break;
        }
        simulation.now = at;
        simulation.step(event);
    }
    simulation.load
}

fn entry(scenario: &Scenario, index: usize, started: Option<Timestamp>) -> ServerEntry {
    let zone = format!("zone-{}", index % scenario.zones.max(1));
    ServerEntry { zone: Some(zone.as_str().into()), started, ..ServerEntry::new(&format!("s-{index:04}")) }
}

fn request_number(id: &RequestId) -> u64 {
    id.as_str().parse().unwrap_or(u64::MAX)
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let classes = clients::client_classes();
        let settings = Settings {
            zone: Some("zone-0".into()),
            nodes: scenario.nodes,
            classes: classes.iter().map(|class| class.config.clone()).collect(),
            nominal_weights: false,
            max_attempts: 5,
            max_retry_after: Duration::from_secs(2),
            connect_timeout: Duration::from_micros(CONNECT_TIMEOUT),
            keepalive: Duration::from_micros(KEEPALIVE),
            cold_share: COLD_SHARE,
            warm_within: Duration::from_micros(SLOW_START),
            overload_multiple: 3.0,
            overload_window: Duration::from_millis(1_500),
            ..Settings::default()
        };
        let bins = (scenario.length / BIN) as usize + 1;
        let index = |i: usize| (entry(scenario, i, None).id, i);
        Self {
            scenario,
            balancer: Balancer::new(settings, seed),
            classes,
            random: draw::stream(seed, Stream::Requests),
            now: 0,
            sequence: 0,
            key_popularity: Zipf::new(KEYS, ZIPF).ok(),
            queue: BinaryHeap::new(),
            in_flight: HashMap::new(),
            indices: (0..scenario.servers).map(index).collect(),
            idle: vec![Vec::new(); scenario.servers],
            next_number: 0,
            load: ServerLoad { requests: vec![0; bins], connections: vec![0; bins], opened_after: None },
        }
    }

    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.on_arrival(),
            SimEvent::AttemptEnd { number, attempt } => self.on_attempt_end(number, attempt),
            SimEvent::Timer => self.handle_event(Event::Timer),
            SimEvent::DiscoveryUpdate => {
                let started = Timestamp::from_micros(EPOCH + self.scenario.fault_start);
                let restarted = entry(self.scenario, 0, Some(started));
                self.handle_event(Event::Servers(ServerList::Changes([restarted].into())));
            }
        }
    }

    fn on_arrival(&mut self) {
        let interval = draw::exponential_us(&mut self.random, SECOND as f64 / self.scenario.rate).max(1);
        self.schedule(self.now + interval, SimEvent::Arrival);
        let mut remaining =
            self.random.random::<f64>() * self.classes.iter().map(|class| class.share).sum::<f64>();
        let class = self.classes.iter().position(|class| {
            remaining -= class.share;
            remaining < 0.0
        });
        let class = class.unwrap_or(0);
        let deadline = micros(self.classes[class].config.deadline) as f64;
        let client_timeout =
            deadline * self.random.random_range(CLIENT_TIMEOUT_SHARE.0..CLIENT_TIMEOUT_SHARE.1);
        let key =
            self.key_popularity.as_ref().map_or(0.0, |distribution| distribution.sample(&mut self.random))
                as u64;
        let number = self.next_number;
        self.next_number += 1;
        self.in_flight.insert(number, Vec::new());
        let until = Timestamp::from_micros(EPOCH + self.now + client_timeout as Micros);
        self.handle_event(Event::Request(Request {
            class: Some(ClassId(class)),
            key: Some(key),
            expected_work: Some(Duration::from_micros(RESPONSE_US as Micros)),
            write: self.classes[class].write,
            ..Request::new(&number.to_string(), until)
        }));
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(Timestamp::from_micros(EPOCH + self.now), event, &mut actions);
        for action in actions {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout, .. } => self.send(request_number(&id), &server, timeout),
            Action::Refuse { id, .. } | Action::Fail { id, .. } => {
                drop(self.in_flight.remove(&request_number(&id)))
            }
            Action::Wake { after } => self.schedule(self.now + micros(after).max(1), SimEvent::Timer),
            Action::Close { server } => {
                if let Some(&index) = self.indices.get(&server) {
                    self.idle[index].clear();
                }
            }
            Action::Log(text) => self.observe_log(&text),
            Action::Cancel { .. } | Action::Probe { .. } | Action::Subscribe => {}
        }
    }

    /// Detects from the log that the breaker of the server, or of its zone, has opened.
    fn observe_log(&mut self, text: &str) {
        let opened = text == "breaker of s-0000 tripped" || text == "zone zone-0 fails as a whole";
        if opened && self.now >= self.scenario.fault_start && self.load.opened_after.is_none() {
            self.load.opened_after = Some(self.now - self.scenario.fault_start);
        }
    }

    fn is_silent(&self, server: usize) -> bool {
        let Scenario { fault, fault_start, fault_end, .. } = *self.scenario;
        server == 0 && fault == Fault::Silent && (fault_start..fault_end).contains(&self.now)
    }

    /// Takes an idle connection, if it is still open. If it is not, drops all idle connections of the server.
    fn take_idle_connection(&mut self, server: usize) -> bool {
        let restarted = server == 0 && self.scenario.fault == Fault::Restarted;
        let broken = restarted.then_some(self.scenario.fault_start).filter(|&at| at <= self.now);
        let idle = &mut self.idle[server];
        let (now, since) = (self.now, idle.pop());
        let reused = since.is_some_and(|since| now < since + KEEPALIVE && broken.is_none_or(|at| at < since));
        if !reused {
            idle.clear();
        }
        reused
    }

    fn send(&mut self, number: u64, server: &ServerId, timeout: Duration) {
        let Some(&index) = self.indices.get(server) else { return };
        let reused = self.take_idle_connection(index);
        if index == 0 {
            let bin = (self.now / BIN) as usize;
            self.load.requests[bin] += 1;
            self.load.connections[bin] += u32::from(!reused);
        }
        let timeout = micros(timeout).max(1);
        let (status, duration) = match (self.is_silent(index), reused) {
            (true, true) => (Status::TimedOut, timeout),
            (true, false) => (Status::ConnectError, timeout.min(CONNECT_TIMEOUT)),
            (false, _) => self.respond(index, reused, timeout),
        };
        let Some(attempts) = self.in_flight.get_mut(&number) else { return };
        attempts.push(Attempt { server: index, sent: self.now, status });
        let attempt = attempts.len() as u32 - 1;
        self.schedule(self.now + duration, SimEvent::AttemptEnd { number, attempt });
    }

    /// Response of a working server. A cold server takes longer in inverse proportion to its share of full capacity.
    fn respond(&mut self, server: usize, reused: bool, timeout: Micros) -> (Status, Micros) {
        let restarted = server == 0 && self.scenario.fault == Fault::Restarted;
        let age = self.now.checked_sub(self.scenario.fault_start).filter(|_| restarted);
        let capacity = age.map_or(1.0, |age| (COLD_SHARE + age as f64 / SLOW_START as f64).min(1.0));
        let work = draw::lognormal(&mut self.random, RESPONSE_US, 1.0) / capacity;
        let duration = work as Micros + if reused { NETWORK_US } else { 2 * NETWORK_US };
        match duration < timeout {
            true => (Status::Ok, duration),
            false => (Status::TimedOut, timeout),
        }
    }

    fn on_attempt_end(&mut self, number: u64, attempt: u32) {
        let Some(attempts) = self.in_flight.get(&number) else { return };
        let Some(&Attempt { server, sent, status }) = attempts.get(attempt as usize) else { return };
        if status == Status::Ok {
            self.idle[server].push(self.now);
            self.in_flight.remove(&number);
        }
        let id = RequestId::from(number.to_string().as_str());
        let server = entry(self.scenario, server, None).id;
        let took = Duration::from_micros(self.now - sent);
        let (finished, load) = (status == Status::Ok, LoadReport::default());
        let outcome = Outcome { id, attempt, server, status, cache_status: None, took, finished, load };
        self.handle_event(Event::Outcome(outcome));
    }
}
