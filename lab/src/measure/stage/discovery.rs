//! A stand-in for discovery's agent that writes its answers itself, so that it knows each byte.

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

/// The most of a call's head that is read.
const LONGEST_CALL: usize = 4_096;

/// What a call came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A whole list.
    Whole,
    /// What changed.
    Change,
    /// Nothing new within the wait.
    Nothing,
}

/// One call, as it was seen here.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// What it came to.
    pub kind: Kind,
    /// Bytes of the call.
    pub asked: usize,
    /// Bytes of the answer, with its head.
    pub answered: usize,
    /// Bytes of the answer's body.
    pub body: usize,
    /// From the answer's first byte to the first of the node's next call.
    pub taken_in_after: Option<Duration>,
}

/// A list's version.
#[derive(Clone, Debug)]
struct Version {
    /// What is answered to a watch that comes with an older one.
    news: String,
    kind: Kind,
}

#[derive(Debug)]
struct Shared {
    whole: RefCell<Value>,
    versions: watch::Sender<Vec<Version>>,
    calls: RefCell<Vec<Call>>,
    written: Cell<Option<Instant>>,
}

/// The agent.
#[derive(Clone, Debug)]
pub struct Discovery {
    address: SocketAddr,
    shared: Rc<Shared>,
}

impl Discovery {
    /// Opens one that lists these hosts.
    pub async fn open(hosts: Vec<Value>) -> Result<Self, MeasureError> {
        let failed = MeasureError::machine("a port for discovery");
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(&failed)?;
        let address = listener.local_addr().map_err(&failed)?;
        let shared = Rc::new(Shared {
            whole: RefCell::new(Value::from(hosts)),
            versions: watch::Sender::default(),
            calls: RefCell::default(),
            written: Cell::new(None),
        });
        let held = Rc::clone(&shared);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = Rc::clone(&held);
                // How a connection ends is the node's affair.
                spawn_local(async move { drop(connection(stream, shared).await) });
            }
        });
        Ok(Self { address, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells whoever watches of changed hosts, or gives the whole list anew. Returns the body that is sent.
    pub fn tell(&self, hosts: &[Value], whole: bool) -> String {
        let seq = version(self.shared.versions.borrow().len() + 1);
        let body = listing(seq, whole, hosts);
        let kind = if whole { Kind::Whole } else { Kind::Change };
        self.shared.versions.send_modify(|versions| versions.push(Version { news: body.clone(), kind }));
        body
    }

    /// The calls that have been answered since this was asked last.
    pub fn take_calls(&self) -> Vec<Call> {
        std::mem::take(&mut self.shared.calls.borrow_mut())
    }

    /// How many calls wait to be taken.
    pub fn calls(&self) -> usize {
        self.shared.calls.borrow().len()
    }

    /// How many of those are of a kind.
    pub fn count(&self, kind: Kind) -> usize {
        self.shared.calls.borrow().iter().filter(|call| call.kind == kind).count()
    }

    /// Whether the last answer has been taken in: the node has called again.
    pub fn is_taken_in(&self) -> bool {
        self.shared.written.get().is_none()
    }
}

/// The version after so many changes: none is zero.
fn version(changes: usize) -> usize {
    changes + 1
}

fn listing(seq: usize, whole: bool, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string()
}

/// A host's entry, as discovery has it.
pub fn host(place: usize, zone: usize, dial: SocketAddr, health: &str) -> Value {
    json!({
        "host": format!("s-{place:06}"), "dial": dial.to_string(), "block": place / 4, "health": health,
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
                begins(&shared);
            }
            head.push(byte);
            if head.len() > LONGEST_CALL {
                return Ok(());
            }
        }
        let call = String::from_utf8_lossy(&head).into_owned();
        let (kind, body) = answer(&call, &shared).await;
        let reply = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let (asked, answered) = (head.len(), reply.len());
        let call = Call { kind, asked, answered, body: body.len(), taken_in_after: None };
        shared.calls.borrow_mut().push(call);
        shared.written.set(Some(Instant::now()));
        stream.write_all(reply.as_bytes()).await?;
    }
}

/// The node calls again: it has read the last answer.
fn begins(shared: &Shared) {
    if let Some(written) = shared.written.take() {
        if let Some(last) = shared.calls.borrow_mut().last_mut() {
            last.taken_in_after = Some(written.elapsed());
        }
    }
}

/// What a call's query says under a name.
fn number(call: &str, name: &str) -> Option<usize> {
    let query = call.split_whitespace().nth(1)?.split_once('?')?.1;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

async fn answer(call: &str, shared: &Shared) -> (Kind, String) {
    let mut versions = shared.versions.subscribe();
    let Some(after) = number(call, "after") else {
        let seq = version(versions.borrow().len());
        let whole = shared.whole.borrow();
        let hosts = whole.as_array().map_or(&[][..], Vec::as_slice);
        return (Kind::Whole, listing(seq, true, hosts));
    };
    let wait = Duration::from_millis(number(call, "wait_ms").unwrap_or(0) as u64);
    // Nothing new within the wait is an answer too.
    let _ = timeout(wait, versions.wait_for(|versions| version(versions.len()) > after)).await;
    let versions = versions.borrow();
    // One version at a time, so that each is seen by itself.
    match versions.get(after.saturating_sub(version(0))) {
        Some(next) => (next.kind, next.news.clone()),
        None => (Kind::Nothing, listing(after, false, &[])),
    }
}
