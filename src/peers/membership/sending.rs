//! Datagrams that go: the engine's messages within the budget of bytes, and extensions.

use std::net::SocketAddr;

use super::engine::EngineMessage;
use super::traffic::TrafficKind;
use super::{inbound, Membership};
use crate::peers::envelope::{
    encode_extensions, Envelope, Extension, IdentityKey, EXTENSIONS_MIN_SCHEMA, SCHEMA,
};
use crate::peers::{Micros, Output};

impl Membership {
    /// Whether a peer reads extensions.
    pub fn reads_extensions(&self, address: &SocketAddr) -> bool {
        self.members.get(address).is_some_and(|held| held.schema >= EXTENSIONS_MIN_SCHEMA)
    }

    /// A datagram with one extension, for one that is known to read it.
    pub fn extension_datagram(&self, extension: Extension) -> Option<Vec<u8>> {
        self.datagram(&[], &[Extension::Sender(IdentityKey::from(self.local_peer())), extension])
    }

    /// A datagram of extensions without a message of the engine, for one that reads them.
    pub(super) fn repair_datagram(&self, to: &SocketAddr, extensions: Vec<Extension>) -> Option<Vec<u8>> {
        if !self.reads_extensions(to) {
            return None;
        }
        let sender = [Extension::Sender(IdentityKey::from(self.local_peer()))];
        let all: Vec<_> = sender.into_iter().chain(extensions).collect();
        self.datagram(&[], &all)
    }

    pub(super) fn send(&mut self, now: Micros, messages: Vec<EngineMessage>, out: &mut Vec<Output>) {
        for EngineMessage { to, kind, probe, mut payload, .. } in messages {
            let most = match kind {
                TrafficKind::Feed => {
                    let repairs = self.reads_extensions(&to);
                    let Some(most) = self.pacing.members_in_feed(now, repairs, payload.len()) else {
                        continue;
                    };
                    most
                }
                TrafficKind::Probe | TrafficKind::Gossip => {
                    self.pacing.updates_per_message(now).min(self.gossip_plan.updates_per_message)
                }
                _ => usize::MAX,
            };
            payload = inbound::truncate_updates(&payload, most);
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

    /// A datagram of these parts, where it is not too long.
    pub(super) fn datagram(&self, payload: &[u8], extensions: &[Extension]) -> Option<Vec<u8>> {
        let more = encode_extensions(extensions);
        let envelope = Envelope {
            schema: SCHEMA,
            cluster: &self.config.cluster,
            digest: self.agreement.digest(),
            nodes: self.nodes(),
            payload,
            extension_bytes: &more,
        };
        envelope.encode()
    }
}
