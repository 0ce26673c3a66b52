//! `walkpick-lab membership`: runs failure cases of membership among any number of peers in simulated time.

use super::UnknownName;
use crate::cluster::cases::{run_all, series, Case, CaseOutcome, Scenario, CASES};
use crate::cluster::memory::memory_per_member;
use crate::cluster::Topology;
use crate::model::micros;
use crate::slopes::write_series;
use clap::Args;
use indicatif::ProgressBar;
use std::error::Error;
use std::io::{self, Write};
use std::path::PathBuf;
use std::time::Duration;

/// Arguments of `walkpick-lab membership`.
#[derive(Debug, Args)]
pub struct MembershipArgs {
    /// Cases to run [default: a selection of them]
    #[arg(long, value_delimiter = ',')]
    case: Vec<Case>,
    /// Numbers of nodes [default: 50]
    #[arg(long, value_delimiter = ',')]
    nodes: Vec<usize>,
    /// Fractions of the datagrams that are lost [default: 0]
    #[arg(long, value_delimiter = ',')]
    loss: Vec<f64>,
    /// Network topology
    #[arg(long, default_value = "flat")]
    topology: Topology,
    /// Number of random seeds [default: 3]
    #[arg(long)]
    seeds: Option<u64>,
    /// Duration of the case `rest` [default: 1 min]
    #[arg(long, alias = "calm", value_parser = humantime::parse_duration)]
    rest: Option<Duration>,
    /// Time from when all nodes have joined to the beginning of a case [default: 2 s]
    #[arg(long, value_parser = humantime::parse_duration)]
    settle: Option<Duration>,
    /// Interval at which each peer probes another one [default: that of walkpick]
    #[arg(long, value_parser = humantime::parse_duration)]
    probe_every: Option<Duration>,
    /// Time after which an unanswered probe is repeated through other peers [default: that of walkpick]
    #[arg(long, value_parser = humantime::parse_duration)]
    probe_timeout: Option<Duration>,
    /// Suspicion timeout as a multiple of --probe-every; it also grows with the number of peers
    #[arg(long)]
    suspicion: Option<f64>,
    /// Write series for the capacity page into this file; sizes, losses, cases and times then default to those of the page
    #[arg(long)]
    series: Option<PathBuf>,
    /// Number of runs in parallel [default: number of cores]
    #[arg(long)]
    jobs: Option<usize>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Values of arguments that are not given.
struct Defaults {
    cases: &'static [Case],
    nodes: &'static [usize],
    loss: &'static [f64],
    seeds: u64,
    settle: Duration,
    rest: Duration,
}

const TABLE_DEFAULTS: Defaults = Defaults {
    cases: &CASES,
    nodes: &[50],
    loss: &[0.0],
    seeds: 3,
    settle: Duration::from_secs(2),
    rest: Duration::from_secs(60),
};

/// Defaults for the capacity page. The longer settling time ends the traffic of joining before a case begins.
const SERIES_DEFAULTS: Defaults = Defaults {
    cases: &[
        Case::Rest,
        Case::Kill,
        Case::Restarts,
        Case::RestartTenth,
        Case::RackLost,
        Case::ZoneLost,
        Case::ZoneShareLost,
        Case::KillMost,
        Case::Split,
        Case::RegionCut,
        Case::Release,
    ],
    nodes: &[66, 132, 265, 530, 1_060, 2_120],
    loss: &[0.0, 0.05],
    seeds: 1,
    settle: Duration::from_secs(30),
    rest: Duration::from_secs(30),
};

/// Largest size for which the default series include all cases. Larger sizes have only some cases and no loss, because each
/// run takes minutes.
const MAX_NODES_WITH_ALL_CASES: usize = 1_060;
const CASES_OF_LARGE_SIZES: [Case; 7] =
    [Case::Rest, Case::Kill, Case::Restarts, Case::RackLost, Case::ZoneLost, Case::RegionCut, Case::Release];

/// Largest size for which memory is measured. Larger ones add no information and take minutes.
const MAX_NODES_FOR_MEMORY: usize = 1_060;

/// The given values, or the default if there are none.
fn given_or_default<T: Clone>(given: &[T], default: &[T]) -> Vec<T> {
    if given.is_empty() {
        default.to_vec()
    } else {
        given.to_vec()
    }
}

impl MembershipArgs {
    fn defaults(&self) -> &'static Defaults {
        match self.series {
            Some(_) => &SERIES_DEFAULTS,
            None => &TABLE_DEFAULTS,
        }
    }

