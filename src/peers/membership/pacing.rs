//! How many bytes membership may send, and what waits where they are short.

use crate::peers::budget::{ByteBudget, TrafficClass};
use crate::peers::Micros;

/// Bytes that membership sends in any 5 s at the most, but for probes and their answers, which always go: 8,000 a second
/// on the mean. The rate over 5 s and the depth together come to that.
const BYTES_PER_SECOND: u32 = 7_000;
const BURST_BYTES: u32 = 5_000;
/// A message of gossip without news, and what each piece of news adds: two identities, and one.
const EMPTY_GOSSIP_BYTES: usize = 140;
const UPDATE_BYTES: usize = 34;
/// A message is no longer than this.
const MAX_MESSAGE_BYTES: usize = 1_200;
/// Gossip that waits for bytes is tried again after this time at the earliest and at the latest.
const GOSSIP_WAIT_RANGE: (Micros, Micros) = (50_000, 500_000);
/// Members in a list while bytes are short: enough to have company, which repair needs.
const REDUCED_LIST_MEMBERS: usize = 4;
const REDUCED_LIST_BYTES: usize = 300;
/// A list of no more bytes is sent whole to one that repairs its view as well: it may be all that there is to know.
const SHORT_LIST_BYTES: usize = 600;

/// What a message of the repair is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RepairPriority {
    /// It begins a comparison; the first to wait.
    Comparison,
    /// It lists lives: what it brings is asked for by shorter messages.
    Listing,
    /// It asks for records, brings them, or says who is gone: what came before it is lost without it.
    Response,
    /// It tells a digest to one that asked; the first of all to wait, as any later datagram tells it too.
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

/// Pieces of news on a probe or its answer while bytes are short, and while there are none.
const REDUCED_UPDATES: usize = 4;
const MIN_UPDATES: usize = 1;
/// Bytes that are left to comparisons by what may be spared.
const OPTIONAL_RESERVE_BYTES: usize = 1_500;

/// The bytes that membership may send.
pub(super) struct Pacing {
    budget: ByteBudget,
}

impl Pacing {
    pub fn new(now: Micros) -> Self {
        Self { budget: ByteBudget::new(BYTES_PER_SECOND, BURST_BYTES, now) }
    }

    /// What goes in any case.
    pub fn charge(&mut self, now: Micros, bytes: usize) {
        self.budget.charge(now, bytes);
    }

    /// Whether a message of the repair may go.
    pub fn try_take(&mut self, now: Micros, priority: RepairPriority, bytes: usize) -> bool {
        let spare = if priority == RepairPriority::Optional { OPTIONAL_RESERVE_BYTES } else { 0 };
        let allowed = self.budget.time_until_available(now, priority.class(), bytes + spare) == Some(0);
        allowed && self.budget.try_take(now, priority.class(), bytes)
    }

    /// Whether a message of the repair may go, however long.
    pub fn allows(&mut self, now: Micros, priority: RepairPriority) -> bool {
        self.budget.time_until_available(now, priority.class(), MAX_MESSAGE_BYTES) == Some(0)
    }

    /// How long a round of gossip has to wait; none where it may go.
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

    /// How many pieces of news may ride on a message that goes in any case.
    pub fn updates_per_message(&mut self, now: Micros) -> usize {
        let levels = [(TrafficClass::Repair, usize::MAX), (TrafficClass::Configuration, REDUCED_UPDATES)];
        let allowed = levels
            .iter()
            .find(|(class, _)| self.budget.time_until_available(now, *class, MAX_MESSAGE_BYTES) == Some(0));
        allowed.map_or(MIN_UPDATES, |(_, news)| *news)
    }

    /// How many members a list of so many bytes may hold; none where it may not go. `repairs`: its reader compares views,
    /// and asks for what it lacks.
    pub fn members_in_feed(&mut self, now: Micros, repairs: bool, bytes: usize) -> Option<usize> {
        let whole = !repairs || bytes <= SHORT_LIST_BYTES;
        if whole && self.budget.time_until_available(now, TrafficClass::Log, bytes) == Some(0) {
            return Some(usize::MAX);
        }
        let short = self.budget.time_until_available(now, TrafficClass::Membership, REDUCED_LIST_BYTES);
        (short == Some(0)).then_some(REDUCED_LIST_MEMBERS)
    }
}

#[cfg(test)]
mod tests;
