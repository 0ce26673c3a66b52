//! Serves clients: reads requests, passes them to the driver, writes the answers and detects disconnects.

use crate::net::body::{read_body, BodyError};
use crate::net::lifecycle::{LagMonitor, Stage};
use crate::net::read_ahead::{ReadAhead, SharedStream};
use crate::net::stream::Stream;
use crate::net::upstream::{
    UpstreamRequest, IDEMPOTENCY_KEY, MAX_BODY_BYTES, MAX_REQUEST_HEAD_BYTES, REQ_DEADLINE, REQ_ID,
};
use crate::net::watched::{IoObserver, ObservedStream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, ALLOW, CONNECTION, RETRY_AFTER};
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::hash::{DefaultHasher, Hasher};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::str::FromStr;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};
use tracing::{debug, info, warn};
use walkpick::{ClassId, Name, Settings, TenantId};

const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
const REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
const REQ_RETRY: HeaderName = HeaderName::from_static("req-retry");
const REQ_COST: HeaderName = HeaderName::from_static("req-cost");
/// A connection that sends no complete head for this long is closed, so that dead ones cannot exhaust the
/// limit.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// A client must send its first request completely within this time of connecting, and the body of each
/// further one within this time of its head: a client that sends less, or nothing, is due an error or a close
/// within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A first request read this soon after its connection was accepted may have been sent together with it.
const SENT_WITH_CONNECT_WINDOW: Duration = Duration::from_millis(50);
/// Backoff after a failed accept; it starts at the minimum and doubles up to the maximum. It starts small
/// since an aborted connection says nothing about the next one, which has a client waiting. It is needed
/// since an immediate retry without a free file descriptor would fail again and spin.
const MIN_ACCEPT_BACKOFF: Duration = Duration::from_millis(1);
const MAX_ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// A complete request of a client.
#[derive(Debug)]
pub struct ClientRequest {
    /// A unique number of the request; the id that the client chose may repeat.
    pub number: u64,
    /// When it arrived, assuming that it waited unread for as long as it may have.
    pub received_at: Instant,
    /// The event loop's lag when the request was read; its answer may be late by as much.
    pub lag: Duration,
    /// How long the client waits.
    pub timeout: Duration,
    pub class: ClassId,
    /// The class's name, and its latency target.
    pub class_name: Name,
    pub latency_target: Duration,
    pub tenant: Option<TenantId>,
    pub key: Option<u64>,
    pub expected_work: Option<Duration>,
    pub write: bool,
    pub client_retry: bool,
    pub upstream_request: UpstreamRequest,
    /// Set when the client has left or has its final answer: no attempt starts after that.
    pub finished: Rc<Cell<bool>>,
    pub answer: oneshot::Sender<Answer>,
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// The body of the cache server's answer.
    Served(Bytes),
    /// Not executed and safe to retry.
    Refused { retry_after: Duration },
    /// Not executed, or not known.
    Failed,
}

/// An event from a client.
#[derive(Debug)]
pub enum ClientEvent {
    Request(Box<ClientRequest>),
    /// The client of the request with this number has disconnected.
    Disconnected(u64),
}

/// Receives the events of clients.
pub type EventSink = Rc<dyn Fn(ClientEvent)>;

/// State shared by all client connections.
pub struct Frontend {
    /// The classes' names and latency targets.
    pub classes: Vec<(Name, Duration)>,
    pub tenants: Vec<Name>,
    pub ready: Rc<Cell<bool>>,
    pub lag_monitor: Rc<LagMonitor>,
    pub stage: watch::Receiver<Stage>,
    pub events: EventSink,
    pub next_number: Cell<u64>,
    /// When the last answer was given.
    pub last_answer_at: Cell<Option<Instant>>,
    idle: IdleConnections,
}

