//! What came of a publisher's log and state, at every node: noted where it comes, and held against what was published.

use super::figures::Told;
use super::protocol::{Acknowledged, Life, Micros, Numbered, Published, Reset};
use super::schedule::{Phase, Schedule};
use std::collections::{BTreeMap, BTreeSet};
use walkpick::peers::dissemination::{Channel, DisseminationOutput};

const SECOND: Micros = 1_000_000;
/// What is published so long before a fault may meet it on its way: the bound on an entry.
const ON_ITS_WAY: Micros = 2_400_000;
/// So long after a fault, and after its end, the bounds hold again.
const RECOVERY: Micros = 5 * SECOND;

/// Notes what dissemination told a node, in its present life.
pub fn note(output: &DisseminationOutput, at: Micros, lives: &mut [Life]) {
    let Some(life) = lives.last_mut() else { return };
    match output {
        DisseminationOutput::Deliver { entry, .. } => {
            life.entries.push(Numbered { number: entry.sequence, at })
        }
        DisseminationOutput::StateApplied { entry, .. } => {
            life.versions.push(Numbered { number: entry.sequence, at });
        }
        DisseminationOutput::LogReset { after, through, .. } => {
            life.resets.push(Reset { at, after: *after, through: *through });
        }
        _ => {}
    }
}

/// Notes what dissemination told a publisher.
pub fn note_published(output: &DisseminationOutput, at: Micros, published: &mut Published) {
    match output {
        DisseminationOutput::Acknowledged { channel, sequence, nodes, .. } => {
            let word = Acknowledged { number: *sequence, at, nodes: *nodes };
            match channel {
                Channel::Log => published.entries_acknowledged.push(word),
                Channel::State(_) => published.versions_acknowledged.push(word),
            }
        }
        DisseminationOutput::Unacknowledged { .. } => published.unacknowledged += 1,
        _ => {}
    }
}

/// Figures of runs in which something is published, with their meaning.
pub const FIGURES: &[(&str, &str)] = &[
    ("published", "entries that were published"),
    ("publish_refused", "entries and versions that the publisher could not issue"),
    (
        "log_largest_s",
        "seconds until an entry was applied everywhere, the largest: away from faults and their first 5 s",
    ),
    ("log_trouble_s", "the same of entries that a fault met"),
    ("log_lost", "entries that a node did not get, counted at every node"),
    ("log_twice", "entries that a node got again"),
    ("log_out_of_order", "entries that a node got after a later one, or over a hole"),
    (
        "state_largest_s",
        "seconds until a version, or a later one, was in force everywhere, the largest: away from faults",
    ),
    ("state_trouble_s", "the same of versions that a fault met"),
    ("state_lost", "nodes without the last version at the end"),
    (
        "acknowledged_largest_s",
        "seconds until the publisher was told that all have applied an entry, the largest: away from faults",
    ),
    ("acknowledged_missing", "entries away from faults that it was not told so of"),
    ("acknowledged_wrong", "entries and versions that it was told so of while a node lacked them"),
    ("unacknowledged", "how often it was told who lacks something"),
    ("complete_received", "the fewest entries that a complete node got"),
];

