//! Drives the decision module: the only owner of the `Balancer` and of the requests in flight. Events arrive
//! on a channel, and the module's actions are performed in order; nothing is chosen, retried or refused here.

use crate::net::discovery::listing::Listing;
use crate::net::server::{Answer, ClientEvent, ClientRequest};
use crate::net::upstream::{AttemptResult, StartCondition, Upstream, UpstreamRequest};
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};
use tracing::{debug, debug_span, info, warn, Span};
use walkpick::policy::repeats::RecentRequests;
use walkpick::{
    Action, Availability, Balancer, CacheStatus, EndReason, Event, Name, Outcome, Request, RequestId,
    ServerEntry, ServerId, ServerList, Status, Timestamp,
};

/// Subtracted from a client's timeout, which runs from when the client sent the request, and to let the
/// answer travel back.
const CLIENT_MARGIN: Duration = Duration::from_millis(5);
/// How long after a request's deadline (its timeout less the margin) the module may still give its own
/// answer.
const ANSWER_DEADLINE_MARGIN: Duration = Duration::from_millis(4);

/// Input from the other parts of the node.
#[derive(Debug)]
pub enum Input {
    Client(ClientEvent),
    Servers(Listing),
    /// The number of nodes, as far as this node may rely on it.
    Nodes(u32),
    AttemptEnded {
        id: RequestId,
        attempt: u32,
        result: AttemptResult,
    },
    /// The node is shutting down: every answer is due by this time.
    ShuttingDown {
        answer_by: Instant,
    },
}

/// The node's only clock. It starts at the system time, in which discovery gives its times, and is monotonic.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Duration,
}

impl Clock {
    /// Starts a clock at the current time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), unix }
    }

    fn at(&self, instant: Instant) -> Timestamp {
        let time = self.unix + instant.saturating_duration_since(self.origin);
        Timestamp::from_micros(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
    }
}

struct InFlightRequest {
    span: Span,
    upstream_request: Rc<UpstreamRequest>,
    class_name: Name,
    received_at: Instant,
    latency_target: Duration,
    /// `None` once the final answer has been given.
    answer: Option<oneshot::Sender<Answer>>,
    /// Set with the final answer, or when the client disconnects: no attempt starts after that.
    finished: Rc<Cell<bool>>,
    deadline: Instant,
    repeatable: bool,
    attempts: Vec<Attempt>,
}

struct Attempt {
    server: ServerId,
    sent_at: Instant,
    /// Its result, and how long after sending it came.
    end: Option<(Status, Option<CacheStatus>, Duration)>,
    /// Set when its first byte has been sent.
    started: Rc<Cell<bool>>,
    /// `None` once its result is known.
    task: Option<AbortHandle>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Wake,
    AnswerDeadline(RequestId),
}

/// See the module documentation.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    upstream: Rc<Upstream>,
    ready: Rc<Cell<bool>>,
    events: UnboundedSender<Input>,
    in_flight: HashMap<RequestId, InFlightRequest>,
    /// During a shutdown: by when the last answer is due.
    answer_by: Option<Instant>,
    timers: BTreeSet<(Instant, Timer)>,
    pending_events: VecDeque<Event>,
    list: CurrentList,
    /// Requests that must not run twice.
    unrepeatable: RecentRequests,
}

/// The server list in use, logged so that lines can be compared with discovery's record.
#[derive(Clone, Copy, Debug)]
struct CurrentList {
    seq: u64,
    /// When it was applied.
    since: Instant,
}

/// Maximum number of servers named in one log line.
const MAX_NAMED_SERVERS: usize = 20;

impl Driver {
    /// `events` receives the results of attempts: the sending end of what `run` reads.
    pub fn new(
        balancer: Balancer,
        upstream: Rc<Upstream>,
        ready: Rc<Cell<bool>>,
        events: UnboundedSender<Input>,
    ) -> Self {
        Self {
            balancer,
            clock: Clock::start(),
            upstream,
            ready,
            events,
            in_flight: HashMap::new(),
            answer_by: None,
            timers: BTreeSet::new(),
            pending_events: VecDeque::new(),
            list: CurrentList { seq: 0, since: Instant::now() },
            unrepeatable: RecentRequests::default(),
        }
    }

