//! Least squares of a cost against its size, the shape that fits best, and what the fit says of other sizes.

use super::Point;
use serde::Serialize;
use std::fmt;

/// Fewer sizes than this don't show a shape.
pub const FEWEST_SIZES: usize = 4;
/// A line is preferred to a constant only where it leaves less than this part of the constant's standard error:
/// a second parameter always leaves a little less.
const LINE_MUST_GAIN: f64 = 0.9;
/// The means of the sizes may lie so far from the line (root mean square, as a part of their mean); beyond it the cost is
/// no straight line.
const STRAIGHT_WITHIN: f64 = 0.1;

/// What a cost grows with.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Not with the size at all.
    Constant,
    /// With the logarithm (to the base 2) of the size.
    Logarithm,
    /// With the size.
    Linear,
}

impl Shape {
    fn of(self, size: f64) -> f64 {
        match self {
            Self::Constant => 0.0,
            Self::Logarithm => size.log2(),
            Self::Linear => size,
        }
    }

    fn parameters(self) -> usize {
        match self {
            Self::Constant => 1,
            Self::Logarithm | Self::Linear => 2,
        }
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.pad(match self {
            Self::Constant => "constant",
            Self::Logarithm => "log2(size)",
            Self::Linear => "size",
        })
    }
}

/// What the points allow one to say.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Fewer than four sizes.
    TooFewSizes,
    /// The cost follows the named shape.
    Straight,
    /// No shape fits: the points stand for themselves.
    NoStraightLine,
}

/// A least-squares fit over all points of a series.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// What may be said at all.
    pub verdict: Verdict,
    /// The shape that fits best.
    pub shape: Shape,
    /// The cost at nought of the shape's variable.
    pub intercept: f64,
    /// What one more of the shape's variable costs.
    pub slope: f64,
    /// Root mean square of what the fit leaves.
    pub residual: f64,
    /// The same as a part of the mean value.
    pub relative_residual: f64,
    /// Part of the variance that the fit explains; nought for a constant.
    pub r_squared: f64,
    /// How many sizes.
    pub sizes: usize,
    /// How many plays.
    pub plays: usize,
    /// The least size.
    pub from: f64,
    /// The largest size.
    pub to: f64,
    /// The most that a play lies above the line.
    #[serde(skip)]
    pub above: f64,
    /// The mean at each size, in the order of sizes.
    #[serde(skip)]
    pub means: Vec<Mean>,
}

/// The mean of all plays of one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// The size.
    pub size: f64,
    /// The mean value.
    pub value: f64,
    /// The largest value.
    pub largest: f64,
}

/// Where a size lies to what was measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    /// Within the measured sizes.
    Measured,
    /// Below the least one, by this factor.
    Below(f64),
    /// Above the largest one, by this factor.
    Above(f64),
}

impl fmt::Display for Reach {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Measured => to.write_str("measured"),
            Self::Below(factor) => write!(to, "extrapolated, {factor:.1} times below the least size"),
            Self::Above(factor) => write!(to, "extrapolated, {factor:.1} times past the largest size"),
        }
    }
}

/// What a fit says of a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The cost, never below nought.
    pub value: f64,
    /// Whether sizes like it were measured.
    pub reach: Reach,
}

/// One shape, tried.
pub(super) struct Tried {
    pub(super) shape: Shape,
    pub(super) intercept: f64,
    pub(super) slope: f64,
    /// The sum of the squares that it leaves.
    pub(super) squares: f64,
}

impl Fit {
    /// Of points; none where there are none.
    pub fn of(points: &[Point]) -> Option<Self> {
        let means = means(points);
        let (first, last) = (means.first()?, means.last()?);
        let tried = best(points, means.len());
        let (plays, mean) = (points.len() as f64, points.iter().map(|point| point.value).sum::<f64>());
        let mean = mean / plays;
        let spread: f64 = points.iter().map(|point| (point.value - mean).powi(2)).sum();
        let residual = (tried.squares / plays).sqrt();
        let mut fit = Self {
            verdict: Verdict::TooFewSizes,
            shape: tried.shape,
            intercept: tried.intercept,
            slope: tried.slope,
            residual,
            relative_residual: if mean > 0.0 { residual / mean } else { 0.0 },
            r_squared: if spread > 0.0 { (1.0 - tried.squares / spread).max(0.0) } else { 0.0 },
            sizes: means.len(),
            plays: points.len(),
            from: first.size,
            to: last.size,
            above: 0.0,
            means,
        };
        let above = points.iter().map(|point| point.value - fit.line(point.size));
        fit.above = above.fold(0.0, f64::max);
        fit.verdict = fit.judge();
        Some(fit)
    }

