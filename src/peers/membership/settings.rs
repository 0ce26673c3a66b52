//! How a peer takes part, and the engine's settings that follow from it.

use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use super::count::NodeCountRules;
use super::gossip::GossipPlan;
use crate::peers::dissemination::DisseminationConfig;
use crate::peers::envelope;

/// With more than this part of its nodes suspected, a node trusts its own eyes less: suspects have longer to speak up, as
/// those that could vouch for them are missing too (Lifeguard's local health: Dadgar, Phillips, Currey, 2018).
const MANY_SUSPECTS_FRACTION: f64 = 0.1;
/// By so many times.
const MANY_SUSPECTS_TIMEOUT_FACTOR: f64 = 3.0;
/// Peers that are asked to probe one that did not answer. At 5% lost datagrams a probe of a living peer fails once in 50,000 times
/// by five of them (a tenth of the direct probes, and a fifth of the ways by way of each), once in 1,600 by three.
const INDIRECT_PROBES: usize = 5;
/// The largest message of the engine.
pub(super) const MAX_ENGINE_PAYLOAD_BYTES: usize = envelope::MAX_DATAGRAM_BYTES - envelope::OVERHEAD_BYTES;

/// How a peer takes part.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersConfig {
    /// Datagrams of another cluster are dropped.
    pub cluster: String,
    /// Where others may be found; any of them may be down.
    pub seeds: Vec<SocketAddr>,
    /// Each peer probes another one this often.
    pub probe_interval: Duration,
    /// An answer that takes longer is asked for by way of others; at the most half of `probe_every`.
    pub probe_timeout: Duration,
    /// Suspects have this many times `probe_every`, and more the more peers there are, to speak up.
    pub suspicion_multiplier: f64,
    /// When fewer nodes may be believed.
    pub node_count: NodeCountRules,
    /// The configured number of nodes.
    pub configured_nodes: u32,
    /// How it takes part in dissemination; none: it does not.
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
    /// The engine's settings in a cluster of so many.
    pub(super) fn engine_config(&self, peers: usize, suspects: usize, gossip: GossipPlan) -> foca::Config {
        // Rounds until all have heard grow with the logarithm of their number (SWIM, section 4.1).
        let rounds = (peers.max(2) as f64).log10().max(1.0);
        let many = suspects as f64 > MANY_SUSPECTS_FRACTION * peers as f64;
        let patience = if many { MANY_SUSPECTS_TIMEOUT_FACTOR } else { 1.0 };
        let suspect_for = self.probe_interval.mul_f64(self.suspicion_multiplier * rounds * patience);
        foca::Config {
            probe_period: self.probe_interval,
            probe_rtt: self.probe_timeout,
            num_indirect_probes: non_zero(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(gossip.max_transmissions).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: suspect_for,
            remove_down_after: Some(Duration::from_secs(600)),
            max_packet_size: non_zero(MAX_ENGINE_PAYLOAD_BYTES),
            notify_down_members: true,
            // What was lost on the way is repaired by comparison, not by lists.
            periodic_announce: None,
            // What was cut off is looked for.
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