    /// Runs for as long as the node does.
    pub async fn run(mut self, known: Listing, mut inputs: UnboundedReceiver<Input>) {
        self.restore(known);
        while self.step(&mut inputs).await {}
    }

    fn restore(&mut self, known: Listing) {
        let entries = self.apply_list(&Listing { whole: true, ..known });
        self.pending_events.push_back(Event::Restored(entries));
        self.process_events();
    }

    /// Handles one input or timer with everything that follows from it. Returns `false` when no more input
    /// can come.
    async fn step(&mut self, inputs: &mut UnboundedReceiver<Input>) -> bool {
        let next = self.timers.first().map(|(at, _)| *at);
        let timer = async {
            match next {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            input = inputs.recv() => match input {
                Some(input) => self.handle_input(input),
                None => return false,
            },
            () = timer => self.fire_timers(),
        }
        self.process_events();
        true
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Client(ClientEvent::Request(client_request)) => self.accept_request(*client_request),
            Input::Client(ClientEvent::Disconnected(ticket)) => {
                let id = request_id(ticket);
                if let Some(request) = self.in_flight.get_mut(&id).filter(|request| request.answer.is_some())
                {
                    request.answer = None;
                    request.finished.set(true);
                    request.log_end("left", None);
                    self.pending_events.push_back(Event::Abandoned(id.clone()));
                    self.cancel_unstarted(&id);
                }
            }
            Input::AttemptEnded { id, attempt, result } => self.attempt_ended(id, attempt, result),
            Input::Servers(listing) => {
                let entries = self.apply_list(&listing);
                let list =
                    if listing.whole { ServerList::Full(entries) } else { ServerList::Changes(entries) };
                self.pending_events.push_back(Event::Servers(list));
            }
            Input::Nodes(nodes) => self.pending_events.push_back(Event::NodeCount(nodes)),
            Input::ShuttingDown { answer_by } => self.shut_down(answer_by),
        }
    }

    /// Applies a list to the connection pools and returns its entries as the module's type. Both see the list
    /// in the same step, so that no attempt of the module can precede it.
    fn apply_list(&mut self, listing: &Listing) -> Arc<[ServerEntry]> {
        let entries: Arc<[ServerEntry]> = listing.hosts.iter().map(|host| host.entry()).collect();
        if listing.whole {
            let listed: HashSet<&ServerId> = entries.iter().map(|entry| &entry.id).collect();
            self.upstream.retain(|id| listed.contains(id));
        }
        for (host, entry) in listing.hosts.iter().zip(entries.iter()) {
            match entry.availability {
                Availability::Removed => self.upstream.remove(&entry.id),
                _ => self.upstream.apply(entry, host.dial()),
            }
        }
        self.list = CurrentList { seq: listing.seq, since: Instant::now() };
        let ready = entries.iter().filter(|entry| entry.availability == Availability::Ready).count();
        let (seq, whole) = (listing.seq, listing.whole);
        // Lists that only update weights arrive several times a second.
        if whole || ready < entries.len() {
            let (draining, gone) = (
                server_names(&entries, Availability::Draining),
                server_names(&entries, Availability::Removed),
            );
            info!(target: "discovery", seq, whole, ready, draining, gone, "list taken in");
        } else {
            debug!(target: "discovery", seq, whole, ready, "list taken in");
        }
        if ready > 0 {
            self.ready.set(true);
        }
        entries
    }

