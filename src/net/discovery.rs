//! The client of discovery: makes the calls that the subscription schedules and publishes the lists received.

mod call;
pub mod listing;

use call::{perform, CallError, Connection};
use listing::Listing;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep_until, Instant};
use tracing::{debug, info, warn};
use walkpick::policy::subscription::{Answer, Call, CallId, Subscription};

/// The result of a call.
struct FinishedCall {
    id: CallId,
    started_at: Instant,
    outcome: Result<(Listing, Connection), CallError>,
}

/// The client of discovery. `publish` passes a list on; it returns `false` if there is no receiver any more.
pub struct DiscoveryClient<Publish> {
    /// Discovery's address, which a reload of the configuration may change.
    address: watch::Receiver<SocketAddr>,
    subscription: Subscription,
    publish: Publish,
    calls: JoinSet<FinishedCall>,
    /// Handles of the outstanding calls.
    handles: HashMap<CallId, AbortHandle>,
    /// An idle connection for the next call.
    connection: Option<Connection>,
}

impl<Publish: Fn(Listing) -> bool> DiscoveryClient<Publish> {
    pub fn new(address: watch::Receiver<SocketAddr>, subscription: Subscription, publish: Publish) -> Self {
        let (calls, handles) = Default::default();
        Self { address, subscription, publish, calls, handles, connection: None }
    }

    /// Calls discovery at its current address for as long as the node runs.
    pub async fn run(mut self) {
        let (answer_begins, mut begun_answers) = mpsc::unbounded_channel();
        let mut address_changes = self.address.clone();
        let mut address = *address_changes.borrow_and_update();
        loop {
            while let Some(call) = self.subscription.begin(Instant::now().into_std()) {
                self.start(call, address, answer_begins.clone());
            }
            let due = Instant::from_std(self.subscription.due_at());
            tokio::select! {
                biased;
                changed = address_changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    address = *address_changes.borrow_and_update();
                    self.address_changed();
                }
                Some(finished) = self.calls.join_next() => {
                    // An aborted call is ignored.
                    let Ok(call) = finished else { continue };
                    if !self.call_finished(call) {
                        return;
                    }
                }
                Some(id) = begun_answers.recv() => {
                    self.subscription.answer_started(id, Instant::now().into_std());
                }
                () = sleep_until(due) => {}
            }
        }
    }

    fn start(&mut self, call: Call, address: SocketAddr, answer_begins: mpsc::UnboundedSender<CallId>) {
        if let Some(handle) = call.replaces.and_then(|id| self.handles.remove(&id)) {
            handle.abort();
        }
        let (started_at, kept) = (Instant::now(), self.connection.take());
        debug!(target: "discovery", after = call.after_version, kept = kept.is_some(), "discovery call started");
        // The receiver lives as long as the node.
        let on_answer_begins = move || {
            let _ = answer_begins.send(call.id);
        };
        let handle = self.calls.spawn_local(async move {
            FinishedCall {
                id: call.id,
                started_at,
                outcome: perform(call, address, kept, on_answer_begins).await,
            }
        });
        self.handles.insert(call.id, handle);
    }

    /// Closes the idle connection. Outstanding calls go on for as long as the subscription needs them.
    fn address_changed(&mut self) {
        self.connection = None;
        self.subscription.endpoint_changed(Instant::now().into_std());
    }

    /// Returns `false` if there is no receiver for lists any more.
    fn call_finished(&mut self, call: FinishedCall) -> bool {
        let FinishedCall { id, started_at, outcome } = call;
        self.handles.remove(&id);
        let out_ms = started_at.elapsed().as_millis() as u64;
        match outcome {
            Ok((listing, connection)) => self.call_succeeded(id, listing, connection, out_ms),
            Err(error) => {
                self.call_failed(id, &error, out_ms);
                true
            }
        }
    }

    fn call_succeeded(&mut self, id: CallId, listing: Listing, connection: Connection, out_ms: u64) -> bool {
        let seq = listing.seq;
        let answer = Answer { version: seq, content: listing.content() };
        let outcome = self.subscription.answered(id, answer, Instant::now().into_std());
        let (accepted, current_address) = (outcome.accepted, outcome.connection_reusable);
        debug!(target: "discovery", seq, out_ms, accepted, current_address, "discovery call answered");
        if outcome.failures > 0 {
            info!(target: "discovery", failures = outcome.failures, seq, out_ms, "discovery answers again after failed calls");
        }
        for handle in outcome.obsolete.iter().filter_map(|id| self.handles.remove(id)) {
            handle.abort();
        }
        if outcome.connection_reusable {
            self.connection = Some(connection);
        }
        !accepted || (self.publish)(listing)
    }

    fn call_failed(&mut self, id: CallId, error: &CallError, out_ms: u64) {
        let failures = self.subscription.failed(id);
        // A failing agent is called many times a second, so only some of the failures are logged as warnings.
        if failures.is_power_of_two() {
            warn!(target: "discovery", %error, out_ms, failures, "discovery call failed");
        } else {
            debug!(target: "discovery", %error, out_ms, failures, "discovery call failed");
        }
    }
}

#[cfg(test)]
mod tests;
