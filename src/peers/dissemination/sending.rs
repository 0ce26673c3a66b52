//! What waits to be sent, and sending it as the budget allows: states, then questions and reports, then the log, then what
//! is sent again. Pushes wait as sequences, not as copies, so that what waits together goes together.

use super::super::{ByteBudget, Micros, TrafficClass};
use super::message::{encode, Entry, LogPosition, Message};
use super::state::StateKey;
use super::{Dissemination, DisseminationOutput};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Sequences that wait for one child.
const MOST_PUSHES: usize = 2_048;
/// Questions, reports and words that wait.
const MOST_SMALL: usize = 512;
/// States that wait.
const MOST_STATES: usize = 512;
/// Nodes that wait for an answer.
const MOST_REPAIRS: usize = 64;
/// Entries of one answer: the next question tells what is still missing.
const MOST_ANSWERED: usize = 64;
/// Between two copies of a state.
const NEXT_COPY: Micros = 150_000;
/// States whose versions are told along with a push.
const MOST_TOLD: usize = 2;
/// A message's fields beside its entries, at the most.
const HEADER: usize = 84;
/// The budget is asked again no sooner than this.
const LEAST_RETRY: Micros = 2_000;

#[derive(Clone, Copy, Debug)]
struct StatePush {
    to: SocketAddr,
    key: StateKey,
    at: Micros,
    copies: u32,
    /// Whether one was sent already.
    repeats: bool,
}

impl StatePush {
    /// The first copy goes before entries; those that make up for a lost one take what these leave.
    fn class(&self) -> TrafficClass {
        if self.repeats {
            TrafficClass::Repair
        } else {
            TrafficClass::Configuration
        }
    }
}

#[derive(Clone, Debug)]
struct Repair {
    position: LogPosition,
    /// What came later than this is on its way in any case.
    grown_before: Micros,
    sent: usize,
}

/// What waits to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    small: VecDeque<(TrafficClass, SocketAddr, Message)>,
    states: VecDeque<StatePush>,
    pushes: BTreeMap<(u64, SocketAddr), VecDeque<u64>>,
    repairs: BTreeMap<(SocketAddr, u64), Repair>,
    /// When the budget allows more.
    pub retry_at: Option<Micros>,
    /// Where the round of children goes on.
    turn: usize,
    abandoned: u64,
}

impl Outbox {
    /// A word that fits into one datagram. Over the bound the oldest gives way: each is repeated by a timer.
    pub fn small(&mut self, class: TrafficClass, to: SocketAddr, message: Message) {
        if self.small.len() >= MOST_SMALL {
            self.small.pop_front();
            self.abandoned += 1;
        }
        self.small.push_back((class, to, message));
    }

    /// A version of a state for a node, in so many copies.
    pub fn push_state(&mut self, now: Micros, to: SocketAddr, key: StateKey, copies: u32) {
        if self
            .states
            .iter()
            .any(|push| (push.to, push.key) == (to, key) && push.copies >= copies && push.at <= now)
        {
            return;
        }
        if self.states.len() >= MOST_STATES {
            self.states.pop_front();
            self.abandoned += 1;
        }
        self.states.push_back(StatePush { to, key, at: now, copies, repeats: false });
    }

    /// An entry for a child; how many others were given up for it.
    pub fn push_entry(&mut self, publisher: u64, to: SocketAddr, sequence: u64) -> u64 {
        let waiting = self.pushes.entry((publisher, to)).or_default();
        waiting.push_back(sequence);
        if waiting.len() <= MOST_PUSHES {
            return 0;
        }
        waiting.pop_front();
        1
    }

    /// Whether entries wait for the budget.
    pub fn pushes_wait(&self) -> bool {
        self.pushes.values().any(|waiting| !waiting.is_empty())
    }

    /// A node has all up to this entry.
    pub fn has(&mut self, publisher: u64, node: SocketAddr, delivered: u64) {
        if let Some(waiting) = self.pushes.get_mut(&(publisher, node)) {
            waiting.retain(|&sequence| sequence > delivered);
        }
    }

    /// A node has a version of a state: no more copies of it are for that node.
    pub fn has_state(&mut self, node: SocketAddr, key: StateKey) {
        self.states.retain(|push| (push.to, push.key) != (node, key));
    }

    /// A node asked: its last question counts. How many were given up for it.
    pub fn repair(&mut self, to: SocketAddr, position: LogPosition, grown_before: Micros) -> u64 {
        let key = (to, position.publisher);
        if self.repairs.len() >= MOST_REPAIRS && !self.repairs.contains_key(&key) {
            return 1;
        }
        self.repairs.insert(key, Repair { position, grown_before, sent: 0 });
        0
    }

