//! Connections to cache servers, one request at a time on each; attempts and how they end.

use crate::net::stream::Stream;
use crate::net::watched::{Watch, Watched};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderName, HeaderValue, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tracing::debug;
use walkpick::wire::parse_load_report;
use walkpick::{Availability, CacheStatus, LoadReport, ServerEntry, ServerId, Status, Timestamp};

/// The largest body of a message either way.
pub const LARGEST_BODY: usize = 64 << 10;
pub const REQ_ID: HeaderName = HeaderName::from_static("req-id");
pub const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const DECLINED: HeaderName = HeaderName::from_static("srv-declined");
const LOAD: HeaderName = HeaderName::from_static("srv-load");
const CACHE: HeaderName = HeaderName::from_static("srv-cache");
const SWEEP: Duration = Duration::from_secs(1);

/// So long a connection rests after an answer. A second answer may follow some milliseconds behind the first, and a
/// request sent before it has come would be served with it: by the end of the rest it has closed the connection.
const REST: Duration = Duration::from_millis(20);

/// Lengths of idle time told apart, each twice the one before, from under a millisecond up.
const LENGTHS: usize = 16;
/// Uses over which the share of broken ones is averaged, and the share past which a connection is not used.
const WEAR_SPAN: f64 = 16.0;
const WORN: f64 = 0.25;
/// What was learnt of an idle time counts half after this long, so that it is tried again by and by.
const WEAR_HALF: Duration = Duration::from_secs(10);

/// What of a client's request goes on to a cache server.
#[derive(Debug)]
pub struct Message {
    pub method: Method,
    pub target: PathAndQuery,
    pub id: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    pub body: Bytes,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended {
    pub status: Status,
    pub note: Option<CacheStatus>,
    pub load: LoadReport,
    /// The body of a 200 answer, whole.
    pub body: Option<Bytes>,
}

impl Ended {
    /// An end that came with no answer.
    pub fn without_answer(status: Status) -> Self {
        Self { status, note: None, load: LoadReport::default(), body: None }
    }
}

/// Whether an attempt may begin: looked at right before its first byte, whatever went on while its connection came up.
#[derive(Clone, Debug)]
pub struct Start {
    /// The request is over: its client has left, or has its final answer.
    pub over: Rc<Cell<bool>>,
    /// From here on a repeat may run twice, or nobody waits.
    pub by: Instant,
    /// The attempt has begun: what it comes to is the server's to say.
    pub begun: Rc<Cell<bool>>,
}

impl Start {
    /// Begins the attempt, if it may.
    fn begin(&self) -> bool {
        let may = !self.over.get() && Instant::now() < self.by;
        self.begun.set(may);
        may
    }
}

/// Whether a request has left this machine's hands whole.
#[derive(Debug, Default)]
struct Written {
    begun: Cell<bool>,
    whole: Cell<bool>,
}

impl Written {
    fn reset(&self) {
        self.begun.set(false);
        self.whole.set(false);
    }
}

/// hyper puts a head and a body that is at hand into one buffer and flushes the socket only when that is empty: a
/// flush after a write is the end of it.
impl Watch for Rc<Written> {
    fn wrote(&self) {
        self.begun.set(true);
    }

    fn flushed(&self) {
        if self.begun.get() {
            self.whole.set(true);
        }
    }
}

/// How kept connections end when they are used again, by how long they stood idle. Servers close idle ones at
/// the latest after the time in the settings: some do so far sooner and without a sign, and then a request
/// that must not run twice is lost on them.
#[derive(Debug, Default)]
struct Wear([Cell<Option<(f64, Instant)>>; LENGTHS]);

impl Wear {
    fn length(&self, idle: Duration) -> &Cell<Option<(f64, Instant)>> {
        let doublings = idle.as_millis().checked_ilog2().map_or(0, |n| n as usize + 1);
        &self.0[doublings.min(LENGTHS - 1)]
    }

    /// The share that broke lately of those that had stood idle for about so long.
    fn share(&self, idle: Duration, now: Instant) -> f64 {
        self.length(idle).get().map_or(0.0, |(share, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            share * (-age / WEAR_HALF.as_secs_f64()).exp2()
        })
    }

