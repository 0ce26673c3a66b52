//! The virtual driver: the model, any number of decision modules and the network between them, in simulated time on one
//! thread. The same experiment, arm and seed give the same run.

use crate::experiment::{Arm, Experiment, Party, What};
use crate::judge::{Deed, Doing, Off, Record, Result};
use crate::model::clients::End;
use crate::model::discovery::Discovery;
use crate::model::fleet::{Come, Due, Fleet, Out};
use crate::model::links::{Links, Met, Way};
use crate::model::server::Said;
use crate::model::{micros, Micros, SECOND};
use crate::plan::{Plan, COMING, CONNECT_TIMEOUT, KEEPALIVE};
use crate::policies::{self, Decisions};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use walkpick::{
    Action, Availability, CacheStatus, ClassId, Event as NodeEvent, LoadReport, Outcome, Request, RequestId,
    ServerEntry, ServerId, ServerList, Settings, Status, Timestamp,
};

/// Nodes' clocks begin here, so that a server may have started before the run.
const EPOCH: Micros = 1_000 * SECOND;
/// From a client to a node, and within or across zones, one way.
const CLIENT_US: f64 = 600.0;
const NEAR_US: f64 = 170.0;
const FAR_US: f64 = 400.0;
/// A node leaves this much of a client's time for the answer's way back, and has this much for its own last word.
const MARGIN: Micros = 5_000;
const GUARD: Micros = 4_000;
/// What discovery cannot tell for now it tries again to tell after so long.
const TOLD_AGAIN: Micros = 50_000;
/// A new process takes its time.
const RESTART: Micros = 100_000;
/// Rule on drains: this long after a node was told, nothing new.
const DRAIN_GRACE: Micros = 250_000;

type Ticket = usize;
type SendId = usize;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Try {
        ask: usize,
    },
    AtNode(Ticket),
    Guard(Ticket),
    GivesUp(Ticket),
    ClientSees {
        ticket: Ticket,
        end: End,
        stay: Micros,
    },
    NodeTimer {
        node: usize,
        life: u32,
    },
    Refused(SendId),
    AtServer(SendId),
    Waits(SendId),
    Answered {
        send: SendId,
        said: Said,
    },
    Due(Due),
    Told {
        node: usize,
        life: u32,
        change: usize,
    },
    /// A node that was told to go gets no more clients, is gone, and may start anew.
    Leaves {
        node: usize,
        life: u32,
    },
    Stops {
        node: usize,
        life: u32,
    },
    Starts {
        node: usize,
    },
    Probed {
        node: usize,
        life: u32,
        server: usize,
        at: Micros,
    },
}

struct Node {
    decisions: Option<Box<dyn Decisions>>,
    zone: usize,
    /// Counts restarts: what was under way in an earlier life is nobody's.
    life: u32,
    /// When it was told that a server drains or is gone.
    off: HashMap<usize, Micros>,
    /// Idle connections by server: since when each has stood so.
    idle: HashMap<usize, Vec<Micros>>,
    /// When it last died; the front sees it late.
    died: Option<Micros>,
    /// It was told to go, and the front knows.
    leaving: bool,
    /// What it missed while it stands still, if it does.
    held: Option<Vec<NodeEvent>>,
    /// Until when something met it or its clients' link; what it loses up to then is not its own doing.
    troubled: Micros,
    /// How far its clock is ahead.
    clock_s: f64,
}

struct Try {
    ask: usize,
    node: usize,
    life: u32,
    until: Micros,
    answered: bool,
    /// Its client is gone for its node.
    abandoned: bool,
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
    plan: Rc<Plan>,
    arm: &'a Arm,
    tries: Vec<u32>,
    now: Micros,
    count: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Next)>>,
    nodes: Vec<Node>,
    fleet: Fleet,
    discovery: Discovery,
    links: Links,
    tickets: Vec<Try>,
    sends: Vec<Sent>,
    record: Record,
}

