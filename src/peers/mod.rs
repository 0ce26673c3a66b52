//! Membership among the nodes, sans-I/O: datagrams and time in; datagrams, times and news out. The engine is `foca`
//! (SWIM with suspicion, incarnations and piggybacked dissemination: Das, Gupta, Motivala, "SWIM: Scalable
//! Weakly-consistent Infection-style Process Group Membership Protocol", 2002), the codec `postcard`. What is added here:
//! one cluster's datagrams apart from another's, views that can be compared, a process that was asleep, names claimed
//! twice, and the count of nodes that may be relied on. `docs/membership.md` tells it all.

mod budget;
pub mod dissemination;
mod envelope;
mod identity;
mod membership;

pub use budget::{ByteBudget, TrafficClass};
pub use envelope::LARGEST;
pub use identity::{Location, Peer};
pub use membership::{
    Agreement, Count, CountRules, Dropped, PeersConfig, Seen, Standing, Traffic, TrafficCount, TrafficKind,
    View, ViewSummary, TRAFFIC_KINDS,
};

use envelope::Envelope;
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
    Standing {
        /// Who.
        peer: Peer,
        /// How.
        standing: Standing,
    },
    /// Views lie apart, or together, differently.
    Agreement(Agreement),
    /// The count that may be relied on has changed.
    Count(u32),
    /// Another process claims this name. `yields`: this one leaves the cluster to it, for good.
    NameClaimed {
        /// The other one.
        by: Peer,
        /// Whether this process gives way.
        yields: bool,
    },
    /// Others had declared this process gone; it has come back under a new identity.
    CameBack,
}

/// One process's part among its peers: it admits datagrams, opens their envelope, and hands what is in them to the part
/// that it is for.
pub struct Peers {
    cluster: String,
    admission: Admission,
    membership: Membership,
}

impl Peers {
    /// A process that has not met anybody. `seed`: for its random draws.
    pub fn new(config: PeersConfig, me: Peer, seed: u64, now: Micros) -> Self {
        Self {
            cluster: config.cluster.clone(),
            admission: Admission::new(now),
            membership: Membership::new(config, me, seed, now),
        }
    }

    /// When it wants to be called next.
    pub fn next(&self) -> Option<Micros> {
        self.membership.next()
    }

    /// Datagrams that were dropped up to now.
    pub fn dropped(&self) -> Dropped {
        self.admission.dropped()
    }

    /// Itself, as others know it.
    pub fn me(&self) -> &Peer {
        self.membership.me()
    }

    /// A datagram has come.
    pub fn datagram(&mut self, now: Micros, data: &[u8], out: &mut Vec<Output>) {
        if !self.admission.admit(now) || self.membership.has_left() {
            return;
        }
        if let Err(reason) = self.receive(now, data, out) {
            self.admission.drop(reason);
        }
    }

    fn receive(&mut self, now: Micros, data: &[u8], out: &mut Vec<Output>) -> Result<(), DropReason> {
        let envelope = Envelope::decode(data).ok_or(DropReason::Malformed)?;
        if envelope.cluster != self.cluster {
            return Err(DropReason::Foreign);
        }
        self.membership.receive(now, &envelope, out)
    }

    /// Time has come for what is due. Datagrams that wait are to be handed over first: after a sleep they say who is
    /// there, while timers would only say who did not answer a process that stood still.
    pub fn timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.membership.run_timers(now, out);
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
