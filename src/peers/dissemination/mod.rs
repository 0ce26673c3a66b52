//! Ordered dissemination to all nodes, sans-I/O: members, datagrams and time in; datagrams, entries and words out.
//!
//! A publisher's **log** reaches each subscriber entry by entry, once, in order and without a hole; its **versioned
//! state** in the newest version, whole or not at all. Entries are pushed along a tree that every node works out from the
//! membership ([`overlay`]); who misses something tells what it holds and is sent the rest (epidemic broadcast trees:
//! Leitao, Pereira, Rodrigues, 2007). What was applied is gathered up the same tree ([`acknowledgement`]). All bytes are
//! paid from the node's [`ByteBudget`]. `docs/dissemination.md` tells it all.

pub mod acknowledgement;
pub mod log;
pub mod message;
pub mod overlay;
pub mod state;

mod asking;
mod config;
mod joining;
mod output;
mod publishing;
mod receiving;
mod reporting;
mod sending;

pub use config::DisseminationConfig;
pub use message::{Channel, Entry, Refusal, MAX_PAYLOAD_BYTES};
pub use output::{DisseminationCounters, DisseminationOutput};
pub use overlay::{hash_name, Member};
pub use publishing::PublishError;
pub use state::StateKey;

use super::{ByteBudget, Micros};
use acknowledgement::{ChannelKey, OwnProgress, Reports, LONGEST_REASON};
use asking::Asking;
use log::Log;
use message::DecodeError;
use overlay::Overlay;
use publishing::Publishing;
use reporting::{Confirmations, Reporting};
use sending::Outbox;
use state::{States, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Publishers whose logs are held: 8 logs of 512 KiB are 4 MiB at the most. The plan sets 6 control machines aside.
const MOST_PUBLISHERS: usize = 8;
/// Each node looks this often at what is missing and what is to be reported: a quarter of the shortest wait below.
const TICK: Micros = 50_000;
/// A version of a state is sent so often along each link: a change of state is rare, and at 5% loss one in 8,000 is left
/// to repair.
const STATE_COPIES: u32 = 3;
/// A node that joins waits for a word on where logs stand for so long, then takes itself for one of the first.
const JOINING: Micros = 2_000_000;

/// One node's part in dissemination.
#[derive(Debug)]
pub struct Dissemination {
    config: DisseminationConfig,
    cluster: u32,
    me: Member,
    overlay: Overlay,
    logs: BTreeMap<u64, Log>,
    asking: BTreeMap<u64, Asking>,
    states: States,
    reports: Reports,
    reporting: BTreeMap<u64, Reporting>,
    confirmations: Confirmations,
    outbox: Outbox,
    publishing: Option<Publishing>,
    /// Until when it waits for a word on where logs stand.
    joining: Option<Micros>,
    random: fastrand::Rng,
    tick_at: Micros,
    tell_all_at: Micros,
    tell_turn: usize,
    counters: DisseminationCounters,
}

impl Dissemination {
    /// A node that has heard nothing. `seed`: for its random draws.
    pub fn new(config: DisseminationConfig, me: Member, seed: u64, now: Micros) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let tick_at = now + random.u64(0..TICK);
        let tell_turn = random.usize(0..4);
        Self {
            cluster: hash_name(&config.cluster) as u32,
            overlay: Overlay::new(me),
            logs: BTreeMap::new(),
            asking: BTreeMap::new(),
            states: States::default(),
            reports: Reports::default(),
            reporting: BTreeMap::new(),
            confirmations: Confirmations::default(),
            outbox: Outbox::default(),
            publishing: None,
            joining: Some(now + JOINING),
            random,
            tick_at,
            tell_all_at: now,
            tell_turn,
            counters: DisseminationCounters::default(),
            config,
            me,
        }
    }

    /// A member is present, or another life of it.
    pub fn member_present(&mut self, member: Member) {
        self.overlay.insert(member);
    }

    /// A member may be gone: until it is told to be present again, nothing goes by way of it.
    pub fn member_suspected(&mut self, member: Member) {
        self.overlay.insert(member);
        self.overlay.suspect(&member);
    }

    /// A life of a member is gone.
    pub fn member_removed(&mut self, member: &Member) {
        if self.overlay.remove(member) {
            self.counters.abandoned += self.outbox.forget_node(member.address);
            self.reports.forget(member.address);
        }
    }

    /// This node has come back as another life, after others had declared it gone.
    pub fn rejoined(&mut self, me: Member) {
        self.me = me;
        self.overlay.set_own(me);
    }

    /// This node, as others know it.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// When it wants to be called next.
    pub fn next_timeout(&self) -> Micros {
        self.outbox.retry_at.map_or(self.tick_at, |retry| retry.min(self.tick_at))
    }

    /// What was dropped or given up.
    pub fn counters(&self) -> DisseminationCounters {
        self.counters
    }

    /// All that it sees as present, itself among them.
    pub fn members(&self) -> &[Member] {
        self.overlay.members()
    }

    /// Bytes of entries that are held.
    pub fn held_bytes(&self) -> usize {
        self.logs.values().map(Log::bytes).sum()
    }

    /// Entries of logs that are held.
    pub fn held_entries(&self) -> usize {
        self.logs.values().map(Log::entries).sum()
    }

    /// The last entry of a publisher's log that was delivered here.
    pub fn last_delivered(&self, publisher: u64) -> Option<u64> {
        self.logs.get(&publisher).filter(|log| log.based).map(|log| log.delivered)
    }

    /// The version of a state that is in force here.
    pub fn applied_state(&self, key: StateKey) -> Option<&Entry> {
        self.states.get(key).and_then(|slot| slot.applied.as_ref())
    }

    /// Time has come for what is due.
    pub fn run_timers(&mut self, now: Micros, budget: &mut ByteBudget, out: &mut Vec<DisseminationOutput>) {
        if now >= self.tick_at {
            self.tick_at = now + TICK;
            if self.joining.is_some() && self.overlay.members().len() <= 1 {
                // Nobody is there yet to be asked.
                self.joining = Some(now + JOINING);
            }
            if self.joining.is_some_and(|until| now >= until) {
                self.joined(now, out);
            }
            self.look_for_stale_logs(now, out);
            self.ask(now);
            self.report(now, out);
        }
        self.flush(now, budget, out);
    }

    /// A datagram has come.
    pub fn receive(
        &mut self,
        now: Micros,
        from: SocketAddr,
        data: &[u8],
        budget: &mut ByteBudget,
        out: &mut Vec<DisseminationOutput>,
    ) {
        match message::decode(self.cluster, self.config.max_datagram_bytes, data) {
            Ok(message) => self.handle(now, from, message, out),
            Err(DecodeError::Oversized) => self.counters.oversized += 1,
            Err(DecodeError::Malformed) => self.counters.malformed += 1,
            Err(DecodeError::Foreign) => self.counters.foreign += 1,
            Err(DecodeError::LaterSchema) => self.counters.later_schema += 1,
        }
        self.flush(now, budget, out);
    }

    fn look_for_stale_logs(&mut self, now: Micros, out: &mut Vec<DisseminationOutput>) {
        let after = self.config.stale_after.as_micros() as Micros;
        for (&publisher, log) in &mut self.logs {
            if !log.stale && log.behind_since.is_some_and(|since| now >= since + after) {
                log.stale = true;
                let behind = log.highest.saturating_sub(log.delivered);
                out.push(DisseminationOutput::Stale { publisher, behind });
            }
        }
    }

    /// The subscriber's word on a version that it was offered: in force as a whole, or refused for a reason.
    pub fn decide_state(
        &mut self,
        key: StateKey,
        epoch: u64,
        version: u64,
        verdict: Result<(), String>,
        out: &mut Vec<DisseminationOutput>,
    ) {
        let verdict = match verdict {
            Ok(()) => Verdict::Applied,
            Err(mut reason) => {
                let end =
                    (0..=LONGEST_REASON.min(reason.len())).rev().find(|&end| reason.is_char_boundary(end));
                reason.truncate(end.unwrap_or(0));
                Verdict::Refused(reason)
            }
        };
        let Some(slot) = self.states.decide(key, epoch, version, verdict) else { return };
        if slot.verdict == Verdict::Applied {
            let entry = slot.newest.clone();
            out.push(DisseminationOutput::StateApplied { publisher: key.publisher, entry });
        }
        self.reporting.entry(key.publisher).or_default().changed = true;
    }

    /// Publishers of which it holds a log or a state.
    fn publishers(&self) -> BTreeSet<u64> {
        let of_states = self.states.iter().map(|(key, _)| key.publisher);
        self.logs.keys().copied().chain(of_states).collect()
    }

    /// What this node has applied of each line of a publisher.
    fn progress(&self, publisher: u64) -> Vec<(ChannelKey, OwnProgress)> {
        let mut found = Vec::new();
        if let Some(log) = self.logs.get(&publisher).filter(|log| log.based) {
            let own = OwnProgress { epoch: log.epoch(), through: log.delivered, refused: None };
            found.push((ChannelKey { publisher, channel: Channel::Log }, own));
        }
        for (key, slot) in self.states.iter().filter(|(key, _)| key.publisher == publisher) {
            let refused = match &slot.verdict {
                Verdict::Pending => continue,
                Verdict::Applied => None,
                Verdict::Refused(reason) => Some(reason.clone()),
            };
            let own = OwnProgress { epoch: slot.newest.epoch, through: slot.newest.sequence, refused };
            found.push((ChannelKey { publisher, channel: Channel::State(key.kind) }, own));
        }
        found
    }
}

#[cfg(test)]
mod tests;