impl<'a> World<'a> {
    /// A run that has not begun.
    pub fn new(experiment: &Experiment, arm: &'a Arm, seed: u64) -> Self {
        let plan = Rc::new(Plan::new(experiment, seed));
        let fleet = Fleet::new(Rc::clone(&plan), EPOCH);
        let nodes = experiment.deployment.nodes as usize;
        let mut world = Self {
            arm,
            tries: vec![0; plan.asks.len()],
            now: 0,
            count: 0,
            queue: BinaryHeap::new(),
            nodes: Vec::new(),
            discovery: Discovery::new(nodes, &fleet.entries()),
            fleet,
            links: Links::default(),
            tickets: Vec::new(),
            sends: Vec::new(),
            record: Record::new(plan.asks.len()),
            plan,
        };
        world.build(nodes);
        world
    }

    fn build(&mut self, nodes: usize) {
        policies::fill(&self.plan, self.arm.policy, &mut self.fleet);
        for i in 0..nodes {
            let (off, idle) = Default::default();
            let zone = self.plan.node_zone(i);
            let (died, leaving, held, troubled, clock_s) = Default::default();
            let (decisions, life) = (None, 0);
            self.nodes.push(Node {
                decisions,
                zone,
                life,
                off,
                idle,
                died,
                leaving,
                held,
                troubled,
                clock_s,
            });
            self.start_node(i);
        }
        for ask in 0..self.plan.asks.len() {
            self.at(self.plan.asks[ask].at, Next::Try { ask });
        }
        for (at, due) in self.fleet.schedule(!self.arm.no_faults) {
            self.at(at, Next::Due(due));
        }
    }

    fn start_node(&mut self, i: usize) {
        let zone = self.plan.zones[self.nodes[i].zone].clone();
        let settings = Settings { zone: Some(zone), ..self.plan.settings.clone() };
        let node = &mut self.nodes[i];
        let seed = self.plan.node_seed(i, node.life);
        node.decisions = Some(policies::build(self.arm.policy, settings, seed));
        if node.died.is_some() {
            self.record.does(i, Doing::Serving, self.now);
        }
        (node.died, node.leaving, node.held) = (None, false, None);
        let known = self.discovery.list(i);
        let known = self.as_told(i, known.into());
        self.feed(i, NodeEvent::Restored(known));
    }

    fn at(&mut self, at: Micros, next: Next) {
        self.count += 1;
        self.queue.push(Reverse((at.max(self.now), self.count, next)));
    }

    fn way(&self, node: usize, server: usize, what: u64, link: &Way) -> Micros {
        let far = self.nodes[node].zone != self.fleet.machines[server].zone;
        let takes = micros(link.takes_for(self.plan.seed, what));
        self.plan.latency(if far { FAR_US } else { NEAR_US }, what) + takes
    }

    fn client_way(&self, what: u64, link: &Way) -> Micros {
        self.plan.latency(CLIENT_US, what) + micros(link.takes_for(self.plan.seed, what))
    }

    /// Runs to the end, or until it is told to stop, and judges. `told`: is given the time of the run now and then.
    pub fn run(mut self, name: &str, stop: &AtomicBool, told: &dyn Fn(Micros)) -> Result {
        let (end, mut look) = (self.plan.end(), 0);
        while let Some(Reverse((at, _, next))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(next);
            if at >= look {
                told(at);
                look = at + SECOND / 4;
                if stop.load(Ordering::Relaxed) {
                    break;
                }
            }
        }
        self.record.origin_falls = self.fleet.origin.falls().into();
        for sent in self.sends.iter().filter(|sent| sent.may_have_run) {
            self.record.work_us.0 += sent.work_us;
            self.record.work_us.1 += if sent.used { 0.0 } else { sent.work_us };
        }
        let interrupted = stop.load(Ordering::Relaxed);
        Result { interrupted, ..self.record.result(&self.plan, name, []) }
    }

