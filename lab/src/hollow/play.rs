//! All runs that settings ask for, one after the other: real time is not shared.

use super::run::{run, HollowRun, RunOptions, RunPlan};
use super::settings::Hollow;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::error::Error;
use std::io::{self, Write};
use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// How all runs are carried out.
#[derive(Clone, Debug)]
pub struct PlayOptions {
    /// Each size and loss is run on each of these.
    pub seeds: Range<u64>,
    /// The node's program; the one beside this program where it is not given.
    pub node: Option<PathBuf>,
    /// Where configurations and logs of complete nodes stay; they go with the run where it is not given.
    pub logs: Option<PathBuf>,
}

/// Runs them all. Once it is told to stop, what was not run is left out.
pub fn play_all(hollow: &Hollow, how: &PlayOptions) -> Result<Vec<HollowRun>, Box<dyn Error>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        // A second one ends this process at once, and its children with it.
        signal_hook::flag::register_conditional_shutdown(signal, 130, Arc::clone(&stop))?;
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let mut runs = Vec::new();
    for plan in plans(hollow, how) {
        tell_need(&plan)?;
        let options = options(how, &plan);
        let ran = run(&plan, &options, &stop);
        if how.logs.is_none() && ran.is_ok() {
            // What is left behind is a folder of the system's for such things.
            let _ = std::fs::remove_dir_all(&options.folder);
        }
        runs.push(ran?);
        if stop.load(Ordering::Relaxed) {
            break;
        }
    }
    Ok(runs)
}

fn plans(hollow: &Hollow, how: &PlayOptions) -> Vec<RunPlan> {
    let mut plans = Vec::new();
    for &nodes in &hollow.nodes {
        for &loss in &hollow.loss {
            let of_seeds =
                how.seeds.clone().map(|seed| RunPlan { nodes, loss, seed, hollow: hollow.clone() });
            plans.extend(of_seeds);
        }
    }
    plans
}

fn options(how: &PlayOptions, plan: &RunPlan) -> RunOptions {
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
