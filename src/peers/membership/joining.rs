//! Which addresses a node contacts to join a cluster: seeds, and nodes that it knew before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The wait between attempts of a node that knows no present peer: it doubles with each attempt, from the first value up to
/// the second.
const INITIAL_WAIT: Duration = Duration::from_millis(250);
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Maximum number of seeds or remembered nodes contacted per attempt.
const MAX_CONTACTS: usize = 3;
/// The wait between attempts of a node that knows present peers. It still contacts seeds, so that two separately formed
/// groups of one cluster find each other.
const CONNECTED_WAIT: Duration = Duration::from_secs(20);

/// The addresses to contact now, and the wait until the next attempt.
pub(super) struct JoinAttempt {
    pub addresses: Vec<SocketAddr>,
    pub wait: Duration,
}

/// What this node knows about the node at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KnownNode {
    Present,
    /// It was present earlier.
    Absent,
}

/// The seeds, and the state of the backoff between attempts.
pub(super) struct Joining {
    seeds: Vec<SocketAddr>,
    wait: Duration,
}

impl Joining {
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, wait: INITIAL_WAIT }
    }

    /// The next attempt. `isolated`: no other node is present. `known`: nodes that are or were present.
    pub fn attempt(
        &mut self,
        own: SocketAddr,
        isolated: bool,
        known: &BTreeMap<SocketAddr, KnownNode>,
        random: &mut fastrand::Rng,
    ) -> JoinAttempt {
        let mut candidates = self.seeds.clone();
        if isolated {
            candidates.extend(known.keys());
        }
        candidates.retain(|address| *address != own);
        if !isolated {
            // Contacting a seed that is present already would bring nothing new.
            candidates.retain(|address| known.get(address) != Some(&KnownNode::Present));
        }
        random.shuffle(&mut candidates);
        candidates.truncate(MAX_CONTACTS);
        self.wait = if isolated { (self.wait * 2).min(MAX_WAIT) } else { CONNECTED_WAIT };
        // Jitter keeps nodes that start together from contacting the seeds together.
        JoinAttempt { addresses: candidates, wait: self.wait.mul_f64(0.5 + random.f64()) }
    }
}

#[cfg(test)]
mod tests;
