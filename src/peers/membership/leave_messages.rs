//! LeaveMessages: a peer's word that it leaves. They ride on the engine's messages.

use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;

use crate::peers::identity::Peer;

/// LeaveMessages that are remembered.
const MAX_REMEMBERED: usize = 1_024;

/// A peer's word that it leaves.
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
#[error("no farewell: {0}")]
pub(super) struct MalformedLeaveMessage(#[from] postcard::Error);

/// The latest leave_messages; the engine hands them over, and the membership looks them up.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaveMessages(Rc<RefCell<Remembered>>);

#[derive(Debug, Default)]
struct Remembered {
    latest: VecDeque<LeaveMessage>,
    received: u64,
}

impl LeaveMessages {
    /// Whether this life of a peer said farewell.
    pub fn contains(&self, peer: &Peer) -> bool {
        self.0
            .borrow()
            .latest
            .iter()
            .any(|said| said.address == peer.address && said.generation >= peer.generation)
    }

    /// How many there were: with another number, others are known.
    pub fn received(&self) -> u64 {
        self.0.borrow().received
    }

    /// Remembers one; whether it is news.
    pub fn insert(&self, farewell: LeaveMessage) -> bool {
        let mut known = self.0.borrow_mut();
        if known.latest.contains(&farewell) {
            return false;
        }
        if known.latest.len() >= MAX_REMEMBERED {
            known.latest.pop_front();
        }
        known.latest.push_back(farewell);
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
        // What stands behind it is a later version's.
        let (farewell, _) = postcard::take_from_bytes::<LeaveMessage>(data)?;
        Ok(self.insert(farewell).then_some(farewell))
    }
}
