//! The page that holds the tables between two markers: compared with plan and slopes, and renewed from them.

use std::path::{Path, PathBuf};

const BEGIN: &str = "<!-- walkpick-lab capacity: begin -->";
const END: &str = "<!-- walkpick-lab capacity: end -->";

/// Why a page could not be compared or renewed.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
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
    /// The markers are not there.
    #[error("{path}: found {found}, expected the line \"{BEGIN}\" once and the line \"{END}\" once after it", path = path.display())]
    NoMarkers {
        /// The file.
        path: PathBuf,
        /// What stands there.
        found: String,
    },
}

/// A page, cut at its markers.
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
        let places = |marker: &str| -> Vec<usize> {
            (0..lines.len()).filter(|line| lines[*line].trim() == marker).collect()
        };
        match (places(BEGIN).as_slice(), places(END).as_slice()) {
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

/// The lines in which page and tables differ, each with its place; none where they agree.
pub fn check(path: &Path, tables: &[String]) -> Result<Vec<String>, PageError> {
    let page = Page::read(path)?;
    let first = page.before.len() + 1;
    Ok(differences(&page.generated, tables, first))
}

/// Puts the tables into the page; what stands outside the markers stays.
pub fn write(path: &Path, tables: &[String]) -> Result<(), PageError> {
    let Page { before, after, .. } = Page::read(path)?;
    let mut text = [before, tables.to_vec(), after].concat().join("\n");
    text.push('\n');
    std::fs::write(path, text).map_err(|error| PageError::Unwritable { path: path.to_owned(), error })
}

/// Lines of the page that are not among the tables, and the other way round; where all are the same, their order.
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
