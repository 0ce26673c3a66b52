//! The checks of a run, against what clients and servers observed and never against what the node reports.

use crate::node_common::memory::MIN_MEMORY_KIB;
use crate::record::{ClientEnd, Request};
use crate::run::Outcome;
use crate::schedule::Schedule;
use std::time::{Duration, Instant};

/// New requests may go to a draining server for this time after its drain counts as delivered: the grace period plus
/// the allowance for sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
/// An attempt may start within this time after its client has disconnected, plus the same allowance.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100 + 50);
/// The remaining time stated to a server may exceed the real one by this.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// A response later than this after the client's deadline counts as lost.
const LATE_RESPONSE: Duration = Duration::from_millis(500);
/// If the close of an idle connection crosses a request, it arrives within this time after the request was sent.
const CROSSING: Duration = Duration::from_millis(100);
/// A node must be ready within this time after its start.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// A peer with an incomplete request must get its error or close within this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns all violations of the rules.
pub fn judge(schedule: &Schedule, outcome: &Outcome) -> Vec<String> {
    let slack = outcome.delay;
    let mut violations = Vec::new();
    if outcome.ready_after > READY_WITHIN {
        violations.push(format!("ready after {:?}", outcome.ready_after));
    }
    if !outcome.running_at_sigterm {
        violations.push("the node exited before SIGTERM".to_owned());
    }
    if !outcome.exited_with_success {
        violations.push("the node had not exited with success by the time of the kill".to_owned());
    }
    if let Some(waited) =
        outcome.incomplete_waits.iter().max().filter(|waited| **waited > REQUEST_TIMEOUT + slack)
    {
        violations.push(format!("a peer with an incomplete request waited for {waited:?}"));
    }
    if let Some(peak) = outcome.peak_memory_kib.filter(|peak| *peak > MIN_MEMORY_KIB) {
        violations.push(format!("the node used {peak} KiB of the {MIN_MEMORY_KIB} KiB of its settings"));
    }
    for (id, request) in outcome.record.requests() {
        let found = judge_request(&request, outcome, slack);
        violations
            .extend(found.into_iter().map(|violation| format!("request {id:x}: {violation}: {request:?}")));
    }
    // One cause often shows in many requests.
    violations.truncate(8);
    if outcome.record.requests().len() < 50 {
        violations.push(format!("{:?}: only {} requests", schedule.rules, outcome.record.requests().len()));
    }
    violations
}

fn judge_request(request: &Request, outcome: &Outcome, slack: Duration) -> Vec<String> {
    let mut violations = Vec::new();
    if let Some(violation) = lost(request, outcome, slack) {
        violations.push(format!("lost: {violation}"));
    }
    if request.unsafe_class && request.arrivals.iter().filter(|arrival| !arrival.declined).count() > 1 {
        violations.push("duplicate: it may have run twice".to_owned());
    }
    for arrival in &request.arrivals {
        let drain = outcome.drains.iter().find(|(server, _)| *server == arrival.server);
        let late =
            drain.map_or(Duration::ZERO, |(_, delivered)| arrival.at.saturating_duration_since(*delivered));
        if late > DRAIN_GRACE + slack {
            violations.push(format!(
                "drain: sent to s-{} {late:?} after its drain counted as delivered",
                arrival.server
            ));
        }
        let waited = arrival.at.saturating_duration_since(request.sent);
        let left = request.deadline.saturating_sub(waited);
        if arrival.deadline.is_some_and(|stated| stated > left + DEADLINE_SLACK + slack) {
            violations.push(format!("deadline: {:?} stated, {left:?} left", arrival.deadline));
        }
        if let Some((ClientEnd::Disconnected, at)) = request.end {
            let after = arrival.at.saturating_duration_since(at);
            if after > DISCONNECT_GRACE + slack {
                violations.push(format!("disconnected: sent {after:?} after its client had disconnected"));
            }
        }
    }
    violations
}

fn lost(request: &Request, outcome: &Outcome, slack: Duration) -> Option<String> {
    let Some((end, at)) = request.end else { return Some("its client did not record an end".to_owned()) };
    let took = at.saturating_duration_since(request.sent);
    match end {
        ClientEnd::Disconnected => None,
        ClientEnd::WrongResponse => Some("answered with a body that is not that of its request".to_owned()),
        ClientEnd::Answered(_) if took > request.deadline + LATE_RESPONSE + slack => {
            Some(format!("answered after {took:?}"))
        }
        ClientEnd::Answered(_) => None,
        ClientEnd::NoResponse => Some("no response".to_owned()),
        // After the kill no node is left to answer, and a request sent then was never accepted.
        ClientEnd::Closed if is_after_kill(request.sent, outcome) => None,
        // The close of an idle connection crossed the request.
        ClientEnd::Closed if !request.fresh && took <= CROSSING + slack => None,
        // Anything else, including a connection that was established and then reset as the listener closed.
        ClientEnd::Closed => Some(format!("closed after {took:?} without a response")),
    }
}

fn is_after_kill(sent: Instant, outcome: &Outcome) -> bool {
    sent >= outcome.killed
}
