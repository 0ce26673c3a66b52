//! Scale experiments: files that `walkpick-lab run`, `list` and `explain` recognize by the top-level table of their kind,
//! next to `name`, `about` and `[[check]]`. A kind implements [`ScaleKind`] and is listed in [`KINDS`].

mod check;
mod dissemination;
mod experiment;
mod membership;
mod reader;

pub use check::{CheckOutcome, ScaleCheck};
pub use dissemination::DisseminationExperiment;
pub use experiment::ScaleExperiment;
pub use membership::MembershipExperiment;
pub use reader::TableReader;

use crate::hollow::settings::Hollow;
use std::collections::BTreeMap;
use std::error::Error;
use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

/// A kind of scale experiment.
pub struct Kind {
    /// The top-level table that identifies files of this kind.
    pub table: &'static str,
    /// Reads that table; `None` if it has errors.
    pub read: fn(TableReader) -> Option<Box<dyn ScaleKind>>,
    /// The figures that checks may refer to.
    pub figures: fn() -> Vec<FigureMeaning>,
}

/// All kinds.
pub const KINDS: [Kind; 3] = [DisseminationExperiment::KIND, Hollow::KIND, MembershipExperiment::KIND];

/// A configured experiment of some kind.
pub trait ScaleKind {
    /// The groups of runs that checks may refer to, such as cases.
    fn groups(&self) -> Vec<String>;

    /// All settings, including defaults.
    fn settings(&self) -> Result<toml::Value, toml::ser::Error>;

    /// Runs the experiment.
    fn run(&self, options: &RunOptions) -> Result<Vec<ScaleRun>, Box<dyn Error>>;
}

/// A figure that checks may refer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FigureMeaning {
    /// The name.
    pub name: &'static str,
    /// The description.
    pub meaning: &'static str,
}

/// Options for running an experiment.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Each combination of settings is run with each of these seeds.
    pub seeds: Range<u64>,
    /// Number of concurrent simulated runs; defaults to the number of cores.
    pub jobs: Option<usize>,
    /// The executable for real nodes; defaults to the one next to this executable.
    pub node: Option<PathBuf>,
    /// Directory in which to keep configurations and logs of real processes; by default they are deleted after the run.
    pub logs: Option<PathBuf>,
    /// A real-time run is void if one in a hundred events is later than this, or one event is ten times as late.
    pub lateness: Duration,
}

impl RunOptions {
    /// Number of concurrent simulated runs.
    pub fn simulated_jobs(&self) -> usize {
        self.jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from))
    }
}

/// A run and its figures.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct ScaleRun {
    /// A description of the run's settings.
    pub label: String,
    /// The group of the run.
    pub group: String,
    /// The seed.
    pub seed: u64,
    /// Figures by name; a figure is absent if it was not reached or does not apply.
    pub figures: BTreeMap<&'static str, f64>,
    /// The reason why the run is void, if it is.
    pub void: Option<String>,
}

#[cfg(test)]
mod tests;
