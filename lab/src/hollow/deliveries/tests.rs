use super::*;
use crate::hollow::protocol::{NodeReport, Report};
use crate::hollow::settings::{FaultKind, Hollow, HollowFault, Publish};
use std::time::Duration;

const RESTED: Micros = 20 * SECOND;

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

fn numbered(number: u64, at_ms: Micros) -> Numbered {
    Numbered { number, at: RESTED + at_ms * 1_000 }
}

/// Three entries, a second apart.
fn published() -> Published {
    let entries = (1..=3).map(|number| numbered(number, number * 1_000)).collect();
    Published { entries, versions: vec![numbered(1, 1_000)], ..Published::default() }
}

/// A life to which every entry came after so many milliseconds.
fn life(after_ms: Micros) -> Life {
    let entries = (1..=3).map(|number| numbered(number, number * 1_000 + after_ms)).collect();
    Life { entries, versions: vec![numbered(1, 1_000 + after_ms)], ..Life::default() }
}

fn told(lives: Vec<Vec<Life>>, published: Published) -> Told {
    let report = |(node, lives)| NodeReport { node, lives, ..NodeReport::default() };
    let nodes: Vec<_> = lives.into_iter().enumerate().map(report).collect();
    let reports = vec![Report { nodes, published, ..Report::default() }];
    Told { nodes: 4, reports, ..Told::default() }
}

fn figures_of(faults: &[FaultKind], told: &Told, complete: &[Life]) -> BTreeMap<String, f64> {
    delivery_figures(&schedule(faults), told, complete.iter())
}

fn steady(after_ms: [Micros; 4]) -> Vec<Vec<Life>> {
    after_ms.iter().map(|after| vec![life(*after)]).collect()
}

#[test]
fn the_largest_time_is_that_of_the_latest_node_complete_ones_among_them() {
    let told = told(steady([100, 200, 300, 0]), published());
    let figures = figures_of(&[], &told, &[]);
    assert_eq!((figures["log_largest_s"], figures["state_largest_s"]), (0.3, 0.3));
    assert_eq!((figures["log_lost"], figures["log_twice"], figures["log_out_of_order"]), (0.0, 0.0, 0.0));
    assert_eq!(figures["state_lost"], 0.0);
    let figures = figures_of(&[], &told, &[life(900)]);
    assert_eq!((figures["log_largest_s"], figures["complete_received"]), (0.9, 3.0));
}

#[test]
fn an_entry_that_one_node_never_got_is_lost_and_has_no_time() {
    let mut lives = steady([100; 4]);
    lives[2][0].entries.pop();
    lives[1][0].versions.clear();
    let figures = figures_of(&[], &told(lives, published()), &[]);
    assert_eq!((figures["log_lost"], figures["state_lost"]), (1.0, 1.0));
    assert!(!figures.contains_key("log_largest_s") && !figures.contains_key("state_largest_s"));
}

#[test]
fn an_entry_that_comes_twice_or_over_a_hole_is_counted() {
    let mut lives = steady([100; 4]);
    lives[0][0].entries.push(numbered(3, 5_000));
    lives[1][0].entries.swap(0, 1);
    lives[2][0].entries.remove(1);
    let figures = figures_of(&[], &told(lives, published()), &[]);
    assert_eq!(figures["log_twice"], 1.0);
    // The first one after the second one; and the third one over a hole.
    assert_eq!(figures["log_out_of_order"], 2.0);
    assert_eq!(figures["log_lost"], 1.0);
}

#[test]
fn a_hole_that_was_told_is_none() {
    let mut lives = steady([100; 4]);
    // The node that a kill meets; it came back, and was told to be without the first two.
    let reset = Reset { at: RESTED, after: 0, through: 2 };
    let back = Life { entries: vec![numbered(3, 4_000)], resets: vec![reset], ..life(100) };
    lives[3] = vec![life(100), back];
    let told_of = told(lives.clone(), published());
    let figures = figures_of(&[FaultKind::Kill], &told_of, &[]);
    assert_eq!((figures["log_lost"], figures["log_out_of_order"]), (0.0, 0.0));
    // Without that word it lacks them.
    lives[3][1].resets.clear();
    let figures = figures_of(&[FaultKind::Kill], &told(lives, published()), &[]);
    assert_eq!(figures["log_lost"], 2.0);
}

#[test]
fn entries_that_a_fault_may_meet_have_a_figure_of_their_own() {
    let mut published = published();
    // Faults begin 10 s after the publishing; the bounds hold again 5 s later.
    published.entries.push(numbered(4, 12_000));
    published.entries.push(numbered(5, 15_500));
    let mut lives = steady([100; 4]);
    for held in &mut lives {
        held[0].entries.push(numbered(4, 16_000));
        held[0].entries.push(numbered(5, 16_000));
    }
    let figures = figures_of(&[FaultKind::Kill], &told(lives, published), &[]);
    assert_eq!((figures["log_largest_s"], figures["log_trouble_s"]), (0.5, 4.0));
}

#[test]
fn an_acknowledgement_before_the_last_node_applied_is_wrong() {
    let word = |number: u64, at_ms: Micros| Acknowledged { number, at: RESTED + at_ms * 1_000, nodes: 4 };
    let entries_acknowledged = vec![word(1, 1_500), word(2, 2_250), word(3, 4_000)];
    let published = Published { entries_acknowledged, ..published() };
    let figures = figures_of(&[], &told(steady([100, 200, 300, 0]), published), &[]);
    assert_eq!(figures["acknowledged_wrong"], 1.0);
    assert_eq!((figures["acknowledged_missing"], figures["acknowledged_largest_s"]), (0.0, 1.0));
}

#[test]
fn an_entry_that_nobody_acknowledged_is_missing() {
    let figures = figures_of(&[], &told(steady([100; 4]), published()), &[]);
    assert_eq!(figures["acknowledged_missing"], 3.0);
}

#[test]
fn a_later_version_stands_for_those_before() {
    let mut life = life(100);
    life.versions = vec![numbered(3, 5_000)];
    let applied = of_state(&life);
    assert_eq!(applied.keys().copied().collect::<Vec<_>>(), [1, 2, 3]);
}

#[test]
fn every_figure_has_a_name_that_checks_may_use() {
    let figures = figures_of(&[FaultKind::Kill], &told(steady([100; 4]), published()), &[life(1)]);
    let known = crate::hollow::figures::known_name;
    assert!(figures.keys().all(|name| known(name).is_some()), "{figures:?}");
}
