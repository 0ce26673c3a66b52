//! The origin: slow, with a limited number of slots. It finishes work that nobody waits for any more, and crashes when
//! requests exceed a multiple of its capacity for too long (operators' page, "Cache boxes in detail").

use super::{Micros, SECOND};
use crate::draw;
use rand::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::VecDeque;

/// Identifies a fetch or a write in flight.
pub type FetchId = u64;

/// Parameters of the origin.
#[derive(Clone, Copy, Debug)]
pub struct OriginConfig {
    /// Requests in service at once.
    pub slots: usize,
    /// Mean service time, in microseconds.
    pub mean_service_us: f64,
    /// The origin crashes when requests exceed this multiple of its capacity over `overload_window_us`.
    pub overload_multiple: f64,
    /// See `overload_multiple`.
    pub overload_window_us: Micros,
    /// How long it is down after a crash.
    pub down_us: Micros,
}

/// The origin.
#[derive(Debug)]
pub struct Origin {
    config: OriginConfig,
    random: Xoshiro256PlusPlus,
    busy: usize,
    queue: VecDeque<FetchId>,
    /// Current factor on the service time.
    slowdown: f64,
    /// Arrival times of the requests within the last `overload_window_us`.
    recent: VecDeque<Micros>,
    down_until: Option<Micros>,
    crashes: u32,
    silent: bool,
    error_share: f64,
}

/// A fetch whose service has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedFetch {
    /// The fetch.
    pub fetch: FetchId,
    /// When its service ends.
    pub ends_at: Micros,
}

impl Origin {
    /// An idle origin.
    pub fn new(config: OriginConfig, random: Xoshiro256PlusPlus) -> Self {
        let (queue, recent) = Default::default();
        Self {
            config,
            random,
            busy: 0,
            queue,
            slowdown: 1.0,
            recent,
            down_until: None,
            crashes: 0,
            silent: false,
            error_share: 0.0,
        }
    }

    /// Its capacity, in requests per second.
    pub fn capacity(&self) -> f64 {
        self.config.slots as f64 / (self.config.mean_service_us / SECOND as f64)
    }

    /// How often it has crashed.
    pub fn crashes(&self) -> u32 {
        self.crashes
    }

    /// Stops all answers, or resumes service.
    pub fn set_silent(&mut self, now: Micros, silent: bool, started: &mut Vec<StartedFetch>) {
        self.silent = silent;
        self.start_queued(now, started);
    }

    /// Sets the share of requests that are answered with an error.
    pub fn set_error_share(&mut self, share: f64) {
        self.error_share = share;
    }

    /// Sets the factor on the service time.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(0.01);
    }

    /// Queues a request. Requests whose service starts now are appended to `started`.
    pub fn request(&mut self, now: Micros, fetch: FetchId, started: &mut Vec<StartedFetch>) {
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| at + self.config.overload_window_us < now) {
            self.recent.pop_front();
        }
        let max = self.config.overload_multiple * self.capacity() * self.config.overload_window_us as f64
            / SECOND as f64;
        if self.down_until.is_none() && self.recent.len() as f64 > max {
            self.down_until = Some(now + self.config.down_us);
            self.crashes += 1;
        }
        self.queue.push_back(fetch);
        self.start_queued(now, started);
    }

    /// Ends the service of one request. Returns whether it succeeded; requests interrupted by a crash fail.
    pub fn complete(&mut self, now: Micros, started: &mut Vec<StartedFetch>) -> bool {
        let failed = self.error_share > 0.0 && self.random.random::<f64>() < self.error_share;
        let succeeded = !failed && !self.silent && self.down_until.is_none_or(|until| now >= until);
        self.busy = self.busy.saturating_sub(1);
        self.start_queued(now, started);
        succeeded
    }

    fn start_queued(&mut self, now: Micros, started: &mut Vec<StartedFetch>) {
        if self.down_until.is_some_and(|until| now >= until) {
            self.down_until = None;
            self.recent.clear();
        }
        let from = self.down_until.unwrap_or(now);
        while !self.silent && self.busy < self.config.slots {
            let Some(fetch) = self.queue.pop_front() else { return };
            self.busy += 1;
            let service_us =
                draw::exponential_us(&mut self.random, self.config.mean_service_us * self.slowdown).max(1);
            started.push(StartedFetch { fetch, ends_at: from + service_us });
        }
    }
}

#[cfg(test)]
mod tests;
