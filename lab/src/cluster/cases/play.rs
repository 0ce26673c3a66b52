//! Playing a case: all join, the trouble comes and ends, and the figures are taken.

use super::known::{disagreement_known, ExpectedReports};
use super::{Case, CaseOutcome};
use crate::cluster::{LinkConditions, SimulatedCluster, StandingChange, Topology, TrafficRates};
use crate::model::{micros, Micros, SECOND};
use serde::Serialize;
use std::time::Duration;
use thiserror::Error;
use walkpick::peers::{PeerStatus, PeersConfig};

/// All nodes have so long to find each other.
const JOIN_LIMIT: Micros = 60 * SECOND;
/// And so long to agree again.
const CONVERGE_LIMIT: Micros = 60 * SECOND;
/// Nodes that everybody asks first.
const SEEDS: usize = 3;
/// How often the cluster is looked at.
const LOOK: Micros = SECOND / 10;
/// After the end of a play traffic is measured for so long: a whole window.
const TAIL: Micros = 6 * SECOND;
const SPLIT_LENGTH: Micros = 30 * SECOND;
const REGION_CUT_LENGTH: Micros = 180 * SECOND;
const PAUSE_LENGTH: Micros = 10 * SECOND;
/// One that is killed alone is watched for so long.
const KILL_WATCH: Micros = 30 * SECOND;
/// From a farewell to the start anew.
const RESTART_TIME: Micros = SECOND;
/// From a kill to the start anew.
const REVIVE_TIME: Micros = 2 * SECOND;
const RELEASE_BATCHES: usize = 20;
const RELEASE_EVERY: Micros = 10 * SECOND;

/// One case on one cluster.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Play {
    /// What happens.
    pub case: Case,
    /// Nodes.
    pub nodes: usize,
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// The network.
    pub topology: Topology,
    /// The seed.
    pub seed: u64,
    /// From the time when all have joined to the beginning of the trouble, in microseconds.
    pub settle: Micros,
    /// How long nothing happens in the case of rest, in microseconds.
    pub rest: Micros,
    /// How often each peer probes another one, in microseconds.
    pub probe_every: Micros,
    /// An answer that takes longer is asked for by way of others, in microseconds.
    pub probe_timeout: Micros,
    /// Suspects have this many times `probe_every`, and more the more peers there are, to speak up.
    pub suspicion: f64,
}

/// The case makes no sense with so few nodes.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{}: found {nodes} nodes, expected {expected} and more", case.name())]
pub struct NotApplicable {
    /// The case.
    pub case: Case,
    /// Nodes that were asked for.
    pub nodes: usize,
    /// Nodes that it takes.
    pub expected: usize,
}

/// All have so long to settle, and nothing happens for so long, where nothing else is asked for.
const SETTLE: Micros = 2 * SECOND;
/// See [`SETTLE`].
const REST: Micros = 30 * SECOND;

impl Play {
    /// A case on a flat network that loses nothing, with the program's own times.
    pub fn new(case: Case, nodes: usize, seed: u64) -> Self {
        let config = PeersConfig::default();
        Self {
            case,
            nodes,
            loss: 0.0,
            topology: Topology::Flat,
            seed,
            settle: SETTLE,
            rest: REST,
            probe_every: micros(config.probe_interval),
            probe_timeout: micros(config.probe_timeout),
            suspicion: config.suspicion_multiplier,
        }
    }

    fn config(&self) -> PeersConfig {
        PeersConfig {
            configured_nodes: self.nodes as u32,
            probe_interval: Duration::from_micros(self.probe_every),
            probe_timeout: Duration::from_micros(self.probe_timeout),
            suspicion_multiplier: self.suspicion,
            ..PeersConfig::default()
        }
    }

    /// Whether the case makes sense: the trouble meets half of the nodes at the most, or is meant to meet more.
    pub fn check(&self) -> Result<(), NotApplicable> {
        let affected = self.case.affected(self.nodes, self.topology).len();
        // One more is split into halves of unequal size.
        let half = self.nodes.div_ceil(2);
        if self.nodes < 2 || affected > half && !self.case.meets_most() {
            let expected = (2 * affected).max(2);
            return Err(NotApplicable { case: self.case, nodes: self.nodes, expected });
        }
        Ok(())
    }
}

/// Plays a case.
pub fn run(play: Play) -> Result<CaseOutcome, NotApplicable> {
    play.check()?;
    Ok(Course::begin(play).finish())
}

