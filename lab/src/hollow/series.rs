//! Figures of runs as series over the number of nodes, in the format shared by all measuring tools of the lab.

use super::run::HollowRun;
use crate::slopes::{Method, Point, Series};

/// Figures that become series: figure, name of the series, unit.
const SERIES: &[(&str, &str, &str)] = &[
    ("rest_bytes", "hollow.bytes_per_second.rest", "B/s"),
    ("rest_peak_bytes", "hollow.bytes_per_second.peak.rest", "B/s"),
    ("join_peak_bytes", "hollow.bytes_per_second.peak.join", "B/s"),
    ("kill_peak_bytes", "hollow.bytes_per_second.peak.kill", "B/s"),
    ("rack_peak_bytes", "hollow.bytes_per_second.peak.rack", "B/s"),
    ("zone_peak_bytes", "hollow.bytes_per_second.peak.zone", "B/s"),
    ("restart_peak_bytes", "hollow.bytes_per_second.peak.restart", "B/s"),
    ("region_peak_bytes", "hollow.bytes_per_second.peak.region", "B/s"),
    ("core_fraction", "hollow.processor_core_fraction", "core"),
    ("memory_bytes", "hollow.memory_bytes", "B"),
    ("kill_known_all_s", "hollow.seconds_to_know.kill", "s"),
    ("met_s", "hollow.seconds_to_meet", "s"),
    ("publish_peak_bytes", "hollow.bytes_per_second.peak.publish", "B/s"),
    ("publish_core_fraction", "hollow.processor_core_fraction.publish", "core"),
    ("log_largest_s", "hollow.seconds_to_all.log", "s"),
    ("state_largest_s", "hollow.seconds_to_all.state", "s"),
    ("acknowledged_largest_s", "hollow.seconds_to_acknowledge.log", "s"),
];

/// Series of the valid runs; void and interrupted runs contribute no points. Each loss above zero has its own series.
pub fn series(runs: &[HollowRun], command: &str) -> Vec<Series> {
    let mut losses: Vec<f64> = runs.iter().map(|run| run.loss).collect();
    losses.sort_by(f64::total_cmp);
    losses.dedup();
    let per_loss = losses.into_iter().flat_map(|loss| SERIES.iter().map(move |of| (loss, of)));
    let all = per_loss.map(|(loss, (figure, name, unit))| Series {
        name: if loss > 0.0 {
            format!("{name}.loss-{:.0}-percent", loss * 100.0)
        } else {
            (*name).to_owned()
        },
        unit: (*unit).to_owned(),
        against: "nodes".to_owned(),
        method: Method::Hollow,
        command: command.to_owned(),
        points: points(runs, loss, figure),
    });
    all.filter(|series| !series.points.is_empty()).collect()
}

fn points(runs: &[HollowRun], loss: f64, figure: &str) -> Vec<Point> {
    let counted = runs.iter().filter(|run| run.loss == loss && run.void.is_none() && !run.interrupted);
    let values = counted.filter_map(|run| {
        let value = *run.figures.get(figure)?;
        Some(Point { size: (run.nodes + run.complete) as f64, value, seed: run.seed })
    });
    values.collect()
}
