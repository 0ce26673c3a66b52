//! The subcommands of the lab's program, one module each.

pub mod capacity;
pub mod dissemination;
pub mod hollow;
pub mod measure;
pub mod membership;
pub mod scale;
pub mod slopes;

/// A command line argument gave a name that is not known.
#[derive(Debug, thiserror::Error)]
#[error("found \"{found}\", expected one of {expected}")]
pub struct UnknownName {
    /// The given name.
    pub found: String,
    /// The accepted names.
    pub expected: String,
}
