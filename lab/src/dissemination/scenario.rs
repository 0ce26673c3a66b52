//! Loads on a cluster of dissemination cores, and their outcomes.

use super::cluster::Cluster;
use super::topology::Topology;
use crate::model::links::Impairment;
use crate::model::{Micros, SECOND};
use serde::{Deserialize, Serialize};
use walkpick::peers::dissemination::{DisseminationCounters, DisseminationOutput};

/// Time for nodes to receive the positions of logs before anything is published.
const SETTLE: Micros = 4 * SECOND;
/// Time limit for delivery to all nodes after the last entry.
const DRAIN: Micros = 10 * SECOND;

/// A steady load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of nodes.
    pub nodes: usize,
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// Seed of all random draws.
    pub seed: u64,
    /// Log entries published per second.
    pub entries_per_second: u64,
    /// Payload size of each entry.
    pub entry_bytes: usize,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Interval of state changes in seconds; 0 means no changes.
    pub state_every_s: u64,
    /// Time after which a zone other than the publisher's is lost, in seconds; only with real membership.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone_lost_after_s: Option<u64>,
}

impl Load {
    /// Total number of log entries.
    pub fn entries(&self) -> u64 {
        self.entries_per_second * self.seconds
    }

    /// The planned load: 6 purges per second for 60 s, and a change of configuration every 10 s.
    pub fn planned(nodes: usize, loss: f64, seed: u64) -> Self {
        Self {
            nodes,
            loss,
            seed,
            entries_per_second: 6,
            entry_bytes: 100,
            seconds: 60,
            state_every_s: 10,
            zone_lost_after_s: None,
        }
    }
}

/// Outcome of a load. Times are in seconds.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The load.
    pub load: Load,
    /// Largest time from publishing an entry to its delivery, excluding entries affected by the loss of a zone up to 5 s after it.
    pub log_largest_s: f64,
    /// The same for entries affected by the loss of a zone.
    pub log_trouble_s: f64,
    /// Median over entries of the time until the last node had received the entry.
    pub log_median_s: f64,
    /// Largest time from a state change until all nodes had applied it, excluding changes affected by the loss of a zone up to
    /// 5 s after it.
    pub state_largest_s: f64,
    /// The same for state changes affected by the loss of a zone.
    pub state_trouble_s: f64,
    /// Largest time until the publisher knew that all nodes had applied an entry.
    pub acknowledged_largest_s: f64,
    /// Number of entries that were acknowledged by all nodes.
    pub acknowledged: usize,
    /// Number of entries first reported as not acknowledged in time.
    pub named_late: usize,
    /// Number of false acknowledgements.
    #[serde(rename = "false_words")]
    pub false_acknowledgements: usize,
    /// Deliveries that were duplicate, out of order, or of entries never published.
    pub faults: usize,
    /// Entries not delivered, summed over nodes.
    pub lost: u64,
    /// Log resets that subscribers were notified of, except at their start.
    pub resets: usize,
    /// Peak bytes sent by any node in 1 s.
    pub peak_1s: f64,
    /// Peak bytes per second sent by any node over 5 s.
    pub peak_5s: f64,
    /// Mean bytes per second sent by a node.
    pub mean: f64,
    /// Fraction of all bytes that were sent between regions.
    pub between_regions: f64,
    /// Largest memory used by any node for entries, in bytes.
    pub held_bytes: usize,
    /// Sums of the nodes' counters.
    pub counters: DisseminationCounters,
}

/// Runs a load with one publisher, which is not the first node of its region by name.
pub fn run(load: &Load) -> Outcome {
    let mut cluster = Cluster::new(Topology::default(), load.nodes, load.seed);
    cluster.impairment = Impairment { loss: load.loss, ..Impairment::default() };
    cluster.start_all();
    cluster.run(SETTLE);
    let publisher = load.nodes / 2;
    let _ = cluster.open(publisher, 1, 1, Vec::new());
    let begun = cluster.now();
    let state_times = publish_load(&mut cluster, publisher, load);
    let ended = cluster.now();
    let key = cluster.key(publisher);
    let count = load.entries_per_second * load.seconds;
    cluster.run_until(DRAIN, |cluster| cluster.all_delivered(key, count));
    cluster.run(DRAIN / 2);
    outcome(&cluster, load, begun, ended, count, key, &state_times)
}

