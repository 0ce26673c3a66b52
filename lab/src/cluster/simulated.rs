//! Any number of walkpick peers in simulated time, with a simulated datagram network between them. The same seed gives
//! the same run.

use super::{AgreementChange, LinkConditions, ProcessorMeter, StatusChange, Topology, TrafficMeter};
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
const EPOCH_US: u64 = 1_700_000_000_000_000;
/// Address of the first node; the other nodes follow consecutively.
const FIRST_ADDRESS: u32 = 0x0a00_0001;
const PORT: u16 = 7_946;
/// Extra delay of a datagram that is reordered.
const REORDER_DELAY: Micros = 50_000;
/// Capacity of a socket's receive queue, in datagrams.
const SOCKET_QUEUE: usize = 256;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Datagram { to: usize, data: Vec<u8> },
    Timers { node: usize, incarnation: u32 },
}

struct Node {
    peers: Option<Peers>,
    incarnation: u32,
    /// Generation of its identity when it started.
    started_generation: u64,
    paused: Option<Vec<Vec<u8>>>,
    partition: u32,
    clock_offset_us: i64,
    timers_at: Option<Micros>,
}

/// A cluster of peers and the network between them.
pub struct SimulatedCluster {
    config: PeersConfig,
    seed: u64,
    random: Xoshiro256PlusPlus,
    now: Micros,
    /// Number of events scheduled so far; events due at the same time run in the order in which they were scheduled.
    scheduled: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    nodes: Vec<Node>,
    topology: Topology,
    /// Conditions of every link.
    pub links: LinkConditions,
    /// Links (from, to) that drop everything, in addition to those between partitions.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Datagrams and bytes that nodes send and receive.
    pub traffic: TrafficMeter,
    /// Processor time spent on running this cluster.
    pub processor: ProcessorMeter,
    /// Every status change that nodes reported, except changes to present.
    pub status_changes: Vec<StatusChange>,
    /// Every change of agreement that nodes reported.
    pub agreement_changes: Vec<AgreementChange>,
    /// The number of nodes that each node currently bases its share on.
    pub effective_nodes: Vec<u32>,
    /// How often nodes rejoined after having been declared lost.
    pub rejoined: u64,
    /// The node that rejoined last.
    pub last_rejoined: usize,
    /// Nodes that gave up their name after a conflict.
    pub yielded: Vec<usize>,
    /// Bytes sent per tenth of a second; recorded only if set.
    pub sent_by_slot: Option<crate::dissemination::traffic::Traffic>,
    /// Outputs of dissemination, if it is configured.
    pub disseminated: Vec<Disseminated>,
}

/// An output of a node's dissemination.
#[derive(Clone, Debug)]
pub struct Disseminated {
    /// Time of the output.
    pub at: Micros,
    /// The node that produced it.
    pub node: usize,
    /// The output.
    pub output: DisseminationOutput,
}

/// The address that a node listens on.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(FIRST_ADDRESS + node as u32), PORT))
}

/// The index of the node with this address; may be out of range.
fn node_index(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => {
            address.ip().to_bits().checked_sub(FIRST_ADDRESS).map(|node| node as usize)
        }
        SocketAddr::V6(_) => None,
    }
}

impl SimulatedCluster {
    /// A cluster of `nodes` nodes, none of them started. The first `seeds` nodes are the seeds of all.
    pub fn new(config: PeersConfig, nodes: usize, seeds: usize, seed: u64) -> Self {
        let config = PeersConfig { seeds: (0..seeds).map(address).collect(), ..config };
        let stopped = || Node {
            peers: None,
            incarnation: 0,
            started_generation: 0,
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
            blocked_links: BTreeSet::new(),
            traffic: TrafficMeter::new(nodes, 0),
            processor: ProcessorMeter::start(),
            status_changes: Vec::new(),
            agreement_changes: Vec::new(),
            effective_nodes: vec![0; nodes],
            rejoined: 0,
            last_rejoined: 0,
            yielded: Vec::new(),
            sent_by_slot: None,
            disseminated: Vec::new(),
        }
    }

    /// Replaces the network topology.
    pub fn with_topology(mut self, topology: Topology) -> Self {
        self.topology = topology;
        self
    }

