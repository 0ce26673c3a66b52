//! Failures of discovery, on loopback sockets: once it can be reached again, its changes are applied in time.

mod node_common;

use node_common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A change must be applied within this time after discovery has it and can be reached.
const APPLIED_WITHIN: Duration = Duration::from_secs(6);
/// The same limit for a change of the discovery address, from SIGHUP on.
const APPLIED_WITHIN_AFTER_SIGHUP: Duration = Duration::from_secs(4);
/// A restarted node must be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// How discovery answers calls.
#[derive(Clone, Debug)]
enum Mode {
    /// Sends this list after a delay.
    List(String, Duration),
    /// Sends nothing and keeps the connection open.
    Silent,
    /// Sends part of a response, and then nothing.
    Partial,
    /// Sends part of a response, and then resets the connection.
    PartialThenReset,
    /// Sends a byte every 50 ms, without end.
    Trickle,
    /// Answers with 503.
    Unavailable,
    /// Answers with 200 and a body that is not valid JSON.
    InvalidList,
}

/// Discovery whose behaviour a test can change.
struct FaultyDiscovery {
    address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    /// When each call was received.
    calls: Arc<Mutex<Vec<Instant>>>,
}

impl FaultyDiscovery {
    fn start(mode: Mode) -> Self {
        Self::listen(TcpListener::bind("127.0.0.1:0").unwrap(), mode)
    }

    fn listen(listener: TcpListener, mode: Mode) -> Self {
        let (address, mode) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(mode)));
        let discovery = Self { address, mode, calls: Arc::default() };
        let (mode, calls) = (discovery.mode.clone(), discovery.calls.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (mode, calls) = (mode.clone(), calls.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut stream = stream;
                    while let Ok(Some(_)) = Message::read(&mut reader) {
                        let current = mode.lock().unwrap().clone();
                        calls.lock().unwrap().push(Instant::now());
                        if !answer_call(&current, &mut stream) {
                            return;
                        }
                    }
                });
            }
        });
        discovery
    }

    fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    fn calls(&self) -> usize {
        self.calls.lock().unwrap().len()
    }
}

/// Answers one call; `false` if the connection has ended.
fn answer_call(mode: &Mode, stream: &mut TcpStream) -> bool {
    let partial = "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"seq\":2,\"whole\":true,\"hosts\":[";
    match mode {
        Mode::List(list, after) => {
            thread::sleep(*after);
            stream.write_all(http_response("200 OK", "", list).as_bytes()).is_ok()
        }
        Mode::Silent => true,
        Mode::Partial => stream.write_all(partial.as_bytes()).is_ok(),
        Mode::PartialThenReset => {
            let _ = stream.write_all(partial.as_bytes());
            script::reset(stream.try_clone().unwrap());
            let _ = stream.shutdown(std::net::Shutdown::Both);
            false
        }
        Mode::Trickle => {
            let mut wrote = stream.write_all(partial.as_bytes());
            while wrote.is_ok() {
                thread::sleep(Duration::from_millis(50));
                wrote = stream.write_all(b" ");
            }
            false
        }
        Mode::Unavailable => {
            stream.write_all(http_response("503 Service Unavailable", "", "").as_bytes()).is_ok()
        }
        Mode::InvalidList => stream.write_all(http_response("200 OK", "", "{\"seq\":").as_bytes()).is_ok(),
    }
}

fn list(seq: u64, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": true, "hosts": hosts}).to_string()
}

/// A node that has a list of one server, and a list that drains that server and adds another.
struct ChangeTest {
    node: Node,
    before: String,
    after: String,
    _servers: [CacheServer; 2],
}

impl ChangeTest {
    fn start(discovery: SocketAddr) -> Self {
        Self::start_in_mode("subscribe", discovery)
    }

    fn start_in_mode(membership_mode: &str, discovery: SocketAddr) -> Self {
        let servers = [CacheServer::serving("old"), CacheServer::serving("new")];
        let (old, new) = (|state| servers[0].entry("s-old", state), servers[1].entry("s-new", "ready"));
        let mut config = config(discovery);
        config["settings"]["membership_mode"] = membership_mode.into();
        config["known"]["hosts"] = vec![old("ready")].into();
        let (before, after) = (list(1, &[old("ready")]), list(2, &[old("draining"), new]));
        let node = Node::ready(&config);
        Self { node, before, after, _servers: servers }
    }

