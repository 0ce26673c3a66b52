//! A run on real sockets: its state, its one clock, and what comes of the model's doings.

use super::link::{Conditions, Door, Far, Link, Reserved, ReservedDatagrams};
use super::process::{Process, Used};
use super::{servers, Options};
use crate::experiment::RemoteKind;
use crate::judge::{DrainNotice, NodeAction, Record};
use crate::model::clients::ClientOutcome;
use crate::model::discovery::Discovery;
use crate::model::fleet::{Arrival, Fleet, FleetOutput, ScheduledEvent};
use crate::model::links::{ActiveLinkFault, Links};
use crate::model::server::ServerResponse;
use crate::model::{Micros, SECOND};
use crate::plan::Plan;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::SendRequest;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::{sleep_until, Instant};
use walkpick::{Availability, ServerEntry, Timestamp};

/// Rule on drains: this long after a node was told, nothing new. On sockets each limit grows by 50 ms, and the lab
/// hears of a send a little after its first byte.
const DRAIN_GRACE: Micros = 350_000;

/// What the clock brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tick {
    /// The model's.
    Due(ScheduledEvent),
    /// A node's agent hears of a change.
    Hear {
        /// The node.
        node: usize,
        /// The change.
        change: usize,
    },
    /// A client comes.
    Arrive {
        /// Its request.
        ask: usize,
    },
}

/// A try of a client.
#[derive(Debug)]
pub struct Ticket {
    /// Its request.
    pub ask: usize,
    /// Attempts as they came to servers: when, and whether each is known never to have run.
    attempts: Vec<(Micros, bool)>,
    runs: u32,
}

/// An attempt, as it came to a server.
#[derive(Debug)]
struct Attempt {
    ticket: usize,
    place: usize,
    ran: bool,
    used: bool,
}

/// One node: its process, its links, and what the front and discovery know of it.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Place of its zone.
    pub zone: usize,
    /// Where it listens; its port is kept for it.
    pub address: Reserved,
    /// Its configuration, and its log.
    pub config: PathBuf,
    /// See `config`.
    pub log: PathBuf,
    /// Its process, where it has one.
    pub process: Option<Process>,
    /// Counts its processes.
    pub life: u32,
    /// What its ended processes have used.
    pub used: Used,
    /// It has answered that it is ready, and was not told to go.
    pub ready: bool,
    /// When it died; the front sees it late.
    pub died: Option<Micros>,
    /// Until when something met its process or its clients' link; what it loses up to then is not its own doing.
    pub troubled: Micros,
    /// From clients to it.
    pub clients: Link,
    /// From it to discovery, and the door there.
    pub discovery: Link,
    /// See `discovery`.
    pub agent: Door,
    /// Where it meets its peers; none where peers are off.
    pub meets: Option<Meets>,
    /// From it to each server, and the door there.
    pub servers: Vec<(Link, Door)>,
    /// What its agent has heard, in its order.
    pub heard: Vec<Arc<[ServerEntry]>>,
    /// Wakes the calls that wait at its agent.
    pub news: watch::Sender<usize>,
    /// What was written to it, by server.
    pub told: HashMap<usize, (Availability, Option<Timestamp>, Micros)>,
    /// How far its clock is off, in seconds.
    pub clock_s: f64,
    /// Kept connections of clients.
    pub idle: Vec<SendRequest<Full<Bytes>>>,
}

/// Where a node meets its peers.
#[derive(Debug)]
pub struct Meets {
    /// Its own address, kept for it.
    pub address: ReservedDatagrams,
    /// Where all others reach it.
    pub advertise: SocketAddr,
}

/// All that changes.
#[derive(Debug)]
pub struct State {
    /// Servers and origin.
    pub fleet: Fleet,
    /// What discovery tells.
    pub discovery: Discovery,
    /// What the judges see.
    pub record: Record,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// Tries of clients.
    pub tickets: Vec<Ticket>,
    attempts: Vec<Attempt>,
    waiting: HashMap<u64, (usize, oneshot::Sender<ServerResponse>)>,
    /// Faults on links that are on.
    pub links: Links,
    late: Histogram<u64>,
    /// Why the run is void, if it is.
    pub void: Option<String>,
    /// Clients, and works of faults, under way.
    pub under_way: usize,
}

/// A run.
#[derive(Debug)]
pub struct Lab {
    /// What is drawn ahead.
    pub plan: Rc<Plan>,
    /// How it is carried out.
    pub options: Options,
    /// All that changes.
    pub state: RefCell<State>,
    queue: RefCell<BinaryHeap<Reverse<(Micros, u64, Tick)>>>,
    count: Cell<u64>,
    sooner: Notify,
    start: Cell<Option<Instant>>,
    epoch: Cell<Micros>,
}

