//! Delivery of a publisher's log and state: records what each node receives and compares it with what was published.

use super::figures::RunData;
use super::protocol::{Acknowledged, Incarnation, Micros, Published, Reset, TimedSequence};
use super::schedule::{Phase, Schedule};
use std::collections::{BTreeMap, BTreeSet};
use walkpick::peers::dissemination::{Channel, DisseminationOutput};

const SECOND: Micros = 1_000_000;
/// An entry published this long before a fault may still be in transit when the fault begins: the bound on the delivery
/// time of an entry.
const DELIVERY_BOUND: Micros = 2_400_000;
/// The delivery bounds hold again this long after the beginning and after the end of a fault.
const RECOVERY: Micros = 5 * SECOND;

/// Records an output of dissemination in the node's current incarnation.
pub fn record_delivery(output: &DisseminationOutput, at: Micros, incarnations: &mut [Incarnation]) {
    let Some(incarnation) = incarnations.last_mut() else { return };
    match output {
        DisseminationOutput::Deliver { entry, .. } => {
            incarnation.entries.push(TimedSequence { number: entry.sequence, at })
        }
        DisseminationOutput::StateApplied { entry, .. } => {
            incarnation.versions.push(TimedSequence { number: entry.sequence, at });
        }
        DisseminationOutput::LogReset { after, through, .. } => {
            incarnation.resets.push(Reset { at, after: *after, through: *through });
        }
        _ => {}
    }
}

/// Records an output of dissemination that concerns the publisher.
pub fn record_published(output: &DisseminationOutput, at: Micros, published: &mut Published) {
    match output {
        DisseminationOutput::Acknowledged { channel, sequence, nodes, .. } => {
            let acknowledgement = Acknowledged { number: *sequence, at, nodes: *nodes };
            match channel {
                Channel::Log => published.entries_acknowledged.push(acknowledgement),
                Channel::State(_) => published.versions_acknowledged.push(acknowledgement),
            }
        }
        DisseminationOutput::Unacknowledged { .. } => published.unacknowledged += 1,
        _ => {}
    }
}

/// Figures of runs that publish, with their meaning.
pub const FIGURES: &[(&str, &str)] = &[
    ("published", "log entries that were published"),
    ("publish_refused", "entries and versions that could not be published"),
    (
        "log_largest_s",
        "largest time in seconds until an entry was applied everywhere, except near faults and in their first 5 s",
    ),
    ("log_trouble_s", "the same for entries that a fault may have affected"),
    ("log_lost", "entries missing at a node, summed over nodes"),
    ("log_twice", "entries delivered to a node more than once"),
    ("log_out_of_order", "entries delivered to a node after a later entry or over a gap"),
    (
        "state_largest_s",
        "largest time in seconds until a version or a later one was in force everywhere, except near faults",
    ),
    ("state_trouble_s", "the same for versions that a fault may have affected"),
    ("state_lost", "nodes without the last version at the end"),
    (
        "acknowledged_largest_s",
        "largest time in seconds until an entry was acknowledged for all nodes, except near faults",
    ),
    ("acknowledged_missing", "entries that were never acknowledged, except near faults"),
    ("acknowledged_wrong", "entries and versions acknowledged before every node had applied them"),
    ("unacknowledged", "notifications to the publisher of nodes without acknowledgement"),
    ("complete_received", "the smallest number of entries that a complete node received"),
];

