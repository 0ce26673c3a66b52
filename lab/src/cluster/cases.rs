//! Cases of membership in simulated time, each with its figures.

use super::{LinkConditions, SimulatedCluster, StandingChange};
use crate::model::{Micros, SECOND};
use clap::ValueEnum;
use serde::Serialize;
use walkpick::peers::{Agreement, PeersConfig, Standing};

/// All nodes have so long to find each other.
const JOIN_LIMIT: Micros = 60 * SECOND;
/// Nodes that everybody asks first.
const SEEDS: usize = 3;

/// What happens to the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    /// One is killed.
    Kill,
    /// One leaves with a farewell.
    Leave,
    #[value(alias = "calm")]
    /// Nothing happens, for as long as is asked for.
    Rest,
    /// One is paused for 10 s.
    Pause,
    /// Two halves for 30 s.
    Split,
    #[value(alias = "roll")]
    /// A tenth are restarted at once.
    RestartTenth,
    #[value(alias = "herd")]
    /// Seven in ten are killed at once.
    KillMost,
}

/// All cases.
pub const CASES: [Case; 7] =
    [Case::Kill, Case::Leave, Case::Rest, Case::Pause, Case::Split, Case::RestartTenth, Case::KillMost];

impl Case {
    /// As it is written.
    pub fn name(self) -> String {
        self.to_possible_value().map(|value| value.get_name().to_owned()).unwrap_or_default()
    }
}

/// What a case came to. Times are in seconds; a missing one was not reached within its limit.
#[derive(Clone, Debug, Serialize)]
pub struct CaseOutcome {
    /// The case.
    pub case: Case,
    /// Nodes.
    pub nodes: usize,
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// The seed.
    pub seed: u64,
    /// From the start until all views were the same.
    pub joined_s: Option<f64>,
    /// Until half, and 99 in a hundred, of those that stayed knew of who is gone.
    pub known_p50_s: Option<f64>,
    /// See `known_p50_s`.
    pub known_p99_s: Option<f64>,
    /// Until 9 in 10 nodes reported that views differ.
    pub disagreement_known_s: Option<f64>,
    /// From the end of the trouble until all views were the same again.
    pub converged_s: Option<f64>,
    /// Reports that a node is gone that was not: the one that was paused apart.
    pub false_reports: usize,
    /// How often a node rejoined that had been declared gone.
    pub rejoined: u64,
    /// The largest sum of what all nodes take for their shares, where one is the whole.
    pub share_sum: f64,
    /// Bytes that a node sent a second in the mean, after all had joined.
    pub bytes_per_s: f64,
}

