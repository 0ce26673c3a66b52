//! The clients' side: reads requests, hands them to the driver, writes the answers, sees clients leave.

use crate::net::lifecycle::{Pulse, Stage};
use crate::net::read_ahead::{Held, ReadAhead};
use crate::net::stream::Stream;
use crate::net::upstream::{Message, IDEMPOTENCY_KEY, LARGEST_BODY, REQ_DEADLINE, REQ_ID};
use crate::net::watched::{Watch, Watched};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
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
/// A connection that brings no whole head for this long is closed, so that dead ones can't fill the table.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// A peer owes its first request whole within this time of connecting, and each further body within it of its
/// head: one that sends less, or nothing, is due an error or a close within 3 s.
const WHOLE_REQUEST: Duration = Duration::from_millis(2_500);
/// A first request that is read so soon after its connection was accepted may have come with it.
const CAME_WITH_CONNECTION: Duration = Duration::from_millis(50);
/// The most that hyper holds of what a client has sent: a flood of heads must not fill the memory.
const READ_MOST: usize = 16 << 10;
/// The pause after a failed accept, doubled with each that follows up to the most. A connection that was aborted says
/// nothing of the next one, and what waits behind it has a client whose time runs; where no descriptor is left, a try
/// at once would fail and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);
const ACCEPT_PAUSE_MOST: Duration = Duration::from_millis(20);

/// A client's request, read whole.
#[derive(Debug)]
pub struct Taken {
    /// A number that is never used twice: a client's own id might come again.
    pub ticket: u64,
    /// When it came: as long ago as the node may have left it unread.
    pub at: Instant,
    /// How far the node was behind when it read it: its answer may be late by as much.
    pub behind: Duration,
    /// How long the client waits.
    pub patience: Duration,
    pub class: ClassId,
    /// The class's name, and within which time its answers are worth most.
    pub kind: Name,
    pub aim: Duration,
    pub tenant: Option<TenantId>,
    pub key: Option<u64>,
    pub expected_work: Option<Duration>,
    pub write: bool,
    pub client_retry: bool,
    pub message: Message,
    /// Set once the client has left, or has its final answer: nothing more begins for it.
    pub over: Rc<Cell<bool>>,
    pub answer: oneshot::Sender<Answer>,
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// The body of the cache server's answer.
    Served(Bytes),
    /// Not done and safe to ask again.
    Refused { retry_after: Duration },
    /// Not done, or not known.
    Failed,
}

/// What clients bring.
#[derive(Debug)]
pub enum Word {
    Taken(Box<Taken>),
    /// The client of this ticket has gone.
    Left(u64),
}

/// Where it goes.
pub type Tell = Rc<dyn Fn(Word)>;

/// What all connections of clients share.
pub struct Front {
    /// The classes' names and aims.
    pub classes: Vec<(Name, Duration)>,
    pub tenants: Vec<Name>,
    pub ready: Rc<Cell<bool>>,
    pub pulse: Rc<Pulse>,
    pub stage: watch::Receiver<Stage>,
    pub tell: Tell,
    pub tickets: Cell<u64>,
    /// When the last answer was given.
    pub answered: Cell<Option<Instant>>,
    idle: IdleConnections,
}

/// The connections with no request in them, the one that has stood so longest first.
#[derive(Default)]
struct IdleConnections {
    next: Cell<u64>,
    /// None was idle when room was needed: the next one that is gives way.
    wanted: Cell<bool>,
    waiting: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

impl IdleConnections {
    /// Asks the oldest to close, in favour of one that waits unaccepted.
    fn make_room(&self) {
        match self.waiting.borrow_mut().pop_first() {
            Some((_, close)) => close.notify_one(),
            None => self.wanted.set(true),
        }
    }
}

/// What goes on in a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing: it may be closed, and what its client is sending just then is sent anew elsewhere.
    Idle,
    /// A request has begun to come and is not whole.
    Reading,
    /// A whole request is in it, which is owed an answer.
    Answering,
}

/// Why a client's connection ends, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndOfConnection {
    /// Its client closed it or asked for its close, or what it sent was no request.
    ByClient,
    /// No whole request came within the time for the first one.
    NoRequest,
    /// Its client left before it had its answer.
    Left,
    /// It gives its place to a connection that waits.
    MakesRoom,
    /// The node stops: idle connections close, others with their answer.
    Stopping,
    /// The node's time is over.
    NodeGone,
}

