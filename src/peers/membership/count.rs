//! The effective node count: how many nodes a node assumes when it computes its own share of a limit on all nodes
//! together. `docs/membership.md` has the rule and the reasons for it.

use std::collections::VecDeque;
use std::time::Duration;

/// Microseconds on the caller's clock.
type Micros = u64;

/// When the effective node count may decrease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCountRules {
    /// The view must have been agreed for this long, without the higher node count.
    pub decrease_delay: Duration,
    /// How long the largest effective count is remembered.
    pub peak_window: Duration,
    /// The effective count stays at or above this fraction of it.
    pub min_fraction: f64,
}

impl Default for NodeCountRules {
    fn default() -> Self {
        Self {
            decrease_delay: Duration::from_secs(10),
            peak_window: Duration::from_secs(300),
            min_fraction: 0.5,
        }
    }
}

/// The effective node count. Increases apply at once, decreases after a delay and within bounds.
#[derive(Clone, Debug)]
pub struct EffectiveNodeCount {
    rules: NodeCountRules,
    current: u32,
    /// Earlier values of `current`, and until when each is remembered.
    past_counts: VecDeque<(Micros, u32)>,
    /// Since when a lower count has been agreed without interruption, and the largest count seen in that time.
    decrease: Option<(Micros, u32)>,
}

impl EffectiveNodeCount {
    /// Starts with the configured number of nodes, as if it had been agreed.
    pub fn new(rules: NodeCountRules, configured: u32) -> Self {
        Self { rules, current: configured.max(1), past_counts: VecDeque::new(), decrease: None }
    }

    /// The effective count.
    pub fn get(&self) -> u32 {
        self.current
    }

    /// The lowest value that the effective count may have now.
    fn lower_bound(&mut self, now: Micros) -> u32 {
        while self.past_counts.front().is_some_and(|(until, _)| *until <= now) {
            self.past_counts.pop_front();
        }
        let largest = self.past_counts.iter().map(|(_, count)| *count).max().unwrap_or(0).max(self.current);
        (f64::from(largest) * self.rules.min_fraction).ceil() as u32
    }

    fn set(&mut self, now: Micros, count: u32) {
        let window = u64::try_from(self.rules.peak_window.as_micros()).unwrap_or(u64::MAX);
        self.past_counts.push_back((now.saturating_add(window), self.current));
        self.current = count;
    }

    /// Observes the present view: its number of nodes, including this one, and whether views agree. Returns whether the
    /// effective count has changed.
    pub fn observe(&mut self, now: Micros, seen: u32, agreed: bool) -> bool {
        let seen = seen.max(1);
        if seen >= self.current {
            self.decrease = None;
            let increased = seen > self.current;
            if increased {
                self.set(now, seen);
            }
            return increased;
        }
        if !agreed {
            self.decrease = None;
            return false;
        }
        // The largest number of nodes seen since the view was agreed.
        let (since, max_seen) =
            self.decrease.map_or((now, seen), |(since, max_seen)| (since, max_seen.max(seen)));
        self.decrease = Some((since, max_seen));
        let delay = u64::try_from(self.rules.decrease_delay.as_micros()).unwrap_or(u64::MAX);
        if now < since.saturating_add(delay) {
            return false;
        }
        let count = max_seen.max(self.lower_bound(now));
        self.decrease = Some((now, seen));
        let decreased = count < self.current;
        if decreased {
            self.set(now, count);
        }
        decreased
    }
}

#[cfg(test)]
mod tests;
