//! The worst case of a need, and the number of nodes at which its budget is exhausted.

use super::{Case, Context, Need, Plan, Value};
use crate::slopes::SlopesFile;
use std::fmt;

/// The upper end of the searched range of sizes.
pub const MAX_NODES: f64 = 1_000_000.0;
/// The factor between sizes that the search tries; the interval between two sizes is then bisected.
const STEP: f64 = 1.02;

/// The case with the greatest need.
#[derive(Clone, Debug, PartialEq)]
pub struct WorstCase {
    /// The case.
    pub case: Case,
    /// The need in that case.
    pub value: Value,
}

/// The number of nodes at which a budget is exhausted, with the rest of the plan unchanged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Exhaustion {
    /// Exceeded from this number of nodes; the plan has fewer.
    At(f64),
    /// Exceeded from this number of nodes; the plan has at least as many.
    ExceededFrom(f64),
    /// Exceeded below this number of nodes; the plan has at least as many.
    ExceededBelow(f64),
    /// Exceeded below this number of nodes; the plan has fewer.
    TooFewBelow(f64),
    /// Not exceeded at any size up to [`MAX_NODES`].
    Never,
    /// Exceeded at every size up to [`MAX_NODES`].
    Always,
}

impl fmt::Display for Exhaustion {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = super::figures::format_count;
        match self {
            Self::At(nodes) => write!(to, "{}", count(*nodes)),
            Self::ExceededFrom(nodes) => write!(to, "{}, passed", count(*nodes)),
            Self::ExceededBelow(nodes) => write!(to, "below {}", count(*nodes)),
            Self::TooFewBelow(nodes) => write!(to, "below {}: too few", count(*nodes)),
            Self::Never => write!(to, "not within {}", count(MAX_NODES)),
            Self::Always => to.write_str("at any size"),
        }
    }
}

/// The greatest need over all cases; `None` if no case has a value.
pub fn worst_case(need: &Need, plan: &Plan, slopes: &SlopesFile) -> Option<WorstCase> {
    let cases = Case::ALL.into_iter();
    let known = cases.filter_map(|case| {
        let value = (need.value)(&Context { plan, slopes, case }).ok()?;
        Some(WorstCase { case, value })
    });
    // On a tie the first case wins, so the ordinary day and the peak take precedence.
    known.reduce(|most, next| if next.value.number > most.value.number { next } else { most })
}

/// The ratio of need to budget in the worst case; `None` without a budget or a value.
pub fn budget_ratio(need: &Need, plan: &Plan, slopes: &SlopesFile) -> Option<f64> {
    let budget = need.budget?;
    Some(worst_case(need, plan, slopes)?.value.number / (budget.limit)(plan))
}

/// The size at which the worst case exhausts the budget; `None` without a budget or a value.
pub fn exhausted_at(need: &Need, plan: &Plan, slopes: &SlopesFile) -> Option<Exhaustion> {
    let exceeds =
        |nodes: f64| budget_ratio(need, &plan.with_nodes(nodes), slopes).is_some_and(|ratio| ratio > 1.0);
    budget_ratio(need, plan, slopes)?;
    let upwards = || find_transition(plan.nodes, &exceeds, |nodes| (nodes * STEP).ceil().min(MAX_NODES));
    let downwards = || find_transition(plan.nodes, &exceeds, |nodes| (nodes / STEP).floor().max(1.0));
    let found = if exceeds(plan.nodes) {
        // Looks for the largest smaller size within the budget, else the smallest larger one.
        let passed = downwards().map(|(within, _)| Exhaustion::ExceededFrom(within + 1.0));
        passed
            .or_else(|| upwards().map(|(within, _)| Exhaustion::TooFewBelow(within)))
            .unwrap_or(Exhaustion::Always)
    } else {
        let from = upwards().map(|(over, _)| Exhaustion::At(over));
        from.or_else(|| downwards().map(|(_, within)| Exhaustion::ExceededBelow(within)))
            .unwrap_or(Exhaustion::Never)
    };
    Some(found)
}

/// Searches in one direction for a size where `exceeds` changes: returns the first size past the change and the last one
/// before it.
fn find_transition(
    from: f64,
    exceeds: &impl Fn(f64) -> bool,
    step: impl Fn(f64) -> f64,
) -> Option<(f64, f64)> {
    let verdict = exceeds(from);
    let mut before = from;
    loop {
        let next = step(before);
        if next == before {
            return None;
        }
        if exceeds(next) != verdict {
            return Some(bisect(before, next, verdict, exceeds));
        }
        before = next;
    }
}

/// Narrows the interval between a size with this verdict and one with the opposite verdict to adjacent sizes; returns the
/// latter first.
fn bisect(mut same: f64, mut other: f64, verdict: bool, exceeds: &impl Fn(f64) -> bool) -> (f64, f64) {
    while (other - same).abs() > 1.0 {
        let middle = ((same + other) / 2.0).round();
        if exceeds(middle) == verdict {
            same = middle;
        } else {
            other = middle;
        }
    }
    (other, same)
}
