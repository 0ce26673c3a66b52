//! How company is found: seeds, and peers that were known before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Waits before seeds are asked again while nobody is there: the first, doubled up to the longest.
const FIRST_WAIT: Duration = Duration::from_millis(250);
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// Seeds or remembered peers that are asked at once.
const WIDTH: usize = 3;
/// A node that has company still asks a seed this often: two fleets that never met find each other.
const WAIT_IN_COMPANY: Duration = Duration::from_secs(20);
/// Whom to ask now, and when to ask again.
pub(super) struct JoinAttempt {
    pub addresses: Vec<SocketAddr>,
    pub wait: Duration,
}

/// What is known of somebody at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Acquaintance {
    Present,
    /// It was present once.
    Past,
}

/// Seeds, and the wait between attempts.
pub(super) struct Joining {
    seeds: Vec<SocketAddr>,
    wait: Duration,
}

impl Joining {
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, wait: FIRST_WAIT }
    }

    /// The next attempt. `known`: nodes that were met.
    pub fn attempt(
        &mut self,
        me: SocketAddr,
        alone: bool,
        known: &BTreeMap<SocketAddr, Acquaintance>,
        random: &mut fastrand::Rng,
    ) -> JoinAttempt {
        let mut among = self.seeds.clone();
        if alone {
            among.extend(known.keys());
        }
        among.retain(|address| *address != me);
        if !alone {
            // One that is there already has nothing to tell.
            among.retain(|address| known.get(address) != Some(&Acquaintance::Present));
        }
        random.shuffle(&mut among);
        among.truncate(WIDTH);
        self.wait = if alone { (self.wait * 2).min(LONGEST_WAIT) } else { WAIT_IN_COMPANY };
        // Drawn apart: peers that start together don't ask together.
        JoinAttempt { addresses: among, wait: self.wait.mul_f64(0.5 + random.f64()) }
    }
}

#[cfg(test)]
mod tests;
