//! How company is found: seeds, and peers that were known before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Waits before seeds are asked again while nobody is there: the first, doubled up to the longest.
const INITIAL_WAIT: Duration = Duration::from_millis(250);
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Seeds or remembered peers that are asked at once.
const MAX_CONTACTS: usize = 3;
/// A node that has company still asks a seed this often: two fleets that never met find each other.
const CONNECTED_WAIT: Duration = Duration::from_secs(20);
/// Whom to ask now, and when to ask again.
pub(super) struct JoinAttempt {
    pub addresses: Vec<SocketAddr>,
    pub wait: Duration,
}

/// What is known of somebody at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KnownNode {
    Present,
    /// It was present once.
    Absent,
}

/// Seeds, and the wait between attempts.
pub(super) struct Joining {
    seeds: Vec<SocketAddr>,
    wait: Duration,
}

impl Joining {
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, wait: INITIAL_WAIT }
    }

    /// The next attempt. `known`: nodes that were met.
    pub fn attempt(
        &mut self,
        me: SocketAddr,
        alone: bool,
        known: &BTreeMap<SocketAddr, KnownNode>,
        random: &mut fastrand::Rng,
    ) -> JoinAttempt {
        let mut among = self.seeds.clone();
        if alone {
            among.extend(known.keys());
        }
        among.retain(|address| *address != me);
        if !alone {
            // One that is there already has nothing to tell.
            among.retain(|address| known.get(address) != Some(&KnownNode::Present));
        }
        random.shuffle(&mut among);
        among.truncate(MAX_CONTACTS);
        self.wait = if alone { (self.wait * 2).min(MAX_WAIT) } else { CONNECTED_WAIT };
        // Drawn apart: peers that start together don't ask together.
        JoinAttempt { addresses: among, wait: self.wait.mul_f64(0.5 + random.f64()) }
    }
}

#[cfg(test)]
mod tests;
