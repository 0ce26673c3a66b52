//! The schedule of a run: node starts, rest, publishing, and faults one after the other.

use super::protocol::{Event, EventKind, Micros};
use super::settings::{FaultKind, Hollow, HollowFault, Publish};
use std::collections::BTreeSet;
use std::time::Duration;

const SECOND: Micros = 1_000_000;
/// Nodes that are restarted at once.
const RESTARTED_NODES: usize = 32;
/// Zone whose nodes are killed. Zone 0 is spared because node 0 and the complete nodes stand there.
const FAULT_ZONE: usize = 1;
/// Region that is cut off.
const FAULT_REGION: usize = 2;

/// A part of a run with figures of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Phase {
    /// Name in figures.
    pub name: &'static str,
    /// When it begins.
    pub from: Micros,
    /// When the fault ends: stopped nodes restart and cut regions are reconnected. Equal to `to` without a fault.
    pub recovery: Micros,
    /// When it ends.
    pub to: Micros,
    /// Nodes that are stopped from `from` to `recovery`.
    pub down: BTreeSet<usize>,
    /// Whether they send a leave message.
    pub graceful: bool,
    /// Nodes that are cut off from all others from `from` to `recovery`.
    pub cut: BTreeSet<usize>,
}

/// All events of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// In order of time.
    pub events: Vec<Event>,
    /// Contiguous phases: `join`, `rest`, and one for each fault; `publish` may overlap the faults.
    pub phases: Vec<Phase>,
    /// When the run ends.
    pub end: Micros,
}

/// Time from opening a publisher to its first entry.
const PUBLISHER_OPEN_TIME: Micros = 1_000_000;
/// How long entries are published before the first fault, if faults begin during publishing.
const PUBLISH_BEFORE_FAULTS: Micros = 10_000_000;

/// The node that publishes: one that is not affected by any fault, if there is one.
fn publisher(nodes: usize, phases: &[Phase]) -> usize {
    let is_affected =
        |node: &usize| phases.iter().any(|phase| phase.down.contains(node) || phase.cut.contains(node));
    let middle = nodes / 2;
    (middle..nodes).chain(0..middle).find(|node| !is_affected(node)).unwrap_or(middle)
}

fn publishing_time(publish: &Publish) -> Micros {
    PUBLISHER_OPEN_TIME + micros(publish.lasts) + micros(publish.drain)
}

fn publish_events(publish: &Publish, from: Micros, node: usize) -> Vec<Event> {
    let mut events = vec![Event { at: from, kind: EventKind::OpenPublisher(node) }];
    let (begin, lasts) = (from + PUBLISHER_OPEN_TIME, micros(publish.lasts));
    let every = |interval: Micros| {
        (0..lasts.div_ceil(interval.max(1))).map(move |index| begin + index * interval.max(1))
    };
    let entry = EventKind::PublishEntry { node, bytes: publish.entry_bytes };
    let state = EventKind::PublishState { node, bytes: publish.state_bytes };
    let interval = SECOND / Micros::from(publish.per_second.max(1));
    events.extend(every(interval).map(|at| Event { at, kind: entry.clone() }));
    events.extend(every(micros(publish.state_every)).map(|at| Event { at, kind: state.clone() }));
    events
}

fn micros(time: Duration) -> Micros {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Avoids the first region if there is another one.
fn fault_region(hollow: &Hollow) -> usize {
    FAULT_REGION.min(hollow.map.regions.saturating_sub(1))
}

impl Schedule {
    /// Creates the schedule of a run with this many hollow nodes.
    pub fn new(hollow: &Hollow, nodes: usize) -> Self {
        let start = micros(hollow.start);
        let mut events: Vec<_> = (0..nodes)
            .map(|node| Event {
                at: start * node as Micros / nodes.max(1) as Micros,
                kind: EventKind::Start(node),
            })
            .collect();
        let (joined, rested) = (micros(hollow.meet), micros(hollow.meet) + micros(hollow.rest));
        let mut phases =
            vec![Phase::without_fault("join", 0, joined), Phase::without_fault("rest", joined, rested)];
        let (mut from, mut end) = (rested, rested);
        if let Some(publish) = &hollow.publish {
            let publishing = Phase::without_fault("publish", rested, rested + publishing_time(publish));
            end = publishing.to;
            from = if publish.with_faults { rested + PUBLISH_BEFORE_FAULTS } else { end };
            phases.push(publishing);
        }
        for fault in &hollow.fault {
            let phase = Phase::with_fault(fault, hollow, nodes, from);
            events.extend(phase.events(fault.what, fault_region(hollow)));
            from = phase.to;
            phases.push(phase);
        }
        if let Some(publish) = &hollow.publish {
            events.extend(publish_events(publish, rested, publisher(nodes, &phases)));
        }
        events.sort_by_key(|event| event.at);
        Self { events, phases, end: end.max(from) }
    }
}

impl Phase {
    fn without_fault(name: &'static str, from: Micros, to: Micros) -> Self {
        let none = BTreeSet::new();
        Self { name, from, recovery: to, to, down: none.clone(), graceful: false, cut: none }
    }

    fn with_fault(fault: &HollowFault, hollow: &Hollow, nodes: usize, from: Micros) -> Self {
        let recovery = from + micros(fault.lasts);
        let mut phase =
            Self { recovery, ..Self::without_fault(fault.what.name(), from, recovery + micros(fault.after)) };
        let (zone, region) = (FAULT_ZONE % hollow.map.zones, fault_region(hollow));
        match fault.what {
            FaultKind::Kill => phase.down = [nodes - 1].into(),
            FaultKind::Rack => phase.down = hollow.map.in_rack(zone, nodes).into_iter().collect(),
            FaultKind::Zone => phase.down = hollow.map.in_zone(zone, nodes).into_iter().collect(),
            FaultKind::Restart => {
                // Spread evenly over the cluster; in a small cluster at most half of the nodes restart.
                let restarted = RESTARTED_NODES.min(nodes / 2).max(1);
                phase.down = (0..restarted).map(|i| (i * nodes / restarted + 1) % nodes).collect();
                phase.graceful = true;
            }
            FaultKind::Region => phase.cut = hollow.map.in_region(region, nodes).into_iter().collect(),
        }
        phase
    }

    fn events(&self, what: FaultKind, region: usize) -> Vec<Event> {
        if what == FaultKind::Region {
            return vec![
                Event { at: self.from, kind: EventKind::Cut(region) },
                Event { at: self.recovery, kind: EventKind::Heal(region) },
            ];
        }
        let stop = |node| if self.graceful { EventKind::Leave(node) } else { EventKind::Kill(node) };
        let stops = self.down.iter().map(|node| Event { at: self.from, kind: stop(*node) });
        let starts = self.down.iter().map(|node| Event { at: self.recovery, kind: EventKind::Start(*node) });
        stops.chain(starts).collect()
    }
}

#[cfg(test)]
mod tests;
