//! Idle clients that open all they can, on loopback sockets: discovery, servers, peers and other clients keep theirs.

mod node_common;

use node_common::*;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// What the node may hold, by its configuration and by the machine.
const DESCRIPTORS: usize = 96;
/// Clients that have been served once and rest, and others that never ask: more than the node may hold together.
const RESTING: u64 = 80;
const SILENT: usize = 120;
/// Servers, all at one address: more than the node may keep connections to.
const SERVERS: usize = 80;

/// Processor time that a process has used.
fn processor_time(node: &Node) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.child.id())).unwrap();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    Duration::from_millis(ticks * 10)
}

fn descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count()
}

/// Clients that hold connections and ask for nothing: some were served once.
fn crowd(node: &Node) -> Vec<Client> {
    let mut crowd = Vec::new();
    for key in 0..RESTING {
        let mut client = node.client();
        // Its key hashes to a server of its own.
        let key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        assert_eq!(client.ask(&read("read", key, 20_000)).status(), 200, "client {key} is served");
        crowd.push(client);
    }
    crowd.extend((0..SILENT).map(|_| node.client()));
    crowd
}

// Guards against idle clients that keep a node from its discovery, its servers, its peers or its other clients, and
// against one that spins for want of a descriptor.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_nothing_from_working() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    // Discovery is down: nobody listens there.
    let down = script::Reserved::bind();
    let mut config = quick_stop(down.address);
    config["limits"]["sockets"] = DESCRIPTORS.into();
    let olds = |state| (0..SERVERS).map(|i| old.entry(&format!("s-{i:02}"), state)).collect::<Vec<_>>();
    config["known"]["hosts"] = olds("ready").into();
    config["walkpick"]["peers"]["listen"] = "127.0.0.1:0".into();
    let mut limited = Command::new("sh");
    limited.args(["-c", &format!("ulimit -n {DESCRIPTORS}; exec \"$0\""), env!("CARGO_BIN_EXE_walkpick")]);
    let node = Node::start_by(limited, &config);
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);

    let mut idle = crowd(&node);
    assert_eq!(node.read("read", 1_000).body, b"old", "served beside them");
    let (start, used) = (Instant::now(), processor_time(&node));
    thread::sleep(Duration::from_millis(1_500));
    let used = processor_time(&node) - used;
    assert!(used < start.elapsed() / 4, "{used:?} of processor time within {:?}", start.elapsed());
    assert!(descriptors(&node) <= DESCRIPTORS);

    // Its discovery is elsewhere now, and it has a place to call it.
    let mut hosts = olds("draining");
    hosts.push(new.entry("s-new", "ready"));
    let discovery = Discovery::start(&hosts);
    idle.extend((0..SILENT).map(|_| node.client()));
    config["discovery"] = discovery.address.to_string().into();
    node.reload(&config.to_string());
    discovery.wait_until_told(1);
    assert_eq!(node.read("read", 1_001).body, b"new", "it has heard of the change");
    assert!(!node.log.lock().unwrap().contains("cannot accept"), "a place is there before it accepts");

    idle.extend((0..SILENT).map(|_| node.client()));
    let mut waiting = node.client();
    waiting.send(&read("read", 1_002, 20_000));
    node.terminate();
    assert_eq!(waiting.answer().expect("an answer").status(), 200, "what was taken is answered");
    assert!(node.exit().success());
}
