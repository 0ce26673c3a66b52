//! walkpick-lab: runs failure experiments on an emulated deployment and evaluates the results.

use clap::{Args, Parser, Subcommand};
use indicatif::{MultiProgress, ProgressBar, ProgressStyle};
use serde::{Deserialize, Serialize};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::collections::BTreeMap;
use std::error::Error;
use std::ffi::OsString;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use walkpick_lab::capacity::{PageError, PlanError};
use walkpick_lab::cluster::cases::NotApplicable;
use walkpick_lab::commands::{
    capacity, dissemination, hollow, measure, membership, scale, slopes, UnknownName,
};
use walkpick_lab::experiment::{self, Arm, Driver, Experiment, ExperimentError, FaultKind, Policy};
use walkpick_lab::judge::{self, RunResult as Run};
use walkpick_lab::real::{self, process, Options, RealError};
use walkpick_lab::scale::{RunOptions, ScaleExperiment};
use walkpick_lab::slopes::SlopesError;
use walkpick_lab::world::World;
use walkpick_lab::{model, report};

#[derive(Debug, Parser)]
#[command(
    name = "walkpick-lab",
    version,
    about = "Runs failure experiments on an emulated deployment of walkpick"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run an experiment on one or more seeds and evaluate its checks
    Run(RunArgs),
    /// Run two arms on the same seeds and report whether they differ
    Compare(CompareArgs),
    /// Run an experiment with real nodes and in simulated time on the same seeds, and report how far the results differ
    Calibrate(CalibrateArgs),
    /// Run an ordered-dissemination workload on any number of peers in simulated time
    Dissemination(dissemination::DisseminationArgs),
    /// Run membership cases with any number of peers in simulated time
    Membership(membership::MembershipArgs),
    /// Compute the resources each role needs from a plan and the slopes, and write or check the capacity page
    Capacity(capacity::CapacityArgs),
    /// Add measured series to the slopes file, or show it
    Slopes(slopes::SlopesArgs),
    /// Run the control plane of many nodes in a few processes, on real sockets in real time
    Hollow(hollow::HollowArgs),
    /// Run as a process of hollow nodes controlled by the lab
    #[command(hide = true)]
    HollowProcess,
    /// Measure costs that grow with the fleet, as series for the capacity page
    Measure(measure::MeasureArgs),
    /// Run as a child process of `measure`
    #[command(hide = true, subcommand)]
    MeasureChild(measure::Child),
    /// Repeat the runs of a JSON result file and report whether the results are the same
    Replay {
        /// Result file written by `run --json`
        file: PathBuf,
        #[command(flatten)]
        driver_args: DriverArgs,
    },
    /// Write a template experiment
    Init {
        /// The file to create; an existing file is not overwritten
        file: PathBuf,
    },
    /// List the experiments in a folder
    List {
        /// The folder
        #[arg(default_value = "lab/experiments")]
        folder: PathBuf,
    },
    /// Describe an experiment and the meaning of each figure
    Explain {
        /// The experiment file
        file: PathBuf,
    },
    /// Execute a program that is killed when its parent exits
    #[command(hide = true)]
    Hold {
        /// Process id of the parent
        parent: i32,
        /// The program and its arguments
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        command: Vec<OsString>,
    },
}

#[derive(Debug, Args)]
struct RunArgs {
    /// The experiment file
    file: PathBuf,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds, from the first on
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Run only this arm and the arms that its checks compare it with
    #[arg(long)]
    arm: Option<String>,
    /// Write the experiment and all results to this file as JSON
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write an HTML page with plots into this folder
    #[arg(long)]
    report: Option<PathBuf>,
    /// Number of concurrent runs; default: 1 with real nodes, otherwise the number of cores
    #[arg(long)]
    jobs: Option<usize>,
    #[command(flatten)]
    driver_args: DriverArgs,
}

