//! Reads clients' requests, passes them to the driver and turns its answers into responses.

use super::connection::{ClientConnection, Phase};
use super::rejection::Rejection;
use super::{Answer, ClientEvent, ClientRequest, EventSink, Frontend, RequestClass};
use crate::net::body::{read_reserved_body, BodyError};
use crate::net::lifecycle::Stage;
use crate::net::memory::NoMemory;
use crate::net::read_ahead::SharedStream;
use crate::net::upstream::{UpstreamRequest, IDEMPOTENCY_KEY, MAX_BODY_BYTES, REQ_DEADLINE, REQ_ID};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use std::cell::Cell;
use std::hash::{DefaultHasher, Hasher};
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};
use walkpick::policy::memory::MemoryUse;
use walkpick::{ClassId, TenantId};

const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
const REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
const REQ_RETRY: HeaderName = HeaderName::from_static("req-retry");
const REQ_COST: HeaderName = HeaderName::from_static("req-cost");

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

/// Answers a request; its body must be complete by `deadline`.
pub async fn respond<S: AsyncRead + AsyncWrite + Unpin>(
    frontend: &Frontend,
    request: Request<Incoming>,
    conn: &ClientConnection,
    stream: &SharedStream<S>,
    deadline: Instant,
) -> Reply {
    let response = match handle_request(frontend, request, conn, stream, deadline).await {
        Ok(response) => response,
        Err(rejection) => {
            conn.record_rejection(rejection);
            conn.keep_pace().await;
            rejection.response()
        }
    };
    frontend.last_answer_at.set(Some(Instant::now()));
    response
}

/// Whether the client asks for a close after the answer.
pub fn asks_to_close(request: &Request<Incoming>) -> bool {
    let tokens = request.headers().get(CONNECTION).and_then(|value| value.to_str().ok());
    tokens.is_some_and(|tokens| tokens.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}

/// A response to a client.
pub type Reply = Response<Full<Bytes>>;

async fn handle_request<S: AsyncRead + AsyncWrite + Unpin>(
    frontend: &Frontend,
    request: Request<Incoming>,
    conn: &ClientConnection,
    stream: &SharedStream<S>,
    deadline: Instant,
) -> Result<Reply, Rejection> {
    // A client's timeout runs from when it sent the request, which may have waited unread on a lagging node.
    let now = Instant::now();
    let lag = frontend.lag_monitor.current_lag(now);
    let received_at = now.checked_sub(lag.max(conn.time_in_backlog(now))).unwrap_or(now);
    conn.body_incomplete.set(!request.body().is_end_stream());
    let head = RequestHead::read(frontend, &request)?;
    let head = match head {
        RequestHead::Health => {
            conn.keep_pace().await;
            return Ok(health(frontend));
        }
        RequestHead::Api(head) => head,
    };
    stream.reserve_forwarded_head(head.text_bytes()).map_err(|NoMemory| Rejection::NoMemory)?;
    // The head is dropped here: what it occupies is not held while the body arrives and the request is
    // answered.
    let body = request.into_body();
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    let reservation = frontend.memory.reservation(MemoryUse::Request);
    let body = timeout_at(deadline, read_reserved_body(body, MAX_BODY_BYTES, reservation)).await;
    let body = match body {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLong(_))) => return Err(Rejection::BodyTooLarge),
        Ok(Err(BodyError::NoMemory(_))) => return Err(Rejection::NoMemory),
        Ok(Err(BodyError::Incomplete(_))) => return Err(Rejection::BodyIncomplete),
        Err(_) => return Err(Rejection::BodyTimeout),
    };
    conn.body_incomplete.set(false);
    conn.phase.set(Phase::Answering);
    if !stream.is_connected().await {
        return Err(Rejection::ClientLeft);
    }
    Ok(submit(frontend, (received_at, lag), *head, body).await)
}

/// Answers whether the node is ready for clients.
fn health(frontend: &Frontend) -> Reply {
    let ready = frontend.ready.get() && *frontend.stage.borrow() == Stage::Serving;
    match ready {
        true => text_response(StatusCode::OK, "ready"),
        false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

/// What the head of a request asks for.
enum RequestHead {
    /// Whether the node is ready.
    Health,
    /// A request to be forwarded.
    Api(Box<ApiRequest>),
}

impl RequestHead {
    fn read(frontend: &Frontend, request: &Request<Incoming>) -> Result<Self, Rejection> {
        let (method, target) = (request.method(), request.uri().path_and_query().ok_or(Rejection::NoPath)?);
        if target.path() == "/healthz" {
            return match *method {
                Method::GET => Ok(Self::Health),
                _ => Err(Rejection::MethodNotAllowed("GET")),
            };
        }
        let key = target.path().strip_prefix("/api/").and_then(|rest| rest.rsplit('/').next());
        let key = key.filter(|key| !key.is_empty()).map(key_number).ok_or(Rejection::UnknownPath)?;
        if method != Method::GET && method != Method::PUT {
            return Err(Rejection::MethodNotAllowed("GET, PUT"));
        }
        let headers = parse_headers(frontend, request.headers()).map_err(Rejection::InvalidHeaders)?;
        // A copy: the original is a part of the read buffer, all of which it would keep.
        let target = PathAndQuery::from_str(target.as_str()).map_err(|_| Rejection::NoPath)?;
        Ok(Self::Api(Box::new(ApiRequest { key, target, method: method.clone(), headers })))
    }
}

/// The head of a request to be forwarded.
struct ApiRequest {
    key: u64,
    target: PathAndQuery,
    method: Method,
    headers: RequestHeaders,
}

impl ApiRequest {
    /// How many bytes of text are kept of it.
    fn text_bytes(&self) -> usize {
        let key = self.headers.idempotency_key.as_ref().map_or(0, HeaderValue::len);
        self.target.as_str().len() + self.headers.id.len() + key
    }
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
        frontend.classes.iter().position(|known| known.name.as_str() == class).ok_or("unknown Req-Kind")?;
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
        id: copy(id),
        idempotency_key: headers.get(IDEMPOTENCY_KEY).map(copy),
        timeout: Duration::from_millis(timeout.into()),
        class: ClassId(class),
        tenant,
        expected_work: cost.map(|us| Duration::from_micros(us.into())),
        client_retry: text(headers, &REQ_RETRY)? == Some("1"),
    })
}

/// A copy that does not keep the read buffer of which the original is a part.
fn copy(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
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
    ApiRequest { key, target, method, headers }: ApiRequest,
    body: Bytes,
) -> Reply {
    let number = frontend.next_number.replace(frontend.next_number.get() + 1);
    let (sender, receiver) = oneshot::channel();
    let finished = Rc::new(Cell::new(false));
    let RequestClass { name: class_name, latency_target, repeatable } =
        frontend.classes[headers.class.0].clone();
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
        repeatable,
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

/// A response with this text as its body.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
