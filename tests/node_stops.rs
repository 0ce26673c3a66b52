//! Shutdown of a node at every stage of a request, with faulty servers, on loopback sockets.

mod node_common;

use node_common::*;
use std::thread;
use std::time::{Duration, Instant};

/// How a server reacts to every request.
type Behaviour = fn() -> Reaction;

/// The kinds of servers beside which a node is shut down.
const SERVERS: [(&str, Behaviour); 6] = [
    ("answers", || Reaction::Respond(http_response("200 OK", "", "value"))),
    ("is slow", || {
        thread::sleep(Duration::from_millis(200));
        Reaction::Respond(http_response("200 OK", "", "value"))
    }),
    ("hangs", || Reaction::NoResponse),
    ("hangs within its response", || {
        Reaction::Respond("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nval".to_owned())
    }),
    ("never ends its response", || Reaction::EndlessResponse),
    ("closes within its response", || {
        Reaction::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nval".to_owned())
    }),
];

/// After SIGTERM, in a fast shutdown: idle connections are closed, and the node has not exited yet.
const CLOSED: Duration = Duration::from_millis(1_150);
const BEFORE_EXIT: Duration = Duration::from_millis(1_400);

// Guards against an accepted request that does not get exactly one complete response, at any moment of a shutdown.
#[test]
fn every_accepted_request_gets_one_complete_response_at_shutdown() {
    let runs =
        SERVERS.map(|(name, react)| (name, thread::spawn(move || (0..20).any(|_| shut_down_beside(react)))));
    for (name, run) in runs {
        let conclusive = run.join();
        assert!(conclusive.is_ok(), "a shutdown beside a server that {name}");
        assert!(conclusive.unwrap(), "the machine was too slow in each try");
    }
}

/// Shuts a node down beside a server of this behaviour; `false` if the machine was too slow to send all requests while
/// the node could still accept them.
fn shut_down_beside(react: Behaviour) -> bool {
    let server = CacheServer::start(move |_| react());
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&fast_shutdown_config(discovery.address));
    for class in ["read", "once", "keyed"] {
        check_one_request(&node, class, &server);
    }
    let complete = get_request("once", 9, TEN_MINUTES_MS);
    let put = "PUT /api/9 HTTP/1.1\r\nHost: s\r\nReq-Id: 8\r\nReq-Kind: once\r\nReq-Deadline-Ms: 600000\r\n\
               Content-Length: 4\r\n\r\n";
    let mut reused = node.client();
    reused.request(&get_request("read", 10, 100));
    let begun = Instant::now();
    let (mut sent_before, mut sent_after) = (node.client(), node.client());
    let (mut partial_head, mut partial_body) = (node.client(), node.client());
    let before = server.request_count();
    sent_before.send(&complete);
    partial_head.send(&complete[..20]);
    partial_body.send(&format!("{put}ab"));
    reused.send(&complete[..20]);
    wait_for("the request at its server", || server.request_count() > before);
    let repeating_client = repeat_requests(node.client());
    let terminated = Instant::now();
    node.terminate();
    wait_for("the log line about the shutdown", || node.log.lock().unwrap().contains("is told to stop"));
    if begun.elapsed() > Duration::from_millis(600) {
        return false;
    }
    sent_after.send(&complete);
    partial_head.send(&complete[20..]);
    partial_body.send("cd");
    // The rest of the next request is sent after the idle connections have been closed.
    thread::sleep(CLOSED.saturating_sub(terminated.elapsed()));
    if terminated.elapsed() > BEFORE_EXIT {
        return false;
    }
    reused.send(&complete[20..]);
    // None of these connections was idle, so the node must not have closed any.
    for (which, mut client) in (1..).zip([sent_before, sent_after, partial_head, partial_body, reused]) {
        let status =
            client.read_response().unwrap_or_else(|| panic!("no response to client {which}")).status();
        assert!([200, 502, 503].contains(&status), "{status}");
        assert_eq!(client.read_response(), None, "a second response");
    }
    repeating_client.join().expect("the repeating client ends");
    assert!(node.exit().success());
    true
}

