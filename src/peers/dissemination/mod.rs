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
mod publishing;
mod sending;

pub use message::{Entry, Line, RefusedBy, LARGEST_PAYLOAD};
pub use overlay::{hash_name, Member};
pub use publishing::PublishError;
pub use state::StateKey;

use super::{ByteBudget, Micros, TrafficClass};
use acknowledgement::{LineKey, OwnProgress, Reports, LONGEST_REASON};
use asking::Asking;
use log::{Inserted, Log};
use message::{Message, Unreadable};
use overlay::Overlay;
use publishing::Publishing;
use sending::Outbox;
use state::{States, Verdict};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Publishers whose logs are held: 8 logs of 512 KiB are 4 MiB at the most. The plan sets 6 control machines aside.
const MOST_PUBLISHERS: usize = 8;
/// Each node looks this often at what is missing and what is to be reported: a quarter of the shortest wait below.
const TICK: Micros = 50_000;
/// A version of a state is sent so often along each link: a change of state is rare, and at 5% loss one in 8,000 is left
/// to repair.
const STATE_COPIES: u32 = 3;
/// A node that joins waits for a word on where logs stand for so long, then takes itself for one of the first.
const JOINING: Micros = 2_000_000;

/// How a node takes part in dissemination.
#[derive(Clone, Debug, PartialEq)]
pub struct DisseminationConfig {
    /// Messages of another cluster are dropped.
    pub cluster: String,
    /// Datagrams are no longer than this.
    pub largest_datagram: usize,
    /// What each datagram costs beside its own bytes, where it is sent in an envelope.
    pub overhead: usize,
    /// What a node may send for control in a second, membership included. Who drives the core keeps to it.
    pub control_bytes_per_second: u32,
    /// A publisher is told who has not applied an entry after this time. Entries are applied within 2.4 s; a node that
    /// lags is named by the one above it after 4 s, and that word takes up to 2 s more up the tree.
    pub acknowledge_within: Duration,
    /// A log that has been behind for so long is told to be stale, and takes a snapshot where entries are gone.
    pub stale_after: Duration,
}

impl Default for DisseminationConfig {
    fn default() -> Self {
        Self {
            cluster: "walkpick".to_owned(),
            largest_datagram: 1_136,
            overhead: 60,
            control_bytes_per_second: 16_384,
            acknowledge_within: Duration::from_secs(6),
            stale_after: Duration::from_secs(10),
        }
    }
}

/// What dissemination wants done, or tells.
#[derive(Clone, Debug, PartialEq)]
pub enum DisseminationOutput {
    /// Send a datagram.
    Send {
        /// To.
        to: SocketAddr,
        /// Its bytes.
        data: Vec<u8>,
    },
    /// An entry for the subscriber: the next one of its publisher, in order, once.
    Deliver {
        /// The publisher's key.
        publisher: u64,
        /// The entry.
        entry: Entry,
    },
    /// The subscriber gets none of this publisher's entries up to `through`: it joined later, or was away for longer
    /// than they are kept.
    LogReset {
        /// The publisher's key.
        publisher: u64,
        /// The last one that was delivered.
        after: u64,
        /// The last one that is left out.
        through: u64,
    },
    /// A publisher goes on under a later epoch, from `first`.
    EpochChanged {
        /// The publisher's key.
        publisher: u64,
        /// The epoch.
        epoch: u64,
        /// The first sequence of it.
        first: u64,
    },
    /// A version of a state has come. The subscriber answers by [`Dissemination::decide_state`].
    StateOffered {
        /// The publisher's key.
        publisher: u64,
        /// The version.
        entry: Entry,
    },
    /// A version of a state is in force.
    StateInForce {
        /// The publisher's key.
        publisher: u64,
        /// The version.
        entry: Entry,
    },
    /// To the publisher: nodes that refused a version.
    Refused {
        /// The kind of the state.
        kind: u16,
        /// Who, which version, why.
        by: RefusedBy,
    },
    /// To the publisher: all present nodes have applied this.
    Acknowledged {
        /// Its log or state.
        line: Line,
        /// The entry or version.
        sequence: u64,
        /// The time from publishing it to this word.
        after: Micros,
        /// How many nodes.
        nodes: u32,
    },
    /// To the publisher: within the bound not all present nodes have said that they applied this.
    Unacknowledged {
        /// Its log or state.
        line: Line,
        /// The entry or version.
        sequence: u64,
        /// How many nodes have said so.
        nodes: u32,
        /// Keys of those that have not, as far as they are named.
        lacking: Vec<u64>,
        /// How many more there are.
        unnamed: u32,
    },
    /// This node has been behind in a log for longer than the bound.
    Stale {
        /// The publisher's key.
        publisher: u64,
        /// How many entries it lacks, as far as it knows.
        behind: u64,
    },
    /// To a publisher: another one goes on under this later epoch; it must not publish any more.
    Fenced {
        /// The epoch in force.
        epoch: u64,
    },
}

