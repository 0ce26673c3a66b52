//! Sending reports up the tree on what a subtree has applied, and receiving the reports of the nodes below.

use super::super::{Micros, TrafficClass};
use super::acknowledgement::ChannelKey;
use super::message::{Channel, Message, Report};
use super::overlay::Member;
use super::state::StateKey;
use super::{Dissemination, DisseminationOutput};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Reports are sent at the first interval if something changed and no entries wait for byte budget, and at the second
/// in any case.
const REPORT_INTERVAL: Micros = 150_000;
const REPORT_REPEAT_INTERVAL: Micros = 1_000_000;
/// Shortest interval between confirmations to one node below: each report repeats all of the previous one.
const CONFIRMATION_INTERVAL: Micros = 300_000;
/// How long a parent, in the same region or another one, may leave reports unconfirmed: one confirmation held back by
/// [`CONFIRMATION_INTERVAL`], one round trip, and one confirmation lost. Then reports go to the grandparent as well,
/// and to one more ancestor after each further period.
const CONFIRMATION_TIMEOUT_SAME_REGION: Micros = 700_000;
const CONFIRMATION_TIMEOUT_CROSS_REGION: Micros = 1_100_000;
/// Limit on ancestors above the parent that receive reports.
const MAX_LEVELS_ABOVE_PARENT: Micros = 4;
/// Number of ancestors above the parent that receive reports while one of them confirms.
const LEVELS_ABOVE_CONFIRMED_ANCESTOR: Micros = 2;
/// Limit on nodes whose last confirmation is remembered: more than a node has children.
const MAX_CONFIRMED_SENDERS: usize = 256;
/// A subtree is listed as lagging if it has not reported after this time that it applied what its parent has: 2.4 s to
/// apply it, and up to 150 ms that a report waits at each of 11 levels.
pub const LAG_ALLOWANCE: Micros = 4_000_000;

/// State of this node's reports on a publisher's channels.
#[derive(Clone, Debug, Default)]
pub struct ReportState {
    /// Whether something changed since the last report.
    pub changed: bool,
    sent_at: Micros,
    /// When the first report was sent that the parent has not confirmed.
    unconfirmed_since: Option<Micros>,
    /// What this node itself had applied, with the time.
    history: BTreeMap<Channel, VecDeque<(Micros, u64)>>,
}

impl ReportState {
    /// The parent confirmed a report.
    pub fn confirmed(&mut self) {
        self.unconfirmed_since = None;
    }

    /// An ancestor above the parent confirmed a report: there is no need to include more distant ones.
    pub fn confirmed_above(&mut self, now: Micros, cross_region: bool) {
        let earliest =
            now.saturating_sub(LEVELS_ABOVE_CONFIRMED_ANCESTOR * confirmation_timeout(cross_region));
        self.unconfirmed_since = self.unconfirmed_since.map(|since| since.max(earliest));
    }

    /// Number of ancestors to which a report that is sent now goes.
    fn ancestors_to_notify(&mut self, now: Micros, cross_region: bool) -> usize {
        let since = *self.unconfirmed_since.get_or_insert(now);
        let above_parent = (now - since) / confirmation_timeout(cross_region);
        1 + above_parent.min(MAX_LEVELS_ABOVE_PARENT) as usize
    }

    /// Records what this node has applied. Returns what it had applied [`LAG_ALLOWANCE`] ago, which its subtree should
    /// have applied by now.
    fn record_progress(&mut self, now: Micros, channel: Channel, through: u64) -> u64 {
        let history = self.history.entry(channel).or_default();
        if history.back().is_some_and(|last| last.1 > through) {
            history.clear();
        }
        if history.back().is_none_or(|last| last.1 != through) {
            history.push_back((now, through));
        }
        while history.get(1).is_some_and(|second| second.0 + LAG_ALLOWANCE <= now) {
            history.pop_front();
        }
        history.front().filter(|first| first.0 + LAG_ALLOWANCE <= now).map_or(0, |first| first.1)
    }
}

fn is_cross_region(me: &Member, parent: Option<&Member>) -> bool {
    parent.is_some_and(|parent| !parent.shares_region(me))
}

fn confirmation_timeout(cross_region: bool) -> Micros {
    if cross_region {
        CONFIRMATION_TIMEOUT_CROSS_REGION
    } else {
        CONFIRMATION_TIMEOUT_SAME_REGION
    }
}

/// When reports of nodes below were last confirmed.
#[derive(Clone, Debug, Default)]
pub struct Confirmations(BTreeMap<(u64, SocketAddr), Micros>);

impl Confirmations {
    /// Whether a node's report on a publisher is to be confirmed now. If so, the confirmation is recorded.
    fn due(&mut self, now: Micros, publisher: u64, from: SocketAddr) -> bool {
        let recent = |at: &Micros| now < at + CONFIRMATION_INTERVAL;
        if self.0.get(&(publisher, from)).is_some_and(recent) {
            return false;
        }
        if self.0.len() >= MAX_CONFIRMED_SENDERS {
            self.0.retain(|_, at| recent(at));
        }
        self.0.insert((publisher, from), now);
        true
    }
}

