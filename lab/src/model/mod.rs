//! Models of the systems around the nodes. They do no I/O: the current time is an argument, in microseconds since the
//! start of the run.

pub mod clients;
pub mod discovery;
pub mod fleet;
pub mod links;
pub mod origin;
pub mod server;

/// Microseconds since the start of the run.
pub type Micros = u64;

/// Microseconds per second.
pub const SECOND: Micros = 1_000_000;

/// Converts a duration to microseconds, saturating at the maximum.
pub fn micros(time: std::time::Duration) -> Micros {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
