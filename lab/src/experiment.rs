//! Experiments: a deployment, a load, a schedule of faults, arms and checks, read from TOML. Errors name the line or the
//! value at fault.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Why an experiment cannot be run.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {error}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        error: std::io::Error,
    },
    /// The file cannot be written.
    #[error("{}: cannot be written: {error}", path.display())]
    Unwritable {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        error: std::io::Error,
    },
    /// The file is not a valid experiment.
    #[error("{}", diagnostics.iter().map(|one| format!("{}: {one}", path.display())).collect::<Vec<_>>().join("\n"))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Everything that is wrong in it.
        diagnostics: Vec<Diagnostic>,
    },
}

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// A line, or the name of a value.
    pub location: String,
    /// What was found and what was expected.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.message)
    }
}

/// An experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// Duration of the arrivals, without the lead.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// Warm-up phase, in which caches fill and nodes find their servers. Nothing counts before its end, and the times of
    /// faults are relative to it.
    #[serde(with = "humantime_serde", default = "lead")]
    pub lead: Duration,
    /// Default driver.
    #[serde(default)]
    pub driver: Driver,
    /// Nodes, servers, origin and discovery.
    #[serde(default)]
    pub deployment: Deployment,
    /// Traffic of the clients.
    #[serde(default)]
    pub load: Load,
    /// Schedule of faults.
    #[serde(default)]
    pub fault: Vec<ScheduledFault>,
    /// Variants of the experiment, by name.
    #[serde(default)]
    pub arm: BTreeMap<String, Arm>,
    /// Expectations on the figures.
    #[serde(default)]
    pub check: Vec<Check>,
}

/// A deployment. Defaults are the middle of the operators' ranges.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Deployment {
    /// Number of nodes.
    pub nodes: u32,
    /// Number of cache servers.
    pub servers: u32,
    /// Number of zones; nodes and servers are assigned to them in turn.
    pub zones: u32,
    /// Cores of a server.
    pub cores: f64,
    /// Objects that the cache of a server holds.
    pub memory: u32,
    /// Capacity of the origin, as a multiple of the requests that one pooled cache of the fleet's size would leave to it.
    pub origin_headroom: f64,
    /// Mean service time of the origin.
    #[serde(with = "humantime_serde")]
    pub origin_time: Duration,
    /// Share of its full capacity that a server has at start.
    pub cold_share: f64,
    /// Time from a server's start to its full capacity.
    #[serde(with = "humantime_serde")]
    pub warm: Duration,
    /// Minimum delay until a node is notified of a change by discovery.
    #[serde(with = "humantime_serde")]
    pub notice_least: Duration,
    /// Maximum of that delay.
    #[serde(with = "humantime_serde")]
    pub notice_most: Duration,
    /// Whether responses of servers carry load reports, which are delayed and noisy.
    pub reports: bool,
    /// Whether servers may be probed; each probe costs them work.
    pub probes: bool,
    /// Delay until the front load balancer notices that a node is dead.
    #[serde(with = "humantime_serde")]
    pub front_notice: Duration,
}

impl Default for Deployment {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            nodes: 4,
            servers: 12,
            zones: 2,
            cores: 3.0,
            memory: 400,
            origin_headroom: 3.4,
            origin_time: ms(170),
            cold_share: 0.25,
            warm: ms(18_000),
            notice_least: ms(800),
            notice_most: ms(3_000),
            reports: false,
            probes: false,
            front_notice: ms(2_800),
        }
    }
}

/// How an experiment is run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Driver {
    /// Decision modules in simulated time.
    #[default]
    Virtual,
    /// Real nodes on loopback sockets, in real time.
    Real,
}

impl Driver {
    /// Its name as in experiment files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Virtual => "virtual",
            Self::Real => "real",
        }
    }
}

