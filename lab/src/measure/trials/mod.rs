//! What all nodes together ask of one server that is down, cold or returning, and how soon a node has shut one that
//! fails: simulated, each node by itself, with requests spread unevenly over the nodes.

pub mod node_play;

use super::series::{Collect, Method, Series};
use crate::model::{Micros, SECOND};
use node_play::{play, Met, Setting, Trouble, BIN};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Cache servers and zones of the plan.
const SERVERS: usize = 110;
const ZONES: usize = 19;
/// Requests a second of a node, on the mean: the plan's 400,000 over 530 nodes.
const MEAN_RATE: f64 = 755.0;
/// Rates of a tenth of the nodes each, as parts of the mean: sites differ much. The first is the cold node, the last the
/// hot one.
const SPREAD: [f64; 10] = [0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1.0, 1.25, 1.8, 3.5];
const COLD: usize = 0;
const HOT: usize = SPREAD.len() - 1;
/// Nodes meet their servers for so long before anything happens.
const LEAD: Micros = 8 * SECOND;
/// A server that is down says nothing for so long.
const DOWN: Micros = 20 * SECOND;
/// By then each node that will shut it soon has done so: what comes afterwards are trials.
const SHUT_BY: Micros = 10 * SECOND;
/// How long after a start or a return it is looked at.
const AFTER: Micros = 12 * SECOND;
/// The size at which a node's own rate is told as well.
const PLAN_NODES: u32 = 530;

/// How much is played.
#[derive(Clone, Debug)]
pub struct Effort {
    /// Numbers of nodes.
    pub nodes: Vec<u32>,
    /// Nodes that are played of each number, a tenth of them at each rate; they stand for the others.
    pub played: usize,
    /// Plays of each size.
    pub seeds: u64,
    /// Plays at once.
    pub jobs: usize,
    /// Part of the servers, zones and rate that is played.
    pub part: f64,
}

impl Default for Effort {
    fn default() -> Self {
        Self { nodes: vec![66, 132, 265, 530, 1_060], played: 60, seeds: 3, jobs: 2, part: 1.0 }
    }
}

/// One node of one play.
#[derive(Clone, Copy, Debug)]
struct Task {
    nodes: u32,
    trouble: Trouble,
    seed: u64,
    /// Which of those that are played.
    place: usize,
    played: usize,
}

impl Task {
    fn rate_place(&self) -> usize {
        self.place * SPREAD.len() / self.played
    }

    fn play(&self, part: f64) -> Met {
        let (ends, length) = match self.trouble {
            Trouble::Silent => (LEAD + DOWN, LEAD + DOWN + AFTER),
            Trouble::Restarted => (LEAD, LEAD + AFTER),
        };
        let setting = Setting {
            nodes: self.nodes,
            servers: ((SERVERS as f64 * part).ceil() as usize).max(4),
            zones: ((ZONES as f64 * part).ceil() as usize).max(2),
            rate: MEAN_RATE * part * SPREAD[self.rate_place()],
            trouble: self.trouble,
            begins: LEAD,
            ends,
            length,
        };
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (self.place as u64) << 20;
        play(&setting, seed ^ u64::from(self.nodes))
    }
}

/// What one server met from all nodes, in one play.
struct Sum {
    requests: Vec<f64>,
    connections: Vec<f64>,
}

impl Sum {
    fn new(plays: &[(Task, Met)], nodes: u32) -> Self {
        let weight = f64::from(nodes) / plays.len().max(1) as f64;
        let sum = |of: fn(&Met) -> &[u32]| {
            let bins = plays.iter().map(|(_, met)| of(met).len()).max().unwrap_or(0);
            let one = |bin: usize| plays.iter().map(|(_, met)| f64::from(of(met)[bin])).sum::<f64>();
            (0..bins).map(|bin| one(bin) * weight).collect::<Vec<_>>()
        };
        Self { requests: sum(|met| &met.requests), connections: sum(|met| &met.connections) }
    }
}

/// A second's count, on the mean, from `from` to `to`.
fn mean(bins: &[f64], from: Micros, to: Micros) -> f64 {
    let span = &bins[(from / BIN) as usize..(to / BIN) as usize];
    span.iter().sum::<f64>() / ((to - from) as f64 / SECOND as f64)
}

/// The largest count of any second within that time.
fn largest(bins: &[f64], from: Micros, to: Micros) -> f64 {
    let span = &bins[(from / BIN) as usize..(to / BIN) as usize];
    let second = (SECOND / BIN) as usize;
    span.windows(second).map(|bins| bins.iter().sum::<f64>()).fold(0.0, f64::max)
}