/// The figures. `complete`: what came to complete nodes, which are there from first to last.
pub fn delivery_figures<'a>(
    schedule: &Schedule,
    told: &Told,
    complete: impl Iterator<Item = &'a Life>,
) -> BTreeMap<String, f64> {
    let complete: Vec<&Life> = complete.collect();
    let published: Vec<&Published> = told.reports.iter().map(|report| &report.published).collect();
    let check = Check::new(schedule, told, &complete);
    let entries: Vec<_> = published.iter().flat_map(|published| &published.entries).copied().collect();
    let versions: Vec<_> = published.iter().flat_map(|published| &published.versions).copied().collect();
    let acknowledged: Vec<_> =
        published.iter().flat_map(|published| &published.entries_acknowledged).copied().collect();
    let in_force: Vec<_> =
        published.iter().flat_map(|published| &published.versions_acknowledged).copied().collect();
    let mut figures = BTreeMap::new();
    let mut set = |name: &str, value: f64| figures.insert(name.to_owned(), value);
    let sum = |of: fn(&Published) -> u64| published.iter().map(|published| of(published)).sum::<u64>() as f64;
    set("published", entries.len() as f64);
    set("publish_refused", sum(|published| published.refused));
    set("unacknowledged", sum(|published| published.unacknowledged));
    let order = check.order();
    set("log_twice", order.twice as f64);
    set("log_out_of_order", order.out_of_order as f64);
    set("log_lost", check.lost(&entries) as f64);
    set("state_lost", check.without_last(&versions) as f64);
    set("acknowledged_wrong", (check.wrong(&acknowledged, of_log) + check.wrong(&in_force, of_state)) as f64);
    let (calm, trouble): (Vec<_>, Vec<_>) =
        entries.iter().copied().partition(|entry| !check.in_trouble(entry.at));
    let (calm_states, trouble_states): (Vec<_>, Vec<_>) =
        versions.iter().copied().partition(|version| !check.in_trouble(version.at));
    let reached = [
        ("log_largest_s", check.largest(&calm, of_log)),
        ("log_trouble_s", check.largest(&trouble, of_log)),
        ("state_largest_s", check.largest(&calm_states, of_state)),
        ("state_trouble_s", check.largest(&trouble_states, of_state)),
        ("acknowledged_largest_s", latest_word(&calm, &acknowledged)),
    ];
    for (name, time) in reached {
        if let Some(time) = time {
            set(name, time as f64 / SECOND as f64);
        }
    }
    let known: BTreeSet<_> = acknowledged.iter().map(|word| word.number).collect();
    set("acknowledged_missing", calm.iter().filter(|entry| !known.contains(&entry.number)).count() as f64);
    if let Some(fewest) = complete.iter().map(|life| life.entries.len()).min() {
        set("complete_received", fewest as f64);
    }
    figures
}

/// When each entry came to a life.
fn of_log(life: &Life) -> BTreeMap<u64, Micros> {
    let mut first = BTreeMap::new();
    for entry in &life.entries {
        first.entry(entry.number).or_insert(entry.at);
    }
    first
}

/// When each version, or a later one, was in force at a life.
fn of_state(life: &Life) -> BTreeMap<u64, Micros> {
    let mut first = BTreeMap::new();
    let mut highest = 0;
    for version in &life.versions {
        for number in highest + 1..=version.number {
            first.insert(number, version.at);
        }
        highest = highest.max(version.number);
    }
    first
}

/// The latest word on one of these entries, from its publishing on.
fn latest_word(entries: &[Numbered], words: &[Acknowledged]) -> Option<Micros> {
    let at: BTreeMap<u64, Micros> = entries.iter().map(|entry| (entry.number, entry.at)).collect();
    words.iter().filter_map(|word| Some(word.at.saturating_sub(*at.get(&word.number)?))).max()
}

/// What went wrong with the order of entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Order {
    twice: usize,
    out_of_order: usize,
}

/// What came to all lives, held against what was published.
struct Check<'a> {
    /// Nodes that were there from first to last, and not cut off.
    steady: Vec<&'a Life>,
    /// All lives.
    all: Vec<&'a Life>,
    /// The last lives of nodes that were not there all the time.
    returned: Vec<&'a Life>,
    troubles: Vec<(Micros, Micros)>,
}

