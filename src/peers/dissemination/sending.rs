//! Send queues, flushed as the byte budget allows: states first, then digests, reports and other control messages, then
//! the log, then repairs. Pushes are queued as sequences rather than as copies, so that entries which wait together
//! share a datagram.

use super::super::{ByteBudget, Micros, TrafficClass};
use super::message::{encode, Entry, LogPosition, Message};
use super::state::StateKey;
use super::{Dissemination, DisseminationOutput};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Limit on sequences queued for one child.
const MAX_PUSHES_PER_CHILD: usize = 2_048;
/// Limit on queued digests, reports and other control messages.
const MAX_CONTROL_MESSAGES: usize = 512;
/// Limit on queued pushes of states.
const MAX_STATE_PUSHES: usize = 512;
/// Limit on nodes that wait for a repair.
const MAX_REPAIRS: usize = 64;
/// Limit on entries sent for one digest: the next digest lists what is still missing.
const MAX_ENTRIES_PER_REPAIR: usize = 64;
/// Interval between two copies of a state.
const STATE_COPY_INTERVAL: Micros = 150_000;
/// Number of states whose versions are sent along with a push of entries.
const MAX_STATES_PER_PUSH: usize = 2;
/// Largest encoded size of a message's fields beside its entries.
const MAX_HEADER_BYTES: usize = 84;
/// Shortest time before a send that the budget refused is tried again.
const MIN_RETRY_DELAY: Micros = 2_000;

#[derive(Clone, Copy, Debug)]
struct StatePush {
    to: SocketAddr,
    key: StateKey,
    send_at: Micros,
    copies_left: u32,
    /// Whether a copy was sent already.
    is_repeat: bool,
}

impl StatePush {
    /// The first copy takes precedence over entries. Repeated copies, which only make up for losses, use budget that
    /// entries leave.
    fn class(&self) -> TrafficClass {
        if self.is_repeat {
            TrafficClass::Repair
        } else {
            TrafficClass::Configuration
        }
    }
}

#[derive(Clone, Debug)]
struct Repair {
    position: LogPosition,
    /// Entries received later than this are on their way in any case.
    cutoff: Micros,
    entries_sent: usize,
}

/// Messages that wait to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    control: VecDeque<(TrafficClass, SocketAddr, Message)>,
    states: VecDeque<StatePush>,
    pushes: BTreeMap<(u64, SocketAddr), VecDeque<u64>>,
    repairs: BTreeMap<(SocketAddr, u64), Repair>,
    /// When the budget allows the next send.
    pub retry_at: Option<Micros>,
    /// Position in the round-robin over children.
    next_child: usize,
    abandoned: u64,
}

impl Outbox {
    /// Queues a message that fits into one datagram. Over the limit the oldest is dropped, as all of them are repeated
    /// by timers.
    pub fn queue_control(&mut self, class: TrafficClass, to: SocketAddr, message: Message) {
        if self.control.len() >= MAX_CONTROL_MESSAGES {
            self.control.pop_front();
            self.abandoned += 1;
        }
        self.control.push_back((class, to, message));
    }

    /// Queues a version of a state for a node, in this number of copies.
    pub fn queue_state(&mut self, now: Micros, to: SocketAddr, key: StateKey, copies: u32) {
        if self
            .states
            .iter()
            .any(|push| (push.to, push.key) == (to, key) && push.copies_left >= copies && push.send_at <= now)
        {
            return;
        }
        if self.states.len() >= MAX_STATE_PUSHES {
            self.states.pop_front();
            self.abandoned += 1;
        }
        self.states.push_back(StatePush { to, key, send_at: now, copies_left: copies, is_repeat: false });
    }

    /// Queues an entry for a child. Returns how many others were dropped for it.
    pub fn queue_entry(&mut self, publisher: u64, to: SocketAddr, sequence: u64) -> u64 {
        let waiting = self.pushes.entry((publisher, to)).or_default();
        waiting.push_back(sequence);
        if waiting.len() <= MAX_PUSHES_PER_CHILD {
            return 0;
        }
        waiting.pop_front();
        1
    }

    /// Whether entries wait for byte budget.
    pub fn has_pending_pushes(&self) -> bool {
        self.pushes.values().any(|waiting| !waiting.is_empty())
    }

