//! Checks that compare one arm with another on the same seed, so that differences between seeds cancel out.

use super::{bounds, within, CheckResult, RunResult};
use crate::experiment::{Check, Experiment};
use std::collections::{BTreeMap, BTreeSet};

/// The given arms and the arms that their checks compare them with.
pub fn with_reference_arms(experiment: &Experiment, arms: &[String]) -> Vec<String> {
    let references = |arm: &String| {
        let checks = experiment.check.iter().filter(move |check| check.arm.as_ref() == Some(arm));
        checks.filter_map(|check| check.relative_to.clone()).collect::<Vec<_>>()
    };
    let all: BTreeSet<String> = arms.iter().cloned().chain(arms.iter().flat_map(references)).collect();
    all.into_iter().collect()
}

/// Evaluates these checks on the runs of all arms, and adds their results to the runs that they apply to.
pub fn add_relative_checks(experiment: &Experiment, runs: &mut [RunResult]) {
    let references: BTreeMap<_, _> =
        runs.iter().map(|run| ((run.arm.clone(), run.seed), Reference::of(run))).collect();
    for check in &experiment.check {
        let Some(name) = &check.relative_to else { continue };
        let applies = |run: &&mut RunResult| {
            check.arm.as_ref() == Some(&run.arm)
                && check.driver.is_none_or(|driver| driver.name() == run.driver)
        };
        for run in runs.iter_mut().filter(applies) {
            let reference = references.get(&(name.clone(), run.seed)).unwrap_or(&Reference::Missing);
            let result = compare(check, name, run, reference);
            run.checks.push(result);
        }
    }
}

/// The run that another one is compared with.
enum Reference {
    Completed(BTreeMap<&'static str, f64>),
    /// Void, or ended early.
    Unusable,
    Missing,
}

impl Reference {
    fn of(run: &RunResult) -> Self {
        match run.void.is_some() || run.interrupted {
            true => Self::Unusable,
            false => Self::Completed(run.figures.clone()),
        }
    }

    /// A figure of the run; `NaN` where there is none, so that no bound holds.
    fn figure(&self, name: &str) -> f64 {
        match self {
            Self::Completed(figures) => figures.get(name).copied().unwrap_or(f64::NAN),
            Self::Unusable | Self::Missing => f64::NAN,
        }
    }
}

fn compare(check: &Check, name: &str, run: &RunResult, reference: &Reference) -> CheckResult {
    let own = run.figures.get(check.figure.as_str()).copied().unwrap_or(f64::NAN);
    let reference_value = reference.figure(&check.figure);
    // Zero over zero is `NaN`, within no bound: a loss that neither arm shows has not been detected.
    let value = own / reference_value;
    let found = match reference {
        Reference::Completed(_) => format!("as a multiple of {name}'s {reference_value:.4}"),
        Reference::Unusable => format!("but {name}'s run is void or was ended early"),
        Reference::Missing => format!("but {name} was not played"),
    };
    let mut bound: Vec<_> = bounds(check).map(|(word, bound)| format!("{word} {bound}")).collect();
    bound.push(found);
    CheckResult {
        name: check.name.clone(),
        figure: check.figure.clone(),
        value,
        bound: bound.join(", "),
        holds: within(check, value),
    }
}

#[cfg(test)]
mod tests;
