//! Peers that this node itself suspects are told so directly, again and again, until they clear themselves or their time
//! is over. So are those whom others suspect, where no outcome is heard of for long. A suspicion is news like any other
//! and may wait or be lost; whom it concerns has to hear it in time, or it is taken for gone although it lives.
//! (Lifeguard's buddy system: Dadgar, Phillips, Currey, 2018.)

use foca::{Header, Incarnation, Member, Message, State};
use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::peers::identity::Peer;
use crate::peers::Micros;

/// A suspect is told this often.
const NOTICE_INTERVAL: Micros = 400_000;
/// So many at once: where many are suspected, most of them are gone or cut off.
const MAX_NOTICES_AT_ONCE: usize = 2;

/// One that is said to be gone answers within this time if it lives, and within the time of the longest round trip beside it.
const ANSWER_TIMEOUT: Micros = 1_500_000;
/// One that is not suspected here is asked this often before it is believed, as a question or its answer may be lost.
const MAX_PROBES: u8 = 2;
/// It is asked again after this time at the earliest, and the longest round trip.
const PROBE_RETRY_AFTER: Micros = 700_000;
/// What was said longer ago is forgotten: the peer is asked again.
const DEPARTURE_REPORT_TTL: Micros = 10_000_000;

struct Suspicion {
    peer: Peer,
    incarnation: Incarnation,
    notified_at: Option<Micros>,
}

/// Without an outcome for so long, the news that a suspect cleared itself was missed: only the node whose probe failed
/// ends a suspicion by time, after some 10 s at 2,120 nodes.
const OUTCOME_TIMEOUT: Micros = 12_000_000;

/// Those whom this node suspects by its own probes, or by the word of others for longer than a suspicion agreement_age.
#[derive(Default)]
pub(super) struct SuspectNotifier {
    by_address: BTreeMap<SocketAddr, Suspicion>,
}

/// Peers that others take for gone, and this node does not: they are asked before it is believed.
#[derive(Default)]
pub(super) struct DepartureReports {
    by_address: BTreeMap<SocketAddr, DepartureReport>,
}

/// What others said of one life, and what this node did about it.
struct DepartureReport {
    peer: Peer,
    first_reported_at: Micros,
    /// Questions that this node itself sent, and when it sent the last one.
    probes_sent: u8,
    last_probe_at: Micros,
}

impl DepartureReport {
    fn answer_deadline_passed(&self, now: Micros, round_trip: Micros) -> bool {
        now >= self.first_reported_at + ANSWER_TIMEOUT + round_trip
    }

    /// Whether this node's own questions stayed without an answer. Others may have asked as well, but their word is the
    /// one in doubt.
    fn is_unanswered(&self, now: Micros, round_trip: Micros) -> bool {
        let answer_is_due = now >= self.last_probe_at + PROBE_RETRY_AFTER + round_trip;
        self.probes_sent >= MAX_PROBES && answer_is_due && self.answer_deadline_passed(now, round_trip)
    }

    fn may_be_probed(&self, now: Micros, round_trip: Micros) -> bool {
        let answer_is_due = now >= self.last_probe_at + PROBE_RETRY_AFTER + round_trip;
        self.probes_sent == 0 || (self.probes_sent < MAX_PROBES && answer_is_due)
    }
}

/// What to do with the word that a peer is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DepartureVerdict {
    /// It is news: the peer is to be asked.
    Verify,
    /// The peer was asked not long ago.
    Wait,
    /// The peer has had its time.
    Accept,
}

