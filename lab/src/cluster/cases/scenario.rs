//! Runs one scenario: all nodes join, the fault begins and ends, and the figures are taken.

use super::reports::{time_until_disagreement, ExpectedReports};
use super::{Case, CaseOutcome};
use crate::cluster::{LinkConditions, SimulatedCluster, StatusChange, Topology, TrafficRates};
use crate::model::{micros, Micros, SECOND};
use serde::Serialize;
use std::time::Duration;
use thiserror::Error;
use walkpick::peers::{PeerStatus, PeersConfig};

/// Time limit for all nodes to join.
const JOIN_TIMEOUT: Micros = 60 * SECOND;
/// Time limit for all views to become equal again after the fault.
const CONVERGE_TIMEOUT: Micros = 60 * SECOND;
/// Number of seed nodes.
const SEEDS: usize = 3;
/// Interval at which the cluster is sampled.
const SAMPLE_INTERVAL: Micros = SECOND / 10;
/// Time for which traffic is measured after the views are equal again; covers a complete window.
const TRAFFIC_TAIL: Micros = 6 * SECOND;
const SPLIT_DURATION: Micros = 30 * SECOND;
const REGION_CUT_DURATION: Micros = 180 * SECOND;
const PAUSE_DURATION: Micros = 10 * SECOND;
/// Time for which the cluster is observed after a single node was killed or left.
const OBSERVATION_TIME: Micros = 30 * SECOND;
/// From a leave message to the next start of the process.
const RESTART_DELAY: Micros = SECOND;
/// From a kill to the next start of the process.
const KILLED_RESTART_DELAY: Micros = 2 * SECOND;
const RELEASE_BATCHES: usize = 20;
const RELEASE_INTERVAL: Micros = 10 * SECOND;

/// One case with the size, network and settings of the cluster that it is run on.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Scenario {
    /// The case.
    pub case: Case,
    /// Number of nodes.
    pub nodes: usize,
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// The network topology.
    pub topology: Topology,
    /// Seed of all random draws.
    pub seed: u64,
    /// From the time when all nodes have joined to the beginning of the fault, in microseconds.
    pub settle: Micros,
    /// Duration of [`Case::Rest`], in microseconds.
    pub rest: Micros,
    /// Interval at which each peer probes another one, in microseconds.
    pub probe_every: Micros,
    /// Time after which an unanswered probe is repeated through other peers, in microseconds.
    pub probe_timeout: Micros,
    /// Suspicion timeout as a multiple of `probe_every`; it also grows with the number of peers.
    pub suspicion: f64,
}

/// The cluster is too small for the case.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{}: found {nodes} nodes, expected {expected} or more", case.name())]
pub struct NotApplicable {
    /// The case.
    pub case: Case,
    /// Requested number of nodes.
    pub nodes: usize,
    /// Minimum number of nodes.
    pub expected: usize,
}

/// Default of [`Scenario::settle`].
const DEFAULT_SETTLE: Micros = 2 * SECOND;
/// Default of [`Scenario::rest`].
const DEFAULT_REST: Micros = 30 * SECOND;