    fn note(&self, idle: Duration, broke: bool, now: Instant) {
        let share = self.share(idle, now);
        let broke = if broke { 1.0 } else { 0.0 };
        self.length(idle).set(Some((share + (broke - share) / WEAR_SPAN, now)));
    }
}

/// A place among the descriptors that connections to cache servers may hold.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection. Dropping it closes the socket at once, also with an answer under way: that is how an
/// attempt is given up.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    written: Rc<Written>,
    task: AbortHandle,
    kept: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The connection pool of a cache server.
struct Pool {
    dial: Cell<SocketAddr>,
    takes_work: Cell<bool>,
    /// When its process started, as far as discovery told: what was connected to an earlier one is dead.
    started: Cell<Option<Timestamp>>,
    /// The one used last stands last.
    idle: RefCell<Vec<Connection>>,
}

impl Pool {
    /// Of the kept connections that have rested, the one used last.
    fn rested(&self, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let rested = idle.iter().rposition(|kept| now.saturating_duration_since(kept.kept) >= REST)?;
        Some(idle.remove(rested))
    }
}

/// The connection pools of all cache servers, by id.
pub struct Upstream {
    pools: RefCell<HashMap<ServerId, Rc<Pool>>>,
    open: Rc<Cell<usize>>,
    most: usize,
    connect_timeout: Duration,
    idle_limit: Duration,
    wear: Wear,
}

impl Upstream {
    /// Keeps at most `most` connections.
    pub fn new(most: usize, connect_timeout: Duration, keepalive: Duration) -> Self {
        Self {
            pools: RefCell::default(),
            open: Rc::default(),
            most,
            connect_timeout,
            idle_limit: idle_limit(keepalive, connect_timeout),
            wear: Wear::default(),
        }
    }

    /// Takes in what discovery says of a server.
    pub fn learn(&self, entry: &ServerEntry, dial: Option<SocketAddr>) {
        let takes_work = entry.availability == Availability::Ready;
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(&entry.id) {
            let moved = dial.is_some_and(|dial| pool.dial.replace(dial) != dial);
            let restarted = pool.started.replace(entry.started) != entry.started;
            pool.takes_work.set(takes_work);
            if moved || restarted || !takes_work {
                let closed = pool.idle.borrow_mut().drain(..).count();
                debug!(target: "servers", server = %entry.id, closed, moved, restarted, takes_work, "idle connections close");
            }
        } else if let Some(dial) = dial {
            let (dial, takes_work, started) =
                (Cell::new(dial), Cell::new(takes_work), Cell::new(entry.started));
            let idle = RefCell::default();
            pools.insert(entry.id.clone(), Rc::new(Pool { dial, takes_work, started, idle }));
        }
    }

    /// Forgets a server that is gone. An attempt on its way there sees that it takes no work any more.
    pub fn forget(&self, server: &ServerId) {
        if let Some(pool) = self.pools.borrow_mut().remove(server) {
            pool.takes_work.set(false);
            let closed = pool.idle.borrow_mut().drain(..).count();
            debug!(target: "servers", %server, closed, "idle connections close: the server is gone");
        }
    }

    /// Forgets all servers but those that `keep` names: a whole list lacks the others.
    pub fn retain(&self, keep: impl Fn(&ServerId) -> bool) {
        let left: Vec<_> = self.pools.borrow().keys().filter(|id| !keep(id)).cloned().collect();
        left.iter().for_each(|id| self.forget(id));
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: &ServerId) {
        if let Some(pool) = self.pools.borrow().get(server) {
            let closed = pool.idle.borrow_mut().drain(..).count();
            debug!(target: "servers", %server, closed, "idle connections close: they are used too seldom");
        }
    }

