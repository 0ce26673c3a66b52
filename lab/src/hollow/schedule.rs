//! When what happens in a run: starts, the rest, faults one after the other, and their ends.

use super::protocol::{Event, Happening, Micros};
use super::settings::{FaultKind, Hollow, HollowFault, Publish};
use std::collections::BTreeSet;
use std::time::Duration;

const SECOND: Micros = 1_000_000;
/// Nodes that are restarted at once.
const RESTARTED: usize = 32;
/// From this zone nodes are killed; node 0 and its complete neighbours stand in zone 0.
const ZONE_LOST: usize = 1;
/// This region is cut off.
const REGION_CUT: usize = 2;

/// A part of a run that figures are told of.
#[derive(Clone, Debug, PartialEq)]
pub struct Phase {
    /// What it is called in figures.
    pub name: &'static str,
    /// When it begins.
    pub from: Micros,
    /// When what is gone comes back; the same as `to` where nothing does.
    pub back: Micros,
    /// When it ends.
    pub to: Micros,
    /// Nodes that are gone from `from` to `back`.
    pub gone: BTreeSet<usize>,
    /// Whether they said farewell.
    pub with_farewell: bool,
    /// Nodes that are cut off from all others from `from` to `back`.
    pub cut: BTreeSet<usize>,
}

/// All that happens in a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// In order of time.
    pub events: Vec<Event>,
    /// One after the other: `join`, `rest`, and one for each fault.
    pub phases: Vec<Phase>,
    /// When the run ends.
    pub end: Micros,
}

/// Between the opening of a publisher and its first entry.
const OPENED: Micros = 1_000_000;
/// Entries flow for so long before faults begin, where they begin among them.
const UNDISTURBED: Micros = 10_000_000;

/// The node that publishes: one that no fault meets, where there is one.
fn publisher(nodes: usize, phases: &[Phase]) -> usize {
    let is_met =
        |node: &usize| phases.iter().any(|phase| phase.gone.contains(node) || phase.cut.contains(node));
    let middle = nodes / 2;
    (middle..nodes).chain(0..middle).find(|node| !is_met(node)).unwrap_or(middle)
}

fn publishing_takes(publish: &Publish) -> Micros {
    OPENED + micros(publish.lasts) + micros(publish.drain)
}

fn publish_events(publish: &Publish, from: Micros, node: usize) -> Vec<Event> {
    let mut events = vec![Event { at: from, what: Happening::OpenPublisher(node) }];
    let (begin, lasts) = (from + OPENED, micros(publish.lasts));
    let every = |gap: Micros| (0..lasts.div_ceil(gap.max(1))).map(move |place| begin + place * gap.max(1));
    let entry = Happening::PublishEntry { node, bytes: publish.entry_bytes };
    let state = Happening::PublishState { node, bytes: publish.state_bytes };
    let gap = SECOND / Micros::from(publish.per_second.max(1));
    events.extend(every(gap).map(|at| Event { at, what: entry.clone() }));
    events.extend(every(micros(publish.state_every)).map(|at| Event { at, what: state.clone() }));
    events
}

fn micros(time: Duration) -> Micros {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Never the first region where there is another one.
fn region_cut(hollow: &Hollow) -> usize {
    REGION_CUT.min(hollow.map.regions.saturating_sub(1))
}

impl Schedule {
    /// Of a run with so many hollow nodes.
    pub fn new(hollow: &Hollow, nodes: usize) -> Self {
        let start = micros(hollow.start);
        let mut events: Vec<_> = (0..nodes)
            .map(|node| Event {
                at: start * node as Micros / nodes.max(1) as Micros,
                what: Happening::Start(node),
            })
            .collect();
        let (met, rested) = (micros(hollow.meet), micros(hollow.meet) + micros(hollow.rest));
        let mut phases = vec![Phase::quiet("join", 0, met), Phase::quiet("rest", met, rested)];
        let (mut from, mut end) = (rested, rested);
        if let Some(publish) = &hollow.publish {
            let publishing = Phase::quiet("publish", rested, rested + publishing_takes(publish));
            end = publishing.to;
            from = if publish.with_faults { rested + UNDISTURBED } else { end };
            phases.push(publishing);
        }
        for fault in &hollow.fault {
            let phase = Phase::of(fault, hollow, nodes, from);
            events.extend(phase.events(fault.what, region_cut(hollow)));
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
    fn quiet(name: &'static str, from: Micros, to: Micros) -> Self {
        let none = BTreeSet::new();
        Self { name, from, back: to, to, gone: none.clone(), with_farewell: false, cut: none }
    }

    fn of(fault: &HollowFault, hollow: &Hollow, nodes: usize, from: Micros) -> Self {
        let back = from + micros(fault.lasts);
        let mut phase = Self { back, ..Self::quiet(fault.what.name(), from, back + micros(fault.after)) };
        let (zone, region) = (ZONE_LOST % hollow.map.zones, region_cut(hollow));
        match fault.what {
            FaultKind::Kill => phase.gone = [nodes - 1].into(),
            FaultKind::Rack => phase.gone = hollow.map.in_rack(zone, nodes).into_iter().collect(),
            FaultKind::Zone => phase.gone = hollow.map.in_zone(zone, nodes).into_iter().collect(),
            FaultKind::Restart => {
                // Spread over the cluster; a small one loses a part only.
                let restarted = RESTARTED.min(nodes / 2).max(1);
                phase.gone = (0..restarted).map(|i| (i * nodes / restarted + 1) % nodes).collect();
                phase.with_farewell = true;
            }
            FaultKind::Region => phase.cut = hollow.map.in_region(region, nodes).into_iter().collect(),
        }
        phase
    }

    fn events(&self, what: FaultKind, region: usize) -> Vec<Event> {
        if what == FaultKind::Region {
            return vec![
                Event { at: self.from, what: Happening::Cut(region) },
                Event { at: self.back, what: Happening::Heal(region) },
            ];
        }
        let goes = |node| if self.with_farewell { Happening::Leave(node) } else { Happening::Kill(node) };
        let begin = self.gone.iter().map(|node| Event { at: self.from, what: goes(*node) });
        let end = self.gone.iter().map(|node| Event { at: self.back, what: Happening::Start(*node) });
        begin.chain(end).collect()
    }
}

#[cfg(test)]
mod tests;
