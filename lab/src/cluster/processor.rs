//! Processor time of peers, separated from that of the harness around them.

use crate::model::{Micros, SECOND};
use nix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant};

/// Measures the processor time of this thread and the fraction of it that was spent inside peers.
#[derive(Clone, Debug)]
pub struct ProcessorMeter {
    started: Instant,
    thread_time_at_start: Duration,
    in_peers: Duration,
}

impl ProcessorMeter {
    /// Starts measuring now, on the current thread.
    pub fn start() -> Self {
        Self { started: Instant::now(), thread_time_at_start: thread_time(), in_peers: Duration::ZERO }
    }

    /// Runs `run` and counts its time as spent inside peers.
    pub fn measure_peers<T>(&mut self, run: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = run();
        self.in_peers += start.elapsed();
        result
    }

    /// Fraction of the wall-clock time since the start that was spent inside peers.
    pub fn peers_fraction(&self) -> f64 {
        let all = self.started.elapsed().as_secs_f64();
        if all > 0.0 {
            (self.in_peers.as_secs_f64() / all).min(1.0)
        } else {
            0.0
        }
    }

    /// Processor time of this thread since the start.
    pub fn thread_time(&self) -> Duration {
        thread_time().saturating_sub(self.thread_time_at_start)
    }

    /// Microseconds of processor time inside peers, per node and second of simulated time. Load from other processes slows
    /// peers and harness alike, so the thread's processor time is divided in proportion to their wall-clock time.
    pub fn peers_us_per_node_s(&self, nodes: usize, simulated: Micros) -> f64 {
        let node_seconds = nodes as f64 * simulated as f64 / SECOND as f64;
        if node_seconds <= 0.0 {
            return 0.0;
        }
        self.thread_time().as_secs_f64() * 1e6 * self.peers_fraction() / node_seconds
    }
}

fn thread_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).unwrap_or_default()
}