impl DepartureReports {
    /// One told that this life of a peer is gone. `suspected`: this node suspects that peer already, so that the two
    /// words are evidence of two kinds; a peer that is not suspected goes by this node's own questions alone. `round_trip`:
    /// the longest to any region.
    pub fn report(
        &mut self,
        now: Micros,
        peer: &Peer,
        suspected: bool,
        round_trip: Micros,
    ) -> DepartureVerdict {
        let held = self.by_address.get(&peer.address);
        let held =
            held.filter(|claim| claim.peer == *peer && now < claim.first_reported_at + DEPARTURE_REPORT_TTL);
        let Some(claim) = held else {
            let claim = DepartureReport {
                peer: peer.clone(),
                first_reported_at: now,
                probes_sent: 0,
                last_probe_at: now,
            };
            self.by_address.insert(peer.address, claim);
            return DepartureVerdict::Verify;
        };
        match suspected {
            true if claim.answer_deadline_passed(now, round_trip) => DepartureVerdict::Accept,
            false if claim.is_unanswered(now, round_trip) => DepartureVerdict::Accept,
            _ if claim.may_be_probed(now, round_trip) => DepartureVerdict::Verify,
            _ => DepartureVerdict::Wait,
        }
    }

    /// This node asked a peer.
    pub fn mark_probed(&mut self, now: Micros, peer: &Peer) {
        let claim = self.by_address.get_mut(&peer.address);
        if let Some(claim) = claim.filter(|claim| claim.peer == *peer) {
            (claim.probes_sent, claim.last_probe_at) = (claim.probes_sent.saturating_add(1), now);
        }
    }

    /// Forgets what is long ago.
    pub fn expire(&mut self, now: Micros) {
        self.by_address.retain(|_, claim| now < claim.first_reported_at + DEPARTURE_REPORT_TTL);
    }
}

/// A message that tells a suspect of it.
pub(super) struct SuspicionNotice {
    pub to: SocketAddr,
    pub payload: Vec<u8>,
}

impl SuspectNotifier {
    /// A probe failed, and with it the way by others.
    pub fn add(&mut self, peer: Peer, incarnation: Incarnation) {
        self.by_address.insert(peer.address, Suspicion { peer, incarnation, notified_at: None });
    }

    /// One is suspected by the word of others, since then.
    pub fn add_reported(&mut self, now: Micros, peer: &Peer, incarnation: Incarnation, since: Micros) {
        if now >= since + OUTCOME_TIMEOUT {
            let suspicion = || Suspicion { peer: peer.clone(), incarnation, notified_at: None };
            self.by_address.entry(peer.address).or_insert_with(suspicion);
        }
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
        let waits =
            |suspicion: &Suspicion| suspicion.notified_at.is_none_or(|told| now >= told + NOTICE_INTERVAL);
        let mut due: Vec<_> = self.by_address.values_mut().filter(|suspicion| waits(suspicion)).collect();
        due.sort_by_key(|suspicion| suspicion.notified_at);
        let notices = due.into_iter().take(MAX_NOTICES_AT_ONCE).filter_map(|suspicion| {
            suspicion.notified_at = Some(now);
            let payload = notice(me, incarnation, suspicion)?;
            Some(SuspicionNotice { to: suspicion.peer.address, payload })
        });
        notices.collect()
    }
}

/// A probe that carries the suspicion: its answer carries the suspect's new incarnation, which clears it.
fn notice(me: &Peer, incarnation: Incarnation, suspicion: &Suspicion) -> Option<Vec<u8>> {
    let update = Member::new(suspicion.peer.clone(), suspicion.incarnation, State::Suspect);
    probe_with(me, incarnation, update)
}

/// A probe that tells a peer that others take it for gone: where it lives, its answer carries a later identity.
pub(super) fn departure_notice(me: &Peer, incarnation: Incarnation, peer: &Peer) -> Option<SuspicionNotice> {
    let payload = probe_with(me, incarnation, Member::down(peer.clone()))?;
    Some(SuspicionNotice { to: peer.address, payload })
}

fn probe_with(me: &Peer, src_incarnation: Incarnation, update: Member<Peer>) -> Option<Vec<u8>> {
    let (src, dst) = (me.clone(), update.id().clone());
    // The answer to it is not the answer to the engine's own probe; it need not be, as the sender's word clears it.
    let header = Header { src, src_incarnation, dst, message: Message::Ping(0) };
    let header = postcard::to_stdvec(&header).ok()?;
    let update = postcard::to_stdvec(&update).ok()?;
    Some([&header[..], &1u16.to_be_bytes(), &update].concat())
}

#[cfg(test)]
mod tests;
