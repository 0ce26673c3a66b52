//! What a case came to.

use super::Play;
use crate::cluster::TrafficRates;
use serde::Serialize;

/// What a case came to. Times are in seconds; a missing one was not reached within its limit.
#[derive(Clone, Debug, Serialize)]
pub struct CaseOutcome {
    /// What was played.
    #[serde(flatten)]
    pub play: Play,
    /// Nodes that the trouble was about.
    pub affected: usize,
    /// From the start until all views were the same.
    pub joined_s: Option<f64>,
    /// Until half, 99 in a hundred, and all of the reports had come that were to come of those who were lost or left.
    pub known_p50_s: Option<f64>,
    /// See `known_p50_s`.
    pub known_p99_s: Option<f64>,
    /// See `known_p50_s`.
    pub known_all_s: Option<f64>,
    /// Until 9 in 10 nodes reported that views differ.
    pub disagreement_known_s: Option<f64>,
    /// From the end of the trouble until all views were the same again.
    pub converged_s: Option<f64>,
    /// Reports that a node is lost which ran and could be reached; the one that was paused apart.
    pub false_reports: usize,
    /// Those of them that came after the end of a partition, of nodes that the other side had lost.
    pub false_reports_after_heal: usize,
    /// Reports that a node is suspected which ran and could be reached.
    pub false_suspicions: usize,
    /// How often a node rejoined that had been declared gone.
    pub rejoined: u64,
    /// The largest sum of what all nodes take for their shares, where one is the whole.
    pub share_sum: f64,
    /// From the start until the trouble begins.
    pub joining: TrafficRates,
    /// From the beginning of the trouble on; means until all views were the same again, peaks for 5 s more.
    #[serde(flatten)]
    pub traffic: TrafficRates,
    /// While a partition lasts.
    pub while_cut: Option<TrafficRates>,
    /// From the end of a partition on, as above.
    pub returning: Option<TrafficRates>,
    /// Processor time inside of peers, in microseconds for each node and second, from the beginning of the trouble on.
    pub processor_us_per_node_s: f64,
    /// The same until then.
    pub joining_processor_us_per_node_s: f64,
    /// Processor time of the whole play in seconds, and the part of it inside of peers.
    pub processor_s: f64,
    /// See `processor_s`.
    pub processor_part_of_peers: f64,
    /// How long the play was, in simulated time.
    pub simulated_s: f64,
}

/// A figure of an outcome that may be checked.
pub struct Figure {
    /// Its name.
    pub name: &'static str,
    /// What it means.
    pub meaning: &'static str,
    /// Its value; none where it was not reached or does not apply.
    pub of: fn(&CaseOutcome) -> Option<f64>,
}

/// All figures that may be checked.
pub const FIGURES: [Figure; 21] = [
    Figure { name: "joined_s", meaning: "from the start until all views are the same", of: |o| o.joined_s },
    Figure {
        name: "known_p50_s",
        meaning: "until half of the reports of losses have come",
        of: |o| o.known_p50_s,
    },
    Figure { name: "known_p99_s", meaning: "until 99 in 100 of them have come", of: |o| o.known_p99_s },
    Figure { name: "known_all_s", meaning: "until all of them have come", of: |o| o.known_all_s },
    Figure {
        name: "disagreement_known_s",
        meaning: "until 9 in 10 nodes report that views differ",
        of: |o| o.disagreement_known_s,
    },
    Figure {
        name: "converged_s",
        meaning: "from the end of the trouble until all views are the same again",
        of: |o| o.converged_s,
    },
    Figure {
        name: "false_reports",
        meaning: "reports that a node is lost which runs and can be reached",
        of: |o| Some(o.false_reports as f64),
    },
    Figure {
        name: "false_reports_after_heal",
        meaning: "those of them that come after a partition, of nodes that the other side had lost",
        of: |o| Some(o.false_reports_after_heal as f64),
    },
    Figure {
        name: "false_suspicions",
        meaning: "reports that a node is suspected which runs and can be reached",
        of: |o| Some(o.false_suspicions as f64),
    },
    Figure {
        name: "rejoined",
        meaning: "how often a node rejoins that had been declared gone",
        of: |o| Some(o.rejoined as f64),
    },
    Figure {
        name: "share_sum",
        meaning: "the largest sum of what all nodes take for their shares of the whole",
        of: |o| Some(o.share_sum),
    },
    Figure {
        name: "bytes_per_s",
        meaning: "bytes that a node sends a second, in the mean",
        of: |o| Some(o.traffic.bytes_per_s),
    },
    Figure {
        name: "datagrams_per_s",
        meaning: "datagrams that a node sends a second, in the mean",
        of: |o| Some(o.traffic.datagrams_per_s),
    },
    Figure {
        name: "peak_bytes_per_s",
        meaning: "the largest 5 s mean of bytes sent by any node",
        of: |o| Some(o.traffic.peak_bytes_per_s),
    },
    Figure {
        name: "peak_datagrams_per_s",
        meaning: "the largest 5 s mean of datagrams sent by any node",
        of: |o| Some(o.traffic.peak_datagrams_per_s),
    },
    Figure {
        name: "peak_received_bytes_per_s",
        meaning: "the largest 5 s mean of bytes received by any node",
        of: |o| Some(o.traffic.peak_received_bytes_per_s),
    },
    Figure {
        name: "peak_mean_bytes_per_s",
        meaning: "the largest 5 s mean of bytes sent, in the mean over nodes",
        of: |o| Some(o.traffic.peak_mean_bytes_per_s),
    },
    Figure {
        name: "joining_peak_bytes_per_s",
        meaning: "the largest 5 s mean of bytes sent by any node while all join",
        of: |o| Some(o.joining.peak_bytes_per_s),
    },
    Figure {
        name: "joining_peak_mean_bytes_per_s",
        meaning: "the largest 5 s mean of bytes sent while all join, in the mean over nodes",
        of: |o| Some(o.joining.peak_mean_bytes_per_s),
    },
    Figure {
        name: "returning_peak_bytes_per_s",
        meaning: "the largest 5 s mean of bytes sent by any node after the end of a partition",
        of: |o| o.returning.map(|rates| rates.peak_bytes_per_s),
    },
    Figure {
        name: "processor_us_per_node_s",
        meaning: "microseconds of processor time of a node's peers in a second, on this machine",
        of: |o| Some(o.processor_us_per_node_s),
    },
];
