//! The output format of all measuring tools: a JSON array of series.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;

/// How a series was measured.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Method {
    /// In simulated time, without sockets.
    Simulated,
    /// The control functions of many nodes in one process, on real sockets.
    Hollow,
    /// Complete processes on real sockets.
    Real,
    /// Direct calls of the code in one process, without sockets.
    InProcess,
}

impl Method {
    /// All methods.
    pub const ALL: [Self; 4] = [Self::Simulated, Self::Hollow, Self::Real, Self::InProcess];

    /// The name used in JSON.
    pub fn name(self) -> &'static str {
        match self {
            Self::Simulated => "simulated",
            Self::Hollow => "hollow",
            Self::Real => "real",
            Self::InProcess => "in-process",
        }
    }
}

impl fmt::Display for Method {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.pad(self.name())
    }
}

/// The measurement of one run at one size.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Point {
    /// The size, as a value of the series' size variable.
    pub size: f64,
    /// The measured value, in the series' unit.
    pub value: f64,
    /// The seed of the run.
    pub seed: u64,
}

/// A cost measured at several sizes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Series {
    /// The name, such as `membership.bytes_per_second.rest`.
    pub name: String,
    /// The unit of the values, such as `B/s`.
    pub unit: String,
    /// The size variable, such as `nodes`.
    pub against: String,
    /// How it was measured.
    pub method: Method,
    /// The command that reproduces the measurement.
    pub command: String,
    /// One point per run.
    pub points: Vec<Point>,
}

/// Writes series as a series file.
pub fn write_series(path: &Path, series: &[Series]) -> std::io::Result<()> {
    let mut text = serde_json::to_string_pretty(series)?;
    text.push('\n');
    std::fs::write(path, text)
}
