//! How series grow while they are measured.

pub use crate::slopes::{Method, Point, Series};

/// A series that grows play by play.
pub trait Collect {
    /// One without points; its command is known once all is measured.
    fn new(name: &str, unit: &str, against: &str, method: Method) -> Self;

    /// Adds a play.
    fn push(&mut self, size: f64, value: f64, seed: u64);

    /// The different sizes, in their order.
    fn sizes(&self) -> Vec<f64>;

    /// The mean value of the plays of a size.
    fn mean(&self, size: f64) -> f64;
}

impl Collect for Series {
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
