//! Any number of the program's peers in simulated time, with a network of datagrams between them. The same seed gives
//! the same run.

use super::{AgreementChange, LinkConditions, ProcessorMeter, StandingChange, Topology, TrafficMeter};
use crate::draw;
use crate::model::{Micros, SECOND};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use walkpick::peers::dissemination::{DisseminationOutput, StateKey};
use walkpick::peers::{Agreement, Output, Peer, PeerStatus, Peers, PeersConfig, View};

/// Unix time at the start, in microseconds.
const EPOCH: u64 = 1_700_000_000_000_000;
/// The first node's address; the others' follow.
const FIRST_ADDRESS: u32 = 0x0a00_0001;
const PORT: u16 = 7_946;
/// A datagram that is overtaken comes so much later.
const REORDERED: Micros = 50_000;
/// Datagrams that a socket's queue holds.
const SOCKET_QUEUE: usize = 256;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Datagram { to: usize, data: Vec<u8> },
    Timers { node: usize, incarnation: u32 },
}

struct Node {
    peers: Option<Peers>,
    incarnation: u32,
    /// The order of its identity at its start.
    started_as: u64,
    paused: Option<Vec<Vec<u8>>>,
    partition: u32,
    clock_offset_us: i64,
    timers_at: Option<Micros>,
}

/// Peers and the network between them.
pub struct SimulatedCluster {
    config: PeersConfig,
    seed: u64,
    random: Xoshiro256PlusPlus,
    now: Micros,
    /// Events so far: those of one time run in the order in which they were scheduled.
    scheduled: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    nodes: Vec<Node>,
    topology: Topology,
    /// What every link does.
    pub links: LinkConditions,
    /// Links (from, to) that carry nothing, beside those between partitions.
    pub blocked: BTreeSet<(usize, usize)>,
    /// What nodes send and receive.
    pub traffic: TrafficMeter,
    /// What it takes to run this cluster.
    pub processor: ProcessorMeter,
    /// Every change of standing that nodes reported, but for those that are present.
    pub standing_changes: Vec<StandingChange>,
    /// Every change of agreement that nodes reported.
    pub agreement_changes: Vec<AgreementChange>,
    /// The count that each node relies on.
    pub counts: Vec<u32>,
    /// How often nodes rejoined that had been declared gone.
    pub rejoined: u64,
    /// The last of them.
    pub last_rejoined: usize,
    /// Nodes that gave their name up.
    pub yielded: Vec<usize>,
    /// Bytes by tenths of a second, where somebody wants them.
    pub sent_by_slot: Option<crate::dissemination::traffic::Traffic>,
    /// What dissemination told, where it is configured.
    pub disseminated: Vec<Disseminated>,
}

/// What a node's dissemination told.
#[derive(Clone, Debug)]
pub struct Disseminated {
    /// When.
    pub at: Micros,
    /// Which node.
    pub node: usize,
    /// What.
    pub output: DisseminationOutput,
}

/// Where a node listens.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(FIRST_ADDRESS + node as u32), PORT))
}

/// Which node an address may belong to.
fn node_at(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => {
            address.ip().to_bits().checked_sub(FIRST_ADDRESS).map(|node| node as usize)
        }
        SocketAddr::V6(_) => None,
    }
}

impl SimulatedCluster {
    /// A cluster of so many nodes, with nobody started. The first `seeds` of them are everybody's seeds.
    pub fn new(config: PeersConfig, nodes: usize, seeds: usize, seed: u64) -> Self {
        let config = PeersConfig { seeds: (0..seeds).map(address).collect(), ..config };
        let stopped = || Node {
            peers: None,
            incarnation: 0,
            started_as: 0,
            paused: None,
            partition: 0,
            clock_offset_us: 0,
            timers_at: None,
        };
        Self {
            config,
            seed,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: 0,
            scheduled: 0,
            queue: BinaryHeap::new(),
            topology: Topology::default(),
            nodes: (0..nodes).map(|_| stopped()).collect(),
            links: LinkConditions::default(),
            blocked: BTreeSet::new(),
            traffic: TrafficMeter::new(nodes, 0),
            processor: ProcessorMeter::start(),
            standing_changes: Vec::new(),
            agreement_changes: Vec::new(),
            counts: vec![0; nodes],
            rejoined: 0,
            last_rejoined: 0,
            yielded: Vec::new(),
            sent_by_slot: None,
            disseminated: Vec::new(),
        }
    }

    /// The same cluster on another network.
    pub fn with_topology(mut self, topology: Topology) -> Self {
        self.topology = topology;
        self
    }

