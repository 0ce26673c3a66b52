//! Membership among the nodes, sans-I/O: the caller passes in datagrams and the time, and carries out the outputs:
//! datagrams to send, wake-up times and notifications. The engine is `foca` (SWIM with suspicion, incarnations and
//! piggybacked dissemination: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002); messages are encoded with `postcard`. This module adds separation of clusters by name,
//! comparison and repair of views, handling of a process that was suspended, detection of duplicate names, and the
//! effective node count. `docs/membership.md` describes all of it.

mod budget;
mod budgeted;
pub mod dissemination;
mod envelope;
mod identity;
mod membership;

pub use budget::{ByteBudget, TrafficClass};
pub use envelope::MAX_DATAGRAM_BYTES;
pub use identity::{Location, Peer};
pub use membership::{
    Agreement, DroppedDatagrams, EffectiveNodeCount, NodeCountRules, PeerRecord, PeerStatus, PeersConfig,
    Traffic, TrafficCount, TrafficKind, View, ViewSummary, TRAFFIC_KINDS,
};

use budgeted::BudgetedDissemination;
use dissemination::{Dissemination, DisseminationOutput, Entry, PublishError, StateKey};
use envelope::{Envelope, Extension};
use membership::admission::{Admission, DropReason};
use membership::Membership;
use std::net::SocketAddr;

/// Microseconds on the caller's monotonic clock.
pub type Micros = u64;

/// An action that the caller must carry out, or a notification.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// The destination.
        to: SocketAddr,
        /// The contents of the datagram.
        data: Vec<u8>,
    },
    /// The status of a peer has changed.
    StatusChanged {
        /// The peer.
        peer: Peer,
        /// Its new status.
        status: PeerStatus,
    },
    /// The agreement of the views has changed.
    AgreementChanged(Agreement),
    /// The effective node count has changed.
    EffectiveNodes(u32),
    /// Another process claims this node's name.
    NameConflict {
        /// The other process.
        other: Peer,
        /// Whether this process yields the name; if so, it leaves the cluster for good.
        yields: bool,
    },
    /// Others had declared this process down; it has rejoined under a new identity.
    Rejoined,
    /// An output of dissemination; never [`DisseminationOutput::Send`].
    Dissemination(DisseminationOutput),
}

/// One process among its peers. It admits datagrams, decodes their envelope, and dispatches their contents to membership
/// and dissemination.
pub struct Peers {
    cluster: String,
    admission: Admission,
    membership: Membership,
    dissemination: Option<BudgetedDissemination>,
}

impl Peers {
    /// A process that knows no other one yet. `seed`: seeds its random number generators.
    pub fn new(config: PeersConfig, local_peer: Peer, seed: u64, now: Micros) -> Self {
        let dissemination = config.dissemination.as_ref();
        let dissemination = dissemination.and_then(|dissemination| {
            BudgetedDissemination::new(dissemination, &config.cluster, &local_peer, seed, now)
        });
        Self {
            cluster: config.cluster.clone(),
            admission: Admission::new(now),
            dissemination,
            membership: Membership::new(config, local_peer, seed, now),
        }
    }