    /// Clears what was recorded so far and starts measuring from now.
    pub fn begin_measuring(&mut self) {
        self.status_changes.clear();
        self.agreement_changes.clear();
        self.traffic.reset(self.now);
        self.processor = ProcessorMeter::start();
    }

    /// Current simulated time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Starts a node, or restarts it under the same name and address.
    pub fn start(&mut self, node: usize) {
        self.start_as(node, &format!("n{node}"));
    }

    /// Starts a node under the given name.
    pub fn start_as(&mut self, node: usize, name: &str) {
        let metadata = self.encoded_location(node);
        let state = &mut self.nodes[node];
        state.incarnation += 1;
        let generation = (EPOCH_US + self.now).saturating_add_signed(state.clock_offset_us);
        let salt = self.random.random();
        let me = Peer {
            address: address(node),
            generation,
            salt,
            observer: false,
            name: name.to_owned(),
            metadata,
        };
        let seed = draw::unit(
            self.seed,
            draw::Stream::DiscoveryUpdates,
            (node as u64) << 32 | u64::from(state.incarnation),
        )
        .to_bits();
        state.peers = Some(Peers::new(self.config.clone(), me, seed, self.now));
        (state.started_generation, state.paused, state.timers_at) = (generation, None, None);
        self.effective_nodes[node] = self.config.configured_nodes;
        self.schedule_timers(node);
    }

    /// The location that a node announces: empty unless the topology has regions or dissemination needs it.
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