    /// Measures from now on: what was recorded up to now is forgotten.
    pub fn begin_measuring(&mut self) {
        self.standing_changes.clear();
        self.agreement_changes.clear();
        self.traffic.reset(self.now);
        self.processor = ProcessorMeter::start();
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
        let more = self.encoded_location(node);
        let state = &mut self.nodes[node];
        state.incarnation += 1;
        let order = (EPOCH + self.now).saturating_add_signed(state.clock_offset_us);
        let salt = self.random.random();
        let me = Peer {
            address: address(node),
            generation: order,
            salt,
            observer: false,
            name: name.to_owned(),
            metadata: more,
        };
        let seed = draw::unit(
            self.seed,
            draw::Stream::DiscoveryUpdates,
            (node as u64) << 32 | u64::from(state.incarnation),
        )
        .to_bits();
        state.peers = Some(Peers::new(self.config.clone(), me, seed, self.now));
        (state.started_as, state.paused, state.timers_at) = (order, None, None);
        self.counts[node] = self.config.configured_nodes;
        self.schedule_timers(node);
    }

    /// Where a node says that it runs: told where there are regions, and where dissemination needs it.
    fn encoded_location(&self, node: usize) -> Vec<u8> {
        if self.config.dissemination.is_none() && self.topology == Topology::Flat {
            return Vec::new();
        }
        let location = self.topology.location(node);
        let (region, zone, site) = (location.region, location.zone, location.site);
        walkpick::peers::Location {
            region: format!("r{region}"),
            zone: format!("z{zone}"),
            site: format!("s{site}"),
        }
        .encode()
    }

