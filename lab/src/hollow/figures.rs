//! Computes the figures of a run from the reports of its processes. A figure whose event never occurred is missing.

use super::deliveries;
use super::protocol::{Micros, NodeReport, ProcessViews, Report, StatusChange, Usage};
use super::schedule::{Phase, Schedule};
use super::settings::FaultKind;
use crate::scale::FigureMeaning;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;
use walkpick::peers::PeerStatus;

const SECOND: Micros = 1_000_000;
/// Peak rates are the largest mean over this many seconds.
const WINDOW_S: usize = 5;
/// A loss report about an affected node is not false up to this long after the end of its fault: the report was still
/// spreading, or the node had only just returned.
const RETURN_ALLOWANCE: Micros = 10 * SECOND;
/// Fraction of detections that must have been made for `known99_s`.
const KNOWN_QUANTILE: f64 = 0.99;

/// Figures of every run, with their meaning.
pub const FIGURES: &[(&str, &str)] = &[
    ("met_s", "seconds until every node saw all others and reported that views agree"),
    ("join_peak_bytes", "bytes per second of the node that sent most, largest 5 s mean, while nodes joined"),
    ("rest_bytes", "mean bytes per second and node at rest"),
    ("rest_peak_bytes", "bytes per second of the node that sent most, largest 5 s mean, at rest"),
    ("datagrams", "mean datagrams per second and node over the whole run"),
    ("core_fraction", "fraction of a core per node at rest: CPU time of all processes over all nodes"),
    ("core_fraction_peak", "the same for the phase in which it was largest"),
    ("memory_bytes", "peak memory per node: growth of all processes over all nodes"),
    (
        "publish_peak_bytes",
        "bytes per second of the node that sent most, largest 5 s mean, while entries were published",
    ),
    ("publish_bytes", "mean bytes per second and node while entries were published"),
    ("publish_core_fraction", "fraction of a core per node while entries were published"),
    ("false_lost", "reports of a running node as lost"),
    ("join_false_lost", "the same while nodes joined"),
    ("came_back", "how often a node rejoined after others had declared it lost"),
    ("dropped", "datagrams that nodes dropped as foreign, malformed or over a limit"),
    ("lost_part", "fraction of all datagrams lost at random or between partitioned regions"),
    ("queue_full", "datagrams dropped because a socket's receive queue was full"),
    ("refused", "datagrams that the system rejected on sending"),
    ("late_p99_ms", "lateness of the lab: 99th percentile, of the process where it was largest"),
    ("late_max_ms", "lateness of the lab: maximum"),
    ("complete_see", "largest number of nodes in a complete node's view, minimum over complete nodes"),
    ("complete_served", "fraction of the clients of the complete nodes that were served"),
    ("complete_rules", "rules that the complete nodes broke"),
    ("complete_core_fraction", "fraction of a core that a complete node used, with its request path"),
    ("complete_memory_mb", "peak memory of a complete node, in MiB, with its request path"),
];

/// Figures of every fault; their names are prefixed with the name of the fault.
pub const OF_FAULTS: &[(&str, &str)] = &[
    ("peak_bytes", "bytes per second of the node that sent most, largest 5 s mean, from the fault on"),
    ("bytes", "mean bytes per second and node from the fault on"),
    ("known99_s", "seconds until 99 % of the detections of stopped nodes by remaining nodes were made"),
    ("known_all_s", "seconds until all remaining nodes had detected all stopped nodes"),
    ("agreed_s", "seconds until the remaining nodes saw only each other and reported that views agree"),
    ("back_s", "seconds from the end of the fault until all saw all again and reported that views agree"),
];

const FAULTS: [FaultKind; 5] =
    [FaultKind::Kill, FaultKind::Rack, FaultKind::Zone, FaultKind::Restart, FaultKind::Region];

