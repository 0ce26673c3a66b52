//! Clients that send at an even rate over kept connections, and those that only stand there.

use super::super::MeasureError;
use super::{LOOK, PATIENCE};
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

/// How a client asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Manner {
    /// The class of its requests.
    pub class: &'static str,
    /// How long it waits for an answer.
    pub deadline_ms: u64,
}

/// With room in its times: what is measured is a cost, and nothing is to be late.
pub const PATIENT: Manner = Manner { class: "patient", deadline_ms: 8_000 };
/// As clients of the quickest class ask.
pub const QUICK: Manner = Manner { class: "quick", deadline_ms: 550 };

/// Objects that are asked for.
const KEYS: u64 = 1_000;
/// A client that sends at an even rate sends so many a second at the most.
const RATE_OF_ONE: f64 = 25.0;
/// The least number of clients, so that their requests come spread out.
const FEWEST: usize = 8;

/// What came of a load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Answered with 200.
    pub served: u64,
    /// Answered with a status for a refusal.
    pub refused: u64,
    /// Answered otherwise, or not at all.
    pub failed: u64,
}

impl Answers {
    /// What came after `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            served: self.served - earlier.served,
            refused: self.refused - earlier.refused,
            failed: self.failed - earlier.failed,
        }
    }

    /// All that were asked.
    pub fn asked(&self) -> u64 {
        self.served + self.refused + self.failed
    }
}

/// A connection of a client.
#[derive(Debug)]
pub struct Client {
    sender: SendRequest<Empty<Bytes>>,
    target: SocketAddr,
    manner: Manner,
}

impl Client {
    /// Connects.
    pub async fn connect(target: SocketAddr, manner: Manner) -> Result<Self, MeasureError> {
        let failed = MeasureError::machine("a client's connection");
        let stream = TcpStream::connect(target).await.map_err(&failed)?;
        stream.set_nodelay(true).map_err(&failed)?;
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|error| failed(std::io::Error::other(error)))?;
        // How it breaks shows at the request.
        spawn_local(async { drop(connection.await) });
        Ok(Self { sender, target, manner })
    }

    /// Asks once. `None`: the connection broke.
    pub async fn ask(&mut self, path: &str, id: &str) -> Option<StatusCode> {
        self.sender.ready().await.ok()?;
        let request = Request::get(path)
            .header("host", self.target.to_string())
            .header("req-id", id)
            .header("req-kind", self.manner.class)
            .header("req-deadline-ms", self.manner.deadline_ms)
            .body(Empty::new())
            .ok()?;
        let response = self.sender.send_request(request).await.ok()?;
        let status = response.status();
        response.into_body().collect().await.ok()?;
        Some(status)
    }

    /// Asks for an object that its number stands for.
    pub async fn ask_numbered(&mut self, number: u64) -> Option<StatusCode> {
        let key = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) % KEYS;
        self.ask(&format!("/api/{key:016x}"), &format!("q{number}")).await
    }
}

/// Whether a node says that it is ready.
pub async fn healthy(node: SocketAddr) -> bool {
    let asking = async {
        let mut client = Client::connect(node, PATIENT).await.ok()?;
        client.ask("/healthz", "health").await
    };
    timeout(Duration::from_millis(500), asking).await.is_ok_and(|said| said == Some(StatusCode::OK))
}

/// Clients under way at an even rate.
pub struct Load {
    workers: Vec<JoinHandle<()>>,
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    stop: Cell<bool>,
    answers: Cell<Answers>,
}

impl Shared {
    fn count(&self, status: Option<StatusCode>) {
        let mut answers = self.answers.get();
        match status {
            Some(StatusCode::OK) => answers.served += 1,
            Some(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => answers.refused += 1,
            _ => answers.failed += 1,
        }
        self.answers.set(answers);
    }
}

impl Load {
    /// Begins. Numbers of requests start at `first`, and are never used twice where that is at least a million more.
    pub async fn begin(
        target: SocketAddr,
        manner: Manner,
        rate: f64,
        first: u64,
    ) -> Result<Self, MeasureError> {
        let count = ((rate / RATE_OF_ONE).ceil() as usize).max(FEWEST);
        let between = Duration::from_secs_f64(count as f64 / rate);
        let shared = Rc::<Shared>::default();
        let (mut workers, start) = (Vec::with_capacity(count), Instant::now());
        for place in 0..count {
            let client = Client::connect(target, manner).await?;
            let begins = start + between.mul_f64(place as f64 / count as f64);
            let numbers = Numbers { next: first + place as u64, step: count as u64 };
            workers.push(spawn_local(work(client, begins, between, numbers, Rc::clone(&shared))));
        }
        Ok(Self { workers, shared })
    }

    /// What has come of it up to now.
    pub fn answers(&self) -> Answers {
        self.shared.answers.get()
    }

    /// Ends, and says what came of it.
    pub async fn end(self) -> Answers {
        self.shared.stop.set(true);
        for worker in self.workers {
            // One that ended early has counted why.
            let _ = worker.await;
        }
        self.shared.answers.get()
    }
}

struct Numbers {
    next: u64,
    step: u64,
}

async fn work(
    mut client: Client,
    begins: Instant,
    between: Duration,
    mut numbers: Numbers,
    shared: Rc<Shared>,
) {
    let mut due = begins;
    while !shared.stop.get() {
        sleep_until(due).await;
        due += between;
        let status = client.ask_numbered(numbers.next).await;
        shared.count(status);
        numbers.next += numbers.step;
        if status.is_none() {
            match Client::connect(client.target, client.manner).await {
                Ok(anew) => client = anew,
                Err(_) => return,
            }
        }
    }
}

/// Clients that have asked once, and keep their connections.
pub async fn idle(target: SocketAddr, count: usize, first: u64) -> Result<Vec<Client>, MeasureError> {
    let mut clients = Vec::with_capacity(count);
    for place in 0..count {
        let mut client = Client::connect(target, PATIENT).await?;
        let asked = timeout(PATIENCE, client.ask_numbered(first + place as u64)).await;
        if !matches!(asked, Ok(Some(_))) {
            return Err(MeasureError::Late("an idle client's answer"));
        }
        clients.push(client);
    }
    tokio::time::sleep(LOOK).await;
    Ok(clients)
}
