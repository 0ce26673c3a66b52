use super::*;
use std::collections::BTreeMap;

const TEXT: &str = "name = \"x\"\nabout = \"y\"\nlength = \"10s\"\n[arm.walkpick]\n[arm.calm]\nno_faults = true\n\
    [[check]]\nname = \"seen\"\narm = \"walkpick\"\nfigure = \"failed\"\nrelative_to = \"calm\"\nat_least = 2\n";

fn run(arm: &str, seed: u64, failed: f64) -> RunResult {
    RunResult {
        experiment: "x".into(),
        arm: arm.into(),
        seed,
        version: "0",
        driver: "virtual",
        void: None,
        interrupted: false,
        requests: 1,
        draws: String::new(),
        figures: BTreeMap::from([("failed", failed)]),
        checks: Vec::new(),
        rules_broken: Vec::new(),
        series: Vec::new(),
        spans: Vec::new(),
    }
}

/// Evaluates the checks on these runs, and returns whether each holds.
fn checks_hold(mut runs: Vec<RunResult>) -> Vec<bool> {
    add_relative_checks(&Experiment::parse(TEXT).unwrap(), &mut runs);
    runs.iter().flat_map(|run| &run.checks).map(|check| check.holds).collect()
}

#[test]
fn run_is_compared_with_the_other_arm_on_the_same_seed() {
    let runs =
        vec![run("calm", 1, 0.01), run("walkpick", 1, 0.03), run("calm", 2, 0.02), run("walkpick", 2, 0.03)];
    assert_eq!(checks_hold(runs), [true, false]);
}

#[test]
fn check_fails_on_zero_over_zero_and_without_a_usable_reference_run() {
    assert_eq!(checks_hold(vec![run("calm", 1, 0.0), run("walkpick", 1, 0.0)]), [false]);
    assert_eq!(checks_hold(vec![run("calm", 2, 0.01), run("walkpick", 1, 0.03)]), [false]);
    let void = RunResult { void: Some("late".into()), ..run("calm", 1, 0.01) };
    assert_eq!(checks_hold(vec![void, run("walkpick", 1, 0.03)]), [false]);
    let interrupted = RunResult { interrupted: true, ..run("calm", 1, 0.01) };
    assert_eq!(checks_hold(vec![interrupted, run("walkpick", 1, 0.03)]), [false]);
    assert_eq!(checks_hold(vec![run("calm", 1, 0.0), run("walkpick", 1, 0.03)]), [true]);
}

#[test]
fn arm_is_run_together_with_the_arms_that_it_is_compared_with() {
    let experiment = Experiment::parse(TEXT).unwrap();
    assert_eq!(with_reference_arms(&experiment, &["walkpick".into()]), ["calm", "walkpick"]);
    assert_eq!(with_reference_arms(&experiment, &["calm".into()]), ["calm"]);
}
