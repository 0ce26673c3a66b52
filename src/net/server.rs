//! The clients' side: reads requests, hands them to the driver, writes the answers, sees clients leave.

use crate::net::lifecycle::{Pulse, Stage};
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
use std::hash::{DefaultHasher, Hasher};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};
use tracing::warn;
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
/// After a failed accept (no descriptor left, say) the next one waits: tried at once, it would fail and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

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
    idle: Idle,
}

/// The connections with no request in them, the one that has stood so longest first.
#[derive(Default)]
struct Idle {
    next: Cell<u64>,
    /// None was idle when room was needed: the next one that is gives way.
    wanted: Cell<bool>,
    waiting: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

impl Idle {
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
enum Doing {
    /// Nothing: it may be closed, and what its client is sending just then is sent anew elsewhere.
    Resting,
    /// A request has begun to come and is not whole.
    Reading,
    /// A whole request is in it, which is owed an answer.
    Answering,
}

/// A connection's place among the idle ones: it has one while nothing goes on in it.
struct Place {
    front: Rc<Front>,
    close: Rc<Notify>,
    number: Cell<u64>,
    opened: Instant,
    /// Heads of requests that came on it.
    heads: Cell<u64>,
    doing: Cell<Doing>,
    /// It was told to close: the next answer is its last.
    closing: Cell<bool>,
}

impl Place {
    fn new(front: Rc<Front>) -> Self {
        let (close, number, heads, closing) = Default::default();
        let (opened, doing) = (Instant::now(), Cell::new(Doing::Resting));
        let place = Self { front, close, number, opened, heads, doing, closing };
        place.enter();
        place
    }

