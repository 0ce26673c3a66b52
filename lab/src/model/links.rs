//! What the faults that are on make of the links between parties. Time a way takes is drawn from a generator that the
//! driver gives.

use crate::draw::{self, Stream};
use crate::experiment::{Direction, Party, What};
use crate::plan::Plan;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

/// A lost segment is sent again after this time (the least time-out of TCP's senders, RFC 6298 as Linux has it).
pub const AGAIN: Duration = Duration::from_millis(200);
/// Doubled so often at the most.
const MOST_AGAIN: u32 = 6;
/// Draws for the servers that a fault on links meets are named apart from those for the nodes.
const OTHER_PARTY: usize = 1_000;

/// What one direction of a link does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Every piece takes this long.
    pub delay: Duration,
    /// And up to this much longer, by chance.
    pub jitter: Duration,
    /// Part of the pieces that are lost: a stream's come again later, a datagram never.
    pub loss: f64,
    /// Part of the datagrams that come twice.
    pub duplicate: f64,
    /// Part of the datagrams that come after those behind them.
    pub reorder: f64,
    /// Nothing gets through.
    pub silent: bool,
}

impl Way {
    /// How long a piece of a stream takes; nothing on it overtakes.
    pub fn takes(&self, random: &mut impl Rng) -> Duration {
        let mut takes = self.delay;
        if !self.jitter.is_zero() {
            takes += self.jitter.mul_f64(random.random());
        }
        let mut again = 0;
        while self.loss > 0.0 && again < MOST_AGAIN && random.random::<f64>() < self.loss {
            takes += AGAIN * 2_u32.pow(again);
            again += 1;
        }
        takes
    }

    /// The same, drawn for `what` alone.
    pub fn takes_for(&self, seed: u64, what: u64) -> Duration {
        if *self == Self::default() {
            return Duration::ZERO;
        }
        let draw = draw::unit(seed, Stream::Network, what ^ 1 << 55).to_bits();
        self.takes(&mut Xoshiro256PlusPlus::seed_from_u64(draw))
    }

    fn add(&mut self, more: &Self) {
        self.delay += more.delay;
        self.jitter += more.jitter;
        self.loss = 1.0 - (1.0 - self.loss) * (1.0 - more.loss);
        self.duplicate = self.duplicate.max(more.duplicate);
        self.reorder = self.reorder.max(more.reorder);
        self.silent |= more.silent;
    }
}

/// Both directions: from the party that connects, and to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ways {
    /// From the party that connects.
    pub there: Way,
    /// To it.
    pub back: Way,
}

impl Ways {
    /// Whether no connection can come up.
    pub fn silent(&self) -> bool {
        self.there.silent || self.back.silent
    }
}

/// A fault on links, and whom it meets.
#[derive(Clone, Debug)]
pub struct Met {
    trouble: usize,
    /// Whom nodes have these links with.
    pub party: Party,
    ways: Ways,
    /// The nodes.
    pub nodes: Vec<usize>,
    /// The servers, where the links are to servers.
    pub servers: Vec<usize>,
}

impl Met {
    fn of(plan: &Plan, trouble: usize) -> Option<Self> {
        let (fault, parts) = (&plan.experiment.fault[trouble], &plan.experiment.deployment);
        let link = fault.link.as_ref().filter(|_| fault.what == What::Link)?;
        let way = Way {
            delay: link.delay,
            jitter: link.jitter,
            loss: link.loss,
            duplicate: link.duplicate,
            reorder: link.reorder,
            silent: link.silent,
        };
        let of = |on: bool| if on { way } else { Way::default() };
        Some(Self {
            trouble,
            party: link.to,
            ways: Ways {
                there: of(link.direction != Direction::Back),
                back: of(link.direction != Direction::There),
            },
            nodes: plan.met(trouble, parts.nodes as usize, fault.part),
            servers: plan.met(trouble + OTHER_PARTY, parts.servers as usize, link.other_part),
        })
    }

    fn meets(&self, node: usize, party: Party, server: usize) -> bool {
        self.party == party
            && self.nodes.contains(&node)
            && (party != Party::Server || self.servers.contains(&server))
    }
}

/// The faults on links that are on.
#[derive(Debug, Default)]
pub struct Links(Vec<Met>);

impl Links {
    /// A fault goes on or off. Gives back whom it meets.
    pub fn switch(&mut self, plan: &Plan, trouble: usize, on: bool) -> Option<Met> {
        self.0.retain(|met| met.trouble != trouble);
        let met = Met::of(plan, trouble)?;
        if on {
            self.0.push(met.clone());
        }
        Some(met)
    }

    /// What the way from one node to another does. A fault meets it where it meets one of the two: `there` is from those
    /// that it meets. Where it meets both, silence leaves them together, and all else is on their way too.
    pub fn between_peers(&self, one: usize, two: usize) -> Way {
        let mut way = Way::default();
        for met in self.0.iter().filter(|met| met.party == Party::Peer) {
            match (met.nodes.contains(&one), met.nodes.contains(&two)) {
                (true, false) => way.add(&met.ways.there),
                (false, true) => way.add(&met.ways.back),
                (true, true) => way.add(&Way { silent: false, ..met.ways.there }),
                _ => {}
            }
        }
        way
    }

    /// What the link of a node does.
    pub fn ways(&self, node: usize, party: Party, server: usize) -> Ways {
        let mut ways = Ways::default();
        for met in self.0.iter().filter(|met| met.meets(node, party, server)) {
            ways.there.add(&met.ways.there);
            ways.back.add(&met.ways.back);
        }
        ways
    }
}
