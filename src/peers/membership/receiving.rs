//! Handling of received datagrams: new member updates and messages go to the engine, extensions to repair.

use foca::State;

use super::admission::DropReason;
use super::engine::EngineEffects;
use super::inbound::{self, InboundMessage, MemberUpdate};
use super::members::{Member, ReportedState};
use super::{Membership, MAX_PEERS};
use crate::peers::envelope::{Envelope, Extension, EXTENSIONS_MIN_SCHEMA};
use crate::peers::{Micros, Output};

impl Membership {
    /// Handles a received datagram of this cluster.
    pub fn receive(
        &mut self,
        now: Micros,
        envelope: &Envelope,
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        if envelope.schema >= EXTENSIONS_MIN_SCHEMA && envelope.payload.is_empty() {
            return self.receive_extensions(now, envelope, out);
        }
        // The sender is taken from the message: the source address of the datagram differs behind a proxy or a NAT.
        let message = InboundMessage::decode(envelope.payload).ok_or(DropReason::Malformed)?;
        let sender = message.header.src.address;
        let known = self.members.get(&sender).is_some();
        if self.members.len() >= MAX_PEERS && !known {
            return Err(DropReason::TooManyPeers);
        }
        self.follow_change_rate(now);
        let schema = envelope.schema;
        let handled = self.hand_to_engine(now, message, schema, out);
        if self.members.get(&sender).is_some_and(|held| !held.peer.observer) {
            self.agreement.report(now, sender, envelope.digest);
        }
        handled
    }

    /// Gives the engine the member updates that may be new to it, and then the message itself.
    pub(super) fn hand_to_engine(
        &mut self,
        now: Micros,
        mut message: InboundMessage,
        schema: u16,
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        let source = &message.header.src;
        let is_departed = |held: &Member| held.status.is_departed() && !source.supersedes(&held.peer);
        let sender_has_departed = self.members.get(&source.address).is_some_and(is_departed);
        // The engine ignores updates from a departed sender, and in a message to another identity of this process.
        let accepted = message.header.dst == *self.local_peer() && !sender_has_departed;
        if accepted {
            let report = ReportedState { incarnation: message.header.src_incarnation, suspected: false };
            self.suspicions_changed |= self.members.record_report(source, report);
        }
        // A member list is new only to its receiver, so its updates are not gossiped.
        let gossip = message.header.message != foca::Message::Feed;
        let own = self.local_peer().address;
        let updates = if accepted { std::mem::take(&mut message.updates) } else { Vec::new() };
        let (about_self, about_others): (Vec<_>, Vec<_>) =
            updates.into_iter().partition(|update| update.id().address == own);
        // Updates about this node are applied first, so that the answer to the message refutes a suspicion.
        self.apply_updates(now, about_self, gossip, out);
        // A process that was declared down has a new identity. A prober of its earlier identity must get an answer, which
        // carries the new one; otherwise it would suspect a living process.
        if message.is_probe() && message.header.dst.is_earlier_identity_of(self.local_peer()) {
            message.readdress(self.local_peer().clone());
        }
        if let foca::Message::Ack(number) = message.header.message {
            let source = &message.header.src;
            self.round_trips.acknowledged(now, source.address, number, &source.location().region);
        }
        let payload = message.without_updates();
        let mut effects = EngineEffects::default();
        let handled = self.engine.handle_data(&payload, &mut effects);
        let responses = std::mem::take(&mut effects.messages);
        self.apply(now, effects, out);
        // How responses are sent depends on the envelope version of the sender.
        self.members.set_schema(&message.header.src.address, schema);
        self.send(now, responses, out);
        // Other updates come last: leave messages in this message are known by now, so their peers count as left.
        self.apply_updates(now, about_others, gossip, out);
        handled.map_err(|_| DropReason::Malformed)
    }

    /// Gives the engine updates that may be new to it. They are gossiped only while the gossip queue has room; beyond that,
    /// spreading them is left to repair.
    pub(super) fn apply_updates(
        &mut self,
        now: Micros,
        updates: Vec<MemberUpdate>,
        gossip: bool,
        out: &mut Vec<Output>,
    ) {
        let mut effects = EngineEffects::default();
        for update in updates {
            let known = self.members.get(&update.id().address).is_some();
            let room = known || self.members.len() < MAX_PEERS;
            if room && inbound::is_new_update(&mut self.members, &update) {
                self.suspicions_changed |= update.state() != State::Down;
                let gossip = gossip && self.engine.updates_backlog() < self.gossip_plan.max_backlog;
                // It only fails for an update that is too long, which cannot occur.
                let _ = self.engine.apply_many([update].into_iter(), gossip, &mut effects);
            }
        }
        self.apply(now, effects, out);
    }

    /// Handles a datagram that carries only extensions. It counts if its sender is present.
    pub(super) fn receive_extensions(
        &mut self,
        now: Micros,
        envelope: &Envelope,
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        let mut extensions = envelope.extensions().into_iter();
        let Some(Extension::Sender(sender)) = extensions.next() else { return Err(DropReason::Malformed) };
        if !self.is_present(&sender) {
            return Ok(());
        }
        self.agreement.report(now, sender.address, envelope.digest);
        self.members.set_schema(&sender.address, envelope.schema);
        for extension in extensions {
            if let Extension::Repair(message) = extension {
                self.receive_repair(now, sender.address, message, out);
            }
        }
        Ok(())
    }
}