    /// Ends a process without a leave message.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].peers = None;
        self.nodes[node].incarnation += 1;
    }

    /// Ends a process after it has sent its leave message.
    pub fn leave(&mut self, node: usize) {
        let mut out = Vec::new();
        if let Some(peers) = &mut self.nodes[node].peers {
            self.processor.measure_peers(|| peers.leave(self.now, &mut out));
        }
        self.apply_outputs(node, out);
        self.kill(node);
    }

    /// Suspends a process; datagrams wait for it up to the capacity of the socket's queue.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused.get_or_insert_default();
    }

    /// Resumes a process, which first handles the queued datagrams.
    pub fn resume(&mut self, node: usize) {
        for data in self.nodes[node].paused.take().unwrap_or_default() {
            self.deliver(node, data);
        }
        self.run_timers(node);
    }

    /// Partitions the network: nodes reach only nodes of their own partition.
    pub fn partition(&mut self, partition: impl Fn(usize) -> u32) {
        self.nodes.iter_mut().enumerate().for_each(|(node, state)| state.partition = partition(node));
    }

    /// Sets the offset of a node's wall clock, effective from its next start.
    pub fn set_clock_offset(&mut self, node: usize, offset_us: i64) {
        self.nodes[node].clock_offset_us = offset_us;
    }

    /// Whether the node's process exists, suspended or not.
    pub fn alive(&self, node: usize) -> bool {
        self.nodes[node].peers.is_some()
    }

    /// A node's view of the cluster.
    pub fn view(&self, node: usize) -> Option<View> {
        self.nodes[node].peers.as_ref().map(|peers| peers.view(self.now))
    }

    /// Delivers arbitrary bytes to a node.
    pub fn inject(&mut self, node: usize, data: &[u8]) {
        self.deliver(node, data.to_vec());
    }

    /// Counts of datagrams that a node has dropped.
    pub fn dropped(&self, node: usize) -> walkpick::peers::DroppedDatagrams {
        self.nodes[node].peers.as_ref().map(Peers::dropped).unwrap_or_default()
    }

    /// Advances the simulation by this time.
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

    /// Runs until `done`, which is checked ten times a second; returns the time taken, or none if `limit` passed first.
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

    /// Whether every running node sees exactly the running nodes and reports agreement.
    pub fn converged(&self) -> bool {
        let alive = self.nodes.iter().filter(|node| node.peers.is_some()).count() as u32;
        let running = || self.nodes.iter().filter_map(|node| node.peers.as_ref());
        let Some(first) = running().next().map(Peers::summary) else { return true };
        running().all(|peers| {
            let seen = peers.summary();
            seen.nodes == alive && seen.agreement == Agreement::Agreed && seen.digest == first.digest
        })
    }

    /// Runs a scheduled timer call. One that was superseded by an earlier one does nothing; otherwise each superseded call
    /// would schedule yet another one.
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
            self.processor.measure_peers(|| peers.handle_timers(self.now, &mut out));
        }
        self.apply_outputs(node, out);
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
            self.processor.measure_peers(|| peers.handle_datagram(self.now, &data, &mut out));
        }
        self.apply_outputs(node, out);
        self.schedule_timers(node);
    }

    fn apply_outputs(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, data } => self.send(node, to, data),
                Output::StatusChanged { peer, status } => {
                    self.record_status_change(node, &peer, status);
                }
                Output::AgreementChanged(agreement) => {
                    let change = AgreementChange { at: self.now, observer: node, agreement };
                    self.agreement_changes.push(change);
                }
                Output::EffectiveNodes(count) => self.effective_nodes[node] = count,
                Output::NameConflict { yields: true, .. } => self.yielded.push(node),
                Output::NameConflict { .. } => {}
                Output::Rejoined => (self.rejoined, self.last_rejoined) = (self.rejoined + 1, node),
                Output::Dissemination(output) => self.record_dissemination(node, output),
            }
        }
    }

    /// Records an output of dissemination. Every state that is offered is accepted.
    fn record_dissemination(&mut self, node: usize, output: DisseminationOutput) {
        if let DisseminationOutput::StateOffered { publisher, entry } = output {
            let key = StateKey { publisher, kind: entry.kind };
            self.with_peers(node, |peers, now, out| {
                peers.decide_state(now, key, entry.epoch, entry.sequence, Ok(()), out);
            });
        } else {
            self.disseminated.push(Disseminated { at: self.now, node, output });
        }
    }

    /// Calls `act` on a node's peers and applies the outputs; none if no process runs there.
    pub fn with_peers<T>(
        &mut self,
        node: usize,
        act: impl FnOnce(&mut Peers, Micros, &mut Vec<Output>) -> T,
    ) -> Option<T> {
        let mut out = Vec::new();
        let now = self.now;
        let result = self.nodes[node].peers.as_mut().map(|peers| act(peers, now, &mut out));
        self.apply_outputs(node, out);
        self.schedule_timers(node);
        result
    }

    /// A node's peers, if its process runs.
    pub fn peers(&self, node: usize) -> Option<&Peers> {
        self.nodes[node].peers.as_ref()
    }

    fn record_status_change(&mut self, observer: usize, peer: &Peer, status: PeerStatus) {
        let Some(subject) = node_index(peer.address).filter(|node| *node < self.nodes.len()) else { return };
        // Joining is measured by comparing views instead.
        if status == PeerStatus::Present {
            return;
        }
        let state = &self.nodes[subject];
        let runs =
            state.peers.is_some() && state.paused.is_none() && peer.generation >= state.started_generation;
        let reachable = runs && !self.is_blocked(observer, subject) && !self.is_blocked(subject, observer);
        let change = StatusChange { at: self.now, observer, subject, status, reachable };
        self.status_changes.push(change);
    }

    /// Whether the link from one node to another drops everything.
    fn is_blocked(&self, from: usize, to: usize) -> bool {
        let partitioned = self.nodes[from].partition != self.nodes[to].partition;
        partitioned || self.links.silent || self.blocked_links.contains(&(from, to))
    }

    fn send(&mut self, from: usize, to: SocketAddr, data: Vec<u8>) {
        self.traffic.sent(from, data.len());
        if let Some(sent) = &mut self.sent_by_slot {
            sent.sent(self.now, from, data.len());
        }
        let Some(to) = node_index(to).filter(|node| *node < self.nodes.len()) else { return };
        if self.is_blocked(from, to) || self.random.random::<f64>() < self.links.loss {
            return;
        }
        if self.random.random::<f64>() < self.links.duplicate {
            self.schedule_datagram(from, to, data.clone());
        }
        self.schedule_datagram(from, to, data);
    }

    fn schedule_datagram(&mut self, from: usize, to: usize, data: Vec<u8>) {
        let latency = self.topology.latency(from, to, &mut self.random);
        let delay = self.links.delay.as_micros() as Micros;
        let jitter = self.links.jitter.mul_f64(self.random.random()).as_micros() as Micros;
        let reorder_delay = if self.random.random::<f64>() < self.links.reorder { REORDER_DELAY } else { 0 };
        self.schedule(self.now + latency + delay + jitter + reorder_delay, Event::Datagram { to, data });
    }
}
