//! Settings of runs of hollow nodes: sizes, places and faults, from the command line or an experiment file.

use super::places::Map;
use crate::cluster::topology::REGIONS;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use walkpick::peers::dissemination::MAX_PAYLOAD_BYTES;
use walkpick::peers::PeersConfig;

/// Maximum number of processes that share the hollow nodes.
pub const MAX_PROCESSES: usize = 16;
/// Maximum number of hollow nodes, whose addresses, memory and timers share one machine.
pub const MAX_NODES: usize = 4_096;
/// Maximum number of complete nodes, each of which is a process.
pub const MAX_COMPLETE: usize = 64;

/// A cluster of hollow nodes and its schedule. Each size is run with each loss.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Hollow {
    /// Numbers of hollow nodes.
    pub nodes: Vec<usize>,
    /// Processes that share the hollow nodes; at most as many as nodes.
    pub processes: usize,
    /// Complete nodes, each with its own servers, discovery and load.
    pub complete: usize,
    /// Fractions of datagrams lost.
    pub loss: Vec<f64>,
    /// Time over which node starts are spread.
    #[serde(with = "humantime_serde")]
    pub start: Duration,
    /// Time from the first start within which nodes are to converge.
    #[serde(with = "humantime_serde")]
    pub meet: Duration,
    /// Whether the run ends as soon as nodes have converged.
    pub end_when_met: bool,
    /// Time without events after that.
    #[serde(with = "humantime_serde")]
    pub rest: Duration,
    /// A run is void if the 99th percentile of lateness exceeds this, or the maximum exceeds ten times this.
    #[serde(with = "humantime_serde")]
    pub lateness: Duration,
    /// Probe interval.
    #[serde(with = "humantime_serde")]
    pub probe_every: Duration,
    /// Timeout of a direct probe before indirect probes are sent.
    #[serde(with = "humantime_serde")]
    pub probe_timeout: Duration,
    /// Regions and zones.
    pub map: Map,
    /// What is published after the rest. Nodes take part in dissemination only if this is set.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub publish: Option<Publish>,
    /// Faults, injected one after the other.
    pub fault: Vec<HollowFault>,
}

/// What a publisher publishes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Publish {
    /// Log entries per second.
    pub per_second: u32,
    /// Size of an entry.
    pub entry_bytes: usize,
    /// How long entries are published.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// Time between two state versions.
    #[serde(with = "humantime_serde")]
    pub state_every: Duration,
    /// Size of the state.
    pub state_bytes: usize,
    /// Time for delivery after the last entry.
    #[serde(with = "humantime_serde")]
    pub drain: Duration,
    /// Whether faults begin during publishing rather than after it.
    pub with_faults: bool,
}

impl Default for Publish {
    fn default() -> Self {
        let seconds = Duration::from_secs;
        Self {
            per_second: 6,
            entry_bytes: 128,
            lasts: seconds(60),
            state_every: seconds(10),
            state_bytes: 800,
            drain: seconds(8),
            with_faults: false,
        }
    }
}

impl Publish {
    fn validate(&self, validator: &mut Validator) {
        validator.check_range("publish.per_second", f64::from(self.per_second), 1.0, 1_000.0);
        validator.check_range("publish.entry_bytes", self.entry_bytes as f64, 1.0, MAX_PAYLOAD_BYTES as f64);
        validator.check_range("publish.state_bytes", self.state_bytes as f64, 1.0, MAX_PAYLOAD_BYTES as f64);
        validator.check_seconds("publish.lasts", self.lasts, 1.0, 3_600.0);
        validator.check_seconds("publish.state_every", self.state_every, 0.1, 3_600.0);
        validator.check_seconds("publish.drain", self.drain, 0.0, 600.0);
    }
}

impl Default for Hollow {
    fn default() -> Self {
        let ms = Duration::from_millis;
        let PeersConfig { probe_interval: probe_every, probe_timeout, .. } = PeersConfig::default();
        Self {
            nodes: vec![530],
            processes: MAX_PROCESSES,
            complete: 0,
            loss: vec![0.0],
            start: ms(10_000),
            meet: ms(20_000),
            end_when_met: false,
            rest: ms(30_000),
            lateness: ms(10),
            probe_every,
            probe_timeout,
            map: Map::default(),
            publish: None,
            fault: Vec::new(),
        }
    }
}