impl Lab {
    /// A run that has not begun, without nodes.
    pub fn new(plan: Rc<Plan>, options: Options) -> io::Result<Rc<Self>> {
        let fleet = Fleet::new(plan.clone(), 0);
        let state = State {
            discovery: Discovery::new(plan.experiment.deployment.nodes as usize, &fleet.entries()),
            fleet,
            record: Record::new(plan.requests.len()),
            nodes: Vec::new(),
            tickets: Vec::new(),
            attempts: Vec::new(),
            waiting: HashMap::new(),
            links: Links::default(),
            late: Histogram::new_with_bounds(1, 600 * SECOND, 3).map_err(io::Error::other)?,
            void: None,
            under_way: 0,
        };
        Ok(Rc::new(Self {
            plan,
            options,
            state: RefCell::new(state),
            queue: RefCell::default(),
            count: Cell::new(0),
            sooner: Notify::new(),
            start: Cell::new(None),
            epoch: Cell::new(0),
        }))
    }

    /// Microseconds since it began; none pass before.
    pub fn now(&self) -> Micros {
        self.start.get().map_or(0, |start| start.elapsed().as_micros() as Micros)
    }

    /// The moment of a time of the run.
    pub fn moment(&self, at: Micros) -> Instant {
        self.start.get().unwrap_or_else(Instant::now) + Duration::from_micros(at)
    }

    /// Unix time at the beginning, in microseconds.
    pub fn epoch(&self) -> Micros {
        self.epoch.get()
    }