/// Traffic of the clients.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Mean work requested, as a share of the servers' capacity.
    pub share: f64,
    /// Amplitude of the variation of the rate, relative to its mean.
    pub swing: f64,
    /// Share of the clients in the first zone.
    pub first_zone: f64,
    /// Number of objects, as a multiple of those that all caches together hold.
    pub keys_per_memory: f64,
    /// Exponent of the Zipf distribution of their popularity.
    pub zipf: f64,
    /// Fraction of the popularity ranks that pass to another object each second.
    pub drift: f64,
    /// Maximum number of retries of a client.
    pub retries: u32,
    /// Delay before a retry.
    #[serde(with = "humantime_serde")]
    pub backoff: Duration,
    /// Share of the clients that wait for the retry-after time of a refusal.
    pub heeds: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            share: 0.45,
            swing: 0.1,
            first_zone: 0.5,
            keys_per_memory: 2.5,
            zipf: 0.9,
            drift: 0.002,
            retries: 2,
            backoff: Duration::from_millis(50),
            heeds: 0.5,
        }
    }
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers are slower by a factor of `size`.
    ServerSlow,
    /// Servers answer the share `size` of the requests of one class, or of all, with errors.
    ServerErring,
    /// Of the servers' responses, the share `size` breaks off half-way.
    ServerSpoilt,
    /// Servers do not respond; at the end they restart, cold.
    ServerSilent,
    /// All servers of one zone do not respond; at the end they restart, cold.
    ZoneSilent,
    /// Servers are drained and replaced by new ones, one after the other over the duration.
    ServersReplaced,
    /// Nodes are killed; at the end they restart.
    NodeKilled,
    /// Nodes are asked to shut down (SIGTERM), and killed if they don't; at the end they restart.
    NodeTerminated,
    /// Nodes are restarted, one after the other over the duration.
    NodesRolled,
    /// Nodes are paused (SIGSTOP), and resumed at the end.
    NodePaused,
    /// Nodes get the share `size` of the processor time.
    NodeSlow,
    /// Discovery's address changes, and nodes are asked to reload their configuration (SIGHUP).
    NodeReloaded,
    /// Nodes' clocks are `size` seconds ahead. Only the start times that discovery reports show it.
    NodeClock,
    /// Links are impaired as `link` says.
    Link,
    /// The origin is slower by a factor of `size`.
    OriginSlow,
    /// The origin does not answer; at the end it resumes with its queue.
    OriginSilent,
    /// The origin answers the share `size` of the requests with errors.
    OriginErring,
    /// Delays of discovery's updates grow by a factor of `size`.
    DiscoveryLate,
    /// Of discovery's updates, the share `size` reaches a node only at the end.
    DiscoveryLoses,
}

/// What a link connects nodes with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RemoteKind {
    /// Clients, which connect to nodes.
    Client,
    /// Cache servers.
    #[default]
    Server,
    /// Discovery.
    Discovery,
    /// Other nodes, as peers.
    Peer,
}

/// Direction of a link, as seen by the side that connects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Both directions.
    #[default]
    Both,
    /// From the side that connects.
    There,
    /// To the side that connects.
    Back,
}

/// Impairment of links by a fault.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFault {
    /// What the affected links connect nodes with.
    pub to: RemoteKind,
    /// Affected direction.
    pub direction: Direction,
    /// Share of the servers whose links are affected.
    pub other_part: f64,
    /// Fixed extra delay.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Maximum of the random delay that is added to it.
    #[serde(with = "humantime_serde")]
    pub jitter: Duration,
    /// Probability of loss; on a stream the data is retransmitted.
    pub loss: f64,
    /// Probability that a datagram is delivered twice.
    pub duplicate: f64,
    /// Probability that a datagram is delivered after later ones.
    pub reorder: f64,
    /// Nothing gets through.
    pub silent: bool,
    /// Open connections are reset at the beginning.
    pub reset: bool,
    /// The fault alternates between on and off at this interval.
    #[serde(with = "humantime_serde", skip_serializing_if = "Option::is_none")]
    pub flap: Option<Duration>,
}

/// A fault on the schedule. Faults may overlap.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// Its kind.
    pub what: FaultKind,
    /// When it begins.
    #[serde(with = "humantime_serde")]
    pub from: Duration,
    /// When it ends.
    #[serde(with = "humantime_serde")]
    pub to: Duration,
    /// Share of the servers or nodes that it affects.
    #[serde(default = "one")]
    pub part: f64,
    /// Its strength; the meaning depends on the kind.
    #[serde(default = "one")]
    pub size: f64,
    /// The only class that it affects, if it is limited to one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Impairment of links, for [`FaultKind::Link`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link: Option<LinkFault>,
}

