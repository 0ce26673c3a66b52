//! The frame of every datagram between peers. Membership and whatever else shares its socket put their messages into it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use super::identity::Peer;
use super::membership::repair::RepairMessage;

/// The version of the envelope. Version 2 gave `more` its extensions and made an empty engine payload legal. A later one
/// adds extensions; it never changes what stands before them.
pub(super) const SCHEMA: u16 = 2;
/// From this version on a peer reads extensions, and datagrams without an engine payload.
pub(super) const EXTENSIONS_SINCE: u16 = 2;
/// Datagrams are no longer than this: what passes any path of the Internet protocol's, version 6, in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1_232;
/// Of that, the envelope's own.
pub(super) const OVERHEAD: usize = 96;

/// What every datagram begins with.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Envelope<'a> {
    pub schema: u16,
    pub cluster: &'a str,
    /// Of the sender's view.
    pub digest: u64,
    /// Nodes in it.
    pub nodes: u32,
    /// The engine's message; empty where only extensions are sent.
    #[serde(borrow)]
    pub payload: &'a [u8],
    /// Extensions, one behind the other; see [`extensions`].
    #[serde(borrow)]
    pub more: &'a [u8],
}

impl<'a> Envelope<'a> {
    /// The bytes of a datagram; none where they are too many to be sent.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok().filter(|data| data.len() <= MAX_DATAGRAM_BYTES)
    }

    /// Reads a datagram. What stands behind the envelope is a later version's.
    pub fn decode(data: &'a [u8]) -> Option<Self> {
        postcard::take_from_bytes(data).ok().map(|(envelope, _)| envelope)
    }

    /// The extensions that this version knows. Others are passed over, and all that stands behind a malformed one.
    pub fn extensions(&self) -> Vec<Extension> {
        if self.schema < EXTENSIONS_SINCE {
            return Vec::new();
        }
        let (mut rest, mut found) = (self.more, Vec::new());
        while let Ok((frame, left)) = postcard::take_from_bytes::<Frame>(rest) {
            rest = left;
            found.extend(Extension::from_frame(&frame));
        }
        found
    }
}

/// One life of one peer, in short: the sender of a datagram that has no engine payload to say so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LifeId {
    pub address: SocketAddr,
    pub order: u64,
    pub salt: u32,
}

impl From<&Peer> for LifeId {
    fn from(peer: &Peer) -> Self {
        Self { address: peer.address, order: peer.generation, salt: peer.salt }
    }
}

/// What a datagram may carry beside the engine's message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Extension {
    /// Who sends; the first one in a datagram without an engine payload.
    Sender(LifeId),
    /// A message of the dissemination, which alone can read it.
    Dissemination(Vec<u8>),
    /// A message by which views are repaired.
    Repair(RepairMessage),
}

/// An extension on the wire: a number for its kind and its length let others pass it over.
#[derive(Serialize, Deserialize)]
struct Frame<'a> {
    kind: u16,
    #[serde(borrow)]
    body: &'a [u8],
}

const SENDER: u16 = 1;
const DISSEMINATION: u16 = 2;
const REPAIR: u16 = 3;

impl Extension {
    fn from_frame(frame: &Frame) -> Option<Self> {
        match frame.kind {
            SENDER => postcard::from_bytes(frame.body).ok().map(Self::Sender),
            DISSEMINATION => Some(Self::Dissemination(frame.body.to_vec())),
            // A later version's message is as a later kind.
            REPAIR => postcard::from_bytes(frame.body).ok().map(Self::Repair),
            _ => None,
        }
    }

    fn append_to(&self, more: &mut Vec<u8>) {
        let (kind, body) = match self {
            Self::Sender(life) => (SENDER, postcard::to_stdvec(life).unwrap_or_default()),
            Self::Dissemination(body) => (DISSEMINATION, body.clone()),
            Self::Repair(message) => (REPAIR, postcard::to_stdvec(message).unwrap_or_default()),
        };
        if let Ok(frame) = postcard::to_stdvec(&Frame { kind, body: &body }) {
            more.extend(frame);
        }
    }
}

/// The bytes of `more` that hold these extensions.
pub(super) fn encode_extensions(extensions: &[Extension]) -> Vec<u8> {
    let mut more = Vec::new();
    extensions.iter().for_each(|extension| extension.append_to(&mut more));
    more
}

#[cfg(test)]
mod tests;
