//! `walkpick-lab measure WHAT`: measures costs that grow with the fleet and writes them as series for the capacity
//! page.

use crate::measure::series::{Series, SeriesExt};
use crate::measure::{
    decisions, discovery, little_core, log, memory_child, relay, request_path, trials, MeasureError, Programs,
};
use crate::slopes::write_series;
use clap::{Args, Subcommand, ValueEnum};
use std::error::Error;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The available measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Measurement {
    /// Time and memory of routing decisions, in process
    Decisions,
    /// Discovery lists, changes and idle watches, with a real node
    Discovery,
    /// How long a node with a small share of a core takes to become ready, and how many requests it serves
    LittleCore,
    /// What a node logs, in normal operation and during failures
    Log,
    /// Cost of requests, connections and refusals on a real node, compared with a bare relay
    RequestPath,
    /// Load that all nodes together put on one failing server, in simulated time
    Trials,
}

/// Arguments of `measure`.
#[derive(Debug, Args)]
pub struct MeasureArgs {
    /// The measurement to run
    what: Measurement,
    /// Write the series to this file, as JSON
    #[arg(long)]
    series: Option<PathBuf>,
    /// Use small sizes and few runs, as a smoke test; the figures are not meaningful
    #[arg(long)]
    quick: bool,
    /// Path of the node's program; by default the one beside this program
    #[arg(long)]
    node: Option<PathBuf>,
}

/// Child processes that `measure` starts.
#[derive(Debug, Subcommand)]
pub enum Child {
    /// Create balancers and print the number of bytes that each takes
    Memory {
        /// Servers known to each balancer
        #[arg(long)]
        servers: usize,
        /// Number of balancers
        #[arg(long)]
        held: usize,
        /// Requests handled by each balancer
        #[arg(long)]
        requests: u64,
        /// Seed of the first balancer
        #[arg(long)]
        seed: u64,
    },
    /// Relay requests to these servers, round robin
    Relay {
        /// Addresses of the servers
        targets: Vec<SocketAddr>,
    },
}

/// Runs the measurement, prints a table and, if a file is given, writes the series to it.
pub fn run(args: &MeasureArgs) -> Result<bool, Box<dyn Error>> {
    let mut all = measure(args)?;
    let command = command(args);
    all.iter_mut().for_each(|series| series.command.clone_from(&command));
    if let Some(path) = &args.series {
        write_series(path, &all)?;
    }
    table(&all)?;
    Ok(true)
}

fn measure(args: &MeasureArgs) -> Result<Vec<Series>, MeasureError> {
    let programs = Programs::locate(args.node.clone());
    match args.what {
        Measurement::Decisions => {
            let params = match args.quick {
                true => decisions::Params { requests: 100, memory_requests: 50, balancers: 20, seeds: 1 },
                false => decisions::Params::default(),
            };
            decisions::measure(&params, &programs)
        }
        Measurement::Discovery => {
            let quick = || discovery::Params {
                servers: vec![1, 2, 4, 8],
                repetitions: 2,
                idle: Duration::ZERO,
                ..discovery::Params::default()
            };
            let params = if args.quick { quick() } else { discovery::Params::default() };
            discovery::measure(&params, &programs)
        }
        Measurement::LittleCore => {
            let quick = || little_core::Params {
                shares: vec![0.2, 0.3, 0.4, 0.5],
                length: Duration::from_millis(200),
                ..little_core::Params::default()
            };
            let params = if args.quick { quick() } else { little_core::Params::default() };
            little_core::measure(&params, &programs)
        }
        Measurement::Log => {
            let quick = || log::Params {
                servers: 12,
                servers_lost: vec![1, 2, 3, 4],
                peers_lost: vec![1, 2, 3, 4],
                peers_remaining: 1,
                rate: 100.0,
                rates: vec![60.0, 80.0, 100.0, 120.0],
                settle: Duration::ZERO,
                seconds: 3,
                ..log::Params::default()
            };
            log::measure(&if args.quick { quick() } else { log::Params::default() }, &programs)
        }
        Measurement::RequestPath => {
            let quick = || request_path::Params {
                rates: vec![100.0, 150.0, 200.0, 250.0],
                response_bytes_rate: 200.0,
                refusals: vec![100.0, 150.0, 200.0, 250.0],
                connections: vec![20, 40, 60, 80],
                in_flight: vec![20, 40, 60, 80],
                length: Duration::from_millis(100),
                settle: Duration::from_millis(10),
                seeds: 1,
                ..request_path::Params::default()
            };
            let params = if args.quick { quick() } else { request_path::Params::default() };
            request_path::measure(&params, &programs)
        }
        Measurement::Trials => {
            let quick = || trials::Params {
                nodes: vec![10, 20, 40, 80],
                sampled: 10,
                seeds: 1,
                scale: 0.05,
                ..trials::Params::default()
            };
            Ok(trials::measure(&if args.quick { quick() } else { trials::Params::default() }))
        }
    }
}

/// The command that reproduces the series, without the output path.
fn command(args: &MeasureArgs) -> String {
    let what = args.what.to_possible_value();
    let what = what.as_ref().map_or("", |what| what.get_name());
    let quick = if args.quick { " --quick" } else { "" };
    format!("walkpick-lab measure {what}{quick}")
}

fn table(all: &[Series]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    for series in all {
        writeln!(out, "{} ({}, against {})", series.name, series.unit, series.against)?;
        for size in series.sizes() {
            let plays = series.points.iter().filter(|point| point.size == size).count();
            writeln!(out, "  {size:>10}  {:>16.6}  {plays} plays", series.mean(size))?;
        }
    }
    Ok(())
}

/// Runs a child process of `measure`.
pub fn run_child(child: &Child) -> Result<bool, Box<dyn Error>> {
    match child {
        &Child::Memory { servers, held, requests, seed } => {
            println!(
                "{}",
                memory_child::measure(&memory_child::Params { servers, balancers: held, requests, seed })
            );
            Ok(true)
        }
        Child::Relay { targets } => {
            relay::serve(targets)?;
            Ok(true)
        }
    }
}
