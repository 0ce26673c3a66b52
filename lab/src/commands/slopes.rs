//! `walkpick-lab slopes`: adds measured series to the slopes file and shows its content.

use crate::capacity::{encoded_sizes, format_number};
use crate::slopes::{read_series, write_series, Recorded, SlopesError, SlopesFile, Stamp};
use clap::{Args, Subcommand};
use std::error::Error;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::SystemTime;

/// Paths that affect measured costs; uncommitted changes to them are noted next to the recorded commit.
const SOURCES: [&str; 4] = ["src", "lab/src", "Cargo.toml", "Cargo.lock"];
const ENCODED: &str = "walkpick-lab slopes encoded --json encoded.json";
const UNKNOWN_COMMIT: &str = "unknown";

/// Arguments of `walkpick-lab slopes`.
#[derive(Debug, Args)]
pub struct SlopesArgs {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Add series from files written by measuring tools; replaces those with the same name and method
    Add {
        /// Slopes file; created if it does not exist
        #[arg(long, default_value = "docs/slopes.json")]
        to: PathBuf,
        /// Commit that was measured; defaults to that of the working tree
        #[arg(long)]
        commit: Option<String>,
        /// Series files to add
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Measure the size of messages between nodes by encoding them
    Encoded {
        /// Output file for the series
        #[arg(long)]
        json: PathBuf,
    },
    /// Show each series with its fit
    Show {
        /// Slopes file
        #[arg(default_value = "docs/slopes.json")]
        file: PathBuf,
    },
}

/// Runs the command.
pub fn run(args: &SlopesArgs) -> Result<bool, Box<dyn Error>> {
    match &args.action {
        Action::Add { to, commit, files } => add(to, commit.as_deref(), files)?,
        Action::Encoded { json } => write_series(json, &encoded_sizes(ENCODED)?)?,
        Action::Show { file } => show(&SlopesFile::load(file)?)?,
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
        let stamp = Stamp { date: modification_time(file)?, commit: commit.clone(), cores };
        let recorded = series.into_iter().filter_map(|series| Recorded::new(series, stamp.clone()));
        recorded.for_each(|recorded| slopes.add(recorded));
    }
    slopes.save(to)?;
    Ok(())
}

/// Errors of one or more series files, one per line.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct SeriesFaults(String);

/// The modification time of a series file, taken as the time of the measurement.
fn modification_time(file: &Path) -> Result<String, SlopesError> {
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
        writeln!(out, "  {}", fit.formula(format_number))?;
        writeln!(
            out,
            "  residual {} ({:.1}%), R squared {:.3}; {} plays at {} sizes, {} to {}",
            format_number(fit.residual),
            100.0 * fit.relative_residual,
            fit.r_squared,
            fit.plays,
            fit.sizes,
            format_number(fit.from),
            format_number(fit.to)
        )?;
    }
    Ok(())
}
