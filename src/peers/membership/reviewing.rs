//! The regular review: suspicions, leave_messages, agreement, and what may be relied on.

use foca::State;

use super::agreement::MemberCounts;
use super::engine::EngineMessage;
use super::members::Member;
use super::traffic::TrafficKind;
use super::{suspicion, Membership, PeerStatus};
use crate::peers::identity::Peer;
use crate::peers::{Micros, Output};

/// Of the peers that one message says to be gone, so many are asked.
const MAX_VERIFIED_AT_ONCE: usize = 3;

impl Membership {
    /// Looks at how far views lie apart, repairs, and judges what may be relied on.
    pub(super) fn review(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        self.follow_change_rate(now);
        self.sync_suspicions(now, out);
        self.sync_leave_messages(now, out);
        self.notify_suspects(now, out);
        self.agreement.expire(now);
        self.repair.expire(now);
        self.departure_reports.expire(now);
        self.evaluate_agreement(now, out);
        self.compare_views(now, out);
    }

    /// Says how far views lie apart, and what may be relied on.
    pub(super) fn evaluate_agreement(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        let counts = self.members.counts();
        let members = MemberCounts { nodes: self.nodes(), suspected: counts.suspected, lost: counts.lost };
        out.extend(self.agreement.review(now, &members).map(Output::AgreementChanged));
        // Fewer may be believed once those that are left agree, whatever became of the others: the count's own rule keeps
        // what follows from it in bounds.
        if self.node_count.observe(now, members.nodes, self.agreement.is_agreed()) {
            out.push(Output::EffectiveNodes(self.node_count.get()));
        }
    }

    /// Takes over whom the engine suspects, and whom it cleared.
    pub(super) fn sync_suspicions(&mut self, now: Micros, out: &mut Vec<Output>) {
        if !std::mem::take(&mut self.suspicions_changed) {
            return;
        }
        let mut changed = Vec::new();
        for member in self.engine.iter_members() {
            let standing = self.members.get(&member.id().address).map(|held| held.status);
            match (member.state(), standing) {
                (State::Suspect, Some(PeerStatus::Present)) => {
                    changed.push((member.id().clone(), PeerStatus::Suspected));
                }
                (State::Alive, Some(PeerStatus::Suspected)) => {
                    changed.push((member.id().clone(), PeerStatus::Present));
                }
                _ => {}
            }
        }
        let any = !changed.is_empty();
        for (peer, standing) in changed {
            self.set_status(now, peer, standing, out);
        }
        if any {
            self.adapt_engine();
        }
    }

    /// Asks some of those that others take for gone. Other nodes ask others, and hear of their answers by gossip.
    pub(super) fn verify_departures(&mut self, now: Micros, mut peers: Vec<Peer>, out: &mut Vec<Output>) {
        self.random.shuffle(&mut peers);
        peers.truncate(MAX_VERIFIED_AT_ONCE);
        peers.iter().for_each(|peer| self.departure_reports.mark_probed(now, peer));
        let me = self.engine.identity();
        let notices = peers.iter();
        let notices = notices.filter_map(|peer| suspicion::departure_notice(me, self.incarnation, peer));
        let messages =
            notices.map(|notice| EngineMessage::new(notice.to, TrafficKind::Probe, notice.payload));
        let messages = messages.collect();
        self.send(now, messages, out);
    }

    /// Tells those whom this node suspects, so that they can clear themselves.
    pub(super) fn notify_suspects(&mut self, now: Micros, out: &mut Vec<Output>) {
        let members = &self.members;
        if members.counts().suspected > 0 {
            for held in members.iter().filter(|held| held.status == PeerStatus::Suspected) {
                self.suspect_notifier.add_reported(
                    now,
                    &held.peer,
                    held.reported.incarnation,
                    held.status_since,
                );
            }
        }
        self.suspect_notifier.retain(|peer| {
            let held = members.get(&peer.address).filter(|held| held.peer == *peer);
            held.is_some_and(|held| held.status == PeerStatus::Suspected)
        });
        let notices = self.suspect_notifier.notices(now, self.engine.identity(), self.incarnation);
        let messages = notices
            .into_iter()
            .map(|notice| EngineMessage::new(notice.to, TrafficKind::Probe, notice.payload));
        self.send(now, messages.collect(), out);
    }

    /// A farewell may come after the word that its peer is gone.
    pub(super) fn sync_leave_messages(&mut self, now: Micros, out: &mut Vec<Output>) {
        let received = self.leave_messages.received();
        if received == std::mem::replace(&mut self.leave_messages_seen, received) {
            return;
        }
        let said_farewell =
            |held: &&Member| held.status == PeerStatus::Lost && self.leave_messages.contains(&held.peer);
        let left: Vec<_> = self.members.iter().filter(said_farewell).map(|held| held.peer.clone()).collect();
        for peer in left {
            self.set_status(now, peer, PeerStatus::Left, out);
        }
    }
}
