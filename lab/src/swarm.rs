//! Membership at scale: any number of the program's peers in simulated time, with a network of datagrams between them.
//! The same seed gives the same run.

use crate::draw;
use crate::model::links::Way;
use crate::model::{Micros, SECOND};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use walkpick::peers::{Agreement, Output, Peer, Peers, PeersConfig, Standing, View};

/// Unix time at the start, in microseconds.
const EPOCH: u64 = 1_700_000_000_000_000;
/// From one to another, at the least and at the most.
const WAY_US: (u64, u64) = (150, 900);
const PORT: u16 = 7_946;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Datagram { to: usize, data: Vec<u8> },
    Timers { node: usize, life: u32 },
}

/// A change that a node told of.
#[derive(Clone, Debug)]
pub struct Told {
    /// When.
    pub at: Micros,
    /// Which node told.
    pub by: usize,
    /// Of which.
    pub of: usize,
    /// What became of it.
    pub standing: Standing,
}

struct Node {
    peers: Option<Peers>,
    life: u32,
    paused: Option<Vec<Vec<u8>>>,
    group: u32,
    clock_us: i64,
    wakes: Option<Micros>,
}

/// Counts of all that was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes, without headers of the network.
    pub bytes: u64,
}

/// Peers and the network between them.
pub struct Swarm {
    config: PeersConfig,
    seed: u64,
    random: Xoshiro256PlusPlus,
    now: Micros,
    count: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Next)>>,
    nodes: Vec<Node>,
    by_address: HashMap<SocketAddr, usize>,
    /// What every link does.
    pub way: Way,
    /// Links that carry nothing in this direction, beside those between groups.
    pub deaf: BTreeSet<(usize, usize)>,
    /// What was sent.
    pub sent: Sent,
    /// Every change of standing that nodes told of.
    pub told: Vec<Told>,
    /// When each node told what of its agreement.
    pub agreements: Vec<(Micros, usize, Agreement)>,
    /// What nodes rely on.
    pub counts: Vec<u32>,
    /// How often nodes came back that had been declared gone.
    pub came_back: u64,
    /// The last of them.
    pub last_back: usize,
    /// Nodes that gave their name up.
    pub yielded: Vec<usize>,
}

/// Where a node listens.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(0x0a00_0001 + node as u32), PORT))
}

impl Swarm {
    /// So many places, with nobody started. The first `seeds` of them are everybody's seeds.
    pub fn new(config: PeersConfig, nodes: usize, seeds: usize, seed: u64) -> Self {
        let config = PeersConfig { seeds: (0..seeds).map(address).collect(), ..config };
        let place = || Node { peers: None, life: 0, paused: None, group: 0, clock_us: 0, wakes: None };
        Self {
            config,
            seed,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: 0,
            count: 0,
            queue: BinaryHeap::new(),
            by_address: (0..nodes).map(|node| (address(node), node)).collect(),
            nodes: (0..nodes).map(|_| place()).collect(),
            way: Way::default(),
            deaf: BTreeSet::new(),
            sent: Sent::default(),
            told: Vec::new(),
            agreements: Vec::new(),
            counts: vec![0; nodes],
            came_back: 0,
            last_back: 0,
            yielded: Vec::new(),
        }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Starts a node, or starts it anew under its name and address.
    pub fn start(&mut self, node: usize) {
        self.start_as(node, &format!("n{node}"));
    }

    /// Starts a node under a name of its own.
    pub fn start_as(&mut self, node: usize, name: &str) {
        let held = &mut self.nodes[node];
        held.life += 1;
        let order = (EPOCH + self.now).saturating_add_signed(held.clock_us);
        let salt = self.random.random();
        let me = Peer {
            address: address(node),
            order,
            salt,
            observer: false,
            name: name.to_owned(),
            more: Vec::new(),
        };
        let seed =
            draw::unit(self.seed, draw::Stream::Lists, (node as u64) << 32 | u64::from(held.life)).to_bits();
        held.peers = Some(Peers::new(self.config.clone(), me, seed, self.now));
        (held.paused, held.wakes) = (None, None);
        self.counts[node] = self.config.nodes;
        self.wake(node);
    }

    /// Ends a process without a word.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].peers = None;
        self.nodes[node].life += 1;
    }

    /// Ends a process that says farewell.
    pub fn leave(&mut self, node: usize) {
        let mut out = Vec::new();
        if let Some(peers) = &mut self.nodes[node].peers {
            peers.leave(self.now, &mut out);
        }
        self.carry_out(node, out);
        self.kill(node);
    }

