use super::*;
use crate::model::SECOND;

fn play(case: Case, nodes: usize, topology: Topology) -> Play {
    Play { topology, rest: 6 * SECOND, ..Play::new(case, nodes, 1) }
}

#[test]
fn every_case_meets_as_many_nodes_as_it_says_and_never_a_seed_alone() {
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
fn a_case_that_would_meet_most_nodes_is_refused_with_the_number_that_it_takes() {
    let refused = play(Case::RegionCut, 66, Topology::Flat).check().unwrap_err();
    assert_eq!(refused.to_string(), "region-cut: found 66 nodes, expected 132 and more");
    for (case, nodes) in [(Case::RegionCut, 132), (Case::ZoneLost, 66), (Case::Release, 2), (Case::Split, 3)]
    {
        assert_eq!(play(case, nodes, Topology::Flat).check(), Ok(()), "{case:?}");
    }
}

#[test]
fn a_rack_that_is_lost_is_known_to_all_and_nobody_else_is_taken_for_lost() {
    let outcome = run(play(Case::RackLost, 40, Topology::Flat)).unwrap();
    let (half, most, all) = (outcome.known_p50_s, outcome.known_p99_s, outcome.known_all_s);
    assert!(half.is_some() && half <= most && most <= all, "{outcome:?}");
    assert!(outcome.converged_s.is_some(), "{outcome:?}");
    assert_eq!((outcome.affected, outcome.false_reports), (12, 0));
}

#[test]
fn a_release_restarts_all_with_a_farewell_and_nobody_is_taken_for_lost() {
    let outcome = run(play(Case::Release, 20, Topology::Flat)).unwrap();
    assert!(outcome.simulated_s > 190.0 && outcome.converged_s.is_some(), "{outcome:?}");
    assert_eq!(outcome.false_reports, 0);
}

#[test]
fn rates_are_taken_while_all_join_and_afterwards() {
    let outcome = run(play(Case::Rest, 10, Topology::Flat)).unwrap();
    for rates in [outcome.joining, outcome.traffic] {
        assert!(rates.bytes_per_s > 0.0 && rates.peak_bytes_per_s >= rates.peak_mean_bytes_per_s);
    }
    assert!((0.0..=1.0).contains(&outcome.processor_part_of_peers));
    // Every figure that may be checked has a name of its own.
    let names: std::collections::BTreeSet<_> = FIGURES.iter().map(|figure| figure.name).collect();
    assert_eq!(names.len(), FIGURES.len());
    assert!(FIGURES.iter().any(|figure| figure.name == "joined_s" && (figure.of)(&outcome).is_some()));
}

#[test]
fn the_return_of_what_was_cut_off_has_rates_of_its_own() {
    let outcome = run(play(Case::Split, 8, Topology::Flat)).unwrap();
    let returning = outcome.returning.unwrap();
    assert!(outcome.traffic.peak_bytes_per_s >= returning.peak_bytes_per_s, "{outcome:?}");
    assert!(returning.bytes_per_s > 0.0 && outcome.traffic.bytes_per_s > 0.0, "{outcome:?}");
    assert!(run(play(Case::Kill, 8, Topology::Flat)).unwrap().returning.is_none());
}

// Guards against times between regions that nobody notices: the same probes suspect far peers that they do not suspect
// when they wait for longer than the longest way there and back.
#[test]
fn far_regions_are_suspected_where_probes_do_not_wait_for_them() {
    let rest = play(Case::Rest, 43, Topology::Regions);
    let patient = Play { probe_every: SECOND, probe_timeout: SECOND * 45 / 100, ..rest };
    assert_eq!(run(patient).unwrap().false_suspicions, 0);
    assert!(run(Play { probe_timeout: SECOND / 20, ..rest }).unwrap().false_suspicions > 0);
}
