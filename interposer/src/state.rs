//! The rules of this process and the number of random draws so far.

use crate::draws;
use crate::real;
use crate::rules::{self, Call, Effect, Rule};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// The maximum number of bytes that a short call transfers.
const MAX_SHORT_BYTES: usize = 48;

struct State {
    rules: Vec<Rule>,
    seed: u64,
    start_ms: u64,
    draws: AtomicU64,
}

/// The outcome of one call.
pub enum Outcome {
    /// It is passed on unchanged.
    Passes,
    /// It fails with this error number.
    Fails(i32),
    /// It transfers at most this number of bytes.
    Short(usize),
}

fn state() -> &'static State {
    static STATE: OnceLock<State> = OnceLock::new();
    STATE.get_or_init(|| {
        let variable = |name| std::env::var(name).unwrap_or_default();
        let rules = rules::parse(&variable("INTERPOSER_RULES")).unwrap_or_else(|faults| {
            for fault in &faults {
                eprintln!("interposer: {fault}");
            }
            // A run without some of its faults would look like a complete one.
            std::process::abort()
        });
        let seed = variable("INTERPOSER_SEED").parse().unwrap_or(1);
        State { rules, seed, start_ms: real::monotonic_ms(), draws: AtomicU64::new(0) }
    })
}

impl State {
    fn active_rules(&self, call: Call) -> impl Iterator<Item = &Rule> {
        let now = real::monotonic_ms().saturating_sub(self.start_ms);
        self.rules.iter().filter(move |rule| rule.call == call && rule.during.contains(&now))
    }
}

/// Draws the outcome of a call.
pub fn draw_outcome(call: Call) -> Outcome {
    let state = state();
    for rule in state.active_rules(call) {
        let number = state.draws.fetch_add(1, Ordering::Relaxed);
        if draws::unit(state.seed, number) >= rule.share {
            continue;
        }
        match rule.effect {
            Effect::Fails(error) => return Outcome::Fails(error),
            Effect::Short => return Outcome::Short(draws::from_one_to(state.seed, number, MAX_SHORT_BYTES)),
            Effect::Step(_) => {}
        }
    }
    Outcome::Passes
}

/// The current offset of the wall clock in milliseconds.
pub fn wall_clock_offset_ms() -> i64 {
    let offsets = state().active_rules(Call::Clock).map(|rule| match rule.effect {
        Effect::Step(offset_ms) => offset_ms,
        Effect::Fails(_) | Effect::Short => 0,
    });
    offsets.sum()
}
