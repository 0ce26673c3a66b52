//! The virtual driver: the model, any number of decision modules and the network between them, in simulated time on one
//! thread. Runs are deterministic: they depend on the experiment, the arm and the seed alone.

use crate::experiment::{Arm, Experiment, FaultKind, RemoteKind};
use crate::judge::{DrainNotice, NodeAction, NodeState, Record, RunResult};
use crate::model::clients::ClientOutcome;
use crate::model::discovery::Discovery;
use crate::model::fleet::{Arrival, Fleet, FleetOutput, ScheduledEvent};
use crate::model::links::{ActiveLinkFault, Impairment, Links};
use crate::model::server::ServerResponse;
use crate::model::{micros, Micros, SECOND};
use crate::plan::{Plan, CONNECT_TIMEOUT, FRONT_DRAIN_DELAY, KEEPALIVE_TIMEOUT};
use crate::policies::{self, DecisionModule};
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

/// Reading of the nodes' clocks at the start of the run. Above zero, so that a server may have started before the run.
const EPOCH: Micros = 1_000 * SECOND;
/// Mean one-way latency between a client and a node.
const CLIENT_LATENCY_US: f64 = 600.0;
/// Mean one-way latency between a node and a server of its zone.
const SAME_ZONE_LATENCY_US: f64 = 170.0;
/// Mean one-way latency between a node and a server of another zone.
const CROSS_ZONE_LATENCY_US: f64 = 400.0;
/// A node's deadline for a request is this much before the client's, to leave time for the answer's way back.
const ANSWER_MARGIN: Micros = 5_000;
/// A node must have sent its final answer this long after its deadline for the request.
const ANSWER_GRACE: Micros = 4_000;
/// Delay before a discovery update is retried that the link did not carry.
const DISCOVERY_RETRY_INTERVAL: Micros = 50_000;
/// Time from the end of a node's process to the start of the next one.
const RESTART_DURATION: Micros = 100_000;
/// Rule on drains: this long after its notification, a node must not send new requests to the server.
const DRAIN_GRACE: Micros = 250_000;

/// Index into [`World::tries`].
type TryId = usize;
/// Index into [`World::attempts`].
type AttemptId = usize;

/// An event of the simulation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A client sends a try of a request.
    ClientSends { request: usize },
    /// A try arrives at its node.
    TryAtNode(TryId),
    /// The node must have answered the try by now.
    AnswerDue(TryId),
    /// The client's timeout for the try expires.
    ClientTimeout(TryId),
    /// The client receives the answer to its try.
    ClientReceives { try_id: TryId, outcome: ClientOutcome, retry_after: Micros },
    /// The timer of a node fires.
    NodeTimer { node: usize, incarnation: u32 },
    /// An attempt fails to connect.
    ConnectFails(AttemptId),
    /// An attempt arrives at its server.
    AttemptAtServer(AttemptId),
    /// The node's timeout for an attempt expires.
    AttemptTimeout(AttemptId),
    /// The response to an attempt arrives at its node.
    ResponseAtNode { attempt: AttemptId, response: ServerResponse },
    /// An event that the fleet scheduled.
    Fleet(ScheduledEvent),
    /// A discovery update arrives at the agent of a node.
    DiscoveryUpdate { node: usize, incarnation: u32, change: usize },
    /// The front load balancer stops sending clients to a node that is shutting down.
    NodeDrained { node: usize, incarnation: u32 },
    /// The process of a node that was shutting down ends.
    NodeStops { node: usize, incarnation: u32 },
    /// A node starts.
    NodeStarts { node: usize },
    /// A probe ends.
    ProbeEnds { node: usize, incarnation: u32, server: usize, sent_at: Micros },
}

struct Node {
    /// None while its process does not run, or handles an event.
    decisions: Option<Box<dyn DecisionModule>>,
    zone: usize,
    /// Number of restarts. Events and attempts of earlier incarnations are ignored.
    incarnation: u32,
    /// When it was notified that a server drains or was removed, by server.
    drain_notices: HashMap<usize, Micros>,
    /// Idle connections by server: since when each has been idle.
    idle_connections: HashMap<usize, Vec<Micros>>,
    /// When it died. The front load balancer notices after a delay.
    died_at: Option<Micros>,
    /// Whether it is shutting down and the front load balancer has noticed.
    leaving: bool,
    /// The events that it missed while paused; `None` if it is not paused.
    missed: Option<Vec<NodeEvent>>,
    /// End of the last fault on it or on its clients' link, `Micros::MAX` while one lasts. It is not blamed for requests
    /// that were sent before.
    disturbed_until: Micros,
    /// How far its clock is ahead.
    clock_offset_s: f64,
}

