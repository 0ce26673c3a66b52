//! walkpick-lab: rehearses failures on an emulated deployment, and judges what comes of them.

mod draw;
mod experiment;
mod judge;
mod model;
mod plan;
mod policies;
mod world;

use clap::{Args, Parser, Subcommand};
use experiment::{Experiment, ExperimentError};
use judge::Result as Run;
use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Instant;
use world::World;

#[derive(Debug, Parser)]
#[command(name = "walkpick-lab", version, about = "Rehearses failures on an emulated deployment of walkpick")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run an experiment in simulated time, on one seed or several, and hold it against its checks
    Run(RunArgs),
    /// Run two arms on the same seeds and tell whether they differ
    Compare(CompareArgs),
    /// List the experiments of a folder
    List {
        /// The folder
        #[arg(default_value = "lab/experiments")]
        folder: PathBuf,
    },
    /// Tell what an experiment does, and what each figure means
    Explain {
        /// The experiment
        file: PathBuf,
    },
}

#[derive(Debug, Args)]
struct RunArgs {
    /// The experiment
    file: PathBuf,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, from that one on
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// One arm alone
    #[arg(long)]
    arm: Option<String>,
    /// Write all results here as JSON
    #[arg(long)]
    json: Option<PathBuf>,
    /// Runs at once; as many as there are cores where it is not given
    #[arg(long)]
    jobs: Option<usize>,
}

#[derive(Debug, Args)]
struct CompareArgs {
    /// The experiment
    file: PathBuf,
    /// The two arms, with a comma between them
    #[arg(long, value_delimiter = ',', num_args = 2)]
    arms: Vec<String>,
    /// How many seeds
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// The figure that is compared
    #[arg(long, default_value = "served")]
    figure: String,
    /// Write JSON
    #[arg(long)]
    json: bool,
}

/// Broken rules of a run that the terminal shows; the JSON has more of them.
const SHOWN: usize = 3;
const FELL_SHORT: u8 = 1;
const BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run(args) => run(&args),
        Command::Compare(args) => compare(&args),
        Command::List { folder } => list(&folder).map(|()| true),
        Command::Explain { file } => explain(&file).map(|()| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FELL_SHORT),
        Err(error) => {
            for line in error.to_string().lines() {
                eprintln!("walkpick-lab: {line}");
            }
            match error.downcast_ref::<ExperimentError>() {
                Some(_) => ExitCode::from(BAD_INPUT),
                None if error.downcast_ref::<UnknownName>().is_some() => ExitCode::from(BAD_INPUT),
                None => ExitCode::FAILURE,
            }
        }
    }
}

#[derive(Debug, thiserror::Error)]
#[error("found \"{found}\", expected one of {expected}")]
struct UnknownName {
    found: String,
    expected: String,
}

type Done = Result<bool, Box<dyn Error>>;

/// Plays arms on seeds, several at once; the results come in the order asked for.
fn play(
    experiment: &Experiment,
    arms: &[String],
    seeds: std::ops::Range<u64>,
    jobs: Option<usize>,
) -> Vec<Run> {
    let all = experiment.arms();
    let wanted: Vec<_> = arms.iter().flat_map(|arm| seeds.clone().map(move |seed| (arm, seed))).collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    let jobs = jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from));
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, wanted.len().max(1)) {
            scope.spawn(|| loop {
                let place = next.fetch_add(1, Ordering::Relaxed);
                let Some(&(name, seed)) = wanted.get(place) else { return };
                let start = Instant::now();
                let result = World::new(experiment, &all[name], seed).run(name);
                let took = start.elapsed().as_secs_f64();
                let simulated = (experiment.length.as_secs_f64()) / took.max(1e-9);
                eprintln!("{name}, seed {seed}: {took:.1} s, {simulated:.1} simulated seconds a second");
                // Nothing panics while it holds the lock.
                if let Ok(mut done) = done.lock() {
                    done.insert(place, result);
                }
            });
        }
    });
    done.into_inner().unwrap_or_default().into_values().collect()
}

fn known_arm(experiment: &Experiment, name: &str) -> Result<String, UnknownName> {
    let arms = experiment.arms();
    match arms.contains_key(name) {
        true => Ok(name.to_owned()),
        false => {
            let expected = arms.into_keys().collect::<Vec<_>>().join(", ");
            Err(UnknownName { found: name.to_owned(), expected })
        }
    }
}

fn run(args: &RunArgs) -> Done {
    let experiment = Experiment::load(&args.file)?;
    let arms = match &args.arm {
        Some(arm) => vec![known_arm(&experiment, arm)?],
        None => experiment.arms().into_keys().collect(),
    };
    let results = play(&experiment, &arms, args.seed..args.seed + args.seeds, args.jobs);
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_vec_pretty(&results)?)?;
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
        for broken in result.rules_broken.iter().take(SHOWN) {
            writeln!(
                out,
                "rule broken ({}, seed {}): {} at {:.3} s: {}",
                result.arm, result.seed, broken.rule, broken.at_s, broken.what
            )?;
        }
        let more = figure(result, "rules") - result.rules_broken.len().min(SHOWN) as f64;
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
        // Arms that are broken on purpose have checks that say so.
        let judged = result.checks.iter().any(|check| check.figure == "rules");
        good &= judged || result.rules_broken.is_empty();
    }
    Ok(good)
}

