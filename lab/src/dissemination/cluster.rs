//! Any number of the program's dissemination cores in simulated time. The membership is a stand-in: it knows what happens
//! and tells each node of it after the times that `docs/membership.md` measures.

use super::ledger::{EntryId, Ledger, Subscriber};
use super::topology::{address, place, Topology};
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

/// What a node may send for control in a second.
pub const BUDGET: u32 = 16_384;
/// Of a budget, the rate and the depth of its bucket: together no second passes the whole.
const RATE: u32 = BUDGET / 4 * 3;
const DEPTH: u32 = BUDGET / 4;
/// From a death without a word until others know, at the least and at the most.
const KNOWN_GONE: (Micros, Micros) = (3_500_000, 4_800_000);
/// From a farewell, or a start, until others know.
const KNOWN_SOON: (Micros, Micros) = (200_000, 700_000);
/// From the end of a cut until others are seen again.
const KNOWN_BACK: (Micros, Micros) = (1_000_000, 3_000_000);
/// Datagrams that a socket's queue holds for a process that stands still.
const QUEUE: usize = 256;
/// What one that is reordered is late.
const REORDERED: Micros = 50_000;
/// The kind of the state that tests publish.
pub const STATE: u16 = 1;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Datagram { from: SocketAddr, to: usize, data: Rc<Vec<u8>> },
    Timers { node: usize, life: u32 },
    Present { observer: usize, of: usize, identity: u32 },
    Gone { observer: usize, of: usize, identity: u32 },
}

struct Node {
    core: Option<Dissemination>,
    budget: ByteBudget,
    /// Counts starts of its process.
    life: u32,
    /// Counts identities: a process that comes back after it was declared gone has another one.
    identity: u32,
    /// Whose name it bears: its own, or that of one that it takes the place of.
    bears: usize,
    paused: Option<Vec<(SocketAddr, Rc<Vec<u8>>)>>,
    group: u32,
    slow: Micros,
    wakes: Option<Micros>,
    started_at: Micros,
}

/// An acknowledgement that a publisher's core told, and whether it was true.
#[derive(Clone, Debug, PartialEq)]
pub struct Word {
    /// When.
    pub at: Micros,
    /// The publisher's node.
    pub node: usize,
    /// What it told.
    pub output: DisseminationOutput,
}

/// A version that came into force at a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// When.
    pub at: Micros,
    /// Where.
    pub node: usize,
    /// The epoch.
    pub epoch: u64,
    /// The version.
    pub version: u64,
    /// Whether all of it was there.
    pub whole: bool,
}

/// Cores and the network between them.
pub struct Cluster {
    topology: Topology,
    config: DisseminationConfig,
    seed: u64,
    random: Xoshiro256PlusPlus,
    now: Micros,
    count: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Next)>>,
    nodes: Vec<Node>,
    /// What every link does.
    pub way: Impairment,
    /// What came of it.
    pub ledger: Ledger,
    /// Bytes of all nodes.
    pub traffic: Traffic,
    /// Words of publishers' cores.
    pub words: Vec<Word>,
    /// Acknowledgements that were false: somebody who was present and seen had not applied.
    pub false_words: Vec<Word>,
    /// Versions that came into force.
    pub in_force: Vec<InForce>,
    /// Nodes that refuse every version.
    pub refusing: Vec<usize>,
    /// Nodes that said that they were stale.
    pub stale: Vec<(Micros, usize)>,
    /// Bytes between regions.
    pub bytes_between_regions: u64,
    /// Bytes in all.
    pub bytes: u64,
}

