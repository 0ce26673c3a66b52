//! Runs each measurement with small sizes. The assertions do not depend on the speed of the machine.

use serde_json::Value;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;
use walkpick_lab::measure::relay::Relay;
use walkpick_lab::measure::testbed::clients::{Client, PATIENT};
use walkpick_lab::measure::testbed::discovery::{host_entry, DiscoveryStub};
use walkpick_lab::measure::testbed::servers::StubServers;
use walkpick_lab::measure::testbed::{self, Node, TempDir};
use walkpick_lab::measure::{MeasureError, Programs};

const LAB: &str = env!("CARGO_BIN_EXE_walkpick-lab");

/// Runs a measurement with small sizes and returns its series.
fn measure(what: &str) -> Vec<Value> {
    let file: PathBuf =
        std::env::temp_dir().join(format!("walkpick-lab-measure-{}-{what}.json", std::process::id()));
    let output =
        Command::new(LAB).args(["measure", what, "--quick", "--series"]).arg(&file).output().unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stderr}");
    let series = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
    std::fs::remove_file(&file).unwrap();
    series
}

fn names(all: &[Value]) -> BTreeSet<&str> {
    all.iter().map(|series| series["name"].as_str().unwrap()).collect()
}

fn points(series: &Value) -> Vec<(f64, f64)> {
    let points = series["points"].as_array().unwrap().iter();
    points.map(|point| (point["size"].as_f64().unwrap(), point["value"].as_f64().unwrap())).collect()
}

/// Returns the series with the given name.
fn named<'a>(all: &'a [Value], name: &str) -> &'a Value {
    all.iter()
        .find(|series| series["name"] == name)
        .unwrap_or_else(|| panic!("no {name} in {:?}", names(all)))
}

fn assert_complete(all: &[Value], method: &str, what: &str, expected: &[&str]) {
    for name in expected {
        named(all, name);
    }
    for series in all {
        let sizes: BTreeSet<_> = points(series).iter().map(|(size, _)| size.to_bits()).collect();
        assert!(sizes.len() >= 4, "fewer than four sizes: {series}");
        assert!(points(series).iter().all(|(_, value)| value.is_finite()), "{series}");
        assert_eq!(series["method"], method, "{series}");
        assert_eq!(series["command"], format!("walkpick-lab measure {what} --quick"));
        assert!(!series["unit"].as_str().unwrap().is_empty());
    }
}

fn assert_positive(series: &Value) {
    assert!(points(series).iter().all(|(_, value)| *value > 0.0), "{series}");
}

#[test]
fn decisions_are_measured_over_five_dimensions_with_at_least_four_sizes() {
    let all = measure("decisions");
    let against = ["servers", "zones", "tenants", "classes", "popular_keys"];
    let expected: Vec<_> = against.iter().map(|what| format!("decision.microseconds.{what}")).collect();
    let mut expected: Vec<_> = expected.iter().map(String::as_str).collect();
    expected.push("decision.memory.servers");
    assert_complete(&all, "in-process", "decisions", &expected);
    all.iter().for_each(assert_positive);
}

#[test]
fn trials_are_measured_against_nodes() {
    let all = measure("trials");
    let states = ["down", "cold", "returning"];
    let rates = states.iter().flat_map(|state| {
        ["requests", "connections"].map(|what| format!("trials.{what}_per_second.{state}"))
    });
    let times = ["hot", "cold"].map(|node| format!("trials.seconds_to_shut.{node}"));
    let expected: Vec<_> = rates.chain(times).collect();
    let expected: Vec<_> = expected.iter().map(String::as_str).collect();
    assert_complete(&all, "simulated", "trials", &expected);
    assert_positive(named(&all, "trials.requests_per_second.calm"));
    assert_positive(named(&all, "trials.seconds_to_shut.hot"));
    // In simulated time, equal seeds give equal series.
    assert_eq!(all, measure("trials"));
}

