//! Runs many scenarios in parallel within the cores and memory of the machine.

use super::{run, CaseOutcome, NotApplicable, Scenario};
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// Approximate bytes per member in each node's view while all nodes join: 0.52 GB for the 1,060 x 1,060 of a large cluster.
const BYTES_PER_MEMBER: u64 = 500;
/// Limit on the expected memory of all scenarios that run at the same time. A single scenario always runs.
const MEMORY_BUDGET: u64 = 9_000_000_000;

/// Scenarios that remain to be run, and the outcomes so far.
struct Progress {
    /// Indices of the scenarios that remain; the last one is next.
    pending: Vec<usize>,
    /// Expected memory of the running scenarios, in bytes.
    memory_in_use: u64,
    outcomes: BTreeMap<usize, CaseOutcome>,
}

impl Progress {
    /// Takes the largest scenario that fits into the memory budget.
    fn take_next(&mut self, scenarios: &[Scenario]) -> Option<usize> {
        let fits = |index: &usize| {
            self.memory_in_use == 0
                || self.memory_in_use + expected_memory_bytes(&scenarios[*index]) <= MEMORY_BUDGET
        };
        let found = self.pending.iter().rposition(fits)?;
        let index = self.pending.remove(found);
        self.memory_in_use += expected_memory_bytes(&scenarios[index]);
        Some(index)
    }
}

/// Runs all scenarios, at most `jobs` at a time, and returns the outcomes in the order of the scenarios. Calls `on_done`
/// after each. Fails before running anything if one of them does not apply.
pub fn run_all(
    scenarios: &[Scenario],
    jobs: usize,
    on_done: impl Fn() + Sync,
) -> Result<Vec<CaseOutcome>, NotApplicable> {
    scenarios.iter().try_for_each(Scenario::check)?;
    let mut pending: Vec<_> = (0..scenarios.len()).collect();
    // The largest run first; small ones fill the remaining memory.
    pending.sort_by_key(|index| (scenarios[*index].nodes, scenarios.len() - index));
    let progress = Mutex::new(Progress { pending, memory_in_use: 0, outcomes: BTreeMap::new() });
    let freed = Condvar::new();
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, scenarios.len().max(1)) {
            scope.spawn(|| run_pending(scenarios, &progress, &freed, &on_done));
        }
    });
    let progress = progress.into_inner().unwrap_or_else(PoisonError::into_inner);
    Ok(progress.outcomes.into_values().collect())
}

fn run_pending(scenarios: &[Scenario], progress: &Mutex<Progress>, freed: &Condvar, on_done: &impl Fn()) {
    while let Some(index) = wait_for_next(scenarios, progress, freed) {
        let outcome = run(scenarios[index]);
        let mut locked = lock(progress);
        locked.memory_in_use -= expected_memory_bytes(&scenarios[index]);
        if let Ok(outcome) = outcome {
            locked.outcomes.insert(index, outcome);
        }
        drop(locked);
        freed.notify_all();
        on_done();
    }
}

/// Waits until a scenario fits; none if none is left.
fn wait_for_next(scenarios: &[Scenario], progress: &Mutex<Progress>, freed: &Condvar) -> Option<usize> {
    let mut locked = lock(progress);
    loop {
        if locked.pending.is_empty() {
            return None;
        }
        match locked.take_next(scenarios) {
            Some(index) => return Some(index),
            None => locked = freed.wait(locked).unwrap_or_else(PoisonError::into_inner),
        }
    }
}

/// No code panics while it holds the lock, so a poisoned lock is still consistent.
fn lock(progress: &Mutex<Progress>) -> MutexGuard<'_, Progress> {
    progress.lock().unwrap_or_else(PoisonError::into_inner)
}

fn expected_memory_bytes(scenario: &Scenario) -> u64 {
    (scenario.nodes as u64).pow(2) * BYTES_PER_MEMBER
}
