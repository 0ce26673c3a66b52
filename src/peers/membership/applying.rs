//! Applies the effects of the engine: timers, changes of members, and messages.

use foca::Timer;

use super::engine::{EngineEffects, MemberChange};
use super::timers::TimerEvent;
use super::{digest, micros, name_conflict, Membership, PeerStatus};
use crate::peers::identity::Peer;
use crate::peers::{Micros, Output};

impl Membership {
    /// How much longer than configured an answer from this peer may take. The engine's probe timeouts cannot be changed while
    /// it runs, so its timers are delayed instead.
    fn probe_extension(&self, peer: &Peer) -> Micros {
        let min_timeout = micros(self.config.probe_timeout);
        self.round_trips.timeout(&peer.location().region, min_timeout) - min_timeout
    }

    /// A probe was not answered in time and indirect probes are sent: delays the next probe until their answers are due.
    fn delay_next_probe_for_relays(&mut self, now: Micros) {
        let min_timeout = micros(self.config.probe_interval.saturating_sub(self.config.probe_timeout));
        self.next_probe_at = now + self.round_trips.indirect_timeout(min_timeout);
    }

    /// Applies the effects that the engine requested.
    pub(super) fn apply(&mut self, now: Micros, effects: EngineEffects, out: &mut Vec<Output>) {
        let changed = effects.changes_members();
        self.incarnation = effects.incarnation.unwrap_or(self.incarnation);
        let extension = effects.probe_target().map_or(0, |peer| self.probe_extension(peer));
        if effects.requests_indirect_probe() {
            self.delay_next_probe_for_relays(now);
        }
        for (after, timer) in effects.timers {
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                self.suspicions_changed = true;
                self.suspect_notifier.add(member_id.clone(), *incarnation);
            }
            let extension = match timer {
                Timer::SendIndirectProbe { .. } | Timer::ProbeRandomMember(_) => extension,
                _ => 0,
            };
            self.timers.add(now + micros(after) + extension, TimerEvent::Engine(timer));
        }
        if effects.rejoined {
            let before = std::mem::replace(&mut self.local_peer, self.engine.identity().clone());
            self.members.set_local(Some(&before), &self.local_peer);
            out.push(Output::Rejoined);
        }
        self.change_rate.add(now, effects.changes.len());
        let mut arrived = Vec::new();
        for change in effects.changes {
            match change {
                MemberChange::Replaced(peer) => {
                    self.members.replace_identity(&peer);
                    self.replaced.push(peer.clone());
                    arrived.push(peer);
                }
                MemberChange::Down(peer) => {
                    let status = match self.leave_messages.contains(&peer) {
                        true => PeerStatus::Left,
                        false => PeerStatus::Lost,
                    };
                    self.set_status(now, peer, status, out);
                }
                MemberChange::Up(peer) => {
                    self.set_status(now, peer.clone(), PeerStatus::Present, out);
                    arrived.push(peer);
                }
            }
        }
        if changed {
            self.update_view(now);
            self.adapt_engine();
            self.resolve_name_conflict(now, &arrived, out);
        }
        self.send(now, effects.messages, out);
        if changed {
            self.suspicions_changed = true;
            self.evaluate_agreement(now, out);
        }
    }

    /// Adapts the settings of the engine to the number of peers and of suspects.
    pub(super) fn adapt_engine(&mut self) {
        let suspects = self.members.counts().suspected;
        let settings = self.config.engine_config(self.engine.num_members() + 1, suspects, self.gossip_plan);
        // Only durations and counts differ, which the engine allows to change at any time.
        let _ = self.engine.set_config(settings);
    }

    pub(super) fn set_status(&mut self, now: Micros, peer: Peer, status: PeerStatus, out: &mut Vec<Output>) {
        if status.is_departed() {
            self.agreement.forget(&peer.address);
        }
        if self.members.set_status(now, &peer, status) {
            out.push(Output::StatusChanged { peer, status });
        }
    }

    pub(super) fn resolve_name_conflict(&mut self, now: Micros, arrived: &[Peer], out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        let Some(conflict) = name_conflict::find_conflict(&self.local_peer, arrived.iter()) else { return };
        let yields = conflict.yields;
        out.push(Output::NameConflict { other: conflict.other, yields });
        if yields {
            self.leave(now, out);
        }
    }

    pub(super) fn update_view(&mut self, now: Micros) {
        let digest = self.members.digest().whole();
        debug_assert_eq!(digest, self.recomputed_digest(), "the digest is updated with each change");
        self.agreement.set_local_view(now, digest, self.nodes());
    }

    /// The digest of the engine's members, computed from scratch.
    pub(super) fn recomputed_digest(&self) -> u64 {
        let nodes = self.engine.iter_members().map(foca::Member::id).chain([self.engine.identity()]);
        let counted = nodes.filter(|peer| !peer.observer);
        counted.fold(0, |sum, peer| sum.wrapping_add(digest::identity_hash(peer)))
    }
}
