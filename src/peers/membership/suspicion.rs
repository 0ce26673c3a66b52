//! Notifies suspected peers, and verifies reported departures, so that living peers are not declared down.
//!
//! This node repeatedly notifies peers that its own probes made suspect, until they refute the suspicion or it times out;
//! and peers that others suspect, if the outcome stays unknown for long. A gossiped suspicion may be delayed or lost, but
//! a living peer must learn of it in time to refute it (buddy system in Lifeguard: Dadgar, Phillips, Currey, 2018).

use foca::{Header, Incarnation, Member, Message, State};
use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::peers::identity::Peer;
use crate::peers::Micros;

/// The interval at which a suspect is notified.
const NOTICE_INTERVAL: Micros = 400_000;
/// Maximum number of suspects notified at once. Where many are suspected, most of them are gone or unreachable.
const MAX_NOTICES_AT_ONCE: usize = 2;

/// A peer that is reported as departed must answer within this time plus the longest round trip.
const ANSWER_TIMEOUT: Micros = 1_500_000;
/// A reported peer that is not suspected here is probed this often before the report is accepted, as a probe or its answer
/// may be lost.
const MAX_PROBES: u8 = 2;
/// Minimum time between two such probes, to which the longest round trip is added.
const PROBE_RETRY_AFTER: Micros = 700_000;
/// A report that is older than this is dropped; after another report the peer is probed again.
const DEPARTURE_REPORT_TTL: Micros = 10_000_000;

struct Suspicion {
    peer: Peer,
    incarnation: Incarnation,
    notified_at: Option<Micros>,
}

/// After this time without an outcome, this node has missed the update by which a suspect refuted its suspicion. Only the
/// node whose probe failed ends a suspicion by timeout, after about 10 s at 2,120 nodes.
const OUTCOME_TIMEOUT: Micros = 12_000_000;

/// The peers to notify: those that this node suspects by its own probes, and those that others have suspected for longer
/// than a suspicion lasts.
#[derive(Default)]
pub(super) struct SuspectNotifier {
    by_address: BTreeMap<SocketAddr, Suspicion>,
}

/// Peers that others report as departed but that this node holds as present. They are probed before a report is accepted.
#[derive(Default)]
pub(super) struct DepartureReports {
    by_address: BTreeMap<SocketAddr, DepartureReport>,
}

/// A reported departure of one identity, and this node's probes to verify it.
struct DepartureReport {
    peer: Peer,
    first_reported_at: Micros,
    /// Probes that this node itself sent, and when it sent the last one.
    probes_sent: u8,
    last_probe_at: Micros,
}

impl DepartureReport {
    fn answer_deadline_passed(&self, now: Micros, round_trip: Micros) -> bool {
        now >= self.first_reported_at + ANSWER_TIMEOUT + round_trip
    }

    /// Whether this node's own probes stayed unanswered. Probes of other nodes do not count, as it is their report that is
    /// being verified.
    fn is_unanswered(&self, now: Micros, round_trip: Micros) -> bool {
        let answer_is_due = now >= self.last_probe_at + PROBE_RETRY_AFTER + round_trip;
        self.probes_sent >= MAX_PROBES && answer_is_due && self.answer_deadline_passed(now, round_trip)
    }

    fn may_be_probed(&self, now: Micros, round_trip: Micros) -> bool {
        let answer_is_due = now >= self.last_probe_at + PROBE_RETRY_AFTER + round_trip;
        self.probes_sent == 0 || (self.probes_sent < MAX_PROBES && answer_is_due)
    }
}

/// What to do with a report that a peer has departed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DepartureVerdict {
    /// The peer must be probed.
    Verify,
    /// A probe is outstanding.
    Wait,
    /// The peer has not answered in time.
    Accept,
}

impl DepartureReports {
    /// Handles a report that this peer has departed. `suspected`: this node suspects the peer already, which is independent
    /// evidence besides the report; for a peer that is not suspected, only this node's own probes decide. `round_trip`: the
    /// longest to any region.
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

