//! The network between hollow nodes: delay, loss and partitions are applied on the sender's side, before the datagram
//! is sent. For datagrams of complete nodes they are applied on the receiver's side, because the lab does not control
//! their sockets.

use super::clock::Clock;
use super::places::{Map, Place};
use super::protocol::{Begin, Micros};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, Notify};
use tokio::task::yield_now;
use tokio::time::sleep_until;

/// Limit of delayed datagrams per process; more are dropped and make the run void.
const MAX_DELAYED: usize = 200_000;
/// Deliveries after which the nodes of the process get a turn.
const DELIVERIES_PER_TURN: u32 = 64;

/// A delayed action.
enum Delivery {
    /// Send a hollow node's datagram.
    Send { socket: Rc<UdpSocket>, to: SocketAddr },
    /// Pass a datagram from a complete node to the receiving node.
    Receive { inbox: mpsc::UnboundedSender<Vec<u8>> },
}

struct Delayed {
    at: Micros,
    order: u64,
    delivery: Delivery,
    data: Vec<u8>,
}

impl PartialEq for Delayed {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Delayed {}
impl PartialOrd for Delayed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Delayed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Counters of datagrams that were not delivered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Undelivered {
    /// Lost at random or between partitioned regions.
    pub lost: u64,
    /// Dropped because too many datagrams were delayed.
    pub overflowed: u64,
    /// Rejected by the system on sending.
    pub refused: u64,
}

/// The network as seen by one process.
pub struct Network {
    clock: Clock,
    map: Map,
    loss: f64,
    /// Places of nodes, by advertised address.
    by_advertised: HashMap<SocketAddr, Place>,
    /// Places of complete nodes, by the source address of their datagrams.
    complete_by_source: HashMap<SocketAddr, Place>,
    cut: RefCell<BTreeSet<usize>>,
    random: RefCell<Xoshiro256PlusPlus>,
    delayed: RefCell<BinaryHeap<Reverse<Delayed>>>,
    order: Cell<u64>,
    earlier_delivery: Notify,
    undelivered: Cell<Undelivered>,
}

impl Network {
    /// Creates the network of a run. `stream`: gives each process of a run its own random numbers.
    pub fn new(begin: &Begin, clock: Clock, stream: u64) -> Self {
        let hollow =
            begin.addresses.iter().enumerate().map(|(node, address)| (*address, begin.map.place(node)));
        // All complete nodes share the place of node 0.
        let complete_place = begin.map.place(0);
        let by_advertised = hollow.chain(begin.complete.iter().map(|node| (node.advertise, complete_place)));
        Self {
            clock,
            map: begin.map,
            loss: begin.loss,
            by_advertised: by_advertised.collect(),
            complete_by_source: begin.complete.iter().map(|node| (node.source, complete_place)).collect(),
            cut: RefCell::default(),
            random: RefCell::new(Xoshiro256PlusPlus::seed_from_u64(begin.seed ^ stream << 32)),
            delayed: RefCell::default(),
            order: Cell::new(0),
            earlier_delivery: Notify::new(),
            undelivered: Cell::default(),
        }
    }

    /// Partitions a region from all others, or reconnects it.
    pub fn set_region_cut(&self, region: usize, is_cut: bool) {
        let mut cut = self.cut.borrow_mut();
        if is_cut {
            cut.insert(region);
        } else {
            cut.remove(&region);
        }
    }

    /// Whether a datagram is delivered at all; counts those that are not.
    fn passes(&self, from: Place, to: Place) -> bool {
        let cut = self.cut.borrow();
        let separated = from.region != to.region && (cut.contains(&from.region) || cut.contains(&to.region));
        let passes = !separated && self.random.borrow_mut().random::<f64>() >= self.loss;
        if !passes {
            self.count(|undelivered| undelivered.lost += 1);
        }
        passes
    }

