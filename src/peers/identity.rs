//! Who a peer is, as membership tells peers apart.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// By how much a renewed identity goes before all that its process may have been known as: more than wall clocks are
/// ever apart, so that a process whose clock went back still takes the place of its older self.
const RENEWED: u64 = 3_600_000_000;

/// One life of one process. Of two at one address the one with the greater `order` stands; of two that claim one name
/// as well, at different addresses.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Where others reach it.
    pub address: SocketAddr,
    /// Microseconds of Unix time at its start, raised by an hour each time it was declared gone and came back. Compared
    /// with other lives of one name or address alone, never with a clock.
    pub order: u64,
    /// A random part: no two lives share it.
    pub salt: u32,
    /// Looks on only: counted by nobody.
    pub observer: bool,
    /// Its name.
    pub name: String,
    /// What later versions add; carried as it is.
    pub more: Vec<u8>,
}

impl Peer {
    /// Whether this life goes before that one.
    pub fn before(&self, other: &Self) -> bool {
        (self.order, self.salt) > (other.order, other.salt)
    }
}

impl foca::Identity for Peer {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Self { order: self.order.saturating_add(RENEWED), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.before(adversary)
    }
}
