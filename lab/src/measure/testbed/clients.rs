//! Clients that send at a constant rate over keep-alive connections, and clients that stay idle.

use super::super::MeasureError;
use super::{POLL_INTERVAL, WAIT_TIMEOUT};
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep_until, timeout, Instant};

/// Class and deadline of a client's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Profile {
    /// The class of the requests.
    pub class: &'static str,
    /// How long the client waits for an answer.
    pub deadline_ms: u64,
}

/// A generous deadline, for measurements of cost in which no request should be late.
pub const PATIENT: Profile = Profile { class: "patient", deadline_ms: 8_000 };
/// The deadline of the class with the strictest one.
pub const QUICK: Profile = Profile { class: "quick", deadline_ms: 550 };

/// Number of distinct keys that are requested.
const KEYS: u64 = 1_000;
/// Highest rate of a single client, in requests per second.
const MAX_CLIENT_RATE: f64 = 25.0;
/// Minimum number of clients, so that requests are spread out in time.
const MIN_CLIENTS: usize = 8;

/// Results of a load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// Responses with status 200.
    pub served: u64,
    /// Responses with a status of refusal (429 or 503).
    pub refused: u64,
    /// Other responses, and requests without a response.
    pub failed: u64,
}

impl ResponseCounts {
    /// The results that were counted after `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            served: self.served - earlier.served,
            refused: self.refused - earlier.refused,
            failed: self.failed - earlier.failed,
        }
    }

    /// All requests sent.
    pub fn total(&self) -> u64 {
        self.served + self.refused + self.failed
    }
}

/// A client with one connection.
#[derive(Debug)]
pub struct Client {
    sender: SendRequest<Empty<Bytes>>,
    target: SocketAddr,
    profile: Profile,
}

impl Client {
    /// Opens the connection.
    pub async fn connect(target: SocketAddr, profile: Profile) -> Result<Self, MeasureError> {
        let failed = MeasureError::io("a client's connection");
        let stream = TcpStream::connect(target).await.map_err(&failed)?;
        stream.set_nodelay(true).map_err(&failed)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| failed(std::io::Error::other(error)))?;
        // An error of the connection shows at the request.
        spawn_local(async { drop(connection.await) });
        Ok(Self { sender, target, profile })
    }

    /// Sends a request and reads the response. `None` means that the connection broke.
    pub async fn get(&mut self, path: &str, id: &str) -> Option<StatusCode> {
        self.sender.ready().await.ok()?;
        let request = Request::get(path)
            .header("host", self.target.to_string())
            .header("req-id", id)
            .header("req-kind", self.profile.class)
            .header("req-deadline-ms", self.profile.deadline_ms)
            .body(Empty::new())
            .ok()?;
        let response = self.sender.send_request(request).await.ok()?;
        let status = response.status();
        response.into_body().collect().await.ok()?;
        Some(status)
    }

    /// Requests the key derived from `number`.
    pub async fn get_numbered(&mut self, number: u64) -> Option<StatusCode> {
        let key = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) % KEYS;
        self.get(&format!("/api/{key:016x}"), &format!("q{number}")).await
    }
}

/// Whether the node's health check answers that it is ready.
pub async fn is_ready(node: SocketAddr) -> bool {
    let request = async {
        let mut client = Client::connect(node, PATIENT).await.ok()?;
        client.get("/healthz", "health").await
    };
    timeout(Duration::from_millis(500), request).await.is_ok_and(|status| status == Some(StatusCode::OK))
}

/// A running load of clients at a constant rate.
pub struct Load {
    workers: Vec<JoinHandle<()>>,
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    stop: Cell<bool>,
    counts: Cell<ResponseCounts>,
}

impl Shared {
    fn count(&self, status: Option<StatusCode>) {
        let mut counts = self.counts.get();
        match status {
            Some(StatusCode::OK) => counts.served += 1,
            Some(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => counts.refused += 1,
            _ => counts.failed += 1,
        }
        self.counts.set(counts);
    }
}

impl Load {
    /// Starts the load. Request numbers start at `first`; they are unique if loads use starts that are at least a
    /// million apart.
    pub async fn start(
        target: SocketAddr,
        profile: Profile,
        rate: f64,
        first: u64,
    ) -> Result<Self, MeasureError> {
        let count = ((rate / MAX_CLIENT_RATE).ceil() as usize).max(MIN_CLIENTS);
        let interval = Duration::from_secs_f64(count as f64 / rate);
        let shared = Rc::<Shared>::default();
        let (mut workers, start) = (Vec::with_capacity(count), Instant::now());
        for index in 0..count {
            let client = Client::connect(target, profile).await?;
            let first_due = start + interval.mul_f64(index as f64 / count as f64);
            let numbers = Numbers { next: first + index as u64, step: count as u64 };
            workers.push(spawn_local(run_client(client, first_due, interval, numbers, Rc::clone(&shared))));
        }
        Ok(Self { workers, shared })
    }

    /// The results so far.
    pub fn counts(&self) -> ResponseCounts {
        self.shared.counts.get()
    }

    /// Stops the load and returns its results.
    pub async fn stop(self) -> ResponseCounts {
        self.shared.stop.set(true);
        for worker in self.workers {
            // A client that ended early has already counted its failure.
            let _ = worker.await;
        }
        self.shared.counts.get()
    }
}

struct Numbers {
    next: u64,
    step: u64,
}

async fn run_client(
    mut client: Client,
    first_due: Instant,
    interval: Duration,
    mut numbers: Numbers,
    shared: Rc<Shared>,
) {
    let mut due = first_due;
    while !shared.stop.get() {
        sleep_until(due).await;
        due += interval;
        let status = client.get_numbered(numbers.next).await;
        shared.count(status);
        numbers.next += numbers.step;
        if status.is_none() {
            match Client::connect(client.target, client.profile).await {
                Ok(reconnected) => client = reconnected,
                Err(_) => return,
            }
        }
    }
}

/// Opens connections, sends one request over each and keeps them open.
pub async fn open_idle_clients(
    target: SocketAddr,
    count: usize,
    first: u64,
) -> Result<Vec<Client>, MeasureError> {
    let mut clients = Vec::with_capacity(count);
    for index in 0..count {
        let mut client = Client::connect(target, PATIENT).await?;
        let response = timeout(WAIT_TIMEOUT, client.get_numbered(first + index as u64)).await;
        if !matches!(response, Ok(Some(_))) {
            return Err(MeasureError::Timeout("an idle client's answer"));
        }
        clients.push(client);
    }
    tokio::time::sleep(POLL_INTERVAL).await;
    Ok(clients)
}
