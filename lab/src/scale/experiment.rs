//! A scale experiment file: name, description, settings of its kind and checks.

use super::check::duplicate_names;
use super::{
    CheckOutcome, FigureMeaning, Kind, RunOptions, ScaleCheck, ScaleKind, ScaleRun, TableReader, KINDS,
};
use crate::experiment::{Diagnostic, ExperimentError};
use std::error::Error;
use std::path::Path;
use toml::{Table, Value};

/// A scale experiment.
pub struct ScaleExperiment {
    /// The name.
    pub name: String,
    /// The description.
    pub about: String,
    /// The kind.
    pub kind: &'static Kind,
    /// The configured experiment.
    pub runner: Box<dyn ScaleKind>,
    /// The conditions on its figures.
    pub checks: Vec<ScaleCheck>,
}

impl ScaleExperiment {
    /// Reads a file; `None` if it has no table of a known kind, as it may be another type of experiment.
    pub fn load(path: &Path) -> Result<Option<Self>, ExperimentError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ExperimentError::Unreadable { path: path.to_owned(), error })?;
        Self::parse(&text)
            .map_err(|diagnostics| ExperimentError::Invalid { path: path.to_owned(), diagnostics })
    }

    /// Parses the content of a file, as [`Self::load`] does.
    pub fn parse(text: &str) -> Result<Option<Self>, Vec<Diagnostic>> {
        // Invalid TOML is left to the reader of the other type of experiment, which reports the line.
        let Ok(file) = text.parse::<Table>() else { return Ok(None) };
        let Some(kind) = KINDS.iter().find(|kind| file.contains_key(kind.table)) else { return Ok(None) };
        let mut diagnostics = Vec::new();
        let experiment = Self::read(&file, kind, &mut diagnostics);
        match experiment {
            Some(experiment) if diagnostics.is_empty() => Ok(Some(experiment)),
            _ => Err(diagnostics),
        }
    }

    fn read(file: &Table, kind: &'static Kind, diagnostics: &mut Vec<Diagnostic>) -> Option<Self> {
        let mut top = TableReader::new("", file, diagnostics);
        top.check_keys(&["name", "about", "check", kind.table]);
        let name = top.required("name", "a text");
        let about = top.required("about", "a text");
        let settings: Option<Table> = top.required(kind.table, "a table");
        let checks: Vec<Value> = top.optional("check", "[[check]] tables").unwrap_or_default();
        let runner =
            settings.and_then(|table| (kind.read)(TableReader::new(kind.table, &table, diagnostics)));
        let groups = runner.as_ref().map(|runner| runner.groups());
        let checks = read_checks(&checks, &(kind.figures)(), groups.as_deref(), diagnostics);
        Some(Self { name: name?, about: about?, kind, runner: runner?, checks })
    }

    /// Runs the experiment and evaluates its checks.
    pub fn run(&self, options: &RunOptions) -> Result<(Vec<ScaleRun>, Vec<CheckOutcome>), Box<dyn Error>> {
        let runs = self.runner.run(options)?;
        let outcomes = self.checks.iter().flat_map(|check| check.judge(&runs)).collect();
        Ok((runs, outcomes))
    }
}

fn read_checks(
    checks: &[Value],
    figures: &[FigureMeaning],
    groups: Option<&[String]>,
    diagnostics: &mut Vec<Diagnostic>,
) -> Vec<ScaleCheck> {
    let mut read = Vec::new();
    for (index, check) in checks.iter().enumerate() {
        let location = format!("check {}", index + 1);
        match check {
            Value::Table(table) => {
                read.extend(ScaleCheck::read(
                    TableReader::new(&location, table, diagnostics),
                    figures,
                    groups,
                ));
            }
            other => {
                let what = format!("found {other}, expected a table");
                diagnostics.push(Diagnostic { location, message: what });
            }
        }
    }
    diagnostics.extend(duplicate_names(checks));
    read
}
