//! Drives the module: the only owner of the `Balancer` and of what is open. Events come in by channel and the
//! module's actions are carried out in order; nothing is picked, repeated or refused here.

use crate::net::discovery::listing::Listing;
use crate::net::server::{Answer, Taken, Word};
use crate::net::upstream::{Ended, Message, Start, Upstream};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};
use tracing::{debug, debug_span, info, warn, Span};
use walkpick::{
    Action, Availability, Balancer, CacheStatus, EndReason, Event, Name, Outcome, Request, RequestId,
    ServerEntry, ServerId, ServerList, Status, Timestamp,
};

/// Taken off a client's time: it counts from when the client sent, and the answer has its way back to go.
const MARGIN: Duration = Duration::from_millis(5);
/// How long past a request's time, less the margin, the module has for its own answer.
const GUARD: Duration = Duration::from_millis(4);

/// What the node's other parts tell the driver.
#[derive(Debug)]
pub enum Input {
    Client(Word),
    Servers(Listing),
    /// So many nodes there are, as far as this one may rely on it.
    Nodes(u32),
    Ended {
        id: RequestId,
        attempt: u32,
        ended: Ended,
    },
    /// The node stops: every answer is due by then.
    Stopping {
        answer_by: Instant,
    },
}

/// The one clock: it runs evenly, from the system's time at the start, which discovery's times are told in.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), unix }
    }

    fn at(&self, instant: Instant) -> Timestamp {
        let time = self.unix + instant.saturating_duration_since(self.origin);
        Timestamp::from_micros(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
    }
}

struct InFlight {
    span: Span,
    message: Rc<Message>,
    kind: Name,
    at: Instant,
    aim: Duration,
    /// `None` once the final answer is given.
    answer: Option<oneshot::Sender<Answer>>,
    /// Set with the final answer, or by whoever sees its client leave: no attempt begins after that.
    over: Rc<Cell<bool>>,
    until: Instant,
    attempts: Vec<Sent>,
}

struct Sent {
    server: ServerId,
    at: Instant,
    /// How it ended, and how long after it was sent.
    end: Option<(Status, Option<CacheStatus>, Duration)>,
    /// Its first byte was handed on.
    begun: Rc<Cell<bool>>,
    /// `None` once its end is known.
    task: Option<AbortHandle>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Wake,
    Guard(RequestId),
}

/// See the module's page.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    upstream: Rc<Upstream>,
    ready: Rc<Cell<bool>>,
    events: UnboundedSender<Input>,
    in_flight: HashMap<RequestId, InFlight>,
    /// When the node stops: by when the last answer is due.
    answer_by: Option<Instant>,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    due: VecDeque<Event>,
    list: ListInForce,
}

/// Which list the node works from: what a line of the log needs to be held against discovery's record.
#[derive(Clone, Copy, Debug)]
struct ListInForce {
    seq: u64,
    /// When it was taken in.
    since: Instant,
}

/// Servers named in one line of the log, at the most.
const NAMED_MOST: usize = 20;

