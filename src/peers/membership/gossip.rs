//! Limits on how updates are gossiped: how often, to how many peers at once, and how many may be queued. Beyond these
//! limits, updates are left to repair.

use crate::peers::Micros;

/// How often a node sends each update while little changes. Each transmission reaches a random node, so that a fraction of
/// `e` to the minus this power misses the update; repair delivers it to them.
const MAX_TRANSMISSIONS: u8 = 10;
/// While much changes, updates are mostly pulled through repair, which sends no peer what it already has.
const MAX_TRANSMISSIONS_IN_BURST: u8 = 1;
/// Number of peers per gossip round.
const FAN_OUT: usize = 3;
const FAN_OUT_IN_BURST: usize = 1;
/// Maximum number of updates queued for gossip; further ones are left to repair.
const MAX_BACKLOG: usize = 32;
const MAX_BACKLOG_IN_BURST: usize = 4;
/// More recent changes than this are a burst.
const BURST_CHANGES: f64 = 32.0;
/// The weight of a change halves in this time.
const HALF_LIFE_US: f64 = 750_000.0;

/// The limits in effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GossipPlan {
    pub max_transmissions: u8,
    pub fan_out: usize,
    pub max_backlog: usize,
    /// Maximum number of updates in one message.
    pub updates_per_message: usize,
}

/// Tracks the rate of membership changes.
pub(super) struct ChangeRate {
    changes: f64,
    at: Micros,
}

impl ChangeRate {
    pub fn new(now: Micros) -> Self {
        Self { changes: 0.0, at: now }
    }

    /// Records that this many members changed.
    pub fn add(&mut self, now: Micros, changes: usize) {
        self.changes = self.recent(now) + changes as f64;
        self.at = now;
    }

    /// Whether there is a burst of changes.
    pub fn is_burst(&self, now: Micros) -> bool {
        self.recent(now) > BURST_CHANGES
    }

    pub fn plan(&self, now: Micros) -> GossipPlan {
        match self.is_burst(now) {
            true => GossipPlan {
                max_transmissions: MAX_TRANSMISSIONS_IN_BURST,
                fan_out: FAN_OUT_IN_BURST,
                max_backlog: MAX_BACKLOG_IN_BURST,
                updates_per_message: MAX_BACKLOG_IN_BURST,
            },
            false => GossipPlan {
                max_transmissions: MAX_TRANSMISSIONS,
                fan_out: FAN_OUT,
                max_backlog: MAX_BACKLOG,
                updates_per_message: usize::MAX,
            },
        }
    }

    fn recent(&self, now: Micros) -> f64 {
        let elapsed = now.saturating_sub(self.at) as f64;
        self.changes * (-elapsed / HALF_LIFE_US).exp2()
    }
}

#[cfg(test)]
mod tests;
