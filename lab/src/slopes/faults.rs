//! Errors of series files and slopes files.

use std::fmt;
use std::path::PathBuf;

/// An error in a file, and its location.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The path of the value within the file, such as `[3].points[2].value`.
    pub location: String,
    /// The value found.
    pub found: String,
    /// A description of valid values.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{}: found {}, expected {}", self.location, self.found, self.expected)
    }
}

/// Why a series file or a slopes file could not be used.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// The file could not be read.
    #[error("{path}: cannot be read: {error}", path = path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// The file could not be written.
    #[error("{path}: cannot be written: {error}", path = path.display())]
    Unwritable {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// The file is not valid JSON.
    #[error("{path}: line {line}, column {column}: found {found}, expected JSON", path = path.display())]
    InvalidJson {
        /// The path of the file.
        path: PathBuf,
        /// The line.
        line: usize,
        /// The column.
        column: usize,
        /// The message of the JSON parser.
        found: String,
    },
    /// The file is valid JSON with invalid content.
    #[error("{}", one_per_line(path, faults))]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// All errors in the file.
        faults: Vec<Fault>,
    },
}

fn one_per_line(path: &std::path::Path, faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect::<Vec<_>>().join("\n")
}