/// Connections without a request in progress, by the time since which they have been idle.
#[derive(Default)]
struct IdleConnections {
    next_number: Cell<u64>,
    /// A connection had to be closed while none was idle: the next one to become idle is closed.
    close_next: Cell<bool>,
    by_age: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

impl IdleConnections {
    /// Asks the connection that has been idle longest to close, in favour of one in the backlog.
    fn make_room(&self) {
        match self.by_age.borrow_mut().pop_first() {
            Some((_, close)) => close.notify_one(),
            None => self.close_next.set(true),
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing: it may be closed, and a request that its client is just sending is retried elsewhere.
    Idle,
    /// A request has started to arrive and is not complete.
    Reading,
    /// A complete request is owed an answer.
    Answering,
}

/// Why a client's connection was closed; shown in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The client closed it or asked for that, or sent something that is not HTTP.
    ByClient,
    /// No complete first request arrived in time.
    NoRequest,
    /// The client left before it had its answer.
    Left,
    /// It was closed in favour of a connection in the backlog.
    MakesRoom,
    /// The node is shutting down: idle connections close at once, others after their answer.
    Stopping,
    /// The node reached the time of its exit.
    NodeGone,
}

/// A client's connection; it is registered as idle while no request is in progress.
struct ClientConnection {
    frontend: Rc<Frontend>,
    close_requested: Rc<Notify>,
    number: Cell<u64>,
    arrival: Arrival,
    opened_at: Instant,
    /// Number of request heads received.
    requests: Cell<u64>,
    phase: Cell<Phase>,
    /// It has been asked to close: the next answer is its last.
    closing: Cell<bool>,
}

impl ClientConnection {
    fn new(frontend: Rc<Frontend>, arrival: Arrival) -> Self {
        let (close_requested, number, requests, closing) = Default::default();
        let (opened_at, phase) = (arrival.waiting_since, Cell::new(Phase::Idle));
        let conn = Self { frontend, close_requested, number, arrival, opened_at, requests, phase, closing };
        conn.mark_idle();
        conn
    }

    fn mark_idle(&self) {
        self.phase.set(Phase::Idle);
        let idle = &self.frontend.idle;
        if idle.close_next.take() {
            return self.close_requested.notify_one();
        }
        self.number.set(idle.next_number.replace(idle.next_number.get() + 1));
        idle.by_age.borrow_mut().insert(self.number.get(), self.close_requested.clone());
    }

    /// Completes when the time for the first request is over and none has arrived.
    async fn first_request_timeout(&self) {
        sleep_until(self.opened_at + REQUEST_TIMEOUT).await;
        if self.requests.get() > 0 {
            std::future::pending().await
        }
    }

    /// Notes that a request has started to arrive.
    fn mark_reading(&self) {
        if self.phase.get() == Phase::Idle {
            self.phase.set(Phase::Reading);
            self.unregister_idle();
        }
    }

    /// Notes the head of a request and returns the time by which the request must be complete.
    fn head_received(&self) -> Instant {
        self.mark_reading();
        let requests = self.requests.replace(self.requests.get() + 1);
        let from = if requests == 0 { self.opened_at } else { Instant::now() };
        from + REQUEST_TIMEOUT
    }

    /// Logs why the connection closes. Only a close by the client, the usual case, is logged at debug level.
    fn log_close(&self, reason: CloseReason) {
        let (phase, requests) = (self.phase.get(), self.requests.get());
        let age_ms = self.opened_at.elapsed().as_millis() as u64;
        match reason {
            CloseReason::ByClient => {
                debug!(target: "clients", ?reason, ?phase, requests, age_ms, "client connection closed");
            }
            _ => info!(target: "clients", ?reason, ?phase, requests, age_ms, "client connection closed"),
        }
    }

    /// How long the request that is read completely at `now` may have waited in the accept backlog.
    fn time_in_backlog(&self, now: Instant) -> Duration {
        if self.requests.get() == 1 {
            self.arrival.time_in_backlog(now)
        } else {
            Duration::ZERO
        }
    }

