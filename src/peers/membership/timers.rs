//! The timer queue of membership.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use crate::peers::identity::Peer;
use crate::peers::Micros;

/// An event that becomes due at a time.
#[derive(Debug)]
pub(super) enum TimerEvent {
    /// A timer of the engine.
    Engine(foca::Timer<Peer>),
    /// The next attempt to join.
    Join,
    /// The periodic review.
    Review,
}

/// Events ordered by time; those with the same time stay in the order in which they were added.
#[derive(Default)]
pub(super) struct TimerQueue {
    pending: BinaryHeap<Reverse<Pending>>,
    added: u64,
}

impl TimerQueue {
    pub fn add(&mut self, at: Micros, event: TimerEvent) {
        self.added += 1;
        self.pending.push(Reverse(Pending { at, sequence: self.added, event }));
    }

    /// When the next event is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.pending.peek().map(|Reverse(pending)| pending.at)
    }

    /// Removes and returns the next event that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<TimerEvent> {
        if self.next_due()? > now {
            return None;
        }
        self.pending.pop().map(|Reverse(pending)| pending.event)
    }

    /// Delays all events by this much.
    pub fn postpone_all(&mut self, by: Micros) {
        let pending = std::mem::take(&mut self.pending).into_vec();
        let moved = pending.into_iter().map(|Reverse(p)| Reverse(Pending { at: p.at + by, ..p }));
        self.pending = moved.collect();
    }

    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

struct Pending {
    at: Micros,
    sequence: u64,
    event: TimerEvent,
}

impl PartialEq for Pending {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl Eq for Pending {}
impl PartialOrd for Pending {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Pending {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

#[cfg(test)]
mod tests;
