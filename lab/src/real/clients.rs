//! Clients and the front on sockets: an open loop, in which a late answer delays no other request.

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

/// An answer that comes by then was given in time: the settings' 20 ms, 50 ms for sockets, and 50 ms that the lab may
/// be late itself.
const GRACE: Duration = Duration::from_millis(120);
/// A kept connection that breaks this soon after a request was written to it was closed before the node read it: the
/// request is sent once more. What a node took it never drops so soon.
const CROSSED: Duration = Duration::from_millis(50);
/// How long a node has to say that it is ready.
const HEALTH: Duration = Duration::from_millis(500);

/// How a try ended.
enum Answer {
    Served {
        job: Option<u64>,
    },
    Refused {
        stay: Micros,
    },
    Failed,
    /// The connection ended without a whole answer.
    Lost,
    Unreached,
}

/// A client's request, with all its tries.
pub async fn client(lab: Rc<Lab>, ask: usize) {
    lab.state.borrow_mut().under_way += 1;
    for number in 0.. {
        let (end, stay) = try_once(&lab, ask, number).await;
        lab.end(ask, end);
        let Some(again) = lab.plan.retry_at(ask, number, end, stay, lab.now()) else { break };
        tokio::time::sleep_until(lab.moment(again)).await;
    }
    lab.state.borrow_mut().under_way -= 1;
}

async fn try_once(lab: &Rc<Lab>, ask: usize, number: u32) -> (ClientOutcome, Micros) {
    let ticket = lab.ticket(ask);
    let Some(node) = front(lab, ask, number) else { return (ClientOutcome::Unreachable, 0) };
    let (since, patience) = (lab.now(), lab.plan.requests[ask].try_timeout);
    let until = lab.moment(since + patience);
    let mut asking = Box::pin(send(lab.clone(), node, ticket, ask, number));
    match timeout_at(until, &mut asking).await {
        Ok(answer) => judge(lab, node, ticket, since, answer),
        Err(_) => {
            let lab = lab.clone();
            // Its client has gone on; the judge waits a little longer.
            spawn_local(async move {
                let answer = timeout(GRACE, asking).await;
                let lost = matches!(answer, Err(_) | Ok(Answer::Lost));
                let state = &mut *lab.state.borrow_mut();
                if lost && !state.excused(node, since) {
                    let what = || format!("request {ticket} was not answered by n{node} in time");
                    state.record.violation(lab.now(), "final-answer", what);
                }
            });
            (ClientOutcome::Unanswered, 0)
        }
    }
}

fn judge(lab: &Lab, node: usize, ticket: usize, since: Micros, answer: Answer) -> (ClientOutcome, Micros) {
    match answer {
        Answer::Served { job: Some(job) } => {
            lab.uses(job);
            (ClientOutcome::Served, 0)
        }
        Answer::Served { job: None } => {
            let what = || format!("request {ticket} was answered by n{node} with what no server made for it");
            lab.state.borrow_mut().record.violation(lab.now(), "final-answer", what);
            (ClientOutcome::Failed, 0)
        }
        Answer::Refused { stay } => {
            lab.state.borrow_mut().judge_refusal(&lab.plan, lab.now(), node, ticket);
            (ClientOutcome::Refused, stay)
        }
        Answer::Failed => (ClientOutcome::Failed, 0),
        Answer::Lost => {
            let state = &mut *lab.state.borrow_mut();
            if !state.excused(node, since) {
                let what =
                    || format!("request {ticket} was lost by n{node}: its connection ended unanswered");
                state.record.violation(lab.now(), "final-answer", what);
            }
            (ClientOutcome::Failed, 0)
        }
        Answer::Unreached => (ClientOutcome::Unreachable, 0),
    }
}

/// The node that the front deals this try to: one of the client's zone, if any is in use there.
fn front(lab: &Lab, ask: usize, number: u32) -> Option<usize> {
    let notice = micros(lab.plan.experiment.deployment.front_notice);
    let (now, state) = (lab.now(), lab.state.borrow());
    let in_use = |i: usize| state.nodes[i].died.map_or(state.nodes[i].ready, |died| now < died + notice);
    lab.plan.pick_node(ask, number, in_use)
}

