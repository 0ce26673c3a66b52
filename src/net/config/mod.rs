//! Reads `LB_CONFIG` and the environment into typed values and reports all faults at once.

pub mod fault;
pub mod section;

use crate::net::discovery::listing::Listing;
use fault::{ConfigError, Fault};
use section::Section;
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use walkpick::policy::memory::MemoryBudget;
use walkpick::policy::subscription::Delivery;
use walkpick::wire::{parse_settings, InvalidSetting};
use walkpick::Settings;

/// The configuration of a node.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Number of file descriptors that the process may use.
    pub sockets: usize,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// The last known list of cache servers.
    pub known: Listing,
    pub settings: Settings,
    /// How server lists reach this node.
    pub delivery: Delivery,
    /// Options that are specific to this implementation.
    pub section: Section,
}

/// The setting that says whether clients are told how long to stay away.
const RETRY_AFTER_SETTING: &str = "limits.retry_after";
/// With fewer descriptors, the runtime's own and one connection in each direction would not fit.
const MIN_SOCKETS: u64 = 32;

/// The least memory that the platform gives, in MiB; assumed if the file does not say.
const DEFAULT_MEMORY_MIB: f64 = 32.0;
/// Number of bytes in a MiB.
pub const BYTES_PER_MIB: u64 = 1 << 20;

/// Descriptors reserved for the runtime, the listener, discovery and the standard streams.
const RESERVED_SOCKETS: usize = 24;

impl Config {
    /// Maximum number of connections to clients.
    pub fn max_client_connections(&self) -> usize {
        self.max_connections().min(MemoryBudget::new(self.memory_bytes).max_client_connections())
    }

    /// Maximum number of connections to cache servers.
    pub fn max_server_connections(&self) -> usize {
        self.max_connections().min(MemoryBudget::new(self.memory_bytes).max_server_connections())
    }

    /// Number of connections in each direction for which there are descriptors.
    fn max_connections(&self) -> usize {
        self.sockets.saturating_sub(RESERVED_SOCKETS) / 2
    }

    /// The longest deadline of any class.
    pub fn longest_deadline(&self) -> Duration {
        self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }
}

/// Returns the path of the configuration file.
pub fn path(variable: impl Fn(&str) -> Option<String>) -> Result<PathBuf, ConfigError> {
    variable("LB_CONFIG").map(PathBuf::from).ok_or(ConfigError::NoPath)
}

/// Loads the configuration file. Environment variables take precedence over it.
pub fn load(path: &Path, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let file = read_file(path)?;
    let mut faults = Vec::new();
    let config = read(&file, variable, &mut faults);
    match config {
        Some(config) if faults.is_empty() => Ok(config),
        _ => Err(ConfigError::Invalid { path: path.to_owned(), faults }),
    }
}

/// Rereads discovery's address from the file. `LB_DISCOVERY` does not take precedence here: the environment
/// is as old as the process, whereas the file has been replaced in order to change the address.
pub fn reload_discovery(path: &Path) -> Result<SocketAddr, ConfigError> {
    let file = read_file(path)?;
    let mut faults = Vec::new();
    let address = address(&file, "discovery", |_| None, &mut faults);
    address.ok_or(ConfigError::Invalid { path: path.to_owned(), faults })
}

fn read_file(path: &Path) -> Result<Map<String, Value>, ConfigError> {
    let bytes =
        std::fs::read(path).map_err(|error| ConfigError::Unreadable { path: path.to_owned(), error })?;
    let invalid = |fault| ConfigError::Invalid { path: path.to_owned(), faults: vec![fault] };
    let text = std::str::from_utf8(&bytes).map_err(|error| {
        invalid(Fault::new(format!("byte {}", error.valid_up_to()), "invalid UTF-8", "UTF-8 text"))
    })?;
    if text.trim().is_empty() {
        return Err(invalid(Fault::new("the file", "nothing", "a JSON object")));
    }
    let value = serde_json::from_str(text).map_err(|error| {
        let place = format!("line {}, column {}", error.line(), error.column());
        let found = if error.is_eof() { "the end of the text".to_owned() } else { error.to_string() };
        invalid(Fault::new(place, found, "a complete JSON object"))
    })?;
    match value {
        Value::Object(file) => Ok(file),
        other => Err(invalid(Fault::at("the file", Some(&other), "a JSON object"))),
    }
}