    fn count(&self, change: impl FnOnce(&mut Undelivered)) {
        let mut undelivered = self.undelivered.get();
        change(&mut undelivered);
        self.undelivered.set(undelivered);
    }

    /// Sends a datagram from a node's socket, after its delay.
    pub fn send(&self, from: Place, socket: &Rc<UdpSocket>, to: SocketAddr, data: Vec<u8>) {
        // Unknown destinations, such as observers, are reached without delay or loss.
        let Some(place) = self.by_advertised.get(&to) else { return self.send_now(socket, to, &data) };
        if !self.passes(from, *place) {
            return;
        }
        let delay = self.map.delay(from, *place);
        if delay.is_zero() {
            return self.send_now(socket, to, &data);
        }
        let at = self.clock.now() + delay.as_micros() as Micros;
        self.schedule(at, Delivery::Send { socket: socket.clone(), to }, data);
    }

    fn send_now(&self, socket: &UdpSocket, to: SocketAddr, data: &[u8]) {
        // A datagram that cannot be sent at once is lost, as in a complete node.
        if socket.try_send_to(data, to).is_err() {
            self.count(|undelivered| undelivered.refused += 1);
        }
    }

    /// Filters a datagram that a node received. Returns `true` if it is to be handled now, as are those of hollow
    /// nodes, which have been delayed by the sender. A datagram of a complete node may be lost, or reach `inbox` later.
    pub fn filter_received(
        &self,
        at: Place,
        source: SocketAddr,
        data: &[u8],
        inbox: &mpsc::UnboundedSender<Vec<u8>>,
    ) -> bool {
        let Some(from) = self.complete_by_source.get(&source) else { return true };
        if !self.passes(*from, at) {
            return false;
        }
        let delay = self.map.delay(*from, at);
        if delay.is_zero() {
            return true;
        }
        let due = self.clock.now() + delay.as_micros() as Micros;
        self.schedule(due, Delivery::Receive { inbox: inbox.clone() }, data.to_vec());
        false
    }

    fn schedule(&self, at: Micros, delivery: Delivery, data: Vec<u8>) {
        let mut delayed = self.delayed.borrow_mut();
        if delayed.len() >= MAX_DELAYED {
            return self.count(|undelivered| undelivered.overflowed += 1);
        }
        let is_earliest = delayed.peek().is_none_or(|Reverse(first)| at < first.at);
        self.order.set(self.order.get() + 1);
        delayed.push(Reverse(Delayed { at, order: self.order.get(), delivery, data }));
        if is_earliest {
            self.earlier_delivery.notify_one();
        }
    }

    /// Delivers what is due, for as long as the process runs. `record_lateness` receives the lateness of each delivery.
    pub async fn deliver(&self, record_lateness: impl Fn(Micros)) {
        let mut delivered = 0;
        loop {
            let next = self.delayed.borrow().peek().map(|Reverse(first)| first.at);
            let now = self.clock.now();
            match next {
                Some(at) if at <= now => {
                    let due = self.delayed.borrow_mut().pop();
                    let Some(Reverse(due)) = due else { continue };
                    record_lateness(now - at);
                    self.deliver_one(due);
                    delivered += 1;
                    if delivered % DELIVERIES_PER_TURN == 0 {
                        yield_now().await;
                    }
                }
                Some(at) => tokio::select! {
                    () = sleep_until(self.clock.instant_at(at)) => {}
                    () = self.earlier_delivery.notified() => {}
                },
                None => self.earlier_delivery.notified().await,
            }
        }
    }

    fn deliver_one(&self, due: Delayed) {
        match due.delivery {
            Delivery::Send { socket, to } => self.send_now(&socket, to, &due.data),
            // The receiving node may have ended.
            Delivery::Receive { inbox } => drop(inbox.send(due.data)),
        }
    }

    /// Counters of datagrams not delivered so far.
    pub fn undelivered(&self) -> Undelivered {
        self.undelivered.get()
    }
}
