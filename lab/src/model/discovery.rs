//! Discovery with an agent for each node: each hears of a change in its own time, in order, and its agent outlives
//! the node's process (protocol page, "Discovery").

use super::{micros, Micros};
use crate::draw::{self, Stream};
use crate::experiment::{Trouble, What};
use crate::plan::Plan;
use std::collections::HashMap;
use std::sync::Arc;
use walkpick::{Availability, ServerEntry, ServerId};

/// What a node's agent holds.
#[derive(Debug, Default)]
struct Agent {
    list: HashMap<ServerId, ServerEntry>,
    /// When it hears of the last change.
    last: Micros,
}

/// Discovery and its agents.
#[derive(Debug, Default)]
pub struct Discovery {
    /// What has changed, in its order.
    changes: Vec<Arc<[ServerEntry]>>,
    agents: Vec<Agent>,
    late: f64,
    /// Part of the changes that a node hears of only then.
    lost: Option<(f64, Micros)>,
}

impl Discovery {
    /// For so many nodes, each of whose agents holds this list.
    pub fn new(nodes: usize, list: &[ServerEntry]) -> Self {
        let list: HashMap<_, _> = list.iter().map(|entry| (entry.id.clone(), entry.clone())).collect();
        let agents = (0..nodes).map(|_| Agent { list: list.clone(), last: 0 }).collect();
        Self { changes: Vec::new(), agents, late: 1.0, lost: None }
    }

    /// A fault of discovery's begins or ends.
    pub fn fault(&mut self, plan: &Plan, fault: &Trouble, begins: bool) {
        match fault.what {
            What::DiscoveryLate => self.late = if begins { fault.size } else { 1.0 },
            What::DiscoveryLoses => {
                self.lost = begins.then_some((fault.size, plan.lead() + micros(fault.to)));
            }
            _ => {}
        }
    }

    /// A change. Returns its number, and when each node's agent hears of it.
    pub fn tell(&mut self, plan: &Plan, now: Micros, entries: Arc<[ServerEntry]>) -> (usize, Vec<Micros>) {
        let change = self.changes.len();
        self.changes.push(entries);
        let deployment = &plan.experiment.deployment;
        let (least, most) = (micros(deployment.notice_least) as f64, micros(deployment.notice_most) as f64);
        let late = self.late;
        let heard = self.agents.iter_mut().enumerate().map(|(node, agent)| {
            let unit = draw::unit(plan.seed, Stream::Lists, (change as u64) << 20 | node as u64);
            let after = (least + unit * (most - least).max(0.0)) * late;
            let lost = draw::unit(plan.seed, Stream::Lists, (change as u64) << 20 | node as u64 | 1 << 60);
            let found = self.lost.filter(|(part, _)| lost < *part).map_or(0, |(_, found)| found);
            // In order: what follows a lost change waits for it.
            agent.last = agent.last.max(now + after as Micros).max(found);
            agent.last
        });
        (change, heard.collect())
    }

    /// A node's agent hears of a change: its entries.
    pub fn hear(&mut self, node: usize, change: usize) -> Arc<[ServerEntry]> {
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

    /// What a node's agent holds of a server.
    pub fn held(&self, node: usize, server: &ServerId) -> Option<&ServerEntry> {
        self.agents[node].list.get(server)
    }

    /// All that a node's agent holds, by name.
    pub fn list(&self, node: usize) -> Vec<ServerEntry> {
        let mut list: Vec<_> = self.agents[node].list.values().cloned().collect();
        list.sort_by(|a, b| a.id.cmp(&b.id));
        list
    }
}
