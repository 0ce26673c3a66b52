//! The lab with real processes on loopback sockets. Tests wait for events; timeouts only bound a hang. Nothing here
//! depends on the speed of the machine.

mod common;

use common::folder::Folder;
use common::process::{children, program_of, wait_for};
use common::LAB;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::Duration;
use walkpick_lab::real::process::Process;

/// A script used by the tests. It is checked in, because a script written by a test may still be open for writing in a
/// child of another test, and then it cannot be executed.
fn program(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/programs").join(name)
}

fn node() -> PathBuf {
    let path = Path::new(LAB).with_file_name("walkpick");
    assert!(path.exists(), "{} is missing: run 'cargo build' first", path.display());
    path
}

fn lab(folder: &Folder, experiment: &str, node: &Path) -> Command {
    let file = folder.write("experiment.toml", experiment);
    let mut command = Command::new(LAB);
    command.arg("run").arg(file).args(["--driver", "real", "--lateness", "1h", "--node"]).arg(node);
    command.arg("--logs").arg(&folder.0).arg("--json").arg(folder.0.join("out.json"));
    command
}

fn result(folder: &Folder, output: &Output) -> Value {
    let text = std::fs::read_to_string(folder.0.join("out.json"));
    let text = text.unwrap_or_else(|error| panic!("{error}: {}", String::from_utf8_lossy(&output.stderr)));
    serde_json::from_str::<Value>(&text).unwrap()["runs"][0].take()
}

fn try_log(folder: &Folder, node: &str) -> Option<String> {
    let run = std::fs::read_dir(&folder.0)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .find(|path| path.is_dir())?;
    std::fs::read_to_string(run.join(format!("{node}.log"))).ok()
}

/// The log of a node of the only run in this folder.
fn log(folder: &Folder, node: &str) -> String {
    let runs = std::fs::read_dir(&folder.0).unwrap().map(|entry| entry.unwrap().path());
    let mut runs = runs.filter(|path| path.is_dir());
    let run = runs.next().unwrap();
    std::fs::read_to_string(run.join(format!("{node}.log"))).unwrap()
}

/// Violations of rules that do not depend on timing.
fn timing_independent_violations(result: &Value) -> Vec<&Value> {
    let broken = result["rules_broken"].as_array().unwrap().iter();
    broken
        .filter(|broken| ["resend", "refusal", "crash"].contains(&broken["rule"].as_str().unwrap()))
        .collect()
}

fn small(nodes: u32, faults: &str) -> String {
    format!(
        "name = \"small\"\nabout = \"a test\"\nlead = \"1s\"\nlength = \"5s\"\n\
         [deployment]\nnodes = {nodes}\nzones = 1\nservers = 4\nmemory = 50\n[load]\nshare = 0.2\n{faults}"
    )
}

#[test]
fn nodes_serve_again_after_kill_pause_reload_and_rolling_restart() {
    let folder = Folder::new("faults");
    let faults = "[[fault]]\nwhat = \"node-killed\"\nfrom = \"0s\"\nto = \"1s\"\npart = 0.34\n\
                  [[fault]]\nwhat = \"node-paused\"\nfrom = \"1s\"\nto = \"2s\"\npart = 0.34\n\
                  [[fault]]\nwhat = \"node-reloaded\"\nfrom = \"1s\"\nto = \"2s\"\npart = 1.0\n\
                  [[fault]]\nwhat = \"nodes-rolled\"\nfrom = \"2s\"\nto = \"4s\"\npart = 0.34\n";
    let output = lab(&folder, &small(3, faults), &node()).output().unwrap();
    let result = result(&folder, &output);
    assert_eq!(timing_independent_violations(&result), Vec::<&Value>::new());
    assert!(result["figures"]["served"].as_f64().unwrap() > 0.0, "{result}");
    assert_eq!(result["driver"], "real");
    let logs = ["n0", "n1", "n2"].map(|node| log(&folder, node));
    let starts: usize = logs.iter().map(|log| log.matches(" listens on ").count()).sum();
    assert!(starts >= 5, "three starts, one after the kill and one after the roll: {logs:?}");
    assert!(logs.iter().any(|log| log.contains("told to reload")), "{logs:?}");
    assert!(
        logs.iter().filter(|log| log.contains(" is gone")).count() >= 2,
        "shut down at the end: {logs:?}"
    );
}

#[test]
fn same_seed_gives_the_same_requests_with_real_nodes_and_in_simulated_time() {
    let folder = Folder::new("draws");
    let faults = "[[fault]]\nwhat = \"link\"\nfrom = \"1s\"\nto = \"3s\"\n[fault.link]\nother_part = 0.5\nsilent = true\n";
    let real = result(&folder, &lab(&folder, &small(3, faults), &node()).output().unwrap());
    let file = folder.0.join("experiment.toml");
    let mut simulated = Command::new(LAB);
    simulated.arg("run").arg(file).args(["--driver", "virtual", "--json"]).arg(folder.0.join("out.json"));
    let simulated = result(&folder, &simulated.output().unwrap());
    assert_eq!((&real["draws"], &real["requests"]), (&simulated["draws"], &simulated["requests"]));
    assert_eq!(simulated["driver"], "virtual");
}