impl Driver {
    /// `events` is where attempts report to: the sending end of what `run` reads.
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
            timers: BinaryHeap::new(),
            due: VecDeque::new(),
            list: ListInForce { seq: 0, since: Instant::now() },
        }
    }

    /// Runs for as long as the node does.
    pub async fn run(mut self, known: Listing, mut inputs: UnboundedReceiver<Input>) {
        self.restore(known);
        while self.step(&mut inputs).await {}
    }

    fn restore(&mut self, known: Listing) {
        let entries = self.learn(&Listing { whole: true, ..known });
        self.due.push_back(Event::Restored(entries));
        self.handle_due();
    }

    /// Takes in one thing that happens, and does all that follows from it. `false` where nothing more can come.
    async fn step(&mut self, inputs: &mut UnboundedReceiver<Input>) -> bool {
        let next = self.timers.peek().map(|Reverse((at, _))| *at);
        let timer = async {
            match next {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            input = inputs.recv() => match input {
                Some(input) => self.take(input),
                None => return false,
            },
            () = timer => self.ring(),
        }
        self.handle_due();
        true
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Client(Word::Taken(taken)) => self.request(*taken),
            Input::Client(Word::Left(ticket)) => {
                let id = request_id(ticket);
                if let Some(open) = self.in_flight.get_mut(&id).filter(|open| open.answer.is_some()) {
                    open.answer = None;
                    open.over.set(true);
                    open.tell("left", None);
                    self.due.push_back(Event::Abandoned(id.clone()));
                    self.cancel_unsent(&id);
                }
            }
            Input::Ended { id, attempt, ended } => self.ended(id, attempt, ended),
            Input::Servers(listing) => {
                let entries = self.learn(&listing);
                let list =
                    if listing.whole { ServerList::Full(entries) } else { ServerList::Changes(entries) };
                self.due.push_back(Event::Servers(list));
            }
            Input::Nodes(nodes) => self.due.push_back(Event::NodeCount(nodes)),
            Input::Stopping { answer_by } => self.stop(answer_by),
        }
    }

    /// Hands a list to the connections and gives its entries back as the module's. It goes to both in one
    /// step, so that no attempt of the module's can overtake it.
    fn learn(&mut self, listing: &Listing) -> Arc<[ServerEntry]> {
        let entries: Arc<[ServerEntry]> = listing.hosts.iter().map(|host| host.entry()).collect();
        if listing.whole {
            let listed: HashSet<&ServerId> = entries.iter().map(|entry| &entry.id).collect();
            self.upstream.retain(|id| listed.contains(id));
        }
        for (host, entry) in listing.hosts.iter().zip(entries.iter()) {
            match entry.availability {
                Availability::Removed => self.upstream.forget(&entry.id),
                _ => self.upstream.learn(entry, host.dial()),
            }
        }
        self.list = ListInForce { seq: listing.seq, since: Instant::now() };
        let ready = entries.iter().filter(|entry| entry.availability == Availability::Ready).count();
        let (seq, whole) = (listing.seq, listing.whole);
        // Lists that only renew weights come several times a second.
        if whole || ready < entries.len() {
            let (draining, gone) =
                (named(&entries, Availability::Draining), named(&entries, Availability::Removed));
            info!(target: "discovery", seq, whole, ready, draining, gone, "list taken in");
        } else {
            debug!(target: "discovery", seq, whole, ready, "list taken in");
        }
        if ready > 0 {
            self.ready.set(true);
        }
        entries
    }

    fn request(&mut self, taken: Taken) {
        let id = request_id(taken.ticket);
        // A node that is behind is behind with its answers, too: they are due that much sooner.
        let until = bound(taken.at + taken.patience.saturating_sub(MARGIN + taken.behind), self.answer_by);
        let client_id = taken.message.id.to_str().unwrap_or("?");
        let open = InFlight {
            span: debug_span!(target: "request", "request", id = client_id, ticket = taken.ticket),
            message: Rc::new(taken.message),
            kind: taken.kind,
            at: taken.at,
            aim: taken.aim,
            answer: Some(taken.answer),
            over: taken.over,
            until,
            attempts: Vec::new(),
        };
        self.in_flight.insert(id.clone(), open);
        self.timers.push(Reverse((until + GUARD, Timer::Guard(id.clone()))));
        self.due.push_back(Event::Request(Request {
            id,
            class: Some(taken.class),
            tenant: taken.tenant,
            key: taken.key,
            valid_until: self.clock.at(until),
            expected_work: taken.expected_work,
            write: taken.write,
            client_retry: taken.client_retry,
        }));
    }

    /// Whatever is out when the node is told to stop is held to its end as well.
    fn stop(&mut self, answer_by: Instant) {
        self.answer_by = Some(answer_by);
        for (id, open) in self.in_flight.iter_mut().filter(|(_, open)| open.answer.is_some()) {
            let until = bound(open.until, self.answer_by);
            if until < open.until {
                open.until = until;
                self.timers.push(Reverse((until + GUARD, Timer::Guard(id.clone()))));
            }
        }
    }

    fn ended(&mut self, id: RequestId, attempt: u32, ended: Ended) {
        let Some(open) = self.in_flight.get_mut(&id) else { return };
        // One that was cancelled meanwhile has ended already.
        let Some(sent) = open.attempts.get_mut(attempt as usize).filter(|sent| sent.task.is_some()) else {
            return;
        };
        sent.task = None;
        let (server, took) = (sent.server.clone(), sent.at.elapsed());
        sent.end = Some((ended.status, ended.note, took));
        open.span.in_scope(|| {
            debug!(target: "request", attempt, %server, status = ?ended.status, took_ms = took.as_millis() as u64, "ended");
        });
        if let Some(body) = ended.body {
            reply(open, Answer::Served(body), None);
        }
        let finished = open.answer.is_none();
        let Ended { status, note, load, .. } = ended;
        self.tidy(&id);
        self.due.push_back(Event::Outcome(Outcome {
            id,
            attempt,
            server,
            status,
            cache_status: note,
            took,
            finished,
            load,
        }));
    }

    /// Takes back what is on its way for a request that is over and has not begun. What has begun goes on: it may run,
    /// and what it comes to tells of its server.
    fn cancel_unsent(&mut self, id: &RequestId) {
        let Some(open) = self.in_flight.get(id) else { return };
        let waits = |(n, sent): (usize, &Sent)| {
            let task = sent.task.as_ref().filter(|_| !sent.begun.get())?;
            task.abort();
            Some(n as u32)
        };
        let unsent: Vec<_> = open.attempts.iter().enumerate().filter_map(waits).collect();
        for attempt in unsent {
            self.ended(id.clone(), attempt, Ended::without_answer(Status::Ignored));
        }
        self.tidy(id);
    }

    /// Drops a request that has its answer and no attempt out.
    fn tidy(&mut self, id: &RequestId) {
        let over =
            |open: &InFlight| open.answer.is_none() && open.attempts.iter().all(|sent| sent.task.is_none());
        if self.in_flight.get(id).is_some_and(over) {
            self.in_flight.remove(id);
        }
    }

    fn ring(&mut self) {
        let now = Instant::now();
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            match self.timers.pop() {
                Some(Reverse((_, Timer::Wake))) => self.due.push_back(Event::Timer),
                Some(Reverse((_, Timer::Guard(id)))) => self.guard(id),
                None => {}
            }
        }
    }

    /// A request that the module has left open until its time is all but over would be lost: it fails here,
    /// and the module learns that nothing is owed any more. What its attempts come to is still reported.
    fn guard(&mut self, id: RequestId) {
        let Some(open) = self.in_flight.get_mut(&id).filter(|open| open.answer.is_some()) else { return };
        reply(open, Answer::Failed, Some(EndReason::OutOfTime));
        self.due.push_back(Event::Abandoned(id.clone()));
        self.cancel_unsent(&id);
    }

    fn handle_due(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.due.pop_front() {
            self.balancer.handle(self.clock.at(Instant::now()), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout, start_within: begin_within } => {
                self.send(id, server, timeout, begin_within);
            }
            Action::Cancel { id, attempt } => {
                let Some(open) = self.in_flight.get_mut(&id) else { return };
                let task = open.attempts.get_mut(attempt as usize).and_then(|sent| sent.task.as_ref());
                if let Some(task) = task {
                    // Its connection closes with it: a server's answer to it would meet the next request.
                    task.abort();
                    self.ended(id, attempt, Ended::without_answer(Status::Canceled));
                }
            }
            Action::Refuse { id, retry_after, reason } => {
                self.finish(&id, Answer::Refused { retry_after }, reason);
            }
            Action::Fail { id, reason } => self.finish(&id, Answer::Failed, reason),
            Action::Wake { after } => self.timers.push(Reverse((Instant::now() + after, Timer::Wake))),
            Action::Close { server } => self.upstream.close_idle(&server),
            Action::Log(text) => info!(target: "policy", "{text}"),
            // The module never probes where the settings forbid it, as they do wherever this node runs.
            Action::Probe { server } => warn!(target: "policy", %server, "no probe: this node sends none"),
            // Nor does it ask for lists where the settings say that they come by themselves, as they do here.
            Action::Subscribe => {
                warn!(target: "policy", "no call: the client of discovery has its own schedule")
            }
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId, timeout: Duration, begin_within: Option<Duration>) {
        let Some(open) = self.in_flight.get_mut(&id) else { return };
        let (at, attempt) = (Instant::now(), open.attempts.len() as u32);
        let until = open.until.min(at + timeout);
        let by = begin_within.map_or(until, |within| until.min(at + within));
        let begun = Rc::default();
        let start = Start { over: open.over.clone(), by, begun: Rc::clone(&begun) };
        let (upstream, events) = (self.upstream.clone(), self.events.clone());
        let (message, target) = (open.message.clone(), server.clone());
        let task = tokio::task::spawn_local(async move {
            let ended = upstream.attempt(&target, &message, until, &start).await;
            // The driver only goes when the node does.
            let _ = events.send(Input::Ended { id, attempt, ended });
        });
        open.tell_sent(&server, self.list);
        open.attempts.push(Sent { server, at, begun, task: Some(task.abort_handle()), end: None });
    }

    fn finish(&mut self, id: &RequestId, answer: Answer, reason: EndReason) {
        if let Some(open) = self.in_flight.get_mut(id) {
            reply(open, answer, Some(reason));
            self.cancel_unsent(id);
        }
    }
}