impl FaultKind {
    /// Whether faults of this kind affect links.
    fn on_links(self) -> bool {
        self == Self::Link
    }
}

fn lead() -> Duration {
    Duration::from_secs(10)
}

fn one() -> f64 {
    1.0
}

/// The decision module of an arm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The program's.
    #[default]
    Walkpick,
    /// Any ready server, at random; no breaker.
    Random,
    /// Plain consistent hashing, with breakers at the paper's defaults.
    Hash,
    /// Upper bound: sees the true state of every server, and picks the one that would answer first.
    Top,
    /// The program's, with draining hidden from it. The judges must catch it.
    IgnoresDrains,
    /// The program's, with every class declared safe to resend. The judges must catch it.
    ResendsCharge,
    /// Resends every request repeatedly, to any server that was ever listed. The judges must catch it.
    BlocksNothing,
}

/// A variant of an experiment.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Arm {
    /// The decision module.
    pub policy: Policy,
    /// Whether the schedule of faults is skipped.
    pub no_faults: bool,
    /// Whether real nodes connect to their peers.
    pub peers: bool,
}

/// An expectation: a figure is within bounds, in one arm or in each. Bounds are absolute, or multiples of the figure in
/// another arm.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Check {
    /// Its name.
    pub name: String,
    /// Name of the figure; `rules` counts violations of rules.
    pub figure: String,
    /// The arm that it applies to; every arm where missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arm: Option<String>,
    /// Bounds are multiples of the same figure in this arm, on the same seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relative_to: Option<String>,
    /// The driver that it applies to; each where missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub driver: Option<Driver>,
    /// Lower bound.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// Upper bound.
    #[serde(default)]
    pub at_most: Option<f64>,
}

