//! Connection pools to cache servers, with one request at a time on each connection, and attempts on them.

use crate::net::body::{read_reserved_body, BodyError};
use crate::net::memory::{Memory, NoMemory, Reservation};
use crate::net::stream::Stream;
use crate::net::watched::{IoObserver, ObservedStream};
use bytes::Bytes;
use http_body_util::Full;
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
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tracing::debug;
use walkpick::policy::memory::{MemoryUse, SERVER_CONNECTION_BYTES, SERVER_ENTRY_BYTES};
use walkpick::wire::parse_load_report;
use walkpick::{Availability, CacheStatus, LoadReport, ServerEntry, ServerId, Status, Timestamp};

/// Maximum size of a request or response body.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum size of the head of a client's request, from which the head of a forwarded one is made.
pub const MAX_REQUEST_HEAD_BYTES: usize = 16 << 10;
pub const REQ_ID: HeaderName = HeaderName::from_static("req-id");
pub const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const DECLINED: HeaderName = HeaderName::from_static("srv-declined");
const LOAD: HeaderName = HeaderName::from_static("srv-load");
const CACHE: HeaderName = HeaderName::from_static("srv-cache");
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Size limit of hyper's buffers of a connection: a server chooses how much it sends at once. A request's
/// head is shorter, so it is always buffered together with its body, on which [`WriteProgress`] relies.
const MAX_BUFFER_BYTES: usize = 2 * MAX_REQUEST_HEAD_BYTES;

/// How long a connection stays idle after an answer before it is reused. A duplicate answer may follow some
/// milliseconds after the first and would be taken for the answer to the next request. By the end of this
/// time it has closed the connection.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(20);

/// Number of ranges of idle time that are tracked separately; each is twice as long as the one before, from
/// under 1 ms up.
const IDLE_BUCKETS: usize = 16;
/// Number of reuses over which the failure rate is averaged, and the rate above which a connection is not
/// reused.
const FAILURE_RATE_WINDOW: f64 = 16.0;
const MAX_FAILURE_RATE: f64 = 0.25;
/// Half-life of a measured failure rate, so that connections with such an idle time are tried again
/// eventually.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(10);

/// The parts of a client's request that are forwarded to a cache server.
#[derive(Debug)]
pub struct UpstreamRequest {
    pub method: Method,
    pub target: PathAndQuery,
    pub id: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    pub body: Bytes,
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    pub status: Status,
    pub cache_status: Option<CacheStatus>,
    pub load: LoadReport,
    /// The complete body of a 200 response.
    pub body: Option<Bytes>,
}

impl AttemptResult {
    /// A result without an answer from the server.
    pub fn without_answer(status: Status) -> Self {
        Self { status, cache_status: None, load: LoadReport::default(), body: None }
    }
}

/// Decides whether an attempt may start. It is checked right before the first byte is sent, since the
/// situation may have changed while the connection was being established.
#[derive(Clone, Debug)]
pub struct StartCondition {
    /// Set when the client has left or has its final answer.
    pub request_finished: Rc<Cell<bool>>,
    /// After this time a repeat might run twice, or nobody waits for the answer.
    pub deadline: Instant,
    /// Set when the attempt has started; from then on only the server can tell its outcome.
    pub started: Rc<Cell<bool>>,
}

impl StartCondition {
    /// Starts the attempt if that is allowed.
    fn try_start(&self) -> bool {
        let allowed = !self.request_finished.get() && Instant::now() < self.deadline;
        self.started.set(allowed);
        allowed
    }
}

/// Tracks whether a request has been handed to the system completely.
#[derive(Debug, Default)]
struct WriteProgress {
    started: Cell<bool>,
    complete: Cell<bool>,
}

impl WriteProgress {
    fn reset(&self) {
        self.started.set(false);
        self.complete.set(false);
    }
}

/// hyper puts the head and an available body into one buffer and flushes the socket only when that buffer is
/// empty, so a flush after a write marks the end of the request.
impl IoObserver for Rc<WriteProgress> {
    fn on_write(&self) {
        self.started.set(true);
    }

    fn on_flush(&self) {
        if self.started.get() {
            self.complete.set(true);
        }
    }
}

/// Failure rates of reused connections by the time they were idle. Servers close idle connections after the
/// time in the settings at the latest, but some close them much earlier without a sign. A request that must
/// not run twice is then lost.
#[derive(Debug, Default)]
struct ReuseFailureRates([Cell<Option<(f64, Instant)>>; IDLE_BUCKETS]);

