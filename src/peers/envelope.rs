//! The frame of every datagram between peers. All protocols that share the membership socket send their messages in it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use super::identity::Peer;
use super::membership::repair::RepairMessage;

/// The version of the envelope. Version 2 introduced extensions and allowed an empty engine payload. Later versions may
/// add extensions; they never change the fields before them.
pub(super) const SCHEMA: u16 = 2;
/// The first version whose peers read extensions, and datagrams without an engine payload.
pub(super) const EXTENSIONS_MIN_SCHEMA: u16 = 2;
/// Maximum length of a datagram: what passes any IPv6 path without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_232;
/// The part of that which is reserved for the envelope itself.
pub(super) const OVERHEAD_BYTES: usize = 96;

/// The contents of every datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Envelope<'a> {
    pub schema: u16,
    pub cluster: &'a str,
    /// The digest of the sender's view.
    pub digest: u64,
    /// The number of nodes in the sender's view.
    pub nodes: u32,
    /// The engine's message; empty if the datagram carries only extensions.
    #[serde(borrow)]
    pub payload: &'a [u8],
    /// Encoded extensions, one after the other; see [`Self::extensions`].
    #[serde(borrow)]
    pub extension_bytes: &'a [u8],
}

impl<'a> Envelope<'a> {
    /// The bytes of the datagram; `None` if it is too long to be sent.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok().filter(|data| data.len() <= MAX_DATAGRAM_BYTES)
    }

    /// Reads a datagram. Bytes after the envelope belong to a later version and are ignored.
    pub fn decode(data: &'a [u8]) -> Option<Self> {
        postcard::take_from_bytes(data).ok().map(|(envelope, _)| envelope)
    }

    /// The extensions that this version knows. Unknown ones are skipped, and so is everything after a malformed one.
    pub fn extensions(&self) -> Vec<Extension> {
        if self.schema < EXTENSIONS_MIN_SCHEMA {
            return Vec::new();
        }
        let (mut rest, mut found) = (self.extension_bytes, Vec::new());
        while let Ok((frame, remaining)) = postcard::take_from_bytes::<Frame>(rest) {
            rest = remaining;
            found.extend(Extension::from_frame(&frame));
        }
        found
    }
}

/// The short form of a peer's identity. It names the sender of a datagram without an engine payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct IdentityKey {
    pub address: SocketAddr,
    pub generation: u64,
    pub salt: u32,
}

impl From<&Peer> for IdentityKey {
    fn from(peer: &Peer) -> Self {
        Self { address: peer.address, generation: peer.generation, salt: peer.salt }
    }
}

/// Data that a datagram may carry in addition to the engine's message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Extension {
    /// The sender; the first extension of a datagram without an engine payload.
    Sender(IdentityKey),
    /// An encoded message of the dissemination protocol.
    Dissemination(Vec<u8>),
    /// A message of the anti-entropy repair.
    Repair(RepairMessage),
}

/// An extension on the wire. Its kind and length let readers skip an unknown one.
#[derive(Serialize, Deserialize)]
struct Frame<'a> {
    kind: u16,
    #[serde(borrow)]
    body: &'a [u8],
}

const SENDER_KIND: u16 = 1;
const DISSEMINATION_KIND: u16 = 2;
const REPAIR_KIND: u16 = 3;

impl Extension {
    fn from_frame(frame: &Frame) -> Option<Self> {
        match frame.kind {
            SENDER_KIND => postcard::from_bytes(frame.body).ok().map(Self::Sender),
            DISSEMINATION_KIND => Some(Self::Dissemination(frame.body.to_vec())),
            // An unreadable message of a later version is skipped like an unknown kind.
            REPAIR_KIND => postcard::from_bytes(frame.body).ok().map(Self::Repair),
            _ => None,
        }
    }

    fn append_to(&self, bytes: &mut Vec<u8>) {
        let (kind, body) = match self {
            Self::Sender(key) => (SENDER_KIND, postcard::to_stdvec(key).unwrap_or_default()),
            Self::Dissemination(body) => (DISSEMINATION_KIND, body.clone()),
            Self::Repair(message) => (REPAIR_KIND, postcard::to_stdvec(message).unwrap_or_default()),
        };
        if let Ok(frame) = postcard::to_stdvec(&Frame { kind, body: &body }) {
            bytes.extend(frame);
        }
    }
}

/// Encodes extensions for [`Envelope::extension_bytes`].
pub(super) fn encode_extensions(extensions: &[Extension]) -> Vec<u8> {
    let mut bytes = Vec::new();
    extensions.iter().for_each(|extension| extension.append_to(&mut bytes));
    bytes
}

#[cfg(test)]
mod tests;
