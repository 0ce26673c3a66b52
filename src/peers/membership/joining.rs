//! How company is found: seeds, and peers that were known before.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Waits before seeds are asked again while nobody is there: the first, doubled up to the longest.
const FIRST_WAIT: Duration = Duration::from_millis(250);
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// Seeds or remembered peers that are asked at once.
const WIDTH: usize = 3;
/// A node that has company still asks a seed this often: two fleets that never met find each other.
const WAIT_IN_COMPANY: Duration = Duration::from_secs(20);
/// Addresses that are tried when nobody is left, beside the seeds.
const REMEMBERED: usize = 1_024;

/// Whom to ask now, and when to ask again.
pub(super) struct JoinAttempt {
    pub addresses: Vec<SocketAddr>,
    pub wait: Duration,
}

/// Seeds, peers that were known, and the wait between attempts.
pub(super) struct Joining {
    seeds: Vec<SocketAddr>,
    /// The latest first.
    remembered: VecDeque<SocketAddr>,
    wait: Duration,
}

impl Joining {
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, remembered: VecDeque::new(), wait: FIRST_WAIT }
    }

    /// A node was met there.
    pub fn remember(&mut self, address: SocketAddr) {
        self.remembered.retain(|known| *known != address);
        self.remembered.push_front(address);
        self.remembered.truncate(REMEMBERED);
    }

    /// The next attempt. `is_present`: one that is there already has nothing to tell.
    pub fn attempt(
        &mut self,
        me: SocketAddr,
        alone: bool,
        is_present: impl Fn(&SocketAddr) -> bool,
        random: &mut fastrand::Rng,
    ) -> JoinAttempt {
        let mut among = self.seeds.clone();
        if alone {
            among.extend(self.remembered.iter().copied());
        }
        among.retain(|address| *address != me);
        if !alone {
            among.retain(|address| !is_present(address));
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
