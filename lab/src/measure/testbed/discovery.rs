//! A stub of the discovery agent. It writes its responses itself, so that every byte can be counted.

use super::super::MeasureError;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 4_096;

/// Content of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A full list.
    Full,
    /// The entries that changed.
    Changes,
    /// Nothing changed within the long poll's wait.
    Unchanged,
}

/// One call of the node, as observed by the agent.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Content of the response.
    pub kind: ResponseKind,
    /// Bytes of the request.
    pub request_bytes: usize,
    /// Bytes of the response, including its head.
    pub response_bytes: usize,
    /// Bytes of the response body.
    pub body_bytes: usize,
    /// Time from the start of the response to the first byte of the node's next call.
    pub applied_after: Option<Duration>,
}

/// A version of the list.
#[derive(Clone, Debug)]
struct Version {
    /// Response body for a watch that knows only the previous version.
    response: String,
    kind: ResponseKind,
}

#[derive(Debug)]
struct Shared {
    full: RefCell<Value>,
    versions: watch::Sender<Vec<Version>>,
    calls: RefCell<Vec<Call>>,
    response_sent: Cell<Option<Instant>>,
}

/// The agent.
#[derive(Clone, Debug)]
pub struct DiscoveryStub {
    address: SocketAddr,
    shared: Rc<Shared>,
}

impl DiscoveryStub {
    /// Starts an agent whose list holds the given hosts.
    pub async fn open(hosts: Vec<Value>) -> Result<Self, MeasureError> {
        let failed = MeasureError::io("a port for discovery");
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(&failed)?;
        let address = listener.local_addr().map_err(&failed)?;
        let shared = Rc::new(Shared {
            full: RefCell::new(Value::from(hosts)),
            versions: watch::Sender::default(),
            calls: RefCell::default(),
            response_sent: Cell::new(None),
        });
        let accept_shared = Rc::clone(&shared);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = Rc::clone(&accept_shared);
                // Errors of a connection are the node's concern.
                spawn_local(async move { drop(connection(stream, shared).await) });
            }
        });
        Ok(Self { address, shared })
    }

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a change of the hosts, or a full list, to the watches. Returns the response body.
    pub fn publish(&self, hosts: &[Value], full: bool) -> String {
        let seq = version(self.shared.versions.borrow().len() + 1);
        let body = list_body(seq, full, hosts);
        let kind = if full { ResponseKind::Full } else { ResponseKind::Changes };
        self.shared.versions.send_modify(|versions| versions.push(Version { response: body.clone(), kind }));
        body
    }

    /// Takes the calls answered since the last take.
    pub fn take_calls(&self) -> Vec<Call> {
        std::mem::take(&mut self.shared.calls.borrow_mut())
    }

    /// Number of answered calls that were not taken yet.
    pub fn calls(&self) -> usize {
        self.shared.calls.borrow().len()
    }

    /// Number of those calls with the given kind of response.
    pub fn count(&self, kind: ResponseKind) -> usize {
        self.shared.calls.borrow().iter().filter(|call| call.kind == kind).count()
    }

    /// Whether the last response was applied, which the node's next call shows.
    pub fn is_applied(&self) -> bool {
        self.shared.response_sent.get().is_none()
    }
}

/// The version after `changes` changes. Versions start at 1, never 0.
fn version(changes: usize) -> usize {
    changes + 1
}

fn list_body(seq: usize, full: bool, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": full, "hosts": hosts}).to_string()
}

/// A host entry in the format of discovery.
pub fn host_entry(index: usize, zone: usize, dial: SocketAddr, health: &str) -> Value {
    json!({
        "host": format!("s-{index:06}"), "dial": dial.to_string(), "block": index / 4, "health": health,
        "site": format!("zone-{zone}"), "class": "m2", "share": 1.0, "born_ms": 0,
    })
}

async fn connection(mut stream: TcpStream, shared: Rc<Shared>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut head = Vec::new();
    loop {
        head.clear();
        while !head.ends_with(b"\r\n\r\n") {
            let byte = match stream.read_u8().await {
                Ok(byte) => byte,
                Err(_) => return Ok(()),
            };
            if head.is_empty() {
                on_call_started(&shared);
            }
            head.push(byte);
            if head.len() > MAX_HEAD_BYTES {
                return Ok(());
            }
        }
        let call = String::from_utf8_lossy(&head).into_owned();
        let (kind, body) = respond(&call, &shared).await;
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let (request_bytes, response_bytes) = (head.len(), response.len());
        let call = Call { kind, request_bytes, response_bytes, body_bytes: body.len(), applied_after: None };
        shared.calls.borrow_mut().push(call);
        shared.response_sent.set(Some(Instant::now()));
        stream.write_all(response.as_bytes()).await?;
    }
}

/// Handles the first byte of a call, which shows that the node has read the last response.
fn on_call_started(shared: &Shared) {
    if let Some(response_sent) = shared.response_sent.take() {
        if let Some(last) = shared.calls.borrow_mut().last_mut() {
            last.applied_after = Some(response_sent.elapsed());
        }
    }
}

/// Parses a parameter of the call's query.
fn query_number(call: &str, name: &str) -> Option<usize> {
    let query = call.split_whitespace().nth(1)?.split_once('?')?.1;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

async fn respond(call: &str, shared: &Shared) -> (ResponseKind, String) {
    let mut versions = shared.versions.subscribe();
    let Some(after) = query_number(call, "after") else {
        let seq = version(versions.borrow().len());
        let full = shared.full.borrow();
        let hosts = full.as_array().map_or(&[][..], Vec::as_slice);
        return (ResponseKind::Full, list_body(seq, true, hosts));
    };
    let wait = Duration::from_millis(query_number(call, "wait_ms").unwrap_or(0) as u64);
    // A timeout is normal: the response then says that nothing changed.
    let _ = timeout(wait, versions.wait_for(|versions| version(versions.len()) > after)).await;
    let versions = versions.borrow();
    // Versions are sent one at a time, so that each is measured by itself.
    match versions.get(after.saturating_sub(version(0))) {
        Some(next) => (next.kind, next.response.clone()),
        None => (ResponseKind::Unchanged, list_body(after, false, &[])),
    }
}
