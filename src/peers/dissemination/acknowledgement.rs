//! Acknowledgements gathered up the tree. Each node reports to the node above it what its whole branch has applied: the
//! sequence that all nodes of a set have, and the set as a count and a sum of hashes. Sets of different branches don't
//! meet, so they add up; a publisher says "applied by all" only where the sum is that of the members it sees as present.

use super::super::Micros;
use super::message::{Channel, LaggingNode, Refusal, Report};
use super::overlay::{mix, TreeView};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A report counts for so long. It is repeated every second; two may be lost.
pub const FRESH: Micros = 3_500_000;
/// Nodes that are named in one report.
const MOST_NAMED: usize = 8;
/// Refusals that are named in one report.
const MOST_REFUSED: usize = 4;
/// The longest reason that is passed on, in bytes.
pub const LONGEST_REASON: usize = 80;
/// Reports that are held for one line: more than a node has children, and the children of some that are gone.
const MOST_HELD: usize = 256;
/// Lines that are held.
const MOST_LINES: usize = 64;

/// Whose line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChannelKey {
    /// The publisher's key.
    pub publisher: u64,
    /// Its log or one of its states.
    pub channel: Channel,
}

/// What this node has applied itself.
#[derive(Clone, Debug)]
pub struct OwnProgress {
    /// The epoch.
    pub epoch: u64,
    /// The sequence.
    pub through: u64,
    /// Why it refused the version `through`, if it did.
    pub refused: Option<String>,
}

#[derive(Clone, Debug)]
struct HeldReport {
    report: Report,
    at: Micros,
}

/// The reports of the nodes below.
#[derive(Clone, Debug, Default)]
pub struct Reports(BTreeMap<ChannelKey, HashMap<SocketAddr, HeldReport>>);

impl Reports {
    /// Takes a report in; whether there was room.
    pub fn insert(&mut self, now: Micros, from: SocketAddr, report: Report) -> bool {
        let key = ChannelKey { publisher: report.publisher, channel: report.channel };
        if self.0.len() >= MOST_LINES && !self.0.contains_key(&key) {
            return false;
        }
        let held = self.0.entry(key).or_default();
        if held.len() >= MOST_HELD && !held.contains_key(&from) {
            held.retain(|_, held| now < held.at + FRESH);
        }
        let room = held.len() < MOST_HELD || held.contains_key(&from);
        if room {
            held.insert(from, HeldReport { report, at: now });
        }
        room
    }

    /// What a node last reported: epoch, sequence and set.
    pub fn through(&self, key: ChannelKey, from: SocketAddr) -> Option<(u64, u64, u64)> {
        let held = self.0.get(&key)?.get(&from)?;
        Some((held.report.epoch, held.report.through, held.report.set_hash))
    }

    /// Forgets what came from a node that is gone.
    pub fn forget(&mut self, node: SocketAddr) {
        for held in self.0.values_mut() {
            held.remove(&node);
        }
        self.0.retain(|_, held| !held.is_empty());
    }

    /// What this node and all below it have applied. Branches that have not got to `needed` are left out and named.
    pub fn gather(
        &self,
        now: Micros,
        key: ChannelKey,
        own: &OwnProgress,
        needed: u64,
        branch: TreeView,
    ) -> Report {
        let me = branch.members.get(branch.own_index);
        let usable = self.usable(now, key, own.epoch, needed, branch);
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
        for &child in branch.tree.children(branch.own_index) {
            add_branch(&mut gathered, child, branch, &usable);
        }
        gathered
    }

    /// Reports that count: in time, of this epoch, and far enough. By place.
    fn usable(
        &self,
        now: Micros,
        key: ChannelKey,
        epoch: u64,
        needed: u64,
        branch: TreeView,
    ) -> HashMap<usize, &Report> {
        let Some(held) = self.0.get(&key) else { return HashMap::new() };
        let counts = |held: &HeldReport| {
            now < held.at + FRESH && held.report.epoch == epoch && held.report.through >= needed
        };
        let found = held.iter().filter(|(_, held)| counts(held));
        found.filter_map(|(from, held)| Some((branch.index_of(*from)?, &held.report))).collect()
    }
}

/// Adds one branch: by its first node's report, or else by those of the nodes below it.
fn add_branch(gathered: &mut Report, place: usize, branch: TreeView, usable: &HashMap<usize, &Report>) {
    let tree = branch.tree;
    if let Some(report) = usable.get(&place) {
        add_report(gathered, report);
        return;
    }
    let Some(member) = branch.members.get(place) else { return };
    let is_below = |from: &usize| tree.ancestors(*from).any(|above| above == place);
    let some_below = usable.keys().any(is_below);
    name(
        gathered,
        LaggingNode { key: member.key, whole_subtree: !some_below && !tree.children(place).is_empty() },
    );
    if some_below {
        tree.children(place).iter().for_each(|&child| add_branch(gathered, child, branch, usable));
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
    report.lagging.iter().for_each(|lagging| name(gathered, *lagging));
    for refusal in &report.refusals {
        if gathered.refusals.len() < MOST_REFUSED {
            gathered.refusals.push(refusal.clone());
        }
    }
}

fn name(gathered: &mut Report, lagging: LaggingNode) {
    if gathered.lagging.len() < MOST_NAMED {
        gathered.lagging.push(lagging);
    } else {
        gathered.lagging_truncated = true;
    }
}