async fn send(lab: Rc<Lab>, node: usize, ticket: usize, ask: usize, number: u32) -> Answer {
    loop {
        let kept = kept(&lab, node);
        let (mut sender, reused) = match kept {
            Some(sender) => (sender, true),
            None => match connect(&lab, node).await {
                Some(sender) => (sender, false),
                None => return Answer::Unreached,
            },
        };
        let written = Instant::now();
        let response = match sender.send_request(request(&lab, ticket, ask, number)).await {
            Ok(response) => response,
            Err(error) if reused && (error.is_canceled() || written.elapsed() < CROSSED) => continue,
            Err(_) => return Answer::Lost,
        };
        return match read(&lab, ticket, response).await {
            Some(answer) => {
                spawn_local(keep(lab, node, sender));
                answer
            }
            None => Answer::Lost,
        };
    }
}

fn kept(lab: &Lab, node: usize) -> Option<SendRequest<Full<Bytes>>> {
    let idle = &mut lab.state.borrow_mut().nodes[node].idle;
    idle.retain(|sender| !sender.is_closed());
    idle.pop()
}

/// Keeps a connection for the next request, once it is ready for one.
async fn keep(lab: Rc<Lab>, node: usize, mut sender: SendRequest<Full<Bytes>>) {
    if sender.ready().await.is_ok() {
        lab.state.borrow_mut().nodes[node].idle.push(sender);
    }
}

async fn connect(lab: &Lab, node: usize) -> Option<SendRequest<Full<Bytes>>> {
    let (address, clients) = {
        let state = lab.state.borrow();
        (state.nodes[node].address.address(), state.nodes[node].clients.clone())
    };
    let stream = link::dial(address, &clients).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // How it breaks shows at the request.
    spawn_local(async { drop(connection.await) });
    Some(sender)
}

fn request(lab: &Lab, ticket: usize, ask: usize, number: u32) -> Request<Full<Bytes>> {
    let asked = &lab.plan.requests[ask];
    let kind = &lab.plan.classes[asked.class];
    let body = if kind.write { Full::from(format!("value {ask}")) } else { Full::default() };
    let mut request = Request::new(body);
    *request.method_mut() = if kind.write { Method::PUT } else { Method::GET };
    let mut headers = vec![
        ("host", "service.internal".to_owned()),
        ("req-id", format!("r{ticket}")),
        ("req-kind", kind.config.name.to_string()),
        ("req-deadline-ms", (asked.try_timeout / 1_000).to_string()),
        ("req-cost", (asked.hint_us as u64).to_string()),
    ];
    if number > 0 {
        headers.push(("req-retry", "1".to_owned()));
    }
    if matches!(kind.config.effect, walkpick::Effect::Keyed { .. }) {
        headers.push(("idempotency-key", format!("k{ask}")));
    }
    for (name, value) in headers {
        // All of them are plain words.
        if let Ok(value) = value.parse() {
            request.headers_mut().insert(name, value);
        }
    }
    if let Ok(uri) = format!("/api/{:016x}", asked.key).parse() {
        *request.uri_mut() = uri;
    }
    request
}

async fn read(lab: &Lab, ticket: usize, response: Response<hyper::body::Incoming>) -> Option<Answer> {
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(match head.status {
        StatusCode::OK => {
            let text = std::str::from_utf8(&body).unwrap_or("");
            let rest = text.strip_prefix(&format!("r{ticket} "));
            let job = rest.and_then(|rest| rest.split(' ').next()?.parse().ok());
            Answer::Served { job }
        }
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            let stay =
                head.headers.get("retry-after").and_then(|stay| stay.to_str().ok()?.parse::<f64>().ok());
            let longest = lab.plan.settings.max_retry_after.as_secs_f64();
            let stay = stay.unwrap_or(0.0).clamp(0.0, longest);
            Answer::Refused { stay: (stay * SECOND as f64) as Micros }
        }
        _ => Answer::Failed,
    })
}

/// Whether a node says that it is ready.
pub async fn healthy(lab: &Lab, node: usize) -> bool {
    let asking = async {
        let mut sender = connect(lab, node).await?;
        let mut request = Request::new(Full::default());
        *request.uri_mut() = hyper::Uri::from_static("/healthz");
        request.headers_mut().insert("host", hyper::header::HeaderValue::from_static("front"));
        let response = sender.send_request(request).await.ok()?;
        (response.status() == StatusCode::OK).then_some(())
    };
    timeout(HEALTH, asking).await.is_ok_and(|said| said.is_some())
}

/// Waits until a node says that it is ready, or `limit` has passed.
pub async fn wait_until_healthy(lab: &Lab, node: usize, limit: Duration) -> bool {
    let asking = async {
        while !healthy(lab, node).await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(limit, asking).await.is_ok()
}