impl Cluster {
    /// So many places, with nobody started.
    pub fn new(topology: Topology, nodes: usize, seed: u64) -> Self {
        let place = |bears| Node {
            core: None,
            budget: ByteBudget::new(RATE, DEPTH, 0),
            life: 0,
            identity: 0,
            bears,
            paused: None,
            group: 0,
            slow: 0,
            wakes: None,
            started_at: 0,
        };
        Self {
            topology,
            config: DisseminationConfig::default(),
            seed,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: 0,
            count: 0,
            queue: BinaryHeap::new(),
            nodes: (0..nodes).map(place).collect(),
            way: Impairment::default(),
            ledger: Ledger::default(),
            traffic: Traffic::new(nodes),
            words: Vec::new(),
            false_words: Vec::new(),
            in_force: Vec::new(),
            refusing: Vec::new(),
            stale: Vec::new(),
            bytes_between_regions: 0,
            bytes: 0,
        }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Where nodes stand.
    pub fn topology(&self) -> Topology {
        self.topology
    }

    /// How many places there are.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there is no place.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Whether a process runs there, paused or not.
    pub fn alive(&self, node: usize) -> bool {
        self.nodes[node].core.is_some()
    }

    /// The key that a node publishes under.
    pub fn key(&self, node: usize) -> u64 {
        self.member(node).key
    }

    /// Whose subscriber a node's present life is, for a publisher's entries.
    pub fn subscriber(&self, node: usize, publisher: u64) -> Subscriber {
        Subscriber { node, life: self.nodes[node].life, publisher }
    }

    /// A node's core.
    pub fn core(&self, node: usize) -> Option<&Dissemination> {
        self.nodes[node].core.as_ref()
    }

    /// The sums of all nodes' counters; `max_queued` is the largest.
    pub fn counters(&self) -> DisseminationCounters {
        let mut all = DisseminationCounters::default();
        let cores = self.nodes.iter().filter_map(|node| node.core.as_ref());
        cores.map(Dissemination::counters).for_each(|one| all.add(&one));
        all
    }

    /// Starts all, who know each other at once.
    pub fn start_all(&mut self) {
        let nodes = self.nodes.len();
        (0..nodes).for_each(|node| self.start_alone(node));
        let members: Vec<Member> = (0..nodes).map(|node| self.member(node)).collect();
        for node in &mut self.nodes {
            let Some(core) = &mut node.core else { continue };
            members.iter().for_each(|member| core.member_present(*member));
        }
    }

    /// Starts a node, or starts it anew; others learn of it by and by, and it of them.
    pub fn start(&mut self, node: usize) {
        self.start_alone(node);
        for other in (0..self.nodes.len()).filter(|&other| other != node) {
            if self.alive(other) && self.nodes[other].group == self.nodes[node].group {
                self.tell_present(other, node, KNOWN_SOON);
                self.tell_present(node, other, KNOWN_SOON);
            }
        }
    }

    /// Starts a node that takes the place, and the name, of another one.
    pub fn start_in_place_of(&mut self, node: usize, other: usize) {
        self.nodes[node].bears = other;
        self.start(node);
    }

    fn start_alone(&mut self, node: usize) {
        let now = self.now;
        let held = &mut self.nodes[node];
        held.life += 1;
        held.identity += 1;
        (held.paused, held.wakes, held.started_at) = (None, None, now);
        held.budget = ByteBudget::new(RATE, DEPTH, now);
        let draw =
            draw::unit(self.seed, Stream::DiscoveryUpdates, (node as u64) << 32 | u64::from(held.life));
        let member = self.member(node);
        self.nodes[node].core = Some(Dissemination::new(self.config.clone(), member, draw.to_bits(), now));
        self.wake(node);
    }

    /// Ends a process without a word.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].core = None;
        self.tell_all_gone(node, KNOWN_GONE);
    }

    /// Ends a process that says farewell.
    pub fn leave(&mut self, node: usize) {
        self.nodes[node].core = None;
        self.tell_all_gone(node, KNOWN_SOON);
    }

