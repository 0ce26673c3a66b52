//! Load that all nodes together put on one server that is down, cold or returning, and how soon a node opens the
//! breaker of a failing server. Each node is simulated on its own, and the request rates differ between nodes.

pub mod node_simulation;

use super::series::{Method, Series, SeriesExt};
use crate::model::{Micros, SECOND};
use node_simulation::{simulate, Fault, Scenario, ServerLoad, BIN};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Cache servers and zones of the planned fleet.
const SERVERS: usize = 110;
const ZONES: usize = 19;
/// Mean requests per second of a node: the planned fleet's 400,000 over 530 nodes.
const MEAN_RATE: f64 = 755.0;
/// Request rates as multiples of the mean, each for a tenth of the nodes, since traffic differs much between sites.
/// The first is the cold node's, the last the hot node's.
const RATE_FACTORS: [f64; 10] = [0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1.0, 1.25, 1.8, 3.5];
const COLD: usize = 0;
const HOT: usize = RATE_FACTORS.len() - 1;
/// Time of normal operation before the fault.
const WARM_UP: Micros = 8 * SECOND;
/// Duration of the outage of a silent server.
const OUTAGE: Micros = 20 * SECOND;
/// Time after which every node that opens the breaker early has done so: later requests of the outage are trials.
const TRIALS_FROM: Micros = 10 * SECOND;
/// How long the server is observed after a restart or the end of an outage.
const OBSERVATION: Micros = 12 * SECOND;
/// The fleet size at which results by a node's own rate are reported too.
const PLAN_NODES: u32 = 530;

/// Parameters of the measurement.
#[derive(Clone, Debug)]
pub struct Params {
    /// Numbers of nodes in the fleet.
    pub nodes: Vec<u32>,
    /// Nodes simulated for each fleet size, a tenth of them at each rate; their load is scaled up to the whole fleet.
    pub sampled: usize,
    /// Runs of each size.
    pub seeds: u64,
    /// Runs in parallel.
    pub jobs: usize,
    /// Scale of the numbers of servers and zones and of the request rate.
    pub scale: f64,
}

impl Default for Params {
    fn default() -> Self {
        Self { nodes: vec![66, 132, 265, 530, 1_060], sampled: 60, seeds: 3, jobs: 2, scale: 1.0 }
    }
}

/// The simulation of one node in one run.
#[derive(Clone, Copy, Debug)]
struct Task {
    nodes: u32,
    fault: Fault,
    seed: u64,
    /// Index among the simulated nodes.
    index: usize,
    sampled: usize,
}

impl Task {
    fn rate_index(&self) -> usize {
        self.index * RATE_FACTORS.len() / self.sampled
    }

    fn simulate(&self, scale: f64) -> ServerLoad {
        let (fault_end, length) = match self.fault {
            Fault::Silent => (WARM_UP + OUTAGE, WARM_UP + OUTAGE + OBSERVATION),
            Fault::Restarted => (WARM_UP, WARM_UP + OBSERVATION),
        };
        let scenario = Scenario {
            nodes: self.nodes,
            servers: ((SERVERS as f64 * scale).ceil() as usize).max(4),
            zones: ((ZONES as f64 * scale).ceil() as usize).max(2),
            rate: MEAN_RATE * scale * RATE_FACTORS[self.rate_index()],
            fault: self.fault,
            fault_start: WARM_UP,
            fault_end,
            length,
        };
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (self.index as u64) << 20;
        simulate(&scenario, seed ^ u64::from(self.nodes))
    }
}

/// Load from all nodes on the failing server in one run, by time bin.
struct FleetLoad {
    requests: Vec<f64>,
    connections: Vec<f64>,
}

impl FleetLoad {
    fn new(runs: &[(Task, ServerLoad)], nodes: u32) -> Self {
        let weight = f64::from(nodes) / runs.len().max(1) as f64;
        let sum = |select: fn(&ServerLoad) -> &[u32]| {
            let bins = runs.iter().map(|(_, load)| select(load).len()).max().unwrap_or(0);
            let bin_total =
                |bin: usize| runs.iter().map(|(_, load)| f64::from(select(load)[bin])).sum::<f64>();
            (0..bins).map(|bin| bin_total(bin) * weight).collect::<Vec<_>>()
        };
        Self { requests: sum(|load| &load.requests), connections: sum(|load| &load.connections) }
    }
}

/// Mean count per second from `from` to `to`.
fn mean(bins: &[f64], from: Micros, to: Micros) -> f64 {
    let range = &bins[(from / BIN) as usize..(to / BIN) as usize];
    range.iter().sum::<f64>() / ((to - from) as f64 / SECOND as f64)
}

/// Largest count in any second from `from` to `to`.
fn largest(bins: &[f64], from: Micros, to: Micros) -> f64 {
    let range = &bins[(from / BIN) as usize..(to / BIN) as usize];
    let second = (SECOND / BIN) as usize;
    range.windows(second).map(|bins| bins.iter().sum::<f64>()).fold(0.0, f64::max)
}

/// Measures all series of trials.
pub fn measure(params: &Params) -> Vec<Series> {
    let mut series = SeriesSet::new();
    for &nodes in &params.nodes {
        for seed in 1..=params.seeds {
            let runs = simulate_all(params, nodes, seed);
            let (silent, restarted): (Vec<_>, Vec<_>) =
                runs.into_iter().partition(|(task, _)| task.fault == Fault::Silent);
            series.add_silent(&silent, nodes, seed);
            series.add_restarted(&restarted, nodes, seed);
            if nodes == PLAN_NODES || !params.nodes.contains(&PLAN_NODES) {
                series.add_by_rate(&silent, params.scale, seed);
            }
        }
    }
    series.into_series()
}

