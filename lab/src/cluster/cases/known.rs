//! When nodes came to know what had happened.

use crate::cluster::{AgreementChange, StandingChange};
use crate::model::Micros;
use std::collections::BTreeMap;
use walkpick::peers::{Agreement, PeerStatus};

/// Pairs of an observer and a subject, of which the observer is to report the subject's new standing: all across the line
/// between the nodes that were affected and the others, as far as observers run.
pub(super) struct ExpectedReports<'a> {
    /// Whether a node is one of those affected.
    pub affected: &'a [bool],
    /// Whether those affected report as well.
    pub both_ways: bool,
    /// What is to be reported.
    pub standing: PeerStatus,
}

impl ExpectedReports<'_> {
    fn pairs(&self) -> usize {
        let affected = self.affected.iter().filter(|affected| **affected).count();
        let one_way = affected * (self.affected.len() - affected);
        one_way * if self.both_ways { 2 } else { 1 }
    }

    /// The time of each pair's first report, sorted.
    fn first_reports(&self, changes: &[StandingChange], since: Micros) -> Vec<Micros> {
        let nodes = self.affected.len();
        let mut reported = vec![false; nodes * nodes];
        let mut times = Vec::new();
        for change in changes.iter().filter(|change| change.standing == self.standing && change.at >= since) {
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

    /// Until these parts of the pairs had been reported; none where that never came.
    pub fn known<const N: usize>(
        &self,
        changes: &[StandingChange],
        since: Micros,
        parts: [f64; N],
    ) -> [Option<Micros>; N] {
        let (pairs, times) = (self.pairs(), self.first_reports(changes, since));
        parts.map(|part| {
            let needed = (pairs as f64 * part).ceil() as usize;
            needed.checked_sub(1).and_then(|last| times.get(last)).copied()
        })
    }
}

/// Until so many nodes had reported that views differ.
pub(super) fn disagreement_known(changes: &[AgreementChange], nodes: usize, since: Micros) -> Option<Micros> {
    let mut first = BTreeMap::new();
    for change in changes.iter().filter(|change| change.agreement != Agreement::Agreed) {
        first.entry(change.observer).or_insert(change.at - since);
    }
    let mut first: Vec<_> = first.into_values().collect();
    first.sort_unstable();
    first.get(nodes.saturating_sub(1)).copied()
}
