//! `walkpick check-config` reports all errors of a configuration at once, in plain language and without a panic.

mod node_common;

use node_common::{command, config, host_entry, write_config};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::Output;

fn valid_config() -> Value {
    let mut config = config("10.2.0.1:8500".parse().unwrap());
    config["known"]["hosts"] = vec![host_entry("s-1", "10.1.0.18:7070".parse().unwrap(), "ready")].into();
    config
}

fn check(path: &Path, more: &[&str]) -> Output {
    let output = command().arg("check-config").args(more).arg(path).output().unwrap();
    let error = String::from_utf8(output.stderr.clone()).unwrap();
    assert!(!error.contains("panicked"), "{error}");
    output
}

/// The errors reported for a file with this content: one line each, without the file name.
fn errors_of(bytes: &[u8]) -> Vec<String> {
    let path = write_config("");
    std::fs::write(&path, bytes).unwrap();
    let output = check(&path, &[]);
    assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0), "{output:?}");
    let name = format!("{}: ", path.display());
    let lines = String::from_utf8(output.stderr).unwrap();
    let lines = lines.lines().map(|line| line.strip_prefix(&name).expect("the file's name").to_owned());
    let lines = lines.collect();
    std::fs::remove_file(path).unwrap();
    lines
}

fn errors_of_config(config: &Value) -> Vec<String> {
    errors_of(config.to_string().as_bytes())
}

#[test]
fn a_text_that_is_not_a_json_object_is_reported_with_the_position_of_the_error() {
    let empty_file = ["the file: found nothing, expected a JSON object"];
    assert_eq!(errors_of(b""), empty_file);
    assert_eq!(errors_of(b" \n\t"), empty_file);
    assert_eq!(
        errors_of(b"{\"name\":\n  \"n3\","),
        ["line 2, column 7: found the end of the text, expected a complete JSON object"]
    );
    assert_eq!(errors_of(b"{\"name\":\"\xff\"}"), ["byte 9: found invalid UTF-8, expected UTF-8 text"]);
    assert_eq!(errors_of(b"[1]"), ["the file: found a list of 1, expected a JSON object"]);
    assert_eq!(errors_of(b"{} {}").len(), 1);
    // Nested deeper than any parser allows.
    assert_eq!(errors_of("[".repeat(100_000).as_bytes()).len(), 1);
}

#[test]
fn wrong_types_in_several_places_are_reported_at_once() {
    let mut wrong = valid_config();
    wrong["listen"] = 7070.into();
    wrong["limits"]["sockets"] = "many".into();
    wrong["settings"]["lanes"][1]["promise_us"] = "soon".into();
    wrong["settings"]["limits"]["cancelling"] = "perhaps".into();
    wrong["known"] = 3.into();
    wrong["walkpick"] = json!({"log": {"window": 250}});
    assert_eq!(
        errors_of_config(&wrong),
        [
            "listen: found 7070, expected an address and port such as 10.0.0.4:7070",
            "limits.sockets: found \"many\", expected a whole number of at least 32: the node needs that many descriptors",
            "known: found 3, expected a server list as discovery sends it, with `seq`, `whole` and `hosts`",
            "settings.lanes.1.promise_us: found \"soon\", expected a whole number of microseconds",
            "settings.limits.cancelling: found \"perhaps\", expected true or false",
            "walkpick.log.window: found 250, expected a duration from `100ms` to `1h`",
        ]
    );
}

#[test]
fn invalid_peer_settings_are_reported_with_their_path() {
    let mut wrong = valid_config();
    wrong["walkpick"] = json!({"peers": {"cluster": "", "seeds": ["10.0.0.1:7946", "nowhere"]}});
    assert_eq!(
        errors_of_config(&wrong),
        [
            "walkpick.peers.cluster: found \"\", expected a string of 1 to 32 bytes",
            "walkpick.peers.seeds[1]: found \"nowhere\", expected an address and port",
        ]
    );
    wrong["walkpick"] = json!({"peers": {"probe_every": "200ms"}});
    assert_eq!(
        errors_of_config(&wrong),
        [
            "walkpick.peers.listen: found nothing, expected an address and port, since `walkpick.peers` is set",
            "walkpick.peers.probe_timeout: found 180ms, expected at most half of `peers.probe_every`",
        ]
    );
}

