//! The lab's own record of what was published and what each node's subscriber received; all checks are based on it.

use crate::model::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What identifies an entry of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId {
    /// The publisher's key.
    pub publisher: u64,
    /// Epoch of the publisher's log.
    pub epoch: u64,
    /// Sequence number in the log.
    pub sequence: u64,
}

/// A subscriber of a node to a publisher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Subscriber {
    /// The node.
    pub node: usize,
    /// Incarnation of the node.
    pub incarnation: u32,
    /// The publisher's key.
    pub publisher: u64,
}

/// An explicit notification that a subscriber skips entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset {
    /// Time of the notification.
    pub at: Micros,
    /// The subscriber that was notified.
    pub subscriber: Subscriber,
    /// The last entry before the gap.
    pub after: u64,
    /// The last entry that is skipped.
    pub through: u64,
}

/// A violation of the delivery guarantees.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The entry is not the next one in sequence.
    OutOfOrder(Subscriber, EntryId),
    /// The entry was delivered before.
    Duplicate(Subscriber, EntryId),
    /// The entry was never published, or its payload is that of another entry.
    NotPublished(Subscriber, EntryId),
}

/// Record of published and delivered entries.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    published: BTreeMap<EntryId, Micros>,
    /// The last sequence number that each subscriber received.
    last: HashMap<Subscriber, u64>,
    received: HashMap<Subscriber, BTreeSet<(u64, u64)>>,
    /// Largest time over all nodes from publication to delivery, by entry.
    delivery_times: BTreeMap<EntryId, Micros>,
    /// Nodes whose delivery times are ignored because the case makes them miss entries.
    pub exempt: BTreeSet<usize>,
    /// All notified resets.
    pub resets: Vec<Reset>,
    /// All violations found.
    pub faults: Vec<Fault>,
    /// Number of entries delivered to all nodes.
    pub delivered: u64,
}

impl Ledger {
    /// Records the publication of an entry.
    pub fn published(&mut self, at: Micros, id: EntryId) {
        self.published.insert(id, at);
    }

    /// Records the delivery of an entry to a subscriber. `claimed` is the id that is encoded in its payload.
    pub fn delivered(&mut self, now: Micros, subscriber: Subscriber, id: EntryId, claimed: Option<EntryId>) {
        self.delivered += 1;
        let Some(&at) = self.published.get(&id).filter(|_| claimed == Some(id)) else {
            self.faults.push(Fault::NotPublished(subscriber, id));
            return;
        };
        let last = self.last.entry(subscriber).or_insert(0);
        if id.sequence != *last + 1 {
            self.faults.push(Fault::OutOfOrder(subscriber, id));
        }
        *last = id.sequence;
        if !self.received.entry(subscriber).or_default().insert((id.epoch, id.sequence)) {
            self.faults.push(Fault::Duplicate(subscriber, id));
        }
        if self.exempt.contains(&subscriber.node) {
            return;
        }
        let longest = self.delivery_times.entry(id).or_insert(0);
        *longest = (*longest).max(now - at);
    }

    /// Records that a subscriber was notified of skipped entries.
    pub fn reset(&mut self, at: Micros, subscriber: Subscriber, after: u64, through: u64) {
        self.resets.push(Reset { at, subscriber, after, through });
        self.last.insert(subscriber, through);
    }

    /// Records that a subscriber was notified of a later epoch of the publisher.
    pub fn epoch_changed(&mut self, subscriber: Subscriber, first: u64) {
        let last = self.last.entry(subscriber).or_insert(0);
        *last = (*last).min(first - 1);
    }

    /// The last sequence number that a subscriber received.
    pub fn last(&self, subscriber: Subscriber) -> u64 {
        self.last.get(&subscriber).copied().unwrap_or(0)
    }

    /// Number of entries of an epoch that a subscriber received.
    pub fn count(&self, subscriber: Subscriber, epoch: u64) -> usize {
        self.received
            .get(&subscriber)
            .map_or(0, |received| received.iter().filter(|entry| entry.0 == epoch).count())
    }

    /// Time at which an entry was published.
    pub fn published_at(&self, id: EntryId) -> Option<Micros> {
        self.published.get(&id).copied()
    }

    /// The largest time from publication to any subscriber, over entries published in this period.
    pub fn max_delivery_time(&self, since: Micros, until: Micros) -> Micros {
        let within = |id: &EntryId| self.published.get(id).is_some_and(|at| (since..until).contains(at));
        self.delivery_times.iter().filter(|(id, _)| within(id)).map(|(_, time)| *time).max().unwrap_or(0)
    }

    /// Sorted times from publication to the last subscriber, of all entries published in this period.
    pub fn sorted_delivery_times(&self, since: Micros, until: Micros) -> Vec<Micros> {
        let within = |id: &EntryId| self.published.get(id).is_some_and(|at| (since..until).contains(at));
        let mut times: Vec<Micros> =
            self.delivery_times.iter().filter(|(id, _)| within(id)).map(|(_, time)| *time).collect();
        times.sort_unstable();
        times
    }
}