/// A connection's place among the idle ones: it has one while nothing goes on in it.
struct Place {
    front: Rc<Front>,
    close: Rc<Notify>,
    number: Cell<u64>,
    arrival: Arrival,
    opened: Instant,
    /// Heads of requests that came on it.
    heads: Cell<u64>,
    phase: Cell<Phase>,
    /// It was told to close: the next answer is its last.
    closing: Cell<bool>,
}

impl Place {
    fn new(front: Rc<Front>, arrival: Arrival) -> Self {
        let (close, number, heads, closing) = Default::default();
        let (opened, phase) = (arrival.waiting_since, Cell::new(Phase::Idle));
        let place = Self { front, close, number, arrival, opened, heads, phase, closing };
        place.enter();
        place
    }

    fn enter(&self) {
        self.phase.set(Phase::Idle);
        let idle = &self.front.idle;
        if idle.wanted.take() {
            return self.close.notify_one();
        }
        self.number.set(idle.next.replace(idle.next.get() + 1));
        idle.waiting.borrow_mut().insert(self.number.get(), self.close.clone());
    }

    /// Ends when the time for a first request is over and none has come.
    async fn silence(&self) {
        sleep_until(self.opened + WHOLE_REQUEST).await;
        if self.heads.get() > 0 {
            std::future::pending().await
        }
    }

    /// A request has begun to come, if none has before.
    fn begin(&self) {
        if self.phase.get() == Phase::Idle {
            self.phase.set(Phase::Reading);
            self.leave();
        }
    }

    /// Until when the request whose head has just come must be whole.
    fn head(&self) -> Instant {
        self.begin();
        let heads = self.heads.replace(self.heads.get() + 1);
        let from = if heads == 0 { self.opened } else { Instant::now() };
        from + WHOLE_REQUEST
    }

    /// Says why the connection ends. Clients that close theirs are the usual case.
    fn tell_end(&self, reason: EndOfConnection) {
        let (phase, requests) = (self.phase.get(), self.heads.get());
        let age_ms = self.opened.elapsed().as_millis() as u64;
        match reason {
            EndOfConnection::ByClient => {
                debug!(target: "clients", ?reason, ?phase, requests, age_ms, "a connection ends");
            }
            _ => info!(target: "clients", ?reason, ?phase, requests, age_ms, "a connection ends"),
        }
    }

    /// How long the request that is read whole at `now` may have lain there before its connection was accepted.
    fn unaccepted(&self, now: Instant) -> Duration {
        if self.heads.get() == 1 {
            self.arrival.unaccepted(now)
        } else {
            Duration::ZERO
        }
    }

    fn leave(&self) {
        self.front.idle.waiting.borrow_mut().remove(&self.number.get());
    }
}

impl Watch for Rc<Place> {
    fn read(&self) {
        self.begin();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.leave();
    }
}

impl Front {
    pub fn new(
        settings: &Settings,
        ready: Rc<Cell<bool>>,
        pulse: Rc<Pulse>,
        stage: watch::Receiver<Stage>,
        tell: Tell,
    ) -> Self {
        Self {
            classes: settings
                .classes
                .iter()
                .map(|class| (class.name.clone(), class.latency_target))
                .collect(),
            tenants: settings.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            ready,
            pulse,
            stage,
            tell,
            tickets: Cell::new(0),
            answered: Cell::default(),
            idle: IdleConnections::default(),
        }
    }
}

/// Accepts and serves until the node closes, then returns when every connection has ended. It holds at most
/// `most` connections; further ones wait unaccepted.
pub async fn serve(listener: TcpListener, front: Rc<Front>, most: usize) {
    let slots = Arc::new(Semaphore::new(most));
    let mut stage = front.stage.clone();
    let mut closing = pin!(stage.wait_for(|stage| *stage >= Stage::Closing));
    let mut failures = AcceptFailures::default();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listener, &slots, &front.idle, &mut failures) => accepted,
            _ = &mut closing => break,
        };
        match accepted {
            Ok((stream, slot)) => hold(stream, slot, failures.accepted(), &front),
            Err(error) => failures.pause_after(&error).await,
        }
    }
    let mut gone = front.stage.clone();
    tokio::select! {
        biased;
        drained = drain(listener, &slots, &front) => if let Err(error) = drained {
            warn!(target: "clients", %error, "cannot accept what waits");
        },
        _ = gone.wait_for(|stage| *stage == Stage::Gone) => {}
    }
    // All slots are free when the last connection has ended. The semaphore is never closed.
    let _ = slots.acquire_many(most as u32).await;
}