    /// Waits until the node acts on the change; returns the time since `since`.
    fn wait_until_applied(&self, since: Instant) -> Duration {
        for key in 1.. {
            let served = self.node.read("read", key);
            if served.body == b"new" {
                break;
            }
            assert!(since.elapsed() < WAIT_TIMEOUT, "the change is never applied");
            thread::sleep(Duration::from_millis(10));
        }
        since.elapsed()
    }
}

const NO_DELAY: Duration = Duration::ZERO;

/// Puts discovery into this mode under an open watch and keeps it there for `lasts`; returns how long after the end of
/// the mode the node applies a change.
fn time_to_apply_after(mode: Mode, lasts: Duration) -> Duration {
    let discovery = FaultyDiscovery::start(Mode::Silent);
    let change = ChangeTest::start(discovery.address);
    // The first watch is answered with the old list, and the next one meets the failure.
    wait_for("a call", || discovery.calls() > 0);
    discovery.set_mode(Mode::List(change.before.clone(), NO_DELAY));
    let calls_before = discovery.calls();
    wait_for("an answered call", || discovery.calls() > calls_before);
    discovery.set_mode(mode);
    let calls_before = discovery.calls();
    wait_for("a call in that mode", || discovery.calls() > calls_before);
    thread::sleep(lasts);
    // From now on discovery has the change and answers every call.
    let available = Instant::now();
    discovery.set_mode(Mode::List(change.after.clone(), NO_DELAY));
    change.wait_until_applied(available)
}

// Guards against a change that is applied late after failed calls, whether one call failed or all for 4 s.
#[test]
fn a_change_is_applied_in_time_after_any_failure_of_a_call() {
    let modes = [
        Mode::Silent,
        Mode::Partial,
        Mode::PartialThenReset,
        Mode::Trickle,
        Mode::Unavailable,
        Mode::InvalidList,
    ];
    let cases = modes.into_iter().flat_map(|mode| [0, 4].map(|lasts| (mode.clone(), lasts)));
    let runs = cases.map(|(mode, lasts)| {
        let name = format!("{mode:?} for {lasts} s");
        (name, thread::spawn(move || time_to_apply_after(mode, Duration::from_secs(lasts))))
    });
    for (name, run) in runs.collect::<Vec<_>>() {
        let took = run.join().expect("the change is applied");
        println!("{name}: applied after {took:?}");
        assert!(took < APPLIED_WITHIN, "{name}: applied after {took:?}");
    }
}

// Guards against a backoff that has grown too long when an outage with refused connections ends.
#[test]
fn a_change_is_applied_in_time_after_refused_connections() {
    let reserved = script::ReservedAddress::bind();
    let change = ChangeTest::start(reserved.address);
    thread::sleep(Duration::from_secs(4));
    let reachable = Instant::now();
    let _discovery = FaultyDiscovery::listen(reserved.listen(), Mode::List(change.after.clone(), NO_DELAY));
    let took = change.wait_until_applied(reachable);
    assert!(took < APPLIED_WITHIN, "applied after {took:?}");
}

// Guards against a reload that waits for a call to the old address, or for the backoff after one that failed there.
#[test]
fn a_change_at_a_new_address_is_applied_in_time_after_sighup() {
    for mode in [Mode::Silent, Mode::Unavailable, Mode::Trickle] {
        let old = FaultyDiscovery::start(mode);
        let change = ChangeTest::start(old.address);
        wait_for("a call", || old.calls() > 0);
        let new = FaultyDiscovery::start(Mode::List(change.after.clone(), NO_DELAY));
        let signalled = Instant::now();
        change.node.reload(&config(new.address).to_string());
        let took = change.wait_until_applied(signalled);
        assert!(took < APPLIED_WITHIN_AFTER_SIGHUP, "applied after {took:?}");
    }
}

/// How long a node takes to apply a change while it gets a new configuration at each interval, each with a further
/// address of a discovery whose answers take this time.
fn time_to_apply_during_reloads(
    membership_mode: &str,
    answer_time: Duration,
    interval: Duration,
) -> Duration {
    let old = FaultyDiscovery::start(Mode::Silent);
    let change = ChangeTest::start_in_mode(membership_mode, old.address);
    wait_for("a call", || old.calls() > 0);
    let (signalled, applied) = (Instant::now(), AtomicBool::new(false));
    thread::scope(|scope| {
        scope.spawn(|| {
            while !applied.load(Ordering::SeqCst) && signalled.elapsed() < 2 * APPLIED_WITHIN {
                let new = FaultyDiscovery::start(Mode::List(change.after.clone(), answer_time));
                change.node.reload(&config(new.address).to_string());
                thread::sleep(interval);
            }
        });
        let took = change.wait_until_applied(signalled);
        applied.store(true, Ordering::SeqCst);
        took
    })
}

