//! A bare relay, the baseline for the cost of the node's requests: it accepts, forwards over keep-alive connections
//! to the servers in turn, and answers. It has no routing decisions, queues or timeouts.

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

/// A server that the relay sends to, with its idle connections.
struct Target {
    address: SocketAddr,
    idle: RefCell<Vec<Sender>>,
}

struct Targets {
    all: Vec<Target>,
    next: Cell<usize>,
}

/// Runs in the child: prints the listening address and serves until it is killed.
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
    // Avoids delays of small responses by Nagle's algorithm.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| relay(request, Rc::clone(&targets)));
    // Errors of a connection are seen by its client.
    let _ = server::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn relay(
    request: Request<Incoming>,
    targets: Rc<Targets>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let index = targets.next.get();
    targets.next.set((index + 1) % targets.all.len().max(1));
    let response = match targets.all.get(index) {
        Some(target) => target.forward(request).await,
        None => None,
    };
    Ok(response.unwrap_or_else(|| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    }))
}

impl Target {
    async fn forward(&self, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let (mut head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        head.headers.insert(HOST, HeaderValue::from_str(&self.address.to_string()).ok()?);
        let mut sender = self.take_sender().await?;
        let response = sender.send_request(Request::from_parts(head, Full::new(body))).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        self.idle.borrow_mut().push(sender);
        Some(Response::from_parts(head, Full::new(body)))
    }

    /// Takes an idle connection, or opens a new one.
    async fn take_sender(&self) -> Option<Sender> {
        loop {
            let Some(mut idle_sender) = self.idle.borrow_mut().pop() else { break };
            if idle_sender.ready().await.is_ok() {
                return Some(idle_sender);
            }
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // An error of the connection shows at the request.
        spawn_local(async { drop(connection.await) });
        Some(sender)
    }
}

/// A relay that runs as a child process. It is killed on drop.
#[derive(Debug)]
pub struct Relay {
    child: Child,
    address: SocketAddr,
}

impl Relay {
    /// Starts a relay to the given servers.
    pub async fn start(programs: &Programs, targets: &[SocketAddr]) -> Result<Self, MeasureError> {
        let failed = MeasureError::io("the relay");
        let mut command = Command::new(&programs.lab);
        command.arg("hold").arg(std::process::id().to_string()).arg(&programs.lab);
        command.args(["measure-child", "relay"]);
        command.args(targets.iter().map(SocketAddr::to_string));
        command.kill_on_drop(true).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(&failed)?;
        let stdout = child.stdout.take().ok_or_else(|| failed(io::Error::other("no standard output")))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).await.map_err(&failed)?;
        let address = line.trim().parse().map_err(|_| MeasureError::Unexpected {
            source_name: "the relay",
            found: line.clone(),
            expected: "a listening address",
        })?;
        Ok(Self { child, address })
    }

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The process id.
    pub fn id(&self) -> i32 {
        self.child.id().and_then(|id| i32::try_from(id).ok()).unwrap_or(0)
    }

    /// Kills the process and waits for its exit.
    pub async fn stop(mut self) {
        // It may have exited by itself.
        let _ = self.child.kill().await;
    }
}