    fn accept_request(&mut self, client_request: ClientRequest) {
        let client_id = &client_request.upstream_request.id;
        let now = Instant::now().into_std();
        if !client_request.repeatable && !self.unrepeatable.record(now, client_id.as_bytes()) {
            let id = client_id.to_str().unwrap_or("?");
            info!(target: "request", class = client_request.class_name.as_str(), "request {id} failed: one with this id may have run");
            client_request.finished.set(true);
            // A client that has disconnected meanwhile is not owed an answer.
            let _ = client_request.answer.send(Answer::Failed);
            return;
        }
        let id = request_id(client_request.number);
        // A lagging node is late with its answers, too, so they are due earlier by its lag.
        let deadline = limit_to_shutdown(
            client_request.received_at
                + client_request.timeout.saturating_sub(CLIENT_MARGIN + client_request.lag),
            self.answer_by,
        );
        let client_id = client_request.upstream_request.id.to_str().unwrap_or("?");
        let request = InFlightRequest {
            span: debug_span!(target: "request", "request", id = client_id, ticket = client_request.number),
            upstream_request: Rc::new(client_request.upstream_request),
            class_name: client_request.class_name,
            received_at: client_request.received_at,
            latency_target: client_request.latency_target,
            answer: Some(client_request.answer),
            finished: client_request.finished,
            deadline,
            repeatable: client_request.repeatable,
            attempts: Vec::new(),
        };
        self.in_flight.insert(id.clone(), request);
        self.timers.insert(answer_timer(&id, deadline));
        self.pending_events.push_back(Event::Request(Request {
            id,
            class: Some(client_request.class),
            tenant: client_request.tenant,
            key: client_request.key,
            valid_until: self.clock.at(deadline),
            expected_work: client_request.expected_work,
            write: client_request.write,
            client_retry: client_request.client_retry,
        }));
    }

    /// Applies the shutdown's deadline to the requests in flight.
    fn shut_down(&mut self, answer_by: Instant) {
        self.answer_by = Some(answer_by);
        for (id, request) in self.in_flight.iter_mut().filter(|(_, request)| request.answer.is_some()) {
            let deadline = limit_to_shutdown(request.deadline, self.answer_by);
            if deadline < request.deadline {
                self.timers.remove(&answer_timer(id, request.deadline));
                self.timers.insert(answer_timer(id, deadline));
                request.deadline = deadline;
            }
        }
    }