/// A client's try of a request.
struct ClientTry {
    request: usize,
    node: usize,
    /// Incarnation of the node.
    incarnation: u32,
    /// When the client stops waiting.
    deadline: Micros,
    answered: bool,
    /// Whether the node was told that the client is gone.
    abandoned: bool,
    /// Whether the try has ended for the client.
    ended: bool,
    attempts: Vec<AttemptId>,
    /// How often the request was executed.
    executions: u32,
}

/// An attempt at a server.
struct Attempt {
    try_id: TryId,
    /// Its number among the attempts of the try.
    number: u32,
    server: usize,
    /// Incarnation of the node.
    incarnation: u32,
    sent_at: Micros,
    ended: bool,
    new_connection: bool,
    /// Whether the request was written to the connection.
    written: bool,
    may_have_run: bool,
    /// Whether the client got its response.
    used: bool,
    work_us: f64,
}

/// A run in simulated time.
pub struct World<'a> {
    plan: Rc<Plan>,
    arm: &'a Arm,
    /// Number of tries of each request.
    try_counts: Vec<u32>,
    now: Micros,
    /// Number of events scheduled so far. Events at the same time are handled in the order of scheduling.
    scheduled: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    nodes: Vec<Node>,
    fleet: Fleet,
    discovery: Discovery,
    links: Links,
    tries: Vec<ClientTry>,
    attempts: Vec<Attempt>,
    record: Record,
}

impl<'a> World<'a> {
    /// Prepares a run.
    pub fn new(experiment: &Experiment, arm: &'a Arm, seed: u64) -> Self {
        let plan = Rc::new(Plan::new(experiment, seed));
        let fleet = Fleet::new(Rc::clone(&plan), EPOCH);
        let nodes = experiment.deployment.nodes as usize;
        let mut world = Self {
            arm,
            try_counts: vec![0; plan.requests.len()],
            now: 0,
            scheduled: 0,
            queue: BinaryHeap::new(),
            nodes: Vec::new(),
            discovery: Discovery::new(nodes, &fleet.entries()),
            fleet,
            links: Links::default(),
            tries: Vec::new(),
            attempts: Vec::new(),
            record: Record::new(plan.requests.len()),
            plan,
        };
        world.init(nodes);
        world
    }

    fn init(&mut self, nodes: usize) {
        policies::warm_caches(&self.plan, self.arm.policy, &mut self.fleet);
        for i in 0..nodes {
            let (drain_notices, idle_connections) = Default::default();
            let zone = self.plan.node_zone(i);
            let (died_at, leaving, missed, disturbed_until, clock_offset_s) = Default::default();
            let (decisions, incarnation) = (None, 0);
            self.nodes.push(Node {
                decisions,
                zone,
                incarnation,
                drain_notices,
                idle_connections,
                died_at,
                leaving,
                missed,
                disturbed_until,
                clock_offset_s,
            });
            self.start_node(i);
        }
        for request in 0..self.plan.requests.len() {
            self.schedule(self.plan.requests[request].at, Event::ClientSends { request });
        }
        for (at, event) in self.fleet.initial_events(!self.arm.no_faults) {
            self.schedule(at, Event::Fleet(event));
        }
    }

