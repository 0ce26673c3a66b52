//! One hollow node: its real membership on its real socket, with its timers, and no request path.

use super::deliveries;
use super::meters::Meters;
use super::network::Network;
use super::places::Place;
use super::protocol::{Begin, Life, Micros, NodeReport, Numbered, Published, Word};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use walkpick::peers::dissemination::{
    Channel, DisseminationConfig, DisseminationOutput, PublishError, StateKey,
};
use walkpick::peers::{DroppedDatagrams, Output, Peer, PeerStatus, Peers, PeersConfig, ViewSummary};

/// A datagram of ours is never longer.
const LARGEST: usize = 2_048;
/// Datagrams that are read before the timers are looked at again, as with a complete node.
const AT_ONCE: usize = 64;
/// A publisher's epoch: one process publishes in a run, once.
const EPOCH: u64 = 1;
/// The kind of its entries and of its state.
const KIND: u16 = 1;
/// How their payload is written: nobody reads it.
const SCHEMA: u16 = 1;

/// What all nodes of a process share.
pub struct Shared {
    /// What the run is.
    pub begin: Begin,
    /// Time.
    pub clock: super::clock::Clock,
    /// Between the nodes.
    pub network: Network,
    /// Bytes, lateness, processor time.
    pub meters: Meters,
    /// What nodes said of others that are gone.
    pub words: RefCell<Vec<Word>>,
    /// What nodes published.
    pub published: RefCell<Published>,
    /// The node that is reached at an address.
    pub by_address: HashMap<SocketAddr, usize>,
}

/// What a node is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// To start, or to start anew.
    Start,
    /// To be gone without a word.
    Kill,
    /// To say farewell and be gone.
    Leave,
    /// To open its log and its state for publishing.
    OpenPublisher,
    /// To issue an entry of so many bytes.
    PublishEntry(usize),
    /// To issue a version of its state of so many bytes.
    PublishState(usize),
}

/// What others in the process see of a node.
#[derive(Debug)]
pub struct Seen {
    /// Its number.
    pub node: usize,
    /// Its view, while it runs.
    pub view: Cell<Option<ViewSummary>>,
    /// Datagrams that its present life has dropped.
    pub dropped: Cell<u64>,
    /// What it has done.
    pub report: RefCell<NodeReport>,
}

impl Seen {
    /// What it has done up to now.
    pub fn report(&self) -> NodeReport {
        let report = self.report.borrow().clone();
        NodeReport { dropped: report.dropped + self.dropped.get(), ..report }
    }
}

/// A hollow node.
pub struct HollowNode {
    shared: Rc<Shared>,
    seen: Rc<Seen>,
    place: Place,
    address: SocketAddr,
    socket: Rc<UdpSocket>,
    orders: mpsc::UnboundedReceiver<Order>,
    inbox: (mpsc::UnboundedSender<Vec<u8>>, mpsc::UnboundedReceiver<Vec<u8>>),
    peers: Option<Peers>,
    lives: u32,
    buffer: Vec<u8>,
    outputs: Vec<Output>,
}

impl HollowNode {
    /// A node that does not run yet, on a socket that stays open for as long as the process lives.
    pub fn new(
        shared: Rc<Shared>,
        node: usize,
        socket: Rc<UdpSocket>,
        orders: mpsc::UnboundedReceiver<Order>,
    ) -> Self {
        let seen = Rc::new(Seen {
            node,
            view: Cell::new(None),
            dropped: Cell::new(0),
            report: RefCell::new(NodeReport { node, ..NodeReport::default() }),
        });
        Self {
            place: shared.begin.map.place(node),
            address: shared.begin.addresses[node],
            shared,
            seen,
            socket,
            orders,
            inbox: mpsc::unbounded_channel(),
            peers: None,
            lives: 0,
            buffer: vec![0; LARGEST],
            outputs: Vec::new(),
        }
    }

    /// What others see of it.
    pub fn seen(&self) -> Rc<Seen> {
        self.seen.clone()
    }

