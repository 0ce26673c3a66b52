//! Serves clients: reads requests, passes them to the driver, writes the answers and detects disconnects.

mod accepting;
mod connection;
mod phase_timer;
mod rejection;
mod requests;

pub use accepting::serve;

use accepting::Arrival;
use connection::{ClientConnection, CloseReason, IdleConnections, Phase};
use rejection::Rejection;
use requests::{asks_to_close, respond, Reply};

use crate::net::lifecycle::{LagMonitor, Stage};
use crate::net::memory::{Memory, Reservation};
use crate::net::read_ahead::{ReadAhead, SharedStream};
use crate::net::upstream::{UpstreamRequest, MAX_REQUEST_HEAD_BYTES};
use crate::net::watched::ObservedStream;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;
use walkpick::{ClassId, Effect, Name, Settings, TenantId};

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
    /// Whether it may run more than once.
    pub repeatable: bool,
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

/// What the frontend knows about a class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub name: Name,
    pub latency_target: Duration,
    /// Whether its requests may run more than once.
    pub repeatable: bool,
}

/// State shared by all client connections.
pub struct Frontend {
    pub classes: Vec<RequestClass>,
    pub tenants: Vec<Name>,
    pub ready: Rc<Cell<bool>>,
    pub lag_monitor: Rc<LagMonitor>,
    pub stage: watch::Receiver<Stage>,
    pub events: EventSink,
    pub memory: Arc<Memory>,
    /// Closes a connection to a cache server for its memory; `false` if none is idle.
    pub close_idle_server_connection: Rc<dyn Fn() -> bool>,
    pub next_number: Cell<u64>,
    /// When the last answer was given.
    pub last_answer_at: Cell<Option<Instant>>,
    /// Number of clients' connections that are open.
    pub open_connections: Cell<usize>,
    /// Number of requests so far that were answered without being forwarded.
    pub rejections: Cell<u64>,
    idle: IdleConnections,
}

impl Frontend {
    pub fn new(
        settings: &Settings,
        ready: Rc<Cell<bool>>,
        lag_monitor: Rc<LagMonitor>,
        stage: watch::Receiver<Stage>,
        events: EventSink,
        memory: Arc<Memory>,
        close_idle_server_connection: Rc<dyn Fn() -> bool>,
    ) -> Self {
        Self {
            classes: settings
                .classes
                .iter()
                .map(|class| RequestClass {
                    name: class.name.clone(),
                    latency_target: class.latency_target,
                    repeatable: class.effect == Effect::Safe,
                })
                .collect(),
            tenants: settings.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            ready,
            lag_monitor,
            stage,
            events,
            memory,
            close_idle_server_connection,
            next_number: Cell::new(0),
            last_answer_at: Cell::default(),
            open_connections: Cell::default(),
            rejections: Cell::default(),
            idle: IdleConnections::default(),
        }
    }
}

async fn serve_connection(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    arrival: Arrival,
    memory: Reservation,
    frontend: Rc<Frontend>,
) {
    let (mut stage, mut exit_stage) = (frontend.stage.clone(), frontend.stage.clone());
    let conn = Rc::new(ClientConnection::new(frontend.clone(), arrival));
    let mut http = http1::Builder::new();
    // hyper's timeout for heads runs from the answer before, and ends a connection within a request.
    http.header_read_timeout(None).max_buf_size(MAX_REQUEST_HEAD_BYTES);
    let (stream, shared) = ReadAhead::new(stream, memory);
    let service = service_fn(|request| {
        shared.head_received();
        answer(&frontend, &conn, &shared, request)
    });
    let observed = ObservedStream { stream, observer: conn.clone() };
    let mut serving = pin!(http.serve_connection(TokioIo::new(observed), service));
    let mut timed_out = pin!(conn.timed_out());
    let mut disconnected = pin!(client_disconnected(&conn, &shared));
    // An error means that the client left or sent something that is not HTTP; hyper has answered if it could.
    let stopping = tokio::select! {
        biased;
        _ = &mut serving => return conn.log_close(CloseReason::ByClient),
        reason = &mut timed_out => return conn.log_close(reason),
        () = shared.head_refused() => return refuse_head(&conn, &shared).await,
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
        reason = &mut timed_out => return conn.log_close(reason),
        () = shared.head_refused() => return refuse_head(&conn, &shared).await,
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

/// Answers a request, whose head is complete, and closes the connection behind the answer if need be.
async fn answer<S: AsyncRead + AsyncWrite + Unpin>(
    frontend: &Frontend,
    conn: &ClientConnection,
    shared: &SharedStream<S>,
    request: Request<Incoming>,
) -> Result<Reply, Infallible> {
    conn.take_turns().await;
    let deadline = conn.head_received();
    let client_closes = asks_to_close(&request);
    let mut response = respond(frontend, request, conn, shared, deadline).await;
    let closing = conn.closing.get() || *frontend.stage.borrow() >= Stage::Closing;
    let stays_open = shared.expect_head();
    if closing || client_closes || !stays_open || shared.overrun() || conn.body_incomplete.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        shared.linger_on_close();
    }
    conn.mark_idle();
    Ok(response)
}

/// Answers a request for whose head there is no memory, and closes its connection.
async fn refuse_head<S: AsyncRead + AsyncWrite + Unpin>(conn: &ClientConnection, shared: &SharedStream<S>) {
    let rejection = Rejection::NoMemory;
    conn.record_rejection(rejection);
    // The client may be gone.
    let _ = shared.close_with(rejection.text().as_bytes()).await;
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

#[cfg(test)]
mod tests;