/// All figures, including those of every fault.
static FIGURE_MEANINGS: LazyLock<Vec<FigureMeaning>> = LazyLock::new(|| {
    let of_runs = FIGURES.iter().map(|&(name, meaning)| FigureMeaning { name, meaning });
    let of_faults = FAULTS.iter().flat_map(|fault| {
        OF_FAULTS.iter().map(move |&(name, meaning)| {
            // Leaked once, because all other names are static too.
            FigureMeaning { name: format!("{}_{name}", fault.name()).leak(), meaning }
        })
    });
    let of_publishing = deliveries::FIGURES.iter().map(|&(name, meaning)| FigureMeaning { name, meaning });
    of_runs.chain(of_faults).chain(of_publishing).collect()
});

/// All figures with their meaning.
pub fn figure_meanings() -> Vec<FigureMeaning> {
    FIGURE_MEANINGS.clone()
}

/// The static name of a figure; `None` if there is no such figure.
pub fn known_name(name: &str) -> Option<&'static str> {
    FIGURE_MEANINGS.iter().map(|figure| figure.name).find(|known| *known == name)
}

/// Everything that the processes of a run reported.
#[derive(Clone, Debug, Default)]
pub struct RunData {
    /// Number of hollow nodes.
    pub nodes: usize,
    /// Number of complete nodes.
    pub complete: usize,
    /// Views of the nodes of each process, with the number of the process.
    pub views: Vec<(usize, ProcessViews)>,
    /// Report of each process.
    pub reports: Vec<Report>,
}

/// Computes the figures of a run.
pub fn figures(schedule: &Schedule, data: &RunData) -> BTreeMap<String, f64> {
    let mut figures = Figures(BTreeMap::new());
    let convergence = convergence_over_time(data);
    let nodes: Vec<&NodeReport> = data.reports.iter().flat_map(|report| &report.nodes).collect();
    let changes: Vec<&StatusChange> = data.reports.iter().flat_map(|report| &report.status_changes).collect();
    figures.set_seconds("met_s", convergence.iter().find(|state| state.converged).map(|state| state.at));
    for phase in &schedule.phases {
        phase_figures(&mut figures, phase, data.nodes, &nodes, &changes, &convergence);
    }
    let core_fractions = schedule.phases.iter().map(|phase| core_fraction(data, phase));
    figures.set("core_fraction_peak", core_fractions.fold(0.0, f64::max));
    if let Some(rest) = schedule.phases.iter().find(|phase| phase.name == "rest") {
        figures.set("core_fraction", core_fraction(data, rest));
    }
    if let Some(publish) = schedule.phases.iter().find(|phase| phase.name == "publish") {
        figures.set("publish_core_fraction", core_fraction(data, publish));
    }
    figures.set("memory_bytes", memory_growth(&data.reports) / data.nodes.max(1) as f64);
    let false_losses: Vec<_> =
        changes.iter().filter(|change| is_false_loss(change, &schedule.phases)).collect();
    let joined = schedule.phases.first().map_or(0, |join| join.to);
    figures.set("false_lost", false_losses.len() as f64);
    figures.set("join_false_lost", false_losses.iter().filter(|change| change.at < joined).count() as f64);
    figures.set("came_back", nodes.iter().map(|node| f64::from(node.rejoined)).sum());
    figures.set("dropped", nodes.iter().map(|node| node.dropped as f64).sum());
    let datagrams: f64 = nodes.iter().map(|node| node.datagrams as f64).sum();
    let seconds = schedule.end as f64 / SECOND as f64;
    figures.set("datagrams", datagrams / seconds.max(1.0) / data.nodes.max(1) as f64);
    let sum = |of: fn(&Report) -> u64| data.reports.iter().map(|report| of(report) as f64).sum::<f64>();
    figures.set("lost_part", sum(|report| report.lost) / datagrams.max(1.0));
    figures.set("queue_full", sum(|report| report.queue_full));
    figures.set("refused", sum(|report| report.refused));
    let max = |of: fn(&Report) -> Micros| data.reports.iter().map(of).max().unwrap_or(0) as f64 / 1_000.0;
    figures.set("late_p99_ms", max(|report| report.lateness_p99_us));
    figures.set("late_max_ms", max(|report| report.lateness_max_us));
    figures.0
}

