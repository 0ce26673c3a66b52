//! Clients and the front end on sockets. Requests are open-loop: a slow response delays no other request.

use super::lab::Lab;
use super::link;
use crate::model::clients::ClientOutcome;
use crate::model::{micros, Micros, SECOND};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Tolerance after the client timeout before a missing response counts as a violation: 20 ms from the settings, 50 ms
/// for sockets, and 50 ms for lateness of the lab itself.
const RESPONSE_GRACE: Duration = Duration::from_millis(120);
/// A reused connection that breaks this soon after a request was written was closed before the node read the request,
/// so the request is sent again. A node never drops an accepted request so early.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);
/// Timeout of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Outcome of one try.
enum TryResult {
    Served {
        job: Option<u64>,
    },
    Refused {
        retry_after: Micros,
    },
    Failed,
    /// The connection ended without a complete response.
    ConnectionLost,
    ConnectFailed,
}

/// Sends a client's request, including all retries.
pub async fn run_client(lab: Rc<Lab>, request_index: usize) {
    lab.state.borrow_mut().active_tasks += 1;
    for number in 0.. {
        let (end, retry_after) = try_once(&lab, request_index, number).await;
        lab.try_ended(request_index, end);
        let Some(retry_at) = lab.plan.retry_at(request_index, number, end, retry_after, lab.now()) else {
            break;
        };
        tokio::time::sleep_until(lab.instant_at(retry_at)).await;
    }
    lab.state.borrow_mut().active_tasks -= 1;
}

async fn try_once(lab: &Rc<Lab>, request_index: usize, number: u32) -> (ClientOutcome, Micros) {
    let try_id = lab.start_try(request_index);
    let Some(node) = choose_node(lab, request_index, number) else { return (ClientOutcome::Unreachable, 0) };
    let (since, try_timeout) = (lab.now(), lab.plan.requests[request_index].try_timeout);
    let until = lab.instant_at(since + try_timeout);
    let mut pending = Box::pin(send(lab.clone(), node, try_id, request_index, number));
    match timeout_at(until, &mut pending).await {
        Ok(answer) => classify(lab, node, try_id, since, answer),
        Err(_) => {
            let lab = lab.clone();
            // The client has timed out; the check still waits for the tolerance.
            spawn_local(async move {
                let answer = timeout(RESPONSE_GRACE, pending).await;
                let lost = matches!(answer, Err(_) | Ok(TryResult::ConnectionLost));
                let state = &mut *lab.state.borrow_mut();
                if lost && !state.disturbed_since(node, since) {
                    let what = || format!("request {try_id} was not answered by n{node} in time");
                    state.record.violation(lab.now(), "final-answer", what);
                }
            });
            (ClientOutcome::Unanswered, 0)
        }
    }
}

fn classify(
    lab: &Lab,
    node: usize,
    try_id: usize,
    since: Micros,
    answer: TryResult,
) -> (ClientOutcome, Micros) {
    match answer {
        TryResult::Served { job: Some(job) } => {
            lab.mark_used(job);
            (ClientOutcome::Served, 0)
        }
        TryResult::Served { job: None } => {
            let what = || {
                format!(
                    "request {try_id} was answered by n{node} with a response that no server produced for it"
                )
            };
            lab.state.borrow_mut().record.violation(lab.now(), "final-answer", what);
            (ClientOutcome::Failed, 0)
        }
        TryResult::Refused { retry_after } => {
            lab.state.borrow_mut().check_refusal(&lab.plan, lab.now(), node, try_id);
            (ClientOutcome::Refused, retry_after)
        }
        TryResult::Failed => (ClientOutcome::Failed, 0),
        TryResult::ConnectionLost => {
            let state = &mut *lab.state.borrow_mut();
            if !state.disturbed_since(node, since) {
                let what = || {
                    format!("request {try_id} was lost by n{node}: the connection closed without a response")
                };
                state.record.violation(lab.now(), "final-answer", what);
            }
            (ClientOutcome::Failed, 0)
        }
        TryResult::ConnectFailed => (ClientOutcome::Unreachable, 0),
    }
}

/// The node to which the front end routes this try: one in the client's zone, if any is in use there.
fn choose_node(lab: &Lab, request_index: usize, number: u32) -> Option<usize> {
    let notice = micros(lab.plan.experiment.deployment.front_notice);
    let (now, state) = (lab.now(), lab.state.borrow());
    let in_use = |i: usize| state.nodes[i].died.map_or(state.nodes[i].ready, |died| now < died + notice);
    lab.plan.pick_node(request_index, number, in_use)
}

