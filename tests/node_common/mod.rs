//! Test harness for a node on loopback sockets: cache servers and discovery with scripted behaviour, and clients.
#![allow(dead_code)]

pub mod agent;
pub mod memory;
pub mod script;

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Far longer than any step of these tests takes: a wait that reaches it has failed.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until `done` holds.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// An HTTP message as received: start line, headers by lower-case name, and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    pub start_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message; `None` if the connection ends before its headers do. A truncated body is an error.
    pub fn read(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<Self>> {
        let mut message = Self::default();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            match line.trim_end() {
                "" => break,
                line if message.start_line.is_empty() => message.start_line = line.to_owned(),
                line => {
                    let (name, value) = line.split_once(':').unwrap();
                    message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
                }
            }
        }
        let length = message.header("content-length").map_or(0, |length| length.parse().unwrap());
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

pub fn http_response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// The size of the largest body that the protocol allows.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// A body in the chunked form of HTTP/1.1 with one byte to a chunk, without the last chunk, which ends it.
pub fn one_byte_chunks(body: &str) -> String {
    body.chars().map(|byte| format!("1\r\n{byte}\r\n")).collect()
}

/// The end of a body in the chunked form.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// How a cache server reacts to a request.
pub enum Reaction {
    /// Writes this and keeps the connection open.
    Respond(String),
    /// Writes this and closes the connection.
    RespondAndClose(String),
    /// Writes this, and again 4 ms later; stores the longest time that the two writes took.
    RespondTwice(String, Arc<Mutex<Duration>>),
    /// Sends nothing and keeps the connection open.
    NoResponse,
    /// Sends a chunked response without end for as long as the node reads.
    EndlessResponse,
}

/// A cache server that records its requests in order.
pub struct CacheServer {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<Message>>>,
    pub connections: Arc<AtomicU32>,
    /// Connections that the node has closed.
    pub closed: Arc<AtomicU32>,
}

impl CacheServer {
    pub fn start(react: impl Fn(&Message) -> Reaction + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
        };
        let (requests, connections, closed) =
            (server.requests.clone(), server.connections.clone(), server.closed.clone());
        let react = Arc::new(react);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let (requests, closed, react) = (requests.clone(), closed.clone(), react.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut stream = stream;
                    while let Ok(Some(message)) = Message::read(&mut reader) {
                        requests.lock().unwrap().push(message.clone());
                        match react(&message) {
                            Reaction::Respond(text) => drop(stream.write_all(text.as_bytes())),
                            Reaction::RespondAndClose(text) => {
                                return drop(stream.write_all(text.as_bytes()))
                            }
                            Reaction::RespondTwice(text, took) => {
                                let start = Instant::now();
                                let _ = stream.write_all(text.as_bytes());
                                thread::sleep(Duration::from_millis(4));
                                let _ = stream.write_all(text.as_bytes());
                                let mut took = took.lock().unwrap();
                                *took = start.elapsed().max(*took);
                            }
                            Reaction::NoResponse => {}
                            Reaction::EndlessResponse => {
                                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                                let mut wrote = stream.write_all(head.as_bytes());
                                while wrote.is_ok() {
                                    wrote = stream.write_all(b"1\r\nv\r\n");
                                    thread::sleep(Duration::from_millis(5));
                                }
                            }
                        }
                    }
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    /// A server that answers every request with 200 and this body.
    pub fn serving(body: &'static str) -> Self {
        Self::start(move |_| Reaction::Respond(http_response("200 OK", "", body)))
    }

    pub fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    pub fn entry(&self, name: &str, health: &str) -> Value {
        host_entry(name, self.address, health)
    }
}

/// A server in the form of a discovery list.
pub fn host_entry(name: &str, dial: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": dial.to_string(), "site": "a", "class": "m2", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}

/// The response of discovery and its version.
struct List {
    seq: u64,
    response: String,
}

/// A discovery service that answers watches and records the requested paths in order.
pub struct Discovery {
    pub address: SocketAddr,
    pub paths: Arc<Mutex<Vec<String>>>,
    list: Arc<(Mutex<List>, Condvar)>,
}

impl Discovery {
    /// Starts with this list as version 1.
    pub fn start(hosts: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let body = json!({"seq": 1, "whole": true, "hosts": hosts}).to_string();
        let response = http_response("200 OK", "", &body);
        let list = Arc::new((Mutex::new(List { seq: 1, response }), Condvar::new()));
        let paths: Arc<Mutex<Vec<String>>> = Arc::default();
        let (shared_list, shared_paths) = (list.clone(), paths.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (list, paths) = (shared_list.clone(), shared_paths.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut stream = stream;
                    while let Ok(Some(message)) = Message::read(&mut reader) {
                        let path = message.start_line.split(' ').nth(1).unwrap().to_owned();
                        let after =
                            path.split_once("after=").map(|(_, rest)| rest.split('&').next().unwrap());
                        let after = after.map_or(0, |after| after.parse().unwrap());
                        paths.lock().unwrap().push(path);
                        let (list, changed) = &*list;
                        let list = changed
                            .wait_timeout_while(list.lock().unwrap(), WAIT_TIMEOUT, |list| list.seq <= after)
                            .unwrap()
                            .0;
                        if stream.write_all(list.response.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, paths, list }
    }

    /// Publishes a whole list, or changes, as the next version.
    pub fn publish(&self, whole: bool, hosts: &[Value]) {
        self.publish_text(self.next_list(whole, hosts).to_string());
    }

    /// Publishes a whole list, or changes, as the next version, indented and in chunks of one byte.
    pub fn publish_in_one_byte_chunks(&self, whole: bool, hosts: &[Value]) {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let list = format!("{:#}", self.next_list(whole, hosts));
        self.publish_response(head.to_owned() + &one_byte_chunks(&list) + LAST_CHUNK);
    }

    /// Answers open watches, and calls until the next update, with this text as the body.
    pub fn publish_text(&self, body: String) {
        self.publish_response(http_response("200 OK", "", &body));
    }

    fn next_list(&self, whole: bool, hosts: &[Value]) -> Value {
        let seq = self.list.0.lock().unwrap().seq + 1;
        json!({"seq": seq, "whole": whole, "hosts": hosts})
    }

    fn publish_response(&self, response: String) {
        let mut list = self.list.0.lock().unwrap();
        *list = List { seq: list.seq + 1, response };
        self.list.1.notify_all();
    }

    pub fn calls(&self) -> usize {
        self.paths.lock().unwrap().len()
    }

    /// Waits until the node has applied the list of this version: it then watches for later ones.
    pub fn wait_until_applied(&self, seq: u64) {
        let next = format!("after={seq}&");
        wait_for("the next watch", || self.paths.lock().unwrap().iter().any(|path| path.contains(&next)));
    }
}

/// A running node process, killed on drop.
pub struct Node {
    pub address: SocketAddr,
    pub child: Child,
    /// Its log so far, without the lines up to the one that names its address.
    pub log: Arc<Mutex<String>>,
    config: std::path::PathBuf,
}

/// The configuration of a node that has only the address of discovery and no initial list.
pub fn config(discovery: SocketAddr) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "dedup_scope": "all", "promise_us": 5_000_000,
               "hard_limit_us": 20_000_000, "repeat_window_us": 20_000_000, "worth": 1.0, "late_value": 0.5})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 0, "whole": true, "hosts": []},
        "settings": {
            "az": "a", "zones": ["a", "b"], "balancers": 1, "membership_mode": "subscribe", "orgs": [],
            "lanes": [class("read", "safe"), class("once", "unsafe"), class("keyed", "keyed")],
            "limits": {"connect_timeout_us": 5_000_000, "keepalive_us": 60_000_000, "most_tries": 3,
                       "cancelling": true, "retry_after": true, "max_retry_after_us": 2_000_000,
                       "second_copies": true, "probing": false},
        },
    })
}

