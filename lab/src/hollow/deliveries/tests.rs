use super::*;
use crate::hollow::protocol::{NodeReport, Report};
use crate::hollow::settings::{FaultKind, Hollow, HollowFault, Publish};
use std::time::Duration;

const PUBLISH_START: Micros = 20 * SECOND;

fn schedule(faults: &[FaultKind]) -> Schedule {
    let second = Duration::from_secs(1);
    let fault = |what: &FaultKind| HollowFault { what: *what, lasts: 10 * second, after: 10 * second };
    let hollow = Hollow {
        meet: 10 * second,
        rest: 10 * second,
        publish: Some(Publish { with_faults: true, ..Publish::default() }),
        fault: faults.iter().map(fault).collect(),
        ..Hollow::default()
    };
    Schedule::new(&hollow, 4)
}

fn sequence_at(number: u64, at_ms: Micros) -> TimedSequence {
    TimedSequence { number, at: PUBLISH_START + at_ms * 1_000 }
}

/// Three entries, one second apart.
fn published() -> Published {
    let entries = (1..=3).map(|number| sequence_at(number, number * 1_000)).collect();
    Published { entries, versions: vec![sequence_at(1, 1_000)], ..Published::default() }
}

/// An incarnation that received every entry this many milliseconds after it was published.
fn incarnation(after_ms: Micros) -> Incarnation {
    let entries = (1..=3).map(|number| sequence_at(number, number * 1_000 + after_ms)).collect();
    Incarnation { entries, versions: vec![sequence_at(1, 1_000 + after_ms)], ..Incarnation::default() }
}

fn data(incarnations: Vec<Vec<Incarnation>>, published: Published) -> RunData {
    let report = |(node, incarnations)| NodeReport { node, incarnations, ..NodeReport::default() };
    let nodes: Vec<_> = incarnations.into_iter().enumerate().map(report).collect();
    let reports = vec![Report { nodes, published, ..Report::default() }];
    RunData { nodes: 4, reports, ..RunData::default() }
}

fn figures_of(faults: &[FaultKind], data: &RunData, complete: &[Incarnation]) -> BTreeMap<String, f64> {
    delivery_figures(&schedule(faults), data, complete.iter())
}

fn one_incarnation_each(after_ms: [Micros; 4]) -> Vec<Vec<Incarnation>> {
    after_ms.iter().map(|after| vec![incarnation(*after)]).collect()
}

#[test]
fn largest_delivery_time_is_that_of_the_slowest_node_including_complete_nodes() {
    let data = data(one_incarnation_each([100, 200, 300, 0]), published());
    let figures = figures_of(&[], &data, &[]);
    assert_eq!((figures["log_largest_s"], figures["state_largest_s"]), (0.3, 0.3));
    assert_eq!((figures["log_lost"], figures["log_twice"], figures["log_out_of_order"]), (0.0, 0.0, 0.0));
    assert_eq!(figures["state_lost"], 0.0);
    let figures = figures_of(&[], &data, &[incarnation(900)]);
    assert_eq!((figures["log_largest_s"], figures["complete_received"]), (0.9, 3.0));
}

#[test]
fn an_entry_missing_at_one_node_counts_as_lost_and_has_no_delivery_time() {
    let mut incarnations = one_incarnation_each([100; 4]);
    incarnations[2][0].entries.pop();
    incarnations[1][0].versions.clear();
    let figures = figures_of(&[], &data(incarnations, published()), &[]);
    assert_eq!((figures["log_lost"], figures["state_lost"]), (1.0, 1.0));
    assert!(!figures.contains_key("log_largest_s") && !figures.contains_key("state_largest_s"));
}

#[test]
fn duplicate_and_out_of_order_entries_are_counted() {
    let mut incarnations = one_incarnation_each([100; 4]);
    incarnations[0][0].entries.push(sequence_at(3, 5_000));
    incarnations[1][0].entries.swap(0, 1);
    incarnations[2][0].entries.remove(1);
    let figures = figures_of(&[], &data(incarnations, published()), &[]);
    assert_eq!(figures["log_twice"], 1.0);
    // Entry 1 after entry 2, and entry 3 after a missing entry 2.
    assert_eq!(figures["log_out_of_order"], 2.0);
    assert_eq!(figures["log_lost"], 1.0);
}

#[test]
fn entries_skipped_by_a_log_reset_are_not_counted_as_lost() {
    let mut incarnations = one_incarnation_each([100; 4]);
    // The killed node has come back, and a log reset told it to skip the first two entries.
    let reset = Reset { at: PUBLISH_START, after: 0, through: 2 };
    let back = Incarnation { entries: vec![sequence_at(3, 4_000)], resets: vec![reset], ..incarnation(100) };
    incarnations[3] = vec![incarnation(100), back];
    let data_with_reset = data(incarnations.clone(), published());
    let figures = figures_of(&[FaultKind::Kill], &data_with_reset, &[]);
    assert_eq!((figures["log_lost"], figures["log_out_of_order"]), (0.0, 0.0));
    // Without the reset, those two entries are missing.
    incarnations[3][1].resets.clear();
    let figures = figures_of(&[FaultKind::Kill], &data(incarnations, published()), &[]);
    assert_eq!(figures["log_lost"], 2.0);
}

#[test]
fn entries_published_near_a_fault_have_a_separate_figure() {
    let mut published = published();
    // The fault begins 10 s after publishing starts; the bounds hold again 5 s later.
    published.entries.push(sequence_at(4, 12_000));
    published.entries.push(sequence_at(5, 15_500));
    let mut incarnations = one_incarnation_each([100; 4]);
    for node in &mut incarnations {
        node[0].entries.push(sequence_at(4, 16_000));
        node[0].entries.push(sequence_at(5, 16_000));
    }
    let figures = figures_of(&[FaultKind::Kill], &data(incarnations, published), &[]);
    assert_eq!((figures["log_largest_s"], figures["log_trouble_s"]), (0.5, 4.0));
}

#[test]
fn an_acknowledgement_before_the_last_node_applied_the_entry_is_counted_as_wrong() {
    let acknowledgement =
        |number: u64, at_ms: Micros| Acknowledged { number, at: PUBLISH_START + at_ms * 1_000, nodes: 4 };
    let entries_acknowledged =
        vec![acknowledgement(1, 1_500), acknowledgement(2, 2_250), acknowledgement(3, 4_000)];
    let published = Published { entries_acknowledged, ..published() };
    let figures = figures_of(&[], &data(one_incarnation_each([100, 200, 300, 0]), published), &[]);
    assert_eq!(figures["acknowledged_wrong"], 1.0);
    assert_eq!((figures["acknowledged_missing"], figures["acknowledged_largest_s"]), (0.0, 1.0));
}

#[test]
fn entries_without_acknowledgement_are_counted_as_missing() {
    let figures = figures_of(&[], &data(one_incarnation_each([100; 4]), published()), &[]);
    assert_eq!(figures["acknowledged_missing"], 3.0);
}

#[test]
fn a_later_version_supersedes_earlier_versions() {
    let mut incarnation = incarnation(100);
    incarnation.versions = vec![sequence_at(3, 5_000)];
    let applied = state_times(&incarnation);
    assert_eq!(applied.keys().copied().collect::<Vec<_>>(), [1, 2, 3]);
}

#[test]
fn every_figure_is_listed_for_checks() {
    let figures =
        figures_of(&[FaultKind::Kill], &data(one_incarnation_each([100; 4]), published()), &[incarnation(1)]);
    let known = crate::hollow::figures::known_name;
    assert!(figures.keys().all(|name| known(name).is_some()), "{figures:?}");
}
