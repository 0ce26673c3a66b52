//! Reading a table of a file value by value, so that everything wrong with it is told at once.

use crate::experiment::Diagnostic;
use serde::de::DeserializeOwned;
use std::time::Duration;
use toml::{Table, Value};

/// Reads the values of one table, and collects what is wrong with them.
pub struct TableReader<'a> {
    place: String,
    table: &'a Table,
    faults: &'a mut Vec<Diagnostic>,
    faults_before: usize,
}

impl<'a> TableReader<'a> {
    /// Reads `table`, which stands at `place`.
    pub fn new(place: &str, table: &'a Table, faults: &'a mut Vec<Diagnostic>) -> Self {
        Self { place: place.to_owned(), table, faults_before: faults.len(), faults }
    }

    /// Whether nothing was wrong with the table up to now.
    pub fn is_good(&self) -> bool {
        self.faults.len() == self.faults_before
    }

    /// Whether the key is there.
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Tells that something is wrong.
    pub fn fault(&mut self, key: &str, found: &str, expected: &str) {
        let place = if self.place.is_empty() { key.to_owned() } else { format!("{}: {key}", self.place) };
        self.faults
            .push(Diagnostic { location: place, message: format!("found {found}, expected {expected}") });
    }

    /// Tells of every key that is not one of these.
    pub fn only(&mut self, keys: &[&str]) {
        let table = self.table;
        for key in table.keys().filter(|key| !keys.contains(&key.as_str())) {
            self.fault(key, "an unknown key", &format!("one of {}", keys.join(", ")));
        }
    }

    /// A value that has to be there.
    pub fn required<T: DeserializeOwned>(&mut self, key: &str, expected: &str) -> Option<T> {
        if !self.has(key) {
            self.fault(key, "nothing", expected);
        }
        self.optional(key, expected)
    }

    /// A value that may be there.
    pub fn optional<T: DeserializeOwned>(&mut self, key: &str, expected: &str) -> Option<T> {
        let value = self.table.get(key)?;
        let read = value.clone().try_into::<T>();
        if read.is_err() {
            self.fault(key, &shown(value), expected);
        }
        read.ok()
    }

    /// A time such as "30s" that may be there.
    pub fn duration(&mut self, key: &str) -> Option<Duration> {
        const EXPECTED: &str = "a time such as \"30s\"";
        let text: String = self.optional(key, EXPECTED)?;
        let read = humantime::parse_duration(&text);
        if read.is_err() {
            self.fault(key, &format!("\"{text}\""), EXPECTED);
        }
        read.ok()
    }

    /// Tells of a value outside of its bounds.
    pub fn within(&mut self, key: &str, value: f64, least: f64, most: f64) {
        if !(least..=most).contains(&value) {
            self.fault(key, &value.to_string(), &format!("{least} to {most}"));
        }
    }
}

/// A value as it may stand in a line.
fn shown(value: &Value) -> String {
    /// Longer ones are cut.
    const LONGEST: usize = 60;
    let text = value.to_string().replace('\n', " ");
    match text.char_indices().nth(LONGEST) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
