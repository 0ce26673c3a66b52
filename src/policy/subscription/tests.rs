use super::*;
use crate::policy::call_timing::{
    backoff, INITIAL_BACKOFF, MAX_BACKOFF, NOTIFIED_AFTER, SERVICE_CONNECT_TIMEOUT,
};
use crate::policy::RESUBSCRIBE_DELAY;

const MS: Duration = Duration::from_millis(1);

fn subscription(delivery: Delivery) -> (Subscription, Instant) {
    let start = Instant::now();
    (Subscription::new(delivery, Some(7), 1, start), start)
}

fn changes(version: u64) -> Answer {
    Answer { version, content: Content::Changes }
}

fn begin(subscription: &mut Subscription, now: Instant) -> CallId {
    subscription.begin(now).expect("a call is due").id
}

#[test]
fn an_answered_call_is_followed_by_exactly_one_call_at_once() {
    let (mut subscription, start) = subscription(Delivery::Polled);
    let call = begin(&mut subscription, start);
    assert_eq!(subscription.begin(start + LONG_POLL_WAIT), None, "one call is outstanding");
    let outcome = subscription.answered(call, changes(8), start + LONG_POLL_WAIT);
    assert_eq!(
        outcome,
        AnswerOutcome { accepted: true, obsolete: Vec::new(), failures: 0, connection_reusable: true }
    );
    assert_eq!(subscription.begin(start + LONG_POLL_WAIT).unwrap().after_version, Some(8));
    assert_eq!(subscription.begin(start + LONG_POLL_WAIT), None);
}

// Guards against the failure of 2026-12-02: a retry delay after a call that had itself taken far longer than the delay.
#[test]
fn a_failed_call_that_took_longer_than_the_retry_delay_is_followed_at_once() {
    for delivery in [Delivery::Pushed, Delivery::Polled] {
        let (mut subscription, start) = subscription(delivery);
        let call = begin(&mut subscription, start);
        let timed_out_at = start + CALL_TIMEOUT;
        // The call that started beside it while it was overdue has failed as well.
        let second = begin(&mut subscription, start + LONG_POLL_WAIT + OVERDUE_AFTER);
        subscription.failed(second);
        subscription.failed(call);
        assert!(subscription.due_at() <= timed_out_at, "{delivery:?}");
    }
}

#[test]
fn an_overdue_call_is_joined_by_another_within_the_limit_on_calls() {
    let (mut subscription, start) = subscription(Delivery::Pushed);
    let mut started = Vec::new();
    let mut max = 0;
    for ms in 0..60_000 {
        let now = start + MS * ms;
        if let Some(call) = subscription.begin(now) {
            started.push((call.id, now));
        }
        started.retain(|(id, started_at)| {
            let ended = now >= *started_at + CALL_TIMEOUT;
            if ended {
                subscription.failed(*id);
            }
            !ended
        });
        assert!(!started.is_empty(), "no call is outstanding after {ms} ms");
        let newest = started.last().unwrap().1;
        assert!(
            now < newest + LONG_POLL_WAIT + OVERDUE_AFTER + MS,
            "the newest call is overdue after {ms} ms"
        );
        max = max.max(started.len());
    }
    assert_eq!(max, 3);
}

/// When calls start that fail immediately, within this period.
fn start_times_of_failing_calls(delivery: Delivery, within: Duration) -> Vec<Duration> {
    let (mut subscription, start) = subscription(delivery);
    let mut started = Vec::new();
    loop {
        let due = subscription.due_at();
        if due >= start + within {
            return started;
        }
        let call = begin(&mut subscription, due);
        subscription.failed(call);
        started.push(due - start);
    }
}

// What the agent has counts as notified at once, and a stall may take 150 ms of the grace period of 250 ms.
#[test]
fn an_agent_that_fails_immediately_is_always_called_again_within_100_ms() {
    let started = start_times_of_failing_calls(Delivery::Pushed, Duration::from_secs(60));
    let gaps: Vec<_> = started.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| *gap <= 100 * MS && *gap >= 20 * MS), "{:?}", gaps.iter().max());
    assert!(MAX_AGENT_RECONNECT <= 100 * MS);
}

#[test]
fn a_service_that_fails_immediately_is_called_with_backoff_and_jitter() {
    let started = start_times_of_failing_calls(Delivery::Polled, Duration::from_secs(60));
    let gaps: Vec<_> = started.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let (min, max) = (RESUBSCRIBE_DELAY + 100 * MS, RESUBSCRIBE_DELAY + 600 * MS);
    assert!(gaps.iter().all(|gap| (min..=max).contains(gap)), "{gaps:?}");
    let other = Subscription::new(Delivery::Polled, None, 2, Instant::now());
    assert_ne!(other.random.clone().f64(), subscription(Delivery::Polled).0.random.f64());
}

