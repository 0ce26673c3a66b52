//! The discovery agent of a node on sockets: serves the server list and long-poll watches over HTTP.

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

/// Maximum duration of a long poll.
const MAX_WAIT_MS: u64 = 60_000;

/// A connection from a node to its agent.
pub async fn connection(lab: Rc<Lab>, node: usize, stream: DuplexStream) {
    let service = service_fn(|request| {
        let reply = handle_request(lab.clone(), node, request);
        async { Ok::<_, Infallible>(reply.await) }
    });
    // The node handles connection errors.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn handle_request(lab: Rc<Lab>, node: usize, request: Request<Incoming>) -> Response<Full<Bytes>> {
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
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
        let mut updates = lab.state.borrow().nodes[node].update_count.subscribe();
        // After the wait the current state is returned even if unchanged.
        let _ = timeout(wait, updates.wait_for(|count| version(*count) > after)).await;
    }
    let (text, entries) = {
        let state = lab.state.borrow();
        let held = &state.nodes[node];
        let seq = version(held.updates.len());
        let (whole, entries) = match after.filter(|after| (version(0)..=seq).contains(after)) {
            Some(after) => (false, merge_updates(&held.updates[after - version(0)..])),
            None => (true, state.discovery.known_entries(node)),
        };
        let hosts: Vec<_> =
            entries.iter().filter_map(|entry| host(held, state.fleet.index_of(&entry.id)?, entry)).collect();
        (json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string(), entries)
    };
    lab.record_notified(node, &entries);
    Response::new(Full::from(text))
}

/// The list version after a number of updates. Zero is never used.
fn version(update_count: usize) -> usize {
    update_count + 1
}

/// Merges consecutive updates; the last one for each server wins.
fn merge_updates(updates: &[std::sync::Arc<[ServerEntry]>]) -> Vec<ServerEntry> {
    let mut last = BTreeMap::new();
    for entry in updates.iter().flat_map(|entries| entries.iter()) {
        last.insert(entry.id.clone(), entry.clone());
    }
    last.into_values().collect()
}

/// The server list written into a node's configuration at start.
pub fn initial_list(lab: &Lab, node: usize) -> Value {
    let state = lab.state.borrow();
    let held = &state.nodes[node];
    let list = state.discovery.known_entries(node);
    let hosts: Vec<_> =
        list.iter().filter_map(|entry| host(held, state.fleet.index_of(&entry.id)?, entry)).collect();
    json!({"seq": version(held.updates.len()), "whole": true, "hosts": hosts})
}

/// Encodes an entry for discovery, with the address at which this node reaches the server. The start time is shifted by
/// the clock offset of the node.
fn host(node: &Node, server: usize, entry: &ServerEntry) -> Option<Value> {
    let dial = node.servers.get(server)?.1.address();
    let health = match entry.availability {
        Availability::Ready => "ready",
        Availability::Draining => "draining",
        Availability::Removed => "gone",
    };
    let offset_us = node.clock_offset_s * 1_000_000.0;
    let started_ms = |at: Micros| ((at as f64 - offset_us) / 1_000.0).max(1.0) as u64;
    Some(json!({
        "host": entry.id.as_str(), "dial": dial.to_string(), "block": entry.cell, "health": health,
        "site": entry.zone.as_ref().map(|zone| zone.as_str()),
        "class": entry.kind.as_ref().map(|kind| kind.as_str()),
        "share": entry.weight, "born_ms": entry.started.map_or(0, |at| started_ms(at.as_micros())),
    }))
}
