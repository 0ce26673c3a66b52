//! What is wrong with a configuration: every fault at once, each with its place, what stands there and what
//! should.

use serde_json::Value;
use std::fmt;
use std::path::PathBuf;
use thiserror::Error;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// A JSON path such as `walkpick.log.level`, a place in the text, or the name of a variable.
    pub place: String,
    pub found: String,
    pub expected: String,
}

impl Fault {
    pub fn new(place: impl Into<String>, found: impl Into<String>, expected: impl Into<String>) -> Self {
        Self { place: place.into(), found: found.into(), expected: expected.into() }
    }

    /// Of a value that stands at the wrong place, or of none.
    pub fn at(place: impl Into<String>, found: Option<&Value>, expected: impl Into<String>) -> Self {
        Self::new(place, found.map_or_else(|| "nothing".to_owned(), shown), expected)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}, expected {}", self.place, self.found, self.expected)
    }
}

/// A value as a message shows it: cut short where it is long.
fn shown(value: &Value) -> String {
    const MOST: usize = 40;
    match value {
        Value::Object(fields) => format!("an object of {}", fields.len()),
        Value::Array(items) => format!("a list of {}", items.len()),
        _ => {
            let text = value.to_string();
            match text.char_indices().nth(MOST) {
                Some((end, _)) => format!("{}...", &text[..end]),
                None => text,
            }
        }
    }
}

/// Why a node cannot start.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("LB_CONFIG: found nothing, expected the path of a configuration")]
    NoPath,
    #[error("{}: cannot be read: {error}", path.display())]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{}", listed(path, faults))]
    Faulty { path: PathBuf, faults: Vec<Fault> },
}

fn listed(path: &std::path::Path, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect();
    lines.join("\n")
}

#[cfg(test)]
mod tests;