impl Experiment {
    /// Reads an experiment file.
    pub fn load(path: &Path) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ExperimentError::Unreadable { path: path.to_owned(), error })?;
        Self::parse(&text)
            .map_err(|diagnostics| ExperimentError::Invalid { path: path.to_owned(), diagnostics })
    }

    /// Parses and validates the text of an experiment file.
    pub fn parse(text: &str) -> Result<Self, Vec<Diagnostic>> {
        let experiment: Self = toml::from_str(text).map_err(|error| {
            let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or("");
            let line = before.matches('\n').count() + 1;
            vec![Diagnostic { location: format!("line {line}"), message: error.message().replace('\n', " ") }]
        })?;
        let diagnostics = experiment.validate();
        match diagnostics.is_empty() {
            true => Ok(experiment),
            false => Err(diagnostics),
        }
    }

    /// Its arms by name; a default arm named `walkpick` if it has none.
    pub fn arms(&self) -> BTreeMap<String, Arm> {
        if self.arm.is_empty() {
            return [("walkpick".to_owned(), Arm::default())].into();
        }
        self.arm.clone()
    }

    fn validate(&self) -> Vec<Diagnostic> {
        let mut diagnostics = Vec::new();
        let mut within = |location: String, value: f64, min: f64, max: f64| {
            if !(min..=max).contains(&value) {
                let message = format!("found {value}, expected {min} to {max}");
                diagnostics.push(Diagnostic { location, message });
            }
        };
        let Deployment { nodes, servers, zones, cores, memory, .. } = self.deployment;
        within("length".into(), self.length.as_secs_f64(), 1.0, 3600.0);
        within("lead".into(), self.lead.as_secs_f64(), 0.0, 60.0);
        within("deployment.nodes".into(), nodes.into(), 1.0, 10_000.0);
        within("deployment.servers".into(), servers.into(), 1.0, 10_000.0);
        within("deployment.zones".into(), zones.into(), 1.0, servers.min(nodes).max(1).into());
        within("deployment.cores".into(), cores, 0.1, 1_000.0);
        within("deployment.memory".into(), memory.into(), 1.0, 1e7);
        within("deployment.cold_share".into(), self.deployment.cold_share, 0.01, 1.0);
        within("deployment.origin_headroom".into(), self.deployment.origin_headroom, 0.01, 1e6);
        within("load.share".into(), self.load.share, 0.001, 10.0);
        within("load.swing".into(), self.load.swing, 0.0, 1.0);
        within("load.first_zone".into(), self.load.first_zone, 0.0, 1.0);
        within("load.keys_per_memory".into(), self.load.keys_per_memory, 0.01, 1e6);
        within("load.zipf".into(), self.load.zipf, 0.0, 10.0);
        within("load.drift".into(), self.load.drift, 0.0, 1.0);
        within("load.retries".into(), self.load.retries.into(), 0.0, 10.0);
        within("load.heeds".into(), self.load.heeds, 0.0, 1.0);
        for (i, fault) in self.fault.iter().enumerate() {
            within(format!("fault {}: part", i + 1), fault.part, 0.0, 1.0);
            within(format!("fault {}: size", i + 1), fault.size, 0.0, 1e6);
            let (from, to) = (fault.from.as_secs_f64(), fault.to.as_secs_f64());
            within(format!("fault {}: to", i + 1), to, from, self.length.as_secs_f64());
            if let Some(link) = &fault.link {
                for (name, part) in [
                    ("other_part", link.other_part),
                    ("loss", link.loss),
                    ("duplicate", link.duplicate),
                    ("reorder", link.reorder),
                ] {
                    within(format!("fault {}: link.{name}", i + 1), part, 0.0, 1.0);
                }
            }
        }
        let classes = crate::model::clients::client_classes();
        for (i, fault) in self.fault.iter().enumerate() {
            if fault.what.on_links() != fault.link.is_some() {
                let message = match fault.link {
                    Some(_) => "found [fault.link], expected it with what = \"link\" alone",
                    None => "found no [fault.link], expected what the links do",
                };
                diagnostics.push(Diagnostic {
                    location: format!("fault {}: link", i + 1),
                    message: message.to_owned(),
                });
            }
            if let Some(class) = &fault.class {
                if !classes.iter().any(|known| known.config.name.as_str() == class) {
                    let names: Vec<_> = classes.iter().map(|known| known.config.name.to_string()).collect();
                    let message = format!("found \"{class}\", expected one of {}", names.join(", "));
                    diagnostics.push(Diagnostic { location: format!("fault {}: class", i + 1), message });
                }
            }
        }
        for (i, check) in self.check.iter().enumerate() {
            let location = |part: &str| format!("check {}: {part}", i + 1);
            if !crate::judge::FIGURES.iter().any(|(name, _)| *name == check.figure) {
                let names: Vec<_> = crate::judge::FIGURES.iter().map(|(name, _)| *name).collect();
                let message = format!("found \"{}\", expected one of {}", check.figure, names.join(", "));
                diagnostics.push(Diagnostic { location: location("figure"), message });
            }
            if check.at_least.is_none() && check.at_most.is_none() {
                let message = "found no bound, expected at_least or at_most".to_owned();
                diagnostics.push(Diagnostic { location: location("bound"), message });
            }
            for (name, arm) in [("arm", &check.arm), ("relative_to", &check.relative_to)] {
                if let Some(found) = arm.as_ref().filter(|arm| !self.arms().contains_key(*arm)) {
                    let names: Vec<_> = self.arms().into_keys().collect();
                    let message = format!("found \"{found}\", expected one of {}", names.join(", "));
                    diagnostics.push(Diagnostic { location: location(name), message });
                }
            }
            if let Some(other) = &check.relative_to {
                if check.arm.as_ref().is_none_or(|arm| arm == other) {
                    let found = check.arm.as_ref().map_or("no arm".to_owned(), |arm| format!("\"{arm}\""));
                    let message = format!("found {found}, expected an arm other than that of relative_to");
                    diagnostics.push(Diagnostic { location: location("arm"), message });
                }
            }
        }
        diagnostics
    }
}

#[cfg(test)]
mod tests;
