//! One publisher's log as one node holds it: entries that were delivered, entries that wait for an earlier one, and
//! entries retained to repair losses at other nodes.

use super::super::Micros;
use super::message::{Entry, LogPosition};
use std::collections::BTreeMap;

/// Entries retained for other nodes. At 6 a second that is 5 min 41 s, longer than the 3 minutes for which a region may
/// be cut off (1,080 entries), so the log itself brings such a region up to date.
pub const MAX_RETAINED_ENTRIES: usize = 2_048;
/// Bytes retained. 2,048 entries of 100 bytes take 260 KB; of entries of 1 KiB some 500 are retained.
pub const MAX_RETAINED_BYTES: usize = 512 * 1_024;
/// How far beyond the last delivered entry an entry may be stored. Later ones are dropped and requested again in their
/// turn.
const REORDER_WINDOW: u64 = 1_024;
/// An entry received longer ago than this has probably been requested again wherever it was lost.
const RECENT_WINDOW: Micros = 500_000;
/// Limit on ranges in a position.
const MAX_RANGES: usize = 8;
/// Number of epochs whose first sequence is remembered.
const MAX_EPOCHS: usize = 8;
/// Memory that a held entry takes beside its payload and extension.
const ENTRY_OVERHEAD_BYTES: usize = 96;

/// An entry and its time of arrival.
#[derive(Clone, Debug)]
pub struct HeldEntry {
    /// The entry.
    pub entry: Entry,
    /// When it was received.
    pub received_at: Micros,
}

/// Result of inserting an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The entry was stored.
    New,
    /// The entry was already delivered or stored.
    Duplicate,
    /// A later epoch has superseded the entry's epoch at this sequence.
    Fenced,
    /// The entry is too far beyond the last one delivered, or the log is full.
    TooFarAhead,
}

/// One publisher's log.
#[derive(Clone, Debug)]
pub struct Log {
    /// The known epochs, each with its first sequence; the last one is current.
    epochs: Vec<(u64, u64)>,
    /// All entries up to this sequence were delivered, or skipped with a notification.
    pub delivered: u64,
    /// Whether `delivered` is valid yet. A joining node receives its starting position from others.
    pub base_known: bool,
    entries: BTreeMap<u64, HeldEntry>,
    bytes: usize,
    /// Highest sequence that is known to exist.
    pub highest: u64,
    /// Sequence of the last entry that was evicted.
    evicted_through: u64,
    /// When `delivered` or the epoch last changed.
    pub progressed_at: Micros,
    /// Since when it is known that entries exist that were not delivered.
    pub behind_since: Option<Micros>,
    /// Whether the subscriber was notified that the log is stale.
    pub stale: bool,
}

impl Log {
    /// A log that begins after `delivered`.
    pub fn new(now: Micros, epoch: u64, first: u64, delivered: u64, base_known: bool) -> Self {
        Self {
            epochs: vec![(epoch, first)],
            delivered,
            base_known,
            entries: BTreeMap::new(),
            bytes: 0,
            highest: delivered,
            evicted_through: 0,
            progressed_at: now,
            behind_since: None,
            stale: false,
        }
    }

    /// The current epoch.
    pub fn epoch(&self) -> u64 {
        self.epochs.last().map_or(0, |epoch| epoch.0)
    }

    /// First sequence of the current epoch.
    pub fn first(&self) -> u64 {
        self.epochs.last().map_or(1, |epoch| epoch.1)
    }

    /// Switches to a later epoch. Entries of earlier epochs from its first sequence on become void.
    pub fn adopt_epoch(&mut self, now: Micros, epoch: u64, first: u64) {
        if epoch <= self.epoch() {
            return;
        }
        self.epochs.retain(|known| known.1 < first);
        self.epochs.push((epoch, first));
        if self.epochs.len() > MAX_EPOCHS {
            self.epochs.remove(0);
        }
        let void = self.entries.split_off(&first);
        self.bytes -= void.values().map(bytes).sum::<usize>();
        self.delivered = self.delivered.min(first - 1);
        self.evicted_through = self.evicted_through.min(first - 1);
        self.highest = first - 1;
        self.progressed_at = now;
        self.behind_since = (self.highest > self.delivered).then_some(now);
    }