    /// When [`Self::handle_timers`] must be called next.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let dissemination =
            self.dissemination.as_ref().map(|dissemination| dissemination.core.next_timeout());
        self.membership.next_timer().into_iter().chain(dissemination).min()
    }

    /// The datagrams dropped so far, by reason.
    pub fn dropped(&self) -> DroppedDatagrams {
        self.admission.dropped()
    }

    /// The identity under which other nodes know this process.
    pub fn local_peer(&self) -> &Peer {
        self.membership.local_peer()
    }

    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, now: Micros, data: &[u8], out: &mut Vec<Output>) {
        if !self.admission.admit(now) || self.membership.has_left() {
            return;
        }
        let start = out.len();
        let received = self.receive(now, data, out);
        self.update_dissemination(now, start, out);
        match received {
            Ok(envelope) => self.receive_entries(now, &envelope, out),
            Err(reason) => self.admission.drop(reason),
        }
    }

    fn receive<'a>(
        &mut self,
        now: Micros,
        data: &'a [u8],
        out: &mut Vec<Output>,
    ) -> Result<Envelope<'a>, DropReason> {
        let envelope = Envelope::decode(data).ok_or(DropReason::Malformed)?;
        if envelope.cluster != self.cluster {
            return Err(DropReason::Foreign);
        }
        self.membership.receive(now, &envelope, out)?;
        Ok(envelope)
    }

    /// Passes the messages of dissemination in a datagram on if its sender is present.
    fn receive_entries(&mut self, now: Micros, envelope: &Envelope, out: &mut Vec<Output>) {
        if self.dissemination.is_none() || !envelope.payload.is_empty() {
            return;
        }
        let mut extensions = envelope.extensions().into_iter();
        let Some(Extension::Sender(sender)) = extensions.next() else { return };
        if !self.membership.is_present(&sender) {
            return;
        }
        for extension in extensions {
            if let (Extension::Dissemination(data), Some(dissemination)) =
                (extension, &mut self.dissemination)
            {
                let mut outputs = Vec::new();
                dissemination.core.receive(
                    now,
                    sender.address,
                    &data,
                    &mut dissemination.budget,
                    &mut outputs,
                );
                self.emit(outputs, out);
            }
        }
    }

    /// Applies the outputs of membership from index `start` on to dissemination.
    fn update_dissemination(&mut self, now: Micros, start: usize, out: &[Output]) {
        let replaced = self.membership.take_replaced();
        if let Some(dissemination) = &mut self.dissemination {
            dissemination.apply_membership(
                now,
                self.membership.local_peer(),
                replaced,
                out.get(start..).unwrap_or_default(),
            );
        }
    }

    /// Adds the outputs of dissemination to `out`. Dissemination is configured at all nodes of a cluster or at none, so the
    /// receivers of its datagrams can read them.
    fn emit(&self, outputs: Vec<DisseminationOutput>, out: &mut Vec<Output>) {
        for (to, data) in budgeted::split_sends(outputs, out) {
            let data = self.membership.extension_datagram(Extension::Dissemination(data));
            out.extend(data.map(|data| Output::Send { to, data }));
        }
    }

    /// The dissemination state, if dissemination is configured.
    pub fn dissemination(&self) -> Option<&Dissemination> {
        self.dissemination.as_ref().map(|dissemination| &dissemination.core)
    }

    /// Opens this node's log and states for publishing; see [`Dissemination::open_publisher`].
    pub fn open_publisher(
        &mut self,
        now: Micros,
        epoch: u64,
        first: u64,
        record: Vec<Entry>,
        out: &mut Vec<Output>,
    ) -> Result<(), PublishError> {
        self.publish(now, out, |core, outputs| core.open_publisher(now, epoch, first, record, outputs))
    }

    /// Publishes an entry of this node's log; returns its sequence number.
    pub fn publish_log_entry(
        &mut self,
        now: Micros,
        kind: u16,
        schema: u16,
        payload: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> Result<u64, PublishError> {
        self.publish(now, out, |core, outputs| core.publish_log(now, kind, schema, payload, outputs))
    }

    /// Publishes a version of this node's state of one kind; returns the version number.
    pub fn publish_state(
        &mut self,
        now: Micros,
        kind: u16,
        schema: u16,
        payload: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> Result<u64, PublishError> {
        self.publish(now, out, |core, outputs| core.publish_state(now, kind, schema, payload, outputs))
    }

    /// Reports the subscriber's decision on an offered version: accepted, or refused for a reason.
    pub fn decide_state(
        &mut self,
        now: Micros,
        key: StateKey,
        epoch: u64,
        version: u64,
        verdict: Result<(), String>,
        out: &mut Vec<Output>,
    ) {
        let decided = self.publish(now, out, |core, outputs| {
            core.decide_state(key, epoch, version, verdict, outputs);
            Ok(())
        });
        // Without dissemination no version was offered, so there is nothing to decide.
        decided.unwrap_or(());
    }

    fn publish<T>(
        &mut self,
        now: Micros,
        out: &mut Vec<Output>,
        issue: impl FnOnce(&mut Dissemination, &mut Vec<DisseminationOutput>) -> Result<T, PublishError>,
    ) -> Result<T, PublishError> {
        let Some(dissemination) = &mut self.dissemination else { return Err(PublishError::NotOpen) };
        let mut outputs = Vec::new();
        let result = issue(&mut dissemination.core, &mut outputs);
        dissemination.core.flush(now, &mut dissemination.budget, &mut outputs);
        self.emit(outputs, out);
        result
    }

    /// Runs the timers that are due. Received datagrams must be passed in first: after this process was suspended, they
    /// show which peers are alive, while the timers would suspect peers whose answers are still unread.
    pub fn handle_timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let start = out.len();
        self.membership.run_timers(now, out);
        self.update_dissemination(now, start, out);
        if self.membership.has_left() {
            self.dissemination = None;
        }
        let Some(dissemination) = &mut self.dissemination else { return };
        if now >= dissemination.core.next_timeout() {
            let mut outputs = Vec::new();
            dissemination.core.run_timers(now, &mut dissemination.budget, &mut outputs);
            self.emit(outputs, out);
        }
    }

    /// Sends leave messages, so that the other nodes know at once and need not suspect this one.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.membership.leave(now, out);
    }

    /// A summary of the view, without the list of peers.
    pub fn summary(&self) -> ViewSummary {
        self.membership.summary()
    }

    /// The traffic that membership has sent so far, by kind.
    pub fn traffic(&self) -> Traffic {
        self.membership.traffic()
    }

    /// The view of the cluster.
    pub fn view(&self, now: Micros) -> View {
        self.membership.view(now)
    }
}

#[cfg(test)]
mod tests;
