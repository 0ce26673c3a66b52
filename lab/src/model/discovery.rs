//! Discovery, with one agent per node. Each agent receives every change after its own delay, in order, and outlives the
//! process of its node (protocol page, "Discovery").

use super::{micros, Micros};
use crate::draw::{self, Stream};
use crate::experiment::{FaultKind, ScheduledFault};
use crate::plan::Plan;
use std::collections::HashMap;
use std::sync::Arc;
use walkpick::{Availability, ServerEntry, ServerId};

/// The agent of one node.
#[derive(Debug, Default)]
struct Agent {
    list: HashMap<ServerId, ServerEntry>,
    /// When it receives the last change published so far.
    last: Micros,
}

/// Discovery and its agents.
#[derive(Debug, Default)]
pub struct Discovery {
    /// All changes, in the order of publication.
    changes: Vec<Arc<[ServerEntry]>>,
    agents: Vec<Agent>,
    /// Factor on the delays of delivery.
    delay_factor: f64,
    /// Share of the deliveries that are withheld, and until when.
    withheld: Option<(f64, Micros)>,
}

impl Discovery {
    /// Discovery for `nodes` nodes, whose agents all hold `list`.
    pub fn new(nodes: usize, list: &[ServerEntry]) -> Self {
        let list: HashMap<_, _> = list.iter().map(|entry| (entry.id.clone(), entry.clone())).collect();
        let agents = (0..nodes).map(|_| Agent { list: list.clone(), last: 0 }).collect();
        Self { changes: Vec::new(), agents, delay_factor: 1.0, withheld: None }
    }

    /// Starts or ends a fault of discovery.
    pub fn apply_fault(&mut self, plan: &Plan, fault: &ScheduledFault, begins: bool) {
        match fault.what {
            FaultKind::DiscoveryLate => self.delay_factor = if begins { fault.size } else { 1.0 },
            FaultKind::DiscoveryLoses => {
                self.withheld = begins.then_some((fault.size, plan.lead() + micros(fault.to)));
            }
            _ => {}
        }
    }

    /// Publishes a change. Returns its index, and when the agent of each node receives it.
    pub fn publish(&mut self, plan: &Plan, now: Micros, entries: Arc<[ServerEntry]>) -> (usize, Vec<Micros>) {
        let change = self.changes.len();
        self.changes.push(entries);
        let deployment = &plan.experiment.deployment;
        let (min, max) = (micros(deployment.notice_least) as f64, micros(deployment.notice_most) as f64);
        let factor = self.delay_factor;
        let received = self.agents.iter_mut().enumerate().map(|(node, agent)| {
            let unit = draw::unit(plan.seed, Stream::DiscoveryUpdates, (change as u64) << 20 | node as u64);
            let delay = (min + unit * (max - min).max(0.0)) * factor;
            let drawn = draw::unit(
                plan.seed,
                Stream::DiscoveryUpdates,
                (change as u64) << 20 | node as u64 | 1 << 60,
            );
            let withheld_until =
                self.withheld.filter(|(share, _)| drawn < *share).map_or(0, |(_, until)| until);
            // Deliveries stay in order: changes after a withheld one wait for it.
            agent.last = agent.last.max(now + delay as Micros).max(withheld_until);
            agent.last
        });
        (change, received.collect())
    }

    /// Applies a change to the list of a node's agent, and returns its entries.
    pub fn deliver(&mut self, node: usize, change: usize) -> Arc<[ServerEntry]> {
        let entries = self.changes[change].clone();
        let list = &mut self.agents[node].list;
        for entry in entries.iter() {
            match entry.availability {
                Availability::Removed => drop(list.remove(&entry.id)),
                _ => drop(list.insert(entry.id.clone(), entry.clone())),
            }
        }
        entries
    }

    /// The entry of a server in the list of a node's agent.
    pub fn known_entry(&self, node: usize, server: &ServerId) -> Option<&ServerEntry> {
        self.agents[node].list.get(server)
    }

    /// All entries in the list of a node's agent, sorted by name.
    pub fn known_entries(&self, node: usize) -> Vec<ServerEntry> {
        let mut list: Vec<_> = self.agents[node].list.values().cloned().collect();
        list.sort_by(|a, b| a.id.cmp(&b.id));
        list
    }
}
