//! Leave messages, by which a peer announces that it leaves. They are sent as custom broadcasts of the engine.

use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;

use crate::peers::identity::Peer;

/// Maximum number of leave messages that are remembered.
const MAX_REMEMBERED: usize = 1_024;

/// Announces that the peer with this address and generation leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaveMessage {
    pub address: SocketAddr,
    pub generation: u64,
}

impl Invalidates for LeaveMessage {
    fn invalidates(&self, other: &Self) -> bool {
        self.address == other.address && self.generation >= other.generation
    }
}

#[derive(Debug, Error)]
#[error("malformed leave message: {0}")]
pub(super) struct MalformedLeaveMessage(#[from] postcard::Error);

/// The latest leave messages. The engine adds received ones through its copy, and membership looks them up.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaveMessages(Rc<RefCell<Remembered>>);

#[derive(Debug, Default)]
struct Remembered {
    latest: VecDeque<LeaveMessage>,
    received: u64,
}

impl LeaveMessages {
    /// Whether this peer, or a later identity at its address, sent a leave message.
    pub fn contains(&self, peer: &Peer) -> bool {
        self.0
            .borrow()
            .latest
            .iter()
            .any(|message| message.address == peer.address && message.generation >= peer.generation)
    }

    /// The number of distinct leave messages received so far; it changes whenever one is added.
    pub fn received(&self) -> u64 {
        self.0.borrow().received
    }

    /// Remembers a leave message; returns whether it was new.
    pub fn insert(&self, message: LeaveMessage) -> bool {
        let mut known = self.0.borrow_mut();
        if known.latest.contains(&message) {
            return false;
        }
        if known.latest.len() >= MAX_REMEMBERED {
            known.latest.pop_front();
        }
        known.latest.push_back(message);
        known.received += 1;
        true
    }
}

impl BroadcastHandler<Peer> for LeaveMessages {
    type Key = LeaveMessage;
    type Error = MalformedLeaveMessage;

    fn receive_item(
        &mut self,
        data: &[u8],
        _: Option<&Peer>,
    ) -> Result<Option<LeaveMessage>, MalformedLeaveMessage> {
        // Bytes after the message belong to a later version and are ignored.
        let (message, _) = postcard::take_from_bytes::<LeaveMessage>(data)?;
        Ok(self.insert(message).then_some(message))
    }
}
