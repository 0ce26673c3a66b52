//! Converts outcomes into series against the number of nodes, in the format shared by all measuring tools of the lab.

use super::{Case, CaseOutcome};
use crate::cluster::Topology;
use crate::slopes::{Method, Point, Series};
use std::collections::BTreeMap;

/// Processor time ratios are relative to this cluster size.
const REFERENCE_NODES: usize = 66;

/// A figure that is written as a series.
struct Measure {
    case: Case,
    name: &'static str,
    unit: &'static str,
    value: fn(&CaseOutcome) -> Option<f64>,
}

const fn measure(
    case: Case,
    name: &'static str,
    unit: &'static str,
    value: fn(&CaseOutcome) -> Option<f64>,
) -> Measure {
    Measure { case, name, unit, value }
}

const BYTES: &str = "B/s";
const SECONDS: &str = "s";

/// Joining is measured in the runs of [`Case::Rest`], which begin with it.
const MEASURES: [Measure; 40] = [
    measure(Case::Rest, "bytes_per_second.rest", BYTES, |o| Some(o.traffic.bytes_per_s)),
    measure(Case::Rest, "datagrams_per_second.rest", "datagrams/s", |o| Some(o.traffic.datagrams_per_s)),
    measure(Case::Rest, "bytes_per_second.peak.rest", BYTES, peak),
    measure(Case::Rest, "datagrams_per_second.peak.rest", "datagrams/s", |o| {
        Some(o.traffic.peak_datagrams_per_s)
    }),
    measure(Case::Rest, "processor_core_fraction.rest", "core", core_fraction),
    measure(Case::Rest, "bytes_per_second.peak.join", BYTES, |o| Some(o.joining.peak_bytes_per_s)),
    measure(Case::Rest, "bytes_per_second.peak_mean.join", BYTES, |o| Some(o.joining.peak_mean_bytes_per_s)),
    measure(Case::Rest, "processor_core_fraction.join", "core", |o| {
        Some(o.joining_processor_us_per_node_s / MICROSECONDS_PER_SECOND)
    }),
    measure(Case::Rest, "seconds_to_agree.join", SECONDS, |o| o.joined_s),
    measure(Case::Kill, "bytes_per_second.peak.kill", BYTES, peak),
    measure(Case::Kill, "seconds_to_know.kill", SECONDS, |o| o.known_all_s),
    measure(Case::Kill, "seconds_to_know_99.kill", SECONDS, |o| o.known_p99_s),
    measure(Case::Restarts, "bytes_per_second.peak.restarts32", BYTES, peak),
    measure(Case::Restarts, "seconds_to_agree.restarts32", SECONDS, agreed),
    measure(Case::Restarts, "processor_core_fraction.restarts32", "core", core_fraction),
    measure(Case::RestartTenth, "bytes_per_second.peak.tenth_restarted", BYTES, peak),
    measure(Case::RestartTenth, "seconds_to_agree.tenth_restarted", SECONDS, agreed),
    measure(Case::RackLost, "bytes_per_second.peak.rack", BYTES, peak),
    measure(Case::RackLost, "seconds_to_know.rack", SECONDS, |o| o.known_all_s),
    measure(Case::RackLost, "seconds_to_know_99.rack", SECONDS, |o| o.known_p99_s),
    measure(Case::RackLost, "seconds_to_agree.rack", SECONDS, agreed),
    measure(Case::ZoneLost, "bytes_per_second.peak.zone", BYTES, peak),
    measure(Case::ZoneLost, "seconds_to_know.zone", SECONDS, |o| o.known_all_s),
    measure(Case::ZoneLost, "seconds_to_know_99.zone", SECONDS, |o| o.known_p99_s),
    measure(Case::ZoneLost, "seconds_to_agree.zone", SECONDS, agreed),
    measure(Case::ZoneLost, "processor_core_fraction.zone", "core", core_fraction),
    measure(Case::ZoneShareLost, "bytes_per_second.peak.zone_share", BYTES, peak),
    measure(Case::ZoneShareLost, "seconds_to_know.zone_share", SECONDS, |o| o.known_all_s),
    measure(Case::ZoneShareLost, "seconds_to_agree.zone_share", SECONDS, agreed),
    measure(Case::KillMost, "bytes_per_second.peak.seven_in_ten_killed", BYTES, peak),
    measure(Case::KillMost, "seconds_to_agree.seven_in_ten_killed", SECONDS, agreed),
    measure(Case::Split, "bytes_per_second.peak.split", BYTES, peak),
    measure(Case::Split, "seconds_to_agree.split", SECONDS, agreed),
    measure(Case::RegionCut, "bytes_per_second.peak.region_cut", BYTES, |o| {
        o.while_cut.map(|rates| rates.peak_bytes_per_s)
    }),
    measure(Case::RegionCut, "seconds_to_know.region_cut", SECONDS, |o| o.known_all_s),
    measure(Case::RegionCut, "bytes_per_second.peak.region_return", BYTES, |o| {
        o.returning.map(|rates| rates.peak_bytes_per_s)
    }),
    measure(Case::RegionCut, "seconds_to_agree.region_return", SECONDS, agreed),
    measure(Case::Release, "bytes_per_second.peak.release", BYTES, peak),
    measure(Case::Release, "seconds_to_agree.release", SECONDS, agreed),
    measure(Case::Release, "processor_core_fraction.release", "core", core_fraction),
];

