//! Cache servers on sockets: HTTP/1.1 in front of the fleet model.

use super::lab::Lab;
use crate::model::server::ServerResponse;
use crate::plan::KEEPALIVE_TIMEOUT;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::DuplexStream;
use tokio::time::sleep;
use walkpick::LoadReport;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Delay before an error response.
const ERROR_DELAY: Duration = Duration::from_millis(3);

type Reply = Response<BoxBody<Bytes, TruncatedBody>>;

/// Aborts a response body before its announced length.
#[derive(Debug, thiserror::Error)]
#[error("response body truncated by a fault")]
struct TruncatedBody;

fn full_body(text: impl Into<Bytes>) -> BoxBody<Bytes, TruncatedBody> {
    Full::new(text.into()).map_err(|never| match never {}).boxed()
}

fn truncated_response(id: &str) -> Reply {
    let half = Frame::data(Bytes::from(format!("{id} ")));
    Response::new(StreamBody::new(ReversedFrames(vec![Err(TruncatedBody), Ok(half)])).boxed())
}

/// Body frames in reverse order.
struct ReversedFrames(Vec<Result<Frame<Bytes>, TruncatedBody>>);

impl futures_core::Stream for ReversedFrames {
    type Item = Result<Frame<Bytes>, TruncatedBody>;

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Poll::Ready(self.0.pop())
    }
}

/// Header value of a load report, if it is complete.
fn load_header(load: &LoadReport) -> Option<HeaderValue> {
    let text = format!("util={:.3},queue={:.1}", load.utilization?, load.queue_length?);
    HeaderValue::from_str(&text).ok()
}

/// Handles a probe, whose cost is charged to the server.
async fn probe(lab: &Rc<Lab>, server: usize, load: bool) -> Reply {
    let (mut out, now) = (Vec::new(), lab.now());
    let (accepted, report) = {
        let state = &mut *lab.state.borrow_mut();
        state.record.probes += 1;
        (state.fleet.probe(now, server, &mut out), state.fleet.load_report(now, server, now))
    };
    lab.apply_outputs(out);
    let Some(accepted) = accepted else { return std::future::pending().await };
    let mut reply = status(if accepted { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
    if let Some(report) = load_header(&report).filter(|_| load) {
        *reply.body_mut() = full_body(report.as_bytes().to_vec());
    }
    reply
}

/// A connection from a node to a server.
pub async fn connection(lab: Rc<Lab>, node: usize, server: usize, stream: DuplexStream) {
    {
        let state = &mut *lab.state.borrow_mut();
        let machine = &mut state.fleet.machines[server].server;
        if !machine.accepts_connections() {
            return;
        }
        machine.connections += 1;
        state.record.connections += 1;
    }
    let fresh = Cell::new(true);
    let service = service_fn(|request| {
        let reply = handle_request(lab.clone(), node, server, fresh.replace(false), request);
        async { Ok::<_, Infallible>(reply.await) }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(Duration::from_micros(KEEPALIVE_TIMEOUT));
    // The node handles connection errors.
    let _ = http.serve_connection(TokioIo::new(stream), service).await;
    let machine = &mut lab.state.borrow_mut().fleet.machines[server].server;
    machine.connections = machine.connections.saturating_sub(1);
}

async fn handle_request(
    lab: Rc<Lab>,
    node: usize,
    server: usize,
    fresh: bool,
    request: Request<Incoming>,
) -> Reply {
    let (head, body) = request.into_parts();
    if matches!(head.uri.path(), "/healthz" | "/load") && lab.plan.experiment.deployment.probes {
        return probe(&lab, server, head.uri.path() == "/load").await;
    }
    let id = head.headers.get("req-id").and_then(|id| id.to_str().ok()).map(str::to_owned);
    let Some(id) = id else { return status(StatusCode::NOT_FOUND) };
    let try_id = id.strip_prefix('r').and_then(|number| number.parse::<usize>().ok());
    let Some(try_id) = try_id.filter(|try_id| *try_id < lab.state.borrow().tries.len()) else {
        let why = || format!("n{node} sent a server the id {id}, which no client sent");
        lab.state.borrow_mut().void_reason.get_or_insert_with(why);
        return status(StatusCode::BAD_REQUEST);
    };
    // A truncated request never runs.
    if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
        return status(StatusCode::BAD_REQUEST);
    }
    let (job, response) = lab.attempt_received(node, server, try_id, fresh);
    // A server that is gone never answers; its connection is reset.
    let Ok(response) = response.await else { return std::future::pending().await };
    let cache_result = match response {
        ServerResponse::Hit => "hit",
        ServerResponse::Miss => "miss",
        // The connection ends before the announced length.
        ServerResponse::Truncated => return truncated_response(&id),
        ServerResponse::Error => {
            sleep(ERROR_DELAY).await;
            return status(StatusCode::INTERNAL_SERVER_ERROR);
        }
        ServerResponse::QueueFull => {
            let mut reply = status(StatusCode::SERVICE_UNAVAILABLE);
            reply.headers_mut().insert("srv-declined", HeaderValue::from_static("1"));
            return reply;
        }
    };
    let mut reply = Response::new(full_body(format!("{id} {job} from s{server}\n")));
    reply.headers_mut().insert("srv-cache", HeaderValue::from_static(cache_result));
    let now = lab.now();
    let state = &mut *lab.state.borrow_mut();
    if let Some(load) = load_header(&state.fleet.load_report(now, server, job)) {
        reply.headers_mut().insert("srv-load", load);
    }
    if !lab.plan.classes[lab.plan.requests[state.tries[try_id].request_index].class].write {
        state.record.reads.0 += 1;
        state.record.reads.1 += u64::from(response == ServerResponse::Miss);
    }
    reply
}

fn status(status: StatusCode) -> Reply {
    let mut reply = Response::new(full_body(Bytes::new()));
    *reply.status_mut() = status;
    reply
}