    /// Stores an entry unless it is a duplicate, superseded or too far ahead.
    pub fn insert(&mut self, now: Micros, entry: Entry) -> InsertOutcome {
        let sequence = entry.sequence;
        let issued_by = self.epochs.iter().rev().find(|epoch| epoch.1 <= sequence);
        match issued_by {
            Some(epoch) if epoch.0 != entry.epoch => return InsertOutcome::Fenced,
            None if entry.epoch >= self.epoch() => return InsertOutcome::Fenced,
            _ => {}
        }
        self.observe_sequence(now, sequence);
        if self.base_known && sequence <= self.delivered || self.entries.contains_key(&sequence) {
            return InsertOutcome::Duplicate;
        }
        let over_capacity = self.bytes > MAX_RETAINED_BYTES && !self.evictable();
        let from = self.entries.keys().next().copied().unwrap_or(sequence);
        let base = if self.base_known { self.delivered } else { from };
        if sequence > base + REORDER_WINDOW || over_capacity && sequence != self.delivered + 1 {
            return InsertOutcome::TooFarAhead;
        }
        let held = HeldEntry { entry, received_at: now };
        self.bytes += bytes(&held);
        self.entries.insert(sequence, held);
        InsertOutcome::New
    }

    /// Records that another node has entries up to this sequence.
    pub fn observe_sequence(&mut self, now: Micros, sequence: u64) {
        self.highest = self.highest.max(sequence);
        if self.highest > self.delivered {
            self.behind_since.get_or_insert(now);
        }
    }

    /// The next entry in order, if it is held.
    pub fn deliver(&mut self, now: Micros) -> Option<Entry> {
        if !self.base_known {
            return None;
        }
        let next = self.entries.get(&(self.delivered + 1))?.entry.clone();
        self.advance_to(now, next.sequence);
        self.evict();
        Some(next)
    }

    /// Skips all entries up to `through`.
    pub fn skip(&mut self, now: Micros, through: u64) {
        self.base_known = true;
        self.highest = self.highest.max(through);
        self.advance_to(now, through);
        // Entries that were never delivered here are not forwarded either.
        let kept = self.entries.split_off(&(through + 1));
        self.bytes = kept.values().map(bytes).sum();
        self.entries = kept;
    }

    /// What this node holds, for a digest.
    pub fn position(&self, publisher: u64) -> LogPosition {
        let mut held_ranges: Vec<(u64, u64)> = Vec::new();
        for &sequence in self.entries.range(self.delivered + 1..).map(|(sequence, _)| sequence) {
            let full = held_ranges.len() >= MAX_RANGES;
            match held_ranges.last_mut() {
                Some(range) if range.1 + 1 == sequence => range.1 = sequence,
                _ if full => break,
                _ => held_ranges.push((sequence, sequence)),
            }
        }
        let (epoch, first) = (self.epoch(), self.first());
        LogPosition { publisher, epoch, first, delivered: self.delivered, held_ranges, stale: self.stale }
    }

    /// The entry with this sequence.
    pub fn get(&self, sequence: u64) -> Option<&HeldEntry> {
        self.entries.get(&sequence)
    }

    /// The entry before this sequence, if it was received recently.
    pub fn recent_before(&self, now: Micros, sequence: u64) -> Option<&Entry> {
        let held = self.entries.get(&sequence.checked_sub(1)?)?;
        (now < held.received_at + RECENT_WINDOW).then_some(&held.entry)
    }

    /// Entries held here that a node at that position is missing, in order.
    pub fn missing_at<'a>(&'a self, theirs: &'a LogPosition) -> impl Iterator<Item = &'a HeldEntry> {
        let holds =
            |sequence: u64| theirs.held_ranges.iter().any(|range| (range.0..=range.1).contains(&sequence));
        self.entries
            .range(theirs.delivered + 1..=theirs.delivered.saturating_add(REORDER_WINDOW))
            .filter(move |(sequence, _)| !holds(**sequence))
            .map(|(_, held)| held)
    }

    /// If a node at that position has to skip entries: the last one to skip.
    pub fn skip_target(&self, theirs: &LogPosition) -> Option<u64> {
        let oldest = self.entries.keys().next().copied().unwrap_or(self.delivered + 1);
        let abandoned = self.evicted_through > theirs.delivered || theirs.stale && self.base_known;
        (abandoned && oldest > theirs.delivered + 1).then_some(oldest - 1)
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of entries held.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    fn advance_to(&mut self, now: Micros, sequence: u64) {
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
        while (self.entries.len() > MAX_RETAINED_ENTRIES || self.bytes > MAX_RETAINED_BYTES)
            && self.evictable()
        {
            let Some((sequence, held)) = self.entries.pop_first() else { return };
            self.bytes -= bytes(&held);
            self.evicted_through = sequence;
        }
    }
}

fn bytes(held: &HeldEntry) -> usize {
    ENTRY_OVERHEAD_BYTES + held.entry.payload.len() + held.entry.extension.len()
}
