//! What clients and servers observed of each request, by its id.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEnd {
    /// A complete response with this status.
    Answered(u16),
    /// A response whose body is not that of its request.
    WrongResponse,
    /// The node closed the connection without a complete response.
    Closed,
    /// No response before the read timeout.
    NoResponse,
    /// The client closed the connection before a response.
    Disconnected,
}

/// One request, as observed by its client and the servers.
#[derive(Clone, Debug)]
pub struct Request {
    pub unsafe_class: bool,
    pub deadline: Duration,
    /// When the client sent it.
    pub sent: Instant,
    /// Whether it is the first on its connection.
    pub fresh: bool,
    pub end: Option<(ClientEnd, Instant)>,
    pub arrivals: Vec<Arrival>,
}

/// The arrival of a request at a server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub server: usize,
    pub at: Instant,
    /// The remaining time that the node stated.
    pub deadline: Option<Duration>,
    /// Whether the server declined it: then it has not run.
    pub declined: bool,
}

/// All requests of a run.
#[derive(Clone, Debug, Default)]
pub struct Record(Arc<Mutex<HashMap<u64, Request>>>);

impl Record {
    pub fn sent(&self, id: u64, request: Request) {
        self.0.lock().unwrap().insert(id, request);
    }

    pub fn ended(&self, id: u64, end: ClientEnd) {
        if let Some(request) = self.0.lock().unwrap().get_mut(&id) {
            request.end = Some((end, Instant::now()));
        }
    }

    pub fn arrived(&self, id: u64, arrival: Arrival) {
        if let Some(request) = self.0.lock().unwrap().get_mut(&id) {
            request.arrivals.push(arrival);
        }
    }

    pub fn requests(&self) -> Vec<(u64, Request)> {
        let requests = self.0.lock().unwrap();
        let mut all: Vec<_> = requests.iter().map(|(id, request)| (*id, request.clone())).collect();
        all.sort_by_key(|(id, _)| *id);
        all
    }
}
