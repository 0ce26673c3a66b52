//! Any number of walkpick's dissemination cores in simulated time. Membership is a stand-in that knows all failures and
//! notifies each node of them after the delays measured in `docs/membership.md`.

use super::ledger::{EntryId, Ledger, Subscriber};
use super::topology::{address, node_index, Topology};
use super::traffic::Traffic;
use crate::draw::{self, Stream};
use crate::model::links::Impairment;
use crate::model::{Micros, SECOND};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::rc::Rc;
use walkpick::peers::dissemination::overlay::Tree;
use walkpick::peers::dissemination::{
    Channel, Dissemination, DisseminationConfig, DisseminationCounters, DisseminationOutput, Entry, Member,
    PublishError, StateKey,
};
use walkpick::peers::ByteBudget;

/// Bytes of control traffic that a node may send per second.
pub const BUDGET: u32 = 16_384;
/// Rate of the token bucket that enforces the budget. Rate and depth add up to the budget, so that no second exceeds it.
const RATE: u32 = BUDGET / 4 * 3;
/// Depth of the token bucket.
const BUCKET_DEPTH: u32 = BUDGET / 4;
/// Minimum and maximum time from the death of a process without a leave message until another node is notified.
const CRASH_DETECTION_DELAY: (Micros, Micros) = (3_500_000, 4_800_000);
/// Minimum and maximum time from a leave message or a start until another node is notified.
const NOTIFY_DELAY: (Micros, Micros) = (200_000, 700_000);
/// Minimum and maximum time from the end of a partition until a node of the other side is present again.
const HEAL_DELAY: (Micros, Micros) = (1_000_000, 3_000_000);
/// Capacity of a socket's receive queue, in datagrams; relevant while the process is paused.
const SOCKET_QUEUE: usize = 256;
/// Extra delay of a datagram that is reordered.
const REORDER_DELAY: Micros = 50_000;
/// Kind of the published state.
pub const STATE: u16 = 1;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Datagram { from: SocketAddr, to: usize, data: Rc<Vec<u8>> },
    Timers { node: usize, incarnation: u32 },
    Present { observer: usize, of: usize, identity: u32 },
    Removed { observer: usize, of: usize, identity: u32 },
}

struct Node {
    core: Option<Dissemination>,
    budget: ByteBudget,
    /// Number of starts of its process.
    incarnation: u32,
    /// Number of its identities: a process that resumes after it was declared lost gets a new one.
    identity: u32,
    /// The node whose name it uses: itself, or the one that it replaces.
    name_of: usize,
    paused: Option<Vec<(SocketAddr, Rc<Vec<u8>>)>>,
    partition: u32,
    extra_delay: Micros,
    timers_at: Option<Micros>,
    started_at: Micros,
}

/// An output of a core for its publisher, such as an acknowledgement.
#[derive(Clone, Debug, PartialEq)]
pub struct PublisherEvent {
    /// Time of the output.
    pub at: Micros,
    /// The publisher's node.
    pub node: usize,
    /// The output.
    pub output: DisseminationOutput,
}

/// A state version that a node applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedState {
    /// Time at which it was applied.
    pub at: Micros,
    /// The node that applied it.
    pub node: usize,
    /// Epoch of the publisher.
    pub epoch: u64,
    /// Version of the state.
    pub version: u64,
    /// Whether the payload was unchanged.
    pub intact: bool,
}

/// Dissemination cores and the network between them.
pub struct Cluster {
    topology: Topology,
    config: DisseminationConfig,
    seed: u64,
    random: Xoshiro256PlusPlus,
    now: Micros,
    scheduled: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    nodes: Vec<Node>,
    /// Impairments of every link.
    pub impairment: Impairment,
    /// Record of published and delivered entries.
    pub ledger: Ledger,
    /// Bytes sent by each node over time.
    pub traffic: Traffic,
    /// Outputs for publishers.
    pub publisher_events: Vec<PublisherEvent>,
    /// False acknowledgements: a node that the publisher saw as present had not applied the entry.
    pub false_acknowledgements: Vec<PublisherEvent>,
    /// State versions that nodes applied.
    pub applied_states: Vec<AppliedState>,
    /// Nodes that refuse every state version.
    pub refusing: Vec<usize>,
    /// Nodes that reported being stale, with the time.
    pub stale: Vec<(Micros, usize)>,
    /// Bytes sent between regions.
    pub bytes_between_regions: u64,
    /// Bytes sent in total.
    pub bytes: u64,
}

