//! The byte budget of membership, and the priorities by which messages wait or are reduced when it is low.

use crate::peers::budget::{ByteBudget, TrafficClass};
use crate::peers::Micros;

/// Membership sends at most 8,000 bytes per second on average over any 5 s, which is this rate for 5 s plus the burst.
/// Probes and their answers are charged but always sent.
const BYTES_PER_SECOND: u32 = 7_000;
const BURST_BYTES: u32 = 5_000;
/// Length of a gossip message without updates, which has two identities, and of each update, which has one.
const EMPTY_GOSSIP_BYTES: usize = 140;
const UPDATE_BYTES: usize = 34;
/// Upper bound for the length of a message.
const MAX_MESSAGE_BYTES: usize = 1_200;
/// The minimum and maximum time after which gossip that waits for the budget is tried again.
const GOSSIP_WAIT_RANGE: (Micros, Micros) = (50_000, 500_000);
/// Number of members in a list while the budget is low: enough peers for repair to work with.
const REDUCED_LIST_MEMBERS: usize = 4;
const REDUCED_LIST_BYTES: usize = 300;
/// Up to this length a list is sent in full even to a peer that also repairs its view, as it may be the complete list.
const SHORT_LIST_BYTES: usize = 600;

/// The priority of a repair message, which follows from its purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RepairPriority {
    /// It starts a comparison. It is held back before the kinds below, except for optional messages.
    Comparison,
    /// It lists identities, whose records are then requested by shorter messages.
    Listing,
    /// It requests or carries records, or reports departures; without it, the exchange so far was in vain.
    Response,
    /// It only reports the digest to a peer that requested it. It has the lowest priority, as any later datagram does so too.
    Optional,
}

impl RepairPriority {
    fn class(self) -> TrafficClass {
        match self {
            Self::Comparison | Self::Optional => TrafficClass::Repair,
            Self::Listing => TrafficClass::Log,
            Self::Response => TrafficClass::Configuration,
        }
    }
}

/// Number of updates on a probe or its answer while the budget is low, and while it is exhausted.
const REDUCED_UPDATES: usize = 4;
const MIN_UPDATES: usize = 1;
/// Bytes that optional messages leave to comparisons.
const OPTIONAL_RESERVE_BYTES: usize = 1_500;

/// Paces what membership sends by a byte budget.
pub(super) struct Pacing {
    budget: ByteBudget,
}

impl Pacing {
    pub fn new(now: Micros) -> Self {
        Self { budget: ByteBudget::new(BYTES_PER_SECOND, BURST_BYTES, now) }
    }

    /// Charges bytes that are sent in any case.
    pub fn charge(&mut self, now: Micros, bytes: usize) {
        self.budget.charge(now, bytes);
    }

    /// Whether a repair message may be sent; if so, its bytes are charged.
    pub fn try_take(&mut self, now: Micros, priority: RepairPriority, bytes: usize) -> bool {
        let reserve = if priority == RepairPriority::Optional { OPTIONAL_RESERVE_BYTES } else { 0 };
        let allowed = self.budget.time_until_available(now, priority.class(), bytes + reserve) == Some(0);
        allowed && self.budget.try_take(now, priority.class(), bytes)
    }

    /// Whether a repair message of maximum length may be sent.
    pub fn allows(&mut self, now: Micros, priority: RepairPriority) -> bool {
        self.budget.time_until_available(now, priority.class(), MAX_MESSAGE_BYTES) == Some(0)
    }

    /// How long a gossip round must wait; `None` if it may run now.
    pub fn gossip_wait(&mut self, now: Micros, fan_out: usize, backlog: usize) -> Option<Micros> {
        if backlog == 0 {
            return None;
        }
        let message = (EMPTY_GOSSIP_BYTES + backlog * UPDATE_BYTES).min(MAX_MESSAGE_BYTES);
        let (earliest, latest) = GOSSIP_WAIT_RANGE;
        match self.budget.time_until_available(now, TrafficClass::Log, message * fan_out) {
            Some(0) => None,
            Some(wait) => Some(wait.clamp(earliest, latest)),
            None => Some(latest),
        }
    }

    /// Maximum number of updates on a message that is sent in any case.
    pub fn updates_per_message(&mut self, now: Micros) -> usize {
        let levels = [(TrafficClass::Repair, usize::MAX), (TrafficClass::Configuration, REDUCED_UPDATES)];
        let allowed = levels
            .iter()
            .find(|(class, _)| self.budget.time_until_available(now, *class, MAX_MESSAGE_BYTES) == Some(0));
        allowed.map_or(MIN_UPDATES, |(_, updates)| *updates)
    }

    /// How many members a list with this many bytes may contain; `None` if it may not be sent. `repairs`: its receiver
    /// compares views and requests what it lacks.
    pub fn members_in_feed(&mut self, now: Micros, repairs: bool, bytes: usize) -> Option<usize> {
        let whole = !repairs || bytes <= SHORT_LIST_BYTES;
        if whole && self.budget.time_until_available(now, TrafficClass::Log, bytes) == Some(0) {
            return Some(usize::MAX);
        }
        let reduced = self.budget.time_until_available(now, TrafficClass::Membership, REDUCED_LIST_BYTES);
        (reduced == Some(0)).then_some(REDUCED_LIST_MEMBERS)
    }
}

#[cfg(test)]
mod tests;