    /// A node has all entries up to `delivered`: drops queued pushes of them.
    pub fn drop_pushes_through(&mut self, publisher: u64, node: SocketAddr, delivered: u64) {
        if let Some(waiting) = self.pushes.get_mut(&(publisher, node)) {
            waiting.retain(|&sequence| sequence > delivered);
        }
    }

    /// A node has the newest version of a state: drops its remaining copies.
    pub fn drop_state_pushes(&mut self, node: SocketAddr, key: StateKey) {
        self.states.retain(|push| (push.to, push.key) != (node, key));
    }

    /// Queues a repair for the position in a node's digest, in place of an earlier one. Returns 1 if the limit was reached
    /// and the repair was dropped, otherwise 0.
    pub fn queue_repair(&mut self, to: SocketAddr, position: LogPosition, cutoff: Micros) -> u64 {
        let key = (to, position.publisher);
        if self.repairs.len() >= MAX_REPAIRS && !self.repairs.contains_key(&key) {
            return 1;
        }
        self.repairs.insert(key, Repair { position, cutoff, entries_sent: 0 });
        0
    }

    /// Drops everything queued for a publisher's log: after a change of epoch it may be void.
    pub fn discard_log(&mut self, publisher: u64) {
        self.pushes.retain(|key, _| key.0 != publisher);
        self.repairs.retain(|key, _| key.1 != publisher);
    }

    /// Drops everything queued for a node that was removed. Returns the number of entries dropped.
    pub fn discard_node(&mut self, node: SocketAddr) -> u64 {
        let discarded = self
            .pushes
            .iter()
            .filter(|(key, _)| key.1 == node)
            .map(|(_, waiting)| waiting.len())
            .sum::<usize>();
        self.pushes.retain(|key, _| key.1 != node);
        self.states.retain(|push| push.to != node);
        self.repairs.retain(|key, _| key.0 != node);
        discarded as u64
    }

    fn queued(&self) -> usize {
        let pushes = self.pushes.values().filter(|waiting| !waiting.is_empty()).count();
        self.control.len() + self.states.len() + pushes + self.repairs.len()
    }

    fn schedule_retry(&mut self, at: Micros) {
        self.retry_at = Some(self.retry_at.map_or(at, |retry| retry.min(at)));
    }
}

impl Dissemination {
    /// Sends what is queued, as far as the budget allows.
    pub fn flush(&mut self, now: Micros, budget: &mut ByteBudget, out: &mut Vec<DisseminationOutput>) {
        self.outbox.retry_at = None;
        self.flush_states(now, budget, out);
        self.flush_control(now, budget, out);
        self.flush_pushes(now, budget, out);
        self.flush_repairs(now, budget, out);
        self.counters.abandoned += std::mem::take(&mut self.outbox.abandoned);
        self.counters.max_queued = self.counters.max_queued.max(self.outbox.queued() as u64);
    }

    fn flush_states(&mut self, now: Micros, budget: &mut ByteBudget, out: &mut Vec<DisseminationOutput>) {
        let waiting = std::mem::take(&mut self.outbox.states);
        for mut push in waiting {
            let Some(slot) = self.states.get(push.key) else { continue };
            if push.send_at > now {
                self.outbox.schedule_retry(push.send_at);
                self.outbox.states.push_back(push);
                continue;
            }
            let message = Message::State { publisher: push.key.publisher, entry: slot.newest.clone() };
            if self.send(now, budget, push.class(), push.to, &message, out) {
                push.copies_left -= 1;
                push.is_repeat = true;
                push.send_at = now + STATE_COPY_INTERVAL;
            }
            if push.copies_left > 0 {
                self.outbox.states.push_back(push);
            }
        }
    }

    fn flush_control(&mut self, now: Micros, budget: &mut ByteBudget, out: &mut Vec<DisseminationOutput>) {
        while let Some((class, to, message)) = self.outbox.control.pop_front() {
            if !self.send(now, budget, class, to, &message, out) {
                self.outbox.control.push_front((class, to, message));
                return;
            }
        }
    }

