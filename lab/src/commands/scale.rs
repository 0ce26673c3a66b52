//! `walkpick-lab run`, `list` and `explain` where the file is an experiment of scale.

use crate::scale::{CheckOutcome, RunOptions, ScaleExperiment, ScaleRun};
use serde::Serialize;
use std::error::Error;
use std::io::{self, Write};
use std::path::Path;

/// What `--json` writes.
#[derive(Serialize)]
struct Written<'a> {
    name: &'a str,
    kind: &'a str,
    settings: toml::Value,
    runs: &'a [ScaleRun],
    checks: &'a [CheckOutcome],
}

/// Runs an experiment, prints its figures and checks, and says whether all of them held.
pub fn run(
    experiment: &ScaleExperiment,
    options: &RunOptions,
    json: Option<&Path>,
) -> Result<bool, Box<dyn Error>> {
    let (runs, checks) = experiment.run(options)?;
    if let Some(path) = json {
        let settings = experiment.does.settings()?;
        let (name, kind) = (&experiment.name, experiment.kind.table);
        let written = Written { name, kind, settings, runs: &runs, checks: &checks };
        std::fs::write(path, serde_json::to_vec_pretty(&written)?)?;
    }
    print_figures(experiment, &runs)?;
    print_checks(&checks)?;
    Ok(!runs.is_empty()
        && checks.iter().all(|check| check.holds)
        && runs.iter().all(|run| run.void.is_none()))
}

/// The figures that are checked, one line for each run.
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

/// Prints what it does, with every value that the file leaves out, and what each figure means.
pub fn explain(experiment: &ScaleExperiment) -> Result<(), Box<dyn Error>> {
    let mut out = io::stdout().lock();
    writeln!(out, "{}: {}\n", experiment.name, experiment.about)?;
    let settings = experiment.does.settings()?;
    writeln!(out, "[{}]\n{}", experiment.kind.table, toml::to_string_pretty(&settings)?)?;
    for check in &experiment.checks {
        writeln!(out, "[[check]]\n{}", toml::to_string_pretty(check)?)?;
    }
    for figure in (experiment.kind.figures)() {
        writeln!(out, "{:29} {}", figure.name, figure.meaning)?;
    }
    Ok(())
}
