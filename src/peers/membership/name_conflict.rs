//! Two processes of one name: both say so, and the one that goes before keeps it.

use crate::peers::identity::Peer;

/// Another process that claims this one's name.
pub(super) struct NameConflict {
    pub other: Peer,
    /// Whether this process gives way.
    pub yields: bool,
}

/// Looks for one among the members.
pub(super) fn find_conflict<'a>(
    me: &Peer,
    mut members: impl Iterator<Item = &'a Peer>,
) -> Option<NameConflict> {
    if me.observer {
        return None;
    }
    let by = members.find(|peer| !peer.observer && peer.name == me.name)?.clone();
    let yields = by.supersedes(me);
    Some(NameConflict { other: by, yields })
}
