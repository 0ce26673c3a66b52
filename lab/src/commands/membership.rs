//! `walkpick-lab membership`: cases of membership among any number of peers in simulated time.

use super::UnknownName;
use crate::cluster::cases::{self, Case, CaseOutcome, CASES};
use crate::model;
use clap::Args;
use indicatif::ProgressBar;
use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// What to run.
#[derive(Debug, Args)]
pub struct MembershipArgs {
    /// Which cases; all where none is given
    #[arg(long, value_delimiter = ',')]
    case: Vec<Case>,
    /// Numbers of nodes
    #[arg(long, value_delimiter = ',', default_value = "50")]
    nodes: Vec<usize>,
    /// Parts of the datagrams that are lost
    #[arg(long, value_delimiter = ',', default_value = "0")]
    loss: Vec<f64>,
    /// How many seeds
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// How long nothing happens in the case of rest
    #[arg(long, alias = "calm", default_value = "1m", value_parser = humantime::parse_duration)]
    rest: Duration,
    /// Write JSON
    #[arg(long)]
    json: bool,
}

/// Runs the cases and prints their figures.
pub fn run(args: &MembershipArgs) -> Result<bool, Box<dyn Error>> {
    let cases = if args.case.is_empty() { CASES.to_vec() } else { args.case.clone() };
    let mut wanted = Vec::new();
    for &nodes in &args.nodes {
        if !(2..=20_000).contains(&nodes) {
            return Err(UnknownName { found: nodes.to_string(), expected: "2 to 20000 nodes".into() }.into());
        }
        for &loss in &args.loss {
            for &case in &cases {
                wanted.extend((1..=args.seeds).map(|seed| (case, nodes, loss, seed)));
            }
        }
    }
    let (next, done) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    let bar = ProgressBar::new(wanted.len() as u64);
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let place = next.fetch_add(1, Ordering::Relaxed);
                let Some(&(case, nodes, loss, seed)) = wanted.get(place) else { return };
                let outcome = cases::run(case, nodes, loss, seed, model::micros(args.rest));
                if let Ok(mut done) = done.lock() {
                    done.insert(place, outcome);
                }
                bar.inc(1);
            });
        }
    });
    bar.finish_and_clear();
    let outcomes: Vec<_> = done.into_inner().unwrap_or_default().into_values().collect();
    if args.json {
        writeln!(io::stdout().lock(), "{}", serde_json::to_string_pretty(&outcomes)?)?;
    } else {
        print_table(&outcomes)?;
    }
    Ok(true)
}

fn print_table(outcomes: &[CaseOutcome]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "{:14} {:>5} {:>5} {:>4} {:>7} {:>8} {:>8} {:>8} {:>9} {:>6} {:>8} {:>6} {:>8}",
        "case",
        "nodes",
        "loss",
        "seed",
        "joined",
        "known50",
        "known99",
        "differ",
        "converged",
        "false",
        "rejoined",
        "shares",
        "B/s"
    )?;
    let time = |time: Option<f64>| time.map_or_else(|| "-".to_owned(), |time| format!("{time:.1}"));
    for outcome in outcomes {
        writeln!(
            out,
            "{:14} {:>5} {:>5} {:>4} {:>7} {:>8} {:>8} {:>8} {:>9} {:>6} {:>8} {:>6.2} {:>8.0}",
            outcome.case.name(),
            outcome.nodes,
            outcome.loss,
            outcome.seed,
            time(outcome.joined_s),
            time(outcome.known_p50_s),
            time(outcome.known_p99_s),
            time(outcome.disagreement_known_s),
            time(outcome.converged_s),
            outcome.false_reports,
            outcome.rejoined,
            outcome.share_sum,
            outcome.bytes_per_s,
        )?;
    }
    Ok(())
}