impl Scenario {
    /// A case on a flat network without loss, with walkpick's default timing.
    pub fn new(case: Case, nodes: usize, seed: u64) -> Self {
        let config = PeersConfig::default();
        Self {
            case,
            nodes,
            loss: 0.0,
            topology: Topology::Flat,
            seed,
            settle: DEFAULT_SETTLE,
            rest: DEFAULT_REST,
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

    /// Checks that the fault affects at most half of the nodes, unless the case is meant to affect more.
    pub fn check(&self) -> Result<(), NotApplicable> {
        let affected = self.case.affected(self.nodes, self.topology).len();
        // An odd number of nodes is split into unequal halves.
        let half = self.nodes.div_ceil(2);
        if self.nodes < 2 || affected > half && !self.case.affects_most() {
            let expected = (2 * affected).max(2);
            return Err(NotApplicable { case: self.case, nodes: self.nodes, expected });
        }
        Ok(())
    }
}

/// Runs a scenario.
pub fn run(scenario: Scenario) -> Result<CaseOutcome, NotApplicable> {
    scenario.check()?;
    Ok(ScenarioRun::begin(scenario).finish())
}

/// A scenario that is being run.
struct ScenarioRun {
    scenario: Scenario,
    cluster: SimulatedCluster,
    affected: Vec<usize>,
    /// When the fault began.
    fault_at: Micros,
    rejoined_before: u64,
    joined: Option<Micros>,
    joining: TrafficRates,
    joining_processor: f64,
    joining_s: f64,
    joining_peers_fraction: f64,
    share_sum: f64,
    /// Rates during a partition, and its duration.
    while_cut: Option<(TrafficRates, Micros)>,
}

impl ScenarioRun {
    /// Starts all nodes, waits until they have joined, and lets the cluster settle.
    fn begin(scenario: Scenario) -> Self {
        let Scenario { case, nodes, topology, .. } = scenario;
        let mut cluster = SimulatedCluster::new(scenario.config(), nodes, SEEDS.min(nodes), scenario.seed)
            .with_topology(topology);
        cluster.links = LinkConditions { loss: scenario.loss, ..LinkConditions::default() };
        (0..nodes).for_each(|node| cluster.start(node));
        let joined = cluster.run_until(JOIN_TIMEOUT, SimulatedCluster::converged);
        cluster.run(scenario.settle);
        let fault_at = cluster.now();
        let joining = cluster.traffic.rates(fault_at);
        let meter = &cluster.processor;
        let mut run = Self {
            scenario,
            affected: case.affected(nodes, topology),
            fault_at,
            rejoined_before: cluster.rejoined,
            joined,
            joining,
            joining_processor: meter.peers_us_per_node_s(nodes, fault_at),
            joining_s: meter.thread_time().as_secs_f64(),
            joining_peers_fraction: meter.peers_fraction(),
            share_sum: share_sum(&cluster),
            while_cut: None,
            cluster,
        };
        run.cluster.begin_measuring();
        run
    }

    /// Injects the fault, waits until all views are equal again, and takes the figures.
    fn finish(mut self) -> CaseOutcome {
        let disagreement_known = self.inject_fault();
        let fault_ended_at = self.cluster.now();
        let mut max_share_sum = self.share_sum;
        let converged = self.cluster.run_until(CONVERGE_TIMEOUT, |cluster| {
            max_share_sum = max_share_sum.max(share_sum(cluster));
            cluster.converged()
        });
        self.share_sum = max_share_sum;
        let means = self.cluster.traffic.rates(self.cluster.now());
        let measured_until = self.cluster.now();
        self.cluster.run(TRAFFIC_TAIL);
        let [known_p50, known_p99, known_all] = self.report_times();
        let lost = |change: &&StatusChange| change.status == PeerStatus::Lost && self.is_false(change);
        let suspected =
            |change: &&StatusChange| change.status == PeerStatus::Suspected && self.is_false(change);
        let changes = &self.cluster.status_changes;
        let after_heal = |change: &&StatusChange| self.is_partition() && change.at >= fault_ended_at;
        let now = self.cluster.now();
        let meter = &self.cluster.processor;
        let peaks = self.cluster.traffic.rates(now);
        let after_fault =
            TrafficRates { bytes_per_s: means.bytes_per_s, datagrams_per_s: means.datagrams_per_s, ..peaks };
        let traffic = match self.while_cut {
            Some((rates, length)) => rates.followed_by(length, after_fault, measured_until - fault_ended_at),
            None => after_fault,
        };
        let processor_s = meter.thread_time().as_secs_f64();
        let in_peers = processor_s * meter.peers_fraction() + self.joining_s * self.joining_peers_fraction;
        CaseOutcome {
            scenario: self.scenario,
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
            returning: self.while_cut.is_some().then_some(after_fault),
            processor_us_per_node_s: meter.peers_us_per_node_s(self.scenario.nodes, now - self.fault_at),
            joining_processor_us_per_node_s: self.joining_processor,
            processor_s: processor_s + self.joining_s,
            processor_part_of_peers: in_peers / (processor_s + self.joining_s).max(f64::MIN_POSITIVE),
            simulated_s: seconds(now),
        }
    }

    /// Injects the fault and ends it. For a partition, returns the time until 9 in 10 nodes reported that views differ.
    fn inject_fault(&mut self) -> Option<Micros> {
        match self.scenario.case {
            Case::Join => {}
            Case::Rest => self.observe(self.scenario.rest),
            Case::Kill => {
                self.kill_affected();
                self.observe(OBSERVATION_TIME);
            }
            Case::Leave => {
                self.affected.iter().for_each(|node| self.cluster.leave(*node));
                self.observe(OBSERVATION_TIME);
            }
            Case::Pause => self.pause(),
            Case::Restarts | Case::RestartTenth => self.restart(&self.affected.clone()),
            Case::RackLost | Case::ZoneLost | Case::ZoneShareLost => self.kill_affected(),
            Case::KillMost => {
                self.kill_affected();
                self.observe(KILLED_RESTART_DELAY);
                self.affected.iter().for_each(|node| self.cluster.start(*node));
            }
            Case::Split => return self.cut_off(SPLIT_DURATION),
            Case::RegionCut => return self.cut_off(REGION_CUT_DURATION),
            Case::Release => self.release(),
        }
        None
    }

    fn kill_affected(&mut self) {
        self.affected.iter().for_each(|node| self.cluster.kill(*node));
    }

    fn pause(&mut self) {
        self.affected.iter().for_each(|node| self.cluster.pause(*node));
        self.observe(PAUSE_DURATION);
        self.affected.iter().for_each(|node| self.cluster.resume(*node));
    }

    fn restart(&mut self, nodes: &[usize]) {
        nodes.iter().for_each(|node| self.cluster.leave(*node));
        self.observe(RESTART_DELAY);
        nodes.iter().for_each(|node| self.cluster.start(*node));
    }

    fn cut_off(&mut self, length: Micros) -> Option<Micros> {
        let affected = self.is_affected();
        self.cluster.partition(|node| u32::from(affected[node]));
        self.observe(length);
        let reported = time_until_disagreement(
            &self.cluster.agreement_changes,
            self.scenario.nodes * 9 / 10,
            self.fault_at,
        );
        self.while_cut = Some((self.cluster.traffic.rates(self.cluster.now()), length));
        self.cluster.traffic.reset(self.cluster.now());
        self.cluster.partition(|_| 0);
        reported
    }

    fn release(&mut self) {
        for batch in 0..RELEASE_BATCHES {
            let nodes: Vec<_> =
                self.affected.iter().copied().filter(|node| node % RELEASE_BATCHES == batch).collect();
            self.restart(&nodes);
            if batch + 1 < RELEASE_BATCHES {
                self.observe(RELEASE_INTERVAL - RESTART_DELAY);
            }
        }
    }

    fn observe(&mut self, time: Micros) {
        let end = self.cluster.now() + time;
        while self.cluster.now() < end {
            self.cluster.run(SAMPLE_INTERVAL.min(end - self.cluster.now()));
            self.share_sum = self.share_sum.max(share_sum(&self.cluster));
        }
    }

    fn is_affected(&self) -> Vec<bool> {
        let mut affected = vec![false; self.scenario.nodes];
        self.affected.iter().for_each(|node| affected[*node] = true);
        affected
    }

    fn is_partition(&self) -> bool {
        matches!(self.scenario.case, Case::Split | Case::RegionCut)
    }

    /// Whether a report concerns a node that was running and reachable. A paused node is rightly reported as unreachable.
    fn is_false(&self, change: &StatusChange) -> bool {
        let was_paused = self.scenario.case == Case::Pause && self.affected.contains(&change.subject);
        change.reachable && !was_paused
    }

    /// Times until 50 %, 99 % and all of the expected reports of lost or departed nodes had been made.
    fn report_times(&self) -> [Option<Micros>; 3] {
        let status = match self.scenario.case {
            Case::Kill | Case::RackLost | Case::ZoneLost | Case::ZoneShareLost => PeerStatus::Lost,
            Case::Split | Case::RegionCut => PeerStatus::Lost,
            Case::Leave => PeerStatus::Left,
            _ => return [None; 3],
        };
        let expected =
            ExpectedReports { affected: &self.is_affected(), both_ways: self.is_partition(), status };
        expected.times_until(&self.cluster.status_changes, self.fault_at, [0.5, 0.99, 1.0])
    }
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// The sum over all running nodes of the share that each assumes for itself.
fn share_sum(cluster: &SimulatedCluster) -> f64 {
    let alive = (0..cluster.effective_nodes.len()).filter(|&node| cluster.alive(node));
    alive.map(|node| 1.0 / f64::from(cluster.effective_nodes[node].max(1))).sum()
}
