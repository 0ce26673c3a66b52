//! Reporting up the tree what a branch has applied, and taking the reports of the nodes below.

use super::super::{Micros, TrafficClass};
use super::acknowledgement::ChannelKey;
use super::message::{Channel, Message, Report};
use super::overlay::Member;
use super::state::StateKey;
use super::{Dissemination, DisseminationOutput};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Reports go up this often where something changed and no entry waits for the budget, and this often in any case.
const REPORT_EVERY: Micros = 150_000;
const REPEAT_REPORT: Micros = 1_000_000;
/// A node confirms the reports of one below it this often at the most: each report repeats all of the one before it.
const CONFIRM_EVERY: Micros = 300_000;
/// For so long a parent within the region, or in another one, may be without a word: a confirmation that waits its turn,
/// one round trip, and one confirmation lost. Then the node above it is told as well, and one more for each time as long.
const CONFIRMED_WITHIN_NEAR: Micros = 700_000;
const CONFIRMED_WITHIN_FAR: Micros = 1_100_000;
/// Nodes above the parent that are told at the most.
const MOST_ABOVE_PARENT: Micros = 4;
/// Nodes above the parent that are told while one of them confirms.
const ABOVE_PARENT_CONFIRMED: Micros = 2;
/// Nodes whose confirmations are remembered: more than a node has children.
const MOST_CONFIRMED: usize = 256;
/// A branch that has not said after this time that it applied what its parent has is named: 2.4 s to apply it, and 11
/// levels at which a report waits up to 150 ms.
pub const LAG: Micros = 4_000_000;

/// When this node reported on a publisher's lines.
#[derive(Clone, Debug, Default)]
pub struct Reporting {
    /// Something changed since the last report.
    pub changed: bool,
    sent_at: Micros,
    /// When the first report was sent that the parent has not confirmed.
    unconfirmed_since: Option<Micros>,
    /// What this node itself had applied, and when.
    history: BTreeMap<Channel, VecDeque<(Micros, u64)>>,
}

impl Reporting {
    /// The parent confirmed.
    pub fn confirmed(&mut self) {
        self.unconfirmed_since = None;
    }

    /// Somebody above the parent confirmed: there is no need to go on to those above.
    pub fn confirmed_above(&mut self, now: Micros, far: bool) {
        let enough = now.saturating_sub(ABOVE_PARENT_CONFIRMED * confirmed_within(far));
        self.unconfirmed_since = self.unconfirmed_since.map(|since| since.max(enough));
    }

    /// A report is sent now: how many of the nodes above are told.
    fn levels(&mut self, now: Micros, far: bool) -> usize {
        let since = *self.unconfirmed_since.get_or_insert(now);
        let above_parent = (now - since) / confirmed_within(far);
        1 + above_parent.min(MOST_ABOVE_PARENT) as usize
    }

    /// Notes what this node has applied; what it had [`LAG`] ago, which its branch is to have by now.
    fn note(&mut self, now: Micros, channel: Channel, through: u64) -> u64 {
        let history = self.history.entry(channel).or_default();
        if history.back().is_some_and(|last| last.1 > through) {
            history.clear();
        }
        if history.back().is_none_or(|last| last.1 != through) {
            history.push_back((now, through));
        }
        while history.get(1).is_some_and(|second| second.0 + LAG <= now) {
            history.pop_front();
        }
        history.front().filter(|first| first.0 + LAG <= now).map_or(0, |first| first.1)
    }
}

fn is_far(me: &Member, parent: Option<&Member>) -> bool {
    parent.is_some_and(|parent| !parent.shares_region(me))
}

fn confirmed_within(far: bool) -> Micros {
    if far {
        CONFIRMED_WITHIN_FAR
    } else {
        CONFIRMED_WITHIN_NEAR
    }
}

/// When the reports of nodes below were last confirmed.
#[derive(Clone, Debug, Default)]
pub struct Confirmations(BTreeMap<(u64, SocketAddr), Micros>);

impl Confirmations {
    /// Whether a node's report on a publisher is to be confirmed now; then it is noted as done.
    fn due(&mut self, now: Micros, publisher: u64, from: SocketAddr) -> bool {
        let recent = |at: &Micros| now < at + CONFIRM_EVERY;
        if self.0.get(&(publisher, from)).is_some_and(recent) {
            return false;
        }
        if self.0.len() >= MOST_CONFIRMED {
            self.0.retain(|_, at| recent(at));
        }
        self.0.insert((publisher, from), now);
        true
    }
}