fn figure(result: &Run, name: &str) -> f64 {
    result.figures.get(name).copied().unwrap_or(f64::NAN)
}

fn compare(args: &CompareArgs) -> Done {
    let experiment = Experiment::load(&args.file)?;
    let arms = args.arms.iter().map(|arm| known_arm(&experiment, arm)).collect::<Result<Vec<_>, _>>()?;
    if !judge::FIGURES.iter().any(|(name, _)| *name == args.figure) {
        let expected = judge::FIGURES.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ");
        return Err(UnknownName { found: args.figure.clone(), expected }.into());
    }
    let results = play(&experiment, &arms, 1..1 + args.seeds, None);
    let of = |arm: &str| -> Vec<f64> {
        let runs = results.iter().filter(|result| result.arm == arm);
        runs.filter_map(|result| result.figures.get(args.figure.as_str()).copied()).collect()
    };
    let (one, two) = (of(&arms[0]), of(&arms[1]));
    let differences: Vec<_> = one.iter().zip(&two).map(|(one, two)| two - one).collect();
    let (mean, half) = interval(&differences);
    let shown = mean.abs() > half;
    let mut out = io::stdout().lock();
    if args.json {
        let text = serde_json::json!({"figure": args.figure, "arms": arms, "seeds": args.seeds, "values": [one, two],
            "difference": mean, "half_width_95": half, "shown": shown});
        writeln!(out, "{text:#}")?;
    } else {
        let average = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
        writeln!(out, "{}: {} {:.4}, {} {:.4}", args.figure, arms[0], average(&one), arms[1], average(&two))?;
        let word = if shown { "a difference" } else { "no difference shown" };
        writeln!(out, "paired on {} seeds: {mean:+.4}, 95% within {half:.4} of it: {word}", args.seeds)?;
    }
    Ok(true)
}

/// Mean and half width of its 95% confidence interval (Student's t).
fn interval(values: &[f64]) -> (f64, f64) {
    /// Of one degree of freedom and more; the normal law's past these.
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
        match Experiment::load(path) {
            Ok(experiment) => writeln!(out, "{:24} {}", experiment.name, experiment.about)?,
            Err(error) => writeln!(out, "{:24} cannot be run: {error}", path.display())?,
        }
    }
    Ok(())
}

fn explain(file: &Path) -> Result<(), Box<dyn Error>> {
    let experiment = Experiment::load(file)?;
    let mut out = io::stdout().lock();
    writeln!(out, "{}: {}\n\n{}", experiment.name, experiment.about, toml::to_string_pretty(&experiment)?)?;
    for (name, meaning) in judge::FIGURES {
        writeln!(out, "{name:14} {meaning}")?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn shipped() -> Vec<Experiment> {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
        let files = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
        let read = files.map(|path| Experiment::load(&path).unwrap_or_else(|error| panic!("{error}")));
        read.collect()
    }

    #[test]
    fn every_shipped_experiment_can_be_read_and_can_fall_short() {
        let all = shipped();
        assert!(all.len() >= 9);
        for experiment in all {
            assert!(!experiment.check.is_empty(), "{} has no check", experiment.name);
        }
    }

    // Guards against a judge that sees nothing: each arm that is broken on purpose is caught, the program is not.
    #[test]
    fn the_judges_catch_what_is_broken_and_nothing_else() {
        let all = shipped();
        let experiment = all.iter().find(|experiment| experiment.name == "judges").unwrap();
        let arms: Vec<_> = experiment.arms().into_keys().collect();
        for result in play(experiment, &arms, 1..3, None) {
            assert!(!result.checks.is_empty());
            let short = result.checks.iter().find(|check| !check.holds);
            assert!(short.is_none(), "{} seed {}: {short:?}", result.arm, result.seed);
        }
    }

    #[test]
    fn the_same_seed_gives_the_same_run_to_the_byte_and_the_same_draws_in_every_arm() {
        let all = shipped();
        let mut experiment = all.into_iter().find(|experiment| experiment.name == "zone-lost").unwrap();
        experiment.length = std::time::Duration::from_secs(18);
        let arms: Vec<_> = experiment.arms().into_keys().collect();
        let text = |results: &[Run]| serde_json::to_string(results).unwrap();
        let (one, two) = (play(&experiment, &arms, 7..8, None), play(&experiment, &arms, 7..8, Some(1)));
        assert_eq!(text(&one), text(&two));
        assert!(one.iter().all(|result| result.draws == one[0].draws));
        assert_ne!(one[0].draws, play(&experiment, &arms[..1], 8..9, None)[0].draws);
    }

    #[test]
    fn an_interval_narrows_with_more_seeds_and_tells_nothing_from_one() {
        assert_eq!(interval(&[0.5]), (0.5, f64::INFINITY));
        let (mean, half) = interval(&[1.0, 2.0, 3.0]);
        assert!((mean - 2.0).abs() < 1e-9 && (half - 2.484).abs() < 0.01, "{mean} {half}");
    }
}
