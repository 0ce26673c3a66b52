//! The schedule of calls to discovery. Sans-I/O: times, answers and failures go in, calls come out.
//!
//! While a node has no call outstanding, it misses what discovery publishes, although that counts as
//! notified. A new call therefore starts beside one that is overdue, and the delay after a failed call counts
//! from that call's start: a call that took longer than the delay is followed by the next one at once.
//!
//! A new configuration names another endpoint, which may have nothing to tell before the next configuration
//! comes. Calls to former endpoints therefore stay outstanding until a later call is answered: they are
//! closer to their answers than any call that starts now. For the same reason it is not the oldest call that
//! gives way where there are too many.

use std::time::{Duration, Instant};

pub use super::call_timing::{
    Delivery, CALL_TIMEOUT, LONG_POLL_WAIT, MAX_AGENT_RECONNECT, MAX_NOTIFICATION_DELAY, OVERDUE_AFTER,
};

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
/// Jitter multiplies a delay by 0.5 to 1.5: nodes that lost the same discovery must not call again together.
const MIN_JITTER: f64 = 0.5;

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
