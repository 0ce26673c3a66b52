//! The client side of a node, on loopback sockets.

mod node_common;

use node_common::*;
use serde_json::json;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

// Guards against a node that alters the path, headers or body of a forwarded request or response.
#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let server = CacheServer::start(|_| {
        Reaction::Respond(http_response("200 OK", "Srv-Load: queue=2\r\n", "the\r\n\r\nvalue"))
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let body = "v".repeat(64 << 10);
    let put = format!(
        "PUT /api/users/7f3a?x=1&y=%20z HTTP/1.1\r\nHost: s\r\nReq-Id: 9b1f03aa\r\nReq-Kind: keyed\r\n\
         Req-Deadline-Ms: 20000\r\nIdempotency-Key: k-1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let served = node.client().request(&put);
    assert_eq!((served.status(), &served.body[..]), (200, &b"the\r\n\r\nvalue"[..]));
    let received = server.requests.lock().unwrap();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].start_line, "PUT /api/users/7f3a?x=1&y=%20z HTTP/1.1");
    assert_eq!(received[0].header("req-id"), Some("9b1f03aa"));
    assert_eq!(received[0].header("idempotency-key"), Some("k-1"));
    let deadline_left_ms: u64 = received[0].header("req-deadline-ms").unwrap().parse().unwrap();
    assert!((1..20_000).contains(&deadline_left_ms), "{deadline_left_ms}");
    assert!(received[0].body == body.as_bytes());
}

// Guards against invalid input that stops the node or reaches a cache server.
#[test]
fn invalid_requests_get_their_error_status_and_reach_no_cache_server() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let id = "Req-Id: 1\r\n";
    let kind = "Req-Kind: read\r\n";
    let time = "Req-Deadline-Ms: 900\r\n";
    let cases = [
        ("GET /api/1", format!("{kind}{time}"), 400),
        ("GET /api/1", format!("{id}{time}"), 400),
        ("GET /api/1", format!("{id}{kind}"), 400),
        ("GET /api/1", format!("{id}{time}Req-Kind: other\r\n"), 400),
        ("GET /api/1", format!("{id}{kind}Req-Deadline-Ms: soon\r\n"), 400),
        ("GET /api/1", format!("{id}{kind}Req-Deadline-Ms: -1\r\n"), 400),
        ("GET /api/1", format!("{id}{kind}Req-Deadline-Ms: 99999999999999999999\r\n"), 400),
        ("GET /api/1", format!("{id}{kind}{time}Req-Cost: much\r\n"), 400),
        ("GET /api/1", format!("{id}{time}Req-Kind: \u{e9}\r\n"), 400),
        ("DELETE /api/1", format!("{id}{kind}{time}"), 405),
        ("POST /healthz", String::new(), 405),
        ("GET /api/", format!("{id}{kind}{time}"), 404),
        ("GET /other", format!("{id}{kind}{time}"), 404),
        ("PUT /api/1", format!("{id}{kind}{time}Content-Length: 65537\r\n"), 413),
        ("G\u{1}T /api/1", String::new(), 400),
    ];
    for (start, headers, status) in cases {
        let text = format!("{start} HTTP/1.1\r\nHost: s\r\n{headers}\r\n");
        assert_eq!(node.client().request(&text).status(), status, "{text}");
    }
    let chunks = format!("10001\r\n{}\r\n0\r\n\r\n", "v".repeat(0x10001));
    let text = format!(
        "PUT /api/1 HTTP/1.1\r\nHost: s\r\n{id}{kind}{time}Transfer-Encoding: chunked\r\n\r\n{chunks}"
    );
    assert_eq!(node.client().request(&text).status(), 413, "a chunked body");
    assert_eq!(server.request_count(), 0);
    assert_eq!(node.read("read", 1).status(), 200);
}

// Guards against peers that hold connections open with an incomplete request or none.
#[test]
fn incomplete_requests_time_out_while_idle_clients_stay_connected() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut idle = node.client();
    assert_eq!(idle.request(&get_request("read", 1, 20_000)).status(), 200);
    let start = Instant::now();
    let head = "Req-Id: 9\r\nReq-Kind: keyed\r\nReq-Deadline-Ms: 60000\r\n";
    let put = format!("PUT /api/1 HTTP/1.1\r\nHost: s\r\n{head}Content-Length: 9\r\n\r\nhalf");
    let incomplete = ["", "GET /api/1 HT", "GET /api/1 HTTP/1.1\r\nHost: s\r\n", &put];
    let peers = incomplete.map(|text| {
        let mut peer = node.client();
        peer.send(text);
        peer
    });
    for (mut peer, sent) in peers.into_iter().zip(incomplete) {
        let got = peer.read_response().map(|message| message.status());
        assert!(got.is_none_or(|status| status >= 400), "{got:?} to {sent:?}");
    }
    // Far more than the 3 s of the request timeout, far less than any other limit here.
    assert!(start.elapsed() < Duration::from_secs(30), "timed out after {:?}", start.elapsed());
    assert_eq!(idle.request(&get_request("read", 2, 20_000)).status(), 200);
    assert_eq!(server.request_count(), 2);
}

// Guards against a node that reports readiness before it knows a server to send requests to.
#[test]
fn a_node_is_ready_once_it_knows_a_ready_server() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "draining")]);
    let node = Node::start(&config(discovery.address));
    discovery.wait_until_applied(1);
    assert_eq!(node.get("/healthz").status(), 503);
    discovery.publish(false, &[server.entry("s-1", "ready")]);
    wait_for("readiness", || node.get("/healthz").status() == 200);

    let mut known = config(discovery.address);
    known["known"] = json!({"seq": 2, "whole": true, "hosts": [server.entry("s-1", "ready")]});
    let node = Node::ready(&known);
    assert_eq!(node.read("read", 1).status(), 200);
}

