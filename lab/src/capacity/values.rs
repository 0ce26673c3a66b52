//! Needs as they are worked out: a number, what it came from, and how far that was measured.

use super::rows::Resource;
use super::{demand, Case, Plan};
use crate::slopes::{Estimate, Reach, Recorded, SlopesFile};
use std::collections::BTreeSet;

/// What the name of a series goes on with where it was measured with datagrams lost, or with regions that lie apart.
const VARIANTS: [&str; 2] = [".loss", ".regions"];

/// The series of this name, and those of the same in other conditions; the plain one first.
fn variants<'a>(slopes: &'a SlopesFile, name: &str) -> Vec<&'a Recorded> {
    let other = |one: &&Recorded| {
        let rest = one.series.name.strip_prefix(name);
        rest.is_some_and(|rest| VARIANTS.iter().any(|variant| rest.starts_with(variant)))
    };
    slopes.find(name).into_iter().chain(slopes.recorded().iter().filter(other)).collect()
}

/// A number that rows compute with.
#[derive(Clone, Debug, PartialEq)]
pub struct Value {
    /// The number.
    pub number: f64,
    /// Names of the series that it was worked out from; none where the plan alone gave it.
    pub inputs: BTreeSet<String>,
    /// Some of it lies outside the measured sizes.
    pub extrapolated: bool,
    /// Some of what it should cover was not measured: it is this much at the least.
    pub at_least: bool,
}

impl Value {
    /// From the plan alone.
    pub fn plan(number: f64) -> Self {
        Self { number, inputs: BTreeSet::new(), extrapolated: false, at_least: false }
    }

    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self { number: self.number + other.number, ..self.joined(other) }
    }

    /// Times a number of the plan.
    pub fn times(self, factor: f64) -> Self {
        Self { number: self.number * factor, ..self }
    }

    /// The larger one.
    pub fn largest(self, other: Self) -> Self {
        Self { number: self.number.max(other.number), ..self.joined(other) }
    }

    fn joined(&self, other: Self) -> Self {
        Self {
            number: self.number,
            inputs: self.inputs.union(&other.inputs).cloned().collect(),
            extrapolated: self.extrapolated || other.extrapolated,
            at_least: self.at_least || other.at_least,
        }
    }
}

/// Why there is no number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Gap {
    /// The case does not concern the row.
    NotApplicable,
    /// No such series.
    NotMeasured(String),
    /// The series' unit or what it stands against is not understood.
    NotUnderstood {
        /// The series.
        series: String,
        /// What is not understood.
        found: String,
    },
}

/// What a need comes to.
pub type Needed = Result<Value, Gap>;

/// What needs are worked out from.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The plan.
    pub plan: &'a Plan,
    /// What was measured.
    pub slopes: &'a SlopesFile,
    /// What happens.
    pub case: Case,
}

/// Which of several plays counts.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Plays {
    Mean,
    Largest,
}