/// Options for carrying out runs.
#[derive(Clone, Debug, Args)]
struct DriverArgs {
    /// Simulated time or real nodes; default: as set in the experiment
    #[arg(long)]
    driver: Option<Driver>,
    /// The node program; default: `walkpick` in the directory of this program
    #[arg(long)]
    node: Option<PathBuf>,
    /// Directory in which configurations and logs of real nodes are kept; default: deleted after a successful run
    #[arg(long)]
    logs: Option<PathBuf>,
    /// A run with real nodes is void if the 99th percentile of event lateness exceeds this, or the maximum ten times this
    #[arg(long, default_value = "10ms", value_parser = humantime::parse_duration)]
    lateness: Duration,
}

#[derive(Debug, Args)]
struct CompareArgs {
    /// The experiment file
    file: PathBuf,
    /// The two arms, separated by a comma
    #[arg(long, value_delimiter = ',', num_args = 2)]
    arms: Vec<String>,
    /// Number of seeds
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// The figure to compare
    #[arg(long, default_value = "served")]
    figure: String,
    /// Print JSON
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    driver_args: DriverArgs,
}

#[derive(Debug, Args)]
struct CalibrateArgs {
    /// The experiment file
    file: PathBuf,
    /// The arm to run
    #[arg(long, default_value = "walkpick")]
    arm: String,
    /// Number of seeds
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Print JSON
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    driver_args: DriverArgs,
}

/// An experiment with its results, as written by `run --json`.
#[derive(Debug, Serialize)]
struct ResultsFile<'a> {
    experiment: &'a Experiment,
    runs: &'a [Run],
}

/// The part of a result file that a replay reads.
#[derive(Debug, Deserialize)]
struct RecordedResults {
    experiment: Experiment,
    runs: Vec<RecordedRun>,
}

#[derive(Debug, Deserialize)]
struct RecordedRun {
    arm: String,
    seed: u64,
    driver: Driver,
    version: String,
    draws: String,
    figures: BTreeMap<String, Option<f64>>,
}

/// Rule violations per run that are printed; the JSON file contains more.
const MAX_VIOLATIONS_SHOWN: usize = 3;
const EXIT_CHECK_FAILED: u8 = 1;
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(io::stderr).with_ansi(false).init();
    let done = match Cli::parse().command {
        Command::Run(args) => run(&args),
        Command::Compare(args) => compare(&args),
        Command::Calibrate(args) => calibrate(&args),
        Command::Dissemination(args) => dissemination::run(&args),
        Command::Membership(args) => membership::run(&args),
        Command::Capacity(args) => capacity::run(&args),
        Command::Slopes(args) => slopes::run(&args),
        Command::Hollow(args) => hollow::run(&args),
        Command::HollowProcess => hollow::run_process(),
        Command::Measure(args) => measure::run(&args),
        Command::MeasureChild(child) => measure::run_child(&child),
        Command::Replay { file, driver_args } => replay(&file, &driver_args),
        Command::Init { file } => init(&file).map(|()| true),
        Command::List { folder } => list(&folder).map(|()| true),
        Command::Explain { file } => explain(&file).map(|()| true),
        // Returns only on failure.
        Command::Hold { parent, command } => {
            Err(process::exec_bound_to_parent(parent, &command[0], &command[1..]).into())
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_CHECK_FAILED),
        Err(error) => {
            for line in error.to_string().lines() {
                eprintln!("walkpick-lab: {line}");
            }
            if is_input_error(error.as_ref()) {
                ExitCode::from(EXIT_BAD_INPUT)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}

/// Whether the error is caused by the user's input.
fn is_input_error(error: &(dyn Error + 'static)) -> bool {
    error.is::<ExperimentError>()
        || error.is::<UnknownName>()
        || error.is::<NotApplicable>()
        || error.is::<SlopesError>()
        || error.is::<slopes::SeriesFaults>()
        || error.is::<PlanError>()
        || error.is::<PageError>()
}

type CommandResult = Result<bool, Box<dyn Error>>;

/// A run to be carried out.
struct PlannedRun<'a> {
    experiment: &'a Experiment,
    name: &'a str,
    arm: &'a Arm,
    seed: u64,
    driver: Driver,
}

/// Runs arms on seeds concurrently. Results are in the order of arms and seeds. The first failing run stops all others.
fn run_arms(
    experiment: &Experiment,
    arms: &[String],
    seeds: std::ops::Range<u64>,
    jobs: Option<usize>,
    driver_args: &DriverArgs,
) -> Result<Vec<Run>, Box<dyn Error>> {
    let (all, driver) = (experiment.arms(), driver_args.driver.unwrap_or(experiment.driver));
    let planned: Vec<_> = arms
        .iter()
        .flat_map(|name| {
            let arm = &all[name];
            seeds.clone().map(move |seed| PlannedRun { experiment, name, arm, seed, driver })
        })
        .collect();
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let jobs = jobs.unwrap_or(if driver == Driver::Real { 1 } else { cores });
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        // A second signal ends the process at once, and its children with it.
        signal_hook::flag::register_conditional_shutdown(signal, 130, Arc::clone(&stop))?;
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let (next, done, failed) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()), Mutex::new(None));
    let bars = MultiProgress::new();
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, planned.len().max(1)) {
            scope.spawn(|| loop {
                let place = next.fetch_add(1, Ordering::Relaxed);
                let Some(planned) = planned.get(place).filter(|_| !stop.load(Ordering::Relaxed)) else {
                    return;
                };
                let ended = run_one(planned, driver_args, &stop, &bars);
                // Nothing panics while holding a lock.
                let (Ok(mut done), Ok(mut failed)) = (done.lock(), failed.lock()) else { return };
                match ended {
                    Ok(run) => drop(done.insert(place, run)),
                    Err(error) => {
                        stop.store(true, Ordering::Relaxed);
                        failed.get_or_insert(error);
                    }
                }
            });
        }
    });
    match failed.into_inner().unwrap_or_default() {
        Some(error) => Err(error.into()),
        None => {
            let mut runs: Vec<_> = done.into_inner().unwrap_or_default().into_values().collect();
            judge::relative::add_relative_checks(experiment, &mut runs);
            Ok(runs)
        }
    }
}