#[test]
fn backoff_stays_within_its_bounds_for_any_number_of_failures() {
    for failures in [0, 1, 2, 3, 9, 10, 1_000, u32::MAX] {
        let max = backoff(failures).mul_f64(1.5);
        assert!(max <= MAX_BACKOFF.mul_f64(1.5) && max >= INITIAL_BACKOFF, "{failures}: {max:?}");
    }
    assert!(backoff(1) < backoff(u32::MAX));
}

// A change counts as notified 6 s after discovery has it and can be reached. More than 2 s of that are left for a slow
// node and a slow discovery.
#[test]
fn the_maximum_notification_delay_is_well_below_the_required_one() {
    let overdue = LONG_POLL_WAIT + OVERDUE_AFTER;
    let retry_delay = RESUBSCRIBE_DELAY + MAX_BACKOFF * 3 / 2;
    assert_eq!(MAX_NOTIFICATION_DELAY, overdue.max(retry_delay) + SERVICE_CONNECT_TIMEOUT + OVERDUE_AFTER);
    assert!(MAX_NOTIFICATION_DELAY <= 3_800 * MS, "{MAX_NOTIFICATION_DELAY:?}");
}

/// When calls start if all of them are lost, or if all of them fail immediately.
fn start_times_of_unsuccessful_calls(delivery: Delivery, lost: bool, within: Duration) -> Vec<Duration> {
    if !lost {
        return start_times_of_failing_calls(delivery, within);
    }
    let (mut subscription, start) = subscription(delivery);
    let due = std::iter::from_fn(|| {
        let due = subscription.due_at();
        begin(&mut subscription, due);
        Some(due - start)
    });
    due.take_while(|due| *due < within).collect()
}

// A change comes at any moment: calls that started before it are lost or fail, and the next one is answered within the
// time allowed for a connection and an answer.
#[test]
fn a_change_is_received_within_the_maximum_delay_after_lost_or_failed_calls() {
    for (delivery, lost) in
        [Delivery::Pushed, Delivery::Polled].into_iter().flat_map(|d| [(d, true), (d, false)])
    {
        let started = start_times_of_unsuccessful_calls(delivery, lost, Duration::from_secs(30));
        for change in (0..20_000).map(|ms| MS * ms) {
            let next = started.iter().find(|started_at| **started_at >= change).expect("a later call");
            let received_after = *next - change + SERVICE_CONNECT_TIMEOUT + OVERDUE_AFTER;
            assert!(
                received_after <= MAX_NOTIFICATION_DELAY,
                "{delivery:?}, lost {lost}, change at {change:?}: {received_after:?}"
            );
        }
    }
}

#[test]
fn an_overtaken_answer_is_accepted_only_if_its_version_is_newer() {
    let (mut subscription, start) = subscription(Delivery::Pushed);
    let older = begin(&mut subscription, start);
    let newer = begin(&mut subscription, start + LONG_POLL_WAIT + OVERDUE_AFTER);
    let outcome = subscription.answered(newer, changes(9), start + LONG_POLL_WAIT + OVERDUE_AFTER);
    assert_eq!(outcome.obsolete, [older], "the older call is cancelled");
    assert!(!subscription.answered(older, changes(8), start + CALL_TIMEOUT).accepted, "older version");
    assert!(!subscription.answered(older, changes(9), start + CALL_TIMEOUT).accepted, "same version");
    assert!(subscription.answered(older, changes(10), start + CALL_TIMEOUT).accepted, "newer version");
}

// A discovery that restarted may number its versions from the beginning.
#[test]
fn the_answer_to_the_latest_call_is_accepted_whatever_its_version() {
    let (mut subscription, start) = subscription(Delivery::Pushed);
    let call = begin(&mut subscription, start);
    assert!(subscription.answered(call, changes(2), start).accepted);
    assert_eq!(subscription.begin(start).unwrap().after_version, Some(2));
}

