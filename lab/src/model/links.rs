//! Impairments of the links between nodes and other systems, as caused by the active faults. Random delays are drawn
//! from a generator that the driver passes in.

use crate::draw::{self, Stream};
use crate::experiment::{Direction, FaultKind, RemoteKind};
use crate::plan::Plan;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

/// Delay before the first retransmission of a lost segment: the minimum retransmission timeout of TCP senders (RFC
/// 6298, with Linux's value). It doubles with each further loss.
pub const MIN_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// A segment is lost at most this many times in a row.
const MAX_RETRANSMITS: u32 = 6;
/// Offset of the fault index in the draws that select the affected servers of a link fault, so that they are independent
/// of those that select its nodes.
const SERVER_DRAW_OFFSET: usize = 1_000;

/// What happens to traffic in one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    /// Fixed extra delay.
    pub delay: Duration,
    /// Maximum of the random delay that is added to it.
    pub jitter: Duration,
    /// Probability of loss: stream data is retransmitted, datagrams are dropped.
    pub loss: f64,
    /// Probability that a datagram is delivered twice.
    pub duplicate: f64,
    /// Probability that a datagram is delivered after later ones.
    pub reorder: f64,
    /// Nothing gets through.
    pub silent: bool,
}

impl Impairment {
    /// Draws the extra delay of a piece of a stream, retransmissions included.
    pub fn stream_delay(&self, random: &mut impl Rng) -> Duration {
        let mut delay = self.delay;
        if !self.jitter.is_zero() {
            delay += self.jitter.mul_f64(random.random());
        }
        let mut losses = 0;
        while self.loss > 0.0 && losses < MAX_RETRANSMITS && random.random::<f64>() < self.loss {
            delay += MIN_RETRANSMIT_TIMEOUT * 2_u32.pow(losses);
            losses += 1;
        }
        delay
    }

    /// Like [`Self::stream_delay`], with draws that depend on `seed` and `draw_id` alone.
    pub fn stream_delay_for(&self, seed: u64, draw_id: u64) -> Duration {
        if *self == Self::default() {
            return Duration::ZERO;
        }
        let draw = draw::unit(seed, Stream::Network, draw_id ^ 1 << 55).to_bits();
        self.stream_delay(&mut Xoshiro256PlusPlus::seed_from_u64(draw))
    }

    /// Combines another impairment of the same direction into this one.
    fn add(&mut self, other: &Self) {
        self.delay += other.delay;
        self.jitter += other.jitter;
        self.loss = 1.0 - (1.0 - self.loss) * (1.0 - other.loss);
        self.duplicate = self.duplicate.max(other.duplicate);
        self.reorder = self.reorder.max(other.reorder);
        self.silent |= other.silent;
    }
}

/// Impairments of both directions of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkImpairment {
    /// From the side that connects.
    pub forward: Impairment,
    /// To the side that connects.
    pub backward: Impairment,
}

impl LinkImpairment {
    /// Whether no connection can be established.
    pub fn silent(&self) -> bool {
        self.forward.silent || self.backward.silent
    }
}

/// An active link fault and the links that it affects.
#[derive(Clone, Debug)]
pub struct ActiveLinkFault {
    /// Index on the schedule.
    fault: usize,
    /// What the affected links connect the nodes to.
    pub remote: RemoteKind,
    impairment: LinkImpairment,
    /// The affected nodes.
    pub nodes: Vec<usize>,
    /// The affected servers, where `remote` is [`RemoteKind::Server`].
    pub servers: Vec<usize>,
}

impl ActiveLinkFault {
    fn new(plan: &Plan, fault: usize) -> Option<Self> {
        let (scheduled, deployment) = (&plan.experiment.fault[fault], &plan.experiment.deployment);
        let link = scheduled.link.as_ref().filter(|_| scheduled.what == FaultKind::Link)?;
        let impairment = Impairment {
            delay: link.delay,
            jitter: link.jitter,
            loss: link.loss,
            duplicate: link.duplicate,
            reorder: link.reorder,
            silent: link.silent,
        };
        let impaired_if = |on: bool| if on { impairment } else { Impairment::default() };
        Some(Self {
            fault,
            remote: link.to,
            impairment: LinkImpairment {
                forward: impaired_if(link.direction != Direction::Back),
                backward: impaired_if(link.direction != Direction::There),
            },
            nodes: plan.affected(fault, deployment.nodes as usize, scheduled.part),
            servers: plan.affected(fault + SERVER_DRAW_OFFSET, deployment.servers as usize, link.other_part),
        })
    }

    fn affects(&self, node: usize, remote: RemoteKind, server: usize) -> bool {
        self.remote == remote
            && self.nodes.contains(&node)
            && (remote != RemoteKind::Server || self.servers.contains(&server))
    }
}

/// The active link faults.
#[derive(Debug, Default)]
pub struct Links(Vec<ActiveLinkFault>);

impl Links {
    /// Switches a fault on or off. Returns the links that it affects.
    pub fn set_fault(&mut self, plan: &Plan, fault: usize, on: bool) -> Option<ActiveLinkFault> {
        self.0.retain(|active| active.fault != fault);
        let active = ActiveLinkFault::new(plan, fault)?;
        if on {
            self.0.push(active.clone());
        }
        Some(active)
    }

    /// The impairment of traffic from node `one` to node `two`. A fault that affects one of them applies with `forward`
    /// away from that node and `backward` towards it. A fault that affects both applies with `forward`, except that
    /// `silent` does not separate them.
    pub fn between_peers(&self, one: usize, two: usize) -> Impairment {
        let mut impairment = Impairment::default();
        for active in self.0.iter().filter(|active| active.remote == RemoteKind::Peer) {
            match (active.nodes.contains(&one), active.nodes.contains(&two)) {
                (true, false) => impairment.add(&active.impairment.forward),
                (false, true) => impairment.add(&active.impairment.backward),
                (true, true) => impairment.add(&Impairment { silent: false, ..active.impairment.forward }),
                _ => {}
            }
        }
        impairment
    }

    /// The impairment of a node's link to a remote system. `server` counts only where that is a server.
    pub fn impairment(&self, node: usize, remote: RemoteKind, server: usize) -> LinkImpairment {
        let mut impairment = LinkImpairment::default();
        for active in self.0.iter().filter(|active| active.affects(node, remote, server)) {
            impairment.forward.add(&active.impairment.forward);
            impairment.backward.add(&active.impairment.backward);
        }
        impairment
    }
}
