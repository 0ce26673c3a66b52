//! Times until nodes have reported what happened.

use crate::cluster::{AgreementChange, StatusChange};
use crate::model::Micros;
use std::collections::BTreeMap;
use walkpick::peers::{Agreement, PeerStatus};

/// Pairs of observer and subject in which the observer is expected to report the new status of the subject: all pairs of an
/// affected and an unaffected node whose observer is running.
pub(super) struct ExpectedReports<'a> {
    /// Whether each node is affected.
    pub affected: &'a [bool],
    /// Whether affected nodes report as well.
    pub both_ways: bool,
    /// The status to be reported.
    pub status: PeerStatus,
}

impl ExpectedReports<'_> {
    fn pairs(&self) -> usize {
        let affected = self.affected.iter().filter(|affected| **affected).count();
        let one_way = affected * (self.affected.len() - affected);
        one_way * if self.both_ways { 2 } else { 1 }
    }

    /// Times from `since` to the first report of each pair, sorted.
    fn first_reports(&self, changes: &[StatusChange], since: Micros) -> Vec<Micros> {
        let nodes = self.affected.len();
        let mut reported = vec![false; nodes * nodes];
        let mut times = Vec::new();
        for change in changes.iter().filter(|change| change.status == self.status && change.at >= since) {
            let across = self.affected[change.observer] != self.affected[change.subject];
            let observes = self.both_ways || !self.affected[change.observer];
            let seen = &mut reported[change.observer * nodes + change.subject];
            if across && observes && !*seen {
                *seen = true;
                times.push(change.at - since);
            }
        }
        times.sort_unstable();
        times
    }

    /// Times from `since` until these fractions of the pairs had been reported; none if that did not happen.
    pub fn times_until<const N: usize>(
        &self,
        changes: &[StatusChange],
        since: Micros,
        fractions: [f64; N],
    ) -> [Option<Micros>; N] {
        let (pairs, times) = (self.pairs(), self.first_reports(changes, since));
        fractions.map(|fraction| {
            let needed = (pairs as f64 * fraction).ceil() as usize;
            needed.checked_sub(1).and_then(|last| times.get(last)).copied()
        })
    }
}

/// Time from `since` until this number of nodes had reported that views differ.
pub(super) fn time_until_disagreement(
    changes: &[AgreementChange],
    nodes: usize,
    since: Micros,
) -> Option<Micros> {
    let mut first = BTreeMap::new();
    for change in changes.iter().filter(|change| change.agreement != Agreement::Agreed) {
        first.entry(change.observer).or_insert(change.at - since);
    }
    let mut first: Vec<_> = first.into_values().collect();
    first.sort_unstable();
    first.get(nodes.saturating_sub(1)).copied()
}