    /// Ends a process without a farewell.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].peers = None;
        self.nodes[node].incarnation += 1;
    }

    /// Ends a process that announces that it leaves.
    pub fn leave(&mut self, node: usize) {
        let mut out = Vec::new();
        if let Some(peers) = &mut self.nodes[node].peers {
            self.processor.peers(|| peers.leave(self.now, &mut out));
        }
        self.perform(node, out);
        self.kill(node);
    }

    /// A process stands still: what comes waits for it, as far as a socket's queue holds.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused.get_or_insert_default();
    }

    /// It goes on: first with what waited.
    pub fn resume(&mut self, node: usize) {
        for data in self.nodes[node].paused.take().unwrap_or_default() {
            self.deliver(node, data);
        }
        self.run_timers(node);
    }

    /// Partitions the network: nodes reach those of their own partition alone.
    pub fn partition(&mut self, partition: impl Fn(usize) -> u32) {
        self.nodes.iter_mut().enumerate().for_each(|(node, state)| state.partition = partition(node));
    }

    /// Sets how far a node's wall clock is off from its next start on.
    pub fn clock(&mut self, node: usize, off_us: i64) {
        self.nodes[node].clock_offset_us = off_us;
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
        self.deliver(node, data.to_vec());
    }

    /// The datagrams that a node has dropped.
    pub fn dropped(&self, node: usize) -> walkpick::peers::DroppedDatagrams {
        self.nodes[node].peers.as_ref().map(Peers::dropped).unwrap_or_default()
    }

    /// Runs on for so long.
    pub fn run(&mut self, micros: Micros) {
        let end = self.now + micros;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            self.traffic.advance(at);
            match event {
                Event::Datagram { to, data } => self.deliver(to, data),
                Event::Timers { node, incarnation } => self.timers_due(node, incarnation),
            }
        }
        self.now = end;
        self.traffic.advance(end);
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
    pub fn converged(&self) -> bool {
        let alive = self.nodes.iter().filter(|node| node.peers.is_some()).count() as u32;
        let running = || self.nodes.iter().filter_map(|node| node.peers.as_ref());
        let Some(first) = running().next().map(Peers::summary) else { return true };
        running().all(|peers| {
            let seen = peers.summary();
            seen.nodes == alive && seen.agreement == Agreement::Agreed && seen.digest == first.digest
        })
    }

    /// A scheduled call is due. One that an earlier one has replaced does nothing: it would schedule another one, and
    /// that one another.
    fn timers_due(&mut self, node: usize, incarnation: u32) {
        let state = &mut self.nodes[node];
        if state.incarnation == incarnation && state.timers_at == Some(self.now) {
            state.timers_at = None;
            self.run_timers(node);
        }
    }

    fn run_timers(&mut self, node: usize) {
        if self.nodes[node].paused.is_some() {
            return;
        }
        let mut out = Vec::new();
        if let Some(peers) = &mut self.nodes[node].peers {
            self.processor.peers(|| peers.handle_timers(self.now, &mut out));
        }
        self.perform(node, out);
        self.schedule_timers(node);
    }

    fn schedule_timers(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let Some(next) = state.peers.as_ref().and_then(Peers::next_wakeup) else { return };
        let at = next.max(self.now);
        if state.timers_at.is_some_and(|timers_at| timers_at <= at) {
            return;
        }
        state.timers_at = Some(at);
        let incarnation = state.incarnation;
        self.schedule(at, Event::Timers { node, incarnation });
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled, event)));
    }

    fn deliver(&mut self, node: usize, data: Vec<u8>) {
        let state = &mut self.nodes[node];
        if let Some(waiting) = &mut state.paused {
            if waiting.len() < SOCKET_QUEUE {
                waiting.push(data);
            }
            return;
        }
        self.traffic.received(node, data.len());
        let mut out = Vec::new();
        if let Some(peers) = &mut state.peers {
            self.processor.peers(|| peers.handle_datagram(self.now, &data, &mut out));
        }
        self.perform(node, out);
        self.schedule_timers(node);
    }

    fn perform(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, data } => self.send(node, to, data),
                Output::StatusChanged { peer, status: standing } => {
                    self.note_standing(node, &peer, standing);
                }
                Output::AgreementChanged(agreement) => {
                    let change = AgreementChange { at: self.now, observer: node, agreement };
                    self.agreement_changes.push(change);
                }
                Output::EffectiveNodes(count) => self.counts[node] = count,
                Output::NameConflict { yields: true, .. } => self.yielded.push(node),
                Output::NameConflict { .. } => {}
                Output::Rejoined => (self.rejoined, self.last_rejoined) = (self.rejoined + 1, node),
                Output::Dissemination(output) => self.note_disseminated(node, output),
            }
        }
    }

    /// Keeps what dissemination told. Whatever state is offered is taken.
    fn note_disseminated(&mut self, node: usize, output: DisseminationOutput) {
        if let DisseminationOutput::StateOffered { publisher, entry } = output {
            let key = StateKey { publisher, kind: entry.kind };
            self.with_peers(node, |peers, now, out| {
                peers.decide_state(now, key, entry.epoch, entry.sequence, Ok(()), out);
            });
        } else {
            self.disseminated.push(Disseminated { at: self.now, node, output });
        }
    }

    /// Has a node's peers do something, and carries out what they ask for; none where no process runs there.
    pub fn with_peers<T>(
        &mut self,
        node: usize,
        act: impl FnOnce(&mut Peers, Micros, &mut Vec<Output>) -> T,
    ) -> Option<T> {
        let mut out = Vec::new();
        let now = self.now;
        let result = self.nodes[node].peers.as_mut().map(|peers| act(peers, now, &mut out));
        self.perform(node, out);
        self.schedule_timers(node);
        result
    }

    /// A node's peers.
    pub fn peers(&self, node: usize) -> Option<&Peers> {
        self.nodes[node].peers.as_ref()
    }

    fn note_standing(&mut self, observer: usize, peer: &Peer, standing: PeerStatus) {
        let Some(subject) = node_at(peer.address).filter(|node| *node < self.nodes.len()) else { return };
        // Who joins is seen by everybody at once: views tell of that.
        if standing == PeerStatus::Present {
            return;
        }
        let state = &self.nodes[subject];
        let runs = state.peers.is_some() && state.paused.is_none() && peer.generation >= state.started_as;
        let reachable = runs && !self.cut(observer, subject) && !self.cut(subject, observer);
        let change = StandingChange { at: self.now, observer, subject, standing, reachable };
        self.standing_changes.push(change);
    }

    /// Whether nothing gets through from one node to another.
    fn cut(&self, from: usize, to: usize) -> bool {
        let partitioned = self.nodes[from].partition != self.nodes[to].partition;
        partitioned || self.links.silent || self.blocked.contains(&(from, to))
    }

    fn send(&mut self, from: usize, to: SocketAddr, data: Vec<u8>) {
        self.traffic.sent(from, data.len());
        if let Some(sent) = &mut self.sent_by_slot {
            sent.sent(self.now, from, data.len());
        }
        let Some(to) = node_at(to).filter(|node| *node < self.nodes.len()) else { return };
        if self.cut(from, to) || self.random.random::<f64>() < self.links.loss {
            return;
        }
        if self.random.random::<f64>() < self.links.duplicate {
            self.send_one(from, to, data.clone());
        }
        self.send_one(from, to, data);
    }

    fn send_one(&mut self, from: usize, to: usize, data: Vec<u8>) {
        let latency = self.topology.latency(from, to, &mut self.random);
        let delay = self.links.delay.as_micros() as Micros;
        let jitter = self.links.jitter.mul_f64(self.random.random()).as_micros() as Micros;
        let late = if self.random.random::<f64>() < self.links.reorder { REORDERED } else { 0 };
        self.schedule(self.now + latency + delay + jitter + late, Event::Datagram { to, data });
    }
}
