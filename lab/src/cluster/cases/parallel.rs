//! Playing many cases at once, within the machine's cores and memory.

use super::{run, CaseOutcome, NotApplicable, Play};
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// A member in one node's view takes about so many bytes while all join: 0.52 GB for the 1,060 x 1,060 of a large cluster.
const BYTES_PER_MEMBER: u64 = 500;
/// Plays that run at once are expected to take no more than this together; one alone always runs.
const MEMORY_BUDGET: u64 = 9_000_000_000;

/// What is still to be played, and what came of the rest.
struct Progress {
    /// Places among the plays; the last one is the next.
    waiting: Vec<usize>,
    /// Memory that the running ones are expected to take.
    in_use: u64,
    outcomes: BTreeMap<usize, CaseOutcome>,
}

impl Progress {
    /// Takes the largest play that fits beside those that run.
    fn take(&mut self, plays: &[Play]) -> Option<usize> {
        let fits = |place: &usize| self.in_use == 0 || self.in_use + memory(&plays[*place]) <= MEMORY_BUDGET;
        let found = self.waiting.iter().rposition(fits)?;
        let place = self.waiting.remove(found);
        self.in_use += memory(&plays[place]);
        Some(place)
    }
}

/// Plays all of them, `jobs` at once at the most; outcomes come in the order of the plays, and `done` is called after
/// each. Fails, before anything is played, where one does not apply.
pub fn run_all(
    plays: &[Play],
    jobs: usize,
    done: impl Fn() + Sync,
) -> Result<Vec<CaseOutcome>, NotApplicable> {
    plays.iter().try_for_each(Play::check)?;
    let mut waiting: Vec<_> = (0..plays.len()).collect();
    // The largest first: the small ones fill the gaps.
    waiting.sort_by_key(|place| (plays[*place].nodes, plays.len() - place));
    let progress = Mutex::new(Progress { waiting, in_use: 0, outcomes: BTreeMap::new() });
    let freed = Condvar::new();
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, plays.len().max(1)) {
            scope.spawn(|| work(plays, &progress, &freed, &done));
        }
    });
    let progress = progress.into_inner().unwrap_or_else(PoisonError::into_inner);
    Ok(progress.outcomes.into_values().collect())
}

fn work(plays: &[Play], progress: &Mutex<Progress>, freed: &Condvar, done: &impl Fn()) {
    while let Some(place) = next(plays, progress, freed) {
        let outcome = run(plays[place]);
        let mut locked = lock(progress);
        locked.in_use -= memory(&plays[place]);
        if let Ok(outcome) = outcome {
            locked.outcomes.insert(place, outcome);
        }
        drop(locked);
        freed.notify_all();
        done();
    }
}

/// Waits until one fits; none where none is left.
fn next(plays: &[Play], progress: &Mutex<Progress>, freed: &Condvar) -> Option<usize> {
    let mut locked = lock(progress);
    loop {
        if locked.waiting.is_empty() {
            return None;
        }
        match locked.take(plays) {
            Some(place) => return Some(place),
            None => locked = freed.wait(locked).unwrap_or_else(PoisonError::into_inner),
        }
    }
}

/// Nothing panics while it holds the lock.
fn lock(progress: &Mutex<Progress>) -> MutexGuard<'_, Progress> {
    progress.lock().unwrap_or_else(PoisonError::into_inner)
}

fn memory(play: &Play) -> u64 {
    (play.nodes as u64).pow(2) * BYTES_PER_MEMBER
}