/// What was dropped or given up, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct DisseminationCounters {
    /// Datagrams that are no messages.
    pub malformed: u64,
    /// Datagrams or entries that are too long.
    pub oversized: u64,
    /// Datagrams of another cluster.
    pub foreign: u64,
    /// Datagrams of a later schema.
    pub later_schema: u64,
    /// Entries that came again.
    pub duplicates: u64,
    /// Entries of an epoch that is over.
    pub fenced: u64,
    /// Entries too far ahead, or of publishers over the bound.
    pub refused: u64,
    /// Pushes, answers and reports that were given up because too much waited; what they held is asked for again.
    pub given_up: u64,
    /// Entries that were sent again.
    pub repaired: u64,
    /// The most datagrams' worth of messages that waited for the budget.
    pub most_waiting: u64,
}

impl DisseminationCounters {
    /// Adds another node's; of what waited the larger counts.
    pub fn add(&mut self, other: &Self) {
        self.malformed += other.malformed;
        self.oversized += other.oversized;
        self.foreign += other.foreign;
        self.later_schema += other.later_schema;
        self.duplicates += other.duplicates;
        self.fenced += other.fenced;
        self.refused += other.refused;
        self.given_up += other.given_up;
        self.repaired += other.repaired;
        self.most_waiting = self.most_waiting.max(other.most_waiting);
    }
}

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
    reporting: BTreeMap<u64, asking::Reporting>,
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

    /// A life of a member is gone.
    pub fn member_gone(&mut self, member: &Member) {
        if self.overlay.remove(member) {
            self.counters.given_up += self.outbox.forget_node(member.address);
            self.reports.forget(member.address);
        }
    }

    /// This node has come back as another life, after others had declared it gone.
    pub fn renewed(&mut self, me: Member) {
        self.me = me;
        self.overlay.renew(me);
    }

    /// This node, as others know it.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// When it wants to be called next.
    pub fn next(&self) -> Micros {
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
    pub fn delivered(&self, publisher: u64) -> Option<u64> {
        self.logs.get(&publisher).filter(|log| log.based).map(|log| log.delivered)
    }

    /// The version of a state that is in force here.
    pub fn in_force(&self, key: StateKey) -> Option<&Entry> {
        self.states.get(key).and_then(|slot| slot.in_force.as_ref())
    }

    /// Time has come for what is due.
    pub fn timers(&mut self, now: Micros, budget: &mut ByteBudget, out: &mut Vec<DisseminationOutput>) {
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
        match message::decode(self.cluster, self.config.largest_datagram, data) {
            Ok(message) => self.handle(now, from, message, out),
            Err(Unreadable::Oversized) => self.counters.oversized += 1,
            Err(Unreadable::Malformed) => self.counters.malformed += 1,
            Err(Unreadable::Foreign) => self.counters.foreign += 1,
            Err(Unreadable::LaterSchema) => self.counters.later_schema += 1,
        }
        self.flush(now, budget, out);
    }

    fn handle(
        &mut self,
        now: Micros,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<DisseminationOutput>,
    ) {
        match message {
            Message::Entries { publisher, epoch, first, entries, states } => {
                if self.goes_by(now, from, publisher, epoch, first, out) {
                    self.take_entries(now, from, publisher, entries, out);
                    self.ask_for_states(now, from, publisher, &states);
                }
            }
            Message::State { publisher, entry } => self.take_state(now, from, publisher, &entry, out),
            Message::Positions { logs, states, complete, hops, joining } => {
                let asked = asking::Asked { logs, states, complete, hops };
                self.answer(now, from, asked, out);
                if joining && self.joining.is_none() {
                    let logs = self.logs.iter().filter(|(_, log)| log.based);
                    let logs = logs.map(|(&key, log)| log.position(key)).collect();
                    self.outbox.small(TrafficClass::Log, from, Message::Welcome { logs });
                }
            }
            Message::Welcome { logs } => self.welcome(now, logs, out),
            Message::Skip { publisher, epoch, first, through } => {
                if self.goes_by(now, from, publisher, epoch, first, out) {
                    self.skip(now, publisher, through, out);
                }
            }
            Message::Reports(reports) => self.take_reports(now, from, reports),
            Message::Confirm { publisher } => {
                let parent = self.overlay.branch(publisher).ancestors().next();
                if parent.is_some_and(|parent| parent.address == from) {
                    self.reporting.entry(publisher).or_default().unconfirmed = 0;
                } else if let Some(reporting) = self.reporting.get_mut(&publisher) {
                    reporting.confirmed_above();
                }
            }
            Message::Fenced { publisher, epoch, first } => {
                if self.logs.contains_key(&publisher) {
                    self.goes_by(now, from, publisher, epoch, first, out);
                }
            }
        }
    }

    /// Notes that somebody goes by this epoch of a publisher; whether there is a log of it here. Who goes by an earlier
    /// one is told, and what it sends is still looked at: entries from before the change are good.
    fn goes_by(
        &mut self,
        now: Micros,
        from: SocketAddr,
        publisher: u64,
        epoch: u64,
        first: u64,
        out: &mut Vec<DisseminationOutput>,
    ) -> bool {
        if first == 0 {
            self.counters.malformed += 1;
            return false;
        }
        if !self.logs.contains_key(&publisher) {
            if self.logs.len() >= MOST_PUBLISHERS {
                self.counters.refused += 1;
                return false;
            }
            // A node that was there before this publisher follows it from its first entry on.
            let based = self.joining.is_none();
            self.logs.insert(publisher, Log::new(now, epoch, first, first - 1, based));
            if based && first > 1 {
                out.push(DisseminationOutput::LogReset { publisher, after: 0, through: first - 1 });
            }
            return true;
        }
        let Some(log) = self.logs.get_mut(&publisher) else { return false };
        let known = log.epoch();
        if epoch > known {
            log.adopt(now, epoch, first);
            out.push(DisseminationOutput::EpochChanged { publisher, epoch, first });
            self.outbox.forget_log(publisher);
            self.fence(publisher, epoch, out);
        } else if epoch < known {
            let fenced = Message::Fenced { publisher, epoch: known, first: log.first() };
            self.outbox.small(TrafficClass::Log, from, fenced);
        }
        true
    }

    fn take_entries(
        &mut self,
        now: Micros,
        from: SocketAddr,
        publisher: u64,
        entries: Vec<Entry>,
        out: &mut Vec<DisseminationOutput>,
    ) {
        let branch = self.overlay.branch(publisher);
        let from_parent = branch.ancestors().next().is_some_and(|parent| parent.address == from);
        let children: Vec<SocketAddr> =
            branch.children().map(|child| child.address).filter(|address| *address != from).collect();
        let Some(log) = self.logs.get_mut(&publisher) else { return };
        let mut useful = false;
        for entry in entries {
            if !entry.fits() {
                self.counters.oversized += 1;
                continue;
            }
            let sequence = entry.sequence;
            match log.insert(now, entry) {
                Inserted::New => {
                    useful = true;
                    for child in &children {
                        self.counters.given_up += self.outbox.push_entry(publisher, *child, sequence);
                    }
                }
                Inserted::Duplicate => self.counters.duplicates += 1,
                Inserted::Fenced => self.counters.fenced += 1,
                Inserted::TooFar => self.counters.refused += 1,
            }
        }
        let asking = self.asking.entry(publisher).or_insert_with(|| Asking::new(now));
        asking.heard(now, from, from_parent, useful);
        self.deliver(now, publisher, out);
    }

    fn deliver(&mut self, now: Micros, publisher: u64, out: &mut Vec<DisseminationOutput>) {
        let Some(log) = self.logs.get_mut(&publisher) else { return };
        while let Some(entry) = log.deliver(now) {
            self.reporting.entry(publisher).or_default().changed = true;
            out.push(DisseminationOutput::Deliver { publisher, entry });
        }
    }

    fn skip(&mut self, now: Micros, publisher: u64, through: u64, out: &mut Vec<DisseminationOutput>) {
        let Some(log) = self.logs.get_mut(&publisher) else { return };
        if log.based && through > log.delivered {
            out.push(DisseminationOutput::LogReset { publisher, after: log.delivered, through });
            log.skip(now, through);
            self.deliver(now, publisher, out);
        }
    }

    /// A node that has just started is told where logs stand: it begins there.
    fn welcome(&mut self, now: Micros, logs: Vec<message::LogPosition>, out: &mut Vec<DisseminationOutput>) {
        if self.joining.is_none() {
            return;
        }
        for position in logs {
            let publisher = position.publisher;
            if position.first == 0
                || self.logs.len() >= MOST_PUBLISHERS && !self.logs.contains_key(&publisher)
            {
                continue;
            }
            let base = position.delivered;
            let (epoch, first) = (position.epoch, position.first);
            let log = self.logs.entry(publisher).or_insert_with(|| Log::new(now, epoch, first, base, false));
            log.adopt(now, epoch, first);
            if !log.based {
                log.skip(now, base);
                out.push(DisseminationOutput::LogReset { publisher, after: 0, through: base });
                self.deliver(now, publisher, out);
            }
        }
        self.joined(now, out);
    }

    /// It is one of those that are there: publishers that it hears of from now on it follows from their beginning.
    fn joined(&mut self, now: Micros, out: &mut Vec<DisseminationOutput>) {
        self.joining = None;
        let waiting: Vec<u64> =
            self.logs.iter().filter(|(_, log)| !log.based).map(|(&publisher, _)| publisher).collect();
        for publisher in waiting {
            let Some(log) = self.logs.get_mut(&publisher) else { continue };
            log.based = true;
            log.delivered = log.first() - 1;
            if log.delivered > 0 {
                out.push(DisseminationOutput::LogReset { publisher, after: 0, through: log.delivered });
            }
            self.deliver(now, publisher, out);
        }
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

    fn take_state(
        &mut self,
        now: Micros,
        from: SocketAddr,
        publisher: u64,
        entry: &Entry,
        out: &mut Vec<DisseminationOutput>,
    ) {
        if !entry.fits() {
            self.counters.oversized += 1;
            return;
        }
        let key = StateKey { publisher, kind: entry.kind };
        if !self.states.offer(now, key, entry) {
            self.counters.duplicates += 1;
            let known = self.logs.get(&publisher).filter(|log| entry.epoch < log.epoch());
            if let Some(log) = known {
                let fenced = Message::Fenced { publisher, epoch: log.epoch(), first: log.first() };
                self.outbox.small(TrafficClass::Log, from, fenced);
            }
            return;
        }
        for child in self.overlay.branch(publisher).children().filter(|child| child.address != from) {
            self.outbox.push_state(now, child.address, key, STATE_COPIES);
        }
        out.push(DisseminationOutput::StateOffered { publisher, entry: entry.clone() });
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
            Ok(()) => Verdict::InForce,
            Err(mut reason) => {
                let end =
                    (0..=LONGEST_REASON.min(reason.len())).rev().find(|&end| reason.is_char_boundary(end));
                reason.truncate(end.unwrap_or(0));
                Verdict::Refused(reason)
            }
        };
        let Some(slot) = self.states.decide(key, epoch, version, verdict) else { return };
        if slot.verdict == Verdict::InForce {
            let entry = slot.newest.clone();
            out.push(DisseminationOutput::StateInForce { publisher: key.publisher, entry });
        }
        self.reporting.entry(key.publisher).or_default().changed = true;
    }

    /// What this node has applied of each line of a publisher.
    fn progress(&self, publisher: u64) -> Vec<(LineKey, OwnProgress)> {
        let mut found = Vec::new();
        if let Some(log) = self.logs.get(&publisher).filter(|log| log.based) {
            let own = OwnProgress { epoch: log.epoch(), through: log.delivered, refused: None };
            found.push((LineKey { publisher, line: Line::Log }, own));
        }
        for (key, slot) in self.states.iter().filter(|(key, _)| key.publisher == publisher) {
            let refused = match &slot.verdict {
                Verdict::Open => continue,
                Verdict::InForce => None,
                Verdict::Refused(reason) => Some(reason.clone()),
            };
            let own = OwnProgress { epoch: slot.newest.epoch, through: slot.newest.sequence, refused };
            found.push((LineKey { publisher, line: Line::State(key.kind) }, own));
        }
        found
    }
}

#[cfg(test)]
mod tests;
