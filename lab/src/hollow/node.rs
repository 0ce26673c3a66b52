//! A hollow node: its real membership on its real socket, with its timers, and no request path.

use super::deliveries;
use super::meters::Meters;
use super::network::Network;
use super::places::Place;
use super::protocol::{Begin, Incarnation, Micros, NodeReport, Published, StatusChange, TimedSequence};
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

/// Upper bound on the size of datagrams between nodes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Datagrams read before timers are checked again, as in a complete node.
const DATAGRAMS_PER_TURN: usize = 64;
/// Epoch of the publisher: a run has one publisher, which is opened once.
const EPOCH: u64 = 1;
/// Kind of the published entries and state.
const KIND: u16 = 1;
/// Schema of the payload, which nothing decodes.
const SCHEMA: u16 = 1;

/// State shared by all nodes of a process.
pub struct Shared {
    /// Settings of the run.
    pub begin: Begin,
    /// Run time.
    pub clock: super::clock::Clock,
    /// The emulated network.
    pub network: Network,
    /// Bytes, lateness, CPU time and memory.
    pub meters: Meters,
    /// Changes to lost or left that nodes reported.
    pub status_changes: RefCell<Vec<StatusChange>>,
    /// What nodes published.
    pub published: RefCell<Published>,
    /// Node numbers by address.
    pub by_address: HashMap<SocketAddr, usize>,
}

/// Command to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeCommand {
    /// Start or restart.
    Start,
    /// Stop without notice.
    Kill,
    /// Send a leave message and stop.
    Leave,
    /// Open the log and the state for publishing.
    OpenPublisher,
    /// Publish a log entry of this many bytes.
    PublishEntry(usize),
    /// Publish a state version of this many bytes.
    PublishState(usize),
}

/// State of a node that the process reads for views and reports.
#[derive(Debug)]
pub struct NodeState {
    /// Number of the node.
    pub node: usize,
    /// Its view, while it runs.
    pub view: Cell<Option<ViewSummary>>,
    /// Datagrams dropped in the current incarnation.
    pub dropped: Cell<u64>,
    /// Measurements, without the drops of the current incarnation.
    pub report: RefCell<NodeReport>,
}

impl NodeState {
    /// Measurements up to now.
    pub fn report(&self) -> NodeReport {
        let report = self.report.borrow().clone();
        NodeReport { dropped: report.dropped + self.dropped.get(), ..report }
    }
}

/// A hollow node.
pub struct HollowNode {
    shared: Rc<Shared>,
    state: Rc<NodeState>,
    place: Place,
    address: SocketAddr,
    socket: Rc<UdpSocket>,
    commands: mpsc::UnboundedReceiver<NodeCommand>,
    inbox: (mpsc::UnboundedSender<Vec<u8>>, mpsc::UnboundedReceiver<Vec<u8>>),
    peers: Option<Peers>,
    incarnation: u32,
    buffer: Vec<u8>,
    outputs: Vec<Output>,
}

impl HollowNode {
    /// Creates a node that does not run yet. Its socket stays open for as long as the process lives.
    pub fn new(
        shared: Rc<Shared>,
        node: usize,
        socket: Rc<UdpSocket>,
        commands: mpsc::UnboundedReceiver<NodeCommand>,
    ) -> Self {
        let state = Rc::new(NodeState {
            node,
            view: Cell::new(None),
            dropped: Cell::new(0),
            report: RefCell::new(NodeReport { node, ..NodeReport::default() }),
        });
        Self {
            place: shared.begin.map.place(node),
            address: shared.begin.addresses[node],
            shared,
            state,
            socket,
            commands,
            inbox: mpsc::unbounded_channel(),
            peers: None,
            incarnation: 0,
            buffer: vec![0; MAX_DATAGRAM_BYTES],
            outputs: Vec::new(),
        }
    }

    /// The state that the process reads.
    pub fn state(&self) -> Rc<NodeState> {
        self.state.clone()
    }

    /// Runs until the channel of commands closes.
    pub async fn run(mut self) {
        loop {
            let next = self.peers.as_ref().and_then(Peers::next_wakeup);
            let timer = async {
                match next {
                    Some(at) => sleep_until(self.shared.clock.instant_at(at)).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.execute(command),
                    None => return,
                },
                received = self.socket.recv_from(&mut self.buffer) => self.receive(received),
                Some(datagram) = self.inbox.1.recv() => self.handle_datagram(&datagram),
                () = timer => {
                    let lateness = self.shared.clock.now().saturating_sub(next.unwrap_or(0));
                    self.shared.meters.record_lateness(lateness);
                }
            }
            self.drain_socket();
            self.handle_timers();
            self.update_state();
        }
    }

    /// After a wait, queued datagrams are handled before timers.
    fn drain_socket(&mut self) {
        for _ in 0..DATAGRAMS_PER_TURN {
            match self.socket.try_recv_from(&mut self.buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                received => self.receive(received),
            }
        }
    }

    fn receive(&mut self, received: io::Result<(usize, SocketAddr)>) {
        let Ok((length, source)) = received else { return };
        let data = &self.buffer[..length];
        if !self.shared.network.filter_received(self.place, source, data, &self.inbox.0) {
            return;
        }
        let now = self.shared.clock.now();
        if let Some(peers) = &mut self.peers {
            peers.handle_datagram(now, data, &mut self.outputs);
        }
        self.handle_outputs(now);
    }

