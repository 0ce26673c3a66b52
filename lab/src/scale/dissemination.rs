//! Experiments of kind `[dissemination]`: a constant load of log entries and state changes in simulated time, at several
//! fleet sizes.

use super::{FigureMeaning, Kind, RunOptions, ScaleKind, ScaleRun, TableReader};
use crate::dissemination::figures::{run_all, Membership, FIGURES};
use crate::dissemination::scenario::{Load, Outcome};
use indicatif::ProgressBar;
use serde::Serialize;
use std::error::Error;

/// Settings of the experiment; all combinations of `nodes` and `loss` are run.
#[derive(Clone, Debug, Serialize)]
pub struct DisseminationExperiment {
    /// Fleet sizes, in nodes.
    pub nodes: Vec<usize>,
    /// Datagram loss rates, from 0 to 1.
    pub loss: Vec<f64>,
    /// Log entries published per second.
    pub entries_per_second: u64,
    /// Payload size of each entry.
    pub entry_bytes: usize,
    /// Duration of the load.
    pub seconds: u64,
    /// Interval between state changes; 0 disables them.
    pub state_every_s: u64,
    /// Time at which a zone fails, if one does.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone_lost_after_s: Option<u64>,
    /// The membership implementation that nodes use.
    pub membership: Membership,
}

const KEYS: [&str; 8] = [
    "nodes",
    "loss",
    "entries_per_second",
    "entry_bytes",
    "seconds",
    "state_every_s",
    "zone_lost_after_s",
    "membership",
];

impl DisseminationExperiment {
    /// The kind of files with a table `[dissemination]`.
    pub const KIND: Kind = Kind { table: "dissemination", read: Self::read, figures };

    fn read(mut reader: TableReader) -> Option<Box<dyn ScaleKind>> {
        reader.check_keys(&KEYS);
        let planned = Load::planned(2, 0.0, 0);
        let whole = "a whole number";
        let read = Self {
            nodes: reader.required("nodes", "a list of numbers").unwrap_or_default(),
            loss: reader.optional("loss", "a list of parts from 0 to 1").unwrap_or_else(|| vec![0.0]),
            entries_per_second: reader
                .optional("entries_per_second", whole)
                .unwrap_or(planned.entries_per_second),
            entry_bytes: reader.optional("entry_bytes", whole).unwrap_or(planned.entry_bytes),
            seconds: reader.optional("seconds", whole).unwrap_or(planned.seconds),
            state_every_s: reader.optional("state_every_s", whole).unwrap_or(planned.state_every_s),
            zone_lost_after_s: reader.optional("zone_lost_after_s", whole),
            membership: reader.optional("membership", "one of real, stand-in").unwrap_or_default(),
        };
        for nodes in &read.nodes {
            reader.check_range("nodes", *nodes as f64, 2.0, 20_000.0);
        }
        for loss in &read.loss {
            reader.check_range("loss", *loss, 0.0, 0.9);
        }
        reader.check_range("entries_per_second", read.entries_per_second as f64, 1.0, 1_000.0);
        reader.check_range("entry_bytes", read.entry_bytes as f64, 16.0, 1_024.0);
        reader.check_range("seconds", read.seconds as f64, 1.0, 3_600.0);
        reader.is_valid().then(|| Box::new(read) as Box<dyn ScaleKind>)
    }

    fn loads(&self, options: &RunOptions) -> Vec<Load> {
        let mut loads = Vec::new();
        for &nodes in &self.nodes {
            for &loss in &self.loss {
                loads.extend(options.seeds.clone().map(|seed| Load {
                    nodes,
                    loss,
                    seed,
                    entries_per_second: self.entries_per_second,
                    entry_bytes: self.entry_bytes,
                    seconds: self.seconds,
                    state_every_s: self.state_every_s,
                    zone_lost_after_s: self.zone_lost_after_s,
                }));
            }
        }
        loads
    }
}

impl ScaleKind for DisseminationExperiment {
    fn groups(&self) -> Vec<String> {
        self.loss.iter().map(|loss| group(*loss)).collect()
    }

    fn settings(&self) -> Result<toml::Value, toml::ser::Error> {
        toml::Value::try_from(self)
    }

    fn run(&self, options: &RunOptions) -> Result<Vec<ScaleRun>, Box<dyn Error>> {
        let loads = self.loads(options);
        let bar = ProgressBar::new(loads.len() as u64);
        let outcomes = run_all(&loads, self.membership, options.simulated_jobs(), || bar.inc(1));
        bar.finish_and_clear();
        Ok(outcomes.iter().map(as_run).collect())
    }
}

fn figures() -> Vec<FigureMeaning> {
    FIGURES.iter().map(|figure| FigureMeaning { name: figure.name, meaning: figure.meaning }).collect()
}

fn group(loss: f64) -> String {
    format!("loss {loss}")
}

fn as_run(outcome: &Outcome) -> ScaleRun {
    let load = &outcome.load;
    ScaleRun {
        label: format!("{} nodes, loss {}", load.nodes, load.loss),
        group: group(load.loss),
        seed: load.seed,
        figures: FIGURES.iter().map(|figure| (figure.name, (figure.value)(outcome))).collect(),
        void: None,
    }
}
