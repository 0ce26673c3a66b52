//! The baseline: the membership engine's own custom broadcasts, which ride on its gossip, at the same load on the same
//! network. Each item goes out a bounded number of times to random members; there is no order and no repair.

use super::scenario::{seconds, Load};
use super::topology::{address, place, Topology};
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

/// As in the program, but for answers that may take 400 ms.
const PROBE_EVERY: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);
const LARGEST: usize = 1_136;

/// What came of it.
#[derive(Clone, Debug)]
pub struct BaselineOutcome {
    /// From publishing until the last node that got it had it: the largest.
    pub largest_s: f64,
    /// The same, of half of the items.
    pub median_s: f64,
    /// Items that never came to some node.
    pub never: usize,
    /// Items that came before an earlier one, or after a later one.
    pub out_of_order: usize,
    /// The most that a node sent in a second.
    pub peak_1s: f64,
    /// The largest 5 s mean.
    pub peak_5s: f64,
    /// The mean.
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
#[error("not an item")]
struct NoItem;

/// What a node has got, with the order in which it came.
#[derive(Clone, Default)]
struct Got(Rc<RefCell<Vec<u64>>>, Rc<RefCell<BTreeSet<u64>>>);

impl BroadcastHandler<Node> for Got {
    type Key = ItemKey;
    type Error = NoItem;

    fn receive_item(&mut self, data: &[u8], _: Option<&Node>) -> Result<Option<ItemKey>, NoItem> {
        let number = data.get(..8).and_then(|bytes| bytes.try_into().ok()).map(u64::from_le_bytes);
        let number = number.ok_or(NoItem)?;
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

type Engine = Foca<Node, PostcardCodec, rand_engine::rngs::SmallRng, Got>;

struct Arm {
    topology: Topology,
    seed: u64,
    loss: f64,
    random: Xoshiro256PlusPlus,
    now: Micros,
    count: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    engines: Vec<Engine>,
    got: Vec<Got>,
    seen: Vec<usize>,
    published: BTreeMap<u64, Micros>,
    last: BTreeMap<u64, (Micros, usize)>,
    traffic: Traffic,
}

/// Runs a load.
pub fn run(load: &Load) -> BaselineOutcome {
    let mut arm = Arm::new(load);
    arm.run(5 * SECOND);
    let publisher = load.nodes / 2;
    let begun = arm.now;
    for number in 1..=load.entries() {
        arm.publish(publisher, number, load.entry_bytes);
        arm.run(SECOND / load.entries_per_second.max(1));
    }
    let ended = arm.now;
    arm.run(20 * SECOND);
    arm.judge(load, begun, ended)
}

impl Arm {
    fn new(load: &Load) -> Self {
        let got: Vec<Got> = (0..load.nodes).map(|_| Got::default()).collect();
        let engines = (0..load.nodes).map(|node| {
            let random = rand_engine::SeedableRng::seed_from_u64(load.seed << 32 | node as u64);
            let settings = settings(load.nodes);
            Foca::with_custom_broadcast(
                Node(address(node)),
                settings,
                random,
                PostcardCodec,
                got[node].clone(),
            )
        });
        let mut arm = Self {
            topology: Topology::default(),
            seed: load.seed,
            loss: load.loss,
            random: Xoshiro256PlusPlus::seed_from_u64(load.seed),
            now: 0,
            count: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            engines: engines.collect(),
            seen: vec![0; load.nodes],
            published: BTreeMap::new(),
            last: BTreeMap::new(),
            traffic: Traffic::new(load.nodes),
            got,
        };
        let all: Vec<foca::Member<Node>> =
            (0..load.nodes).map(|node| foca::Member::alive(Node(address(node)))).collect();
        for node in 0..load.nodes {
            let mut effects = Effects::default();
            // All know each other from the beginning.
            let _ = arm.engines[node].apply_many(all.iter().cloned(), false, &mut effects);
            arm.carry_out(node, effects);
        }
        arm
    }

    fn publish(&mut self, node: usize, number: u64, bytes: usize) {
        let mut item = vec![0; bytes.max(8)];
        item[..8].copy_from_slice(&number.to_le_bytes());
        self.published.insert(number, self.now);
        let _ = self.engines[node].add_broadcast(&item);
        let mut effects = Effects::default();
        let _ = self.engines[node].gossip(&mut effects);
        self.carry_out(node, effects);
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.queue.push(Reverse((at, self.count)));
    }

    fn run(&mut self, micros: Micros) {
        let end = self.now + micros;
        while self.queue.peek().is_some_and(|Reverse((at, _))| *at <= end) {
            let Some(Reverse((at, place))) = self.queue.pop() else { break };
            self.now = at;
            let mut effects = Effects::default();
            let node = match self.events.remove(&place) {
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
            self.carry_out(node, effects);
        }
        self.now = end;
    }

    fn carry_out(&mut self, node: usize, effects: Effects) {
        let new = self.got[node].0.borrow()[self.seen[node]..].to_vec();
        self.seen[node] += new.len();
        for number in new {
            let last = self.last.entry(number).or_insert((0, 0));
            *last = (self.now, last.1 + 1);
        }
        for (after, timer) in effects.timers {
            self.at(self.now + after.as_micros() as Micros, Event::Engine(node, timer));
        }
        for (to, data) in effects.sends {
            self.traffic.sent(self.now, node, data.len());
            let Some(to) = place(to.0).filter(|&to| to < self.engines.len()) else { continue };
            if self.random.random::<f64>() >= self.loss {
                let way = self.topology.way(self.seed, node, to, &mut self.random);
                self.at(self.now + way, Event::Datagram(to, data));
            }
        }
    }

    fn judge(&self, load: &Load, begun: Micros, ended: Micros) -> BaselineOutcome {
        // The publisher itself gets none of its own.
        let others = load.nodes - 1;
        let never = self.published.keys().filter(|number| self.last.get(number).is_none_or(|l| l.1 < others));
        let mut times: Vec<Micros> =
            self.last.iter().filter_map(|(number, (at, _))| Some(at - self.published.get(number)?)).collect();
        times.sort_unstable();
        let disordered = |got: &Got| got.0.borrow().windows(2).filter(|pair| pair[1] < pair[0]).count();
        BaselineOutcome {
            largest_s: seconds(times.last().copied().unwrap_or(0)),
            median_s: seconds(times.get(times.len() / 2).copied().unwrap_or(0)),
            never: never.count(),
            out_of_order: self.got.iter().map(disordered).sum(),
            peak_1s: self.traffic.largest(begun, SECOND),
            peak_5s: self.traffic.largest(begun, 5 * SECOND),
            mean: self.traffic.mean(begun, ended),
        }
    }
}

/// As the program sets the engine in a cluster of so many.
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
        max_packet_size: number(LARGEST),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(foca::PeriodicParams {
            frequency: Duration::from_millis(200),
            num_members: number(3),
        }),
    }
}