/// A play on its course.
struct Course {
    play: Play,
    cluster: SimulatedCluster,
    affected: Vec<usize>,
    /// When the trouble began.
    begun: Micros,
    rejoined_before: u64,
    joined: Option<Micros>,
    joining: TrafficRates,
    joining_processor: f64,
    joining_s: f64,
    joining_part_of_peers: f64,
    share_sum: f64,
    /// While the cluster was cut, and for how long, where it was.
    while_cut: Option<(TrafficRates, Micros)>,
}

impl Course {
    /// All start and find each other, and have time to settle.
    fn begin(play: Play) -> Self {
        let Play { case, nodes, topology, .. } = play;
        let mut cluster =
            SimulatedCluster::new(play.config(), nodes, SEEDS.min(nodes), play.seed).with_topology(topology);
        cluster.links = LinkConditions { loss: play.loss, ..LinkConditions::default() };
        (0..nodes).for_each(|node| cluster.start(node));
        let joined = cluster.run_until(JOIN_LIMIT, SimulatedCluster::converged);
        cluster.run(play.settle);
        let begun = cluster.now();
        let joining = cluster.traffic.rates(begun);
        let meter = &cluster.processor;
        let mut course = Self {
            play,
            affected: case.affected(nodes, topology),
            begun,
            rejoined_before: cluster.rejoined,
            joined,
            joining,
            joining_processor: meter.peers_us_per_node_s(nodes, begun),
            joining_s: meter.thread_time().as_secs_f64(),
            joining_part_of_peers: meter.peers_part(),
            share_sum: share_sum(&cluster),
            while_cut: None,
            cluster,
        };
        course.cluster.begin_measuring();
        course
    }

    /// The trouble, the time until all agree again, and the figures.
    fn finish(mut self) -> CaseOutcome {
        let disagreement_known = self.trouble();
        let ended = self.cluster.now();
        let mut most = self.share_sum;
        let converged = self.cluster.run_until(CONVERGE_LIMIT, |cluster| {
            most = most.max(share_sum(cluster));
            cluster.converged()
        });
        self.share_sum = most;
        let means = self.cluster.traffic.rates(self.cluster.now());
        let measured_until = self.cluster.now();
        self.cluster.run(TAIL);
        let [known_p50, known_p99, known_all] = self.known();
        let lost = |change: &&StandingChange| change.standing == PeerStatus::Lost && self.is_false(change);
        let suspected =
            |change: &&StandingChange| change.standing == PeerStatus::Suspected && self.is_false(change);
        let changes = &self.cluster.standing_changes;
        let after_heal = |change: &&StandingChange| self.is_partition() && change.at >= ended;
        let now = self.cluster.now();
        let meter = &self.cluster.processor;
        let peaks = self.cluster.traffic.rates(now);
        let ending =
            TrafficRates { bytes_per_s: means.bytes_per_s, datagrams_per_s: means.datagrams_per_s, ..peaks };
        let traffic = match self.while_cut {
            Some((rates, length)) => rates.and_then(length, ending, measured_until - ended),
            None => ending,
        };
        let processor_s = meter.thread_time().as_secs_f64();
        let in_peers = processor_s * meter.peers_part() + self.joining_s * self.joining_part_of_peers;
        CaseOutcome {
            play: self.play,
            affected: self.affected.len(),
            joined_s: self.joined.map(seconds),
            known_p50_s: known_p50.map(seconds),
            known_p99_s: known_p99.map(seconds),
            known_all_s: known_all.map(seconds),
            disagreement_known_s: disagreement_known.map(seconds),
            converged_s: converged.map(seconds),
            false_reports: changes.iter().filter(lost).filter(|change| !after_heal(change)).count(),
            false_reports_after_heal: changes.iter().filter(lost).filter(after_heal).count(),
            false_suspicions: changes.iter().filter(suspected).count(),
            rejoined: self.cluster.rejoined - self.rejoined_before,
            share_sum: self.share_sum,
            joining: self.joining,
            traffic,
            while_cut: self.while_cut.map(|(rates, _)| rates),
            returning: self.while_cut.is_some().then_some(ending),
            processor_us_per_node_s: meter.peers_us_per_node_s(self.play.nodes, now - self.begun),
            joining_processor_us_per_node_s: self.joining_processor,
            processor_s: processor_s + self.joining_s,
            processor_part_of_peers: in_peers / (processor_s + self.joining_s).max(f64::MIN_POSITIVE),
            simulated_s: seconds(now),
        }
    }

