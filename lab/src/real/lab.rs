//! State and event queue of a run on real sockets; applies the outputs of the fleet model.

use super::link::{Conditions, Destination, Link, RelayListener, ReservedPort, ReservedUdpPort};
use super::process::{Process, ResourceUsage};
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

/// Drain rule: this long after the notice a node sends nothing new. On sockets each limit grows by 50 ms, and the lab
/// observes a request slightly after its first byte.
const DRAIN_GRACE: Micros = 350_000;

/// An event of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    /// An event of the fleet model.
    Fleet(ScheduledEvent),
    /// The agent of a node receives a discovery update.
    DiscoveryUpdate {
        /// Index of the node.
        node: usize,
        /// Index of the update.
        change: usize,
    },
    /// A client request arrives.
    RequestArrival {
        /// Index of the request.
        request_index: usize,
    },
}

/// A client try.
#[derive(Debug)]
pub struct ClientTry {
    /// Index of the request.
    pub request_index: usize,
    /// Attempts in order of arrival at servers: arrival time, and whether it is known not to have run.
    attempts: Vec<(Micros, bool)>,
    executions: u32,
}

/// An attempt that reached a server.
#[derive(Debug)]
struct Attempt {
    try_id: usize,
    attempt_index: usize,
    executed: bool,
    used: bool,
}

/// A node: its process, its links, and its state at the front end and in discovery.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Index of its zone.
    pub zone: usize,
    /// Its listening address; the port stays reserved between restarts.
    pub address: ReservedPort,
    /// Configuration file.
    pub config: PathBuf,
    /// Log file.
    pub log: PathBuf,
    /// The running process, if any.
    pub process: Option<Process>,
    /// Number of processes started so far.
    pub incarnation: u32,
    /// Resource usage of its ended processes.
    pub usage: ResourceUsage,
    /// It has passed its health check and was not told to shut down.
    pub ready: bool,
    /// When the process ended; the front end notices this with a delay.
    pub died: Option<Micros>,
    /// End of the time in which a fault affects its process or client link; losses until then are not violations.
    pub disturbed_until: Micros,
    /// Link from clients to the node.
    pub clients: Link,
    /// Link from the node to discovery.
    pub discovery: Link,
    /// Listener of the discovery link.
    pub agent: RelayListener,
    /// Address for peers; `None` where peers are off.
    pub peer_endpoint: Option<PeerEndpoint>,
    /// Link from the node to each server, with its listener.
    pub servers: Vec<(Link, RelayListener)>,
    /// Updates that its agent has received, in order.
    pub updates: Vec<Arc<[ServerEntry]>>,
    /// Number of received updates; wakes long polls at the agent.
    pub update_count: watch::Sender<usize>,
    /// What the node was notified of, by server: availability, start time, and since when.
    pub notified: HashMap<usize, (Availability, Option<Timestamp>, Micros)>,
    /// Clock offset in seconds.
    pub clock_offset_s: f64,
    /// Idle client connections.
    pub idle_connections: Vec<SendRequest<Full<Bytes>>>,
}

/// Peer addresses of a node.
#[derive(Debug)]
pub struct PeerEndpoint {
    /// Its own address, reserved while no process uses it.
    pub address: ReservedUdpPort,
    /// The relay address at which others reach it.
    pub advertise: SocketAddr,
}

/// Mutable state of a run.
#[derive(Debug)]
pub struct State {
    /// Model of the servers and the origin.
    pub fleet: Fleet,
    /// Model of discovery.
    pub discovery: Discovery,
    /// Record for the evaluation.
    pub record: Record,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// Client tries.
    pub tries: Vec<ClientTry>,
    attempts: Vec<Attempt>,
    pending_responses: HashMap<u64, (usize, oneshot::Sender<ServerResponse>)>,
    /// Active link faults.
    pub links: Links,
    lateness: Histogram<u64>,
    /// Why the run is void, if it is.
    pub void_reason: Option<String>,
    /// Client and fault tasks in progress.
    pub active_tasks: usize,
}

/// A run.
#[derive(Debug)]
pub struct Lab {
    /// The precomputed plan.
    pub plan: Rc<Plan>,
    /// Options of the run.
    pub options: Options,
    /// Mutable state of a run.
    pub state: RefCell<State>,
    queue: RefCell<BinaryHeap<Reverse<(Micros, u64, TimerEvent)>>>,
    next_sequence: Cell<u64>,
    earlier_event: Notify,
    started_at: Cell<Option<Instant>>,
    epoch: Cell<Micros>,
}

