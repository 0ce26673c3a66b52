//! The optional section `walkpick`: options of this implementation beyond those of the platform. Each option
//! is declared once in [`OPTIONS`]; tests compare `docs/configuration.md` and the types with it.

use super::fault::Fault;
use humantime::format_duration;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use walkpick::peers::dissemination::DisseminationConfig;
use walkpick::peers::{Location, NodeCountRules, PeersConfig};

/// The section; every option has a default.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Section {
    pub log: LogConfig,
    pub peers: PeersSection,
}

/// Membership among the nodes; off if `listen` is not set.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeersSection {
    pub advertise: Option<SocketAddr>,
    pub cluster: String,
    pub dissemination: Switch,
    #[serde(with = "humantime_serde")]
    pub hold: Duration,
    pub listen: Option<SocketAddr>,
    #[serde(with = "humantime_serde")]
    pub memory: Duration,
    #[serde(with = "humantime_serde")]
    pub probe_every: Duration,
    #[serde(with = "humantime_serde")]
    pub probe_timeout: Duration,
    pub region: Option<String>,
    pub seeds: Vec<SocketAddr>,
    pub site: Option<String>,
    pub zone: Option<String>,
}

impl Default for PeersSection {
    fn default() -> Self {
        let PeersConfig {
            cluster, seeds, probe_interval: probe_every, probe_timeout, node_count: count, ..
        } = PeersConfig::default();
        let (hold, memory) = (count.decrease_delay, count.peak_window);
        Self {
            advertise: None,
            cluster,
            dissemination: Switch::Off,
            hold,
            listen: None,
            memory,
            probe_every,
            probe_timeout,
            region: None,
            seeds,
            site: None,
            zone: None,
        }
    }
}

impl PeersSection {
    /// Builds the membership's configuration for a cluster with this configured number of nodes.
    pub fn peers_config(&self, nodes: u32) -> PeersConfig {
        let base = PeersConfig::default();
        PeersConfig {
            cluster: self.cluster.clone(),
            seeds: self.seeds.clone(),
            probe_interval: self.probe_every,
            probe_timeout: self.probe_timeout,
            node_count: NodeCountRules {
                decrease_delay: self.hold,
                peak_window: self.memory,
                ..base.node_count
            },
            configured_nodes: nodes,
            dissemination: (self.dissemination == Switch::On).then(DisseminationConfig::default),
            ..base
        }
    }

    /// The location that this node reports to its peers.
    pub fn location(&self) -> Location {
        let text = |text: &Option<String>| text.clone().unwrap_or_default();
        Location { region: text(&self.region), zone: text(&self.zone), site: text(&self.site) }
    }
}

/// Whether an optional feature is enabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Switch {
    Off,
    On,
}

/// Log settings; the log goes to standard error.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConfig {
    pub format: LogFormat,
    pub level: LogLevel,
    /// Levels by subsystem, which override `level`.
    pub levels: BTreeMap<String, LogLevel>,
    /// Maximum number of lines from one call site within `window`; further lines are dropped and counted.
    pub like_lines: u32,
    #[serde(with = "humantime_serde")]
    pub window: Duration,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: LogLevel::Info,
            levels: BTreeMap::new(),
            like_lines: 100,
            window: Duration::from_secs(1),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    Text,
    Json,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    Off,
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}

/// Subsystems that log under their own target.
pub const SUBSYSTEMS: &[&str] =
    &["clients", "discovery", "log", "node", "peers", "policy", "request", "servers"];

/// Maximum length of the name of a region, zone or site in bytes. With three such names a datagram still has
/// room for its message.
const MAX_PLACE_NAME_BYTES: usize = 16;

const LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

/// The type and range of an option's value.
#[derive(Clone, Copy, Debug)]
pub enum ValueKind {
    OneOf(&'static [&'static str]),
    /// An integer with its minimum and maximum.
    Count(u64, u64),
    /// A non-empty string with its maximum length in bytes.
    Text(usize),
    /// An address with a port.
    Address,
    /// A list of addresses with ports.
    Addresses,
    /// A duration such as `250ms`, with its minimum and maximum.
    Time(Duration, Duration),
    /// An object: its possible keys, and the possible values of each.
    Map(&'static [&'static str], &'static [&'static str]),
}

/// One option of the section.
#[derive(Debug)]
pub struct OptionSpec {
    /// Path below `walkpick`, separated by dots.
    pub path: &'static str,
    pub kind: ValueKind,
    /// The default as JSON.
    pub default: &'static str,
    pub description: &'static str,
}