impl InFlight {
    /// One line that tells what became of the request: with the log of each node on its way, and no trace of the
    /// sockets, it can be followed by its id.
    fn tell(&self, end: &str, reason: Option<EndReason>) {
        let Message { id, method, target, .. } = &*self.message;
        let (id, after_ms) = (id.to_str().unwrap_or("?"), self.at.elapsed().as_millis() as u64);
        let (class, path) = (self.kind.as_str(), target.as_str());
        let attempts = self.attempts();
        let reason = reason.map(tracing::field::debug);
        self.span.in_scope(|| {
            info!(target: "request", after_ms, class, %method, path, reason, attempts, "request {id} {end}");
        });
    }

    /// A further attempt is told with what came of those before it, and with the list that the node works from: a
    /// server that turns requests away may drain, and the node not know.
    fn tell_sent(&self, server: &ServerId, list: ListInForce) {
        let attempt = self.attempts.len();
        if attempt == 0 {
            self.span.in_scope(|| debug!(target: "request", attempt, %server, "sent"));
            return;
        }
        let id = self.message.id.to_str().unwrap_or("?");
        let (list_seq, list_age_ms) = (list.seq, list.since.elapsed().as_millis() as u64);
        let before = self.attempts();
        self.span.in_scope(|| {
            info!(target: "request", attempt, %server, before, list_seq, list_age_ms, "request {id} is tried again");
        });
    }

