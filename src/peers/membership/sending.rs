//! Sending of datagrams: the engine's messages, within the byte budget, and extensions.

use std::net::SocketAddr;

use super::engine::EngineMessage;
use super::traffic::TrafficKind;
use super::{inbound, Membership};
use crate::peers::envelope::{
    encode_extensions, Envelope, Extension, IdentityKey, EXTENSIONS_MIN_SCHEMA, SCHEMA,
};
use crate::peers::{Micros, Output};

impl Membership {
    /// Whether a peer supports extensions.
    pub fn reads_extensions(&self, address: &SocketAddr) -> bool {
        self.members.get(address).is_some_and(|held| held.schema >= EXTENSIONS_MIN_SCHEMA)
    }

    /// A datagram with one extension, for a peer that is known to support it.
    pub fn extension_datagram(&self, extension: Extension) -> Option<Vec<u8>> {
        self.datagram(&[], &[Extension::Sender(IdentityKey::from(self.local_peer())), extension])
    }

    /// A datagram of extensions without a message of the engine; `None` if the peer does not support extensions.
    pub(super) fn extension_only_datagram(
        &self,
        to: &SocketAddr,
        extensions: Vec<Extension>,
    ) -> Option<Vec<u8>> {
        if !self.reads_extensions(to) {
            return None;
        }
        let sender = [Extension::Sender(IdentityKey::from(self.local_peer()))];
        let all: Vec<_> = sender.into_iter().chain(extensions).collect();
        self.datagram(&[], &all)
    }

    pub(super) fn send(&mut self, now: Micros, messages: Vec<EngineMessage>, out: &mut Vec<Output>) {
        for EngineMessage { to, kind, probe, mut payload, .. } in messages {
            let max_updates = match kind {
                TrafficKind::Feed => {
                    let repairs = self.reads_extensions(&to);
                    let Some(members) = self.pacing.members_in_feed(now, repairs, payload.len()) else {
                        continue;
                    };
                    members
                }
                TrafficKind::Probe | TrafficKind::Gossip => {
                    self.pacing.updates_per_message(now).min(self.gossip_plan.updates_per_message)
                }
                _ => usize::MAX,
            };
            payload = inbound::truncate_updates(&payload, max_updates);
            if let Some(data) = self.datagram(&payload, &[]) {
                self.pacing.charge(now, data.len());
                self.traffic.add(kind, data.len());
                if let Some(number) = probe {
                    self.round_trips.sent(now, to, number);
                }
                out.push(Output::Send { to, data });
            }
        }
    }

    /// Encodes a datagram; `None` if it is too long.
    pub(super) fn datagram(&self, payload: &[u8], extensions: &[Extension]) -> Option<Vec<u8>> {
        let extension_bytes = encode_extensions(extensions);
        let envelope = Envelope {
            schema: SCHEMA,
            cluster: &self.config.cluster,
            digest: self.agreement.digest(),
            nodes: self.nodes(),
            payload,
            extension_bytes: &extension_bytes,
        };
        envelope.encode()
    }
}
