//! The virtual driver: the model, any number of decision modules and the network between them, in simulated time on one
//! thread. The same experiment, arm and seed give the same run.

use crate::draw::{self, Stream};
use crate::experiment::{Arm, Experiment, Trouble, What};
use crate::judge::{End, Record, Result};
use crate::model::clients::{self, Ask, Kind};
use crate::model::origin::{Begun, Origin, OriginParts};
use crate::model::server::{Does, Job, Said, Server, ServerParts};
use crate::model::{micros, Micros, SECOND};
use crate::policies::{self, Decisions};
use std::cmp::Reverse;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BinaryHeap, HashMap};
use std::hash::{Hash, Hasher};
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;
use walkpick::{
    Action, Availability, ClassId, Effect, Event as NodeEvent, LoadReport, Name, Note, Outcome, Request,
    RequestId, ServerEntry, ServerId, ServerList, Settings, Status, Timestamp,
};

/// Nothing counts before this: memories fill, and nodes meet their servers.
pub const LEAD: Micros = 10 * SECOND;
/// After the last arrival a run goes on until all is answered.
const TAIL: Micros = 12 * SECOND;
/// Nodes' clocks begin here, so that a server may have started before the run.
const EPOCH: Micros = 1_000 * SECOND;
/// From a client to a node, and within or across zones, one way.
const CLIENT_US: f64 = 600.0;
const NEAR_US: f64 = 170.0;
const FAR_US: f64 = 400.0;
/// A node leaves this much of a client's time for the answer's way back, and has this much for its own last word.
const MARGIN: Micros = 5_000;
const GUARD: Micros = 4_000;
/// Rule on drains: this long after a node was told, nothing new.
const DRAIN_GRACE: Micros = 250_000;
/// Rule on cold servers: it is broken where this part of the work came from nodes that knew of the start.
const TOLD_PART: f64 = 2.0 / 3.0;
const CONNECT_TIMEOUT: Micros = 200_000;
const KEEPALIVE: Micros = 15 * SECOND;
const WEIGHTS_EVERY: Micros = 1_100_000;
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

type Ticket = usize;
type SendId = usize;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Try { ask: usize },
    AtNode(Ticket),
    Guard(Ticket),
    GivesUp(Ticket),
    ClientSees { ticket: Ticket, end: End },
    NodeTimer { node: usize, life: u32 },
    Refused(SendId),
    AtServer(SendId),
    Waits(SendId),
    Answered { send: SendId, said: Said },
    ServerWakes { server: usize, life: u32, turn: u64 },
    OriginEnds { server: usize, life: u32, job: u64 },
    Told { node: usize, life: u32, change: usize },
    Weights,
    Fault { trouble: usize, begins: bool, step: usize },
}

struct Node {
    decisions: Option<Box<dyn Decisions>>,
    zone: usize,
    /// Counts restarts: what was under way in an earlier life is nobody's.
    life: u32,
    /// The list as its agent holds it.
    list: HashMap<ServerId, ServerEntry>,
    /// When it was told that a server drains or is gone.
    off: HashMap<usize, Micros>,
    /// Idle connections by server: since when each has stood so.
    idle: HashMap<usize, Vec<Micros>>,
    /// When it last died; the front sees it late.
    died: Option<Micros>,
    last_told: Micros,
}

struct Machine {
    id: ServerId,
    zone: usize,
    server: Server,
    life: u32,
    silent: bool,
    availability: Availability,
    erring: Vec<(Option<usize>, f64)>,
    entry: ServerEntry,
}

struct Try {
    ask: usize,
    node: usize,
    life: u32,
    until: Micros,
    answered: bool,
    seen: bool,
    sends: Vec<SendId>,
    runs: u32,
}

struct Sent {
    ticket: Ticket,
    attempt: u32,
    server: usize,
    life: u32,
    at: Micros,
    ended: bool,
    fresh: bool,
    reached: bool,
    may_have_run: bool,
    used: bool,
    work_us: f64,
}

/// A run under way.
pub struct World<'a> {
    experiment: &'a Experiment,
    arm: &'a Arm,
    seed: u64,
    kinds: Vec<Kind>,
    settings: Settings,
    zones: Vec<Name>,
    asks: Vec<Ask>,
    tries: Vec<u32>,
    now: Micros,
    count: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Next)>>,
    nodes: Vec<Node>,
    machines: Vec<Machine>,
    by_id: HashMap<ServerId, usize>,
    origin: Origin,
    tickets: Vec<Try>,
    sends: Vec<Sent>,
    /// What discovery has told, in its order.
    changes: Vec<Arc<[ServerEntry]>>,
    late: f64,
    record: Record,
}

