//! When discovery is called. The schedule of calls, sans-I/O: times, answers and failures in, calls out.
//!
//! A node that has no call out is deaf: whatever discovery tells just then counts as told and is not heard.
//! So a new call begins beside one that is overdue, and the pause after a failed call counts from that
//! call's beginning: one that took longer than the pause is followed at once.
//!
//! How long a pause may be depends on who is called. An agent on the node's own machine, to which lists are
//! pushed, answers at once and at no cost, and what it has counts as told at once: the pause and the time
//! to connect fit into the grace of the rule on draining servers, beside a hold-up of the node. A service
//! that all nodes ask is spared: a change counts as told 6 s after it had it and could be reached. (Source:
//! the protocol page, "Discovery", the page of the standing test, "Days at full size", and the operators'
//! terms.)

use super::RESUBSCRIBE_DELAY;
use std::time::{Duration, Instant};

/// How long a call asks discovery to wait for a change. A change ends the wait at once: a short wait only
/// bounds how long a lost call goes unnoticed.
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(1_500);
/// An answer that comes this long after the wait is overdue. A call that does not wait has as long as one
/// that does: discovery may be slow.
pub const OVERDUE_AFTER: Duration = Duration::from_secs(1);
/// A call that is overdue stays out for so long after its beginning: a slow answer is better than none.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(7);

/// An agent's answer that has begun is whole within this time, or another call begins beside it. The time
/// is doubled twice at once, since lists may be long and come in pieces, and once more with every few further
/// calls in a row: a node with little of a core takes long to read a long one.
const WHOLE_PUSHED: Duration = Duration::from_millis(100);
const DOUBLED_AT_ONCE: u32 = 2;
const DOUBLED_EVERY: u32 = 8;
/// Calls that are out at once, at the most. A further one takes the place of the oldest.
const MOST_OUT: usize = 4;

/// A connection to an agent, and to a service, is given up after this long.
const CONNECT_PUSHED: Duration = Duration::from_millis(100);
const CONNECT_POLLED: Duration = Duration::from_millis(300);
/// From the beginning of a call that failed to the next one, at an agent, before the draw.
const PAUSE_PUSHED: Duration = Duration::from_millis(40);
/// What comes on top of [`RESUBSCRIBE_DELAY`] at a service, before the draw: the first step, doubled with each
/// failure up to the most.
const BACKOFF: Duration = Duration::from_millis(200);
const BACKOFF_MOST: Duration = Duration::from_millis(400);
/// Draws are from half of a time to half as much again: nodes that lost the same discovery must not come
/// back together.
const DRAW_LEAST: f64 = 0.5;

/// New work may go to a draining server for so long after its drain counts as told.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// The node may be held up for so long between reading its clock and writing.
const HELD_UP: Duration = Duration::from_millis(150);
/// What discovery has and can be reached for counts as told after this long, whatever failed before.
const TOLD: Duration = Duration::from_secs(6);

/// From when an agent has a change and can be reached to when a call is there that it answers, at the most.
pub const MAX_AGENT_RECONNECT: Duration = longer(half_as_much_again(PAUSE_PUSHED), CONNECT_PUSHED);
/// From when a service has a change and can be reached to when the node has it, at the most.
pub const MAX_NOTIFICATION_DELAY: Duration = {
    let pause = RESUBSCRIBE_DELAY.saturating_add(half_as_much_again(BACKOFF_MOST));
    let next_call = longer(LONG_POLL_WAIT.saturating_add(OVERDUE_AFTER), longer(pause, CONNECT_POLLED));
    next_call.saturating_add(CONNECT_POLLED).saturating_add(OVERDUE_AFTER)
};
// To hear of a drain late is to break a rule: a version whose times add up to more does not compile.
const _: () = assert!(MAX_AGENT_RECONNECT.saturating_add(HELD_UP).as_millis() <= DRAIN_GRACE.as_millis());
const _: () = assert!(MAX_NOTIFICATION_DELAY.as_millis() <= TOLD.as_millis());

const fn longer(one: Duration, other: Duration) -> Duration {
    if one.as_nanos() >= other.as_nanos() {
        one
    } else {
        other
    }
}

const fn half_as_much_again(time: Duration) -> Duration {
    time.saturating_mul(3).checked_div(2).expect("a division by two")
}

/// How the list of servers reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// To an agent on the node's own machine, which the node calls.
    Pushed,
    /// From a service that all nodes call.
    Polled,
}

impl Delivery {
    /// For so long a connection may take to come up.
    pub fn connect_timeout(self) -> Duration {
        match self {
            Self::Pushed => CONNECT_PUSHED,
            Self::Polled => CONNECT_POLLED,
        }
    }

    /// From the beginning of the last of so many failed calls in a row to the next one, before the draw.
    fn pause(self, failures: u32) -> (Duration, Duration) {
        match self {
            Self::Pushed => (Duration::ZERO, PAUSE_PUSHED),
            Self::Polled => (RESUBSCRIBE_DELAY, backoff(failures)),
        }
    }
}

/// The step of the backoff that follows so many failed calls.
fn backoff(failures: u32) -> Duration {
    BACKOFF.saturating_mul(1 << failures.saturating_sub(1).min(8)).min(BACKOFF_MOST)
}

/// A call's number: later ones have larger numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(u64);

