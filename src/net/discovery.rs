//! The client of discovery: carries out the calls that the subscription's schedule begins, and hands on the lists.

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
use walkpick::policy::subscription::{Call, CallId, Subscription};

/// How a call ended.
struct Ended {
    id: CallId,
    began: Instant,
    outcome: Result<(Listing, Connection), CallError>,
}

/// The client of discovery. `publish` hands on a list; it says `false` where nobody takes them any more.
pub struct DiscoveryClient<Publish> {
    /// Where discovery listens: a reload of the configuration moves it.
    address: watch::Receiver<SocketAddr>,
    subscription: Subscription,
    publish: Publish,
    calls: JoinSet<Ended>,
    /// Of the calls that are out.
    handles: HashMap<CallId, AbortHandle>,
    /// Carries the next call.
    kept: Option<Connection>,
}

impl<Publish: Fn(Listing) -> bool> DiscoveryClient<Publish> {
    pub fn new(address: watch::Receiver<SocketAddr>, subscription: Subscription, publish: Publish) -> Self {
        let (calls, handles) = Default::default();
        Self { address, subscription, publish, calls, handles, kept: None }
    }

    /// Calls discovery, at whichever address holds, for as long as the node runs.
    pub async fn run(mut self) {
        let (begins, mut answers) = mpsc::unbounded_channel();
        let mut moves = self.address.clone();
        let mut address = *moves.borrow_and_update();
        loop {
            while let Some(call) = self.subscription.begin(Instant::now().into_std()) {
                self.start(call, address, begins.clone());
            }
            let due = Instant::from_std(self.subscription.due_at());
            tokio::select! {
                biased;
                moved = moves.changed() => {
                    if moved.is_err() {
                        return;
                    }
                    address = *moves.borrow_and_update();
                    self.moved();
                }
                Some(ended) = self.calls.join_next() => {
                    // One that was aborted is of no use any more.
                    let Ok(ended) = ended else { continue };
                    if !self.ended(ended) {
                        return;
                    }
                }
                Some(id) = answers.recv() => {
                    self.subscription.answer_started(id, Instant::now().into_std());
                }
                () = sleep_until(due) => {}
            }
        }
    }

    fn start(&mut self, call: Call, address: SocketAddr, begins: mpsc::UnboundedSender<CallId>) {
        if let Some(handle) = call.replaces.and_then(|id| self.handles.remove(&id)) {
            handle.abort();
        }
        let (began, kept) = (Instant::now(), self.kept.take());
        debug!(target: "discovery", after = call.after_version, kept = kept.is_some(), "a call begins");
        // Whoever hears of it only goes when the node does.
        let answer_begins = move || {
            let _ = begins.send(call.id);
        };
        let handle = self.calls.spawn_local(async move {
            Ended { id: call.id, began, outcome: perform(call, address, kept, answer_begins).await }
        });
        self.handles.insert(call.id, handle);
    }

    /// Calls that are out are void, and their connections close.
    fn moved(&mut self) {
        self.calls = JoinSet::new();
        self.handles.clear();
        self.kept = None;
        self.subscription.endpoint_changed(Instant::now().into_std());
    }

    /// `false` where nobody takes lists any more.
    fn ended(&mut self, ended: Ended) -> bool {
        let Ended { id, began, outcome } = ended;
        self.handles.remove(&id);
        let out_ms = began.elapsed().as_millis() as u64;
        match outcome {
            Ok((listing, connection)) => self.answered(id, listing, connection, out_ms),
            Err(error) => {
                self.failed(id, &error, out_ms);
                true
            }
        }
    }

    fn answered(&mut self, id: CallId, listing: Listing, connection: Connection, out_ms: u64) -> bool {
        let seq = listing.seq;
        let verdict = self.subscription.answered(id, seq, Instant::now().into_std());
        debug!(target: "discovery", seq, out_ms, accepted = verdict.accepted, "a call is answered");
        if verdict.failures > 0 {
            info!(target: "discovery", failures = verdict.failures, seq, out_ms, "discovery answers again");
        }
        for handle in verdict.obsolete.iter().filter_map(|id| self.handles.remove(id)) {
            handle.abort();
        }
        self.kept = Some(connection);
        !verdict.accepted || (self.publish)(listing)
    }

    fn failed(&mut self, id: CallId, error: &CallError, out_ms: u64) {
        let failures = self.subscription.failed(id);
        // An agent that is down is called many times a second.
        if failures.is_power_of_two() {
            warn!(target: "discovery", %error, out_ms, failures, "a call failed");
        } else {
            debug!(target: "discovery", %error, out_ms, failures, "a call failed");
        }
    }
}

#[cfg(test)]
mod tests;