    fn step(&mut self, next: Next) {
        match next {
            Next::Try { ask } => self.client_sends(ask),
            Next::AtNode(ticket) => self.at_node(ticket),
            Next::Guard(ticket) => self.guard(ticket),
            Next::GivesUp(ticket) => self.client_sees(ticket, End::None, 0),
            Next::ClientSees { ticket, end, stay } => self.client_sees(ticket, end, stay),
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
            Next::Due(due) => {
                let mut out = Vec::new();
                self.fleet.due(self.now, due, &mut out);
                self.carry(out);
            }
            Next::Told { node, life, change } => self.told(node, life, change),
            Next::Leaves { node, life } if self.nodes[node].life == life => {
                self.nodes[node].leaving = true;
                self.record.does(node, Doing::Leaving, self.now);
            }
            Next::Stops { node, life } if self.nodes[node].life == life => self.kill(node),
            Next::Leaves { .. } | Next::Stops { .. } => {}
            Next::Starts { node } => self.start_node(node),
            Next::Probed { node, life, server, at } => self.probed(node, life, server, at),
        }
    }

    // Clients and the front.

    fn client_sends(&mut self, ask: usize) {
        let number = self.tries[ask];
        self.tries[ask] += 1;
        self.record.tries += 1;
        let notice = micros(self.plan.experiment.deployment.front_notice);
        let in_use = |i: usize| {
            let node = &self.nodes[i];
            !node.leaving && node.died.is_none_or(|died| self.now < died + notice)
        };
        let node = self.plan.front(ask, number, in_use);
        let until = self.now + self.plan.asks[ask].patience;
        let ticket = self.tickets.len();
        let life = node.map_or(0, |node| self.nodes[node].life);
        let (answered, abandoned, seen, sends, runs) = Default::default();
        self.tickets.push(Try {
            ask,
            node: node.unwrap_or(0),
            life,
            until,
            answered,
            abandoned,
            seen,
            sends,
            runs,
        });
        let ways = node.map(|node| self.links.ways(node, Party::Client, 0)).unwrap_or_default();
        let way = self.client_way(ticket as u64, &ways.there);
        match node {
            Some(_) if ways.silent() => {}
            Some(node) if self.nodes[node].died.is_none() => self.at(self.now + way, Next::AtNode(ticket)),
            // Refused by the machine of a process that is gone.
            _ => self.at(self.now + 2 * way, Next::ClientSees { ticket, end: End::Unreached, stay: 0 }),
        }
        self.at(until, Next::GivesUp(ticket));
    }

    fn client_sees(&mut self, ticket: Ticket, end: End, stay: Micros) {
        let held = &mut self.tickets[ticket];
        if std::mem::replace(&mut held.seen, true) {
            return;
        }
        let ask = held.ask;
        self.record.end(ask, end, self.now);
        let number = self.tries[ask] - 1;
        if let Some(again) = self.plan.again(ask, number, end, stay, self.now) {
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
            let way = self.plan.latency(CLIENT_US, ticket as u64);
            return self.at(self.now + way, Next::ClientSees { ticket, end: End::Unreached, stay: 0 });
        }
        let (ask, until) = (&self.plan.asks[self.tickets[ticket].ask], self.tickets[ticket].until);
        let valid_until = until.saturating_sub(MARGIN);
        let request = Request {
            class: Some(ClassId(ask.kind)),
            key: Some(ask.key),
            expected_work: Some(Duration::from_micros(ask.hint_us as Micros)),
            write: self.plan.kinds[ask.kind].write,
            client_retry: self.tries[self.tickets[ticket].ask] > 1,
            ..Request::new(&ticket.to_string(), Timestamp::from_micros(EPOCH + valid_until))
        };
        self.at(valid_until + GUARD, Next::Guard(ticket));
        self.feed(self.tickets[ticket].node, NodeEvent::Request(request));
    }

    /// By now a node that lives has given its answer.
    fn guard(&mut self, ticket: Ticket) {
        if self.alive(ticket) && !self.tickets[ticket].answered {
            let held = &mut self.tickets[ticket];
            (held.answered, held.abandoned) = (true, true);
            let since = held.until.saturating_sub(self.plan.asks[held.ask].patience);
            if self.nodes[held.node].troubled < since {
                self.record
                    .breaks(self.now, "final-answer", || format!("request {ticket} was never answered"));
            }
            self.feed(self.tickets[ticket].node, NodeEvent::Abandoned(id_of(ticket)));
        }
    }