impl Dissemination {
    /// A node above has confirmed a report of this one.
    pub(super) fn take_confirmation(&mut self, now: Micros, from: SocketAddr, publisher: u64) {
        let parent = self.overlay.tree_view(publisher).ancestors().next().copied();
        let Some(reporting) = self.reporting.get_mut(&publisher) else { return };
        match parent {
            Some(parent) if parent.address == from => reporting.confirmed(),
            parent => reporting.confirmed_above(now, is_far(&self.me, parent.as_ref())),
        }
    }

    /// Reports what its branch has applied, or, at the publisher, looks at what all have.
    pub(super) fn report(&mut self, now: Micros, out: &mut Vec<DisseminationOutput>) {
        let entries_wait = self.outbox.pushes_wait();
        for publisher in self.publishers() {
            if self.publishes(publisher) {
                self.look_at_acknowledgements(now, out);
                continue;
            }
            let reporting = self.reporting.entry(publisher).or_default();
            let soon = reporting.changed && !entries_wait;
            let wait = if soon { REPORT_EVERY } else { REPEAT_REPORT };
            if now < reporting.sent_at + wait {
                continue;
            }
            (reporting.changed, reporting.sent_at) = (false, now);
            let parent = self.overlay.tree_view(publisher).ancestors().next();
            let levels = reporting.levels(now, is_far(&self.me, parent));
            let reports = self.gather_all(now, publisher);
            if reports.is_empty() {
                continue;
            }
            let above: Vec<SocketAddr> = self
                .overlay
                .tree_view(publisher)
                .ancestors()
                .take(levels)
                .map(|member| member.address)
                .collect();
            for to in above {
                self.send_reports(to, &reports);
            }
        }
    }

    fn send_reports(&mut self, to: SocketAddr, reports: &[Report]) {
        /// Two of the longest reports fit into a datagram.
        const TOGETHER: usize = 2;
        for some in reports.chunks(TOGETHER) {
            self.outbox.small(TrafficClass::Log, to, Message::Reports(some.to_vec()));
        }
    }

    pub(super) fn gather_all(&mut self, now: Micros, publisher: u64) -> Vec<Report> {
        let mut found = Vec::new();
        for (key, own) in self.progress(publisher) {
            let needed = self.reporting.entry(publisher).or_default().note(now, key.channel, own.through);
            let branch = self.overlay.tree_view(publisher);
            found.push(self.reports.gather(now, key, &own, needed, branch));
        }
        found
    }

    pub(super) fn take_reports(&mut self, now: Micros, from: SocketAddr, reports: Vec<Report>) {
        let mut publishers = BTreeSet::new();
        for report in reports {
            let publisher = report.publisher;
            // Only nodes below this one report to it.
            let branch = self.overlay.tree_view(publisher);
            let below = branch
                .index_of(from)
                .is_some_and(|place| branch.tree.ancestors(place).any(|above| above == branch.own_index));
            if !below {
                continue;
            }
            publishers.insert(publisher);
            self.note_report(from, &report);
            let key = ChannelKey { publisher, channel: report.channel };
            let before = self.reports.through(key, from);
            let moved = before != Some((report.epoch, report.through, report.set_hash));
            if !self.reports.insert(now, from, report) {
                self.counters.abandoned += 1;
            } else if moved {
                self.reporting.entry(publisher).or_default().changed = true;
            }
        }
        for publisher in publishers {
            if self.confirmations.due(now, publisher, from) {
                self.outbox.small(TrafficClass::Log, from, Message::Confirm { publisher });
            }
        }
    }

    /// A branch whose nodes have all of a line up to some place needs no push of what came before.
    fn note_report(&mut self, from: SocketAddr, report: &Report) {
        let publisher = report.publisher;
        match report.channel {
            Channel::Log => {
                if self.logs.get(&publisher).is_some_and(|log| log.epoch() == report.epoch) {
                    self.outbox.has(publisher, from, report.through);
                }
            }
            Channel::State(kind) => {
                let key = StateKey { publisher, kind };
                let newest = self.states.get(key).map(|slot| (slot.newest.epoch, slot.newest.sequence));
                if newest == Some((report.epoch, report.through)) {
                    self.outbox.has_state(from, key);
                }
            }
        }
    }
}