/// Computes the figures. `complete`: what complete nodes received; they run from start to end.
pub fn delivery_figures<'a>(
    schedule: &Schedule,
    data: &RunData,
    complete: impl Iterator<Item = &'a Incarnation>,
) -> BTreeMap<String, f64> {
    let complete: Vec<&Incarnation> = complete.collect();
    let published: Vec<&Published> = data.reports.iter().map(|report| &report.published).collect();
    let check = DeliveryCheck::new(schedule, data, &complete);
    let entries: Vec<_> = published.iter().flat_map(|published| &published.entries).copied().collect();
    let versions: Vec<_> = published.iter().flat_map(|published| &published.versions).copied().collect();
    let acknowledged: Vec<_> =
        published.iter().flat_map(|published| &published.entries_acknowledged).copied().collect();
    let acknowledged_versions: Vec<_> =
        published.iter().flat_map(|published| &published.versions_acknowledged).copied().collect();
    let mut figures = BTreeMap::new();
    let mut set = |name: &str, value: f64| figures.insert(name.to_owned(), value);
    let sum = |of: fn(&Published) -> u64| published.iter().map(|published| of(published)).sum::<u64>() as f64;
    set("published", entries.len() as f64);
    set("publish_refused", sum(|published| published.refused));
    set("unacknowledged", sum(|published| published.unacknowledged));
    let order = check.order_errors();
    set("log_twice", order.duplicates as f64);
    set("log_out_of_order", order.out_of_order as f64);
    set("log_lost", check.count_missing(&entries) as f64);
    set("state_lost", check.count_outdated(&versions) as f64);
    set(
        "acknowledged_wrong",
        (check.count_false_acknowledgements(&acknowledged, log_times)
            + check.count_false_acknowledgements(&acknowledged_versions, state_times)) as f64,
    );
    let (calm, disturbed): (Vec<_>, Vec<_>) =
        entries.iter().copied().partition(|entry| !check.is_disturbed(entry.at));
    let (calm_states, disturbed_states): (Vec<_>, Vec<_>) =
        versions.iter().copied().partition(|version| !check.is_disturbed(version.at));
    let delays = [
        ("log_largest_s", check.max_delay(&calm, log_times)),
        ("log_trouble_s", check.max_delay(&disturbed, log_times)),
        ("state_largest_s", check.max_delay(&calm_states, state_times)),
        ("state_trouble_s", check.max_delay(&disturbed_states, state_times)),
        ("acknowledged_largest_s", max_acknowledgement_delay(&calm, &acknowledged)),
    ];
    for (name, time) in delays {
        if let Some(time) = time {
            set(name, time as f64 / SECOND as f64);
        }
    }
    let acknowledged_numbers: BTreeSet<_> =
        acknowledged.iter().map(|acknowledgement| acknowledgement.number).collect();
    set(
        "acknowledged_missing",
        calm.iter().filter(|entry| !acknowledged_numbers.contains(&entry.number)).count() as f64,
    );
    if let Some(fewest) = complete.iter().map(|incarnation| incarnation.entries.len()).min() {
        set("complete_received", fewest as f64);
    }
    figures
}

/// Time of the first receipt of each entry in an incarnation.
fn log_times(incarnation: &Incarnation) -> BTreeMap<u64, Micros> {
    let mut first = BTreeMap::new();
    for entry in &incarnation.entries {
        first.entry(entry.number).or_insert(entry.at);
    }
    first
}

/// Time from which each version, or a later one, was in force in an incarnation.
fn state_times(incarnation: &Incarnation) -> BTreeMap<u64, Micros> {
    let mut first = BTreeMap::new();
    let mut highest = 0;
    for version in &incarnation.versions {
        for number in highest + 1..=version.number {
            first.insert(number, version.at);
        }
        highest = highest.max(version.number);
    }
    first
}

/// The longest time from publishing one of these entries to its acknowledgement.
fn max_acknowledgement_delay(entries: &[TimedSequence], acknowledgements: &[Acknowledged]) -> Option<Micros> {
    let at: BTreeMap<u64, Micros> = entries.iter().map(|entry| (entry.number, entry.at)).collect();
    acknowledgements
        .iter()
        .filter_map(|acknowledgement| {
            Some(acknowledgement.at.saturating_sub(*at.get(&acknowledgement.number)?))
        })
        .max()
}

/// Violations of the order of entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct OrderErrors {
    duplicates: usize,
    out_of_order: usize,
}

/// Compares what all incarnations received with what was published.
struct DeliveryCheck<'a> {
    /// Nodes that ran from start to end and were never cut off.
    undisturbed: Vec<&'a Incarnation>,
    /// All incarnations.
    all: Vec<&'a Incarnation>,
    /// The last incarnation of each node that was stopped or cut off.
    returned: Vec<&'a Incarnation>,
    disturbances: Vec<(Micros, Micros)>,
}

