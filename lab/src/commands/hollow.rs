//! `walkpick-lab hollow`: runs hollow nodes, told on the command line.

use crate::experiment::{Diagnostic, ExperimentError};
use crate::hollow::play::{play_all, PlayOptions};
use crate::hollow::process::{self, ProcessFault};
use crate::hollow::run::HollowRun;
use crate::hollow::series::series;
use crate::hollow::settings::{FaultKind, Hollow, HollowFault, Publish, Wrong};
use crate::slopes::write_series;
use clap::Args;
use serde::Serialize;
use std::error::Error;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The arguments.
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
    /// Parts of the datagrams that are lost
    #[arg(long, value_delimiter = ',', default_value = "0")]
    loss: Vec<f64>,
    /// Over so many seconds nodes start
    #[arg(long, default_value_t = 10.0)]
    start: f64,
    /// Nodes have so many seconds to meet, from the first start on
    #[arg(long, default_value_t = 20.0)]
    meet: f64,
    /// End as soon as they have met
    #[arg(long)]
    until_met: bool,
    /// For so many seconds nothing happens after that
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// What happens then, one after the other
    #[arg(long, value_delimiter = ',')]
    fault: Vec<FaultKind>,
    /// After the rest, publish so many entries a second, and a version of a state now and then
    #[arg(long)]
    purges: Option<u32>,
    /// For so many seconds
    #[arg(long, default_value_t = 60.0)]
    publish_seconds: f64,
    /// Faults begin while entries flow, in place of after them
    #[arg(long)]
    with_faults: bool,
    /// How long a region stays cut off
    #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
    cut: Duration,
    /// One way between opposite regions
    #[arg(long, default_value = "200ms", value_parser = humantime::parse_duration)]
    farthest: Duration,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, from that one on
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// A run in which one in a hundred things came later than this, or one ten times as late, is void
    #[arg(long, default_value = "10ms", value_parser = humantime::parse_duration)]
    lateness: Duration,
    /// Each node probes another one this often
    #[arg(long, default_value = "400ms", value_parser = humantime::parse_duration)]
    probe_every: Duration,
    /// An answer that takes longer is asked for by way of others; at the most half of that
    #[arg(long, default_value = "180ms", value_parser = humantime::parse_duration)]
    probe_timeout: Duration,
    /// The node's program, for complete nodes; the one beside this program where it is not given
    #[arg(long)]
    node: Option<PathBuf>,
    /// Where configurations and logs of complete nodes stay; where it is not given, they go with the run
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Write all results here as JSON
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write the figures here as series against the number of nodes, as JSON
    #[arg(long)]
    series: Option<PathBuf>,
}

/// Results as JSON has them.
#[derive(Debug, Serialize)]
struct Written<'a> {
    hollow: &'a Hollow,
    runs: &'a [HollowRun],
}

/// Carries out the command. `false`: a run is void or was ended early.
pub fn run(args: &HollowArgs) -> Result<bool, Box<dyn Error>> {
    let hollow = args.hollow()?;
    let faults: Vec<_> = hollow.faults().into_iter().map(as_fault).collect();
    if !faults.is_empty() {
        return Err(ExperimentError::Invalid { path: "command line".into(), diagnostics: faults }.into());
    }
    let seeds = args.seed..args.seed.saturating_add(args.seeds);
    let how = PlayOptions { seeds, node: args.node.clone(), logs: args.logs.clone() };
    let runs = play_all(&hollow, &how)?;
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_vec_pretty(&Written { hollow: &hollow, runs: &runs })?)?;
    }
    if let Some(path) = &args.series {
        write_series(path, &series(&runs, &command()))?;
    }
    show(&mut io::stdout().lock(), &runs)?;
    Ok(runs.iter().all(|run| run.void.is_none() && !run.interrupted))
}

fn as_fault(wrong: Wrong) -> Diagnostic {
    Diagnostic { location: wrong.key, message: format!("found {}, expected {}", wrong.found, wrong.expected) }
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

/// Becomes a hollow process of the lab that started it.
pub fn run_process() -> Result<bool, Box<dyn Error>> {
    process::serve().map(|()| true).map_err(|error: ProcessFault| error.into())
}

/// The command that this process was started with, without its folder.
fn command() -> String {
    let mut words: Vec<String> = std::env::args().collect();
    if let Some(program) = words.first_mut() {
        let name = Path::new(program).file_name().map(|name| name.to_string_lossy().into_owned());
        *program = name.unwrap_or_else(|| "walkpick-lab".to_owned());
    }
    words.join(" ")
}

fn show(out: &mut impl Write, runs: &[HollowRun]) -> io::Result<()> {
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
