//! Versioned states as one node holds them: the newest known version and the one in force.

use super::super::Micros;
use super::message::{Entry, StatePosition};
use std::collections::BTreeMap;

/// Limit on states held, over all publishers. With 1 KiB each, and two versions of each, they take 64 KiB.
pub const MAX_STATES: usize = 32;

/// The subscriber's decision on the newest version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not decided yet.
    Pending,
    /// Accepted: the version is in force.
    Applied,
    /// Refused, for this reason; the last accepted version stays in force.
    Refused(String),
}

/// One kind of state of one publisher.
#[derive(Clone, Debug)]
pub struct StateSlot {
    /// The newest version.
    pub newest: Entry,
    /// When the newest version was received.
    pub received_at: Micros,
    /// The decision on the newest version.
    pub verdict: Verdict,
    /// The version in force.
    pub applied: Option<Entry>,
}

/// Identifies a state: its publisher and its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StateKey {
    /// Key of the publisher.
    pub publisher: u64,
    /// Kind of the state.
    pub kind: u16,
}

/// All states that a node holds.
#[derive(Clone, Debug, Default)]
pub struct States(BTreeMap<StateKey, StateSlot>);

impl States {
    /// Stores a version if it is newer than the one held. Returns whether it was stored.
    pub fn offer(&mut self, now: Micros, key: StateKey, entry: &Entry) -> bool {
        if let Some(slot) = self.0.get_mut(&key) {
            let newer = (entry.epoch, entry.sequence) > (slot.newest.epoch, slot.newest.sequence);
            if newer {
                (slot.newest, slot.received_at, slot.verdict) = (entry.clone(), now, Verdict::Pending);
            }
            return newer;
        }
        if self.0.len() >= MAX_STATES {
            return false;
        }
        let slot =
            StateSlot { newest: entry.clone(), received_at: now, verdict: Verdict::Pending, applied: None };
        self.0.insert(key, slot);
        true
    }

    /// Records the subscriber's decision. A decision on a version that is no longer the newest is ignored.
    pub fn decide(
        &mut self,
        key: StateKey,
        epoch: u64,
        version: u64,
        verdict: Verdict,
    ) -> Option<&StateSlot> {
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

    /// The state with this key.
    pub fn get(&self, key: StateKey) -> Option<&StateSlot> {
        self.0.get(&key)
    }

    /// All states.
    pub fn iter(&self) -> impl Iterator<Item = (StateKey, &StateSlot)> {
        self.0.iter().map(|(key, slot)| (*key, slot))
    }

    /// The newest versions held, for a digest.
    pub fn positions(&self) -> Vec<StatePosition> {
        let position = |(key, slot): (StateKey, &StateSlot)| StatePosition {
            publisher: key.publisher,
            kind: key.kind,
            epoch: slot.newest.epoch,
            version: slot.newest.sequence,
        };
        self.iter().map(position).collect()
    }

    /// The newest versions held of one publisher's states.
    pub fn positions_of(&self, publisher: u64) -> Vec<StatePosition> {
        let mut positions = self.positions();
        positions.retain(|position| position.publisher == publisher);
        positions
    }

    /// Whether another node's version is newer than the one held here.
    pub fn is_behind(&self, theirs: &StatePosition) -> bool {
        let held = self.get(StateKey { publisher: theirs.publisher, kind: theirs.kind });
        held.is_none_or(|slot| (slot.newest.epoch, slot.newest.sequence) < (theirs.epoch, theirs.version))
    }
}
