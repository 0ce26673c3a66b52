//! Each measurement at small sizes: what is asserted does not depend on how fast the machine is.

use serde_json::Value;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::Command;

const LAB: &str = env!("CARGO_BIN_EXE_walkpick-lab");

/// Runs a measurement with small sizes and gives its series.
fn measure(what: &str) -> Vec<Value> {
    let file: PathBuf =
        std::env::temp_dir().join(format!("walkpick-lab-measure-{}-{what}.json", std::process::id()));
    let output =
        Command::new(LAB).args(["measure", what, "--quick", "--series"]).arg(&file).output().unwrap();
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{said}");
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

/// The series of this name.
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
fn decisions_are_measured_against_five_things_at_four_sizes_or_more() {
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
    // Simulated time: the same seeds give the same series.
    assert_eq!(all, measure("trials"));
}
