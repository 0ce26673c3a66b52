//! Cache servers on sockets: HTTP/1.1 as the protocol page has it, over the model.

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

/// Bodies are no longer than this.
const LARGEST_BODY: usize = 64 * 1024;
/// An error comes a little later than at once.
const ERROR_TAKES: Duration = Duration::from_millis(3);

type Reply = Response<BoxBody<Bytes, BrokenOff>>;

/// An answer that ends before its length.
#[derive(Debug, thiserror::Error)]
#[error("broken off on purpose")]
struct BrokenOff;

fn whole(text: impl Into<Bytes>) -> BoxBody<Bytes, BrokenOff> {
    Full::new(text.into()).map_err(|never| match never {}).boxed()
}

fn broken(id: &str) -> Reply {
    let half = Frame::data(Bytes::from(format!("{id} ")));
    Response::new(StreamBody::new(Parts(vec![Err(BrokenOff), Ok(half)])).boxed())
}

/// Pieces of a body, the last one first.
struct Parts(Vec<Result<Frame<Bytes>, BrokenOff>>);

impl futures_core::Stream for Parts {
    type Item = Result<Frame<Bytes>, BrokenOff>;

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Poll::Ready(self.0.pop())
    }
}

/// A load report as a header has it, where there is one.
fn written(load: &LoadReport) -> Option<HeaderValue> {
    let text = format!("util={:.3},queue={:.1}", load.utilization?, load.queue_length?);
    HeaderValue::from_str(&text).ok()
}

/// A probe: its price is the server's.
async fn probe(lab: &Rc<Lab>, server: usize, load: bool) -> Reply {
    let (mut out, now) = (Vec::new(), lab.now());
    let (taken, report) = {
        let state = &mut *lab.state.borrow_mut();
        state.record.probes += 1;
        (state.fleet.probe(now, server, &mut out), state.fleet.load_report(now, server, now))
    };
    lab.carry(out);
    let Some(taken) = taken else { return std::future::pending().await };
    let mut reply = status(if taken { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
    if let Some(report) = written(&report).filter(|_| load) {
        *reply.body_mut() = whole(report.as_bytes().to_vec());
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
        let reply = answer(lab.clone(), node, server, fresh.replace(false), request);
        async { Ok::<_, Infallible>(reply.await) }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(Duration::from_micros(KEEPALIVE_TIMEOUT));
    // How a connection breaks is its node's affair.
    let _ = http.serve_connection(TokioIo::new(stream), service).await;
    let machine = &mut lab.state.borrow_mut().fleet.machines[server].server;
    machine.connections = machine.connections.saturating_sub(1);
}

async fn answer(lab: Rc<Lab>, node: usize, server: usize, fresh: bool, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    if matches!(head.uri.path(), "/healthz" | "/load") && lab.plan.experiment.deployment.probes {
        return probe(&lab, server, head.uri.path() == "/load").await;
    }
    let id = head.headers.get("req-id").and_then(|id| id.to_str().ok()).map(str::to_owned);
    let Some(id) = id else { return status(StatusCode::NOT_FOUND) };
    let ticket = id.strip_prefix('r').and_then(|number| number.parse::<usize>().ok());
    let Some(ticket) = ticket.filter(|ticket| *ticket < lab.state.borrow().tickets.len()) else {
        let why = || format!("n{node} sent a server the id {id}, which no client sent");
        lab.state.borrow_mut().void.get_or_insert_with(why);
        return status(StatusCode::BAD_REQUEST);
    };
    // A request that breaks off was never whole: it never ran.
    if Limited::new(body, LARGEST_BODY).collect().await.is_err() {
        return status(StatusCode::BAD_REQUEST);
    }
    let (job, said) = lab.attempt(node, server, ticket, fresh);
    // A server that is gone says no more; its connection is reset.
    let Ok(said) = said.await else { return std::future::pending().await };
    let note = match said {
        ServerResponse::Hit => "hit",
        ServerResponse::Miss => "miss",
        // The length that it names never comes: the connection ends before.
        ServerResponse::Truncated => return broken(&id),
        ServerResponse::Error => {
            sleep(ERROR_TAKES).await;
            return status(StatusCode::INTERNAL_SERVER_ERROR);
        }
        ServerResponse::QueueFull => {
            let mut reply = status(StatusCode::SERVICE_UNAVAILABLE);
            reply.headers_mut().insert("srv-declined", HeaderValue::from_static("1"));
            return reply;
        }
    };
    let mut reply = Response::new(whole(format!("{id} {job} from s{server}\n")));
    reply.headers_mut().insert("srv-cache", HeaderValue::from_static(note));
    let now = lab.now();
    let state = &mut *lab.state.borrow_mut();
    if let Some(load) = written(&state.fleet.load_report(now, server, job)) {
        reply.headers_mut().insert("srv-load", load);
    }
    if !lab.plan.classes[lab.plan.requests[state.tickets[ticket].ask].class].write {
        state.record.reads.0 += 1;
        state.record.reads.1 += u64::from(said == ServerResponse::Miss);
    }
    reply
}

fn status(status: StatusCode) -> Reply {
    let mut reply = Response::new(whole(Bytes::new()));
    *reply.status_mut() = status;
    reply
}
