//! The rows of the tables, by role. A row has its needs, each with a budget where the plan or the pages give one.

mod cache_server;
mod control;
mod operations;
mod request_path;

use super::{Context, Gap, Plan, Value};
use crate::slopes::SlopesFile;
use std::fmt;

/// Who bears a need.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// A node, on the way of requests.
    RequestPath,
    /// A node, beside it.
    Control,
    /// A cache server.
    CacheServer,
    /// Discovery's agent on a node's machine.
    DiscoveryAgent,
    /// The origin.
    Origin,
    /// A machine set aside for control.
    ControlMachine,
    /// Those who run the fleet.
    Operator,
}

impl Role {
    /// All, in the order of the page.
    pub const ALL: [Self; 7] = [
        Self::RequestPath,
        Self::Control,
        Self::CacheServer,
        Self::DiscoveryAgent,
        Self::Origin,
        Self::ControlMachine,
        Self::Operator,
    ];
}

impl fmt::Display for Role {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.pad(match self {
            Self::RequestPath => "node: request path",
            Self::Control => "node: control",
            Self::CacheServer => "cache server",
            Self::DiscoveryAgent => "discovery's agent",
            Self::Origin => "origin",
            Self::ControlMachine => "control machine",
            Self::Operator => "operator",
        })
    }
}

/// What a need is a need of.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Resource {
    /// Messages a second.
    Messages,
    /// Bytes a second.
    Bytes,
    /// Cores.
    Processor,
    /// Bytes held.
    Memory,
    /// Connections open.
    Connections,
    /// Time until something is done.
    Seconds,
}

impl Resource {
    /// What a value in this unit is multiplied with; none where the unit is not one of the resource.
    pub fn factor(self, unit: &str) -> Option<f64> {
        let factor = match (self, unit) {
            (Self::Bytes, "B/s" | "bytes/s") | (Self::Memory, "B" | "bytes") => 1.0,
            (Self::Bytes, "KB/s") | (Self::Memory, "KB") => 1e3,
            (Self::Bytes, "MB/s") | (Self::Memory, "MB") => 1e6,
            (Self::Processor, "core" | "cores" | "core fraction" | "fraction of a core") => 1.0,
            (Self::Processor, "%" | "% of a core") => 0.01,
            (Self::Seconds, "s" | "s/request") => 1.0,
            (Self::Seconds, "ms" | "ms/request") => 1e-3,
            (Self::Seconds, "us" | "us/request") => 1e-6,
            (Self::Messages, unit) if unit.ends_with("/s") && !unit.starts_with('B') => 1.0,
            _ => return None,
        };
        Some(factor)
    }
}

impl fmt::Display for Resource {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.pad(match self {
            Self::Messages => "messages",
            Self::Bytes => "bytes",
            Self::Processor => "processor",
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::Seconds => "time",
        })
    }
}

/// The most that may be needed, and who says so.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Who says so.
    pub by: &'static str,
    /// How much.
    pub of: fn(&Plan) -> f64,
}

/// One need of a row.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Of what.
    pub resource: Resource,
    /// What it is called beside the row's name; empty where the resource says it.
    pub what: &'static str,
    /// How much in a case.
    pub of: fn(&Context) -> Result<Value, Gap>,
    /// The most that it may be.
    pub budget: Option<Budget>,
}

/// What carries a row's work.
#[derive(Clone, Copy, Debug)]
pub enum Mechanism {
    /// These modules, with commas between them.
    Modules(&'static str),
    /// These modules, from the moment that a series shows them at work.
    OnceMeasured {
        /// What it is called while it is missing.
        name: &'static str,
        /// The modules.
        modules: &'static str,
        /// The series.
        series: &'static str,
    },
    /// Nothing: what is missing.
    Missing(&'static str),
}

impl Mechanism {
    /// The modules, if there are any.
    pub fn modules(self, slopes: &SlopesFile) -> Option<&'static str> {
        match self {
            Self::Modules(modules) => Some(modules),
            Self::OnceMeasured { modules, series, .. } => is_there(slopes, series).then_some(modules),
            Self::Missing(_) => None,
        }
    }

    /// What is missing, if something is.
    pub fn missing(self, slopes: &SlopesFile) -> Option<&'static str> {
        match self {
            Self::Modules(_) => None,
            Self::OnceMeasured { name, series, .. } if !is_there(slopes, series) => Some(name),
            Self::OnceMeasured { .. } => None,
            Self::Missing(name) => Some(name),
        }
    }
}

/// Whether a series shows a mechanism at work, in whatever conditions.
fn is_there(slopes: &SlopesFile, series: &str) -> bool {
    slopes.recorded().iter().any(|one| one.series.name.starts_with(series))
}

/// What carries entries to all nodes in their order, and tells who has them.
const DISSEMINATION: &str = "ordered dissemination to all nodes";
/// A replicated log on the control machines.
const REPLICATED_LOG: &str = "a replicated log that survives the loss of a control machine";
/// The way in for operators.
const PUBLISH: &str = "a command that publishes and says who has not applied";
/// Values that a node takes while it runs.
const LIVE_VALUES: &str = "values that change while the node runs";
/// A purge, from a node to a cache server.
const SERVER_PURGE: &str = "a way to have a cache server drop an object (the protocol has none)";
/// Releases.
const STAGED_RELEASES: &str = "releases in stages that halt and go back";

/// A row of the tables.
#[derive(Clone, Debug)]
pub struct Row {
    /// Who bears it.
    pub role: Role,
    /// What it is called.
    pub name: &'static str,
    /// What is kept for it.
    pub state: fn(&Plan) -> String,
    /// What carries it.
    pub mechanism: Mechanism,
    /// Mechanisms of other rows that have to be there first.
    pub leans_on: &'static [&'static str],
    /// Its needs.
    pub needs: Vec<Need>,
}

/// Every row, by role.
pub fn all_rows() -> Vec<Row> {
    [request_path::rows(), control::rows(), cache_server::rows(), operations::rows()].concat()
}

fn need(resource: Resource, of: fn(&Context) -> Result<Value, Gap>) -> Need {
    Need { resource, what: "", of, budget: None }
}

fn within(
    resource: Resource,
    by: &'static str,
    most: fn(&Plan) -> f64,
    of: fn(&Context) -> Result<Value, Gap>,
) -> Need {
    Need { budget: Some(Budget { by, of: most }), ..need(resource, of) }
}

impl Need {
    fn called(self, what: &'static str) -> Self {
        Self { what, ..self }
    }
}
