//! The time limit of what a client's connection is doing at present.

use super::connection::CloseReason;
use std::cell::Cell;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// When the present phase has to be over, and why the connection is closed if it is not.
#[derive(Clone, Copy, Debug)]
struct Limit {
    at: Instant,
    reason: CloseReason,
}

/// The timer of a connection. A new phase replaces the limit of the one before, so that a connection is never
/// closed in one phase for the time that it has spent in another.
#[derive(Default)]
pub struct PhaseTimer {
    limit: Cell<Option<Limit>>,
    /// When [`Self::expired`] wakes up by itself.
    wakes_at: Cell<Option<Instant>>,
    limit_moved_forward: Notify,
}

impl PhaseTimer {
    /// Limits the phase that begins now.
    pub fn start(&self, at: Instant, reason: CloseReason) {
        self.limit.set(Some(Limit { at, reason }));
        if self.wakes_at.get().is_none_or(|wakes_at| at < wakes_at) {
            self.limit_moved_forward.notify_one();
        }
    }

    /// Notes that the phase that begins now has no limit.
    pub fn stop(&self) {
        self.limit.set(None);
    }

    /// Completes when a phase has exceeded its limit.
    pub async fn expired(&self) -> CloseReason {
        loop {
            let limit = self.limit.get();
            self.wakes_at.set(limit.map(|limit| limit.at));
            match limit {
                Some(limit) if limit.at <= Instant::now() => return limit.reason,
                Some(limit) => tokio::select! {
                    () = sleep_until(limit.at) => {}
                    () = self.limit_moved_forward.notified() => {}
                },
                None => self.limit_moved_forward.notified().await,
            }
        }
    }
}
