//! Connects dissemination to membership: membership supplies its members, and both send within one byte budget.

use super::dissemination::overlay::mix;
use super::dissemination::{hash_name, Dissemination, DisseminationConfig, DisseminationOutput, Member};
use super::identity::Peer;
use super::membership::PeerStatus;
use super::{ByteBudget, Micros, Output};
use std::net::SocketAddr;

/// Dissemination and the budget that it shares with membership.
pub(super) struct BudgetedDissemination {
    pub core: Dissemination,
    pub budget: ByteBudget,
}

impl BudgetedDissemination {
    /// `None` for an observer, which takes no part in dissemination.
    pub fn new(
        config: &DisseminationConfig,
        cluster: &str,
        local_peer: &Peer,
        seed: u64,
        now: Micros,
    ) -> Option<Self> {
        if local_peer.observer {
            return None;
        }
        let config = DisseminationConfig { cluster: cluster.to_owned(), ..config.clone() };
        let bytes = config.control_bytes_per_second;
        // Rate and depth add up to the budget, so that no second exceeds it. During failures membership uses half of it for
        // seconds at a time; the larger the share of the rate, the less log entries are delayed then.
        let budget = ByteBudget::new(bytes / 8 * 7, bytes / 8, now);
        Some(Self { core: Dissemination::new(config, member(local_peer), seed, now), budget })
    }

    /// Applies the outputs of membership: changes of members, and the bytes that it sent.
    pub fn apply_membership(
        &mut self,
        now: Micros,
        local_peer: &Peer,
        replaced: Vec<Peer>,
        outputs: &[Output],
    ) {
        replaced.iter().for_each(|peer| self.member_present(peer));
        for output in outputs {
            match output {
                Output::Send { data, .. } => self.budget.charge(now, data.len()),
                Output::StatusChanged { peer, status } => match status {
                    PeerStatus::Present => self.member_present(peer),
                    PeerStatus::Suspected if !peer.observer => self.core.member_suspected(member(peer)),
                    PeerStatus::Suspected => {}
                    PeerStatus::Left | PeerStatus::Lost => self.core.member_removed(&member(peer)),
                },
                Output::Rejoined => self.core.rejoined(member(local_peer)),
                _ => {}
            }
        }
    }

    fn member_present(&mut self, peer: &Peer) {
        if !peer.observer {
            self.core.member_present(member(peer));
        }
    }
}

/// Splits the outputs of dissemination: returns the messages to be sent, and adds the others to `out`.
pub(super) fn split_sends(
    outputs: Vec<DisseminationOutput>,
    out: &mut Vec<Output>,
) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut sends = Vec::new();
    for output in outputs {
        match output {
            DisseminationOutput::Send { to, data } => sends.push((to, data)),
            other => out.push(Output::Dissemination(other)),
        }
    }
    sends
}

/// The dissemination member that corresponds to a peer.
pub(super) fn member(peer: &Peer) -> Member {
    let location = peer.location();
    let id = mix(peer.generation ^ mix(u64::from(peer.salt) ^ hash_name(&peer.name)));
    Member::new(id, &peer.name, peer.address, &location.region, &location.zone, &location.site)
}

#[cfg(test)]
mod tests;