/// Returns `None` only if it has added to `faults`.
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
        read.or_else(|| report_fault(file, "seed", "a 64-bit hexadecimal number", faults))
    });
    let sockets = sockets(file, faults);
    let memory_bytes = memory_bytes(file, faults);
    let known = match file.get("known") {
        None => Some(Listing::default()),
        Some(known) => serde_json::from_value(known.clone()).ok().or_else(|| {
            report_fault(
                file,
                "known",
                "a server list as discovery sends it, with `seq`, `whole` and `hosts`",
                faults,
            )
        }),
    };
    let settings = settings(file, faults);
    let section = section::read(file.get("walkpick"), faults);
    let settings = settings?;
    // On sockets, discovery answers only calls, and its client has a schedule of its own.
    let delivery = if settings.must_subscribe { Delivery::Polled } else { Delivery::Pushed };
    Some(Config {
        name: name?,
        listen: listen?,
        discovery: discovery?,
        seed: seed?,
        sockets: sockets?,
        memory_bytes: memory_bytes?,
        known: known?,
        settings: Settings { must_subscribe: false, ..settings },
        delivery,
        section,
    })
}

/// Reports that the value at `place` is not what is expected there.
fn report_fault<T>(
    file: &Map<String, Value>,
    place: &str,
    expected: &str,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    faults.push(Fault::at(place, file.get(place), expected));
    None
}

fn text(file: &Map<String, Value>, name: &str, faults: &mut Vec<Fault>) -> Option<String> {
    let text = file.get(name).and_then(Value::as_str).map(str::to_owned);
    text.or_else(|| report_fault(file, name, "a string", faults))
}

/// Reads an address from its environment variable, or else from the file.
fn address(
    file: &Map<String, Value>,
    name: &str,
    variable: impl Fn(&str) -> Option<String>,
    faults: &mut Vec<Fault>,
) -> Option<SocketAddr> {
    const EXPECTED: &str = "an address and port such as 10.0.0.4:7070";
    let variable_name = format!("LB_{}", name.to_uppercase());
    if let Some(text) = variable(&variable_name) {
        let read = text.parse().ok();
        return read.or_else(|| {
            faults.push(Fault::new(variable_name, format!("{text:?}"), EXPECTED));
            None
        });
    }
    let read = file.get(name).and_then(Value::as_str).and_then(|text| text.parse().ok());
    read.or_else(|| report_fault(file, name, EXPECTED, faults))
}

fn sockets(file: &Map<String, Value>, faults: &mut Vec<Fault>) -> Option<usize> {
    let limits = file.get("limits");
    let Some(fields) = limits.and_then(Value::as_object) else {
        return report_fault(file, "limits", "an object with `sockets`", faults);
    };
    let sockets = fields.get("sockets");
    let read = sockets.and_then(Value::as_u64).filter(|sockets| *sockets >= MIN_SOCKETS);
    let read = read.and_then(|sockets| usize::try_from(sockets).ok());
    read.or_else(|| {
        let expected =
            format!("a whole number of at least {MIN_SOCKETS}: the node needs that many descriptors");
        faults.push(Fault::at("limits.sockets", sockets, expected));
        None
    })
}

fn bytes(mib: f64) -> u64 {
    (mib * BYTES_PER_MIB as f64) as u64
}

fn memory_bytes(file: &Map<String, Value>, faults: &mut Vec<Fault>) -> Option<u64> {
    let memory = file.get("limits").and_then(|limits| limits.get("memory_mb"));
    let Some(memory) = memory else { return Some(bytes(DEFAULT_MEMORY_MIB)) };
    let read = memory.as_f64().filter(|mib| *mib >= 1.0).map(bytes);
    read.or_else(|| {
        faults.push(Fault::at("limits.memory_mb", Some(memory), "a number of MiB of at least 1"));
        None
    })
}

fn settings(file: &Map<String, Value>, faults: &mut Vec<Fault>) -> Option<Settings> {
    let Some(settings) = file.get("settings").filter(|settings| settings.is_object()) else {
        return report_fault(file, "settings", "an object", faults);
    };
    let mut pairs = Vec::new();
    flatten(String::new(), settings, &mut pairs);
    // The setting only says whether the simulator's clients understand a retry time. On sockets a refusal may
    // always carry one, and a refusal without one invites an immediate retry.
    pairs.retain(|(path, _)| path != RETRY_AFTER_SETTING);
    pairs.push((RETRY_AFTER_SETTING.to_owned(), true.to_string()));
    match parse_settings(&pairs) {
        Ok(settings) => Some(settings),
        Err(setting_faults) => {
            faults.extend(setting_faults.into_iter().map(|InvalidSetting { path, found, expected }| {
                let found = found.map_or_else(|| "nothing".to_owned(), |found| format!("{found:?}"));
                Fault::new(format!("settings.{path}"), found, expected)
            }));
            None
        }
    }
}

/// Flattens nested JSON into the pairs of path and value that the wire protocol uses.
fn flatten(path: String, value: &Value, pairs: &mut Vec<(String, String)>) {
    let child_path = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(child_path(name), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((child_path("count"), items.len().to_string()));
            for (i, item) in items.iter().enumerate() {
                flatten(child_path(&i.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<_> = items.iter().map(scalar_text).collect();
            pairs.push((path, items.join(",")));
        }
        _ => pairs.push((path, scalar_text(value))),
    }
}

fn scalar_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
