//! `walkpick check-config`: everything that is wrong at once, in plain words, and no panic.

mod node_common;

use node_common::{command, config, host, write_config};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::Output;

fn good() -> Value {
    let mut good = config("10.2.0.1:8500".parse().unwrap());
    good["known"]["hosts"] = vec![host("s-1", "10.1.0.18:7070".parse().unwrap(), "ready")].into();
    good
}

fn check(path: &Path, more: &[&str]) -> Output {
    let output = command().arg("check-config").args(more).arg(path).output().unwrap();
    let error = String::from_utf8(output.stderr.clone()).unwrap();
    assert!(!error.contains("panicked"), "{error}");
    output
}

/// What is said of a file of these bytes: one line a fault, without the file's name.
fn said_of(bytes: &[u8]) -> Vec<String> {
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

fn said_of_config(config: &Value) -> Vec<String> {
    said_of(config.to_string().as_bytes())
}

#[test]
fn a_text_that_is_no_object_is_told_with_the_place_that_breaks_it() {
    let whole = ["the file: found nothing, expected a JSON object"];
    assert_eq!(said_of(b""), whole);
    assert_eq!(said_of(b" \n\t"), whole);
    assert_eq!(
        said_of(b"{\"name\":\n  \"n3\","),
        ["line 2, column 7: found the end of the text, expected a complete JSON object"]
    );
    assert_eq!(said_of(b"{\"name\":\"\xff\"}"), ["byte 9: found invalid UTF-8, expected UTF-8 text"]);
    assert_eq!(said_of(b"[1]"), ["the file: found a list of 1, expected a JSON object"]);
    assert_eq!(said_of(b"{} {}").len(), 1);
    // Deeper than any reader goes.
    assert_eq!(said_of("[".repeat(100_000).as_bytes()).len(), 1);
}

#[test]
fn wrong_types_in_several_places_are_told_at_once() {
    let mut wrong = good();
    wrong["listen"] = 7070.into();
    wrong["limits"]["sockets"] = "many".into();
    wrong["settings"]["lanes"][1]["promise_us"] = "soon".into();
    wrong["settings"]["limits"]["cancelling"] = "perhaps".into();
    wrong["known"] = 3.into();
    wrong["walkpick"] = json!({"log": {"window": 250}});
    assert_eq!(
        said_of_config(&wrong),
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
fn peers_that_nobody_can_meet_are_refused_with_the_place() {
    let mut wrong = good();
    wrong["walkpick"] = json!({"peers": {"cluster": "", "seeds": ["10.0.0.1:7946", "nowhere"]}});
    assert_eq!(
        said_of_config(&wrong),
        [
            "walkpick.peers.cluster: found \"\", expected a string of 1 to 32 bytes",
            "walkpick.peers.seeds[1]: found \"nowhere\", expected an address and port",
        ]
    );
    wrong["walkpick"] = json!({"peers": {"probe_every": "200ms"}});
    assert_eq!(
        said_of_config(&wrong),
        [
            "walkpick.peers.listen: found nothing, expected an address and port, since `walkpick.peers` is set",
            "walkpick.peers.probe_timeout: found 180ms, expected at most half of `peers.probe_every`",
        ]
    );
}

#[test]
fn unknown_names_are_refused_in_the_own_section_and_passed_over_elsewhere() {
    let mut odd = good();
    odd["region"] = "central".into();
    odd["settings"]["new_one"] = 1.into();
    odd["walkpick"] = json!({"log": {"formatt": "json"}, "states": {}});
    assert_eq!(
        said_of_config(&odd),
        [
            "walkpick.log.formatt: found an unknown key, expected a known key: did you mean `format`?",
            "walkpick.states: found an unknown key, expected one of the keys log, peers",
        ]
    );
}

#[test]
fn negative_and_absurd_times_are_told() {
    let mut odd = good();
    odd["settings"]["lanes"][0]["hard_limit_us"] = (-5).into();
    odd["settings"]["limits"]["keepalive_us"] = json!(1e300);
    odd["walkpick"] = json!({"log": {"window": "-1s"}});
    assert_eq!(
        said_of_config(&odd),
        [
            "settings.lanes.0.hard_limit_us: found \"-5\", expected a whole number of microseconds",
            "settings.limits.keepalive_us: found \"1e+300\", expected a whole number of microseconds",
            "walkpick.log.window: found \"-1s\", expected a duration from `100ms` to `1h`",
        ]
    );
    odd["settings"]["lanes"][0]["hard_limit_us"] = 1_000_000.into();
    odd["settings"]["limits"]["keepalive_us"] = 60_000_000.into();
    for window in ["0s", "99ms", "3 weeks", "99999999999999999999years", "", "1"] {
        odd["walkpick"]["log"]["window"] = window.into();
        assert_eq!(said_of_config(&odd).len(), 1, "{window}");
    }
    // What the platform says is taken as it is, and pointed at.
    let mut long = good();
    long["settings"]["lanes"][0]["hard_limit_us"] = u64::MAX.into();
    let path = write_config(&long.to_string());
    let output = check(&path, &[]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    assert!(text.contains("settings.lanes.0.hard_limit_us is over a day"), "{text}");
    std::fs::remove_file(path).unwrap();
}

#[test]
fn too_few_sockets_are_told() {
    for sockets in [json!(0), json!(31), json!(-1), json!(1.5), Value::Null] {
        let mut few = good();
        few["limits"]["sockets"] = sockets.clone();
        let said = said_of_config(&few);
        assert_eq!(said.len(), 1, "{said:?}");
        assert!(said[0].starts_with("limits.sockets: found "), "{said:?}");
    }
}

#[test]
fn a_path_that_is_no_file_is_told() {
    for path in [std::env::temp_dir(), PathBuf::from("no/such/file.json")] {
        let output = check(&path, &[]);
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), error.lines().count()), (Some(2), 1), "{error}");
        assert!(error.contains("cannot be read"), "{error}");
    }
}

#[test]
fn a_sound_configuration_is_shown_as_what_a_node_would_do() {
    let path = write_config(&good().to_string());
    let text = String::from_utf8(check(&path, &[]).stdout).unwrap();
    for part in
        ["n0", "127.0.0.1:0", "10.2.0.1:8500", "500 connections", "1 cache servers", "never runs twice"]
    {
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
fn the_command_line_refuses_what_it_does_not_know() {
    for arguments in [&["nodes"][..], &["check-config"], &["--frobnicate"]] {
        let output = command().args(arguments).output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
    }
    let version = command().arg("--version").output().unwrap();
    assert_eq!(version.stdout, format!("walkpick {}\n", env!("CARGO_PKG_VERSION")).as_bytes());
}