/// A temporary fault of hollow nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HollowFault {
    /// Kind of the fault.
    pub what: FaultKind,
    /// How long it lasts; at its end, stopped nodes restart and cut regions are reconnected.
    #[serde(with = "humantime_serde", default = "twelve_seconds")]
    pub lasts: Duration,
    /// How long the cluster is observed after that.
    #[serde(with = "humantime_serde", default = "ten_seconds")]
    pub after: Duration,
}

fn twelve_seconds() -> Duration {
    Duration::from_secs(12)
}

fn ten_seconds() -> Duration {
    Duration::from_secs(10)
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// One node is killed.
    Kill,
    /// A rack of 12 nodes is killed.
    Rack,
    /// A zone is killed.
    Zone,
    /// 32 nodes leave and come back after `lasts`.
    Restart,
    /// A region is cut off from all others.
    Region,
}

impl FaultKind {
    /// Name in files and figures.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Rack => "rack",
            Self::Zone => "zone",
            Self::Restart => "restart",
            Self::Region => "region",
        }
    }
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Its key.
    pub key: String,
    /// Its value.
    pub found: String,
    /// The valid values.
    pub expected: String,
}

impl Hollow {
    /// Returns all invalid settings.
    pub fn validate(&self) -> Vec<InvalidSetting> {
        let mut validator = Validator(Vec::new());
        validator.check_not_empty("nodes", self.nodes.len());
        for nodes in &self.nodes {
            validator.check_range("nodes", *nodes as f64, 2.0, MAX_NODES as f64);
        }
        let min_nodes = self.nodes.iter().copied().min().unwrap_or(MAX_PROCESSES).clamp(1, MAX_PROCESSES);
        validator.check_range("processes", self.processes as f64, 1.0, min_nodes as f64);
        validator.check_range("complete", self.complete as f64, 0.0, MAX_COMPLETE as f64);
        validator.check_not_empty("loss", self.loss.len());
        for loss in &self.loss {
            validator.check_range("loss", *loss, 0.0, 0.9);
        }
        validator.check_seconds("start", self.start, 0.0, 60.0);
        validator.check_seconds("meet", self.meet, 1.0, 600.0);
        validator.check_seconds("rest", self.rest, 1.0, 3_600.0);
        validator.check_seconds("lateness", self.lateness, 0.000_001, 36_000.0);
        validator.check_seconds("probe_every", self.probe_every, 0.1, 60.0);
        validator.check_seconds(
            "probe_timeout",
            self.probe_timeout,
            0.01,
            self.probe_every.as_secs_f64() / 2.0,
        );
        validator.check_range("map.regions", self.map.regions as f64, 1.0, REGIONS as f64);
        validator.check_range("map.zones", self.map.zones as f64, self.map.regions.max(1) as f64, 256.0);
        validator.check_seconds("map.farthest", self.map.farthest, 0.001, 2.0);
        self.publish.iter().for_each(|publish| publish.validate(&mut validator));
        for (i, fault) in self.fault.iter().enumerate() {
            validator.check_seconds(&format!("fault {}: lasts", i + 1), fault.lasts, 0.1, 600.0);
            validator.check_seconds(&format!("fault {}: after", i + 1), fault.after, 1.0, 600.0);
            if self.fault[..i].iter().any(|before| before.what == fault.what) {
                let duplicate = format!("another {}", fault.what.name());
                validator.report(&format!("fault {}: what", i + 1), duplicate, "each kind once".to_owned());
            }
        }
        validator.0
    }
}

/// Collects invalid settings.
struct Validator(Vec<InvalidSetting>);

impl Validator {
    fn report(&mut self, key: &str, found: String, expected: String) {
        self.0.push(InvalidSetting { key: key.to_owned(), found, expected });
    }

    fn check_range(&mut self, key: &str, value: f64, min: f64, max: f64) {
        if !(min..=max).contains(&value) {
            self.report(key, value.to_string(), format!("{min} to {max}"));
        }
    }

    fn check_seconds(&mut self, key: &str, value: Duration, min: f64, max: f64) {
        if !(min..=max).contains(&value.as_secs_f64()) {
            self.report(key, humantime::format_duration(value).to_string(), format!("{min} s to {max} s"));
        }
    }

    fn check_not_empty(&mut self, key: &str, values: usize) {
        if values == 0 {
            self.report(key, "an empty list".to_owned(), "one value or more".to_owned());
        }
    }
}

#[cfg(test)]
mod tests;