    fn unregister_idle(&self) {
        self.frontend.idle.by_age.borrow_mut().remove(&self.number.get());
    }
}

impl IoObserver for Rc<ClientConnection> {
    fn on_read(&self) {
        self.mark_reading();
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.unregister_idle();
    }
}

impl Frontend {
    pub fn new(
        settings: &Settings,
        ready: Rc<Cell<bool>>,
        lag_monitor: Rc<LagMonitor>,
        stage: watch::Receiver<Stage>,
        events: EventSink,
    ) -> Self {
        Self {
            classes: settings
                .classes
                .iter()
                .map(|class| (class.name.clone(), class.latency_target))
                .collect(),
            tenants: settings.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            ready,
            lag_monitor,
            stage,
            events,
            next_number: Cell::new(0),
            last_answer_at: Cell::default(),
            idle: IdleConnections::default(),
        }
    }
}

/// Accepts and serves connections until the node closes, and returns when every connection has ended. At most
/// `max_connections` are open; further ones wait in the backlog.
pub async fn serve(listener: TcpListener, frontend: Rc<Frontend>, max_connections: usize) {
    let slots = Arc::new(Semaphore::new(max_connections));
    let mut stage = frontend.stage.clone();
    let mut closing = pin!(stage.wait_for(|stage| *stage >= Stage::Closing));
    let mut failures = AcceptFailures::default();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listener, &slots, &frontend.idle, &mut failures) => accepted,
            _ = &mut closing => break,
        };
        match accepted {
            Ok((stream, slot)) => spawn_connection(stream, slot, failures.record_accept(), &frontend),
            Err(error) => failures.back_off(&error).await,
        }
    }
    let mut stage_exiting = frontend.stage.clone();
    tokio::select! {
        biased;
        accepted = accept_backlog(listener, &slots, &frontend) => if let Err(error) = accepted {
            warn!(target: "clients", %error, "cannot accept the connections in the backlog");
        },
        _ = stage_exiting.wait_for(|stage| *stage == Stage::Exiting) => {}
    }
    // All permits are free once the last connection has ended. The semaphore is never closed.
    let _ = slots.acquire_many(max_connections as u32).await;
}

/// Accepts the connections in the backlog: a request on them counts as accepted. It calls the system
/// directly, since the runtime only knows the readiness it polled last, and an overloaded node polls rarely.
async fn accept_backlog(
    listener: TcpListener,
    slots: &Arc<Semaphore>,
    frontend: &Rc<Frontend>,
) -> io::Result<()> {
    let listener = listener.into_std()?;
    let mut failures = AcceptFailures::default();
    loop {
        let slot = slots.clone().acquire_owned().await.map_err(io::Error::other)?;
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                spawn_connection(TcpStream::from_std(stream)?, slot, failures.record_accept(), frontend);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            // If this never succeeds, the caller ends the loop.
            Err(error) => failures.back_off(&error).await,
        }
    }
}

/// Failed accepts, and since when connections may have been waiting because of them.
#[derive(Default)]
struct AcceptFailures {
    consecutive: u32,
    /// The first failure since the backlog was last empty.
    failing_since: Option<Instant>,
}

impl AcceptFailures {
    async fn back_off(&mut self, error: &io::Error) {
        self.failing_since.get_or_insert_with(Instant::now);
        let backoff =
            MIN_ACCEPT_BACKOFF.saturating_mul(1 << self.consecutive.min(10)).min(MAX_ACCEPT_BACKOFF);
        self.consecutive = self.consecutive.saturating_add(1);
        warn!(target: "clients", %error, in_a_row = self.consecutive, "cannot accept a connection");
        sleep(backoff).await;
    }

    /// Notes that a connection was accepted.
    fn record_accept(&mut self) -> Arrival {
        self.consecutive = 0;
        let accepted_at = Instant::now();
        Arrival { accepted_at, waiting_since: self.failing_since.unwrap_or(accepted_at) }
    }

    /// Notes that the backlog is empty.
    fn record_empty_backlog(&mut self) {
        self.failing_since = None;
    }
}

/// When a connection arrived.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    accepted_at: Instant,
    /// It may have been waiting since then because accepts failed.
    waiting_since: Instant,
}

impl Arrival {
    /// A connection that arrived just now.
    #[cfg(test)]
    fn now() -> Self {
        let now = Instant::now();
        Self { accepted_at: now, waiting_since: now }
    }

