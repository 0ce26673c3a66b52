//! Stub cache servers, with responses of a chosen size. They store nothing.

use super::super::MeasureError;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Whether requests are answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Gate {
    #[default]
    Open,
    /// Requests are held until the gate opens.
    Closed,
}

#[derive(Debug)]
struct Shared {
    body: RefCell<Bytes>,
    gate: watch::Sender<Gate>,
    /// Number of requests waiting at the gate.
    held: Cell<usize>,
    /// Servers with a lower index than this do not answer.
    silent: Cell<usize>,
}

/// A set of stub servers, each with its own port.
#[derive(Clone, Debug)]
pub struct StubServers {
    addresses: Vec<SocketAddr>,
    shared: Rc<Shared>,
}

impl StubServers {
    /// Starts `count` servers whose responses have `response_bytes` bytes.
    pub async fn open(count: usize, response_bytes: usize) -> Result<Self, MeasureError> {
        let shared = Rc::new(Shared {
            body: RefCell::new(Bytes::from(vec![b'v'; response_bytes])),
            gate: watch::Sender::default(),
            held: Cell::new(0),
            silent: Cell::new(0),
        });
        let mut addresses = Vec::with_capacity(count);
        for index in 0..count {
            let failed = MeasureError::io("a port for a server");
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(&failed)?;
            addresses.push(listener.local_addr().map_err(&failed)?);
            spawn_local(accept(listener, index, Rc::clone(&shared)));
        }
        Ok(Self { addresses, shared })
    }

    /// The listening addresses.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sets the size of all further responses.
    pub fn set_body_bytes(&self, bytes: usize) {
        *self.shared.body.borrow_mut() = Bytes::from(vec![b'v'; bytes]);
    }

    /// Holds all further requests.
    pub fn hold(&self) {
        self.shared.gate.send_replace(Gate::Closed);
    }

    /// Answers the held requests, and all further ones.
    pub fn release(&self) {
        self.shared.gate.send_replace(Gate::Open);
    }

    /// Number of requests being held.
    pub fn held(&self) -> usize {
        self.shared.held.get()
    }

    /// Makes the first `count` servers stop answering.
    pub fn silence(&self, count: usize) {
        self.shared.silent.set(count);
    }
}

async fn accept(listener: TcpListener, index: usize, shared: Rc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(connection(stream, index, Rc::clone(&shared)));
    }
}

async fn connection(stream: TcpStream, index: usize, shared: Rc<Shared>) {
    // Avoids delays of small responses by Nagle's algorithm.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|_: Request<Incoming>| respond(index, Rc::clone(&shared)));
    // Errors of a connection are the node's concern.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn respond(index: usize, shared: Rc<Shared>) -> Result<Response<Full<Bytes>>, Infallible> {
    if index < shared.silent.get() {
        std::future::pending::<()>().await;
    }
    if *shared.gate.borrow() == Gate::Closed {
        let held = HeldRequest::new(Rc::clone(&shared));
        let mut gate = shared.gate.subscribe();
        // Cannot fail: the sender is alive as long as the shared state is.
        let _ = gate.wait_for(|gate| *gate == Gate::Open).await;
        drop(held);
    }
    let mut response = Response::new(Full::new(shared.body.borrow().clone()));
    response.headers_mut().insert("srv-cache", HeaderValue::from_static("hit"));
    Ok(response)
}

/// Counts a request as held until dropped.
struct HeldRequest(Rc<Shared>);

impl HeldRequest {
    fn new(shared: Rc<Shared>) -> Self {
        shared.held.set(shared.held.get() + 1);
        Self(shared)
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - 1);
    }
}