#[test]
fn an_answer_to_an_older_call_keeps_the_newer_call_outstanding() {
    let (mut subscription, start) = subscription(Delivery::Polled);
    let slow = begin(&mut subscription, start);
    let second_started_at = start + LONG_POLL_WAIT + OVERDUE_AFTER;
    let second = begin(&mut subscription, second_started_at);
    let outcome = subscription.answered(slow, changes(8), second_started_at + 500 * MS);
    assert!(outcome.accepted && outcome.obsolete.is_empty());
    assert_eq!(subscription.begin(second_started_at + 500 * MS), None, "the second call is outstanding");
    assert!(subscription.answered(second, changes(9), second_started_at + 600 * MS).accepted);
}

#[test]
fn an_endpoint_change_asks_for_the_full_list_at_once_after_failures() {
    let (mut subscription, start) = subscription(Delivery::Polled);
    let call = begin(&mut subscription, start);
    subscription.failed(call);
    assert_eq!(subscription.begin(start), None);
    subscription.endpoint_changed(start);
    assert_eq!(subscription.begin(start).unwrap().after_version, None);
    assert_eq!(subscription.failed(call), 0, "a discarded call changes nothing");
}

#[test]
fn an_incomplete_agent_answer_is_followed_by_another_call_at_a_bounded_rate() {
    let (mut subscription, start) = subscription(Delivery::Pushed);
    let (mut now, mut started) = (start, Vec::new());
    let mut replaced = 0;
    while now < start + Duration::from_secs(60) {
        let call = subscription.begin(now).expect("a call is due");
        replaced += usize::from(call.replaces.is_some());
        subscription.answer_started(call.id, now);
        started.push(now - start);
        assert!(subscription.outstanding.len() <= MAX_OUTSTANDING_CALLS);
        now = subscription.due_at();
    }
    assert!(started[1] <= 100 * MS, "after the first incomplete answer: {:?}", started[1]);
    let gaps: Vec<_> = started.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| *gap <= LONG_POLL_WAIT + OVERDUE_AFTER), "{gaps:?}");
    assert!(started[8] <= Duration::from_secs(4), "an outage of several seconds: {:?}", started[8]);
    assert!(started.len() <= 60, "{} calls within a minute", started.len());
    assert_eq!(replaced, started.len() - MAX_OUTSTANDING_CALLS);
}

// Further calls do not cancel a call whose list takes a second to arrive before it is complete.
#[test]
fn a_list_that_arrives_slowly_is_received_completely() {
    const DURATION: Duration = Duration::from_secs(1);
    let (mut subscription, start) = subscription(Delivery::Pushed);
    let mut outstanding: Vec<(CallId, Instant)> = Vec::new();
    for ms in 0..20_000 {
        let now = start + MS * ms;
        if let Some(call) = subscription.begin(now) {
            outstanding.retain(|(id, _)| Some(*id) != call.replaces);
            subscription.answer_started(call.id, now);
            outstanding.push((call.id, now));
        }
        if let Some((id, _)) = outstanding.iter().find(|(_, started_at)| now >= *started_at + DURATION) {
            assert!(subscription.answered(*id, changes(8), now).accepted);
            return;
        }
    }
    panic!("the list was never received");
}

/// How long an endpoint keeps its connections after another one was configured.
const FORMER_CONNECTIONS_STAY_OPEN: Duration = Duration::from_millis(1_500);

/// A call in flight to the simulated discovery.
struct SimulatedCall {
    id: CallId,
    after_version: Option<u64>,
    started_at: Duration,
    /// When its endpoint closes the connection, if another one has been configured.
    closed_at: Option<Duration>,
}

/// A discovery with one change whose answers take some time, a node that subscribes to it, and new
/// configurations at a fixed interval, each with another endpoint.
struct ReloadSimulation {
    delivery: Delivery,
    answer_time: Duration,
    reload_interval: Duration,
    change_at: Duration,
}

impl ReloadSimulation {
    /// When the list was read that an answer contains: a call that has the version before the change waits for it.
    fn read_at(&self, call: &SimulatedCall) -> Duration {
        let wait_ends = call.started_at + LONG_POLL_WAIT;
        match call.after_version {
            None => call.started_at,
            Some(0) => self.change_at.clamp(call.started_at, wait_ends),
            Some(_) => wait_ends,
        }
    }

    fn answer(&self, call: &SimulatedCall) -> Answer {
        let version = u64::from(self.read_at(call) >= self.change_at);
        let content = match call.after_version {
            None => Content::FullList,
            Some(after) if after < version => Content::Changes,
            Some(_) => Content::NoChanges,
        };
        Answer { version, content }
    }