    /// How long a first request that is read completely at `now` may have waited in the accept backlog.
    fn time_in_backlog(&self, now: Instant) -> Duration {
        let sent_with_connect = now.saturating_duration_since(self.accepted_at) <= SENT_WITH_CONNECT_WINDOW;
        if sent_with_connect {
            self.accepted_at - self.waiting_since
        } else {
            Duration::ZERO
        }
    }
}

fn spawn_connection(
    stream: TcpStream,
    slot: OwnedSemaphorePermit,
    arrival: Arrival,
    frontend: &Rc<Frontend>,
) {
    let frontend = frontend.clone();
    tokio::task::spawn_local(async move {
        serve_connection(Stream::from(stream), arrival, frontend).await;
        drop(slot);
    });
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
    idle: &IdleConnections,
    failures: &mut AcceptFailures,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    if slots.available_permits() == 0 {
        // Clients keep their connections open: idle ones would keep all others out when the limit is reached,
        // and the system accepts requests on connections that are still in the backlog.
        idle.make_room();
    }
    let slot = slots.clone().acquire_owned().await.map_err(io::Error::other)?;
    let accepting = poll_fn(|cx| {
        let accepted = listener.poll_accept(cx);
        if accepted.is_pending() {
            failures.record_empty_backlog();
        }
        accepted
    });
    let (stream, _) = accepting.await?;
    Ok((stream, slot))
}

async fn serve_connection(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    arrival: Arrival,
    frontend: Rc<Frontend>,
) {
    let (mut stage, mut exit_stage) = (frontend.stage.clone(), frontend.stage.clone());
    let conn = Rc::new(ClientConnection::new(frontend.clone(), arrival));
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(MAX_REQUEST_HEAD_BYTES);
    let (stream, shared) = ReadAhead::new(stream);
    let service = service_fn(async |request| {
        let deadline = conn.head_received();
        let client_closes = asks_to_close(&request);
        let mut response = respond(&frontend, request, &conn, deadline).await;
        let closing = conn.closing.get() || *frontend.stage.borrow() >= Stage::Closing;
        if closing || client_closes || shared.overrun() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            shared.linger_on_close();
        }
        conn.mark_idle();
        Ok::<_, Infallible>(response)
    });
    let observed = ObservedStream { stream, observer: conn.clone() };
    let mut serving = pin!(http.serve_connection(TokioIo::new(observed), service));
    let (mut first_request_timeout, mut disconnected) =
        (pin!(conn.first_request_timeout()), pin!(client_disconnected(&conn, &shared)));
    // An error means that the client left or sent something that is not HTTP; hyper has answered if it could.
    let stopping = tokio::select! {
        biased;
        _ = &mut serving => return conn.log_close(CloseReason::ByClient),
        () = &mut first_request_timeout => return conn.log_close(CloseReason::NoRequest),
        () = &mut disconnected => return conn.log_close(CloseReason::Left),
        _ = stage.wait_for(|stage| *stage >= Stage::Closing) => true,
        () = conn.close_requested.notified() => false,
    };
    conn.log_close(if stopping { CloseReason::Stopping } else { CloseReason::MakesRoom });
    conn.closing.set(true);
    // hyper's graceful shutdown would drop a request that has started to arrive. Such a request is read to
    // its end, and its answer closes the connection. At shutdown the node also waits for the first request of
    // a connection that has sent nothing yet: clients connect in order to send, and the request may already
    // be waiting unread.
    let finish_request = match conn.phase.get() {
        Phase::Idle => stopping && conn.requests.get() == 0,
        Phase::Reading => true,
        Phase::Answering => false,
    };
    if !finish_request {
        serving.as_mut().graceful_shutdown();
    }
    // A request that never completes does not end by itself: it has until its original timeout, and no longer
    // than the node runs. Whatever arrives later is not accepted.
    tokio::select! {
        biased;
        _ = &mut serving => return,
        () = &mut first_request_timeout => return conn.log_close(CloseReason::NoRequest),
        () = &mut disconnected => return conn.log_close(CloseReason::Left),
        _ = exit_stage.wait_for(|stage| *stage == Stage::Exiting) => conn.log_close(CloseReason::NodeGone),
    }
    // A request that is owed an answer still gets it: an overdue node answers late rather than not at all.
    if conn.phase.get() == Phase::Answering {
        tokio::select! {
            biased;
            _ = &mut serving => {}
            () = &mut disconnected => {}
        }
    }
}

