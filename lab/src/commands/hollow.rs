//! `walkpick-lab hollow`: runs hollow nodes as configured on the command line.

use crate::experiment::{Diagnostic, ExperimentError};
use crate::hollow::batch::{run_all, BatchOptions};
use crate::hollow::process::{self, ProcessError};
use crate::hollow::run::HollowRun;
use crate::hollow::series::series;
use crate::hollow::settings::{FaultKind, Hollow, HollowFault, InvalidSetting, Publish};
use crate::slopes::write_series;
use clap::Args;
use serde::Serialize;
use std::error::Error;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Arguments of the command.
#[derive(Debug, Args)]
pub struct HollowArgs {
    /// Numbers of hollow nodes; each is run with each loss
    #[arg(long, value_delimiter = ',', default_value = "530")]
    nodes: Vec<usize>,
    /// Processes that share the hollow nodes
    #[arg(long, default_value_t = 16)]
    processes: usize,
    /// Complete nodes beside them, under load
    #[arg(long, default_value_t = 0)]
    complete: usize,
    /// Fractions of datagrams lost
    #[arg(long, value_delimiter = ',', default_value = "0")]
    loss: Vec<f64>,
    /// Seconds over which node starts are spread
    #[arg(long, default_value_t = 10.0)]
    start: f64,
    /// Seconds from the first start within which nodes are to converge
    #[arg(long, default_value_t = 20.0)]
    meet: f64,
    /// End as soon as nodes have converged
    #[arg(long)]
    until_met: bool,
    /// Seconds without events after that
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// Faults after that, one after the other
    #[arg(long, value_delimiter = ',')]
    fault: Vec<FaultKind>,
    /// After the rest, publish this many log entries per second, and a state version at intervals
    #[arg(long)]
    purges: Option<u32>,
    /// Seconds of publishing
    #[arg(long, default_value_t = 60.0)]
    publish_seconds: f64,
    /// Begin faults during publishing rather than after it
    #[arg(long)]
    with_faults: bool,
    /// How long a region stays cut off
    #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
    cut: Duration,
    /// One-way delay between the regions farthest apart
    #[arg(long, default_value = "200ms", value_parser = humantime::parse_duration)]
    farthest: Duration,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// A run is void if the 99th percentile of lateness exceeds this, or the maximum exceeds ten times this
    #[arg(long, default_value = "10ms", value_parser = humantime::parse_duration)]
    lateness: Duration,
    /// Probe interval
    #[arg(long, default_value = "400ms", value_parser = humantime::parse_duration)]
    probe_every: Duration,
    /// Timeout of a direct probe before indirect probes are sent; at most half of the probe interval
    #[arg(long, default_value = "180ms", value_parser = humantime::parse_duration)]
    probe_timeout: Duration,
    /// Path of the node's program, for complete nodes; by default the one in the directory of this program
    #[arg(long)]
    node: Option<PathBuf>,
    /// Keep configurations and logs of complete nodes in this directory; by default they are removed after each run
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Write all results to this file as JSON
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write the figures to this file as JSON series over the number of nodes
    #[arg(long)]
    series: Option<PathBuf>,
}

/// The JSON output.
#[derive(Debug, Serialize)]
struct JsonOutput<'a> {
    hollow: &'a Hollow,
    runs: &'a [HollowRun],
}

/// Carries out the command. Returns `false` if a run is void or was stopped early.
pub fn run(args: &HollowArgs) -> Result<bool, Box<dyn Error>> {
    let hollow = args.hollow()?;
    let diagnostics: Vec<_> = hollow.validate().into_iter().map(to_diagnostic).collect();
    if !diagnostics.is_empty() {
        return Err(ExperimentError::Invalid { path: "command line".into(), diagnostics }.into());
    }
    let seeds = args.seed..args.seed.saturating_add(args.seeds);
    let batch = BatchOptions { seeds, node: args.node.clone(), logs: args.logs.clone() };
    let runs = run_all(&hollow, &batch)?;
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_vec_pretty(&JsonOutput { hollow: &hollow, runs: &runs })?)?;
    }
    if let Some(path) = &args.series {
        write_series(path, &series(&runs, &command()))?;
    }
    print_runs(&mut io::stdout().lock(), &runs)?;
    Ok(runs.iter().all(|run| run.void.is_none() && !run.interrupted))
}

fn to_diagnostic(invalid: InvalidSetting) -> Diagnostic {
    Diagnostic {
        location: invalid.key,
        message: format!("found {}, expected {}", invalid.found, invalid.expected),
    }
}

impl HollowArgs {
    fn publish(&self) -> Result<Option<Publish>, Box<dyn Error>> {
        let Some(per_second) = self.purges else { return Ok(None) };
        let lasts = Duration::try_from_secs_f64(self.publish_seconds)?;
        Ok(Some(Publish { per_second, lasts, with_faults: self.with_faults, ..Publish::default() }))
    }

    fn hollow(&self) -> Result<Hollow, Box<dyn Error>> {
        let fault = |what: &FaultKind| {
            let lasts = match what {
                FaultKind::Region => self.cut,
                FaultKind::Restart => Duration::from_secs(1),
                _ => Duration::from_secs(12),
            };
            HollowFault { what: *what, lasts, after: Duration::from_secs(12) }
        };
        let mut hollow = Hollow {
            nodes: self.nodes.clone(),
            processes: self.processes,
            complete: self.complete,
            loss: self.loss.clone(),
            start: Duration::try_from_secs_f64(self.start)?,
            meet: Duration::try_from_secs_f64(self.meet)?,
            end_when_met: self.until_met,
            rest: Duration::try_from_secs_f64(self.seconds)?,
            lateness: self.lateness,
            probe_every: self.probe_every,
            probe_timeout: self.probe_timeout,
            publish: self.publish()?,
            fault: self.fault.iter().map(fault).collect(),
            ..Hollow::default()
        };
        hollow.map.farthest = self.farthest;
        Ok(hollow)
    }
}

/// Serves as a hollow process of the lab that started it.
pub fn run_process() -> Result<bool, Box<dyn Error>> {
    process::serve().map(|()| true).map_err(|error: ProcessError| error.into())
}

/// The command line of this process, without the directory of the program.
fn command() -> String {
    let mut arguments: Vec<String> = std::env::args().collect();
    if let Some(program) = arguments.first_mut() {
        let name = Path::new(program).file_name().map(|name| name.to_string_lossy().into_owned());
        *program = name.unwrap_or_else(|| "walkpick-lab".to_owned());
    }
    arguments.join(" ")
}

fn print_runs(out: &mut impl Write, runs: &[HollowRun]) -> io::Result<()> {
    for run in runs {
        let HollowRun { nodes, complete, loss, seed, .. } = run;
        writeln!(out, "{nodes} hollow and {complete} complete nodes, loss {loss}, seed {seed}")?;
        if run.interrupted {
            writeln!(out, "  ended early: nothing is judged")?;
        }
        for (name, value) in &run.figures {
            writeln!(out, "  {name:24} {value:.4}")?;
        }
        if let Some(why) = &run.void {
            writeln!(out, "  void: {why}")?;
        }
    }
    Ok(())
}
