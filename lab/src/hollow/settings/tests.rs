use super::*;

const HEAD: &str = "name = \"n\"\nabout = \"a\"\n[hollow]\n";

#[test]
fn a_file_has_a_default_for_all_that_it_does_not_say() {
    let read = HollowExperiment::parse(&format!("{HEAD}nodes = [66]\n[[hollow.fault]]\nwhat = \"zone\"\n"));
    let read = read.unwrap();
    assert_eq!(read.hollow.nodes, [66]);
    assert_eq!(read.hollow.processes, 16);
    assert_eq!(read.hollow.fault[0].lasts, Duration::from_secs(12));
}

#[test]
fn every_value_that_is_wrong_is_told_with_its_place_at_once() {
    let text = format!(
        "{HEAD}nodes = [1]\nprocesses = 17\ncomplete = 1000\nloss = []\nrest = \"0s\"\n\
         [hollow.map]\nregions = 0\nzones = 0\nfarthest = \"20s\"\n\
         [[hollow.fault]]\nwhat = \"kill\"\nlasts = \"1ms\"\n[[hollow.fault]]\nwhat = \"kill\"\n\
         [[check]]\nname = \"c\"\nfigure = \"no_such\"\n"
    );
    let wrong = HollowExperiment::parse(&text).unwrap_err();
    let places: Vec<_> = wrong.iter().map(|wrong| wrong.place.as_str()).collect();
    assert_eq!(
        places,
        [
            "hollow.nodes",
            "hollow.processes",
            "hollow.complete",
            "hollow.loss",
            "hollow.rest",
            "hollow.map.regions",
            "hollow.map.zones",
            "hollow.map.farthest",
            "hollow.fault 1: lasts",
            "hollow.fault 2: what",
            "check 1: figure",
            "check 1: bound"
        ]
    );
    assert!(wrong.iter().all(|wrong| wrong.what.starts_with("found ") && wrong.what.contains("expected")));
}

#[test]
fn what_is_no_such_file_is_told_with_its_line() {
    let wrong = HollowExperiment::parse(&format!("{HEAD}nodes = [66]\nprocesse = 3\n")).unwrap_err();
    assert_eq!(wrong[0].place, "line 5");
}

#[test]
fn a_figure_that_was_not_reached_holds_no_check() {
    let check = Check { name: "c".into(), figure: "met_s".into(), at_least: Some(1.0), at_most: Some(2.0) };
    assert_eq!(
        [Some(1.5), Some(0.5), Some(2.5), None].map(|value| check.holds(value)),
        [true, false, false, false]
    );
    assert_eq!(check.bound(), "at least 1 and at most 2");
}