/// All options of the section.
pub const OPTIONS: &[OptionSpec] = &[
    OptionSpec {
        path: "log.format",
        kind: ValueKind::OneOf(&["text", "json"]),
        default: "\"text\"",
        description: "plain text, or one JSON object per line",
    },
    OptionSpec {
        path: "log.level",
        kind: ValueKind::OneOf(LEVELS),
        default: "\"info\"",
        description: "minimum severity of the lines that are written",
    },
    OptionSpec {
        path: "log.levels",
        kind: ValueKind::Map(SUBSYSTEMS, LEVELS),
        default: "{}",
        description: "level of a subsystem, overriding `log.level`",
    },
    OptionSpec {
        path: "log.like_lines",
        kind: ValueKind::Count(1, 1_000_000),
        default: "100",
        description: "maximum number of lines from one call site within `log.window`; further lines are dropped and counted",
    },
    OptionSpec {
        path: "log.window",
        kind: ValueKind::Time(Duration::from_millis(100), Duration::from_secs(3600)),
        default: "\"1s\"",
        description: "time window of `log.like_lines`",
    },
    OptionSpec {
        path: "peers.advertise",
        kind: ValueKind::Address,
        default: "null",
        description: "address at which other nodes reach `peers.listen`; the same address if not set",
    },
    OptionSpec {
        path: "peers.cluster",
        kind: ValueKind::Text(32),
        default: "\"walkpick\"",
        description: "name of the cluster; datagrams of other clusters are dropped",
    },
    OptionSpec {
        path: "peers.dissemination",
        kind: ValueKind::OneOf(&["off", "on"]),
        default: "\"off\"",
        description: "whether this node receives and forwards entries and states of publishers; must be the same at all nodes of a cluster",
    },
    OptionSpec {
        path: "peers.hold",
        kind: ValueKind::Time(Duration::from_secs(1), Duration::from_secs(3600)),
        default: "\"10s\"",
        description: "a lower node count is used once views have agreed on it for this long",
    },
    OptionSpec {
        path: "peers.listen",
        kind: ValueKind::Address,
        default: "null",
        description: "UDP address for the membership; if not set, this node does not take part in it",
    },
    OptionSpec {
        path: "peers.memory",
        kind: ValueKind::Time(Duration::from_secs(10), Duration::from_secs(24 * 3600)),
        default: "\"5m\"",
        description: "for this long the node count is not reduced below half of its recent maximum",
    },
    OptionSpec {
        path: "peers.probe_every",
        kind: ValueKind::Time(Duration::from_millis(100), Duration::from_secs(60)),
        default: "\"400ms\"",
        description: "interval at which this node probes a peer",
    },
    OptionSpec {
        path: "peers.probe_timeout",
        kind: ValueKind::Time(Duration::from_millis(10), Duration::from_secs(30)),
        default: "\"180ms\"",
        description: "after this time without an answer a peer is probed through others; at most half of `peers.probe_every`",
    },
    OptionSpec {
        path: "peers.region",
        kind: ValueKind::Text(MAX_PLACE_NAME_BYTES),
        default: "null",
        description: "region of this node as reported to its peers; keep it short, since each datagram carries it twice",
    },
    OptionSpec {
        path: "peers.seeds",
        kind: ValueKind::Addresses,
        default: "[]",
        description: "addresses of nodes to join through; any of them may be down",
    },
    OptionSpec {
        path: "peers.site",
        kind: ValueKind::Text(MAX_PLACE_NAME_BYTES),
        default: "null",
        description: "site of this node: the failure domain within a zone",
    },
    OptionSpec {
        path: "peers.zone",
        kind: ValueKind::Text(MAX_PLACE_NAME_BYTES),
        default: "null",
        description: "zone of this node: the failure domain within a region",
    },
];

impl ValueKind {
    /// The expected value as messages and the reference page describe it.
    pub fn expected(&self) -> String {
        let words = |words: &[&str]| words.iter().map(|w| format!("`{w}`")).collect::<Vec<_>>().join(", ");
        let time = |time| humantime::format_duration(time);
        match self {
            Self::OneOf(choices) => format!("one of {}", words(choices)),
            Self::Count(min, max) => format!("a whole number from {min} to {max}"),
            Self::Text(max) => format!("a string of 1 to {max} bytes"),
            Self::Address => "an address and port".to_owned(),
            Self::Addresses => "a list of addresses and ports".to_owned(),
            Self::Time(min, max) => format!("a duration from `{}` to `{}`", time(*min), time(*max)),
            Self::Map(names, choices) => {
                format!("an object with keys among {} and values among {}", words(names), words(choices))
            }
        }
    }

