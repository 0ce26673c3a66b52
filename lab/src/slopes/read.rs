//! Reads series from JSON and reports all errors of a file at once.

use super::{Fault, Method, Point, Series, SlopesError};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::path::Path;

/// The most characters of an invalid value that an error message shows.
const MAX_SHOWN_CHARS: usize = 60;
const SERIES_FIELDS: [&str; 6] = ["name", "unit", "against", "method", "command", "points"];
const POINT_FIELDS: [&str; 3] = ["size", "value", "seed"];

/// Collects errors while a file is read.
#[derive(Debug, Default)]
pub(super) struct Reader {
    pub(super) faults: Vec<Fault>,
}

/// Reads a series file written by a measuring tool.
pub fn read_series(path: &Path) -> Result<Vec<Series>, SlopesError> {
    let json = read_json(path)?;
    let mut reader = Reader::default();
    let series = reader.all_series(&json, "", &[]);
    reader.finish(path, series)
}

pub(super) fn read_json(path: &Path) -> Result<Value, SlopesError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| SlopesError::Unreadable { path: path.to_owned(), error })?;
    serde_json::from_str(&text).map_err(|error| SlopesError::InvalidJson {
        path: path.to_owned(),
        line: error.line(),
        column: error.column(),
        found: error.to_string(),
    })
}

impl Reader {
    pub(super) fn finish<T>(self, path: &Path, read: T) -> Result<T, SlopesError> {
        match self.faults.is_empty() {
            true => Ok(read),
            false => Err(SlopesError::Invalid { path: path.to_owned(), faults: self.faults }),
        }
    }

    /// Reads an array of series; `extra_fields` are allowed in addition to those of a series.
    pub(super) fn all_series(&mut self, json: &Value, location: &str, extra_fields: &[&str]) -> Vec<Series> {
        let Some(items) = json.as_array() else {
            let location = if location.is_empty() { "the file" } else { location };
            self.fault(location, json, "an array of series");
            return Vec::new();
        };
        let locations = (0..items.len()).map(|i| format!("{location}[{i}]"));
        let read: Vec<_> = items
            .iter()
            .zip(locations)
            .map(|(item, location)| self.series(item, &location, extra_fields))
            .collect();
        self.check_duplicates(&read, location);
        read.into_iter().flatten().collect()
    }

    fn check_duplicates(&mut self, read: &[Option<Series>], location: &str) {
        let mut seen = BTreeSet::new();
        for (i, series) in read.iter().enumerate() {
            let Some(series) = series else { continue };
            if !seen.insert((series.name.as_str(), series.method)) {
                self.faults.push(Fault {
                    location: format!("{location}[{i}].name"),
                    found: format!("\"{}\" ({}) a second time", series.name, series.method),
                    expected: "each name once for each method".to_owned(),
                });
            }
        }
    }

    fn series(&mut self, json: &Value, location: &str, extra_fields: &[&str]) -> Option<Series> {
        let Some(fields) = json.as_object() else {
            self.fault(location, json, "a series: an object");
            return None;
        };
        self.check_unknown_fields(fields, location, &[&SERIES_FIELDS, extra_fields].concat());
        let name = self.text(fields, location, "name");
        let unit = self.text(fields, location, "unit");
        let against = self.text(fields, location, "against");
        let method = self.method(fields, location);
        let command = self.text(fields, location, "command");
        let points = self.points(fields, location);
        Some(Series {
            name: name?,
            unit: unit?,
            against: against?,
            method: method?,
            command: command?,
            points: points?,
        })
    }

    fn method(&mut self, fields: &Map<String, Value>, location: &str) -> Option<Method> {
        let found = self.text(fields, location, "method")?;
        let method = Method::ALL.into_iter().find(|method| method.name() == found);
        if method.is_none() {
            let names = Method::ALL.map(Method::name).join(", ");
            self.fault(&format!("{location}.method"), &Value::from(found), &format!("one of {names}"));
        }
        method
    }

    fn points(&mut self, fields: &Map<String, Value>, location: &str) -> Option<Vec<Point>> {
        let location = format!("{location}.points");
        let found = fields.get("points").unwrap_or(&Value::Null);
        let Some(items) = found.as_array().filter(|items| !items.is_empty()) else {
            self.fault(&location, found, "an array of at least one point");
            return None;
        };
        let points: Vec<_> =
            items.iter().enumerate().map(|(i, item)| self.point(item, &format!("{location}[{i}]"))).collect();
        points.into_iter().collect()
    }

    fn point(&mut self, json: &Value, location: &str) -> Option<Point> {
        let Some(fields) = json.as_object() else {
            self.fault(location, json, "a point: an object");
            return None;
        };
        self.check_unknown_fields(fields, location, &POINT_FIELDS);
        let size = self.number(fields, location, "size", "a size above 0", |size| size > 0.0);
        let value = self.number(fields, location, "value", "a finite number", f64::is_finite);
        let seed = fields.get("seed").and_then(Value::as_u64);
        if seed.is_none() {
            let found = fields.get("seed").unwrap_or(&Value::Null);
            self.fault(&format!("{location}.seed"), found, "a whole number of at least 0");
        }
        Some(Point { size: size?, value: value?, seed: seed? })
    }

    fn number(
        &mut self,
        fields: &Map<String, Value>,
        location: &str,
        name: &str,
        expected: &str,
        holds: impl Fn(f64) -> bool,
    ) -> Option<f64> {
        let found = fields.get(name).unwrap_or(&Value::Null);
        let number = found.as_f64().filter(|number| number.is_finite() && holds(*number));
        if number.is_none() {
            self.fault(&format!("{location}.{name}"), found, expected);
        }
        number
    }

    pub(super) fn text(&mut self, fields: &Map<String, Value>, location: &str, name: &str) -> Option<String> {
        let found = fields.get(name).unwrap_or(&Value::Null);
        let text = found.as_str().filter(|text| !text.trim().is_empty());
        if text.is_none() {
            self.fault(&format!("{location}.{name}"), found, "a non-empty string");
        }
        text.map(str::to_owned)
    }

    pub(super) fn check_unknown_fields(
        &mut self,
        fields: &Map<String, Value>,
        location: &str,
        known: &[&str],
    ) {
        for name in fields.keys().filter(|name| !known.contains(&name.as_str())) {
            self.faults.push(Fault {
                location: format!("{location}.{name}"),
                found: "an unknown field".to_owned(),
                expected: format!("one of {}", known.join(", ")),
            });
        }
    }

    pub(super) fn fault(&mut self, location: &str, found: &Value, expected: &str) {
        let found = match found {
            Value::Null => "nothing".to_owned(),
            found => found.to_string().chars().take(MAX_SHOWN_CHARS).collect(),
        };
        self.faults.push(Fault { location: location.to_owned(), found, expected: expected.to_owned() });
    }
}
