use super::*;
use crate::model::SECOND;

fn scenario(case: Case, nodes: usize, topology: Topology) -> Scenario {
    Scenario { topology, rest: 6 * SECOND, ..Scenario::new(case, nodes, 1) }
}

#[test]
fn each_case_affects_the_stated_number_of_nodes_and_targeted_cases_spare_the_seeds() {
    for (case, flat, regions) in [
        (Case::Restarts, 32, 32),
        (Case::RackLost, 12, 12),
        (Case::ZoneLost, 28, 24),
        (Case::ZoneShareLost, 27, 27),
        (Case::RegionCut, 66, 49),
        (Case::Split, 265, 265),
        (Case::Release, 530, 530),
    ] {
        assert_eq!(case.affected(530, Topology::Flat).len(), flat, "{case:?}");
        assert_eq!(case.affected(530, Topology::Regions).len(), regions, "{case:?}");
    }
    for case in [Case::Kill, Case::RackLost, Case::ZoneLost, Case::RegionCut, Case::Restarts] {
        for topology in [Topology::Flat, Topology::Regions] {
            assert!(case.affected(530, topology).iter().all(|node| *node > 2), "{case:?}");
        }
    }
}

#[test]
fn case_affecting_too_many_nodes_is_rejected_with_the_minimum_size() {
    let refused = scenario(Case::RegionCut, 66, Topology::Flat).check().unwrap_err();
    assert_eq!(refused.to_string(), "region-cut: found 66 nodes, expected 132 or more");
    for (case, nodes) in [(Case::RegionCut, 132), (Case::ZoneLost, 66), (Case::Release, 2), (Case::Split, 3)]
    {
        assert_eq!(scenario(case, nodes, Topology::Flat).check(), Ok(()), "{case:?}");
    }
}

#[test]
fn lost_rack_is_reported_by_all_nodes_without_false_reports() {
    let outcome = run(scenario(Case::RackLost, 40, Topology::Flat)).unwrap();
    let (half, p99, all) = (outcome.known_p50_s, outcome.known_p99_s, outcome.known_all_s);
    assert!(half.is_some() && half <= p99 && p99 <= all, "{outcome:?}");
    assert!(outcome.converged_s.is_some(), "{outcome:?}");
    assert_eq!((outcome.affected, outcome.false_reports), (12, 0));
}

#[test]
fn release_restarts_all_nodes_without_false_reports() {
    let outcome = run(scenario(Case::Release, 20, Topology::Flat)).unwrap();
    assert!(outcome.simulated_s > 190.0 && outcome.converged_s.is_some(), "{outcome:?}");
    assert_eq!(outcome.false_reports, 0);
}

#[test]
fn rates_are_measured_while_nodes_join_and_afterwards() {
    let outcome = run(scenario(Case::Rest, 10, Topology::Flat)).unwrap();
    for rates in [outcome.joining, outcome.traffic] {
        assert!(rates.bytes_per_s > 0.0 && rates.peak_bytes_per_s >= rates.peak_mean_bytes_per_s);
    }
    assert!((0.0..=1.0).contains(&outcome.processor_part_of_peers));
    // Figure names are unique.
    let names: std::collections::BTreeSet<_> = FIGURES.iter().map(|figure| figure.name).collect();
    assert_eq!(names.len(), FIGURES.len());
    assert!(FIGURES.iter().any(|figure| figure.name == "joined_s" && (figure.value)(&outcome).is_some()));
}

#[test]
fn rates_after_the_end_of_a_partition_are_measured_separately() {
    let outcome = run(scenario(Case::Split, 8, Topology::Flat)).unwrap();
    let returning = outcome.returning.unwrap();
    assert!(outcome.traffic.peak_bytes_per_s >= returning.peak_bytes_per_s, "{outcome:?}");
    assert!(returning.bytes_per_s > 0.0 && outcome.traffic.bytes_per_s > 0.0, "{outcome:?}");
    assert!(run(scenario(Case::Kill, 8, Topology::Flat)).unwrap().returning.is_none());
}

// With fixed default timing, an answer from another region arrives after the probe timeout, and running peers are suspected
// permanently. The lower rate of probes shows that the latency between regions is taken into account.
#[test]
fn probe_timeout_adapts_to_distant_regions_without_false_suspicions() {
    let near = run(scenario(Case::Rest, 43, Topology::Flat)).unwrap();
    for probe_timeout in [Scenario::new(Case::Rest, 43, 1).probe_timeout, SECOND / 20] {
        let rest = Scenario { probe_timeout, ..scenario(Case::Rest, 43, Topology::Regions) };
        let far = run(Scenario { rest: 30 * SECOND, ..rest }).unwrap();
        assert_eq!(far.false_suspicions, 0, "{probe_timeout}");
        assert!(far.traffic.datagrams_per_s < 0.95 * near.traffic.datagrams_per_s, "{far:?}");
    }
}

#[test]
fn killed_node_is_reported_across_distant_regions_without_false_reports() {
    let outcome = run(Scenario { rest: 12 * SECOND, ..scenario(Case::Kill, 43, Topology::Regions) }).unwrap();
    assert!(outcome.known_all_s.is_some_and(|all| all < 8.0), "{outcome:?}");
    assert_eq!((outcome.false_reports, outcome.false_suspicions), (0, 0));
}