/// Publishes at a steady rate; returns the publication time of each state version.
pub fn publish_load(cluster: &mut Cluster, publisher: usize, load: &Load) -> Vec<Micros> {
    let count = load.entries_per_second * load.seconds;
    let begun = cluster.now();
    let mut states = Vec::new();
    for sequence in 1..=count {
        let at = begun + (sequence - 1) * SECOND / load.entries_per_second.max(1);
        cluster.run(at.saturating_sub(cluster.now()));
        let due =
            load.state_every_s > 0 && at >= begun + states.len() as Micros * load.state_every_s * SECOND;
        if due && cluster.publish_state(publisher, 800).is_ok() {
            states.push(cluster.now());
        }
        let _ = cluster.publish(publisher, 1, sequence, load.entry_bytes);
    }
    states
}

fn outcome(
    cluster: &Cluster,
    load: &Load,
    begun: Micros,
    ended: Micros,
    count: u64,
    publisher: u64,
    states: &[Micros],
) -> Outcome {
    let times = cluster.ledger.sorted_delivery_times(begun, ended + SECOND);
    let mut acknowledged = Vec::new();
    let mut named_late = 0;
    for event in &cluster.publisher_events {
        match event.output {
            DisseminationOutput::Acknowledged { elapsed, .. } => acknowledged.push(elapsed),
            DisseminationOutput::Unacknowledged { .. } => named_late += 1,
            _ => {}
        }
    }
    let received = |node: usize| cluster.ledger.count(cluster.subscriber(node, publisher), 1) as u64;
    let lost = (0..cluster.len()).map(|node| count.saturating_sub(received(node))).sum();
    let held = (0..cluster.len()).filter_map(|node| cluster.core(node)).map(|core| core.held_bytes());
    Outcome {
        load: load.clone(),
        log_largest_s: seconds(times.last().copied().unwrap_or(0)),
        log_trouble_s: 0.0,
        log_median_s: seconds(times.get(times.len() / 2).copied().unwrap_or(0)),
        state_largest_s: seconds(state_largest(cluster, states)),
        state_trouble_s: 0.0,
        acknowledged_largest_s: seconds(acknowledged.iter().copied().max().unwrap_or(0)),
        acknowledged: acknowledged.len(),
        named_late,
        false_acknowledgements: cluster.false_acknowledgements.len(),
        faults: cluster.ledger.faults.len(),
        lost,
        resets: cluster.ledger.resets.iter().filter(|reset| reset.at > begun).count(),
        peak_1s: cluster.traffic.peak_rate(begun, SECOND),
        peak_5s: cluster.traffic.peak_rate(begun, 5 * SECOND),
        mean: cluster.traffic.mean_rate(begun, ended),
        between_regions: cluster.bytes_between_regions as f64 / cluster.bytes.max(1) as f64,
        held_bytes: held.max().unwrap_or(0),
        counters: cluster.counters(),
    }
}

/// The largest time from a state change until all nodes had applied it or a newer one.
fn state_largest(cluster: &Cluster, states: &[Micros]) -> Micros {
    let mut largest = 0;
    for (index, &published) in states.iter().enumerate() {
        let version = index as u64 + 1;
        let mut first = vec![None; cluster.len()];
        for applied in cluster.applied_states.iter().filter(|applied| applied.version >= version) {
            first[applied.node].get_or_insert(applied.at);
        }
        let never = cluster.now();
        let last = first.into_iter().map(|at| at.unwrap_or(never)).max().unwrap_or(never);
        largest = largest.max(last.saturating_sub(published));
    }
    largest
}

/// Converts to seconds.
pub fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}