    /// Records that this node probed a peer.
    pub fn mark_probed(&mut self, now: Micros, peer: &Peer) {
        let claim = self.by_address.get_mut(&peer.address);
        if let Some(claim) = claim.filter(|claim| claim.peer == *peer) {
            (claim.probes_sent, claim.last_probe_at) = (claim.probes_sent.saturating_add(1), now);
        }
    }

    /// Drops reports that have expired.
    pub fn expire(&mut self, now: Micros) {
        self.by_address.retain(|_, claim| now < claim.first_reported_at + DEPARTURE_REPORT_TTL);
    }
}

/// A probe that notifies a peer of what is reported about it.
pub(super) struct NotificationProbe {
    pub to: SocketAddr,
    pub payload: Vec<u8>,
}

impl SuspectNotifier {
    /// Adds a peer after a direct probe and its indirect probes failed.
    pub fn add(&mut self, peer: Peer, incarnation: Incarnation) {
        self.by_address.insert(peer.address, Suspicion { peer, incarnation, notified_at: None });
    }

    /// Adds a peer that others have suspected since `since`, if that is long enough ago.
    pub fn add_reported(&mut self, now: Micros, peer: &Peer, incarnation: Incarnation, since: Micros) {
        if now >= since + OUTCOME_TIMEOUT {
            let suspicion = || Suspicion { peer: peer.clone(), incarnation, notified_at: None };
            self.by_address.entry(peer.address).or_insert_with(suspicion);
        }
    }

    /// Removes a peer whose suspicion has timed out.
    pub fn remove(&mut self, address: &SocketAddr) {
        self.by_address.remove(address);
    }

    /// Removes peers that are no longer suspected.
    pub fn retain(&mut self, is_suspected: impl Fn(&Peer) -> bool) {
        self.by_address.retain(|_, suspicion| is_suspected(&suspicion.peer));
    }

    /// The notices that are due, starting with the peer that has waited longest. `local_peer` and `incarnation` identify the
    /// sender.
    pub fn notices(
        &mut self,
        now: Micros,
        local_peer: &Peer,
        incarnation: Incarnation,
    ) -> Vec<NotificationProbe> {
        let waits =
            |suspicion: &Suspicion| suspicion.notified_at.is_none_or(|at| now >= at + NOTICE_INTERVAL);
        let mut due: Vec<_> = self.by_address.values_mut().filter(|suspicion| waits(suspicion)).collect();
        due.sort_by_key(|suspicion| suspicion.notified_at);
        let notices = due.into_iter().take(MAX_NOTICES_AT_ONCE).filter_map(|suspicion| {
            suspicion.notified_at = Some(now);
            let payload = notice(local_peer, incarnation, suspicion)?;
            Some(NotificationProbe { to: suspicion.peer.address, payload })
        });
        notices.collect()
    }
}

/// A probe that carries the suspicion. Its answer carries the suspect's new incarnation, which refutes the suspicion.
fn notice(local_peer: &Peer, incarnation: Incarnation, suspicion: &Suspicion) -> Option<Vec<u8>> {
    let update = Member::new(suspicion.peer.clone(), suspicion.incarnation, State::Suspect);
    probe_with(local_peer, incarnation, update)
}

/// A probe that notifies a peer that it is reported as departed. If it is alive, its answer carries a renewed identity.
pub(super) fn departure_notice(
    local_peer: &Peer,
    incarnation: Incarnation,
    peer: &Peer,
) -> Option<NotificationProbe> {
    let payload = probe_with(local_peer, incarnation, Member::down(peer.clone()))?;
    Some(NotificationProbe { to: peer.address, payload })
}

fn probe_with(local_peer: &Peer, src_incarnation: Incarnation, update: Member<Peer>) -> Option<Vec<u8>> {
    let (src, dst) = (local_peer.clone(), update.id().clone());
    // Its answer does not count as the answer to a probe of the engine, and need not: the sender's identity and incarnation
    // in it refute the report.
    let header = Header { src, src_incarnation, dst, message: Message::Ping(0) };
    let header = postcard::to_stdvec(&header).ok()?;
    let update = postcard::to_stdvec(&update).ok()?;
    Some([&header[..], &1u16.to_be_bytes(), &update].concat())
}

#[cfg(test)]
mod tests;
