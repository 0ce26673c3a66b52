//! A node on loopback sockets whose system calls fail temporarily, transfer fewer bytes or are interrupted: accepted
//! requests get the response of their own, and drains are applied in time.

#[path = "../../tests/node_common/mod.rs"]
mod node_common;

use node_common::agent::Agent;
use node_common::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// New requests may go to a server this long after its drain counts as delivered to the node.
const GRACE: Duration = Duration::from_millis(250 + 50);
/// The deadline of clients; no fault lasts that long.
const DEADLINE_MS: u64 = 4_000;
/// A response later than this counts as lost.
const LOST: Duration = Duration::from_millis(DEADLINE_MS + 500);
/// Larger than what one short call transfers.
const LARGE_BYTES: usize = 24 << 10;

/// The command of a node with these faults, drawn from `seed`.
fn faulty_node(rules: &str, seed: u64) -> Command {
    let library = std::env::current_exe().unwrap().with_file_name("libwalkpick_interposer.so");
    assert!(library.exists(), "{} is not built", library.display());
    let mut command = command();
    command.env("LD_PRELOAD", library).env("INTERPOSER_RULES", rules);
    command.env("INTERPOSER_SEED", seed.to_string());
    command
}

/// A server that responses with a large body made of the key of the request.
fn large_server() -> CacheServer {
    CacheServer::start(|message| {
        let key = message.start_line.split(' ').nth(1).unwrap().to_owned();
        Reaction::Respond(http_response("200 OK", "", &key.repeat(LARGE_BYTES / key.len())))
    })
}

fn node_config(agent: &Agent, hosts: &[Value]) -> Value {
    let mut config = with_deadlines(push_config(agent.address), DEADLINE_MS * 1_000);
    config["settings"]["limits"]["connect_timeout_us"] = 500_000.into();
    config["known"] = json!({"seq": 1, "whole": true, "hosts": hosts});
    config
}

/// The number of responses by status; `None` counts lost requests.
type Responses = BTreeMap<Option<u16>, usize>;

/// A client that sends GETs and PUTs, on one connection until it closes, and checks that each body belongs to its
/// request.
fn run_client(address: std::net::SocketAddr, first_key: u64, requests: u64, responses: &Mutex<Responses>) {
    let mut reusable: Option<Client> = None;
    for key in first_key..first_key + requests {
        let path = format!("/api/{key:016x}");
        let (method, body) =
            if key % 3 == 0 { ("PUT", "b".repeat(LARGE_BYTES)) } else { ("GET", String::new()) };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: s\r\nReq-Id: {key:x}\r\nReq-Kind: read\r\n\
             Req-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let start = Instant::now();
        // The close of an idle connection may cross the request: then it is sent again on a new one.
        let mut response = reusable.as_mut().and_then(|client| client.try_request(&request));
        if response.is_none() {
            let stream = std::net::TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(LOST)).unwrap();
            let client = reusable.insert(Client::new(stream));
            response = client.try_request(&request);
        }
        let status = response.as_ref().map(Message::status).filter(|_| start.elapsed() < LOST);
        if let Some(response) = response.filter(|response| response.status() == 200) {
            let expected = path.repeat(LARGE_BYTES / path.len());
            assert!(response.body == expected.as_bytes(), "a response that belongs to another request");
        } else {
            reusable = None;
        }
        *responses.lock().unwrap().entry(status).or_default() += 1;
    }
}

/// Runs this number of clients in parallel, each with this number of requests.
fn traffic(address: std::net::SocketAddr, clients: u64, requests: u64) -> Responses {
    let responses = Arc::new(Mutex::new(Responses::new()));
    let running: Vec<_> = (0..clients)
        .map(|number| {
            let responses = responses.clone();
            thread::spawn(move || run_client(address, 1 + number * 1_000, requests, &responses))
        })
        .collect();
    for client in running {
        client.join().expect("the client is answered");
    }
    let responses = responses.lock().unwrap().clone();
    responses
}

/// The result of a run.
struct Outcome {
    responses: Responses,
    /// From the drain to the last request that the draining server received.
    last_sent: Duration,
    log: String,
}

/// Runs clients before and after a drain, then shuts the node down with requests in flight.
fn run(rules: &str, seed: u64) -> Outcome {
    const CLIENTS: u64 = 6;
    const REQUESTS: u64 = 40;
    let times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let server_times = times.clone();
    let draining = CacheServer::start(move |message| {
        server_times.lock().unwrap().push(Instant::now());
        let key = message.start_line.split(' ').nth(1).unwrap().to_owned();
        Reaction::Respond(http_response("200 OK", "", &key.repeat(LARGE_BYTES / key.len())))
    });
    let other = large_server();
    let before = [draining.entry("s-1", "ready"), other.entry("s-2", "ready")];
    let after = [draining.entry("s-1", "draining"), other.entry("s-2", "ready")];
    let agent = Agent::start(&before, None);
    let node = Node::start_with(faulty_node(rules, seed), &node_config(&agent, &before));
    wait_for("the node's readiness", || node.health() == Some(200));
    let mut responses = traffic(node.address, CLIENTS, REQUESTS);

    let delivered = agent.publish(&after);
    let address = node.address;
    let running = thread::spawn(move || traffic(address, CLIENTS, REQUESTS));
    for (status, count) in running.join().expect("all clients are answered") {
        *responses.entry(status).or_default() += count;
    }
    let last = times.lock().unwrap().iter().max().copied();
    let last_sent = last.map_or(Duration::ZERO, |last| last.saturating_duration_since(delivered));

    let running = thread::spawn(move || traffic(address, CLIENTS, 1));
    node.terminate();
    for (status, count) in running.join().expect("all clients are answered") {
        *responses.entry(status).or_default() += count;
    }
    let log = node.log.lock().unwrap().clone();
    assert!(node.exit().success(), "{log}");
    Outcome { responses, last_sent, log }
}

