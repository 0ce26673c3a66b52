//! The periodic review of suspicions, leave messages, agreement and the effective node count.

use foca::State;

use super::agreement::MemberCounts;
use super::engine::EngineMessage;
use super::members::Member;
use super::traffic::TrafficKind;
use super::{suspicion, Membership, PeerStatus};
use crate::peers::identity::Peer;
use crate::peers::{Micros, Output};

/// Maximum number of peers probed per message that reports departures.
const MAX_VERIFIED_AT_ONCE: usize = 3;

impl Membership {
    /// Runs the periodic review, and starts comparisons with peers whose view differs.
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

    /// Updates the agreement and the effective node count, and reports changes of them.
    pub(super) fn evaluate_agreement(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        let counts = self.members.counts();
        let members = MemberCounts { nodes: self.nodes(), suspected: counts.suspected, lost: counts.lost };
        out.extend(self.agreement.review(now, &members).map(Output::AgreementChanged));
        // The count may decrease once the remaining nodes agree, whatever happened to the others; its own rules bound the
        // effect.
        if self.node_count.observe(now, members.nodes, self.agreement.is_agreed()) {
            out.push(Output::EffectiveNodes(self.node_count.get()));
        }
    }

    /// Copies from the engine which members are suspected.
    pub(super) fn sync_suspicions(&mut self, now: Micros, out: &mut Vec<Output>) {
        if !std::mem::take(&mut self.suspicions_changed) {
            return;
        }
        let mut changed = Vec::new();
        for member in self.engine.iter_members() {
            let status = self.members.get(&member.id().address).map(|held| held.status);
            match (member.state(), status) {
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
        for (peer, status) in changed {
            self.set_status(now, peer, status, out);
        }
        if any {
            self.adapt_engine();
        }
    }

    /// Probes some of the peers that others report as departed. Other nodes probe others, and gossip spreads the answers.
    pub(super) fn verify_departures(&mut self, now: Micros, mut peers: Vec<Peer>, out: &mut Vec<Output>) {
        self.random.shuffle(&mut peers);
        peers.truncate(MAX_VERIFIED_AT_ONCE);
        peers.iter().for_each(|peer| self.departure_reports.mark_probed(now, peer));
        let local_peer = self.engine.identity();
        let notices = peers.iter();
        let notices =
            notices.filter_map(|peer| suspicion::departure_notice(local_peer, self.incarnation, peer));
        let messages =
            notices.map(|notice| EngineMessage::new(notice.to, TrafficKind::Probe, notice.payload));
        let messages = messages.collect();
        self.send(now, messages, out);
    }

    /// Notifies the peers that this node suspects, so that they can refute the suspicion.
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

    /// Marks lost peers as left if their leave message arrived after the report of their departure.
    pub(super) fn sync_leave_messages(&mut self, now: Micros, out: &mut Vec<Output>) {
        let received = self.leave_messages.received();
        if received == std::mem::replace(&mut self.leave_messages_seen, received) {
            return;
        }
        let sent_leave_message =
            |held: &&Member| held.status == PeerStatus::Lost && self.leave_messages.contains(&held.peer);
        let left: Vec<_> =
            self.members.iter().filter(sent_leave_message).map(|held| held.peer.clone()).collect();
        for peer in left {
            self.set_status(now, peer, PeerStatus::Left, out);
        }
    }
}
