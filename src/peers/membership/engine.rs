//! The effects that the engine requests during one call.

use foca::{Foca, Notification, PostcardCodec, Runtime, Timer};
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::time::Duration;

use super::leave_messages::LeaveMessages;
use super::traffic::TrafficKind;
use crate::peers::identity::Peer;

/// The SWIM engine.
pub(super) type Engine = Foca<Peer, PostcardCodec, SmallRng, LeaveMessages>;

/// A message of the engine to a peer.
pub(super) struct EngineMessage {
    pub to: SocketAddr,
    pub kind: TrafficKind,
    /// The number of a direct probe, which its receiver answers itself.
    pub probe: Option<foca::ProbeNumber>,
    /// It asks its receiver to probe another peer.
    pub is_indirect_request: bool,
    pub payload: Vec<u8>,
}

impl EngineMessage {
    /// A message that is not tracked as a probe.
    pub fn new(to: SocketAddr, kind: TrafficKind, payload: Vec<u8>) -> Self {
        Self { to, kind, probe: None, is_indirect_request: false, payload }
    }
}

/// A change of the members, as the engine reports it.
pub(super) enum MemberChange {
    Up(Peer),
    Down(Peer),
    /// This identity replaces another one with the same address.
    Replaced(Peer),
}

/// The requested effects, in order.
#[derive(Default)]
pub(super) struct EngineEffects {
    pub messages: Vec<EngineMessage>,
    pub timers: Vec<(Duration, Timer<Peer>)>,
    pub changes: Vec<MemberChange>,
    /// Others had declared this process down; it has a new identity now.
    pub rejoined: bool,
    /// The incarnation of this process, if a message carried it.
    pub incarnation: Option<foca::Incarnation>,
}

impl EngineEffects {
    /// Whether the members or the identity of this process changed.
    pub fn changes_members(&self) -> bool {
        !self.changes.is_empty() || self.rejoined
    }

    /// The peer that a new probe is sent to.
    pub fn probe_target(&self) -> Option<&Peer> {
        self.timers.iter().find_map(|(_, timer)| match timer {
            Timer::SendIndirectProbe { probed_id, .. } => Some(probed_id),
            _ => None,
        })
    }

    /// Whether indirect probes are requested.
    pub fn requests_indirect_probe(&self) -> bool {
        self.messages.iter().any(|message| message.is_indirect_request)
    }

    /// Whether a member went down.
    pub fn removes_members(&self) -> bool {
        self.changes.iter().any(|change| matches!(change, MemberChange::Down(_)))
    }
}

impl Runtime<Peer> for EngineEffects {
    fn notify(&mut self, notification: Notification<'_, Peer>) {
        match notification {
            Notification::MemberUp(peer) => self.changes.push(MemberChange::Up(peer.clone())),
            Notification::MemberDown(peer) => self.changes.push(MemberChange::Down(peer.clone())),
            Notification::Rename(_, after) => self.changes.push(MemberChange::Replaced(after.clone())),
            Notification::Rejoin(_) => self.rejoined = true,
            _ => {}
        }
    }

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        // Every message begins with a header that the engine encoded.
        let header = postcard::take_from_bytes::<foca::Header<Peer>>(data);
        let mut message = EngineMessage::new(to.address, TrafficKind::Probe, data.to_vec());
        if let Ok((header, _)) = header {
            self.incarnation = Some(header.src_incarnation);
            message.kind = TrafficKind::of(&header.message);
            message.probe = probe_number(&header.message);
            message.is_indirect_request = matches!(header.message, foca::Message::PingReq { .. });
        }
        self.messages.push(message);
    }

    fn submit_after(&mut self, event: Timer<Peer>, after: Duration) {
        self.timers.push((after, event));
    }
}

fn probe_number(message: &foca::Message<Peer>) -> Option<foca::ProbeNumber> {
    match message {
        foca::Message::Ping(number) => Some(*number),
        _ => None,
    }
}
