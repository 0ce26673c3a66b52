//! The slopes file: measured series with the date, machine and commit of the measurement, and their fits.

use super::read::{read_json, Reader};
use super::{Fit, Method, Series, SlopesError};
use serde::Serialize;
use serde_json::Value;
use std::path::Path;

const STAMP_FIELDS: [&str; 3] = ["date", "commit", "cores"];
/// Fields derived from the points: written for human readers, and recomputed from the points when the file is read.
const DERIVED_FIELDS: [&str; 4] = ["seeds", "sizes", "plays", "fit"];

/// The circumstances under which a series was measured.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Stamp {
    /// When the measuring tool wrote the series.
    pub date: String,
    /// The commit of the working tree.
    pub commit: String,
    /// Number of cores of the machine.
    pub cores: usize,
}

/// A series in the slopes file.
#[derive(Clone, Debug, PartialEq)]
pub struct Recorded {
    /// The measured series.
    pub series: Series,
    /// The circumstances of the measurement.
    pub stamp: Stamp,
    /// The fit of its points.
    pub fit: Fit,
}

impl Recorded {
    /// Combines a series with its stamp and fits it; `None` if it has no points.
    pub fn new(series: Series, stamp: Stamp) -> Option<Self> {
        let fit = Fit::of(&series.points)?;
        Some(Self { series, stamp, fit })
    }
}

/// All measured series, sorted by name and method.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlopesFile {
    recorded: Vec<Recorded>,
}

impl SlopesFile {
    /// Reads a slopes file; reports all errors at once.
    pub fn load(path: &Path) -> Result<Self, SlopesError> {
        let json = read_json(path)?;
        let mut reader = Reader::default();
        let Some(fields) = json.as_object() else {
            reader.fault("the file", &json, "an object with the field series");
            return reader.finish(path, Self::default());
        };
        reader.check_unknown_fields(fields, "the file", &["series"]);
        let items = fields.get("series").unwrap_or(&Value::Null);
        let extra_fields = [&STAMP_FIELDS[..], &DERIVED_FIELDS].concat();
        let series = reader.all_series(items, "series", &extra_fields);
        let stamps = read_stamps(&mut reader, items);
        // If the lengths differ there was an error, and `finish` discards the result.
        let recorded = series.into_iter().zip(stamps);
        let mut slopes = Self::default();
        recorded
            .filter_map(|(series, stamp)| Recorded::new(series, stamp))
            .for_each(|recorded| slopes.add(recorded));
        reader.finish(path, slopes)
    }

    /// Like [`Self::load`], but returns an empty file if `path` does not exist.
    pub fn load_or_empty(path: &Path) -> Result<Self, SlopesError> {
        if path.exists() {
            Self::load(path)
        } else {
            Ok(Self::default())
        }
    }

    /// All series, sorted by name and method.
    pub fn recorded(&self) -> &[Recorded] {
        &self.recorded
    }

    /// The series with this name; if several methods measured it, the one closest to production.
    pub fn find(&self, name: &str) -> Option<&Recorded> {
        let nearness = |recorded: &&Recorded| match recorded.series.method {
            Method::Real => 0,
            Method::Hollow => 1,
            Method::Simulated => 2,
            Method::InProcess => 3,
        };
        self.recorded.iter().filter(|recorded| recorded.series.name == name).min_by_key(nearness)
    }

    /// Adds a series; replaces one with the same name and method.
    pub fn add(&mut self, recorded: Recorded) {
        let key = |recorded: &Recorded| (recorded.series.name.clone(), recorded.series.method);
        match self.recorded.binary_search_by_key(&key(&recorded), key) {
            Ok(place) => self.recorded[place] = recorded,
            Err(place) => self.recorded.insert(place, recorded),
        }
    }

    /// Writes the file, with one line per point.
    pub fn save(&self, path: &Path) -> Result<(), SlopesError> {
        let unwritable = |error| SlopesError::Unwritable { path: path.to_owned(), error };
        let text = self.render().map_err(|error| unwritable(error.into()))?;
        std::fs::write(path, text).map_err(unwritable)
    }

    /// Renders the content of the file.
    pub fn render(&self) -> Result<String, serde_json::Error> {
        if self.recorded.is_empty() {
            return Ok("{\"series\": []}\n".to_owned());
        }
        let all: Result<Vec<_>, _> = self.recorded.iter().map(render_one).collect();
        Ok(format!("{{\"series\": [\n{}\n]}}\n", all?.join(",\n")))
    }
}

fn read_stamps(reader: &mut Reader, items: &Value) -> Vec<Stamp> {
    let mut stamps = Vec::new();
    for (i, item) in items.as_array().into_iter().flatten().enumerate() {
        let Some(fields) = item.as_object() else { continue };
        let location = format!("series[{i}]");
        let date = reader.text(fields, &location, "date");
        let commit = reader.text(fields, &location, "commit");
        let found = fields.get("cores").unwrap_or(&Value::Null);
        let cores = found.as_u64().filter(|cores| *cores > 0);
        if cores.is_none() {
            reader.fault(&format!("{location}.cores"), found, "a whole number above 0");
        }
        if let (Some(date), Some(commit), Some(cores)) = (date, commit, cores) {
            stamps.push(Stamp { date, commit, cores: cores as usize });
        }
    }
    stamps
}

fn render_one(recorded: &Recorded) -> Result<String, serde_json::Error> {
    let Recorded { series, stamp, fit } = recorded;
    let mut seeds: Vec<_> = series.points.iter().map(|point| point.seed).collect();
    seeds.sort_unstable();
    seeds.dedup();
    let sizes: Vec<_> = fit.means.iter().map(|mean| mean.size).collect();
    let fields = [
        ("name", serde_json::to_string(&series.name)?),
        ("unit", serde_json::to_string(&series.unit)?),
        ("against", serde_json::to_string(&series.against)?),
        ("method", serde_json::to_string(&series.method)?),
        ("command", serde_json::to_string(&series.command)?),
        ("date", serde_json::to_string(&stamp.date)?),
        ("commit", serde_json::to_string(&stamp.commit)?),
        ("cores", stamp.cores.to_string()),
        ("seeds", serde_json::to_string(&seeds)?),
        ("sizes", serde_json::to_string(&sizes)?),
        ("plays", fit.plays.to_string()),
        ("fit", serde_json::to_string(fit)?),
    ];
    let fields = fields.map(|(name, value)| format!("  \"{name}\": {value},\n")).concat();
    let points: Result<Vec<_>, _> = series.points.iter().map(serde_json::to_string).collect();
    let points = points?.join(",\n    ");
    Ok(format!(" {{\n{fields}  \"points\": [\n    {points}\n  ]\n }}"))
}
