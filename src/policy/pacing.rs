//! How fast a connection's requests are answered that no cache server sees: those that do not follow
//! the protocol, and health checks. A client that sends nothing else would otherwise use the
//! processor time of all others.

use std::time::{Duration, Instant};

/// Number of answers that a connection gets without a delay.
const BURST: u32 = 16;
/// The mean time between answers above which a connection stays open.
const INTERVAL: Duration = Duration::from_millis(20);

/// How an answer is to be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacedAnswer {
    /// How long to wait before it.
    pub delay: Duration,
    /// Whether it is the connection's last: what its client has sent ahead is not worth reading.
    pub last: bool,
}

/// The pace of one connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerPace {
    /// When the answers so far would have been given at the mean rate.
    paid_until: Option<Instant>,
}

impl AnswerPace {
    /// Counts an answer, and returns how to give it.
    pub fn next_answer(&mut self, now: Instant) -> PacedAnswer {
        let paid_until = self.paid_until.map_or(now, |at| at.max(now)) + INTERVAL;
        self.paid_until = Some(paid_until);
        let delay = paid_until.duration_since(now).saturating_sub(INTERVAL * BURST);
        PacedAnswer { delay, last: !delay.is_zero() }
    }
}
