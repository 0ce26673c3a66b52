//! What a run comes to, from what its processes reported. A figure that was not reached is missing.

use super::deliveries;
use super::protocol::{Micros, NodeReport, Report, Usage, ViewsOfProcess, Word};
use super::schedule::{Phase, Schedule};
use super::settings::FaultKind;
use crate::scale::FigureMeaning;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;
use walkpick::peers::PeerStatus;

const SECOND: Micros = 1_000_000;
/// Bytes are told as the largest mean over so many seconds.
const WINDOW: usize = 5;
/// So long after a fault's end a word on those that it met is not false: it was on its way, or they have just come back.
const AFTERMATH: Micros = 10 * SECOND;
/// This part of the nodes, of a hundred, know when a kill counts as known.
const NEARLY_ALL: f64 = 0.99;

/// Figures of every run, with their meaning.
pub const FIGURES: &[(&str, &str)] = &[
    ("met_s", "seconds until every node saw all others and said that views agree"),
    ("join_peak_bytes", "bytes a second of the node that sent most, over its largest 5 s, while nodes met"),
    ("rest_bytes", "bytes a second a node, in the mean, while nothing happened"),
    (
        "rest_peak_bytes",
        "bytes a second of the node that sent most, over its largest 5 s, while nothing happened",
    ),
    ("datagrams", "datagrams a second a node over the whole run"),
    ("core_fraction", "part of a core that a node takes while nothing happens: its process's over its nodes"),
    ("core_fraction_peak", "the same over the phase in which it was largest"),
    ("memory_bytes", "memory a node at the most: its process's growth over its nodes"),
    (
        "publish_peak_bytes",
        "bytes a second of the node that sent most, over its largest 5 s, while entries were published",
    ),
    ("publish_bytes", "bytes a second a node, in the mean, while entries were published"),
    ("publish_core_fraction", "part of a core that a node takes while entries are published"),
    ("false_lost", "words that a node is lost which was there"),
    ("join_false_lost", "those of them that were said while nodes met"),
    ("came_back", "how often a node came back that others had declared gone"),
    ("dropped", "datagrams that nodes dropped as foreign, malformed or over a bound"),
    ("lost_part", "part of all datagrams that the table lost or a cut stopped"),
    ("queue_full", "datagrams that found their socket's queue full"),
    ("refused", "datagrams that the system did not take"),
    ("late_p99_ms", "how late the lab was: the 99th percentile of the process that was latest"),
    ("late_max_ms", "how late the lab was at the most"),
    ("complete_see", "the fewest nodes that a complete node relied on at the most"),
    ("complete_served", "part of the clients of the complete nodes that were served"),
    ("complete_rules", "rules that the complete nodes broke"),
    ("complete_core_fraction", "part of a core that a complete node took, with its request path"),
    ("complete_memory_mb", "the most memory of a complete node, in MiB, with its request path"),
];

/// Figures of every fault: the fault's name stands before them.
pub const OF_FAULTS: &[(&str, &str)] = &[
    ("peak_bytes", "bytes a second of the node that sent most, over its largest 5 s, from the fault on"),
    ("bytes", "bytes a second a node, in the mean, from the fault on"),
    ("known99_s", "seconds until 99 in 100 of the others knew of each that is gone"),
    ("known_all_s", "seconds until all others knew of all that are gone"),
    ("agreed_s", "seconds until those that are left saw each other alone and said that views agree"),
    ("back_s", "seconds from the fault's end until all saw all again and said that views agree"),
];

const FAULTS: [FaultKind; 5] =
    [FaultKind::Kill, FaultKind::Rack, FaultKind::Zone, FaultKind::Restart, FaultKind::Region];

/// All figures, those of every fault among them.
static ALL: LazyLock<Vec<FigureMeaning>> = LazyLock::new(|| {
    let of_runs = FIGURES.iter().map(|&(name, meaning)| FigureMeaning { name, meaning });
    let of_faults = FAULTS.iter().flat_map(|fault| {
        OF_FAULTS.iter().map(move |&(name, meaning)| {
            // Made once, and kept for as long as the program runs, as the other names are.
            FigureMeaning { name: format!("{}_{name}", fault.name()).leak(), meaning }
        })
    });
    let of_publishing = deliveries::FIGURES.iter().map(|&(name, meaning)| FigureMeaning { name, meaning });
    of_runs.chain(of_faults).chain(of_publishing).collect()
});

/// All figures with their meaning.
pub fn figure_meanings() -> Vec<FigureMeaning> {
    ALL.clone()
}

/// A figure's name as checks have it; none where there is no such figure.
pub fn known_name(name: &str) -> Option<&'static str> {
    ALL.iter().map(|figure| figure.name).find(|known| *known == name)
}

/// What the processes of a run told.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Hollow nodes.
    pub nodes: usize,
    /// Complete nodes.
    pub complete: usize,
    /// What a process's nodes saw, by process.
    pub views: Vec<(usize, ViewsOfProcess)>,
    /// What each process measured.
    pub reports: Vec<Report>,
}