impl Dissemination {
    /// Handles the confirmation of a report by a node above.
    pub(super) fn handle_confirmation(&mut self, now: Micros, from: SocketAddr, publisher: u64) {
        let parent = self.overlay.tree_view(publisher).ancestors().next().copied();
        let Some(report_state) = self.report_states.get_mut(&publisher) else { return };
        match parent {
            Some(parent) if parent.address == from => report_state.confirmed(),
            parent => report_state.confirmed_above(now, is_cross_region(&self.me, parent.as_ref())),
        }
    }

    /// Reports what the subtree has applied or, at the publisher, checks which entries all nodes have applied.
    pub(super) fn send_due_reports(&mut self, now: Micros, out: &mut Vec<DisseminationOutput>) {
        let entries_wait = self.outbox.has_pending_pushes();
        for publisher in self.publishers() {
            if self.is_active_publisher(publisher) {
                self.check_acknowledgements(now, out);
                continue;
            }
            let report_state = self.report_states.entry(publisher).or_default();
            let report_changes = report_state.changed && !entries_wait;
            let interval = if report_changes { REPORT_INTERVAL } else { REPORT_REPEAT_INTERVAL };
            if now < report_state.sent_at + interval {
                continue;
            }
            (report_state.changed, report_state.sent_at) = (false, now);
            let parent = self.overlay.tree_view(publisher).ancestors().next();
            let levels = report_state.ancestors_to_notify(now, is_cross_region(&self.me, parent));
            let reports = self.gather_reports(now, publisher);
            if reports.is_empty() {
                continue;
            }
            let ancestors: Vec<SocketAddr> = self
                .overlay
                .tree_view(publisher)
                .ancestors()
                .take(levels)
                .map(|member| member.address)
                .collect();
            for to in ancestors {
                self.send_reports(to, &reports);
            }
        }
    }

    fn send_reports(&mut self, to: SocketAddr, reports: &[Report]) {
        /// Two reports of the largest size fit into a datagram.
        const REPORTS_PER_DATAGRAM: usize = 2;
        for chunk in reports.chunks(REPORTS_PER_DATAGRAM) {
            self.outbox.queue_control(TrafficClass::Log, to, Message::Reports(chunk.to_vec()));
        }
    }

    pub(super) fn gather_reports(&mut self, now: Micros, publisher: u64) -> Vec<Report> {
        let mut found = Vec::new();
        for (key, own) in self.progress(publisher) {
            let required = self.report_states.entry(publisher).or_default().record_progress(
                now,
                key.channel,
                own.through,
            );
            let tree_view = self.overlay.tree_view(publisher);
            found.push(self.reports.gather(now, key, &own, required, tree_view));
        }
        found
    }

    pub(super) fn handle_reports(&mut self, now: Micros, from: SocketAddr, reports: Vec<Report>) {
        let mut publishers = BTreeSet::new();
        for report in reports {
            let publisher = report.publisher;
            // Only reports of nodes below this one count.
            let tree_view = self.overlay.tree_view(publisher);
            let below = tree_view.index_of(from).is_some_and(|index| {
                tree_view.tree.ancestors(index).any(|ancestor| ancestor == tree_view.own_index)
            });
            if !below {
                continue;
            }
            publishers.insert(publisher);
            self.drop_acknowledged_pushes(from, &report);
            let key = ChannelKey { publisher, channel: report.channel };
            let before = self.reports.last_reported(key, from);
            let changed = before != Some((report.epoch, report.through, report.set_hash));
            if !self.reports.insert(now, from, report) {
                self.counters.abandoned += 1;
            } else if changed {
                self.report_states.entry(publisher).or_default().changed = true;
            }
        }
        for publisher in publishers {
            if self.confirmations.due(now, publisher, from) {
                self.outbox.queue_control(TrafficClass::Log, from, Message::Confirm { publisher });
            }
        }
    }

    /// Drops queued pushes of what the whole subtree has already applied.
    fn drop_acknowledged_pushes(&mut self, from: SocketAddr, report: &Report) {
        let publisher = report.publisher;
        match report.channel {
            Channel::Log => {
                if self.logs.get(&publisher).is_some_and(|log| log.epoch() == report.epoch) {
                    self.outbox.drop_pushes_through(publisher, from, report.through);
                }
            }
            Channel::State(kind) => {
                let key = StateKey { publisher, kind };
                let newest = self.states.get(key).map(|slot| (slot.newest.epoch, slot.newest.sequence));
                if newest == Some((report.epoch, report.through)) {
                    self.outbox.drop_state_pushes(from, key);
                }
            }
        }
    }
}