impl Lab {
    /// Creates a run without nodes whose clock has not started.
    pub fn new(plan: Rc<Plan>, options: Options) -> io::Result<Rc<Self>> {
        let fleet = Fleet::new(plan.clone(), 0);
        let state = State {
            discovery: Discovery::new(plan.experiment.deployment.nodes as usize, &fleet.entries()),
            fleet,
            record: Record::new(plan.requests.len()),
            nodes: Vec::new(),
            tries: Vec::new(),
            attempts: Vec::new(),
            pending_responses: HashMap::new(),
            links: Links::default(),
            lateness: Histogram::new_with_bounds(1, 600 * SECOND, 3).map_err(io::Error::other)?,
            void_reason: None,
            active_tasks: 0,
        };
        Ok(Rc::new(Self {
            plan,
            options,
            state: RefCell::new(state),
            queue: RefCell::default(),
            next_sequence: Cell::new(0),
            earlier_event: Notify::new(),
            started_at: Cell::new(None),
            epoch: Cell::new(0),
        }))
    }

    /// Microseconds since the clock was started; zero before.
    pub fn now(&self) -> Micros {
        self.started_at.get().map_or(0, |start| start.elapsed().as_micros() as Micros)
    }

    /// Converts run time to an `Instant`.
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.started_at.get().unwrap_or_else(Instant::now) + Duration::from_micros(at)
    }

    /// Unix time of the start, in microseconds.
    pub fn epoch(&self) -> Micros {
        self.epoch.get()
    }

    /// Starts the clock and schedules requests and fleet events.
    pub fn start_clock(self: &Rc<Self>, faults: bool) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.started_at.set(Some(Instant::now()));
        self.epoch.set(unix.as_micros() as Micros);
        self.state.borrow_mut().fleet.set_epoch(unix.as_micros() as Micros);
        for (request_index, request) in self.plan.requests.iter().enumerate() {
            self.schedule(request.at, TimerEvent::RequestArrival { request_index });
        }
        let event = self.state.borrow().fleet.initial_events(faults);
        event.into_iter().for_each(|(at, event)| self.schedule(at, TimerEvent::Fleet(event)));
    }

    /// Schedules an event.
    pub fn schedule(&self, at: Micros, event: TimerEvent) {
        self.next_sequence.set(self.next_sequence.get() + 1);
        let mut queue = self.queue.borrow_mut();
        let soonest = queue.peek().is_none_or(|Reverse((next, ..))| at < *next);
        queue.push(Reverse((at, self.next_sequence.get(), event)));
        if soonest {
            self.earlier_event.notify_one();
        }
    }

    /// Waits for the next event and records its lateness.
    pub async fn next_event(&self) -> TimerEvent {
        loop {
            let next = self.queue.borrow().peek().map(|Reverse((at, ..))| *at);
            let now = self.now();
            match next {
                Some(at) if at <= now => {
                    let Some(Reverse((at, _, event))) = self.queue.borrow_mut().pop() else { continue };
                    self.state.borrow_mut().lateness.saturating_record((now - at).max(1));
                    return event;
                }
                Some(at) => tokio::select! {
                    () = sleep_until(self.instant_at(at)) => {}
                    () = self.earlier_event.notified() => {}
                },
                None => self.earlier_event.notified().await,
            }
        }
    }

    /// Event lateness: the 99th percentile and the maximum, in milliseconds.
    pub fn lateness(&self) -> (f64, f64) {
        let late = &self.state.borrow().lateness;
        (late.value_at_quantile(0.99) as f64 / 1_000.0, late.max() as f64 / 1_000.0)
    }

    /// Passes an event to the fleet model.
    pub fn handle_fleet_event(self: &Rc<Self>, event: ScheduledEvent) {
        let mut out = Vec::new();
        self.state.borrow_mut().fleet.handle(self.now(), event, &mut out);
        self.apply_outputs(out);
    }

    /// Applies outputs of the fleet model.
    pub fn apply_outputs(self: &Rc<Self>, out: Vec<FleetOutput>) {
        for out in out {
            match out {
                FleetOutput::Schedule(at, event) => self.schedule(at, TimerEvent::Fleet(event)),
                FleetOutput::Respond { job, response, .. } => self.deliver_response(job, response),
                FleetOutput::Started(job) => {
                    self.state.borrow_mut().execution_started(&self.plan, self.now(), job)
                }
                FleetOutput::ColdCrash { server, notified_share } => {
                    let state = &mut *self.state.borrow_mut();
                    state.record.cold_crash(self.now(), &state.fleet.machines[server].id, notified_share);
                    state.refresh_links();
                }
                FleetOutput::Publish(entries) => self.publish_entries(entries),
                FleetOutput::ReachabilityChanged => self.state.borrow_mut().refresh_links(),
                FleetOutput::Restarted(servers) => self.servers_restarted(&servers),
                FleetOutput::ExternalFault { fault, begins, step } => {
                    super::faults::apply(self, fault, begins, step)
                }
            }
        }
    }

    fn deliver_response(&self, job: u64, response: ServerResponse) {
        let state = &mut *self.state.borrow_mut();
        let attempt = &state.attempts[job as usize];
        if response == ServerResponse::QueueFull {
            state.tries[attempt.try_id].attempts[attempt.attempt_index].1 = true;
        }
        if let Some((_, answer)) = state.pending_responses.remove(&job) {
            // The receiver may have been dropped.
            let _ = answer.send(response);
        }
    }

    fn servers_restarted(&self, servers: &[usize]) {
        let state = &mut *self.state.borrow_mut();
        state.pending_responses.retain(|_, (server, _)| !servers.contains(server));
        for node in &state.nodes {
            for &server in servers {
                if let Some((link, _)) = node.servers.get(server) {
                    link.update(|now| now.reset_count += 1);
                }
            }
        }
        state.refresh_links();
    }

    fn publish_entries(self: &Rc<Self>, entries: Arc<[ServerEntry]>) {
        if let Err(error) = self.open_server_links() {
            self.state
                .borrow_mut()
                .void_reason
                .get_or_insert(format!("cannot open a link to a new server: {error}"));
        }
        let state = &mut *self.state.borrow_mut();
        let (change, delivery_times) = state.discovery.publish(&self.plan, self.now(), entries);
        for (node, at) in delivery_times.into_iter().enumerate() {
            self.schedule(at, TimerEvent::DiscoveryUpdate { node, change });
        }
    }

    /// Opens the missing links; each node reaches each server at a separate address.
    pub fn open_server_links(self: &Rc<Self>) -> io::Result<()> {
        let (nodes, servers) = {
            let state = self.state.borrow();
            (state.nodes.len(), state.fleet.machines.len())
        };
        for node in 0..nodes {
            let first = self.state.borrow().nodes[node].servers.len();
            for server in first..servers {
                let link = Link::new(self.plan.seed ^ (node as u64) << 20 ^ server as u64);
                let lab = Rc::downgrade(self);
                let handler = move |stream| {
                    if let Some(lab) = lab.upgrade() {
                        tokio::task::spawn_local(servers::connection(lab, node, server, stream));
                    }
                };
                let listener = RelayListener::open(&link, Destination::InProcess(Rc::new(handler)))?;
                self.state.borrow_mut().nodes[node].servers.push((link, listener));
            }
        }
        Ok(())
    }

    /// The agent of a node receives a discovery update.
    pub fn deliver_update(&self, node: usize, change: usize) {
        let state = &mut *self.state.borrow_mut();
        let entries = state.discovery.deliver(node, change);
        let node = &mut state.nodes[node];
        node.updates.push(entries);
        node.update_count.send_replace(node.updates.len());
    }

    /// Records entries that were sent to a node.
    pub fn record_notified(&self, node: usize, entries: &[ServerEntry]) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        for entry in entries {
            let Some(server) = state.fleet.index_of(&entry.id) else { continue };
            let notified = &mut state.nodes[node].notified;
            let since = match notified.get(&server) {
                // Readiness unchanged: keep the time of the first notice.
                Some(&(was, _, since))
                    if (was == Availability::Ready) == (entry.availability == Availability::Ready) =>
                {
                    since
                }
                _ => now,
            };
            notified.insert(server, (entry.availability, entry.started, since));
        }
    }

    /// Registers a new client try.
    pub fn start_try(&self, request_index: usize) -> usize {
        let state = &mut *self.state.borrow_mut();
        state.record.tries += 1;
        state.tries.push(ClientTry { request_index, attempts: Vec::new(), executions: 0 });
        state.tries.len() - 1
    }

    /// Registers an attempt that fully arrived at a server. Returns its number and the receiver of its response.
    pub fn attempt_received(
        self: &Rc<Self>,
        node: usize,
        server: usize,
        try_id: usize,
        fresh: bool,
    ) -> (u64, oneshot::Receiver<ServerResponse>) {
        let now = self.now();
        let (answer, receiver) = oneshot::channel();
        let mut out = Vec::new();
        let job = {
            let state = &mut *self.state.borrow_mut();
            state.check_attempt(&self.plan, now, node, server, try_id);
            let (job, attempt_index) = (state.attempts.len() as u64, state.tries[try_id].attempts.len());
            let request_index = state.tries[try_id].request_index;
            state.record.attempts += 1;
            state.record.crossings += u64::from(state.nodes[node].zone != state.fleet.machines[server].zone);
            state.tries[try_id].attempts.push((now, false));
            state.attempts.push(Attempt { try_id, attempt_index, executed: false, used: false });
            state.pending_responses.insert(job, (server, answer));
            let notified = state.nodes[node].notified.get(&server).map(|notified| notified.1);
            let notified = notified == Some(state.fleet.machines[server].entry.started);
            let name = (try_id as u64) << 8 | attempt_index as u64;
            state.fleet.receive(
                now,
                server,
                Arrival { job, request: request_index, draw_id: name, new_connection: fresh, notified },
                &mut out,
            );
            job
        };
        self.apply_outputs(out);
        (job, receiver)
    }

    /// Marks an attempt whose response reached the client.
    pub fn mark_used(&self, job: u64) {
        if let Some(attempt) = self.state.borrow_mut().attempts.get_mut(job as usize) {
            attempt.used = true;
        }
    }

    /// Records the outcome of a try.
    pub fn try_ended(&self, request_index: usize, end: ClientOutcome) {
        let now = self.now();
        self.state.borrow_mut().record.request_ended(request_index, end, now);
    }

    /// Sums up executed work, and the part whose response reached no client.
    pub fn count_work(&self) {
        let state = &mut *self.state.borrow_mut();
        for attempt in state.attempts.iter().filter(|attempt| attempt.executed) {
            let work_us = self.plan.requests[state.tries[attempt.try_id].request_index].work_us;
            state.record.work_us.0 += work_us;
            state.record.work_us.1 += if attempt.used { 0.0 } else { work_us };
        }
        state.record.origin_crashes = state.fleet.origin.crashes().into();
    }
}