impl<'a> DeliveryCheck<'a> {
    fn new(schedule: &Schedule, data: &'a RunData, complete: &[&'a Incarnation]) -> Self {
        let affected: BTreeSet<usize> =
            schedule.phases.iter().flat_map(|phase| phase.down.iter().chain(&phase.cut)).copied().collect();
        let nodes: Vec<_> = data.reports.iter().flat_map(|report| &report.nodes).collect();
        let is_undisturbed = |node: usize| !affected.contains(&node);
        let undisturbed = nodes
            .iter()
            .filter(|node| is_undisturbed(node.node))
            .filter_map(|node| node.incarnations.first());
        let returned = nodes
            .iter()
            .filter(|node| !is_undisturbed(node.node))
            .filter_map(|node| node.incarnations.last());
        Self {
            undisturbed: undisturbed.chain(complete.iter().copied()).collect(),
            all: nodes.iter().flat_map(|node| &node.incarnations).chain(complete.iter().copied()).collect(),
            returned: returned.collect(),
            disturbances: schedule.phases.iter().flat_map(disturbed_intervals).collect(),
        }
    }

    fn is_disturbed(&self, at: Micros) -> bool {
        self.disturbances.iter().any(|(from, to)| (*from..*to).contains(&at))
    }

    /// The longest time from publishing to application at an undisturbed node; `None` if a node lacks one of them.
    fn max_delay(
        &self,
        published: &[TimedSequence],
        of: fn(&Incarnation) -> BTreeMap<u64, Micros>,
    ) -> Option<Micros> {
        let mut largest = None;
        for applied in self.undisturbed.iter().map(|incarnation| of(incarnation)) {
            for issued in published {
                let delay = applied.get(&issued.number)?.saturating_sub(issued.at);
                largest = largest.max(Some(delay));
            }
        }
        largest
    }

    fn order_errors(&self) -> OrderErrors {
        let errors = self.all.iter().map(|incarnation| find_order_errors(incarnation));
        errors.fold(OrderErrors::default(), |sum, errors| OrderErrors {
            duplicates: sum.duplicates + errors.duplicates,
            out_of_order: sum.out_of_order + errors.out_of_order,
        })
    }

    /// Entries that nodes lack at the end, summed over nodes. A node that returned must have those after its last log
    /// reset.
    fn count_missing(&self, published: &[TimedSequence]) -> usize {
        let missing = |incarnation: &&Incarnation, after: u64| {
            let received = log_times(incarnation);
            published
                .iter()
                .filter(|entry| entry.number > after && !received.contains_key(&entry.number))
                .count()
        };
        let undisturbed: usize = self.undisturbed.iter().map(|incarnation| missing(incarnation, 0)).sum();
        let returned = self.returned.iter().map(|incarnation| {
            let skipped = incarnation.resets.iter().map(|reset| reset.through).max().unwrap_or(0);
            missing(incarnation, skipped)
        });
        undisturbed + returned.sum::<usize>()
    }

    /// Nodes where the last version is not in force at the end.
    fn count_outdated(&self, published: &[TimedSequence]) -> usize {
        let Some(last) = published.iter().map(|version| version.number).max() else { return 0 };
        let incarnations = self.undisturbed.iter().chain(&self.returned);
        incarnations
            .filter(|incarnation| incarnation.versions.iter().all(|version| version.number < last))
            .count()
    }

    /// Acknowledgements that were sent although an undisturbed node had not applied the entry or version.
    fn count_false_acknowledgements(
        &self,
        acknowledgements: &[Acknowledged],
        of: fn(&Incarnation) -> BTreeMap<u64, Micros>,
    ) -> usize {
        let applied: Vec<_> = self.undisturbed.iter().map(|incarnation| of(incarnation)).collect();
        let missing = |acknowledgement: &Acknowledged| {
            applied
                .iter()
                .any(|applied| applied.get(&acknowledgement.number).is_none_or(|at| *at > acknowledgement.at))
        };
        acknowledgements.iter().filter(|acknowledgement| missing(acknowledgement)).count()
    }
}

/// Intervals in which published entries may be affected by a phase's fault.
fn disturbed_intervals(phase: &Phase) -> Vec<(Micros, Micros)> {
    let around = |at: Micros| (at.saturating_sub(DELIVERY_BOUND), at + RECOVERY);
    match (phase.down.is_empty(), phase.cut.is_empty()) {
        (true, true) => Vec::new(),
        // While a region is cut off, its acknowledgements do not reach the publisher.
        (_, false) => vec![(phase.from.saturating_sub(DELIVERY_BOUND), phase.recovery + RECOVERY)],
        (false, true) => vec![around(phase.from), around(phase.recovery)],
    }
}

fn find_order_errors(incarnation: &Incarnation) -> OrderErrors {
    let mut errors = OrderErrors::default();
    let mut seen = BTreeSet::new();
    let mut last: Option<u64> = None;
    for entry in &incarnation.entries {
        if !seen.insert(entry.number) {
            errors.duplicates += 1;
            continue;
        }
        let follows = last.is_none_or(|last| {
            entry.number == last + 1 || is_skipped_by_reset(incarnation, last, entry.number)
        });
        if !follows {
            errors.out_of_order += 1;
        }
        last = last.max(Some(entry.number));
    }
    errors
}

/// Whether log resets cover all entries between these two.
fn is_skipped_by_reset(incarnation: &Incarnation, before: u64, after: u64) -> bool {
    after > before
        && incarnation.resets.iter().any(|reset| reset.after <= before && reset.through + 1 >= after)
}

#[cfg(test)]
mod tests;
