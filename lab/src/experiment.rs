//! Experiments: a deployment, a load, a schedule of faults, arms and checks, read from TOML. What is wrong in a file is
//! told with its line.

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
        /// Which file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The file cannot be written.
    #[error("{}: cannot be written: {error}", path.display())]
    Unwritable {
        /// Which file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The file is not an experiment.
    #[error("{}", faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect::<Vec<_>>().join("\n"))]
    Faulty {
        /// Which file.
        path: PathBuf,
        /// All that is wrong.
        faults: Vec<Fault>,
    },
}

/// One thing that is wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// A line, or the name of a value.
    pub place: String,
    /// What was found and what was expected.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.what)
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
    /// How long clients come.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// Before that nothing counts: memories fill, and nodes meet their servers. Faults count their time from its end.
    #[serde(with = "humantime_serde", default = "lead")]
    pub lead: Duration,
    /// How it is carried out where nothing else is asked for.
    #[serde(default)]
    pub driver: Driver,
    /// The machines.
    #[serde(default)]
    pub deployment: Deployment,
    /// What clients bring.
    #[serde(default)]
    pub load: Load,
    /// What goes wrong, and when.
    #[serde(default)]
    pub fault: Vec<Trouble>,
    /// Settings that differ, by name.
    #[serde(default)]
    pub arm: BTreeMap<String, Arm>,
    /// What has to hold.
    #[serde(default)]
    pub check: Vec<Check>,
}

/// The machines, with the middle of the operators' ranges where nothing is said.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Deployment {
    /// Nodes.
    pub nodes: u32,
    /// Cache servers.
    pub servers: u32,
    /// Zones, over which both are spread in turn.
    pub zones: u32,
    /// Cores of a server.
    pub cores: f64,
    /// Objects that a server keeps.
    pub memory: u32,
    /// Asks that the origin can take, for each that is left with one pooled cache of the fleet's size.
    pub origin_headroom: f64,
    /// Mean time of the origin.
    #[serde(with = "humantime_serde")]
    pub origin_time: Duration,
    /// Share of its capacity that a fresh server has, and the time until all of it is there.
    pub cold_share: f64,
    /// See `cold_share`.
    #[serde(with = "humantime_serde")]
    pub warm: Duration,
    /// How late nodes hear of a change, at the least and at the most.
    #[serde(with = "humantime_serde")]
    pub notice_least: Duration,
    /// See `notice_least`.
    #[serde(with = "humantime_serde")]
    pub notice_most: Duration,
    /// Whether answers of servers carry load reports, late and noisy.
    pub reports: bool,
    /// Whether servers may be probed, at a price.
    pub probes: bool,
    /// How late the front sees that a node is dead.
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

/// How an experiment is carried out.
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
    /// As it is written.
    pub fn name(self) -> &'static str {
        match self {
            Self::Virtual => "virtual",
            Self::Real => "real",
        }
    }
}

/// What clients bring.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Work asked for, as a part of what the servers can do.
    pub share: f64,
    /// Ups and downs, as a part of it.
    pub swing: f64,
    /// Part of the clients in the first zone.
    pub first_zone: f64,
    /// Objects for each that a server keeps.
    pub keys_per_memory: f64,
    /// How uneven their popularity is.
    pub zipf: f64,
    /// Part of the objects that give their rank to others each second.
    pub drift: f64,
    /// Tries of a client beyond its first.
    pub retries: u32,
    /// What it waits before one.
    #[serde(with = "humantime_serde")]
    pub backoff: Duration,
    /// Part of the clients that stay away for as long as a refusal tells them to.
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

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// Servers take `size` times as long.
    ServerSlow,
    /// Servers answer `size` (a part) of one class, or of all, with errors.
    ServerErring,
    /// Of the servers' answers `size` (a part) break off half way.
    ServerSpoilt,
    /// Servers say nothing; at the end they are back, cold.
    ServerSilent,
    /// A whole zone of servers says nothing; at the end they are back, cold.
    ZoneSilent,
    /// Servers are drained and replaced by new ones, one after the other over the time.
    ServersReplaced,
    /// Nodes are killed; at the end they start anew.
    NodeKilled,
    /// Nodes are told to go (SIGTERM), and killed where they don't; at the end they start anew.
    NodeTerminated,
    /// Nodes are restarted, one after the other over the time.
    NodesRolled,
    /// Nodes stand still (SIGSTOP), and go on at the end.
    NodePaused,
    /// Nodes get `size` (a part) of the processor time.
    NodeSlow,
    /// Discovery's address moves, and nodes are told to reload (SIGHUP).
    NodeReloaded,
    /// Nodes' clocks are `size` seconds ahead, as far as what discovery tells them shows it.
    NodeClock,
    /// Links do what `link` says.
    Link,
    /// The origin takes `size` times as long.
    OriginSlow,
    /// The origin says nothing; at the end it goes on with what it has.
    OriginSilent,
    /// The origin answers `size` (a part) with errors.
    OriginErring,
    /// Lists come `size` times as late.
    DiscoveryLate,
    /// Of what discovery has to tell, `size` (a part) comes to a node only at the end.
    DiscoveryLoses,
}

