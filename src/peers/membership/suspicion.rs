//! Peers that this node itself suspects are told so directly, again and again, until they clear themselves or their time
//! is over. A suspicion is news like any other and may wait or be lost; whom it concerns has to hear it in time, or it is
//! taken for gone although it lives. (Lifeguard's buddy system: Dadgar, Phillips, Currey, 2018.)

use foca::{Header, Incarnation, Member, Message, State};
use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::peers::identity::Peer;
use crate::peers::Micros;

/// A suspect is told this often.
const TELL_EVERY: Micros = 400_000;
/// So many at once: where many are suspected, most of them are gone or cut off.
const TOLD_AT_ONCE: usize = 2;

struct Suspicion {
    peer: Peer,
    incarnation: Incarnation,
    told: Option<Micros>,
}

/// Those whom this node suspects by its own probes.
#[derive(Default)]
pub(super) struct OwnSuspicions {
    by_address: BTreeMap<SocketAddr, Suspicion>,
}

/// A message that tells a suspect of it.
pub(super) struct SuspicionNotice {
    pub to: SocketAddr,
    pub payload: Vec<u8>,
}

impl OwnSuspicions {
    /// A probe failed, and with it the way by others.
    pub fn add(&mut self, peer: Peer, incarnation: Incarnation) {
        self.by_address.insert(peer.address, Suspicion { peer, incarnation, told: None });
    }

    /// Its time is over.
    pub fn remove(&mut self, address: &SocketAddr) {
        self.by_address.remove(address);
    }

    /// Forgets those that are no longer suspected.
    pub fn retain(&mut self, is_suspected: impl Fn(&Peer) -> bool) {
        self.by_address.retain(|_, suspicion| is_suspected(&suspicion.peer));
    }

    /// Those that are to be told now, the one that waits longest first. `me`, `incarnation`: who tells.
    pub fn notices(&mut self, now: Micros, me: &Peer, incarnation: Incarnation) -> Vec<SuspicionNotice> {
        let waits = |suspicion: &Suspicion| suspicion.told.is_none_or(|told| now >= told + TELL_EVERY);
        let mut due: Vec<_> = self.by_address.values_mut().filter(|suspicion| waits(suspicion)).collect();
        due.sort_by_key(|suspicion| suspicion.told);
        let notices = due.into_iter().take(TOLD_AT_ONCE).filter_map(|suspicion| {
            suspicion.told = Some(now);
            let payload = notice(me, incarnation, suspicion)?;
            Some(SuspicionNotice { to: suspicion.peer.address, payload })
        });
        notices.collect()
    }
}

/// A probe that carries the suspicion: its answer carries the suspect's new incarnation, which clears it.
fn notice(me: &Peer, src_incarnation: Incarnation, suspicion: &Suspicion) -> Option<Vec<u8>> {
    let (src, dst) = (me.clone(), suspicion.peer.clone());
    // The answer to it is not the answer to the engine's own probe; it need not be, as the sender's word clears it.
    let header = Header { src, src_incarnation, dst, message: Message::Ping(0) };
    let update = Member::new(suspicion.peer.clone(), suspicion.incarnation, State::Suspect);
    let header = postcard::to_stdvec(&header).ok()?;
    let update = postcard::to_stdvec(&update).ok()?;
    Some([&header[..], &1u16.to_be_bytes(), &update].concat())
}

#[cfg(test)]
mod tests;
