//! How long peers take to answer, by this node's own probes, and how long a probe waits by that.
//!
//! A probe to another region may take longer there and back than a probe within a zone takes with all its relays. So round
//! trips are kept by region, smoothed and with their variation (RFC 6298), and each probe waits by those of the region that
//! it goes to.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::peers::Micros;

/// A probe of a region that was never measured waits so long at the least: more than between any two regions of the plan.
const UNMEASURED_TIMEOUT: Micros = 500_000;
/// No probe waits longer.
const MAX_TIMEOUT: Micros = 2_000_000;
/// Parts of the difference that a sample moves the mean and the variation by (RFC 6298, section 2).
const MEAN_GAIN: f64 = 1.0 / 8.0;
const VARIATION_GAIN: f64 = 1.0 / 4.0;
/// A probe waits the mean, this part of it, and so many times the variation.
const MEAN_MARGIN: f64 = 0.25;
const VARIATION_FACTOR: f64 = 4.0;
/// The way by a relay is two round trips: to the relay, and from there to the peer, which may be farther than any region is
/// from here. Twice the max_timeout is enough for one of several relays.
const RELAY_ROUND_TRIPS: Micros = 2;
/// Probes whose answers are waited for: an answer that comes after the next probe has begun tells the time as well.
const MAX_OUTSTANDING: usize = 8;
/// Regions whose times are kept.
const MAX_REGIONS: usize = 64;

/// Smoothed round trips to one region, in microseconds.
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

/// Round trips by region, and the probes that are on their way.
#[derive(Debug, Default)]
pub(super) struct RoundTrips {
    by_region: BTreeMap<String, Estimate>,
    outstanding: VecDeque<OutstandingProbe>,
}

impl RoundTrips {
    /// A probe was sent.
    pub fn sent(&mut self, now: Micros, to: SocketAddr, number: foca::ProbeNumber) {
        if self.outstanding.len() >= MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(OutstandingProbe { to, number, sent: now });
    }

    /// A probe was answered by the one that it was sent to, in this region.
    pub fn acknowledged(&mut self, now: Micros, from: SocketAddr, number: foca::ProbeNumber, region: &str) {
        let matches = |probe: &OutstandingProbe| (probe.to, probe.number) == (from, number);
        let Some(place) = self.outstanding.iter().position(matches) else { return };
        let Some(probe) = self.outstanding.remove(place) else { return };
        let sample = now.saturating_sub(probe.sent) as f64;
        if let Some(estimate) = self.by_region.get_mut(region) {
            estimate.add(sample);
        } else if self.by_region.len() < MAX_REGIONS {
            self.by_region.insert(region.to_owned(), Estimate::first(sample));
        }
    }

    /// What was sent before a sleep is answered late for another reason.
    pub fn forget_outstanding(&mut self) {
        self.outstanding.clear();
    }

    /// How long an answer from this region may take; `least`: no less than this.
    pub fn timeout(&self, region: &str, least: Micros) -> Micros {
        let measured = self.by_region.get(region).map(Estimate::timeout);
        let timeout = measured.unwrap_or_else(|| self.max_timeout().max(UNMEASURED_TIMEOUT));
        timeout.min(MAX_TIMEOUT).max(least)
    }

    /// How long the way to a peer by a relay and back may take: relays are drawn from all regions, and so may be as far from
    /// the peer as any region is from here.
    pub fn indirect_timeout(&self, least: Micros) -> Micros {
        let max_timeout = if self.by_region.is_empty() { UNMEASURED_TIMEOUT } else { self.max_timeout() };
        (max_timeout * RELAY_ROUND_TRIPS).min(MAX_TIMEOUT).max(least)
    }

    /// The max_timeout that an answer from any region that was measured may take.
    pub fn max_timeout(&self) -> Micros {
        self.by_region.values().map(Estimate::timeout).max().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