#[test]
fn real_nodes_detect_a_lost_peer_and_an_observer_sees_agreement_after_its_return() {
    let folder = Folder::new("peers");
    let faults = "[arm.peers]\npeers = true\n\
                  [[fault]]\nwhat = \"node-killed\"\nfrom = \"2s\"\nto = \"12s\"\npart = 0.25\n";
    let experiment = small(4, faults).replace("5s", "40s");
    let mut child = lab(&folder, &experiment, &node()).stderr(Stdio::null()).spawn().unwrap();
    let logs = || -> Vec<String> {
        (0..4).map(|i| wait_for("node log", || try_log(&folder, &format!("n{i}")))).collect()
    };
    let counts = |text: &str| logs().iter().map(|log| log.matches(text).count()).collect::<Vec<_>>();
    wait_for("report of the lost node by the three others", || {
        (counts("a peer is lost").iter().filter(|count| **count > 0).count() >= 3).then_some(())
    });
    let lost = (0..4).find(|&i| !logs()[i].contains("a peer is lost")).unwrap();
    wait_for("restart of the lost node", || (counts(" listens on ")[lost] == 2).then_some(()));
    let run =
        std::fs::read_dir(&folder.0).unwrap().map(|entry| entry.unwrap().path()).find(|path| path.is_dir());
    let config = std::fs::read_to_string(run.unwrap().join(format!("n{}.json", (lost + 1) % 3))).unwrap();
    let config: Value = serde_json::from_str(&config).unwrap();
    let seed = config["walkpick"]["peers"]["advertise"].as_str().unwrap().to_owned();
    let members = || {
        let arguments = ["members", "--cluster", "lab", "--json", "--within", "10s", "--seed", &seed];
        let output = Command::new(node()).args(arguments).output().unwrap();
        serde_json::from_slice::<Value>(&output.stdout).unwrap()
    };
    let view = wait_for("agreement of four nodes", || {
        Some(members()).filter(|view| view["nodes"] == 4 && view["agreement"] == "agreed")
    });
    let names: Vec<_> =
        view["peers"].as_array().unwrap().iter().map(|seen| seen["peer"]["name"].as_str().unwrap()).collect();
    assert_eq!(names, ["n0", "n1", "n2", "n3"]);
    assert!(Command::new("kill").arg("-INT").arg(child.id().to_string()).status().unwrap().success());
    child.wait().unwrap();
    // On shutdown each node sends a leave message; the last one has no peer left to receive it.
    assert!(counts("a peer has left").iter().sum::<usize>() > 0);
}

#[test]
fn killed_lab_leaves_no_node_running() {
    let folder = Folder::new("killed");
    let experiment = small(3, "").replace("5s", "100s");
    let mut child = lab(&folder, &experiment, &node()).stderr(Stdio::null()).spawn().unwrap();
    let nodes = wait_for("three nodes", || {
        let nodes = children(&child);
        // Each has executed the node program by then and is no longer the launcher.
        (nodes.len() == 3 && nodes.iter().all(|pid| program_of(*pid).as_deref() == Some("walkpick")))
            .then_some(nodes)
    });
    child.kill().unwrap();
    child.wait().unwrap();
    wait_for("end of the nodes", || nodes.iter().all(|pid| program_of(*pid).is_none()).then_some(()));
}

#[test]
fn interrupted_lab_stops_its_nodes_and_writes_partial_results() {
    let folder = Folder::new("interrupted");
    let experiment = small(3, "").replace("5s", "100s");
    let mut child = lab(&folder, &experiment, &node()).stderr(Stdio::null()).spawn().unwrap();
    wait_for("three listening nodes", || {
        let ready = ["n0", "n1", "n2"].iter().all(|node| {
            let run = std::fs::read_dir(&folder.0)
                .unwrap()
                .map(|entry| entry.unwrap().path())
                .find(|path| path.is_dir());
            let log = run.and_then(|run| std::fs::read_to_string(run.join(format!("{node}.log"))).ok());
            log.is_some_and(|log| log.contains(" listens on "))
        });
        ready.then_some(())
    });
    let nodes = children(&child);
    assert!(Command::new("kill").arg("-INT").arg(child.id().to_string()).status().unwrap().success());
    assert_eq!(child.wait().unwrap().code(), Some(1));
    assert!(nodes.iter().all(|pid| program_of(*pid).is_none()));
    let text = std::fs::read_to_string(folder.0.join("out.json")).unwrap();
    assert_eq!(serde_json::from_str::<Value>(&text).unwrap()["runs"][0]["interrupted"], true);
}

#[test]
fn node_that_exits_at_start_is_reported_with_the_end_of_its_log() {
    let folder = Folder::new("dies");
    let program = program("dies.sh");
    let output = lab(&folder, &small(1, ""), &program).output().unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert!(
        error.contains("n0 ended before it was ready: exit status: 3; its log says: no such thing"),
        "{error}"
    );
    let output = lab(&folder, &small(1, ""), Path::new("no/such/program")).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn process_that_ignores_sigterm_is_killed() {
    let folder = Folder::new("ignores");
    let program = program("ignores.sh");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let log = folder.0.join("log");
        let config = folder.write("config", "");
        let mut process = Process::start(Path::new(LAB), &program, &config, &log, || {}).unwrap();
        wait_for("ready line", || std::fs::read_to_string(&log).unwrap().contains("ready").then_some(()));
        process.signal(nix::sys::signal::Signal::SIGTERM);
        assert_eq!(process.wait_or_kill(Duration::from_millis(200)).await, None);
        assert_eq!(process.usage(), None, "the process must be gone");
    });
}

#[test]
fn experiment_that_needs_too_many_descriptors_is_rejected_before_any_process_starts() {
    let folder = Folder::new("descriptors");
    let experiment = small(300, "").replace("servers = 4", "servers = 4000");
    let file = folder.write("experiment.toml", &experiment);
    let output = Command::new(LAB).arg("run").arg(file).args(["--driver", "real"]).output().unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert!(error.contains("300 nodes and 4000 servers need"), "{error}");
}
