//! Faults of a configuration. All of them are reported at once, each with its place, the value found there
//! and the value expected.

use serde_json::Value;
use std::fmt;
use std::path::PathBuf;
use thiserror::Error;

/// One fault of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// A JSON path such as `walkpick.log.level`, a position in the text, or the name of an environment
    /// variable.
    pub place: String,
    pub found: String,
    pub expected: String,
}

impl Fault {
    pub fn new(place: impl Into<String>, found: impl Into<String>, expected: impl Into<String>) -> Self {
        Self { place: place.into(), found: found.into(), expected: expected.into() }
    }

    /// A fault of a wrong value, or of a missing one.
    pub fn at(place: impl Into<String>, found: Option<&Value>, expected: impl Into<String>) -> Self {
        Self::new(place, found.map_or_else(|| "nothing".to_owned(), excerpt), expected)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}, expected {}", self.place, self.found, self.expected)
    }
}

/// Formats a value for a message, truncated if it is long.
fn excerpt(value: &Value) -> String {
    const MAX_CHARS: usize = 40;
    match value {
        Value::Object(fields) => format!("an object of {}", fields.len()),
        Value::Array(items) => format!("a list of {}", items.len()),
        _ => {
            let text = value.to_string();
            match text.char_indices().nth(MAX_CHARS) {
                Some((end, _)) => format!("{}...", &text[..end]),
                None => text,
            }
        }
    }
}

/// Why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("LB_CONFIG: found nothing, expected the path of a configuration file")]
    NoPath,
    #[error("{}: cannot be read: {error}", path.display())]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{}", fault_lines(path, faults))]
    Invalid { path: PathBuf, faults: Vec<Fault> },
}

fn fault_lines(path: &std::path::Path, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect();
    lines.join("\n")
}

#[cfg(test)]
mod tests;