/// The figures of a run.
pub fn figures(schedule: &Schedule, told: &Told) -> BTreeMap<String, f64> {
    let mut figures = Figures(BTreeMap::new());
    let whole = whole(told);
    let nodes: Vec<&NodeReport> = told.reports.iter().flat_map(|report| &report.nodes).collect();
    let words: Vec<&Word> = told.reports.iter().flat_map(|report| &report.words).collect();
    figures.reached("met_s", whole.iter().find(|look| look.whole).map(|look| look.at));
    for phase in &schedule.phases {
        phase_figures(&mut figures, phase, told.nodes, &nodes, &words, &whole);
    }
    let of_phases = schedule.phases.iter().map(|phase| core_fraction(told, phase));
    figures.set("core_fraction_peak", of_phases.fold(0.0, f64::max));
    if let Some(rest) = schedule.phases.iter().find(|phase| phase.name == "rest") {
        figures.set("core_fraction", core_fraction(told, rest));
    }
    if let Some(publish) = schedule.phases.iter().find(|phase| phase.name == "publish") {
        figures.set("publish_core_fraction", core_fraction(told, publish));
    }
    figures.set("memory_bytes", memory(&told.reports) / told.nodes.max(1) as f64);
    let wrong: Vec<_> = words.iter().filter(|word| is_false(word, &schedule.phases)).collect();
    let joined = schedule.phases.first().map_or(0, |join| join.to);
    figures.set("false_lost", wrong.len() as f64);
    figures.set("join_false_lost", wrong.iter().filter(|word| word.at < joined).count() as f64);
    figures.set("came_back", nodes.iter().map(|node| f64::from(node.came_back)).sum());
    figures.set("dropped", nodes.iter().map(|node| node.dropped as f64).sum());
    let datagrams: f64 = nodes.iter().map(|node| node.datagrams as f64).sum();
    let seconds = schedule.end as f64 / SECOND as f64;
    figures.set("datagrams", datagrams / seconds.max(1.0) / told.nodes.max(1) as f64);
    let sum = |of: fn(&Report) -> u64| told.reports.iter().map(|report| of(report) as f64).sum::<f64>();
    figures.set("lost_part", sum(|report| report.lost) / datagrams.max(1.0));
    figures.set("queue_full", sum(|report| report.queue_full));
    figures.set("refused", sum(|report| report.refused));
    let most = |of: fn(&Report) -> Micros| told.reports.iter().map(of).max().unwrap_or(0) as f64 / 1_000.0;
    figures.set("late_p99_ms", most(|report| report.late_p99));
    figures.set("late_max_ms", most(|report| report.late_most));
    figures.0
}

struct Figures(BTreeMap<String, f64>);

impl Figures {
    fn set(&mut self, name: &str, value: f64) {
        self.0.insert(name.to_owned(), value);
    }

    fn reached(&mut self, name: &str, after: Option<Micros>) {
        if let Some(after) = after {
            self.set(name, after as f64 / SECOND as f64);
        }
    }
}

/// Whether all that run saw all that run, and agreed, at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Look {
    at: Micros,
    whole: bool,
}

fn whole(told: &Told) -> Vec<Look> {
    let mut views = told.views.clone();
    views.sort_by_key(|(_, views)| views.at);
    let mut watch = Watch::new(told.reports.len(), told.complete);
    views
        .into_iter()
        .map(|(process, views)| Look { at: views.at, whole: watch.hear(process, views) })
        .collect()
}

/// Watches whether all that run see all that run.
#[derive(Debug)]
pub struct Watch {
    processes: usize,
    complete: usize,
    latest: BTreeMap<usize, ViewsOfProcess>,
}

impl Watch {
    /// Of so many processes, with so many complete nodes beside them.
    pub fn new(processes: usize, complete: usize) -> Self {
        Self { processes, complete, latest: BTreeMap::new() }
    }

    /// A process tells what its nodes see. Whether all that run now see all that run, and agree.
    pub fn hear(&mut self, process: usize, views: ViewsOfProcess) -> bool {
        self.latest.insert(process, views);
        self.latest.len() >= self.processes && all_agree(self.latest.values(), self.complete)
    }
}

fn all_agree<'a>(views: impl Iterator<Item = &'a ViewsOfProcess>, complete: usize) -> bool {
    let running: Vec<_> = views.filter(|views| views.running > 0).collect();
    let all = running.iter().map(|views| views.running).sum::<u32>() + complete as u32;
    let digests: BTreeSet<_> = running.iter().map(|views| views.digest).collect();
    let same = digests.len() == 1 && !digests.contains(&None);
    same && running.iter().all(|views| views.agreed && (views.fewest, views.most) == (all, all))
}