    /// A publisher's log has changed its epoch: what waits of it may be void.
    pub fn forget_log(&mut self, publisher: u64) {
        self.pushes.retain(|key, _| key.0 != publisher);
        self.repairs.retain(|key, _| key.1 != publisher);
    }

    /// A node is gone; how many pushes to it are given up.
    pub fn forget_node(&mut self, node: SocketAddr) -> u64 {
        let lost = self
            .pushes
            .iter()
            .filter(|(key, _)| key.1 == node)
            .map(|(_, waiting)| waiting.len())
            .sum::<usize>();
        self.pushes.retain(|key, _| key.1 != node);
        self.states.retain(|push| push.to != node);
        self.repairs.retain(|key, _| key.0 != node);
        lost as u64
    }

    fn waiting(&self) -> usize {
        let pushes = self.pushes.values().filter(|waiting| !waiting.is_empty()).count();
        self.small.len() + self.states.len() + pushes + self.repairs.len()
    }

    fn retry(&mut self, at: Micros) {
        self.retry_at = Some(self.retry_at.map_or(at, |retry| retry.min(at)));
    }
}

impl Dissemination {
    /// Sends what waits, as far as the budget allows.
    pub fn flush(&mut self, now: Micros, budget: &mut ByteBudget, out: &mut Vec<DisseminationOutput>) {
        self.outbox.retry_at = None;
        self.flush_states(now, budget, out);
        self.flush_small(now, budget, out);
        self.flush_pushes(now, budget, out);
        self.flush_repairs(now, budget, out);
        self.counters.abandoned += std::mem::take(&mut self.outbox.abandoned);
        self.counters.max_queued = self.counters.max_queued.max(self.outbox.waiting() as u64);
    }

    fn flush_states(&mut self, now: Micros, budget: &mut ByteBudget, out: &mut Vec<DisseminationOutput>) {
        let waiting = std::mem::take(&mut self.outbox.states);
        for mut push in waiting {
            let Some(slot) = self.states.get(push.key) else { continue };
            if push.at > now {
                self.outbox.retry(push.at);
                self.outbox.states.push_back(push);
                continue;
            }
            let message = Message::State { publisher: push.key.publisher, entry: slot.newest.clone() };
            if self.send(now, budget, push.class(), push.to, &message, out) {
                push.copies -= 1;
                push.repeats = true;
                push.at = now + NEXT_COPY;
            }
            if push.copies > 0 {
                self.outbox.states.push_back(push);
            }
        }
    }

    fn flush_small(&mut self, now: Micros, budget: &mut ByteBudget, out: &mut Vec<DisseminationOutput>) {
        while let Some((class, to, message)) = self.outbox.small.pop_front() {
            if !self.send(now, budget, class, to, &message, out) {
                self.outbox.small.push_front((class, to, message));
                return;
            }
        }
    }

    /// One datagram for each child in turn, until nothing waits or the budget is used up.
    fn flush_pushes(&mut self, now: Micros, budget: &mut ByteBudget, out: &mut Vec<DisseminationOutput>) {
        self.outbox.pushes.retain(|_, waiting| !waiting.is_empty());
        let keys: Vec<(u64, SocketAddr)> = self.outbox.pushes.keys().copied().collect();
        if keys.is_empty() {
            return;
        }
        let mut idle = 0;
        while idle < keys.len() {
            let key = keys[self.outbox.turn % keys.len()];
            match self.push_some(now, budget, key, out) {
                Some(true) => idle = 0,
                Some(false) => idle += 1,
                None => return,
            }
            self.outbox.turn = self.outbox.turn.wrapping_add(1);
        }
    }

