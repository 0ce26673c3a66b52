//! A node with the platform's minimum limits, 256 descriptors and 32 MB: in a large fleet of 1,024 cache servers and
//! nodes, and with messages that come in the smallest pieces.

mod node_common;

use node_common::memory::*;
use node_common::*;
use serde_json::Value;
use std::ops::Range;
use std::time::{Duration, Instant};

const SERVERS: usize = 1_024;
/// Servers enough for a node to have an attempt out for each of its clients.
const ANSWERING_SERVERS: usize = 24;
/// The largest number of cache servers that the platform has.
const MAX_SERVERS: usize = 3_200;
/// The minimum that the platform gives.
const DESCRIPTORS: usize = 256;
/// How many large messages a node receives at the same time: far under a third of its descriptors.
const LARGE_MESSAGES: usize = 16;

/// [`SERVERS`] entries, all with the address of one server; the first half is in this state.
fn entries(server: &CacheServer, state: &str) -> Vec<Value> {
    let name = |i| format!("s-{i:04}");
    (0..SERVERS).map(|i| server.entry(&name(i), if i < SERVERS / 2 { state } else { "ready" })).collect()
}

/// A node with the minimum limits and this cache server.
fn smallest_node(server: &CacheServer) -> Node {
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    Node::ready(&minimum_limits(config(discovery.address)))
}

fn minimum_limits(config: Value) -> Value {
    minimum_memory(config, DESCRIPTORS)
}

fn descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count()
}

// Guards against a list, a table or a buffer that is too small for a large fleet, and against one that exceeds the
// limits of a node.
#[test]
fn a_node_with_minimum_limits_serves_with_1024_servers_and_nodes() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&entries(&old, "ready"));
    let mut config = minimum_limits(fast_shutdown_config(discovery.address));
    config["settings"]["balancers"] = SERVERS.into();
    config["known"]["hosts"] = entries(&old, "ready").into();
    let node = Node::ready(&config);
    discovery.wait_until_applied(1);
    // More keys than descriptors: the node has to close idle connections to open new ones.
    let mut client = node.client();
    let mut max_descriptors = 0;
    let mut serve = |keys: Range<u64>, value: &[u8]| {
        for key in keys {
            let served =
                client.request(&get_request("read", key.wrapping_mul(0x9e37_79b9_7f4a_7c15), 20_000));
            assert_eq!((served.status(), &served.body[..]), (200, value), "key {key}");
            max_descriptors = max_descriptors.max(descriptors(&node));
        }
    };
    serve(0..400, b"old");
    // Half of the servers drain and get no new requests; the other half moves to another address.
    let mut changed = entries(&old, "draining");
    for (i, entry) in changed.iter_mut().enumerate().skip(SERVERS / 2) {
        *entry = new.entry(&format!("s-{i:04}"), "ready");
    }
    discovery.publish(true, &changed);
    discovery.wait_until_applied(2);
    serve(400..500, b"new");
    assert!(max_descriptors <= DESCRIPTORS, "{max_descriptors} descriptors");
    assert_within_memory(&node);
    node.terminate();
    let terminated = Instant::now();
    assert!(node.exit().success());
    // The shutdown is planned to end 1.7 s after the signal; this checks only that it does not hang.
    assert!(terminated.elapsed() < Duration::from_secs(30));
}

// Guards against a node that is killed for its memory because each small chunk of a request's body is kept on its own.
#[test]
fn requests_in_one_byte_chunks_keep_a_node_within_its_memory() {
    let server = CacheServer::serving("value");
    let node = smallest_node(&server);
    // Without their last chunk the bodies are all in memory until the time limit for a request is over.
    let incomplete_body = one_byte_chunks(&"x".repeat(MAX_BODY_BYTES));
    let put = |key: usize| {
        let answer = node.client().try_request(&(chunked_put_head(key as u64, 20_000) + &incomplete_body));
        // An error or a close.
        answer.is_none_or(|answer| answer.status() == 408)
    };
    assert!(at_the_same_time(LARGE_MESSAGES, put).iter().all(|refused| *refused));
    assert_within_memory(&node);
    assert_eq!((node.read("read", 1).status(), server.request_count()), (200, 1));
}

// Guards against a node that is killed for its memory because each small chunk of an answer is kept on its own.
#[test]
fn answers_in_one_byte_chunks_keep_a_node_within_its_memory() {
    // Without their last chunk the answers are all in memory until the deadline of their requests.
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let incomplete_answer = head.to_owned() + &one_byte_chunks(&"x".repeat(MAX_BODY_BYTES));
    let server = CacheServer::start(move |_| Reaction::Respond(incomplete_answer.clone()));
    let node = smallest_node(&server);
    // A request that must not run twice is sent once only.
    let get = |key: usize| node.client().request(&get_request("once", key as u64, 3_000)).status();
    let statuses = at_the_same_time(LARGE_MESSAGES, get);
    assert_within_memory(&node);
    assert!(statuses.iter().all(|status| *status == 502), "{statuses:?}");
    assert_eq!(server.request_count(), LARGE_MESSAGES);
}

// Guards against a node that is killed for its memory because each small chunk of a server list is kept on its own.
#[test]
fn a_list_in_one_byte_chunks_keeps_a_node_within_its_memory() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let list_of = |server: &CacheServer| -> Vec<_> {
        (0..MAX_SERVERS).map(|i| server.entry(&format!("s-{i:04}"), "ready")).collect()
    };
    let discovery = Discovery::start(&list_of(&old));
    let mut config = minimum_limits(config(discovery.address));
    config["known"]["hosts"] = list_of(&old).into();
    let node = Node::ready(&config);
    discovery.wait_until_applied(1);
    discovery.publish_in_one_byte_chunks(true, &list_of(&new));
    discovery.wait_until_applied(2);
    assert_eq!(node.read("read", 1).body, b"new");
    assert_within_memory(&node);
}

// Guards against a node that is killed for its memory because what a server sends at once is read into one large buffer:
// the chunks of an answer with their framing, or a head.
#[test]
fn answers_that_are_long_on_the_wire_keep_a_node_within_its_memory() {
    let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned()
        + &one_byte_chunks(&"x".repeat(MAX_BODY_BYTES));
    let head = "HTTP/1.1 200 OK\r\nSrv-Note: ".to_owned() + &"x".repeat(chunks.len());
    for incomplete_answer in [chunks, head] {
        let server = CacheServer::start(move |_| Reaction::Respond(incomplete_answer.clone()));
        let names = (0..ANSWERING_SERVERS).map(|i| format!("s-{i}"));
        let discovery = Discovery::start(&names.map(|name| server.entry(&name, "ready")).collect::<Vec<_>>());
        let node = Node::ready(&minimum_limits(config(discovery.address)));
        let get = |key: usize| {
            let key = (key as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            node.client().request(&get_request("once", key, 3_000)).status()
        };
        let statuses = at_the_same_time(DESCRIPTORS / 3, get);
        assert_within_memory(&node);
        assert!(!statuses.contains(&200), "{statuses:?}");
    }
}

// Guards against a node that is killed for its memory because it keeps each value in a list, also those that it ignores.
#[test]
fn a_list_of_many_small_values_keeps_a_node_within_its_memory() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.entry("s-1", "ready")]);
    let node = Node::ready(&minimum_limits(config(discovery.address)));
    discovery.wait_until_applied(1);
    let mut entry = new.entry("s-1", "ready");
    entry["notes"] = vec![0; 2 << 20].into();
    discovery.publish(true, &[entry]);
    discovery.wait_until_applied(2);
    assert_eq!(node.read("read", 1).body, b"new");
    assert_within_memory(&node);
}
