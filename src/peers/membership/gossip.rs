//! How news is passed on: in how many copies, to how many at once, and what is left to repair.

use crate::peers::Micros;

/// Copies of one piece of news that a node sends while little changes. Each copy reaches another node at random, so that
/// one in `e` to this power is missed; repair brings the rest.
const MAX_TRANSMISSIONS: u8 = 10;
/// While much changes news is mostly pulled by repair, which sends nobody what it has.
const MAX_TRANSMISSIONS_IN_BURST: u8 = 1;
/// Peers that are told at once.
const FAN_OUT: usize = 3;
const FAN_OUT_IN_BURST: usize = 1;
/// Pieces of news that may wait to be passed on; what comes beyond them is left to repair.
const MAX_BACKLOG: usize = 32;
const MAX_BACKLOG_IN_BURST: usize = 4;
/// More changes than this, of late, are a burst.
const BURST_CHANGES: f64 = 32.0;
/// Half of the changes are forgotten in this time.
const HALF_LIFE_US: f64 = 750_000.0;

/// What holds now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GossipPlan {
    pub max_transmissions: u8,
    pub fan_out: usize,
    pub max_backlog: usize,
    /// Pieces of news on one message at the most.
    pub updates_per_message: usize,
}

/// Follows how much changes.
pub(super) struct ChangeRate {
    changes: f64,
    at: Micros,
}

impl ChangeRate {
    pub fn new(now: Micros) -> Self {
        Self { changes: 0.0, at: now }
    }

    /// So many members changed.
    pub fn add(&mut self, now: Micros, changes: usize) {
        self.changes = self.recent(now) + changes as f64;
        self.at = now;
    }

    /// Whether much changes.
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
