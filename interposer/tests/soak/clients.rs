//! Clients of a run: some wait for each response, some disconnect, some never send a complete request, some stay idle.

use crate::node_common::Message;
use crate::record::{ClientEnd, Record, Request};
use fastrand::Rng;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long after its deadline a client still waits for a response.
const GRACE_AFTER_DEADLINE: Duration = Duration::from_millis(500);
/// The read timeout of clients, so that a run ends; longer than every deadline.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// The phases of a run, shared with the clients.
#[derive(Debug, Default)]
pub struct Phases {
    /// When SIGTERM was sent.
    pub terminated_at: Mutex<Option<Instant>>,
    /// Whether all clients must end.
    pub over: Mutex<bool>,
}

impl Phases {
    pub fn terminated(&self) -> Option<Instant> {
        *self.terminated_at.lock().unwrap()
    }

    pub fn is_over(&self) -> bool {
        *self.over.lock().unwrap()
    }
}

/// The state that all clients of a run share.
#[derive(Clone)]
pub struct Context {
    pub node: SocketAddr,
    pub record: Record,
    pub phases: Arc<Phases>,
    pub ids: Arc<AtomicU64>,
    pub deadline: Duration,
}

/// The body with which a server answers for this path.
pub fn value_of(path: &str) -> String {
    path.repeat(60)
}

/// A client's connection.
struct Connection {
    reader: BufReader<TcpStream>,
    requests: usize,
}

impl Connection {
    fn open(node: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(node).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { reader: BufReader::new(stream), requests: 0 })
    }
}

/// Clients open new connections for this long after SIGTERM: then the load balancer in front has noticed it.
const LOAD_BALANCER_NOTICES: Duration = Duration::from_millis(300);

/// Sends requests one after another and waits for each response, on one connection until it closes.
pub fn send_requests(context: &Context, mut rng: Rng, disconnects: bool) {
    let mut reusable: Option<Connection> = None;
    while !context.phases.is_over() {
        if reusable.is_none() {
            if context.phases.terminated().is_some_and(|at| at.elapsed() > LOAD_BALANCER_NOTICES) {
                return;
            }
            reusable = Connection::open(context.node);
            if reusable.is_none() {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
        }
        let Some(mut connection) = reusable.take() else { continue };
        if send_request(context, &mut connection, &mut rng, disconnects) {
            reusable = Some(connection);
        }
        std::thread::sleep(Duration::from_millis(rng.u64(5..40)));
    }
}

/// Sends one request; `false` if the connection has ended.
fn send_request(context: &Context, connection: &mut Connection, rng: &mut Rng, disconnects: bool) -> bool {
    let id = context.ids.fetch_add(1, Ordering::SeqCst);
    let path = format!("/api/{:016x}", rng.u64(..400));
    let unsafe_class = rng.u8(..4) == 0;
    let class = if unsafe_class { "once" } else { "read" };
    let deadline = context.deadline.mul_f64(0.3 + 0.65 * rng.f64());
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: s\r\nReq-Id: {id:x}\r\nReq-Kind: {class}\r\nReq-Deadline-Ms: {}\r\n\r\n",
        deadline.as_millis()
    );
    // Recorded before it is written, because a server may receive it immediately.
    let fresh = connection.requests == 0;
    connection.requests += 1;
    let sent = Instant::now();
    context.record.sent(id, Request { unsafe_class, deadline, sent, fresh, end: None, arrivals: Vec::new() });
    if connection.reader.get_mut().write_all(head.as_bytes()).is_err() {
        context.record.ended(id, ClientEnd::Closed);
        return false;
    }
    if disconnects && rng.u8(..3) == 0 {
        std::thread::sleep(deadline.mul_f64(rng.f64() * 0.6));
        context.record.ended(id, ClientEnd::Disconnected);
        return false;
    }
    let timeout = (deadline + GRACE_AFTER_DEADLINE).max(READ_TIMEOUT);
    let _ = connection.reader.get_ref().set_read_timeout(Some(timeout));
    let end = match Message::read(&mut connection.reader) {
        Ok(Some(response)) if response.status() == 200 && response.body != value_of(&path).as_bytes() => {
            ClientEnd::WrongResponse
        }
        Ok(Some(response)) => ClientEnd::Answered(response.status()),
        Ok(None) => ClientEnd::Closed,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            ClientEnd::NoResponse
        }
        Err(_) => ClientEnd::Closed,
    };
    context.record.ended(id, end);
    matches!(end, ClientEnd::Answered(_))
}

/// Opens connections, sends an incomplete request on each and records the time until its error or close.
pub fn send_incomplete_requests(context: &Context, waits: &Mutex<Vec<Duration>>) {
    while !context.phases.is_over() && context.phases.terminated().is_none() {
        let Ok(mut stream) = TcpStream::connect(context.node) else { continue };
        let start = Instant::now();
        let _ = stream.write_all(b"GET /api/1 HTTP/1.1\r\nReq-Id: 1\r\n");
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        let _ = stream.read(&mut [0; 64]);
        // A wait that a shutdown has cut into does not count: other time limits apply to it.
        if context.phases.terminated().is_none() {
            waits.lock().unwrap().push(start.elapsed());
        }
    }
}

/// Opens idle connections, which stay open for the whole run.
pub fn open_idle_connections(node: SocketAddr, size: usize) -> Vec<TcpStream> {
    (0..size).filter_map(|_| TcpStream::connect(node).ok()).collect()
}

/// How much of a body a client sends before it stops, out of how much.
const PARTIAL_BODY_BYTES: usize = 60_000;
const BODY_BYTES: usize = 64 << 10;
/// How long clients that have stopped stay.
const STOPPED_FOR: Duration = Duration::from_secs(1);

/// Opens this many connections, sends a part of a large request on each and stays for a while, again and again.
pub fn stop_within_requests(context: &Context, size: usize) {
    let request = format!(
        "PUT /api/1 HTTP/1.1\r\nHost: s\r\nReq-Id: stopped\r\nReq-Kind: keyed\r\nIdempotency-Key: 1\r\n\
         Req-Deadline-Ms: 1000\r\nContent-Length: {BODY_BYTES}\r\n\r\n{}",
        "x".repeat(PARTIAL_BODY_BYTES)
    );
    while size > 0 && context.phases.terminated().is_none() {
        let stopped: Vec<_> = (0..size).filter_map(|_| send_partially(context.node, &request)).collect();
        std::thread::sleep(STOPPED_FOR);
        drop(stopped);
    }
}

fn send_partially(node: SocketAddr, request: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(node).ok()?;
    stream.set_write_timeout(Some(STOPPED_FOR)).ok()?;
    // The node may refuse the request before its end.
    let _ = stream.write_all(request.as_bytes());
    Some(stream)
}