const MICROSECONDS_PER_SECOND: f64 = 1e6;

fn peak(outcome: &CaseOutcome) -> Option<f64> {
    Some(outcome.traffic.peak_bytes_per_s)
}

fn agreed(outcome: &CaseOutcome) -> Option<f64> {
    outcome.converged_s
}

fn core_fraction(outcome: &CaseOutcome) -> Option<f64> {
    Some(outcome.processor_us_per_node_s / MICROSECONDS_PER_SECOND)
}

/// All series of these outcomes. Each loss above zero and each topology other than flat has separate series.
pub fn series(outcomes: &[CaseOutcome], command: &str) -> Vec<Series> {
    let mut all = BTreeMap::new();
    for outcome in outcomes {
        for measure in MEASURES.iter().filter(|measure| measure.case == outcome.scenario.case) {
            let Some(value) = (measure.value)(outcome) else { continue };
            let name = format!("membership.{}{}", measure.name, suffix(outcome));
            let series = all.entry(name.clone()).or_insert_with(|| empty_series(name, measure.unit, command));
            series.points.push(point(outcome, value));
        }
    }
    let ratios = ratios(&all, command);
    all.into_values().chain(ratios).collect()
}

fn suffix(outcome: &CaseOutcome) -> String {
    let mut suffix = String::new();
    if outcome.scenario.loss > 0.0 {
        suffix += &format!(".loss-{:.0}-percent", outcome.scenario.loss * 100.0);
    }
    if outcome.scenario.topology != Topology::Flat {
        suffix += &format!(".{}", outcome.scenario.topology.name());
    }
    suffix
}

fn empty_series(name: String, unit: &str, command: &str) -> Series {
    Series {
        name,
        unit: unit.to_owned(),
        against: "nodes".to_owned(),
        method: Method::Simulated,
        command: command.to_owned(),
        points: Vec::new(),
    }
}

fn point(outcome: &CaseOutcome, value: f64) -> Point {
    Point { size: outcome.scenario.nodes as f64, value, seed: outcome.scenario.seed }
}

/// Processor times relative to their mean at the reference size in the same run, which removes the speed of the machine.
fn ratios(all: &BTreeMap<String, Series>, command: &str) -> Vec<Series> {
    let mut ratios = Vec::new();
    for (name, series) in all {
        let Some(suffix) = name.strip_prefix("membership.processor_core_fraction.") else { continue };
        let at_reference: Vec<_> =
            series.points.iter().filter(|point| point.size == REFERENCE_NODES as f64).collect();
        let reference = at_reference.iter().map(|point| point.value).sum::<f64>() / at_reference.len() as f64;
        if reference.is_nan() || reference <= 0.0 {
            continue;
        }
        let mut ratio = empty_series(format!("membership.processor_ratio.{suffix}"), "ratio", command);
        ratio.points = series.points.iter().map(|p| Point { value: p.value / reference, ..*p }).collect();
        ratios.push(ratio);
    }
    ratios
}

#[cfg(test)]
mod tests;
