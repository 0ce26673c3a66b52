//! One publisher's log as one node holds it: what was delivered, what waits for an entry before it, and what is kept for
//! others.

use super::super::Micros;
use super::message::{Entry, LogPosition};
use std::collections::BTreeMap;

/// Entries that are kept for others. At 6 a second that is 5 min 41 s: longer than the 3 minutes that a region may be cut
/// off (1,080 entries), so that such a region is brought up to date by the log itself.
pub const RETAINED: usize = 2_048;
/// Their bytes. 2,048 entries of 100 bytes take 260 KB; of entries of 1 KiB some 500 are kept.
pub const RETAINED_BYTES: usize = 512 * 1_024;
/// Entries that wait for one before them reach so far ahead at the most; later ones are asked for again in their turn.
const WINDOW: u64 = 1_024;
/// An entry that came so long ago is likely to have been asked for again where it was lost.
const RECENT: Micros = 500_000;
/// Ranges that a position names.
const MOST_RANGES: usize = 8;
/// Epochs whose beginning is remembered.
const MOST_EPOCHS: usize = 8;
/// What holding an entry takes beside its payload.
const HELD_BYTES: usize = 96;

/// An entry and when it came.
#[derive(Clone, Debug)]
pub struct Held {
    /// The entry.
    pub entry: Entry,
    /// When it came.
    pub at: Micros,
}

/// What became of an entry that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inserted {
    /// It is held.
    New,
    /// It was here already.
    Duplicate,
    /// It belongs to an epoch that was over at that place.
    Fenced,
    /// It lies too far ahead.
    TooFar,
}

/// One publisher's log.
#[derive(Clone, Debug)]
pub struct Log {
    /// The epochs that are known, with the first sequence of each; the last is in force.
    epochs: Vec<(u64, u64)>,
    /// All up to this one were delivered, or left out with a word.
    pub delivered: u64,
    /// Whether `delivered` is known yet: a node that joins is told where to begin.
    pub based: bool,
    entries: BTreeMap<u64, Held>,
    bytes: usize,
    /// The highest sequence that is known to exist.
    pub highest: u64,
    /// The last one that was given up for the retention's sake.
    evicted: u64,
    /// When `delivered` last moved, or nothing was missing.
    pub progressed_at: Micros,
    /// Since when entries are known of that were not delivered.
    pub behind_since: Option<Micros>,
    /// Whether the subscriber was told that the log is stale.
    pub stale: bool,
}

impl Log {
    /// A log that begins behind `delivered`.
    pub fn new(now: Micros, epoch: u64, first: u64, delivered: u64, based: bool) -> Self {
        Self {
            epochs: vec![(epoch, first)],
            delivered,
            based,
            entries: BTreeMap::new(),
            bytes: 0,
            highest: delivered,
            evicted: 0,
            progressed_at: now,
            behind_since: None,
            stale: false,
        }
    }

    /// The epoch in force.
    pub fn epoch(&self) -> u64 {
        self.epochs.last().map_or(0, |epoch| epoch.0)
    }

    /// Its first sequence.
    pub fn first(&self) -> u64 {
        self.epochs.last().map_or(1, |epoch| epoch.1)
    }

    /// Goes over to a later epoch: what an earlier one issued from its beginning on is void.
    pub fn adopt(&mut self, now: Micros, epoch: u64, first: u64) {
        if epoch <= self.epoch() {
            return;
        }
        self.epochs.retain(|known| known.1 < first);
        self.epochs.push((epoch, first));
        if self.epochs.len() > MOST_EPOCHS {
            self.epochs.remove(0);
        }
        let void = self.entries.split_off(&first);
        self.bytes -= void.values().map(bytes).sum::<usize>();
        self.delivered = self.delivered.min(first - 1);
        self.evicted = self.evicted.min(first - 1);
        self.highest = first - 1;
        self.progressed_at = now;
        self.behind_since = (self.highest > self.delivered).then_some(now);
    }

