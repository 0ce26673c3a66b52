//! Shutdown after SIGTERM: until when the node keeps serving, by when all accepted requests are answered, and
//! when the process exits.
//!
//! The figures come from the protocol page, section "Figures" (planned restarts).

use std::cell::Cell;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// SIGKILL follows SIGTERM after the longest deadline plus this time at the earliest. Deadlines longer than
/// `MAX_DEADLINE` count as `MAX_DEADLINE`.
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Clients usually give up an attempt after this share of the class's deadline at the latest.
const CLIENT_TIMEOUT_SHARE: f64 = 0.6;
/// How long before the kill the node exits, to allow for the network between it and its clients.
const EXIT_MARGIN: Duration = Duration::from_millis(50);
/// How long before the exit the last answer is given, so that it can be written: the node may stall for this
/// long between reading the clock and writing (standing test, "Beyond this bench").
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Extra time for outstanding answers if the node reaches its exit late and has not been killed.
const LATE_EXIT_GRACE: Duration = Duration::from_millis(50);
/// Interval of the clock samples that bound how long a signal may have been pending.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Half-life of the maximum lag.
const LAG_HALF_LIFE: Duration = Duration::from_secs(5);

/// Stages of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Serving,
    /// Serves as before, but reports that it is not ready for more clients.
    NotReady,
    /// Accepts no more connections, closes idle ones, and finishes the requests it has accepted.
    Closing,
    /// Closes all connections that are not owed an answer.
    Exiting,
}

/// The times of a shutdown, each no earlier than the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// When [`Stage::Closing`] begins.
    pub close_at: Instant,
    /// By when every accepted request has its final answer, however long its client would wait; requests read
    /// after this are not forwarded.
    pub answer_by: Instant,
    /// When the process exits.
    pub exit_by: Instant,
    /// The earliest time of the kill.
    pub kill_at: Instant,
}

impl ShutdownPlan {
    /// `signalled_at` is no later than the time SIGTERM was sent; `lag` is how late the node may be with
    /// timed work. Clients keep their connections, and the load balancer in front may have no other node
    /// ready yet. So the node keeps serving as long as the slowest usual request can still be answered.
    pub fn new(signalled_at: Instant, now: Instant, lag: Duration, longest_deadline: Duration) -> Self {
        let deadline = longest_deadline.min(MAX_DEADLINE);
        let kill_at = signalled_at + KILL_DELAY + deadline;
        let exit_by = kill_at.checked_sub(EXIT_MARGIN + lag).unwrap_or(kill_at).max(now);
        let answer_by = exit_by.checked_sub(ANSWER_MARGIN).unwrap_or(exit_by).max(now);
        let spare = deadline.saturating_sub(longest_deadline.mul_f64(CLIENT_TIMEOUT_SHARE));
        let serving_time = (KILL_DELAY + spare).saturating_sub(EXIT_MARGIN + ANSWER_MARGIN);
        Self { close_at: (now + serving_time).min(answer_by), answer_by, exit_by, kill_at }
    }

    /// When a node that is due to exit at `now` does so, even with answers outstanding.
    pub fn exit_deadline(&self, now: Instant) -> Instant {
        self.kill_at.max(now + LATE_EXIT_GRACE)
    }
}

/// Samples the clock to measure event loop lag. If the node has more work than processor time, a signal is
/// handled late like everything else. Only the sample before the last is certain to be older than a signal
/// that is being handled, since the node polls the system for events between any two samples.
pub struct LagMonitor {
    last_sample: Cell<Instant>,
    previous_sample: Cell<Instant>,
    max_lag: Cell<Duration>,
    /// The lag of the latest sample.
    latest_lag: Cell<Duration>,
}

impl LagMonitor {
    /// Takes the first sample.
    pub fn start() -> Self {
        let now = Instant::now();
        let (max_lag, latest_lag) = Default::default();
        Self { last_sample: Cell::new(now), previous_sample: Cell::new(now), max_lag, latest_lag }
    }

    /// Samples the clock for as long as the node runs.
    pub async fn run(&self) {
        loop {
            let due = self.last_sample.get() + SAMPLE_INTERVAL;
            sleep_until(due).await;
            self.sample(due, Instant::now());
        }
    }

    fn sample(&self, due: Instant, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_sample.get());
        let decayed =
            self.max_lag.get().mul_f64((-elapsed.as_secs_f64() / LAG_HALF_LIFE.as_secs_f64()).exp2());
        let lag = now.saturating_duration_since(due);
        self.latest_lag.set(lag);
        self.max_lag.set(decayed.max(lag));
        self.previous_sample.set(self.last_sample.replace(now));
    }

    /// A time no later than any signal that is being handled now was sent.
    pub fn earliest_signal_at(&self) -> Instant {
        self.previous_sample.get()
    }

    /// The node's lag at this moment: data read now may have been waiting for this long, and only its client
    /// knows.
    pub fn current_lag(&self, now: Instant) -> Duration {
        self.latest_lag.get().max(now.saturating_duration_since(self.last_sample.get() + SAMPLE_INTERVAL))
    }

    /// The largest recent lag, decayed with age.
    pub fn recent_max_lag(&self) -> Duration {
        self.max_lag.get()
    }
}

#[cfg(test)]
mod tests;
