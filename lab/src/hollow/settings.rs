//! What a run of hollow nodes is: sizes, places, faults and checks, from the command line or the table `[hollow]` of an
//! experiment file.

use super::figures;
use super::places::Map;
use crate::cluster::topology::REGIONS;
use crate::experiment::Fault as Wrong;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Processes that share the hollow nodes, at the most.
pub const MOST_PROCESSES: usize = 16;
/// Hollow nodes at the most: their addresses, memory and timers are one machine's.
pub const MOST_NODES: usize = 4_096;
/// Complete nodes at the most: each is a process.
pub const MOST_COMPLETE: usize = 64;

/// An experiment on hollow nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HollowExperiment {
    /// Its name.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// The cluster and what happens to it.
    pub hollow: Hollow,
    /// What has to hold in every run.
    #[serde(default)]
    pub check: Vec<Check>,
}

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
    /// Regions and zones.
    pub map: Map,
    /// What happens after the rest, one after the other.
    pub fault: Vec<HollowFault>,
}

impl Default for Hollow {
    fn default() -> Self {
        let ms = Duration::from_millis;
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
            map: Map::default(),
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

/// A figure within a bound, in every run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Check {
    /// What it is called.
    pub name: String,
    /// The figure.
    pub figure: String,
    /// It is no less than this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_least: Option<f64>,
    /// It is no more than this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_most: Option<f64>,
}

impl HollowExperiment {
    /// Reads a text; all that is wrong with its values is told at once.
    pub fn parse(text: &str) -> Result<Self, Vec<Wrong>> {
        let read: Self = toml::from_str(text).map_err(|error| {
            let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or("");
            let line = before.matches('\n').count() + 1;
            vec![Wrong { place: format!("line {line}"), what: error.message().replace('\n', " ") }]
        })?;
        let mut wrong = read.hollow.faults();
        wrong.extend(read.check.iter().enumerate().flat_map(|(place, check)| check.faults(place + 1)));
        match wrong.is_empty() {
            true => Ok(read),
            false => Err(wrong),
        }
    }
}

impl Check {
    /// Whether a figure is within the bound; one that was not reached is not.
    pub fn holds(&self, value: Option<f64>) -> bool {
        let within = |value: f64| {
            self.at_least.is_none_or(|least| value >= least) && self.at_most.is_none_or(|most| value <= most)
        };
        value.is_some_and(within)
    }

    /// The bound as it is told.
    pub fn bound(&self) -> String {
        let least = self.at_least.map(|least| format!("at least {least}"));
        let most = self.at_most.map(|most| format!("at most {most}"));
        least.into_iter().chain(most).collect::<Vec<_>>().join(" and ")
    }

    fn faults(&self, place: usize) -> Vec<Wrong> {
        let mut wrong = Vec::new();
        if !figures::is_known(&self.figure) {
            let what = format!("found \"{}\", expected one of {}", self.figure, figures::names().join(", "));
            wrong.push(Wrong { place: format!("check {place}: figure"), what });
        }
        if self.at_least.is_none() && self.at_most.is_none() {
            let what = "found no bound, expected at_least or at_most".to_owned();
            wrong.push(Wrong { place: format!("check {place}: bound"), what });
        }
        wrong
    }
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
        found.within("map.regions", self.map.regions as f64, 1.0, REGIONS as f64);
        found.within("map.zones", self.map.zones as f64, self.map.regions.max(1) as f64, 256.0);
        found.seconds("map.farthest", self.map.farthest, 0.001, 2.0);
        for (i, fault) in self.fault.iter().enumerate() {
            found.seconds(&format!("fault {}: lasts", i + 1), fault.lasts, 0.1, 600.0);
            found.seconds(&format!("fault {}: after", i + 1), fault.after, 1.0, 600.0);
            if self.fault[..i].iter().any(|before| before.what == fault.what) {
                let what = format!("found another {}, expected each kind once", fault.what.name());
                found.0.push(Wrong { place: format!("hollow.fault {}: what", i + 1), what });
            }
        }
        found.0
    }
}

/// Collects what lies outside its bounds.
struct Bounds(Vec<Wrong>);

impl Bounds {
    fn within(&mut self, place: &str, value: f64, least: f64, most: f64) {
        if !(least..=most).contains(&value) {
            let what = format!("found {value}, expected {least} to {most}");
            self.0.push(Wrong { place: format!("hollow.{place}"), what });
        }
    }

    fn seconds(&mut self, place: &str, value: Duration, least: f64, most: f64) {
        if !(least..=most).contains(&value.as_secs_f64()) {
            let found = humantime::format_duration(value);
            let what = format!("found {found}, expected {least} s to {most} s");
            self.0.push(Wrong { place: format!("hollow.{place}"), what });
        }
    }

    fn listed(&mut self, place: &str, values: usize) {
        if values == 0 {
            let what = "found an empty list, expected one value or more".to_owned();
            self.0.push(Wrong { place: format!("hollow.{place}"), what });
        }
    }
}

#[cfg(test)]
mod tests;
