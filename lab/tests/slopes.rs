//! Tests of the command `walkpick-lab slopes`.

mod common;

use common::folder::Folder;
use common::LAB;
use std::process::{Command, Output};

fn lab(arguments: &[&str]) -> Output {
    Command::new(LAB).args(arguments).output().unwrap()
}

fn out(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

fn one_series(name: &str, slope: f64) -> String {
    let point = |size: u32| {
        format!("{{\"size\": {size}, \"value\": {}, \"seed\": 7}}", 10.0 + slope * f64::from(size))
    };
    let points = [66, 132, 265, 530].map(point).join(", ");
    format!(
        "[{{\"name\": \"{name}\", \"unit\": \"B/s\", \"against\": \"nodes\", \"method\": \"simulated\", \
         \"command\": \"walkpick-lab x\", \"points\": [{points}]}}]"
    )
}

#[test]
fn added_series_are_stamped_replaced_and_shown() {
    let folder = Folder::new("add");
    let slopes = folder.path("slopes.json");
    std::fs::write(folder.path("a.json"), one_series("a", 1.0)).unwrap();
    std::fs::write(folder.path("b.json"), one_series("b", 2.0)).unwrap();
    let added = lab(&["slopes", "add", "--to", &slopes, &folder.path("a.json"), &folder.path("b.json")]);
    assert_eq!(added.status.code(), Some(0), "{}", out(&added));
    std::fs::write(folder.path("b.json"), one_series("b", 3.0)).unwrap();
    let added = lab(&["slopes", "add", "--to", &slopes, "--commit", "abc", &folder.path("b.json")]);
    assert_eq!(added.status.code(), Some(0), "{}", out(&added));
    let shown = lab(&["slopes", "show", &slopes]);
    let text = out(&shown);
    assert_eq!(shown.status.code(), Some(0), "{text}");
    assert!(text.contains("a (simulated), B/s against nodes"), "{text}");
    assert!(text.contains("  10 + 1 x size\n"), "{text}");
    assert!(text.contains("  10 + 3 x size\n") && !text.contains("2 x size"), "{text}");
    assert!(text.contains("cores, commit abc"), "{text}");
    let json: serde_json::Value = serde_json::from_str(&std::fs::read_to_string(&slopes).unwrap()).unwrap();
    let date = json["series"][1]["date"].as_str().unwrap();
    assert!(humantime::parse_rfc3339(date).is_ok(), "{date}");
}

#[test]
fn invalid_series_leave_the_slopes_file_unchanged_and_exit_with_2() {
    let folder = Folder::new("bad");
    let slopes = folder.path("slopes.json");
    std::fs::write(folder.path("a.json"), one_series("a", 1.0)).unwrap();
    assert_eq!(lab(&["slopes", "add", "--to", &slopes, &folder.path("a.json")]).status.code(), Some(0));
    let before = std::fs::read_to_string(&slopes).unwrap();
    let bad = one_series("c", 1.0).replace("\"size\": 530, \"value\": 540", "\"size\": 530, \"value\": null");
    std::fs::write(folder.path("bad.json"), bad).unwrap();
    std::fs::write(folder.path("torn.json"), "[").unwrap();
    let files = [folder.path("bad.json"), folder.path("torn.json"), folder.path("missing.json")];
    let added = lab(&["slopes", "add", "--to", &slopes, &files[0], &files[1], &files[2]]);
    assert_eq!(added.status.code(), Some(2), "{}", out(&added));
    for named in ["bad.json: [0].points[3].value", "torn.json: line 1", "missing.json: cannot be read"] {
        assert!(out(&added).contains(named), "{named}: {}", out(&added));
    }
    assert_eq!(std::fs::read_to_string(&slopes).unwrap(), before);
    assert_eq!(lab(&["slopes", "show", &folder.path("missing.json")]).status.code(), Some(2));
}
