//! Measurements of costs that grow with the fleet. Each writes series of points for the capacity page: a value
//! against a size, one point for each run.

pub mod decisions;
pub mod discovery;
mod hollow_peers;
pub mod little_core;
pub mod log;
pub mod memory_child;
pub mod relay;
pub mod request_path;
pub mod series;
pub mod testbed;
pub mod trials;

use crate::real::process::ProcessError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a measurement failed.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// A process could not be started or controlled.
    #[error("{0}")]
    Process(#[from] ProcessError),
    /// A system call failed.
    #[error("{what}: {error}")]
    Io {
        /// The resource or operation concerned.
        what: &'static str,
        /// The system's error.
        error: io::Error,
    },
    /// A child process printed unexpected output, or a load had unexpected results.
    #[error("{source_name}: found {found:?}, expected {expected}")]
    Unexpected {
        /// The child process or load.
        source_name: &'static str,
        /// What was found.
        found: String,
        /// What was expected.
        expected: &'static str,
    },
    /// A condition was not met before the timeout.
    #[error("timed out waiting for {0}")]
    Timeout(&'static str),
}

impl MeasureError {
    /// Returns a conversion from `io::Error` that names the resource or operation concerned.
    pub fn io(what: &'static str) -> impl Fn(io::Error) -> Self {
        move |error| Self::Io { what, error }
    }
}

/// Paths of the programs that measurements start.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The lab's program, which runs as the supervisor of its children (`hold`) and as some of the children
    /// themselves.
    pub lab: PathBuf,
    /// The node's program.
    pub node: PathBuf,
}

impl Programs {
    /// The lab's running program, and the node's program in the same directory unless `node` is given.
    pub fn locate(node: Option<PathBuf>) -> Self {
        let lab = std::env::current_exe().unwrap_or_else(|_| "walkpick-lab".into());
        let node = node.unwrap_or_else(|| lab.with_file_name("walkpick"));
        Self { lab, node }
    }
}

#[cfg(test)]
mod tests;