/// Sends one request of this class before the shutdown and checks its status and its number of attempts.
fn check_one_request(node: &Node, class: &str, server: &CacheServer) {
    let before = server.request_count();
    let status = node.client().request(&get_request(class, 7, 400)).status();
    assert!([200, 502, 503].contains(&status), "{status}");
    let sent = server.request_count() - before;
    assert!(class == "read" || sent <= 1 || class == "keyed", "{class} was sent {sent} times");
}

/// A client that sends one request after another on its connection until the node closes it.
fn repeat_requests(mut client: Client) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        for id in 100.. {
            // The close may cross a request: a client then sends it to another node.
            let Some(response) = client.try_request(&get_request("read", id, 100)) else { return };
            assert!([200, 502, 503].contains(&response.status()), "{}", response.status());
            if response.header("connection") == Some("close") {
                assert_eq!(client.read_response(), None);
                return;
            }
        }
    })
}

/// The longest stall of a node, between reading its clock and writing, that a shutdown allows for.
const STALL: Duration = Duration::from_millis(150);
/// The earliest SIGKILL after SIGTERM in a fast shutdown.
const KILL: Duration = Duration::from_millis(1_700);

/// Stalls a node with SIGSTOP during its shutdown, at `from` after SIGTERM and for `length`, with a request in flight
/// that its server never answers. Returns the status that the client gets, and when; `None` if the machine was too slow
/// to keep these times.
fn response_of_a_stalled_shutdown(from: Duration, length: Duration) -> Option<(Option<u16>, Duration)> {
    const TOLERANCE: Duration = Duration::from_millis(10);
    let server = CacheServer::start(|_| Reaction::NoResponse);
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&fast_shutdown_config(discovery.address));
    let mut waiting = node.client();
    waiting.send(&get_request("once", 1, TEN_MINUTES_MS));
    wait_for("the request", || server.request_count() == 1);
    let terminated = Instant::now();
    let response = thread::spawn(move || {
        (waiting.read_response().map(|response| response.status()), terminated.elapsed())
    });
    node.terminate();
    thread::sleep(from.saturating_sub(terminated.elapsed()));
    node.signal("-STOP");
    let stopped = terminated.elapsed();
    thread::sleep((from + length).saturating_sub(terminated.elapsed()));
    node.signal("-CONT");
    let resumed = terminated.elapsed();
    let on_time = stopped <= from + TOLERANCE && resumed <= from + length + TOLERANCE;
    let response = response.join().expect("a response or a close");
    on_time.then_some(response)
}

// Guards against a shutdown that leaves no time for a stall before the kill, so that accepted requests are lost.
#[test]
fn a_node_that_stalls_at_the_end_of_its_shutdown_responds_before_the_kill() {
    let moments = [1_400, 1_470, 1_510, 1_560, 1_590].map(Duration::from_millis);
    let runs = moments.map(|from| {
        let run = move || (0..20).find_map(|_| response_of_a_stalled_shutdown(from, STALL));
        (from, thread::spawn(run))
    });
    for (from, run) in runs {
        let response = run.join().expect("the run ends").expect("the machine was too slow in each try");
        let (status, at) = response;
        println!("stalled from {from:?}: answered {at:?} after SIGTERM");
        assert_eq!(status, Some(502), "stalled from {from:?}");
        assert!(at < KILL, "stalled from {from:?}: answered {at:?} after SIGTERM, killed after {KILL:?}");
    }
}

// Guards against a node that exits without answering accepted requests because a stall lasted past the end of its
// shutdown and no kill followed.
#[test]
fn a_node_that_stalls_past_the_end_of_its_shutdown_still_responds() {
    let response = (0..20).find_map(|_| response_of_a_stalled_shutdown(Duration::from_millis(1_300), KILL));
    assert_eq!(response.map(|(status, _)| status), Some(Some(502)));
}