    fn start_node(&mut self, i: usize) {
        let zone = self.plan.zones[self.nodes[i].zone].clone();
        let settings = Settings { zone: Some(zone), ..self.plan.settings.clone() };
        let node = &mut self.nodes[i];
        let seed = self.plan.node_seed(i, node.incarnation);
        node.decisions = Some(policies::build(self.arm.policy, settings, seed));
        if node.died_at.is_some() {
            self.record.node_state_changed(i, NodeState::Serving, self.now);
        }
        (node.died_at, node.leaving, node.missed) = (None, false, None);
        let known = self.discovery.known_entries(i);
        let known = self.with_clock_offset(i, known.into());
        self.feed(i, NodeEvent::Restored(known));
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((at.max(self.now), self.scheduled, event)));
    }

    fn server_latency(&self, node: usize, server: usize, draw_id: u64, link: &Impairment) -> Micros {
        let cross_zone = self.nodes[node].zone != self.fleet.machines[server].zone;
        let extra = micros(link.stream_delay_for(self.plan.seed, draw_id));
        self.plan.latency(if cross_zone { CROSS_ZONE_LATENCY_US } else { SAME_ZONE_LATENCY_US }, draw_id)
            + extra
    }

    fn client_latency(&self, draw_id: u64, link: &Impairment) -> Micros {
        self.plan.latency(CLIENT_LATENCY_US, draw_id) + micros(link.stream_delay_for(self.plan.seed, draw_id))
    }

    /// Runs until the end of the plan, or until `stop` is set, and returns the result. `progress` is called regularly with
    /// the simulated time.
    pub fn run(mut self, name: &str, stop: &AtomicBool, progress: &dyn Fn(Micros)) -> RunResult {
        let (end, mut next_progress) = (self.plan.end(), 0);
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
            if at >= next_progress {
                progress(at);
                next_progress = at + SECOND / 4;
                if stop.load(Ordering::Relaxed) {
                    break;
                }
            }
        }
        self.record.origin_crashes = self.fleet.origin.crashes().into();
        for attempt in self.attempts.iter().filter(|attempt| attempt.may_have_run) {
            self.record.work_us.0 += attempt.work_us;
            self.record.work_us.1 += if attempt.used { 0.0 } else { attempt.work_us };
        }
        let interrupted = stop.load(Ordering::Relaxed);
        RunResult { interrupted, ..self.record.result(&self.plan, name, []) }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ClientSends { request } => self.client_sends(request),
            Event::TryAtNode(try_id) => self.try_at_node(try_id),
            Event::AnswerDue(try_id) => self.answer_due(try_id),
            Event::ClientTimeout(try_id) => self.client_receives(try_id, ClientOutcome::Unanswered, 0),
            Event::ClientReceives { try_id, outcome, retry_after } => {
                self.client_receives(try_id, outcome, retry_after)
            }
            Event::NodeTimer { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation {
                    self.feed(node, NodeEvent::Timer);
                }
            }
            Event::ConnectFails(attempt) => self.end_attempt(attempt, Status::ConnectError, None),
            Event::AttemptAtServer(attempt) => self.attempt_at_server(attempt),
            Event::AttemptTimeout(attempt) => {
                let status =
                    if self.attempts[attempt].written { Status::TimedOut } else { Status::ConnectError };
                self.end_attempt(attempt, status, None);
            }
            Event::ResponseAtNode { attempt, response } => self.response_at_node(attempt, response),
            Event::Fleet(event) => {
                let mut out = Vec::new();
                self.fleet.handle(self.now, event, &mut out);
                self.handle_outputs(out);
            }
            Event::DiscoveryUpdate { node, incarnation, change } => {
                self.discovery_update(node, incarnation, change)
            }
            Event::NodeDrained { node, incarnation } if self.nodes[node].incarnation == incarnation => {
                self.nodes[node].leaving = true;
                self.record.node_state_changed(node, NodeState::Leaving, self.now);
            }
            Event::NodeStops { node, incarnation } if self.nodes[node].incarnation == incarnation => {
                self.kill(node)
            }
            Event::NodeDrained { .. } | Event::NodeStops { .. } => {}
            Event::NodeStarts { node } => self.start_node(node),
            Event::ProbeEnds { node, incarnation, server, sent_at } => {
                self.probe_ends(node, incarnation, server, sent_at)
            }
        }
    }

    // Clients and the front load balancer.

    fn client_sends(&mut self, request: usize) {
        let number = self.try_counts[request];
        self.try_counts[request] += 1;
        self.record.tries += 1;
        let notice = micros(self.plan.experiment.deployment.front_notice);
        let in_use = |i: usize| {
            let node = &self.nodes[i];
            !node.leaving && node.died_at.is_none_or(|died_at| self.now < died_at + notice)
        };
        let node = self.plan.pick_node(request, number, in_use);
        let deadline = self.now + self.plan.requests[request].try_timeout;
        let try_id = self.tries.len();
        let incarnation = node.map_or(0, |node| self.nodes[node].incarnation);
        let (answered, abandoned, ended, attempts, executions) = Default::default();
        self.tries.push(ClientTry {
            request,
            node: node.unwrap_or(0),
            incarnation,
            deadline,
            answered,
            abandoned,
            ended,
            attempts,
            executions,
        });
        let link = node.map(|node| self.links.impairment(node, RemoteKind::Client, 0)).unwrap_or_default();
        let latency = self.client_latency(try_id as u64, &link.forward);
        match node {
            Some(_) if link.silent() => {}
            Some(node) if self.nodes[node].died_at.is_none() => {
                self.schedule(self.now + latency, Event::TryAtNode(try_id))
            }
            // The machine of the dead process refuses the connection.
            _ => {
                let outcome = ClientOutcome::Unreachable;
                self.schedule(
                    self.now + 2 * latency,
                    Event::ClientReceives { try_id, outcome, retry_after: 0 },
                )
            }
        }
        self.schedule(deadline, Event::ClientTimeout(try_id));
    }

    fn client_receives(&mut self, try_id: TryId, outcome: ClientOutcome, retry_after: Micros) {
        let client_try = &mut self.tries[try_id];
        if std::mem::replace(&mut client_try.ended, true) {
            return;
        }
        let request = client_try.request;
        self.record.request_ended(request, outcome, self.now);
        let number = self.try_counts[request] - 1;
        if let Some(retry_at) = self.plan.retry_at(request, number, outcome, retry_after, self.now) {
            self.schedule(retry_at, Event::ClientSends { request });
        }
    }

    // Nodes.

    /// Whether the node of a try still runs in the same incarnation.
    fn node_alive(&self, try_id: TryId) -> bool {
        let node = &self.nodes[self.tries[try_id].node];
        node.died_at.is_none() && node.incarnation == self.tries[try_id].incarnation
    }

    fn try_at_node(&mut self, try_id: TryId) {
        if !self.node_alive(try_id) {
            let latency = self.plan.latency(CLIENT_LATENCY_US, try_id as u64);
            let outcome = ClientOutcome::Unreachable;
            return self
                .schedule(self.now + latency, Event::ClientReceives { try_id, outcome, retry_after: 0 });
        }
        let (request, deadline) =
            (&self.plan.requests[self.tries[try_id].request], self.tries[try_id].deadline);
        let valid_until = deadline.saturating_sub(ANSWER_MARGIN);
        let request = Request {
            class: Some(ClassId(request.class)),
            key: Some(request.key),
            expected_work: Some(Duration::from_micros(request.hint_us as Micros)),
            write: self.plan.classes[request.class].write,
            client_retry: self.try_counts[self.tries[try_id].request] > 1,
            ..Request::new(&try_id.to_string(), Timestamp::from_micros(EPOCH + valid_until))
        };
        self.schedule(valid_until + ANSWER_GRACE, Event::AnswerDue(try_id));
        self.feed(self.tries[try_id].node, NodeEvent::Request(request));
    }

    /// Checks that a live node has answered a try by now.
    fn answer_due(&mut self, try_id: TryId) {
        if self.node_alive(try_id) && !self.tries[try_id].answered {
            let client_try = &mut self.tries[try_id];
            (client_try.answered, client_try.abandoned) = (true, true);
            let sent_at =
                client_try.deadline.saturating_sub(self.plan.requests[client_try.request].try_timeout);
            if self.nodes[client_try.node].disturbed_until < sent_at {
                self.record
                    .violation(self.now, "final-answer", || format!("request {try_id} was never answered"));
            }
            self.feed(self.tries[try_id].node, NodeEvent::Abandoned(request_id(try_id)));
        }
    }

    /// Passes an event to the decision module of a node, and carries out its actions.
    fn feed(&mut self, node: usize, event: NodeEvent) {
        if let Some(missed) = &mut self.nodes[node].missed {
            return missed.push(event);
        }
        let Some(mut decisions) = self.nodes[node].decisions.take() else { return };
        let mut actions = Vec::new();
        let try_id = match &event {
            NodeEvent::Request(request) => Some(try_id_of(&request.id)),
            NodeEvent::Outcome(outcome) => Some(try_id_of(&outcome.id)),
            _ => None,
        };
        if let Some(client_try) = try_id.and_then(|try_id| self.tries.get(try_id)) {
            decisions.observe(self.now, &self.fleet, self.plan.requests[client_try.request].key);
        }
        decisions.handle(Timestamp::from_micros(EPOCH + self.now), event, &mut actions);
        self.nodes[node].decisions = Some(decisions);
        for action in actions {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { id, server, timeout, .. } => self.send(node, try_id_of(&id), &server, timeout),
            Action::Refuse { id, retry_after, .. } => self.refuse(node, try_id_of(&id), retry_after),
            Action::Fail { id, .. } => self.answer(try_id_of(&id), ClientOutcome::Failed, 0),
            Action::Wake { after } => {
                let incarnation = self.nodes[node].incarnation;
                self.schedule(self.now + micros(after).max(1), Event::NodeTimer { node, incarnation });
            }
            Action::Close { server } => {
                let server = self.fleet.index_of(&server).unwrap_or(usize::MAX);
                let closed = self.nodes[node].idle_connections.remove(&server).unwrap_or_default().len();
                if let Some(machine) = self.fleet.machines.get_mut(server) {
                    machine.server.connections = machine.server.connections.saturating_sub(closed);
                }
            }
            Action::Probe { server } => self.probe(node, server),
            Action::Cancel { .. } | Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn probe(&mut self, node: usize, id: ServerId) {
        let Some(server) = self.fleet.index_of(&id) else { return };
        let link = self.links.impairment(node, RemoteKind::Server, server);
        let round_trip = self.server_latency(node, server, self.scheduled ^ 1 << 43, &link.forward) * 2;
        let (incarnation, sent_at) = (self.nodes[node].incarnation, self.now);
        let after = if link.silent() { CONNECT_TIMEOUT } else { round_trip };
        self.schedule(self.now + after, Event::ProbeEnds { node, incarnation, server, sent_at });
    }

    /// Lets a probe reach its server and return to its node, both at this moment.
    fn probe_ends(&mut self, node: usize, incarnation: u32, server: usize, sent_at: Micros) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].died_at.is_some() {
            return;
        }
        let mut out = Vec::new();
        let silent = self.links.impairment(node, RemoteKind::Server, server).silent();
        let succeeded = if silent { None } else { self.fleet.probe(self.now, server, &mut out) };
        self.handle_outputs(out);
        let load =
            succeeded.map_or_else(LoadReport::default, |_| self.fleet.load_report(self.now, server, sent_at));
        let status = match succeeded {
            Some(true) => Status::Ok,
            Some(false) => Status::Failed,
            None => Status::TimedOut,
        };
        let took = Duration::from_micros(self.now - sent_at);
        self.record.probes += 1;
        let server = self.fleet.machines[server].id.clone();
        self.feed(node, NodeEvent::Probed { server, status, took, load });
    }

    fn refuse(&mut self, node: usize, try_id: TryId, retry_after: Duration) {
        let may_have_run = self.first_possible_execution(try_id).is_some();
        let class = self.plan.class(self.tries[try_id].request);
        self.record.request_refused(NodeAction { now: self.now, node, try_id, class }, may_have_run);
        self.answer(try_id, ClientOutcome::Refused, micros(retry_after));
    }

    /// When the first attempt of a try was sent that is in flight or may have been executed.
    fn first_possible_execution(&self, try_id: TryId) -> Option<Micros> {
        let attempts = self.tries[try_id].attempts.iter().map(|&attempt| &self.attempts[attempt]);
        attempts.filter(|attempt| !attempt.ended || attempt.may_have_run).map(|attempt| attempt.sent_at).min()
    }

    fn answer(&mut self, try_id: TryId, outcome: ClientOutcome, retry_after: Micros) {
        if self.tries[try_id].abandoned {
            return;
        }
        if std::mem::replace(&mut self.tries[try_id].answered, true) {
            return self
                .record
                .violation(self.now, "final-answer", || format!("request {try_id} was answered twice"));
        }
        let link = self.links.impairment(self.tries[try_id].node, RemoteKind::Client, 0);
        let latency = self.client_latency(try_id as u64 ^ 1 << 40, &link.backward);
        if !link.backward.silent {
            self.schedule(self.now + latency, Event::ClientReceives { try_id, outcome, retry_after });
        }
    }

    fn send(&mut self, node: usize, try_id: TryId, server: &ServerId, timeout: Duration) {
        let Some(server) = self.fleet.index_of(server) else { return };
        let work_us = self.plan.requests[self.tries[try_id].request].work_us;
        self.check_send(node, try_id, server);
        let idle = self.nodes[node].idle_connections.entry(server).or_default();
        let reused = idle.pop().filter(|since| self.now < since + KEEPALIVE_TIMEOUT);
        let machine = &mut self.fleet.machines[server];
        let new_connection = reused.is_none();
        if new_connection {
            // The other connections have been idle for longer, so they have expired as well.
            machine.server.connections = machine.server.connections.saturating_sub(idle.len());
            idle.clear();
        }
        let link = self.links.impairment(node, RemoteKind::Server, server);
        let (silent, removed) =
            (machine.unresponsive() || link.silent(), machine.availability == Availability::Removed);
        let refused = new_connection && !silent && (removed || !machine.server.accepts_connections());
        let (number, attempt) = (self.tries[try_id].attempts.len() as u32, self.attempts.len());
        self.record.attempts += 1;
        self.record.crossings += u64::from(self.nodes[node].zone != self.fleet.machines[server].zone);
        self.record.connections += u64::from(new_connection && !refused && !silent);
        if new_connection && !refused && !silent {
            self.fleet.machines[server].server.connections += 1;
        }
        let until =
            (self.now + micros(timeout)).min(self.tries[try_id].deadline.saturating_sub(ANSWER_MARGIN));
        self.attempts.push(Attempt {
            try_id,
            number,
            server,
            incarnation: self.nodes[node].incarnation,
            sent_at: self.now,
            ended: false,
            new_connection,
            // On an open connection the request is written immediately.
            written: !new_connection,
            may_have_run: false,
            used: false,
            work_us,
        });
        self.tries[try_id].attempts.push(attempt);
        let draw_id = (try_id as u64) << 8 | u64::from(number);
        let latency = self.server_latency(node, server, draw_id, &link.forward);
        if refused {
            return self.schedule(self.now + 2 * latency, Event::ConnectFails(attempt));
        }
        self.schedule(until.max(self.now + 1), Event::AttemptTimeout(attempt));
        if silent && new_connection {
            return self.schedule((self.now + CONNECT_TIMEOUT).min(until), Event::ConnectFails(attempt));
        }
        if !link.forward.silent {
            // A new connection costs a round trip before the request.
            self.schedule(
                self.now + if new_connection { 3 * latency } else { latency },
                Event::AttemptAtServer(attempt),
            );
        }
    }

    /// Checks the rules on drains and on resending.
    fn check_send(&mut self, node: usize, try_id: TryId, server: usize) {
        let notice = self.nodes[node]
            .drain_notices
            .get(&server)
            .map(|&notified_at| DrainNotice { notified_at, grace: DRAIN_GRACE });
        let first = self.first_possible_execution(try_id);
        let class = self.plan.class(self.tries[try_id].request);
        let action = NodeAction { now: self.now, node, try_id, class };
        self.record.attempt_sent(action, &self.fleet.machines[server].id, notice, first);
    }

    /// Ends an attempt for its node, if it is still in flight.
    fn end_attempt(&mut self, attempt_id: AttemptId, status: Status, cache_status: Option<CacheStatus>) {
        let attempt = &mut self.attempts[attempt_id];
        let (try_id, server, took) = (attempt.try_id, attempt.server, self.now - attempt.sent_at);
        if std::mem::replace(&mut attempt.ended, true) {
            return;
        }
        // A request that was written completely may have been executed, whatever the response.
        attempt.may_have_run |= matches!(status, Status::TimedOut | Status::Reset | Status::Failed);
        let (number, incarnation) = (attempt.number, attempt.incarnation);
        let node = self.tries[try_id].node;
        if self.nodes[node].incarnation != incarnation || self.nodes[node].died_at.is_some() {
            return;
        }
        match status {
            Status::Ok | Status::Failed | Status::QueueFull => {
                self.nodes[node].idle_connections.entry(server).or_default().push(self.now);
            }
            // After a timeout or a reset the connection is closed.
            _ => {
                let machine = &mut self.fleet.machines[server].server;
                machine.connections = machine.connections.saturating_sub(1);
            }
        }
        if status == Status::Ok && !self.tries[try_id].answered {
            self.attempts[attempt_id].used = true;
            self.answer(try_id, ClientOutcome::Served, 0);
            let write = self.plan.classes[self.plan.requests[self.tries[try_id].request].class].write;
            if !write {
                self.record.reads.0 += 1;
                self.record.reads.1 += u64::from(cache_status == Some(CacheStatus::Miss));
            }
        }
        let finished = self.tries[try_id].answered;
        let load = match cache_status {
            Some(_) => self.fleet.load_report(self.now, server, attempt_id as u64),
            None => LoadReport::default(),
        };
        let (id, server) = (request_id(try_id), self.fleet.machines[server].id.clone());
        let took = Duration::from_micros(took);
        self.feed(
            node,
            NodeEvent::Outcome(Outcome {
                id,
                attempt: number,
                server,
                status,
                cache_status,
                took,
                finished,
                load,
            }),
        );
    }

    // Servers and the origin.

    fn attempt_at_server(&mut self, attempt_id: AttemptId) {
        let attempt = &mut self.attempts[attempt_id];
        attempt.written = true;
        let (server, try_id, new_connection, number) =
            (attempt.server, attempt.try_id, attempt.new_connection, attempt.number);
        let client_try = &self.tries[try_id];
        let entry = &self.fleet.machines[server].entry;
        let known = self.discovery.known_entry(client_try.node, &entry.id);
        let notified = known.is_some_and(|known| known.started == entry.started);
        let draw_id = (try_id as u64) << 8 | u64::from(number);
        let request = client_try.request;
        let arrival = Arrival { job: attempt_id as u64, request, draw_id, new_connection, notified };
        let mut out = Vec::new();
        self.fleet.receive(self.now, server, arrival, &mut out);
        self.handle_outputs(out);
    }

    fn handle_outputs(&mut self, out: Vec<FleetOutput>) {
        for output in out {
            match output {
                FleetOutput::Schedule(at, event) => self.schedule(at, Event::Fleet(event)),
                FleetOutput::Respond { server, job, response } => {
                    let attempt = job as usize;
                    let node = self.tries[self.attempts[attempt].try_id].node;
                    let link = self.links.impairment(node, RemoteKind::Server, server);
                    let latency = self.server_latency(node, server, job ^ 1 << 41, &link.backward);
                    // Servers take 3 ms to respond with an error.
                    let latency = latency + if response == ServerResponse::Error { 3_000 } else { 0 };
                    if !link.backward.silent {
                        self.schedule(self.now + latency, Event::ResponseAtNode { attempt, response });
                    }
                }
                FleetOutput::Started(job) => self.execution_started(job as usize),
                FleetOutput::ColdCrash { server, notified_share } => {
                    self.record.cold_crash(self.now, &self.fleet.machines[server].id, notified_share);
                }
                FleetOutput::Publish(entries) => self.publish(entries),
                // Attempts check reachability when they are sent.
                FleetOutput::ReachabilityChanged => {}
                FleetOutput::Restarted(servers) => {
                    for node in &mut self.nodes {
                        servers.iter().for_each(|server| drop(node.idle_connections.remove(server)));
                    }
                }
                FleetOutput::ExternalFault { fault, begins, step } => self.apply_fault(fault, begins, step),
            }
        }
    }

    fn execution_started(&mut self, attempt: AttemptId) {
        self.attempts[attempt].may_have_run = true;
        let try_id = self.attempts[attempt].try_id;
        self.tries[try_id].executions += 1;
        let client_try = &self.tries[try_id];
        let class = self.plan.class(client_try.request);
        self.record.execution_started(self.now, try_id, class, client_try.executions);
    }

    fn response_at_node(&mut self, attempt: AttemptId, response: ServerResponse) {
        let (status, cache_status) = match response {
            ServerResponse::Hit => (Status::Ok, Some(CacheStatus::Hit)),
            ServerResponse::Miss => (Status::Ok, Some(CacheStatus::Miss)),
            ServerResponse::Error => (Status::Failed, None),
            ServerResponse::Truncated => (Status::Reset, None),
            ServerResponse::QueueFull => (Status::QueueFull, None),
        };
        self.end_attempt(attempt, status, cache_status);
    }

    // Discovery.

    /// Publishes changed entries. Each node receives them after its own delay and in order.
    fn publish(&mut self, entries: Arc<[ServerEntry]>) {
        let (change, received) = self.discovery.publish(&self.plan, self.now, entries);
        for (node, at) in received.into_iter().enumerate() {
            let incarnation = self.nodes[node].incarnation;
            self.schedule(at, Event::DiscoveryUpdate { node, incarnation, change });
        }
    }

    fn discovery_update(&mut self, node: usize, incarnation: u32, change: usize) {
        if self.links.impairment(node, RemoteKind::Discovery, 0).silent() {
            // It is delivered once the link works again, still in order.
            return self.schedule(
                self.now + DISCOVERY_RETRY_INTERVAL,
                Event::DiscoveryUpdate { node, incarnation, change },
            );
        }
        let entries = self.discovery.deliver(node, change);
        for entry in entries.iter() {
            let notified = &mut self.nodes[node];
            let Some(server) = self.fleet.index_of(&entry.id) else { continue };
            match entry.availability {
                Availability::Ready => drop(notified.drain_notices.remove(&server)),
                _ => {
                    notified.drain_notices.entry(server).or_insert(self.now);
                    notified.idle_connections.remove(&server);
                }
            }
        }
        // The agent outlives the process; a node that is down gets the update when it starts.
        if self.nodes[node].incarnation == incarnation && self.nodes[node].died_at.is_none() {
            let entries = self.with_clock_offset(node, entries);
            self.feed(node, NodeEvent::Servers(ServerList::Changes(entries)));
        }
    }

    /// Entries with start times as a node reads them whose clock is ahead.
    fn with_clock_offset(&self, node: usize, entries: Arc<[ServerEntry]>) -> Arc<[ServerEntry]> {
        let offset_us = self.nodes[node].clock_offset_s * SECOND as f64;
        if offset_us == 0.0 {
            return entries;
        }
        let read =
            |at: Timestamp| Timestamp::from_micros((at.as_micros() as f64 - offset_us).max(1.0) as Micros);
        let entries = entries.iter().map(|e| ServerEntry { started: e.started.map(read), ..e.clone() });
        entries.collect()
    }

    // Faults.

    fn apply_fault(&mut self, fault: usize, begins: bool, step: usize) {
        let plan = Rc::clone(&self.plan);
        let scheduled = &plan.experiment.fault[fault];
        let affected = plan.affected(fault, self.nodes.len(), scheduled.part);
        match scheduled.what {
            FaultKind::NodeKilled => affected.into_iter().for_each(|node| match begins {
                true => self.kill(node),
                false => self.start_node(node),
            }),
            FaultKind::NodeTerminated => affected.into_iter().for_each(|node| match begins {
                true => drop(self.terminate(node)),
                false => self.start_node(node),
            }),
            FaultKind::NodesRolled if begins => {
                if let Some(&node) = affected.get(step) {
                    let stops_at = self.terminate(node);
                    self.schedule(stops_at + RESTART_DURATION, Event::NodeStarts { node });
                }
            }
            FaultKind::NodePaused => affected.into_iter().for_each(|node| self.set_paused(node, begins)),
            FaultKind::NodeClock => {
                let offset = if begins { scheduled.size } else { 0.0 };
                affected.into_iter().for_each(|node| self.nodes[node].clock_offset_s = offset);
            }
            FaultKind::Link => {
                let on = begins && step.is_multiple_of(2);
                let Some(link_fault) = self.links.set_fault(&plan, fault, on) else { return };
                if link_fault.remote == RemoteKind::Client {
                    let until = if begins { Micros::MAX } else { self.now };
                    link_fault.nodes.iter().for_each(|&node| self.nodes[node].disturbed_until = until);
                }
                if on && scheduled.link.as_ref().is_some_and(|link| link.reset) {
                    self.reset_connections(&link_fault);
                }
            }
            FaultKind::DiscoveryLate | FaultKind::DiscoveryLoses => {
                self.discovery.apply_fault(&plan, scheduled, begins)
            }
            // Faults of servers and origin are the fleet's; the others have no counterpart in the virtual driver.
            _ => {}
        }
    }

    /// Starts the planned shutdown of a node. Returns when its process ends.
    fn terminate(&mut self, node: usize) -> Micros {
        let incarnation = self.nodes[node].incarnation;
        let stops_at = self.now + self.plan.kill_delay();
        self.schedule(self.now + FRONT_DRAIN_DELAY, Event::NodeDrained { node, incarnation });
        self.schedule(stops_at, Event::NodeStops { node, incarnation });
        stops_at
    }

    fn set_paused(&mut self, node: usize, paused: bool) {
        let state = if paused { NodeState::Paused } else { NodeState::Serving };
        self.record.node_state_changed(node, state, self.now);
        if paused {
            self.nodes[node].disturbed_until = Micros::MAX;
            self.nodes[node].missed.get_or_insert_default();
        } else {
            self.nodes[node].disturbed_until = self.now;
            let missed = self.nodes[node].missed.take().unwrap_or_default();
            missed.into_iter().for_each(|event| self.feed(node, event));
        }
    }

    /// Resets the open connections to servers on the links that a fault affects.
    fn reset_connections(&mut self, fault: &ActiveLinkFault) {
        if fault.remote != RemoteKind::Server {
            return;
        }
        for &node in &fault.nodes {
            fault.servers.iter().for_each(|server| drop(self.nodes[node].idle_connections.remove(server)));
        }
        let is_reset = |attempt: &Attempt| {
            !attempt.ended
                && fault.servers.contains(&attempt.server)
                && fault.nodes.contains(&self.tries[attempt.try_id].node)
        };
        let recent =
            (0..self.attempts.len()).rev().take_while(|&i| self.attempts[i].sent_at + 10 * SECOND > self.now);
        let reset: Vec<_> = recent.filter(|&attempt| is_reset(&self.attempts[attempt])).collect();
        for attempt in reset.into_iter().rev() {
            let status = if self.attempts[attempt].written { Status::Reset } else { Status::ConnectError };
            self.end_attempt(attempt, status, None);
        }
    }

    fn kill(&mut self, node: usize) {
        self.record.node_state_changed(node, NodeState::Down, self.now);
        let killed = &mut self.nodes[node];
        killed.decisions = None;
        killed.died_at = Some(self.now);
        killed.incarnation += 1;
        for (server, idle) in std::mem::take(&mut killed.idle_connections) {
            let machine = &mut self.fleet.machines[server].server;
            machine.connections = machine.connections.saturating_sub(idle.len());
        }
        // Its clients' connections are reset, which they notice one latency later.
        let lost: Vec<_> = (0..self.tries.len())
            .rev()
            .take_while(|&try_id| self.tries[try_id].deadline + 10 * SECOND > self.now)
            .filter(|&try_id| self.tries[try_id].node == node && !self.tries[try_id].answered)
            .filter(|&try_id| !self.tries[try_id].ended)
            .collect();
        for try_id in lost.into_iter().rev() {
            let latency = self.plan.latency(CLIENT_LATENCY_US, try_id as u64 ^ 1 << 42);
            let outcome = ClientOutcome::Failed;
            self.schedule(self.now + latency, Event::ClientReceives { try_id, outcome, retry_after: 0 });
        }
    }
}

fn request_id(try_id: TryId) -> RequestId {
    RequestId::from(try_id.to_string().as_str())
}

fn try_id_of(id: &RequestId) -> TryId {
    id.as_str().parse().unwrap_or(usize::MAX)
}
