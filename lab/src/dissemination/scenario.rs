//! Loads on a cluster of cores, with what came of them.

use super::cluster::Cluster;
use super::topology::Topology;
use crate::model::links::Impairment;
use crate::model::{Micros, SECOND};
use serde::{Deserialize, Serialize};
use walkpick::peers::dissemination::{DisseminationCounters, DisseminationOutput};

/// Nodes have so long to be told where logs stand before anything is published.
const SETTLE: Micros = 4 * SECOND;
/// After the last entry, all have so long.
const DRAIN: Micros = 10 * SECOND;

/// A steady load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Nodes.
    pub nodes: usize,
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// The seed.
    pub seed: u64,
    /// Entries of the log a second.
    pub entries_per_second: u64,
    /// Bytes of each entry's payload.
    pub entry_bytes: usize,
    /// For so many seconds.
    pub seconds: u64,
    /// A change of state every so many seconds; none at 0.
    pub state_every_s: u64,
    /// A zone other than the publisher's is lost after so many seconds; over real membership alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone_lost_after_s: Option<u64>,
}

impl Load {
    /// All entries of the log.
    pub fn entries(&self) -> u64 {
        self.entries_per_second * self.seconds
    }

    /// The operators' plan: 6 purges a second for 60 s, and a change of configuration every 10 s.
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

/// What a load came to. Times are in seconds.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The load.
    pub load: Load,
    /// The largest time from publishing an entry until a subscriber had it; away from a zone's loss and the 5 s behind it.
    pub log_largest_s: f64,
    /// The same of entries that the loss met.
    pub log_trouble_s: f64,
    /// The same, of half of the entries.
    pub log_median_s: f64,
    /// The largest time from a change of state until all had it in force; away from a zone's loss and the 5 s behind it.
    pub state_largest_s: f64,
    /// The same of changes that the loss met.
    pub state_trouble_s: f64,
    /// Until the publisher could say of an entry that all had applied it: the largest.
    pub acknowledged_largest_s: f64,
    /// Entries of which it could say so.
    pub acknowledged: usize,
    /// Entries that were not acknowledged in time at first.
    pub named_late: usize,
    /// False acknowledgements.
    pub false_words: usize,
    /// Entries that came twice, out of order, or were nobody's.
    pub faults: usize,
    /// Entries that did not reach a node.
    pub lost: u64,
    /// Resets that subscribers were told of, those of their start apart.
    pub resets: usize,
    /// The most that a node sent in a second.
    pub peak_1s: f64,
    /// The most that a node sent in 5 s, a second.
    pub peak_5s: f64,
    /// What a node sent in the mean, a second.
    pub mean: f64,
    /// The part of all bytes that went between regions.
    pub between_regions: f64,
    /// The most that a node held of entries, in bytes.
    pub held_bytes: usize,
    /// The sums of counters.
    pub counters: DisseminationCounters,
}

/// Runs a load: one publisher, which is not the first node of its region by name.
pub fn run(load: &Load) -> Outcome {
    let mut cluster = Cluster::new(Topology::default(), load.nodes, load.seed);
    cluster.way = Impairment { loss: load.loss, ..Impairment::default() };
    cluster.start_all();
    cluster.run(SETTLE);
    let publisher = load.nodes / 2;
    let _ = cluster.open(publisher, 1, 1, Vec::new());
    let begun = cluster.now();
    let state_times = drive(&mut cluster, publisher, load);
    let ended = cluster.now();
    let key = cluster.key(publisher);
    let count = load.entries_per_second * load.seconds;
    cluster.run_until(DRAIN, |cluster| cluster.all_have(key, count));
    cluster.run(DRAIN / 2);
    judge(&cluster, load, begun, ended, count, key, &state_times)
}

/// Publishes at a steady pace; when each version of the state was published.
pub fn drive(cluster: &mut Cluster, publisher: usize, load: &Load) -> Vec<Micros> {
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

fn judge(
    cluster: &Cluster,
    load: &Load,
    begun: Micros,
    ended: Micros,
    count: u64,
    publisher: u64,
    states: &[Micros],
) -> Outcome {
    let times = cluster.ledger.times(begun, ended + SECOND);
    let mut acknowledged = Vec::new();
    let mut named_late = 0;
    for word in &cluster.words {
        match word.output {
            DisseminationOutput::Acknowledged { elapsed, .. } => acknowledged.push(elapsed),
            DisseminationOutput::Unacknowledged { .. } => named_late += 1,
            _ => {}
        }
    }
    let got = |node: usize| cluster.ledger.count(cluster.subscriber(node, publisher), 1) as u64;
    let lost = (0..cluster.len()).map(|node| count.saturating_sub(got(node))).sum();
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
        false_words: cluster.false_words.len(),
        faults: cluster.ledger.faults.len(),
        lost,
        resets: cluster.ledger.resets.iter().filter(|reset| reset.at > begun).count(),
        peak_1s: cluster.traffic.largest(begun, SECOND),
        peak_5s: cluster.traffic.largest(begun, 5 * SECOND),
        mean: cluster.traffic.mean(begun, ended),
        between_regions: cluster.bytes_between_regions as f64 / cluster.bytes.max(1) as f64,
        held_bytes: held.max().unwrap_or(0),
        counters: cluster.counters(),
    }
}

/// The largest time from a change of state until all had it, or a newer one, in force.
fn state_largest(cluster: &Cluster, states: &[Micros]) -> Micros {
    let mut largest = 0;
    for (place, &published) in states.iter().enumerate() {
        let version = place as u64 + 1;
        let mut first = vec![None; cluster.len()];
        for told in cluster.in_force.iter().filter(|told| told.version >= version) {
            first[told.node].get_or_insert(told.at);
        }
        let never = cluster.now();
        let last = first.into_iter().map(|at| at.unwrap_or(never)).max().unwrap_or(never);
        largest = largest.max(last.saturating_sub(published));
    }
    largest
}

/// In seconds.
pub fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}
