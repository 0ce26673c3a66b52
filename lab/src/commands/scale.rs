//! `walkpick-lab run`, `list` and `explain` for scale experiments.

use crate::scale::{CheckOutcome, RunOptions, ScaleExperiment, ScaleRun};
use serde::Serialize;
use std::error::Error;
use std::io::{self, Write};
use std::path::Path;

/// The output of `--json`.
#[derive(Serialize)]
struct JsonReport<'a> {
    name: &'a str,
    kind: &'a str,
    settings: toml::Value,
    runs: &'a [ScaleRun],
    checks: &'a [CheckOutcome],
}

/// Runs an experiment and prints its figures and checks; returns whether all checks passed and no run was void.
pub fn run(
    experiment: &ScaleExperiment,
    options: &RunOptions,
    json: Option<&Path>,
) -> Result<bool, Box<dyn Error>> {
    let (runs, checks) = experiment.run(options)?;
    if let Some(path) = json {
        let settings = experiment.runner.settings()?;
        let (name, kind) = (&experiment.name, experiment.kind.table);
        let report = JsonReport { name, kind, settings, runs: &runs, checks: &checks };
        std::fs::write(path, serde_json::to_vec_pretty(&report)?)?;
    }
    print_figures(experiment, &runs)?;
    print_checks(&checks)?;
    Ok(!runs.is_empty()
        && checks.iter().all(|check| check.holds)
        && runs.iter().all(|run| run.void.is_none()))
}

/// Prints the checked figures, one line per run.
fn print_figures(experiment: &ScaleExperiment, runs: &[ScaleRun]) -> io::Result<()> {
    let mut names: Vec<&str> = experiment.checks.iter().map(|check| check.figure.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    let mut out = io::stdout().lock();
    for run in runs {
        write!(out, "{}, seed {}:", run.label, run.seed)?;
        for name in &names {
            match run.figures.get(name) {
                Some(value) => write!(out, " {name} {value:.4}")?,
                None => write!(out, " {name} -")?,
            }
        }
        writeln!(out)?;
        if let Some(why) = &run.void {
            writeln!(out, "void ({}, seed {}): {why}", run.label, run.seed)?;
        }
    }
    Ok(())
}

fn print_checks(checks: &[CheckOutcome]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    for check in checks {
        let word = if check.holds { "holds" } else { "FALLS SHORT" };
        writeln!(out, "{} ({}): {}: {word}", check.name, check.of, check.found)?;
    }
    Ok(())
}

/// Prints the experiment with all settings, including defaults, its checks and the description of each figure.
pub fn explain(experiment: &ScaleExperiment) -> Result<(), Box<dyn Error>> {
    let mut out = io::stdout().lock();
    writeln!(out, "{}: {}\n", experiment.name, experiment.about)?;
    let settings = experiment.runner.settings()?;
    writeln!(out, "[{}]\n{}", experiment.kind.table, toml::to_string_pretty(&settings)?)?;
    for check in &experiment.checks {
        writeln!(out, "[[check]]\n{}", toml::to_string_pretty(check)?)?;
    }
    for figure in (experiment.kind.figures)() {
        writeln!(out, "{:29} {}", figure.name, figure.meaning)?;
    }
    Ok(())
}
