//! Measured round-trip times of this node's probes, and the probe timeouts that follow from them.
//!
//! The round trip to another region may take longer than a probe within a zone including its indirect probes. So round-trip
//! times are smoothed per region, with their variation (RFC 6298), and each probe has the timeout of its peer's region.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::peers::Micros;

/// Minimum timeout for a region without measurements: longer than the round trip between any two planned regions.
const UNMEASURED_TIMEOUT: Micros = 500_000;
/// Maximum timeout.
const MAX_TIMEOUT: Micros = 2_000_000;
/// The gains by which a sample updates the mean and the variation (RFC 6298, section 2).
const MEAN_GAIN: f64 = 1.0 / 8.0;
const VARIATION_GAIN: f64 = 1.0 / 4.0;
/// The timeout is the mean, plus this fraction of it, plus this many times the variation.
const MEAN_MARGIN: f64 = 0.25;
const VARIATION_FACTOR: f64 = 4.0;
/// An indirect probe takes two round trips: to the relay, and from there to the peer, which may be farther from the relay
/// than any region is from here. Twice the longest timeout is enough for at least one of several relays.
const RELAY_ROUND_TRIPS: Micros = 2;
/// Maximum number of outstanding probes. More than one is kept, as an answer that arrives after the next probe has started
/// is still a valid sample.
const MAX_OUTSTANDING: usize = 8;
/// Maximum number of regions that are tracked.
const MAX_REGIONS: usize = 64;

/// The smoothed round-trip time to one region, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    variation: f64,
}

impl Estimate {
    fn first(sample: f64) -> Self {
        Self { mean: sample, variation: sample / 4.0 }
    }

    fn add(&mut self, sample: f64) {
        self.variation += ((sample - self.mean).abs() - self.variation) * VARIATION_GAIN;
        self.mean += (sample - self.mean) * MEAN_GAIN;
    }

    fn timeout(&self) -> Micros {
        (self.mean * (1.0 + MEAN_MARGIN) + self.variation * VARIATION_FACTOR) as Micros
    }
}

#[derive(Clone, Copy, Debug)]
struct OutstandingProbe {
    to: SocketAddr,
    number: foca::ProbeNumber,
    sent: Micros,
}

/// Round-trip times by region, and the outstanding probes.
#[derive(Debug, Default)]
pub(super) struct RoundTrips {
    by_region: BTreeMap<String, Estimate>,
    outstanding: VecDeque<OutstandingProbe>,
}

impl RoundTrips {
    /// Records a sent probe.
    pub fn sent(&mut self, now: Micros, to: SocketAddr, number: foca::ProbeNumber) {
        if self.outstanding.len() >= MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(OutstandingProbe { to, number, sent: now });
    }

    /// Records the answer of the probed peer, which is in this region.
    pub fn acknowledged(&mut self, now: Micros, from: SocketAddr, number: foca::ProbeNumber, region: &str) {
        let matches = |probe: &OutstandingProbe| (probe.to, probe.number) == (from, number);
        let Some(index) = self.outstanding.iter().position(matches) else { return };
        let Some(probe) = self.outstanding.remove(index) else { return };
        let sample = now.saturating_sub(probe.sent) as f64;
        if let Some(estimate) = self.by_region.get_mut(region) {
            estimate.add(sample);
        } else if self.by_region.len() < MAX_REGIONS {
            self.by_region.insert(region.to_owned(), Estimate::first(sample));
        }
    }

    /// Drops the outstanding probes after this process was suspended, as their answers are late for that reason alone.
    pub fn forget_outstanding(&mut self) {
        self.outstanding.clear();
    }

    /// The timeout for a direct probe to this region.
    pub fn timeout(&self, region: &str, min_timeout: Micros) -> Micros {
        let measured = self.by_region.get(region).map(Estimate::timeout);
        let timeout = measured.unwrap_or_else(|| self.max_timeout().max(UNMEASURED_TIMEOUT));
        timeout.min(MAX_TIMEOUT).max(min_timeout)
    }

    /// The timeout for indirect probes. Relays are chosen from all regions, so one may be as far from the peer as any region
    /// is from here.
    pub fn indirect_timeout(&self, min_timeout: Micros) -> Micros {
        let longest = if self.by_region.is_empty() { UNMEASURED_TIMEOUT } else { self.max_timeout() };
        (longest * RELAY_ROUND_TRIPS).min(MAX_TIMEOUT).max(min_timeout)
    }

    /// The longest timeout of all measured regions; 0 if there is none.
    pub fn max_timeout(&self) -> Micros {
        self.by_region.values().map(Estimate::timeout).max().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
