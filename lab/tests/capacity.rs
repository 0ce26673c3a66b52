//! Tests of the command `walkpick-lab capacity` and of the shipped page.

mod common;

use common::folder::Folder;
use common::LAB;
use std::path::Path;
use std::process::{Command, Output};
use walkpick_lab::slopes::SlopesFile;

const PLAN: &str = "deploy/plans/fleet-ahead.toml";
const SLOPES: &str = "docs/slopes.json";
const PAGE: &str = "docs/CAPACITY.md";

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap()
}

fn capacity(arguments: &[&str]) -> Output {
    let mut command = Command::new(LAB);
    command.current_dir(root()).arg("capacity").args(arguments).output().unwrap()
}

fn out(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

#[test]
fn shipped_page_matches_the_shipped_plan_and_slopes() {
    let checked = capacity(&[PLAN, "--slopes", SLOPES, "--check", PAGE]);
    assert_eq!(checked.status.code(), Some(0), "{}", out(&checked));
    let text = std::fs::read_to_string(root().join(SLOPES)).unwrap();
    let slopes = SlopesFile::load(&root().join(SLOPES)).unwrap();
    assert_eq!(slopes.render().unwrap(), text, "the fits in the slopes file match its points");
}

#[test]
fn check_lists_differing_lines_and_exits_with_1() {
    let folder = Folder::new("differs");
    let page = std::fs::read_to_string(root().join(PAGE)).unwrap();
    let line = "| of a cache server | 3,636 |";
    assert!(page.contains(line));
    std::fs::write(folder.path("page.md"), page.replace(line, "| of a cache server | 3,000 |")).unwrap();
    let checked = capacity(&[PLAN, "--check", &folder.path("page.md")]);
    assert_eq!(checked.status.code(), Some(1), "{}", out(&checked));
    assert_eq!(out(&checked).lines().count(), 2, "{}", out(&checked));
    assert!(out(&checked).contains(": the page has      | of a cache server | 3,000 |"), "{}", out(&checked));
    assert!(out(&checked).contains("not on the page: | of a cache server | 3,636 |"), "{}", out(&checked));
    let written = capacity(&[PLAN, "--write", &folder.path("page.md")]);
    assert_eq!(written.status.code(), Some(0), "{}", out(&written));
    assert_eq!(std::fs::read_to_string(folder.path("page.md")).unwrap(), page);
}

#[test]
fn tables_follow_the_number_of_nodes_of_the_plan() {
    let folder = Folder::new("other");
    let plan = std::fs::read_to_string(root().join(PLAN)).unwrap();
    std::fs::write(folder.path("2000.toml"), plan.replace("nodes = 530", "nodes = 2_000")).unwrap();
    let shown = capacity(&[&folder.path("2000.toml"), "--slopes", SLOPES]);
    let text = out(&shown);
    assert_eq!(shown.status.code(), Some(0), "{text}");
    assert!(text.contains("| requests a second of a node | 200 |"), "{text}");
    assert!(text.contains("connections: 2,000 (ordinary day) of 1,800 | 1.11 | 1,801, passed |"), "{text}");
}

#[test]
fn invalid_input_files_are_reported_and_exit_with_2() {
    let folder = Folder::new("bad");
    let plan = std::fs::read_to_string(root().join(PLAN)).unwrap();
    let bad = plan.replace("nodes = 530", "nodes = 0").replace("zones = 19", "zone = 19");
    std::fs::write(folder.path("bad.toml"), bad).unwrap();
    let shown = capacity(&[&folder.path("bad.toml")]);
    assert_eq!(shown.status.code(), Some(2), "{}", out(&shown));
    for expected in
        ["bad.toml: line ", "fleet.nodes: found 0", "fleet.zone: found a name", "fleet.zones: found nothing"]
    {
        assert!(out(&shown).contains(expected), "{expected}: {}", out(&shown));
    }
    std::fs::write(folder.path("bad.json"), "{\"series\": [{}]}").unwrap();
    let bad_slopes = [PLAN, "--slopes", &folder.path("bad.json")];
    let no_plan = ["no/such/plan.toml"];
    let no_markers = [PLAN, "--check", "README.md"];
    for arguments in [&bad_slopes[..], &no_plan, &no_markers] {
        let shown = capacity(arguments);
        assert_eq!(shown.status.code(), Some(2), "{}", out(&shown));
    }
}

#[test]
fn plot_is_written_as_svg() {
    let folder = Folder::new("plot");
    let drawn = capacity(&[PLAN, "--plot", &folder.path("need.svg")]);
    assert_eq!(drawn.status.code(), Some(0), "{}", out(&drawn));
    assert!(std::fs::read_to_string(folder.path("need.svg")).unwrap().contains("<svg"));
}
