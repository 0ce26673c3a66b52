//! Stand-in cache servers: each answers as it is told to, and holds nothing.

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

/// What the servers do now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Gate {
    #[default]
    Open,
    /// Requests are held until it opens.
    Shut,
}

#[derive(Debug)]
struct Shared {
    body: RefCell<Bytes>,
    gate: watch::Sender<Gate>,
    /// Requests that wait at the gate.
    held: Cell<usize>,
    /// Places of the servers that say nothing, from the first.
    silent: Cell<usize>,
}

/// A fleet of them, each with a port of its own.
#[derive(Clone, Debug)]
pub struct Servers {
    addresses: Vec<SocketAddr>,
    shared: Rc<Shared>,
}

impl Servers {
    /// Opens so many, whose answers have so many bytes.
    pub async fn open(count: usize, answer_bytes: usize) -> Result<Self, MeasureError> {
        let shared = Rc::new(Shared {
            body: RefCell::new(Bytes::from(vec![b'v'; answer_bytes])),
            gate: watch::Sender::default(),
            held: Cell::new(0),
            silent: Cell::new(0),
        });
        let mut addresses = Vec::with_capacity(count);
        for place in 0..count {
            let failed = MeasureError::machine("a port for a server");
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(&failed)?;
            addresses.push(listener.local_addr().map_err(&failed)?);
            spawn_local(accept(listener, place, Rc::clone(&shared)));
        }
        Ok(Self { addresses, shared })
    }

    /// Where they listen.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Answers have so many bytes from now on.
    pub fn answer_with(&self, bytes: usize) {
        *self.shared.body.borrow_mut() = Bytes::from(vec![b'v'; bytes]);
    }

    /// Holds all requests from now on.
    pub fn hold(&self) {
        self.shared.gate.send_replace(Gate::Shut);
    }

    /// Answers them again, those held first.
    pub fn release(&self) {
        self.shared.gate.send_replace(Gate::Open);
    }

    /// Requests that are held.
    pub fn held(&self) -> usize {
        self.shared.held.get()
    }

    /// The first so many say nothing from now on.
    pub fn silence(&self, count: usize) {
        self.shared.silent.set(count);
    }
}

async fn accept(listener: TcpListener, place: usize, shared: Rc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(connection(stream, place, Rc::clone(&shared)));
    }
}

async fn connection(stream: TcpStream, place: usize, shared: Rc<Shared>) {
    // Without it small answers wait for each other.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|_: Request<Incoming>| answer(place, Rc::clone(&shared)));
    // How a connection ends is the node's affair.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn answer(place: usize, shared: Rc<Shared>) -> Result<Response<Full<Bytes>>, Infallible> {
    if place < shared.silent.get() {
        std::future::pending::<()>().await;
    }
    if *shared.gate.borrow() == Gate::Shut {
        let held = Held::new(Rc::clone(&shared));
        let mut gate = shared.gate.subscribe();
        // The sender lives as long as the servers do.
        let _ = gate.wait_for(|gate| *gate == Gate::Open).await;
        drop(held);
    }
    let mut answer = Response::new(Full::new(shared.body.borrow().clone()));
    answer.headers_mut().insert("srv-cache", HeaderValue::from_static("hit"));
    Ok(answer)
}

/// Counts a request as held for as long as it is.
struct Held(Rc<Shared>);

impl Held {
    fn new(shared: Rc<Shared>) -> Self {
        shared.held.set(shared.held.get() + 1);
        Self(shared)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - 1);
    }
}
