//! Reporting up the tree what a branch has applied, and taking the reports of the nodes below.

use super::super::{Micros, TrafficClass};
use super::acknowledgement::LineKey;
use super::message::{Line, Message, Report};
use super::{Dissemination, DisseminationOutput};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Reports go up this often where something changed, and this often in any case.
const REPORT_EVERY: Micros = 150_000;
const REPEAT_REPORT: Micros = 1_000_000;
/// So many reports without a word from the parent, and the nodes above it are told as well.
const UNCONFIRMED: u32 = 2;
/// A branch that has not said after this time that it applied what its parent has is named: 2.4 s to apply it, and 11
/// levels at which a report waits up to 150 ms.
pub const LAG: Micros = 4_000_000;

/// When this node reported on a publisher's lines.
#[derive(Clone, Debug, Default)]
pub struct Reporting {
    /// Something changed since the last report.
    pub changed: bool,
    sent_at: Micros,
    /// Reports that the parent did not confirm.
    pub unconfirmed: u32,
    /// What this node itself had applied, and when.
    history: BTreeMap<Line, VecDeque<(Micros, u64)>>,
}

impl Reporting {
    /// Somebody above the parent confirmed: there is no need to go on to those above.
    pub fn confirmed_above(&mut self) {
        self.unconfirmed = self.unconfirmed.min(UNCONFIRMED + 1);
    }

    /// Notes what this node has applied; what it had [`LAG`] ago, which its branch is to have by now.
    fn note(&mut self, now: Micros, line: Line, through: u64) -> u64 {
        let history = self.history.entry(line).or_default();
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

impl Dissemination {
    /// Reports what its branch has applied, or, at the publisher, looks at what all have.
    pub(super) fn report(&mut self, now: Micros, out: &mut Vec<DisseminationOutput>) {
        let publishers: BTreeSet<u64> =
            self.logs.keys().copied().chain(self.states.iter().map(|(key, _)| key.publisher)).collect();
        for publisher in publishers {
            if self.publishes(publisher) {
                self.look_at_acknowledgements(now, out);
                continue;
            }
            let reporting = self.reporting.entry(publisher).or_default();
            let wait = if reporting.changed { REPORT_EVERY } else { REPEAT_REPORT };
            if now < reporting.sent_at + wait {
                continue;
            }
            (reporting.changed, reporting.sent_at) = (false, now);
            let levels = 1 + reporting.unconfirmed.saturating_sub(UNCONFIRMED - 1).min(4) as usize;
            reporting.unconfirmed += 1;
            let reports = self.gather_all(now, publisher);
            if reports.is_empty() {
                continue;
            }
            let above: Vec<SocketAddr> = self
                .overlay
                .branch(publisher)
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
            let needed = self.reporting.entry(publisher).or_default().note(now, key.line, own.through);
            let branch = self.overlay.branch(publisher);
            found.push(self.reports.gather(now, key, &own, needed, branch));
        }
        found
    }

    pub(super) fn take_reports(&mut self, now: Micros, from: SocketAddr, reports: Vec<Report>) {
        let mut publishers = BTreeSet::new();
        for report in reports {
            let publisher = report.publisher;
            // Only nodes below this one report to it.
            let branch = self.overlay.branch(publisher);
            let below = branch
                .place(from)
                .is_some_and(|place| branch.tree.ancestors(place).any(|above| above == branch.own));
            if !below {
                continue;
            }
            publishers.insert(publisher);
            if report.line == Line::Log {
                self.note_report(from, &report);
            }
            let key = LineKey { publisher, line: report.line };
            let before = self.reports.through(key, from);
            let moved = before != Some((report.epoch, report.through, report.set_hash));
            if !self.reports.insert(now, from, report) {
                self.counters.given_up += 1;
            } else if moved {
                self.reporting.entry(publisher).or_default().changed = true;
            }
        }
        for publisher in publishers {
            self.outbox.small(TrafficClass::Log, from, Message::Confirm { publisher });
        }
    }

    /// A branch whose nodes have all of a log up to some entry needs no push of what came before.
    fn note_report(&mut self, from: SocketAddr, report: &Report) {
        let epoch = self.logs.get(&report.publisher).map(super::log::Log::epoch);
        if epoch == Some(report.epoch) {
            self.outbox.has(report.publisher, from, report.through);
        }
    }
}
