//! Tracks whether the views that peers report agree with the view of this node.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::peers::Micros;

/// How long the digest that a peer reported is taken into account.
const REPORT_TTL: Micros = 5_000_000;
/// Views are agreed once nothing has contradicted the own view for this long.
pub(super) const SETTLE_TIME: Micros = 1_000_000;
/// A peer is asked to compare views this long after it reported a differing one.
const COMPARE_AFTER: Micros = 200_000;
/// Minimum interval between two such requests to one peer: if all peers differ from one node, that node asks them.
const COMPARE_INTERVAL: Micros = 1_000_000;
/// Views count as agreed with up to this fraction of the nodes suspected, as with datagram loss some always are.
const AGREED_SUSPECTED_FRACTION: f64 = 0.1;
/// Views that disagree for longer than this are split.
const SPLIT_AFTER: Micros = 10_000_000;

/// How far the views of the reporting peers and of this node agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Agreement {
    /// All of them report the same view, and hardly any node is suspected.
    Agreed,
    /// Views differ or nodes are suspected, but not for long.
    Converging,
    /// Views have disagreed for long, or half of the nodes were lost: this node may be isolated.
    Split,
}

/// The digest that a peer reported of its view.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedDigest {
    pub received_at: Micros,
    pub digest: u64,
    /// When the peer was last asked to compare views.
    pub asked_at: Option<Micros>,
}

/// The member counts that a review needs.
pub(super) struct MemberCounts {
    /// Nodes that are present, including this one.
    pub nodes: u32,
    pub suspected: usize,
    pub lost: usize,
}

/// Keeps the digests that peers report, and derives the agreement from them.
pub(super) struct AgreementTracker {
    reported: HashMap<SocketAddr, ReportedDigest>,
    /// The digest of the own view.
    digest: u64,
    /// When the own view last changed.
    unchanged_since: Micros,
    /// Since when views disagree; `None` while they agree.
    disagree_since: Option<Micros>,
    agreement: Agreement,
    /// Since when `agreement` has its value.
    agreement_since: Micros,
    /// The largest recent number of nodes, and until when it is remembered.
    peak_nodes: (u32, Micros),
    /// How long the largest number of nodes is remembered.
    peak_window: Micros,
}

impl AgreementTracker {
    pub fn new(now: Micros, peak_window: Micros) -> Self {
        Self {
            reported: HashMap::new(),
            digest: 0,
            unchanged_since: now,
            disagree_since: Some(now),
            agreement: Agreement::Converging,
            agreement_since: now,
            peak_nodes: (1, 0),
            peak_window,
        }
    }

    pub fn agreement(&self) -> Agreement {
        self.agreement
    }

    /// For how long the agreement has had its present value.
    pub fn agreement_age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.agreement_since)
    }

    /// Whether views agree.
    pub fn is_agreed(&self) -> bool {
        self.disagree_since.is_none()
    }

    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Sets the digest and the node count of the own view.
    pub fn set_local_view(&mut self, now: Micros, digest: u64, nodes: u32) {
        if digest != self.digest {
            (self.digest, self.unchanged_since) = (digest, now);
        }
        if nodes >= self.peak_nodes.0 || now >= self.peak_nodes.1 {
            self.peak_nodes = (nodes, now + self.peak_window);
        }
    }

    /// Records the digest that a peer reported.
    pub fn report(&mut self, now: Micros, from: SocketAddr, digest: u64) {
        let asked_at = self.reported.get(&from).and_then(|report| report.asked_at);
        self.reported.insert(from, ReportedDigest { received_at: now, digest, asked_at });
    }

    /// Drops the digest that a peer reported.
    pub fn forget(&mut self, peer: &SocketAddr) {
        self.reported.remove(peer);
    }

    /// Drops all reported digests, as they are outdated after this process was suspended.
    pub fn reset_after_suspend(&mut self, now: Micros) {
        self.reported.clear();
        self.unchanged_since = now;
    }

    /// Whether the view that a peer last reported differs from the own one.
    pub fn differs(&self, peer: &SocketAddr) -> bool {
        self.reported.get(peer).is_some_and(|report| report.digest != self.digest)
    }

    /// Drops digests that were reported too long ago.
    pub fn expire(&mut self, now: Micros) {
        self.reported.retain(|_, report| now < report.received_at + REPORT_TTL);
    }

    /// Peers that reported a differing view some time ago and were not asked to compare since.
    pub fn due_for_comparison(&self, now: Micros) -> Vec<SocketAddr> {
        let due = |(_, report): &(_, &ReportedDigest)| {
            let asked_recently = report.asked_at.is_some_and(|asked| now < asked + COMPARE_INTERVAL);
            report.digest != self.digest && now >= report.received_at + COMPARE_AFTER && !asked_recently
        };
        self.reported.iter().filter(due).map(|(address, _)| *address).collect()
    }

    /// Records that a peer was asked to compare views.
    pub fn mark_asked(&mut self, now: Micros, peer: &SocketAddr) {
        self.reported.entry(*peer).and_modify(|report| report.asked_at = Some(now));
    }

    /// The differing digests that peers report, with the peers that report each.
    pub fn differing(&self, now: Micros) -> BTreeMap<u64, Vec<SocketAddr>> {
        let mut differing: BTreeMap<u64, Vec<SocketAddr>> = BTreeMap::new();
        let fresh = self.reported.iter().filter(|(_, report)| now < report.received_at + REPORT_TTL);
        for (address, report) in fresh.filter(|(_, report)| report.digest != self.digest) {
            differing.entry(report.digest).or_default().push(*address);
        }
        differing.values_mut().for_each(|addresses| addresses.sort());
        differing
    }

    /// Re-evaluates the agreement; returns it if it has changed.
    pub fn review(&mut self, now: Micros, members: &MemberCounts) -> Option<Agreement> {
        if self.is_contradicted(now, members) {
            self.disagree_since.get_or_insert(now);
        } else {
            self.disagree_since = None;
        }
        if now >= self.peak_nodes.1 {
            self.peak_nodes = (members.nodes, now + self.peak_window);
        }
        let agreement = match self.disagree_since {
            _ if self.may_be_isolated(members) => Agreement::Split,
            None => Agreement::Agreed,
            Some(since) if now < since + SPLIT_AFTER => Agreement::Converging,
            Some(_) => Agreement::Split,
        };
        if agreement == self.agreement {
            return None;
        }
        (self.agreement, self.agreement_since) = (agreement, now);
        Some(agreement)
    }

    fn is_contradicted(&self, now: Micros, members: &MemberCounts) -> bool {
        let since = self.unchanged_since;
        let many_suspected = members.suspected as f64 > AGREED_SUSPECTED_FRACTION * f64::from(members.nodes);
        if many_suspected || now < since + SETTLE_TIME {
            return true;
        }
        // Digests from before the last change of the own view neither confirm nor contradict it.
        let mut current = self
            .reported
            .values()
            .filter(|report| report.received_at >= since && now < report.received_at + REPORT_TTL)
            .peekable();
        // A view with this node alone is trivially agreed; one with other nodes needs a report from at least one of them.
        let unconfirmed = current.peek().is_none() && members.nodes > 1;
        unconfirmed || current.any(|report| report.digest != self.digest)
    }

    /// With no more than half of the recent nodes left, this node may be the isolated one.
    fn may_be_isolated(&self, members: &MemberCounts) -> bool {
        let peak = self.peak_nodes.0;
        members.lost as u32 >= peak.div_ceil(2) && members.nodes * 2 <= peak
    }
}