async fn send(lab: Rc<Lab>, node: usize, try_id: usize, request_index: usize, number: u32) -> TryResult {
    loop {
        let idle = take_idle(&lab, node);
        let (mut sender, reused) = match idle {
            Some(sender) => (sender, true),
            None => match connect(&lab, node).await {
                Some(sender) => (sender, false),
                None => return TryResult::ConnectFailed,
            },
        };
        let written = Instant::now();
        let response = match sender.send_request(build_request(&lab, try_id, request_index, number)).await {
            Ok(response) => response,
            Err(error) if reused && (error.is_canceled() || written.elapsed() < CLOSE_RACE_WINDOW) => {
                continue
            }
            Err(_) => return TryResult::ConnectionLost,
        };
        return match read_response(&lab, try_id, response).await {
            Some(answer) => {
                spawn_local(return_idle(lab, node, sender));
                answer
            }
            None => TryResult::ConnectionLost,
        };
    }
}

fn take_idle(lab: &Lab, node: usize) -> Option<SendRequest<Full<Bytes>>> {
    let idle = &mut lab.state.borrow_mut().nodes[node].idle_connections;
    idle.retain(|sender| !sender.is_closed());
    idle.pop()
}

/// Returns a connection to the idle pool once it is ready for another request.
async fn return_idle(lab: Rc<Lab>, node: usize, mut sender: SendRequest<Full<Bytes>>) {
    if sender.ready().await.is_ok() {
        lab.state.borrow_mut().nodes[node].idle_connections.push(sender);
    }
}

async fn connect(lab: &Lab, node: usize) -> Option<SendRequest<Full<Bytes>>> {
    let (address, clients) = {
        let state = lab.state.borrow();
        (state.nodes[node].address.address(), state.nodes[node].clients.clone())
    };
    let stream = link::dial(address, &clients).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // Connection errors surface at the request.
    spawn_local(async { drop(connection.await) });
    Some(sender)
}

fn build_request(lab: &Lab, try_id: usize, request_index: usize, number: u32) -> Request<Full<Bytes>> {
    let planned = &lab.plan.requests[request_index];
    let kind = &lab.plan.classes[planned.class];
    let body = if kind.write { Full::from(format!("value {request_index}")) } else { Full::default() };
    let mut request = Request::new(body);
    *request.method_mut() = if kind.write { Method::PUT } else { Method::GET };
    let mut headers = vec![
        ("host", "service.internal".to_owned()),
        ("req-id", format!("r{try_id}")),
        ("req-kind", kind.config.name.to_string()),
        ("req-deadline-ms", (planned.try_timeout / 1_000).to_string()),
        ("req-cost", (planned.hint_us as u64).to_string()),
    ];
    if number > 0 {
        headers.push(("req-retry", "1".to_owned()));
    }
    if matches!(kind.config.effect, walkpick::Effect::Keyed { .. }) {
        headers.push(("idempotency-key", format!("k{request_index}")));
    }
    for (name, value) in headers {
        // All values are valid header text.
        if let Ok(value) = value.parse() {
            request.headers_mut().insert(name, value);
        }
    }
    if let Ok(uri) = format!("/api/{:016x}", planned.key).parse() {
        *request.uri_mut() = uri;
    }
    request
}

async fn read_response(
    lab: &Lab,
    try_id: usize,
    response: Response<hyper::body::Incoming>,
) -> Option<TryResult> {
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(match head.status {
        StatusCode::OK => {
            let text = std::str::from_utf8(&body).unwrap_or("");
            let rest = text.strip_prefix(&format!("r{try_id} "));
            let job = rest.and_then(|rest| rest.split(' ').next()?.parse().ok());
            TryResult::Served { job }
        }
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            let retry_after = head
                .headers
                .get("retry-after")
                .and_then(|retry_after| retry_after.to_str().ok()?.parse::<f64>().ok());
            let longest = lab.plan.settings.max_retry_after.as_secs_f64();
            let retry_after = retry_after.unwrap_or(0.0).clamp(0.0, longest);
            TryResult::Refused { retry_after: (retry_after * SECOND as f64) as Micros }
        }
        _ => TryResult::Failed,
    })
}

/// Whether a node's health check succeeds.
pub async fn is_ready(lab: &Lab, node: usize) -> bool {
    let pending = async {
        let mut sender = connect(lab, node).await?;
        let mut request = Request::new(Full::default());
        *request.uri_mut() = hyper::Uri::from_static("/healthz");
        request.headers_mut().insert("host", hyper::header::HeaderValue::from_static("front"));
        let response = sender.send_request(request).await.ok()?;
        (response.status() == StatusCode::OK).then_some(())
    };
    timeout(HEALTH_TIMEOUT, pending).await.is_ok_and(|ready| ready.is_some())
}

/// Waits until a node's health check succeeds. Returns `false` after `limit`.
pub async fn wait_until_ready(lab: &Lab, node: usize, limit: Duration) -> bool {
    let pending = async {
        while !is_ready(lab, node).await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(limit, pending).await.is_ok()
}
