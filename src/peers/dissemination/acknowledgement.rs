//! Acknowledgements, aggregated up the tree. Each node reports to its parent what its whole subtree has applied: the
//! sequence that every node of a set has reached, and the set as a count and a sum of hashes. Sets of different
//! subtrees are disjoint, so their counts and sums add up. A publisher reports an entry as applied by all only if the
//! sum equals that of the members it sees as present.

use super::super::Micros;
use super::message::{Channel, LaggingNode, Refusal, Report};
use super::overlay::{mix, TreeView};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Time for which a report counts. Reports are repeated every second, so two may be lost.
pub const REPORT_TTL: Micros = 3_500_000;
/// Limit on lagging nodes listed in one report.
const MAX_LAGGING_PER_REPORT: usize = 8;
/// Limit on refusals listed in one report.
const MAX_REFUSALS_PER_REPORT: usize = 4;
/// Longest reason that is forwarded, in bytes.
pub const MAX_REASON_BYTES: usize = 80;
/// Limit on reports held for one channel: more than a node has children, plus the children of removed nodes.
const MAX_REPORTS_PER_CHANNEL: usize = 256;
/// Limit on channels for which reports are held.
const MAX_CHANNELS: usize = 64;

/// Identifies a channel of a publisher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChannelKey {
    /// Key of the publisher.
    pub publisher: u64,
    /// The publisher's log, or one of its states.
    pub channel: Channel,
}

/// What this node itself has applied of a channel.
#[derive(Clone, Debug)]
pub struct OwnProgress {
    /// The epoch.
    pub epoch: u64,
    /// Sequence of the last entry applied, or the version.
    pub through: u64,
    /// Reason for refusing the version `through`, if it was refused.
    pub refused: Option<String>,
}

#[derive(Clone, Debug)]
struct HeldReport {
    report: Report,
    received_at: Micros,
}

/// The latest reports received from nodes below this one.
#[derive(Clone, Debug, Default)]
pub struct Reports(BTreeMap<ChannelKey, HashMap<SocketAddr, HeldReport>>);

impl Reports {
    /// Stores a report. Returns false if a limit was reached.
    pub fn insert(&mut self, now: Micros, from: SocketAddr, report: Report) -> bool {
        let key = ChannelKey { publisher: report.publisher, channel: report.channel };
        if self.0.len() >= MAX_CHANNELS && !self.0.contains_key(&key) {
            return false;
        }
        let held = self.0.entry(key).or_default();
        if held.len() >= MAX_REPORTS_PER_CHANNEL && !held.contains_key(&from) {
            held.retain(|_, held| now < held.received_at + REPORT_TTL);
        }
        let accepted = held.len() < MAX_REPORTS_PER_CHANNEL || held.contains_key(&from);
        if accepted {
            held.insert(from, HeldReport { report, received_at: now });
        }
        accepted
    }

    /// Epoch, sequence and set hash of a node's last report.
    pub fn last_reported(&self, key: ChannelKey, from: SocketAddr) -> Option<(u64, u64, u64)> {
        let held = self.0.get(&key)?.get(&from)?;
        Some((held.report.epoch, held.report.through, held.report.set_hash))
    }

    /// Drops the reports of a node that was removed.
    pub fn remove_node(&mut self, node: SocketAddr) {
        for held in self.0.values_mut() {
            held.remove(&node);
        }
        self.0.retain(|_, held| !held.is_empty());
    }

    /// What this node and all nodes below it have applied. Subtrees that have not reached `required` are left out and
    /// listed as lagging.
    pub fn gather(
        &self,
        now: Micros,
        key: ChannelKey,
        own: &OwnProgress,
        required: u64,
        tree_view: TreeView,
    ) -> Report {
        let me = tree_view.members.get(tree_view.own_index);
        let usable = self.usable(now, key, own.epoch, required, tree_view);
        let mut gathered = Report {
            publisher: key.publisher,
            channel: key.channel,
            epoch: own.epoch,
            through: own.through,
            nodes: u32::from(me.is_some()),
            set_hash: me.map_or(0, |me| mix(me.id)),
            lagging: Vec::new(),
            lagging_truncated: false,
            refusals: Vec::new(),
            refusal_count: 0,
        };
        if let (Some(reason), Some(me)) = (&own.refused, me) {
            gathered.refusals.push(Refusal { key: me.key, version: own.through, reason: reason.clone() });
            gathered.refusal_count = 1;
        }
        for &child in tree_view.tree.children(tree_view.own_index) {
            add_subtree(&mut gathered, child, tree_view, &usable);
        }
        gathered
    }

    /// The reports that count, by index in the tree: recent enough, of this epoch, and at `required` or beyond.
    fn usable(
        &self,
        now: Micros,
        key: ChannelKey,
        epoch: u64,
        required: u64,
        tree_view: TreeView,
    ) -> HashMap<usize, &Report> {
        let Some(held) = self.0.get(&key) else { return HashMap::new() };
        let counts = |held: &HeldReport| {
            now < held.received_at + REPORT_TTL
                && held.report.epoch == epoch
                && held.report.through >= required
        };
        let counted = held.iter().filter(|(_, held)| counts(held));
        counted.filter_map(|(from, held)| Some((tree_view.index_of(*from)?, &held.report))).collect()
    }
}

/// Adds one subtree: by the report of its top node, or else by the reports of nodes below it.
fn add_subtree(gathered: &mut Report, index: usize, tree_view: TreeView, usable: &HashMap<usize, &Report>) {
    let tree = tree_view.tree;
    if let Some(report) = usable.get(&index) {
        add_report(gathered, report);
        return;
    }
    let Some(member) = tree_view.members.get(index) else { return };
    let is_below = |from: &usize| tree.ancestors(*from).any(|ancestor| ancestor == index);
    let any_below = usable.keys().any(is_below);
    add_lagging(
        gathered,
        LaggingNode { key: member.key, whole_subtree: !any_below && !tree.children(index).is_empty() },
    );
    if any_below {
        tree.children(index).iter().for_each(|&child| add_subtree(gathered, child, tree_view, usable));
    }
}

fn add_report(gathered: &mut Report, report: &Report) {
    if report.through < gathered.through {
        gathered.through = report.through;
        gathered.refusal_count = 0;
    }
    if report.through == gathered.through {
        gathered.refusal_count = gathered.refusal_count.saturating_add(report.refusal_count);
    }
    gathered.nodes = gathered.nodes.saturating_add(report.nodes);
    gathered.set_hash = gathered.set_hash.wrapping_add(report.set_hash);
    gathered.lagging_truncated |= report.lagging_truncated;
    report.lagging.iter().for_each(|lagging| add_lagging(gathered, *lagging));
    for refusal in &report.refusals {
        if gathered.refusals.len() < MAX_REFUSALS_PER_REPORT {
            gathered.refusals.push(refusal.clone());
        }
    }
}

fn add_lagging(gathered: &mut Report, lagging: LaggingNode) {
    if gathered.lagging.len() < MAX_LAGGING_PER_REPORT {
        gathered.lagging.push(lagging);
    } else {
        gathered.lagging_truncated = true;
    }
}
