//! The origin: slow, with few places, going on with work that nobody waits for, and falling over when it is asked far
//! more than it can do for too long (operators' page, "Cache boxes in detail").

use super::{Micros, SECOND};
use crate::draw;
use rand::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::VecDeque;

/// A fetch or a write that is out, by its number.
pub type FetchId = u64;

/// What the origin is.
#[derive(Clone, Copy, Debug)]
pub struct OriginParts {
    /// Asks worked on at once.
    pub places: usize,
    /// Mean time of one, in microseconds.
    pub mean_us: f64,
    /// Asked over this multiple of what it can do for `fall_us`, it stops for `down_us`.
    pub fall_multiple: f64,
    /// See `fall_multiple`.
    pub fall_us: Micros,
    /// See `fall_multiple`.
    pub down_us: Micros,
}

/// The origin.
#[derive(Debug)]
pub struct Origin {
    parts: OriginParts,
    random: Xoshiro256PlusPlus,
    busy: usize,
    queue: VecDeque<FetchId>,
    /// How many times slower it is at present.
    slow: f64,
    /// Asks of the last `fall_us`.
    asked: VecDeque<Micros>,
    down_until: Option<Micros>,
    falls: u32,
    silent: bool,
    erring: f64,
}

/// Work that begins: it ends at `at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Begun {
    /// Which ask.
    pub fetch: FetchId,
    /// When it ends.
    pub at: Micros,
}

impl Origin {
    /// An idle origin.
    pub fn new(parts: OriginParts, random: Xoshiro256PlusPlus) -> Self {
        let (queue, asked) = Default::default();
        Self {
            parts,
            random,
            busy: 0,
            queue,
            slow: 1.0,
            asked,
            down_until: None,
            falls: 0,
            silent: false,
            erring: 0.0,
        }
    }

    /// What it can do, in asks a second.
    pub fn capacity(&self) -> f64 {
        self.parts.places as f64 / (self.parts.mean_us / SECOND as f64)
    }

    /// How often it fell over.
    pub fn falls(&self) -> u32 {
        self.falls
    }

    /// Says nothing from now on, or goes on.
    pub fn silence(&mut self, now: Micros, silent: bool, begun: &mut Vec<Begun>) {
        self.silent = silent;
        self.begin(now, begun);
    }

    /// Answers this part with errors.
    pub fn err(&mut self, part: f64) {
        self.erring = part;
    }

    /// Makes it so many times slower.
    pub fn slow(&mut self, times: f64) {
        self.slow = times.max(0.01);
    }

    /// Takes an ask in. What begins now is appended to `begun`.
    pub fn ask(&mut self, now: Micros, fetch: FetchId, begun: &mut Vec<Begun>) {
        self.asked.push_back(now);
        while self.asked.front().is_some_and(|at| at + self.parts.fall_us < now) {
            self.asked.pop_front();
        }
        let most = self.parts.fall_multiple * self.capacity() * self.parts.fall_us as f64 / SECOND as f64;
        if self.down_until.is_none() && self.asked.len() as f64 > most {
            self.down_until = Some(now + self.parts.down_us);
            self.falls += 1;
        }
        self.queue.push_back(fetch);
        self.begin(now, begun);
    }

    /// One of its works has ended. Returns whether it was done: what a fall interrupts is not.
    pub fn end(&mut self, now: Micros, begun: &mut Vec<Begun>) -> bool {
        let spoilt = self.erring > 0.0 && self.random.random::<f64>() < self.erring;
        let done = !spoilt && !self.silent && self.down_until.is_none_or(|until| now >= until);
        self.busy = self.busy.saturating_sub(1);
        self.begin(now, begun);
        done
    }

    fn begin(&mut self, now: Micros, begun: &mut Vec<Begun>) {
        if self.down_until.is_some_and(|until| now >= until) {
            self.down_until = None;
            self.asked.clear();
        }
        let from = self.down_until.unwrap_or(now);
        while !self.silent && self.busy < self.parts.places {
            let Some(fetch) = self.queue.pop_front() else { return };
            self.busy += 1;
            let takes = draw::exponential_us(&mut self.random, self.parts.mean_us * self.slow).max(1);
            begun.push(Begun { fetch, at: from + takes });
        }
    }
}

#[cfg(test)]
mod tests;
