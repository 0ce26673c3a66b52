//! The node's connections to cache servers and discovery, on loopback sockets.

mod node_common;

use node_common::*;
use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

// Guards against new requests to a draining server, on new or pooled connections.
#[test]
fn a_draining_server_gets_no_new_requests_and_its_idle_connections_close() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    assert_eq!(node.read("read", 1).body, b"old");
    discovery.publish(false, &[old.entry("s-1", "draining"), new.entry("s-2", "ready")]);
    discovery.wait_until_applied(2);
    wait_for("the close of the idle connection", || old.closed.load(Ordering::SeqCst) == 1);
    for key in 0..20 {
        assert_eq!(node.read("read", key).body, b"new");
    }
    assert_eq!((old.request_count(), new.request_count()), (1, 20));
}

// Guards against requests to a server that a whole list no longer contains: it counts as removed.
#[test]
fn a_server_missing_from_a_whole_list_gets_no_more_requests() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    assert_eq!(node.read("read", 1).body, b"old");
    discovery.publish(true, &[new.entry("s-2", "ready")]);
    discovery.wait_until_applied(2);
    wait_for("the close of the idle connection", || old.closed.load(Ordering::SeqCst) == 1);
    assert_eq!(node.read("read", 1).body, b"new");
    assert_eq!(old.request_count(), 1);
}

// Guards against a node that waits for a push: over sockets, discovery sends updates only to watches.
#[test]
fn the_list_is_watched_even_if_the_settings_say_pushed() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[]);
    let mut pushed = config(discovery.address);
    pushed["settings"]["membership_mode"] = "automatic".into();
    pushed["known"]["hosts"] = vec![old.entry("s-1", "ready")].into();
    let node = Node::ready(&pushed);
    discovery.publish(true, &[new.entry("s-2", "ready")]);
    discovery.wait_until_applied(2);
    assert_eq!(node.read("read", 1).body, b"new");
    assert_eq!(old.request_count(), 0);
}

// Guards against a request written to a pooled connection that its server has closed.
#[test]
fn a_connection_closed_by_its_server_is_not_reused() {
    let server = CacheServer::start(|_| Reaction::RespondAndClose(http_response("200 OK", "", "value")));
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    for key in 0..10 {
        // An unsafe request must not be sent twice, so a reset would fail it.
        assert_eq!(node.read("once", key).status(), 200);
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!((server.request_count(), server.connections.load(Ordering::SeqCst)), (10, 10));
}

// Guards against unsafe requests lost on pooled connections whose server drops them after a short idle time without a
// close.
#[test]
fn the_idle_time_of_pooled_connections_adapts_to_servers_that_drop_them() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = host_entry("s-1", listener.local_addr().unwrap(), "ready");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
                let mut answered: Option<Instant> = None;
                while let Ok(Some(_)) = Message::read(&mut reader) {
                    if answered.is_some_and(|at| at.elapsed() > Duration::from_millis(30)) {
                        return;
                    }
                    if stream.write_all(http_response("200 OK", "", "value").as_bytes()).is_err() {
                        return;
                    }
                    answered = Some(Instant::now());
                }
            });
        }
    });
    let discovery = Discovery::start(&[entry]);
    let node = Node::ready(&config(discovery.address));
    // Without the adaptation every second request fails on a dead pooled connection.
    let failed = (0..60).filter(|&key| {
        std::thread::sleep(Duration::from_millis(70));
        node.read("once", key).status() != 200
    });
    let failed = failed.count();
    assert!(failed <= 15, "{failed} of 60 were lost on pooled connections");
}

// Guards against a new connection, with its handshake, for each request.
#[test]
fn a_connection_is_reused_for_the_next_request() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    for key in 0..10 {
        assert_eq!(node.read("read", key).status(), 200);
        // A connection is reused only after an idle period.
        std::thread::sleep(Duration::from_millis(30));
    }
    assert_eq!((server.request_count(), server.connections.load(Ordering::SeqCst)), (10, 1));
}

