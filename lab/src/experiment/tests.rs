use super::*;

const SMALL: &str = "name = \"x\"\nabout = \"y\"\nlength = \"10s\"\n";

fn said(text: &str) -> Vec<String> {
    Experiment::parse(text).unwrap_err().iter().map(Fault::to_string).collect()
}

#[test]
fn a_text_that_is_no_experiment_is_told_with_its_line() {
    assert!(said("name = \"x\"\nabout = 3\n")[0].starts_with("line 2: "));
    assert!(said(&format!("{SMALL}[load]\nshare = 0.5\nshar = 1\n"))[0].starts_with("line 6: unknown field"));
    assert!(said("")[0].contains("missing field"));
    assert!(said(&format!("{SMALL}[[fault]]\nwhat = \"melts\"\nfrom = \"1s\"\nto = \"2s\"\n"))[0]
        .contains("unknown variant `melts`"));
}

#[test]
fn what_makes_no_sense_is_told_all_at_once() {
    let text = format!(
            "{SMALL}[load]\nshare = -1\n[[fault]]\nwhat = \"server-slow\"\nfrom = \"5s\"\nto = \"2s\"\npart = 2\n\
             [[check]]\nname = \"c\"\nfigure = \"luck\"\narm = \"none\"\n"
        );
    assert_eq!(said(&text).len(), 6, "{:?}", said(&text));
}

#[test]
fn a_small_experiment_has_one_arm_and_defaults() {
    let read = Experiment::parse(SMALL).unwrap();
    assert_eq!(read.arms().keys().collect::<Vec<_>>(), ["walkpick"]);
    assert_eq!(read.deployment.servers, 12);
}

#[test]
fn a_check_that_compares_names_two_arms_that_are_there() {
    let check = |lines: &str| {
        format!("{SMALL}[arm.walkpick]\n[arm.calm]\n[[check]]\nname = \"c\"\nfigure = \"served\"\nat_least = 1\n{lines}")
    };
    assert!(Experiment::parse(&check("arm = \"walkpick\"\nrelative_to = \"calm\"\n")).is_ok());
    let unknown = said(&check("arm = \"walkpick\"\nrelative_to = \"clam\"\n"));
    assert_eq!(unknown, ["check 1: relative_to: found \"clam\", expected one of calm, walkpick"]);
    let itself = said(&check("arm = \"calm\"\nrelative_to = \"calm\"\n"));
    assert_eq!(itself, ["check 1: arm: found \"calm\", expected an arm other than that of relative_to"]);
    let each = said(&check("relative_to = \"calm\"\n"));
    assert_eq!(each, ["check 1: arm: found no arm, expected an arm other than that of relative_to"]);
}
