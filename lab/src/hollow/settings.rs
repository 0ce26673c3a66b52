//! What a run of hollow nodes is: sizes, places and faults, from the command line or an experiment file.

use super::places::Map;
use crate::cluster::topology::REGIONS;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use walkpick::peers::dissemination::MAX_PAYLOAD_BYTES;
use walkpick::peers::PeersConfig;

/// Processes that share the hollow nodes, at the most.
pub const MOST_PROCESSES: usize = 16;
/// Hollow nodes at the most: their addresses, memory and timers are one machine's.
pub const MOST_NODES: usize = 4_096;
/// Complete nodes at the most: each is a process.
pub const MOST_COMPLETE: usize = 64;

/// A cluster of hollow nodes and what happens to it. Each size is run with each loss.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Hollow {
    /// Numbers of hollow nodes.
    pub nodes: Vec<usize>,
    /// Processes that share them; no more than there are nodes.
    pub processes: usize,
    /// Complete nodes beside them, with servers, discovery and load of their own.
    pub complete: usize,
    /// Parts of the datagrams that are lost.
    pub loss: Vec<f64>,
    /// Over this time nodes start.
    #[serde(with = "humantime_serde")]
    pub start: Duration,
    /// From the first start on, nodes have so long to meet.
    #[serde(with = "humantime_serde")]
    pub meet: Duration,
    /// The run ends as soon as they have met.
    pub end_when_met: bool,
    /// So long nothing happens.
    #[serde(with = "humantime_serde")]
    pub rest: Duration,
    /// A run in which one in a hundred things came later than this, or one ten times as late, is void.
    #[serde(with = "humantime_serde")]
    pub lateness: Duration,
    /// Each node probes another one this often.
    #[serde(with = "humantime_serde")]
    pub probe_every: Duration,
    /// An answer that takes longer is asked for by way of others.
    #[serde(with = "humantime_serde")]
    pub probe_timeout: Duration,
    /// Regions and zones.
    pub map: Map,
    /// What is published after the rest; nodes take part in dissemination where something is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub publish: Option<Publish>,
    /// What happens after that, one after the other.
    pub fault: Vec<HollowFault>,
}

/// What a publisher issues.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Publish {
    /// Entries of its log, a second.
    pub per_second: u32,
    /// Bytes of each.
    pub entry_bytes: usize,
    /// For so long.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// Between two versions of its state.
    #[serde(with = "humantime_serde")]
    pub state_every: Duration,
    /// Bytes of each.
    pub state_bytes: usize,
    /// After the last entry, all have so long.
    #[serde(with = "humantime_serde")]
    pub drain: Duration,
    /// Faults begin while entries flow, in place of after them.
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
    fn tell_faults(&self, found: &mut Bounds) {
        found.within("publish.per_second", f64::from(self.per_second), 1.0, 1_000.0);
        found.within("publish.entry_bytes", self.entry_bytes as f64, 1.0, MAX_PAYLOAD_BYTES as f64);
        found.within("publish.state_bytes", self.state_bytes as f64, 1.0, MAX_PAYLOAD_BYTES as f64);
        found.seconds("publish.lasts", self.lasts, 1.0, 3_600.0);
        found.seconds("publish.state_every", self.state_every, 0.1, 3_600.0);
        found.seconds("publish.drain", self.drain, 0.0, 600.0);
    }
}

impl Default for Hollow {
    fn default() -> Self {
        let ms = Duration::from_millis;
        let PeersConfig { probe_interval: probe_every, probe_timeout, .. } = PeersConfig::default();
        Self {
            nodes: vec![530],
            processes: MOST_PROCESSES,
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

/// Something that happens to hollow nodes and ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HollowFault {
    /// What.
    pub what: FaultKind,
    /// For so long it lasts; at its end what is gone comes back.
    #[serde(with = "humantime_serde", default = "twelve_seconds")]
    pub lasts: Duration,
    /// For so long the cluster is watched after that.
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
    /// A rack of 12 is killed.
    Rack,
    /// A zone is killed.
    Zone,
    /// 32 nodes leave and come back: `lasts` is the time between.
    Restart,
    /// A region loses all others.
    Region,
}

impl FaultKind {
    /// As it is written in files and figures.
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

/// A value that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    /// Its name.
    pub key: String,
    /// What it is.
    pub found: String,
    /// What it may be.
    pub expected: String,
}

impl Hollow {
    /// All that is wrong with it.
    pub fn faults(&self) -> Vec<Wrong> {
        let mut found = Bounds(Vec::new());
        found.listed("nodes", self.nodes.len());
        for nodes in &self.nodes {
            found.within("nodes", *nodes as f64, 2.0, MOST_NODES as f64);
        }
        let fewest = self.nodes.iter().copied().min().unwrap_or(MOST_PROCESSES).clamp(1, MOST_PROCESSES);
        found.within("processes", self.processes as f64, 1.0, fewest as f64);
        found.within("complete", self.complete as f64, 0.0, MOST_COMPLETE as f64);
        found.listed("loss", self.loss.len());
        for loss in &self.loss {
            found.within("loss", *loss, 0.0, 0.9);
        }
        found.seconds("start", self.start, 0.0, 60.0);
        found.seconds("meet", self.meet, 1.0, 600.0);
        found.seconds("rest", self.rest, 1.0, 3_600.0);
        found.seconds("lateness", self.lateness, 0.000_001, 36_000.0);
        found.seconds("probe_every", self.probe_every, 0.1, 60.0);
        found.seconds("probe_timeout", self.probe_timeout, 0.01, self.probe_every.as_secs_f64() / 2.0);
        found.within("map.regions", self.map.regions as f64, 1.0, REGIONS as f64);
        found.within("map.zones", self.map.zones as f64, self.map.regions.max(1) as f64, 256.0);
        found.seconds("map.farthest", self.map.farthest, 0.001, 2.0);
        self.publish.iter().for_each(|publish| publish.tell_faults(&mut found));
        for (i, fault) in self.fault.iter().enumerate() {
            found.seconds(&format!("fault {}: lasts", i + 1), fault.lasts, 0.1, 600.0);
            found.seconds(&format!("fault {}: after", i + 1), fault.after, 1.0, 600.0);
            if self.fault[..i].iter().any(|before| before.what == fault.what) {
                let found_one = format!("another {}", fault.what.name());
                found.add(&format!("fault {}: what", i + 1), found_one, "each kind once".to_owned());
            }
        }
        found.0
    }
}

/// Collects what lies outside its bounds.
struct Bounds(Vec<Wrong>);

impl Bounds {
    fn add(&mut self, key: &str, found: String, expected: String) {
        self.0.push(Wrong { key: key.to_owned(), found, expected });
    }

    fn within(&mut self, key: &str, value: f64, least: f64, most: f64) {
        if !(least..=most).contains(&value) {
            self.add(key, value.to_string(), format!("{least} to {most}"));
        }
    }

    fn seconds(&mut self, key: &str, value: Duration, least: f64, most: f64) {
        if !(least..=most).contains(&value.as_secs_f64()) {
            self.add(key, humantime::format_duration(value).to_string(), format!("{least} s to {most} s"));
        }
    }

    fn listed(&mut self, key: &str, values: usize) {
        if values == 0 {
            self.add(key, "an empty list".to_owned(), "one value or more".to_owned());
        }
    }
}

#[cfg(test)]
mod tests;
