//! Runs the repair protocol: compares views with peers, and applies the results to the members.

use foca::State;
use std::net::SocketAddr;

use super::engine::EngineEffects;
use super::inbound::MemberUpdate;
use super::leave_messages::LeaveMessage;
use super::pacing::RepairPriority;
use super::repair::{LocalView, Record, RepairMessage, RepairOutcome};
use super::suspicion::DepartureVerdict;
use super::traffic::TrafficKind;
use super::{Membership, PeerStatus};
use crate::peers::envelope::{Extension, EXTENSIONS_MIN_SCHEMA};
use crate::peers::{Micros, Output};

/// How many peers that reported a differing view are asked at once to compare. During a burst of changes each comparison
/// transfers many members, and concurrent ones would transfer the same.
const MAX_COMPARISONS: usize = 8;
const MAX_COMPARISONS_IN_BURST: usize = 2;

impl Membership {
    pub(super) fn receive_repair(
        &mut self,
        now: Micros,
        from: SocketAddr,
        message: RepairMessage,
        out: &mut Vec<Output>,
    ) {
        if message == RepairMessage::RequestDigests {
            return self.send_digests(now, from, out);
        }
        let view =
            LocalView { local_peer: self.engine.identity(), members: &self.members, nodes: self.nodes() };
        let outcome = self.repair.receive(now, view, message);
        self.apply_repair_outcome(now, from, outcome, out);
    }

    /// Responds to a peer that requested digests: with the present digest, and with those of the buckets if the views differ.
    pub(super) fn send_digests(&mut self, now: Micros, to: SocketAddr, out: &mut Vec<Output>) {
        let mut messages = Vec::new();
        let differs = self.agreement.differs(&to);
        if differs && self.pacing.allows(now, RepairPriority::Comparison) && self.repair.try_send_digests(now)
        {
            let view =
                LocalView { local_peer: self.engine.identity(), members: &self.members, nodes: self.nodes() };
            messages.push(self.repair.digests(view));
        }
        let priority =
            if messages.is_empty() { RepairPriority::Optional } else { RepairPriority::Comparison };
        self.send_repair(now, to, priority, messages, out);
    }

    pub(super) fn apply_repair_outcome(
        &mut self,
        now: Micros,
        from: SocketAddr,
        outcome: RepairOutcome,
        out: &mut Vec<Output>,
    ) {
        for messages in outcome.responses {
            self.send_repair(now, from, RepairPriority::Response, messages, out);
        }
        for messages in outcome.lists {
            self.send_repair(now, from, RepairPriority::Listing, messages, out);
        }
        let round_trip = self.round_trips.max_timeout();
        let mut updates = Vec::new();
        let mut unverified = Vec::new();
        for (peer, left) in outcome.departed {
            if left {
                self.leave_messages
                    .insert(LeaveMessage { address: peer.address, generation: peer.generation });
            }
            let own = peer.address == self.local_peer().address;
            let held = self.members.get(&peer.address);
            let suspected = held.is_some_and(|held| held.status == PeerStatus::Suspected);
            match self.departure_reports.report(now, &peer, suspected, round_trip) {
                _ if left || own => updates.push(MemberUpdate::down(peer)),
                DepartureVerdict::Accept => updates.push(MemberUpdate::down(peer)),
                DepartureVerdict::Verify => unverified.push(peer),
                DepartureVerdict::Wait => {}
            }
        }
        self.verify_departures(now, unverified, out);
        let peers: Vec<_> = outcome.alive.iter().map(|record| record.peer.clone()).collect();
        let alive = |record: Record| MemberUpdate::new(record.peer, record.incarnation, State::Alive);
        updates.extend(outcome.alive.into_iter().map(alive));
        if updates.is_empty() {
            return;
        }
        // Other peers pull these updates through repair too, so they are not gossiped.
        self.apply_updates(now, updates, false, out);
        for peer in peers {
            let accepted =
                self.members.get(&peer.address).is_some_and(|held| held.is_counted() && held.peer == peer);
            if !accepted {
                self.repair.mark_rejected(now, &peer);
            }
        }
    }

    /// Sends repair messages if the byte budget allows it.
    pub(super) fn send_repair(
        &mut self,
        now: Micros,
        to: SocketAddr,
        priority: RepairPriority,
        messages: Vec<RepairMessage>,
        out: &mut Vec<Output>,
    ) {
        let extensions = messages.into_iter().map(Extension::Repair).collect();
        let Some(data) = self.extension_only_datagram(&to, extensions) else { return };
        if self.pacing.try_take(now, priority, data.len()) {
            self.traffic.add(TrafficKind::Repair, data.len());
            out.push(Output::Send { to, data });
        }
    }

    /// Asks some peers that reported a differing view to compare. The response carries the present digest, and the digests
    /// of the buckets if the views still differ.
    pub(super) fn compare_views(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut candidates = self.agreement.due_for_comparison(now);
        candidates.sort_unstable();
        self.random.shuffle(&mut candidates);
        let max_comparisons =
            if self.change_rate.is_burst(now) { MAX_COMPARISONS_IN_BURST } else { MAX_COMPARISONS };
        for address in candidates.into_iter().take(max_comparisons) {
            self.agreement.mark_asked(now, &address);
            match self.members.get(&address).map(|held| held.schema) {
                Some(schema) if schema >= EXTENSIONS_MIN_SCHEMA => {
                    self.send_repair(
                        now,
                        address,
                        RepairPriority::Comparison,
                        vec![RepairMessage::RequestDigests],
                        out,
                    );
                }
                Some(1) => self.request_member_list(now, address, out),
                // The envelope version of the peer is not known yet.
                _ => {}
            }
        }
    }

    /// Requests a member list from a schema 1 peer, which does not support repair.
    pub(super) fn request_member_list(&mut self, now: Micros, address: SocketAddr, out: &mut Vec<Output>) {
        let Some(held) = self.members.get(&address) else { return };
        let mut effects = EngineEffects::default();
        // It only fails for a message that is too long, which cannot occur.
        let _ = self.engine.announce(held.peer.clone(), &mut effects);
        self.send(now, effects.messages, out);
    }
}