    /// Whether there was something to push to this child; none where the budget is used up.
    fn push_some(
        &mut self,
        now: Micros,
        budget: &mut ByteBudget,
        key: (u64, SocketAddr),
        out: &mut Vec<DisseminationOutput>,
    ) -> Option<bool> {
        let (publisher, to) = key;
        let Some(log) = self.logs.get(&publisher) else { return Some(false) };
        let Some(waiting) = self.outbox.pushes.get(&key) else { return Some(false) };
        let mut states = self.states.positions_of(publisher);
        states.truncate(MOST_TOLD);
        let room = self.config.max_datagram_bytes - HEADER;
        let far = self.overlay.member_at(to).is_some_and(|child| !child.shares_region(&self.me));
        // What is sent twice is paid as what is sent again: not from what entries on their first way need.
        let spare =
            |entry: &&Entry| budget.time_until_available(now, TrafficClass::Repair, entry.size()) == Some(0);
        let repeated = waiting.front().filter(|_| far).and_then(|&first| log.recent_before(now, first));
        let repeated = repeated.filter(spare);
        let (mut taken, mut size, mut entries) = (0, 0, Vec::new());
        if let Some(repeated) = repeated {
            size += repeated.size();
            entries.push(repeated.clone());
        }
        for &sequence in waiting {
            // What is no longer held is left to a snapshot.
            if let Some(held) = log.get(sequence) {
                size += held.entry.size();
                if size > room {
                    break;
                }
                entries.push(held.entry.clone());
            }
            taken += 1;
        }
        let nothing_new = entries.len() == usize::from(repeated.is_some());
        let sent = nothing_new || {
            let (epoch, first) = (log.epoch(), log.first());
            let message = Message::Entries { publisher, epoch, first, entries, states };
            self.send(now, budget, TrafficClass::Log, to, &message, out)
        };
        if !sent {
            return None;
        }
        if let Some(waiting) = self.outbox.pushes.get_mut(&key) {
            waiting.drain(..taken);
        }
        Some(taken > 0)
    }

    fn flush_repairs(&mut self, now: Micros, budget: &mut ByteBudget, out: &mut Vec<DisseminationOutput>) {
        let keys: Vec<(SocketAddr, u64)> = self.outbox.repairs.keys().copied().collect();
        for key in keys {
            while let Some(mut repair) = self.outbox.repairs.remove(&key) {
                match self.repair_some(now, budget, key.0, &mut repair, out) {
                    Some(true) => {
                        self.outbox.repairs.insert(key, repair);
                    }
                    Some(false) => {}
                    None => {
                        self.outbox.repairs.insert(key, repair);
                        return;
                    }
                }
            }
        }
    }

    /// Whether there may be more to send again to this node; none where the budget is used up.
    fn repair_some(
        &mut self,
        now: Micros,
        budget: &mut ByteBudget,
        to: SocketAddr,
        repair: &mut Repair,
        out: &mut Vec<DisseminationOutput>,
    ) -> Option<bool> {
        let publisher = repair.position.publisher;
        let Some(log) = self.logs.get(&publisher) else { return Some(false) };
        let (epoch, first) = (log.epoch(), log.first());
        if let Some(through) = log.snapshot_for(&repair.position) {
            let skip = Message::Skip { publisher, epoch, first, through };
            if !self.send(now, budget, TrafficClass::Repair, to, &skip, out) {
                return None;
            }
            repair.position.delivered = through;
            return Some(true);
        }
        let entries = entries_for(log, repair, self.config.max_datagram_bytes - HEADER);
        let Some(last) = entries.last().map(|entry| entry.sequence) else { return Some(false) };
        let count = entries.len();
        let message = Message::Entries { publisher, epoch, first, entries, states: Vec::new() };
        if !self.send(now, budget, TrafficClass::Repair, to, &message, out) {
            return None;
        }
        self.counters.repaired += count as u64;
        repair.sent += count;
        repair.position.delivered = last;
        Some(true)
    }

    /// Sends one datagram, if the budget allows it now.
    fn send(
        &mut self,
        now: Micros,
        budget: &mut ByteBudget,
        class: TrafficClass,
        to: SocketAddr,
        message: &Message,
        out: &mut Vec<DisseminationOutput>,
    ) -> bool {
        let data = encode(self.cluster, message);
        if data.len() > self.config.max_datagram_bytes {
            self.counters.oversized += 1;
            return true;
        }
        let cost = data.len() + self.config.overhead_bytes;
        if !budget.try_take(now, class, cost) {
            let wait = budget.time_until_available(now, class, cost).unwrap_or(LEAST_RETRY);
            self.outbox.retry(now + wait.max(LEAST_RETRY));
            return false;
        }
        out.push(DisseminationOutput::Send { to, data });
        true
    }
}

/// The next entries for a node, as many as fit into a datagram.
fn entries_for(log: &super::log::Log, repair: &Repair, room: usize) -> Vec<Entry> {
    let (mut size, mut entries) = (0, Vec::new());
    if repair.sent >= MOST_ANSWERED {
        return entries;
    }
    for held in log.lacked_at(&repair.position) {
        if held.at > repair.grown_before {
            continue;
        }
        size += held.entry.size();
        if size > room {
            break;
        }
        entries.push(held.entry.clone());
    }
    entries
}