/// The configuration of a node that gets its lists by push, from an agent on its own machine.
pub fn push_config(agent: SocketAddr) -> Value {
    let mut config = config(agent);
    config["settings"]["membership_mode"] = "automatic".into();
    config
}

/// Sets the hard deadline of all classes, which determines how long a shutdown takes.
pub fn with_deadlines(mut config: Value, deadline_us: u64) -> Value {
    for lane in config["settings"]["lanes"].as_array_mut().unwrap() {
        lane["hard_limit_us"] = deadline_us.into();
    }
    config
}

/// The configuration of a node whose shutdown takes under two seconds: it starts closing connections after 0.9 s and
/// exits after 1.65 s.
pub fn fast_shutdown_config(discovery: SocketAddr) -> Value {
    with_deadlines(config(discovery), 1_000_000)
}

/// The deadline of clients that wait for ten minutes.
pub const TEN_MINUTES_MS: u64 = 600_000;

static CONFIGS: AtomicU32 = AtomicU32::new(0);

pub fn write_config(text: &str) -> std::path::PathBuf {
    let number = CONFIGS.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("walkpick-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// The path of the node's program. Tests of another package find it in the parent of their own
/// directory.
fn program() -> std::path::PathBuf {
    let own = option_env!("CARGO_BIN_EXE_walkpick").map(std::path::PathBuf::from);
    own.unwrap_or_else(|| {
        let test = std::env::current_exe().unwrap();
        test.ancestors().nth(2).unwrap().join("walkpick")
    })
}

pub fn command() -> Command {
    let mut command = Command::new(program());
    for variable in ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        command.env_remove(variable);
    }
    command
}

impl Node {
    /// Starts a node and waits until it listens.
    pub fn start(config: &Value) -> Self {
        Self::start_with(command(), config)
    }

    /// Starts a node through this command and waits until it listens.
    pub fn start_with(mut command: Command, config: &Value) -> Self {
        let path = write_config(&config.to_string());
        let mut child = command.env("LB_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        while !line.contains(" listens on ") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the node exited before it listened");
        }
        let address = line.trim_end().rsplit(' ').next().unwrap().parse();
        let address = address.unwrap_or_else(|_| panic!("no address in the log line: {line}"));
        // Reads the rest of the log, so that the node never blocks on a full pipe.
        let log_text: Arc<Mutex<String>> = Arc::default();
        let log_sink = log_text.clone();
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                log_sink.lock().unwrap().push_str(&(line + "\n"));
            }
        });
        Self { address, child, log: log_text, config: path }
    }

    /// Starts a node and waits until it is ready for clients.
    pub fn ready(config: &Value) -> Self {
        let node = Self::start(config);
        wait_for("the node's readiness", || node.get("/healthz").status() == 200);
        node
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client::new(stream)
    }

    pub fn get(&self, path: &str) -> Message {
        self.client().request(&format!("GET {path} HTTP/1.1\r\nHost: s\r\n\r\n"))
    }

    /// The status of `/healthz`; `None` if the connection breaks.
    pub fn health(&self) -> Option<u16> {
        let response = self.client().try_request("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n");
        response.map(|response| response.status())
    }

    /// Sends a GET of this class on a new connection.
    pub fn read(&self, class: &str, key: u64) -> Message {
        self.client().request(&get_request(class, key, 20_000))
    }

    /// Waits until the log contains this text.
    pub fn wait_until_logged(&self, text: &str) {
        wait_for(text, || self.log.lock().unwrap().contains(text));
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file without a signal.
    pub fn replace_config(&self, text: &str) {
        std::fs::write(&self.config, text).unwrap();
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        self.replace_config(text);
        self.signal("-HUP");
    }

    pub fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    pub fn exit(mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the node's exit", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Fails if the node has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// The text of a GET request of this class.
pub fn get_request(class: &str, key: u64, deadline_ms: u64) -> String {
    format!(
        "GET /api/{key:016x} HTTP/1.1\r\nHost: s\r\nReq-Id: {key:x}\r\nReq-Kind: {class}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// The head of a PUT request of the class `keyed` whose body follows in chunks.
pub fn chunked_put_head(key: u64, deadline_ms: u64) -> String {
    format!(
        "PUT /api/{key:016x} HTTP/1.1\r\nHost: s\r\nReq-Id: {key:x}\r\nReq-Kind: keyed\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\nIdempotency-Key: {key:x}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn new(stream: TcpStream) -> Self {
        Self(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Sends this; `false` if the node has closed the connection.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.0.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Closes with a TCP reset.
    pub fn reset(self) {
        script::reset(self.0.into_inner());
    }

    /// Closes the sending direction; the node treats the client as disconnected.
    pub fn shutdown_write(&self) {
        self.0.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// The next response; `None` if the node closes the connection first.
    pub fn read_response(&mut self) -> Option<Message> {
        match Message::read(&mut self.0) {
            Ok(message) => message,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(error) => panic!("cannot read a response: {error}"),
        }
    }

    /// Sends a request and reads its response; `None` if the node has closed the connection.
    pub fn try_request(&mut self, text: &str) -> Option<Message> {
        if !self.try_send(text) {
            return None;
        }
        self.read_response()
    }

    /// Sends a request and reads its response.
    pub fn request(&mut self, text: &str) -> Message {
        self.send(text);
        self.read_response().expect("a response")
    }
}