/// Sends a request of this class to a node with two servers: the first attempt gets `first`, every later one is served.
/// Returns the status and the number of attempts.
fn status_and_attempts(first: fn() -> Reaction, class: &str) -> (u16, usize) {
    let attempts = Arc::new(AtomicU32::new(0));
    let server = || {
        let attempts = attempts.clone();
        CacheServer::start(move |_| match attempts.fetch_add(1, Ordering::SeqCst) {
            0 => first(),
            _ => Reaction::Respond(http_response("200 OK", "", "value")),
        })
    };
    let (one, two) = (server(), server());
    let discovery = Discovery::start(&[one.entry("s-1", "ready"), two.entry("s-2", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let status = node.read(class, 1).status();
    (status, one.request_count() + two.request_count())
}

// Guards against a wrong reading of an attempt's outcome: a request that may have run must not be retried, one that
// never ran may be.
#[test]
fn an_unsafe_request_is_retried_only_if_it_certainly_never_ran() {
    let declined = || Reaction::Respond(http_response("503 Service Unavailable", "Srv-Declined: 1\r\n", ""));
    assert_eq!(status_and_attempts(declined, "once"), (200, 2));
    let expired = || Reaction::Respond(http_response("504 Gateway Timeout", "Srv-Declined: 1\r\n", ""));
    assert_eq!(status_and_attempts(expired, "once"), (200, 2));
    let failures: [fn() -> Reaction; 5] = [
        || Reaction::Respond(http_response("500 Internal Server Error", "", "")),
        || Reaction::Respond(http_response("503 Service Unavailable", "", "")),
        || Reaction::RespondAndClose(String::new()),
        || Reaction::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_owned()),
        || Reaction::RespondAndClose("no HTTP at all\r\n\r\n".to_owned()),
    ];
    for (i, failure) in failures.into_iter().enumerate() {
        let (status, attempts) = status_and_attempts(failure, "once");
        assert!(
            status >= 500 && status != 503 && attempts == 1,
            "failure {i}: {status} after {attempts} attempts"
        );
    }
}

// Guards against a truncated response that is forwarded as complete.
#[test]
fn a_safe_request_is_retried_after_a_truncated_response() {
    let truncated =
        || Reaction::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_owned());
    assert_eq!(status_and_attempts(truncated, "read"), (200, 2));
}

// Guards against a request that is answered with a duplicate response to the one before it on its connection.
#[test]
fn a_duplicate_response_some_milliseconds_late_is_never_used() {
    let conclusive = (0..50).any(|_| {
        let took = Arc::new(Mutex::new(Duration::ZERO));
        let server_took = took.clone();
        let server = CacheServer::start(move |request| {
            Reaction::RespondTwice(
                http_response("200 OK", "", request.header("req-id").unwrap()),
                server_took.clone(),
            )
        });
        let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
        let node = Node::ready(&config(discovery.address));
        let mut client = node.client();
        let bodies: Vec<_> =
            (1..=4).map(|id| client.request(&get_request("read", id, 20_000)).body).collect();
        let all_own = bodies.iter().zip(1..).all(|(body, id)| *body == format!("{id:x}").as_bytes());
        // If the machine was so busy that the second response itself was late, the try shows nothing.
        let in_time = *took.lock().unwrap() < Duration::from_millis(10);
        assert!(all_own || !in_time, "{bodies:?}");
        in_time
    });
    assert!(conclusive, "the second responses were late in every try");
}

// Guards against treating a refused connection as a request that may have run.
#[test]
fn an_unsafe_request_is_retried_after_a_refused_connection() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[host_entry("s-1", closed, "ready"), server.entry("s-2", "ready")]);
    let node = Node::ready(&config(discovery.address));
    for key in 0..6 {
        assert_eq!(node.read("once", key).status(), 200);
    }
    assert_eq!(server.request_count(), 6);
}

// Guards against a discovery call without a response, during which the list grows stale.
#[test]
fn an_unanswered_discovery_call_times_out_and_is_repeated() {
    let server = CacheServer::serving("value");
    let discovery = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = discovery.local_addr().unwrap();
    let list =
        serde_json::json!({"seq": 1, "whole": true, "hosts": [server.entry("s-1", "ready")]}).to_string();
    std::thread::spawn(move || {
        let mut connections = Vec::new();
        for (call, stream) in discovery.incoming().map_while(Result::ok).enumerate() {
            let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
            let mut stream = stream;
            if call > 0 && matches!(Message::read(&mut reader), Ok(Some(_))) {
                // Fails if the node has exited.
                let _ = stream.write_all(http_response("200 OK", "", &list).as_bytes());
            }
            connections.push(stream);
        }
    });
    let start = Instant::now();
    let node = Node::ready(&config(address));
    assert!(start.elapsed() < Duration::from_secs(15), "ready after {:?}", start.elapsed());
    assert_eq!(node.read("read", 1).status(), 200);
}

// Guards against an invalid list: the node keeps the list that it has and calls again.
#[test]
fn an_invalid_list_is_a_failed_call_after_which_the_watch_resumes() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    discovery.wait_until_applied(1);
    let calls = discovery.calls();
    discovery.publish_text("{\"seq\":2,\"whole\":true,\"hosts\":[{\"host\":".to_owned());
    wait_for("another call", || discovery.calls() > calls);
    assert_eq!(node.read("read", 1).status(), 200);
    // The version of the applied list has not changed.
    assert!(discovery.paths.lock().unwrap()[calls..].iter().all(|path| path.contains("after=1&")));
    let new = CacheServer::serving("new");
    discovery.publish(true, &[new.entry("s-2", "ready")]);
    discovery.wait_until_applied(3);
    assert_eq!(node.read("read", 1).body, b"new");
}
