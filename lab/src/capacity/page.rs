//! The page that contains the tables between two markers: checks it against freshly rendered tables, or updates it.

use std::path::{Path, PathBuf};

const BEGIN: &str = "<!-- walkpick-lab capacity: begin -->";
const END: &str = "<!-- walkpick-lab capacity: end -->";

/// Why a page could not be checked or updated.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
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
    /// The markers are missing, repeated or in the wrong order.
    #[error("{path}: found {found}, expected the line \"{BEGIN}\" once and the line \"{END}\" once after it", path = path.display())]
    NoMarkers {
        /// The path of the file.
        path: PathBuf,
        /// How often each marker was found.
        found: String,
    },
}

/// The lines of a page, split at its markers; the markers belong to `before` and `after`.
struct Page {
    before: Vec<String>,
    generated: Vec<String>,
    after: Vec<String>,
}

impl Page {
    fn read(path: &Path) -> Result<Self, PageError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| PageError::Unreadable { path: path.to_owned(), error })?;
        let lines: Vec<_> = text.lines().map(str::to_owned).collect();
        let positions = |marker: &str| -> Vec<usize> {
            (0..lines.len()).filter(|line| lines[*line].trim() == marker).collect()
        };
        match (positions(BEGIN).as_slice(), positions(END).as_slice()) {
            (&[begin], &[end]) if begin < end => Ok(Self {
                before: lines[..=begin].to_vec(),
                generated: lines[begin + 1..end].to_vec(),
                after: lines[end..].to_vec(),
            }),
            (begins, ends) => {
                let found = format!("the first {} times and the second {} times", begins.len(), ends.len());
                Err(PageError::NoMarkers { path: path.to_owned(), found })
            }
        }
    }
}

/// Lists the lines in which the page and the tables differ, with line numbers; empty if they agree.
pub fn check(path: &Path, tables: &[String]) -> Result<Vec<String>, PageError> {
    let page = Page::read(path)?;
    let first = page.before.len() + 1;
    Ok(differences(&page.generated, tables, first))
}

/// Replaces the lines between the markers with the tables.
pub fn write(path: &Path, tables: &[String]) -> Result<(), PageError> {
    let Page { before, after, .. } = Page::read(path)?;
    let mut text = [before, tables.to_vec(), after].concat().join("\n");
    text.push('\n');
    std::fs::write(path, text).map_err(|error| PageError::Unwritable { path: path.to_owned(), error })
}

/// Lists lines of the page that are not in the tables and vice versa; if there are none, the first line whose position
/// differs.
fn differences(page: &[String], tables: &[String], first: usize) -> Vec<String> {
    let mut found = Vec::new();
    for (i, line) in page.iter().enumerate().filter(|(_, line)| !tables.contains(line)) {
        found.push(format!("line {}: the page has      {line}", first + i));
    }
    for line in tables.iter().filter(|line| !page.contains(line)) {
        found.push(format!("not on the page: {line}"));
    }
    if found.is_empty() && page != tables {
        let place = page.iter().zip(tables).position(|(one, other)| one != other);
        let place = place.unwrap_or(page.len().min(tables.len()));
        found.push(format!("line {}: the same lines in another order or number", first + place));
    }
    found
}
