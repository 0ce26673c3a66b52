//! The example `standin`: a node with stand-ins for discovery and its cache servers.

mod node_common;

use node_common::{get_request, wait_for, Client, WAIT_TIMEOUT};
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::process::{Child, ChildStderr, Command, Stdio};

/// The example process, ended on drop by SIGTERM so that it stops its node.
struct Standin(Child);

impl Drop for Standin {
    fn drop(&mut self) {
        // Fails if the example has already exited.
        let _ = Command::new("kill").arg(self.0.id().to_string()).status();
        wait_for("the exit of the example", || self.0.try_wait().is_ok_and(|status| status.is_some()));
    }
}

type Log = BufReader<ChildStderr>;

/// Starts the example with this log level of its node.
fn start(level: &str) -> (Standin, Log) {
    let program = std::env::current_exe().unwrap().with_file_name("../examples/standin");
    let mut child =
        Command::new(program).args(["127.0.0.1:0", level]).stderr(Stdio::piped()).spawn().unwrap();
    let log = BufReader::new(child.stderr.take().unwrap());
    (Standin(child), log)
}

fn next_line(log: &mut Log) -> String {
    let mut line = String::new();
    assert_ne!(log.read_line(&mut line).unwrap(), 0, "the example exited");
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
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut client = Client::new(stream);
    wait_for("the node's readiness", || {
        client.request("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n").status() == 200
    });
    let response = client.request(&get_request("read", 7, 20_000));
    assert_eq!(response.status(), 200);
    assert!(String::from_utf8(response.body)
        .unwrap()
        .starts_with("the value of /api/0000000000000007, from s-"));
}

// Guards against a discovery stand-in that answers a watch after a wait of its own instead of the one that the node
// requested, so that the node's calls time out.
#[test]
fn the_example_node_watches_its_discovery_without_warnings() {
    const WATCHES: usize = 3;
    let (_standin, mut log) = start("debug");
    let mut answered = 0;
    while answered < WATCHES {
        let line = next_line(&mut log);
        assert!(!line.contains(" WARN ") && !line.contains(" ERROR "), "{line}");
        // A call without a wait returns the whole list.
        answered += usize::from(line.contains("list taken in") && line.contains("whole=false"));
    }
}