impl ReuseFailureRates {
    fn bucket(&self, idle: Duration) -> &Cell<Option<(f64, Instant)>> {
        let doublings = idle.as_millis().checked_ilog2().map_or(0, |n| n as usize + 1);
        &self.0[doublings.min(IDLE_BUCKETS - 1)]
    }

    /// The recent failure rate of connections that were idle for about this long.
    fn rate(&self, idle: Duration, now: Instant) -> f64 {
        self.bucket(idle).get().map_or(0.0, |(rate, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            rate * (-age / FAILURE_RATE_HALF_LIFE.as_secs_f64()).exp2()
        })
    }

    fn record(&self, idle: Duration, failed: bool, now: Instant) {
        let rate = self.rate(idle, now);
        let failed = if failed { 1.0 } else { 0.0 };
        self.bucket(idle).set(Some((rate + (failed - rate) / FAILURE_RATE_WINDOW, now)));
    }
}

/// Counts one open connection to a cache server against the limits on their number and on memory.
struct ConnectionPermit {
    open: Rc<Cell<usize>>,
    _memory: Reservation,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

/// A connection. Dropping it closes the socket at once, even while an answer is outstanding; that is how an
/// attempt is cancelled.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    written: Rc<WriteProgress>,
    task: AbortHandle,
    /// Shared with the task, which drops it when the connection is closed. A connection in place of this one
    /// takes it over.
    permit: Rc<Cell<Option<ConnectionPermit>>>,
    idle_since: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The connection pool of a cache server.
struct Pool {
    address: Cell<SocketAddr>,
    takes_work: Cell<bool>,
    /// When the server's process started, according to discovery. Connections to an earlier process are dead.
    started: Cell<Option<Timestamp>>,
    /// Idle connections, the most recently used one last.
    idle: RefCell<Vec<Connection>>,
    /// What the server occupies in all lists and tables.
    _entry_memory: Reservation,
}

impl Pool {
    /// Takes the most recently used connection that has been idle for long enough.
    fn take_reusable(&self, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let index = idle
            .iter()
            .rposition(|kept| now.saturating_duration_since(kept.idle_since) >= MIN_IDLE_BEFORE_REUSE)?;
        Some(idle.remove(index))
    }
}

/// The connection pools of all cache servers, by server id.
pub struct Upstream {
    pools: RefCell<HashMap<ServerId, Rc<Pool>>>,
    open: Rc<Cell<usize>>,
    max_connections: usize,
    connect_timeout: Duration,
    idle_limit: Duration,
    failure_rates: ReuseFailureRates,
    memory: Arc<Memory>,
}

impl Upstream {
    /// Keeps at most `max_connections` connections open.
    pub fn new(
        max_connections: usize,
        connect_timeout: Duration,
        keepalive: Duration,
        memory: Arc<Memory>,
    ) -> Self {
        Self {
            pools: RefCell::default(),
            open: Rc::default(),
            max_connections,
            connect_timeout,
            idle_limit: idle_limit(keepalive, connect_timeout),
            failure_rates: ReuseFailureRates::default(),
            memory,
        }
    }

    /// Number of connections to cache servers that are open.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Applies a discovery entry to the server's pool.
    pub fn apply(&self, entry: &ServerEntry, dial: Option<SocketAddr>) {
        let takes_work = entry.availability == Availability::Ready;
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(&entry.id) {
            let moved = dial.is_some_and(|dial| pool.address.replace(dial) != dial);
            let restarted = pool.started.replace(entry.started) != entry.started;
            pool.takes_work.set(takes_work);
            if moved || restarted || !takes_work {
                let closed = pool.idle.borrow_mut().drain(..).count();
                debug!(target: "servers", server = %entry.id, closed, moved, restarted, takes_work, "idle connections closed");
            }
        } else if let Some(dial) = dial {
            let (address, takes_work, started) =
                (Cell::new(dial), Cell::new(takes_work), Cell::new(entry.started));
            let idle = RefCell::default();
            let mut entry_memory = self.memory.reservation(MemoryUse::ServerEntry);
            // Always granted: connections and bodies have to do with what the list leaves them.
            let _ = entry_memory.try_resize(SERVER_ENTRY_BYTES);
            let pool = Pool { address, takes_work, started, idle, _entry_memory: entry_memory };
            pools.insert(entry.id.clone(), Rc::new(pool));
        }
    }

    /// Removes a server. Attempts that are still connecting to it see that it no longer takes work.
    pub fn remove(&self, server: &ServerId) {
        if let Some(pool) = self.pools.borrow_mut().remove(server) {
            pool.takes_work.set(false);
            let closed = pool.idle.borrow_mut().drain(..).count();
            debug!(target: "servers", %server, closed, "idle connections closed: server removed");
        }
    }

