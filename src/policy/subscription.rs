//! The schedule of calls to discovery. Sans-I/O: times, answers and failures go in, calls come out.
//!
//! While a node has no call outstanding, it misses what discovery publishes, although that counts as
//! notified. A new call therefore starts beside one that is overdue, and the delay after a failed call counts
//! from that call's start: a call that took longer than the delay is followed by the next one at once.
//!
//! The retry delay depends on who is called. An agent on the node's own machine, which lists are pushed to,
//! answers immediately and at no cost, and what it has counts as notified at once: the retry delay and the
//! connect timeout must fit into the grace period of the rule on draining servers, together with a stall of
//! the node. A service that all nodes call is spared: a change counts as notified 6 s after the service has
//! it and can be reached. (Sources: the protocol page, "Discovery"; the page of the standing test, "Days at
//! full size"; and the operators' terms.)

use super::RESUBSCRIBE_DELAY;
use std::time::{Duration, Instant};

/// How long a call asks discovery to wait for a change. A change ends the wait at once, so a short wait
/// delays no update and bounds how long a lost call goes unnoticed.
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(1_500);
/// A call without an answer this long after the wait is overdue. A call that does not wait has the same time,
/// since discovery may be slow.
pub const OVERDUE_AFTER: Duration = Duration::from_secs(1);
/// Timeout of a call, from its start. It is longer than the time until the call is overdue, since a slow
/// answer is better than none.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(7);

/// If an agent's answer is incomplete this long after its start, another call starts beside it. The time
/// doubles with each of the first `IMMEDIATE_DOUBLINGS` calls, since lists may be long and arrive in pieces,
/// and with every `CALLS_PER_DOUBLING` calls in a row, since a node with a small share of a core reads a long
/// list slowly.
const AGENT_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
const IMMEDIATE_DOUBLINGS: u32 = 2;
const CALLS_PER_DOUBLING: u32 = 8;
/// Maximum number of outstanding calls. A further call replaces the oldest.
const MAX_OUTSTANDING_CALLS: usize = 4;

/// Timeouts for establishing a connection to an agent and to a service.
const AGENT_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const SERVICE_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time from the start of a failed call to an agent until the next call, before jitter.
const AGENT_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Delay in addition to [`RESUBSCRIBE_DELAY`] at a service, before jitter: its initial value, which doubles
/// with each failure, and its maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Jitter multiplies a delay by 0.5 to 1.5: nodes that lost the same discovery must not call again together.
const MIN_JITTER: f64 = 0.5;

/// Requests may still be sent to a draining server for this long after its drain counts as notified.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Maximum stall of the node between reading its clock and writing a request.
const MAX_STALL: Duration = Duration::from_millis(150);
/// A change counts as notified this long after discovery has it and can be reached, whatever failed before.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);

/// Maximum time from when an agent has a change and can be reached until a call is there for it to answer.
pub const MAX_AGENT_RECONNECT: Duration =
    max_duration(one_and_a_half_times(AGENT_RETRY_DELAY), AGENT_CONNECT_TIMEOUT);
/// Maximum time from when a service has a change and can be reached until the node has the change.
pub const MAX_NOTIFICATION_DELAY: Duration = {
    let retry_delay = RESUBSCRIBE_DELAY.saturating_add(one_and_a_half_times(MAX_BACKOFF));
    let next_call = max_duration(
        LONG_POLL_WAIT.saturating_add(OVERDUE_AFTER),
        max_duration(retry_delay, SERVICE_CONNECT_TIMEOUT),
    );
    next_call.saturating_add(SERVICE_CONNECT_TIMEOUT).saturating_add(OVERDUE_AFTER)
};
// A drain that is noticed late breaks a rule, so a version whose times add up to more does not compile.
const _: () = assert!(MAX_AGENT_RECONNECT.saturating_add(MAX_STALL).as_millis() <= DRAIN_GRACE.as_millis());
const _: () = assert!(MAX_NOTIFICATION_DELAY.as_millis() <= NOTIFIED_AFTER.as_millis());

const fn max_duration(one: Duration, other: Duration) -> Duration {
    if one.as_nanos() >= other.as_nanos() {
        one
    } else {
        other
    }
}

const fn one_and_a_half_times(time: Duration) -> Duration {
    time.saturating_mul(3).checked_div(2).expect("a division by two")
}

/// How the list of servers reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It is pushed to an agent on the node's own machine, and the node calls the agent.
    Pushed,
    /// All nodes call a service for it.
    Polled,
}

impl Delivery {
    /// Timeout for establishing a connection.
    pub fn connect_timeout(self) -> Duration {
        match self {
            Self::Pushed => AGENT_CONNECT_TIMEOUT,
            Self::Polled => SERVICE_CONNECT_TIMEOUT,
        }
    }

    /// Time from the start of the last of `failures` failed calls in a row to the next call, in two parts:
    /// one without jitter, and one before jitter.
    fn retry_delay(self, failures: u32) -> (Duration, Duration) {
        match self {
            Self::Pushed => (Duration::ZERO, AGENT_RETRY_DELAY),
            Self::Polled => (RESUBSCRIBE_DELAY, backoff(failures)),
        }
    }
}

/// The backoff after `failures` failed calls in a row.
fn backoff(failures: u32) -> Duration {
    INITIAL_BACKOFF.saturating_mul(1 << failures.saturating_sub(1).min(8)).min(MAX_BACKOFF)
}

/// Identifies a call. Later calls have larger ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(u64);

/// A call to start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifies the call.
    pub id: CallId,
    /// The version that the node has; the call asks for changes after it, or for the full list if it is
    /// `None`.
    pub after_version: Option<u64>,
    /// Timeout for establishing its connection.
    pub connect_timeout: Duration,
    /// An outstanding call to cancel in its favour.
    pub replaces: Option<CallId>,
}