    fn check(&self, place: &str, value: &Value, faults: &mut Vec<Fault>) {
        let valid = match self {
            Self::OneOf(choices) => value.as_str().is_some_and(|text| choices.contains(&text)),
            Self::Count(min, max) => value.as_u64().is_some_and(|count| (*min..=*max).contains(&count)),
            Self::Text(max) => value.as_str().is_some_and(|text| (1..=*max).contains(&text.len())),
            Self::Address => value.as_str().is_some_and(|text| text.parse::<SocketAddr>().is_ok()),
            Self::Addresses => value.as_array().is_some_and(|list| {
                for (i, value) in list.iter().enumerate() {
                    Self::Address.check(&format!("{place}[{i}]"), value, faults);
                }
                true
            }),
            Self::Time(min, max) => {
                let time = value.as_str().and_then(|text| humantime::parse_duration(text).ok());
                time.is_some_and(|time| (*min..=*max).contains(&time))
            }
            Self::Map(names, choices) => match value.as_object() {
                None => false,
                Some(fields) => {
                    for (name, value) in fields {
                        let place = format!("{place}.{name}");
                        if names.contains(&name.as_str()) {
                            Self::OneOf(choices).check(&place, value, faults);
                        } else {
                            faults.push(unknown_key(place, name, names.iter().copied()));
                        }
                    }
                    true
                }
            },
        };
        if !valid {
            faults.push(Fault::at(place, Some(value), self.expected()));
        }
    }
}

/// The fault for an unknown key; suggests the most similar known key.
fn unknown_key<'a>(place: String, name: &str, known: impl Iterator<Item = &'a str>) -> Fault {
    const MIN_SIMILARITY: f64 = 0.7;
    let known: Vec<_> = known.collect::<BTreeSet<_>>().into_iter().collect();
    let similarity = |other: &&str| strsim::jaro_winkler(name, other);
    let nearest = known.iter().copied().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    let expected = match nearest.filter(|nearest| similarity(nearest) >= MIN_SIMILARITY) {
        Some(nearest) => format!("a known key: did you mean `{nearest}`?"),
        None => format!("one of the keys {}", known.join(", ")),
    };
    Fault::new(place, "an unknown key", expected)
}

/// Reads the section, which may be absent, and adds its faults to `faults`.
pub fn read(value: Option<&Value>, faults: &mut Vec<Fault>) -> Section {
    let Some(value) = value else { return Section::default() };
    let before = faults.len();
    check_object("walkpick", "", value, faults);
    if faults.len() > before {
        return Section::default();
    }
    let section: Section = serde_json::from_value(value.clone()).unwrap_or_else(|error| {
        faults.push(Fault::new("walkpick", error.to_string(), "the options listed in docs/configuration.md"));
        Section::default()
    });
    let peers = &section.peers;
    if value.get("peers").is_some() && peers.listen.is_none() {
        faults.push(Fault::new(
            "walkpick.peers.listen",
            "nothing",
            "an address and port, since `walkpick.peers` is set",
        ));
    }
    if peers.probe_timeout * 2 > peers.probe_every {
        let found = format_duration(peers.probe_timeout).to_string();
        faults.push(Fault::new("walkpick.peers.probe_timeout", found, "at most half of `peers.probe_every`"));
    }
    section
}

/// Checks an object of the section. `path` is the prefix of its keys in [`OPTIONS`].
fn check_object(place: &str, path: &str, value: &Value, faults: &mut Vec<Fault>) {
    let Some(fields) = value.as_object() else {
        return faults.push(Fault::at(place, Some(value), "an object"));
    };
    for (name, value) in fields {
        let (place, path) = (format!("{place}.{name}"), format!("{path}{name}"));
        let prefix = format!("{path}.");
        if let Some(item) = OPTIONS.iter().find(|item| item.path == path) {
            item.kind.check(&place, value, faults);
        } else if OPTIONS.iter().any(|item| item.path.starts_with(&prefix)) {
            check_object(&place, &prefix, value, faults);
        } else {
            let parent = &path[..path.len() - name.len()];
            let siblings = OPTIONS.iter().filter_map(|item| item.path.strip_prefix(parent));
            let siblings = siblings.map(|rest| rest.split('.').next().unwrap_or(rest));
            faults.push(unknown_key(place, name, siblings));
        }
    }
}

#[cfg(test)]
mod tests;
