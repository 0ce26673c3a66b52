//! Runs loads of several sizes in parallel, and gives their outcomes as named figures and as series for the capacity page.

use super::scenario::{Load, Outcome};
use super::{joint, scenario};
use crate::slopes::{Method, Point, Series};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Source of the membership events that nodes receive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Membership {
    /// walkpick's own membership, whose traffic is counted as well
    #[default]
    Real,
    /// A stand-in that sends no datagrams
    StandIn,
}

/// A figure of an outcome that checks may refer to.
pub struct Figure {
    /// Name in experiment files and reports.
    pub name: &'static str,
    /// Explanation for the reader.
    pub meaning: &'static str,
    /// Extracts the value.
    pub value: fn(&Outcome) -> f64,
}

/// All figures that checks may refer to.
pub const FIGURES: [Figure; 15] = [
    Figure {
        name: "log_largest_s",
        meaning: "largest time from publishing an entry until the last node had it, unaffected by the loss of a zone",
        value: |o| o.log_largest_s,
    },
    Figure {
        name: "log_trouble_s",
        meaning: "the same for entries affected by the loss of a zone, up to 5 s after it",
        value: |o| o.log_trouble_s,
    },
    Figure { name: "log_median_s", meaning: "median over entries of the time until the last node had it", value: |o| o.log_median_s },
    Figure {
        name: "state_largest_s",
        meaning: "largest time from a state change until all nodes had applied it, unaffected by the loss of a zone",
        value: |o| o.state_largest_s,
    },
    Figure {
        name: "state_trouble_s",
        meaning: "the same for state changes affected by the loss of a zone, up to 5 s after it",
        value: |o| o.state_trouble_s,
    },
    Figure {
        name: "acknowledged_largest_s",
        meaning: "largest time from publishing until the publisher knew that all nodes had the entry",
        value: |o| o.acknowledged_largest_s,
    },
    Figure {
        name: "false_acknowledgements",
        meaning: "entries acknowledged as applied by all nodes that were not",
        value: |o| o.false_acknowledgements as f64,
    },
    Figure {
        name: "faults",
        meaning: "entries delivered twice, out of order, or without having been published",
        value: |o| o.faults as f64,
    },
    Figure { name: "lost", meaning: "entries not delivered, summed over nodes", value: |o| o.lost as f64 },
    Figure { name: "resets", meaning: "log resets after the start of the subscriber", value: |o| o.resets as f64 },
    Figure {
        name: "peak_1s_bytes_per_s",
        meaning: "peak bytes sent by any node in 1 s",
        value: |o| o.peak_1s,
    },
    Figure {
        name: "peak_5s_bytes_per_s",
        meaning: "the largest 5 s mean of bytes sent by any node",
        value: |o| o.peak_5s,
    },
    Figure {
        name: "bytes_per_s",
        meaning: "bytes per second sent by a node, mean over nodes and time",
        value: |o| o.mean,
    },
    Figure {
        name: "held_bytes",
        meaning: "largest memory used by any node for entries",
        value: |o| o.held_bytes as f64,
    },
    Figure {
        name: "duplicates",
        meaning: "duplicate entries received, relative to all entries to be delivered",
        value: |o| o.counters.duplicates as f64 / (o.load.nodes as f64 * o.load.entries() as f64).max(1.0),
    },
];

/// Runs loads, at most `jobs` at a time, and returns the outcomes in the order of the loads. Calls `on_done` after each.
pub fn run_all(
    loads: &[Load],
    membership: Membership,
    jobs: usize,
    on_done: impl Fn() + Sync,
) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    let outcomes = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, loads.len().max(1)) {
            scope.spawn(|| {
                while let Some((index, load)) = take_next(&next, loads) {
                    let outcome = match membership {
                        Membership::Real => joint::run(load),
                        Membership::StandIn => scenario::run(load),
                    };
                    if let Ok(mut outcomes) = outcomes.lock() {
                        outcomes.insert(index, outcome);
                    }
                    on_done();
                }
            });
        }
    });
    outcomes.into_inner().unwrap_or_default().into_values().collect()
}

fn take_next<'a>(next: &AtomicUsize, loads: &'a [Load]) -> Option<(usize, &'a Load)> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    loads.get(index).map(|load| (index, load))
}

/// A figure that is written as a series for the capacity page, separately for each loss.
struct SeriesFigure {
    name: &'static str,
    unit: &'static str,
    value: fn(&Outcome) -> f64,
}

const SERIES_FIGURES: [SeriesFigure; 7] = [
    SeriesFigure { name: "dissemination.bytes_per_second.peak", unit: "B/s", value: |o| o.peak_5s },
    SeriesFigure { name: "dissemination.bytes_per_second.peak_second", unit: "B/s", value: |o| o.peak_1s },
    SeriesFigure { name: "dissemination.bytes_per_second.mean", unit: "B/s", value: |o| o.mean },
    SeriesFigure { name: "dissemination.seconds_to_all.log", unit: "s", value: |o| o.log_largest_s },
    SeriesFigure { name: "dissemination.seconds_to_all.state", unit: "s", value: |o| o.state_largest_s },
    SeriesFigure {
        name: "dissemination.seconds_to_all.acknowledged",
        unit: "s",
        value: |o| o.acknowledged_largest_s,
    },
    SeriesFigure { name: "dissemination.memory", unit: "B", value: |o| o.held_bytes as f64 },
];

/// Converts outcomes into series against the number of nodes. Series with loss carry it in their names.
pub fn series(outcomes: &[Outcome], command: &str) -> Vec<Series> {
    let mut all = Vec::new();
    let mut losses: Vec<f64> = outcomes.iter().map(|outcome| outcome.load.loss).collect();
    losses.sort_by(f64::total_cmp);
    losses.dedup();
    for loss in losses {
        let suffix = if loss == 0.0 { String::new() } else { format!(".loss_{}", (loss * 100.0).round()) };
        for figure in &SERIES_FIGURES {
            let of_loss = outcomes.iter().filter(|outcome| outcome.load.loss == loss);
            let point = |outcome: &Outcome| Point {
                size: outcome.load.nodes as f64,
                value: (figure.value)(outcome),
                seed: outcome.load.seed,
            };
            all.push(Series {
                name: format!("{}{suffix}", figure.name),
                unit: figure.unit.to_owned(),
                against: "nodes".to_owned(),
                method: Method::Simulated,
                command: command.to_owned(),
                points: of_loss.map(point).collect(),
            });
        }
    }
    all
}
