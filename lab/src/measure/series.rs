//! Series of points, as all tools of the capacity page share them.

use serde::{Deserialize, Serialize};

/// How a series was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Method {
    /// In simulated time.
    Simulated,
    /// Many nodes' control parts in one process, on real sockets.
    Hollow,
    /// Real processes on real sockets.
    Real,
    /// The code itself, called in one process.
    InProcess,
}

/// One play.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Point {
    /// What the value is held against.
    pub size: f64,
    /// The value.
    pub value: f64,
    /// What all draws of the play came from.
    pub seed: u64,
}

/// Values against sizes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Series {
    /// Its name, with dots.
    pub name: String,
    /// Unit of the values.
    pub unit: String,
    /// What the sizes are.
    pub against: String,
    /// How it was measured.
    pub method: Method,
    /// The command that made it.
    pub command: String,
    /// The plays.
    pub points: Vec<Point>,
}

impl Series {
    /// A series without points.
    pub fn new(name: &str, unit: &str, against: &str, method: Method) -> Self {
        let (name, unit, against) = (name.to_owned(), unit.to_owned(), against.to_owned());
        Self { name, unit, against, method, command: String::new(), points: Vec::new() }
    }

    /// Adds a play.
    pub fn push(&mut self, size: f64, value: f64, seed: u64) {
        self.points.push(Point { size, value, seed });
    }

    /// The different sizes, in their order.
    pub fn sizes(&self) -> Vec<f64> {
        let mut sizes: Vec<_> = self.points.iter().map(|point| point.size).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        sizes
    }

    /// The mean value of the plays of a size.
    pub fn mean(&self, size: f64) -> f64 {
        let values: Vec<_> =
            self.points.iter().filter(|point| point.size == size).map(|point| point.value).collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    }
}