    fn attempt_ended(&mut self, id: RequestId, attempt: u32, result: AttemptResult) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        // An attempt that has been cancelled has ended already.
        let Some(record) = request.attempts.get_mut(attempt as usize).filter(|record| record.task.is_some())
        else {
            return;
        };
        record.task = None;
        let (server, took) = (record.server.clone(), record.sent_at.elapsed());
        record.end = Some((result.status, result.cache_status, took));
        request.span.in_scope(|| {
            debug!(target: "request", attempt, %server, status = ?result.status, took_ms = took.as_millis() as u64, "attempt ended");
        });
        if let Some(body) = result.body {
            send_answer(request, Answer::Served(body), None);
        }
        let finished = request.answer.is_none();
        let AttemptResult { status, cache_status, load, .. } = result;
        self.remove_if_done(&id);
        self.pending_events.push_back(Event::Outcome(Outcome {
            id,
            attempt,
            server,
            status,
            cache_status,
            took,
            finished,
            load,
        }));
    }

    /// Cancels the attempts of a finished request that have not started. Those that have started go on: the
    /// request may run, and the result says something about its server.
    fn cancel_unstarted(&mut self, id: &RequestId) {
        let Some(request) = self.in_flight.get(id) else { return };
        let cancel = |(n, attempt): (usize, &Attempt)| {
            let task = attempt.task.as_ref().filter(|_| !attempt.started.get())?;
            task.abort();
            Some(n as u32)
        };
        let unstarted: Vec<_> = request.attempts.iter().enumerate().filter_map(cancel).collect();
        for attempt in unstarted {
            self.attempt_ended(id.clone(), attempt, AttemptResult::without_answer(Status::Ignored));
        }
        self.remove_if_done(id);
    }

    /// Drops a request that has its answer and no attempt in flight.
    fn remove_if_done(&mut self, id: &RequestId) {
        let done = |request: &InFlightRequest| {
            request.answer.is_none() && request.attempts.iter().all(|attempt| attempt.task.is_none())
        };
        if let Some(request) = self.in_flight.get(id).filter(|request| done(request)) {
            // Its deadline may be far off, as its client chooses it.
            self.timers.remove(&answer_timer(id, request.deadline));
            if !request.repeatable && !request.may_have_run() {
                self.unrepeatable.forget(request.upstream_request.id.as_bytes());
            }
            self.in_flight.remove(id);
        }
    }

    fn fire_timers(&mut self) {
        let now = Instant::now();
        while let Some(timer) = self.take_due_timer(now) {
            match timer {
                Timer::Wake => self.pending_events.push_back(Event::Timer),
                Timer::AnswerDeadline(id) => self.fail_overdue(id),
            }
        }
    }

    fn take_due_timer(&mut self, now: Instant) -> Option<Timer> {
        let (at, _) = self.timers.first()?;
        if *at > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    /// Fails a request that the module has not answered shortly after its deadline, so that its client is not
    /// left without an answer, and notifies the module that no answer is owed any more. Results of its
    /// attempts are still reported.
    fn fail_overdue(&mut self, id: RequestId) {
        let Some(request) = self.in_flight.get_mut(&id).filter(|request| request.answer.is_some()) else {
            return;
        };
        send_answer(request, Answer::Failed, Some(EndReason::OutOfTime));
        self.pending_events.push_back(Event::Abandoned(id.clone()));
        self.cancel_unstarted(&id);
    }

    fn process_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            self.balancer.handle(self.clock.at(Instant::now()), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout, start_within } => {
                self.send(id, server, timeout, start_within);
            }
            Action::Cancel { id, attempt } => {
                let Some(request) = self.in_flight.get_mut(&id) else { return };
                let task =
                    request.attempts.get_mut(attempt as usize).and_then(|attempt| attempt.task.as_ref());
                if let Some(task) = task {
                    // This closes the connection; otherwise the server's answer would be taken for that to
                    // the next request.
                    task.abort();
                    self.attempt_ended(id, attempt, AttemptResult::without_answer(Status::Canceled));
                }
            }
            Action::Refuse { id, retry_after, reason } => {
                self.finish(&id, Answer::Refused { retry_after }, reason);
            }
            Action::Fail { id, reason } => self.finish(&id, Answer::Failed, reason),
            Action::Wake { after } => {
                self.timers.insert((Instant::now() + after, Timer::Wake));
            }
            Action::Close { server } => self.upstream.close_idle(&server),
            Action::Log(text) => info!(target: "policy", "{text}"),
            // The module never probes where the settings forbid it, as they do for this program.
            Action::Probe { server } => {
                warn!(target: "policy", %server, "probe ignored: this node sends no probes")
            }
            // Nor does it subscribe where the settings say that lists are pushed, as they do here.
            Action::Subscribe => {
                warn!(target: "policy", "subscription request ignored: the discovery client has its own schedule")
            }
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId, timeout: Duration, start_within: Option<Duration>) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let (sent_at, attempt) = (Instant::now(), request.attempts.len() as u32);
        let deadline = request.deadline.min(sent_at + timeout);
        let start_by = start_within.map_or(deadline, |within| deadline.min(sent_at + within));
        let started = Rc::default();
        let start = StartCondition {
            request_finished: request.finished.clone(),
            deadline: start_by,
            started: Rc::clone(&started),
        };
        let (upstream, events) = (self.upstream.clone(), self.events.clone());
        let (upstream_request, target) = (request.upstream_request.clone(), server.clone());
        let task = tokio::task::spawn_local(async move {
            let result = upstream.attempt(&target, &upstream_request, deadline, &start).await;
            // The driver lives as long as the node.
            let _ = events.send(Input::AttemptEnded { id, attempt, result });
        });
        request.log_sent(&server, self.list);
        request.attempts.push(Attempt {
            server,
            sent_at,
            started,
            task: Some(task.abort_handle()),
            end: None,
        });
    }

    fn finish(&mut self, id: &RequestId, answer: Answer, reason: EndReason) {
        if let Some(request) = self.in_flight.get_mut(id) {
            send_answer(request, answer, Some(reason));
            self.cancel_unstarted(id);
        }
    }
}

impl InFlightRequest {
    /// Whether a server may have executed it, or may yet.
    fn may_have_run(&self) -> bool {
        let never_ran = |attempt: &Attempt| attempt.end.is_some_and(|(status, ..)| status.never_ran());
        !self.attempts.iter().all(never_ran)
    }

