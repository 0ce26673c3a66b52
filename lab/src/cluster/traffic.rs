//! Datagrams and bytes that nodes send and receive, in total and at the peak over a sliding window.

use crate::model::{Micros, SECOND};
use serde::Serialize;

/// The window slides in steps of this length.
const BIN_LENGTH: Micros = SECOND / 2;
/// Steps in the window of 5 s, which is long enough to express a burst as a rate and short enough not to hide it.
const BINS_PER_WINDOW: usize = 10;
const WINDOW_S: f64 = 5.0;

/// Counts of datagrams and their payload bytes, without network headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Their payload bytes.
    pub bytes: u64,
}

impl Traffic {
    fn add(&mut self, other: Self) {
        self.datagrams += other.datagrams;
        self.bytes += other.bytes;
    }

    fn subtract(&mut self, other: Self) {
        self.datagrams -= other.datagrams;
        self.bytes -= other.bytes;
    }
}

/// Rates per second since a meter was reset. Peaks are over all complete windows of 5 s since then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TrafficRates {
    /// Bytes sent, mean over nodes and time.
    pub bytes_per_s: f64,
    /// Datagrams sent, mean over nodes and time.
    pub datagrams_per_s: f64,
    /// The largest 5 s mean of bytes sent by any node.
    pub peak_bytes_per_s: f64,
    /// The largest 5 s mean of datagrams sent by any node.
    pub peak_datagrams_per_s: f64,
    /// The largest 5 s mean of bytes received by any node.
    pub peak_received_bytes_per_s: f64,
    /// The largest 5 s mean of bytes sent, averaged over nodes.
    pub peak_mean_bytes_per_s: f64,
}

impl TrafficRates {
    /// Combines the rates of this period with those of the period that follows it.
    pub fn followed_by(self, length: Micros, next: Self, next_length: Micros) -> Self {
        let all = (length + next_length).max(1) as f64;
        let mean = |one: f64, two: f64| (one * length as f64 + two * next_length as f64) / all;
        Self {
            bytes_per_s: mean(self.bytes_per_s, next.bytes_per_s),
            datagrams_per_s: mean(self.datagrams_per_s, next.datagrams_per_s),
            peak_bytes_per_s: self.peak_bytes_per_s.max(next.peak_bytes_per_s),
            peak_datagrams_per_s: self.peak_datagrams_per_s.max(next.peak_datagrams_per_s),
            peak_received_bytes_per_s: self.peak_received_bytes_per_s.max(next.peak_received_bytes_per_s),
            peak_mean_bytes_per_s: self.peak_mean_bytes_per_s.max(next.peak_mean_bytes_per_s),
        }
    }
}

/// Counts in the current window.
#[derive(Clone, Debug, Default)]
struct SlidingWindow {
    bins: [Traffic; BINS_PER_WINDOW],
    sum: Traffic,
}

impl SlidingWindow {
    fn count(&mut self, bin: usize, bytes: usize) {
        let one = Traffic { datagrams: 1, bytes: bytes as u64 };
        self.bins[bin].add(one);
        self.sum.add(one);
    }

    /// Clears the oldest bin, which is used next.
    fn clear_bin(&mut self, bin: usize) {
        self.sum.subtract(std::mem::take(&mut self.bins[bin]));
    }
}

#[derive(Clone, Debug, Default)]
struct NodeWindows {
    sent: SlidingWindow,
    received: SlidingWindow,
}

/// Measures what every node sends and receives.
#[derive(Clone, Debug)]
pub struct TrafficMeter {
    nodes: Vec<NodeWindows>,
    /// Sent by all nodes since the reset.
    sent: Traffic,
    reset_at: Micros,
    /// End of the current bin.
    bin_ends: Micros,
    /// Number of bins completed since the reset.
    ended: usize,
    peaks: Peaks,
}

/// The largest sums over any complete window.
#[derive(Clone, Copy, Debug, Default)]
struct Peaks {
    sent: Traffic,
    received_bytes: u64,
    sent_by_all: u64,
}

impl TrafficMeter {
    /// A meter for this number of nodes.
    pub fn new(nodes: usize, now: Micros) -> Self {
        Self {
            nodes: vec![NodeWindows::default(); nodes],
            sent: Traffic::default(),
            reset_at: now,
            bin_ends: now + BIN_LENGTH,
            ended: 0,
            peaks: Peaks::default(),
        }
    }

    /// Discards all counts and starts measuring from `now`.
    pub fn reset(&mut self, now: Micros) {
        *self = Self::new(self.nodes.len(), now);
    }

    /// Records a datagram sent by a node.
    pub fn sent(&mut self, node: usize, bytes: usize) {
        let bin = self.current_bin();
        self.sent.add(Traffic { datagrams: 1, bytes: bytes as u64 });
        self.nodes[node].sent.count(bin, bytes);
    }

    /// Records a datagram received by a node.
    pub fn received(&mut self, node: usize, bytes: usize) {
        let bin = self.current_bin();
        self.nodes[node].received.count(bin, bytes);
    }

    /// Advances the time to `now` and closes the bins that have ended.
    pub fn advance(&mut self, now: Micros) {
        while now >= self.bin_ends {
            self.end_bin();
        }
    }

    /// Sent by all nodes since the reset.
    pub fn total(&self) -> Traffic {
        self.sent
    }

    /// Rates from the reset to `now`.
    pub fn rates(&self, now: Micros) -> TrafficRates {
        let seconds = (now.saturating_sub(self.reset_at) as f64 / SECOND as f64).max(1.0);
        let nodes = self.nodes.len().max(1) as f64;
        TrafficRates {
            bytes_per_s: self.sent.bytes as f64 / seconds / nodes,
            datagrams_per_s: self.sent.datagrams as f64 / seconds / nodes,
            peak_bytes_per_s: self.peaks.sent.bytes as f64 / WINDOW_S,
            peak_datagrams_per_s: self.peaks.sent.datagrams as f64 / WINDOW_S,
            peak_received_bytes_per_s: self.peaks.received_bytes as f64 / WINDOW_S,
            peak_mean_bytes_per_s: self.peaks.sent_by_all as f64 / WINDOW_S / nodes,
        }
    }

    fn current_bin(&self) -> usize {
        self.ended % BINS_PER_WINDOW
    }

    fn end_bin(&mut self) {
        self.ended += 1;
        self.bin_ends += BIN_LENGTH;
        if self.ended >= BINS_PER_WINDOW {
            self.update_peaks();
        }
        let bin = self.current_bin();
        for node in &mut self.nodes {
            node.sent.clear_bin(bin);
            node.received.clear_bin(bin);
        }
    }

    fn update_peaks(&mut self) {
        let mut all = 0;
        for node in &self.nodes {
            all += node.sent.sum.bytes;
            self.peaks.sent.bytes = self.peaks.sent.bytes.max(node.sent.sum.bytes);
            self.peaks.sent.datagrams = self.peaks.sent.datagrams.max(node.sent.sum.datagrams);
            self.peaks.received_bytes = self.peaks.received_bytes.max(node.received.sum.bytes);
        }
        self.peaks.sent_by_all = self.peaks.sent_by_all.max(all);
    }
}

#[cfg(test)]
mod tests;
