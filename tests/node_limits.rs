//! A node in a large fleet with the least that the platform gives: 1,024 cache servers and nodes, 256 descriptors, 32 MB.

mod node_common;

use node_common::*;
use serde_json::Value;
use std::ops::Range;
use std::time::{Duration, Instant};

const SERVERS: usize = 1_024;
/// The platform's least, in the units of /proc.
const MEMORY_KB: u64 = 32 << 10;
const DESCRIPTORS: usize = 256;

/// So many entries, all at the address of one server, the first of them in another state.
fn entries(server: &CacheServer, state: &str) -> Vec<Value> {
    let name = |i| format!("s-{i:04}");
    (0..SERVERS).map(|i| server.entry(&name(i), if i < SERVERS / 2 { state } else { "ready" })).collect()
}

/// The most memory that the node has held, in KiB.
fn peak_memory(node: &Node) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count()
}

// Guards against a list, a table or a buffer that holds fewer than a large fleet has, and against one that holds
// it all but outgrows what a node is given.
#[test]
fn a_node_with_the_least_limits_serves_beside_1024_servers_and_nodes() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&entries(&old, "ready"));
    let mut config = quick_stop(discovery.address);
    config["limits"]["sockets"] = DESCRIPTORS.into();
    config["limits"]["memory_mb"] = 32.into();
    config["settings"]["balancers"] = SERVERS.into();
    config["known"]["hosts"] = entries(&old, "ready").into();
    let node = Node::ready(&config);
    discovery.wait_until_told(1);
    // More keys than descriptors: connections to servers that are met once give way to others.
    let mut client = node.client();
    let mut most = 0;
    let mut serve = |keys: Range<u64>, value: &[u8]| {
        for key in keys {
            let served = client.ask(&read("read", key.wrapping_mul(0x9e37_79b9_7f4a_7c15), 20_000));
            assert_eq!((served.status(), &served.body[..]), (200, value), "key {key}");
            most = most.max(descriptors(&node));
        }
    };
    serve(0..400, b"old");
    // Half of them drain, and what drains gets nothing new: the others have moved to another address.
    let mut changed = entries(&old, "draining");
    for (i, entry) in changed.iter_mut().enumerate().skip(SERVERS / 2) {
        *entry = new.entry(&format!("s-{i:04}"), "ready");
    }
    discovery.tell(true, &changed);
    discovery.wait_until_told(2);
    serve(400..500, b"new");
    let memory = peak_memory(&node);
    assert!(most <= DESCRIPTORS, "{most} descriptors");
    assert!(memory <= MEMORY_KB, "{memory} KiB");
    node.terminate();
    let told = Instant::now();
    assert!(node.exit().success());
    // Its plan ends 1.7 s after the signal; this says no more than that it does not hang.
    assert!(told.elapsed() < Duration::from_secs(30));
}
