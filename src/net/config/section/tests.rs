use super::*;
use serde_json::json;

fn faults_of(section: Value) -> Vec<String> {
    let mut faults = Vec::new();
    read(Some(&section), &mut faults);
    faults.iter().map(Fault::to_string).collect()
}

/// Leaves of a value by path; an object that is an item itself is a leaf.
fn collect_leaves(path: &str, value: &Value, found: &mut BTreeMap<String, Value>) {
    match value.as_object() {
        Some(fields) if !OPTIONS.iter().any(|item| item.path == path) => {
            for (name, value) in fields {
                let child_path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                collect_leaves(&child_path, value, found);
            }
        }
        _ => drop(found.insert(path.to_owned(), value.clone())),
    }
}

#[test]
fn declared_options_match_the_config_types_and_their_defaults() {
    let mut typed = BTreeMap::new();
    collect_leaves("", &serde_json::to_value(Section::default()).unwrap(), &mut typed);
    let declared = OPTIONS.iter();
    let declared = declared.map(|item| (item.path.to_owned(), serde_json::from_str(item.default).unwrap()));
    assert_eq!(declared.collect::<BTreeMap<_, Value>>(), typed);
}

#[test]
fn the_reference_page_lists_exactly_the_declared_options() {
    let page = include_str!("../../../../docs/configuration.md");
    let rows = page.lines().filter(|line| line.starts_with("| `walkpick."));
    let declared = OPTIONS.iter().map(|item| {
        let (path, expected, description) = (item.path, item.kind.expected(), item.description);
        format!("| `walkpick.{path}` | {expected} | `{}` | {description} |", item.default)
    });
    let declared: Vec<_> = declared.collect();
    assert_eq!(rows.collect::<Vec<_>>(), declared, "docs/configuration.md");
}

#[test]
fn missing_options_take_their_defaults() {
    let mut faults = Vec::new();
    let section = json!({"log": {"format": "json", "levels": {"request": "off"}, "window": "250ms"}});
    let log = read(Some(&section), &mut faults).log;
    assert_eq!((log.format, log.level, log.like_lines), (LogFormat::Json, LogLevel::Info, 100));
    assert_eq!((log.window, log.levels["request"]), (Duration::from_millis(250), LogLevel::Off));
    assert_eq!(faults, []);
}

#[test]
fn all_faults_of_a_section_are_reported_at_once() {
    let section = json!({"log": {"levle": "info", "like_lines": -3, "window": "-1s",
                                     "levels": {"polcy": "info", "request": "loud"}}, "zzz": 1});
    assert_eq!(
        faults_of(section),
        [
            "walkpick.log.levels.polcy: found an unknown key, expected a known key: did you mean `policy`?",
            "walkpick.log.levels.request: found \"loud\", expected one of `off`, `error`, `warn`, `info`, \
                 `debug`, `trace`",
            "walkpick.log.levle: found an unknown key, expected a known key: did you mean `level`?",
            "walkpick.log.like_lines: found -3, expected a whole number from 1 to 1000000",
            "walkpick.log.window: found \"-1s\", expected a duration from `100ms` to `1h`",
            "walkpick.zzz: found an unknown key, expected one of the keys log, peers",
        ]
    );
    assert_eq!(faults_of(json!(7)), ["walkpick: found 7, expected an object"]);
    assert_eq!(faults_of(json!({"log": {"window": "900000000000000000000000years"}})).len(), 1);
}

#[test]
fn a_location_with_missing_parts_leaves_them_empty() {
    let mut faults = Vec::new();
    let section = json!({"peers": {"listen": "127.0.0.1:7946", "region": "eu", "site": "p4"}});
    let location = read(Some(&section), &mut faults).peers.location();
    let expected = Location { region: "eu".to_owned(), zone: String::new(), site: "p4".to_owned() };
    assert_eq!((location, &faults[..]), (expected, &[][..]));
    assert_eq!(
        faults_of(json!({"peers": {"listen": "127.0.0.1:7946", "zone": "more than sixteen bytes"}})),
        ["walkpick.peers.zone: found \"more than sixteen bytes\", expected a string of 1 to 16 bytes"]
    );
}
