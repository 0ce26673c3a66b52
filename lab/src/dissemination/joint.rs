//! Loads over real membership in simulated time; the traffic of both counts against one byte budget.

use super::ledger::{EntryId, Ledger, Subscriber};
use super::scenario::{seconds, Load, Outcome};
use super::traffic::Traffic;
use crate::cluster::{LinkConditions, SimulatedCluster, Topology};
use crate::model::{Micros, SECOND};
use std::collections::BTreeMap;
use walkpick::peers::dissemination::{
    Dissemination, DisseminationConfig, DisseminationCounters, DisseminationOutput, Entry,
};
use walkpick::peers::PeersConfig;

/// Time limit for all nodes to join.
const JOIN_TIMEOUT: Micros = 60 * SECOND;
/// Time after joining until its traffic has ended_at.
const SETTLE: Micros = 10 * SECOND;
/// Time for delivery to all nodes after the last entry.
const DRAIN: Micros = 8 * SECOND;
/// Bound on the delivery time of an entry; what is published this long before the loss of a zone may be affected by it.
const DELIVERY_BOUND: Micros = 2_400_000;
/// Time after the loss of a zone from which the bounds hold again.
const RECOVERY: Micros = 5 * SECOND;
/// Interval at which outputs are read after the last entry.
const READ_INTERVAL: Micros = SECOND / 6;
/// Kind of the published state.
const STATE: u16 = 1;
const SEEDS: usize = 3;

/// A load that is being run.
struct Run {
    cluster: SimulatedCluster,
    publisher: usize,
    key: u64,
    ledger: Ledger,
    states: Vec<Micros>,
    /// Time at which a node first applied a version, by version and node.
    applied_at: BTreeMap<(u64, usize), Micros>,
    acknowledged: Vec<Micros>,
    named_late: usize,
    false_acknowledgements: usize,
    /// Time at which a zone was lost.
    zone_lost_at: Option<Micros>,
}

/// Runs a load on peers with real membership.
pub fn run(load: &Load) -> Outcome {
    let config = PeersConfig {
        configured_nodes: load.nodes as u32,
        dissemination: Some(DisseminationConfig::default()),
        ..PeersConfig::default()
    };
    let mut cluster = SimulatedCluster::new(config, load.nodes, SEEDS.min(load.nodes), load.seed)
        .with_topology(Topology::Regions);
    cluster.links = LinkConditions { loss: load.loss, ..LinkConditions::default() };
    (0..load.nodes).for_each(|node| cluster.start(node));
    cluster.run_until(JOIN_TIMEOUT, SimulatedCluster::converged);
    cluster.run(SETTLE);
    let publisher = load.nodes / 2;
    let key =
        cluster.peers(publisher).and_then(|peers| peers.dissemination()).map_or(0, |core| core.me().key);
    cluster.with_peers(publisher, |peers, now, out| peers.open_publisher(now, 1, 1, Vec::new(), out));
    let mut run = Run {
        cluster,
        publisher,
        key,
        ledger: Ledger::default(),
        states: Vec::new(),
        applied_at: BTreeMap::new(),
        acknowledged: Vec::new(),
        named_late: 0,
        false_acknowledgements: 0,
        zone_lost_at: None,
    };
    run.cluster.disseminated.clear();
    run.cluster.begin_measuring();
    let started_at = run.cluster.now();
    run.cluster.sent_by_slot = Some(Traffic::new(load.nodes));
    let count = load.entries_per_second * load.seconds;
    let zone_lost_from = load.zone_lost_after_s.map(|after| started_at + after * SECOND);
    for sequence in 1..=count {
        if run.zone_lost_at.is_none() && zone_lost_from.is_some_and(|from| run.cluster.now() >= from) {
            run.lose_zone();
        }
        let due = load.state_every_s > 0
            && run.cluster.now() >= started_at + run.states.len() as Micros * load.state_every_s * SECOND;
        if due {
            run.publish_state();
        }
        run.publish(sequence, load.entry_bytes);
        run.advance(started_at + sequence * SECOND / load.entries_per_second.max(1));
    }
    let ended_at = run.cluster.now();
    let until = ended_at + DRAIN;
    while run.cluster.now() < until {
        let next = run.cluster.now() + READ_INTERVAL;
        run.advance(next);
    }
    run.outcome(load, started_at, ended_at, count)
}

impl Run {
    fn publish(&mut self, sequence: u64, bytes: usize) {
        let mut payload = vec![0; bytes.max(8)];
        payload[..8].copy_from_slice(&sequence.to_le_bytes());
        let id = EntryId { publisher: self.key, epoch: 1, sequence };
        self.ledger.published(self.cluster.now(), id);
        self.cluster
            .with_peers(self.publisher, |peers, now, out| peers.publish_log_entry(now, 0, 1, payload, out));
    }

    fn publish_state(&mut self) {
        self.states.push(self.cluster.now());
        self.cluster.with_peers(self.publisher, |peers, now, out| {
            peers.publish_state(now, STATE, 1, vec![7; 800], out)
        });
    }

    /// Kills all nodes of the first zone that contains neither the publisher nor a seed.
    fn lose_zone(&mut self) {
        let zone = |node: usize| Topology::Regions.location(node).zone;
        let kept: Vec<usize> = (0..SEEDS).chain([self.publisher]).map(zone).collect();
        let Some(lost) = (0..self.nodes()).map(zone).find(|zone| !kept.contains(zone)) else { return };
        for node in (0..self.nodes()).filter(|&node| zone(node) == lost) {
            self.cluster.kill(node);
            self.ledger.exempt.insert(node);
        }
        self.zone_lost_at = Some(self.cluster.now());
    }