fn run_one(
    planned: &PlannedRun,
    driver_args: &DriverArgs,
    stop: &AtomicBool,
    bars: &MultiProgress,
) -> Result<Run, RealError> {
    let PlannedRun { experiment, name, arm, seed, driver } = *planned;
    let length = model::micros(experiment.lead + experiment.length);
    let style = ProgressStyle::with_template("{prefix:32} {bar:30} {percent:>3}% {elapsed}");
    let bar = bars.add(ProgressBar::new(length));
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_prefix(format!("{} {name}, seed {seed}", experiment.name));
    let progress = |now: model::Micros| bar.set_position(now.min(length));
    let run = match driver {
        Driver::Virtual
            if arm.peers || experiment.fault.iter().any(|fault| fault.what == FaultKind::NodeSlow) =>
        {
            Err(RealError::NeedsRealDriver(name.to_owned()))
        }
        Driver::Virtual => Ok(World::new(experiment, arm, seed).run(name, stop, &progress)),
        Driver::Real => {
            let folder = driver_args.logs.clone().unwrap_or_else(std::env::temp_dir);
            let folder = folder.join(format!("walkpick-lab-{}-{name}-{seed}", std::process::id()));
            let lab = std::env::current_exe().unwrap_or_else(|_| "walkpick-lab".into());
            let program = driver_args.node.clone().unwrap_or_else(|| lab.with_file_name("walkpick"));
            let options = Options {
                program,
                lab_program: lab,
                folder,
                max_lateness: driver_args.lateness,
                external_peers: None,
            };
            let run = real::run(experiment, name, arm, seed, &options, stop, &progress);
            if driver_args.logs.is_none() && run.is_ok() {
                // If removal fails, the files remain in the system's directory for temporary files.
                let _ = std::fs::remove_dir_all(&options.folder);
            }
            run
        }
    };
    bar.finish_and_clear();
    run
}

fn resolve_arm(experiment: &Experiment, name: &str) -> Result<String, UnknownName> {
    let arms = experiment.arms();
    match arms.contains_key(name) {
        true => Ok(name.to_owned()),
        false => {
            let expected = arms.into_keys().collect::<Vec<_>>().join(", ");
            Err(UnknownName { found: name.to_owned(), expected })
        }
    }
}

