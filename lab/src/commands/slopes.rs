//! `walkpick-lab slopes`: takes measured series into the slopes file, and shows what it holds.

use crate::capacity::{encoded_sizes, number};
use crate::slopes::{read_series, write_series, Recorded, SlopesError, SlopesFile, Stamp};
use clap::{Args, Subcommand};
use std::error::Error;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::SystemTime;

/// What moves measured costs: a change here that is not committed is said beside the commit.
const SOURCES: [&str; 4] = ["src", "lab/src", "Cargo.toml", "Cargo.lock"];
const ENCODED: &str = "walkpick-lab slopes encoded --json encoded.json";
const UNKNOWN_COMMIT: &str = "unknown";

/// The arguments.
#[derive(Debug, Args)]
pub struct SlopesArgs {
    #[command(subcommand)]
    doing: Doing,
}

#[derive(Debug, Subcommand)]
enum Doing {
    /// Take in the series of files that measuring tools wrote; those of the same name and method give way
    Add {
        /// The slopes file; it is made where there is none
        #[arg(long, default_value = "docs/slopes.json")]
        to: PathBuf,
        /// The commit that was measured; the one of the working tree where it is not given
        #[arg(long)]
        commit: Option<String>,
        /// What the tools wrote
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Measure how many bytes nodes' messages take, by encoding them
    Encoded {
        /// Where to write the series
        #[arg(long)]
        json: PathBuf,
    },
    /// Show each series with its fit
    Show {
        /// The slopes file
        #[arg(default_value = "docs/slopes.json")]
        file: PathBuf,
    },
}

/// Carries out the command.
pub fn run(args: &SlopesArgs) -> Result<bool, Box<dyn Error>> {
    match &args.doing {
        Doing::Add { to, commit, files } => add(to, commit.as_deref(), files)?,
        Doing::Encoded { json } => write_series(json, &encoded_sizes(ENCODED)?)?,
        Doing::Show { file } => show(&SlopesFile::load(file)?)?,
    }
    Ok(true)
}

fn add(to: &Path, commit: Option<&str>, files: &[PathBuf]) -> Result<(), Box<dyn Error>> {
    let mut slopes = SlopesFile::load_or_empty(to)?;
    let read: Vec<_> = files.iter().map(|file| read_series(file).map(|series| (file, series))).collect();
    let faults: Vec<_> =
        read.iter().filter_map(|read| read.as_ref().err()).map(ToString::to_string).collect();
    if !faults.is_empty() {
        return Err(SeriesFaults(faults.join("\n")).into());
    }
    let commit = commit.map_or_else(current_commit, str::to_owned);
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    for (file, series) in read.into_iter().flatten() {
        let stamp = Stamp { date: written_at(file)?, commit: commit.clone(), cores };
        let recorded = series.into_iter().filter_map(|series| Recorded::new(series, stamp.clone()));
        recorded.for_each(|recorded| slopes.add(recorded));
    }
    slopes.save(to)?;
    Ok(())
}

/// Faults of one or several files, one a line.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct SeriesFaults(String);

/// When the tool wrote its file: when it was measured.
fn written_at(file: &Path) -> Result<String, SlopesError> {
    let at = std::fs::metadata(file).and_then(|about| about.modified());
    let at = at.map_err(|error| SlopesError::Unreadable { path: file.to_owned(), error })?;
    Ok(humantime::format_rfc3339_seconds(at.max(SystemTime::UNIX_EPOCH)).to_string())
}

fn current_commit() -> String {
    let Some(commit) = git(&["rev-parse", "--short=10", "HEAD"]) else {
        return UNKNOWN_COMMIT.to_owned();
    };
    let status = [&["status", "--porcelain", "--untracked-files=no", "--"][..], &SOURCES].concat();
    match git(&status) {
        Some(changes) if changes.is_empty() => commit,
        _ => format!("{commit} with changes"),
    }
}

fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}

fn show(slopes: &SlopesFile) -> io::Result<()> {
    let mut out = io::stdout().lock();
    for Recorded { series, stamp, fit } in slopes.recorded() {
        writeln!(out, "{} ({}), {} against {}", series.name, series.method, series.unit, series.against)?;
        writeln!(
            out,
            "  {} on {}, {} cores, commit {}",
            series.command, stamp.date, stamp.cores, stamp.commit
        )?;
        writeln!(out, "  {}", fit.formula(number))?;
        writeln!(
            out,
            "  residual {} ({:.1}%), R squared {:.3}; {} plays at {} sizes, {} to {}",
            number(fit.residual),
            100.0 * fit.relative_residual,
            fit.r_squared,
            fit.plays,
            fit.sizes,
            number(fit.from),
            number(fit.to)
        )?;
    }
    Ok(())
}