/// Runs each case with two seeds and checks that no request is lost, that at least `served_in_ten` of ten are served
/// and that the drain is applied in time.
fn assert_survives(cases: &[&str], served_in_ten: usize) {
    const SEEDS: [u64; 2] = [1, 2];
    let cases = cases.iter().flat_map(|rules| SEEDS.map(|seed| ((*rules).to_owned(), seed)));
    let runs: Vec<_> = cases
        .map(|(rules, seed)| {
            let run_rules = rules.clone();
            (rules, seed, thread::spawn(move || run(&run_rules, seed)))
        })
        .collect();
    let mut broken = Vec::new();
    for (rules, seed, handle) in runs {
        let Ok(Outcome { responses, last_sent, log }) = handle.join() else {
            broken.push(format!("{rules}, seed {seed}: the run failed"));
            continue;
        };
        println!("{rules}, seed {seed}: {responses:?}, last sent {last_sent:?} after the drain");
        let all: usize = responses.values().sum();
        let served = responses.get(&Some(200)).copied().unwrap_or(0);
        if responses.contains_key(&None) || served * 10 < all * served_in_ten || last_sent > GRACE {
            println!("{log}");
            broken.push(format!(
                "{rules}, seed {seed}: {responses:?}, last sent {last_sent:?} after the drain"
            ));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

// Guards against a node that waits for bytes that are already in its socket buffer.
#[test]
fn short_reads_and_writes_lose_no_requests() {
    assert_survives(&["recv=short:0.7", "send=short:0.7", "recv=short; send=short"], 10);
}

// Guards against treating an interrupted call as a broken connection.
#[test]
fn interrupted_calls_lose_no_requests() {
    assert_survives(&["wait=EINTR:0.3", "recv=EINTR:0.2", "send=EINTR:0.2"], 10);
}

// Guards against a node that stops accepting, or closes accepted connections, after a failed accept.
#[test]
fn temporary_accept_errors_lose_no_requests() {
    let errors = ["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "EPROTO", "ENETUNREACH"];
    let rules = errors.map(|error| format!("accept={error}:0.3"));
    assert_survives(&rules.each_ref().map(String::as_str), 10);
}

// Guards against requests that hang and drains that are missed while connections fail temporarily.
#[test]
fn temporary_connect_errors_lose_no_requests() {
    let errors = ["ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "EPERM", "EAGAIN"];
    let rules = errors.map(|error| format!("connect={error}:0.3"));
    let sockets = ["socket=ENFILE:0.2", "socket=EMFILE:0.2", "socket=ENOBUFS:0.2"];
    let all: Vec<_> = rules.iter().map(String::as_str).chain(sockets).collect();
    assert_survives(&all, 7);
}

// Guards against a node that exits because a call failed temporarily during its start.
#[test]
fn a_node_becomes_ready_despite_temporary_errors_during_its_start() {
    for rules in [
        "socket=ENFILE@0..800",
        "socket=EMFILE:0.8@0..1500",
        "bind=EADDRINUSE@0..800",
        "bind=EADDRNOTAVAIL@0..800",
        "bind=ENOMEM@0..800",
    ] {
        let server = large_server();
        let hosts = [server.entry("s-1", "ready")];
        let agent = Agent::start(&hosts, None);
        let start = Instant::now();
        let node = Node::start_with(faulty_node(rules, 1), &node_config(&agent, &hosts));
        wait_for("the node's readiness", || node.health() == Some(200));
        let took = start.elapsed();
        println!("{rules}: ready after {took:?}");
        assert!(took < Duration::from_secs(10), "{rules}: ready after {took:?}");
    }
}

// Guards against a shutdown that abandons connections in the listen queue because one accept failed.
#[test]
fn requests_in_the_listen_queue_at_shutdown_are_answered_despite_accept_errors() {
    const MAX_CLIENTS: usize = 8;
    for rules in ["accept=ECONNABORTED:0.6", "accept=ENFILE:0.6", "accept=EINTR:0.6"] {
        let server = CacheServer::start(|_| Reaction::NoResponse);
        let hosts = [server.entry("s-1", "ready")];
        let agent = Agent::start(&hosts, None);
        let mut config = with_deadlines(node_config(&agent, &hosts), 1_000_000);
        config["limits"]["sockets"] = (24 + 2 * MAX_CLIENTS).into();
        let node = Node::start_with(faulty_node(rules, 1), &config);
        wait_for("the node's readiness", || node.health() == Some(200));
        let send_request = |key: usize| {
            let mut client = node.client();
            client.send(&get_request("once", key as u64, 1_000));
            client
        };
        // These take up the connection table, and their server does not answer.
        let in_flight: Vec<_> = (0..MAX_CLIENTS).map(send_request).collect();
        wait_for("the requests", || server.request_count() == MAX_CLIENTS);
        node.terminate();
        let queued: Vec<_> = (MAX_CLIENTS..3 * MAX_CLIENTS).map(send_request).collect();
        let unanswered = in_flight
            .into_iter()
            .chain(queued)
            .filter_map(|mut client| client.read_response().is_none().then_some(()));
        assert_eq!(unanswered.count(), 0, "{rules}: requests without a response");
        assert!(node.exit().success());
    }
}
