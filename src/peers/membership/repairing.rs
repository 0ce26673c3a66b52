//! Views that differ are compared, and what is missing is told: the repair at work on the members.

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

/// Peers whose view differed when they were last heard are asked to compare; so many at once. While much changes, each
/// comparison brings much, and others at the same time would bring the same.
const COMPARE_WIDTH: usize = 8;
const COMPARE_WIDTH_IN_BURST: usize = 2;

impl Membership {
    pub(super) fn receive_repair(
        &mut self,
        now: Micros,
        from: SocketAddr,
        message: RepairMessage,
        out: &mut Vec<Output>,
    ) {
        if message == RepairMessage::RequestDigests {
            return self.answer_comparison(now, from, out);
        }
        let view =
            LocalView { local_peer: self.engine.identity(), members: &self.members, nodes: self.nodes() };
        let outcome = self.repair.receive(now, view, message);
        self.carry_out_repair(now, from, outcome, out);
    }

    /// Tells the present digest, and those of parts where the peer's view differed when it asked.
    pub(super) fn answer_comparison(&mut self, now: Micros, to: SocketAddr, out: &mut Vec<Output>) {
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

    pub(super) fn carry_out_repair(
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
        let mut asked = Vec::new();
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
                DepartureVerdict::Verify => asked.push(peer),
                DepartureVerdict::Wait => {}
            }
        }
        self.verify_departures(now, asked, out);
        let peers: Vec<_> = outcome.alive.iter().map(|record| record.peer.clone()).collect();
        let alive = |record: Record| MemberUpdate::new(record.peer, record.incarnation, State::Alive);
        updates.extend(outcome.alive.into_iter().map(alive));
        if updates.is_empty() {
            return;
        }
        // Others pull it as well: it is not passed on.
        self.apply_updates(now, updates, false, out);
        for peer in peers {
            let taken =
                self.members.get(&peer.address).is_some_and(|held| held.is_counted() && held.peer == peer);
            if !taken {
                self.repair.mark_rejected(now, &peer);
            }
        }
    }

    /// Sends messages of the repair, where the budget has room for them.
    pub(super) fn send_repair(
        &mut self,
        now: Micros,
        to: SocketAddr,
        priority: RepairPriority,
        messages: Vec<RepairMessage>,
        out: &mut Vec<Output>,
    ) {
        let extensions = messages.into_iter().map(Extension::Repair).collect();
        let Some(data) = self.repair_datagram(&to, extensions) else { return };
        if self.pacing.try_take(now, priority, data.len()) {
            self.traffic.add(TrafficKind::Repair, data.len());
            out.push(Output::Send { to, data });
        }
    }

    /// Asks some of those whose view differed to compare: the answer tells a present digest, and where views differ.
    pub(super) fn compare_views(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut among = self.agreement.due_for_comparison(now);
        among.sort_unstable();
        self.random.shuffle(&mut among);
        let width = if self.change_rate.is_burst(now) { COMPARE_WIDTH_IN_BURST } else { COMPARE_WIDTH };
        for address in among.into_iter().take(width) {
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
                Some(1) => self.ask_for_list(now, address, out),
                // One that was not heard yet will be.
                _ => {}
            }
        }
    }

    /// A peer of the first schema is asked for a list of members.
    pub(super) fn ask_for_list(&mut self, now: Micros, address: SocketAddr, out: &mut Vec<Output>) {
        let Some(held) = self.members.get(&address) else { return };
        let mut effects = EngineEffects::default();
        // Errors would be of its size alone.
        let _ = self.engine.announce(held.peer.clone(), &mut effects);
        self.send(now, effects.messages, out);
    }
}
