//! The commands of the lab's program, each in a module of its own.

pub mod capacity;
pub mod dissemination;
pub mod hollow;
pub mod measure;
pub mod membership;
pub mod scale;
pub mod slopes;

/// A name that the command line gave and that is not known.
#[derive(Debug, thiserror::Error)]
#[error("found \"{found}\", expected one of {expected}")]
pub struct UnknownName {
    /// What was given.
    pub found: String,
    /// What may be given.
    pub expected: String,
}