/// Completes when the client of a request that is being answered has disconnected. hyper notices that only if
/// no bytes follow the request.
async fn client_disconnected<S: AsyncRead + AsyncWrite + Unpin>(
    conn: &ClientConnection,
    shared: &SharedStream<S>,
) {
    poll_fn(|cx| match conn.phase.get() {
        Phase::Answering => shared.poll_disconnected(cx),
        Phase::Idle | Phase::Reading => Poll::Pending,
    })
    .await;
}

/// Notifies the driver if the client disconnects: hyper drops the future of the answer with the connection.
struct DisconnectGuard {
    number: u64,
    events: EventSink,
    finished: Rc<Cell<bool>>,
    answered: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.answered {
            self.finished.set(true);
            (self.events)(ClientEvent::Disconnected(self.number));
        }
    }
}

async fn respond(
    frontend: &Frontend,
    request: Request<Incoming>,
    conn: &ClientConnection,
    deadline: Instant,
) -> Reply {
    let response =
        handle_request(frontend, request, conn, deadline).await.unwrap_or_else(|rejection| rejection);
    frontend.last_answer_at.set(Some(Instant::now()));
    response
}

fn asks_to_close(request: &Request<Incoming>) -> bool {
    let tokens = request.headers().get(CONNECTION).and_then(|value| value.to_str().ok());
    tokens.is_some_and(|tokens| tokens.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}

type Reply = Response<Full<Bytes>>;

async fn handle_request(
    frontend: &Frontend,
    request: Request<Incoming>,
    conn: &ClientConnection,
    deadline: Instant,
) -> Result<Reply, Reply> {
    // A client's timeout runs from when it sent the request, which may have waited unread on a lagging node.
    let now = Instant::now();
    let lag = frontend.lag_monitor.current_lag(now);
    let received_at = now.checked_sub(lag.max(conn.time_in_backlog(now))).unwrap_or(now);
    let (head, body) = request.into_parts();
    let target = head
        .uri
        .path_and_query()
        .cloned()
        .ok_or_else(|| text_response(StatusCode::BAD_REQUEST, "no path"))?;
    if target.path() == "/healthz" {
        return match head.method {
            Method::GET if frontend.ready.get() && *frontend.stage.borrow() == Stage::Serving => {
                Ok(text_response(StatusCode::OK, "ready"))
            }
            Method::GET => Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")),
            _ => Err(method_not_allowed("GET")),
        };
    }
    let key = target.path().strip_prefix("/api/").and_then(|rest| rest.rsplit('/').next());
    let Some(key) = key.filter(|key| !key.is_empty()).map(key_number) else {
        return Err(text_response(StatusCode::NOT_FOUND, "no such path"));
    };
    if head.method != Method::GET && head.method != Method::PUT {
        return Err(method_not_allowed("GET, PUT"));
    }
    let headers = parse_headers(frontend, &head.headers)
        .map_err(|what| text_response(StatusCode::BAD_REQUEST, what))?;
    let too_large = || text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than 64 KiB");
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(too_large());
    }
    let body = match timeout_at(deadline, read_body(body, MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLong(_))) => return Err(too_large()),
        Ok(Err(BodyError::Incomplete(_))) => {
            return Err(text_response(StatusCode::BAD_REQUEST, "the body broke off"))
        }
        Err(_) => return Err(text_response(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
    };
    conn.phase.set(Phase::Answering);
    Ok(submit(frontend, (received_at, lag), key, target, head.method, headers, body).await)
}

/// The parsed headers of a request.
struct RequestHeaders {
    id: HeaderValue,
    idempotency_key: Option<HeaderValue>,
    timeout: Duration,
    class: ClassId,
    tenant: Option<TenantId>,
    expected_work: Option<Duration>,
    client_retry: bool,
}

fn parse_headers(frontend: &Frontend, headers: &HeaderMap) -> Result<RequestHeaders, &'static str> {
    let id = headers.get(REQ_ID).filter(|id| !id.is_empty()).ok_or("no Req-Id")?;
    let class = text(headers, &REQ_KIND)?.ok_or("no Req-Kind")?;
    let class =
        frontend.classes.iter().position(|(name, _)| name.as_str() == class).ok_or("unknown Req-Kind")?;
    let tenant = match text(headers, &REQ_OWNER)? {
        // Without configured tenants the header has no meaning.
        _ if frontend.tenants.is_empty() => None,
        None => return Err("no Req-Owner"),
        Some(owner) => {
            let index = frontend.tenants.iter().position(|name| name.as_str() == owner);
            Some(TenantId(index.ok_or("unknown Req-Owner")?))
        }
    };
    // 32 bits of milliseconds are under 50 days: far beyond any client's timeout, and safe to add to a clock.
    let timeout: u32 =
        number(headers, &REQ_DEADLINE, "unreadable Req-Deadline-Ms")?.ok_or("no Req-Deadline-Ms")?;
    let cost: Option<u32> = number(headers, &REQ_COST, "unreadable Req-Cost")?;
    Ok(RequestHeaders {
        id: id.clone(),
        idempotency_key: headers.get(IDEMPOTENCY_KEY).cloned(),
        timeout: Duration::from_millis(timeout.into()),
        class: ClassId(class),
        tenant,
        expected_work: cost.map(|us| Duration::from_micros(us.into())),
        client_retry: text(headers, &REQ_RETRY)? == Some("1"),
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, &'static str> {
    headers.get(name).map(|value| value.to_str().map_err(|_| "unreadable header")).transpose()
}

fn number<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
    error: &'static str,
) -> Result<Option<T>, &'static str> {
    text(headers, name)?.map(|text| text.parse().map_err(|_| error)).transpose()
}

