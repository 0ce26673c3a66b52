//! Discovery that fails in every way, on loopback sockets: what it has and can be reached for is acted on in time.

mod node_common;

use node_common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A change that discovery has and can be reached for counts as told by then, and after SIGHUP by then.
const TOLD: Duration = Duration::from_secs(6);
const TOLD_AFTER_SIGHUP: Duration = Duration::from_secs(4);
/// A restarted node is ready within this time.
const READY: Duration = Duration::from_secs(10);

/// What discovery does with a call that comes now.
#[derive(Clone, Debug)]
enum Mood {
    /// Answers with this list, after so long.
    Lists(String, Duration),
    Silent,
    /// Half an answer, and no more.
    Half,
    /// Half an answer, and a reset.
    Breaks,
    /// A byte now and then, without an end.
    Trickles,
    Refuses,
    NoList,
}

/// Discovery whose mood a test changes.
struct Moody {
    address: SocketAddr,
    mood: Arc<Mutex<Mood>>,
    /// When each call came.
    calls: Arc<Mutex<Vec<Instant>>>,
}

impl Moody {
    fn start(mood: Mood) -> Self {
        Self::listen(TcpListener::bind("127.0.0.1:0").unwrap(), mood)
    }

    fn listen(listener: TcpListener, mood: Mood) -> Self {
        let (address, mood) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(mood)));
        let moody = Self { address, mood, calls: Arc::default() };
        let (mood, calls) = (moody.mood.clone(), moody.calls.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (mood, calls) = (mood.clone(), calls.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut stream = stream;
                    while let Ok(Some(_)) = Message::read(&mut reader) {
                        let now = mood.lock().unwrap().clone();
                        calls.lock().unwrap().push(Instant::now());
                        if !answer_in(&now, &mut stream) {
                            return;
                        }
                    }
                });
            }
        });
        moody
    }

    fn becomes(&self, mood: Mood) {
        *self.mood.lock().unwrap() = mood;
    }

    fn calls(&self) -> usize {
        self.calls.lock().unwrap().len()
    }
}

/// `false` where the connection is over.
fn answer_in(mood: &Mood, stream: &mut TcpStream) -> bool {
    let half = "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"seq\":2,\"whole\":true,\"hosts\":[";
    match mood {
        Mood::Lists(list, after) => {
            thread::sleep(*after);
            stream.write_all(answer("200 OK", "", list).as_bytes()).is_ok()
        }
        // Nobody answers on this connection any more, and it stays open.
        Mood::Silent => true,
        Mood::Half => stream.write_all(half.as_bytes()).is_ok(),
        Mood::Breaks => {
            let _ = stream.write_all(half.as_bytes());
            script::reset(stream.try_clone().unwrap());
            let _ = stream.shutdown(std::net::Shutdown::Both);
            false
        }
        Mood::Trickles => {
            let mut wrote = stream.write_all(half.as_bytes());
            while wrote.is_ok() {
                thread::sleep(Duration::from_millis(50));
                wrote = stream.write_all(b" ");
            }
            false
        }
        Mood::Refuses => stream.write_all(answer("503 Service Unavailable", "", "").as_bytes()).is_ok(),
        Mood::NoList => stream.write_all(answer("200 OK", "", "{\"seq\":").as_bytes()).is_ok(),
    }
}

fn list(seq: u64, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": true, "hosts": hosts}).to_string()
}

/// A node that holds a list of one server, and the list that moves it to another.
struct Change {
    node: Node,
    before: String,
    after: String,
    _servers: [CacheServer; 2],
}

impl Change {
    fn ahead(discovery: SocketAddr) -> Self {
        let servers = [CacheServer::serving("old"), CacheServer::serving("new")];
        let (old, new) = (|state| servers[0].entry("s-old", state), servers[1].entry("s-new", "ready"));
        let mut config = config(discovery);
        config["known"]["hosts"] = vec![old("ready")].into();
        let (before, after) = (list(1, &[old("ready")]), list(2, &[old("draining"), new]));
        let node = Node::ready(&config);
        Self { node, before, after, _servers: servers }
    }

    /// How long after this moment the node acts on the change.
    fn acted_on(&self, since: Instant) -> Duration {
        for key in 1.. {
            let served = self.node.read("read", key);
            if served.body == b"new" {
                break;
            }
            assert!(since.elapsed() < PATIENCE, "the change is never acted on");
            thread::sleep(Duration::from_millis(10));
        }
        since.elapsed()
    }
}

const AT_ONCE: Duration = Duration::ZERO;

/// The watch that is out when the change comes meets this, and so does every call for so long after it.
fn after_a_mood(mood: Mood, lasts: Duration) -> Duration {
    let discovery = Moody::start(Mood::Silent);
    let change = Change::ahead(discovery.address);
    // The first watch is answered, and the next one is out in the mood.
    wait_for("a call", || discovery.calls() > 0);
    discovery.becomes(Mood::Lists(change.before.clone(), AT_ONCE));
    let asked = discovery.calls();
    wait_for("an answered call", || discovery.calls() > asked);
    discovery.becomes(mood);
    let asked = discovery.calls();
    wait_for("a call in that mood", || discovery.calls() > asked);
    thread::sleep(lasts);
    // From here on it has the change and answers whoever calls.
    let had = Instant::now();
    discovery.becomes(Mood::Lists(change.after.clone(), AT_ONCE));
    change.acted_on(had)
}