    /// Has the trouble come and end. Until 9 in 10 knew that views differ, where that is a matter of the case.
    fn trouble(&mut self) -> Option<Micros> {
        match self.play.case {
            Case::Join => {}
            Case::Rest => self.watch(self.play.rest),
            Case::Kill => {
                self.kill_affected();
                self.watch(KILL_WATCH);
            }
            Case::Leave => {
                self.affected.iter().for_each(|node| self.cluster.leave(*node));
                self.watch(KILL_WATCH);
            }
            Case::Pause => self.pause(),
            Case::Restarts | Case::RestartTenth => self.restart(&self.affected.clone()),
            Case::RackLost | Case::ZoneLost | Case::ZoneShareLost => self.kill_affected(),
            Case::KillMost => {
                self.kill_affected();
                self.watch(REVIVE_TIME);
                self.affected.iter().for_each(|node| self.cluster.start(*node));
            }
            Case::Split => return self.cut_off(SPLIT_LENGTH),
            Case::RegionCut => return self.cut_off(REGION_CUT_LENGTH),
            Case::Release => self.release(),
        }
        None
    }

    fn kill_affected(&mut self) {
        self.affected.iter().for_each(|node| self.cluster.kill(*node));
    }

    fn pause(&mut self) {
        self.affected.iter().for_each(|node| self.cluster.pause(*node));
        self.watch(PAUSE_LENGTH);
        self.affected.iter().for_each(|node| self.cluster.resume(*node));
    }

    fn restart(&mut self, nodes: &[usize]) {
        nodes.iter().for_each(|node| self.cluster.leave(*node));
        self.watch(RESTART_TIME);
        nodes.iter().for_each(|node| self.cluster.start(*node));
    }

    fn cut_off(&mut self, length: Micros) -> Option<Micros> {
        let affected = self.is_affected();
        self.cluster.partition(|node| u32::from(affected[node]));
        self.watch(length);
        let known = disagreement_known(&self.cluster.agreement_changes, self.play.nodes * 9 / 10, self.begun);
        self.while_cut = Some((self.cluster.traffic.rates(self.cluster.now()), length));
        self.cluster.traffic.reset(self.cluster.now());
        self.cluster.partition(|_| 0);
        known
    }

    fn release(&mut self) {
        for batch in 0..RELEASE_BATCHES {
            let nodes: Vec<_> =
                self.affected.iter().copied().filter(|node| node % RELEASE_BATCHES == batch).collect();
            self.restart(&nodes);
            if batch + 1 < RELEASE_BATCHES {
                self.watch(RELEASE_EVERY - RESTART_TIME);
            }
        }
    }

    fn watch(&mut self, time: Micros) {
        let end = self.cluster.now() + time;
        while self.cluster.now() < end {
            self.cluster.run(LOOK.min(end - self.cluster.now()));
            self.share_sum = self.share_sum.max(share_sum(&self.cluster));
        }
    }

    fn is_affected(&self) -> Vec<bool> {
        let mut affected = vec![false; self.play.nodes];
        self.affected.iter().for_each(|node| affected[*node] = true);
        affected
    }

    fn is_partition(&self) -> bool {
        matches!(self.play.case, Case::Split | Case::RegionCut)
    }

    /// Whether a node ran and could be reached that was reported otherwise. One that was paused was silent for a reason.
    fn is_false(&self, change: &StandingChange) -> bool {
        let was_paused = self.play.case == Case::Pause && self.affected.contains(&change.subject);
        change.reachable && !was_paused
    }

    /// Until half, 99 in 100 and all had reported who was lost or left.
    fn known(&self) -> [Option<Micros>; 3] {
        let standing = match self.play.case {
            Case::Kill | Case::RackLost | Case::ZoneLost | Case::ZoneShareLost => PeerStatus::Lost,
            Case::Split | Case::RegionCut => PeerStatus::Lost,
            Case::Leave => PeerStatus::Left,
            _ => return [None; 3],
        };
        let expected =
            ExpectedReports { affected: &self.is_affected(), both_ways: self.is_partition(), standing };
        expected.known(&self.cluster.standing_changes, self.begun, [0.5, 0.99, 1.0])
    }
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// The sum of what all nodes take for their shares.
fn share_sum(cluster: &SimulatedCluster) -> f64 {
    let alive = (0..cluster.counts.len()).filter(|&node| cluster.alive(node));
    alive.map(|node| 1.0 / f64::from(cluster.counts[node].max(1))).sum()
}