impl State {
    /// Whether a fault since `since` may explain a lost request of this node.
    pub fn disturbed_since(&self, node: usize, since: Micros) -> bool {
        self.nodes[node].disturbed_until >= since
    }

    fn execution_started(&mut self, plan: &Plan, now: Micros, job: u64) {
        let attempt = &mut self.attempts[job as usize];
        attempt.executed = true;
        let number = attempt.try_id;
        let client_try = &mut self.tries[number];
        client_try.executions += 1;
        self.record.execution_started(
            now,
            number,
            plan.class(client_try.request_index),
            client_try.executions,
        );
    }

    /// Arrival of the first attempt that may have run.
    fn first_possible_execution(&self, try_id: usize) -> Option<Micros> {
        let attempts = self.tries[try_id].attempts.iter();
        attempts.filter(|(_, never_ran)| !never_ran).map(|(at, _)| *at).min()
    }

    fn check_attempt(&mut self, plan: &Plan, now: Micros, node: usize, server: usize, try_id: usize) {
        let notified =
            self.nodes[node].notified.get(&server).filter(|notified| notified.0 != Availability::Ready);
        let drain_notice =
            notified.map(|notified| DrainNotice { notified_at: notified.2, grace: DRAIN_GRACE });
        let first = self.first_possible_execution(try_id);
        let action = NodeAction { now, node, try_id, class: plan.class(self.tries[try_id].request_index) };
        self.record.attempt_sent(action, &self.fleet.machines[server].id, drain_notice, first);
    }

