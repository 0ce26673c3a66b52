//! `LB_CONFIG` and the environment, read into typed values; every fault is told at once.

pub mod fault;
pub mod section;

use crate::net::discovery::listing::Listing;
use fault::{ConfigError, Fault};
use section::Section;
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use walkpick::policy::subscription::Delivery;
use walkpick::wire::{parse_settings, InvalidSetting};
use walkpick::Settings;

/// What a node is told at its start.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The cache servers as this node last knew them.
    pub known: Listing,
    pub settings: Settings,
    /// How lists of servers reach this node.
    pub delivery: Delivery,
    /// What this node offers of its own.
    pub section: Section,
}

/// The setting that says whether clients get the time to stay away.
const TOLD_WHEN: &str = "limits.retry_after";
/// Fewer descriptors than this don't hold the runtime's own and one connection each way.
const LEAST_SOCKETS: u64 = 32;

/// Descriptors left for the runtime, the listener, discovery and the standard streams.
const SPARE_SOCKETS: usize = 24;

impl Config {
    /// Connections of clients that are served at once: each holds one to a cache server for as long.
    pub fn connections(&self) -> usize {
        self.sockets.saturating_sub(SPARE_SOCKETS) / 2
    }

    /// Of all classes.
    pub fn longest_deadline(&self) -> Duration {
        self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }
}

/// Where the configuration is.
pub fn path(variable: impl Fn(&str) -> Option<String>) -> Result<PathBuf, ConfigError> {
    variable("LB_CONFIG").map(PathBuf::from).ok_or(ConfigError::NoPath)
}

/// Reads a file; the other variables go before what it says.
pub fn load(path: &Path, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let file = read_file(path)?;
    let mut faults = Vec::new();
    let config = read(&file, variable, &mut faults);
    match config {
        Some(config) if faults.is_empty() => Ok(config),
        _ => Err(ConfigError::Faulty { path: path.to_owned(), faults }),
    }
}

/// Reads the file anew for where discovery is. `LB_DISCOVERY` does not go before it here: the environment is
/// as old as the process, and the file was replaced to say something else.
pub fn reload_discovery(path: &Path) -> Result<SocketAddr, ConfigError> {
    let file = read_file(path)?;
    let mut faults = Vec::new();
    let address = address(&file, "discovery", |_| None, &mut faults);
    address.ok_or(ConfigError::Faulty { path: path.to_owned(), faults })
}

fn read_file(path: &Path) -> Result<Map<String, Value>, ConfigError> {
    let bytes =
        std::fs::read(path).map_err(|error| ConfigError::Unreadable { path: path.to_owned(), error })?;
    let faulty = |fault| ConfigError::Faulty { path: path.to_owned(), faults: vec![fault] };
    let text = std::str::from_utf8(&bytes).map_err(|error| {
        faulty(Fault::new(format!("byte {}", error.valid_up_to()), "no UTF-8", "text in UTF-8"))
    })?;
    if text.trim().is_empty() {
        return Err(faulty(Fault::new("the file", "nothing", "a JSON object")));
    }
    let value = serde_json::from_str(text).map_err(|error| {
        let place = format!("line {}, column {}", error.line(), error.column());
        let found = if error.is_eof() { "the end of the text".to_owned() } else { error.to_string() };
        faulty(Fault::new(place, found, "a whole JSON object"))
    })?;
    match value {
        Value::Object(file) => Ok(file),
        other => Err(faulty(Fault::at("the file", Some(&other), "a JSON object"))),
    }
}

