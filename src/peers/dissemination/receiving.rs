//! What comes: messages of other nodes, their entries and states.

use super::super::{Micros, TrafficClass};
use super::asking::{self, Asking};
use super::log::{Inserted, Log};
use super::message::{Entry, Message};
use super::state::StateKey;
use super::{Dissemination, DisseminationOutput, MOST_PUBLISHERS, STATE_COPIES};
use std::net::SocketAddr;

impl Dissemination {
    pub(super) fn handle(
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
            Message::Digest { logs, states, complete, hops, joining } => {
                let asked = asking::Asked { logs, states, complete, hops };
                self.answer(now, from, asked, out);
                if joining && self.joining.is_none() {
                    let logs = self.logs.iter().filter(|(_, log)| log.based);
                    let logs = logs.map(|(&key, log)| log.position(key)).collect();
                    self.outbox.small(TrafficClass::Log, from, Message::JoinResponse { logs });
                }
            }
            Message::JoinResponse { logs } => self.welcome(now, logs, out),
            Message::Skip { publisher, epoch, first, through } => {
                if self.goes_by(now, from, publisher, epoch, first, out) {
                    self.skip(now, publisher, through, out);
                }
            }
            Message::Reports(reports) => self.take_reports(now, from, reports),
            Message::Confirm { publisher } => self.take_confirmation(now, from, publisher),
            Message::Fenced { publisher, epoch, first } => {
                if self.logs.contains_key(&publisher) {
                    self.goes_by(now, from, publisher, epoch, first, out);
                }
            }
        }
    }

    /// Notes that somebody goes by this epoch of a publisher; whether there is a log of it here. Who goes by an earlier
    /// one is told, and what it sends is still looked at: entries from before the change are good.
    pub(super) fn goes_by(
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

    pub(super) fn take_entries(
        &mut self,
        now: Micros,
        from: SocketAddr,
        publisher: u64,
        entries: Vec<Entry>,
        out: &mut Vec<DisseminationOutput>,
    ) {
        let branch = self.overlay.tree_view(publisher);
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
                        self.counters.abandoned += self.outbox.push_entry(publisher, *child, sequence);
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

    pub(super) fn deliver(&mut self, now: Micros, publisher: u64, out: &mut Vec<DisseminationOutput>) {
        let Some(log) = self.logs.get_mut(&publisher) else { return };
        while let Some(entry) = log.deliver(now) {
            self.reporting.entry(publisher).or_default().changed = true;
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
        if log.based && through > log.delivered {
            out.push(DisseminationOutput::LogReset { publisher, after: log.delivered, through });
            log.skip(now, through);
            self.deliver(now, publisher, out);
        }
    }

    pub(super) fn take_state(
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
        for child in self.overlay.tree_view(publisher).children().filter(|child| child.address != from) {
            self.outbox.push_state(now, child.address, key, STATE_COPIES);
        }
        out.push(DisseminationOutput::StateOffered { publisher, entry: entry.clone() });
    }
}