/// All series of trials.
pub fn measure(effort: &Effort) -> Vec<Series> {
    let mut collected = Collected::new();
    for &nodes in &effort.nodes {
        for seed in 1..=effort.seeds {
            let plays = play_all(effort, nodes, seed);
            let (silent, restarted): (Vec<_>, Vec<_>) =
                plays.into_iter().partition(|(task, _)| task.trouble == Trouble::Silent);
            collected.silent(&silent, nodes, seed);
            collected.restarted(&restarted, nodes, seed);
            if nodes == PLAN_NODES || !effort.nodes.contains(&PLAN_NODES) {
                collected.by_rate(&silent, effort.part, seed);
            }
        }
    }
    collected.into_series()
}

fn play_all(effort: &Effort, nodes: u32, seed: u64) -> Vec<(Task, Met)> {
    let played = effort.played;
    let of = |trouble| (0..played).map(move |place| Task { nodes, trouble, seed, place, played });
    let tasks: Vec<_> = of(Trouble::Silent).chain(of(Trouble::Restarted)).collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..effort.jobs.max(1) {
            scope.spawn(|| {
                while let Some(task) = tasks.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let met = task.play(effort.part);
                    done.lock().unwrap_or_else(PoisonError::into_inner).push((*task, met));
                }
            });
        }
    });
    done.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// The series, as they grow.
struct Collected {
    all: Vec<Series>,
}

impl Collected {
    fn new() -> Self {
        Self { all: Vec::new() }
    }

    fn add(&mut self, name: &str, unit: &str, against: &str, size: f64, value: f64, seed: u64) {
        let place = self.all.iter().position(|series| series.name == name);
        let place = place.unwrap_or_else(|| {
            self.all.push(Series::new(name, unit, against, Method::Simulated));
            self.all.len() - 1
        });
        self.all[place].push(size, value, seed);
    }

    fn against_nodes(&mut self, name: &str, unit: &str, nodes: u32, value: f64, seed: u64) {
        self.add(name, unit, "nodes", nodes.into(), value, seed);
    }

    /// Mean and largest second of requests and connections within a time.
    fn rates(&mut self, what: &str, sum: &Sum, (from, to): (Micros, Micros), nodes: u32, seed: u64) {
        for (kind, bins) in [("requests", &sum.requests), ("connections", &sum.connections)] {
            let name = format!("trials.{kind}_per_second.{what}");
            self.against_nodes(&name, "1/s", nodes, mean(bins, from, to), seed);
            self.against_nodes(&format!("{name}.largest"), "1/s", nodes, largest(bins, from, to), seed);
        }
    }

    fn silent(&mut self, plays: &[(Task, Met)], nodes: u32, seed: u64) {
        let sum = Sum::new(plays, nodes);
        let back = LEAD + DOWN;
        self.rates("calm", &sum, (LEAD / 2, LEAD), nodes, seed);
        self.rates("failing", &sum, (LEAD, LEAD + SHUT_BY), nodes, seed);
        self.rates("down", &sum, (LEAD + SHUT_BY, back), nodes, seed);
        self.rates("returning", &sum, (back, back + AFTER), nodes, seed);
        for (name, rate) in [("hot", HOT), ("cold", COLD)] {
            let (seconds, open) = shut(plays, rate);
            self.against_nodes(&format!("trials.seconds_to_shut.{name}"), "s", nodes, seconds, seed);
            self.against_nodes(&format!("trials.never_shut.{name}"), "part of nodes", nodes, open, seed);
        }
    }

    fn restarted(&mut self, plays: &[(Task, Met)], nodes: u32, seed: u64) {
        self.rates("cold", &Sum::new(plays, nodes), (LEAD, LEAD + AFTER), nodes, seed);
    }

    /// What one node does, by its own rate.
    fn by_rate(&mut self, plays: &[(Task, Met)], part: f64, seed: u64) {
        for (place, spread) in SPREAD.iter().enumerate() {
            let rate = MEAN_RATE * part * spread;
            let same: Vec<_> = plays.iter().filter(|(task, _)| task.rate_place() == place).cloned().collect();
            let (seconds, _) = shut(&same, place);
            let sum = Sum::new(&same, 1);
            let asked = mean(&sum.requests, LEAD + SHUT_BY, LEAD + DOWN);
            let against = "requests a second of the node";
            self.add("trials.seconds_to_shut.by_rate", "s", against, rate, seconds, seed);
            self.add("trials.requests_per_second.down_by_rate", "1/s", against, rate, asked, seed);
        }
    }

    fn into_series(self) -> Vec<Series> {
        self.all
    }
}

/// Seconds until the nodes of a rate had shut the server, on the mean, and the part of them that never did while it was
/// down: they count with all of that time.
fn shut(plays: &[(Task, Met)], rate: usize) -> (f64, f64) {
    let within = |met: &Met| met.shut_after.filter(|after| *after < DOWN);
    let met: Vec<_> =
        plays.iter().filter(|(task, _)| task.rate_place() == rate).map(|(_, met)| within(met)).collect();
    let count = met.len().max(1) as f64;
    let seconds = met.iter().map(|after| after.unwrap_or(DOWN) as f64 / SECOND as f64).sum::<f64>();
    (seconds / count, met.iter().filter(|after| after.is_none()).count() as f64 / count)
}
