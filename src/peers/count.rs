//! How many nodes there are, as far as a node's own part of what all may do goes. `docs/membership.md` has the rule and
//! its argument.

use std::collections::VecDeque;
use std::time::Duration;

/// Microseconds on the caller's clock.
type Micros = u64;

/// When fewer nodes may be believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CountRules {
    /// The view has been agreed, with no more nodes in it, for so long.
    pub hold: Duration,
    /// For so long the largest agreed count is remembered.
    pub memory: Duration,
    /// The count in force stays at this part of it at the least.
    pub floor: f64,
}

impl Default for CountRules {
    fn default() -> Self {
        Self { hold: Duration::from_secs(10), memory: Duration::from_secs(300), floor: 0.5 }
    }
}

/// The count in force. More nodes count at once, fewer late and within bounds.
#[derive(Clone, Debug)]
pub struct Count {
    rules: CountRules,
    in_force: u32,
    /// Counts that were in force, and until when each is remembered; the last one stands.
    largest: VecDeque<(Micros, u32)>,
    /// Fewer nodes, agreed since then without a break.
    fewer: Option<(Micros, u32)>,
}

impl Count {
    /// Begins with the configured number, as if it had been agreed.
    pub fn new(rules: CountRules, configured: u32) -> Self {
        Self { rules, in_force: configured.max(1), largest: VecDeque::new(), fewer: None }
    }

    /// The count in force.
    pub fn in_force(&self) -> u32 {
        self.in_force
    }

    /// The least that may be in force now.
    fn least(&mut self, now: Micros) -> u32 {
        while self.largest.front().is_some_and(|(until, _)| *until <= now) {
            self.largest.pop_front();
        }
        let largest = self.largest.iter().map(|(_, count)| *count).max().unwrap_or(0).max(self.in_force);
        (f64::from(largest) * self.rules.floor).ceil() as u32
    }

    fn set(&mut self, now: Micros, count: u32) {
        let memory = u64::try_from(self.rules.memory.as_micros()).unwrap_or(u64::MAX);
        self.largest.push_back((now.saturating_add(memory), self.in_force));
        self.in_force = count;
    }

    /// What the node sees now: so many nodes, itself among them, and whether that is agreed. Whether the count in force
    /// has changed.
    pub fn sees(&mut self, now: Micros, seen: u32, agreed: bool) -> bool {
        let seen = seen.max(1);
        if seen >= self.in_force {
            self.fewer = None;
            let more = seen > self.in_force;
            if more {
                self.set(now, seen);
            }
            return more;
        }
        if !agreed {
            self.fewer = None;
            return false;
        }
        // The most that was seen since the view was agreed.
        let (since, most) = self.fewer.map_or((now, seen), |(since, most)| (since, most.max(seen)));
        self.fewer = Some((since, most));
        let hold = u64::try_from(self.rules.hold.as_micros()).unwrap_or(u64::MAX);
        if now < since.saturating_add(hold) {
            return false;
        }
        let count = most.max(self.least(now));
        self.fewer = Some((now, seen));
        let fewer = count < self.in_force;
        if fewer {
            self.set(now, count);
        }
        fewer
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;

    fn rules() -> CountRules {
        CountRules { hold: Duration::from_secs(10), memory: Duration::from_secs(300), floor: 0.5 }
    }

    #[test]
    fn more_count_at_once_and_fewer_only_when_agreed_for_long_and_never_below_half() {
        let mut count = Count::new(rules(), 4);
        assert!(count.sees(0, 8, false));
        assert_eq!(count.in_force(), 8);
        for at in 0..9 {
            assert!(!count.sees(at * SECOND, 2, true));
        }
        // What breaks the agreement begins the time anew, and so does a node more.
        assert!(!count.sees(9 * SECOND, 2, false));
        assert!(!count.sees(10 * SECOND, 2, true));
        assert!(!count.sees(19 * SECOND, 2, true));
        assert!(count.sees(20 * SECOND, 2, true));
        assert_eq!(count.in_force(), 4, "half of 8");
        assert!(!count.sees(200 * SECOND, 2, true), "8 is remembered");
        // Once it is forgotten, the next step; it is again half at the most.
        assert!(count.sees(330 * SECOND, 2, true));
        assert_eq!(count.in_force(), 2);
        assert!(count.sees(331 * SECOND, 9, true));
    }

    /// Under any partition: the sum of all nodes' parts, for as long as the whole is remembered, stays within the
    /// inverse of the floor.
    #[test]
    fn under_generated_partitions_all_parts_together_stay_within_the_stated_multiple() {
        let mut random = fastrand::Rng::with_seed(7);
        for _ in 0..500 {
            let nodes = random.u32(2..200);
            let mut counts: Vec<_> = (0..nodes).map(|_| Count::new(rules(), nodes)).collect();
            let mut group: Vec<u32> = vec![0; nodes as usize];
            let mut most: f64 = 0.0;
            for second in 0..290 {
                if random.u32(0..20) == 0 {
                    // A new partition, from one group to all alone.
                    let groups = random.u32(1..=nodes);
                    group.iter_mut().for_each(|group| *group = random.u32(0..groups));
                }
                for node in 0..nodes as usize {
                    let seen = group.iter().filter(|other| **other == group[node]).count() as u32;
                    let agreed = random.u32(0..50) > 0;
                    counts[node].sees(second * SECOND, seen, agreed);
                }
                most = most.max(counts.iter().map(|count| 1.0 / f64::from(count.in_force())).sum());
            }
            assert!(most <= 2.0 + 1e-9, "{nodes} nodes took {most} times the whole");
        }
    }
}