    fn attempts(&self) -> String {
        let mut told = String::new();
        for sent in &self.attempts {
            let (apart, server) = (if told.is_empty() { "" } else { ", " }, &sent.server);
            // Writing to a string does not fail.
            let _ = match sent.end {
                Some((status, note, took)) => {
                    let note = note.map_or_else(String::new, |note| format!(" ({note:?})"));
                    write!(told, "{apart}{server} {status:?}{note} in {} ms", took.as_millis())
                }
                None => write!(told, "{apart}{server} out for {} ms", sent.at.elapsed().as_millis()),
            };
        }
        told
    }
}

/// The names of the servers in this state, as many as a line of the log may hold.
fn named(entries: &[ServerEntry], state: Availability) -> String {
    let of_state: Vec<_> = entries.iter().filter(|entry| entry.availability == state).collect();
    let mut names: Vec<_> = of_state.iter().take(NAMED_MOST).map(|entry| entry.id.as_str()).collect();
    let more = format!("and {} more", of_state.len().saturating_sub(NAMED_MOST));
    if of_state.len() > NAMED_MOST {
        names.push(&more);
    }
    names.join(" ")
}

/// `reason`: why it ends with no answer of a server.
fn reply(open: &mut InFlight, answer: Answer, reason: Option<EndReason>) {
    if let Some(sender) = open.answer.take() {
        open.over.set(true);
        let end = match answer {
            Answer::Served(_) if open.at.elapsed() <= open.aim => None,
            Answer::Served(_) => Some("served late"),
            Answer::Refused { .. } => Some("refused"),
            Answer::Failed => Some("failed"),
        };
        if let Some(end) = end {
            open.tell(end, reason);
        }
        // A client that has gone meanwhile is owed nothing.
        let _ = sender.send(answer);
    }
}

/// `until`, or what the node's own end leaves of it: a client that would wait longer gets its answer before.
fn bound(until: Instant, answer_by: Option<Instant>) -> Instant {
    match answer_by {
        Some(answer_by) => until.min(answer_by.checked_sub(GUARD).unwrap_or(answer_by)),
        None => until,
    }
}

fn request_id(ticket: u64) -> RequestId {
    RequestId::from(ticket.to_string().as_str())
}

#[cfg(test)]
mod tests;
