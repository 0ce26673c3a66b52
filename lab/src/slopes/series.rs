//! The form in which every measuring tool writes what it has measured: a JSON array of series.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;

/// How a series was measured.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Method {
    /// In simulated time, without sockets.
    Simulated,
    /// The control parts of many nodes in one process, on real sockets.
    Hollow,
    /// Complete processes on real sockets.
    Real,
    /// Calls of the code in one process, without sockets.
    InProcess,
}

impl Method {
    /// Every method.
    pub const ALL: [Self; 4] = [Self::Simulated, Self::Hollow, Self::Real, Self::InProcess];

    /// As JSON has it.
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

/// What one play measured at one size.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Point {
    /// The size, in what the series stands against.
    pub size: f64,
    /// What was measured, in the series' unit.
    pub value: f64,
    /// The seed of the play.
    pub seed: u64,
}

/// A cost that was measured at several sizes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Series {
    /// What it is called, such as `membership.bytes_per_second.rest`.
    pub name: String,
    /// The unit of the values, such as `B/s`.
    pub unit: String,
    /// What the sizes count, such as `nodes`.
    pub against: String,
    /// How it was measured.
    pub method: Method,
    /// The command that measures it again.
    pub command: String,
    /// One point for each play.
    pub points: Vec<Point>,
}

/// Writes series in the common form.
pub fn write_series(path: &Path, series: &[Series]) -> std::io::Result<()> {
    let mut text = serde_json::to_string_pretty(series)?;
    text.push('\n');
    std::fs::write(path, text)
}
