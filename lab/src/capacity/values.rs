//! Computed needs: a number, the series it was derived from, and whether it is extrapolated or incomplete.

use super::rows::Resource;
use super::{demand, Case, Plan};
use crate::slopes::{Estimate, Reach, Recorded, SlopesFile};
use std::collections::BTreeSet;

/// Name suffixes of series that were measured with datagram loss or with latency between regions.
const VARIANTS: [&str; 2] = [".loss", ".regions"];

/// The series with this name, followed by its variants measured under other network conditions.
fn variants<'a>(slopes: &'a SlopesFile, name: &str) -> Vec<&'a Recorded> {
    let other = |one: &&Recorded| {
        let rest = one.series.name.strip_prefix(name);
        rest.is_some_and(|rest| VARIANTS.iter().any(|variant| rest.starts_with(variant)))
    };
    slopes.find(name).into_iter().chain(slopes.recorded().iter().filter(other)).collect()
}

/// A number that rows compute with, and its provenance.
#[derive(Clone, Debug, PartialEq)]
pub struct Value {
    /// The number.
    pub number: f64,
    /// Names of the series it was derived from; empty if it follows from the plan alone.
    pub inputs: BTreeSet<String>,
    /// Whether any input was evaluated outside the measured sizes.
    pub extrapolated: bool,
    /// Whether some inputs were not measured, so that the number is only a lower bound.
    pub is_lower_bound: bool,
}

impl Value {
    /// A value that follows from the plan alone.
    pub fn from_plan(number: f64) -> Self {
        Self { number, inputs: BTreeSet::new(), extrapolated: false, is_lower_bound: false }
    }

    /// The sum of both values.
    pub fn plus(self, other: Self) -> Self {
        Self { number: self.number + other.number, ..self.with_provenance_of(other) }
    }

    /// The value multiplied by a factor from the plan.
    pub fn scaled(self, factor: f64) -> Self {
        Self { number: self.number * factor, ..self }
    }

    /// The larger number, with the provenance of both.
    pub fn max(self, other: Self) -> Self {
        Self { number: self.number.max(other.number), ..self.with_provenance_of(other) }
    }

    fn with_provenance_of(&self, other: Self) -> Self {
        Self {
            number: self.number,
            inputs: self.inputs.union(&other.inputs).cloned().collect(),
            extrapolated: self.extrapolated || other.extrapolated,
            is_lower_bound: self.is_lower_bound || other.is_lower_bound,
        }
    }
}

/// Why a value is not available.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Unavailable {
    /// The row does not apply in the case.
    NotApplicable,
    /// There is no series with this name.
    NotMeasured(String),
    /// The unit or the size variable of the series is unknown.
    Unrecognized {
        /// The name of the series.
        series: String,
        /// The unknown unit or size variable.
        found: String,
    },
}

/// A computed need.
pub type NeedResult = Result<Value, Unavailable>;

/// The inputs from which needs are computed.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The plan.
    pub plan: &'a Plan,
    /// The measured series.
    pub slopes: &'a SlopesFile,
    /// The operating condition.
    pub case: Case,
}

/// How the runs of a series are aggregated.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Aggregate {
    Mean,
    Max,
}

