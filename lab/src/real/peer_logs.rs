//! Figures on peer failure detection and agreement, computed from the logs of the nodes.

use crate::judge::{NodeState, Span};
use crate::model::Micros;
use crate::plan::Plan;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::UNIX_EPOCH;

/// Nodes that were not serving within this time of a node's end, in seconds, need not detect it.
const ABSENCE_MARGIN_S: f64 = 3.0;

/// A JSON log line of a node.
#[derive(Debug, Deserialize)]
struct LogLine {
    timestamp: String,
    target: String,
    message: String,
    #[serde(default)]
    name: String,
}

/// A log event about peers: time in seconds since the end of the lead, observing node, peer concerned, and message.
struct PeerEvent {
    at_s: f64,
    observer: usize,
    subject: Option<usize>,
    message: String,
}

/// Computes the peer figures. Those that do not apply to the experiment are omitted.
pub fn figures(plan: &Plan, epoch: Micros, spans: &[Span], logs: &[PathBuf]) -> BTreeMap<&'static str, f64> {
    let origin = (epoch + plan.lead()) as f64 / 1e6;
    let events: Vec<_> =
        logs.iter().enumerate().flat_map(|(observer, log)| read_events(observer, log, origin)).collect();
    let mut figures = BTreeMap::new();
    let down = |span: &&Span| span.state == NodeState::Down;
    let left_gracefully = |span: &Span| {
        spans
            .iter()
            .any(|s| s.node == span.node && s.state == NodeState::Leaving && s.to_s <= span.from_s + 0.01)
    };
    let killed: Vec<_> = spans.iter().filter(down).filter(|span| !left_gracefully(span)).collect();
    let leaving: Vec<_> = spans.iter().filter(|span| span.state == NodeState::Leaving).collect();
    for (name, what, ended_spans) in
        [("peers_known_s", "a peer is lost", &killed), ("peers_left_s", "a peer has left", &leaving)]
    {
        let mut times: Vec<f64> = ended_spans
            .iter()
            .flat_map(|span| detection_times(&events, span, what, logs.len(), spans))
            .collect();
        times.sort_by(f64::total_cmp);
        if let Some(time) = quantile(&times, 0.99) {
            figures.insert(name, time);
        }
    }
    // Nodes affected by a fault may be reported lost, and may report others lost, without being a false report.
    let affected: BTreeSet<_> = spans.iter().map(|span| span.node).collect();
    let lost = events.iter().filter(|event| event.message == "a peer is lost" && event.at_s >= 0.0);
    let false_reports = lost.filter(|event| {
        event.subject.is_some_and(|subject| !affected.contains(&subject))
            && !affected.contains(&event.observer)
    });
    let silent_link =
        plan.experiment.fault.iter().any(|fault| fault.link.as_ref().is_some_and(|link| link.silent));
    if !silent_link {
        figures.insert("peers_false", false_reports.count() as f64);
    }
    let first =
        plan.experiment.fault.iter().map(|fault| fault.from.as_secs_f64()).fold(f64::INFINITY, f64::min);
    let last = plan.experiment.fault.iter().map(|fault| fault.to.as_secs_f64()).fold(0.0, f64::max);
    let differs = |event: &&PeerEvent| {
        event.message.starts_with("views differ") || event.message.starts_with("views are split")
    };
    let mut first_differences: Vec<f64> = (0..logs.len())
        .filter_map(|node| {
            events
                .iter()
                .filter(differs)
                .find(|event| event.observer == node && event.at_s >= first)
                .map(|event| event.at_s - first)
        })
        .collect();
    first_differences.sort_by(f64::total_cmp);
    if let Some(time) = first_differences.get((logs.len() * 9).div_ceil(10).saturating_sub(1)) {
        figures.insert("peers_apart_s", *time);
    }
    // The last event of each node about its view must report agreement; how long after the last fault it came.
    let mut agreed: f64 = 0.0;
    for node in 0..logs.len() {
        let mut views =
            events.iter().filter(|event| event.observer == node && event.message.starts_with("views"));
        let end = plan.experiment.length.as_secs_f64();
        match views.rfind(|event| event.at_s <= end) {
            Some(event) if event.message == "views agree" => agreed = agreed.max(event.at_s - last),
            _ => agreed = f64::INFINITY,
        }
    }
    if agreed.is_finite() {
        figures.insert("peers_agreed_s", agreed.max(0.0));
    }
    figures
}

/// Detection time of each other node; infinite for one that never detected it. Nodes that were not serving around that
/// time are left out.
fn detection_times(events: &[PeerEvent], span: &Span, what: &str, nodes: usize, spans: &[Span]) -> Vec<f64> {
    let away = |node: usize| {
        let overlaps = |other: &Span| {
            other.from_s < span.from_s + ABSENCE_MARGIN_S && other.to_s > span.from_s - ABSENCE_MARGIN_S
        };
        spans.iter().any(|other| other.node == node && overlaps(other))
    };
    (0..nodes)
        .filter(|node| !away(*node))
        .map(|node| {
            let matches = |event: &&PeerEvent| {
                event.observer == node && event.subject == Some(span.node) && event.message == what
            };
            let first = events.iter().filter(matches).find(|event| event.at_s >= span.from_s - 0.05);
            first.map_or(f64::INFINITY, |event| event.at_s - span.from_s)
        })
        .collect()
}

fn quantile(sorted: &[f64], part: f64) -> Option<f64> {
    sorted.get(((sorted.len() as f64 * part).ceil() as usize).saturating_sub(1)).copied()
}

fn read_events(observer: usize, log: &PathBuf, origin: f64) -> Vec<PeerEvent> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter_map(|line| serde_json::from_str::<LogLine>(line).ok());
    let events = lines.filter(|line| line.target == "peers").filter_map(|line| {
        let at = humantime::parse_rfc3339(&line.timestamp).ok()?.duration_since(UNIX_EPOCH).ok()?;
        let subject = line.name.strip_prefix('n').and_then(|number| number.parse().ok());
        Some(PeerEvent { at_s: at.as_secs_f64() - origin, observer, subject, message: line.message })
    });
    events.collect()
}