#[test]
fn discovery_is_measured_against_servers_and_watches() {
    let all = measure("discovery");
    let expected = [
        "discovery.list_bytes",
        "discovery.list_seconds",
        "discovery.change_bytes",
        "discovery.watch_calls_per_second",
        "discovery.watch_bytes_per_second",
    ];
    assert_complete(&all, "real", "discovery", &expected);
    expected.iter().for_each(|name| assert_positive(named(&all, name)));
    // Each further entry adds the same number of bytes, apart from digits of lengths and names.
    let bytes = points(named(&all, "discovery.list_bytes"));
    let (first, last) = (bytes[0], bytes[bytes.len() - 1]);
    let entry = (last.1 - first.1) / (last.0 - first.0);
    assert!((100.0..150.0).contains(&entry), "{bytes:?}");
    let changes = points(named(&all, "discovery.change_bytes"));
    assert!(
        changes.iter().all(|(_, value)| *value == changes[0].1),
        "bytes of a change depend on the number of servers: {changes:?}"
    );
}

#[test]
fn the_request_path_is_measured_against_a_relay() {
    let all = measure("request-path");
    let expected = [
        "request.processor_seconds_per_request",
        "request.processor_seconds_by_answer_bytes",
        "request.processor_ratio_to_relay",
        "request.memory_per_connection",
        "request.memory_per_in_flight",
        "refusal.processor_seconds",
        "refusal.processor_ratio_to_relay",
    ];
    assert_complete(&all, "real", "request-path", &expected);
    // Memory that was already free may suffice for small sizes, so only times are certain to be above zero.
    all.iter()
        .filter(|series| !series["name"].as_str().unwrap().contains("memory"))
        .for_each(assert_positive);
}

#[test]
fn log_growth_is_measured_in_normal_operation_and_failures() {
    let all = measure("log");
    let states = ["calm", "zone_lost", "peers_lost"];
    let expected: Vec<_> = states.iter().map(|state| format!("log.bytes_per_second.{state}")).collect();
    let expected: Vec<_> = expected.iter().map(String::as_str).collect();
    assert_complete(&all, "real", "log", &expected);
    // Requests to a silent zone are logged, and so is the loss of a peer.
    assert_positive(named(&all, "log.bytes_per_second.zone_lost"));
    assert_positive(named(&all, "log.bytes_per_second.peers_lost"));
}

#[test]
fn a_node_with_a_small_share_of_a_core_is_measured() {
    let all = measure("little-core");
    assert_complete(&all, "real", "little-core", &["little_core.seconds_to_ready", "little_core.served"]);
    assert_positive(named(&all, "little_core.seconds_to_ready"));
    // The series carry the share of a core that the node really got: more than none, and less than all.
    let shares = points(named(&all, "little_core.served"));
    assert!(shares.iter().all(|(share, _)| (0.0..1.0).contains(share) && *share > 0.0), "{shares:?}");
}

/// Runs the work's sockets on the current thread.
fn block_on<T>(work: impl std::future::Future<Output = Result<T, MeasureError>>) -> T {
    testbed::block_on(work).unwrap()
}

fn process_exists(process: i32) -> bool {
    std::path::Path::new(&format!("/proc/{process}")).exists()
}

#[test]
fn node_and_relay_serve_and_exit_when_stopped_or_dropped() {
    let programs = Programs { lab: LAB.into(), node: Path::new(LAB).with_file_name("walkpick") };
    let (stopped, dropped) = block_on(async {
        let temp_dir = TempDir::new("test-ends")?;
        let servers = StubServers::open(2, 64).await?;
        let hosts = servers.addresses().iter().enumerate();
        let hosts = hosts.map(|(index, &address)| host_entry(index, 0, address, "ready")).collect();
        let discovery = DiscoveryStub::open(hosts).await?;
        let mut processes = Vec::new();
        for name in ["n1", "n2"] {
            let node = Node::start(&programs, &temp_dir, name, discovery.address(), serde_json::json!({}))?;
            node.wait_ready().await?;
            let relay = Relay::start(&programs, servers.addresses()).await?;
            for target in [node.address(), relay.address()] {
                let mut client = Client::connect(target, PATIENT).await?;
                assert_eq!(client.get_numbered(1).await.unwrap(), 200);
            }
            assert!(process_exists(node.id()) && process_exists(relay.id()));
            processes.push((node.id(), relay.id()));
            if name == "n1" {
                relay.stop().await;
                node.stop().await?;
            }
        }
        Ok((processes[0], processes[1]))
    });
    assert!(!process_exists(stopped.0) && !process_exists(stopped.1));
    // The killed processes exit only after the system has handled the signal.
    let exited = |process: i32| {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        stat.is_empty() || stat.contains(") Z ")
    };
    while !(exited(dropped.0) && exited(dropped.1)) {
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
}