    /// Sends one datagram to each child in turn, until nothing is queued or the budget is used up.
    fn flush_pushes(&mut self, now: Micros, budget: &mut ByteBudget, out: &mut Vec<DisseminationOutput>) {
        self.outbox.pushes.retain(|_, waiting| !waiting.is_empty());
        let keys: Vec<(u64, SocketAddr)> = self.outbox.pushes.keys().copied().collect();
        if keys.is_empty() {
            return;
        }
        let mut idle = 0;
        while idle < keys.len() {
            let key = keys[self.outbox.next_child % keys.len()];
            match self.push_next_datagram(now, budget, key, out) {
                Some(true) => idle = 0,
                Some(false) => idle += 1,
                None => return,
            }
            self.outbox.next_child = self.outbox.next_child.wrapping_add(1);
        }
    }

    /// Whether there was something to push to this child; `None` if the budget is used up.
    fn push_next_datagram(
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
        states.truncate(MAX_STATES_PER_PUSH);
        let max_bytes = self.config.max_datagram_bytes - MAX_HEADER_BYTES;
        let cross_region = self.overlay.member_at(to).is_some_and(|child| !child.shares_region(&self.me));
        // Between regions the previous entry is repeated along with the next one, in case it was lost. It is charged as a
        // repair, so that it takes no budget from entries sent for the first time.
        let affordable =
            |entry: &&Entry| budget.time_until_available(now, TrafficClass::Repair, entry.size()) == Some(0);
        let repeated =
            waiting.front().filter(|_| cross_region).and_then(|&first| log.recent_before(now, first));
        let repeated = repeated.filter(affordable);
        let (mut taken, mut size, mut entries) = (0, 0, Vec::new());
        if let Some(repeated) = repeated {
            size += repeated.size();
            entries.push(repeated.clone());
        }
        for &sequence in waiting {
            // An entry that is no longer held is skipped; the child gets a [`Message::Skip`] later.
            if let Some(held) = log.get(sequence) {
                size += held.entry.size();
                if size > max_bytes {
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
                match self.repair_next_datagram(now, budget, key.0, &mut repair, out) {
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

    /// Whether there may be more to repair at this node; `None` if the budget is used up.
    fn repair_next_datagram(
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
        if let Some(through) = log.skip_target(&repair.position) {
            let skip = Message::Skip { publisher, epoch, first, through };
            if !self.send(now, budget, TrafficClass::Repair, to, &skip, out) {
                return None;
            }
            repair.position.delivered = through;
            return Some(true);
        }
        let entries = next_repair_entries(log, repair, self.config.max_datagram_bytes - MAX_HEADER_BYTES);
        let Some(last) = entries.last().map(|entry| entry.sequence) else { return Some(false) };
        let count = entries.len();
        let message = Message::Entries { publisher, epoch, first, entries, states: Vec::new() };
        if !self.send(now, budget, TrafficClass::Repair, to, &message, out) {
            return None;
        }
        self.counters.repaired += count as u64;
        repair.entries_sent += count;
        repair.position.delivered = last;
        Some(true)
    }

    /// Sends one datagram if the budget allows it now.
    fn send(
        &mut self,
        now: Micros,
        budget: &mut ByteBudget,
        class: TrafficClass,
        to: SocketAddr,
        message: &Message,
        out: &mut Vec<DisseminationOutput>,
    ) -> bool {
        let data = encode(self.cluster_hash, message);
        if data.len() > self.config.max_datagram_bytes {
            self.counters.oversized += 1;
            return true;
        }
        let cost = data.len() + self.config.overhead_bytes;
        if !budget.try_take(now, class, cost) {
            let wait = budget.time_until_available(now, class, cost).unwrap_or(MIN_RETRY_DELAY);
            self.outbox.schedule_retry(now + wait.max(MIN_RETRY_DELAY));
            return false;
        }
        out.push(DisseminationOutput::Send { to, data });
        true
    }
}

/// The next entries of a repair, as many as fit into a datagram.
fn next_repair_entries(log: &super::log::Log, repair: &Repair, max_bytes: usize) -> Vec<Entry> {
    let (mut size, mut entries) = (0, Vec::new());
    if repair.entries_sent >= MAX_ENTRIES_PER_REPAIR {
        return entries;
    }
    for held in log.missing_at(&repair.position) {
        if held.received_at > repair.cutoff {
            continue;
        }
        size += held.entry.size();
        if size > max_bytes {
            break;
        }
        entries.push(held.entry.clone());
    }
    entries
}