    /// The line in words; where no line holds, why, and the mean of each size.
    pub fn formula(&self, number: impl Fn(f64) -> String) -> String {
        let line = match self.shape {
            Shape::Constant => number(self.intercept),
            shape => format!("{} + {} x {shape}", number(self.intercept), number(self.slope)),
        };
        let means: Vec<_> = self.means.iter().map(|mean| number(mean.value)).collect();
        match self.verdict {
            Verdict::Straight => line,
            Verdict::TooFewSizes => format!("too few sizes; means {}", means.join(" / ")),
            Verdict::NoStraightLine => format!("no straight line; means {}", means.join(" / ")),
        }
    }

    fn judge(&self) -> Verdict {
        if self.sizes < FEWEST_SIZES {
            return Verdict::TooFewSizes;
        }
        let sizes = self.sizes as f64;
        let mean = self.means.iter().map(|mean| mean.value).sum::<f64>() / sizes;
        let off: f64 = self.means.iter().map(|mean| (mean.value - self.line(mean.size)).powi(2)).sum();
        match (off / sizes).sqrt() <= STRAIGHT_WITHIN * mean {
            true => Verdict::Straight,
            false => Verdict::NoStraightLine,
        }
    }

    fn line(&self, size: f64) -> f64 {
        self.intercept + self.slope * self.shape.of(size)
    }

    /// What a size costs: by the shape where it fits, else between the means of the nearest sizes.
    pub fn at(&self, size: f64) -> Estimate {
        let value = match self.verdict {
            Verdict::Straight => self.line(size),
            Verdict::TooFewSizes | Verdict::NoStraightLine => between(&self.means, size, |mean| mean.value),
        };
        Estimate { value: value.max(0.0), reach: self.reach(size) }
    }

    /// The same for the largest play in place of the mean: the line and the most that a play lay above it, or between the
    /// largest plays of the nearest sizes.
    pub fn largest_at(&self, size: f64) -> Estimate {
        let value = match self.verdict {
            Verdict::Straight => self.line(size) + self.above,
            Verdict::TooFewSizes | Verdict::NoStraightLine => between(&self.means, size, |mean| mean.largest),
        };
        Estimate { value: value.max(0.0), reach: self.reach(size) }
    }

    fn reach(&self, size: f64) -> Reach {
        if size > self.to {
            Reach::Above(size / self.to)
        } else if size < self.from {
            Reach::Below(self.from / size)
        } else {
            Reach::Measured
        }
    }
}

/// Straight from size to size; past the ends as the two nearest sizes go on.
fn between(means: &[Mean], size: f64, value: impl Fn(&Mean) -> f64) -> f64 {
    let after = means.iter().position(|mean| mean.size >= size).unwrap_or(means.len());
    let last = means.len().saturating_sub(1);
    let to = after.clamp(1.min(last), last);
    let (Some(from), Some(to)) = (means.get(to.saturating_sub(1)), means.get(to)) else { return 0.0 };
    if from.size == to.size {
        return value(to);
    }
    value(from) + (value(to) - value(from)) * (size - from.size) / (to.size - from.size)
}

fn means(points: &[Point]) -> Vec<Mean> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|one, other| one.size.total_cmp(&other.size));
    sorted
        .chunk_by(|one, other| one.size == other.size)
        .map(|alike| Mean {
            size: alike[0].size,
            value: alike.iter().map(|point| point.value).sum::<f64>() / alike.len() as f64,
            largest: alike.iter().map(|point| point.value).fold(0.0, f64::max),
        })
        .collect()
}

/// The shape that leaves the least standard error; the simpler one where it is a close thing.
fn best(points: &[Point], sizes: usize) -> Tried {
    let constant = try_shape(points, Shape::Constant);
    if sizes < 2 {
        return constant;
    }
    let lines = [Shape::Logarithm, Shape::Linear].map(|shape| try_shape(points, shape));
    let [logarithm, linear] = lines;
    let line = if linear.squares < logarithm.squares { linear } else { logarithm };
    let error = |tried: &Tried| {
        let free = points.len().saturating_sub(tried.shape.parameters()).max(1);
        (tried.squares / free as f64).sqrt()
    };
    if error(&line) < LINE_MUST_GAIN * error(&constant) {
        line
    } else {
        constant
    }
}

pub(super) fn try_shape(points: &[Point], shape: Shape) -> Tried {
    let count = points.len().max(1) as f64;
    let x_mean = points.iter().map(|point| shape.of(point.size)).sum::<f64>() / count;
    let y_mean = points.iter().map(|point| point.value).sum::<f64>() / count;
    let x_squares: f64 = points.iter().map(|point| (shape.of(point.size) - x_mean).powi(2)).sum();
    let products: f64 =
        points.iter().map(|point| (shape.of(point.size) - x_mean) * (point.value - y_mean)).sum();
    let slope = if x_squares > 0.0 { products / x_squares } else { 0.0 };
    let intercept = y_mean - slope * x_mean;
    let left = |point: &Point| point.value - intercept - slope * shape.of(point.size);
    Tried { shape, intercept, slope, squares: points.iter().map(|point| left(point).powi(2)).sum() }
}
