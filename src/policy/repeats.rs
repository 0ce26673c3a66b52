//! Requests that come again with the id of an earlier one. A client gives each request an id of its
//! own, so that such a request is the same one once more: it must not run twice if its class does
//! not allow that.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::time::{Duration, Instant};

/// How long an id is remembered. It is far longer than a client waits for an answer.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of ids that are remembered.
const MAX_IDS: usize = 16_384;

/// The ids of recent requests that may have run.
#[derive(Debug, Default)]
pub struct RecentRequests {
    hasher: RandomState,
    /// When each was recorded, by the hash of its id.
    recorded_at: HashMap<u64, Instant>,
    /// The same in order of time; entries that have been forgotten may remain.
    order: VecDeque<(Instant, u64)>,
}

impl RecentRequests {
    /// Records a request that may run from now on. Returns `false`, and records nothing, if one with
    /// this id may have run already.
    pub fn record(&mut self, now: Instant, id: &[u8]) -> bool {
        self.evict(now);
        let id = self.hasher.hash_one(id);
        if self.recorded_at.contains_key(&id) {
            return false;
        }
        self.recorded_at.insert(id, now);
        self.order.push_back((now, id));
        true
    }

    /// Forgets a request that has ended without having run: it may come again.
    pub fn forget(&mut self, id: &[u8]) {
        self.recorded_at.remove(&self.hasher.hash_one(id));
    }

    /// Number of ids that are remembered.
    pub fn len(&self) -> usize {
        self.recorded_at.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.recorded_at.is_empty()
    }

    fn evict(&mut self, now: Instant) {
        while let Some(&(at, id)) = self.order.front() {
            if now.saturating_duration_since(at) < RETENTION && self.order.len() < MAX_IDS {
                return;
            }
            self.order.pop_front();
            if self.recorded_at.get(&id) == Some(&at) {
                self.recorded_at.remove(&id);
            }
        }
    }
}