/// A call that is to begin now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its number.
    pub id: CallId,
    /// The version that the node has: changes after it are asked for, or the whole list where there is none.
    pub after_version: Option<u64>,
    /// For so long its connection may take to come up.
    pub connect_timeout: Duration,
    /// A call that is given up for it.
    pub replaces: Option<CallId>,
}

/// What an answer is worth.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerOutcome {
    /// The list is to be taken in: it is not older than what the node has.
    pub accepted: bool,
    /// Calls that began before the answered one and are of no use any more.
    pub obsolete: Vec<CallId>,
    /// So many calls in a row had failed before it.
    pub failures: u32,
}

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    id: CallId,
    began: Instant,
    /// Since when its answer has been coming.
    answering: Option<Instant>,
}

/// The schedule of one node's calls. It has no clock and does no I/O.
#[derive(Debug)]
pub struct Subscription {
    delivery: Delivery,
    random: fastrand::Rng,
    version: Option<u64>,
    /// Oldest first.
    outstanding: Vec<Outstanding>,
    next_id: u64,
    /// The latest call that was answered.
    answered: Option<CallId>,
    failures: u32,
    /// Calls in a row that were followed by another because their answers had begun and were not whole.
    incomplete: u32,
    /// No call begins before.
    earliest: Instant,
}

impl Subscription {
    /// A schedule that begins now, for a node that has this version of the list, if any.
    pub fn new(delivery: Delivery, version: Option<u64>, seed: u64, now: Instant) -> Self {
        Self {
            delivery,
            random: fastrand::Rng::with_seed(seed),
            version,
            outstanding: Vec::new(),
            next_id: 0,
            answered: None,
            failures: 0,
            incomplete: 0,
            earliest: now,
        }
    }

    /// When the next call is due.
    pub fn due_at(&self) -> Instant {
        // Where the last call has ended nobody may be watching: others that are out are overdue.
        self.watching().map_or(self.earliest, |call| self.earliest.max(self.overdue_at(call)))
    }

    /// The last call, while it is out.
    fn watching(&self) -> Option<Outstanding> {
        self.outstanding.last().copied().filter(|call| call.id.0 + 1 == self.next_id)
    }

    fn overdue_at(&self, call: Outstanding) -> Instant {
        let unanswered = call.began + LONG_POLL_WAIT + OVERDUE_AFTER;
        let doublings = self.incomplete.min(DOUBLED_AT_ONCE) + self.incomplete / DOUBLED_EVERY;
        let longer = 1 << doublings.min(8);
        match (self.delivery, call.answering) {
            (Delivery::Pushed, Some(since)) => unanswered.min(since + WHOLE_PUSHED * longer),
            _ => unanswered,
        }
    }

    /// The answer to a call has begun to come.
    pub fn answer_started(&mut self, id: CallId, now: Instant) {
        let call = self.outstanding.iter_mut().find(|call| call.id == id);
        call.into_iter().for_each(|call| call.answering = Some(now));
    }

    /// The call that is due at `now`, if one is: it counts as begun.
    pub fn begin(&mut self, now: Instant) -> Option<Call> {
        if now < self.due_at() {
            return None;
        }
        if self.watching().is_some_and(|call| call.answering.is_some()) {
            self.incomplete = self.incomplete.saturating_add(1);
        }
        let replaces = (self.outstanding.len() >= MOST_OUT).then(|| self.outstanding.remove(0).id);
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.outstanding.push(Outstanding { id, began: now, answering: None });
        let connect_within = self.delivery.connect_timeout();
        Some(Call { id, after_version: self.version, connect_timeout: connect_within, replaces })
    }

    /// A call was answered with a list of this version.
    pub fn answered(&mut self, id: CallId, version: u64, now: Instant) -> AnswerOutcome {
        let overtaken = self.answered.is_some_and(|latest| id < latest);
        // An answer that a later call's has overtaken may be older. One that was not is the newest there
        // is, also where discovery counts its versions anew.
        let accepted = !overtaken || self.version.is_none_or(|held| version > held);
        if accepted {
            self.version = Some(version);
        }
        let obsolete = self.outstanding.iter().map(|call| call.id).filter(|other| *other < id).collect();
        self.outstanding.retain(|call| call.id > id);
        self.answered = self.answered.max(Some(id));
        self.incomplete = 0;
        self.earliest = now;
        AnswerOutcome { accepted, obsolete, failures: std::mem::take(&mut self.failures) }
    }

    /// A call failed, or was given up. Returns how many have failed in a row.
    pub fn failed(&mut self, id: CallId) -> u32 {
        let Some(place) = self.outstanding.iter().position(|call| call.id == id) else {
            return self.failures;
        };
        let began = self.outstanding.remove(place).began;
        self.failures = self.failures.saturating_add(1);
        let (least, drawn) = self.delivery.pause(self.failures);
        let draw = DRAW_LEAST + self.random.f64();
        self.earliest = self.earliest.max(began + least + drawn.mul_f64(draw));
        self.failures
    }

    /// Discovery is elsewhere, or another process is there: it may count its versions anew, and is asked
    /// for the whole list at once. Calls that are out are void.
    pub fn endpoint_changed(&mut self, now: Instant) {
        self.outstanding.clear();
        self.version = None;
        self.answered = None;
        self.failures = 0;
        self.incomplete = 0;
        self.earliest = now;
    }
}

#[cfg(test)]
mod tests;
