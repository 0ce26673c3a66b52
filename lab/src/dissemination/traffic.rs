//! Bytes sent by each node, counted per tenth of a second.

use crate::model::{Micros, SECOND};

const SLOT: Micros = SECOND / 10;

/// Bytes sent by all nodes over time.
#[derive(Clone, Debug)]
pub struct Traffic {
    slots: Vec<Vec<u32>>,
    /// Number of datagrams sent by all nodes.
    pub datagrams: u64,
}

impl Traffic {
    /// Empty counts for this number of nodes.
    pub fn new(nodes: usize) -> Self {
        Self { slots: vec![Vec::new(); nodes], datagrams: 0 }
    }

    /// Records a datagram of this size sent by a node.
    pub fn sent(&mut self, now: Micros, node: usize, bytes: usize) {
        let slot = (now / SLOT) as usize;
        let slots = &mut self.slots[node];
        if slots.len() <= slot {
            slots.resize(slot + 1, 0);
        }
        slots[slot] += bytes as u32;
        self.datagrams += 1;
    }

    /// The largest rate of any node over any window of this length since `since`, in bytes per second.
    pub fn peak_rate(&self, since: Micros, window: Micros) -> f64 {
        let per_node = self.slots.iter().map(|slots| largest_sum(slots, since, window));
        let largest = per_node.max().unwrap_or(0);
        largest as f64 * SECOND as f64 / window as f64
    }

    /// The mean rate per node between two times, in bytes per second.
    pub fn mean_rate(&self, since: Micros, until: Micros) -> f64 {
        let (from, to) = ((since / SLOT) as usize, (until / SLOT) as usize);
        let sum = |slots: &Vec<u32>| {
            let range = slots.get(from.min(slots.len())..to.min(slots.len())).unwrap_or(&[]);
            range.iter().map(|&bytes| u64::from(bytes)).sum::<u64>()
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
    let mut largest = 0;
    for (index, &bytes) in slots.iter().enumerate() {
        sum += u64::from(bytes);
        if index >= width {
            sum -= u64::from(slots[index - width]);
        }
        largest = largest.max(sum);
    }
    largest
}