/// From when on, within these times, all looks but none after were whole.
fn whole_since(looks: &[Look], from: Micros, to: Micros) -> Option<Micros> {
    let within = looks.iter().filter(|look| (from..to).contains(&look.at));
    let mut since = None;
    for look in within {
        since = match (look.whole, since) {
            (true, None) => Some(look.at),
            (true, since) => since,
            (false, _) => None,
        };
    }
    since.map(|at| at - from)
}

fn phase_figures(
    figures: &mut Figures,
    phase: &Phase,
    nodes: usize,
    reports: &[&NodeReport],
    words: &[&Word],
    whole: &[Look],
) {
    let name = |what: &str| format!("{}_{what}", phase.name);
    let peak = reports.iter().map(|node| largest_mean(node, phase)).fold(0.0, f64::max);
    figures.set(&name("peak_bytes"), peak);
    if phase.name == "join" {
        return;
    }
    let mean = reports.iter().map(|node| mean(node, phase)).sum::<f64>() / nodes.max(1) as f64;
    figures.set(&name("bytes"), mean);
    if phase.name == "rest" || phase.name == "publish" {
        return;
    }
    if !phase.gone.is_empty() {
        let times = known(phase, nodes, words);
        let nearly = ((times.len() as f64 * NEARLY_ALL).ceil() as usize).saturating_sub(1);
        figures.reached(&name("known99_s"), times.get(nearly).copied().flatten());
        figures.reached(&name("known_all_s"), times.last().copied().flatten());
    }
    if phase.cut.is_empty() {
        figures.reached(&name("agreed_s"), whole_since(whole, phase.from, phase.back));
    }
    figures.reached(&name("back_s"), whole_since(whole, phase.back, phase.to));
}

/// How long each of the others took to know of each that is gone, those that never did last.
fn known(phase: &Phase, nodes: usize, words: &[&Word]) -> Vec<Option<Micros>> {
    let mut first: BTreeMap<(usize, usize), Micros> = BTreeMap::new();
    let of_phase = words.iter().filter(|word| (phase.from..phase.to).contains(&word.at));
    for word in of_phase.filter(|word| phase.gone.contains(&word.of)) {
        let at = first.entry((word.by, word.of)).or_insert(word.at);
        *at = word.at.min(*at);
    }
    let left = (0..nodes).filter(|node| !phase.gone.contains(node));
    let pairs = left.flat_map(|by| phase.gone.iter().map(move |of| (by, *of)));
    let mut times: Vec<_> = pairs.map(|pair| first.get(&pair).map(|at| at - phase.from)).collect();
    times.sort_by_key(|time| time.unwrap_or(Micros::MAX));
    times
}

fn seconds(phase: &Phase) -> (usize, usize) {
    ((phase.from / SECOND) as usize, (phase.to / SECOND) as usize)
}

fn sent(node: &NodeReport, second: usize) -> f64 {
    f64::from(node.bytes.get(second).copied().unwrap_or(0))
}

fn mean(node: &NodeReport, phase: &Phase) -> f64 {
    let (from, to) = seconds(phase);
    (from..to).map(|second| sent(node, second)).sum::<f64>() / to.saturating_sub(from).max(1) as f64
}

/// Its largest mean over [`WINDOW`] seconds that lie within the phase.
fn largest_mean(node: &NodeReport, phase: &Phase) -> f64 {
    let (from, to) = seconds(phase);
    let window = WINDOW.min(to.saturating_sub(from)).max(1);
    let starts = from..(to + 1).saturating_sub(window).max(from + 1);
    let means = starts
        .map(|start| (start..start + window).map(|second| sent(node, second)).sum::<f64>() / window as f64);
    means.fold(0.0, f64::max)
}

/// Part of a core that a node took in a phase, over all processes.
fn core_fraction(told: &Told, phase: &Phase) -> f64 {
    let took = told.reports.iter().filter_map(|report| {
        let within = |usage: &&Usage| (phase.from..=phase.to).contains(&usage.at);
        let (first, last) = (report.usage.iter().find(within)?, report.usage.iter().rfind(within)?);
        let time = last.at.saturating_sub(first.at).max(1) as f64;
        Some(last.processor.saturating_sub(first.processor) as f64 / time)
    });
    took.sum::<f64>() / told.nodes.max(1) as f64
}

fn memory(reports: &[Report]) -> f64 {
    let grown = reports.iter().map(|report| {
        let most = report.usage.iter().map(|usage| usage.memory).max().unwrap_or(0);
        most.saturating_sub(report.memory_before) as f64
    });
    grown.sum()
}

/// Whether a word takes a node for lost that was there, and was not cut off from who said it.
fn is_false(word: &Word, phases: &[Phase]) -> bool {
    let excused = |phase: &Phase| {
        let meanwhile = (phase.from..phase.back.saturating_add(AFTERMATH)).contains(&word.at);
        let apart = phase.cut.contains(&word.by) != phase.cut.contains(&word.of);
        meanwhile && (phase.gone.contains(&word.of) || apart)
    };
    word.standing == PeerStatus::Lost && !phases.iter().any(excused)
}

#[cfg(test)]
mod tests;