/// Takes what the machine has accepted and the node has not: a request in it counts as taken. The system is asked
/// itself, since the runtime knows what was there when it asked last, and a node that is behind asks seldom.
async fn drain(listener: TcpListener, slots: &Arc<Semaphore>, front: &Rc<Front>) -> io::Result<()> {
    let listener = listener.into_std()?;
    let mut failures = AcceptFailures::default();
    loop {
        let slot = slots.clone().acquire_owned().await.map_err(io::Error::other)?;
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                hold(TcpStream::from_std(stream)?, slot, failures.accepted(), front);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            // The caller ends this where it never passes.
            Err(error) => failures.pause_after(&error).await,
        }
    }
}

/// Accepts that failed, and since when connections may have waited for that.
#[derive(Default)]
struct AcceptFailures {
    in_a_row: u32,
    /// The first that failed since none was waiting.
    since: Option<Instant>,
}

impl AcceptFailures {
    async fn pause_after(&mut self, error: &io::Error) {
        self.since.get_or_insert_with(Instant::now);
        let pause = ACCEPT_PAUSE.saturating_mul(1 << self.in_a_row.min(10)).min(ACCEPT_PAUSE_MOST);
        self.in_a_row = self.in_a_row.saturating_add(1);
        warn!(target: "clients", %error, in_a_row = self.in_a_row, "cannot accept a connection");
        sleep(pause).await;
    }

    /// A connection was accepted.
    fn accepted(&mut self) -> Arrival {
        self.in_a_row = 0;
        let accepted = Instant::now();
        Arrival { accepted, waiting_since: self.since.unwrap_or(accepted) }
    }

    /// No connection waits.
    fn none_waits(&mut self) {
        self.since = None;
    }
}

/// When a connection came.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    accepted: Instant,
    /// It may have waited since then: accepts have failed.
    waiting_since: Instant,
}

impl Arrival {
    /// One that came just now.
    #[cfg(test)]
    fn now() -> Self {
        let now = Instant::now();
        Self { accepted: now, waiting_since: now }
    }

    /// How long a first request that is read whole at `now` may have lain there unaccepted.
    fn unaccepted(&self, now: Instant) -> Duration {
        let came_with_it = now.saturating_duration_since(self.accepted) <= CAME_WITH_CONNECTION;
        if came_with_it {
            self.accepted - self.waiting_since
        } else {
            Duration::ZERO
        }
    }
}

