use super::*;
use std::collections::BTreeMap;

const TEXT: &str = "name = \"x\"\nabout = \"y\"\nlength = \"10s\"\n[arm.walkpick]\n[arm.calm]\nno_faults = true\n\
    [[check]]\nname = \"seen\"\narm = \"walkpick\"\nfigure = \"failed\"\nrelative_to = \"calm\"\nat_least = 2\n";

fn run(arm: &str, seed: u64, failed: f64) -> Result {
    Result {
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

/// Judges these runs, and says which of them hold.
fn held(mut runs: Vec<Result>) -> Vec<bool> {
    judge(&Experiment::parse(TEXT).unwrap(), &mut runs);
    runs.iter().flat_map(|run| &run.checks).map(|check| check.holds).collect()
}

#[test]
fn a_run_is_held_against_the_other_arm_on_the_same_seed() {
    let runs =
        vec![run("calm", 1, 0.01), run("walkpick", 1, 0.03), run("calm", 2, 0.02), run("walkpick", 2, 0.03)];
    assert_eq!(held(runs), [true, false]);
}

#[test]
fn nothing_holds_against_nothing_or_against_a_run_that_is_not_there() {
    assert_eq!(held(vec![run("calm", 1, 0.0), run("walkpick", 1, 0.0)]), [false]);
    assert_eq!(held(vec![run("calm", 2, 0.01), run("walkpick", 1, 0.03)]), [false]);
    let void = Result { void: Some("late".into()), ..run("calm", 1, 0.01) };
    assert_eq!(held(vec![void, run("walkpick", 1, 0.03)]), [false]);
    let early = Result { interrupted: true, ..run("calm", 1, 0.01) };
    assert_eq!(held(vec![early, run("walkpick", 1, 0.03)]), [false]);
    assert_eq!(held(vec![run("calm", 1, 0.0), run("walkpick", 1, 0.03)]), [true]);
}

#[test]
fn an_arm_is_played_with_those_that_it_is_compared_with() {
    let experiment = Experiment::parse(TEXT).unwrap();
    assert_eq!(with_compared(&experiment, &["walkpick".into()]), ["calm", "walkpick"]);
    assert_eq!(with_compared(&experiment, &["calm".into()]), ["calm"]);
}
