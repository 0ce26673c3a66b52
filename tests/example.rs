//! The node that a newcomer tries.

mod node_common;

use node_common::{read, wait_for, Client, PATIENCE};
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};

/// Ended by a signal that lets it end its node.
struct Standin(Child);

impl Drop for Standin {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = Command::new("kill").arg(self.0.id().to_string()).status();
        wait_for("the example's end", || self.0.try_wait().is_ok_and(|status| status.is_some()));
    }
}

#[test]
fn the_example_node_serves_what_is_sent_to_it() {
    let program = std::env::current_exe().unwrap().with_file_name("../examples/standin");
    let mut child = Command::new(program).arg("127.0.0.1:0").stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let _standin = Standin(child);
    let mut line = String::new();
    while !line.contains(" listens on ") {
        line.clear();
        assert_ne!(log.read_line(&mut line).unwrap(), 0, "it ended before it listened");
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