fn run_scale(experiment: &ScaleExperiment, args: &RunArgs) -> CommandResult {
    if args.arm.is_some() || args.report.is_some() || args.driver_args.driver.is_some() {
        let found = "--arm, --report or --driver".to_owned();
        let expected = format!("none of them with an experiment that has [{}]", experiment.kind.table);
        return Err(UnknownName { found, expected }.into());
    }
    let options = RunOptions {
        seeds: args.seed..args.seed + args.seeds,
        jobs: args.jobs,
        node: args.driver_args.node.clone(),
        logs: args.driver_args.logs.clone(),
        lateness: args.driver_args.lateness,
    };
    scale::run(experiment, &options, args.json.as_deref())
}

fn run(args: &RunArgs) -> CommandResult {
    if let Some(experiment) = ScaleExperiment::load(&args.file)? {
        return run_scale(&experiment, args);
    }
    let experiment = Experiment::load(&args.file)?;
    let arms = match &args.arm {
        Some(arm) => judge::relative::with_reference_arms(&experiment, &[resolve_arm(&experiment, arm)?]),
        None => experiment.arms().into_keys().collect(),
    };
    let results =
        run_arms(&experiment, &arms, args.seed..args.seed + args.seeds, args.jobs, &args.driver_args)?;
    if let Some(path) = &args.json {
        let written = ResultsFile { experiment: &experiment, runs: &results };
        std::fs::write(path, serde_json::to_vec_pretty(&written)?)?;
    }
    if let Some(folder) = &args.report {
        let page = report::write(folder, &experiment, &results)?;
        eprintln!("report: {}", page.display());
    }
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "{:16} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>6}",
        "arm", "seed", "served", "worst10", "class", "refused", "failed", "attempts", "rules"
    )?;
    for result in &results {
        let figure = |name| figure(result, name);
        writeln!(
            out,
            "{:16} {:>6} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>8.2} {:>6}",
            result.arm,
            result.seed,
            figure("served"),
            figure("worst_window"),
            figure("worst_class"),
            figure("refused"),
            figure("failed"),
            figure("attempts"),
            figure("rules"),
        )?;
    }
    let mut good = true;
    for result in &results {
        if result.interrupted {
            writeln!(out, "interrupted ({}, seed {}): not evaluated", result.arm, result.seed)?;
            good = false;
            continue;
        }
        if let Some(why) = &result.void {
            writeln!(out, "void ({}, seed {}): {why}", result.arm, result.seed)?;
            good = false;
            continue;
        }
        for broken in result.rules_broken.iter().take(MAX_VIOLATIONS_SHOWN) {
            writeln!(
                out,
                "rule broken ({}, seed {}): {} at {:.3} s: {}",
                result.arm, result.seed, broken.rule, broken.at_s, broken.what
            )?;
        }
        let more = figure(result, "rules") - result.rules_broken.len().min(MAX_VIOLATIONS_SHOWN) as f64;
        if more > 0.0 {
            writeln!(out, "and {more} more ({}, seed {})", result.arm, result.seed)?;
        }
        for check in &result.checks {
            let word = if check.holds { "holds" } else { "FALLS SHORT" };
            writeln!(
                out,
                "{} ({}, seed {}): {} {:.4}, {}: {word}",
                check.name, result.arm, result.seed, check.figure, check.value, check.bound
            )?;
            good &= check.holds;
        }
        // Deliberately broken arms have checks on rules; baselines are exempt, as they do not run walkpick's policy.
        let judged = result.checks.iter().any(|check| check.figure == "rules");
        let baseline = experiment.arms().get(&result.arm).is_some_and(|arm| arm.policy != Policy::Walkpick);
        good &= judged || baseline || result.rules_broken.is_empty();
    }
    Ok(good)
}

fn figure(result: &Run, name: &str) -> f64 {
    result.figures.get(name).copied().unwrap_or(f64::NAN)
}