    /// Runs for as long as its orders may come.
    pub async fn run(mut self) {
        loop {
            let next = self.peers.as_ref().and_then(Peers::next_wakeup);
            let timer = async {
                match next {
                    Some(at) => sleep_until(self.shared.clock.moment(at)).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                order = self.orders.recv() => match order {
                    Some(order) => self.obey(order),
                    None => return,
                },
                received = self.socket.recv_from(&mut self.buffer) => self.receive(received),
                Some(datagram) = self.inbox.1.recv() => self.hand_over(&datagram),
                () = timer => {
                    let late = self.shared.clock.now().saturating_sub(next.unwrap_or(0));
                    self.shared.meters.late(late);
                }
            }
            self.read_what_waits();
            self.timers();
            self.show();
        }
    }

    /// After a sleep the datagrams that waited go before the timers.
    fn read_what_waits(&mut self) {
        for _ in 0..AT_ONCE {
            match self.socket.try_recv_from(&mut self.buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                received => self.receive(received),
            }
        }
    }

    fn receive(&mut self, received: io::Result<(usize, SocketAddr)>) {
        let Ok((length, source)) = received else { return };
        let data = &self.buffer[..length];
        if !self.shared.network.take(self.place, source, data, &self.inbox.0) {
            return;
        }
        let now = self.shared.clock.now();
        if let Some(peers) = &mut self.peers {
            peers.handle_datagram(now, data, &mut self.outputs);
        }
        self.carry_out(now);
    }

    fn hand_over(&mut self, data: &[u8]) {
        let now = self.shared.clock.now();
        if let Some(peers) = &mut self.peers {
            peers.handle_datagram(now, data, &mut self.outputs);
        }
        self.carry_out(now);
    }

    fn timers(&mut self) {
        let now = self.shared.clock.now();
        if let Some(peers) = &mut self.peers {
            if peers.next_wakeup().is_some_and(|at| at <= now) {
                peers.handle_timers(now, &mut self.outputs);
            }
        }
        self.carry_out(now);
    }

    fn obey(&mut self, order: Order) {
        let now = self.shared.clock.now();
        match order {
            Order::Start => self.start(now),
            Order::Kill => self.end(),
            Order::Leave => {
                if let Some(peers) = &mut self.peers {
                    peers.leave(now, &mut self.outputs);
                }
                self.carry_out(now);
                self.end();
            }
            Order::OpenPublisher => self.publish(now, |peers, out| {
                peers.open_publisher(now, EPOCH, 1, Vec::new(), out).map(|()| None)
            }),
            Order::PublishEntry(bytes) => self.publish(now, |peers, out| {
                peers
                    .publish_log_entry(now, KIND, SCHEMA, vec![7; bytes], out)
                    .map(|entry| Some((Channel::Log, entry)))
            }),
            Order::PublishState(bytes) => self.publish(now, |peers, out| {
                let version = peers.publish_state(now, KIND, SCHEMA, vec![7; bytes], out)?;
                Ok(Some((Channel::State(KIND), version)))
            }),
        }
    }

    /// Has its membership publish something, and notes what came of it.
    fn publish(
        &mut self,
        now: Micros,
        issue: impl FnOnce(&mut Peers, &mut Vec<Output>) -> Result<Option<(Channel, u64)>, PublishError>,
    ) {
        let Some(peers) = &mut self.peers else { return };
        let issued = issue(peers, &mut self.outputs);
        {
            let published = &mut *self.shared.published.borrow_mut();
            match issued {
                Ok(Some((Channel::Log, number))) => published.entries.push(Numbered { number, at: now }),
                Ok(Some((Channel::State(_), number))) => {
                    published.versions.push(Numbered { number, at: now })
                }
                Ok(None) => {}
                Err(_) => published.refused += 1,
            }
        }
        self.carry_out(now);
    }

    /// What dissemination tells this node.
    fn hear(&mut self, now: Micros, output: DisseminationOutput) {
        if let DisseminationOutput::StateOffered { publisher, entry } = &output {
            let key = StateKey { publisher: *publisher, kind: entry.kind };
            if let Some(peers) = &mut self.peers {
                peers.decide_state(now, key, entry.epoch, entry.sequence, Ok(()), &mut self.outputs);
            }
            return;
        }
        deliveries::note(&output, now, &mut self.seen.report.borrow_mut().lives);
        deliveries::note_published(&output, now, &mut self.shared.published.borrow_mut());
    }

    fn start(&mut self, now: Micros) {
        self.end();
        self.lives += 1;
        let begin = &self.shared.begin;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let draw = begin.seed ^ (self.seen.node as u64) << 20 ^ u64::from(self.lives) << 48;
        let me = Peer {
            address: self.address,
            generation: u64::try_from(unix.as_micros()).unwrap_or(u64::MAX),
            salt: self.lives,
            observer: false,
            name: name(self.seen.node),
            metadata: self.place.location().encode(),
        };
        self.seen.report.borrow_mut().lives.push(Life { from: now, ..Life::default() });
        self.peers = Some(Peers::new(configuration(begin), me, draw, now));
    }

    fn end(&mut self) {
        self.show();
        self.peers = None;
        self.seen.report.borrow_mut().dropped += self.seen.dropped.take();
        self.seen.view.set(None);
    }

    fn show(&self) {
        self.seen.view.set(self.peers.as_ref().map(Peers::summary));
        if let Some(peers) = &self.peers {
            let DroppedDatagrams { foreign, malformed, rate_limited: flood, too_many_peers: crowd } =
                peers.dropped();
            self.seen.dropped.set(foreign + malformed + flood + crowd);
        }
    }

    fn carry_out(&mut self, now: Micros) {
        // What is heard may give rise to more.
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.carry_out_one(now, output);
            }
        }
    }

    fn carry_out_one(&mut self, now: Micros, output: Output) {
        match output {
            Output::Send { to, data } => {
                super::meters::count_bytes(&mut self.seen.report.borrow_mut(), now, data.len());
                self.shared.network.send(self.place, &self.socket, to, data);
            }
            Output::StatusChanged { peer, status: standing @ (PeerStatus::Lost | PeerStatus::Left) } => {
                let Some(&of) = self.shared.by_address.get(&peer.address) else { return };
                let word = Word { at: now, by: self.seen.node, of, standing };
                self.shared.words.borrow_mut().push(word);
            }
            Output::Rejoined => self.seen.report.borrow_mut().came_back += 1,
            Output::Dissemination(output) => self.hear(now, output),
            _ => {}
        }
    }
}

/// A hollow node's name.
pub fn name(node: usize) -> String {
    format!("h{node}")
}

/// The configuration of every hollow node.
fn configuration(begin: &Begin) -> PeersConfig {
    PeersConfig {
        cluster: begin.cluster.clone(),
        seeds: begin.seeds.iter().filter_map(|seed| begin.addresses.get(*seed).copied()).collect(),
        probe_interval: Duration::from_micros(begin.probe_every),
        probe_timeout: Duration::from_micros(begin.probe_timeout),
        configured_nodes: u32::try_from(begin.addresses.len() + begin.complete.len()).unwrap_or(u32::MAX),
        dissemination: begin.dissemination.then(DisseminationConfig::default),
        ..PeersConfig::default()
    }
}
