//! The identity of a peer, by which membership tells peers and their restarts apart.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How much a renewal raises the generation. It exceeds any difference between wall clocks, so that the renewed identity
/// supersedes all earlier ones of its process even if its clock was set back.
const RENEWAL_STEP_US: u64 = 3_600_000_000;

/// Where a process runs, from the widest scope to the narrowest. An empty string means that it is not configured.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Location {
    /// A geographic area whose sites are close to each other on the scale of a continent.
    pub region: String,
    /// A failure domain within the region.
    pub zone: String,
    /// A failure domain within the zone.
    pub site: String,
}

/// The first byte of [`Peer::metadata`] if it holds a location.
const LOCATION_TAG: u8 = 1;

impl Location {
    /// The encoding for [`Peer::metadata`]: empty if nothing is configured, to save bytes, as each datagram names two peers.
    pub fn encode(&self) -> Vec<u8> {
        if *self == Self::default() {
            return Vec::new();
        }
        // Encoding strings of bounded length cannot fail.
        postcard::to_stdvec(&(LOCATION_TAG, self)).unwrap_or_default()
    }
}

/// The identity of one process. A restarted process has a new identity, and so has one that was declared down and
/// rejoins. Of two identities with the same address, the one with the greater `generation` is valid; so it is with two
/// that claim the same name at different addresses.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The address at which peers reach it.
    pub address: SocketAddr,
    /// Unix time at its start in microseconds, raised by an hour each time it was declared down and rejoined. It is only
    /// compared with other identities of the same name or address, never with a clock.
    #[serde(rename = "order")]
    pub generation: u64,
    /// A random number that distinguishes processes with the same generation.
    pub salt: u32,
    /// It only watches the cluster; no node counts it.
    pub observer: bool,
    /// The name of the node.
    pub name: String,
    /// Its encoded [`Location`], and data that later versions may append; passed on unchanged.
    #[serde(rename = "more")]
    pub metadata: Vec<u8>,
}

impl Peer {
    /// Whether this identity takes precedence over the other one.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.generation, self.salt) > (other.generation, other.salt)
    }

    /// Whether this is an identity that the same process had before the other one.
    pub fn is_earlier_identity_of(&self, other: &Self) -> bool {
        self.generation < other.generation && Self { generation: other.generation, ..self.clone() } == *other
    }

    /// Where it runs; empty if it did not announce a location.
    pub fn location(&self) -> Location {
        match postcard::take_from_bytes::<(u8, Location)>(&self.metadata) {
            Ok(((LOCATION_TAG, location), _)) => location,
            _ => Location::default(),
        }
    }
}

impl foca::Identity for Peer {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Self { generation: self.generation.saturating_add(RENEWAL_STEP_US), ..self.clone() })
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
