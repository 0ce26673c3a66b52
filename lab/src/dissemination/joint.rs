//! The planned load over real membership in simulated time: bytes of both, on one budget.

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

/// Nodes have so long to meet.
const MEET: Micros = 60 * SECOND;
/// Then what joining takes is over.
const SETTLE: Micros = 10 * SECOND;
/// After the last entry, all have so long.
const DRAIN: Micros = 8 * SECOND;
/// What is published so long before a zone is lost may meet that on its way: the bound on an entry.
const ON_ITS_WAY: Micros = 2_400_000;
/// So long after it, the bounds hold again.
const RECOVERY: Micros = 5 * SECOND;
/// What was told is read this often.
const STEP: Micros = SECOND / 6;
/// The kind of the state that is published.
const STATE: u16 = 1;
const SEEDS: usize = 3;

/// A run under way.
struct Run {
    cluster: SimulatedCluster,
    publisher: usize,
    key: u64,
    ledger: Ledger,
    states: Vec<Micros>,
    /// When each node first had a version in force, by version.
    in_force: BTreeMap<(u64, usize), Micros>,
    acknowledged: Vec<Micros>,
    named_late: usize,
    false_words: usize,
    /// When a zone was lost.
    lost_at: Option<Micros>,
}

/// Runs a load on as many peers as it names, with their membership.
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
    cluster.run_until(MEET, SimulatedCluster::converged);
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
        in_force: BTreeMap::new(),
        acknowledged: Vec::new(),
        named_late: 0,
        false_words: 0,
        lost_at: None,
    };
    run.cluster.disseminated.clear();
    run.cluster.begin_measuring();
    let begun = run.cluster.now();
    run.cluster.sent_by_slot = Some(Traffic::new(load.nodes));
    let count = load.entries_per_second * load.seconds;
    let lost_from = load.zone_lost_after_s.map(|after| begun + after * SECOND);
    for sequence in 1..=count {
        if run.lost_at.is_none() && lost_from.is_some_and(|from| run.cluster.now() >= from) {
            run.lose_zone();
        }
        let due = load.state_every_s > 0
            && run.cluster.now() >= begun + run.states.len() as Micros * load.state_every_s * SECOND;
        if due {
            run.publish_state();
        }
        run.publish(sequence, load.entry_bytes);
        run.advance(begun + sequence * SECOND / load.entries_per_second.max(1));
    }
    let ended = run.cluster.now();
    let until = ended + DRAIN;
    while run.cluster.now() < until {
        let next = run.cluster.now() + STEP;
        run.advance(next);
    }
    run.judge(load, begun, ended, count)
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

    /// Kills all nodes of the first zone that is neither the publisher's nor has a seed.
    fn lose_zone(&mut self) {
        let zone = |node: usize| Topology::Regions.location(node).zone;
        let kept: Vec<usize> = (0..SEEDS).chain([self.publisher]).map(zone).collect();
        let Some(lost) = (0..self.nodes()).map(zone).find(|zone| !kept.contains(zone)) else { return };
        for node in (0..self.nodes()).filter(|&node| zone(node) == lost) {
            self.cluster.kill(node);
            self.ledger.exempt.insert(node);
        }
        self.lost_at = Some(self.cluster.now());
    }

    fn advance(&mut self, until: Micros) {
        self.cluster.run(until.saturating_sub(self.cluster.now()));
        for told in std::mem::take(&mut self.cluster.disseminated) {
            let subscriber = Subscriber { node: told.node, life: 1, publisher: self.key };
            match told.output {
                DisseminationOutput::Deliver { publisher, entry } => {
                    let id = EntryId { publisher, epoch: entry.epoch, sequence: entry.sequence };
                    self.ledger.delivered(told.at, subscriber, id, says(publisher, &entry));
                }
                DisseminationOutput::LogReset { after, through, .. } => {
                    self.ledger.reset(told.at, subscriber, after, through);
                }
                DisseminationOutput::StateApplied { entry, .. } => {
                    self.in_force.entry((entry.sequence, told.node)).or_insert(told.at);
                }
                DisseminationOutput::Acknowledged { elapsed, nodes, .. } => {
                    self.acknowledged.push(elapsed);
                    self.false_words += usize::from((nodes as usize) < self.alive());
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

    fn judge(&self, load: &Load, begun: Micros, ended: Micros, count: u64) -> Outcome {
        let times = self.calm_times(begun, ended + SECOND);
        let nodes = self.nodes();
        let got =
            |node: usize| self.ledger.count(Subscriber { node, life: 1, publisher: self.key }, 1) as u64;
        let sent = self.cluster.sent_by_slot.clone().unwrap_or_else(|| Traffic::new(nodes));
        let cores = (0..nodes).filter_map(|node| self.core(node));
        let mut counters = DisseminationCounters::default();
        for one in cores.clone().map(Dissemination::counters) {
            counters.add(&one);
        }
        Outcome {
            load: load.clone(),
            log_largest_s: seconds(times.last().copied().unwrap_or(0)),
            log_trouble_s: seconds(self.trouble().map_or(0, |(from, to)| self.ledger.slowest(from, to))),
            log_median_s: seconds(times.get(times.len() / 2).copied().unwrap_or(0)),
            state_largest_s: seconds(self.state_largest(|at| !self.in_trouble(at))),
            state_trouble_s: seconds(self.state_largest(|at| self.in_trouble(at))),
            acknowledged_largest_s: seconds(self.acknowledged.iter().copied().max().unwrap_or(0)),
            acknowledged: self.acknowledged.len(),
            named_late: self.named_late,
            false_words: self.false_words,
            faults: self.ledger.faults.len(),
            lost: self.left().map(|node| count.saturating_sub(got(node))).sum(),
            resets: self.ledger.resets.iter().filter(|reset| reset.at > begun).count(),
            peak_1s: sent.largest(begun, SECOND),
            peak_5s: sent.largest(begun, 5 * SECOND),
            mean: sent.mean(begun, ended),
            between_regions: 0.0,
            held_bytes: cores.map(Dissemination::held_bytes).max().unwrap_or(0),
            counters,
        }
    }

    /// Nodes that were not lost.
    fn left(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.nodes()).filter(|node| !self.ledger.exempt.contains(node))
    }

    /// From when to when the loss of a zone meets what is published.
    fn trouble(&self) -> Option<(Micros, Micros)> {
        self.lost_at.map(|at| (at.saturating_sub(ON_ITS_WAY), at + RECOVERY))
    }

    /// The times of entries that no loss met, in order.
    fn calm_times(&self, since: Micros, until: Micros) -> Vec<Micros> {
        let Some((from, to)) = self.trouble() else { return self.ledger.times(since, until) };
        let mut times = self.ledger.times(since, from);
        times.extend(self.ledger.times(to, until));
        times.sort_unstable();
        times
    }

    fn in_trouble(&self, at: Micros) -> bool {
        self.trouble().is_some_and(|(from, to)| (from..to).contains(&at))
    }

    /// The largest time from a change of state, of those published at such times, until all had it, or a newer one, in
    /// force.
    fn state_largest(&self, counts: impl Fn(Micros) -> bool) -> Micros {
        let mut largest = 0;
        for (place, &published) in self.states.iter().enumerate().filter(|(_, at)| counts(**at)) {
            let version = place as u64 + 1;
            for node in self.left() {
                let later = self.in_force.iter().filter(|((found, by), _)| *by == node && *found >= version);
                let at = later.map(|(_, at)| *at).min().unwrap_or(self.cluster.now());
                largest = largest.max(at.saturating_sub(published));
            }
        }
        largest
    }
}

fn says(publisher: u64, entry: &Entry) -> Option<EntryId> {
    let sequence = entry.payload.get(..8)?.try_into().ok().map(u64::from_le_bytes)?;
    Some(EntryId { publisher, epoch: entry.epoch, sequence })
}