#[test]
fn unknown_names_are_errors_in_the_walkpick_section_and_ignored_elsewhere() {
    let mut invalid = valid_config();
    invalid["region"] = "central".into();
    invalid["settings"]["new_one"] = 1.into();
    invalid["walkpick"] = json!({"log": {"formatt": "json"}, "states": {}});
    assert_eq!(
        errors_of_config(&invalid),
        [
            "walkpick.log.formatt: found an unknown key, expected a known key: did you mean `format`?",
            "walkpick.states: found an unknown key, expected one of the keys log, peers",
        ]
    );
}

#[test]
fn negative_and_extreme_times_are_reported() {
    let mut invalid = valid_config();
    invalid["settings"]["lanes"][0]["hard_limit_us"] = (-5).into();
    invalid["settings"]["limits"]["keepalive_us"] = json!(1e300);
    invalid["walkpick"] = json!({"log": {"window": "-1s"}});
    assert_eq!(
        errors_of_config(&invalid),
        [
            "settings.lanes.0.hard_limit_us: found \"-5\", expected a whole number of microseconds",
            "settings.limits.keepalive_us: found \"1e+300\", expected a whole number of microseconds",
            "walkpick.log.window: found \"-1s\", expected a duration from `100ms` to `1h`",
        ]
    );
    invalid["settings"]["lanes"][0]["hard_limit_us"] = 1_000_000.into();
    invalid["settings"]["limits"]["keepalive_us"] = 60_000_000.into();
    for window in ["0s", "99ms", "3 weeks", "99999999999999999999years", "", "1"] {
        invalid["walkpick"]["log"]["window"] = window.into();
        assert_eq!(errors_of_config(&invalid).len(), 1, "{window}");
    }
    // An extreme value in the settings of the platform is accepted, with a warning.
    let mut extreme = valid_config();
    extreme["settings"]["lanes"][0]["hard_limit_us"] = u64::MAX.into();
    let path = write_config(&extreme.to_string());
    let output = check(&path, &[]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    assert!(text.contains("settings.lanes.0.hard_limit_us is over a day"), "{text}");
    std::fs::remove_file(path).unwrap();
}

#[test]
fn too_few_sockets_are_reported() {
    for sockets in [json!(0), json!(31), json!(-1), json!(1.5), Value::Null] {
        let mut few = valid_config();
        few["limits"]["sockets"] = sockets.clone();
        let errors = errors_of_config(&few);
        assert_eq!(errors.len(), 1, "{errors:?}");
        assert!(errors[0].starts_with("limits.sockets: found "), "{errors:?}");
    }
}

#[test]
fn an_invalid_memory_limit_is_reported() {
    for memory in [json!(0), json!(-32), json!("32"), Value::Null] {
        let mut wrong = valid_config();
        wrong["limits"]["memory_mb"] = memory;
        let errors = errors_of_config(&wrong);
        assert_eq!(errors.len(), 1, "{errors:?}");
        assert!(errors[0].starts_with("limits.memory_mb: found "), "{errors:?}");
    }
}

#[test]
fn a_path_that_is_not_a_file_is_reported() {
    for path in [std::env::temp_dir(), PathBuf::from("no/such/file.json")] {
        let output = check(&path, &[]);
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), error.lines().count()), (Some(2), 1), "{error}");
        assert!(error.contains("cannot be read"), "{error}");
    }
}

#[test]
fn a_valid_configuration_is_shown_as_the_plan_of_a_node() {
    let path = write_config(&valid_config().to_string());
    let text = String::from_utf8(check(&path, &[]).stdout).unwrap();
    for part in [
        "n0",
        "127.0.0.1:0",
        "10.2.0.1:8500",
        "500 connections",
        "192 MiB",
        "48 MiB",
        "1 cache servers",
        "never runs twice",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
    let shown: Value = serde_json::from_slice(&check(&path, &["--json"]).stdout).unwrap();
    assert_eq!((&shown["ok"], &shown["plan"]["stop"]["gone"]), (&true.into(), &"3s 650ms".into()));
    std::fs::write(&path, "{}").unwrap();
    let output = check(&path, &["--json"]);
    let shown: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(shown["faults"].as_array().unwrap().len(), 6, "{shown}");
    std::fs::remove_file(path).unwrap();
}

#[test]
fn unknown_command_line_arguments_are_rejected() {
    for arguments in [&["nodes"][..], &["check-config"], &["--frobnicate"]] {
        let output = command().args(arguments).output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
    }
    let version = command().arg("--version").output().unwrap();
    assert_eq!(version.stdout, format!("walkpick {}\n", env!("CARGO_PKG_VERSION")).as_bytes());
}
