use super::*;
use crate::hollow::protocol::Report;

fn plan() -> RunPlan {
    RunPlan { nodes: 4, loss: 0.0, seed: 1, hollow: Hollow::default() }
}

fn void(p99_ms: f64, max_ms: f64, overflowed: u64) -> Option<String> {
    let figures = [("late_p99_ms".to_owned(), p99_ms), ("late_max_ms".to_owned(), max_ms)].into();
    let reports = vec![Report { overflowed, ..Report::default() }];
    void_reason(&plan(), &figures, &RunData { reports, ..RunData::default() })
}

#[test]
fn a_run_is_void_only_above_its_lateness_bound() {
    assert_eq!(void(10.0, 100.0, 0), None);
    assert!(void(10.1, 20.0, 0).is_some_and(|reason| reason.contains("10.1 ms at the 99th percentile")));
    assert!(void(1.0, 100.1, 0).is_some_and(|reason| reason.contains("100.1 ms at the most")));
}

#[test]
fn a_run_with_datagrams_over_the_queue_limit_of_the_lab_is_void() {
    assert!(void(1.0, 1.0, 3).is_some_and(|reason| reason.starts_with("3 datagrams")));
}

#[test]
fn a_run_without_lateness_figures_is_void() {
    assert!(void_reason(&plan(), &BTreeMap::new(), &RunData::default()).is_some());
}

#[test]
fn nodes_of_a_run_have_distinct_loopback_addresses() {
    let addresses: std::collections::BTreeSet<_> = (0..4_096).map(node_address).collect();
    assert_eq!(addresses.len(), 4_096);
    assert!(addresses.iter().all(|address| address.is_loopback() && address.octets()[3] != 0));
}
