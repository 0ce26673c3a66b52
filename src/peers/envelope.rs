//! The frame of every datagram between peers.

use serde::{Deserialize, Serialize};

/// The version of the envelope. A later one adds to `more`; it never changes what stands before.
pub(super) const SCHEMA: u16 = 1;
/// Datagrams are no longer than this: what passes any path of the Internet protocol's, version 6, in one piece.
pub const LARGEST: usize = 1_232;
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
    /// The engine's message.
    #[serde(borrow)]
    pub payload: &'a [u8],
    /// What later versions add.
    #[serde(borrow)]
    pub more: &'a [u8],
}

impl<'a> Envelope<'a> {
    /// Reads a datagram. What stands behind the envelope is a later version's.
    pub fn decode(data: &'a [u8]) -> Option<Self> {
        postcard::take_from_bytes(data).ok().map(|(envelope, _)| envelope)
    }
}
