//! `walkpick-lab capacity`: the tables of a plan, and the page that holds them.

use crate::capacity::{check, plot, render, write, Plan, Sources};
use crate::slopes::SlopesFile;
use clap::Args;
use std::error::Error;
use std::io::{self, Write};
use std::path::PathBuf;

/// The arguments.
#[derive(Debug, Args)]
pub struct CapacityArgs {
    /// The plan
    plan: PathBuf,
    /// The slopes file
    #[arg(long, default_value = "docs/slopes.json")]
    slopes: PathBuf,
    /// Tell in which lines this page and the figures differ; 1 where they do
    #[arg(long, value_name = "PAGE", conflicts_with = "write")]
    check: Option<PathBuf>,
    /// Renew the tables of this page
    #[arg(long, value_name = "PAGE")]
    write: Option<PathBuf>,
    /// Draw need over budget by nodes
    #[arg(long, value_name = "SVG")]
    plot: Option<PathBuf>,
}

/// Carries out the command.
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
