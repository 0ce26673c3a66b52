//! Farewells: a peer's word that it leaves. They ride on the engine's messages.

use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;

use crate::peers::identity::Peer;

/// Farewells that are remembered.
const REMEMBERED: usize = 1_024;

/// A peer's word that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Farewell {
    pub address: SocketAddr,
    pub order: u64,
}

impl Invalidates for Farewell {
    fn invalidates(&self, other: &Self) -> bool {
        self.address == other.address && self.order >= other.order
    }
}

#[derive(Debug, Error)]
#[error("no farewell: {0}")]
pub(super) struct NoFarewell(#[from] postcard::Error);

/// The latest farewells; the engine hands them over, and the membership looks them up.
#[derive(Clone, Debug, Default)]
pub(super) struct Farewells(Rc<RefCell<Remembered>>);

#[derive(Debug, Default)]
struct Remembered {
    latest: VecDeque<Farewell>,
    received: u64,
}

impl Farewells {
    /// Whether this life of a peer said farewell.
    pub fn has(&self, peer: &Peer) -> bool {
        self.0
            .borrow()
            .latest
            .iter()
            .any(|said| said.address == peer.address && said.order >= peer.generation)
    }

    /// How many there were: with another number, others are known.
    pub fn received(&self) -> u64 {
        self.0.borrow().received
    }

    /// Remembers one; whether it is news.
    pub fn remember(&self, farewell: Farewell) -> bool {
        let mut known = self.0.borrow_mut();
        if known.latest.contains(&farewell) {
            return false;
        }
        if known.latest.len() >= REMEMBERED {
            known.latest.pop_front();
        }
        known.latest.push_back(farewell);
        known.received += 1;
        true
    }
}

impl BroadcastHandler<Peer> for Farewells {
    type Key = Farewell;
    type Error = NoFarewell;

    fn receive_item(&mut self, data: &[u8], _: Option<&Peer>) -> Result<Option<Farewell>, NoFarewell> {
        // What stands behind it is a later version's.
        let (farewell, _) = postcard::take_from_bytes::<Farewell>(data)?;
        Ok(self.remember(farewell).then_some(farewell))
    }
}
