use super::*;
use crate::hollow::protocol::Report;

fn plan() -> RunPlan {
    RunPlan { nodes: 4, loss: 0.0, seed: 1, hollow: Hollow::default() }
}

fn void(p99_ms: f64, most_ms: f64, not_carried: u64) -> Option<String> {
    let figures = [("late_p99_ms".to_owned(), p99_ms), ("late_max_ms".to_owned(), most_ms)].into();
    let reports = vec![Report { not_carried, ..Report::default() }];
    why_void(&plan(), &figures, &Told { reports, ..Told::default() })
}

#[test]
fn a_run_counts_up_to_its_bound_of_lateness_and_no_further() {
    assert_eq!(void(10.0, 100.0, 0), None);
    assert!(void(10.1, 20.0, 0).is_some_and(|why| why.contains("10.1 ms at the 99th percentile")));
    assert!(void(1.0, 100.1, 0).is_some_and(|why| why.contains("100.1 ms at the most")));
}

#[test]
fn a_run_whose_datagrams_the_lab_could_not_carry_is_void() {
    assert!(void(1.0, 1.0, 3).is_some_and(|why| why.starts_with("3 datagrams")));
}

#[test]
fn a_run_without_figures_of_lateness_is_void() {
    assert!(why_void(&plan(), &BTreeMap::new(), &Told::default()).is_some());
}

#[test]
fn nodes_of_a_run_have_addresses_of_their_own_in_the_loopbacks_network() {
    let addresses: std::collections::BTreeSet<_> = (0..4_096).map(own_address).collect();
    assert_eq!(addresses.len(), 4_096);
    assert!(addresses.iter().all(|address| address.is_loopback() && address.octets()[3] != 0));
}
