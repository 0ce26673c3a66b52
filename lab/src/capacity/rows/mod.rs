//! The rows of the tables, by role. Each row has needs, with a budget where the plan or the documentation sets one.

mod cache_server;
mod control;
mod operations;
mod request_path;

use super::{Context, Plan, Unavailable, Value};
use crate::slopes::SlopesFile;
use std::fmt;

/// The component or person that a row belongs to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// The request path of a node.
    RequestPath,
    /// The control functions of a node.
    Control,
    /// A cache server.
    CacheServer,
    /// The discovery agent on a node's machine.
    DiscoveryAgent,
    /// The origin.
    Origin,
    /// A machine dedicated to control.
    ControlMachine,
    /// The operators of the fleet.
    Operator,
}

impl Role {
    /// All roles, in the order of the page.
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

/// The resource that a need consumes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Resource {
    /// Messages per second.
    Messages,
    /// Bytes per second.
    Bytes,
    /// Processor cores.
    Processor,
    /// Bytes of memory.
    Memory,
    /// Open connections.
    Connections,
    /// Seconds until an operation completes.
    Seconds,
}

impl Resource {
    /// The factor that converts `unit` to the base unit of the resource; `None` if the unit does not apply to it.
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

/// An upper limit for a need.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Where the limit comes from.
    pub source: &'static str,
    /// The limit under a plan.
    pub limit: fn(&Plan) -> f64,
}

/// A need of a row.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// The resource.
    pub resource: Resource,
    /// A qualifier shown with the row and the resource; empty if the resource alone is clear.
    pub label: &'static str,
    /// Computes the need in a case.
    pub value: fn(&Context) -> Result<Value, Unavailable>,
    /// The limit, if there is one.
    pub budget: Option<Budget>,
}

/// The code that implements a row.
#[derive(Clone, Copy, Debug)]
pub enum Mechanism {
    /// These modules, separated by commas.
    Modules(&'static str),
    /// These modules, counted as present once a series of them has been measured.
    OnceMeasured {
        /// The description shown until then.
        name: &'static str,
        /// The modules, separated by commas.
        modules: &'static str,
        /// The name prefix of the series.
        series: &'static str,
    },
    /// Not implemented; describes what is missing.
    Missing(&'static str),
}

impl Mechanism {
    /// The modules, if the mechanism is present.
    pub fn modules(self, slopes: &SlopesFile) -> Option<&'static str> {
        match self {
            Self::Modules(modules) => Some(modules),
            Self::OnceMeasured { modules, series, .. } => has_series(slopes, series).then_some(modules),
            Self::Missing(_) => None,
        }
    }

    /// The description of the missing mechanism, if it is not present.
    pub fn missing(self, slopes: &SlopesFile) -> Option<&'static str> {
        match self {
            Self::Modules(_) => None,
            Self::OnceMeasured { name, series, .. } if !has_series(slopes, series) => Some(name),
            Self::OnceMeasured { .. } => None,
            Self::Missing(name) => Some(name),
        }
    }
}

/// Whether a series with this name prefix was measured, under any network conditions.
fn has_series(slopes: &SlopesFile, series: &str) -> bool {
    slopes.recorded().iter().any(|one| one.series.name.starts_with(series))
}

/// Delivers entries to all nodes in order and reports which nodes have them.
const DISSEMINATION: &str = "ordered dissemination to all nodes";
/// Replicated log on the control machines.
const REPLICATED_LOG: &str = "a replicated log that survives the loss of a control machine";
/// Interface for operators to publish entries.
const PUBLISH: &str = "a command that publishes and says who has not applied";
/// Configuration values that a node applies without a restart.
const LIVE_VALUES: &str = "values that change while the node runs";
/// Purge request from a node to a cache server.
const SERVER_PURGE: &str = "a way to have a cache server drop an object (the protocol has none)";
/// Staged releases with halt and rollback.
const STAGED_RELEASES: &str = "releases in stages that halt and go back";

/// A row of the tables.
#[derive(Clone, Debug)]
pub struct Row {
    /// The role it belongs to.
    pub role: Role,
    /// The name shown in the tables.
    pub name: &'static str,
    /// Describes the state that is kept.
    pub state: fn(&Plan) -> String,
    /// The implementation.
    pub mechanism: Mechanism,
    /// Mechanisms of other rows that this row requires.
    pub depends_on: &'static [&'static str],
    /// The needs.
    pub needs: Vec<Need>,
}

/// All rows.
pub fn all_rows() -> Vec<Row> {
    [request_path::rows(), control::rows(), cache_server::rows(), operations::rows()].concat()
}

fn need(resource: Resource, value: fn(&Context) -> Result<Value, Unavailable>) -> Need {
    Need { resource, label: "", value, budget: None }
}

fn need_with_budget(
    resource: Resource,
    source: &'static str,
    limit: fn(&Plan) -> f64,
    value: fn(&Context) -> Result<Value, Unavailable>,
) -> Need {
    Need { budget: Some(Budget { source, limit }), ..need(resource, value) }
}

impl Need {
    fn labelled(self, label: &'static str) -> Self {
        Self { label, ..self }
    }
}