// Guards against a change that the node hears of late after a call which failed in any way, once or for some time.
#[test]
fn a_change_is_acted_on_in_time_whatever_failed_before() {
    let moods = [Mood::Silent, Mood::Half, Mood::Breaks, Mood::Trickles, Mood::Refuses, Mood::NoList];
    let cases = moods.into_iter().flat_map(|mood| [0, 4].map(|lasts| (mood.clone(), lasts)));
    let plays = cases.map(|(mood, lasts)| {
        let name = format!("{mood:?} for {lasts} s");
        (name, thread::spawn(move || after_a_mood(mood, Duration::from_secs(lasts))))
    });
    for (name, play) in plays.collect::<Vec<_>>() {
        let took = play.join().expect("a change that is acted on");
        println!("{name}: acted on after {took:?}");
        assert!(took < TOLD, "{name}: acted on after {took:?}");
    }
}

// Guards against an outage in which nobody listens, and a node that has backed off too far when it is over.
#[test]
fn a_change_is_acted_on_in_time_after_an_outage() {
    let down = script::Reserved::bind();
    let change = Change::ahead(down.address);
    thread::sleep(Duration::from_secs(4));
    let back = Instant::now();
    let _discovery = Moody::listen(down.listen(), Mood::Lists(change.after.clone(), AT_ONCE));
    let took = change.acted_on(back);
    assert!(took < TOLD, "acted on after {took:?}");
}

// Guards against a reload that waits for a call to the old address, or for the pause after one that failed there.
#[test]
fn a_change_at_a_new_address_is_acted_on_in_time_after_the_signal() {
    for mood in [Mood::Silent, Mood::Refuses, Mood::Trickles] {
        let old = Moody::start(mood);
        let change = Change::ahead(old.address);
        wait_for("a call", || old.calls() > 0);
        let new = Moody::start(Mood::Lists(change.after.clone(), AT_ONCE));
        let told = Instant::now();
        change.node.reload(&config(new.address).to_string());
        let took = change.acted_on(told);
        assert!(took < TOLD_AFTER_SIGHUP, "acted on after {took:?}");
    }
}

// Guards against calls that follow each other without a pause while discovery fails at once.
#[test]
fn discovery_that_fails_at_once_is_not_called_without_end() {
    let discovery = Moody::start(Mood::Refuses);
    let _change = Change::ahead(discovery.address);
    wait_for("some calls", || discovery.calls() >= 4);
    let calls = discovery.calls.lock().unwrap().clone();
    let apart = calls[3] - calls[0];
    assert!(apart >= Duration::from_secs(3), "three pauses of a second and more: {apart:?}");
}

/// How long after its start a node is ready that knows nothing and whose discovery is in this mood for so long, or
/// answers with `lists` after `slow`. It must not say so before it has a list with a server in it.
fn ready_after(mood: Mood, lasts: Duration, slow: Duration) -> Duration {
    let server = CacheServer::serving("value");
    let hosts: Vec<_> = (0..1_024).map(|i| server.entry(&format!("s-{i:04}"), "ready")).collect();
    let discovery = Moody::start(mood);
    let start = Instant::now();
    let node = Node::start(&config(discovery.address));
    wait_for("a call", || discovery.calls() > 0);
    while start.elapsed() < lasts {
        assert_eq!(node.get("/healthz").status(), 503, "ready with no list");
        thread::sleep(Duration::from_millis(50));
    }
    discovery.becomes(Mood::Lists(list(1, &hosts), slow));
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);
    let took = start.elapsed();
    assert_eq!(node.read("read", 1).body, b"value", "ready is able to serve");
    took
}

// Guards against a restarted node that is ready late, or that says it is while it can serve nobody.
#[test]
fn a_node_that_knows_nothing_is_ready_in_time_with_1024_servers() {
    let seconds = Duration::from_secs;
    let cases = [
        ("silent for the first call", Mood::Silent, seconds(0), AT_ONCE),
        ("late", Mood::Lists(list(0, &[]), AT_ONCE), seconds(3), AT_ONCE),
        ("slow", Mood::Silent, seconds(0), seconds(2)),
        ("refusing", Mood::Refuses, seconds(3), AT_ONCE),
        ("cut off within its list", Mood::Half, seconds(0), AT_ONCE),
    ];
    let plays =
        cases.map(|(name, mood, lasts, slow)| (name, thread::spawn(move || ready_after(mood, lasts, slow))));
    for (name, play) in plays {
        let took = play.join().expect("a node that gets ready");
        println!("{name}: ready after {took:?}");
        assert!(took < READY, "{name}: ready after {took:?}");
    }
}
