//! How far the views of those that are heard lie apart.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::peers::Micros;

/// What a peer said of its view counts for so long.
const REPORT_TTL: Micros = 5_000_000;
/// A view is agreed when nothing spoke against it for so long.
pub(super) const SETTLE_TIME: Micros = 1_000_000;
/// A peer whose view differed when it was last heard, that long ago, is asked to compare.
const COMPARE_AFTER: Micros = 200_000;
/// And not again for so long: all may differ from one, which then asks them.
const COMPARE_INTERVAL: Micros = 1_000_000;
/// A view is agreed with this part of its nodes suspected, or one: where datagrams are lost somebody always is.
const AGREED_SUSPECTED_FRACTION: f64 = 0.1;
/// Views that differ for longer are split.
const SPLIT_AFTER: Micros = 10_000_000;

/// How far the views of those that are heard lie apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Agreement {
    /// All that are heard have the same view, and nobody is suspected.
    Agreed,
    /// They differ, or somebody is suspected, and not for long.
    Converging,
    /// They differ for long, or half of the nodes are gone without a word: this one may be cut off.
    Split,
}

/// What a peer said of its view.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedDigest {
    pub received_at: Micros,
    pub digest: u64,
    /// When it was asked last.
    pub asked_at: Option<Micros>,
}

/// What a review needs to know of the members.
pub(super) struct MemberCounts {
    /// Nodes that are present, itself among them.
    pub nodes: u32,
    pub suspected: usize,
    pub lost: usize,
}

/// Follows what peers say of their views.
pub(super) struct AgreementTracker {
    reported: HashMap<SocketAddr, ReportedDigest>,
    /// Of the node's own view.
    digest: u64,
    /// Since when its view is what it is.
    unchanged_since: Micros,
    /// Since when views disagree.
    disagree_since: Option<Micros>,
    agreement: Agreement,
    /// Since when that is so.
    agreement_since: Micros,
    /// The largest number of nodes of late, and until when it is remembered.
    peak_nodes: (u32, Micros),
    /// For so long.
    peak_window: Micros,
}

impl AgreementTracker {
    pub fn new(now: Micros, memory: Micros) -> Self {
        Self {
            reported: HashMap::new(),
            digest: 0,
            unchanged_since: now,
            disagree_since: Some(now),
            agreement: Agreement::Converging,
            agreement_since: now,
            peak_nodes: (1, 0),
            peak_window: memory,
        }
    }

    pub fn agreement(&self) -> Agreement {
        self.agreement
    }

    /// For how long.
    pub fn agreement_age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.agreement_since)
    }

    /// Whether views have come together.
    pub fn is_agreed(&self) -> bool {
        self.disagree_since.is_none()
    }

    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The node's own view is this now.
    pub fn set_local_view(&mut self, now: Micros, digest: u64, nodes: u32) {
        if digest != self.digest {
            (self.digest, self.unchanged_since) = (digest, now);
        }
        if nodes >= self.peak_nodes.0 || now >= self.peak_nodes.1 {
            self.peak_nodes = (nodes, now + self.peak_window);
        }
    }

    /// A peer said what its view is.
    pub fn report(&mut self, now: Micros, from: SocketAddr, digest: u64) {
        let asked = self.reported.get(&from).and_then(|said| said.asked_at);
        self.reported.insert(from, ReportedDigest { received_at: now, digest, asked_at: asked });
    }

    /// What a peer said no longer counts.
    pub fn forget(&mut self, peer: &SocketAddr) {
        self.reported.remove(peer);
    }

    /// The process stood still: what it heard before says nothing.
    pub fn reset_after_suspend(&mut self, now: Micros) {
        self.reported.clear();
        self.unchanged_since = now;
    }

    /// Whether a peer's view differed when it was last heard.
    pub fn differs(&self, peer: &SocketAddr) -> bool {
        self.reported.get(peer).is_some_and(|said| said.digest != self.digest)
    }

    /// What was said too long ago no longer counts.
    pub fn expire(&mut self, now: Micros) {
        self.reported.retain(|_, said| now < said.received_at + REPORT_TTL);
    }

    /// Peers whose view differed when they were last heard, some time ago, and that were not asked since.
    pub fn due_for_comparison(&self, now: Micros) -> Vec<SocketAddr> {
        let due = |(_, said): &(_, &ReportedDigest)| {
            let asked_lately = said.asked_at.is_some_and(|asked| now < asked + COMPARE_INTERVAL);
            said.digest != self.digest && now >= said.received_at + COMPARE_AFTER && !asked_lately
        };
        self.reported.iter().filter(due).map(|(address, _)| *address).collect()
    }

    /// A peer was asked what its view is.
    pub fn mark_asked(&mut self, now: Micros, peer: &SocketAddr) {
        self.reported.entry(*peer).and_modify(|said| said.asked_at = Some(now));
    }

    /// Digests of others that differ, with those that have them.
    pub fn differing(&self, now: Micros) -> BTreeMap<u64, Vec<SocketAddr>> {
        let mut differing: BTreeMap<u64, Vec<SocketAddr>> = BTreeMap::new();
        let fresh = self.reported.iter().filter(|(_, said)| now < said.received_at + REPORT_TTL);
        for (address, said) in fresh.filter(|(_, said)| said.digest != self.digest) {
            differing.entry(said.digest).or_default().push(*address);
        }
        differing.values_mut().for_each(|addresses| addresses.sort());
        differing
    }

    /// Looks at how far views lie apart now; what it tells where that is news.
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
        let doubts = members.suspected as f64 > AGREED_SUSPECTED_FRACTION * f64::from(members.nodes);
        if doubts || now < since + SETTLE_TIME {
            return true;
        }
        // What was said before this view was is no word against it, and no more one for it.
        let mut later = self
            .reported
            .values()
            .filter(|said| said.received_at >= since && now < said.received_at + REPORT_TTL)
            .peekable();
        // Alone, it agrees with itself: with those that it lost it does not.
        let unheard = later.peek().is_none() && members.nodes > 1;
        unheard || later.any(|said| said.digest != self.digest)
    }

    /// With no more than half of those that were there lately, it may be the one cut off.
    fn may_be_isolated(&self, members: &MemberCounts) -> bool {
        let largest = self.peak_nodes.0;
        members.lost as u32 >= largest.div_ceil(2) && members.nodes * 2 <= largest
    }
}
