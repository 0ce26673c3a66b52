//! Checks on figures: bounds for every run, or a limit on the spread over all runs.

use super::{FigureMeaning, ScaleRun, TableReader};
use crate::experiment::Diagnostic;
use serde::Serialize;

/// A condition on a figure of the runs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScaleCheck {
    /// The name of the check.
    pub name: String,
    /// The name of the figure.
    pub figure: String,
    /// The group of runs that the check covers; all runs if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub group: Option<String>,
    /// Lower bound for every run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at_least: Option<f64>,
    /// Upper bound for every run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at_most: Option<f64>,
    /// Upper bound for the ratio of the largest to the smallest value over all runs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spread_at_most: Option<f64>,
}

/// The result of a check, with a description.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CheckOutcome {
    /// The name of the check.
    pub name: String,
    /// The runs that were checked.
    pub of: String,
    /// The value found and the value expected.
    pub found: String,
    /// Whether the check passed.
    pub holds: bool,
}

fn is_in(groups: &[String], group: &Option<String>) -> bool {
    group.as_ref().is_none_or(|group| groups.contains(group))
}

const KEYS: [&str; 6] = ["name", "figure", "group", "at_least", "at_most", "spread_at_most"];

impl ScaleCheck {
    /// Reads one `[[check]]` table.
    ///
    /// `groups` are the valid groups; `None` if they are unknown because the table of the kind has errors.
    pub fn read(
        mut reader: TableReader,
        figures: &[FigureMeaning],
        groups: Option<&[String]>,
    ) -> Option<Self> {
        reader.check_keys(&KEYS);
        let check = Self {
            name: reader.required("name", "a text").unwrap_or_default(),
            figure: reader.required("figure", "the name of a figure").unwrap_or_default(),
            group: reader.optional("group", "a text"),
            at_least: reader.optional("at_least", "a number"),
            at_most: reader.optional("at_most", "a number"),
            spread_at_most: reader.optional("spread_at_most", "a number"),
        };
        let names: Vec<_> = figures.iter().map(|figure| figure.name).collect();
        if reader.has("figure") && !names.contains(&check.figure.as_str()) {
            reader.fault("figure", &format!("\"{}\"", check.figure), &format!("one of {}", names.join(", ")));
        }
        if let (Some(group), Some(groups)) =
            (&check.group, groups.filter(|groups| !is_in(groups, &check.group)))
        {
            reader.fault("group", &format!("\"{group}\""), &format!("one of {}", groups.join(", ")));
        }
        if check.at_least.or(check.at_most).or(check.spread_at_most).is_none() {
            reader.fault("bound", "none", "at_least, at_most or spread_at_most");
        }
        reader.is_valid().then_some(check)
    }

    /// Evaluates the check on runs. A figure that was not reached fails the check; void runs are ignored.
    pub fn judge(&self, runs: &[ScaleRun]) -> Vec<CheckOutcome> {
        let mine: Vec<_> = runs.iter().filter(|run| self.covers(run)).collect();
        let mut outcomes: Vec<_> = mine.iter().filter_map(|run| self.judge_run(run)).collect();
        outcomes.extend(self.judge_spread(&mine));
        outcomes
    }

    fn covers(&self, run: &ScaleRun) -> bool {
        run.void.is_none() && self.group.as_ref().is_none_or(|group| *group == run.group)
    }

    fn judge_run(&self, run: &ScaleRun) -> Option<CheckOutcome> {
        if self.at_least.is_none() && self.at_most.is_none() {
            return None;
        }
        let value = run.figures.get(self.figure.as_str()).copied();
        let holds = value.is_some_and(|value| {
            self.at_least.is_none_or(|least| value >= least) && self.at_most.is_none_or(|most| value <= most)
        });
        let found = value.map_or_else(|| "not reached".to_owned(), |value| format!("{value:.4}"));
        let bounds = [("at least", self.at_least), ("at most", self.at_most)];
        let bounds: Vec<_> =
            bounds.iter().filter_map(|(word, bound)| bound.map(|bound| format!("{word} {bound}"))).collect();
        Some(CheckOutcome {
            name: self.name.clone(),
            of: format!("{}, seed {}", run.label, run.seed),
            found: format!("{} {found}, expected {}", self.figure, bounds.join(" and ")),
            holds,
        })
    }

    fn judge_spread(&self, runs: &[&ScaleRun]) -> Option<CheckOutcome> {
        let most = self.spread_at_most?;
        let values: Vec<_> = runs.iter().map(|run| run.figures.get(self.figure.as_str()).copied()).collect();
        let reached: Vec<f64> = values.iter().copied().flatten().collect();
        let largest = reached.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let smallest = reached.iter().copied().fold(f64::INFINITY, f64::min);
        let spread = largest / smallest;
        let holds = !reached.is_empty() && reached.len() == values.len() && spread <= most;
        Some(CheckOutcome {
            name: self.name.clone(),
            of: format!("{} runs", values.len()),
            found: format!(
                "{} from {smallest:.4} to {largest:.4}, {spread:.3} times, expected at most {most} times",
                self.figure
            ),
            holds,
        })
    }
}

/// Reports names used by more than one check, as their outcomes would be indistinguishable.
pub(super) fn duplicate_names(checks: &[toml::Value]) -> Vec<Diagnostic> {
    let names: Vec<_> = checks.iter().map(|check| check.get("name").and_then(toml::Value::as_str)).collect();
    let is_duplicate = |index: usize| names[index].is_some() && names[..index].contains(&names[index]);
    let fault = |index: usize| Diagnostic {
        location: format!("check {}: name", index + 1),
        message: format!(
            "found \"{}\" a second time, expected a name of its own",
            names[index].unwrap_or_default()
        ),
    };
    (0..names.len()).filter(|index| is_duplicate(*index)).map(fault).collect()
}