/// Runs a case. `rest`: how long nothing happens where nothing is to happen.
pub fn run(case: Case, nodes: usize, loss: f64, seed: u64, rest: Micros) -> CaseOutcome {
    let config = PeersConfig { nodes: nodes as u32, ..PeersConfig::default() };
    let mut cluster = SimulatedCluster::new(config, nodes, SEEDS.min(nodes), seed);
    cluster.links = LinkConditions { loss, ..LinkConditions::default() };
    (0..nodes).for_each(|node| cluster.start(node));
    let joined = cluster.run_until(JOIN_LIMIT, SimulatedCluster::converged);
    cluster.run(2 * SECOND);
    let (begun, before) = (cluster.now(), cluster.rejoined);
    cluster.traffic.reset(begun);
    cluster.standing_changes.clear();
    cluster.agreement_changes.clear();
    let mut outcome = CaseOutcome {
        case,
        nodes,
        loss,
        seed,
        joined_s: joined.map(seconds),
        known_p50_s: None,
        known_p99_s: None,
        disagreement_known_s: None,
        converged_s: None,
        false_reports: 0,
        rejoined: 0,
        share_sum: share_sum(&cluster),
        bytes_per_s: 0.0,
    };
    // Not one of the seeds, where there are others.
    let one = nodes - 1;
    let mut gone = Vec::new();
    match case {
        Case::Kill | Case::Leave => {
            if case == Case::Kill {
                cluster.kill(one);
            } else {
                cluster.leave(one);
            }
            gone.push(one);
            watch(&mut cluster, 30 * SECOND, &mut outcome);
            let standing = if case == Case::Kill { Standing::Lost } else { Standing::Left };
            let mut known = first_reports(&cluster.standing_changes, one, standing, begun);
            known.sort_unstable();
            let at =
                |part: f64| known.get(((nodes - 1) as f64 * part).ceil() as usize - 1).copied().map(seconds);
            (outcome.known_p50_s, outcome.known_p99_s) = (at(0.5), at(0.99));
        }
        Case::Rest => watch(&mut cluster, rest, &mut outcome),
        Case::Pause => {
            cluster.pause(one);
            watch(&mut cluster, 10 * SECOND, &mut outcome);
            cluster.resume(one);
            gone.push(one);
        }
        Case::Split => {
            cluster.partition(|node| u32::from(node >= nodes / 2));
            watch(&mut cluster, 30 * SECOND, &mut outcome);
            outcome.disagreement_known_s = disagreement_known(&cluster, nodes * 9 / 10, begun).map(seconds);
            gone.extend(0..nodes);
            cluster.partition(|_| 0);
        }
        Case::RestartTenth => {
            let rolled: Vec<_> = (0..nodes).filter(|node| node % 10 == 3).collect();
            rolled.iter().for_each(|&node| cluster.leave(node));
            watch(&mut cluster, SECOND, &mut outcome);
            rolled.iter().for_each(|&node| cluster.start(node));
            gone.extend(rolled);
        }
        Case::KillMost => {
            let killed: Vec<_> = (0..nodes).filter(|node| node % 10 < 7).collect();
            killed.iter().for_each(|&node| cluster.kill(node));
            watch(&mut cluster, 2 * SECOND, &mut outcome);
            killed.iter().for_each(|&node| cluster.start(node));
            gone.extend(killed);
        }
    }
    outcome.rejoined = cluster.rejoined - before;
    let (ended, mut most) = (cluster.now(), outcome.share_sum);
    let converged = cluster.run_until(60 * SECOND, |cluster| {
        most = most.max(share_sum(cluster));
        cluster.converged()
    });
    outcome.share_sum = most;
    outcome.converged_s = converged.map(seconds);
    let took = seconds(cluster.now() - begun).max(1.0);
    outcome.bytes_per_s = cluster.traffic.total().bytes as f64 / took / nodes as f64;
    let wrong =
        |change: &&StandingChange| change.standing == Standing::Lost && !gone.contains(&change.subject);
    // One that was paused takes nobody for gone when it goes on.
    let by_paused =
        |change: &&StandingChange| case == Case::Pause && change.observer == one && change.at >= ended;
    outcome.false_reports = cluster
        .standing_changes
        .iter()
        .filter(|change| wrong(change) || by_paused(change) && change.standing == Standing::Lost)
        .count();
    outcome
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// The sum of what all nodes take for their shares.
fn share_sum(cluster: &SimulatedCluster) -> f64 {
    let alive = (0..cluster.counts.len()).filter(|&node| cluster.alive(node));
    alive.map(|node| 1.0 / f64::from(cluster.counts[node].max(1))).sum()
}

fn watch(cluster: &mut SimulatedCluster, time: Micros, outcome: &mut CaseOutcome) {
    let end = cluster.now() + time;
    while cluster.now() < end {
        cluster.run(SECOND / 10);
        outcome.share_sum = outcome.share_sum.max(share_sum(cluster));
    }
}

/// When each node first reported this standing of a peer.
fn first_reports(
    changes: &[StandingChange],
    subject: usize,
    standing: Standing,
    since: Micros,
) -> Vec<Micros> {
    let mut first = std::collections::BTreeMap::new();
    for change in changes.iter().filter(|change| change.subject == subject && change.standing == standing) {
        first.entry(change.observer).or_insert(change.at - since);
    }
    first.into_values().collect()
}

/// Until so many nodes had reported that views differ.
fn disagreement_known(cluster: &SimulatedCluster, nodes: usize, since: Micros) -> Option<Micros> {
    let mut first = std::collections::BTreeMap::new();
    for change in &cluster.agreement_changes {
        if change.agreement != Agreement::Agreed {
            first.entry(change.observer).or_insert(change.at - since);
        }
    }
    let mut first: Vec<_> = first.into_values().collect();
    first.sort_unstable();
    first.get(nodes.saturating_sub(1)).copied()
}
