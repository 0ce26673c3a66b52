//! Who a peer is, as membership tells peers apart.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// By how much a renewed identity goes before all that its process may have been known as: more than wall clocks are
/// ever apart, so that a process whose clock went back still takes the place of its older self.
const RENEWED: u64 = 3_600_000_000;

/// Where a process runs, from the widest to the narrowest. An empty text: not told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Location {
    /// Sites that are near to each other by the standards of a continent.
    pub region: String,
    /// What fails together within a region.
    pub zone: String,
    /// What fails together within a zone.
    pub site: String,
}

/// What [`Peer::more`] begins with where it holds a location.
const LOCATION: u8 = 1;

impl Location {
    /// As [`Peer::more`] carries it: nothing where nothing is told, as each datagram names two peers.
    pub fn encode(&self) -> Vec<u8> {
        if *self == Self::default() {
            return Vec::new();
        }
        // Texts of bounded length always have an encoding.
        postcard::to_stdvec(&(LOCATION, self)).unwrap_or_default()
    }
}

/// One life of one process. Of two at one address the one with the greater `order` stands; of two that claim one name
/// as well, at different addresses.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Where others reach it.
    pub address: SocketAddr,
    /// Microseconds of Unix time at its start, raised by an hour each time it was declared gone and came back. Compared
    /// with other lives of one name or address alone, never with a clock.
    #[serde(rename = "order")]
    pub generation: u64,
    /// A random part: no two lives share it.
    pub salt: u32,
    /// Looks on only: counted by nobody.
    pub observer: bool,
    /// Its name.
    pub name: String,
    /// Its [`Location`], and what later versions add; carried as it is.
    #[serde(rename = "more")]
    pub metadata: Vec<u8>,
}

impl Peer {
    /// Whether this life goes before that one.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.generation, self.salt) > (other.generation, other.salt)
    }

    /// Whether the same process had this identity before it took the other one.
    pub fn is_earlier_identity_of(&self, other: &Self) -> bool {
        self.generation < other.generation && Self { generation: other.generation, ..self.clone() } == *other
    }

    /// Where it runs, as far as it told.
    pub fn location(&self) -> Location {
        match postcard::take_from_bytes::<(u8, Location)>(&self.metadata) {
            Ok(((LOCATION, location), _)) => location,
            _ => Location::default(),
        }
    }
}

impl foca::Identity for Peer {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Self { generation: self.generation.saturating_add(RENEWED), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.supersedes(adversary)
    }
}

#[cfg(test)]
mod tests;
