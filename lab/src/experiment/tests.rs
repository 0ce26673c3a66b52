use super::*;

const MINIMAL: &str = "name = \"x\"\nabout = \"y\"\nlength = \"10s\"\n";

/// The diagnostics of an invalid experiment.
fn diagnostics(text: &str) -> Vec<String> {
    Experiment::parse(text).unwrap_err().iter().map(Diagnostic::to_string).collect()
}

#[test]
fn syntax_errors_are_reported_with_their_line() {
    assert!(diagnostics("name = \"x\"\nabout = 3\n")[0].starts_with("line 2: "));
    let unknown_field = diagnostics(&format!("{MINIMAL}[load]\nshare = 0.5\nshar = 1\n"));
    assert!(unknown_field[0].starts_with("line 6: unknown field"));
    assert!(diagnostics("")[0].contains("missing field"));
    let unknown_fault =
        diagnostics(&format!("{MINIMAL}[[fault]]\nwhat = \"melts\"\nfrom = \"1s\"\nto = \"2s\"\n"));
    assert!(unknown_fault[0].contains("unknown variant `melts`"));
}

#[test]
fn all_invalid_values_are_reported_at_once() {
    let text = format!(
        "{MINIMAL}[load]\nshare = -1\n[[fault]]\nwhat = \"server-slow\"\nfrom = \"5s\"\nto = \"2s\"\npart = 2\n\
             [[check]]\nname = \"c\"\nfigure = \"luck\"\narm = \"none\"\n"
    );
    assert_eq!(diagnostics(&text).len(), 6, "{:?}", diagnostics(&text));
}

#[test]
fn minimal_experiment_has_one_arm_and_defaults() {
    let experiment = Experiment::parse(MINIMAL).unwrap();
    assert_eq!(experiment.arms().keys().collect::<Vec<_>>(), ["walkpick"]);
    assert_eq!(experiment.deployment.servers, 12);
}

#[test]
fn relative_check_requires_two_different_arms_of_the_experiment() {
    let check = |lines: &str| {
        format!("{MINIMAL}[arm.walkpick]\n[arm.calm]\n[[check]]\nname = \"c\"\nfigure = \"served\"\nat_least = 1\n{lines}")
    };
    assert!(Experiment::parse(&check("arm = \"walkpick\"\nrelative_to = \"calm\"\n")).is_ok());
    let unknown = diagnostics(&check("arm = \"walkpick\"\nrelative_to = \"clam\"\n"));
    assert_eq!(unknown, ["check 1: relative_to: found \"clam\", expected one of calm, walkpick"]);
    let itself = diagnostics(&check("arm = \"calm\"\nrelative_to = \"calm\"\n"));
    assert_eq!(itself, ["check 1: arm: found \"calm\", expected an arm other than that of relative_to"]);
    let each = diagnostics(&check("relative_to = \"calm\"\n"));
    assert_eq!(each, ["check 1: arm: found no arm, expected an arm other than that of relative_to"]);
}
