//! Builds series point by point.

pub use crate::slopes::{Method, Point, Series};

/// Building and summarising a series.
pub trait SeriesExt {
    /// Creates a series without points. Its command is filled in after all measurements.
    fn new(name: &str, unit: &str, against: &str, method: Method) -> Self;

    /// Adds the result of a run.
    fn push(&mut self, size: f64, value: f64, seed: u64);

    /// The distinct sizes, in ascending order.
    fn sizes(&self) -> Vec<f64>;

    /// Mean value over the runs of a size.
    fn mean(&self, size: f64) -> f64;
}

impl SeriesExt for Series {
    fn new(name: &str, unit: &str, against: &str, method: Method) -> Self {
        let (name, unit, against) = (name.to_owned(), unit.to_owned(), against.to_owned());
        Self { name, unit, against, method, command: String::new(), points: Vec::new() }
    }

    fn push(&mut self, size: f64, value: f64, seed: u64) {
        self.points.push(Point { size, value, seed });
    }

    fn sizes(&self) -> Vec<f64> {
        let mut sizes: Vec<_> = self.points.iter().map(|point| point.size).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        sizes
    }

    fn mean(&self, size: f64) -> f64 {
        let same = self.points.iter().filter(|point| point.size == size);
        let values: Vec<_> = same.map(|point| point.value).collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    }
}
