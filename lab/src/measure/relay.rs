//! A bare relay, the measure of what the node's requests cost: it accepts, forwards over a kept connection to each server
//! in turn, and answers. It decides nothing, waits for nothing and keeps no times.

use super::{MeasureError, Programs};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::process::Stdio;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::runtime;
use tokio::task::{spawn_local, LocalSet};

type Sender = SendRequest<Full<Bytes>>;

/// One server that the relay sends to.
struct Target {
    address: SocketAddr,
    idle: RefCell<Vec<Sender>>,
}

struct Targets {
    all: Vec<Target>,
    next: Cell<usize>,
}

/// The child's part: serves until it is killed, and prints where.
pub fn serve(targets: &[SocketAddr]) -> io::Result<()> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        let target = |&address| Target { address, idle: RefCell::default() };
        let targets = Rc::new(Targets { all: targets.iter().map(target).collect(), next: Cell::new(0) });
        loop {
            let (stream, _) = listener.accept().await?;
            spawn_local(connection(stream, Rc::clone(&targets)));
        }
    })
}

async fn connection(stream: TcpStream, targets: Rc<Targets>) {
    // Without it small answers wait for each other.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| relay(request, Rc::clone(&targets)));
    // How a connection ends is its client's affair.
    let _ = server::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn relay(
    request: Request<Incoming>,
    targets: Rc<Targets>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let place = targets.next.get();
    targets.next.set((place + 1) % targets.all.len().max(1));
    let answer = match targets.all.get(place) {
        Some(target) => target.forward(request).await,
        None => None,
    };
    Ok(answer.unwrap_or_else(|| {
        let mut answer = Response::new(Full::default());
        *answer.status_mut() = StatusCode::BAD_GATEWAY;
        answer
    }))
}

impl Target {
    async fn forward(&self, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let (mut head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        head.headers.insert(HOST, HeaderValue::from_str(&self.address.to_string()).ok()?);
        let mut sender = self.sender().await?;
        let answer = sender.send_request(Request::from_parts(head, Full::new(body))).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        self.idle.borrow_mut().push(sender);
        Some(Response::from_parts(head, Full::new(body)))
    }

    /// A kept connection, or a new one.
    async fn sender(&self) -> Option<Sender> {
        loop {
            let Some(mut kept) = self.idle.borrow_mut().pop() else { break };
            if kept.ready().await.is_ok() {
                return Some(kept);
            }
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // How it breaks shows at the request.
        spawn_local(async { drop(connection.await) });
        Some(sender)
    }
}

/// A relay that runs as a child. Dropped, it is killed.
#[derive(Debug)]
pub struct Relay {
    child: Child,
    address: SocketAddr,
}

impl Relay {
    /// Starts one that sends to these.
    pub async fn start(programs: &Programs, targets: &[SocketAddr]) -> Result<Self, MeasureError> {
        let failed = MeasureError::machine("the relay");
        let mut command = Command::new(&programs.lab);
        command.arg("hold").arg(std::process::id().to_string()).arg(&programs.lab);
        command.args(["measure-child", "relay"]);
        command.args(targets.iter().map(SocketAddr::to_string));
        command.kill_on_drop(true).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(&failed)?;
        let out = child.stdout.take().ok_or_else(|| failed(io::Error::other("no output")))?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).await.map_err(&failed)?;
        let address = line.trim().parse().map_err(|_| MeasureError::Child {
            child: "the relay",
            found: line.clone(),
            expected: "where it listens",
        })?;
        Ok(Self { child, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its process.
    pub fn id(&self) -> i32 {
        self.child.id().and_then(|id| i32::try_from(id).ok()).unwrap_or(0)
    }

    /// Kills it and waits for its end.
    pub async fn stop(mut self) {
        // It may have ended by itself.
        let _ = self.child.kill().await;
    }
}