fn hold(stream: TcpStream, slot: OwnedSemaphorePermit, arrival: Arrival, front: &Rc<Front>) {
    let front = front.clone();
    tokio::task::spawn_local(async move {
        connection(Stream::from(stream), arrival, front).await;
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
        // Clients keep the connections they have: left idle, they would keep all others out of a full table,
        // and the machine takes requests on connections that the node has not accepted yet.
        idle.make_room();
    }
    let slot = slots.clone().acquire_owned().await.map_err(io::Error::other)?;
    let accepting = poll_fn(|cx| {
        let accepted = listener.poll_accept(cx);
        if accepted.is_pending() {
            failures.none_waits();
        }
        accepted
    });
    let (stream, _) = accepting.await?;
    Ok((stream, slot))
}

async fn connection(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    arrival: Arrival,
    front: Rc<Front>,
) {
    let (mut stage, mut end) = (front.stage.clone(), front.stage.clone());
    let place = Rc::new(Place::new(front.clone(), arrival));
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(READ_MOST);
    let (stream, held) = ReadAhead::new(stream);
    let service = service_fn(async |request| {
        let whole_by = place.head();
        let last = asks_to_close(&request);
        let mut response = respond(&front, request, &place, whole_by).await;
        let closing = place.closing.get() || *front.stage.borrow() >= Stage::Closing;
        if closing || last || held.overrun() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            held.linger();
        }
        place.enter();
        Ok::<_, Infallible>(response)
    });
    let heard = Watched { stream, watch: place.clone() };
    let mut serving = pin!(http.serve_connection(TokioIo::new(heard), service));
    let (mut silence, mut left) = (pin!(place.silence()), pin!(left(&place, &held)));
    // An error here is a client that left or spoke no HTTP: hyper has answered what can be answered.
    let stopping = tokio::select! {
        biased;
        _ = &mut serving => return place.tell_end(EndOfConnection::ByClient),
        () = &mut silence => return place.tell_end(EndOfConnection::NoRequest),
        () = &mut left => return place.tell_end(EndOfConnection::Left),
        _ = stage.wait_for(|stage| *stage >= Stage::Closing) => true,
        () = place.close.notified() => false,
    };
    place.tell_end(if stopping { EndOfConnection::Stopping } else { EndOfConnection::MakesRoom });
    place.closing.set(true);
    // Of a request that has begun to come hyper would drop what it holds: it is read to its end, and its answer
    // sends the client away. At a stop one that has brought nothing yet is waited for as well: a client connects
    // in order to send, and the request may lie there unread.
    let coming = match place.phase.get() {
        Phase::Idle => stopping && place.heads.get() == 0,
        Phase::Reading => true,
        Phase::Answering => false,
    };
    if !coming {
        serving.as_mut().graceful_shutdown();
    }
    // One that never comes whole has no end of its own: it gets the time that it had, and no more than the node
    // has. What it brings later is never taken.
    tokio::select! {
        biased;
        _ = &mut serving => return,
        () = &mut silence => return place.tell_end(EndOfConnection::NoRequest),
        () = &mut left => return place.tell_end(EndOfConnection::Left),
        _ = end.wait_for(|stage| *stage == Stage::Gone) => place.tell_end(EndOfConnection::NodeGone),
    }
    // Whoever is owed an answer gets it: late is better than never, for a node as late as that.
    if place.phase.get() == Phase::Answering {
        tokio::select! {
            biased;
            _ = &mut serving => {}
            () = &mut left => {}
        }
    }
}

/// Ends once the client of a request that is being answered has gone. hyper itself sees that only where nothing has
/// come behind the request.
async fn left<S: AsyncRead + AsyncWrite + Unpin>(place: &Place, held: &Held<S>) {
    poll_fn(|cx| match place.phase.get() {
        Phase::Answering => held.poll_left(cx),
        Phase::Idle | Phase::Reading => Poll::Pending,
    })
    .await;
}

/// Tells the driver of a client that left: hyper drops the answer's future with its connection.
struct Waiting {
    ticket: u64,
    tell: Tell,
    over: Rc<Cell<bool>>,
    answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.answered {
            self.over.set(true);
            (self.tell)(Word::Left(self.ticket));
        }
    }
}

async fn respond(front: &Front, request: Request<Incoming>, place: &Place, whole_by: Instant) -> Reply {
    let response = answer(front, request, place, whole_by).await.unwrap_or_else(|rejected| rejected);
    front.answered.set(Some(Instant::now()));
    response
}

fn asks_to_close(request: &Request<Incoming>) -> bool {
    let asked = request.headers().get(CONNECTION).and_then(|value| value.to_str().ok());
    asked.is_some_and(|asked| asked.split(',').any(|word| word.trim().eq_ignore_ascii_case("close")))
}

type Reply = Response<Full<Bytes>>;