/// What nodes have a link with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Party {
    /// Clients, which connect to nodes.
    Client,
    /// Cache servers.
    #[default]
    Server,
    /// Discovery.
    Discovery,
    /// Other nodes, where they meet their peers.
    Peer,
}

/// Which direction of a link, as the party that connects sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Both.
    #[default]
    Both,
    /// From the party that connects.
    There,
    /// To it.
    Back,
}

/// What links do.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkTrouble {
    /// Links of nodes to whom.
    pub to: Party,
    /// In which direction.
    pub direction: Direction,
    /// Which part of the servers it meets.
    pub other_part: f64,
    /// Everything takes so much longer.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// And up to so much more, by chance.
    #[serde(with = "humantime_serde")]
    pub jitter: Duration,
    /// Part of what is sent that is lost: on a stream it comes again later.
    pub loss: f64,
    /// Part of the datagrams that come twice.
    pub duplicate: f64,
    /// Part of the datagrams that come after those behind them.
    pub reorder: f64,
    /// Nothing gets through.
    pub silent: bool,
    /// Open connections are reset at the beginning.
    pub reset: bool,
    /// It goes on and off in turns of this length.
    #[serde(with = "humantime_serde", skip_serializing_if = "Option::is_none")]
    pub flap: Option<Duration>,
}

/// One fault on the schedule. Faults may overlap.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What goes wrong.
    pub what: What,
    /// From when.
    #[serde(with = "humantime_serde")]
    pub from: Duration,
    /// Until when.
    #[serde(with = "humantime_serde")]
    pub to: Duration,
    /// Which part of the servers or nodes it meets.
    #[serde(default = "one")]
    pub part: f64,
    /// How bad it is.
    #[serde(default = "one")]
    pub size: f64,
    /// Which class alone, where it meets one alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// What links do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link: Option<LinkTrouble>,
}

impl What {
    /// Whether a fault of this kind happens to links.
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

/// Which decisions run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The program's.
    #[default]
    Walkpick,
    /// Any ready server, by chance; no breaker.
    Random,
    /// Plain consistent hashing, with breakers at the paper's defaults.
    Hash,
    /// Sees the true state of every server, and takes the one that would answer first: the top.
    Top,
    /// The program's, made to believe that no server ever drains: for the judges to catch.
    IgnoresDrains,
    /// The program's, made to believe that everything may run again: for the judges to catch.
    ResendsCharge,
    /// Sends on whatever comes, to any server that was ever named, again and again: for the judges to catch.
    BlocksNothing,
}

/// Settings that differ.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Arm {
    /// Which decisions run.
    pub policy: Policy,
    /// No fault of the schedule happens.
    pub no_faults: bool,
    /// Real nodes meet their peers.
    pub peers: bool,
}

/// What has to hold: a figure within a bound, in one arm or in each. The bound stands alone or is a multiple of what
/// another arm came to.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Check {
    /// What it is called.
    pub name: String,
    /// The figure; `rules` counts broken rules.
    pub figure: String,
    /// In which arm; in each where it is missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arm: Option<String>,
    /// Bounds are multiples of the same figure in this arm, on the same seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relative_to: Option<String>,
    /// Under which driver; under each where it is missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub driver: Option<Driver>,
    /// It is no less than this.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// It is no more than this.
    #[serde(default)]
    pub at_most: Option<f64>,
}

