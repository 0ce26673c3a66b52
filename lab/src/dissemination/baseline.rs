//! The baseline: custom broadcasts of the membership library (foca), piggybacked on its gossip, at the same load on the same
//! network. Each item is sent a bounded number of times to random members, without ordering or repair.

use super::scenario::{seconds, Load};
use super::topology::{address, node_index, Topology};
use super::traffic::Traffic;
use crate::model::{Micros, SECOND};
use foca::{BroadcastHandler, Foca, Invalidates, Notification, PostcardCodec, Runtime, Timer};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// As in walkpick, except that the timeout allows for responses that take 400 ms.
const PROBE_EVERY: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);
const MAX_DATAGRAM_BYTES: usize = 1_136;

/// Outcome of a load.
#[derive(Clone, Debug)]
pub struct BaselineOutcome {
    /// Largest time from publishing an item to its last delivery.
    pub largest_s: f64,
    /// Median over items of the same time.
    pub median_s: f64,
    /// Items that did not reach every node.
    pub incomplete: usize,
    /// Deliveries of an item directly after a later one, summed over nodes.
    pub out_of_order: usize,
    /// Peak bytes sent by any node in 1 s.
    pub peak_1s: f64,
    /// Peak bytes per second sent by any node over 5 s.
    pub peak_5s: f64,
    /// Mean bytes per second sent by a node.
    pub mean: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
struct Node(SocketAddr);

impl foca::Identity for Node {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> SocketAddr {
        self.0
    }