    /// Logs how a request ended. Together with the logs of the other parties a request can be traced by its
    /// id, without a packet capture.
    fn log_end(&self, end: &str, reason: Option<EndReason>) {
        let UpstreamRequest { id, method, target, .. } = &*self.upstream_request;
        let (id, after_ms) = (id.to_str().unwrap_or("?"), self.received_at.elapsed().as_millis() as u64);
        let (class, path) = (self.class_name.as_str(), target.as_str());
        let attempts = self.attempts_summary();
        let reason = reason.map(tracing::field::debug);
        self.span.in_scope(|| {
            info!(target: "request", after_ms, class, %method, path, reason, attempts, "request {id} {end}");
        });
    }

    /// Logs an attempt. A further attempt is logged with the results of those before it and with the list in
    /// use: a server that declines requests may be draining without the node knowing.
    fn log_sent(&self, server: &ServerId, list: CurrentList) {
        let attempt = self.attempts.len();
        if attempt == 0 {
            self.span.in_scope(|| debug!(target: "request", attempt, %server, "attempt sent"));
            return;
        }
        let id = self.upstream_request.id.to_str().unwrap_or("?");
        let (list_seq, list_age_ms) = (list.seq, list.since.elapsed().as_millis() as u64);
        let before = self.attempts_summary();
        self.span.in_scope(|| {
            info!(target: "request", attempt, %server, before, list_seq, list_age_ms, "request {id} is retried");
        });
    }

    fn attempts_summary(&self) -> String {
        let mut summary = String::new();
        for attempt in &self.attempts {
            let (separator, server) = (if summary.is_empty() { "" } else { ", " }, &attempt.server);
            // Writing to a string cannot fail.
            let _ = match attempt.end {
                Some((status, cache_status, took)) => {
                    let cache_status =
                        cache_status.map_or_else(String::new, |cache_status| format!(" ({cache_status:?})"));
                    write!(summary, "{separator}{server} {status:?}{cache_status} in {} ms", took.as_millis())
                }
                None => write!(
                    summary,
                    "{separator}{server} in flight for {} ms",
                    attempt.sent_at.elapsed().as_millis()
                ),
            };
        }
        summary
    }
}

/// The names of the servers with this availability, up to the limit of a log line.
fn server_names(entries: &[ServerEntry], availability: Availability) -> String {
    let matching: Vec<_> = entries.iter().filter(|entry| entry.availability == availability).collect();
    let mut names: Vec<_> = matching.iter().take(MAX_NAMED_SERVERS).map(|entry| entry.id.as_str()).collect();
    let more = format!("and {} more", matching.len().saturating_sub(MAX_NAMED_SERVERS));
    if matching.len() > MAX_NAMED_SERVERS {
        names.push(&more);
    }
    names.join(" ")
}

/// Sends the final answer and logs the request unless it was served in time. `reason` says why it ends
/// without an answer from a server.
fn send_answer(request: &mut InFlightRequest, answer: Answer, reason: Option<EndReason>) {
    if let Some(sender) = request.answer.take() {
        request.finished.set(true);
        let end = match answer {
            Answer::Served(_) if request.received_at.elapsed() <= request.latency_target => None,
            Answer::Served(_) => Some("served late"),
            Answer::Refused { .. } => Some("refused"),
            Answer::Failed => Some("failed"),
        };
        if let Some(end) = end {
            request.log_end(end, reason);
        }
        // A client that has disconnected meanwhile is not owed an answer.
        let _ = sender.send(answer);
    }
}

/// Limits a deadline to what the node's own shutdown leaves of it, so that clients which would wait longer
/// get their answer before the exit.
fn limit_to_shutdown(deadline: Instant, answer_by: Option<Instant>) -> Instant {
    match answer_by {
        Some(answer_by) => deadline.min(answer_by.checked_sub(ANSWER_DEADLINE_MARGIN).unwrap_or(answer_by)),
        None => deadline,
    }
}

/// The timer that ends a request which has this deadline.
fn answer_timer(id: &RequestId, deadline: Instant) -> (Instant, Timer) {
    (deadline + ANSWER_DEADLINE_MARGIN, Timer::AnswerDeadline(id.clone()))
}

fn request_id(number: u64) -> RequestId {
    RequestId::from(number.to_string().as_str())
}

#[cfg(test)]
mod tests;
