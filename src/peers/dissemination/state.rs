//! Versioned state as one node holds it: the newest version that is known, and the one in force.

use super::super::Micros;
use super::message::{Entry, StatePosition};
use std::collections::BTreeMap;

/// Kinds of state that are held, of all publishers together: 32 of 1 KiB, twice, are 64 KiB.
pub const MOST_STATES: usize = 32;

/// What the subscriber made of the newest version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has not said yet.
    Pending,
    /// It is in force.
    Applied,
    /// It was refused, for this reason; the last good one stays in force.
    Refused(String),
}

/// One kind of state of one publisher.
#[derive(Clone, Debug)]
pub struct Slot {
    /// The newest version.
    pub newest: Entry,
    /// When it came.
    pub at: Micros,
    /// What became of it.
    pub verdict: Verdict,
    /// The version in force.
    pub applied: Option<Entry>,
}

/// Which publisher's state of which kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StateKey {
    /// The publisher's key.
    pub publisher: u64,
    /// What it is a version of.
    pub kind: u16,
}

/// All state that a node holds.
#[derive(Clone, Debug, Default)]
pub struct States(BTreeMap<StateKey, Slot>);

impl States {
    /// Takes a version in; whether it is newer than what was here.
    pub fn offer(&mut self, now: Micros, key: StateKey, entry: &Entry) -> bool {
        if let Some(slot) = self.0.get_mut(&key) {
            let newer = (entry.epoch, entry.sequence) > (slot.newest.epoch, slot.newest.sequence);
            if newer {
                (slot.newest, slot.at, slot.verdict) = (entry.clone(), now, Verdict::Pending);
            }
            return newer;
        }
        if self.0.len() >= MOST_STATES {
            return false;
        }
        let slot = Slot { newest: entry.clone(), at: now, verdict: Verdict::Pending, applied: None };
        self.0.insert(key, slot);
        true
    }

    /// The subscriber's word on a version. An older one's comes too late and counts for nothing.
    pub fn decide(&mut self, key: StateKey, epoch: u64, version: u64, verdict: Verdict) -> Option<&Slot> {
        let slot = self.0.get_mut(&key)?;
        if (slot.newest.epoch, slot.newest.sequence) != (epoch, version) {
            return None;
        }
        if verdict == Verdict::Applied {
            slot.applied = Some(slot.newest.clone());
        }
        slot.verdict = verdict;
        Some(slot)
    }

    /// One kind of state.
    pub fn get(&self, key: StateKey) -> Option<&Slot> {
        self.0.get(&key)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (StateKey, &Slot)> {
        self.0.iter().map(|(key, slot)| (*key, slot))
    }

    /// What this node holds, as others are told.
    pub fn positions(&self) -> Vec<StatePosition> {
        let position = |(key, slot): (StateKey, &Slot)| StatePosition {
            publisher: key.publisher,
            kind: key.kind,
            epoch: slot.newest.epoch,
            version: slot.newest.sequence,
        };
        self.iter().map(position).collect()
    }

    /// The same of one publisher.
    pub fn positions_of(&self, publisher: u64) -> Vec<StatePosition> {
        let mut positions = self.positions();
        positions.retain(|position| position.publisher == publisher);
        positions
    }

    /// Whether somebody holds a newer version.
    pub fn is_behind(&self, theirs: &StatePosition) -> bool {
        let held = self.get(StateKey { publisher: theirs.publisher, kind: theirs.kind });
        held.is_none_or(|slot| (slot.newest.epoch, slot.newest.sequence) < (theirs.epoch, theirs.version))
    }
}
