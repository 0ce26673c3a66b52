//! `walkpick-lab capacity`: renders the capacity tables of a plan, and checks or updates the page that contains them.

use crate::capacity::{check, plot, render, write, Plan, Sources};
use crate::slopes::SlopesFile;
use clap::Args;
use std::error::Error;
use std::io::{self, Write};
use std::path::PathBuf;

/// Arguments of `walkpick-lab capacity`.
#[derive(Debug, Args)]
pub struct CapacityArgs {
    /// Plan file
    plan: PathBuf,
    /// Slopes file
    #[arg(long, default_value = "docs/slopes.json")]
    slopes: PathBuf,
    /// List the lines in which this page differs from the rendered tables; exit with status 1 if any do
    #[arg(long, value_name = "PAGE", conflicts_with = "write")]
    check: Option<PathBuf>,
    /// Update the tables of this page
    #[arg(long, value_name = "PAGE")]
    write: Option<PathBuf>,
    /// Write a plot of need over budget by number of nodes
    #[arg(long, value_name = "SVG")]
    plot: Option<PathBuf>,
}

/// Runs the command; returns whether the page, if checked, is up to date.
pub fn run(args: &CapacityArgs) -> Result<bool, Box<dyn Error>> {
    let plan = Plan::load(&args.plan)?;
    let slopes = SlopesFile::load(&args.slopes)?;
    let (plan_name, slopes_name) = (args.plan.display().to_string(), args.slopes.display().to_string());
    let tables = render(&plan, &slopes, Sources { plan: &plan_name, slopes: &slopes_name });
    if let Some(path) = &args.plot {
        std::fs::write(path, plot(&plan, &slopes)?)?;
    }
    let mut out = io::stdout().lock();
    if let Some(page) = &args.write {
        write(page, &tables)?;
        return Ok(true);
    }
    if let Some(page) = &args.check {
        let differences = check(page, &tables)?;
        for line in &differences {
            writeln!(out, "{}: {line}", page.display())?;
        }
        return Ok(differences.is_empty());
    }
    if args.plot.is_none() {
        for line in &tables {
            writeln!(out, "{line}")?;
        }
    }
    Ok(true)
}
