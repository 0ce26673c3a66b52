//! The times of calls to discovery, and what follows from them for how late a change may reach the node.
//!
//! The retry delay depends on who is called. An agent on the node's own machine, which lists are pushed to,
//! answers immediately and at no cost, and what it has counts as notified at once: the retry delay and the
//! connect timeout must fit into the grace period of the rule on draining servers, together with a stall of
//! the node. A service that all nodes call is spared: a change counts as notified 6 s after the service has
//! it and can be reached. (Sources: the protocol page, "Discovery"; the page of the standing test, "Days at
//! full size"; and the operators' terms.)

use super::RESUBSCRIBE_DELAY;
use std::time::Duration;

/// How long a call asks discovery to wait for a change. A change ends the wait at once, so a short wait
/// delays no update and bounds how long a lost call goes unnoticed.
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(1_500);
/// A call without an answer this long after the wait is overdue. A call that does not wait has the same time,
/// since discovery may be slow.
pub const OVERDUE_AFTER: Duration = Duration::from_secs(1);
/// Timeout of a call, from its start. It is longer than the time until the call is overdue, since a slow
/// answer is better than none.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(7);

/// Timeouts for establishing a connection to an agent and to a service.
const AGENT_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
pub(super) const SERVICE_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time from the start of a failed call to an agent until the next call, before jitter.
const AGENT_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Delay in addition to [`RESUBSCRIBE_DELAY`] at a service, before jitter: its initial value, which doubles
/// with each failure, and its maximum.
pub(super) const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Requests may still be sent to a draining server for this long after its drain counts as notified.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Maximum stall of the node between reading its clock and writing a request.
const MAX_STALL: Duration = Duration::from_millis(150);
/// A change counts as notified this long after discovery has it and can be reached, whatever failed before.
pub(super) const NOTIFIED_AFTER: Duration = Duration::from_secs(6);

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
    pub(super) fn retry_delay(self, failures: u32) -> (Duration, Duration) {
        match self {
            Self::Pushed => (Duration::ZERO, AGENT_RETRY_DELAY),
            Self::Polled => (RESUBSCRIBE_DELAY, backoff(failures)),
        }
    }
}

/// The backoff after `failures` failed calls in a row.
pub(super) fn backoff(failures: u32) -> Duration {
    INITIAL_BACKOFF.saturating_mul(1 << failures.saturating_sub(1).min(8)).min(MAX_BACKOFF)
}
