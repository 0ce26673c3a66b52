//! Ordered dissemination to all nodes, sans-I/O: inputs are membership changes, datagrams and time; outputs are
//! datagrams, entries and events.
//!
//! A publisher's **log** reaches each subscriber entry by entry, exactly once, in order and without gaps. Of its
//! **versioned state** each subscriber gets the newest version, complete or not at all. Entries are pushed along a tree
//! that every node computes from the membership ([`overlay`]). A node that misses something sends a digest of what it
//! holds and receives the rest (epidemic broadcast trees: Leitao, Pereira, Rodrigues, 2007). Acknowledgements are
//! aggregated up the same tree ([`acknowledgement`]). All bytes sent are charged to the node's [`ByteBudget`]. See
//! `docs/dissemination.md`.

pub mod acknowledgement;
pub mod log;
pub mod message;
pub mod overlay;
pub mod state;

mod anti_entropy;
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
use acknowledgement::{ChannelKey, OwnProgress, Reports, MAX_REASON_BYTES};
use anti_entropy::PullState;
use log::Log;
use message::DecodeError;
use overlay::Overlay;
use publishing::Publishing;
use reporting::{Confirmations, ReportState};
use sending::Outbox;
use state::{States, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Limit on publishers whose logs are held: 8 logs of 512 KiB take at most 4 MiB. The deployment plan has 6 control
/// machines.
const MAX_PUBLISHERS: usize = 8;
/// Interval of the checks for missing entries and due reports: a quarter of the time without entries after which a node
/// asks for them.
const TICK_INTERVAL: Micros = 50_000;
/// Times that a version of a state is sent along each link. States change rarely, and at 5% loss one in 8,000 is left
/// to repair.
const STATE_COPIES: u32 = 3;
/// A joining node waits this long for the positions of the logs, then assumes that it is one of the first nodes.
const JOIN_TIMEOUT: Micros = 2_000_000;

/// One node's part in dissemination.
#[derive(Debug)]
pub struct Dissemination {
    config: DisseminationConfig,
    cluster_hash: u32,
    me: Member,
    overlay: Overlay,
    logs: BTreeMap<u64, Log>,
    pulls: BTreeMap<u64, PullState>,
    states: States,
    reports: Reports,
    report_states: BTreeMap<u64, ReportState>,
    confirmations: Confirmations,
    outbox: Outbox,
    publishing: Option<Publishing>,
    /// Until when the node waits for the positions of the logs; `None` once it has joined.
    joining_until: Option<Micros>,
    random: fastrand::Rng,
    tick_at: Micros,
    full_digest_at: Micros,
    full_digest_turn: usize,
    counters: DisseminationCounters,
}

impl Dissemination {
    /// A node that has received nothing yet. `seed`: for its random draws.
    pub fn new(config: DisseminationConfig, me: Member, seed: u64, now: Micros) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let tick_at = now + random.u64(0..TICK_INTERVAL);
        let full_digest_turn = random.usize(0..4);
        Self {
            cluster_hash: hash_name(&config.cluster) as u32,
            overlay: Overlay::new(me),
            logs: BTreeMap::new(),
            pulls: BTreeMap::new(),
            states: States::default(),
            reports: Reports::default(),
            report_states: BTreeMap::new(),
            confirmations: Confirmations::default(),
            outbox: Outbox::default(),
            publishing: None,
            joining_until: Some(now + JOIN_TIMEOUT),
            random,
            tick_at,
            full_digest_at: now,
            full_digest_turn,
            counters: DisseminationCounters::default(),
            config,
            me,
        }
    }

    /// A member is present, or has a new incarnation.
    pub fn member_present(&mut self, member: Member) {
        self.overlay.insert(member);
    }

    /// A member is suspected: until it is present again, it relays nothing.
    pub fn member_suspected(&mut self, member: Member) {
        self.overlay.insert(member);
        self.overlay.suspect(&member);
    }

    /// An incarnation of a member has left or is lost.
    pub fn member_removed(&mut self, member: &Member) {
        if self.overlay.remove(member) {
            self.counters.abandoned += self.outbox.discard_node(member.address);
            self.reports.remove_node(member.address);
        }
    }

    /// This node has rejoined under a new incarnation after others had removed it.
    pub fn rejoined(&mut self, me: Member) {
        self.me = me;
        self.overlay.set_own(me);
    }

    /// This node as a member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// When [`run_timers`](Self::run_timers) is to be called next.
    pub fn next_timeout(&self) -> Micros {
        self.outbox.retry_at.map_or(self.tick_at, |retry| retry.min(self.tick_at))
    }

    /// Counts of what was dropped, abandoned or repaired.
    pub fn counters(&self) -> DisseminationCounters {
        self.counters
    }

    /// All members seen as present, this node included.
    pub fn members(&self) -> &[Member] {
        self.overlay.members()
    }

    /// Bytes of log entries held.
    pub fn held_bytes(&self) -> usize {
        self.logs.values().map(Log::bytes).sum()
    }

    /// Number of log entries held.
    pub fn held_entries(&self) -> usize {
        self.logs.values().map(Log::entries).sum()
    }

    /// Sequence of the last entry of a publisher's log that was delivered here.
    pub fn last_delivered(&self, publisher: u64) -> Option<u64> {
        self.logs.get(&publisher).filter(|log| log.base_known).map(|log| log.delivered)
    }

    /// The version of a state that is in force here.
    pub fn applied_state(&self, key: StateKey) -> Option<&Entry> {
        self.states.get(key).and_then(|slot| slot.applied.as_ref())
    }

    /// Carries out what is due at `now`.
    pub fn run_timers(&mut self, now: Micros, budget: &mut ByteBudget, out: &mut Vec<DisseminationOutput>) {
        if now >= self.tick_at {
            self.tick_at = now + TICK_INTERVAL;
            if self.joining_until.is_some() && self.overlay.members().len() <= 1 {
                // There is nobody to ask yet.
                self.joining_until = Some(now + JOIN_TIMEOUT);
            }
            if self.joining_until.is_some_and(|until| now >= until) {
                self.finish_joining(now, out);
            }
            self.check_stale_logs(now, out);
            self.pull(now);
            self.send_due_reports(now, out);
        }
        self.flush(now, budget, out);
    }

    /// Handles a datagram.
    pub fn receive(
        &mut self,
        now: Micros,
        from: SocketAddr,
        data: &[u8],
        budget: &mut ByteBudget,
        out: &mut Vec<DisseminationOutput>,
    ) {
        match message::decode(self.cluster_hash, self.config.max_datagram_bytes, data) {
            Ok(message) => self.handle_message(now, from, message, out),
            Err(DecodeError::Oversized) => self.counters.oversized += 1,
            Err(DecodeError::Malformed) => self.counters.malformed += 1,
            Err(DecodeError::Foreign) => self.counters.foreign += 1,
            Err(DecodeError::LaterSchema) => self.counters.later_schema += 1,
        }
        self.flush(now, budget, out);
    }

    fn check_stale_logs(&mut self, now: Micros, out: &mut Vec<DisseminationOutput>) {
        let after = self.config.stale_after.as_micros() as Micros;
        for (&publisher, log) in &mut self.logs {
            if !log.stale && log.behind_since.is_some_and(|since| now >= since + after) {
                log.stale = true;
                let behind = log.highest.saturating_sub(log.delivered);
                out.push(DisseminationOutput::Stale { publisher, behind });
            }
        }
    }

    /// The subscriber's decision on a version that it was offered: accepted as a whole, or refused for a reason.
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
                    (0..=MAX_REASON_BYTES.min(reason.len())).rev().find(|&end| reason.is_char_boundary(end));
                reason.truncate(end.unwrap_or(0));
                Verdict::Refused(reason)
            }
        };
        let Some(slot) = self.states.decide(key, epoch, version, verdict) else { return };
        if slot.verdict == Verdict::Applied {
            let entry = slot.newest.clone();
            out.push(DisseminationOutput::StateApplied { publisher: key.publisher, entry });
        }
        self.report_states.entry(key.publisher).or_default().changed = true;
    }

    /// Publishers of which a log or a state is held.
    fn publishers(&self) -> BTreeSet<u64> {
        let state_publishers = self.states.iter().map(|(key, _)| key.publisher);
        self.logs.keys().copied().chain(state_publishers).collect()
    }

    /// What this node has applied of each of a publisher's channels.
    fn progress(&self, publisher: u64) -> Vec<(ChannelKey, OwnProgress)> {
        let mut found = Vec::new();
        if let Some(log) = self.logs.get(&publisher).filter(|log| log.base_known) {
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
