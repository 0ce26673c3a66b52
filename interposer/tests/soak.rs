//! Soak test: a node on loopback sockets under faults drawn from a seed, judged by what clients, servers and discovery
//! observed.
//!
//! A few seeds run with the other tests. A long soak is started by hand, with a range of seeds:
//! `WALKPICK_SOAK=1000..1050 cargo test --release -p walkpick-interposer --test soak -- --nocapture` (build the
//! workspace in the same profile first).

#[path = "../../tests/node_common/mod.rs"]
mod node_common;

#[path = "soak/clients.rs"]
mod clients;
#[path = "soak/judges.rs"]
mod judges;
#[path = "soak/record.rs"]
mod record;
#[path = "soak/run.rs"]
mod run;
#[path = "soak/schedule.rs"]
mod schedule;

use schedule::Schedule;
use std::collections::VecDeque;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::thread;

/// The seeds that run with the other tests.
const DEFAULT_SEEDS: Range<u64> = 1..9;
/// Runs in parallel.
const JOBS: usize = 4;
/// A run with a broken rule and a large scheduling delay is void and repeated at the end, up to this number of runs.
const MAX_RUNS: usize = 3;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("WALKPICK_SOAK") else { return DEFAULT_SEEDS };
    let (from, to) = text.split_once("..").expect("WALKPICK_SOAK is FROM..TO");
    from.parse().expect("the first seed is a number")..to.parse().expect("the end of the seeds is a number")
}

/// The result of one run.
enum Verdict {
    Passed,
    Void,
    Broken(String),
}

fn judge(seed: u64) -> Verdict {
    let schedule = Schedule::draw(seed);
    let outcome = run::run(&schedule);
    let broken = judges::judge(&schedule, &outcome);
    println!("seed {seed}: {}; {}", schedule.summary(), outcome.summary());
    if broken.is_empty() {
        return Verdict::Passed;
    }
    if outcome.has_large_delay() {
        println!("seed {seed}: void because of the scheduling delay: {broken:#?}");
        return Verdict::Void;
    }
    Verdict::Broken(format!("seed {seed}: {broken:#?}\n{schedule:#?}\n{}", outcome.log))
}

// Guards against combinations of faults that no other test covers.
#[test]
fn no_rule_is_broken_under_drawn_faults() {
    let queue: Arc<Mutex<VecDeque<_>>> = Arc::new(Mutex::new(seeds().map(|seed| (seed, 1)).collect()));
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let (voids, passed) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(0)));
    let jobs: Vec<_> = (0..JOBS)
        .map(|_| {
            let (queue, broken) = (queue.clone(), broken.clone());
            let (voids, passed) = (voids.clone(), passed.clone());
            thread::spawn(move || loop {
                let Some((seed, runs)) = queue.lock().unwrap().pop_front() else { return };
                match judge(seed) {
                    Verdict::Passed => *passed.lock().unwrap() += 1,
                    Verdict::Void if runs < MAX_RUNS => queue.lock().unwrap().push_back((seed, runs + 1)),
                    Verdict::Void => voids.lock().unwrap().push(seed),
                    Verdict::Broken(report) => broken.lock().unwrap().push(report),
                }
            })
        })
        .collect();
    for job in jobs {
        job.join().expect("the job ends");
    }
    let (broken, voids) = (broken.lock().unwrap(), voids.lock().unwrap());
    println!("{} seeds passed, {} broke a rule, void: {voids:?}", passed.lock().unwrap(), broken.len());
    assert!(broken.is_empty(), "{}", broken.join("\n\n"));
    assert!(voids.is_empty(), "scheduling delays voided seeds {voids:?}, {MAX_RUNS} runs each");
}
