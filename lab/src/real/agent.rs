//! A node's agent on sockets: discovery's list and its watch, as the protocol page has them.

use super::lab::{Lab, Node};
use crate::model::Micros;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::DuplexStream;
use tokio::time::timeout;
use walkpick::{Availability, ServerEntry};

/// The longest wait of a watch.
const LONGEST: u64 = 60_000;

/// A connection from a node to its agent.
pub async fn connection(lab: Rc<Lab>, node: usize, stream: DuplexStream) {
    let service = service_fn(|request| {
        let reply = answer(lab.clone(), node, request);
        async { Ok::<_, Infallible>(reply.await) }
    });
    // How a connection breaks is its node's affair.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn answer(lab: Rc<Lab>, node: usize, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != "/v1/servers" {
        let mut reply = Response::new(Full::default());
        *reply.status_mut() = StatusCode::NOT_FOUND;
        return reply;
    }
    let query = request.uri().query().unwrap_or("");
    let number = |name: &str| {
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        pair.and_then(|value| value.parse::<u64>().ok())
    };
    let after = number("after").and_then(|after| usize::try_from(after).ok());
    if let Some(after) = after {
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(LONGEST));
        let mut news = lab.state.borrow().nodes[node].news.subscribe();
        // Nothing new within the wait is an answer too.
        let _ = timeout(wait, news.wait_for(|heard| version(*heard) > after)).await;
    }
    let (text, entries) = {
        let state = lab.state.borrow();
        let held = &state.nodes[node];
        let seq = version(held.heard.len());
        let (whole, entries) = match after.filter(|after| (version(0)..=seq).contains(after)) {
            Some(after) => (false, changed(&held.heard[after - version(0)..])),
            None => (true, state.discovery.known_entries(node)),
        };
        let hosts: Vec<_> =
            entries.iter().filter_map(|entry| host(held, state.fleet.index_of(&entry.id)?, entry)).collect();
        (json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string(), entries)
    };
    lab.told(node, &entries);
    Response::new(Full::from(text))
}

/// The version of a list after so many changes: none is zero.
fn version(heard: usize) -> usize {
    heard + 1
}

/// What several changes come to.
fn changed(heard: &[std::sync::Arc<[ServerEntry]>]) -> Vec<ServerEntry> {
    let mut last = BTreeMap::new();
    for entry in heard.iter().flat_map(|entries| entries.iter()) {
        last.insert(entry.id.clone(), entry.clone());
    }
    last.into_values().collect()
}

/// The list as a node's configuration has it at its start.
pub fn known(lab: &Lab, node: usize) -> Value {
    let state = lab.state.borrow();
    let held = &state.nodes[node];
    let list = state.discovery.known_entries(node);
    let hosts: Vec<_> =
        list.iter().filter_map(|entry| host(held, state.fleet.index_of(&entry.id)?, entry)).collect();
    json!({"seq": version(held.heard.len()), "whole": true, "hosts": hosts})
}

/// An entry in discovery's form, with the address at which this node reaches that server. A node whose clock is off
/// reads another time of start than others do.
fn host(node: &Node, server: usize, entry: &ServerEntry) -> Option<Value> {
    let dial = node.servers.get(server)?.1.address();
    let health = match entry.availability {
        Availability::Ready => "ready",
        Availability::Draining => "draining",
        Availability::Removed => "gone",
    };
    let off = node.clock_s * 1_000_000.0;
    let born = |at: Micros| ((at as f64 - off) / 1_000.0).max(1.0) as u64;
    Some(json!({
        "host": entry.id.as_str(), "dial": dial.to_string(), "block": entry.cell, "health": health,
        "site": entry.zone.as_ref().map(|zone| zone.as_str()),
        "class": entry.kind.as_ref().map(|kind| kind.as_str()),
        "share": entry.weight, "born_ms": entry.started.map_or(0, |at| born(at.as_micros())),
    }))
}
