//! Runs every combination of size, loss and seed that the settings ask for. Runs are sequential: in real time,
//! concurrent runs would disturb each other.

use super::run::{run, HollowRun, RunOptions, RunPlan};
use super::settings::Hollow;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::error::Error;
use std::io::{self, Write};
use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// How the runs of a batch are carried out.
#[derive(Clone, Debug)]
pub struct BatchOptions {
    /// Seeds; each size and loss is run once for each.
    pub seeds: Range<u64>,
    /// Path of the node's program; by default `walkpick` in the directory of this program.
    pub node: Option<PathBuf>,
    /// Directory in which configurations and logs of complete nodes are kept; by default they are removed after each
    /// run.
    pub logs: Option<PathBuf>,
}

/// Runs the whole batch. After a stop signal, the remaining runs are skipped.
pub fn run_all(hollow: &Hollow, batch: &BatchOptions) -> Result<Vec<HollowRun>, Box<dyn Error>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        // A second signal ends this process at once, and its child processes with it.
        signal_hook::flag::register_conditional_shutdown(signal, 130, Arc::clone(&stop))?;
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let mut runs = Vec::new();
    for plan in plans(hollow, batch) {
        print_requirements(&plan)?;
        let options = options(batch, &plan);
        let outcome = run(&plan, &options, &stop);
        if batch.logs.is_none() && outcome.is_ok() {
            // A failure only leaves files in the system's temporary directory.
            let _ = std::fs::remove_dir_all(&options.folder);
        }
        runs.push(outcome?);
        if stop.load(Ordering::Relaxed) {
            break;
        }
    }
    Ok(runs)
}

fn plans(hollow: &Hollow, batch: &BatchOptions) -> Vec<RunPlan> {
    let mut plans = Vec::new();
    for &nodes in &hollow.nodes {
        for &loss in &hollow.loss {
            let seeded =
                batch.seeds.clone().map(|seed| RunPlan { nodes, loss, seed, hollow: hollow.clone() });
            plans.extend(seeded);
        }
    }
    plans
}

fn options(batch: &BatchOptions, plan: &RunPlan) -> RunOptions {
    let lab = std::env::current_exe().unwrap_or_else(|_| "walkpick-lab".into());
    let folder = batch.logs.clone().unwrap_or_else(std::env::temp_dir);
    let RunPlan { nodes, loss, seed, .. } = plan;
    RunOptions {
        program: batch.node.clone().unwrap_or_else(|| lab.with_file_name("walkpick")),
        folder: folder.join(format!("walkpick-hollow-{}-{nodes}-{loss}-{seed}", std::process::id())),
        lab,
    }
}

fn print_requirements(plan: &RunPlan) -> io::Result<()> {
    let requirements = plan.requirements();
    writeln!(
        io::stderr(),
        "{} hollow nodes in {} processes and {} complete ones, loss {}, seed {}: at most {} processes and {} MiB",
        plan.nodes,
        plan.processes(),
        plan.hollow.complete,
        plan.loss,
        plan.seed,
        requirements.processes,
        requirements.bytes / (1024 * 1024),
    )
}
