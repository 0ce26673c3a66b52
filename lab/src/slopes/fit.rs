//! Least-squares fits of a cost against a size: selects the best shape and estimates the cost at other sizes.

use super::Point;
use serde::Serialize;
use std::fmt;

/// The fewest sizes from which a shape can be inferred.
pub const MIN_SIZES: usize = 4;
/// A line is preferred to a constant only if its standard error is below this fraction of the constant's: a second
/// parameter always reduces the error a little.
const MAX_LINE_ERROR_RATIO: f64 = 0.9;
/// The largest deviation of the size means from the line (root mean square, relative to their mean) at which the cost
/// still counts as following the line.
const MAX_RELATIVE_DEVIATION: f64 = 0.1;

/// How a cost depends on the size.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Independent of the size.
    Constant,
    /// Linear in the base-2 logarithm of the size.
    Logarithm,
    /// Linear in the size.
    Linear,
}

impl Shape {
    fn transform(self, size: f64) -> f64 {
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

/// Whether the fit describes the points.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// There are fewer than [`MIN_SIZES`] (four) sizes.
    TooFewSizes,
    /// The cost follows the fitted shape.
    Straight,
    /// No shape fits; estimates interpolate between the points.
    NoStraightLine,
}

/// A least-squares fit over all points of a series.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Whether the fit describes the points.
    pub verdict: Verdict,
    /// The best-fitting shape.
    pub shape: Shape,
    /// The cost where the variable of the shape is zero.
    pub intercept: f64,
    /// The cost per unit of the variable of the shape.
    pub slope: f64,
    /// Root mean square of the residuals.
    pub residual: f64,
    /// The residual relative to the mean value.
    pub relative_residual: f64,
    /// Fraction of the variance that the fit explains; zero for a constant.
    pub r_squared: f64,
    /// Number of sizes.
    pub sizes: usize,
    /// Number of runs (points).
    pub plays: usize,
    /// The smallest size.
    pub from: f64,
    /// The largest size.
    pub to: f64,
    /// The largest distance of a point above the line.
    #[serde(skip)]
    pub max_above_line: f64,
    /// The summary of each size, in ascending order of size.
    #[serde(skip)]
    pub means: Vec<Mean>,
}

/// Summary of all runs at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// The size.
    pub size: f64,
    /// The mean value.
    pub value: f64,
    /// The largest value.
    pub max: f64,
}

/// The position of a size relative to the measured range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    /// Within the measured range.
    Measured,
    /// Below the smallest measured size, by this factor.
    Below(f64),
    /// Above the largest measured size, by this factor.
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

/// The estimated cost at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The cost; not negative.
    pub value: f64,
    /// Whether the size lies within the measured range.
    pub reach: Reach,
}

/// The least-squares fit of one shape.
pub(super) struct Candidate {
    pub(super) shape: Shape,
    pub(super) intercept: f64,
    pub(super) slope: f64,
    /// The residual sum of squares.
    pub(super) sum_of_squares: f64,
}

impl Fit {
    /// Fits the points; `None` if there are none.
    pub fn of(points: &[Point]) -> Option<Self> {
        let means = means(points);
        let (first, last) = (means.first()?, means.last()?);
        let candidate = best_fit(points, means.len());
        let (plays, mean) = (points.len() as f64, points.iter().map(|point| point.value).sum::<f64>());
        let mean = mean / plays;
        let spread: f64 = points.iter().map(|point| (point.value - mean).powi(2)).sum();
        let residual = (candidate.sum_of_squares / plays).sqrt();
        let mut fit = Self {
            verdict: Verdict::TooFewSizes,
            shape: candidate.shape,
            intercept: candidate.intercept,
            slope: candidate.slope,
            residual,
            relative_residual: if mean > 0.0 { residual / mean } else { 0.0 },
            r_squared: if spread > 0.0 { (1.0 - candidate.sum_of_squares / spread).max(0.0) } else { 0.0 },
            sizes: means.len(),
            plays: points.len(),
            from: first.size,
            to: last.size,
            max_above_line: 0.0,
            means,
        };
        let above = points.iter().map(|point| point.value - fit.predict(point.size));
        fit.max_above_line = above.fold(0.0, f64::max);
        fit.verdict = fit.classify();
        Some(fit)
    }

