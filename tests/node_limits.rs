//! A node with the platform's minimum limits in a large fleet: 1,024 cache servers and nodes, 256 descriptors, 32 MB.

mod node_common;

use node_common::*;
use serde_json::Value;
use std::ops::Range;
use std::time::{Duration, Instant};

const SERVERS: usize = 1_024;
/// The minimum that the platform gives, in the units of /proc.
const MEMORY_KB: u64 = 32 << 10;
const DESCRIPTORS: usize = 256;

/// [`SERVERS`] entries, all with the address of one server; the first half is in this state.
fn entries(server: &CacheServer, state: &str) -> Vec<Value> {
    let name = |i| format!("s-{i:04}");
    (0..SERVERS).map(|i| server.entry(&name(i), if i < SERVERS / 2 { state } else { "ready" })).collect()
}

/// The peak resident memory of the node, in KiB.
fn peak_memory_kib(node: &Node) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
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
    let mut config = fast_shutdown_config(discovery.address);
    config["limits"]["sockets"] = DESCRIPTORS.into();
    config["limits"]["memory_mb"] = 32.into();
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
    let memory = peak_memory_kib(&node);
    assert!(max_descriptors <= DESCRIPTORS, "{max_descriptors} descriptors");
    assert!(memory <= MEMORY_KB, "{memory} KiB");
    node.terminate();
    let terminated = Instant::now();
    assert!(node.exit().success());
    // The shutdown is planned to end 1.7 s after the signal; this checks only that it does not hang.
    assert!(terminated.elapsed() < Duration::from_secs(30));
}