    fn advance(&mut self, until: Micros) {
        self.cluster.run(until.saturating_sub(self.cluster.now()));
        for event in std::mem::take(&mut self.cluster.disseminated) {
            let subscriber = Subscriber { node: event.node, incarnation: 1, publisher: self.key };
            match event.output {
                DisseminationOutput::Deliver { publisher, entry } => {
                    let id = EntryId { publisher, epoch: entry.epoch, sequence: entry.sequence };
                    self.ledger.delivered(event.at, subscriber, id, encoded_id(publisher, &entry));
                }
                DisseminationOutput::LogReset { after, through, .. } => {
                    self.ledger.reset(event.at, subscriber, after, through);
                }
                DisseminationOutput::StateApplied { entry, .. } => {
                    self.applied_at.entry((entry.sequence, event.node)).or_insert(event.at);
                }
                DisseminationOutput::Acknowledged { elapsed, nodes, .. } => {
                    self.acknowledged.push(elapsed);
                    self.false_acknowledgements += usize::from((nodes as usize) < self.alive());
                }
                DisseminationOutput::Unacknowledged { .. } => self.named_late += 1,
                _ => {}
            }
        }
    }

    fn nodes(&self) -> usize {
        self.cluster.effective_nodes.len()
    }

    fn alive(&self) -> usize {
        (0..self.nodes()).filter(|&node| self.cluster.alive(node)).count()
    }

    fn core(&self, node: usize) -> Option<&Dissemination> {
        self.cluster.peers(node).and_then(|peers| peers.dissemination())
    }

    fn outcome(&self, load: &Load, started_at: Micros, ended_at: Micros, count: u64) -> Outcome {
        let times = self.undisturbed_times(started_at, ended_at + SECOND);
        let nodes = self.nodes();
        let received = |node: usize| {
            self.ledger.count(Subscriber { node, incarnation: 1, publisher: self.key }, 1) as u64
        };
        let sent = self.cluster.sent_by_slot.clone().unwrap_or_else(|| Traffic::new(nodes));
        let cores = (0..nodes).filter_map(|node| self.core(node));
        let mut counters = DisseminationCounters::default();
        for one in cores.clone().map(Dissemination::counters) {
            counters.add(&one);
        }
        Outcome {
            load: load.clone(),
            log_largest_s: seconds(times.last().copied().unwrap_or(0)),
            log_trouble_s: seconds(
                self.disturbed_period().map_or(0, |(from, to)| self.ledger.max_delivery_time(from, to)),
            ),
            log_median_s: seconds(times.get(times.len() / 2).copied().unwrap_or(0)),
            state_largest_s: seconds(self.state_largest(|at| !self.is_disturbed(at))),
            state_trouble_s: seconds(self.state_largest(|at| self.is_disturbed(at))),
            acknowledged_largest_s: seconds(self.acknowledged.iter().copied().max().unwrap_or(0)),
            acknowledged: self.acknowledged.len(),
            named_late: self.named_late,
            false_acknowledgements: self.false_acknowledgements,
            faults: self.ledger.faults.len(),
            lost: self.survivors().map(|node| count.saturating_sub(received(node))).sum(),
            resets: self.ledger.resets.iter().filter(|reset| reset.at > started_at).count(),
            peak_1s: sent.peak_rate(started_at, SECOND),
            peak_5s: sent.peak_rate(started_at, 5 * SECOND),
            mean: sent.mean_rate(started_at, ended_at),
            between_regions: 0.0,
            held_bytes: cores.map(Dissemination::held_bytes).max().unwrap_or(0),
            counters,
        }
    }

    /// Nodes outside the lost zone.
    fn survivors(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.nodes()).filter(|node| !self.ledger.exempt.contains(node))
    }

    /// Period in which publications are affected by the loss of a zone.
    fn disturbed_period(&self) -> Option<(Micros, Micros)> {
        self.zone_lost_at.map(|at| (at.saturating_sub(DELIVERY_BOUND), at + RECOVERY))
    }

    /// Sorted delivery times of entries not affected by the loss of a zone.
    fn undisturbed_times(&self, since: Micros, until: Micros) -> Vec<Micros> {
        let Some((from, to)) = self.disturbed_period() else {
            return self.ledger.sorted_delivery_times(since, until);
        };
        let mut times = self.ledger.sorted_delivery_times(since, from);
        times.extend(self.ledger.sorted_delivery_times(to, until));
        times.sort_unstable();
        times
    }

    fn is_disturbed(&self, at: Micros) -> bool {
        self.disturbed_period().is_some_and(|(from, to)| (from..to).contains(&at))
    }

    /// The largest time from a state change until all nodes had applied it or a newer one, over the changes whose publication
    /// time is selected by `include`.
    fn state_largest(&self, include: impl Fn(Micros) -> bool) -> Micros {
        let mut largest = 0;
        for (index, &published) in self.states.iter().enumerate().filter(|(_, at)| include(**at)) {
            let version = index as u64 + 1;
            for node in self.survivors() {
                let later =
                    self.applied_at.iter().filter(|((found, by), _)| *by == node && *found >= version);
                let at = later.map(|(_, at)| *at).min().unwrap_or(self.cluster.now());
                largest = largest.max(at.saturating_sub(published));
            }
        }
        largest
    }
}

/// The id that is encoded in the payload of an entry.
fn encoded_id(publisher: u64, entry: &Entry) -> Option<EntryId> {
    let sequence = entry.payload.get(..8)?.try_into().ok().map(u64::from_le_bytes)?;
    Some(EntryId { publisher, epoch: entry.epoch, sequence })
}
