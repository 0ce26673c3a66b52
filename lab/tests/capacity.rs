//! `walkpick-lab capacity` as a program, and the page that is shipped.

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
fn the_shipped_page_agrees_with_the_shipped_plan_and_slopes() {
    let checked = capacity(&[PLAN, "--slopes", SLOPES, "--check", PAGE]);
    assert_eq!(checked.status.code(), Some(0), "{}", out(&checked));
    let text = std::fs::read_to_string(root().join(SLOPES)).unwrap();
    let slopes = SlopesFile::load(&root().join(SLOPES)).unwrap();
    assert_eq!(slopes.render().unwrap(), text, "the fits of the slopes file are those of its points");
}

#[test]
fn a_page_that_differs_is_told_line_by_line_and_ends_with_1() {
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
fn another_plan_gives_another_table() {
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
fn bad_plans_and_slopes_are_told_with_every_fault_and_end_with_2() {
    let folder = Folder::new("bad");
    let plan = std::fs::read_to_string(root().join(PLAN)).unwrap();
    let bad = plan.replace("nodes = 530", "nodes = 0").replace("zones = 19", "zone = 19");
    std::fs::write(folder.path("bad.toml"), bad).unwrap();
    let shown = capacity(&[&folder.path("bad.toml")]);
    assert_eq!(shown.status.code(), Some(2), "{}", out(&shown));
    for told in
        ["bad.toml: line ", "fleet.nodes: found 0", "fleet.zone: found a name", "fleet.zones: found nothing"]
    {
        assert!(out(&shown).contains(told), "{told}: {}", out(&shown));
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
fn the_plot_is_written() {
    let folder = Folder::new("plot");
    let drawn = capacity(&[PLAN, "--plot", &folder.path("need.svg")]);
    assert_eq!(drawn.status.code(), Some(0), "{}", out(&drawn));
    assert!(std::fs::read_to_string(folder.path("need.svg")).unwrap().contains("<svg"));
}