// Guards against a node that holds a request until its deadline before it refuses it, and against a refusal without
// `Retry-After`.
#[test]
fn a_refusal_is_immediate_and_carries_retry_after() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    // `retry_after` applies to the clients of the simulator only.
    let mut config_without_retry_after = config(discovery.address);
    config_without_retry_after["settings"]["limits"]["retry_after"] = json!(false);
    let node = Node::ready(&config_without_retry_after);
    discovery.publish(false, &[server.entry("s-1", "draining")]);
    discovery.wait_until_applied(2);
    let mut client = node.client();
    // The deadline is an hour, so any response within the test shows that the node did not wait for it.
    let refused = client.request(&get_request("read", 1, 3_600_000));
    assert_eq!(refused.status(), 503);
    let after: f64 = refused.header("retry-after").expect("Retry-After").parse().unwrap();
    assert!(after > 0.0 && after <= 2.0, "{after}");
    assert_eq!(server.request_count(), 0);
}

// Guards against a request without a response when its cache server does not answer, and against two responses.
#[test]
fn an_unresponsive_server_yields_one_error_before_the_client_deadline() {
    let server = CacheServer::start(|request| match request.header("req-id") {
        Some("1") => Reaction::NoResponse,
        _ => Reaction::Respond(http_response("200 OK", "", "value")),
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    let failed = client.request(&get_request("read", 1, 300));
    assert!(failed.status() >= 400, "{failed:?}");
    // The connection stays open, and its next response belongs to the next request.
    assert_eq!(client.request(&get_request("read", 2, 20_000)).body, b"value");
    // The attempt has timed out, so its connection is closed.
    wait_for("the close of the timed-out attempt's connection", || server.closed.load(Ordering::SeqCst) == 1);
}

// Guards against idle connections that fill the connection table and keep other clients out.
#[test]
fn idle_connections_are_closed_when_the_connection_table_is_full() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut small_table = config(discovery.address);
    small_table["limits"]["sockets"] = json!(40);
    let node = Node::ready(&small_table);
    let mut clients: Vec<_> = (0..30).map(|_| node.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        let text = get_request("read", i as u64, 20_000);
        // The node may have closed the connection before it was used: a client then retries on a new one.
        let mut response = client.try_request(&text);
        if response.is_none() {
            *client = node.client();
            response = client.try_request(&text);
        }
        assert_eq!(response.expect("a response").status(), 200, "client {i}");
    }
    assert_eq!(server.request_count(), 30);
}

// Guards against a retry for a client that disconnected while its attempt was in flight.
#[test]
fn no_retry_is_sent_after_the_client_has_disconnected() {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let server = || {
        let server_gate = gate.clone();
        CacheServer::start(move |request| {
            if request.header("req-id") != Some("1") {
                return Reaction::Respond(http_response("200 OK", "", "value"));
            }
            let open = server_gate.0.lock().unwrap();
            drop(server_gate.1.wait_timeout_while(open, WAIT_TIMEOUT, |open| !*open).unwrap());
            Reaction::RespondAndClose(String::new())
        })
    };
    let (one, two) = (server(), server());
    let discovery = Discovery::start(&[one.entry("s-1", "ready"), two.entry("s-2", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&get_request("read", 1, 60_000));
    wait_for("the attempt", || one.request_count() + two.request_count() == 1);
    client.shutdown_write();
    assert_eq!(client.read_response(), None);
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
    for key in 2..12 {
        assert_eq!(node.read("read", key).status(), 200);
    }
    assert_eq!(one.request_count() + two.request_count(), 11);
}

// Guards against a log that does not name the failed requests and the servers of their attempts.
#[test]
fn failed_requests_are_logged_with_their_attempts() {
    let failing =
        CacheServer::start(|_| Reaction::Respond(http_response("500 Internal Server Error", "", "")));
    let healthy = CacheServer::serving("value");
    let discovery = Discovery::start(&[failing.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    assert_ne!(node.read("once", 0xabc).status(), 200);
    let logged_line = |id: &str| {
        let log = node.log.lock().unwrap();
        log.lines().find(|line| line.contains(&format!("request {id} "))).map(str::to_owned)
    };
    wait_for("the log line of the request", || logged_line("abc").is_some());
    let line = logged_line("abc").unwrap();
    for part in ["failed", "once", "/api/0000000000000abc", "s-1 Failed"] {
        assert!(line.contains(part), "{line}");
    }
    // Requests served in time are not logged.
    discovery.publish(true, &[healthy.entry("s-2", "ready")]);
    discovery.wait_until_applied(2);
    assert_eq!(node.read("once", 0xdef).status(), 200);
    assert_ne!(node.read("unknown", 0x123).status(), 200);
    assert_eq!(logged_line("def"), None);
}

// Guards against a body that is changed or cut short because it comes in pieces.
#[test]
fn a_body_in_one_byte_chunks_is_forwarded_unchanged() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let body: String = ('a'..='z').cycle().take(MAX_BODY_BYTES).collect();
    let put = |body: &str| {
        let request = chunked_put_head(1, 20_000) + &one_byte_chunks(body) + LAST_CHUNK;
        node.client().try_request(&request).map(|answer| answer.status())
    };
    assert_eq!(put(&body), Some(200));
    assert_eq!(server.requests.lock().unwrap()[0].body, body.as_bytes());
    // One byte more than the protocol allows: an error, or a close before it can be read.
    assert!(matches!(put(&(body + "x")), Some(413) | None));
    assert_eq!(server.request_count(), 1);
}