impl Context<'_> {
    /// The mean of a series at the plan's size, in the resource's unit.
    pub fn mean(&self, name: &str, resource: Resource) -> Needed {
        self.series(name, resource, Plays::Mean, demand::requests_per_node(self.plan, self.case))
    }

    /// The largest play of a series at the plan's size.
    pub fn largest(&self, name: &str, resource: Resource) -> Needed {
        self.series(name, resource, Plays::Largest, demand::requests_per_node(self.plan, self.case))
    }

    /// The mean at another rate of requests a node, where the series stands against that.
    pub fn at_rate(&self, name: &str, resource: Resource, rate: f64) -> Needed {
        self.series(name, resource, Plays::Mean, rate)
    }

    /// Whether there is such a series, in whatever conditions.
    pub fn is_measured(&self, name: &str) -> bool {
        !variants(self.slopes, name).is_empty()
    }

    /// The first of these series that was measured: the largest play.
    pub fn first_of(&self, names: &[&str], resource: Resource) -> Needed {
        let known = names.iter().find(|name| self.is_measured(name));
        match (known, names.first()) {
            (Some(name), _) | (None, Some(name)) => self.largest(name, resource),
            (None, None) => Err(Gap::NotApplicable),
        }
    }

    /// The largest of all these series that were measured; at least that where some were not.
    pub fn largest_of(&self, names: &[&str], resource: Resource) -> Needed {
        let found: Vec<_> = names.iter().map(|name| self.largest(name, resource)).collect();
        let missing = found.iter().any(Result::is_err);
        let first = found.iter().find_map(|one| one.as_ref().err()).cloned();
        let largest = found.into_iter().flatten().reduce(Value::largest);
        match largest {
            Some(value) => Ok(Value { at_least: value.at_least || missing, ..value }),
            None => Err(first.unwrap_or(Gap::NotApplicable)),
        }
    }

    fn series(&self, name: &str, resource: Resource, plays: Plays, rate: f64) -> Needed {
        let mut found = variants(self.slopes, name).into_iter();
        let first = found.next().ok_or_else(|| Gap::NotMeasured(name.to_owned()))?;
        let value = self.value_of(first, resource, plays, rate)?;
        match plays {
            Plays::Mean => Ok(value),
            Plays::Largest => found.try_fold(value, |value, recorded| {
                Ok(value.largest(self.value_of(recorded, resource, plays, rate)?))
            }),
        }
    }

    fn value_of(&self, recorded: &Recorded, resource: Resource, plays: Plays, rate: f64) -> Needed {
        let series = &recorded.series;
        let not_understood =
            |found: &str| Gap::NotUnderstood { series: series.name.clone(), found: found.to_owned() };
        let factor = resource.factor(&series.unit).ok_or_else(|| not_understood(&series.unit))?;
        let size = size_against(&series.against, self.plan, self.case, rate)
            .ok_or_else(|| not_understood(&series.against))?;
        let Estimate { value, reach } = estimate(recorded, size, plays);
        let mut needed = Value::plan(value * factor);
        needed.inputs.insert(series.name.clone());
        needed.extrapolated = reach != Reach::Measured;
        Ok(needed)
    }
}

fn estimate(recorded: &Recorded, size: f64, plays: Plays) -> Estimate {
    match plays {
        Plays::Mean => recorded.fit.at(size),
        Plays::Largest => recorded.fit.largest_at(size),
    }
}

/// The plan's size in what a series stands against; none where that word is not known.
pub fn size_against(against: &str, plan: &Plan, case: Case, rate: f64) -> Option<f64> {
    let against = against.to_lowercase().replace('_', " ");
    let words = SIZES.iter().find(|(words, _)| words.split(' ').all(|word| against.contains(word)));
    words.map(|(_, size)| match size {
        Size::Rate => rate,
        Size::Plan(of) => of(plan),
        Size::OfCase(of) => of(plan, case),
    })
}

/// A size that series stand against.
enum Size {
    /// Requests a second of a node.
    Rate,
    /// What the plan says.
    Plan(fn(&Plan) -> f64),
    /// What the plan says in a case.
    OfCase(fn(&Plan, Case) -> f64),
}

/// The words in what a series stands against, and the size they mean; the first entry whose words are all there counts.
const SIZES: [(&str, Size); 19] = [
    ("servers zone", Size::Plan(|plan| plan.servers / plan.zones)),
    ("lost server", Size::Plan(|plan| plan.servers / plan.zones)),
    ("lost", Size::Plan(|plan| plan.nodes / plan.zones)),
    ("connection", Size::OfCase(demand::in_flight_per_node)),
    ("in flight", Size::OfCase(demand::in_flight_per_node)),
    ("request", Size::Rate),
    ("refusal", Size::Rate),
    ("rate", Size::Rate),
    ("byte", Size::Plan(demand::answer_bytes)),
    ("answer", Size::Plan(demand::answer_bytes)),
    ("server", Size::Plan(|plan| plan.servers)),
    ("entries changed", Size::Plan(|plan| plan.servers)),
    ("node", Size::Plan(|plan| plan.nodes)),
    ("peer", Size::Plan(|plan| plan.nodes)),
    ("member", Size::Plan(|plan| plan.nodes)),
    ("watch", Size::Plan(|plan| plan.nodes)),
    ("zone", Size::Plan(|plan| plan.zones)),
    ("class", Size::Plan(|plan| plan.classes)),
    ("tenant", Size::Plan(|_| 1.0)),
];
