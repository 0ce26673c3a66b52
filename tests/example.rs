//! The node that a newcomer tries.

mod node_common;

use node_common::{read, wait_for, Client, PATIENCE};
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::process::{Child, ChildStderr, Command, Stdio};

/// Ended by a signal that lets it end its node.
struct Standin(Child);

impl Drop for Standin {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = Command::new("kill").arg(self.0.id().to_string()).status();
        wait_for("the example's end", || self.0.try_wait().is_ok_and(|status| status.is_some()));
    }
}

type Log = BufReader<ChildStderr>;

/// Starts the example, its node's log at this level.
fn start(level: &str) -> (Standin, Log) {
    let program = std::env::current_exe().unwrap().with_file_name("../examples/standin");
    let mut child =
        Command::new(program).args(["127.0.0.1:0", level]).stderr(Stdio::piped()).spawn().unwrap();
    let log = BufReader::new(child.stderr.take().unwrap());
    (Standin(child), log)
}

fn next_line(log: &mut Log) -> String {
    let mut line = String::new();
    assert_ne!(log.read_line(&mut line).unwrap(), 0, "it ended");
    line
}

#[test]
fn the_example_node_serves_what_is_sent_to_it() {
    let (_standin, mut log) = start("info");
    let mut line = next_line(&mut log);
    while !line.contains(" listens on ") {
        line = next_line(&mut log);
    }
    let address = line.trim_end().rsplit(' ').next().unwrap().to_owned();
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut client = Client::new(stream);
    wait_for("the node's readiness", || {
        client.ask("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n").status() == 200
    });
    let served = client.ask(&read("read", 7, 20_000));
    assert_eq!(served.status(), 200);
    assert!(String::from_utf8(served.body)
        .unwrap()
        .starts_with("the value of /api/0000000000000007, from s-"));
}

// The stand-in's discovery once answered after its own time, not after the one that the node's watch asked for.
#[test]
fn the_example_node_is_answered_by_its_discovery_without_a_warning() {
    const WATCHES: usize = 3;
    let (_standin, mut log) = start("debug");
    let mut answered = 0;
    while answered < WATCHES {
        let line = next_line(&mut log);
        assert!(!line.contains(" WARN ") && !line.contains(" ERROR "), "{line}");
        // A call that does not wait brings the whole list.
        answered += usize::from(line.contains("list taken in") && line.contains("whole=false"));
    }
}