fn compare(args: &CompareArgs) -> CommandResult {
    let experiment = Experiment::load(&args.file)?;
    let arms = args.arms.iter().map(|arm| resolve_arm(&experiment, arm)).collect::<Result<Vec<_>, _>>()?;
    if !judge::FIGURES.iter().any(|(name, _)| *name == args.figure) {
        let expected = judge::FIGURES.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ");
        return Err(UnknownName { found: args.figure.clone(), expected }.into());
    }
    let results = run_arms(&experiment, &arms, 1..1 + args.seeds, None, &args.driver_args)?;
    let of = |arm: &str| -> Vec<f64> {
        let runs = results.iter().filter(|result| result.arm == arm);
        runs.filter_map(|result| result.figures.get(args.figure.as_str()).copied()).collect()
    };
    let (one, two) = (of(&arms[0]), of(&arms[1]));
    let differences: Vec<_> = one.iter().zip(&two).map(|(one, two)| two - one).collect();
    let (mean, half_width) = interval(&differences);
    let significant = mean.abs() > half_width;
    let mut out = io::stdout().lock();
    if args.json {
        let text = serde_json::json!({"figure": args.figure, "arms": arms, "seeds": args.seeds, "values": [one, two],
            "difference": mean, "half_width_95": half_width, "shown": significant});
        writeln!(out, "{text:#}")?;
    } else {
        let average = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
        writeln!(out, "{}: {} {:.4}, {} {:.4}", args.figure, arms[0], average(&one), arms[1], average(&two))?;
        let word = if significant { "a difference" } else { "no difference shown" };
        writeln!(
            out,
            "paired on {} seeds: {mean:+.4}, 95% within {half_width:.4} of it: {word}",
            args.seeds
        )?;
    }
    Ok(true)
}

fn calibrate(args: &CalibrateArgs) -> CommandResult {
    let experiment = Experiment::load(&args.file)?;
    let arm = resolve_arm(&experiment, &args.arm)?;
    let under = |driver| {
        let driver_args = DriverArgs { driver: Some(driver), ..args.driver_args.clone() };
        run_arms(&experiment, std::slice::from_ref(&arm), 1..1 + args.seeds, None, &driver_args)
    };
    let (real, simulated) = (under(Driver::Real)?, under(Driver::Virtual)?);
    let void: Vec<_> = real.iter().filter_map(|run| run.void.as_ref()).collect();
    let mut rows = Vec::new();
    for (name, _) in judge::FIGURES {
        let of = |runs: &[Run]| -> Vec<f64> {
            runs.iter().filter_map(|run| run.figures.get(name).copied()).collect()
        };
        let (one, two) = (of(&real), of(&simulated));
        if one.is_empty() || one.len() != two.len() {
            continue;
        }
        let differences: Vec<_> = one.iter().zip(&two).map(|(one, two)| one - two).collect();
        let (mean, half_width) = interval(&differences);
        let average = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
        rows.push(serde_json::json!({"figure": name, "real": average(&one), "virtual": average(&two),
            "difference": mean, "half_width_95": half_width, "shown": mean.abs() > half_width}));
    }
    let same = real.iter().zip(&simulated).all(|(one, two)| one.draws == two.draws);
    let mut out = io::stdout().lock();
    if args.json {
        let text = serde_json::json!({"experiment": experiment.name, "arm": arm, "seeds": args.seeds,
            "same_draws": same, "void": void, "figures": rows});
        writeln!(out, "{text:#}")?;
    } else {
        writeln!(
            out,
            "{:14} {:>10} {:>10} {:>11} {:>10}",
            "figure", "real", "virtual", "difference", "95% within"
        )?;
        for row in &rows {
            let number = |name: &str| row[name].as_f64().unwrap_or(f64::NAN);
            let word = if row["shown"] == true { "a difference" } else { "no difference shown" };
            writeln!(
                out,
                "{:14} {:>10.4} {:>10.4} {:>+11.4} {:>10.4} {word}",
                row["figure"].as_str().unwrap_or_default(),
                number("real"),
                number("virtual"),
                number("difference"),
                number("half_width_95"),
            )?;
        }
        void.iter().try_for_each(|why| writeln!(out, "void: {why}"))?;
        writeln!(out, "the same draws: {same}")?;
    }
    Ok(same && void.is_empty())
}

