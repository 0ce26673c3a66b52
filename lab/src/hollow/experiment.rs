//! The experiment kind `[hollow]`: hollow nodes in real time, configured by a file.

use super::batch::{run_all, BatchOptions};
use super::figures::{figure_meanings, known_name};
use super::places::Map;
use super::run::HollowRun;
use super::settings::{Hollow, HollowFault, Publish};
use crate::scale::{Kind, RunOptions, ScaleKind, ScaleRun, TableReader};
use std::error::Error;
use toml::{Table, Value};

const KEYS: [&str; 14] = [
    "nodes",
    "processes",
    "complete",
    "loss",
    "start",
    "meet",
    "end_when_met",
    "rest",
    "lateness",
    "probe_every",
    "probe_timeout",
    "regions",
    "zones",
    "farthest",
];
const TABLES: [&str; 2] = ["publish", "fault"];

impl Hollow {
    /// The experiment kind `[hollow]`.
    pub const KIND: Kind = Kind { table: "hollow", read, figures: figure_meanings };

    /// Reads the settings from a table; errors are reported to the reader.
    fn read(reader: &mut TableReader) -> Self {
        reader.check_keys(&[&KEYS[..], &TABLES].concat());
        let defaults = Self::default();
        let numbers = "a list of numbers";
        let map = Map {
            regions: reader.optional("regions", "a number").unwrap_or(defaults.map.regions),
            zones: reader.optional("zones", "a number").unwrap_or(defaults.map.zones),
            farthest: reader.duration("farthest").unwrap_or(defaults.map.farthest),
        };
        Self {
            nodes: reader.optional("nodes", numbers).unwrap_or(defaults.nodes),
            processes: reader.optional("processes", "a number").unwrap_or(defaults.processes),
            complete: reader.optional("complete", "a number").unwrap_or(defaults.complete),
            loss: reader.optional("loss", numbers).unwrap_or(defaults.loss),
            start: reader.duration("start").unwrap_or(defaults.start),
            meet: reader.duration("meet").unwrap_or(defaults.meet),
            end_when_met: reader.optional("end_when_met", "true or false").unwrap_or(defaults.end_when_met),
            rest: reader.duration("rest").unwrap_or(defaults.rest),
            lateness: reader.duration("lateness").unwrap_or(defaults.lateness),
            probe_every: reader.duration("probe_every").unwrap_or(defaults.probe_every),
            probe_timeout: reader.duration("probe_timeout").unwrap_or(defaults.probe_timeout),
            map,
            publish: read_publish(reader),
            fault: read_faults(reader),
        }
    }
}

fn read(mut reader: TableReader) -> Option<Box<dyn ScaleKind>> {
    let hollow = Hollow::read(&mut reader);
    for invalid in hollow.validate() {
        reader.fault(&invalid.key, &invalid.found, &invalid.expected);
    }
    reader.is_valid().then(|| Box::new(hollow) as Box<dyn ScaleKind>)
}

fn read_publish(reader: &mut TableReader) -> Option<Publish> {
    let table: Table = reader.optional("publish", "a table")?;
    let read = Value::Table(table).try_into::<Publish>();
    if let Err(error) = &read {
        let expected = "per_second, entry_bytes, lasts, state_every, state_bytes, drain, with_faults";
        reader.fault("publish", &error.message().replace('\n', " "), expected);
    }
    read.ok()
}

fn read_faults(reader: &mut TableReader) -> Vec<HollowFault> {
    let tables: Vec<Table> = reader.optional("fault", "[[hollow.fault]] tables").unwrap_or_default();
    let mut faults = Vec::new();
    for (index, table) in tables.into_iter().enumerate() {
        match Value::Table(table).try_into::<HollowFault>() {
            Ok(fault) => faults.push(fault),
            Err(error) => {
                let expected = "what (kill, rack, zone, restart or region), lasts, after";
                let found = error.message().replace('\n', " ");
                reader.fault(&format!("fault {}", index + 1), &found, expected);
            }
        }
    }
    faults
}

impl ScaleKind for Hollow {
    fn groups(&self) -> Vec<String> {
        self.loss.iter().map(|loss| group(*loss)).collect()
    }

    fn settings(&self) -> Result<Value, toml::ser::Error> {
        Value::try_from(self)
    }

    fn run(&self, options: &RunOptions) -> Result<Vec<ScaleRun>, Box<dyn Error>> {
        let batch = BatchOptions {
            seeds: options.seeds.clone(),
            node: options.node.clone(),
            logs: options.logs.clone(),
        };
        // On a busy machine the command line may allow more lateness than the file.
        let hollow = Self { lateness: self.lateness.max(options.lateness), ..self.clone() };
        let runs = run_all(&hollow, &batch)?;
        Ok(runs.iter().map(as_run).collect())
    }
}

fn group(loss: f64) -> String {
    format!("loss-{:.0}-percent", loss * 100.0)
}

fn as_run(run: &HollowRun) -> ScaleRun {
    let HollowRun { nodes, complete, loss, seed, .. } = run;
    let figures = run.figures.iter().filter_map(|(name, value)| Some((known_name(name)?, *value)));
    let ended_early = run.interrupted.then(|| "ended early: nothing is judged".to_owned());
    ScaleRun {
        label: format!("{nodes} hollow and {complete} complete nodes, loss {loss}"),
        group: group(*loss),
        seed: *seed,
        figures: figures.collect(),
        void: run.void.clone().or(ended_early),
    }
}

#[cfg(test)]
mod tests;