struct Figures(BTreeMap<String, f64>);

impl Figures {
    fn set(&mut self, name: &str, value: f64) {
        self.0.insert(name.to_owned(), value);
    }

    fn set_seconds(&mut self, name: &str, after: Option<Micros>) {
        if let Some(after) = after {
            self.set(name, after as f64 / SECOND as f64);
        }
    }
}

/// Whether, at a time, all running nodes saw all running nodes and agreed on the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Convergence {
    at: Micros,
    converged: bool,
}

fn convergence_over_time(data: &RunData) -> Vec<Convergence> {
    let mut views = data.views.clone();
    views.sort_by_key(|(_, views)| views.at);
    let mut tracker = ConvergenceTracker::new(data.reports.len(), data.complete);
    views
        .into_iter()
        .map(|(process, views)| Convergence { at: views.at, converged: tracker.update(process, views) })
        .collect()
}

/// Tracks whether all running nodes see all running nodes.
#[derive(Debug)]
pub struct ConvergenceTracker {
    processes: usize,
    complete: usize,
    latest: BTreeMap<usize, ProcessViews>,
}

impl ConvergenceTracker {
    /// Tracks this many processes, with this many complete nodes beside them.
    pub fn new(processes: usize, complete: usize) -> Self {
        Self { processes, complete, latest: BTreeMap::new() }
    }

    /// Applies the views of a process. Returns whether all running nodes now see all running nodes and agree.
    pub fn update(&mut self, process: usize, views: ProcessViews) -> bool {
        self.latest.insert(process, views);
        self.latest.len() >= self.processes && all_agree(self.latest.values(), self.complete)
    }
}

fn all_agree<'a>(views: impl Iterator<Item = &'a ProcessViews>, complete: usize) -> bool {
    let running: Vec<_> = views.filter(|views| views.running > 0).collect();
    let all = running.iter().map(|views| views.running).sum::<u32>() + complete as u32;
    let digests: BTreeSet<_> = running.iter().map(|views| views.digest).collect();
    let same = digests.len() == 1 && !digests.contains(&None);
    same && running.iter().all(|views| views.agreed && (views.min_nodes, views.max_nodes) == (all, all))
}

