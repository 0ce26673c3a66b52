//! The configuration of a peer, and the engine settings that are derived from it.

use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use super::count::NodeCountRules;
use super::gossip::GossipPlan;
use crate::peers::dissemination::DisseminationConfig;
use crate::peers::envelope;

/// With more than this fraction of its peers suspected, a node trusts its own observations less and extends the suspicion
/// timeout, as peers that could confirm a suspect to be alive are unreachable too (local health in Lifeguard: Dadgar,
/// Phillips, Currey, 2018).
const MANY_SUSPECTS_FRACTION: f64 = 0.1;
/// The factor by which the suspicion timeout is then extended.
const MANY_SUSPECTS_TIMEOUT_FACTOR: f64 = 3.0;
/// The number of peers that are asked to probe one that did not answer. At 5% datagram loss a direct probe fails with a
/// probability of about a tenth and an indirect one with about a fifth, so a probe of a living peer fails once in 50,000
/// times with five indirect probes and once in 1,600 with three.
const INDIRECT_PROBES: usize = 5;
/// Maximum length of a message of the engine.
pub(super) const MAX_ENGINE_PAYLOAD_BYTES: usize = envelope::MAX_DATAGRAM_BYTES - envelope::OVERHEAD_BYTES;

/// The configuration of a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersConfig {
    /// The name of the cluster; datagrams of other clusters are dropped.
    pub cluster: String,
    /// Addresses to contact for joining; any of them may be down.
    pub seeds: Vec<SocketAddr>,
    /// The interval at which each peer probes another one.
    pub probe_interval: Duration,
    /// After this time without an answer, indirect probes are sent; at most half of `probe_interval`.
    pub probe_timeout: Duration,
    /// The suspicion timeout as a multiple of `probe_interval`; it also grows with the number of peers.
    pub suspicion_multiplier: f64,
    /// When the effective node count may decrease.
    pub node_count: NodeCountRules,
    /// The configured number of nodes.
    pub configured_nodes: u32,
    /// The configuration of dissemination; `None` if this node takes no part in it.
    pub dissemination: Option<DisseminationConfig>,
}

impl Default for PeersConfig {
    fn default() -> Self {
        Self {
            cluster: "walkpick".to_owned(),
            seeds: Vec::new(),
            probe_interval: Duration::from_millis(400),
            probe_timeout: Duration::from_millis(180),
            suspicion_multiplier: 3.0,
            node_count: NodeCountRules::default(),
            configured_nodes: 1,
            dissemination: None,
        }
    }
}

impl PeersConfig {
    /// The engine settings for this number of peers and suspects.
    pub(super) fn engine_config(&self, peers: usize, suspects: usize, gossip: GossipPlan) -> foca::Config {
        // The number of gossip rounds that reach all peers grows with the logarithm of their number (SWIM, section 4.1).
        let rounds = (peers.max(2) as f64).log10().max(1.0);
        let many = suspects as f64 > MANY_SUSPECTS_FRACTION * peers as f64;
        let factor = if many { MANY_SUSPECTS_TIMEOUT_FACTOR } else { 1.0 };
        let suspicion_timeout = self.probe_interval.mul_f64(self.suspicion_multiplier * rounds * factor);
        foca::Config {
            probe_period: self.probe_interval,
            probe_rtt: self.probe_timeout,
            num_indirect_probes: non_zero(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(gossip.max_transmissions).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: suspicion_timeout,
            remove_down_after: Some(Duration::from_secs(600)),
            max_packet_size: non_zero(MAX_ENGINE_PAYLOAD_BYTES),
            notify_down_members: true,
            // Lost updates are repaired by comparing views, not by periodic member lists.
            periodic_announce: None,
            // Down members are contacted, so that a cluster recovers from a network partition.
            periodic_announce_to_down_members: periodic(Duration::from_secs(2), 3),
            periodic_gossip: periodic(self.probe_interval / 2, gossip.fan_out),
        }
    }
}

fn non_zero(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}

fn periodic(every: Duration, width: usize) -> Option<foca::PeriodicParams> {
    Some(foca::PeriodicParams { frequency: every, num_members: non_zero(width) })
}
