//! What may be wrong with a file of series or of slopes.

use std::fmt;
use std::path::PathBuf;

/// One thing that is wrong, and where.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The place in the file, such as `[3].points[2].value`.
    pub place: String,
    /// What stands there.
    pub found: String,
    /// What would be right.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{}: found {}, expected {}", self.place, self.found, self.expected)
    }
}

/// Why series or slopes could not be used.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// The file could not be read.
    #[error("{path}: cannot be read: {error}", path = path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The file could not be written.
    #[error("{path}: cannot be written: {error}", path = path.display())]
    Unwritable {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The file is no JSON.
    #[error("{path}: line {line}, column {column}: found {found}, expected JSON", path = path.display())]
    NoJson {
        /// The file.
        path: PathBuf,
        /// The line.
        line: usize,
        /// The column.
        column: usize,
        /// What the reader says of it.
        found: String,
    },
    /// The content is not what it should be: every fault of it.
    #[error("{}", one_a_line(path, faults))]
    Faults {
        /// The file.
        path: PathBuf,
        /// All that is wrong.
        faults: Vec<Fault>,
    },
}

fn one_a_line(path: &std::path::Path, faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect::<Vec<_>>().join("\n")
}