impl Context<'_> {
    /// The mean over the runs of a series at the plan's size, in the resource's base unit.
    pub fn mean(&self, name: &str, resource: Resource) -> NeedResult {
        self.series(name, resource, Aggregate::Mean, demand::requests_per_node(self.plan, self.case))
    }

    /// The maximum over the runs of a series and of its variants at the plan's size.
    pub fn max(&self, name: &str, resource: Resource) -> NeedResult {
        self.series(name, resource, Aggregate::Max, demand::requests_per_node(self.plan, self.case))
    }

    /// Like [`Self::mean`], with the given request rate per node for series measured against that rate.
    pub fn mean_at_rate(&self, name: &str, resource: Resource, rate: f64) -> NeedResult {
        self.series(name, resource, Aggregate::Mean, rate)
    }

    /// Whether the series or a variant of it was measured.
    pub fn is_measured(&self, name: &str) -> bool {
        !variants(self.slopes, name).is_empty()
    }

    /// The maximum of the first of these series that was measured.
    pub fn max_of_first_measured(&self, names: &[&str], resource: Resource) -> NeedResult {
        let known = names.iter().find(|name| self.is_measured(name));
        match (known, names.first()) {
            (Some(name), _) | (None, Some(name)) => self.max(name, resource),
            (None, None) => Err(Unavailable::NotApplicable),
        }
    }

    /// The maximum over all of these series that were measured; a lower bound if some were not.
    pub fn max_of_measured(&self, names: &[&str], resource: Resource) -> NeedResult {
        let found: Vec<_> = names.iter().map(|name| self.max(name, resource)).collect();
        let missing = found.iter().any(Result::is_err);
        let first = found.iter().find_map(|one| one.as_ref().err()).cloned();
        let largest = found.into_iter().flatten().reduce(Value::max);
        match largest {
            Some(value) => Ok(Value { is_lower_bound: value.is_lower_bound || missing, ..value }),
            None => Err(first.unwrap_or(Unavailable::NotApplicable)),
        }
    }

    fn series(&self, name: &str, resource: Resource, aggregate: Aggregate, rate: f64) -> NeedResult {
        let mut found = variants(self.slopes, name).into_iter();
        let first = found.next().ok_or_else(|| Unavailable::NotMeasured(name.to_owned()))?;
        let value = self.value_of(first, resource, aggregate, rate)?;
        match aggregate {
            Aggregate::Mean => Ok(value),
            Aggregate::Max => found.try_fold(value, |value, recorded| {
                Ok(value.max(self.value_of(recorded, resource, aggregate, rate)?))
            }),
        }
    }

    fn value_of(
        &self,
        recorded: &Recorded,
        resource: Resource,
        aggregate: Aggregate,
        rate: f64,
    ) -> NeedResult {
        let series = &recorded.series;
        let not_understood =
            |found: &str| Unavailable::Unrecognized { series: series.name.clone(), found: found.to_owned() };
        let factor = resource.factor(&series.unit).ok_or_else(|| not_understood(&series.unit))?;
        let size = plan_size(&series.against, self.plan, self.case, rate)
            .ok_or_else(|| not_understood(&series.against))?;
        let Estimate { value, reach } = estimate(recorded, size, aggregate);
        let mut result = Value::from_plan(value * factor);
        result.inputs.insert(series.name.clone());
        result.extrapolated = reach != Reach::Measured;
        Ok(result)
    }
}

fn estimate(recorded: &Recorded, size: f64, aggregate: Aggregate) -> Estimate {
    match aggregate {
        Aggregate::Mean => recorded.fit.mean_at(size),
        Aggregate::Max => recorded.fit.max_at(size),
    }
}

/// The plan's value of the size variable `against` of a series; `None` if the variable is unknown.
pub fn plan_size(against: &str, plan: &Plan, case: Case, rate: f64) -> Option<f64> {
    let against = against.to_lowercase().replace('_', " ");
    let words = SIZES.iter().find(|(words, _)| words.split(' ').all(|word| against.contains(word)));
    words.map(|(_, size)| match size {
        Size::NodeRate => rate,
        Size::Plan(of) => of(plan),
        Size::PlanInCase(of) => of(plan, case),
    })
}

/// A size variable of series.
enum Size {
    /// The request rate of a node.
    NodeRate,
    /// A figure of the plan.
    Plan(fn(&Plan) -> f64),
    /// A figure that depends on the case.
    PlanInCase(fn(&Plan, Case) -> f64),
}

/// Words that identify a size variable. The first entry whose words all occur in `against` applies, so that specific
/// entries come before general ones.
const SIZES: [(&str, Size); 19] = [
    ("servers zone", Size::Plan(|plan| plan.servers / plan.zones)),
    ("lost server", Size::Plan(|plan| plan.servers / plan.zones)),
    ("lost", Size::Plan(|plan| plan.nodes / plan.zones)),
    ("connection", Size::PlanInCase(demand::in_flight_per_node)),
    ("in flight", Size::PlanInCase(demand::in_flight_per_node)),
    ("request", Size::NodeRate),
    ("refusal", Size::NodeRate),
    ("rate", Size::NodeRate),
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
