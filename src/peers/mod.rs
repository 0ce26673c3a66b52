//! Membership among the nodes, sans-I/O: datagrams and time in; datagrams, times and news out. The engine is `foca`
//! (SWIM with suspicion, incarnations and piggybacked dissemination: Das, Gupta, Motivala, "SWIM: Scalable
//! Weakly-consistent Infection-style Process Group Membership Protocol", 2002), the codec `postcard`. What is added here:
//! one cluster's datagrams apart from another's, views that can be compared, a process that was asleep, names claimed
//! twice, and the count of nodes that may be relied on. `docs/membership.md` tells it all.

mod budget;
pub mod dissemination;
mod envelope;
mod identity;
mod joined;
mod membership;

pub use budget::{ByteBudget, TrafficClass};
pub use envelope::MAX_DATAGRAM_BYTES;
pub use identity::{Location, Peer};
pub use membership::{
    Agreement, DroppedDatagrams, EffectiveNodeCount, NodeCountRules, PeerRecord, PeerStatus, PeersConfig,
    Traffic, TrafficCount, TrafficKind, View, ViewSummary, TRAFFIC_KINDS,
};

use dissemination::{Dissemination, DisseminationOutput, Entry, PublishError, StateKey};
use envelope::{Envelope, Extension};
use joined::Joined;
use membership::admission::{Admission, DropReason};
use membership::Membership;
use std::net::SocketAddr;

/// Microseconds on the caller's monotonic clock.
pub type Micros = u64;

/// What the caller must do, or hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Its bytes.
        data: Vec<u8>,
    },
    /// A peer stands differently.
    StatusChanged {
        /// Who.
        peer: Peer,
        /// How.
        status: PeerStatus,
    },
    /// Views lie apart, or together, differently.
    AgreementChanged(Agreement),
    /// The count that may be relied on has changed.
    EffectiveNodes(u32),
    /// Another process claims this name. `yields`: this one leaves the cluster to it, for good.
    NameConflict {
        /// The other one.
        other: Peer,
        /// Whether this process gives way.
        yields: bool,
    },
    /// Others had declared this process gone; it has come back under a new identity.
    Rejoined,
    /// What dissemination tells; never [`DisseminationOutput::Send`].
    Dissemination(DisseminationOutput),
}

/// One process's part among its peers: it admits datagrams, opens their envelope, and hands what is in them to the part
/// that it is for.
pub struct Peers {
    cluster: String,
    admission: Admission,
    membership: Membership,
    joined: Option<Joined>,
}

impl Peers {
    /// A process that has not met anybody. `seed`: for its random draws.
    pub fn new(config: PeersConfig, me: Peer, seed: u64, now: Micros) -> Self {
        let joined = config.dissemination.as_ref();
        let joined = joined.and_then(|joined| Joined::new(joined, &config.cluster, &me, seed, now));
        Self {
            cluster: config.cluster.clone(),
            admission: Admission::new(now),
            joined,
            membership: Membership::new(config, me, seed, now),
        }
    }