async fn answer(
    front: &Front,
    request: Request<Incoming>,
    place: &Place,
    whole_by: Instant,
) -> Result<Reply, Reply> {
    // A client's time runs from when it sent: a node that is behind has kept the request waiting unread.
    let now = Instant::now();
    let behind = front.pulse.lag(now);
    let at = now.checked_sub(behind.max(place.unaccepted(now))).unwrap_or(now);
    let (head, body) = request.into_parts();
    let target =
        head.uri.path_and_query().cloned().ok_or_else(|| plain(StatusCode::BAD_REQUEST, "no path"))?;
    if target.path() == "/healthz" {
        return match head.method {
            Method::GET if front.ready.get() && *front.stage.borrow() == Stage::Serving => {
                Ok(plain(StatusCode::OK, "ready"))
            }
            Method::GET => Ok(plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")),
            _ => Err(wrong_method("GET")),
        };
    }
    let key = target.path().strip_prefix("/api/").and_then(|rest| rest.rsplit('/').next());
    let Some(key) = key.filter(|key| !key.is_empty()).map(key_number) else {
        return Err(plain(StatusCode::NOT_FOUND, "no such path"));
    };
    if head.method != Method::GET && head.method != Method::PUT {
        return Err(wrong_method("GET, PUT"));
    }
    let asked = read_head(front, &head.headers).map_err(|what| plain(StatusCode::BAD_REQUEST, what))?;
    let too_large = || plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than 64 KiB");
    if body.size_hint().lower() > LARGEST_BODY as u64 {
        return Err(too_large());
    }
    let body = match timeout_at(whole_by, Limited::new(body, LARGEST_BODY).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(too_large()),
        Err(_) => return Err(plain(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
        Ok(Err(_)) => return Err(plain(StatusCode::BAD_REQUEST, "the body broke off")),
    };
    place.phase.set(Phase::Answering);
    Ok(hand_over(front, (at, behind), key, target, head.method, asked, body).await)
}

/// What the headers of a request say.
struct Asked {
    id: HeaderValue,
    idempotency_key: Option<HeaderValue>,
    patience: Duration,
    class: ClassId,
    tenant: Option<TenantId>,
    expected_work: Option<Duration>,
    client_retry: bool,
}

fn read_head(front: &Front, headers: &HeaderMap) -> Result<Asked, &'static str> {
    let id = headers.get(REQ_ID).filter(|id| !id.is_empty()).ok_or("no Req-Id")?;
    let class = text(headers, &REQ_KIND)?.ok_or("no Req-Kind")?;
    let class =
        front.classes.iter().position(|(name, _)| name.as_str() == class).ok_or("unknown Req-Kind")?;
    let tenant = match text(headers, &REQ_OWNER)? {
        // Where there are no tenants, whatever stands there means nothing.
        _ if front.tenants.is_empty() => None,
        None => return Err("no Req-Owner"),
        Some(owner) => {
            let place = front.tenants.iter().position(|name| name.as_str() == owner);
            Some(TenantId(place.ok_or("unknown Req-Owner")?))
        }
    };
    // In 32 bits it is under 50 days: far beyond any client's patience, and safe to add to a clock.
    let patience: u32 =
        number(headers, &REQ_DEADLINE, "unreadable Req-Deadline-Ms")?.ok_or("no Req-Deadline-Ms")?;
    let cost: Option<u32> = number(headers, &REQ_COST, "unreadable Req-Cost")?;
    Ok(Asked {
        id: id.clone(),
        idempotency_key: headers.get(IDEMPOTENCY_KEY).cloned(),
        patience: Duration::from_millis(patience.into()),
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

/// Keys are 64-bit numbers in hexadecimal; any other name goes by its hash, the same at every node.
fn key_number(name: &str) -> u64 {
    u64::from_str_radix(name, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        hasher.write(name.as_bytes());
        hasher.finish()
    })
}

async fn hand_over(
    front: &Front,
    (at, behind): (Instant, Duration),
    key: u64,
    target: PathAndQuery,
    method: Method,
    asked: Asked,
    body: Bytes,
) -> Reply {
    let ticket = front.tickets.replace(front.tickets.get() + 1);
    let (sender, receiver) = oneshot::channel();
    let over = Rc::new(Cell::new(false));
    let (kind, aim) = front.classes[asked.class.0].clone();
    let taken = Taken {
        ticket,
        at,
        behind,
        patience: asked.patience,
        class: asked.class,
        kind,
        aim,
        tenant: asked.tenant,
        key: Some(key),
        expected_work: asked.expected_work,
        write: method == Method::PUT,
        client_retry: asked.client_retry,
        message: Message { method, target, id: asked.id, idempotency_key: asked.idempotency_key, body },
        over: over.clone(),
        answer: sender,
    };
    let mut waiting = Waiting { ticket, tell: front.tell.clone(), over, answered: false };
    (front.tell)(Word::Taken(Box::new(taken)));
    // Whoever answers only goes when the node does; its silence is a failure all the same.
    let answer = receiver.await.unwrap_or(Answer::Failed);
    waiting.answered = true;
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Refused { retry_after } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused: try again later");
            if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after.as_secs_f64())) {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

fn wrong_method(allowed: &'static str) -> Reply {
    let mut response = plain(StatusCode::METHOD_NOT_ALLOWED, "no such method");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests;
