//! Retries of calls that fail for a moment: system calls that lack a resource, and files that are being
//! replaced.

use crate::net::config::fault::ConfigError;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::time::{sleep, Instant};
use tracing::warn;

/// Interval between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long a starting node retries: a restarted node must be ready within 10 s.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(8);
/// How long a reload retries while the file is being replaced or no file descriptor is available: what
/// discovery has at its new address counts as announced to the node 4 s after the signal.
pub const RELOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// An error that may be transient.
pub trait Transient: std::fmt::Display {
    /// Whether a retry may succeed.
    fn is_transient(&self) -> bool;
}

impl Transient for io::Error {
    fn is_transient(&self) -> bool {
        !matches!(
            self.kind(),
            ErrorKind::InvalidData
                | ErrorKind::InvalidInput
                | ErrorKind::IsADirectory
                | ErrorKind::NotADirectory
                | ErrorKind::NotFound
                | ErrorKind::PermissionDenied
                | ErrorKind::Unsupported
        )
    }
}

impl Transient for ConfigError {
    fn is_transient(&self) -> bool {
        match self {
            Self::Unreadable { error, .. } => error.is_transient(),
            Self::NoPath | Self::Invalid { .. } => false,
        }
    }
}

/// Repeats a call until it succeeds, fails permanently, or has failed for `timeout`.
pub async fn retry<T, E: Transient>(
    timeout: Duration,
    operation: &str,
    call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    retry_while(timeout, operation, E::is_transient, call).await
}

/// Like [`retry`], with another test for transient errors.
pub async fn retry_while<T, E: std::fmt::Display>(
    timeout: Duration,
    operation: &str,
    is_transient: impl Fn(&E) -> bool,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let start = Instant::now();
    let mut failures = 0u32;
    loop {
        match call() {
            Err(error) if is_transient(&error) && start.elapsed() < timeout => {
                failures += 1;
                if failures == 1 {
                    warn!(target: "node", %error, "{operation} failed; retrying for up to {timeout:?}");
                }
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}
