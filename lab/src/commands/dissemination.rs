//! `walkpick-lab dissemination`: runs a steady load of entries and states on any number of peers in simulated time.

use crate::dissemination::baseline;
use crate::dissemination::figures::{run_all, series, Membership};
use crate::dissemination::scenario::{Load, Outcome};
use crate::slopes::write_series;
use clap::Args;
use indicatif::ProgressBar;
use std::error::Error;
use std::io::{self, Write};
use std::path::PathBuf;

/// Arguments of `walkpick-lab dissemination`.
#[derive(Debug, Args)]
pub struct DisseminationArgs {
    /// Numbers of nodes
    #[arg(long, value_delimiter = ',', default_values_t = [66, 132, 265, 530, 1_060, 2_120])]
    nodes: Vec<usize>,
    /// Fractions of the datagrams that are lost
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.05])]
    loss: Vec<f64>,
    /// Number of random seeds
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Log entries published per second
    #[arg(long, default_value_t = 6)]
    rate: u64,
    /// Payload size of each entry, in bytes
    #[arg(long, default_value_t = 100)]
    entry_bytes: usize,
    /// Duration of the load, in seconds
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Time after which a zone is lost, in seconds
    #[arg(long)]
    zone_lost_after: Option<u64>,
    /// Source of the membership events that nodes receive
    #[arg(long, default_value = "real")]
    membership: Membership,
    /// Run the broadcasts of the membership library instead of walkpick's dissemination
    #[arg(long)]
    baseline: bool,
    /// Write series for the capacity page into this file
    #[arg(long)]
    series: Option<PathBuf>,
    /// Number of runs in parallel [default: number of cores]
    #[arg(long)]
    jobs: Option<usize>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

impl DisseminationArgs {
    fn loads(&self) -> Vec<Load> {
        let mut loads = Vec::new();
        for &nodes in &self.nodes {
            for &loss in &self.loss {
                loads.extend((1..=self.seeds).map(|seed| Load {
                    entries_per_second: self.rate.max(1),
                    entry_bytes: self.entry_bytes.clamp(16, 1_024),
                    seconds: self.seconds,
                    zone_lost_after_s: self.zone_lost_after,
                    ..Load::planned(nodes.max(2), loss, seed)
                }));
            }
        }
        loads
    }
}

/// Runs the loads and prints their figures. Returns whether no entry was lost, duplicated, out of order or falsely
/// acknowledged.
pub fn run(args: &DisseminationArgs) -> Result<bool, Box<dyn Error>> {
    let loads = args.loads();
    if args.baseline {
        return print_baseline(&loads);
    }
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let bar = ProgressBar::new(loads.len() as u64);
    let outcomes = run_all(&loads, args.membership, args.jobs.unwrap_or(cores), || bar.inc(1));
    bar.finish_and_clear();
    if let Some(path) = &args.series {
        let arguments = std::env::args().skip(1);
        let command: Vec<_> = std::iter::once("walkpick-lab".to_owned()).chain(arguments).collect();
        write_series(path, &series(&outcomes, &command.join(" ")))?;
    }
    if args.json {
        writeln!(io::stdout().lock(), "{}", serde_json::to_string_pretty(&outcomes)?)?;
    } else {
        print_table(&outcomes)?;
    }
    Ok(outcomes.iter().all(|o| (o.lost, o.faults, o.false_acknowledgements) == (0, 0, 0)))
}

fn print_table(outcomes: &[Outcome]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "nodes loss seed |  log max  trouble  median  state max  trouble  ack max | lost faults false | peak 1 s  peak 5 s   mean B/s | \
         duplicates repaired given up"
    )?;
    for o in outcomes {
        let l = &o.load;
        writeln!(
            out,
            "{:5} {:4} {:4} | {:8.2} {:8.2} {:7.2} {:10.2} {:8.2} {:8.2} | {:4} {:6} {:5} | {:8.0} {:9.0} {:10.0} | {:10} {:8} {:8}",
            l.nodes,
            l.loss,
            l.seed,
            o.log_largest_s,
            o.log_trouble_s,
            o.log_median_s,
            o.state_largest_s,
            o.state_trouble_s,
            o.acknowledged_largest_s,
            o.lost,
            o.faults,
            o.false_acknowledgements,
            o.peak_1s,
            o.peak_5s,
            o.mean,
            o.counters.duplicates,
            o.counters.repaired,
            o.counters.abandoned,
        )?;
    }
    Ok(())
}

fn print_baseline(loads: &[Load]) -> Result<bool, Box<dyn Error>> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "nodes loss seed |  log max  median | never  out of order | peak 1 s  peak 5 s   mean B/s"
    )?;
    for load in loads {
        let o = baseline::run(load);
        writeln!(
            out,
            "{:5} {:4} {:4} | {:8.2} {:7.2} | {:5} {:13} | {:8.0} {:9.0} {:10.0}",
            load.nodes,
            load.loss,
            load.seed,
            o.largest_s,
            o.median_s,
            o.incomplete,
            o.out_of_order,
            o.peak_1s,
            o.peak_5s,
            o.mean
        )?;
    }
    Ok(true)
}
