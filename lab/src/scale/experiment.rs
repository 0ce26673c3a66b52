//! One file: its name, what it shows, its kind and its checks.

use super::check::double_names;
use super::{
    CheckOutcome, FigureMeaning, Kind, RunOptions, ScaleCheck, ScaleKind, ScaleRun, TableReader, KINDS,
};
use crate::experiment::{Diagnostic, ExperimentError};
use std::error::Error;
use std::path::Path;
use toml::{Table, Value};

/// An experiment of scale.
pub struct ScaleExperiment {
    /// Its name.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// Its kind.
    pub kind: &'static Kind,
    /// What it does.
    pub does: Box<dyn ScaleKind>,
    /// What has to hold.
    pub checks: Vec<ScaleCheck>,
}

impl ScaleExperiment {
    /// Reads a file; none where it has the table of no kind: it may be an experiment of the other sort.
    pub fn load(path: &Path) -> Result<Option<Self>, ExperimentError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ExperimentError::Unreadable { path: path.to_owned(), error })?;
        Self::parse(&text)
            .map_err(|faults| ExperimentError::Invalid { path: path.to_owned(), diagnostics: faults })
    }

    /// Reads a text.
    pub fn parse(text: &str) -> Result<Option<Self>, Vec<Diagnostic>> {
        // What is no TOML at all is told by the reader of the other sort, with its line.
        let Ok(file) = text.parse::<Table>() else { return Ok(None) };
        let Some(kind) = KINDS.iter().find(|kind| file.contains_key(kind.table)) else { return Ok(None) };
        let mut faults = Vec::new();
        let experiment = Self::read(&file, kind, &mut faults);
        match experiment {
            Some(experiment) if faults.is_empty() => Ok(Some(experiment)),
            _ => Err(faults),
        }
    }

    fn read(file: &Table, kind: &'static Kind, faults: &mut Vec<Diagnostic>) -> Option<Self> {
        let mut top = TableReader::new("", file, faults);
        top.only(&["name", "about", "check", kind.table]);
        let name = top.required("name", "a text");
        let about = top.required("about", "a text");
        let settings: Option<Table> = top.required(kind.table, "a table");
        let checks: Vec<Value> = top.optional("check", "[[check]] tables").unwrap_or_default();
        let does = settings.and_then(|table| (kind.read)(TableReader::new(kind.table, &table, faults)));
        let groups = does.as_ref().map(|does| does.groups());
        let checks = read_checks(&checks, &(kind.figures)(), groups.as_deref(), faults);
        Some(Self { name: name?, about: about?, kind, does: does?, checks })
    }

    /// Runs it, and holds its checks against the runs.
    pub fn run(&self, options: &RunOptions) -> Result<(Vec<ScaleRun>, Vec<CheckOutcome>), Box<dyn Error>> {
        let runs = self.does.run(options)?;
        let outcomes = self.checks.iter().flat_map(|check| check.judge(&runs)).collect();
        Ok((runs, outcomes))
    }
}

fn read_checks(
    checks: &[Value],
    figures: &[FigureMeaning],
    groups: Option<&[String]>,
    faults: &mut Vec<Diagnostic>,
) -> Vec<ScaleCheck> {
    let mut read = Vec::new();
    for (place, check) in checks.iter().enumerate() {
        let place = format!("check {}", place + 1);
        match check {
            Value::Table(table) => {
                read.extend(ScaleCheck::read(TableReader::new(&place, table, faults), figures, groups));
            }
            other => {
                let what = format!("found {other}, expected a table");
                faults.push(Diagnostic { location: place, message: what });
            }
        }
    }
    faults.extend(double_names(checks));
    read
}
