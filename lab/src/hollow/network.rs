//! The network between hollow nodes: delays, losses and cuts, on the sender's side, before the real send. What a complete
//! node sends meets them on the receiver's side, as nobody stands before its socket.

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

/// Datagrams that may be on their way from one process; more than this the lab cannot carry.
const ON_THEIR_WAY: usize = 200_000;
/// Deliveries before the nodes of the process have their turn.
const AT_ONCE: u32 = 64;

/// What waits for its time.
enum Delivery {
    /// A datagram that a node sends.
    Send { socket: Rc<UdpSocket>, to: SocketAddr },
    /// A datagram that has come for a node from a complete one.
    Take { inbox: mpsc::UnboundedSender<Vec<u8>> },
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

/// Datagrams that did not come through.
#[derive(Clone, Copy, Debug, Default)]
pub struct Undelivered {
    /// By the table's chances and its cuts.
    pub lost: u64,
    /// The lab could not carry them.
    pub not_carried: u64,
    /// The system did not take them.
    pub refused: u64,
}

/// The network as one process has it.
pub struct Network {
    clock: Clock,
    map: Map,
    loss: f64,
    /// Where nodes stand, by the address at which they are reached.
    reached_at: HashMap<SocketAddr, Place>,
    /// Where complete nodes stand, by the address that their datagrams come from.
    complete: HashMap<SocketAddr, Place>,
    cut: RefCell<BTreeSet<usize>>,
    random: RefCell<Xoshiro256PlusPlus>,
    delayed: RefCell<BinaryHeap<Reverse<Delayed>>>,
    order: Cell<u64>,
    sooner: Notify,
    undelivered: Cell<Undelivered>,
}

impl Network {
    /// As the run's table has it. `draws`: tells processes of one run apart.
    pub fn new(begin: &Begin, clock: Clock, draws: u64) -> Self {
        let hollow =
            begin.addresses.iter().enumerate().map(|(node, address)| (*address, begin.map.place(node)));
        // Complete nodes stand together where node 0 stands.
        let here = begin.map.place(0);
        let reached_at = hollow.chain(begin.complete.iter().map(|node| (node.advertise, here)));
        Self {
            clock,
            map: begin.map,
            loss: begin.loss,
            reached_at: reached_at.collect(),
            complete: begin.complete.iter().map(|node| (node.source, here)).collect(),
            cut: RefCell::default(),
            random: RefCell::new(Xoshiro256PlusPlus::seed_from_u64(begin.seed ^ draws << 32)),
            delayed: RefCell::default(),
            order: Cell::new(0),
            sooner: Notify::new(),
            undelivered: Cell::default(),
        }
    }

    /// A region loses all others, or has them back.
    pub fn cut(&self, region: usize, is_cut: bool) {
        let mut cut = self.cut.borrow_mut();
        if is_cut {
            cut.insert(region);
        } else {
            cut.remove(&region);
        }
    }

    /// Whether a datagram comes through at all.
    fn passes(&self, from: Place, to: Place) -> bool {
        let cut = self.cut.borrow();
        let apart = from.region != to.region && (cut.contains(&from.region) || cut.contains(&to.region));
        let passes = !apart && self.random.borrow_mut().random::<f64>() >= self.loss;
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
        // Whoever else is met, an observer say, has a good way there.
        let Some(place) = self.reached_at.get(&to) else { return self.send_now(socket, to, &data) };
        if !self.passes(from, *place) {
            return;
        }
        let delay = self.map.delay(from, *place);
        if delay.is_zero() {
            return self.send_now(socket, to, &data);
        }
        let at = self.clock.now() + delay.as_micros() as Micros;
        self.later(at, Delivery::Send { socket: socket.clone(), to }, data);
    }

    fn send_now(&self, socket: &UdpSocket, to: SocketAddr, data: &[u8]) {
        // What cannot be sent at once is lost, as with a complete node.
        if socket.try_send_to(data, to).is_err() {
            self.count(|undelivered| undelivered.refused += 1);
        }
    }

    /// Takes a datagram that has come for a node: it is handed back where it comes from a hollow node and so has had its
    /// delay; what a complete node sent comes to `inbox` later, if it comes.
    pub fn take(
        &self,
        at: Place,
        source: SocketAddr,
        data: &[u8],
        inbox: &mpsc::UnboundedSender<Vec<u8>>,
    ) -> bool {
        let Some(from) = self.complete.get(&source) else { return true };
        if !self.passes(*from, at) {
            return false;
        }
        let delay = self.map.delay(*from, at);
        if delay.is_zero() {
            return true;
        }
        let due = self.clock.now() + delay.as_micros() as Micros;
        self.later(due, Delivery::Take { inbox: inbox.clone() }, data.to_vec());
        false
    }

    fn later(&self, at: Micros, delivery: Delivery, data: Vec<u8>) {
        let mut delayed = self.delayed.borrow_mut();
        if delayed.len() >= ON_THEIR_WAY {
            return self.count(|undelivered| undelivered.not_carried += 1);
        }
        let sooner = delayed.peek().is_none_or(|Reverse(first)| at < first.at);
        self.order.set(self.order.get() + 1);
        delayed.push(Reverse(Delayed { at, order: self.order.get(), delivery, data }));
        if sooner {
            self.sooner.notify_one();
        }
    }

    /// Delivers what is due, for as long as the process runs. `late`: is told how late each delivery is.
    pub async fn deliver(&self, late: impl Fn(Micros)) {
        let mut delivered = 0;
        loop {
            let next = self.delayed.borrow().peek().map(|Reverse(first)| first.at);
            let now = self.clock.now();
            match next {
                Some(at) if at <= now => {
                    let due = self.delayed.borrow_mut().pop();
                    let Some(Reverse(due)) = due else { continue };
                    late(now - at);
                    self.hand_over(due);
                    delivered += 1;
                    if delivered % AT_ONCE == 0 {
                        yield_now().await;
                    }
                }
                Some(at) => tokio::select! {
                    () = sleep_until(self.clock.moment(at)) => {}
                    () = self.sooner.notified() => {}
                },
                None => self.sooner.notified().await,
            }
        }
    }

    fn hand_over(&self, due: Delayed) {
        match due.delivery {
            Delivery::Send { socket, to } => self.send_now(&socket, to, &due.data),
            // A node that is gone takes nothing.
            Delivery::Take { inbox } => drop(inbox.send(due.data)),
        }
    }

    /// What did not come through up to now.
    pub fn undelivered(&self) -> Undelivered {
        self.undelivered.get()
    }
}