/// Keys are 64-bit hexadecimal numbers; any other name is hashed, with the same result on every node.
fn key_number(name: &str) -> u64 {
    u64::from_str_radix(name, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        hasher.write(name.as_bytes());
        hasher.finish()
    })
}

async fn submit(
    frontend: &Frontend,
    (received_at, lag): (Instant, Duration),
    key: u64,
    target: PathAndQuery,
    method: Method,
    headers: RequestHeaders,
    body: Bytes,
) -> Reply {
    let number = frontend.next_number.replace(frontend.next_number.get() + 1);
    let (sender, receiver) = oneshot::channel();
    let finished = Rc::new(Cell::new(false));
    let (class_name, latency_target) = frontend.classes[headers.class.0].clone();
    let client_request = ClientRequest {
        number,
        received_at,
        lag,
        timeout: headers.timeout,
        class: headers.class,
        class_name,
        latency_target,
        tenant: headers.tenant,
        key: Some(key),
        expected_work: headers.expected_work,
        write: method == Method::PUT,
        client_retry: headers.client_retry,
        upstream_request: UpstreamRequest {
            method,
            target,
            id: headers.id,
            idempotency_key: headers.idempotency_key,
            body,
        },
        finished: finished.clone(),
        answer: sender,
    };
    let mut guard = DisconnectGuard { number, events: frontend.events.clone(), finished, answered: false };
    (frontend.events)(ClientEvent::Request(Box::new(client_request)));
    // The sender is dropped only when the node exits; a missing answer is a failure all the same.
    let answer = receiver.await.unwrap_or(Answer::Failed);
    guard.answered = true;
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Refused { retry_after } => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused: try again later");
            if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after.as_secs_f64())) {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        Answer::Failed => text_response(StatusCode::BAD_GATEWAY, "failed"),
    }
}

fn method_not_allowed(allowed: &'static str) -> Reply {
    let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, "no such method");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

fn text_response(status: StatusCode, text: &'static str) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests;