    /// How long after the change the node has it, and that it keeps it from then on.
    fn time_to_receive(&self) -> Duration {
        let start = Instant::now();
        let mut subscription = Subscription::new(self.delivery, Some(0), 1, start);
        let mut calls: Vec<SimulatedCall> = Vec::new();
        let (mut received_at, mut reloads) = (None, 0);
        for at in (0..self.change_at.as_millis() as u32 + 9_000).map(|ms| MS * ms) {
            let now = start + at;
            if at >= self.reload_interval * (reloads + 1) {
                reloads += 1;
                let closed_at = at + FORMER_CONNECTIONS_STAY_OPEN;
                calls.iter_mut().for_each(|call| _ = call.closed_at.get_or_insert(closed_at));
                subscription.endpoint_changed(now);
            }
            let ended = |call: &mut SimulatedCall| {
                at >= self.read_at(call) + self.answer_time
                    || call.closed_at.is_some_and(|closed| at >= closed)
            };
            for call in calls.extract_if(.., ended).collect::<Vec<_>>() {
                if at < self.read_at(&call) + self.answer_time {
                    subscription.failed(call.id);
                    continue;
                }
                let answer = self.answer(&call);
                if subscription.answered(call.id, answer, now).accepted {
                    let has_change = answer.version > 0;
                    let undone = received_at.is_some() && !has_change && answer.content == Content::FullList;
                    assert!(!undone, "an older list is applied at {at:?}, received {received_at:?}");
                    received_at = received_at.or(has_change.then_some(at));
                }
            }
            while let Some(call) = subscription.begin(now) {
                let Call { id, after_version, .. } = call;
                calls.push(SimulatedCall { id, after_version, started_at: at, closed_at: None });
            }
            calls.retain(|call| subscription.outstanding.iter().any(|outstanding| outstanding.id == call.id));
            assert!(calls.len() <= MAX_OUTSTANDING_CALLS);
        }
        received_at.expect("the change is received") - self.change_at
    }
}

// Guards against a node that never hears of a change while new configurations come faster than discovery answers: each
// of them discarded the calls in flight.
#[test]
fn a_change_is_received_in_time_however_quickly_new_endpoints_are_configured() {
    let mut slowest = Duration::ZERO;
    for (delivery, answer_time_ms) in [Delivery::Pushed, Delivery::Polled]
        .into_iter()
        .flat_map(|d| [0, 300, 1_000, 1_450, 1_700, 2_400].map(|t| (d, t)))
    {
        let answer_time = MS * answer_time_ms;
        let intervals =
            [20, 50, 100, 250, 500, 900, 1_300, 1_500, 1_900, 2_500, 2_600, 3_300, 4_100, 4_700, 6_000];
        // Where an endpoint closes its connections before it answers, no node can know.
        let answerable = intervals
            .map(|interval| MS * interval)
            .into_iter()
            .filter(|interval| *interval + FORMER_CONNECTIONS_STAY_OPEN > answer_time);
        for reload_interval in answerable {
            for change_at in (0..13).map(|step| MS * (7_000 + 487 * step)) {
                let simulation = ReloadSimulation { delivery, answer_time, reload_interval, change_at };
                let took = simulation.time_to_receive();
                let case = format!("{delivery:?}, answers take {answer_time:?}, a reload each {reload_interval:?}, change at {change_at:?}");
                assert!(took <= NOTIFIED_AFTER, "{case}: received after {took:?}");
                assert!(answer_time_ms > 0 || took <= MS, "{case}: received after {took:?}");
                slowest = slowest.max(took);
            }
        }
    }
    println!("received after {slowest:?} at the latest");
}

// Guards against calls that cannot be answered any more and keep one that can from its answer.
#[test]
fn calls_whose_endpoint_has_closed_its_connections_give_way_first() {
    let (mut subscription, start) = subscription(Delivery::Polled);
    let overdue_after = LONG_POLL_WAIT + OVERDUE_AFTER;
    let lost = [start, start + overdue_after].map(|at| begin(&mut subscription, at));
    let changed_at = start + overdue_after + 100 * MS;
    subscription.endpoint_changed(changed_at);
    begin(&mut subscription, changed_at);
    let second = begin(&mut subscription, changed_at + overdue_after);
    let changed_again_at = changed_at + overdue_after + 100 * MS;
    subscription.endpoint_changed(changed_again_at);
    assert_eq!(subscription.begin(changed_again_at).unwrap().replaces, Some(lost[0]));
    subscription.endpoint_changed(changed_again_at);
    assert_eq!(subscription.begin(changed_again_at).unwrap().replaces, Some(lost[1]));
    assert!(subscription.answered(second, changes(8), changed_again_at + 500 * MS).accepted);
}
