//! Measurements of what grows with the fleet. Each writes series of points for the capacity page: a value against a
//! size, one point for each play.

pub mod decisions;
pub mod discovery;
mod hollow_peers;
pub mod little_core;
pub mod log;
pub mod memory_child;
pub mod relay;
pub mod request_path;
pub mod series;
pub mod stage;
pub mod trials;

use crate::real::process::ProcessError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a measurement came to nothing.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// A process failed.
    #[error("{0}")]
    Process(#[from] ProcessError),
    /// The machine refused something.
    #[error("{what}: {error}")]
    Machine {
        /// What was tried.
        what: &'static str,
        /// Why it failed.
        error: io::Error,
    },
    /// A child said what was not expected of it.
    #[error("{child}: found {found:?}, expected {expected}")]
    Child {
        /// Which child.
        child: &'static str,
        /// What it said.
        found: String,
        /// What was expected.
        expected: &'static str,
    },
    /// Something did not happen in time.
    #[error("{0} did not happen in time")]
    Late(&'static str),
}

impl MeasureError {
    /// Names what was tried when the machine refused it.
    pub fn machine(what: &'static str) -> impl Fn(io::Error) -> Self {
        move |error| Self::Machine { what, error }
    }
}

/// The programs that measurements start.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The lab's own, which holds its children and plays some of them itself.
    pub lab: PathBuf,
    /// The node's.
    pub node: PathBuf,
}

impl Programs {
    /// The lab's program that runs now, and the node's beside it unless another is named.
    pub fn beside(node: Option<PathBuf>) -> Self {
        let lab = std::env::current_exe().unwrap_or_else(|_| "walkpick-lab".into());
        let node = node.unwrap_or_else(|| lab.with_file_name("walkpick"));
        Self { lab, node }
    }
}

#[cfg(test)]
mod tests;
