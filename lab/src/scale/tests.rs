use super::*;
use crate::experiment::Diagnostic;

const SMALL: &str = "name = \"small\"\nabout = \"a test\"\n\
    [membership]\ncases = [\"rest\", \"kill\"]\nnodes = [4, 6]\nsettle = \"1s\"\nrest = \"6s\"\n\
    [[check]]\nname = \"quiet\"\nfigure = \"bytes_per_s\"\ngroup = \"rest\"\nat_most = 1000\n\
    [[check]]\nname = \"even\"\nfigure = \"bytes_per_s\"\nspread_at_most = 3\n";

fn errors(text: &str) -> Vec<String> {
    match ScaleExperiment::parse(text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(Diagnostic::to_string).collect(),
    }
}

fn options() -> RunOptions {
    RunOptions { seeds: 1..3, jobs: Some(2), node: None, logs: None, lateness: Duration::from_millis(10) }
}

fn run_of(group: &str, value: Option<f64>) -> ScaleRun {
    let figures = value.map(|value| ("bytes_per_s", value)).into_iter().collect();
    ScaleRun { label: group.to_owned(), group: group.to_owned(), seed: 1, figures, void: None }
}

fn check(figure: &str) -> ScaleCheck {
    ScaleCheck {
        name: "c".to_owned(),
        figure: figure.to_owned(),
        group: None,
        at_least: None,
        at_most: None,
        spread_at_most: None,
    }
}

#[test]
fn experiment_is_read_run_and_checked() {
    let experiment = ScaleExperiment::parse(SMALL).unwrap().unwrap();
    assert_eq!((experiment.name.as_str(), experiment.kind.table), ("small", "membership"));
    let (runs, checks) = experiment.run(&options()).unwrap();
    assert_eq!(runs.len(), 8, "two cases, two sizes and two seeds");
    assert_eq!(runs.iter().filter(|run| run.group == "kill").count(), 4);
    assert!(runs.iter().all(|run| run.figures["bytes_per_s"] > 0.0));
    assert_eq!(checks.len(), 5, "four runs of rest and one spread check");
    assert!(checks.iter().all(|check| check.holds), "{checks:?}");
}

#[test]
fn files_without_a_table_of_a_known_kind_are_ignored() {
    assert!(ScaleExperiment::parse("name = \"x\"\nabout = \"y\"\nlength = \"10s\"\n").unwrap().is_none());
    assert!(ScaleExperiment::parse("no toml").unwrap().is_none());
}

#[test]
fn all_errors_are_reported_with_location_found_and_expected() {
    let text =
        "about = 3\nlength = \"10s\"\n[membership]\ncases = [\"melt\"]\nnodes = [1, 6]\nloss = [2.0]\n\
        settle = \"soon\"\nsize = 3\n[[check]]\nname = \"c\"\nfigure = \"luck\"\nat_most = 1\n";
    let errors = errors(text);
    for part in [
        "length: found an unknown key, expected one of name, about, check, membership",
        "name: found nothing, expected a text",
        "about: found 3, expected a text",
        "membership: size: found an unknown key",
        "membership: cases: found [\"melt\"], expected a list of join, rest",
        "membership: nodes: found 1, expected 2 to 20000",
        "membership: loss: found 2, expected 0 to 0.9",
        "check 1: figure: found \"luck\", expected one of joined_s",
        "membership: settle: found \"soon\", expected a time such as \"30s\"",
    ] {
        assert!(errors.iter().any(|line| line.starts_with(part)), "{part} is not in {errors:#?}");
    }
    assert_eq!(errors.len(), 9, "{errors:#?}");
}

#[test]
fn errors_of_checks_and_sizes_are_reported() {
    let text = "name = \"x\"\nabout = \"y\"\n[membership]\ncases = [\"rest\"]\nnodes = [6]\n\
        [[check]]\nname = \"c\"\nfigure = \"luck\"\ngroup = \"kill\"\n\
        [[check]]\nname = \"d\"\nfigure = \"rejoined\"\nat_most = 1\n\
        [[check]]\nname = \"d\"\nfigure = \"rejoined\"\nat_most = 1\n";
    let found = errors(text);
    assert_eq!(found.len(), 4, "{found:#?}");
    assert!(found[0].starts_with("check 1: figure: found \"luck\", expected one of joined_s"), "{found:?}");
    assert_eq!(found[1], "check 1: group: found \"kill\", expected one of rest");
    assert_eq!(found[2], "check 1: bound: found none, expected at_least, at_most or spread_at_most");
    assert_eq!(found[3], "check 3: name: found \"d\" a second time, expected a name of its own");
    let text = "name = \"x\"\nabout = \"y\"\n[membership]\ncases = [\"region-cut\"]\nnodes = [66, 265]\n";
    assert_eq!(errors(text), ["membership: nodes: found 66, expected 132 and more for region-cut"]);
    let text = "name = \"x\"\nabout = \"y\"\n[membership]\ncases = []\nnodes = [6]\n";
    assert_eq!(errors(text), ["membership: cases: found an empty list, expected one value and more"]);
}

#[test]
fn missing_figure_fails_its_check_and_void_run_is_ignored() {
    let most = ScaleCheck { at_most: Some(5.0), ..check("bytes_per_s") };
    let holds = |run: ScaleRun| most.judge(&[run]).iter().map(|outcome| outcome.holds).collect::<Vec<_>>();
    assert_eq!(holds(run_of("rest", Some(5.0))), [true]);
    assert_eq!(holds(run_of("rest", Some(5.1))), [false]);
    assert_eq!(holds(run_of("rest", None)), [false]);
    assert!(holds(ScaleRun { void: Some("late".to_owned()), ..run_of("rest", Some(9.0)) }).is_empty());
}

#[test]
fn spread_is_computed_over_all_runs_of_its_group() {
    let runs = [run_of("rest", Some(2.0)), run_of("rest", Some(3.0)), run_of("kill", Some(9.0))];
    let spread = |most: f64, group: Option<&str>| {
        let group = group.map(str::to_owned);
        ScaleCheck { spread_at_most: Some(most), group, ..check("bytes_per_s") }.judge(&runs)[0].holds
    };
    assert!(spread(1.5, Some("rest")));
    assert!(!spread(1.4, Some("rest")));
    assert!(!spread(4.4, None));
    let nothing = ScaleCheck { spread_at_most: Some(2.0), ..check("bytes_per_s") };
    assert!(!nothing.judge(&[run_of("rest", None)])[0].holds);
}