    /// Begins: time passes from here on.
    pub fn begin(self: &Rc<Self>, faults: bool) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.start.set(Some(Instant::now()));
        self.epoch.set(unix.as_micros() as Micros);
        self.state.borrow_mut().fleet.set_epoch(unix.as_micros() as Micros);
        for (ask, asked) in self.plan.requests.iter().enumerate() {
            self.at(asked.at, Tick::Arrive { ask });
        }
        let due = self.state.borrow().fleet.initial_events(faults);
        due.into_iter().for_each(|(at, due)| self.at(at, Tick::Due(due)));
    }

    /// Asks the clock for something.
    pub fn at(&self, at: Micros, tick: Tick) {
        self.count.set(self.count.get() + 1);
        let mut queue = self.queue.borrow_mut();
        let soonest = queue.peek().is_none_or(|Reverse((next, ..))| at < *next);
        queue.push(Reverse((at, self.count.get(), tick)));
        if soonest {
            self.sooner.notify_one();
        }
    }

    /// Waits for what comes next, and notes how late it is brought.
    pub async fn next(&self) -> Tick {
        loop {
            let next = self.queue.borrow().peek().map(|Reverse((at, ..))| *at);
            let now = self.now();
            match next {
                Some(at) if at <= now => {
                    let Some(Reverse((at, _, tick))) = self.queue.borrow_mut().pop() else { continue };
                    self.state.borrow_mut().late.saturating_record((now - at).max(1));
                    return tick;
                }
                Some(at) => tokio::select! {
                    () = sleep_until(self.moment(at)) => {}
                    () = self.sooner.notified() => {}
                },
                None => self.sooner.notified().await,
            }
        }
    }

    /// How late the lab has been: the 99th percentile and the most, in milliseconds.
    pub fn lateness(&self) -> (f64, f64) {
        let late = &self.state.borrow().late;
        (late.value_at_quantile(0.99) as f64 / 1_000.0, late.max() as f64 / 1_000.0)
    }

    /// The model's part of a tick.
    pub fn due(self: &Rc<Self>, due: ScheduledEvent) {
        let mut out = Vec::new();
        self.state.borrow_mut().fleet.handle(self.now(), due, &mut out);
        self.carry(out);
    }

    /// What comes of the servers' and the origin's doings.
    pub fn carry(self: &Rc<Self>, out: Vec<FleetOutput>) {
        for out in out {
            match out {
                FleetOutput::Schedule(at, due) => self.at(at, Tick::Due(due)),
                FleetOutput::Respond { job, response, .. } => self.says(job, response),
                FleetOutput::Started(job) => self.state.borrow_mut().runs(&self.plan, self.now(), job),
                FleetOutput::ColdCrash { server, notified_share } => {
                    let state = &mut *self.state.borrow_mut();
                    state.record.cold_crash(self.now(), &state.fleet.machines[server].id, notified_share);
                    state.refresh_links();
                }
                FleetOutput::Publish(entries) => self.tells(entries),
                FleetOutput::ReachabilityChanged => self.state.borrow_mut().refresh_links(),
                FleetOutput::Restarted(servers) => self.back(&servers),
                FleetOutput::ExternalFault { fault, begins, step } => {
                    super::faults::meet(self, fault, begins, step)
                }
            }
        }
    }

    fn says(&self, job: u64, said: ServerResponse) {
        let state = &mut *self.state.borrow_mut();
        let attempt = &state.attempts[job as usize];
        if said == ServerResponse::QueueFull {
            state.tickets[attempt.ticket].attempts[attempt.place].1 = true;
        }
        if let Some((_, answer)) = state.waiting.remove(&job) {
            // Whoever waited may have left.
            let _ = answer.send(said);
        }
    }

    fn back(&self, servers: &[usize]) {
        let state = &mut *self.state.borrow_mut();
        state.waiting.retain(|_, (server, _)| !servers.contains(server));
        for node in &state.nodes {
            for &server in servers {
                if let Some((link, _)) = node.servers.get(server) {
                    link.set(|now| now.resets += 1);
                }
            }
        }
        state.refresh_links();
    }

    fn tells(self: &Rc<Self>, entries: Arc<[ServerEntry]>) {
        if let Err(error) = self.open_doors() {
            self.state.borrow_mut().void.get_or_insert(format!("no door for a new server: {error}"));
        }
        let state = &mut *self.state.borrow_mut();
        let (change, heard) = state.discovery.publish(&self.plan, self.now(), entries);
        for (node, at) in heard.into_iter().enumerate() {
            self.at(at, Tick::Hear { node, change });
        }
    }

    /// Each node reaches each server at an address of its own.
    pub fn open_doors(self: &Rc<Self>) -> io::Result<()> {
        let (nodes, servers) = {
            let state = self.state.borrow();
            (state.nodes.len(), state.fleet.machines.len())
        };
        for node in 0..nodes {
            let first = self.state.borrow().nodes[node].servers.len();
            for server in first..servers {
                let link = Link::new(self.plan.seed ^ (node as u64) << 20 ^ server as u64);
                let lab = Rc::downgrade(self);
                let take = move |stream| {
                    if let Some(lab) = lab.upgrade() {
                        tokio::task::spawn_local(servers::connection(lab, node, server, stream));
                    }
                };
                let door = Door::open(&link, Far::Here(Rc::new(take)))?;
                self.state.borrow_mut().nodes[node].servers.push((link, door));
            }
        }
        Ok(())
    }

    /// A node's agent hears of a change.
    pub fn hear(&self, node: usize, change: usize) {
        let state = &mut *self.state.borrow_mut();
        let entries = state.discovery.deliver(node, change);
        let node = &mut state.nodes[node];
        node.heard.push(entries);
        node.news.send_replace(node.heard.len());
    }

    /// Entries have been written to a node.
    pub fn told(&self, node: usize, entries: &[ServerEntry]) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        for entry in entries {
            let Some(server) = state.fleet.index_of(&entry.id) else { continue };
            let told = &mut state.nodes[node].told;
            let since = match told.get(&server) {
                // Told before: the time runs on.
                Some(&(was, _, since))
                    if (was == Availability::Ready) == (entry.availability == Availability::Ready) =>
                {
                    since
                }
                _ => now,
            };
            told.insert(server, (entry.availability, entry.started, since));
        }
    }

    /// A new try of a client.
    pub fn ticket(&self, ask: usize) -> usize {
        let state = &mut *self.state.borrow_mut();
        state.record.tries += 1;
        state.tickets.push(Ticket { ask, attempts: Vec::new(), runs: 0 });
        state.tickets.len() - 1
    }

    /// An attempt has come whole to a server. Its number, and its answer when there is one.
    pub fn attempt(
        self: &Rc<Self>,
        node: usize,
        server: usize,
        ticket: usize,
        fresh: bool,
    ) -> (u64, oneshot::Receiver<ServerResponse>) {
        let now = self.now();
        let (answer, receiver) = oneshot::channel();
        let mut out = Vec::new();
        let job = {
            let state = &mut *self.state.borrow_mut();
            state.judge(&self.plan, now, node, server, ticket);
            let (job, place) = (state.attempts.len() as u64, state.tickets[ticket].attempts.len());
            let ask = state.tickets[ticket].ask;
            state.record.attempts += 1;
            state.record.crossings += u64::from(state.nodes[node].zone != state.fleet.machines[server].zone);
            state.tickets[ticket].attempts.push((now, false));
            state.attempts.push(Attempt { ticket, place, ran: false, used: false });
            state.waiting.insert(job, (server, answer));
            let told = state.nodes[node].told.get(&server).map(|told| told.1);
            let told = told == Some(state.fleet.machines[server].entry.started);
            let name = (ticket as u64) << 8 | place as u64;
            state.fleet.receive(
                now,
                server,
                Arrival { job, request: ask, draw_id: name, new_connection: fresh, notified: told },
                &mut out,
            );
            job
        };
        self.carry(out);
        (job, receiver)
    }

    /// A client has the answer that this attempt gave.
    pub fn uses(&self, job: u64) {
        if let Some(attempt) = self.state.borrow_mut().attempts.get_mut(job as usize) {
            attempt.used = true;
        }
    }

    /// A try has ended for its client.
    pub fn end(&self, ask: usize, end: ClientOutcome) {
        let now = self.now();
        self.state.borrow_mut().record.request_ended(ask, end, now);
    }

    /// Work that ran, and what of it nobody used.
    pub fn count_work(&self) {
        let state = &mut *self.state.borrow_mut();
        for attempt in state.attempts.iter().filter(|attempt| attempt.ran) {
            let work_us = self.plan.requests[state.tickets[attempt.ticket].ask].work_us;
            state.record.work_us.0 += work_us;
            state.record.work_us.1 += if attempt.used { 0.0 } else { work_us };
        }
        state.record.origin_crashes = state.fleet.origin.crashes().into();
    }
}

