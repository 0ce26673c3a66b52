//! Loads at several sizes, run side by side; their figures by name, and as series for the capacity page.

use super::scenario::{Load, Outcome};
use super::{joint, scenario};
use crate::slopes::{Method, Point, Series};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// What tells nodes who is present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Membership {
    /// The program's own, whose bytes count as well.
    #[default]
    Real,
    /// A stand-in that costs nothing.
    StandIn,
}

/// A figure of an outcome.
pub struct Figure {
    /// Its name.
    pub name: &'static str,
    /// What it means.
    pub meaning: &'static str,
    /// Its value.
    pub of: fn(&Outcome) -> f64,
}

/// All figures that may be checked.
pub const FIGURES: [Figure; 15] = [
    Figure {
        name: "log_largest_s",
        meaning: "from publishing an entry until the last node had it: the largest, away from a zone's loss",
        of: |o| o.log_largest_s,
    },
    Figure {
        name: "log_trouble_s",
        meaning: "the same of entries published up to 5 s after a zone was lost",
        of: |o| o.log_trouble_s,
    },
    Figure { name: "log_median_s", meaning: "the same, of half of the entries", of: |o| o.log_median_s },
    Figure {
        name: "state_largest_s",
        meaning: "from a change of state until all had it in force: the largest, away from a zone's loss",
        of: |o| o.state_largest_s,
    },
    Figure {
        name: "state_trouble_s",
        meaning: "the same of changes published up to 5 s after a zone was lost",
        of: |o| o.state_trouble_s,
    },
    Figure {
        name: "acknowledged_largest_s",
        meaning: "from publishing until the publisher knew that all had it: the largest",
        of: |o| o.acknowledged_largest_s,
    },
    Figure {
        name: "false_acknowledgements",
        meaning: "entries called applied by all that were not",
        of: |o| o.false_words as f64,
    },
    Figure {
        name: "faults",
        meaning: "entries delivered twice, out of order, or that nobody published",
        of: |o| o.faults as f64,
    },
    Figure { name: "lost", meaning: "entries that a node did not get", of: |o| o.lost as f64 },
    Figure { name: "resets", meaning: "logs that were reset under way", of: |o| o.resets as f64 },
    Figure {
        name: "peak_1s_bytes_per_s",
        meaning: "the most that any node sent in a second",
        of: |o| o.peak_1s,
    },
    Figure {
        name: "peak_5s_bytes_per_s",
        meaning: "the largest 5 s mean of bytes sent by any node",
        of: |o| o.peak_5s,
    },
    Figure {
        name: "bytes_per_s",
        meaning: "bytes that a node sent, in the mean over nodes and time",
        of: |o| o.mean,
    },
    Figure {
        name: "held_bytes",
        meaning: "the most that any node held of entries",
        of: |o| o.held_bytes as f64,
    },
    Figure {
        name: "duplicates",
        meaning: "entries that came again, of all that were to be delivered",
        of: |o| o.counters.duplicates as f64 / (o.load.nodes as f64 * o.load.entries() as f64).max(1.0),
    },
];

/// Runs loads, so many at once; outcomes in the order of the loads.
pub fn run_all(loads: &[Load], membership: Membership, jobs: usize, done: impl Fn() + Sync) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    let outcomes = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, loads.len().max(1)) {
            scope.spawn(|| {
                while let Some((place, load)) = take(&next, loads) {
                    let outcome = match membership {
                        Membership::Real => joint::run(load),
                        Membership::StandIn => scenario::run(load),
                    };
                    if let Ok(mut outcomes) = outcomes.lock() {
                        outcomes.insert(place, outcome);
                    }
                    done();
                }
            });
        }
    });
    outcomes.into_inner().unwrap_or_default().into_values().collect()
}

fn take<'a>(next: &AtomicUsize, loads: &'a [Load]) -> Option<(usize, &'a Load)> {
    let place = next.fetch_add(1, Ordering::Relaxed);
    loads.get(place).map(|load| (place, load))
}

/// What is written for the capacity page, by loss.
struct Written {
    name: &'static str,
    unit: &'static str,
    of: fn(&Outcome) -> f64,
}

const WRITTEN: [Written; 7] = [
    Written { name: "dissemination.bytes_per_second.peak", unit: "B/s", of: |o| o.peak_5s },
    Written { name: "dissemination.bytes_per_second.peak_second", unit: "B/s", of: |o| o.peak_1s },
    Written { name: "dissemination.bytes_per_second.mean", unit: "B/s", of: |o| o.mean },
    Written { name: "dissemination.seconds_to_all.log", unit: "s", of: |o| o.log_largest_s },
    Written { name: "dissemination.seconds_to_all.state", unit: "s", of: |o| o.state_largest_s },
    Written {
        name: "dissemination.seconds_to_all.acknowledged",
        unit: "s",
        of: |o| o.acknowledged_largest_s,
    },
    Written { name: "dissemination.memory", unit: "B", of: |o| o.held_bytes as f64 },
];

/// Outcomes as series against the number of nodes. Those with loss bear it in their names.
pub fn series(outcomes: &[Outcome], command: &str) -> Vec<Series> {
    let mut all = Vec::new();
    let mut losses: Vec<f64> = outcomes.iter().map(|outcome| outcome.load.loss).collect();
    losses.sort_by(f64::total_cmp);
    losses.dedup();
    for loss in losses {
        let suffix = if loss == 0.0 { String::new() } else { format!(".loss_{}", (loss * 100.0).round()) };
        for written in &WRITTEN {
            let of_loss = outcomes.iter().filter(|outcome| outcome.load.loss == loss);
            let point = |outcome: &Outcome| Point {
                size: outcome.load.nodes as f64,
                value: (written.of)(outcome),
                seed: outcome.load.seed,
            };
            all.push(Series {
                name: format!("{}{suffix}", written.name),
                unit: written.unit.to_owned(),
                against: "nodes".to_owned(),
                method: Method::Simulated,
                command: command.to_owned(),
                points: of_loss.map(point).collect(),
            });
        }
    }
    all
}