/// Mass of the first `first` of `all` objects whose popularity follows Zipf's law.
fn popular_mass(first: f64, all: f64, zipf: f64) -> f64 {
    let sum = |n: f64| (1..=n as u64).map(|rank| (rank as f64).powf(-zipf)).sum::<f64>();
    sum(first.min(all)) / sum(all).max(1e-9)
}

impl<'a> World<'a> {
    /// A run that has not begun.
    pub fn new(experiment: &'a Experiment, arm: &'a Arm, seed: u64) -> Self {
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
        };
        let asks = clients::arrivals(seed, LEAD + micros(experiment.length), &load, &kinds);
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
            sized: false,
            max_attempts: MOST_ATTEMPTS,
            second_copies: true,
            cancelling: true,
            max_retry_after: Duration::from_secs(2),
            connect_timeout: Duration::from_micros(CONNECT_TIMEOUT),
            keepalive: Duration::from_micros(KEEPALIVE),
            cold_share: parts.cold_share,
            warm_within: parts.warm,
            fall_multiple: FALL_MULTIPLE,
            fall_span: Duration::from_micros(FALL_SPAN),
            ..Settings::default()
        };
        let (tries, record) = (vec![0; asks.len()], Record::new(asks.len()));
        let mut world = Self {
            experiment,
            arm,
            seed,
            kinds,
            settings,
            zones,
            asks,
            tries,
            now: 0,
            count: 0,
            queue: BinaryHeap::new(),
            nodes: Vec::new(),
            machines: Vec::new(),
            by_id: HashMap::new(),
            origin: Origin::new(origin, draw::stream(seed, Stream::Origin)),
            tickets: Vec::new(),
            sends: Vec::new(),
            changes: Vec::new(),
            late: 1.0,
            record,
        };
        world.build(keys as u64);
        world
    }

    fn build(&mut self, keys: u64) {
        let (servers, nodes) = (self.experiment.deployment.servers, self.experiment.deployment.nodes);
        for i in 0..servers as usize {
            self.add_server(i % self.zones.len(), None);
        }
        self.fill_memories(keys);
        for i in 0..nodes as usize {
            let (list, off, idle) = Default::default();
            self.nodes.push(Node {
                decisions: None,
                zone: i % self.zones.len(),
                life: 0,
                list,
                off,
                idle,
                died: None,
                last_told: 0,
            });
            self.start_node(i);
        }
        for ask in 0..self.asks.len() {
            self.at(self.asks[ask].at, Next::Try { ask });
        }
        self.at(WEIGHTS_EVERY, Next::Weights);
        if !self.arm.no_faults {
            for (trouble, fault) in self.experiment.fault.iter().enumerate() {
                let (from, to) = (LEAD + micros(fault.from), LEAD + micros(fault.to));
                self.at(from, Next::Fault { trouble, begins: true, step: 0 });
                self.at(to, Next::Fault { trouble, begins: false, step: 0 });
            }
        }
    }

    /// Servers hold what they were asked for lately: each object where a module of this arm sends it, the most popular
    /// ones last.
    fn fill_memories(&mut self, keys: u64) {
        let mut module = policies::build(self.arm.policy, self.settings.clone(), self.seed);
        let entries: Vec<_> = self.machines.iter().map(|machine| machine.entry.clone()).collect();
        let (mut now, mut actions) = (0, Vec::new());
        module.handle(Timestamp::from_micros(now), NodeEvent::Restored(entries.into()), &mut actions);
        for rank in (1..=keys).rev() {
            let key = draw::unit(0, Stream::Requests, rank % keys).to_bits();
            let (id, valid_until) =
                (RequestId::from(rank.to_string().as_str()), Timestamp::from_micros(now + SECOND));
            let request =
                Request { class: Some(ClassId(0)), key: Some(key), ..Request::new(id.as_str(), valid_until) };
            actions.clear();
            module.handle(Timestamp::from_micros(now), NodeEvent::Request(request), &mut actions);
            now += 1_000;
            let sent = actions.iter().find_map(|action| match action {
                Action::Send { server, .. } => Some(server.clone()),
                _ => None,
            });
            let Some(server) = sent else { continue };
            if let Some(&place) = self.by_id.get(&server) {
                self.machines[place].server.keep(key);
            }
            let (took, load) = (Duration::from_millis(1), LoadReport::default());
            let (status, note) = (Status::Ok, Some(Note::Hit));
            let outcome = Outcome { id, attempt: 0, server, status, note, took, finished: true, load };
            module.handle(Timestamp::from_micros(now), NodeEvent::Outcome(outcome), &mut actions);
        }
    }

    /// Adds a server to the machines; the lists tell of it when `publish` does.
    fn add_server(&mut self, zone: usize, started: Option<Micros>) -> usize {
        let i = self.machines.len();
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
        // Ids tell nothing of zone, kind or age.
        let name = format!("s-{:08x}", (unit(3) * f64::from(u32::MAX)) as u32);
        let id = ServerId::from(name.as_str());
        let entry = ServerEntry {
            zone: Some(self.zones[zone].clone()),
            kind: Some("std".into()),
            started: started.map(|at| Timestamp::from_micros(EPOCH + at)),
            ..ServerEntry::new(&name)
        };
        self.by_id.insert(id.clone(), i);
        self.machines.push(Machine {
            id,
            zone,
            server: Server::new(parts, started),
            life: 0,
            silent: false,
            availability: Availability::Ready,
            erring: Vec::new(),
            entry,
        });
        i
    }

    fn start_node(&mut self, i: usize) {
        let settings =
            Settings { zone: Some(self.zones[self.nodes[i].zone].clone()), ..self.settings.clone() };
        let seed = self.seed
            ^ ((i as u64) << 32 | u64::from(self.nodes[i].life)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let node = &mut self.nodes[i];
        node.decisions = Some(policies::build(self.arm.policy, settings, seed));
        node.died = None;
        if node.list.is_empty() {
            let ready = self.machines.iter().filter(|m| m.availability != Availability::Gone);
            node.list = ready.map(|m| (m.id.clone(), m.entry.clone())).collect();
        }
        let mut known: Vec<_> = node.list.values().cloned().collect();
        known.sort_by(|a, b| a.id.cmp(&b.id));
        self.feed(i, NodeEvent::Restored(known.into()));
    }

    fn at(&mut self, at: Micros, next: Next) {
        self.count += 1;
        self.queue.push(Reverse((at.max(self.now), self.count, next)));
    }

    /// A way through the network, drawn for `what` alone.
    fn latency(&self, mean_us: f64, what: u64) -> Micros {
        (mean_us * (0.85 + 0.4 * draw::unit(self.seed, Stream::Network, what))) as Micros
    }

    fn way(&self, node: usize, server: usize, what: u64) -> Micros {
        let far = self.nodes[node].zone != self.machines[server].zone;
        self.latency(if far { FAR_US } else { NEAR_US }, what)
    }

    /// Runs to the end and judges.
    pub fn run(mut self, name: &str) -> Result {
        let end = LEAD + micros(self.experiment.length) + TAIL;
        while let Some(Reverse((at, _, next))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(next);
        }
        self.record.origin_falls = self.origin.falls().into();
        for sent in self.sends.iter().filter(|sent| sent.may_have_run) {
            self.record.work_us.0 += sent.work_us;
            self.record.work_us.1 += if sent.used { 0.0 } else { sent.work_us };
        }
        let (figures, series) = self.record.figures(&self.asks, &self.kinds, LEAD);
        let mut drawn = DefaultHasher::new();
        for ask in &self.asks {
            (ask.at, ask.key, ask.kind, ask.zone, ask.work_us.to_bits(), ask.patience).hash(&mut drawn);
        }
        Result {
            experiment: self.experiment.name.clone(),
            arm: name.to_owned(),
            seed: self.seed,
            version: env!("CARGO_PKG_VERSION"),
            requests: self.asks.len(),
            draws: format!("{:016x}", drawn.finish()),
            checks: crate::judge::check(self.experiment, name, &figures),
            figures,
            rules_broken: self.record.broken().to_vec(),
            series,
        }
    }

    fn step(&mut self, next: Next) {
        match next {
            Next::Try { ask } => self.client_sends(ask),
            Next::AtNode(ticket) => self.at_node(ticket),
            Next::Guard(ticket) => self.guard(ticket),
            Next::GivesUp(ticket) => self.client_sees(ticket, End::None),
            Next::ClientSees { ticket, end } => self.client_sees(ticket, end),
            Next::NodeTimer { node, life } => {
                if self.nodes[node].life == life {
                    self.feed(node, NodeEvent::Timer);
                }
            }
            Next::Refused(send) => self.outcome(send, Status::ConnectError, None),
            Next::AtServer(send) => self.at_server(send),
            Next::Waits(send) => {
                let status = if self.sends[send].reached { Status::TimedOut } else { Status::ConnectError };
                self.outcome(send, status, None);
            }
            Next::Answered { send, said } => self.answered(send, said),
            Next::ServerWakes { server, life, turn } => {
                if self.machines[server].life == life && !self.machines[server].silent {
                    let mut does = Vec::new();
                    self.machines[server].server.wakes(self.now, turn, &mut does);
                    self.server_does(server, does);
                }
            }
            Next::OriginEnds { server, life, job } => self.origin_ends(server, life, job),
            Next::Told { node, life, change } => self.told(node, life, change),
            Next::Weights => self.renew_weights(),
            Next::Fault { trouble, begins, step } => self.fault(trouble, begins, step),
        }
    }

    // Clients and the front.

    fn client_sends(&mut self, ask: usize) {
        let number = self.tries[ask];
        self.tries[ask] += 1;
        self.record.tries += 1;
        let notice = micros(self.experiment.deployment.front_notice);
        let in_use = |node: &Node| node.died.is_none_or(|died| self.now < died + notice);
        let zone = self.asks[ask].zone;
        let mut among: Vec<_> =
            (0..self.nodes.len()).filter(|&i| in_use(&self.nodes[i]) && self.nodes[i].zone == zone).collect();
        if among.is_empty() {
            among = (0..self.nodes.len()).filter(|&i| in_use(&self.nodes[i])).collect();
        }
        let until = self.now + self.asks[ask].patience;
        let ticket = self.tickets.len();
        let dealt = draw::unit(self.seed, Stream::Front, (ask as u64) << 8 | u64::from(number));
        let node = among.get((dealt * among.len() as f64) as usize).copied();
        let life = node.map_or(0, |node| self.nodes[node].life);
        let (answered, seen, sends, runs) = Default::default();
        self.tickets.push(Try { ask, node: node.unwrap_or(0), life, until, answered, seen, sends, runs });
        let way = self.latency(CLIENT_US, ticket as u64);
        match node {
            Some(node) if self.nodes[node].died.is_none() => self.at(self.now + way, Next::AtNode(ticket)),
            // Refused by the machine of a process that is gone.
            _ => self.at(self.now + 2 * way, Next::ClientSees { ticket, end: End::Failed }),
        }
        self.at(until, Next::GivesUp(ticket));
    }

    fn client_sees(&mut self, ticket: Ticket, end: End) {
        let held = &mut self.tickets[ticket];
        if std::mem::replace(&mut held.seen, true) {
            return;
        }
        let ask = held.ask;
        self.record.end(ask, end, self.now);
        if end == End::Served || self.tries[ask] > self.experiment.load.retries {
            return;
        }
        let again = self.now + micros(self.experiment.load.backoff).max(1);
        let deadline = self.asks[ask].at + micros(self.kinds[self.asks[ask].kind].class.deadline);
        if again < deadline {
            self.at(again, Next::Try { ask });
        }
    }

    // Nodes.

    fn alive(&self, ticket: Ticket) -> bool {
        let node = &self.nodes[self.tickets[ticket].node];
        node.died.is_none() && node.life == self.tickets[ticket].life
    }

    fn at_node(&mut self, ticket: Ticket) {
        if !self.alive(ticket) {
            let way = self.latency(CLIENT_US, ticket as u64);
            return self.at(self.now + way, Next::ClientSees { ticket, end: End::Failed });
        }
        let (ask, until) = (&self.asks[self.tickets[ticket].ask], self.tickets[ticket].until);
        let valid_until = until.saturating_sub(MARGIN);
        let request = Request {
            class: Some(ClassId(ask.kind)),
            key: Some(ask.key),
            expected_work: Some(Duration::from_micros(ask.hint_us as Micros)),
            write: self.kinds[ask.kind].write,
            client_retry: self.tries[self.tickets[ticket].ask] > 1,
            ..Request::new(&ticket.to_string(), Timestamp::from_micros(EPOCH + valid_until))
        };
        self.at(valid_until + GUARD, Next::Guard(ticket));
        self.feed(self.tickets[ticket].node, NodeEvent::Request(request));
    }

    /// By now a node that lives has given its answer.
    fn guard(&mut self, ticket: Ticket) {
        if self.alive(ticket) && !self.tickets[ticket].answered {
            self.tickets[ticket].answered = true;
            self.record.breaks(self.now, "final-answer", || format!("request {ticket} was never answered"));
            self.feed(self.tickets[ticket].node, NodeEvent::Abandoned(id_of(ticket)));
        }
    }

    fn feed(&mut self, node: usize, event: NodeEvent) {
        let Some(mut decisions) = self.nodes[node].decisions.take() else { return };
        let mut actions = Vec::new();
        decisions.handle(Timestamp::from_micros(EPOCH + self.now), event, &mut actions);
        self.nodes[node].decisions = Some(decisions);
        for action in actions {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(node, ticket_of(&id), &server, timeout),
            Action::Refuse { id, .. } => self.answer(ticket_of(&id), End::Refused),
            Action::Fail { id } => self.answer(ticket_of(&id), End::Failed),
            Action::Wake { after } => {
                let life = self.nodes[node].life;
                self.at(self.now + micros(after).max(1), Next::NodeTimer { node, life });
            }
            Action::Close { server } => {
                let server = self.by_id.get(&server).copied().unwrap_or(usize::MAX);
                let closed = self.nodes[node].idle.remove(&server).unwrap_or_default().len();
                if let Some(machine) = self.machines.get_mut(server) {
                    machine.server.connections = machine.server.connections.saturating_sub(closed);
                }
            }
            Action::Cancel { .. } | Action::Probe { .. } | Action::Follow | Action::Log(_) => {}
        }
    }

    fn answer(&mut self, ticket: Ticket, end: End) {
        if std::mem::replace(&mut self.tickets[ticket].answered, true) {
            return self
                .record
                .breaks(self.now, "final-answer", || format!("request {ticket} was answered twice"));
        }
        let way = self.latency(CLIENT_US, ticket as u64 ^ 1 << 40);
        self.at(self.now + way, Next::ClientSees { ticket, end });
    }

    fn send(&mut self, node: usize, ticket: Ticket, server: &ServerId, timeout: Duration) {
        let Some(&server) = self.by_id.get(server) else { return };
        let ask = &self.asks[self.tickets[ticket].ask];
        let (work_us, kind) = (ask.work_us, ask.kind);
        self.judge_send(node, ticket, server, kind);
        let idle = self.nodes[node].idle.entry(server).or_default();
        let kept = idle.pop().filter(|since| self.now < since + KEEPALIVE);
        let machine = &mut self.machines[server];
        let fresh = kept.is_none();
        if fresh {
            // Those that stood longer are past their time as well.
            machine.server.connections = machine.server.connections.saturating_sub(idle.len());
            idle.clear();
        }
        let (silent, gone) =
            (machine.silent || machine.server.fallen(), machine.availability == Availability::Gone);
        let refused = fresh && !silent && (gone || !machine.server.accepts());
        let (attempt, send) = (self.tickets[ticket].sends.len() as u32, self.sends.len());
        self.record.attempts += 1;
        self.record.crossings += u64::from(self.nodes[node].zone != self.machines[server].zone);
        self.record.connections += u64::from(fresh && !refused && !silent);
        if fresh && !refused && !silent {
            self.machines[server].server.connections += 1;
        }
        let until = (self.now + micros(timeout)).min(self.tickets[ticket].until.saturating_sub(MARGIN));
        self.sends.push(Sent {
            ticket,
            attempt,
            server,
            life: self.nodes[node].life,
            at: self.now,
            ended: false,
            fresh,
            // On a kept connection the request is out of the node's hands at once.
            reached: !fresh,
            may_have_run: false,
            used: false,
            work_us,
        });
        self.tickets[ticket].sends.push(send);
        let way = self.way(node, server, (ticket as u64) << 8 | u64::from(attempt));
        if refused {
            return self.at(self.now + 2 * way, Next::Refused(send));
        }
        self.at(until.max(self.now + 1), Next::Waits(send));
        if silent && fresh {
            return self.at((self.now + CONNECT_TIMEOUT).min(until), Next::Refused(send));
        }
        self.at(self.now + if fresh { 3 * way } else { way }, Next::AtServer(send));
    }

    /// The rules on drains and on sending again, as the lab sees them.
    fn judge_send(&mut self, node: usize, ticket: Ticket, server: usize, kind: usize) {
        let told = self.nodes[node].off.get(&server).copied();
        if let Some(told) = told.filter(|told| self.now > told + DRAIN_GRACE) {
            let after = (self.now - told) / 1_000;
            let name = &self.machines[server].id;
            self.record.breaks(self.now, "drain", || {
                format!("request {ticket} went to {name} {after} ms after n{node} was told that it drains or is gone")
            });
        }
        let earlier = self.tickets[ticket].sends.iter().map(|&send| &self.sends[send]);
        let first = earlier.filter(|sent| !sent.ended || sent.may_have_run).map(|sent| sent.at).min();
        let Some(first) = first else { return };
        let class = &self.kinds[kind].class;
        let allowed = match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { window, .. } => self.now < first + micros(window),
        };
        if !allowed {
            let name = class.name.as_str();
            self.record.breaks(self.now, "resend", || {
                format!("request {ticket} ({name}) was sent again by n{node} though it may have run")
            });
        }
    }

    /// An attempt has ended for its node, if it was still out.
    fn outcome(&mut self, send: SendId, status: Status, note: Option<Note>) {
        let sent = &mut self.sends[send];
        let (ticket, server, took) = (sent.ticket, sent.server, self.now - sent.at);
        if std::mem::replace(&mut sent.ended, true) {
            return;
        }
        // What was written whole may have run, whatever comes back.
        sent.may_have_run |= matches!(status, Status::TimedOut | Status::Reset | Status::Failed);
        let (attempt, life) = (sent.attempt, sent.life);
        let node = self.tickets[ticket].node;
        if self.nodes[node].life != life || self.nodes[node].died.is_some() {
            return;
        }
        match status {
            Status::Ok | Status::Failed | Status::QueueFull => {
                self.nodes[node].idle.entry(server).or_default().push(self.now);
            }
            // Given up: its connection closes.
            _ => {
                let machine = &mut self.machines[server].server;
                machine.connections = machine.connections.saturating_sub(1);
            }
        }
        if status == Status::Ok && !self.tickets[ticket].answered {
            self.sends[send].used = true;
            self.answer(ticket, End::Served);
            let write = self.kinds[self.asks[self.tickets[ticket].ask].kind].write;
            if !write {
                self.record.reads.0 += 1;
                self.record.reads.1 += u64::from(note == Some(Note::Miss));
            }
        }
        let finished = self.tickets[ticket].answered;
        let (id, server) = (id_of(ticket), self.machines[server].id.clone());
        let (took, load) = (Duration::from_micros(took), LoadReport::default());
        self.feed(
            node,
            NodeEvent::Outcome(Outcome { id, attempt, server, status, note, took, finished, load }),
        );
    }

    // Servers and the origin.

    fn at_server(&mut self, send: SendId) {
        let sent = &mut self.sends[send];
        sent.reached = true;
        let (server, ticket, fresh, work_us) = (sent.server, sent.ticket, sent.fresh, sent.work_us);
        let machine = &mut self.machines[server];
        if machine.silent || machine.server.fallen() {
            return;
        }
        if machine.availability != Availability::Ready {
            let way = self.way(self.tickets[ticket].node, server, send as u64);
            let said = Said::Full;
            return self.at(self.now + way, Next::Answered { send, said });
        }
        let ask = &self.asks[self.tickets[ticket].ask];
        let unit =
            draw::unit(self.seed, Stream::Errors, (ticket as u64) << 8 | u64::from(self.sends[send].attempt));
        let spoilt = machine
            .erring
            .iter()
            .any(|(kind, part)| kind.is_none_or(|kind| kind == ask.kind) && unit < *part);
        let held = &self.nodes[self.tickets[ticket].node].list;
        let told = held.get(&machine.id).is_some_and(|entry| entry.started == machine.entry.started);
        let job = Job {
            id: send as u64,
            key: ask.key,
            work_us,
            write: self.kinds[ask.kind].write,
            fresh,
            spoilt,
            told,
        };
        let mut does = Vec::new();
        machine.server.take(self.now, job, &mut does);
        self.server_does(server, does);
    }

    fn server_does(&mut self, server: usize, does: Vec<Does>) {
        let life = self.machines[server].life;
        for does in does {
            match does {
                Does::Says { job, said } => {
                    let send = job as usize;
                    let way = self.way(self.tickets[self.sends[send].ticket].node, server, job ^ 1 << 41);
                    // An error comes a little later than at once.
                    let way = way + if said == Said::Error { 3_000 } else { 0 };
                    self.at(self.now + way, Next::Answered { send, said });
                }
                Does::Runs(job) => self.runs(job as usize),
                Does::Asks { job } => {
                    let fetch = (server as u64) << 40 | job;
                    self.asks_origin(fetch);
                }
                Does::Voids(key) => self.machines.iter_mut().for_each(|machine| machine.server.void(key)),
                Does::Wakes { at, turn } => self.at(at, Next::ServerWakes { server, life, turn }),
                Does::Falls { told } => {
                    self.record.cold_falls += 1;
                    let name = &self.machines[server].id;
                    if told >= TOLD_PART {
                        let what = || format!("{name} was pushed over while cold");
                        self.record.breaks(self.now, "cold-server", what);
                    }
                }
            }
        }
    }

    fn runs(&mut self, send: SendId) {
        self.sends[send].may_have_run = true;
        let ticket = self.sends[send].ticket;
        self.tickets[ticket].runs += 1;
        let kind = &self.kinds[self.asks[self.tickets[ticket].ask].kind];
        if kind.class.effect == Effect::Unsafe && self.tickets[ticket].runs > 1 {
            let name = kind.class.name.as_str();
            self.record.breaks(self.now, "resend", || format!("request {ticket} ({name}) ran twice"));
        }
    }

    fn asks_origin(&mut self, fetch: u64) {
        let mut begun = Vec::new();
        self.origin.ask(self.now, fetch, &mut begun);
        self.origin_begins(begun);
    }

    fn origin_begins(&mut self, begun: Vec<Begun>) {
        for Begun { fetch, at } in begun {
            let (server, job) = ((fetch >> 40) as usize, fetch & ((1 << 40) - 1));
            let life = self.machines[server].life;
            self.at(at, Next::OriginEnds { server, life, job });
        }
    }

    fn origin_ends(&mut self, server: usize, life: u32, job: u64) {
        let mut begun = Vec::new();
        let done = self.origin.end(self.now, &mut begun);
        self.origin_begins(begun);
        let machine = &mut self.machines[server];
        if machine.life == life && !machine.silent {
            let mut does = Vec::new();
            machine.server.fetched(self.now, job, done, &mut does);
            self.server_does(server, does);
        }
    }

    fn answered(&mut self, send: SendId, said: Said) {
        let (status, note) = match said {
            Said::Hit => (Status::Ok, Some(Note::Hit)),
            Said::Miss => (Status::Ok, Some(Note::Miss)),
            Said::Error => (Status::Failed, None),
            Said::Full => (Status::QueueFull, None),
        };
        self.outcome(send, status, note);
    }

    // Discovery.

    /// Tells all nodes of changed entries, each in its own time and in order.
    fn publish(&mut self, entries: Vec<ServerEntry>) {
        let change = self.changes.len();
        self.changes.push(entries.into());
        let (least, most) = (
            self.experiment.deployment.notice_least,
            self.experiment.deployment.notice_most.as_micros() as f64,
        );
        let least = least.as_micros() as f64;
        for node in 0..self.nodes.len() {
            let unit = draw::unit(self.seed, Stream::Lists, (change as u64) << 20 | node as u64);
            let late = (least + unit * (most - least).max(0.0)) * self.late;
            let at = (self.now + late as Micros).max(self.nodes[node].last_told);
            self.nodes[node].last_told = at;
            let life = self.nodes[node].life;
            self.at(at, Next::Told { node, life, change });
        }
    }

    fn told(&mut self, node: usize, life: u32, change: usize) {
        let entries = self.changes[change].clone();
        for entry in entries.iter() {
            let held = &mut self.nodes[node];
            match entry.availability {
                Availability::Gone => drop(held.list.remove(&entry.id)),
                _ => drop(held.list.insert(entry.id.clone(), entry.clone())),
            }
            let Some(&server) = self.by_id.get(&entry.id) else { continue };
            match entry.availability {
                Availability::Ready => drop(held.off.remove(&server)),
                _ => {
                    held.off.entry(server).or_insert(self.now);
                    held.idle.remove(&server);
                }
            }
        }
        // The agent outlives the process; a node that is down hears of it at its start.
        if self.nodes[node].life == life && self.nodes[node].died.is_none() {
            self.feed(node, NodeEvent::Servers(ServerList::Changes(entries)));
        }
    }

    /// Live weights: the nominal size, lowered the more a server holds; the same for all nodes.
    fn renew_weights(&mut self) {
        let mut renewed = Vec::new();
        for machine in &mut self.machines {
            if machine.availability == Availability::Ready {
                let held = machine.server.held() as f64 / self.experiment.deployment.cores;
                machine.entry.weight = 1.0 / (1.0 + held);
                renewed.push(machine.entry.clone());
            }
        }
        self.publish(renewed);
        self.at(self.now + WEIGHTS_EVERY, Next::Weights);
    }

    // Faults.

    /// The servers or nodes that a fault meets: the same in every arm.
    fn met(&self, trouble: usize, of: usize, part: f64) -> Vec<usize> {
        let mut drawn: Vec<_> = (0..of)
            .map(|i| (draw::unit(self.seed, Stream::Faults, (trouble as u64) << 32 | i as u64).to_bits(), i))
            .collect();
        drawn.sort_unstable();
        let mut met: Vec<_> =
            drawn.iter().take((part * of as f64).round() as usize).map(|(_, i)| *i).collect();
        met.sort_unstable();
        met
    }

    fn fault(&mut self, trouble: usize, begins: bool, step: usize) {
        let fault: &Trouble = &self.experiment.fault[trouble];
        let first = self.experiment.deployment.servers as usize;
        match fault.what {
            What::ServerSlow => {
                for server in self.met(trouble, first, fault.part) {
                    let mut does = Vec::new();
                    let times = if begins { fault.size } else { 1.0 };
                    self.machines[server].server.slow(self.now, times, &mut does);
                    self.server_does(server, does);
                }
            }
            What::ServerErring => {
                let kind = fault.class.as_ref();
                let kind = kind.and_then(|c| self.kinds.iter().position(|k| k.class.name.as_str() == c));
                let (size, part) = (fault.size, fault.part);
                for server in self.met(trouble, first, part) {
                    let erring = &mut self.machines[server].erring;
                    match begins {
                        true => erring.push((kind, size)),
                        false => erring.retain(|one| *one != (kind, size)),
                    }
                }
            }
            What::ServerSilent => {
                let met = self.met(trouble, first, fault.part);
                self.silence(met, begins);
            }
            What::ZoneSilent => {
                let met = (0..first).filter(|&i| self.machines[i].zone == self.zones.len() - 1).collect();
                self.silence(met, begins);
            }
            What::ServersReplaced if begins => self.replace_next(trouble, step),
            What::ServersReplaced => {}
            What::NodeKilled => {
                let part = fault.part;
                for node in self.met(trouble, self.nodes.len(), part) {
                    match begins {
                        true => self.kill(node),
                        false => self.start_node(node),
                    }
                }
            }
            What::OriginSlow => self.origin.slow(if begins { fault.size } else { 1.0 }),
            What::DiscoveryLate => self.late = if begins { fault.size } else { 1.0 },
        }
    }

    fn silence(&mut self, met: Vec<usize>, begins: bool) {
        let mut back = Vec::new();
        for server in met {
            let machine = &mut self.machines[server];
            machine.silent = begins;
            machine.life += 1;
            if !begins {
                machine.server = machine.server.restarted(self.now);
                machine.entry.started = Some(Timestamp::from_micros(EPOCH + self.now));
                back.push(machine.entry.clone());
            }
        }
        if !back.is_empty() {
            // Its connections are gone with it.
            let gone: Vec<_> = back.iter().filter_map(|entry| self.by_id.get(&entry.id).copied()).collect();
            for node in &mut self.nodes {
                gone.iter().for_each(|server| drop(node.idle.remove(server)));
            }
            self.publish(back);
        }
    }

    /// Drains one server, replaces it by a new one, and goes on to the next while the fault lasts. Each takes three
    /// steps: draining, then gone, and a new one beside it.
    fn replace_next(&mut self, trouble: usize, step: usize) {
        let fault = &self.experiment.fault[trouble];
        let met = self.met(trouble, self.experiment.deployment.servers as usize, fault.part);
        let Some(&server) = met.get(step / 2) else { return };
        let span = micros(fault.to).saturating_sub(micros(fault.from));
        let pace = span / (2 * met.len()).max(1) as Micros;
        let state = if step.is_multiple_of(2) { Availability::Draining } else { Availability::Gone };
        let machine = &mut self.machines[server];
        (machine.availability, machine.entry.availability) = (state, state);
        let (zone, mut changed) = (machine.zone, vec![machine.entry.clone()]);
        if state == Availability::Gone {
            let new = self.add_server(zone, Some(self.now));
            changed.push(self.machines[new].entry.clone());
        }
        self.publish(changed);
        self.at(self.now + pace.max(1), Next::Fault { trouble, begins: true, step: step + 1 });
    }

    fn kill(&mut self, node: usize) {
        let killed = &mut self.nodes[node];
        killed.decisions = None;
        killed.died = Some(self.now);
        killed.life += 1;
        for (server, idle) in std::mem::take(&mut killed.idle) {
            let machine = &mut self.machines[server].server;
            machine.connections = machine.connections.saturating_sub(idle.len());
        }
        // Its connections are reset: clients see it, after the way back.
        let lost: Vec<_> = (0..self.tickets.len())
            .rev()
            .take_while(|&ticket| self.tickets[ticket].until + 10 * SECOND > self.now)
            .filter(|&ticket| self.tickets[ticket].node == node && !self.tickets[ticket].answered)
            .filter(|&ticket| !self.tickets[ticket].seen)
            .collect();
        for ticket in lost.into_iter().rev() {
            let way = self.latency(CLIENT_US, ticket as u64 ^ 1 << 42);
            self.at(self.now + way, Next::ClientSees { ticket, end: End::Failed });
        }
    }
}

fn id_of(ticket: Ticket) -> RequestId {
    RequestId::from(ticket.to_string().as_str())
}

fn ticket_of(id: &RequestId) -> Ticket {
    id.as_str().parse().unwrap_or(usize::MAX)
}