/// `None` only where `faults` has grown.
fn read(
    file: &Map<String, Value>,
    variable: impl Fn(&str) -> Option<String>,
    faults: &mut Vec<Fault>,
) -> Option<Config> {
    let name = variable("LB_NAME").or_else(|| text(file, "name", faults));
    let listen = address(file, "listen", &variable, faults);
    let discovery = address(file, "discovery", &variable, faults);
    let seed = text(file, "seed", faults).and_then(|seed| {
        let read = u64::from_str_radix(&seed, 16).ok();
        read.or_else(|| refuse(file, "seed", "a hexadecimal number of 64 bits", faults))
    });
    let sockets = sockets(file, faults);
    let known = match file.get("known") {
        None => Some(Listing::default()),
        Some(known) => serde_json::from_value(known.clone()).ok().or_else(|| {
            refuse(file, "known", "a list in discovery's form: `seq`, `whole` and `hosts`", faults)
        }),
    };
    let settings = settings(file, faults);
    let section = section::read(file.get("walkpick"), faults);
    let settings = settings?;
    // On sockets discovery tells only those that call it, and its client has a schedule of its own.
    let delivery = if settings.must_subscribe { Delivery::Polled } else { Delivery::Pushed };
    Some(Config {
        name: name?,
        listen: listen?,
        discovery: discovery?,
        seed: seed?,
        sockets: sockets?,
        known: known?,
        settings: Settings { must_subscribe: false, ..settings },
        delivery,
        section,
    })
}

/// Notes that what stands at a place of the file is not what should.
fn refuse<T>(file: &Map<String, Value>, place: &str, expected: &str, faults: &mut Vec<Fault>) -> Option<T> {
    faults.push(Fault::at(place, file.get(place), expected));
    None
}

fn text(file: &Map<String, Value>, name: &str, faults: &mut Vec<Fault>) -> Option<String> {
    let text = file.get(name).and_then(Value::as_str).map(str::to_owned);
    text.or_else(|| refuse(file, name, "a text", faults))
}

/// An address, from its variable or else the file.
fn address(
    file: &Map<String, Value>,
    name: &str,
    variable: impl Fn(&str) -> Option<String>,
    faults: &mut Vec<Fault>,
) -> Option<SocketAddr> {
    const EXPECTED: &str = "an address and port such as 10.0.0.4:7070";
    let own = format!("LB_{}", name.to_uppercase());
    if let Some(text) = variable(&own) {
        let read = text.parse().ok();
        return read.or_else(|| {
            faults.push(Fault::new(own, format!("{text:?}"), EXPECTED));
            None
        });
    }
    let read = file.get(name).and_then(Value::as_str).and_then(|text| text.parse().ok());
    read.or_else(|| refuse(file, name, EXPECTED, faults))
}

fn sockets(file: &Map<String, Value>, faults: &mut Vec<Fault>) -> Option<usize> {
    let limits = file.get("limits");
    let Some(fields) = limits.and_then(Value::as_object) else {
        return refuse(file, "limits", "an object with `sockets`", faults);
    };
    let sockets = fields.get("sockets");
    let read = sockets.and_then(Value::as_u64).filter(|sockets| *sockets >= LEAST_SOCKETS);
    let read = read.and_then(|sockets| usize::try_from(sockets).ok());
    read.or_else(|| {
        let expected = format!("a whole number from {LEAST_SOCKETS}: fewer leave no room to work");
        faults.push(Fault::at("limits.sockets", sockets, expected));
        None
    })
}

fn settings(file: &Map<String, Value>, faults: &mut Vec<Fault>) -> Option<Settings> {
    let Some(settings) = file.get("settings").filter(|settings| settings.is_object()) else {
        return refuse(file, "settings", "an object", faults);
    };
    let mut pairs = Vec::new();
    flatten(String::new(), settings, &mut pairs);
    // Whether the simulator's clients are told when to come back does not matter on sockets: a refusal may
    // always say it, and to say no time at all is to ask for the same request again at once.
    pairs.retain(|(path, _)| path != TOLD_WHEN);
    pairs.push((TOLD_WHEN.to_owned(), true.to_string()));
    match parse_settings(&pairs) {
        Ok(settings) => Some(settings),
        Err(wrong) => {
            faults.extend(wrong.into_iter().map(|InvalidSetting { path, found, expected }| {
                let found = found.map_or_else(|| "nothing".to_owned(), |found| format!("{found:?}"));
                Fault::new(format!("settings.{path}"), found, expected)
            }));
            None
        }
    }
}

/// Nested JSON as the wire's pairs of path and value.
fn flatten(path: String, value: &Value, pairs: &mut Vec<(String, String)>) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(below(name), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((below("count"), items.len().to_string()));
            for (i, item) in items.iter().enumerate() {
                flatten(below(&i.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<_> = items.iter().map(plain).collect();
            pairs.push((path, items.join(",")));
        }
        _ => pairs.push((path, plain(value))),
    }
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
