//! Hundreds of clients at once, at a node with the minimum memory that the platform gives and 1,024 descriptors.

mod node_common;

use node_common::memory::*;
use node_common::*;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

const DESCRIPTORS: usize = 1_024;
/// Clients that stop within a request: fewer than the 500 connections that such a node accepts.
const STOPPED_CLIENTS: usize = 480;
/// How much of a body a client sends before it stops.
const PARTIAL_BODY_BYTES: usize = 60_000;
const SERVERS: usize = 24;

/// A node with the minimum memory and [`SERVERS`] cache servers that react like this one.
fn start_node(server: &CacheServer) -> Node {
    let hosts: Vec<_> = (0..SERVERS).map(|i| server.entry(&format!("s-{i}"), "ready")).collect();
    let discovery = Discovery::start(&hosts);
    Node::ready(&minimum_memory(config(discovery.address), DESCRIPTORS))
}

/// Spreads the keys of requests over the cache servers.
fn key(number: usize) -> u64 {
    (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// The head of a PUT request with a body of the largest size and these further fields.
fn put_head(number: usize, fields: &str) -> String {
    let key = key(number);
    format!(
        "PUT /api/{key:016x} HTTP/1.1\r\nHost: s\r\nReq-Id: {key:x}\r\nReq-Kind: keyed\r\n\
         Req-Deadline-Ms: 20000\r\nIdempotency-Key: {key:x}\r\nContent-Length: {MAX_BODY_BYTES}\r\n{fields}\r\n"
    )
}

/// Has [`STOPPED_CLIENTS`] clients each send the pieces that `pieces` gives for its number, with a pause behind each, and
/// then stop. Another client's request is answered meanwhile, and the node stays within its memory.
fn assert_bounded_with(pieces: impl Fn(usize) -> Vec<String> + Sync, pause: Duration) {
    let server = CacheServer::serving("value");
    let node = start_node(&server);
    let all_sent = Barrier::new(STOPPED_CLIENTS + 1);
    let stopped_client = |number: usize| {
        let mut client = node.client();
        for piece in pieces(number) {
            // The node may refuse the request before its end.
            if !client.try_send(&piece) {
                break;
            }
            thread::sleep(pause);
        }
        all_sent.wait();
        client.read_response().map(|response| response.status())
    };
    let statuses = thread::scope(|scope| {
        let clients = scope.spawn(|| at_the_same_time(STOPPED_CLIENTS, stopped_client));
        all_sent.wait();
        assert_eq!(node.read("read", 1).status(), 200);
        clients.join().unwrap()
    });
    assert_within_memory(&node);
    // An error or a close.
    assert!(statuses.iter().flatten().all(|status| *status >= 400), "{statuses:?}");
    assert_eq!(server.request_count(), 1, "no incomplete request is forwarded");
}

// Guards against a node that is killed for its memory because each client's body is limited, but not all of them together.
#[test]
fn clients_that_stop_within_a_large_body_keep_a_node_within_its_memory() {
    assert_bounded_with(|number| vec![put_head(number, ""), "x".repeat(PARTIAL_BODY_BYTES)], Duration::ZERO);
}
