//! Detection of two processes with the same name. Both report it, and the one that supersedes the other keeps the name.

use crate::peers::identity::Peer;

/// Another process that claims this one's name.
pub(super) struct NameConflict {
    pub other: Peer,
    /// Whether this process yields the name.
    pub yields: bool,
}

/// Finds a member that claims the name of the local peer.
pub(super) fn find_conflict<'a>(
    local_peer: &Peer,
    mut members: impl Iterator<Item = &'a Peer>,
) -> Option<NameConflict> {
    if local_peer.observer {
        return None;
    }
    let other = members.find(|peer| !peer.observer && peer.name == local_peer.name)?.clone();
    let yields = other.supersedes(local_peer);
    Some(NameConflict { other, yields })
}