    fn win_addr_conflict(&self, _: &Self) -> bool {
        false
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ItemKey(u64);

impl Invalidates for ItemKey {
    fn invalidates(&self, other: &Self) -> bool {
        self == other
    }
}

#[derive(Debug, thiserror::Error)]
#[error("broadcast item is shorter than 8 bytes")]
struct InvalidItem;

/// Items that a node has received: in order of arrival, and as a set.
#[derive(Clone, Default)]
struct ReceivedItems(Rc<RefCell<Vec<u64>>>, Rc<RefCell<BTreeSet<u64>>>);

impl BroadcastHandler<Node> for ReceivedItems {
    type Key = ItemKey;
    type Error = InvalidItem;

    fn receive_item(&mut self, data: &[u8], _: Option<&Node>) -> Result<Option<ItemKey>, InvalidItem> {
        let number = data.get(..8).and_then(|bytes| bytes.try_into().ok()).map(u64::from_le_bytes);
        let number = number.ok_or(InvalidItem)?;
        if !self.1.borrow_mut().insert(number) {
            return Ok(None);
        }
        self.0.borrow_mut().push(number);
        Ok(Some(ItemKey(number)))
    }
}

#[derive(Default)]
struct Effects {
    sends: Vec<(Node, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Node>)>,
}

impl Runtime<Node> for Effects {
    fn notify(&mut self, _: Notification<'_, Node>) {}

    fn send_to(&mut self, to: Node, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Node>, after: Duration) {
        self.timers.push((after, event));
    }
}

enum Event {
    Datagram(usize, Vec<u8>),
    Engine(usize, Timer<Node>),
}

type Engine = Foca<Node, PostcardCodec, rand_engine::rngs::SmallRng, ReceivedItems>;

struct BaselineRun {
    topology: Topology,
    seed: u64,
    loss: f64,
    random: Xoshiro256PlusPlus,
    now: Micros,
    scheduled: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    engines: Vec<Engine>,
    received: Vec<ReceivedItems>,
    recorded: Vec<usize>,
    published: BTreeMap<u64, Micros>,
    last: BTreeMap<u64, (Micros, usize)>,
    traffic: Traffic,
}

/// Runs a load.
pub fn run(load: &Load) -> BaselineOutcome {
    let mut run = BaselineRun::new(load);
    run.run(5 * SECOND);
    let publisher = load.nodes / 2;
    let started_at = run.now;
    for number in 1..=load.entries() {
        run.publish(publisher, number, load.entry_bytes);
        run.run(SECOND / load.entries_per_second.max(1));
    }
    let ended_at = run.now;
    run.run(20 * SECOND);
    run.outcome(load, started_at, ended_at)
}

impl BaselineRun {
    fn new(load: &Load) -> Self {
        let received: Vec<ReceivedItems> = (0..load.nodes).map(|_| ReceivedItems::default()).collect();
        let engines = (0..load.nodes).map(|node| {
            let random = rand_engine::SeedableRng::seed_from_u64(load.seed << 32 | node as u64);
            let settings = settings(load.nodes);
            Foca::with_custom_broadcast(
                Node(address(node)),
                settings,
                random,
                PostcardCodec,
                received[node].clone(),
            )
        });
        let mut run = Self {
            topology: Topology::default(),
            seed: load.seed,
            loss: load.loss,
            random: Xoshiro256PlusPlus::seed_from_u64(load.seed),
            now: 0,
            scheduled: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            engines: engines.collect(),
            recorded: vec![0; load.nodes],
            published: BTreeMap::new(),
            last: BTreeMap::new(),
            traffic: Traffic::new(load.nodes),
            received,
        };
        let all: Vec<foca::Member<Node>> =
            (0..load.nodes).map(|node| foca::Member::alive(Node(address(node)))).collect();
        for node in 0..load.nodes {
            let mut effects = Effects::default();
            // All nodes know each other from the beginning.
            let _ = run.engines[node].apply_many(all.iter().cloned(), false, &mut effects);
            run.apply_effects(node, effects);
        }
        run
    }

    fn publish(&mut self, node: usize, number: u64, bytes: usize) {
        let mut item = vec![0; bytes.max(8)];
        item[..8].copy_from_slice(&number.to_le_bytes());
        self.published.insert(number, self.now);
        let _ = self.engines[node].add_broadcast(&item);
        let mut effects = Effects::default();
        let _ = self.engines[node].gossip(&mut effects);
        self.apply_effects(node, effects);
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.events.insert(self.scheduled, event);
        self.queue.push(Reverse((at, self.scheduled)));
    }

    fn run(&mut self, micros: Micros) {
        let end = self.now + micros;
        while self.queue.peek().is_some_and(|Reverse((at, _))| *at <= end) {
            let Some(Reverse((at, event_id))) = self.queue.pop() else { break };
            self.now = at;
            let mut effects = Effects::default();
            let node = match self.events.remove(&event_id) {
                Some(Event::Datagram(node, data)) => {
                    let _ = self.engines[node].handle_data(&data, &mut effects);
                    node
                }
                Some(Event::Engine(node, timer)) => {
                    let _ = self.engines[node].handle_timer(timer, &mut effects);
                    node
                }
                None => continue,
            };
            self.apply_effects(node, effects);
        }
        self.now = end;
    }

    fn apply_effects(&mut self, node: usize, effects: Effects) {
        let new = self.received[node].0.borrow()[self.recorded[node]..].to_vec();
        self.recorded[node] += new.len();
        for number in new {
            let last = self.last.entry(number).or_insert((0, 0));
            *last = (self.now, last.1 + 1);
        }
        for (after, timer) in effects.timers {
            self.schedule(self.now + after.as_micros() as Micros, Event::Engine(node, timer));
        }
        for (to, data) in effects.sends {
            self.traffic.sent(self.now, node, data.len());
            let Some(to) = node_index(to.0).filter(|&to| to < self.engines.len()) else { continue };
            if self.random.random::<f64>() >= self.loss {
                let latency = self.topology.latency(self.seed, node, to, &mut self.random);
                self.schedule(self.now + latency, Event::Datagram(to, data));
            }
        }
    }

    fn outcome(&self, load: &Load, started_at: Micros, ended_at: Micros) -> BaselineOutcome {
        // The publisher does not receive its own items.
        let others = load.nodes - 1;
        let incomplete =
            self.published.keys().filter(|number| self.last.get(number).is_none_or(|l| l.1 < others));
        let mut times: Vec<Micros> =
            self.last.iter().filter_map(|(number, (at, _))| Some(at - self.published.get(number)?)).collect();
        times.sort_unstable();
        let out_of_order = |received: &ReceivedItems| {
            received.0.borrow().windows(2).filter(|pair| pair[1] < pair[0]).count()
        };
        BaselineOutcome {
            largest_s: seconds(times.last().copied().unwrap_or(0)),
            median_s: seconds(times.get(times.len() / 2).copied().unwrap_or(0)),
            incomplete: incomplete.count(),
            out_of_order: self.received.iter().map(out_of_order).sum(),
            peak_1s: self.traffic.peak_rate(started_at, SECOND),
            peak_5s: self.traffic.peak_rate(started_at, 5 * SECOND),
            mean: self.traffic.mean_rate(started_at, ended_at),
        }
    }
}

/// The library settings that walkpick uses in a cluster of this size.
fn settings(nodes: usize) -> foca::Config {
    let number = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let transmissions = (3.0 * (nodes.max(2) as f64).log2().max(2.0)).min(64.0) as u8;
    foca::Config {
        probe_period: PROBE_EVERY,
        probe_rtt: PROBE_TIMEOUT,
        num_indirect_probes: number(3),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_secs(10),
        remove_down_after: Some(Duration::from_secs(600)),
        max_packet_size: number(MAX_DATAGRAM_BYTES),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(foca::PeriodicParams {
            frequency: Duration::from_millis(200),
            num_members: number(3),
        }),
    }
}
