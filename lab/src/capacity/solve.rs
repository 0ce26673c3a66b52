//! The worst case of a need, and the number of nodes at which its budget is used up.

use super::{Case, Context, Need, Plan, Value};
use crate::slopes::SlopesFile;
use std::fmt;

/// Past so many nodes nothing is looked for.
pub const MOST_NODES: f64 = 1_000_000.0;
/// The step between two sizes that are tried; what lies between is halved until the size is found.
const STEP: f64 = 1.02;

/// The case in which a need is greatest.
#[derive(Clone, Debug, PartialEq)]
pub struct Worst {
    /// The case.
    pub case: Case,
    /// The need in it.
    pub value: Value,
}

/// Where a budget is used up, all else of the plan being as it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UsedUp {
    /// From this number of nodes on; the plan has fewer.
    From(f64),
    /// From this number of nodes on; the plan has as many or more.
    Passed(f64),
    /// Below this number of nodes; the plan has more.
    Below(f64),
    /// It takes this number of nodes; the plan has fewer.
    Until(f64),
    /// Nowhere up to the most.
    Nowhere,
    /// Everywhere.
    Everywhere,
}

impl fmt::Display for UsedUp {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = super::figures::count;
        match self {
            Self::From(nodes) => write!(to, "{}", count(*nodes)),
            Self::Passed(nodes) => write!(to, "{}, passed", count(*nodes)),
            Self::Below(nodes) => write!(to, "below {}", count(*nodes)),
            Self::Until(nodes) => write!(to, "below {}: too few", count(*nodes)),
            Self::Nowhere => write!(to, "not within {}", count(MOST_NODES)),
            Self::Everywhere => to.write_str("at any size"),
        }
    }
}

/// The greatest need over all cases; none where no case has a figure.
pub fn worst(need: &Need, plan: &Plan, slopes: &SlopesFile) -> Option<Worst> {
    let cases = Case::ALL.into_iter();
    let known = cases.filter_map(|case| {
        let value = (need.of)(&Context { plan, slopes, case }).ok()?;
        Some(Worst { case, value })
    });
    // The first of equals: the plain cases come first.
    known.reduce(|most, next| if next.value.number > most.value.number { next } else { most })
}

/// Need over budget in the worst case; none without a budget or a figure.
pub fn over_budget(need: &Need, plan: &Plan, slopes: &SlopesFile) -> Option<f64> {
    let budget = need.budget?;
    Some(worst(need, plan, slopes)?.value.number / (budget.of)(plan))
}

/// Where the budget is used up by the worst case; none without a budget or a figure.
pub fn used_up_at(need: &Need, plan: &Plan, slopes: &SlopesFile) -> Option<UsedUp> {
    let over = |nodes: f64| over_budget(need, &plan.with_nodes(nodes), slopes).is_some_and(|part| part > 1.0);
    over_budget(need, plan, slopes)?;
    let upwards = || turn(plan.nodes, &over, |nodes| (nodes * STEP).ceil().min(MOST_NODES));
    let downwards = || turn(plan.nodes, &over, |nodes| (nodes / STEP).floor().max(1.0));
    let found = if over(plan.nodes) {
        // The last size that is within lies below, or the first one above.
        let passed = downwards().map(|(within, _)| UsedUp::Passed(within + 1.0));
        passed.or_else(|| upwards().map(|(within, _)| UsedUp::Until(within))).unwrap_or(UsedUp::Everywhere)
    } else {
        let from = upwards().map(|(over, _)| UsedUp::From(over));
        from.or_else(|| downwards().map(|(_, within)| UsedUp::Below(within))).unwrap_or(UsedUp::Nowhere)
    };
    Some(found)
}

/// The first size in this direction where the verdict is another one, and the last one before it.
fn turn(from: f64, over: &impl Fn(f64) -> bool, step: impl Fn(f64) -> f64) -> Option<(f64, f64)> {
    let verdict = over(from);
    let mut before = from;
    loop {
        let next = step(before);
        if next == before {
            return None;
        }
        if over(next) != verdict {
            return Some(narrowed(before, next, verdict, over));
        }
        before = next;
    }
}

fn narrowed(mut same: f64, mut other: f64, verdict: bool, over: &impl Fn(f64) -> bool) -> (f64, f64) {
    while (other - same).abs() > 1.0 {
        let middle = ((same + other) / 2.0).round();
        if over(middle) == verdict {
            same = middle;
        } else {
            other = middle;
        }
    }
    (other, same)
}