/// The start of the last converged stretch within these times, if it lasts to their end; relative to `from`.
fn converged_since(states: &[Convergence], from: Micros, to: Micros) -> Option<Micros> {
    let within = states.iter().filter(|state| (from..to).contains(&state.at));
    let mut since = None;
    for state in within {
        since = match (state.converged, since) {
            (true, None) => Some(state.at),
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
    changes: &[&StatusChange],
    convergence: &[Convergence],
) {
    let name = |what: &str| format!("{}_{what}", phase.name);
    let peak = reports.iter().map(|node| peak_bytes(node, phase)).fold(0.0, f64::max);
    figures.set(&name("peak_bytes"), peak);
    if phase.name == "join" {
        return;
    }
    let mean = reports.iter().map(|node| mean_bytes(node, phase)).sum::<f64>() / nodes.max(1) as f64;
    figures.set(&name("bytes"), mean);
    if phase.name == "rest" || phase.name == "publish" {
        return;
    }
    if !phase.down.is_empty() {
        let times = detection_times(phase, nodes, changes);
        let quantile_index = ((times.len() as f64 * KNOWN_QUANTILE).ceil() as usize).saturating_sub(1);
        figures.set_seconds(&name("known99_s"), times.get(quantile_index).copied().flatten());
        figures.set_seconds(&name("known_all_s"), times.last().copied().flatten());
    }
    if phase.cut.is_empty() {
        figures.set_seconds(&name("agreed_s"), converged_since(convergence, phase.from, phase.recovery));
    }
    figures.set_seconds(&name("back_s"), converged_since(convergence, phase.recovery, phase.to));
}

/// How long each remaining node took to detect each stopped node, in ascending order; detections that never happened
/// come last.
fn detection_times(phase: &Phase, nodes: usize, changes: &[&StatusChange]) -> Vec<Option<Micros>> {
    let mut first: BTreeMap<(usize, usize), Micros> = BTreeMap::new();
    let of_phase = changes.iter().filter(|change| (phase.from..phase.to).contains(&change.at));
    for change in of_phase.filter(|change| phase.down.contains(&change.subject)) {
        let at = first.entry((change.reporter, change.subject)).or_insert(change.at);
        *at = change.at.min(*at);
    }
    let remaining = (0..nodes).filter(|node| !phase.down.contains(node));
    let pairs = remaining.flat_map(|reporter| phase.down.iter().map(move |subject| (reporter, *subject)));
    let mut times: Vec<_> = pairs.map(|pair| first.get(&pair).map(|at| at - phase.from)).collect();
    times.sort_by_key(|time| time.unwrap_or(Micros::MAX));
    times
}

fn second_range(phase: &Phase) -> (usize, usize) {
    ((phase.from / SECOND) as usize, (phase.to / SECOND) as usize)
}

fn sent_bytes(node: &NodeReport, second: usize) -> f64 {
    f64::from(node.bytes.get(second).copied().unwrap_or(0))
}

fn mean_bytes(node: &NodeReport, phase: &Phase) -> f64 {
    let (from, to) = second_range(phase);
    (from..to).map(|second| sent_bytes(node, second)).sum::<f64>() / to.saturating_sub(from).max(1) as f64
}

/// The largest mean over [`WINDOW_S`] seconds within the phase.
fn peak_bytes(node: &NodeReport, phase: &Phase) -> f64 {
    let (from, to) = second_range(phase);
    let window = WINDOW_S.min(to.saturating_sub(from)).max(1);
    let starts = from..(to + 1).saturating_sub(window).max(from + 1);
    let means = starts.map(|start| {
        (start..start + window).map(|second| sent_bytes(node, second)).sum::<f64>() / window as f64
    });
    means.fold(0.0, f64::max)
}

/// Fraction of a core used per node in a phase, over all processes.
fn core_fraction(data: &RunData, phase: &Phase) -> f64 {
    let used = data.reports.iter().filter_map(|report| {
        let within = |usage: &&Usage| (phase.from..=phase.to).contains(&usage.at);
        let (first, last) = (report.usage.iter().find(within)?, report.usage.iter().rfind(within)?);
        let time = last.at.saturating_sub(first.at).max(1) as f64;
        Some(last.cpu_us.saturating_sub(first.cpu_us) as f64 / time)
    });
    used.sum::<f64>() / data.nodes.max(1) as f64
}

fn memory_growth(reports: &[Report]) -> f64 {
    let growth = reports.iter().map(|report| {
        let max = report.usage.iter().map(|usage| usage.memory_bytes).max().unwrap_or(0);
        max.saturating_sub(report.memory_before) as f64
    });
    growth.sum()
}

/// Whether this change declares a node lost that was running and was not cut off from the reporter.
fn is_false_loss(change: &StatusChange, phases: &[Phase]) -> bool {
    let is_explained = |phase: &Phase| {
        let during_fault = (phase.from..phase.recovery.saturating_add(RETURN_ALLOWANCE)).contains(&change.at);
        let separated = phase.cut.contains(&change.reporter) != phase.cut.contains(&change.subject);
        during_fault && (phase.down.contains(&change.subject) || separated)
    };
    change.status == PeerStatus::Lost && !phases.iter().any(is_explained)
}

#[cfg(test)]
mod tests;
