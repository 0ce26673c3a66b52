//! The drain grace period with pushed lists, on loopback sockets: a list counts as delivered to the node once the agent
//! has it, whatever failed before and whether or not a watch is open.

mod node_common;

use node_common::agent::{Agent, Outage};
use node_common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// New requests may go to a server this long after its drain counts as delivered to the node: the grace period, plus
/// the allowance for sockets (protocol page, "The rules on sockets").
const GRACE: Duration = Duration::from_millis(250 + 50);
/// The pause between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// The longest stall of a node, between reading its clock and writing, that the grace period has to cover.
const STALL: Duration = Duration::from_millis(150);
/// The wait for a moment without a call ends after this; a watch without a change is answered well within it.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(3);

/// Samples the scheduling delay of the machine: the largest overshoot of a short sleep.
struct SchedulingDelay {
    stopping: Arc<AtomicBool>,
    sampler: thread::JoinHandle<Duration>,
}

impl SchedulingDelay {
    fn sample() -> Self {
        const STEP: Duration = Duration::from_millis(5);
        let stopping = Arc::new(AtomicBool::new(false));
        let stop_flag = stopping.clone();
        let sampler = thread::spawn(move || {
            let mut max = Duration::ZERO;
            while !stop_flag.load(Ordering::SeqCst) {
                let start = Instant::now();
                thread::sleep(STEP);
                max = max.max(start.elapsed().saturating_sub(STEP));
            }
            max
        });
        Self { stopping, sampler }
    }

    fn stop(self) -> Duration {
        self.stopping.store(true, Ordering::SeqCst);
        self.sampler.join().unwrap()
    }
}

/// A client that sends requests to the node until it is stopped.
struct Traffic {
    stopping: Arc<AtomicBool>,
    client: Option<thread::JoinHandle<()>>,
}

impl Traffic {
    fn start(address: std::net::SocketAddr) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let stop_flag = stopping.clone();
        let client = thread::spawn(move || {
            let mut client = Client::new(std::net::TcpStream::connect(address).unwrap());
            for key in 0.. {
                if stop_flag.load(Ordering::SeqCst) {
                    return;
                }
                assert_eq!(
                    client.request(&get_request("read", key, 20_000)).status(),
                    200,
                    "request {key} is served"
                );
                thread::sleep(REQUEST_INTERVAL);
            }
        });
        Self { stopping, client: Some(client) }
    }

    fn stop(mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.client.take().unwrap().join().expect("all requests are served");
    }
}

/// The result of a run.
struct Outcome {
    /// From the delivery of the drain to the last request that reached the draining server.
    last_sent: Duration,
    delay: Duration,
    log: String,
}

/// Runs a node through an outage of this kind. The outage lasts for `lasts`, and where calls fail immediately until no
/// call is in flight. Then a drain is pushed to the agent at the first moment without a call in flight, or after
/// [`MAX_WATCH_WAIT`]. With `stall` the node is stopped (SIGSTOP) at that moment, for [`STALL`].
fn drain_after(outage: Outage, lasts: Duration, stall: bool) -> Outcome {
    let times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let server_times = times.clone();
    let draining = CacheServer::start(move |_| {
        server_times.lock().unwrap().push(Instant::now());
        Reaction::Respond(http_response("200 OK", "", "value"))
    });
    let other = CacheServer::serving("value");
    let before = [draining.entry("s-1", "ready"), other.entry("s-2", "ready")];
    let after = [draining.entry("s-1", "draining"), other.entry("s-2", "ready")];

    let refused = outage == Outage::Refused;
    let agent = Agent::start(&before, refused.then_some(outage));
    let mut config = push_config(agent.address);
    config["known"] = serde_json::json!({"seq": 1, "whole": true, "hosts": before});
    let node = Node::ready(&config);
    if !refused {
        // The outage begins after a watch has been answered.
        wait_for("an answered watch", || agent.answered() > 0);
        agent.start_outage(outage);
        let calls = agent.calls();
        wait_for("a call in the outage", || agent.calls() > calls);
    }
    thread::sleep(lasts);
    if outage.fails_immediately() {
        wait_for("the end of a call", || !agent.has_call_in_flight());
    }
    let sampler = SchedulingDelay::sample();
    let traffic = Traffic::start(node.address);
    agent.end_outage();
    let ended = Instant::now();
    wait_for("a moment without a call", || !agent.has_call_in_flight() || ended.elapsed() >= MAX_WATCH_WAIT);
    let delivered = agent.publish(&after);
    if stall {
        node.signal("-STOP");
        thread::sleep(STALL.saturating_sub(delivered.elapsed()));
        node.signal("-CONT");
    }
    // Longer than any pause between calls of the node.
    thread::sleep(Duration::from_secs(2));
    traffic.stop();
    let delay = sampler.stop();
    let last = times.lock().unwrap().iter().max().copied();
    let last_sent = last.map_or(Duration::ZERO, |last| last.saturating_duration_since(delivered));
    let log = node.log.lock().unwrap().clone();
    Outcome { last_sent, delay, log }
}

/// Runs all cases in parallel.
fn assert_within_grace(cases: impl IntoIterator<Item = (Outage, Duration)>, stall: bool) {
    let runs = cases
        .into_iter()
        .map(|(outage, lasts)| (outage, lasts, thread::spawn(move || drain_after(outage, lasts, stall))));
    let mut broken = Vec::new();
    for (outage, lasts, run) in runs.collect::<Vec<_>>() {
        let Outcome { last_sent, delay, log } = run.join().expect("the run ends");
        println!(
            "{outage:?} for {lasts:?}: last sent {last_sent:?} after the drain, scheduling delay {delay:?}"
        );
        if last_sent > GRACE + delay {
            println!("{log}");
            broken.push(format!("{outage:?} for {lasts:?}: {last_sent:?}"));
        }
    }
    assert!(broken.is_empty(), "sent to a draining server after the grace period: {broken:?}");
}

/// Lengths of an outage that end it at different phases of a node's calls.
fn outage_lengths() -> impl Iterator<Item = Duration> {
    [800, 1_800, 2_700, 3_400, 4_100, 4_800, 5_500, 6_200, 6_900, 8_000]
        .into_iter()
        .map(Duration::from_millis)
}

// Guards against a node that pauses between two calls when a drain is delivered, right after an outage in which calls
// got no response or part of one.
#[test]
fn a_drain_right_after_a_silent_outage_is_applied_within_the_grace_period() {
    let outages = [Outage::Silent, Outage::PartialResponse];
    assert_within_grace(
        outages.into_iter().flat_map(|outage| outage_lengths().map(move |lasts| (outage, lasts))),
        false,
    );
}

// Guards against a drain that is delivered during the pause after calls that fail immediately.
#[test]
fn a_drain_right_after_failed_calls_is_applied_within_the_grace_period() {
    let outages = [Outage::Refused, Outage::Unavailable, Outage::Reset];
    let lengths = [500, 2_000, 2_300, 2_600, 2_900, 3_200].map(Duration::from_millis);
    assert_within_grace(outages.into_iter().flat_map(|outage| lengths.map(|lasts| (outage, lasts))), false);
}

// Guards against a node that uses up the grace period, with none left for a stall.
#[test]
fn a_drain_during_a_stall_of_the_node_is_applied_within_the_grace_period() {
    let outages = [Outage::Silent, Outage::Unavailable, Outage::Reset];
    let lengths = [500, 2_000, 5_500].map(Duration::from_millis);
    assert_within_grace(outages.into_iter().flat_map(|outage| lengths.map(|lasts| (outage, lasts))), true);
}
