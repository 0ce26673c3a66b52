//! How many nodes there are, as far as a node's own part of what all may do goes. `docs/membership.md` has the rule and
//! its argument.

use std::collections::VecDeque;
use std::time::Duration;

/// Microseconds on the caller's clock.
type Micros = u64;

/// When fewer nodes may be believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCountRules {
    /// The view has been agreed, with no more nodes in it, for so long.
    pub decrease_delay: Duration,
    /// For so long the largest agreed count is remembered.
    pub peak_window: Duration,
    /// The count in force stays at this part of it at the least.
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

/// The count in force. More nodes count at once, fewer late and within bounds.
#[derive(Clone, Debug)]
pub struct EffectiveNodeCount {
    rules: NodeCountRules,
    current: u32,
    /// Counts that were in force, and until when each is remembered; the last one stands.
    past_counts: VecDeque<(Micros, u32)>,
    /// Fewer nodes, agreed since then without a break.
    decrease: Option<(Micros, u32)>,
}

impl EffectiveNodeCount {
    /// Begins with the configured number, as if it had been agreed.
    pub fn new(rules: NodeCountRules, configured: u32) -> Self {
        Self { rules, current: configured.max(1), past_counts: VecDeque::new(), decrease: None }
    }

    /// The count in force.
    pub fn get(&self) -> u32 {
        self.current
    }

    /// The least that may be in force now.
    fn lower_bound(&mut self, now: Micros) -> u32 {
        while self.past_counts.front().is_some_and(|(until, _)| *until <= now) {
            self.past_counts.pop_front();
        }
        let largest = self.past_counts.iter().map(|(_, count)| *count).max().unwrap_or(0).max(self.current);
        (f64::from(largest) * self.rules.min_fraction).ceil() as u32
    }

    fn set(&mut self, now: Micros, count: u32) {
        let memory = u64::try_from(self.rules.peak_window.as_micros()).unwrap_or(u64::MAX);
        self.past_counts.push_back((now.saturating_add(memory), self.current));
        self.current = count;
    }

    /// What the node sees now: so many nodes, itself among them, and whether that is agreed. Whether the count in force
    /// has changed.
    pub fn observe(&mut self, now: Micros, seen: u32, agreed: bool) -> bool {
        let seen = seen.max(1);
        if seen >= self.current {
            self.decrease = None;
            let more = seen > self.current;
            if more {
                self.set(now, seen);
            }
            return more;
        }
        if !agreed {
            self.decrease = None;
            return false;
        }
        // The most that was seen since the view was agreed.
        let (since, most) = self.decrease.map_or((now, seen), |(since, most)| (since, most.max(seen)));
        self.decrease = Some((since, most));
        let hold = u64::try_from(self.rules.decrease_delay.as_micros()).unwrap_or(u64::MAX);
        if now < since.saturating_add(hold) {
            return false;
        }
        let count = most.max(self.lower_bound(now));
        self.decrease = Some((now, seen));
        let fewer = count < self.current;
        if fewer {
            self.set(now, count);
        }
        fewer
    }
}

#[cfg(test)]
mod tests;
