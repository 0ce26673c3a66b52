//! `walkpick-lab hollow`: runs hollow nodes, told on the command line or by an experiment file.

use crate::experiment::ExperimentError;
use crate::hollow::process::{self, ProcessFault};
use crate::hollow::run::{run as run_one, HollowRun, RunOptions, RunPlan};
use crate::hollow::series::series;
use crate::hollow::settings::{Check, FaultKind, Hollow, HollowExperiment, HollowFault};
use clap::Args;
use serde::Serialize;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::error::Error;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
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
    #[command(flatten)]
    how: HollowHow,
}

/// How runs are carried out and where their results go.
#[derive(Clone, Debug, Default, Args)]
pub struct HollowHow {
    /// The node's program, for complete nodes; the one beside this program where it is not given
    #[arg(long)]
    pub node: Option<PathBuf>,
    /// Where configurations and logs of complete nodes stay; where it is not given, they go with the run
    #[arg(long)]
    pub logs: Option<PathBuf>,
    /// Write all results here as JSON
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Write the figures here as series against the number of nodes, as JSON
    #[arg(long)]
    pub series: Option<PathBuf>,
}

/// Which seeds are run.
#[derive(Clone, Copy, Debug)]
pub struct Seeds {
    /// The first.
    pub first: u64,
    /// How many.
    pub count: u64,
}

/// Results as JSON has them.
#[derive(Debug, Serialize)]
struct Written<'a> {
    experiment: &'a HollowExperiment,
    runs: &'a [HollowRun],
}

/// Carries out the command. `false`: a run is void, was ended early, or a check falls short.
pub fn run(args: &HollowArgs) -> Result<bool, Box<dyn Error>> {
    let experiment = HollowExperiment {
        name: "hollow".to_owned(),
        about: "hollow nodes, as the command line says".to_owned(),
        hollow: args.hollow()?,
        check: Vec::new(),
    };
    let faults = experiment.hollow.faults();
    if !faults.is_empty() {
        return Err(ExperimentError::Faulty { path: "command line".into(), faults }.into());
    }
    run_experiment(&experiment, Seeds { first: args.seed, count: args.seeds }, &args.how)
}

impl HollowArgs {
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

/// Runs each size with each loss on each seed, and holds every run against the checks.
pub fn run_experiment(
    experiment: &HollowExperiment,
    seeds: Seeds,
    how: &HollowHow,
) -> Result<bool, Box<dyn Error>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        // A second one ends this process at once, and its children with it.
        signal_hook::flag::register_conditional_shutdown(signal, 130, Arc::clone(&stop))?;
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let plans = plans(&experiment.hollow, seeds);
    let mut runs = Vec::new();
    for plan in &plans {
        tell_need(plan)?;
        let options = options(how, plan);
        let ran = run_one(plan, &options, &stop);
        if how.logs.is_none() && ran.is_ok() {
            // What is left behind is a folder of the system's for such things.
            let _ = std::fs::remove_dir_all(&options.folder);
        }
        runs.push(ran?);
        if stop.load(Ordering::Relaxed) {
            break;
        }
    }
    if let Some(path) = &how.json {
        std::fs::write(path, serde_json::to_vec_pretty(&Written { experiment, runs: &runs })?)?;
    }
    if let Some(path) = &how.series {
        std::fs::write(path, serde_json::to_vec_pretty(&series(&runs, &command()))?)?;
    }
    show(&mut io::stdout().lock(), experiment, &runs)
}

fn plans(hollow: &Hollow, seeds: Seeds) -> Vec<RunPlan> {
    let mut plans = Vec::new();
    for &nodes in &hollow.nodes {
        for &loss in &hollow.loss {
            let of_seeds = (seeds.first..seeds.first.saturating_add(seeds.count)).map(|seed| RunPlan {
                nodes,
                loss,
                seed,
                hollow: hollow.clone(),
            });
            plans.extend(of_seeds);
        }
    }
    plans
}

fn options(how: &HollowHow, plan: &RunPlan) -> RunOptions {
    let lab = std::env::current_exe().unwrap_or_else(|_| "walkpick-lab".into());
    let folder = how.logs.clone().unwrap_or_else(std::env::temp_dir);
    let RunPlan { nodes, loss, seed, .. } = plan;
    RunOptions {
        program: how.node.clone().unwrap_or_else(|| lab.with_file_name("walkpick")),
        folder: folder.join(format!("walkpick-hollow-{}-{nodes}-{loss}-{seed}", std::process::id())),
        lab,
    }
}

fn tell_need(plan: &RunPlan) -> io::Result<()> {
    let need = plan.need();
    writeln!(
        io::stderr(),
        "{} hollow nodes in {} processes and {} complete ones, loss {}, seed {}: at most {} processes and {} MiB",
        plan.nodes,
        plan.processes(),
        plan.hollow.complete,
        plan.loss,
        plan.seed,
        need.processes,
        need.bytes / (1024 * 1024),
    )
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

fn show(
    out: &mut impl Write,
    experiment: &HollowExperiment,
    runs: &[HollowRun],
) -> Result<bool, Box<dyn Error>> {
    let mut good = true;
    for run in runs {
        let HollowRun { nodes, complete, loss, seed, .. } = run;
        let which = format!("{nodes} hollow and {complete} complete nodes, loss {loss}, seed {seed}");
        if run.interrupted {
            writeln!(out, "{which}: ended early, nothing is judged")?;
            good = false;
            continue;
        }
        writeln!(out, "{which}")?;
        for (name, value) in &run.figures {
            writeln!(out, "  {name:24} {value:.4}")?;
        }
        if let Some(why) = &run.void {
            writeln!(out, "  void: {why}")?;
            good = false;
            continue;
        }
        for check in &experiment.check {
            good &= show_check(out, check, run)?;
        }
    }
    Ok(good)
}

fn show_check(out: &mut impl Write, check: &Check, run: &HollowRun) -> io::Result<bool> {
    let value = run.figures.get(&check.figure).copied();
    let holds = check.holds(value);
    let word = if holds { "holds" } else { "FALLS SHORT" };
    let value = value.map_or_else(|| "not reached".to_owned(), |value| format!("{value:.4}"));
    writeln!(out, "  {}: {} {value}, {}: {word}", check.name, check.figure, check.bound())?;
    Ok(holds)
}