impl State {
    /// Whether something met this node since then that may have cost it a request.
    pub fn excused(&self, node: usize, since: Micros) -> bool {
        self.nodes[node].troubled >= since
    }

    fn runs(&mut self, plan: &Plan, now: Micros, job: u64) {
        let attempt = &mut self.attempts[job as usize];
        attempt.ran = true;
        let number = attempt.ticket;
        let ticket = &mut self.tickets[number];
        ticket.runs += 1;
        self.record.execution_started(now, number, plan.class(ticket.ask), ticket.runs);
    }

    /// When the first attempt of a request came that may have run.
    fn first_run(&self, ticket: usize) -> Option<Micros> {
        let attempts = self.tickets[ticket].attempts.iter();
        attempts.filter(|(_, never_ran)| !never_ran).map(|(at, _)| *at).min()
    }

    fn judge(&mut self, plan: &Plan, now: Micros, node: usize, server: usize, ticket: usize) {
        let told = self.nodes[node].told.get(&server).filter(|told| told.0 != Availability::Ready);
        let off = told.map(|told| DrainNotice { notified_at: told.2, grace: DRAIN_GRACE });
        let first = self.first_run(ticket);
        let deed = NodeAction { now, node, try_id: ticket, class: plan.class(self.tickets[ticket].ask) };
        self.record.attempt_sent(deed, &self.fleet.machines[server].id, off, first);
    }

    /// A client was refused: whether that was allowed.
    pub fn judge_refusal(&mut self, plan: &Plan, now: Micros, node: usize, ticket: usize) {
        let may_have_run = self.first_run(ticket).is_some();
        let deed = NodeAction { now, node, try_id: ticket, class: plan.class(self.tickets[ticket].ask) };
        self.record.request_refused(deed, may_have_run);
    }

    /// Resets what is open on the links that a fault meets.
    pub fn reset_links(&self, met: &ActiveLinkFault) {
        for &node in &met.nodes {
            let node = &self.nodes[node];
            let links: Vec<_> = match met.remote {
                RemoteKind::Client => vec![&node.clients],
                RemoteKind::Discovery => vec![&node.discovery],
                // Datagrams have no connections.
                RemoteKind::Peer => vec![],
                RemoteKind::Server => {
                    met.servers.iter().filter_map(|&i| Some(&node.servers.get(i)?.0)).collect()
                }
            };
            links.into_iter().for_each(|link| link.set(|now| now.resets += 1));
        }
    }

    /// Sets every link to what the faults that are on, and the state of its servers, make of it.
    pub fn refresh_links(&self) {
        for (i, node) in self.nodes.iter().enumerate() {
            for (server, (link, _)) in node.servers.iter().enumerate() {
                let machine = &self.fleet.machines[server];
                let mut ways = self.links.impairment(i, RemoteKind::Server, server);
                ways.forward.silent |= machine.unresponsive();
                ways.backward.silent |= machine.unresponsive();
                let down = machine.availability == Availability::Removed;
                apply(link, Conditions { ways, down, ..Conditions::default() });
            }
            for (party, link) in
                [(RemoteKind::Client, &node.clients), (RemoteKind::Discovery, &node.discovery)]
            {
                apply(link, Conditions { ways: self.links.impairment(i, party, 0), ..Conditions::default() });
            }
        }
    }
}

fn apply(link: &Link, now: Conditions) {
    if !link.is(&now) {
        link.set(|held| *held = Conditions { resets: held.resets, ..now });
    }
}