    /// Checks whether a refusal was allowed.
    pub fn check_refusal(&mut self, plan: &Plan, now: Micros, node: usize, try_id: usize) {
        let may_have_run = self.first_possible_execution(try_id).is_some();
        let action = NodeAction { now, node, try_id, class: plan.class(self.tries[try_id].request_index) };
        self.record.request_refused(action, may_have_run);
    }

    /// Resets open connections on the links that a fault affects.
    pub fn reset_links(&self, fault: &ActiveLinkFault) {
        for &node in &fault.nodes {
            let node = &self.nodes[node];
            let links: Vec<_> = match fault.remote {
                RemoteKind::Client => vec![&node.clients],
                RemoteKind::Discovery => vec![&node.discovery],
                // Datagrams have no connections.
                RemoteKind::Peer => vec![],
                RemoteKind::Server => {
                    fault.servers.iter().filter_map(|&i| Some(&node.servers.get(i)?.0)).collect()
                }
            };
            links.into_iter().for_each(|link| link.update(|now| now.reset_count += 1));
        }
    }

    /// Updates every link from the active faults and the state of the servers.
    pub fn refresh_links(&self) {
        for (i, node) in self.nodes.iter().enumerate() {
            for (server, (link, _)) in node.servers.iter().enumerate() {
                let machine = &self.fleet.machines[server];
                let mut impairment = self.links.impairment(i, RemoteKind::Server, server);
                impairment.forward.silent |= machine.unresponsive();
                impairment.backward.silent |= machine.unresponsive();
                let down = machine.availability == Availability::Removed;
                update_link(link, Conditions { impairment, down, ..Conditions::default() });
            }
            for (remote, link) in
                [(RemoteKind::Client, &node.clients), (RemoteKind::Discovery, &node.discovery)]
            {
                update_link(
                    link,
                    Conditions { impairment: self.links.impairment(i, remote, 0), ..Conditions::default() },
                );
            }
        }
    }
}

fn update_link(link: &Link, now: Conditions) {
    if !link.has_conditions(&now) {
        link.update(|held| *held = Conditions { reset_count: held.reset_count, ..now });
    }
}