impl Experiment {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ExperimentError::Unreadable { path: path.to_owned(), error })?;
        Self::parse(&text).map_err(|faults| ExperimentError::Faulty { path: path.to_owned(), faults })
    }

    /// Reads a text.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let read: Self = toml::from_str(text).map_err(|error| {
            let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or("");
            let line = before.matches('\n').count() + 1;
            vec![Fault { place: format!("line {line}"), what: error.message().replace('\n', " ") }]
        })?;
        let faults = read.faults();
        match faults.is_empty() {
            true => Ok(read),
            false => Err(faults),
        }
    }

    /// Its arms, in the order of their names; one named `walkpick` where it names none.
    pub fn arms(&self) -> BTreeMap<String, Arm> {
        if self.arm.is_empty() {
            return [("walkpick".to_owned(), Arm::default())].into();
        }
        self.arm.clone()
    }

    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut within = |place: String, value: f64, least: f64, most: f64| {
            if !(least..=most).contains(&value) {
                let what = format!("found {value}, expected {least} to {most}");
                faults.push(Fault { place, what });
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
        for (i, trouble) in self.fault.iter().enumerate() {
            within(format!("fault {}: part", i + 1), trouble.part, 0.0, 1.0);
            within(format!("fault {}: size", i + 1), trouble.size, 0.0, 1e6);
            let (from, to) = (trouble.from.as_secs_f64(), trouble.to.as_secs_f64());
            within(format!("fault {}: to", i + 1), to, from, self.length.as_secs_f64());
            if let Some(link) = &trouble.link {
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
        let kinds = crate::model::clients::kinds();
        for (i, trouble) in self.fault.iter().enumerate() {
            if trouble.what.on_links() != trouble.link.is_some() {
                let what = match trouble.link {
                    Some(_) => "found [fault.link], expected it with what = \"link\" alone",
                    None => "found no [fault.link], expected what the links do",
                };
                faults.push(Fault { place: format!("fault {}: link", i + 1), what: what.to_owned() });
            }
            if let Some(class) = &trouble.class {
                if !kinds.iter().any(|kind| kind.class.name.as_str() == class) {
                    let names: Vec<_> = kinds.iter().map(|kind| kind.class.name.to_string()).collect();
                    let what = format!("found \"{class}\", expected one of {}", names.join(", "));
                    faults.push(Fault { place: format!("fault {}: class", i + 1), what });
                }
            }
        }
        for (i, check) in self.check.iter().enumerate() {
            let place = |what: &str| format!("check {}: {what}", i + 1);
            if !crate::judge::FIGURES.iter().any(|(name, _)| *name == check.figure) {
                let names: Vec<_> = crate::judge::FIGURES.iter().map(|(name, _)| *name).collect();
                let what = format!("found \"{}\", expected one of {}", check.figure, names.join(", "));
                faults.push(Fault { place: place("figure"), what });
            }
            if check.at_least.is_none() && check.at_most.is_none() {
                let what = "found no bound, expected at_least or at_most".to_owned();
                faults.push(Fault { place: place("bound"), what });
            }
            for (name, arm) in [("arm", &check.arm), ("relative_to", &check.relative_to)] {
                if let Some(found) = arm.as_ref().filter(|arm| !self.arms().contains_key(*arm)) {
                    let names: Vec<_> = self.arms().into_keys().collect();
                    let what = format!("found \"{found}\", expected one of {}", names.join(", "));
                    faults.push(Fault { place: place(name), what });
                }
            }
            if let Some(other) = &check.relative_to {
                if check.arm.as_ref().is_none_or(|arm| arm == other) {
                    let found = check.arm.as_ref().map_or("no arm".to_owned(), |arm| format!("\"{arm}\""));
                    let what = format!("found {found}, expected an arm other than that of relative_to");
                    faults.push(Fault { place: place("arm"), what });
                }
            }
        }
        faults
    }
}

#[cfg(test)]
mod tests;
