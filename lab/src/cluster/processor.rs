//! Processor time that peers take, apart from that of the harness around them.

use crate::model::{Micros, SECOND};
use nix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant};

/// Counts the processor time of this thread, and the part of it that was spent inside of peers.
#[derive(Clone, Debug)]
pub struct ProcessorMeter {
    begun: Instant,
    thread_at_begin: Duration,
    in_peers: Duration,
}

impl ProcessorMeter {
    /// Begins now, on this thread.
    pub fn start() -> Self {
        Self { begun: Instant::now(), thread_at_begin: thread_time(), in_peers: Duration::ZERO }
    }

    /// Runs something that peers do.
    pub fn peers<T>(&mut self, run: impl FnOnce() -> T) -> T {
        let begun = Instant::now();
        let done = run();
        self.in_peers += begun.elapsed();
        done
    }

    /// The part of the time since the start that was spent inside of peers.
    pub fn peers_part(&self) -> f64 {
        let all = self.begun.elapsed().as_secs_f64();
        if all > 0.0 {
            (self.in_peers.as_secs_f64() / all).min(1.0)
        } else {
            0.0
        }
    }

    /// Processor time of this thread since the start.
    pub fn thread_time(&self) -> Duration {
        thread_time().saturating_sub(self.thread_at_begin)
    }

    /// Microseconds of processor time inside of peers, for each node and second of simulated time. A busy machine takes
    /// from both parts alike, so the thread's processor time is shared out by the parts of the time that passed.
    pub fn peers_us_per_node_s(&self, nodes: usize, simulated: Micros) -> f64 {
        let node_seconds = nodes as f64 * simulated as f64 / SECOND as f64;
        if node_seconds <= 0.0 {
            return 0.0;
        }
        self.thread_time().as_secs_f64() * 1e6 * self.peers_part() / node_seconds
    }
}

fn thread_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).unwrap_or_default()
}