impl Cluster {
    /// A cluster of `nodes` nodes, none of them started.
    pub fn new(topology: Topology, nodes: usize, seed: u64) -> Self {
        let stopped = |name_of| Node {
            core: None,
            budget: ByteBudget::new(RATE, BUCKET_DEPTH, 0),
            incarnation: 0,
            identity: 0,
            name_of,
            paused: None,
            partition: 0,
            extra_delay: 0,
            timers_at: None,
            started_at: 0,
        };
        Self {
            topology,
            config: DisseminationConfig::default(),
            seed,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: 0,
            scheduled: 0,
            queue: BinaryHeap::new(),
            nodes: (0..nodes).map(stopped).collect(),
            impairment: Impairment::default(),
            ledger: Ledger::default(),
            traffic: Traffic::new(nodes),
            publisher_events: Vec::new(),
            false_acknowledgements: Vec::new(),
            applied_states: Vec::new(),
            refusing: Vec::new(),
            stale: Vec::new(),
            bytes_between_regions: 0,
            bytes: 0,
        }
    }

    /// Current simulated time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Placement of the nodes.
    pub fn topology(&self) -> Topology {
        self.topology
    }

    /// Number of nodes, started or not.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the cluster has no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Whether the node's process exists, paused or not.
    pub fn alive(&self, node: usize) -> bool {
        self.nodes[node].core.is_some()
    }

    /// The key under which a node publishes.
    pub fn key(&self, node: usize) -> u64 {
        self.member(node).key
    }

    /// The subscriber of a node's current incarnation to a publisher.
    pub fn subscriber(&self, node: usize, publisher: u64) -> Subscriber {
        Subscriber { node, incarnation: self.nodes[node].incarnation, publisher }
    }

    /// A node's core.
    pub fn core(&self, node: usize) -> Option<&Dissemination> {
        self.nodes[node].core.as_ref()
    }

    /// Sums of all nodes' counters; `max_queued` is the largest value.
    pub fn counters(&self) -> DisseminationCounters {
        let mut all = DisseminationCounters::default();
        let cores = self.nodes.iter().filter_map(|node| node.core.as_ref());
        cores.map(Dissemination::counters).for_each(|one| all.add(&one));
        all
    }

    /// Starts all nodes, which know each other from the beginning.
    pub fn start_all(&mut self) {
        let nodes = self.nodes.len();
        (0..nodes).for_each(|node| self.start_process(node));
        let members: Vec<Member> = (0..nodes).map(|node| self.member(node)).collect();
        for node in &mut self.nodes {
            let Some(core) = &mut node.core else { continue };
            members.iter().for_each(|member| core.member_present(*member));
        }
    }

    /// Starts or restarts a node; it and the other nodes are notified of each other after a delay.
    pub fn start(&mut self, node: usize) {
        self.start_process(node);
        for other in (0..self.nodes.len()).filter(|&other| other != node) {
            if self.alive(other) && self.nodes[other].partition == self.nodes[node].partition {
                self.schedule_present(other, node, NOTIFY_DELAY);
                self.schedule_present(node, other, NOTIFY_DELAY);
            }
        }
    }

    /// Starts a node that replaces another one under its name.
    pub fn start_as_replacement(&mut self, node: usize, other: usize) {
        self.nodes[node].name_of = other;
        self.start(node);
    }

    fn start_process(&mut self, node: usize) {
        let now = self.now;
        let state = &mut self.nodes[node];
        state.incarnation += 1;
        state.identity += 1;
        (state.paused, state.timers_at, state.started_at) = (None, None, now);
        state.budget = ByteBudget::new(RATE, BUCKET_DEPTH, now);
        let draw = draw::unit(
            self.seed,
            Stream::DiscoveryUpdates,
            (node as u64) << 32 | u64::from(state.incarnation),
        );
        let member = self.member(node);
        self.nodes[node].core = Some(Dissemination::new(self.config.clone(), member, draw.to_bits(), now));
        self.schedule_timers(node);
    }

