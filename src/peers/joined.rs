//! Dissemination among the peers that membership sees: its members, its datagrams in the common envelope, and one budget
//! for the bytes of both.

use super::dissemination::overlay::mix;
use super::dissemination::{hash_name, Dissemination, DisseminationConfig, DisseminationOutput, Member};
use super::identity::Peer;
use super::membership::PeerStatus;
use super::{ByteBudget, Micros, Output};
use std::net::SocketAddr;

/// Dissemination and the budget that it shares with membership.
pub(super) struct Joined {
    pub core: Dissemination,
    pub budget: ByteBudget,
}

impl Joined {
    /// Of this node. An observer takes no part.
    pub fn new(
        config: &DisseminationConfig,
        cluster: &str,
        me: &Peer,
        seed: u64,
        now: Micros,
    ) -> Option<Self> {
        if me.observer {
            return None;
        }
        let config = DisseminationConfig { cluster: cluster.to_owned(), ..config.clone() };
        let bytes = config.control_bytes_per_second;
        // Rate and depth together are the budget, so that no second passes it. What membership sends in trouble comes to half
        // of it for seconds: the more of it is rate, the less entries wait then.
        let budget = ByteBudget::new(bytes / 8 * 7, bytes / 8, now);
        Some(Self { core: Dissemination::new(config, member(me), seed, now), budget })
    }

    /// Takes over what membership told: who is present, and what it sent.
    pub fn follow(&mut self, now: Micros, me: &Peer, replaced: Vec<Peer>, told: &[Output]) {
        replaced.iter().for_each(|peer| self.present(peer));
        for output in told {
            match output {
                Output::Send { data, .. } => self.budget.charge(now, data.len()),
                Output::StatusChanged { peer, status: standing } => match standing {
                    PeerStatus::Present => self.present(peer),
                    PeerStatus::Suspected if !peer.observer => self.core.member_suspected(member(peer)),
                    PeerStatus::Suspected => {}
                    PeerStatus::Left | PeerStatus::Lost => self.core.member_removed(&member(peer)),
                },
                Output::Rejoined => self.core.rejoined(member(me)),
                _ => {}
            }
        }
    }

    fn present(&mut self, peer: &Peer) {
        if !peer.observer {
            self.core.member_present(member(peer));
        }
    }
}

/// What the core asks to be sent, and what it tells.
pub(super) fn split(told: Vec<DisseminationOutput>, out: &mut Vec<Output>) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut sends = Vec::new();
    for output in told {
        match output {
            DisseminationOutput::Send { to, data } => sends.push((to, data)),
            other => out.push(Output::Dissemination(other)),
        }
    }
    sends
}

/// A peer as dissemination knows it.
pub(super) fn member(peer: &Peer) -> Member {
    let location = peer.location();
    let id = mix(peer.generation ^ mix(u64::from(peer.salt) ^ hash_name(&peer.name)));
    Member::new(id, &peer.name, peer.address, &location.region, &location.zone, &location.site)
}

#[cfg(test)]
mod tests;