    /// A process stands still: what comes waits for it, as far as a socket's queue holds.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused.get_or_insert_default();
    }

    /// It goes on: first with what waited.
    pub fn resume(&mut self, node: usize) {
        for data in self.nodes[node].paused.take().unwrap_or_default() {
            self.hand_over(node, &data);
        }
        self.timers(node);
    }

    /// Nodes reach those of their own group alone.
    pub fn split(&mut self, group: impl Fn(usize) -> u32) {
        self.nodes.iter_mut().enumerate().for_each(|(node, held)| held.group = group(node));
    }

    /// Sets how far a node's wall clock is off from its next start on.
    pub fn clock(&mut self, node: usize, off_us: i64) {
        self.nodes[node].clock_us = off_us;
    }

    /// Whether a process runs there.
    pub fn alive(&self, node: usize) -> bool {
        self.nodes[node].peers.is_some()
    }

    /// What a node sees.
    pub fn view(&self, node: usize) -> Option<View> {
        self.nodes[node].peers.as_ref().map(|peers| peers.view(self.now))
    }

    /// Sends a node some bytes.
    pub fn inject(&mut self, node: usize, data: &[u8]) {
        self.hand_over(node, data);
    }

    /// The datagrams that a node has dropped.
    pub fn dropped(&self, node: usize) -> walkpick::peers::Dropped {
        self.nodes[node].peers.as_ref().map(Peers::dropped).unwrap_or_default()
    }

    /// Runs on for so long.
    pub fn run(&mut self, micros: Micros) {
        let end = self.now + micros;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, next))) = self.queue.pop() else { break };
            self.now = at;
            match next {
                Next::Datagram { to, data } => self.hand_over(to, &data),
                Next::Timers { node, life } => {
                    if self.nodes[node].life == life {
                        self.nodes[node].wakes = None;
                        self.timers(node);
                    }
                }
            }
        }
        self.now = end;
    }

    /// Runs until `done`, looking ten times a second; how long that took, or none within `limit`.
    pub fn run_until(&mut self, limit: Micros, mut done: impl FnMut(&Self) -> bool) -> Option<Micros> {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(SECOND / 10);
        }
        done(self).then(|| self.now - start)
    }

    /// Whether all that run see all that run, and say that they agree.
    pub fn whole(&self) -> bool {
        let alive = self.nodes.iter().filter(|node| node.peers.is_some()).count() as u32;
        let views =
            self.nodes.iter().filter_map(|node| node.peers.as_ref().map(|peers| peers.view(self.now)));
        let mut digests = BTreeSet::new();
        views.into_iter().all(|view| {
            digests.insert(view.digest);
            view.nodes == alive && view.agreement == Agreement::Agreed
        }) && digests.len() <= 1
    }

    fn timers(&mut self, node: usize) {
        if self.nodes[node].paused.is_some() {
            return;
        }
        let mut out = Vec::new();
        if let Some(peers) = &mut self.nodes[node].peers {
            peers.timers(self.now, &mut out);
        }
        self.carry_out(node, out);
        self.wake(node);
    }

    fn wake(&mut self, node: usize) {
        let held = &mut self.nodes[node];
        let Some(at) = held.peers.as_ref().and_then(Peers::next) else { return };
        if held.wakes.is_some_and(|wakes| wakes <= at) {
            return;
        }
        held.wakes = Some(at);
        let life = held.life;
        self.at(at, Next::Timers { node, life });
    }

    fn at(&mut self, at: Micros, next: Next) {
        self.count += 1;
        self.queue.push(Reverse((at.max(self.now), self.count, next)));
    }

    fn hand_over(&mut self, node: usize, data: &[u8]) {
        /// Datagrams that a socket's queue holds.
        const QUEUE: usize = 256;
        let held = &mut self.nodes[node];
        if let Some(waiting) = &mut held.paused {
            if waiting.len() < QUEUE {
                waiting.push(data.to_vec());
            }
            return;
        }
        let mut out = Vec::new();
        if let Some(peers) = &mut held.peers {
            peers.datagram(self.now, data, &mut out);
        }
        self.carry_out(node, out);
        self.wake(node);
    }

    fn carry_out(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, data } => self.send(node, to, data),
                Output::Standing { peer, standing } => {
                    if let Some(&of) = self.by_address.get(&peer.address) {
                        self.told.push(Told { at: self.now, by: node, of, standing });
                    }
                }
                Output::Agreement(agreement) => self.agreements.push((self.now, node, agreement)),
                Output::Count(count) => self.counts[node] = count,
                Output::NameClaimed { yields: true, .. } => self.yielded.push(node),
                Output::NameClaimed { .. } => {}
                Output::CameBack => (self.came_back, self.last_back) = (self.came_back + 1, node),
            }
        }
    }

    fn send(&mut self, node: usize, to: SocketAddr, data: Vec<u8>) {
        self.sent.datagrams += 1;
        self.sent.bytes += data.len() as u64;
        let Some(&to) = self.by_address.get(&to) else { return };
        let (one, two) = (self.nodes[node].group, self.nodes[to].group);
        let cut = one != two || self.way.silent || self.deaf.contains(&(node, to));
        if cut || self.random.random::<f64>() < self.way.loss {
            return;
        }
        let copies = 1 + u32::from(self.random.random::<f64>() < self.way.duplicate);
        for _ in 0..copies {
            let way = self.random.random_range(WAY_US.0..WAY_US.1) + self.way.delay.as_micros() as Micros;
            let jitter = self.way.jitter.mul_f64(self.random.random()).as_micros() as Micros;
            let late = if self.random.random::<f64>() < self.way.reorder { 50_000 } else { 0 };
            let next = Next::Datagram { to, data: data.clone() };
            self.at(self.now + way + jitter + late, next);
        }
    }
}