fn simulate_all(params: &Params, nodes: u32, seed: u64) -> Vec<(Task, ServerLoad)> {
    let sampled = params.sampled;
    let tasks_for = |fault| (0..sampled).map(move |index| Task { nodes, fault, seed, index, sampled });
    let tasks: Vec<_> = tasks_for(Fault::Silent).chain(tasks_for(Fault::Restarted)).collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..params.jobs.max(1) {
            scope.spawn(|| {
                while let Some(task) = tasks.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let load = task.simulate(params.scale);
                    done.lock().unwrap_or_else(PoisonError::into_inner).push((*task, load));
                }
            });
        }
    });
    done.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// The series under construction.
struct SeriesSet {
    all: Vec<Series>,
}

impl SeriesSet {
    fn new() -> Self {
        Self { all: Vec::new() }
    }

    fn add(&mut self, name: &str, unit: &str, against: &str, size: f64, value: f64, seed: u64) {
        let index = self.all.iter().position(|series| series.name == name);
        let index = index.unwrap_or_else(|| {
            self.all.push(Series::new(name, unit, against, Method::Simulated));
            self.all.len() - 1
        });
        self.all[index].push(size, value, seed);
    }

    fn add_by_nodes(&mut self, name: &str, unit: &str, nodes: u32, value: f64, seed: u64) {
        self.add(name, unit, "nodes", nodes.into(), value, seed);
    }

    /// Adds the mean and the largest rate per second of requests and connections within the time range.
    fn add_rates(
        &mut self,
        what: &str,
        load: &FleetLoad,
        (from, to): (Micros, Micros),
        nodes: u32,
        seed: u64,
    ) {
        for (kind, bins) in [("requests", &load.requests), ("connections", &load.connections)] {
            let name = format!("trials.{kind}_per_second.{what}");
            self.add_by_nodes(&name, "1/s", nodes, mean(bins, from, to), seed);
            self.add_by_nodes(&format!("{name}.largest"), "1/s", nodes, largest(bins, from, to), seed);
        }
    }

    fn add_silent(&mut self, runs: &[(Task, ServerLoad)], nodes: u32, seed: u64) {
        let load = FleetLoad::new(runs, nodes);
        let outage_end = WARM_UP + OUTAGE;
        self.add_rates("calm", &load, (WARM_UP / 2, WARM_UP), nodes, seed);
        self.add_rates("failing", &load, (WARM_UP, WARM_UP + TRIALS_FROM), nodes, seed);
        self.add_rates("down", &load, (WARM_UP + TRIALS_FROM, outage_end), nodes, seed);
        self.add_rates("returning", &load, (outage_end, outage_end + OBSERVATION), nodes, seed);
        for (name, rate) in [("hot", HOT), ("cold", COLD)] {
            let (seconds, never_opened) = time_to_open(runs, rate);
            self.add_by_nodes(&format!("trials.seconds_to_shut.{name}"), "s", nodes, seconds, seed);
            self.add_by_nodes(
                &format!("trials.never_shut.{name}"),
                "part of nodes",
                nodes,
                never_opened,
                seed,
            );
        }
    }

    fn add_restarted(&mut self, runs: &[(Task, ServerLoad)], nodes: u32, seed: u64) {
        self.add_rates("cold", &FleetLoad::new(runs, nodes), (WARM_UP, WARM_UP + OBSERVATION), nodes, seed);
    }

    /// Adds the results of a node by its own request rate.
    fn add_by_rate(&mut self, runs: &[(Task, ServerLoad)], scale: f64, seed: u64) {
        for (index, factor) in RATE_FACTORS.iter().enumerate() {
            let rate = MEAN_RATE * scale * factor;
            let same: Vec<_> = runs.iter().filter(|(task, _)| task.rate_index() == index).cloned().collect();
            let (seconds, _) = time_to_open(&same, index);
            let load = FleetLoad::new(&same, 1);
            let requests = mean(&load.requests, WARM_UP + TRIALS_FROM, WARM_UP + OUTAGE);
            let against = "requests a second of the node";
            self.add("trials.seconds_to_shut.by_rate", "s", against, rate, seconds, seed);
            self.add("trials.requests_per_second.down_by_rate", "1/s", against, rate, requests, seed);
        }
    }

    fn into_series(self) -> Vec<Series> {
        self.all
    }
}

/// Mean seconds until the nodes of a rate opened the server's breaker, and the part of them that did not during the
/// outage: they count with its whole duration.
fn time_to_open(runs: &[(Task, ServerLoad)], rate: usize) -> (f64, f64) {
    let within = |load: &ServerLoad| load.opened_after.filter(|after| *after < OUTAGE);
    let load: Vec<_> =
        runs.iter().filter(|(task, _)| task.rate_index() == rate).map(|(_, load)| within(load)).collect();
    let count = load.len().max(1) as f64;
    let seconds = load.iter().map(|after| after.unwrap_or(OUTAGE) as f64 / SECOND as f64).sum::<f64>();
    (seconds / count, load.iter().filter(|after| after.is_none()).count() as f64 / count)
}