    /// Ends a process without a leave message.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].core = None;
        self.schedule_removed_everywhere(node, CRASH_DETECTION_DELAY);
    }

    /// Ends a process that has sent a leave message.
    pub fn leave(&mut self, node: usize) {
        self.nodes[node].core = None;
        self.schedule_removed_everywhere(node, NOTIFY_DELAY);
    }

    /// Suspends a process; datagrams wait for it in its socket.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused.get_or_insert_default();
        self.schedule_removed_everywhere(node, CRASH_DETECTION_DELAY);
    }

    /// Resumes a process, which first handles the queued datagrams. Others had declared it lost, so it rejoins under a new
    /// identity.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].identity += 1;
        let member = self.member(node);
        let waiting = self.nodes[node].paused.take().unwrap_or_default();
        for (from, data) in waiting {
            self.deliver_datagram(from, node, data);
        }
        if let Some(core) = &mut self.nodes[node].core {
            core.rejoined(member);
        }
        self.nodes[node].timers_at = None;
        self.run_timers(node);
        for other in (0..self.nodes.len()).filter(|&other| other != node) {
            if self.alive(other) {
                self.schedule_present(other, node, NOTIFY_DELAY);
            }
        }
    }

    /// Resumes a process whose name another one has taken meanwhile; no node sees it as present.
    pub fn resume_replaced(&mut self, node: usize) {
        let waiting = self.nodes[node].paused.take().unwrap_or_default();
        for (from, data) in waiting {
            self.deliver_datagram(from, node, data);
        }
        self.nodes[node].timers_at = None;
        self.run_timers(node);
    }

    /// Delays every datagram from or to a node by this time.
    pub fn set_extra_delay(&mut self, node: usize, by: Micros) {
        self.nodes[node].extra_delay = by;
    }

    /// Partitions the network: nodes reach only nodes of their own partition, and are notified of the loss of the others.
    pub fn partition(&mut self, partition: impl Fn(usize) -> u32) {
        self.nodes.iter_mut().enumerate().for_each(|(node, state)| state.partition = partition(node));
        for node in 0..self.nodes.len() {
            for other in (0..self.nodes.len()).filter(|&other| partition(other) != partition(node)) {
                self.schedule_removed(other, node, CRASH_DETECTION_DELAY);
            }
        }
    }

    /// Ends the partition.
    pub fn heal(&mut self) {
        let partitions: Vec<u32> = self.nodes.iter().map(|node| node.partition).collect();
        self.nodes.iter_mut().for_each(|node| node.partition = 0);
        for node in 0..self.nodes.len() {
            for other in (0..self.nodes.len()).filter(|&other| partitions[other] != partitions[node]) {
                self.schedule_present(other, node, HEAL_DELAY);
            }
        }
    }

    /// Opens a node's log. `record` holds entries of earlier epochs that are to be sent again.
    pub fn open(
        &mut self,
        node: usize,
        epoch: u64,
        first: u64,
        record: Vec<Entry>,
    ) -> Result<(), PublishError> {
        let now = self.now;
        let mut out = Vec::new();
        let Some(core) = &mut self.nodes[node].core else { return Err(PublishError::NotOpen) };
        let opened = core.open_publisher(now, epoch, first, record, &mut out);
        self.apply_outputs(node, out);
        self.schedule_timers(node);
        opened
    }

    /// Publishes an entry with a payload of this size, which encodes the entry's id.
    pub fn publish(
        &mut self,
        node: usize,
        epoch: u64,
        sequence: u64,
        bytes: usize,
    ) -> Result<u64, PublishError> {
        let id = EntryId { publisher: self.key(node), epoch, sequence };
        let now = self.now;
        let mut out = Vec::new();
        let state = &mut self.nodes[node];
        let Some(core) = &mut state.core else { return Err(PublishError::NotOpen) };
        let published = core.publish_log(now, 0, 1, payload(id, bytes), &mut out)?;
        core.flush(now, &mut state.budget, &mut out);
        if published == sequence {
            self.ledger.published(now, id);
        }
        self.apply_outputs(node, out);
        self.schedule_timers(node);
        Ok(published)
    }

    /// Publishes a version of the state.
    pub fn publish_state(&mut self, node: usize, bytes: usize) -> Result<u64, PublishError> {
        let now = self.now;
        let mut out = Vec::new();
        let state = &mut self.nodes[node];
        let Some(core) = &mut state.core else { return Err(PublishError::NotOpen) };
        let version = core.publish_state(now, STATE, 1, vec![7; bytes], &mut out)?;
        core.flush(now, &mut state.budget, &mut out);
        self.apply_outputs(node, out);
        self.schedule_timers(node);
        Ok(version)
    }

    /// Delivers arbitrary bytes to a node, as if sent from this address.
    pub fn inject(&mut self, from: SocketAddr, node: usize, data: Vec<u8>) {
        self.deliver_datagram(from, node, Rc::new(data));
    }

    /// Advances the simulation by this time.
    pub fn run(&mut self, micros: Micros) {
        let end = self.now + micros;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            match event {
                Event::Datagram { from, to, data } => self.deliver_datagram(from, to, data),
                Event::Timers { node, incarnation } => {
                    if self.nodes[node].incarnation == incarnation && self.nodes[node].timers_at == Some(at) {
                        self.nodes[node].timers_at = None;
                        self.run_timers(node);
                    }
                }
                Event::Present { observer, of, identity } => self.notify_present(observer, of, identity),
                Event::Removed { observer, of, identity } => self.notify_removed(observer, of, identity),
            }
        }
        self.now = end;
    }

    /// Runs until `done`, which is checked twenty times a second; returns the time taken, or none if `limit` passed first.
    pub fn run_until(&mut self, limit: Micros, mut done: impl FnMut(&Self) -> bool) -> Option<Micros> {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(SECOND / 20);
        }
        done(self).then(|| self.now - start)
    }

    /// Whether every running node has delivered a publisher's log up to this entry.
    pub fn all_delivered(&self, publisher: u64, sequence: u64) -> bool {
        let running =
            self.nodes.iter().filter(|node| node.paused.is_none()).filter_map(|node| node.core.as_ref());
        running.into_iter().all(|core| core.last_delivered(publisher) >= Some(sequence))
    }

    /// Whether every running node has applied exactly this version of the publisher's state.
    pub fn all_applied(&self, publisher: u64, epoch: u64, version: u64) -> bool {
        let key = StateKey { publisher, kind: STATE };
        let running = self.nodes.iter().filter_map(|node| node.core.as_ref());
        running.into_iter().all(|core| {
            core.applied_state(key).is_some_and(|entry| (entry.epoch, entry.sequence) == (epoch, version))
        })
    }

    /// An entry as kept in a publisher's record.
    pub fn entry(&self, node: usize, epoch: u64, sequence: u64, bytes: usize) -> Entry {
        let id = EntryId { publisher: self.key(node), epoch, sequence };
        Entry { epoch, sequence, kind: 0, schema: 1, payload: payload(id, bytes), extension: Vec::new() }
    }

    /// All nodes but the publisher, sorted by the size of their subtree in the publisher's tree, largest first.
    pub fn relays(&self, publisher: usize) -> Vec<usize> {
        let members: Vec<Member> = (0..self.nodes.len()).map(|node| self.member(node)).collect();
        let tree = Tree::new(&members, self.key(publisher), &BTreeSet::new());
        let mut nodes: Vec<usize> = (0..members.len()).filter(|&node| node != publisher).collect();
        nodes.sort_by_cached_key(|&node| Reverse(tree.subtree(node).len()));
        nodes
    }

    fn member(&self, node: usize) -> Member {
        let state = &self.nodes[node];
        let own = self.topology.member(node, state.identity);
        let named = self.topology.member(state.name_of, 0);
        Member { key: named.key, ..own }
    }

    fn schedule_present(&mut self, observer: usize, of: usize, within: (Micros, Micros)) {
        let at = self.now + self.random.random_range(within.0..within.1);
        let identity = self.nodes[of].identity;
        self.schedule(at, Event::Present { observer, of, identity });
    }

    fn schedule_removed(&mut self, observer: usize, of: usize, within: (Micros, Micros)) {
        let at = self.now + self.random.random_range(within.0..within.1);
        let identity = self.nodes[of].identity;
        self.schedule(at, Event::Removed { observer, of, identity });
    }

    fn schedule_removed_everywhere(&mut self, node: usize, within: (Micros, Micros)) {
        for other in (0..self.nodes.len()).filter(|&other| other != node) {
            if self.alive(other) {
                self.schedule_removed(other, node, within);
            }
        }
    }

    fn notify_present(&mut self, observer: usize, of: usize, identity: u32) {
        let current = self.nodes[of].identity == identity && self.nodes[of].core.is_some();
        if !current || self.nodes[of].partition != self.nodes[observer].partition {
            return;
        }
        let member = self.member(of);
        if let Some(core) = &mut self.nodes[observer].core {
            core.member_present(member);
        }
    }

    fn notify_removed(&mut self, observer: usize, of: usize, identity: u32) {
        let own = self.topology.member(of, identity);
        let member = Member { key: self.key(of), ..own };
        let partitioned = self.nodes[of].partition != self.nodes[observer].partition;
        let stopped = self.nodes[of].core.is_none() || self.nodes[of].paused.is_some();
        let outdated = self.nodes[of].identity != identity;
        if let Some(core) = self.nodes[observer].core.as_mut().filter(|_| partitioned || stopped || outdated)
        {
            core.member_removed(&member);
        }
    }

    fn run_timers(&mut self, node: usize) {
        if self.nodes[node].paused.is_some() {
            return;
        }
        let mut out = Vec::new();
        let state = &mut self.nodes[node];
        if let Some(core) = &mut state.core {
            core.run_timers(self.now, &mut state.budget, &mut out);
        }
        self.apply_outputs(node, out);
        self.schedule_timers(node);
    }

    fn schedule_timers(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let Some(at) = state.core.as_ref().map(Dissemination::next_timeout) else { return };
        let at = at.max(self.now);
        if state.paused.is_some() || state.timers_at.is_some_and(|timers_at| timers_at <= at) {
            return;
        }
        state.timers_at = Some(at);
        let incarnation = state.incarnation;
        self.schedule(at, Event::Timers { node, incarnation });
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((at.max(self.now), self.scheduled, event)));
    }

    fn deliver_datagram(&mut self, from: SocketAddr, node: usize, data: Rc<Vec<u8>>) {
        let state = &mut self.nodes[node];
        if let Some(waiting) = &mut state.paused {
            if waiting.len() < SOCKET_QUEUE {
                waiting.push((from, data));
            }
            return;
        }
        let mut out = Vec::new();
        if let Some(core) = &mut state.core {
            core.receive(self.now, from, &data, &mut state.budget, &mut out);
        }
        self.apply_outputs(node, out);
        self.schedule_timers(node);
    }

    fn apply_outputs(&mut self, node: usize, out: Vec<DisseminationOutput>) {
        for output in out {
            match output {
                DisseminationOutput::Send { to, data } => self.send(node, to, data),
                DisseminationOutput::Deliver { publisher, entry } => {
                    self.record_delivery(node, publisher, &entry)
                }
                DisseminationOutput::LogReset { publisher, after, through } => {
                    let subscriber = self.subscriber(node, publisher);
                    self.ledger.reset(self.now, subscriber, after, through);
                }
                DisseminationOutput::EpochChanged { publisher, first, .. } => {
                    self.ledger.epoch_changed(self.subscriber(node, publisher), first);
                }
                DisseminationOutput::StateOffered { publisher, entry } => {
                    self.decide_state(node, publisher, &entry)
                }
                DisseminationOutput::StateApplied { entry, .. } => {
                    let intact = entry.payload.iter().all(|&byte| byte == 7);
                    let (epoch, version) = (entry.epoch, entry.sequence);
                    self.applied_states.push(AppliedState { at: self.now, node, epoch, version, intact });
                }
                DisseminationOutput::Stale { .. } => self.stale.push((self.now, node)),
                output => self.record_publisher_event(node, output),
            }
        }
    }

    fn record_delivery(&mut self, node: usize, publisher: u64, entry: &Entry) {
        let id = EntryId { publisher, epoch: entry.epoch, sequence: entry.sequence };
        let subscriber = self.subscriber(node, publisher);
        self.ledger.delivered(self.now, subscriber, id, encoded_id(publisher, &entry.payload));
    }

    fn decide_state(&mut self, node: usize, publisher: u64, entry: &Entry) {
        let verdict = match self.refusing.contains(&node) {
            true => Err(format!("node {node} does not take it")),
            false => Ok(()),
        };
        let key = StateKey { publisher, kind: entry.kind };
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.decide_state(key, entry.epoch, entry.sequence, verdict, &mut out);
        }
        self.apply_outputs(node, out);
    }

    fn record_publisher_event(&mut self, node: usize, output: DisseminationOutput) {
        let event = PublisherEvent { at: self.now, node, output };
        if let DisseminationOutput::Acknowledged { channel, sequence, .. } = event.output {
            if !self.is_true_acknowledgement(node, channel, sequence) {
                self.false_acknowledgements.push(event.clone());
            }
        }
        self.publisher_events.push(event);
    }

    /// Whether all members that the publisher's node sees as present have applied the entry, in the incarnation that it sees.
    fn is_true_acknowledgement(&self, node: usize, channel: Channel, sequence: u64) -> bool {
        let publisher = self.key(node);
        let Some(seen) = self.nodes[node].core.as_ref().map(Dissemination::members) else { return false };
        let applied = |core: &Dissemination| match channel {
            Channel::Log => core.last_delivered(publisher) >= Some(sequence),
            Channel::State(kind) => core
                .applied_state(StateKey { publisher, kind })
                .is_some_and(|entry| entry.sequence >= sequence),
        };
        // Members that have ended or restarted since are not part of the acknowledgement.
        let current = seen.iter().filter_map(|member| {
            let state = &self.nodes[node_index(member.address)?];
            state.core.as_ref().filter(|core| core.me().id == member.id)
        });
        current.into_iter().all(applied)
    }

    fn send(&mut self, node: usize, to: SocketAddr, data: Vec<u8>) {
        let bytes = data.len() + self.config.overhead_bytes;
        self.traffic.sent(self.now, node, bytes);
        self.bytes += bytes as u64;
        let Some(to) = node_index(to).filter(|&to| to < self.nodes.len()) else { return };
        let between_regions = self.topology.region(node) != self.topology.region(to);
        if between_regions {
            self.bytes_between_regions += bytes as u64;
        }
        let blocked = self.nodes[node].partition != self.nodes[to].partition || self.impairment.silent;
        if blocked || self.random.random::<f64>() < self.impairment.loss {
            return;
        }
        let data = Rc::new(data);
        let copies = 1 + u32::from(self.random.random::<f64>() < self.impairment.duplicate);
        for _ in 0..copies {
            let latency = self.topology.latency(self.seed, node, to, &mut self.random);
            let reorder_delay =
                if self.random.random::<f64>() < self.impairment.reorder { REORDER_DELAY } else { 0 };
            let extra_delay = self.nodes[node].extra_delay + self.nodes[to].extra_delay;
            let event = Event::Datagram { from: address(node), to, data: Rc::clone(&data) };
            self.schedule(self.now + latency + reorder_delay + extra_delay, event);
        }
    }
}

/// A payload that encodes the entry's id.
fn payload(id: EntryId, bytes: usize) -> Vec<u8> {
    let mut payload = vec![0; bytes.max(16)];
    payload[..8].copy_from_slice(&id.epoch.to_le_bytes());
    payload[8..16].copy_from_slice(&id.sequence.to_le_bytes());
    payload
}

/// The id that is encoded in a payload.
fn encoded_id(publisher: u64, payload: &[u8]) -> Option<EntryId> {
    let number = |from: usize| payload.get(from..from + 8)?.try_into().ok().map(u64::from_le_bytes);
    Some(EntryId { publisher, epoch: number(0)?, sequence: number(8)? })
}
