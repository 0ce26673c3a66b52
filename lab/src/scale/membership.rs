//! Experiments of kind `[membership]`: membership cases in simulated time, at several fleet sizes.

use super::{FigureMeaning, Kind, RunOptions, ScaleKind, ScaleRun, TableReader};
use crate::cluster::cases::{run_all, Case, CaseOutcome, Scenario, ALL_CASES, FIGURES};
use crate::cluster::Topology;
use crate::model::{micros, SECOND};
use indicatif::ProgressBar;
use serde::Serialize;
use std::error::Error;
use std::time::Duration;

/// Settings of the experiment; all combinations of `cases`, `nodes` and `loss` are run.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipExperiment {
    /// The simulated cases.
    pub cases: Vec<Case>,
    /// Fleet sizes, in nodes.
    pub nodes: Vec<usize>,
    /// Datagram loss rates, from 0 to 1.
    pub loss: Vec<f64>,
    /// The network topology.
    pub topology: Topology,
    /// Delay from the time all nodes have joined to the start of a case.
    #[serde(with = "humantime_serde")]
    pub settle: Duration,
    /// Duration of the idle case `rest`.
    #[serde(with = "humantime_serde")]
    pub rest: Duration,
}

/// Long enough for traffic caused by joining to end.
const DEFAULT_SETTLE: Duration = Duration::from_secs(30);
const DEFAULT_REST: Duration = Duration::from_secs(30);
const KEYS: [&str; 6] = ["cases", "nodes", "loss", "topology", "settle", "rest"];

impl MembershipExperiment {
    /// The kind of files with a table `[membership]`.
    pub const KIND: Kind = Kind { table: "membership", read: Self::read, figures };

    fn read(mut reader: TableReader) -> Option<Box<dyn ScaleKind>> {
        reader.check_keys(&KEYS);
        let names: Vec<_> = ALL_CASES.iter().map(|case| case.name()).collect();
        let cases = reader.required("cases", &format!("a list of {}", names.join(", ")));
        let read = Self {
            cases: cases.unwrap_or_default(),
            nodes: reader.required("nodes", "a list of numbers").unwrap_or_default(),
            loss: reader.optional("loss", "a list of parts from 0 to 1").unwrap_or_else(|| vec![0.0]),
            topology: reader.optional("topology", "one of flat, regions").unwrap_or_default(),
            settle: reader.duration("settle").unwrap_or(DEFAULT_SETTLE),
            rest: reader.duration("rest").unwrap_or(DEFAULT_REST),
        };
        read.validate(&mut reader);
        reader.is_valid().then(|| Box::new(read) as Box<dyn ScaleKind>)
    }

    fn validate(&self, reader: &mut TableReader) {
        let lists = [("cases", self.cases.len()), ("nodes", self.nodes.len()), ("loss", self.loss.len())];
        for (key, _) in lists.iter().filter(|(_, length)| *length == 0) {
            if reader.has(key) && reader.is_valid() {
                reader.fault(key, "an empty list", "one value and more");
            }
        }
        for nodes in &self.nodes {
            reader.check_range("nodes", *nodes as f64, 2.0, 20_000.0);
        }
        for loss in &self.loss {
            reader.check_range("loss", *loss, 0.0, 0.9);
        }
        reader.check_range("settle", self.settle.as_secs_f64(), 0.0, 3_600.0);
        reader.check_range("rest", self.rest.as_secs_f64(), 1.0, 86_400.0);
        // It suffices to check the smallest size of each case; sizes below 2 are reported above.
        for case in &self.cases {
            let refused =
                self.nodes.iter().min().and_then(|nodes| self.scenario(*case, *nodes, 0.0, 0).check().err());
            if let Some(refused) = refused.filter(|refused| refused.nodes >= 2) {
                let expected = format!("{} and more for {}", refused.expected, case.name());
                reader.fault("nodes", &refused.nodes.to_string(), &expected);
            }
        }
    }

    fn scenario(&self, case: Case, nodes: usize, loss: f64, seed: u64) -> Scenario {
        let (settle, rest) = (micros(self.settle), micros(self.rest).max(SECOND));
        Scenario { loss, topology: self.topology, settle, rest, ..Scenario::new(case, nodes, seed) }
    }

    fn scenarios(&self, options: &RunOptions) -> Vec<Scenario> {
        let mut scenarios = Vec::new();
        for case in &self.cases {
            for nodes in &self.nodes {
                for loss in &self.loss {
                    scenarios
                        .extend(options.seeds.clone().map(|seed| self.scenario(*case, *nodes, *loss, seed)));
                }
            }
        }
        scenarios
    }
}

impl ScaleKind for MembershipExperiment {
    fn groups(&self) -> Vec<String> {
        self.cases.iter().map(|case| case.name()).collect()
    }

    fn settings(&self) -> Result<toml::Value, toml::ser::Error> {
        toml::Value::try_from(self)
    }

    fn run(&self, options: &RunOptions) -> Result<Vec<ScaleRun>, Box<dyn Error>> {
        let scenarios = self.scenarios(options);
        let bar = ProgressBar::new(scenarios.len() as u64);
        let outcomes = run_all(&scenarios, options.simulated_jobs(), || bar.inc(1))?;
        bar.finish_and_clear();
        Ok(outcomes.iter().map(as_run).collect())
    }
}

fn figures() -> Vec<FigureMeaning> {
    FIGURES.iter().map(|figure| FigureMeaning { name: figure.name, meaning: figure.meaning }).collect()
}

fn as_run(outcome: &CaseOutcome) -> ScaleRun {
    let Scenario { case, nodes, loss, topology, seed, .. } = outcome.scenario;
    let figures =
        FIGURES.iter().filter_map(|figure| (figure.value)(outcome).map(|value| (figure.name, value)));
    ScaleRun {
        label: format!("{}, {nodes} nodes, loss {loss}, {}", case.name(), topology.name()),
        group: case.name(),
        seed,
        figures: figures.collect(),
        void: None,
    }
}
