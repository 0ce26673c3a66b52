//! What the engine asks for in one call, gathered; its notifications as typed changes.

use foca::{Foca, Notification, PostcardCodec, Runtime, Timer};
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::time::Duration;

use super::farewells::Farewells;
use super::traffic::TrafficKind;
use crate::peers::identity::Peer;

/// The SWIM engine.
pub(super) type Engine = Foca<Peer, PostcardCodec, SmallRng, Farewells>;

/// A message of the engine to a peer.
pub(super) struct EngineMessage {
    pub to: SocketAddr,
    pub kind: TrafficKind,
    pub payload: Vec<u8>,
}

/// A change in who is there, as the engine tells it.
pub(super) enum MemberChange {
    Up(Peer),
    Down(Peer),
    /// An address has this identity in place of another one.
    Replaced(Peer),
}

/// What the engine asks for, as it comes.
#[derive(Default)]
pub(super) struct EngineEffects {
    pub messages: Vec<EngineMessage>,
    pub timers: Vec<(Duration, Timer<Peer>)>,
    pub changes: Vec<MemberChange>,
    /// Others had declared this process gone: it has another identity now.
    pub rejoined: bool,
    /// The incarnation of this process, where a message told it.
    pub incarnation: Option<foca::Incarnation>,
}

impl EngineEffects {
    /// Whether anything changed in who is there.
    pub fn changes_members(&self) -> bool {
        !self.changes.is_empty() || self.rejoined
    }

    /// Whether a member went down.
    pub fn takes_away(&self) -> bool {
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
        // Every message begins with a header that the engine has just written.
        let header = postcard::take_from_bytes::<foca::Header<Peer>>(data);
        let kind = match header {
            Ok((header, _)) => {
                self.incarnation = Some(header.src_incarnation);
                TrafficKind::of(&header.message)
            }
            Err(_) => TrafficKind::Probe,
        };
        self.messages.push(EngineMessage { to: to.address, kind, payload: data.to_vec() });
    }

    fn submit_after(&mut self, event: Timer<Peer>, after: Duration) {
        self.timers.push((after, event));
    }
}