// Guards against a node that hears nothing while new configurations come faster than discovery answers: each of them
// ended the call in flight.
#[test]
fn a_change_is_applied_in_time_while_addresses_change_faster_than_discovery_answers() {
    let ms = Duration::from_millis;
    let spacings = [(1_400, 100), (1_400, 500), (1_700, 300), (1_700, 1_500), (2_200, 1_900)];
    let cases =
        ["subscribe", "automatic"].into_iter().flat_map(|mode| spacings.map(|spacing| (mode, spacing)));
    let runs = cases.map(|(mode, (answer_time, interval))| {
        let name = format!("{mode}, answers take {answer_time} ms, a reload each {interval} ms");
        let run = move || time_to_apply_during_reloads(mode, ms(answer_time), ms(interval));
        (name, thread::spawn(run))
    });
    let runs: Vec<_> = runs.collect();
    // All runs end before the first assertion, so that each node is stopped.
    let results: Vec<_> = runs.into_iter().map(|(name, run)| (name, run.join())).collect();
    for (name, result) in results {
        let took = result.expect("the change is applied");
        println!("{name}: applied after {took:?}");
        assert!(took < APPLIED_WITHIN_AFTER_SIGHUP, "{name}: applied after {took:?}");
    }
}

// Guards against a tight loop of calls while discovery fails immediately.
#[test]
fn calls_to_a_discovery_that_fails_immediately_back_off() {
    let discovery = FaultyDiscovery::start(Mode::Unavailable);
    let _change = ChangeTest::start(discovery.address);
    wait_for("some calls", || discovery.calls() >= 4);
    let calls = discovery.calls.lock().unwrap().clone();
    let elapsed = calls[3] - calls[0];
    assert!(elapsed >= Duration::from_secs(3), "three pauses of less than a second each: {elapsed:?}");
}

/// How long a node without an initial list takes to become ready, with discovery in this mode for `lasts` and sending
/// its list after the delay `slow` from then on. The node must not report readiness before it has a server.
fn time_to_ready(mode: Mode, lasts: Duration, slow: Duration) -> Duration {
    let server = CacheServer::serving("value");
    let hosts: Vec<_> = (0..1_024).map(|i| server.entry(&format!("s-{i:04}"), "ready")).collect();
    let discovery = FaultyDiscovery::start(mode);
    let start = Instant::now();
    let node = Node::start(&config(discovery.address));
    wait_for("a call", || discovery.calls() > 0);
    while start.elapsed() < lasts {
        assert_eq!(node.get("/healthz").status(), 503, "ready without a list");
        thread::sleep(Duration::from_millis(50));
    }
    discovery.set_mode(Mode::List(list(1, &hosts), slow));
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);
    let took = start.elapsed();
    assert_eq!(node.read("read", 1).body, b"value", "a ready node serves");
    took
}

// Guards against a restarted node that is ready late, or that reports readiness while it cannot serve.
#[test]
fn a_node_without_a_list_is_ready_in_time_with_1024_servers() {
    let seconds = Duration::from_secs;
    let cases = [
        ("silent for the first call", Mode::Silent, seconds(0), NO_DELAY),
        ("late", Mode::List(list(0, &[]), NO_DELAY), seconds(3), NO_DELAY),
        ("slow", Mode::Silent, seconds(0), seconds(2)),
        ("unavailable", Mode::Unavailable, seconds(3), NO_DELAY),
        ("partial list", Mode::Partial, seconds(0), NO_DELAY),
    ];
    let runs = cases
        .map(|(name, mode, lasts, slow)| (name, thread::spawn(move || time_to_ready(mode, lasts, slow))));
    for (name, run) in runs {
        let took = run.join().expect("the node becomes ready");
        println!("{name}: ready after {took:?}");
        assert!(took < READY_WITHIN, "{name}: ready after {took:?}");
    }
}
