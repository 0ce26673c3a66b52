//! Command-line interface of the lab, in simulated time.

mod common;

use common::folder::Folder;
use common::LAB;
use serde_json::Value;
use std::process::{Command, Output};

fn lab(arguments: &[&str]) -> Output {
    Command::new(LAB).args(arguments).output().unwrap()
}

fn out(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

const SMALL: &str = "name = \"small\"\nabout = \"a <test>\"\nlead = \"1s\"\nlength = \"5s\"\n\
    [deployment]\nnodes = 3\nservers = 4\nmemory = 50\n\
    [[fault]]\nwhat = \"node-paused\"\nfrom = \"1s\"\nto = \"3s\"\npart = 0.34\n\
    [arm.walkpick]\n[arm.top]\npolicy = \"top\"\n\
    [[check]]\nname = \"c\"\nfigure = \"served\"\nat_least = 0.1\n";

#[test]
fn run_writes_json_and_report_and_replays_identically() {
    let folder = Folder::new("replay");
    let path = |name: &str| folder.0.join(name).display().to_string();
    std::fs::write(path("small.toml"), SMALL).unwrap();
    let ran = lab(&["run", &path("small.toml"), "--json", &path("out.json"), "--report", &path("report")]);
    assert_eq!(ran.status.code(), Some(0), "{}", out(&ran));
    let page = std::fs::read_to_string(path("report/small.html")).unwrap();
    assert_eq!(page.matches("<svg").count(), 8, "six plots over time, and one node timeline for each arm");
    assert!(page.contains("a &lt;test&gt;") && page.contains("standing still"));
    assert!(
        !page.contains("http://") || page.contains("http://www.w3.org/2000/svg"),
        "the page must not load remote resources"
    );
    let replayed = lab(&["replay", &path("out.json")]);
    assert_eq!(replayed.status.code(), Some(0), "{}", out(&replayed));
    assert_eq!(out(&replayed).matches("the same to the byte").count(), 2);
    // A result file with a changed figure is detected.
    let mut written: Value =
        serde_json::from_str(&std::fs::read_to_string(path("out.json")).unwrap()).unwrap();
    written["runs"][0]["figures"]["served"] = 2.into();
    std::fs::write(path("other.json"), written.to_string()).unwrap();
    let replayed = lab(&["replay", &path("other.json")]);
    assert_eq!(replayed.status.code(), Some(1), "{}", out(&replayed));
    assert!(out(&replayed).contains("another served"));
}

#[test]
fn init_writes_a_valid_template_and_never_overwrites_a_file() {
    let folder = Folder::new("init");
    let path = folder.0.join("mine.toml").display().to_string();
    assert_eq!(lab(&["init", &path]).status.code(), Some(0));
    assert_eq!(lab(&["explain", &path]).status.code(), Some(0));
    let again = lab(&["init", &path]);
    assert_eq!(again.status.code(), Some(2));
    assert!(out(&again).contains("cannot be written"), "{}", out(&again));
}

#[test]
fn invalid_input_is_reported_with_its_location_and_exits_with_2() {
    let folder = Folder::new("bad");
    let path = folder.0.join("bad.json").display().to_string();
    std::fs::write(&path, "{\n\"experiment\": 3}").unwrap();
    let replayed = lab(&["replay", &path]);
    assert_eq!(replayed.status.code(), Some(2), "{}", out(&replayed));
    assert!(out(&replayed).contains("line 2"), "{}", out(&replayed));
    let missing = lab(&["run", "no/such/file.toml"]);
    assert_eq!(missing.status.code(), Some(2), "{}", out(&missing));
}

#[test]
fn scale_experiment_is_run_explained_and_listed_and_invalid_keys_are_reported() {
    let folder = Folder::new("scale");
    let path = |name: &str| folder.0.join(name).display().to_string();
    let text = "name = \"tiny\"\nabout = \"a few peers at rest\"\n\
        [membership]\ncases = [\"rest\"]\nnodes = [4]\nsettle = \"1s\"\nrest = \"6s\"\n\
        [[check]]\nname = \"quiet\"\nfigure = \"bytes_per_s\"\nat_most = 1000\n";
    std::fs::write(path("tiny.toml"), text).unwrap();
    let ran = lab(&["run", &path("tiny.toml"), "--seeds", "2", "--json", &path("out.json")]);
    assert_eq!(ran.status.code(), Some(0), "{}", out(&ran));
    assert_eq!(out(&ran).matches(": holds").count(), 2, "{}", out(&ran));
    let written: Value = serde_json::from_str(&std::fs::read_to_string(path("out.json")).unwrap()).unwrap();
    assert_eq!(written["runs"].as_array().map(Vec::len), Some(2));
    assert_eq!(written["settings"]["loss"][0], 0.0, "default values are written too");
    let explained = lab(&["explain", &path("tiny.toml")]);
    assert!(out(&explained).contains("settle = \"1s\"") && out(&explained).contains("peak_bytes_per_s"));
    assert!(out(&lab(&["list", &folder.0.display().to_string()]))
        .contains("tiny                     a few peers"));
    // A failed check exits with 1, an invalid experiment with 2.
    std::fs::write(path("tiny.toml"), text.replace("at_most = 1000", "at_most = 1")).unwrap();
    let ran = lab(&["run", &path("tiny.toml")]);
    assert_eq!(ran.status.code(), Some(1), "{}", out(&ran));
    assert!(out(&ran).contains("FALLS SHORT"), "{}", out(&ran));
    std::fs::write(path("tiny.toml"), text.replace("nodes = [4]", "nodes = [1]\nsize = 3")).unwrap();
    let ran = lab(&["run", &path("tiny.toml")]);
    assert_eq!(ran.status.code(), Some(2), "{}", out(&ran));
    for part in ["tiny.toml: membership: size: found an unknown key", "nodes: found 1, expected 2 to 20000"] {
        assert!(out(&ran).contains(part), "{}", out(&ran));
    }
}

#[test]
fn membership_cases_produce_series_and_a_table_and_inapplicable_cases_are_rejected() {
    let folder = Folder::new("membership");
    let path = folder.0.join("series.json").display().to_string();
    let few = ["--nodes", "4,8", "--settle", "1s", "--rest", "6s", "--loss", "0,0.05"];
    let arguments = [&["membership", "--series", &path, "--case", "rest,split"], &few[..]].concat();
    let ran = lab(&arguments);
    assert_eq!(ran.status.code(), Some(0), "{}", out(&ran));
    assert_eq!(out(&ran).lines().filter(|line| line.trim_start().starts_with("rest")).count(), 4);
    let all: Value = serde_json::from_str(&std::fs::read_to_string(&path).unwrap()).unwrap();
    let of = |name: &str| all.as_array().unwrap().iter().find(|series| series["name"] == name);
    for name in ["bytes_per_second.rest", "bytes_per_second.rest.loss-5-percent", "memory_per_member"] {
        let series = of(&format!("membership.{name}")).unwrap_or_else(|| panic!("no {name} in {all:#}"));
        assert_eq!(series["points"].as_array().map(Vec::len), Some(2), "{name}");
        assert!(series["command"].as_str().unwrap().starts_with("walkpick-lab membership --series"));
    }
    let refused = lab(&["membership", "--case", "region-cut", "--nodes", "66"]);
    assert_eq!(refused.status.code(), Some(2), "{}", out(&refused));
    assert!(out(&refused).contains("region-cut: found 66 nodes, expected 132 or more"), "{}", out(&refused));
    let refused = lab(&["membership", "--nodes", "1"]);
    assert_eq!(refused.status.code(), Some(2), "{}", out(&refused));
}
