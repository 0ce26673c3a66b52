//! Idle clients that use up the file descriptors, on loopback sockets: discovery, servers, peers and other clients keep
//! theirs.

mod node_common;

use node_common::*;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// The descriptor limit of the node, in its configuration and by `ulimit`.
const DESCRIPTORS: usize = 96;
/// Clients that are idle after one request, and clients that never send one: together more than the node may hold.
const IDLE_AFTER_REQUEST: u64 = 80;
const IDLE_FROM_START: usize = 120;
/// Servers, all at one address: more than the connections that the node may keep.
const SERVERS: usize = 80;

/// The processor time that the node has used.
fn processor_time(node: &Node) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.child.id())).unwrap();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    Duration::from_millis(ticks * 10)
}

fn descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count()
}

/// Opens idle connections, some of them after one request.
fn open_idle_clients(node: &Node) -> Vec<Client> {
    let mut clients = Vec::new();
    for key in 0..IDLE_AFTER_REQUEST {
        let mut client = node.client();
        // Spreads the keys over the servers.
        let key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        assert_eq!(client.request(&get_request("read", key, 20_000)).status(), 200, "client {key} is served");
        clients.push(client);
    }
    clients.extend((0..IDLE_FROM_START).map(|_| node.client()));
    clients
}

// Guards against idle clients that use up the descriptors, so that the node cannot reach discovery, servers, peers or
// other clients, and against a busy loop while no descriptor is free.
#[test]
fn idle_clients_that_fill_the_descriptors_do_not_block_other_connections() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    // Connections to discovery are refused.
    let down = script::ReservedAddress::bind();
    let mut config = fast_shutdown_config(down.address);
    config["limits"]["sockets"] = DESCRIPTORS.into();
    let old_entries =
        |state| (0..SERVERS).map(|i| old.entry(&format!("s-{i:02}"), state)).collect::<Vec<_>>();
    config["known"]["hosts"] = old_entries("ready").into();
    config["walkpick"]["peers"]["listen"] = "127.0.0.1:0".into();
    let mut limited = Command::new("sh");
    limited.args(["-c", &format!("ulimit -n {DESCRIPTORS}; exec \"$0\""), env!("CARGO_BIN_EXE_walkpick")]);
    let node = Node::start_with(limited, &config);
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);

    let mut idle = open_idle_clients(&node);
    assert_eq!(node.read("read", 1_000).body, b"old", "served while they are connected");
    let (start, used) = (Instant::now(), processor_time(&node));
    thread::sleep(Duration::from_millis(1_500));
    let used = processor_time(&node) - used;
    assert!(used < start.elapsed() / 4, "{used:?} of processor time within {:?}", start.elapsed());
    assert!(descriptors(&node) <= DESCRIPTORS);

    // Discovery moves: the node needs a descriptor for the call to the new address.
    let mut hosts = old_entries("draining");
    hosts.push(new.entry("s-new", "ready"));
    let discovery = Discovery::start(&hosts);
    idle.extend((0..IDLE_FROM_START).map(|_| node.client()));
    config["discovery"] = discovery.address.to_string().into();
    node.reload(&config.to_string());
    discovery.wait_until_applied(1);
    assert_eq!(node.read("read", 1_001).body, b"new", "the change is applied");
    assert!(!node.log.lock().unwrap().contains("cannot accept"), "a descriptor is free before each accept");

    idle.extend((0..IDLE_FROM_START).map(|_| node.client()));
    let mut waiting = node.client();
    waiting.send(&get_request("read", 1_002, 20_000));
    node.terminate();
    assert_eq!(waiting.read_response().expect("a response").status(), 200, "an accepted request is answered");
    assert!(node.exit().success());
}
