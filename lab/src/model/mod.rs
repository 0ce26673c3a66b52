//! The outside systems, sans-I/O: time is an argument, in microseconds since the run began.

pub mod clients;
pub mod discovery;
pub mod fleet;
pub mod links;
pub mod origin;
pub mod server;

/// Microseconds since the run began.
pub type Micros = u64;

/// Microseconds of a second.
pub const SECOND: Micros = 1_000_000;

/// A duration in microseconds.
pub fn micros(time: std::time::Duration) -> Micros {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