/// What to do with an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerOutcome {
    /// Whether to apply the list: it is not older than what the node has.
    pub accepted: bool,
    /// Calls that started before the answered one and can be cancelled.
    pub obsolete: Vec<CallId>,
    /// Number of calls in a row that had failed before it.
    pub failures: u32,
}

#[derive(Clone, Copy, Debug)]
struct OutstandingCall {
    id: CallId,
    started_at: Instant,
    /// When its answer started to arrive.
    answer_started_at: Option<Instant>,
}

/// The schedule of a node's calls to discovery. It has no clock and does no I/O.
#[derive(Debug)]
pub struct Subscription {
    delivery: Delivery,
    random: fastrand::Rng,
    version: Option<u64>,
    /// Oldest first.
    outstanding: Vec<OutstandingCall>,
    next_id: u64,
    latest_answered: Option<CallId>,
    failures: u32,
    /// Number of calls in a row whose answers started but were incomplete when the next call started.
    incomplete_answers: u32,
    /// No call starts before this time.
    earliest_start: Instant,
}

impl Subscription {
    /// Creates a schedule that starts now, for a node that has this version of the list, if any.
    pub fn new(delivery: Delivery, version: Option<u64>, seed: u64, now: Instant) -> Self {
        Self {
            delivery,
            random: fastrand::Rng::with_seed(seed),
            version,
            outstanding: Vec::new(),
            next_id: 0,
            latest_answered: None,
            failures: 0,
            incomplete_answers: 0,
            earliest_start: now,
        }
    }

    /// When the next call is due.
    pub fn due_at(&self) -> Instant {
        // If the latest call has ended, outstanding ones are overdue and may never be answered.
        self.latest_call().map_or(self.earliest_start, |call| self.earliest_start.max(self.overdue_at(call)))
    }

    /// The latest call, if it is outstanding.
    fn latest_call(&self) -> Option<OutstandingCall> {
        self.outstanding.last().copied().filter(|call| call.id.0 + 1 == self.next_id)
    }

    fn overdue_at(&self, call: OutstandingCall) -> Instant {
        let no_answer_by = call.started_at + LONG_POLL_WAIT + OVERDUE_AFTER;
        let doublings =
            self.incomplete_answers.min(IMMEDIATE_DOUBLINGS) + self.incomplete_answers / CALLS_PER_DOUBLING;
        let factor = 1 << doublings.min(8);
        match (self.delivery, call.answer_started_at) {
            (Delivery::Pushed, Some(since)) => no_answer_by.min(since + AGENT_ANSWER_TIMEOUT * factor),
            _ => no_answer_by,
        }
    }

    /// Records that the answer to a call started to arrive.
    pub fn answer_started(&mut self, id: CallId, now: Instant) {
        let call = self.outstanding.iter_mut().find(|call| call.id == id);
        call.into_iter().for_each(|call| call.answer_started_at = Some(now));
    }

    /// Starts a call if one is due at `now`.
    pub fn begin(&mut self, now: Instant) -> Option<Call> {
        if now < self.due_at() {
            return None;
        }
        if self.latest_call().is_some_and(|call| call.answer_started_at.is_some()) {
            self.incomplete_answers = self.incomplete_answers.saturating_add(1);
        }
        let replaces =
            (self.outstanding.len() >= MAX_OUTSTANDING_CALLS).then(|| self.outstanding.remove(0).id);
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.outstanding.push(OutstandingCall { id, started_at: now, answer_started_at: None });
        let connect_timeout = self.delivery.connect_timeout();
        Some(Call { id, after_version: self.version, connect_timeout, replaces })
    }

    /// Records that a call was answered with a list of this version.
    pub fn answered(&mut self, id: CallId, version: u64, now: Instant) -> AnswerOutcome {
        let overtaken = self.latest_answered.is_some_and(|latest| id < latest);
        // If a later call has been answered already, this answer may be older. Otherwise it is the newest,
        // even if its version is lower because discovery's version numbers started over.
        let accepted = !overtaken || self.version.is_none_or(|current| version > current);
        if accepted {
            self.version = Some(version);
        }
        let obsolete = self.outstanding.iter().map(|call| call.id).filter(|other| *other < id).collect();
        self.outstanding.retain(|call| call.id > id);
        self.latest_answered = self.latest_answered.max(Some(id));
        self.incomplete_answers = 0;
        self.earliest_start = now;
        AnswerOutcome { accepted, obsolete, failures: std::mem::take(&mut self.failures) }
    }

    /// Records that a call failed or timed out. Returns the number of failed calls in a row.
    pub fn failed(&mut self, id: CallId) -> u32 {
        let Some(position) = self.outstanding.iter().position(|call| call.id == id) else {
            return self.failures;
        };
        let started_at = self.outstanding.remove(position).started_at;
        self.failures = self.failures.saturating_add(1);
        let (fixed, jittered) = self.delivery.retry_delay(self.failures);
        let jitter = MIN_JITTER + self.random.f64();
        self.earliest_start = self.earliest_start.max(started_at + fixed + jittered.mul_f64(jitter));
        self.failures
    }

    /// Starts over with a discovery that moved or restarted: its version numbers may start over, so it is
    /// asked for the full list at once. Outstanding calls are discarded.
    pub fn endpoint_changed(&mut self, now: Instant) {
        self.outstanding.clear();
        self.version = None;
        self.latest_answered = None;
        self.failures = 0;
        self.incomplete_answers = 0;
        self.earliest_start = now;
    }
}

#[cfg(test)]
mod tests;
