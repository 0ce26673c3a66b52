//! The memory that a node uses, and clients that use it at the same time.

use super::*;

/// The minimum memory that the platform gives, in KiB as /proc tells.
pub const MIN_MEMORY_KIB: u64 = 32 << 10;

/// The peak resident memory of the node, in KiB.
pub fn peak_memory_kib(node: &Node) -> u64 {
    memory_kib(node, "VmHWM:")
}

/// The resident memory of the node, in KiB.
pub fn resident_memory_kib(node: &Node) -> u64 {
    memory_kib(node, "VmRSS:")
}

fn memory_kib(node: &Node, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with(field)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Asserts that the node has stayed within the minimum that the platform gives.
pub fn assert_within_memory(node: &Node) {
    let memory = peak_memory_kib(node);
    assert!(memory <= MIN_MEMORY_KIB, "{memory} KiB");
}

/// The configuration of a node with the minimum memory and this number of descriptors.
pub fn minimum_memory(mut config: Value, descriptors: usize) -> Value {
    config["limits"]["sockets"] = descriptors.into();
    config["limits"]["memory_mb"] = 32.into();
    config
}

/// Calls `client` with each number below `count`, on a thread each.
pub fn at_the_same_time<T: Send>(count: usize, client: impl Fn(usize) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let client = &client;
        let clients: Vec<_> = (0..count).map(|number| scope.spawn(move || client(number))).collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    })
}