    fn feed(&mut self, node: usize, event: NodeEvent) {
        if let Some(held) = &mut self.nodes[node].held {
            return held.push(event);
        }
        let Some(mut decisions) = self.nodes[node].decisions.take() else { return };
        let mut actions = Vec::new();
        let about = match &event {
            NodeEvent::Request(request) => Some(ticket_of(&request.id)),
            NodeEvent::Outcome(outcome) => Some(ticket_of(&outcome.id)),
            _ => None,
        };
        if let Some(ticket) = about.and_then(|ticket| self.tickets.get(ticket)) {
            decisions.see(self.now, &self.fleet, self.plan.asks[ticket.ask].key);
        }
        decisions.handle(Timestamp::from_micros(EPOCH + self.now), event, &mut actions);
        self.nodes[node].decisions = Some(decisions);
        for action in actions {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { id, server, timeout, .. } => self.send(node, ticket_of(&id), &server, timeout),
            Action::Refuse { id, retry_after, .. } => self.refuse(node, ticket_of(&id), retry_after),
            Action::Fail { id, .. } => self.answer(ticket_of(&id), End::Failed, 0),
            Action::Wake { after } => {
                let life = self.nodes[node].life;
                self.at(self.now + micros(after).max(1), Next::NodeTimer { node, life });
            }
            Action::Close { server } => {
                let server = self.fleet.place(&server).unwrap_or(usize::MAX);
                let closed = self.nodes[node].idle.remove(&server).unwrap_or_default().len();
                if let Some(machine) = self.fleet.machines.get_mut(server) {
                    machine.server.connections = machine.server.connections.saturating_sub(closed);
                }
            }
            Action::Probe { server } => self.probe(node, server),
            Action::Cancel { .. } | Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn probe(&mut self, node: usize, id: ServerId) {
        let Some(server) = self.fleet.place(&id) else { return };
        let ways = self.links.ways(node, Party::Server, server);
        let way = self.way(node, server, self.count ^ 1 << 43, &ways.there) * 2;
        let (life, at) = (self.nodes[node].life, self.now);
        let after = if ways.silent() { CONNECT_TIMEOUT } else { way };
        self.at(self.now + after, Next::Probed { node, life, server, at });
    }

    /// A probe has come to its server and its answer back, in one step.
    fn probed(&mut self, node: usize, life: u32, server: usize, at: Micros) {
        if self.nodes[node].life != life || self.nodes[node].died.is_some() {
            return;
        }
        let mut out = Vec::new();
        let silent = self.links.ways(node, Party::Server, server).silent();
        let answered = if silent { None } else { self.fleet.probed(self.now, server, &mut out) };
        self.carry(out);
        let load = answered.map_or_else(LoadReport::default, |_| self.fleet.report(self.now, server, at));
        let status = match answered {
            Some(true) => Status::Ok,
            Some(false) => Status::Failed,
            None => Status::TimedOut,
        };
        let took = Duration::from_micros(self.now - at);
        self.record.probes += 1;
        let server = self.fleet.machines[server].id.clone();
        self.feed(node, NodeEvent::Probed { server, status, took, load });
    }

    fn refuse(&mut self, node: usize, ticket: Ticket, stay: Duration) {
        let may_have_run = self.first_run(ticket).is_some();
        let class = self.plan.class(self.tickets[ticket].ask);
        self.record.refuses(Deed { now: self.now, node, ticket, class }, may_have_run);
        self.answer(ticket, End::Refused, micros(stay));
    }

    /// When the first attempt of a request was sent that is still out or may have run.
    fn first_run(&self, ticket: Ticket) -> Option<Micros> {
        let sends = self.tickets[ticket].sends.iter().map(|&send| &self.sends[send]);
        sends.filter(|sent| !sent.ended || sent.may_have_run).map(|sent| sent.at).min()
    }

    fn answer(&mut self, ticket: Ticket, end: End, stay: Micros) {
        if self.tickets[ticket].abandoned {
            return;
        }
        if std::mem::replace(&mut self.tickets[ticket].answered, true) {
            return self
                .record
                .breaks(self.now, "final-answer", || format!("request {ticket} was answered twice"));
        }
        let ways = self.links.ways(self.tickets[ticket].node, Party::Client, 0);
        let way = self.client_way(ticket as u64 ^ 1 << 40, &ways.back);
        if !ways.back.silent {
            self.at(self.now + way, Next::ClientSees { ticket, end, stay });
        }
    }

    fn send(&mut self, node: usize, ticket: Ticket, server: &ServerId, timeout: Duration) {
        let Some(server) = self.fleet.place(server) else { return };
        let work_us = self.plan.asks[self.tickets[ticket].ask].work_us;
        self.judge_send(node, ticket, server);
        let idle = self.nodes[node].idle.entry(server).or_default();
        let kept = idle.pop().filter(|since| self.now < since + KEEPALIVE);
        let machine = &mut self.fleet.machines[server];
        let fresh = kept.is_none();
        if fresh {
            // Those that stood longer are past their time as well.
            machine.server.connections = machine.server.connections.saturating_sub(idle.len());
            idle.clear();
        }
        let ways = self.links.ways(node, Party::Server, server);
        let (silent, gone) = (machine.mute() || ways.silent(), machine.availability == Availability::Removed);
        let refused = fresh && !silent && (gone || !machine.server.accepts());
        let (attempt, send) = (self.tickets[ticket].sends.len() as u32, self.sends.len());
        self.record.attempts += 1;
        self.record.crossings += u64::from(self.nodes[node].zone != self.fleet.machines[server].zone);
        self.record.connections += u64::from(fresh && !refused && !silent);
        if fresh && !refused && !silent {
            self.fleet.machines[server].server.connections += 1;
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
        let way = self.way(node, server, (ticket as u64) << 8 | u64::from(attempt), &ways.there);
        if refused {
            return self.at(self.now + 2 * way, Next::Refused(send));
        }
        self.at(until.max(self.now + 1), Next::Waits(send));
        if silent && fresh {
            return self.at((self.now + CONNECT_TIMEOUT).min(until), Next::Refused(send));
        }
        if !ways.there.silent {
            self.at(self.now + if fresh { 3 * way } else { way }, Next::AtServer(send));
        }
    }

    /// The rules on drains and on sending again, as the lab sees them.
    fn judge_send(&mut self, node: usize, ticket: Ticket, server: usize) {
        let off = self.nodes[node].off.get(&server).map(|&told| Off { told, grace: DRAIN_GRACE });
        let first = self.first_run(ticket);
        let class = self.plan.class(self.tickets[ticket].ask);
        let deed = Deed { now: self.now, node, ticket, class };
        self.record.sends(deed, &self.fleet.machines[server].id, off, first);
    }

    /// An attempt has ended for its node, if it was still out.
    fn outcome(&mut self, send: SendId, status: Status, note: Option<CacheStatus>) {
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
                let machine = &mut self.fleet.machines[server].server;
                machine.connections = machine.connections.saturating_sub(1);
            }
        }
        if status == Status::Ok && !self.tickets[ticket].answered {
            self.sends[send].used = true;
            self.answer(ticket, End::Served, 0);
            let write = self.plan.kinds[self.plan.asks[self.tickets[ticket].ask].kind].write;
            if !write {
                self.record.reads.0 += 1;
                self.record.reads.1 += u64::from(note == Some(CacheStatus::Miss));
            }
        }
        let finished = self.tickets[ticket].answered;
        let load = match note {
            Some(_) => self.fleet.report(self.now, server, send as u64),
            None => LoadReport::default(),
        };
        let (id, server) = (id_of(ticket), self.fleet.machines[server].id.clone());
        let took = Duration::from_micros(took);
        self.feed(
            node,
            NodeEvent::Outcome(Outcome {
                id,
                attempt,
                server,
                status,
                cache_status: note,
                took,
                finished,
                load,
            }),
        );
    }

    // Servers and the origin.

    fn at_server(&mut self, send: SendId) {
        let sent = &mut self.sends[send];
        sent.reached = true;
        let (server, ticket, fresh, attempt) = (sent.server, sent.ticket, sent.fresh, sent.attempt);
        let held = &self.tickets[ticket];
        let entry = &self.fleet.machines[server].entry;
        let known = self.discovery.held(held.node, &entry.id);
        let told = known.is_some_and(|known| known.started == entry.started);
        let name = (ticket as u64) << 8 | u64::from(attempt);
        let come = Come { job: send as u64, ask: held.ask, name, fresh, told };
        let mut out = Vec::new();
        self.fleet.take(self.now, server, come, &mut out);
        self.carry(out);
    }

    /// What comes of the servers' and the origin's doings.
    fn carry(&mut self, out: Vec<Out>) {
        for out in out {
            match out {
                Out::Later(at, due) => self.at(at, Next::Due(due)),
                Out::Says { server, job, said } => {
                    let send = job as usize;
                    let node = self.tickets[self.sends[send].ticket].node;
                    let ways = self.links.ways(node, Party::Server, server);
                    let way = self.way(node, server, job ^ 1 << 41, &ways.back);
                    // An error comes a little later than at once.
                    let way = way + if said == Said::Error { 3_000 } else { 0 };
                    if !ways.back.silent {
                        self.at(self.now + way, Next::Answered { send, said });
                    }
                }
                Out::Runs(job) => self.runs(job as usize),
                Out::Falls { server, told } => {
                    self.record.cold_fall(self.now, &self.fleet.machines[server].id, told);
                }
                Out::Tells(entries) => self.publish(entries),
                // What is sent to them sees it.
                Out::Reach => {}
                Out::Back(servers) => {
                    for node in &mut self.nodes {
                        servers.iter().for_each(|server| drop(node.idle.remove(server)));
                    }
                }
                Out::Other { trouble, begins, step } => self.fault(trouble, begins, step),
            }
        }
    }

    fn runs(&mut self, send: SendId) {
        self.sends[send].may_have_run = true;
        let ticket = self.sends[send].ticket;
        self.tickets[ticket].runs += 1;
        let held = &self.tickets[ticket];
        self.record.runs(self.now, ticket, self.plan.class(held.ask), held.runs);
    }

    fn answered(&mut self, send: SendId, said: Said) {
        let (status, note) = match said {
            Said::Hit => (Status::Ok, Some(CacheStatus::Hit)),
            Said::Miss => (Status::Ok, Some(CacheStatus::Miss)),
            Said::Error => (Status::Failed, None),
            Said::Broken => (Status::Reset, None),
            Said::Full => (Status::QueueFull, None),
        };
        self.outcome(send, status, note);
    }

    // Discovery.

    /// Tells all nodes of changed entries, each in its own time and in order.
    fn publish(&mut self, entries: Arc<[ServerEntry]>) {
        let (change, heard) = self.discovery.tell(&self.plan, self.now, entries);
        for (node, at) in heard.into_iter().enumerate() {
            let life = self.nodes[node].life;
            self.at(at, Next::Told { node, life, change });
        }
    }

    fn told(&mut self, node: usize, life: u32, change: usize) {
        if self.links.ways(node, Party::Discovery, 0).silent() {
            // It comes once the link carries again, in order.
            return self.at(self.now + TOLD_AGAIN, Next::Told { node, life, change });
        }
        let entries = self.discovery.hear(node, change);
        for entry in entries.iter() {
            let held = &mut self.nodes[node];
            let Some(server) = self.fleet.place(&entry.id) else { continue };
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
            let entries = self.as_told(node, entries);
            self.feed(node, NodeEvent::Servers(ServerList::Changes(entries)));
        }
    }

    /// Entries as a node reads them whose clock may be off.
    fn as_told(&self, node: usize, entries: Arc<[ServerEntry]>) -> Arc<[ServerEntry]> {
        let off = self.nodes[node].clock_s * SECOND as f64;
        if off == 0.0 {
            return entries;
        }
        let read = |at: Timestamp| Timestamp::from_micros((at.as_micros() as f64 - off).max(1.0) as Micros);
        let entries = entries.iter().map(|e| ServerEntry { started: e.started.map(read), ..e.clone() });
        entries.collect()
    }

    // Faults.

    fn fault(&mut self, trouble: usize, begins: bool, step: usize) {
        let plan = Rc::clone(&self.plan);
        let fault = &plan.experiment.fault[trouble];
        let met = plan.met(trouble, self.nodes.len(), fault.part);
        match fault.what {
            What::NodeKilled => met.into_iter().for_each(|node| match begins {
                true => self.kill(node),
                false => self.start_node(node),
            }),
            What::NodeTerminated => met.into_iter().for_each(|node| match begins {
                true => drop(self.terminate(node)),
                false => self.start_node(node),
            }),
            What::NodesRolled if begins => {
                if let Some(&node) = met.get(step) {
                    let stops = self.terminate(node);
                    self.at(stops + RESTART, Next::Starts { node });
                }
            }
            What::NodePaused => met.into_iter().for_each(|node| self.pause(node, begins)),
            What::NodeClock => {
                let off = if begins { fault.size } else { 0.0 };
                met.into_iter().for_each(|node| self.nodes[node].clock_s = off);
            }
            What::Link => {
                let on = begins && step.is_multiple_of(2);
                let Some(met) = self.links.switch(&plan, trouble, on) else { return };
                if met.party == Party::Client {
                    let until = if begins { Micros::MAX } else { self.now };
                    met.nodes.iter().for_each(|&node| self.nodes[node].troubled = until);
                }
                if on && fault.link.as_ref().is_some_and(|link| link.reset) {
                    self.reset(&met);
                }
            }
            What::DiscoveryLate | What::DiscoveryLoses => self.discovery.fault(&plan, fault, begins),
            // The servers' and the origin's, and what the virtual driver has no part for.
            _ => {}
        }
    }

    /// Tells a node to go, as at a planned restart. Returns when it is gone.
    fn terminate(&mut self, node: usize) -> Micros {
        let life = self.nodes[node].life;
        let stops = self.now + self.plan.kill_after();
        self.at(self.now + COMING, Next::Leaves { node, life });
        self.at(stops, Next::Stops { node, life });
        stops
    }

    fn pause(&mut self, node: usize, begins: bool) {
        self.record.does(node, if begins { Doing::Paused } else { Doing::Serving }, self.now);
        if begins {
            self.nodes[node].troubled = Micros::MAX;
            self.nodes[node].held.get_or_insert_default();
        } else {
            self.nodes[node].troubled = self.now;
            let missed = self.nodes[node].held.take().unwrap_or_default();
            missed.into_iter().for_each(|event| self.feed(node, event));
        }
    }

    /// Breaks the connections that are open on the links that a fault meets.
    fn reset(&mut self, met: &Met) {
        if met.party != Party::Server {
            return;
        }
        for &node in &met.nodes {
            met.servers.iter().for_each(|server| drop(self.nodes[node].idle.remove(server)));
        }
        let broken = |sent: &Sent| {
            !sent.ended
                && met.servers.contains(&sent.server)
                && met.nodes.contains(&self.tickets[sent.ticket].node)
        };
        let recent = (0..self.sends.len()).rev().take_while(|&i| self.sends[i].at + 10 * SECOND > self.now);
        let broken: Vec<_> = recent.filter(|&send| broken(&self.sends[send])).collect();
        for send in broken.into_iter().rev() {
            let status = if self.sends[send].reached { Status::Reset } else { Status::ConnectError };
            self.outcome(send, status, None);
        }
    }

    fn kill(&mut self, node: usize) {
        self.record.does(node, Doing::Down, self.now);
        let killed = &mut self.nodes[node];
        killed.decisions = None;
        killed.died = Some(self.now);
        killed.life += 1;
        for (server, idle) in std::mem::take(&mut killed.idle) {
            let machine = &mut self.fleet.machines[server].server;
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
            let way = self.plan.latency(CLIENT_US, ticket as u64 ^ 1 << 42);
            self.at(self.now + way, Next::ClientSees { ticket, end: End::Failed, stay: 0 });
        }
    }
}

fn id_of(ticket: Ticket) -> RequestId {
    RequestId::from(ticket.to_string().as_str())
}

fn ticket_of(id: &RequestId) -> Ticket {
    id.as_str().parse().unwrap_or(usize::MAX)
}
