//! Datagrams that come: what in them is news goes to the engine, the rest to the part that it is for.

use foca::State;

use super::admission::DropReason;
use super::engine::EngineEffects;
use super::inbound::{self, InboundMessage, MemberUpdate};
use super::members::{Member, ReportedState};
use super::{Membership, MAX_PEERS};
use crate::peers::envelope::{Envelope, Extension, EXTENSIONS_MIN_SCHEMA};
use crate::peers::{Micros, Output};

impl Membership {
    /// A datagram of this cluster has come.
    pub fn receive(
        &mut self,
        now: Micros,
        envelope: &Envelope,
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        if envelope.schema >= EXTENSIONS_MIN_SCHEMA && envelope.payload.is_empty() {
            return self.receive_extensions(now, envelope, out);
        }
        // Who sent it is in it: behind a relay or a mapping it comes from elsewhere.
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

    /// Gives the engine the words on members that may be news to it, and then the message itself.
    pub(super) fn hand_to_engine(
        &mut self,
        now: Micros,
        mut message: InboundMessage,
        schema: u16,
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        let source = &message.header.src;
        let is_departed = |held: &Member| held.status.is_departed() && !source.supersedes(&held.peer);
        let sender_is_gone = self.members.get(&source.address).is_some_and(is_departed);
        // The engine would not take them from one that it holds for gone, nor what was meant for another life.
        let accepted = message.header.dst == *self.local_peer() && !sender_is_gone;
        if accepted {
            let word = ReportedState { incarnation: message.header.src_incarnation, suspected: false };
            self.suspicions_changed |= self.members.record_report(source, word);
        }
        // A list of members is news to its reader alone.
        let pass_on = message.header.message != foca::Message::Feed;
        let own = self.local_peer().address;
        let updates = if accepted { std::mem::take(&mut message.updates) } else { Vec::new() };
        let (of_me, of_others): (Vec<_>, Vec<_>) =
            updates.into_iter().partition(|update| update.id().address == own);
        // A word on this node goes first: the answer to the message clears it.
        self.apply_updates(now, of_me, pass_on, out);
        // One that was taken for gone has another identity since: whoever asks for the earlier one hears that from the
        // answer. Without an answer it would suspect a living process.
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
        let answers = std::mem::take(&mut effects.messages);
        self.apply(now, effects, out);
        // What is answered depends on what its reader reads.
        self.members.set_schema(&message.header.src.address, schema);
        self.send(now, answers, out);
        // LeaveMessages rode on the message: those that they are of are known for having left.
        self.apply_updates(now, of_others, pass_on, out);
        handled.map_err(|_| DropReason::Malformed)
    }

    /// Gives the engine words that may be news. Those beyond what may wait to be passed on are left to repair.
    pub(super) fn apply_updates(
        &mut self,
        now: Micros,
        updates: Vec<MemberUpdate>,
        pass_on: bool,
        out: &mut Vec<Output>,
    ) {
        let mut effects = EngineEffects::default();
        for update in updates {
            let known = self.members.get(&update.id().address).is_some();
            let room = known || self.members.len() < MAX_PEERS;
            if room && inbound::is_new_update(&mut self.members, &update) {
                self.suspicions_changed |= update.state() != State::Down;
                let pass_on = pass_on && self.engine.updates_backlog() < self.gossip_plan.max_backlog;
                // Errors would be of its size alone.
                let _ = self.engine.apply_many([update].into_iter(), pass_on, &mut effects);
            }
        }
        self.apply(now, effects, out);
    }

    /// A datagram with extensions alone: it tells its sender's digest, where that one is present.
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
