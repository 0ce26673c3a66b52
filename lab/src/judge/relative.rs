//! Checks that hold one arm against another on the same seed: what both have in common, the luck of the seed, is in
//! neither's way.

use super::{bounds, within, Checked, Result};
use crate::experiment::{Check, Experiment};
use std::collections::{BTreeMap, BTreeSet};

/// The arms asked for, and those that their checks compare them with.
pub fn with_compared(experiment: &Experiment, arms: &[String]) -> Vec<String> {
    let compared = |arm: &String| {
        let checks = experiment.check.iter().filter(move |check| check.arm.as_ref() == Some(arm));
        checks.filter_map(|check| check.relative_to.clone()).collect::<Vec<_>>()
    };
    let all: BTreeSet<String> = arms.iter().cloned().chain(arms.iter().flat_map(compared)).collect();
    all.into_iter().collect()
}

/// Adds the checks of this kind to the runs that they judge, once all have been played.
pub fn judge(experiment: &Experiment, runs: &mut [Result]) {
    let others: BTreeMap<_, _> =
        runs.iter().map(|run| ((run.arm.clone(), run.seed), Other::of(run))).collect();
    for check in &experiment.check {
        let Some(name) = &check.relative_to else { continue };
        let of_check = |run: &&mut Result| {
            check.arm.as_ref() == Some(&run.arm)
                && check.driver.is_none_or(|driver| driver.name() == run.driver)
        };
        for run in runs.iter_mut().filter(of_check) {
            let other = others.get(&(name.clone(), run.seed)).unwrap_or(&Other::NotPlayed);
            let checked = compare(check, name, run, other);
            run.checks.push(checked);
        }
    }
}

/// The run that another one is compared with.
enum Other {
    Played(BTreeMap<&'static str, f64>),
    /// Void, or ended early.
    Unusable,
    NotPlayed,
}

impl Other {
    fn of(run: &Result) -> Self {
        match run.void.is_some() || run.interrupted {
            true => Self::Unusable,
            false => Self::Played(run.figures.clone()),
        }
    }

    /// `NaN` where there is none, so that no bound holds.
    fn figure(&self, name: &str) -> f64 {
        match self {
            Self::Played(figures) => figures.get(name).copied().unwrap_or(f64::NAN),
            Self::Unusable | Self::NotPlayed => f64::NAN,
        }
    }
}

fn compare(check: &Check, name: &str, run: &Result, other: &Other) -> Checked {
    let own = run.figures.get(check.figure.as_str()).copied().unwrap_or(f64::NAN);
    let reference = other.figure(&check.figure);
    // Nothing against nothing is no number: a loss that neither arm shows is not seen.
    let value = own / reference;
    let found = match other {
        Other::Played(_) => format!("as a multiple of {name}'s {reference:.4}"),
        Other::Unusable => format!("but {name}'s run is void or was ended early"),
        Other::NotPlayed => format!("but {name} was not played"),
    };
    let mut bound: Vec<_> = bounds(check).map(|(word, bound)| format!("{word} {bound}")).collect();
    bound.push(found);
    Checked {
        name: check.name.clone(),
        figure: check.figure.clone(),
        value,
        bound: bound.join(", "),
        holds: within(check, value),
    }
}

#[cfg(test)]
mod tests;
