use super::*;
use crate::hollow::settings::{Hollow, HollowFault};
use std::time::Duration;

fn schedule(fault: FaultKind, nodes: usize) -> Schedule {
    let second = Duration::from_secs(1);
    let fault = HollowFault { what: fault, lasts: 10 * second, after: 10 * second };
    let hollow = Hollow { meet: 10 * second, rest: 10 * second, fault: vec![fault], ..Hollow::default() };
    Schedule::new(&hollow, nodes)
}

fn views(at: Micros, running: u32, nodes: u32) -> ProcessViews {
    ProcessViews {
        at,
        running,
        min_nodes: nodes,
        max_nodes: nodes,
        agreed: true,
        digest: Some(u64::from(nodes)),
    }
}

fn lost(at_s: Micros, reporter: usize, subject: usize) -> StatusChange {
    StatusChange { at: at_s * SECOND, reporter, subject, status: PeerStatus::Lost }
}

fn node(node: usize, bytes: Vec<u32>) -> NodeReport {
    NodeReport { node, bytes, ..NodeReport::default() }
}

/// Four nodes in two processes; the last node is killed at 20 s and returns at 30 s.
fn run_data(changes: Vec<StatusChange>) -> RunData {
    let seconds = |second: u32| if (22..27).contains(&second) { 1_000 } else { 100 };
    let reports = [vec![0, 2], vec![1, 3]].map(|ids| Report {
        nodes: ids.into_iter().map(|id| node(id, (0..40).map(seconds).collect())).collect(),
        ..Report::default()
    });
    let mut reports = reports.to_vec();
    reports[0].status_changes = changes;
    let sees = |at_s: u64| if (23..32).contains(&at_s) { 3 } else { 4 };
    let runs = |at_s: u64| if (20..30).contains(&at_s) { 1 } else { 2 };
    let all = (3..40).flat_map(|at_s| {
        [(0, views(at_s * SECOND, 2, sees(at_s))), (1, views(at_s * SECOND, runs(at_s), sees(at_s)))]
    });
    RunData { nodes: 4, complete: 0, views: all.collect(), reports }
}

#[test]
fn a_kill_has_detection_agreement_and_recovery_times() {
    let changes = vec![lost(22, 0, 3), lost(23, 1, 3), lost(24, 2, 3), lost(25, 2, 3)];
    let figures = figures(&schedule(FaultKind::Kill, 4), &run_data(changes));
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
fn detection_figures_are_missing_if_one_node_never_detects_the_kill() {
    let figures = figures(&schedule(FaultKind::Kill, 4), &run_data(vec![lost(22, 0, 3), lost(23, 1, 3)]));
    assert!(!figures.contains_key("kill_known_all_s"));
    assert!(!figures.contains_key("kill_known99_s"));
}

#[test]
fn a_loss_report_about_a_running_node_is_false() {
    // During joining; at rest; about a node that was not killed; long after the return of the killed one.
    let changes = vec![lost(4, 0, 3), lost(12, 0, 3), lost(22, 0, 1), lost(45, 0, 3), lost(22, 1, 3)];
    let figures = figures(&schedule(FaultKind::Kill, 4), &run_data(changes));
    assert_eq!((figures["false_lost"], figures["join_false_lost"]), (4.0, 1.0));
}

#[test]
fn losses_across_a_partition_are_not_false_but_losses_within_one_side_are() {
    let schedule = schedule(FaultKind::Region, 64);
    let cut = &schedule.phases[2].cut;
    let inside: Vec<_> = cut.iter().copied().take(2).collect();
    let outside: Vec<_> = (0..64).filter(|node| !cut.contains(node)).take(2).collect();
    let changes = vec![
        lost(25, inside[0], outside[0]),
        lost(25, outside[0], inside[0]),
        lost(25, inside[0], inside[1]),
        lost(25, outside[0], outside[1]),
    ];
    let figures = figures(&schedule, &RunData { nodes: 64, ..run_data(changes) });
    assert_eq!(figures["false_lost"], 2.0);
}

#[test]
fn views_converge_only_when_every_process_sees_all_nodes_with_the_same_digest() {
    let mut tracker = ConvergenceTracker::new(2, 1);
    assert!(!tracker.update(0, views(1, 2, 5)), "no views from the second process yet");
    assert!(tracker.update(1, views(1, 2, 5)));
    assert!(!tracker.update(1, views(2, 2, 4)));
    assert!(!tracker.update(1, ProcessViews { digest: Some(7), ..views(3, 2, 5) }));
    assert!(!tracker.update(1, ProcessViews { digest: None, ..views(3, 2, 5) }));
    assert!(!tracker.update(1, ProcessViews { agreed: false, ..views(3, 2, 5) }));
    assert!(tracker.update(1, views(4, 2, 5)));
}

#[test]
fn processor_time_and_memory_are_divided_by_the_number_of_nodes() {
    let mut run_data = run_data(Vec::new());
    for report in &mut run_data.reports {
        report.memory_before = 1_000;
        let usage = |at: u64| Usage { at: at * SECOND, cpu_us: at * SECOND / 50, memory_bytes: 1_000 + at };
        report.usage = (0..40).map(usage).collect();
    }
    let figures = figures(&schedule(FaultKind::Kill, 4), &run_data);
    // Two processes use 1/50 of a core each, and hold four nodes.
    assert!((figures["core_fraction"] - 0.01).abs() < 1e-9, "{}", figures["core_fraction"]);
    assert_eq!(figures["memory_bytes"], 2.0 * 39.0 / 4.0);
}

#[test]
fn every_figure_is_listed_for_checks() {
    let figures = figures(&schedule(FaultKind::Kill, 4), &run_data(vec![lost(22, 0, 3)]));
    assert!(figures.keys().all(|name| known_name(name).is_some()), "{figures:?}");
}