    /// When it wants to be called next.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let joined = self.joined.as_ref().map(|joined| joined.core.next_timeout());
        self.membership.next().into_iter().chain(joined).min()
    }

    /// Datagrams that were dropped up to now.
    pub fn dropped(&self) -> DroppedDatagrams {
        self.admission.dropped()
    }

    /// Itself, as others know it.
    pub fn local_peer(&self) -> &Peer {
        self.membership.me()
    }

    /// A datagram has come.
    pub fn handle_datagram(&mut self, now: Micros, data: &[u8], out: &mut Vec<Output>) {
        if !self.admission.admit(now) || self.membership.has_left() {
            return;
        }
        let begun = out.len();
        let received = self.receive(now, data, out);
        self.follow(now, begun, out);
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

    /// Hands a datagram of dissemination over, where its sender is present.
    fn receive_entries(&mut self, now: Micros, envelope: &Envelope, out: &mut Vec<Output>) {
        if self.joined.is_none() || !envelope.payload.is_empty() {
            return;
        }
        let mut extensions = envelope.extensions().into_iter();
        let Some(Extension::Sender(sender)) = extensions.next() else { return };
        if !self.membership.is_present(&sender) {
            return;
        }
        for extension in extensions {
            if let (Extension::Dissemination(data), Some(joined)) = (extension, &mut self.joined) {
                let mut told = Vec::new();
                joined.core.receive(now, sender.address, &data, &mut joined.budget, &mut told);
                self.tell(told, out);
            }
        }
    }

    /// Dissemination takes over what membership told since `begun`.
    fn follow(&mut self, now: Micros, begun: usize, out: &[Output]) {
        let replaced = self.membership.take_replaced();
        if let Some(joined) = &mut self.joined {
            joined.follow(now, self.membership.me(), replaced, out.get(begun..).unwrap_or_default());
        }
    }

    /// Sends and tells what dissemination wants sent and told. It is configured at all nodes of a cluster or at none, so
    /// whoever gets its datagrams can read them.
    fn tell(&self, told: Vec<DisseminationOutput>, out: &mut Vec<Output>) {
        for (to, data) in joined::split(told, out) {
            let data = self.membership.extension_datagram(Extension::Dissemination(data));
            out.extend(data.map(|data| Output::Send { to, data }));
        }
    }

    /// What dissemination holds and knows, where it is configured.
    pub fn dissemination(&self) -> Option<&Dissemination> {
        self.joined.as_ref().map(|joined| &joined.core)
    }

    /// Opens this node's log and states for publishing: see [`Dissemination::open_publisher`].
    pub fn open_publisher(
        &mut self,
        now: Micros,
        epoch: u64,
        first: u64,
        record: Vec<Entry>,
        out: &mut Vec<Output>,
    ) -> Result<(), PublishError> {
        self.publish(now, out, |core, told| core.open_publisher(now, epoch, first, record, told))
    }

    /// Issues an entry of this node's log; its sequence.
    pub fn publish_log_entry(
        &mut self,
        now: Micros,
        kind: u16,
        schema: u16,
        payload: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> Result<u64, PublishError> {
        self.publish(now, out, |core, told| core.publish_log(now, kind, schema, payload, told))
    }

    /// Issues a version of this node's state of a kind; the version.
    pub fn publish_state(
        &mut self,
        now: Micros,
        kind: u16,
        schema: u16,
        payload: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> Result<u64, PublishError> {
        self.publish(now, out, |core, told| core.publish_state(now, kind, schema, payload, told))
    }

    /// The subscriber's word on a version that it was offered: in force, or refused for a reason.
    pub fn decide_state(
        &mut self,
        now: Micros,
        key: StateKey,
        epoch: u64,
        version: u64,
        verdict: Result<(), String>,
        out: &mut Vec<Output>,
    ) {
        let decided = self.publish(now, out, |core, told| {
            core.decide_state(key, epoch, version, verdict, told);
            Ok(())
        });
        // Without dissemination there was no offer to decide on.
        decided.unwrap_or(());
    }

    fn publish<T>(
        &mut self,
        now: Micros,
        out: &mut Vec<Output>,
        issue: impl FnOnce(&mut Dissemination, &mut Vec<DisseminationOutput>) -> Result<T, PublishError>,
    ) -> Result<T, PublishError> {
        let Some(joined) = &mut self.joined else { return Err(PublishError::NotOpen) };
        let mut told = Vec::new();
        let issued = issue(&mut joined.core, &mut told);
        joined.core.flush(now, &mut joined.budget, &mut told);
        self.tell(told, out);
        issued
    }

    /// Time has come for what is due. Datagrams that wait are to be handed over first: after a sleep they say who is
    /// there, while timers would only say who did not answer a process that stood still.
    pub fn handle_timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let begun = out.len();
        self.membership.run_timers(now, out);
        self.follow(now, begun, out);
        if self.membership.has_left() {
            self.joined = None;
        }
        let Some(joined) = &mut self.joined else { return };
        if now >= joined.core.next_timeout() {
            let mut told = Vec::new();
            joined.core.run_timers(now, &mut joined.budget, &mut told);
            self.tell(told, out);
        }
    }

    /// Says farewell: the others know at once, and suspect nothing.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.membership.leave(now, out);
    }

    /// The figures of its view, without the list of peers.
    pub fn summary(&self) -> ViewSummary {
        self.membership.summary()
    }

    /// What membership sent up to now, by kind.
    pub fn traffic(&self) -> Traffic {
        self.membership.traffic()
    }

    /// What it sees.
    pub fn view(&self, now: Micros) -> View {
        self.membership.view(now)
    }
}

#[cfg(test)]
mod tests;
