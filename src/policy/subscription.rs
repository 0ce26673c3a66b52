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
//!
//! A new configuration names another endpoint, which may have nothing to tell before the next configuration
//! comes. Calls to former endpoints therefore stay outstanding until a later call is answered: they are
//! closer to their answers than any call that starts now. For the same reason it is not the oldest call that
//! gives way where there are too many.

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
/// Maximum number of outstanding calls, to the current endpoint and to former ones together.
const MAX_OUTSTANDING_CALLS: usize = 4;
/// A former endpoint closes its connections 1.5 s after its successor was configured; the rest is for a
/// signal that is handled late.
const FORMER_ENDPOINT_ANSWERS_FOR: Duration = Duration::from_secs(2);

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

/// What an answer contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// The full list, as it was when the call arrived or later.
    FullList,
    /// Entries that have changed since the version that the call named.
    Changes,
    /// Nothing has changed since then.
    NoChanges,
}

/// An answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The version of the list, in the numbering of the endpoint that answered.
    pub version: u64,
    /// What it contains.
    pub content: Content,
}

/// What to do with an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerOutcome {
    /// Whether to apply the list: it is not older than what the node has.
    pub accepted: bool,
    /// Calls that are not needed any more and can be cancelled.
    pub obsolete: Vec<CallId>,
    /// Number of calls in a row to this endpoint that had failed before it.
    pub failures: u32,
    /// Whether the next call can use the same connection.
    pub connection_reusable: bool,
}

#[derive(Clone, Copy, Debug)]
struct OutstandingCall {
    id: CallId,
    started_at: Instant,
    /// When its answer started to arrive.
    answer_started_at: Option<Instant>,
    /// When another endpoint replaced the one that it went to.
    superseded_at: Option<Instant>,
}

impl OutstandingCall {
    /// Whether it went to a former endpoint whose connections have been closed by now.
    fn is_lost(&self, now: Instant) -> bool {
        self.superseded_at.is_some_and(|at| now >= at + FORMER_ENDPOINT_ANSWERS_FOR)
    }
}

/// The schedule of a node's calls to discovery. It has no clock and does no I/O.
#[derive(Debug)]
pub struct Subscription {
    delivery: Delivery,
    random: fastrand::Rng,
    /// The version that the node has, in the current endpoint's numbering.
    version: Option<u64>,
    /// Oldest first.
    outstanding: Vec<OutstandingCall>,
    next_id: u64,
    /// Id of the first call to the current endpoint.
    first_id_at_endpoint: u64,
    /// Calls with smaller ids have been overtaken by the answer to a later one.
    first_not_overtaken: u64,
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
            first_id_at_endpoint: 0,
            first_not_overtaken: 0,
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

    /// The latest call, if it is outstanding and went to the current endpoint.
    fn latest_call(&self) -> Option<OutstandingCall> {
        let latest = self.outstanding.last().copied().filter(|call| call.id.0 + 1 == self.next_id);
        latest.filter(|call| self.went_to_current_endpoint(call.id))
    }

    fn went_to_current_endpoint(&self, id: CallId) -> bool {
        id.0 >= self.first_id_at_endpoint
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
        let replaces = (self.outstanding.len() >= MAX_OUTSTANDING_CALLS).then(|| self.remove_call(now));
        let id = CallId(self.next_id);
        self.next_id += 1;
        let (answer_started_at, superseded_at) = (None, None);
        self.outstanding.push(OutstandingCall { id, started_at: now, answer_started_at, superseded_at });
        let connect_timeout = self.delivery.connect_timeout();
        Some(Call { id, after_version: self.version, connect_timeout, replaces })
    }

    /// Removes the outstanding call whose answer is needed least, and returns its id. The oldest call stays
    /// as long as it can be answered, however quickly others follow: something is always received.
    fn remove_call(&mut self, now: Instant) -> CallId {
        let last = self.outstanding.len() - 1;
        let lost = self.outstanding.iter().position(|call| call.is_lost(now));
        let newest_is_superseded = self.outstanding[last].superseded_at.is_some();
        let position = lost.unwrap_or(if newest_is_superseded { last } else { 1 });
        self.outstanding.remove(position).id
    }

    /// Records that a call was answered.
    pub fn answered(&mut self, id: CallId, answer: Answer, now: Instant) -> AnswerOutcome {
        if self.went_to_current_endpoint(id) {
            self.answered_by_current_endpoint(id, answer.version, now)
        } else {
            self.answered_by_former_endpoint(id, answer.content)
        }
    }

    fn answered_by_current_endpoint(&mut self, id: CallId, version: u64, now: Instant) -> AnswerOutcome {
        // If a later call has been answered already, this answer may be older. Otherwise it is the newest,
        // even if its version is lower because discovery's version numbers started over.
        let accepted = !self.is_overtaken(id) || self.version.is_some_and(|current| version > current);
        if accepted {
            self.version = Some(version);
        }
        let obsolete = self.remove_calls_before(id);
        self.incomplete_answers = 0;
        self.earliest_start = now;
        let failures = std::mem::take(&mut self.failures);
        AnswerOutcome { accepted, obsolete, failures, connection_reusable: true }
    }

    /// The version numbers of a former endpoint mean nothing to the current one. A full list is older than
    /// the one that the current endpoint was asked for later. Changes may be newer, and must not be undone by
    /// it, so it is asked for again.
    fn answered_by_former_endpoint(&mut self, id: CallId, content: Content) -> AnswerOutcome {
        let accepted = !self.is_overtaken(id);
        let mut obsolete = self.remove_calls_before(id);
        if accepted && content == Content::Changes {
            obsolete.extend(self.outstanding.drain(..).map(|call| call.id));
            self.first_not_overtaken = self.next_id;
        }
        AnswerOutcome { accepted, obsolete, failures: 0, connection_reusable: false }
    }

    /// Whether a later call has been answered.
    fn is_overtaken(&self, id: CallId) -> bool {
        id.0 < self.first_not_overtaken
    }

    /// Removes an answered call and those before it; returns the ids of the latter.
    fn remove_calls_before(&mut self, answered: CallId) -> Vec<CallId> {
        let obsolete = self.outstanding.iter().map(|call| call.id).filter(|id| *id < answered).collect();
        self.outstanding.retain(|call| call.id > answered);
        self.first_not_overtaken = self.first_not_overtaken.max(answered.0);
        obsolete
    }

    /// Records that a call failed or timed out. Returns the number of failed calls in a row to the current
    /// endpoint.
    pub fn failed(&mut self, id: CallId) -> u32 {
        let Some(position) = self.outstanding.iter().position(|call| call.id == id) else {
            return self.failures;
        };
        let OutstandingCall { started_at, superseded_at, .. } = self.outstanding.remove(position);
        if superseded_at.is_some() {
            return self.failures;
        }
        self.failures = self.failures.saturating_add(1);
        let (fixed, jittered) = self.delivery.retry_delay(self.failures);
        let jitter = MIN_JITTER + self.random.f64();
        self.earliest_start = self.earliest_start.max(started_at + fixed + jittered.mul_f64(jitter));
        self.failures
    }

    /// Discovery moved or restarted: its version numbers may start over, so it is asked for the full list at
    /// once. Outstanding calls stay until a later one is answered.
    pub fn endpoint_changed(&mut self, now: Instant) {
        for call in &mut self.outstanding {
            call.superseded_at.get_or_insert(now);
        }
        self.first_id_at_endpoint = self.next_id;
        self.version = None;
        self.failures = 0;
        self.incomplete_answers = 0;
        self.earliest_start = now;
    }
}

#[cfg(test)]
mod tests;