    fn enter(&self) {
        self.doing.set(Doing::Resting);
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
        if self.doing.get() == Doing::Resting {
            self.doing.set(Doing::Reading);
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
            classes: settings.classes.iter().map(|class| (class.name.clone(), class.aim)).collect(),
            tenants: settings.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            ready,
            pulse,
            stage,
            tell,
            tickets: Cell::new(0),
            answered: Cell::default(),
            idle: Idle::default(),
        }
    }
}

/// Accepts and serves until the node closes, then returns when every connection has ended. It holds at most
/// `most` connections; further ones wait unaccepted.
pub async fn serve(listener: TcpListener, front: Rc<Front>, most: usize) {
    let slots = Arc::new(Semaphore::new(most));
    let mut stage = front.stage.clone();
    let mut closing = pin!(stage.wait_for(|stage| *stage >= Stage::Closing));
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listener, &slots, &front.idle) => accepted,
            _ = &mut closing => break,
        };
        match accepted {
            Ok((stream, slot)) => hold(stream, slot, &front),
            Err(error) => {
                warn!(target: "clients", %error, "cannot accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
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
    loop {
        let slot = slots.clone().acquire_owned().await.map_err(io::Error::other)?;
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                stream.set_nodelay(true)?;
                hold(TcpStream::from_std(stream)?, slot, front);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

fn hold(stream: TcpStream, slot: OwnedSemaphorePermit, front: &Rc<Front>) {
    let front = front.clone();
    tokio::task::spawn_local(async move {
        connection(stream, front).await;
        drop(slot);
    });
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
    idle: &Idle,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    if slots.available_permits() == 0 {
        // Clients keep the connections they have: left idle, they would keep all others out of a full table,
        // and the machine takes requests on connections that the node has not accepted yet.
        idle.make_room();
    }
    let slot = slots.clone().acquire_owned().await.map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, slot))
}

async fn connection(stream: impl AsyncRead + AsyncWrite + Unpin + 'static, front: Rc<Front>) {
    let (mut stage, mut end) = (front.stage.clone(), front.stage.clone());
    let place = Rc::new(Place::new(front.clone()));
    let service = service_fn(async |request| {
        let whole_by = place.head();
        let response = respond(&front, request, &place, whole_by).await;
        place.enter();
        Ok::<_, Infallible>(response)
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    let heard = Watched { stream, watch: place.clone() };
    let mut serving = pin!(http.serve_connection(TokioIo::new(heard), service));
    let mut silence = pin!(place.silence());
    // An error here is a client that left or spoke no HTTP: hyper has answered what can be answered.
    let stopping = tokio::select! {
        biased;
        _ = &mut serving => return,
        () = &mut silence => return,
        _ = stage.wait_for(|stage| *stage >= Stage::Closing) => true,
        () = place.close.notified() => false,
    };
    place.closing.set(true);
    // Of a request that has begun to come hyper would drop what it holds: it is read to its end, and its answer
    // sends the client away. At a stop one that has brought nothing yet is waited for as well: a client connects
    // in order to send, and the request may lie there unread.
    let coming = match place.doing.get() {
        Doing::Resting => stopping && place.heads.get() == 0,
        Doing::Reading => true,
        Doing::Answering => false,
    };
    if !coming {
        serving.as_mut().graceful_shutdown();
    }
    // One that never comes whole has no end of its own: it gets the time that it had, and no more than the node
    // has. What it brings later is never taken.
    tokio::select! {
        biased;
        _ = &mut serving => return,
        () = &mut silence => return,
        _ = end.wait_for(|stage| *stage == Stage::Gone) => {}
    }
    // Whoever is owed an answer gets it: late is better than never, for a node as late as that.
    if place.doing.get() == Doing::Answering {
        let _ = serving.await;
    }
}

/// Tells the driver of a client that left: hyper drops the answer's future with its connection.
struct Waiting {
    ticket: u64,
    tell: Tell,
    answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.answered {
            (self.tell)(Word::Left(self.ticket));
        }
    }
}

async fn respond(front: &Front, request: Request<Incoming>, place: &Place, whole_by: Instant) -> Reply {
    let mut response = answer(front, request, place, whole_by).await.unwrap_or_else(|rejected| rejected);
    front.answered.set(Some(Instant::now()));
    if place.closing.get() || *front.stage.borrow() >= Stage::Closing {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
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
    let at = now.checked_sub(behind).unwrap_or(now);
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
    place.doing.set(Doing::Answering);
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
        answer: sender,
    };
    let mut waiting = Waiting { ticket, tell: front.tell.clone(), answered: false };
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
mod tests {
    use super::*;
    use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
    use tokio::task::{spawn_local, LocalSet};
    use walkpick::Class;

    const HALF: &[u8] = b"GET /api/1 HTTP/1.1\r\nReq-Id: 1\r\n";

    /// A front whose requests are handed to the sender of `taken`, and the way to its stages.
    fn rig(taken: &Rc<RefCell<Vec<Taken>>>) -> (watch::Sender<Stage>, Rc<Front>) {
        let (stages, stage) = watch::channel(Stage::Serving);
        let settings = Settings {
            classes: vec![Class { name: "read".into(), ..Class::default() }],
            ..Settings::default()
        };
        let taken = taken.clone();
        let tell = move |word| match word {
            Word::Taken(request) => taken.borrow_mut().push(*request),
            Word::Left(_) => {}
        };
        (stages, Rc::new(Front::new(&settings, Rc::default(), Rc::new(Pulse::start()), stage, Rc::new(tell))))
    }

    const WHOLE: &str = "GET /api/1 HTTP/1.1\r\nReq-Id: 1\r\nReq-Kind: read\r\nReq-Deadline-Ms: 900\r\n\r\n";

    async fn settle() {
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
    }

    fn serve_last(taken: &Rc<RefCell<Vec<Taken>>>) {
        let request = taken.borrow_mut().pop().expect("a request that was taken");
        request.answer.send(Answer::Served(Bytes::from_static(b"value"))).unwrap();
    }

    async fn heard(client: &mut DuplexStream) -> String {
        settle().await;
        let mut text = vec![0; 4096];
        let read = timeout_at(Instant::now() + Duration::from_millis(1), client.read(&mut text)).await;
        String::from_utf8(text[..read.map_or(0, |read| read.unwrap())].to_vec()).unwrap()
    }

    // Guards against a request that is lost since the node closes a connection whose request has half come: on a
    // kept connection hyper takes it for an idle one.
    #[tokio::test(start_paused = true)]
    async fn a_request_that_is_half_read_when_its_connection_closes_is_answered() {
        for by_stage in [true, false] {
            for cut in [1, 20, WHOLE.len() - 1] {
                LocalSet::new().run_until(close_at_half(by_stage, cut)).await;
            }
        }
    }

    async fn close_at_half(by_stage: bool, cut: usize) {
        let taken = Rc::default();
        let (stages, front) = rig(&taken);
        let (mut client, stream) = duplex(4096);
        let serving = spawn_local(connection(stream, front.clone()));
        client.write_all(WHOLE.as_bytes()).await.unwrap();
        settle().await;
        serve_last(&taken);
        assert!(heard(&mut client).await.ends_with("value"));
        client.write_all(&WHOLE.as_bytes()[..cut]).await.unwrap();
        settle().await;
        if by_stage {
            stages.send_replace(Stage::Closing);
        } else {
            // Nothing rests: whatever does next gives way, and that is this connection once it is answered.
            front.idle.make_room();
        }
        settle().await;
        client.write_all(&WHOLE.as_bytes()[cut..]).await.unwrap();
        settle().await;
        serve_last(&taken);
        let text = heard(&mut client).await;
        assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("value"), "cut at {cut}: {text:?}");
        assert_eq!(client.read(&mut [0; 1]).await.unwrap(), 0, "closed behind its answer");
        serving.await.unwrap();
    }

    // Guards against a node that is later than it planned for and closes connections whose answers are about to come.
    #[tokio::test(start_paused = true)]
    async fn a_request_that_was_taken_is_answered_even_past_the_end() {
        LocalSet::new()
            .run_until(async {
                let taken = Rc::default();
                let (stages, front) = rig(&taken);
                let (mut client, stream) = duplex(4096);
                let serving = spawn_local(connection(stream, front));
                client.write_all(WHOLE.as_bytes()).await.unwrap();
                settle().await;
                stages.send_replace(Stage::Closing);
                settle().await;
                stages.send_replace(Stage::Gone);
                settle().await;
                serve_last(&taken);
                let text = heard(&mut client).await;
                assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("value"), "{text:?}");
                assert!(text.contains("connection: close"), "{text:?}");
                serving.await.unwrap();
            })
            .await;
    }

    // Guards against a stop that resets connections which the machine has accepted and the node has not: the requests
    // in them were taken.
    #[tokio::test]
    async fn what_waits_unaccepted_at_a_stop_is_answered() {
        LocalSet::new()
            .run_until(async {
                let taken = Rc::default();
                let (stages, front) = rig(&taken);
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                let address = listener.local_addr().unwrap();
                let serving = spawn_local(serve(listener, front, 1));
                let mut clients = Vec::new();
                for _ in 0..3 {
                    let mut client = TcpStream::connect(address).await.unwrap();
                    client.write_all(WHOLE.as_bytes()).await.unwrap();
                    clients.push(client);
                    until_taken(&taken).await;
                }
                assert_eq!(taken.borrow().len(), 1, "the others lie behind the first");
                stages.send_replace(Stage::Closing);
                for mut client in clients {
                    until_taken(&taken).await;
                    serve_last(&taken);
                    let mut text = String::new();
                    client.read_to_string(&mut text).await.unwrap();
                    assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("value"), "{text:?}");
                }
                serving.await.unwrap();
            })
            .await;
    }

    async fn until_taken(taken: &Rc<RefCell<Vec<Taken>>>) {
        let waited = Instant::now();
        while taken.borrow().is_empty() {
            assert!(waited.elapsed() < Duration::from_secs(60), "the request was never taken");
            sleep(Duration::from_millis(1)).await;
        }
    }

    // Guards against a node that gets little processor time and gives each request its client's whole patience from
    // when it came to read it: the answer comes when the client has long gone.
    #[tokio::test(start_paused = true)]
    async fn time_that_a_request_lay_unread_is_taken_off_its_clients_patience() {
        LocalSet::new()
            .run_until(async {
                let taken = Rc::default();
                let (_stages, front) = rig(&taken);
                let (mut client, stream) = duplex(4096);
                let serving = spawn_local(connection(stream, front.clone()));
                // The node is busy for 300 ms past its next look at the clock.
                let busy = Duration::from_millis(350);
                tokio::time::advance(busy).await;
                client.write_all(WHOLE.as_bytes()).await.unwrap();
                settle().await;
                let request = taken.borrow_mut().pop().expect("a request that was taken");
                assert_eq!(
                    (request.at.elapsed(), request.behind),
                    (Duration::from_millis(300), Duration::from_millis(300))
                );
                serving.abort();
            })
            .await;
    }

    // Guards against a connection whose half-read request keeps it, and the node, past its end: what completes it
    // there would be taken and never answered.
    #[tokio::test(start_paused = true)]
    async fn a_half_read_request_has_no_longer_than_the_node() {
        let ended_after = |closing, gone| async move {
            let (stages, front) = rig(&Rc::default());
            let (mut client, stream) = duplex(1024);
            let start = Instant::now();
            let serving = spawn_local(async move {
                connection(stream, front).await;
                start.elapsed()
            });
            client.write_all(HALF).await.unwrap();
            sleep_until(start + closing).await;
            stages.send_replace(Stage::Closing);
            sleep_until(start + gone).await;
            stages.send_replace(Stage::Gone);
            let ended = serving.await.unwrap();
            assert_eq!(client.read(&mut [0; 1]).await.unwrap_or_default(), 0, "closed without a word");
            ended
        };
        let ms = Duration::from_millis;
        LocalSet::new()
            .run_until(async {
                assert_eq!(ended_after(ms(100), ms(900)).await, ms(900));
                assert_eq!(ended_after(ms(100), ms(4_000)).await, WHOLE_REQUEST);
            })
            .await;
    }
}
