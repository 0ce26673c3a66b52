//! Outcome of a case and the figures taken from it.

use super::Scenario;
use crate::cluster::TrafficRates;
use serde::Serialize;

/// Outcome of a case. Times are in seconds; a missing time means that the event did not happen within its limit.
#[derive(Clone, Debug, Serialize)]
pub struct CaseOutcome {
    /// The scenario that was run.
    #[serde(flatten)]
    pub scenario: Scenario,
    /// Number of nodes that the fault affected.
    pub affected: usize,
    /// From the start until all views were equal.
    pub joined_s: Option<f64>,
    /// Time until half of the expected reports of lost or departed nodes had been made.
    pub known_p50_s: Option<f64>,
    /// Time until 99 % of them had been made.
    pub known_p99_s: Option<f64>,
    /// Time until all of them had been made.
    pub known_all_s: Option<f64>,
    /// Time until 9 in 10 nodes reported that views differ.
    pub disagreement_known_s: Option<f64>,
    /// From the end of the fault until all views were equal again.
    pub converged_s: Option<f64>,
    /// Reports of a node as lost that was running and reachable, excluding paused nodes.
    pub false_reports: usize,
    /// The same reports made after the end of a partition, which `false_reports` does not include.
    pub false_reports_after_heal: usize,
    /// Reports of a node as suspected that was running and reachable.
    pub false_suspicions: usize,
    /// How often a node rejoined after it had been declared lost.
    pub rejoined: u64,
    /// The largest sum over all nodes of the share that each assumes for itself; 1 is the whole.
    pub share_sum: f64,
    /// Rates from the start until the fault begins.
    pub joining: TrafficRates,
    /// Rates from the beginning of the fault: means until all views were equal again, peaks over 5 s more.
    #[serde(flatten)]
    pub traffic: TrafficRates,
    /// Rates during a partition.
    pub while_cut: Option<TrafficRates>,
    /// Rates from the end of a partition, otherwise as `traffic`.
    pub returning: Option<TrafficRates>,
    /// Processor time inside peers, in microseconds per node and second, from the beginning of the fault.
    pub processor_us_per_node_s: f64,
    /// The same before the beginning of the fault.
    pub joining_processor_us_per_node_s: f64,
    /// Processor time of the whole run, in seconds.
    pub processor_s: f64,
    /// Fraction of `processor_s` that was spent inside peers.
    pub processor_part_of_peers: f64,
    /// Length of the run in simulated time.
    pub simulated_s: f64,
}

/// A figure of an outcome that checks may refer to.
pub struct Figure {
    /// Name in experiment files and reports.
    pub name: &'static str,
    /// Explanation for the reader.
    pub meaning: &'static str,
    /// Extracts the value; none if it was not reached or does not apply.
    pub value: fn(&CaseOutcome) -> Option<f64>,
}

/// All figures that checks may refer to.
pub const FIGURES: [Figure; 21] = [
    Figure { name: "joined_s", meaning: "from the start until all views are equal", value: |o| o.joined_s },
    Figure {
        name: "known_p50_s",
        meaning: "until half of the expected reports of losses are made",
        value: |o| o.known_p50_s,
    },
    Figure { name: "known_p99_s", meaning: "until 99 in 100 of them are made", value: |o| o.known_p99_s },
    Figure { name: "known_all_s", meaning: "until all of them are made", value: |o| o.known_all_s },
    Figure {
        name: "disagreement_known_s",
        meaning: "until 9 in 10 nodes report that views differ",
        value: |o| o.disagreement_known_s,
    },
    Figure {
        name: "converged_s",
        meaning: "from the end of the fault until all views are equal again",
        value: |o| o.converged_s,
    },
    Figure {
        name: "false_reports",
        meaning: "reports of a node as lost that is running and reachable",
        value: |o| Some(o.false_reports as f64),
    },
    Figure {
        name: "false_reports_after_heal",
        meaning: "the same reports made after the end of a partition",
        value: |o| Some(o.false_reports_after_heal as f64),
    },
    Figure {
        name: "false_suspicions",
        meaning: "reports of a node as suspected that is running and reachable",
        value: |o| Some(o.false_suspicions as f64),
    },
    Figure {
        name: "rejoined",
        meaning: "how often a node rejoins after it was declared lost",
        value: |o| Some(o.rejoined as f64),
    },
    Figure {
        name: "share_sum",
        meaning: "the largest sum over all nodes of the share that each assumes for itself",
        value: |o| Some(o.share_sum),
    },
    Figure {
        name: "bytes_per_s",
        meaning: "bytes sent by a node per second, in the mean",
        value: |o| Some(o.traffic.bytes_per_s),
    },
    Figure {
        name: "datagrams_per_s",
        meaning: "datagrams sent by a node per second, in the mean",
        value: |o| Some(o.traffic.datagrams_per_s),
    },
    Figure {
        name: "peak_bytes_per_s",
        meaning: "the largest 5 s mean of bytes sent by any node",
        value: |o| Some(o.traffic.peak_bytes_per_s),
    },
    Figure {
        name: "peak_datagrams_per_s",
        meaning: "the largest 5 s mean of datagrams sent by any node",
        value: |o| Some(o.traffic.peak_datagrams_per_s),
    },
    Figure {
        name: "peak_received_bytes_per_s",
        meaning: "the largest 5 s mean of bytes received by any node",
        value: |o| Some(o.traffic.peak_received_bytes_per_s),
    },
    Figure {
        name: "peak_mean_bytes_per_s",
        meaning: "the largest 5 s mean of bytes sent, averaged over nodes",
        value: |o| Some(o.traffic.peak_mean_bytes_per_s),
    },
    Figure {
        name: "joining_peak_bytes_per_s",
        meaning: "the largest 5 s mean of bytes sent by any node while all nodes join",
        value: |o| Some(o.joining.peak_bytes_per_s),
    },
    Figure {
        name: "joining_peak_mean_bytes_per_s",
        meaning: "the largest 5 s mean of bytes sent while all nodes join, averaged over nodes",
        value: |o| Some(o.joining.peak_mean_bytes_per_s),
    },
    Figure {
        name: "returning_peak_bytes_per_s",
        meaning: "the largest 5 s mean of bytes sent by any node after the end of a partition",
        value: |o| o.returning.map(|rates| rates.peak_bytes_per_s),
    },
    Figure {
        name: "processor_us_per_node_s",
        meaning: "microseconds of processor time of a node's membership per second, on this machine",
        value: |o| Some(o.processor_us_per_node_s),
    },
];