impl<'a> Check<'a> {
    fn new(schedule: &Schedule, told: &'a Told, complete: &[&'a Life]) -> Self {
        let met: BTreeSet<usize> =
            schedule.phases.iter().flat_map(|phase| phase.gone.iter().chain(&phase.cut)).copied().collect();
        let nodes: Vec<_> = told.reports.iter().flat_map(|report| &report.nodes).collect();
        let is_steady = |node: usize| !met.contains(&node);
        let steady = nodes.iter().filter(|node| is_steady(node.node)).filter_map(|node| node.lives.first());
        let returned = nodes.iter().filter(|node| !is_steady(node.node)).filter_map(|node| node.lives.last());
        Self {
            steady: steady.chain(complete.iter().copied()).collect(),
            all: nodes.iter().flat_map(|node| &node.lives).chain(complete.iter().copied()).collect(),
            returned: returned.collect(),
            troubles: schedule.phases.iter().flat_map(troubles).collect(),
        }
    }

    fn in_trouble(&self, at: Micros) -> bool {
        self.troubles.iter().any(|(from, to)| (*from..*to).contains(&at))
    }

    /// The largest time from publishing to application at the steady nodes; none where one never got it.
    fn largest(&self, published: &[Numbered], of: fn(&Life) -> BTreeMap<u64, Micros>) -> Option<Micros> {
        let mut largest = None;
        for applied in self.steady.iter().map(|life| of(life)) {
            for one in published {
                let took = applied.get(&one.number)?.saturating_sub(one.at);
                largest = largest.max(Some(took));
            }
        }
        largest
    }

    fn order(&self) -> Order {
        let orders = self.all.iter().map(|life| order(life));
        orders.fold(Order::default(), |sum, one| Order {
            twice: sum.twice + one.twice,
            out_of_order: sum.out_of_order + one.out_of_order,
        })
    }

    /// Entries that nodes lack at the end. One that came back has those after what it was told to be left out.
    fn lost(&self, published: &[Numbered]) -> usize {
        let lacks = |life: &&Life, after: u64| {
            let got = of_log(life);
            published.iter().filter(|entry| entry.number > after && !got.contains_key(&entry.number)).count()
        };
        let steady: usize = self.steady.iter().map(|life| lacks(life, 0)).sum();
        let returned = self.returned.iter().map(|life| {
            let left_out = life.resets.iter().map(|reset| reset.through).max().unwrap_or(0);
            lacks(life, left_out)
        });
        steady + returned.sum::<usize>()
    }

    /// Nodes where the last version is not in force at the end.
    fn without_last(&self, published: &[Numbered]) -> usize {
        let Some(last) = published.iter().map(|version| version.number).max() else { return 0 };
        let lives = self.steady.iter().chain(&self.returned);
        lives.filter(|life| life.versions.iter().all(|version| version.number < last)).count()
    }

    /// Words that all have applied something, while a steady node had not.
    fn wrong(&self, words: &[Acknowledged], of: fn(&Life) -> BTreeMap<u64, Micros>) -> usize {
        let applied: Vec<_> = self.steady.iter().map(|life| of(life)).collect();
        let lacks = |word: &Acknowledged| {
            applied.iter().any(|applied| applied.get(&word.number).is_none_or(|at| *at > word.at))
        };
        words.iter().filter(|word| lacks(word)).count()
    }
}

/// Times at whose entries a phase's fault may show.
fn troubles(phase: &Phase) -> Vec<(Micros, Micros)> {
    let around = |at: Micros| (at.saturating_sub(ON_ITS_WAY), at + RECOVERY);
    match (phase.gone.is_empty(), phase.cut.is_empty()) {
        (true, true) => Vec::new(),
        // While a region is cut off, the publisher misses its acknowledgements.
        (_, false) => vec![(phase.from.saturating_sub(ON_ITS_WAY), phase.back + RECOVERY)],
        (false, true) => vec![around(phase.from), around(phase.back)],
    }
}

fn order(life: &Life) -> Order {
    let mut found = Order::default();
    let mut seen = BTreeSet::new();
    let mut last: Option<u64> = None;
    for entry in &life.entries {
        if !seen.insert(entry.number) {
            found.twice += 1;
            continue;
        }
        let follows =
            last.is_none_or(|last| entry.number == last + 1 || is_left_out(life, last, entry.number));
        if !follows {
            found.out_of_order += 1;
        }
        last = last.max(Some(entry.number));
    }
    found
}

/// Whether all between two entries was told to be left out.
fn is_left_out(life: &Life, before: u64, after: u64) -> bool {
    after > before && life.resets.iter().any(|reset| reset.after <= before && reset.through + 1 >= after)
}

#[cfg(test)]
mod tests;
