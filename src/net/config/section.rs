//! The optional section `walkpick`: what this node offers beside what the platform asks. Each value is declared
//! once in [`ITEMS`]; `docs/configuration.md` and the types are held against that by tests.

use super::fault::Fault;
use humantime::format_duration;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use walkpick::peers::dissemination::DisseminationConfig;
use walkpick::peers::{Location, NodeCountRules, PeersConfig};

/// The section, with a default for each value.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Section {
    pub log: Log,
    pub peers: PeersSection,
}

/// Membership among the nodes; off where `listen` is not given.
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
    /// What the membership is told, with so many nodes configured.
    pub fn of(&self, nodes: u32) -> PeersConfig {
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

    /// Where this node runs, as its peers are told.
    pub fn location(&self) -> Location {
        let text = |text: &Option<String>| text.clone().unwrap_or_default();
        Location { region: text(&self.region), zone: text(&self.zone), site: text(&self.site) }
    }
}

/// Whether a part of the program works.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Switch {
    Off,
    On,
}

/// What is written to standard error, and how.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    pub format: Format,
    pub level: Level,
    /// By subsystem, in place of `level`.
    pub levels: BTreeMap<String, Level>,
    /// Like lines that are written within `window`; the others are counted.
    pub like_lines: u32,
    #[serde(with = "humantime_serde")]
    pub window: Duration,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: Format::Text,
            level: Level::Info,
            levels: BTreeMap::new(),
            like_lines: 100,
            window: Duration::from_secs(1),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    Text,
    Json,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    Off,
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}

/// Subsystems that log under a name of their own.
pub const SUBSYSTEMS: &[&str] =
    &["clients", "discovery", "log", "node", "peers", "policy", "request", "servers"];

/// Bytes of the name of a region, a zone or a site at the most: with three of them a datagram still holds its message.
const PLACE: usize = 16;

const LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

/// What may stand at a place.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    OneOf(&'static [&'static str]),
    /// A whole number, with its least and its most.
    Count(u64, u64),
    /// A text of so many bytes at the most, and not empty.
    Text(usize),
    /// An address with a port.
    Address,
    /// A list of those.
    Addresses,
    /// A text such as `250ms`, with its least and its most.
    Time(Duration, Duration),
    /// An object: to each of these names, one of those words.
    Map(&'static [&'static str], &'static [&'static str]),
}

/// One value of the section.
#[derive(Debug)]
pub struct Item {
    /// Below `walkpick`, with dots.
    pub path: &'static str,
    pub kind: Kind,
    /// As JSON.
    pub default: &'static str,
    pub about: &'static str,
}

/// Every value of the section.
pub const ITEMS: &[Item] = &[
    Item {
        path: "log.format",
        kind: Kind::OneOf(&["text", "json"]),
        default: "\"text\"",
        about: "lines for a reader, or one JSON object a line",
    },
    Item {
        path: "log.level",
        kind: Kind::OneOf(LEVELS),
        default: "\"info\"",
        about: "the least grave lines that are written",
    },
    Item {
        path: "log.levels",
        kind: Kind::Map(SUBSYSTEMS, LEVELS),
        default: "{}",
        about: "another level for a subsystem",
    },
    Item {
        path: "log.like_lines",
        kind: Kind::Count(1, 1_000_000),
        default: "100",
        about: "lines from one place of the program that are written within `log.window`; what is left out is counted",
    },
    Item {
        path: "log.window",
        kind: Kind::Time(Duration::from_millis(100), Duration::from_secs(3600)),
        default: "\"1s\"",
        about: "the time over which like lines are counted",
    },
    Item {
        path: "peers.advertise",
        kind: Kind::Address,
        default: "null",
        about: "where other nodes reach `peers.listen`; the same address where it is not given",
    },
    Item {
        path: "peers.cluster",
        kind: Kind::Text(32),
        default: "\"walkpick\"",
        about: "datagrams of a cluster with another name are dropped",
    },
    Item {
        path: "peers.dissemination",
        kind: Kind::OneOf(&["off", "on"]),
        default: "\"off\"",
        about: "whether entries and states of publishers reach this node and go on from it; at all nodes of a cluster or at none",
    },
    Item {
        path: "peers.hold",
        kind: Kind::Time(Duration::from_secs(1), Duration::from_secs(3600)),
        default: "\"10s\"",
        about: "fewer nodes are believed once views have agreed on them for so long",
    },
    Item {
        path: "peers.listen",
        kind: Kind::Address,
        default: "null",
        about: "where this node meets its peers, by UDP; without it it meets nobody",
    },
    Item {
        path: "peers.memory",
        kind: Kind::Time(Duration::from_secs(10), Duration::from_secs(24 * 3600)),
        default: "\"5m\"",
        about: "for so long no fewer nodes are believed than half of the most that were",
    },
    Item {
        path: "peers.probe_every",
        kind: Kind::Time(Duration::from_millis(100), Duration::from_secs(60)),
        default: "\"400ms\"",
        about: "how often this node looks whether a peer is there",
    },
    Item {
        path: "peers.probe_timeout",
        kind: Kind::Time(Duration::from_millis(10), Duration::from_secs(30)),
        default: "\"180ms\"",
        about: "an answer that takes longer is asked for by way of others; at the most half of `peers.probe_every`",
    },
    Item {
        path: "peers.region",
        kind: Kind::Text(PLACE),
        default: "null",
        about: "the region where this node runs, as its peers are told; short, as each datagram carries it twice",
    },
    Item {
        path: "peers.seeds",
        kind: Kind::Addresses,
        default: "[]",
        about: "where other nodes may be met; any of them may be down",
    },
    Item {
        path: "peers.site",
        kind: Kind::Text(PLACE),
        default: "null",
        about: "the site where this node runs: what fails together within a zone",
    },
    Item {
        path: "peers.zone",
        kind: Kind::Text(PLACE),
        default: "null",
        about: "the zone where this node runs: what fails together within a region",
    },
];