    /// Retires idle connections before their servers do.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP).await;
            for pool in self.pools.borrow().values() {
                pool.idle.borrow_mut().retain(|kept| self.fresh(kept));
            }
        }
    }

    fn fresh(&self, connection: &Connection) -> bool {
        let (idle, now) = (connection.kept.elapsed(), Instant::now());
        !connection.sender.is_closed() && idle < self.idle_limit && self.wear.share(idle, now) <= WORN
    }

    /// One attempt, until its answer is whole, its connection breaks or `until` comes. One that may not begin when
    /// its connection is there is not sent: the news may have come, or the client have left, meanwhile.
    pub async fn attempt(
        &self,
        server: &ServerId,
        message: &Message,
        until: Instant,
        start: &Start,
    ) -> Ended {
        let pool = self.pools.borrow().get(server).cloned();
        let Some(pool) = pool else { return Ended::without_answer(Status::Ignored) };
        let (mut connection, idle) = match timeout_at(until.min(start.by), self.connection(&pool)).await {
            Ok(Ok(connected)) => connected,
            // No server's fault: all places for connections are taken by attempts that are out.
            Ok(Err(error)) if error.kind() == io::ErrorKind::QuotaExceeded => {
                return Ended::without_answer(Status::Ignored)
            }
            _ => return Ended::without_answer(Status::ConnectError),
        };
        if !pool.takes_work.get() {
            return Ended::without_answer(Status::Ignored);
        }
        if !start.begin() {
            self.keep(&pool, connection);
            return Ended::without_answer(Status::Ignored);
        }
        let Ok(request) = request(&pool, message, until) else {
            return Ended::without_answer(Status::ConnectError);
        };
        connection.written.reset();
        let answer = timeout_at(until, exchange(&mut connection.sender, request)).await;
        let whole = connection.written.whole.get();
        if let (Some(idle), Ok(answer)) = (idle, &answer) {
            self.wear.note(idle, answer.is_err(), Instant::now());
        }
        match answer {
            Ok(Ok((ended, reusable))) => {
                if reusable && pool.takes_work.get() {
                    self.keep(&pool, connection);
                }
                ended
            }
            Ok(Err(_)) if whole => Ended::without_answer(Status::Reset),
            Err(_) if whole => Ended::without_answer(Status::TimedOut),
            _ => Ended::without_answer(Status::ConnectError),
        }
    }

    fn keep(&self, pool: &Pool, mut connection: Connection) {
        if !connection.sender.is_closed() {
            connection.kept = Instant::now();
            pool.idle.borrow_mut().push(connection);
        }
    }

    /// A connection, and for how long it has stood idle if it is a kept one.
    async fn connection(&self, pool: &Pool) -> io::Result<(Connection, Option<Duration>)> {
        loop {
            let Some(mut kept) = pool.rested(Instant::now()) else { break };
            if self.fresh(&kept) && kept.sender.ready().await.is_ok() {
                let idle = kept.kept.elapsed();
                return Ok((kept, Some(idle)));
            }
        }
        let slot = self.slot()?;
        let connecting = async {
            let stream = Stream::from(TcpStream::connect(pool.dial.get()).await?);
            let written = Rc::new(Written::default());
            let watched = Watched { stream, watch: written.clone() };
            let (sender, driving) =
                http1::handshake(TokioIo::new(watched)).await.map_err(io::Error::other)?;
            let task = tokio::task::spawn_local(async move {
                // How it ends shows at the attempt on it, or when it is taken from the idle ones.
                let _ = driving.await;
                drop(slot);
            });
            let (task, kept) = (task.abort_handle(), Instant::now());
            Ok((Connection { sender, written, task, kept }, None))
        };
        timeout(self.connect_timeout, connecting).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// A place for a new connection. Where all are taken the idle one that has stood longest gives way: a node
    /// that met every server once must not be kept from the one it needs by connections that nobody uses.
    fn slot(&self) -> io::Result<Slot> {
        if self.open.get() >= self.most {
            let pools = self.pools.borrow();
            let oldest =
                pools.values().filter_map(|p| Some((p.idle.borrow().first()?.kept, p))).min_by_key(|o| o.0);
            match oldest {
                Some((_, pool)) => drop(pool.idle.borrow_mut().remove(0)),
                None => return Err(io::ErrorKind::QuotaExceeded.into()),
            }
        }
        self.open.set(self.open.get() + 1);
        Ok(Slot(self.open.clone()))
    }
}

/// When a kept connection is retired. Its server closes it at the latest when it has stood idle for `keepalive`, and
/// a request that is on its way then ends as a reset: no way takes longer than a connection may take to come up and
/// back. Retired much sooner, the connections of a node that meets each server a few times a minute are made anew
/// for most requests.
fn idle_limit(keepalive: Duration, connect_timeout: Duration) -> Duration {
    keepalive.saturating_sub(connect_timeout * 2).max(keepalive / 2)
}

fn request(
    pool: &Pool,
    message: &Message,
    until: Instant,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
    let mut request = Request::builder()
        .method(message.method.clone())
        .uri(Uri::from(message.target.clone()))
        .header(HOST, pool.dial.get().to_string())
        .header(REQ_ID, message.id.clone())
        .header(REQ_DEADLINE, left);
    if let Some(key) = &message.idempotency_key {
        request = request.header(IDEMPOTENCY_KEY, key.clone());
    }
    request.body(Full::new(message.body.clone()))
}

/// Sends a request and reads its answer. The flag says whether the connection may carry another.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<(Ended, bool), hyper::Error> {
    let response = sender.send_request(request).await?;
    let status = outcome(&response);
    let text = |name: &HeaderName| response.headers().get(name).and_then(|value| value.to_str().ok());
    let note = match text(&CACHE) {
        Some("hit") => Some(CacheStatus::Hit),
        Some("miss") => Some(CacheStatus::Miss),
        Some("pending") => Some(CacheStatus::MissFetching),
        _ => None,
    };
    let load = text(&LOAD).map_or_else(LoadReport::default, |text| parse_load_report(text, '='));
    match Limited::new(response.into_body(), LARGEST_BODY).collect().await {
        Ok(body) => {
            let body = (status == Status::Ok).then(|| body.to_bytes());
            Ok((Ended { status, note, load, body }, true))
        }
        Err(error) => match error.downcast::<hyper::Error>() {
            Ok(broken) => Err(*broken),
            // Larger than any answer may be: it ran, and what it says is of no use.
            Err(_) => Ok((Ended { status: Status::Failed, note, load, body: None }, false)),
        },
    }
}

fn outcome(response: &Response<Incoming>) -> Status {
    let declined = response.headers().get(DECLINED).is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::OK => Status::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Status::QueueFull,
        _ => Status::Failed,
    }
}

#[cfg(test)]
mod tests;