    /// Removes all servers but those for which `keep` is true; used for full lists.
    pub fn retain(&self, keep: impl Fn(&ServerId) -> bool) {
        let removed: Vec<_> = self.pools.borrow().keys().filter(|id| !keep(id)).cloned().collect();
        removed.iter().for_each(|id| self.remove(id));
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: &ServerId) {
        if let Some(pool) = self.pools.borrow().get(server) {
            let closed = pool.idle.borrow_mut().drain(..).count();
            debug!(target: "servers", %server, closed, "idle connections closed: rarely used");
        }
    }

    /// Closes idle connections before their servers do.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            for pool in self.pools.borrow().values() {
                pool.idle.borrow_mut().retain(|kept| self.is_reusable(kept));
            }
        }
    }

    fn is_reusable(&self, connection: &Connection) -> bool {
        let (idle, now) = (connection.idle_since.elapsed(), Instant::now());
        !connection.sender.is_closed()
            && idle < self.idle_limit
            && self.failure_rates.rate(idle, now) <= MAX_FAILURE_RATE
    }

    /// Makes one attempt, until its answer is complete, its connection breaks or `until` has passed. After
    /// connecting, it is not sent if it may no longer start: the server may have been withdrawn or the client
    /// may have left meanwhile.
    pub async fn attempt(
        &self,
        server: &ServerId,
        message: &UpstreamRequest,
        until: Instant,
        start: &StartCondition,
    ) -> AttemptResult {
        let pool = self.pools.borrow().get(server).cloned();
        let Some(pool) = pool else { return AttemptResult::without_answer(Status::Ignored) };
        let (mut connection, idle) = match timeout_at(until.min(start.deadline), self.connection(&pool)).await
        {
            Ok(Ok(connected)) => connected,
            // Not the server's fault: all permitted connections are in use by other attempts.
            Ok(Err(error)) if error.kind() == io::ErrorKind::QuotaExceeded => {
                return AttemptResult::without_answer(Status::Ignored)
            }
            _ => return AttemptResult::without_answer(Status::ConnectError),
        };
        if !pool.takes_work.get() {
            return AttemptResult::without_answer(Status::Ignored);
        }
        if !start.try_start() {
            self.return_to_pool(&pool, connection);
            return AttemptResult::without_answer(Status::Ignored);
        }
        let Ok(request) = build_request(&pool, message, until) else {
            return AttemptResult::without_answer(Status::ConnectError);
        };
        connection.written.reset();
        let reservation = self.memory.reservation(MemoryUse::Answer);
        let answer = timeout_at(until, exchange(&mut connection.sender, request, reservation)).await;
        let fully_sent = connection.written.complete.get();
        if let (Some(idle), Ok(answer)) = (idle, &answer) {
            self.failure_rates.record(idle, answer.is_err(), Instant::now());
        }
        match answer {
            Ok(Ok((result, reusable))) => {
                if reusable && pool.takes_work.get() {
                    self.return_to_pool(&pool, connection);
                }
                result
            }
            Ok(Err(_)) if fully_sent => AttemptResult::without_answer(Status::Reset),
            Err(_) if fully_sent => AttemptResult::without_answer(Status::TimedOut),
            _ => AttemptResult::without_answer(Status::ConnectError),
        }
    }

    fn return_to_pool(&self, pool: &Pool, mut connection: Connection) {
        if !connection.sender.is_closed() {
            connection.idle_since = Instant::now();
            pool.idle.borrow_mut().push(connection);
        }
    }

    /// Returns a connection and, if it is a pooled one, how long it was idle.
    async fn connection(&self, pool: &Pool) -> io::Result<(Connection, Option<Duration>)> {
        loop {
            let Some(mut kept) = pool.take_reusable(Instant::now()) else { break };
            if self.is_reusable(&kept) && kept.sender.ready().await.is_ok() {
                let idle = kept.idle_since.elapsed();
                return Ok((kept, Some(idle)));
            }
        }
        let permit = Rc::new(Cell::new(Some(self.reserve_connection()?)));
        let connecting = async {
            let stream = Stream::from(TcpStream::connect(pool.address.get()).await?);
            let written = Rc::new(WriteProgress::default());
            let mut http = http1::Builder::new();
            http.max_buf_size(MAX_BUFFER_BYTES);
            let observed = ObservedStream { stream, observer: written.clone() };
            let (sender, connection) =
                http.handshake(TokioIo::new(observed)).await.map_err(io::Error::other)?;
            let held_permit = permit.clone();
            let task = tokio::task::spawn_local(async move {
                // An error shows in the attempt on this connection, or when it is taken from the pool.
                let _ = connection.await;
                drop(held_permit.take());
            });
            let (task, idle_since) = (task.abort_handle(), Instant::now());
            Ok((Connection { sender, written, task, permit, idle_since }, None))
        };
        timeout(self.connect_timeout, connecting).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Reserves a new connection. If a limit is reached, the connection that has been idle longest is closed:
    /// a node that has connected to every server once must still be able to reach the one it needs.
    fn reserve_connection(&self) -> io::Result<ConnectionPermit> {
        loop {
            if let Some(permit) = self.try_reserve_connection() {
                return Ok(permit);
            }
            let closed = self.take_longest_idle().ok_or(io::ErrorKind::QuotaExceeded)?;
            // None if its server has closed it: then a permit has become free.
            if let Some(permit) = closed.permit.take() {
                return Ok(permit);
            }
        }
    }

    /// Closes the connection that has been idle longest, for its memory; `false` if none is idle.
    pub fn close_longest_idle(&self) -> bool {
        self.take_longest_idle().is_some()
    }

    fn try_reserve_connection(&self) -> Option<ConnectionPermit> {
        if self.open.get() >= self.max_connections {
            return None;
        }
        let memory = self.memory.try_reserve(MemoryUse::ServerConnection, SERVER_CONNECTION_BYTES);
        let memory = memory.map_err(|NoMemory| ()).ok()?;
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit { open: self.open.clone(), _memory: memory })
    }

    fn take_longest_idle(&self) -> Option<Connection> {
        let pools = self.pools.borrow();
        let idle = pools.values().filter_map(|pool| Some((pool.idle.borrow().first()?.idle_since, pool)));
        let (_, pool) = idle.min_by_key(|(idle_since, _)| *idle_since)?;
        let longest_idle = pool.idle.borrow_mut().remove(0);
        Some(longest_idle)
    }
}