impl Kind {
    /// What a message says that it expects; the reference page says the same.
    pub fn expected(&self) -> String {
        let words = |words: &[&str]| words.iter().map(|w| format!("`{w}`")).collect::<Vec<_>>().join(", ");
        let time = |time| humantime::format_duration(time);
        match self {
            Self::OneOf(choices) => format!("one of {}", words(choices)),
            Self::Count(least, most) => format!("a whole number from {least} to {most}"),
            Self::Text(most) => format!("a text of 1 to {most} bytes"),
            Self::Address => "an address and port".to_owned(),
            Self::Addresses => "a list of addresses and ports".to_owned(),
            Self::Time(least, most) => format!("a time as text from `{}` to `{}`", time(*least), time(*most)),
            Self::Map(names, choices) => {
                format!("an object of names among {}, each with one of {}", words(names), words(choices))
            }
        }
    }

    fn check(&self, place: &str, value: &Value, faults: &mut Vec<Fault>) {
        let right = match self {
            Self::OneOf(choices) => value.as_str().is_some_and(|text| choices.contains(&text)),
            Self::Count(least, most) => value.as_u64().is_some_and(|count| (*least..=*most).contains(&count)),
            Self::Text(most) => value.as_str().is_some_and(|text| (1..=*most).contains(&text.len())),
            Self::Address => value.as_str().is_some_and(|text| text.parse::<SocketAddr>().is_ok()),
            Self::Addresses => value.as_array().is_some_and(|list| {
                for (i, value) in list.iter().enumerate() {
                    Self::Address.check(&format!("{place}[{i}]"), value, faults);
                }
                true
            }),
            Self::Time(least, most) => {
                let time = value.as_str().and_then(|text| humantime::parse_duration(text).ok());
                time.is_some_and(|time| (*least..=*most).contains(&time))
            }
            Self::Map(names, choices) => match value.as_object() {
                None => false,
                Some(fields) => {
                    for (name, value) in fields {
                        let place = format!("{place}.{name}");
                        if names.contains(&name.as_str()) {
                            Self::OneOf(choices).check(&place, value, faults);
                        } else {
                            faults.push(unknown(place, name, names.iter().copied()));
                        }
                    }
                    true
                }
            },
        };
        if !right {
            faults.push(Fault::at(place, Some(value), self.expected()));
        }
    }
}

/// A name that nothing has, with the one that was probably meant.
fn unknown<'a>(place: String, name: &str, known: impl Iterator<Item = &'a str>) -> Fault {
    const LIKE: f64 = 0.7;
    let known: Vec<_> = known.collect::<BTreeSet<_>>().into_iter().collect();
    let likeness = |other: &&str| strsim::jaro_winkler(name, other);
    let nearest = known.iter().copied().max_by(|a, b| likeness(a).total_cmp(&likeness(b)));
    let expected = match nearest.filter(|nearest| likeness(nearest) >= LIKE) {
        Some(nearest) => format!("a known name: did you mean `{nearest}`?"),
        None => format!("one of the names {}", known.join(", ")),
    };
    Fault::new(place, "an unknown name", expected)
}

/// Reads the section, which may be missing. What is wrong is added to `faults`.
pub fn read(value: Option<&Value>, faults: &mut Vec<Fault>) -> Section {
    let Some(value) = value else { return Section::default() };
    let before = faults.len();
    walk("walkpick", "", value, faults);
    if faults.len() > before {
        return Section::default();
    }
    let section: Section = serde_json::from_value(value.clone()).unwrap_or_else(|error| {
        faults.push(Fault::new("walkpick", error.to_string(), "what docs/configuration.md lists"));
        Section::default()
    });
    let peers = &section.peers;
    if value.get("peers").is_some() && peers.listen.is_none() {
        faults.push(Fault::new(
            "walkpick.peers.listen",
            "nothing",
            "an address and port, where peers are configured",
        ));
    }
    if peers.probe_timeout * 2 > peers.probe_every {
        let found = format_duration(peers.probe_timeout).to_string();
        faults.push(Fault::new(
            "walkpick.peers.probe_timeout",
            found,
            "half of `peers.probe_every` at the most",
        ));
    }
    section
}

/// Checks an object of the section. `path` is what stands before its names in [`ITEMS`].
fn walk(place: &str, path: &str, value: &Value, faults: &mut Vec<Fault>) {
    let Some(fields) = value.as_object() else {
        return faults.push(Fault::at(place, Some(value), "an object"));
    };
    for (name, value) in fields {
        let (place, path) = (format!("{place}.{name}"), format!("{path}{name}"));
        let below = format!("{path}.");
        if let Some(item) = ITEMS.iter().find(|item| item.path == path) {
            item.kind.check(&place, value, faults);
        } else if ITEMS.iter().any(|item| item.path.starts_with(&below)) {
            walk(&place, &below, value, faults);
        } else {
            let parent = &path[..path.len() - name.len()];
            let here = ITEMS.iter().filter_map(|item| item.path.strip_prefix(parent));
            let here = here.map(|rest| rest.split('.').next().unwrap_or(rest));
            faults.push(unknown(place, name, here));
        }
    }
}

#[cfg(test)]
mod tests;
