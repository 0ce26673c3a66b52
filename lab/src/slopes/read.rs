//! Reads series from JSON and finds every fault of a file at once.

use super::{Fault, Method, Point, Series, SlopesError};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::path::Path;

/// Most characters of a wrong value that an error shows.
const SHOWN: usize = 60;
const SERIES_FIELDS: [&str; 6] = ["name", "unit", "against", "method", "command", "points"];
const POINT_FIELDS: [&str; 3] = ["size", "value", "seed"];

/// Collects faults while a file is read.
#[derive(Debug, Default)]
pub(super) struct Reader {
    pub(super) faults: Vec<Fault>,
}

/// The series of a file that a measuring tool wrote.
pub fn read_series(path: &Path) -> Result<Vec<Series>, SlopesError> {
    let json = read_json(path)?;
    let mut reader = Reader::default();
    let series = reader.all_series(&json, "", &[]);
    reader.finish(path, series)
}

pub(super) fn read_json(path: &Path) -> Result<Value, SlopesError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| SlopesError::Unreadable { path: path.to_owned(), error })?;
    serde_json::from_str(&text).map_err(|error| SlopesError::NoJson {
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
            false => Err(SlopesError::Faults { path: path.to_owned(), faults: self.faults }),
        }
    }

    /// An array of series; `further` are fields that may stand beside those of a series.
    pub(super) fn all_series(&mut self, json: &Value, place: &str, further: &[&str]) -> Vec<Series> {
        let Some(items) = json.as_array() else {
            let place = if place.is_empty() { "the file" } else { place };
            self.fault(place, json, "an array of series");
            return Vec::new();
        };
        let places = (0..items.len()).map(|i| format!("{place}[{i}]"));
        let read: Vec<_> =
            items.iter().zip(places).map(|(item, place)| self.series(item, &place, further)).collect();
        self.twice(&read, place);
        read.into_iter().flatten().collect()
    }

    fn twice(&mut self, read: &[Option<Series>], place: &str) {
        let mut seen = BTreeSet::new();
        for (i, series) in read.iter().enumerate() {
            let Some(series) = series else { continue };
            if !seen.insert((series.name.as_str(), series.method)) {
                self.faults.push(Fault {
                    place: format!("{place}[{i}].name"),
                    found: format!("\"{}\" ({}) a second time", series.name, series.method),
                    expected: "each name once for each method".to_owned(),
                });
            }
        }
    }

    fn series(&mut self, json: &Value, place: &str, further: &[&str]) -> Option<Series> {
        let Some(fields) = json.as_object() else {
            self.fault(place, json, "a series: an object");
            return None;
        };
        self.unknown(fields, place, &[&SERIES_FIELDS, further].concat());
        let name = self.text(fields, place, "name");
        let unit = self.text(fields, place, "unit");
        let against = self.text(fields, place, "against");
        let method = self.method(fields, place);
        let command = self.text(fields, place, "command");
        let points = self.points(fields, place);
        Some(Series {
            name: name?,
            unit: unit?,
            against: against?,
            method: method?,
            command: command?,
            points: points?,
        })
    }

    fn method(&mut self, fields: &Map<String, Value>, place: &str) -> Option<Method> {
        let found = self.text(fields, place, "method")?;
        let method = Method::ALL.into_iter().find(|method| method.name() == found);
        if method.is_none() {
            let names = Method::ALL.map(Method::name).join(", ");
            self.fault(&format!("{place}.method"), &Value::from(found), &format!("one of {names}"));
        }
        method
    }

    fn points(&mut self, fields: &Map<String, Value>, place: &str) -> Option<Vec<Point>> {
        let place = format!("{place}.points");
        let found = fields.get("points").unwrap_or(&Value::Null);
        let Some(items) = found.as_array().filter(|items| !items.is_empty()) else {
            self.fault(&place, found, "an array of at least one point");
            return None;
        };
        let points: Vec<_> =
            items.iter().enumerate().map(|(i, item)| self.point(item, &format!("{place}[{i}]"))).collect();
        points.into_iter().collect()
    }

    fn point(&mut self, json: &Value, place: &str) -> Option<Point> {
        let Some(fields) = json.as_object() else {
            self.fault(place, json, "a point: an object");
            return None;
        };
        self.unknown(fields, place, &POINT_FIELDS);
        let size = self.number(fields, place, "size", "a size above 0", |size| size > 0.0);
        let value = self.number(fields, place, "value", "a finite number", f64::is_finite);
        let seed = fields.get("seed").and_then(Value::as_u64);
        if seed.is_none() {
            let found = fields.get("seed").unwrap_or(&Value::Null);
            self.fault(&format!("{place}.seed"), found, "a whole number of at least 0");
        }
        Some(Point { size: size?, value: value?, seed: seed? })
    }

    fn number(
        &mut self,
        fields: &Map<String, Value>,
        place: &str,
        name: &str,
        expected: &str,
        holds: impl Fn(f64) -> bool,
    ) -> Option<f64> {
        let found = fields.get(name).unwrap_or(&Value::Null);
        let number = found.as_f64().filter(|number| number.is_finite() && holds(*number));
        if number.is_none() {
            self.fault(&format!("{place}.{name}"), found, expected);
        }
        number
    }

    pub(super) fn text(&mut self, fields: &Map<String, Value>, place: &str, name: &str) -> Option<String> {
        let found = fields.get(name).unwrap_or(&Value::Null);
        let text = found.as_str().filter(|text| !text.trim().is_empty());
        if text.is_none() {
            self.fault(&format!("{place}.{name}"), found, "a text that is not empty");
        }
        text.map(str::to_owned)
    }

    pub(super) fn unknown(&mut self, fields: &Map<String, Value>, place: &str, known: &[&str]) {
        for name in fields.keys().filter(|name| !known.contains(&name.as_str())) {
            self.faults.push(Fault {
                place: format!("{place}.{name}"),
                found: "a field that is not known".to_owned(),
                expected: format!("one of {}", known.join(", ")),
            });
        }
    }

    pub(super) fn fault(&mut self, place: &str, found: &Value, expected: &str) {
        let found = match found {
            Value::Null => "nothing".to_owned(),
            found => found.to_string().chars().take(SHOWN).collect(),
        };
        self.faults.push(Fault { place: place.to_owned(), found, expected: expected.to_owned() });
    }
}
