use super::*;
use crate::hollow::settings::{Hollow, HollowFault};
use std::time::Duration;

fn schedule(fault: FaultKind, nodes: usize) -> Schedule {
    let second = Duration::from_secs(1);
    let fault = HollowFault { what: fault, lasts: 10 * second, after: 10 * second };
    let hollow = Hollow { meet: 10 * second, rest: 10 * second, fault: vec![fault], ..Hollow::default() };
    Schedule::new(&hollow, nodes)
}

fn views(at: Micros, running: u32, sees: u32) -> ViewsOfProcess {
    ViewsOfProcess { at, running, fewest: sees, most: sees, agreed: true, digest: Some(u64::from(sees)) }
}

fn word(at_s: Micros, by: usize, of: usize) -> Word {
    Word { at: at_s * SECOND, by, of, standing: PeerStatus::Lost }
}

fn node(node: usize, bytes: Vec<u32>) -> NodeReport {
    NodeReport { node, bytes, ..NodeReport::default() }
}

/// Four nodes in two processes; the last one is killed at 20 s and back at 30 s.
fn told(words: Vec<Word>) -> Told {
    let seconds = |second: u32| if (22..27).contains(&second) { 1_000 } else { 100 };
    let reports = [vec![0, 2], vec![1, 3]].map(|held| Report {
        nodes: held.into_iter().map(|id| node(id, (0..40).map(seconds).collect())).collect(),
        ..Report::default()
    });
    let mut reports = reports.to_vec();
    reports[0].words = words;
    let sees = |at_s: u64| if (23..32).contains(&at_s) { 3 } else { 4 };
    let runs = |at_s: u64| if (20..30).contains(&at_s) { 1 } else { 2 };
    let all = (3..40).flat_map(|at_s| {
        [(0, views(at_s * SECOND, 2, sees(at_s))), (1, views(at_s * SECOND, runs(at_s), sees(at_s)))]
    });
    Told { nodes: 4, complete: 0, views: all.collect(), reports }
}

#[test]
fn a_kill_is_known_agreed_on_and_over() {
    let words = vec![word(22, 0, 3), word(23, 1, 3), word(24, 2, 3), word(25, 2, 3)];
    let figures = figures(&schedule(FaultKind::Kill, 4), &told(words));
    assert_eq!(figures["met_s"], 3.0);
    assert_eq!(figures["kill_known_all_s"], 4.0);
    assert_eq!(figures["kill_agreed_s"], 3.0);
    assert_eq!(figures["kill_back_s"], 2.0);
    assert_eq!(figures["false_lost"], 0.0);
    assert_eq!(figures["rest_bytes"], 100.0);
    assert_eq!(figures["rest_peak_bytes"], 100.0);
    assert_eq!(figures["kill_peak_bytes"], 1_000.0);
}

#[test]
fn one_that_never_knew_leaves_the_figure_out() {
    let figures = figures(&schedule(FaultKind::Kill, 4), &told(vec![word(22, 0, 3), word(23, 1, 3)]));
    assert!(!figures.contains_key("kill_known_all_s"));
    assert!(!figures.contains_key("kill_known99_s"));
}

#[test]
fn a_word_on_one_that_was_there_is_false() {
    // While nodes meet; at rest; on another one than was killed; long after its return.
    let words = vec![word(4, 0, 3), word(12, 0, 3), word(22, 0, 1), word(45, 0, 3), word(22, 1, 3)];
    let figures = figures(&schedule(FaultKind::Kill, 4), &told(words));
    assert_eq!((figures["false_lost"], figures["join_false_lost"]), (4.0, 1.0));
}

#[test]
fn those_that_are_cut_off_may_take_each_other_for_lost_and_nobody_else() {
    let schedule = schedule(FaultKind::Region, 64);
    let cut = &schedule.phases[2].cut;
    let inside: Vec<_> = cut.iter().copied().take(2).collect();
    let outside: Vec<_> = (0..64).filter(|node| !cut.contains(node)).take(2).collect();
    let words = vec![
        word(25, inside[0], outside[0]),
        word(25, outside[0], inside[0]),
        word(25, inside[0], inside[1]),
        word(25, outside[0], outside[1]),
    ];
    let figures = figures(&schedule, &Told { nodes: 64, ..told(words) });
    assert_eq!(figures["false_lost"], 2.0);
}

#[test]
fn views_are_whole_only_where_every_process_sees_all_and_the_same() {
    let mut watch = Watch::new(2, 1);
    assert!(!watch.hear(0, views(1, 2, 5)), "one process has not been heard");
    assert!(watch.hear(1, views(1, 2, 5)));
    assert!(!watch.hear(1, views(2, 2, 4)));
    assert!(!watch.hear(1, ViewsOfProcess { digest: Some(7), ..views(3, 2, 5) }));
    assert!(!watch.hear(1, ViewsOfProcess { digest: None, ..views(3, 2, 5) }));
    assert!(!watch.hear(1, ViewsOfProcess { agreed: false, ..views(3, 2, 5) }));
    assert!(watch.hear(1, views(4, 2, 5)));
}

#[test]
fn processor_time_and_memory_are_shared_by_the_nodes_of_a_process() {
    let mut told = told(Vec::new());
    for report in &mut told.reports {
        report.memory_before = 1_000;
        let usage = |at: u64| Usage { at: at * SECOND, processor: at * SECOND / 50, memory: 1_000 + at };
        report.usage = (0..40).map(usage).collect();
    }
    let figures = figures(&schedule(FaultKind::Kill, 4), &told);
    // Two processes take a fiftieth of a core each, and hold four nodes.
    assert!((figures["core_fraction"] - 0.01).abs() < 1e-9, "{}", figures["core_fraction"]);
    assert_eq!(figures["memory_bytes"], 2.0 * 39.0 / 4.0);
}

#[test]
fn every_figure_has_a_name_that_checks_may_use() {
    let figures = figures(&schedule(FaultKind::Kill, 4), &told(vec![word(22, 0, 3)]));
    assert!(figures.keys().all(|name| known_name(name).is_some()), "{figures:?}");
}
