//! When what happens in a run: starts, the rest, faults one after the other, and their ends.

use super::protocol::{Event, Happening, Micros};
use super::settings::{FaultKind, Hollow, HollowFault};
use std::collections::BTreeSet;
use std::time::Duration;

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
        let mut from = rested;
        for fault in &hollow.fault {
            let phase = Phase::of(fault, hollow, nodes, from);
            events.extend(phase.events(fault.what, region_cut(hollow)));
            from = phase.to;
            phases.push(phase);
        }
        events.sort_by_key(|event| event.at);
        Self { events, phases, end: from }
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