    fn sizes(&self) -> Result<Vec<usize>, UnknownName> {
        let sizes = given_or_default(&self.nodes, self.defaults().nodes);
        match sizes.iter().find(|nodes| !(2..=20_000).contains(*nodes)) {
            Some(nodes) => {
                let expected = "2 to 20000 nodes".to_owned();
                Err(UnknownName { found: nodes.to_string(), expected })
            }
            None => Ok(sizes),
        }
    }

    fn scenario(&self, case: Case, nodes: usize, loss: f64, seed: u64) -> Scenario {
        let (scenario, defaults) = (Scenario::new(case, nodes, seed), self.defaults());
        Scenario {
            loss,
            topology: self.topology,
            settle: micros(self.settle.unwrap_or(defaults.settle)),
            rest: micros(self.rest.unwrap_or(defaults.rest)),
            probe_every: self.probe_every.map_or(scenario.probe_every, micros),
            probe_timeout: self.probe_timeout.map_or(scenario.probe_timeout, micros),
            suspicion: self.suspicion.unwrap_or(scenario.suspicion),
            ..scenario
        }
    }

    fn scenarios(&self) -> Result<Vec<Scenario>, Box<dyn Error>> {
        let defaults = self.defaults();
        let mut scenarios = Vec::new();
        for nodes in self.sizes()? {
            for loss in given_or_default(&self.loss, defaults.loss) {
                for case in given_or_default(&self.case, defaults.cases) {
                    let seeds = 1..=self.seeds.unwrap_or(defaults.seeds);
                    scenarios.extend(seeds.map(|seed| self.scenario(case, nodes, loss, seed)));
                }
            }
        }
        if self.series.is_some() && self.nodes.is_empty() {
            scenarios.retain(in_series_by_default);
        }
        if self.case.is_empty() {
            // Default cases that do not apply are left out; cases that were asked for are rejected below.
            scenarios.retain(|scenario| scenario.check().is_ok());
        }
        scenarios.iter().try_for_each(Scenario::check)?;
        Ok(scenarios)
    }
}

/// Runs the cases and prints their figures.
pub fn run(args: &MembershipArgs) -> Result<bool, Box<dyn Error>> {
    let scenarios = args.scenarios()?;
    let command = command_line();
    // Memory is measured first, while nothing else runs in this process.
    let memory = match &args.series {
        Some(_) => Some(memory_per_member(&sizes_for_memory(args.sizes()?), 1, &command)?),
        None => None,
    };
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let bar = ProgressBar::new(scenarios.len() as u64);
    let outcomes = run_all(&scenarios, args.jobs.unwrap_or(cores), || bar.inc(1))?;
    bar.finish_and_clear();
    if let Some(path) = &args.series {
        let mut all = series(&outcomes, &command);
        all.extend(memory);
        write_series(path, &all)?;
    }
    if args.json {
        writeln!(io::stdout().lock(), "{}", serde_json::to_string_pretty(&outcomes)?)?;
    } else {
        print_table(&outcomes)?;
    }
    Ok(true)
}

fn in_series_by_default(scenario: &Scenario) -> bool {
    let in_large_sizes = scenario.loss == 0.0 && CASES_OF_LARGE_SIZES.contains(&scenario.case);
    scenario.nodes <= MAX_NODES_WITH_ALL_CASES || in_large_sizes
}

fn sizes_for_memory(mut sizes: Vec<usize>) -> Vec<usize> {
    sizes.sort_unstable();
    sizes.dedup();
    sizes.retain(|nodes| *nodes <= MAX_NODES_FOR_MEMORY);
    sizes
}

/// The command line as a user would type it.
fn command_line() -> String {
    let arguments = std::env::args().skip(1);
    std::iter::once("walkpick-lab".to_owned()).chain(arguments).collect::<Vec<_>>().join(" ")
}

/// One column of the table.
struct Column {
    name: &'static str,
    width: usize,
    text: fn(&CaseOutcome) -> String,
}

const COLUMNS: [Column; 19] = [
    Column { name: "case", width: 15, text: |o| o.scenario.case.name() },
    Column { name: "nodes", width: 5, text: |o| o.scenario.nodes.to_string() },
    Column { name: "loss", width: 5, text: |o| o.scenario.loss.to_string() },
    Column { name: "seed", width: 4, text: |o| o.scenario.seed.to_string() },
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