    /// The formula of the line; if the points do not follow one, the reason and the mean of each size.
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

    fn classify(&self) -> Verdict {
        if self.sizes < MIN_SIZES {
            return Verdict::TooFewSizes;
        }
        let sizes = self.sizes as f64;
        let mean = self.means.iter().map(|mean| mean.value).sum::<f64>() / sizes;
        let off: f64 = self.means.iter().map(|mean| (mean.value - self.predict(mean.size)).powi(2)).sum();
        match (off / sizes).sqrt() <= MAX_RELATIVE_DEVIATION * mean {
            true => Verdict::Straight,
            false => Verdict::NoStraightLine,
        }
    }

    fn predict(&self, size: f64) -> f64 {
        self.intercept + self.slope * self.shape.transform(size)
    }

    /// Estimates the mean cost at a size: by the line if the points follow it, else interpolated between the means of the
    /// nearest sizes.
    pub fn mean_at(&self, size: f64) -> Estimate {
        let value = match self.verdict {
            Verdict::Straight => self.predict(size),
            Verdict::TooFewSizes | Verdict::NoStraightLine => {
                interpolate(&self.means, size, |mean| mean.value)
            }
        };
        Estimate { value: value.max(0.0), reach: self.reach(size) }
    }

    /// Estimates the largest cost of a run at a size: by the line plus the largest distance of a point above it, else
    /// interpolated between the maxima of the nearest sizes.
    pub fn max_at(&self, size: f64) -> Estimate {
        let value = match self.verdict {
            Verdict::Straight => self.predict(size) + self.max_above_line,
            Verdict::TooFewSizes | Verdict::NoStraightLine => interpolate(&self.means, size, |mean| mean.max),
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

/// Interpolates linearly between sizes; beyond the ends, extrapolates from the two nearest sizes.
fn interpolate(means: &[Mean], size: f64, value: impl Fn(&Mean) -> f64) -> f64 {
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
            max: alike.iter().map(|point| point.value).fold(0.0, f64::max),
        })
        .collect()
}

/// Selects the shape with the smallest standard error; prefers the constant if a line gains little.
fn best_fit(points: &[Point], sizes: usize) -> Candidate {
    let constant = fit_shape(points, Shape::Constant);
    if sizes < 2 {
        return constant;
    }
    let lines = [Shape::Logarithm, Shape::Linear].map(|shape| fit_shape(points, shape));
    let [logarithm, linear] = lines;
    let line = if linear.sum_of_squares < logarithm.sum_of_squares { linear } else { logarithm };
    let error = |candidate: &Candidate| {
        let free = points.len().saturating_sub(candidate.shape.parameters()).max(1);
        (candidate.sum_of_squares / free as f64).sqrt()
    };
    if error(&line) < MAX_LINE_ERROR_RATIO * error(&constant) {
        line
    } else {
        constant
    }
}

pub(super) fn fit_shape(points: &[Point], shape: Shape) -> Candidate {
    let count = points.len().max(1) as f64;
    let x_mean = points.iter().map(|point| shape.transform(point.size)).sum::<f64>() / count;
    let y_mean = points.iter().map(|point| point.value).sum::<f64>() / count;
    let x_squares: f64 = points.iter().map(|point| (shape.transform(point.size) - x_mean).powi(2)).sum();
    let products: f64 =
        points.iter().map(|point| (shape.transform(point.size) - x_mean) * (point.value - y_mean)).sum();
    let slope = if x_squares > 0.0 { products / x_squares } else { 0.0 };
    let intercept = y_mean - slope * x_mean;
    let left = |point: &Point| point.value - intercept - slope * shape.transform(point.size);
    Candidate {
        shape,
        intercept,
        slope,
        sum_of_squares: points.iter().map(|point| left(point).powi(2)).sum(),
    }
}