    fn handle_datagram(&mut self, data: &[u8]) {
        let now = self.shared.clock.now();
        if let Some(peers) = &mut self.peers {
            peers.handle_datagram(now, data, &mut self.outputs);
        }
        self.handle_outputs(now);
    }

    fn handle_timers(&mut self) {
        let now = self.shared.clock.now();
        if let Some(peers) = &mut self.peers {
            if peers.next_wakeup().is_some_and(|at| at <= now) {
                peers.handle_timers(now, &mut self.outputs);
            }
        }
        self.handle_outputs(now);
    }

    fn execute(&mut self, command: NodeCommand) {
        let now = self.shared.clock.now();
        match command {
            NodeCommand::Start => self.start(now),
            NodeCommand::Kill => self.stop(),
            NodeCommand::Leave => {
                if let Some(peers) = &mut self.peers {
                    peers.leave(now, &mut self.outputs);
                }
                self.handle_outputs(now);
                self.stop();
            }
            NodeCommand::OpenPublisher => self.publish(now, |peers, outputs| {
                peers.open_publisher(now, EPOCH, 1, Vec::new(), outputs).map(|()| None)
            }),
            NodeCommand::PublishEntry(bytes) => self.publish(now, |peers, outputs| {
                peers
                    .publish_log_entry(now, KIND, SCHEMA, vec![7; bytes], outputs)
                    .map(|entry| Some((Channel::Log, entry)))
            }),
            NodeCommand::PublishState(bytes) => self.publish(now, |peers, outputs| {
                let version = peers.publish_state(now, KIND, SCHEMA, vec![7; bytes], outputs)?;
                Ok(Some((Channel::State(KIND), version)))
            }),
        }
    }

    /// Publishes something, and records the result.
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
                Ok(Some((Channel::Log, number))) => published.entries.push(TimedSequence { number, at: now }),
                Ok(Some((Channel::State(_), number))) => {
                    published.versions.push(TimedSequence { number, at: now })
                }
                Ok(None) => {}
                Err(_) => published.refused += 1,
            }
        }
        self.handle_outputs(now);
    }

    /// Handles an output of dissemination.
    fn handle_dissemination(&mut self, now: Micros, output: DisseminationOutput) {
        if let DisseminationOutput::StateOffered { publisher, entry } = &output {
            let key = StateKey { publisher: *publisher, kind: entry.kind };
            if let Some(peers) = &mut self.peers {
                peers.decide_state(now, key, entry.epoch, entry.sequence, Ok(()), &mut self.outputs);
            }
            return;
        }
        deliveries::record_delivery(&output, now, &mut self.state.report.borrow_mut().incarnations);
        deliveries::record_published(&output, now, &mut self.shared.published.borrow_mut());
    }

    fn start(&mut self, now: Micros) {
        self.stop();
        self.incarnation += 1;
        let begin = &self.shared.begin;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seed = begin.seed ^ (self.state.node as u64) << 20 ^ u64::from(self.incarnation) << 48;
        let me = Peer {
            address: self.address,
            generation: u64::try_from(unix.as_micros()).unwrap_or(u64::MAX),
            salt: self.incarnation,
            observer: false,
            name: name(self.state.node),
            metadata: self.place.location().encode(),
        };
        self.state
            .report
            .borrow_mut()
            .incarnations
            .push(Incarnation { started_at: now, ..Incarnation::default() });
        self.peers = Some(Peers::new(configuration(begin), me, seed, now));
    }

    fn stop(&mut self) {
        self.update_state();
        self.peers = None;
        self.state.report.borrow_mut().dropped += self.state.dropped.take();
        self.state.view.set(None);
    }

    fn update_state(&self) {
        self.state.view.set(self.peers.as_ref().map(Peers::summary));
        if let Some(peers) = &self.peers {
            let DroppedDatagrams { foreign, malformed, rate_limited, too_many_peers } = peers.dropped();
            self.state.dropped.set(foreign + malformed + rate_limited + too_many_peers);
        }
    }

    fn handle_outputs(&mut self, now: Micros) {
        // Handling an output may produce further outputs.
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.handle_output(now, output);
            }
        }
    }

    fn handle_output(&mut self, now: Micros, output: Output) {
        match output {
            Output::Send { to, data } => {
                super::meters::count_sent(&mut self.state.report.borrow_mut(), now, data.len());
                self.shared.network.send(self.place, &self.socket, to, data);
            }
            Output::StatusChanged { peer, status: status @ (PeerStatus::Lost | PeerStatus::Left) } => {
                let Some(&subject) = self.shared.by_address.get(&peer.address) else { return };
                let change = StatusChange { at: now, reporter: self.state.node, subject, status };
                self.shared.status_changes.borrow_mut().push(change);
            }
            Output::Rejoined => self.state.report.borrow_mut().rejoined += 1,
            Output::Dissemination(output) => self.handle_dissemination(now, output),
            _ => {}
        }
    }
}

/// Name of a hollow node.
pub fn name(node: usize) -> String {
    format!("h{node}")
}

/// Membership configuration of every hollow node.
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
