//! `walkpick-lab membership`: cases of membership among any number of peers in simulated time.

use super::UnknownName;
use crate::cluster::cases::{run_all, Case, CaseOutcome, Play, CASES};
use crate::cluster::Topology;
use crate::model::micros;
use clap::Args;
use indicatif::ProgressBar;
use std::error::Error;
use std::io::{self, Write};
use std::time::Duration;

/// What to run.
#[derive(Debug, Args)]
pub struct MembershipArgs {
    /// Which cases; a choice of them where none is given
    #[arg(long, value_delimiter = ',')]
    case: Vec<Case>,
    /// Numbers of nodes
    #[arg(long, value_delimiter = ',', default_value = "50")]
    nodes: Vec<usize>,
    /// Parts of the datagrams that are lost
    #[arg(long, value_delimiter = ',', default_value = "0")]
    loss: Vec<f64>,
    /// The network
    #[arg(long, default_value = "flat")]
    topology: Topology,
    /// How many seeds
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// How long nothing happens in the case of rest
    #[arg(long, alias = "calm", default_value = "1m", value_parser = humantime::parse_duration)]
    rest: Duration,
    /// From the time when all have joined to the beginning of a case
    #[arg(long, default_value = "2s", value_parser = humantime::parse_duration)]
    settle: Duration,
    /// Each peer probes another one this often; as the program does where it is not given
    #[arg(long, value_parser = humantime::parse_duration)]
    probe_every: Option<Duration>,
    /// An answer to a probe that takes longer is asked for by way of others; as in the program where it is not given
    #[arg(long, value_parser = humantime::parse_duration)]
    probe_timeout: Option<Duration>,
    /// Plays at once; as many as there are cores where it is not given
    #[arg(long)]
    jobs: Option<usize>,
    /// Write JSON
    #[arg(long)]
    json: bool,
}

impl MembershipArgs {
    fn play(&self, case: Case, nodes: usize, loss: f64, seed: u64) -> Play {
        let play = Play::new(case, nodes, seed);
        Play {
            loss,
            topology: self.topology,
            settle: micros(self.settle),
            rest: micros(self.rest),
            probe_every: self.probe_every.map_or(play.probe_every, micros),
            probe_timeout: self.probe_timeout.map_or(play.probe_timeout, micros),
            ..play
        }
    }

    fn plays(&self) -> Result<Vec<Play>, UnknownName> {
        let cases = if self.case.is_empty() { CASES.to_vec() } else { self.case.clone() };
        let mut plays = Vec::new();
        for &nodes in &self.nodes {
            if !(2..=20_000).contains(&nodes) {
                let expected = "2 to 20000 nodes".to_owned();
                return Err(UnknownName { found: nodes.to_string(), expected });
            }
            for &loss in &self.loss {
                for &case in &cases {
                    plays.extend((1..=self.seeds).map(|seed| self.play(case, nodes, loss, seed)));
                }
            }
        }
        Ok(plays)
    }
}

/// Runs the cases and prints their figures.
pub fn run(args: &MembershipArgs) -> Result<bool, Box<dyn Error>> {
    let plays = args.plays()?;
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let bar = ProgressBar::new(plays.len() as u64);
    let outcomes = run_all(&plays, args.jobs.unwrap_or(cores), || bar.inc(1))?;
    bar.finish_and_clear();
    if args.json {
        writeln!(io::stdout().lock(), "{}", serde_json::to_string_pretty(&outcomes)?)?;
    } else {
        print_table(&outcomes)?;
    }
    Ok(true)
}

/// One column of the table.
struct Column {
    name: &'static str,
    width: usize,
    text: fn(&CaseOutcome) -> String,
}

const COLUMNS: [Column; 19] = [
    Column { name: "case", width: 15, text: |o| o.play.case.name() },
    Column { name: "nodes", width: 5, text: |o| o.play.nodes.to_string() },
    Column { name: "loss", width: 5, text: |o| o.play.loss.to_string() },
    Column { name: "seed", width: 4, text: |o| o.play.seed.to_string() },
    Column { name: "joined", width: 6, text: |o| time(o.joined_s) },
    Column { name: "known50", width: 7, text: |o| time(o.known_p50_s) },
    Column { name: "known99", width: 7, text: |o| time(o.known_p99_s) },
    Column { name: "knownall", width: 8, text: |o| time(o.known_all_s) },
    Column { name: "differ", width: 6, text: |o| time(o.disagreement_known_s) },
    Column { name: "converged", width: 9, text: |o| time(o.converged_s) },
    Column { name: "false", width: 5, text: |o| o.false_reports.to_string() },
    Column { name: "healed", width: 6, text: |o| o.false_reports_after_heal.to_string() },
    Column { name: "suspected", width: 9, text: |o| o.false_suspicions.to_string() },
    Column { name: "rejoined", width: 8, text: |o| o.rejoined.to_string() },
    Column { name: "shares", width: 6, text: |o| format!("{:.2}", o.share_sum) },
    Column { name: "B/s", width: 7, text: |o| format!("{:.0}", o.traffic.bytes_per_s) },
    Column { name: "peak B/s", width: 8, text: |o| format!("{:.0}", o.traffic.peak_bytes_per_s) },
    Column { name: "join B/s", width: 8, text: |o| format!("{:.0}", o.joining.peak_bytes_per_s) },
    Column { name: "us/node s", width: 9, text: |o| format!("{:.0}", o.processor_us_per_node_s) },
];

fn time(time: Option<f64>) -> String {
    time.map_or_else(|| "-".to_owned(), |time| format!("{time:.1}"))
}

fn print_table(outcomes: &[CaseOutcome]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    let line = |texts: Vec<String>| -> String {
        let cells = COLUMNS.iter().zip(texts);
        cells
            .map(|(column, text)| format!("{text:>width$}", width = column.width))
            .collect::<Vec<_>>()
            .join(" ")
    };
    writeln!(out, "{}", line(COLUMNS.iter().map(|column| column.name.to_owned()).collect()))?;
    for outcome in outcomes {
        writeln!(out, "{}", line(COLUMNS.iter().map(|column| (column.text)(outcome)).collect()))?;
    }
    Ok(())
}