    /// Takes an entry in.
    pub fn insert(&mut self, now: Micros, entry: Entry) -> Inserted {
        let sequence = entry.sequence;
        let issued_by = self.epochs.iter().rev().find(|epoch| epoch.1 <= sequence);
        match issued_by {
            Some(epoch) if epoch.0 != entry.epoch => return Inserted::Fenced,
            None if entry.epoch >= self.epoch() => return Inserted::Fenced,
            _ => {}
        }
        self.knows_of(now, sequence);
        if self.based && sequence <= self.delivered || self.entries.contains_key(&sequence) {
            return Inserted::Duplicate;
        }
        let crowded = self.bytes > RETAINED_BYTES && !self.evictable();
        let from = self.entries.keys().next().copied().unwrap_or(sequence);
        let base = if self.based { self.delivered } else { from };
        if sequence > base + WINDOW || crowded && sequence != self.delivered + 1 {
            return Inserted::TooFar;
        }
        let held = Held { entry, at: now };
        self.bytes += bytes(&held);
        self.entries.insert(sequence, held);
        Inserted::New
    }

    /// Somebody has entries up to this one.
    pub fn knows_of(&mut self, now: Micros, sequence: u64) {
        self.highest = self.highest.max(sequence);
        if self.highest > self.delivered {
            self.behind_since.get_or_insert(now);
        }
    }

    /// The next entry in order, where it is here.
    pub fn deliver(&mut self, now: Micros) -> Option<Entry> {
        if !self.based {
            return None;
        }
        let next = self.entries.get(&(self.delivered + 1))?.entry.clone();
        self.moved_to(now, next.sequence);
        self.evict();
        Some(next)
    }

    /// Leaves out all up to `through`.
    pub fn skip(&mut self, now: Micros, through: u64) {
        self.based = true;
        self.highest = self.highest.max(through);
        self.moved_to(now, through);
        // Those that it has never delivered it doesn't pass on either.
        let kept = self.entries.split_off(&(through + 1));
        self.bytes = kept.values().map(bytes).sum();
        self.entries = kept;
    }

    /// What this node holds, as others are told.
    pub fn position(&self, publisher: u64) -> LogPosition {
        let mut held_ranges: Vec<(u64, u64)> = Vec::new();
        for &sequence in self.entries.range(self.delivered + 1..).map(|(sequence, _)| sequence) {
            let full = held_ranges.len() >= MOST_RANGES;
            match held_ranges.last_mut() {
                Some(range) if range.1 + 1 == sequence => range.1 = sequence,
                _ if full => break,
                _ => held_ranges.push((sequence, sequence)),
            }
        }
        let (epoch, first) = (self.epoch(), self.first());
        LogPosition { publisher, epoch, first, delivered: self.delivered, held_ranges, stale: self.stale }
    }

    /// One entry.
    pub fn get(&self, sequence: u64) -> Option<&Held> {
        self.entries.get(&sequence)
    }

    /// The entry before that sequence, where it came not long ago.
    pub fn recent_before(&self, now: Micros, sequence: u64) -> Option<&Entry> {
        let held = self.entries.get(&sequence.checked_sub(1)?)?;
        (now < held.at + RECENT).then_some(&held.entry)
    }

    /// What somebody at that position lacks and this node holds, in order.
    pub fn lacked_at<'a>(&'a self, theirs: &'a LogPosition) -> impl Iterator<Item = &'a Held> {
        let holds =
            |sequence: u64| theirs.held_ranges.iter().any(|range| (range.0..=range.1).contains(&sequence));
        self.entries
            .range(theirs.delivered + 1..=theirs.delivered.saturating_add(WINDOW))
            .filter(move |(sequence, _)| !holds(**sequence))
            .map(|(_, held)| held)
    }

    /// Where somebody at that position has to go on by a snapshot: the last entry that is left out.
    pub fn snapshot_for(&self, theirs: &LogPosition) -> Option<u64> {
        let oldest = self.entries.keys().next().copied().unwrap_or(self.delivered + 1);
        let abandoned = self.evicted > theirs.delivered || theirs.stale && self.based;
        (abandoned && oldest > theirs.delivered + 1).then_some(oldest - 1)
    }

    /// Bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Entries that are held.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    fn moved_to(&mut self, now: Micros, sequence: u64) {
        self.delivered = sequence;
        self.progressed_at = now;
        if self.highest <= sequence {
            self.behind_since = None;
            self.stale = false;
        }
    }

    fn evictable(&self) -> bool {
        self.entries.keys().next().is_some_and(|&oldest| oldest <= self.delivered)
    }

    fn evict(&mut self) {
        while (self.entries.len() > RETAINED || self.bytes > RETAINED_BYTES) && self.evictable() {
            let Some((sequence, held)) = self.entries.pop_first() else { return };
            self.bytes -= bytes(&held);
            self.evicted = sequence;
        }
    }
}

fn bytes(held: &Held) -> usize {
    HELD_BYTES + held.entry.payload.len() + held.entry.extension.len()
}
