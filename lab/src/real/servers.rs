//! Cache servers on sockets: HTTP/1.1 as the protocol page has it, over the model.

use super::lab::Lab;
use crate::model::server::Said;
use crate::plan::KEEPALIVE;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::DuplexStream;
use tokio::time::sleep;

/// Bodies are no longer than this.
const LARGEST_BODY: usize = 64 * 1024;
/// An error comes a little later than at once.
const ERROR_TAKES: Duration = Duration::from_millis(3);

type Reply = Response<Full<Bytes>>;

/// A connection from a node to a server.
pub async fn connection(lab: Rc<Lab>, node: usize, server: usize, stream: DuplexStream) {
    {
        let state = &mut *lab.state.borrow_mut();
        let machine = &mut state.fleet.machines[server].server;
        if !machine.accepts() {
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
    http.timer(TokioTimer::new()).header_read_timeout(Duration::from_micros(KEEPALIVE));
    // How a connection breaks is its node's affair.
    let _ = http.serve_connection(TokioIo::new(stream), service).await;
    let machine = &mut lab.state.borrow_mut().fleet.machines[server].server;
    machine.connections = machine.connections.saturating_sub(1);
}

async fn answer(lab: Rc<Lab>, node: usize, server: usize, fresh: bool, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
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
        Said::Hit => "hit",
        Said::Miss => "miss",
        Said::Error => {
            sleep(ERROR_TAKES).await;
            return status(StatusCode::INTERNAL_SERVER_ERROR);
        }
        Said::Full => {
            let mut reply = status(StatusCode::SERVICE_UNAVAILABLE);
            reply.headers_mut().insert("srv-declined", HeaderValue::from_static("1"));
            return reply;
        }
    };
    let mut reply = Response::new(Full::from(format!("{id} {job} from s{server}\n")));
    reply.headers_mut().insert("srv-cache", HeaderValue::from_static(note));
    let state = &mut *lab.state.borrow_mut();
    if !lab.plan.kinds[lab.plan.asks[state.tickets[ticket].ask].kind].write {
        state.record.reads.0 += 1;
        state.record.reads.1 += u64::from(said == Said::Miss);
    }
    reply
}

fn status(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}
