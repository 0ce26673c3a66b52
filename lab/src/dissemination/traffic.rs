//! Bytes that each node sends, by tenths of a second.

use crate::model::{Micros, SECOND};

const SLOT: Micros = SECOND / 10;

/// The bytes of all nodes.
#[derive(Clone, Debug)]
pub struct Traffic {
    slots: Vec<Vec<u32>>,
    /// Datagrams.
    pub datagrams: u64,
}

impl Traffic {
    /// Of so many nodes.
    pub fn new(nodes: usize) -> Self {
        Self { slots: vec![Vec::new(); nodes], datagrams: 0 }
    }

    /// A node sent so many bytes.
    pub fn sent(&mut self, now: Micros, node: usize, bytes: usize) {
        let slot = (now / SLOT) as usize;
        let slots = &mut self.slots[node];
        if slots.len() <= slot {
            slots.resize(slot + 1, 0);
        }
        slots[slot] += bytes as u32;
        self.datagrams += 1;
    }

    /// The largest mean, in bytes a second, of any node over any window of this length from `since` on.
    pub fn largest(&self, since: Micros, window: Micros) -> f64 {
        let per_node = self.slots.iter().map(|slots| largest_sum(slots, since, window));
        let most = per_node.max().unwrap_or(0);
        most as f64 * SECOND as f64 / window as f64
    }

    /// The mean of all nodes, in bytes a second, between two times.
    pub fn mean(&self, since: Micros, until: Micros) -> f64 {
        let (from, to) = ((since / SLOT) as usize, (until / SLOT) as usize);
        let sum = |slots: &Vec<u32>| {
            let part = slots.get(from.min(slots.len())..to.min(slots.len())).unwrap_or(&[]);
            part.iter().map(|&bytes| u64::from(bytes)).sum::<u64>()
        };
        let total: u64 = self.slots.iter().map(sum).sum();
        let seconds = until.saturating_sub(since).max(1) as f64 / SECOND as f64;
        total as f64 / seconds / self.slots.len().max(1) as f64
    }
}

fn largest_sum(slots: &[u32], since: Micros, window: Micros) -> u64 {
    let width = (window / SLOT) as usize;
    let from = ((since / SLOT) as usize).min(slots.len());
    let slots = &slots[from..];
    let mut sum = 0u64;
    let mut most = 0;
    for (place, &bytes) in slots.iter().enumerate() {
        sum += u64::from(bytes);
        if place >= width {
            sum -= u64::from(slots[place - width]);
        }
        most = most.max(sum);
    }
    most
}