    /// A process stands still.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused.get_or_insert_default();
        self.tell_all_gone(node, KNOWN_GONE);
    }

    /// It goes on, first with what waited in its socket. Others had declared it gone: it comes back under another
    /// identity.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].identity += 1;
        let member = self.member(node);
        let waiting = self.nodes[node].paused.take().unwrap_or_default();
        for (from, data) in waiting {
            self.hand_over(from, node, data);
        }
        if let Some(core) = &mut self.nodes[node].core {
            core.rejoined(member);
        }
        self.nodes[node].wakes = None;
        self.timers(node);
        for other in (0..self.nodes.len()).filter(|&other| other != node) {
            if self.alive(other) {
                self.tell_present(other, node, KNOWN_SOON);
            }
        }
    }

    /// A process that stood still goes on, while another one has taken its name: nobody sees it as present.
    pub fn resume_unseen(&mut self, node: usize) {
        let waiting = self.nodes[node].paused.take().unwrap_or_default();
        for (from, data) in waiting {
            self.hand_over(from, node, data);
        }
        self.nodes[node].wakes = None;
        self.timers(node);
    }

    /// All that a node sends and gets takes so much longer.
    pub fn slow(&mut self, node: usize, by: Micros) {
        self.nodes[node].slow = by;
    }

    /// Nodes reach those of their own group alone; they lose sight of the others.
    pub fn cut(&mut self, group: impl Fn(usize) -> u32) {
        self.nodes.iter_mut().enumerate().for_each(|(node, held)| held.group = group(node));
        for node in 0..self.nodes.len() {
            for other in (0..self.nodes.len()).filter(|&other| group(other) != group(node)) {
                self.tell_gone(other, node, KNOWN_GONE);
            }
        }
    }

    /// All reach all again.
    pub fn heal(&mut self) {
        let groups: Vec<u32> = self.nodes.iter().map(|node| node.group).collect();
        self.nodes.iter_mut().for_each(|node| node.group = 0);
        for node in 0..self.nodes.len() {
            for other in (0..self.nodes.len()).filter(|&other| groups[other] != groups[node]) {
                self.tell_present(other, node, KNOWN_BACK);
            }
        }
    }

    /// Opens a node's log. `record`: entries of earlier epochs that are to be sent again.
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
        self.carry_out(node, out);
        self.wake(node);
        opened
    }

    /// Publishes an entry of this payload's length, which says what it is.
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
        let held = &mut self.nodes[node];
        let Some(core) = &mut held.core else { return Err(PublishError::NotOpen) };
        let published = core.publish_log(now, 0, 1, payload(id, bytes), &mut out)?;
        core.flush(now, &mut held.budget, &mut out);
        if published == sequence {
            self.ledger.published(now, id);
        }
        self.carry_out(node, out);
        self.wake(node);
        Ok(published)
    }

    /// Publishes a version of a state.
    pub fn publish_state(&mut self, node: usize, bytes: usize) -> Result<u64, PublishError> {
        let now = self.now;
        let mut out = Vec::new();
        let held = &mut self.nodes[node];
        let Some(core) = &mut held.core else { return Err(PublishError::NotOpen) };
        let version = core.publish_state(now, STATE, 1, vec![7; bytes], &mut out)?;
        core.flush(now, &mut held.budget, &mut out);
        self.carry_out(node, out);
        self.wake(node);
        Ok(version)
    }

    /// Hands a node some bytes, as from somewhere.
    pub fn inject(&mut self, from: SocketAddr, node: usize, data: Vec<u8>) {
        self.hand_over(from, node, Rc::new(data));
    }

    /// Runs on for so long.
    pub fn run(&mut self, micros: Micros) {
        let end = self.now + micros;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, next))) = self.queue.pop() else { break };
            self.now = at;
            match next {
                Next::Datagram { from, to, data } => self.hand_over(from, to, data),
                Next::Timers { node, life } => {
                    if self.nodes[node].life == life && self.nodes[node].wakes == Some(at) {
                        self.nodes[node].wakes = None;
                        self.timers(node);
                    }
                }
                Next::Present { observer, of, identity } => self.present(observer, of, identity),
                Next::Gone { observer, of, identity } => self.gone(observer, of, identity),
            }
        }
        self.now = end;
    }

    /// Runs until `done`, looking twenty times a second; how long that took, or none within `limit`.
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

    /// Whether every node that runs has delivered a publisher's log up to this entry.
    pub fn all_have(&self, publisher: u64, sequence: u64) -> bool {
        let running =
            self.nodes.iter().filter(|node| node.paused.is_none()).filter_map(|node| node.core.as_ref());
        running.into_iter().all(|core| core.last_delivered(publisher) >= Some(sequence))
    }

    /// Whether every node that runs has this version of the publisher's state in force.
    pub fn all_in_force(&self, publisher: u64, epoch: u64, version: u64) -> bool {
        let key = StateKey { publisher, kind: STATE };
        let running = self.nodes.iter().filter_map(|node| node.core.as_ref());
        running.into_iter().all(|core| {
            core.applied_state(key).is_some_and(|entry| (entry.epoch, entry.sequence) == (epoch, version))
        })
    }

    /// An entry as a publisher's record keeps it.
    pub fn entry(&self, node: usize, epoch: u64, sequence: u64, bytes: usize) -> Entry {
        let id = EntryId { publisher: self.key(node), epoch, sequence };
        Entry { epoch, sequence, kind: 0, schema: 1, payload: payload(id, bytes), extension: Vec::new() }
    }

    /// The nodes by how many others lie below them in a publisher's tree, the most first, the publisher apart.
    pub fn relays(&self, publisher: usize) -> Vec<usize> {
        let members: Vec<Member> = (0..self.nodes.len()).map(|node| self.member(node)).collect();
        let tree = Tree::new(&members, self.key(publisher), &BTreeSet::new());
        let mut nodes: Vec<usize> = (0..members.len()).filter(|&node| node != publisher).collect();
        nodes.sort_by_cached_key(|&node| Reverse(tree.subtree(node).len()));
        nodes
    }

    fn member(&self, node: usize) -> Member {
        let held = &self.nodes[node];
        let own = self.topology.member(node, held.identity);
        let borne = self.topology.member(held.bears, 0);
        Member { key: borne.key, ..own }
    }

    fn tell_present(&mut self, observer: usize, of: usize, within: (Micros, Micros)) {
        let at = self.now + self.random.random_range(within.0..within.1);
        let identity = self.nodes[of].identity;
        self.at(at, Next::Present { observer, of, identity });
    }

    fn tell_gone(&mut self, observer: usize, of: usize, within: (Micros, Micros)) {
        let at = self.now + self.random.random_range(within.0..within.1);
        let identity = self.nodes[of].identity;
        self.at(at, Next::Gone { observer, of, identity });
    }

    fn tell_all_gone(&mut self, node: usize, within: (Micros, Micros)) {
        for other in (0..self.nodes.len()).filter(|&other| other != node) {
            if self.alive(other) {
                self.tell_gone(other, node, within);
            }
        }
    }

    fn present(&mut self, observer: usize, of: usize, identity: u32) {
        let current = self.nodes[of].identity == identity && self.nodes[of].core.is_some();
        if !current || self.nodes[of].group != self.nodes[observer].group {
            return;
        }
        let member = self.member(of);
        if let Some(core) = &mut self.nodes[observer].core {
            core.member_present(member);
        }
    }

    fn gone(&mut self, observer: usize, of: usize, identity: u32) {
        let own = self.topology.member(of, identity);
        let member = Member { key: self.key(of), ..own };
        let cut = self.nodes[of].group != self.nodes[observer].group;
        let away = self.nodes[of].core.is_none() || self.nodes[of].paused.is_some();
        let older = self.nodes[of].identity != identity;
        if let Some(core) = self.nodes[observer].core.as_mut().filter(|_| cut || away || older) {
            core.member_removed(&member);
        }
    }

    fn timers(&mut self, node: usize) {
        if self.nodes[node].paused.is_some() {
            return;
        }
        let mut out = Vec::new();
        let held = &mut self.nodes[node];
        if let Some(core) = &mut held.core {
            core.run_timers(self.now, &mut held.budget, &mut out);
        }
        self.carry_out(node, out);
        self.wake(node);
    }

    fn wake(&mut self, node: usize) {
        let held = &mut self.nodes[node];
        let Some(at) = held.core.as_ref().map(Dissemination::next_timeout) else { return };
        let at = at.max(self.now);
        if held.paused.is_some() || held.wakes.is_some_and(|wakes| wakes <= at) {
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

    fn hand_over(&mut self, from: SocketAddr, node: usize, data: Rc<Vec<u8>>) {
        let held = &mut self.nodes[node];
        if let Some(waiting) = &mut held.paused {
            if waiting.len() < QUEUE {
                waiting.push((from, data));
            }
            return;
        }
        let mut out = Vec::new();
        if let Some(core) = &mut held.core {
            core.receive(self.now, from, &data, &mut held.budget, &mut out);
        }
        self.carry_out(node, out);
        self.wake(node);
    }

    fn carry_out(&mut self, node: usize, out: Vec<DisseminationOutput>) {
        for output in out {
            match output {
                DisseminationOutput::Send { to, data } => self.send(node, to, data),
                DisseminationOutput::Deliver { publisher, entry } => self.deliver(node, publisher, &entry),
                DisseminationOutput::LogReset { publisher, after, through } => {
                    let subscriber = self.subscriber(node, publisher);
                    self.ledger.reset(self.now, subscriber, after, through);
                }
                DisseminationOutput::EpochChanged { publisher, first, .. } => {
                    self.ledger.epoch_changed(self.subscriber(node, publisher), first);
                }
                DisseminationOutput::StateOffered { publisher, entry } => self.judge(node, publisher, &entry),
                DisseminationOutput::StateApplied { entry, .. } => {
                    let whole = entry.payload.iter().all(|&byte| byte == 7);
                    let (epoch, version) = (entry.epoch, entry.sequence);
                    self.in_force.push(InForce { at: self.now, node, epoch, version, whole });
                }
                DisseminationOutput::Stale { .. } => self.stale.push((self.now, node)),
                told => self.word(node, told),
            }
        }
    }

    fn deliver(&mut self, node: usize, publisher: u64, entry: &Entry) {
        let id = EntryId { publisher, epoch: entry.epoch, sequence: entry.sequence };
        let subscriber = self.subscriber(node, publisher);
        self.ledger.delivered(self.now, subscriber, id, says(publisher, &entry.payload));
    }

    fn judge(&mut self, node: usize, publisher: u64, entry: &Entry) {
        let verdict = match self.refusing.contains(&node) {
            true => Err(format!("node {node} does not take it")),
            false => Ok(()),
        };
        let key = StateKey { publisher, kind: entry.kind };
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.decide_state(key, entry.epoch, entry.sequence, verdict, &mut out);
        }
        self.carry_out(node, out);
    }

    fn word(&mut self, node: usize, output: DisseminationOutput) {
        let word = Word { at: self.now, node, output };
        if let DisseminationOutput::Acknowledged { channel, sequence, .. } = word.output {
            if !self.is_true(node, channel, sequence) {
                self.false_words.push(word.clone());
            }
        }
        self.words.push(word);
    }

    /// Whether all that the publisher's node sees as present, in the life that it sees, have applied it.
    fn is_true(&self, node: usize, channel: Channel, sequence: u64) -> bool {
        let publisher = self.key(node);
        let Some(seen) = self.nodes[node].core.as_ref().map(Dissemination::members) else { return false };
        let applied = |core: &Dissemination| match channel {
            Channel::Log => core.last_delivered(publisher) >= Some(sequence),
            Channel::State(kind) => core
                .applied_state(StateKey { publisher, kind })
                .is_some_and(|entry| entry.sequence >= sequence),
        };
        // One that has ended, or begun another life, since is nobody's claim.
        let lives = seen.iter().filter_map(|member| {
            let held = &self.nodes[place(member.address)?];
            held.core.as_ref().filter(|core| core.me().id == member.id)
        });
        lives.into_iter().all(applied)
    }

    fn send(&mut self, node: usize, to: SocketAddr, data: Vec<u8>) {
        let bytes = data.len() + self.config.overhead_bytes;
        self.traffic.sent(self.now, node, bytes);
        self.bytes += bytes as u64;
        let Some(to) = place(to).filter(|&to| to < self.nodes.len()) else { return };
        let between = self.topology.region(node) != self.topology.region(to);
        if between {
            self.bytes_between_regions += bytes as u64;
        }
        let cut = self.nodes[node].group != self.nodes[to].group || self.way.silent;
        if cut || self.random.random::<f64>() < self.way.loss {
            return;
        }
        let data = Rc::new(data);
        let copies = 1 + u32::from(self.random.random::<f64>() < self.way.duplicate);
        for _ in 0..copies {
            let way = self.topology.way(self.seed, node, to, &mut self.random);
            let late = if self.random.random::<f64>() < self.way.reorder { REORDERED } else { 0 };
            let slow = self.nodes[node].slow + self.nodes[to].slow;
            let next = Next::Datagram { from: address(node), to, data: Rc::clone(&data) };
            self.at(self.now + way + late + slow, next);
        }
    }
}

/// A payload that says which entry it is.
fn payload(id: EntryId, bytes: usize) -> Vec<u8> {
    let mut payload = vec![0; bytes.max(16)];
    payload[..8].copy_from_slice(&id.epoch.to_le_bytes());
    payload[8..16].copy_from_slice(&id.sequence.to_le_bytes());
    payload
}

/// What a payload says that it is.
fn says(publisher: u64, payload: &[u8]) -> Option<EntryId> {
    let number = |from: usize| payload.get(from..from + 8)?.try_into().ok().map(u64::from_le_bytes);
    Some(EntryId { publisher, epoch: number(0)?, sequence: number(8)? })
}