/// When an idle connection is retired. Its server closes it after it has been idle for `keepalive` at the
/// latest, and a request under way at that moment ends as a reset. The margin of twice the connect timeout
/// covers the transit time both ways. With a much larger margin, a node that uses each server a few times a
/// minute would have to reconnect for most requests.
fn idle_limit(keepalive: Duration, connect_timeout: Duration) -> Duration {
    keepalive.saturating_sub(connect_timeout * 2).max(keepalive / 2)
}

fn build_request(
    pool: &Pool,
    message: &UpstreamRequest,
    until: Instant,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let remaining_ms = until.saturating_duration_since(Instant::now()).as_millis() as u64;
    let mut request = Request::builder()
        .method(message.method.clone())
        .uri(Uri::from(message.target.clone()))
        .header(HOST, pool.address.get().to_string())
        .header(REQ_ID, message.id.clone())
        .header(REQ_DEADLINE, remaining_ms);
    if let Some(key) = &message.idempotency_key {
        request = request.header(IDEMPOTENCY_KEY, key.clone());
    }
    request.body(Full::new(message.body.clone()))
}

/// Sends a request and reads the answer. The flag says whether the connection can be reused.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    reservation: Reservation,
) -> Result<(AttemptResult, bool), hyper::Error> {
    let response = sender.send_request(request).await?;
    let status = response_status(&response);
    let text = |name: &HeaderName| response.headers().get(name).and_then(|value| value.to_str().ok());
    let cache_status = match text(&CACHE) {
        Some("hit") => Some(CacheStatus::Hit),
        Some("miss") => Some(CacheStatus::Miss),
        Some("pending") => Some(CacheStatus::MissFetching),
        _ => None,
    };
    let load = text(&LOAD).map_or_else(LoadReport::default, |text| parse_load_report(text, '='));
    match read_reserved_body(response.into_body(), MAX_BODY_BYTES, reservation).await {
        Ok(body) => {
            let body = (status == Status::Ok).then_some(body);
            Ok((AttemptResult { status, cache_status, load, body }, true))
        }
        Err(BodyError::Incomplete(error)) => Err(error),
        // Larger than any valid answer, or than there is memory for: the request ran, but its answer is
        // useless.
        Err(BodyError::TooLong(_) | BodyError::NoMemory(_)) => {
            Ok((AttemptResult { status: Status::Failed, cache_status, load, body: None }, false))
        }
    }
}

fn response_status(response: &Response<Incoming>) -> Status {
    let declined = response.headers().get(DECLINED).is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::OK => Status::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Status::QueueFull,
        _ => Status::Failed,
    }
}

#[cfg(test)]
mod tests;
