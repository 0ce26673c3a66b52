//! The state of a client's connection, and which connections are idle.

use super::accepting::Arrival;
use super::phase_timer::PhaseTimer;
use super::rejection::Rejection;
use super::Frontend;
use crate::net::watched::IoObserver;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};
use tracing::{debug, info};
use walkpick::policy::pacing::AnswerPace;

/// A client must send its first request completely within this time of connecting, the head of each further
/// one within this time of its first byte, and its body within this time of its head: a client that sends
/// less, or nothing, is due an error or a close within 3 s.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A connection that has been idle for this long since its last answer is closed, so that dead ones cannot
/// exhaust the limit.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Connections without a request in progress, by the time since which they have been idle.
#[derive(Default)]
pub struct IdleConnections {
    next_number: Cell<u64>,
    /// A connection had to be closed while none was idle: the next one to become idle is closed.
    close_next: Cell<bool>,
    by_age: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

impl IdleConnections {
    /// Asks the connection that has been idle longest to close, in favour of one in the backlog.
    pub fn make_room(&self) {
        match self.by_age.borrow_mut().pop_first() {
            Some((_, close)) => close.notify_one(),
            None => self.close_next.set(true),
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing: it may be closed, and a request that its client is just sending is retried elsewhere.
    Idle,
    /// A request has started to arrive and is not complete.
    Reading,
    /// A complete request is owed an answer.
    Answering,
}

/// Why a client's connection was closed; shown in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it or asked for that, or sent something that is not HTTP.
    ByClient,
    /// No complete first request arrived in time.
    NoRequest,
    /// The head of a further request was not complete in time.
    IncompleteHead,
    /// No further request has begun for too long.
    Idle,
    /// The client left before it had its answer.
    Left,
    /// It was closed in favour of a connection in the backlog.
    MakesRoom,
    /// The node is shutting down: idle connections close at once, others after their answer.
    Stopping,
    /// The node reached the time of its exit.
    NodeGone,
}

/// A client's connection; it is registered as idle while no request is in progress.
pub struct ClientConnection {
    frontend: Rc<Frontend>,
    pub close_requested: Rc<Notify>,
    number: Cell<u64>,
    arrival: Arrival,
    opened_at: Instant,
    /// Number of request heads received.
    pub requests: Cell<u64>,
    pub phase: Cell<Phase>,
    /// It has been asked to close: the next answer is its last.
    pub closing: Cell<bool>,
    /// The body of the present request has not been read to its end: no other request can follow on the
    /// connection.
    pub body_incomplete: Cell<bool>,
    /// An answer has been given, and the connection has not waited for bytes since.
    answered_without_pause: Cell<bool>,
    pace: Cell<AnswerPace>,
    timer: PhaseTimer,
}

impl ClientConnection {
    /// A connection that has just been accepted; it is idle.
    pub fn new(frontend: Rc<Frontend>, arrival: Arrival) -> Self {
        let (close_requested, number, requests, closing, body_incomplete) = Default::default();
        let (answered_without_pause, pace, timer) = Default::default();
        let (opened_at, phase) = (arrival.waiting_since, Cell::new(Phase::Idle));
        let conn = Self {
            frontend,
            close_requested,
            number,
            arrival,
            opened_at,
            requests,
            phase,
            closing,
            body_incomplete,
            answered_without_pause,
            pace,
            timer,
        };
        conn.frontend.open_connections.set(conn.frontend.open_connections.get() + 1);
        conn.mark_idle();
        conn
    }

    /// Notes that no request is in progress, or asks the connection to close if room is needed.
    pub fn mark_idle(&self) {
        self.phase.set(Phase::Idle);
        match self.requests.get() {
            0 => self.timer.start(self.opened_at + REQUEST_TIMEOUT, CloseReason::NoRequest),
            _ => self.timer.start(Instant::now() + IDLE_TIMEOUT, CloseReason::Idle),
        }
        let idle = &self.frontend.idle;
        if idle.close_next.take() {
            return self.close_requested.notify_one();
        }
        self.number.set(idle.next_number.replace(idle.next_number.get() + 1));
        idle.by_age.borrow_mut().insert(self.number.get(), self.close_requested.clone());
    }

    /// Completes when the connection has been in its present phase for as long as it may, with the reason to
    /// close it. The body of a request has a limit of its own, see [`Self::head_received`].
    pub async fn timed_out(&self) -> CloseReason {
        self.timer.expired().await
    }

    /// Notes that a request has started to arrive.
    fn mark_reading(&self) {
        if self.phase.get() == Phase::Idle {
            self.phase.set(Phase::Reading);
            self.unregister_idle();
            // The limit of a first request counts from its connection.
            if self.requests.get() > 0 {
                self.timer.start(Instant::now() + REQUEST_TIMEOUT, CloseReason::IncompleteHead);
            }
        }
    }

    /// Notes the head of a request and returns the time by which the request must be complete.
    pub fn head_received(&self) -> Instant {
        self.mark_reading();
        self.timer.stop();
        let requests = self.requests.replace(self.requests.get() + 1);
        let from = if requests == 0 { self.opened_at } else { Instant::now() };
        from + REQUEST_TIMEOUT
    }

    /// Lets all others have their turn between two requests of a connection which are there at the same time.
    pub async fn take_turns(&self) {
        if self.answered_without_pause.replace(true) {
            yield_now().await;
        }
    }

    /// Waits as the pace of answers without a cache server demands, which may make this the last one.
    pub async fn keep_pace(&self) {
        let mut pace = self.pace.get();
        let answer = pace.next_answer(Instant::now().into_std());
        self.pace.set(pace);
        if answer.last {
            self.closing.set(true);
            sleep(answer.delay).await;
        }
    }

    /// Logs why the connection closes. Only a close by the client, the usual case, is logged at debug level.
    pub fn log_close(&self, reason: CloseReason) {
        let (phase, requests) = (self.phase.get(), self.requests.get());
        let age_ms = self.opened_at.elapsed().as_millis() as u64;
        match reason {
            CloseReason::ByClient => {
                debug!(target: "clients", ?reason, ?phase, requests, age_ms, "client connection closed");
            }
            _ => info!(target: "clients", ?reason, ?phase, requests, age_ms, "client connection closed"),
        }
    }

    /// Counts and logs a request that is answered without being forwarded.
    pub fn record_rejection(&self, rejection: Rejection) {
        let (phase, requests) = (self.phase.get(), self.requests.get());
        let age_ms = self.opened_at.elapsed().as_millis() as u64;
        let status = rejection.status().as_u16();
        self.frontend.rejections.set(self.frontend.rejections.get() + 1);
        info!(target: "clients", %rejection, status, ?phase, requests, age_ms, "client request rejected");
    }

    /// How long the request that is read completely at `now` may have waited in the accept backlog.
    pub fn time_in_backlog(&self, now: Instant) -> Duration {
        if self.requests.get() == 1 {
            self.arrival.time_in_backlog(now)
        } else {
            Duration::ZERO
        }
    }

    fn unregister_idle(&self) {
        self.frontend.idle.by_age.borrow_mut().remove(&self.number.get());
    }
}

impl IoObserver for Rc<ClientConnection> {
    fn on_read(&self) {
        self.mark_reading();
    }

    fn on_read_pending(&self) {
        self.answered_without_pause.set(false);
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.unregister_idle();
        self.frontend.open_connections.set(self.frontend.open_connections.get() - 1);
    }
}