fn replay(file: &Path, driver_args: &DriverArgs) -> CommandResult {
    let fault = |place: String, what: String| ExperimentError::Invalid {
        path: file.to_owned(),
        diagnostics: vec![experiment::Diagnostic { location: place, message: what }],
    };
    let text = std::fs::read_to_string(file)
        .map_err(|error| ExperimentError::Unreadable { path: file.to_owned(), error })?;
    let recorded: RecordedResults = serde_json::from_str(&text).map_err(|error| {
        let what = format!("{error}; expected a file written by run --json");
        fault(format!("line {}", error.line()), what)
    })?;
    let mut all_same = true;
    let mut out = io::stdout().lock();
    for run in &recorded.runs {
        let arm = resolve_arm(&recorded.experiment, &run.arm)?;
        let driver_args = DriverArgs { driver: Some(run.driver), ..driver_args.clone() };
        let again = run_arms(&recorded.experiment, &[arm], run.seed..run.seed + 1, None, &driver_args)?;
        let Some(again) = again.first() else { return Ok(false) };
        // Values that JSON cannot represent are null and are not compared.
        let other = run.figures.iter().find(|(name, value)| {
            let now = again.figures.get(name.as_str()).copied();
            value.is_some() && value.map(f64::to_bits) != now.map(f64::to_bits)
        });
        let draws = again.draws == run.draws;
        let word = match (draws, run.driver, other) {
            (false, ..) => "other draws".to_owned(),
            (true, Driver::Virtual, None) => "the same to the byte".to_owned(),
            (true, Driver::Virtual, Some((name, _))) => format!("the same draws, another {name}"),
            (true, Driver::Real, _) => "the same draws; real time differs from run to run".to_owned(),
        };
        writeln!(
            out,
            "{}, seed {}, {}, build {}: {word}",
            run.arm,
            run.seed,
            run.driver.name(),
            run.version
        )?;
        all_same &= draws && (run.driver == Driver::Real || other.is_none());
    }
    Ok(all_same)
}

/// The template written by `init`.
const TEMPLATE: &str = include_str!("template.toml");

fn init(file: &Path) -> Result<(), Box<dyn Error>> {
    let failed = |error| ExperimentError::Unwritable { path: file.to_owned(), error };
    let mut new = std::fs::File::create_new(file).map_err(failed)?;
    new.write_all(TEMPLATE.as_bytes()).map_err(failed)?;
    Ok(())
}

/// Mean and half width of its 95% confidence interval (Student's t).
fn interval(values: &[f64]) -> (f64, f64) {
    /// Quantiles for 1 to 20 degrees of freedom; beyond these the normal approximation is used.
    const T: [f64; 20] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
        2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
    ];
    let n = values.len() as f64;
    if values.len() < 2 {
        return (values.first().copied().unwrap_or(0.0), f64::INFINITY);
    }
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let t = T.get(values.len() - 2).copied().unwrap_or(1.96);
    (mean, t * (variance / n).sqrt())
}

fn list(folder: &Path) -> Result<(), Box<dyn Error>> {
    let files = std::fs::read_dir(folder)
        .map_err(|error| ExperimentError::Unreadable { path: folder.to_owned(), error })?;
    let mut files: Vec<_> = files.filter_map(|file| file.ok().map(|file| file.path())).collect();
    files.sort();
    let mut out = io::stdout().lock();
    for path in files.iter().filter(|path| path.extension().is_some_and(|end| end == "toml")) {
        match ScaleExperiment::load(path) {
            Ok(Some(experiment)) => {
                writeln!(out, "{:24} {}", experiment.name, experiment.about)?;
                continue;
            }
            Err(error) => {
                writeln!(out, "{:24} cannot be run: {error}", path.display())?;
                continue;
            }
            Ok(None) => {}
        }
        match Experiment::load(path) {
            Ok(experiment) => writeln!(out, "{:24} {}", experiment.name, experiment.about)?,
            Err(error) => writeln!(out, "{:24} cannot be run: {error}", path.display())?,
        }
    }
    Ok(())
}

fn explain(file: &Path) -> Result<(), Box<dyn Error>> {
    if let Some(experiment) = ScaleExperiment::load(file)? {
        return scale::explain(&experiment);
    }
    let experiment = Experiment::load(file)?;
    let mut out = io::stdout().lock();
    writeln!(out, "{}: {}\n\n{}", experiment.name, experiment.about, toml::to_string_pretty(&experiment)?)?;
    for (name, meaning) in judge::FIGURES {
        writeln!(out, "{name:14} {meaning}")?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
