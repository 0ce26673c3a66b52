//! Reads a TOML table value by value and collects all errors instead of stopping at the first.

use crate::experiment::Diagnostic;
use serde::de::DeserializeOwned;
use std::time::Duration;
use toml::{Table, Value};

/// Reads the values of one table and collects errors.
pub struct TableReader<'a> {
    location: String,
    table: &'a Table,
    diagnostics: &'a mut Vec<Diagnostic>,
    diagnostics_before: usize,
}

impl<'a> TableReader<'a> {
    /// Creates a reader of `table`; `location` prefixes the location of errors.
    pub fn new(location: &str, table: &'a Table, diagnostics: &'a mut Vec<Diagnostic>) -> Self {
        Self { location: location.to_owned(), table, diagnostics_before: diagnostics.len(), diagnostics }
    }

    /// Whether this reader has found no errors so far.
    pub fn is_valid(&self) -> bool {
        self.diagnostics.len() == self.diagnostics_before
    }

    /// Whether the table contains the key.
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Records an error.
    pub fn fault(&mut self, key: &str, found: &str, expected: &str) {
        let location =
            if self.location.is_empty() { key.to_owned() } else { format!("{}: {key}", self.location) };
        self.diagnostics
            .push(Diagnostic { location, message: format!("found {found}, expected {expected}") });
    }

    /// Records an error for every key that is not one of these.
    pub fn check_keys(&mut self, keys: &[&str]) {
        let table = self.table;
        for key in table.keys().filter(|key| !keys.contains(&key.as_str())) {
            self.fault(key, "an unknown key", &format!("one of {}", keys.join(", ")));
        }
    }

    /// Reads a required value.
    pub fn required<T: DeserializeOwned>(&mut self, key: &str, expected: &str) -> Option<T> {
        if !self.has(key) {
            self.fault(key, "nothing", expected);
        }
        self.optional(key, expected)
    }

    /// Reads an optional value.
    pub fn optional<T: DeserializeOwned>(&mut self, key: &str, expected: &str) -> Option<T> {
        let value = self.table.get(key)?;
        let read = value.clone().try_into::<T>();
        if read.is_err() {
            self.fault(key, &truncated(value), expected);
        }
        read.ok()
    }

    /// Reads an optional duration such as "30s".
    pub fn duration(&mut self, key: &str) -> Option<Duration> {
        const EXPECTED: &str = "a time such as \"30s\"";
        let text: String = self.optional(key, EXPECTED)?;
        let read = humantime::parse_duration(&text);
        if read.is_err() {
            self.fault(key, &format!("\"{text}\""), EXPECTED);
        }
        read.ok()
    }

    /// Records an error if the value is out of range.
    pub fn check_range(&mut self, key: &str, value: f64, min: f64, max: f64) {
        if !(min..=max).contains(&value) {
            self.fault(key, &value.to_string(), &format!("{min} to {max}"));
        }
    }
}

/// Formats a value on one line of limited length.
fn truncated(value: &Value) -> String {
    const MAX_CHARS: usize = 60;
    let text = value.to_string().replace('\n', " ");
    match text.char_indices().nth(MAX_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
