//! Handling of messages from other nodes, and of their entries and states.

use super::super::{Micros, TrafficClass};
use super::anti_entropy::{self, PullState};
use super::log::{InsertOutcome, Log};
use super::message::{Entry, Message};
use super::state::StateKey;
use super::{Dissemination, DisseminationOutput, MAX_PUBLISHERS, STATE_COPIES};
use std::net::SocketAddr;

impl Dissemination {
    pub(super) fn handle_message(
        &mut self,
        now: Micros,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<DisseminationOutput>,
    ) {
        match message {
            Message::Entries { publisher, epoch, first, entries, states } => {
                if self.observe_epoch(now, from, publisher, epoch, first, out) {
                    self.handle_entries(now, from, publisher, entries, out);
                    self.pull_states(now, from, publisher, &states);
                }
            }
            Message::State { publisher, entry } => self.handle_state(now, from, publisher, &entry, out),
            Message::Digest { logs, states, complete, hops, joining } => {
                let asked = anti_entropy::ReceivedDigest { logs, states, complete, hops };
                self.handle_digest(now, from, asked, out);
                if joining && self.joining_until.is_none() {
                    let logs = self.logs.iter().filter(|(_, log)| log.base_known);
                    let logs = logs.map(|(&key, log)| log.position(key)).collect();
                    self.outbox.queue_control(TrafficClass::Log, from, Message::JoinResponse { logs });
                }
            }
            Message::JoinResponse { logs } => self.handle_join_response(now, logs, out),
            Message::Skip { publisher, epoch, first, through } => {
                if self.observe_epoch(now, from, publisher, epoch, first, out) {
                    self.skip(now, publisher, through, out);
                }
            }
            Message::Reports(reports) => self.handle_reports(now, from, reports),
            Message::Confirm { publisher } => self.handle_confirmation(now, from, publisher),
            Message::Fenced { publisher, epoch, first } => {
                if self.logs.contains_key(&publisher) {
                    self.observe_epoch(now, from, publisher, epoch, first, out);
                }
            }
        }
    }

    /// Records that another node follows this epoch of a publisher. Returns whether there is a log of the publisher
    /// here. A sender with an earlier epoch is notified; its message is still processed, as entries from before the
    /// epoch change are valid.
    pub(super) fn observe_epoch(
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
            if self.logs.len() >= MAX_PUBLISHERS {
                self.counters.refused += 1;
                return false;
            }
            // A node that joined before it learnt of this publisher follows it from its first entry.
            let base_known = self.joining_until.is_none();
            self.logs.insert(publisher, Log::new(now, epoch, first, first - 1, base_known));
            if base_known && first > 1 {
                out.push(DisseminationOutput::LogReset { publisher, after: 0, through: first - 1 });
            }
            return true;
        }
        let Some(log) = self.logs.get_mut(&publisher) else { return false };
        let known = log.epoch();
        if epoch > known {
            log.adopt_epoch(now, epoch, first);
            out.push(DisseminationOutput::EpochChanged { publisher, epoch, first });
            self.outbox.discard_log(publisher);
            self.fence(publisher, epoch, out);
        } else if epoch < known {
            let fenced = Message::Fenced { publisher, epoch: known, first: log.first() };
            self.outbox.queue_control(TrafficClass::Log, from, fenced);
        }
        true
    }

    pub(super) fn handle_entries(
        &mut self,
        now: Micros,
        from: SocketAddr,
        publisher: u64,
        entries: Vec<Entry>,
        out: &mut Vec<DisseminationOutput>,
    ) {
        let tree_view = self.overlay.tree_view(publisher);
        let from_parent = tree_view.ancestors().next().is_some_and(|parent| parent.address == from);
        let children: Vec<SocketAddr> =
            tree_view.children().map(|child| child.address).filter(|address| *address != from).collect();
        let Some(log) = self.logs.get_mut(&publisher) else { return };
        let mut any_new = false;
        for entry in entries {
            if !entry.fits() {
                self.counters.oversized += 1;
                continue;
            }
            let sequence = entry.sequence;
            match log.insert(now, entry) {
                InsertOutcome::New => {
                    any_new = true;
                    for child in &children {
                        self.counters.abandoned += self.outbox.queue_entry(publisher, *child, sequence);
                    }
                }
                InsertOutcome::Duplicate => self.counters.duplicates += 1,
                InsertOutcome::Fenced => self.counters.fenced += 1,
                InsertOutcome::TooFarAhead => self.counters.refused += 1,
            }
        }
        let pull = self.pulls.entry(publisher).or_insert_with(|| PullState::new(now));
        pull.entries_received(now, from, from_parent, any_new);
        self.deliver(now, publisher, out);
    }

    pub(super) fn deliver(&mut self, now: Micros, publisher: u64, out: &mut Vec<DisseminationOutput>) {
        let Some(log) = self.logs.get_mut(&publisher) else { return };
        while let Some(entry) = log.deliver(now) {
            self.report_states.entry(publisher).or_default().changed = true;
            out.push(DisseminationOutput::Deliver { publisher, entry });
        }
    }

    pub(super) fn skip(
        &mut self,
        now: Micros,
        publisher: u64,
        through: u64,
        out: &mut Vec<DisseminationOutput>,
    ) {
        let Some(log) = self.logs.get_mut(&publisher) else { return };
        if log.base_known && through > log.delivered {
            out.push(DisseminationOutput::LogReset { publisher, after: log.delivered, through });
            log.skip(now, through);
            self.deliver(now, publisher, out);
        }
    }

    pub(super) fn handle_state(
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
                self.outbox.queue_control(TrafficClass::Log, from, fenced);
            }
            return;
        }
        for child in self.overlay.tree_view(publisher).children().filter(|child| child.address != from) {
            self.outbox.queue_state(now, child.address, key, STATE_COPIES);
        }
        out.push(DisseminationOutput::StateOffered { publisher, entry: entry.clone() });
    }
}
