//! What was published, and what each node's subscriber got: the lab's own record, that every verdict is drawn from.

use crate::model::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What identifies an entry of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId {
    /// The publisher's key.
    pub publisher: u64,
    /// The epoch.
    pub epoch: u64,
    /// The sequence.
    pub sequence: u64,
}

/// Whose subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Subscriber {
    /// The node.
    pub node: usize,
    /// Which of its lives.
    pub life: u32,
    /// Which publisher's entries.
    pub publisher: u64,
}

/// An explicit word that entries are left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset {
    /// When.
    pub at: Micros,
    /// Whose.
    pub subscriber: Subscriber,
    /// Behind this one.
    pub after: u64,
    /// Up to this one.
    pub through: u64,
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An entry came that is not the next one.
    OutOfOrder(Subscriber, EntryId),
    /// An entry came again.
    Twice(Subscriber, EntryId),
    /// An entry came that nobody published, or another one in its place.
    NotPublished(Subscriber, EntryId),
}

/// The record.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    published: BTreeMap<EntryId, Micros>,
    /// The last sequence that each subscriber got.
    last: HashMap<Subscriber, u64>,
    got: HashMap<Subscriber, BTreeSet<(u64, u64)>>,
    /// Times from publishing to the subscriber, by entry: the largest of all nodes.
    slowest: BTreeMap<EntryId, Micros>,
    /// Nodes whose times don't count: what they miss is the point of a case.
    pub exempt: BTreeSet<usize>,
    /// Resets that were told.
    pub resets: Vec<Reset>,
    /// What went wrong.
    pub faults: Vec<Fault>,
    /// Entries that were delivered, of all nodes.
    pub delivered: u64,
}

impl Ledger {
    /// An entry was published.
    pub fn published(&mut self, at: Micros, id: EntryId) {
        self.published.insert(id, at);
    }

    /// A subscriber got an entry. `says`: what its payload says that it is.
    pub fn delivered(&mut self, now: Micros, subscriber: Subscriber, id: EntryId, says: Option<EntryId>) {
        self.delivered += 1;
        let Some(&at) = self.published.get(&id).filter(|_| says == Some(id)) else {
            self.faults.push(Fault::NotPublished(subscriber, id));
            return;
        };
        let last = self.last.entry(subscriber).or_insert(0);
        if id.sequence != *last + 1 {
            self.faults.push(Fault::OutOfOrder(subscriber, id));
        }
        *last = id.sequence;
        if !self.got.entry(subscriber).or_default().insert((id.epoch, id.sequence)) {
            self.faults.push(Fault::Twice(subscriber, id));
        }
        if self.exempt.contains(&subscriber.node) {
            return;
        }
        let slowest = self.slowest.entry(id).or_insert(0);
        *slowest = (*slowest).max(now - at);
    }

    /// A subscriber was told that entries are left out.
    pub fn reset(&mut self, at: Micros, subscriber: Subscriber, after: u64, through: u64) {
        self.resets.push(Reset { at, subscriber, after, through });
        self.last.insert(subscriber, through);
    }

    /// A subscriber was told that a publisher goes on under a later epoch.
    pub fn epoch_changed(&mut self, subscriber: Subscriber, first: u64) {
        let last = self.last.entry(subscriber).or_insert(0);
        *last = (*last).min(first - 1);
    }

    /// The last sequence that a subscriber got.
    pub fn last(&self, subscriber: Subscriber) -> u64 {
        self.last.get(&subscriber).copied().unwrap_or(0)
    }

    /// How many entries of an epoch a subscriber got.
    pub fn count(&self, subscriber: Subscriber, epoch: u64) -> usize {
        self.got.get(&subscriber).map_or(0, |got| got.iter().filter(|entry| entry.0 == epoch).count())
    }

    /// When an entry was published.
    pub fn published_at(&self, id: EntryId) -> Option<Micros> {
        self.published.get(&id).copied()
    }

    /// The largest time from publishing to any subscriber, of entries published in this span.
    pub fn slowest(&self, since: Micros, until: Micros) -> Micros {
        let within = |id: &EntryId| self.published.get(id).is_some_and(|at| (since..until).contains(at));
        self.slowest.iter().filter(|(id, _)| within(id)).map(|(_, took)| *took).max().unwrap_or(0)
    }

    /// The times to the last subscriber, of all entries published in this span, in order.
    pub fn times(&self, since: Micros, until: Micros) -> Vec<Micros> {
        let within = |id: &EntryId| self.published.get(id).is_some_and(|at| (since..until).contains(at));
        let mut times: Vec<Micros> =
            self.slowest.iter().filter(|(id, _)| within(id)).map(|(_, took)| *took).collect();
        times.sort_unstable();
        times
    }
}
