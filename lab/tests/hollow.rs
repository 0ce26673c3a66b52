//! Hollow nodes as processes on real sockets. These tests do not depend on the speed of the machine: a late run is
//! reported void.

mod common;

use common::folder::Folder;
use common::process::{children, program_of, wait_for};
use common::LAB;
use serde_json::Value;
use std::process::{Child, Command, Output, Stdio};

fn hollow(arguments: &[&str]) -> Command {
    let mut command = Command::new(LAB);
    command.arg("hollow").args(arguments);
    command
}

fn text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// Whether the process has opened the sockets of its hollow nodes.
fn has_opened(pid: u32) -> bool {
    let files = std::fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
    let links = files.filter_map(|file| std::fs::read_link(file.path()).ok());
    links.filter(|link| link.to_string_lossy().starts_with("socket:")).count() >= 10
}

/// A lab with two processes of ten nodes each, in a long run.
fn long_run(folder: &Folder) -> (Child, Vec<u32>) {
    let json = folder.path("out.json");
    let arguments =
        ["--nodes", "20", "--processes", "2", "--seconds", "1000", "--lateness", "1h", "--json", &json];
    let child = hollow(&arguments).stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    let processes = wait_for("two processes with sockets", || {
        let processes = children(&child);
        (processes.len() == 2 && processes.iter().all(|pid| has_opened(*pid))).then_some(processes)
    });
    (child, processes)
}

#[test]
fn twenty_nodes_in_two_processes_converge_and_write_their_results() {
    let folder = Folder::new("meet");
    let (json, series) = (folder.path("out.json"), folder.path("series.json"));
    let output =
        hollow(&["--nodes", "20", "--processes", "2", "--loss", "0.05", "--start", "1", "--meet", "100"])
            .args(["--until-met", "--lateness", "1h", "--json", &json, "--series", &series])
            .output()
            .unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    let run = &folder.json("out.json")["runs"][0];
    assert!(run["figures"]["met_s"].as_f64().is_some_and(|met| met > 0.0), "{run}");
    assert!(run["figures"]["memory_bytes"].as_f64().is_some_and(|bytes| bytes > 0.0), "{run}");
    assert!(run["figures"]["lost_part"].as_f64().is_some_and(|part| part > 0.0), "{run}");
    assert_eq!(run["void"], Value::Null);
    let series = folder.json("series.json");
    let names: Vec<_> = series.as_array().unwrap().iter().map(|one| one["name"].as_str().unwrap()).collect();
    assert!(names.contains(&"hollow.memory_bytes.loss-5-percent"), "{names:?}");
    let point = &series[0]["points"][0];
    assert_eq!((point["size"].as_f64(), point["seed"].as_u64()), (Some(20.0), Some(1)));
}

// Guards against accepting figures from a lab that was itself late: no machine keeps time to the microsecond.
#[test]
fn a_run_is_reported_void_when_the_lab_is_late() {
    let folder = Folder::new("late");
    let series = folder.path("series.json");
    let output =
        hollow(&["--nodes", "4", "--processes", "2", "--start", "1", "--meet", "100", "--until-met"])
            .args(["--lateness", "1us", "--series", &series])
            .output()
            .unwrap();
    let printed = text(&output);
    assert_eq!(output.status.code(), Some(1), "{printed}");
    assert!(printed.contains("void: the lab was late"), "{printed}");
    assert_eq!(folder.json("series.json"), serde_json::json!([]));
}

#[test]
fn killing_the_lab_leaves_no_hollow_process_behind() {
    let folder = Folder::new("killed");
    let (mut child, processes) = long_run(&folder);
    child.kill().unwrap();
    child.wait().unwrap();
    wait_for("end of the processes", || processes.iter().all(|pid| program_of(*pid).is_none()).then_some(()));
}

#[test]
fn an_interrupted_lab_stops_its_processes_and_reports_no_figures() {
    let folder = Folder::new("interrupted");
    for signal in ["-INT", "-TERM"] {
        let (mut child, processes) = long_run(&folder);
        assert!(Command::new("kill").args([signal, &child.id().to_string()]).status().unwrap().success());
        assert_eq!(child.wait().unwrap().code(), Some(1));
        wait_for("end of the processes", || {
            processes.iter().all(|pid| program_of(*pid).is_none()).then_some(())
        });
        let run = &folder.json("out.json")["runs"][0];
        assert_eq!(run["interrupted"], true);
        assert_eq!(run["figures"], serde_json::json!({}));
    }
}

#[test]
fn a_killed_hollow_process_ends_the_run_with_an_error() {
    let folder = Folder::new("dies");
    let (child, processes) = long_run(&folder);
    assert!(Command::new("kill").args(["-KILL", &processes[1].to_string()]).status().unwrap().success());
    let output = child.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output).contains("ended before it had told everything: signal: 9"), "{}", text(&output));
    wait_for("end of the other one", || program_of(processes[0]).is_none().then_some(()));
}

#[test]
fn all_invalid_arguments_are_reported_at_once_with_exit_code_2() {
    let output =
        hollow(&["--nodes", "1", "--processes", "40", "--complete", "1000", "--loss", "2"]).output().unwrap();
    let printed = text(&output);
    assert_eq!(output.status.code(), Some(2), "{printed}");
    for expected in ["nodes: found 1", "processes: found 40", "complete: found 1000", "loss: found 2"] {
        assert!(printed.contains(expected), "{expected}: {printed}");
    }
}

#[test]
fn an_experiment_file_is_run_and_its_checks_are_evaluated() {
    let folder = Folder::new("file");
    let file = folder.path("file.toml");
    let bound = |at_most: f64| {
        format!(
            "name = \"file\"\nabout = \"a test\"\n[hollow]\nnodes = [6]\nprocesses = 2\nstart = \"1s\"\n\
             meet = \"100s\"\nend_when_met = true\n\
             [[check]]\nname = \"they meet\"\nfigure = \"met_s\"\nat_most = {at_most}\n"
        )
    };
    for (at_most, code, verdict) in [(100.0, 0, "holds"), (0.001, 1, "FALLS SHORT")] {
        std::fs::write(&file, bound(at_most)).unwrap();
        let output = Command::new(LAB).args(["run", &file, "--lateness", "1h"]).output().unwrap();
        let printed = text(&output);
        assert_eq!(output.status.code(), Some(code), "{printed}");
        assert!(printed.contains("they meet") && printed.contains(verdict), "{printed}");
    }
}

#[test]
fn a_run_that_exceeds_the_memory_limit_is_rejected_before_any_process_starts() {
    let output = hollow(&["--nodes", "4000", "--seconds", "1000"]).output().unwrap();
    let printed = text(&output);
    assert_eq!(output.status.code(), Some(1), "{printed}");
    assert!(printed.contains("expected at most"), "{printed}");
}
