//! Experiments of scale: files that `walkpick-lab run`, `list` and `explain` know by a top-level table of their own beside
//! `name`, `about` and `[[check]]`. A kind implements [`ScaleKind`] and has a line in [`KINDS`].

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

/// One kind of experiment.
pub struct Kind {
    /// The table that makes a file one of this kind.
    pub table: &'static str,
    /// Reads that table; none where it has faults.
    pub read: fn(TableReader) -> Option<Box<dyn ScaleKind>>,
    /// Figures that checks may name.
    pub figures: fn() -> Vec<FigureMeaning>,
}

/// All kinds.
pub const KINDS: [Kind; 3] = [DisseminationExperiment::KIND, Hollow::KIND, MembershipExperiment::KIND];

/// What one kind of experiment does.
pub trait ScaleKind {
    /// Groups of runs that checks may name: cases, for instance.
    fn groups(&self) -> Vec<String>;

    /// All settings, those that the file leaves out among them.
    fn settings(&self) -> Result<toml::Value, toml::ser::Error>;

    /// Runs it.
    fn run(&self, options: &RunOptions) -> Result<Vec<ScaleRun>, Box<dyn Error>>;
}

/// A figure that may be checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FigureMeaning {
    /// Its name.
    pub name: &'static str,
    /// What it means.
    pub meaning: &'static str,
}

/// How an experiment is run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Each run is made on each of these.
    pub seeds: Range<u64>,
    /// Simulated runs at once; as many as there are cores where it is not given.
    pub jobs: Option<usize>,
    /// The node's program, where real nodes run; the one beside this program where it is not given.
    pub node: Option<PathBuf>,
    /// Where configurations and logs of real processes stay; they go with the run where it is not given.
    pub logs: Option<PathBuf>,
    /// A run in real time is void if one in a hundred things came later than this, or one ten times as late.
    pub lateness: Duration,
}

impl RunOptions {
    /// Simulated runs at once.
    pub fn simulated_jobs(&self) -> usize {
        self.jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from))
    }
}

/// One run and its figures.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct ScaleRun {
    /// Which run it is, in words.
    pub label: String,
    /// The group that it belongs to.
    pub group: String,
    /// The seed.
    pub seed: u64,
    /// Figures by name; a missing one was not reached, or does not apply.
    pub figures: BTreeMap<&'static str, f64>,
    /// Why nothing can be concluded from it, where that is so.
    pub void: Option<String>,
}

#[cfg(test)]
mod tests;
