//! The peers' UDP socket: passes datagrams and timers to the membership and performs its outputs. It makes no
//! decisions.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{sleep_until, Duration, Instant};
use tracing::{debug, error, info, warn};
use walkpick::peers::dissemination::{DisseminationOutput, Entry, StateKey};
use walkpick::peers::{Agreement, Location, Micros, Output, Peer, PeerStatus, Peers, PeersConfig};

use super::lifecycle::Stage;

/// Maximum size of a datagram of this protocol. Longer ones are truncated and then rejected as foreign.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Number of datagrams read before the timers are checked again.
const MAX_DATAGRAMS_PER_STEP: usize = 64;

/// A membership on its UDP socket.
pub struct PeerSocket {
    socket: UdpSocket,
    peers: Peers,
    start: Instant,
    buffer: Vec<u8>,
    pending: Vec<Output>,
}

impl PeerSocket {
    /// Opens the socket. Peers reach it at `advertise`, or at the socket's own address if that is not given.
    pub async fn open(
        listen: SocketAddr,
        advertise: Option<SocketAddr>,
        config: PeersConfig,
        name: &str,
        location: &Location,
        observer: bool,
        seed: u64,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        let address = match advertise {
            Some(address) => address,
            None => socket.local_addr()?,
        };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let generation = u64::try_from(unix.as_micros()).unwrap_or(u64::MAX);
        // Drawn independently of the seed, so that two incarnations with the same seed still differ.
        let salt = fastrand::u32(..);
        let local_peer =
            Peer { address, generation, salt, observer, name: name.to_owned(), metadata: location.encode() };
        let (start, buffer, pending) = (Instant::now(), vec![0; MAX_DATAGRAM_BYTES], Vec::new());
        Ok(Self { socket, peers: Peers::new(config, local_peer, seed, 0), start, buffer, pending })
    }

    /// The address at which peers reach this node.
    pub fn address(&self) -> SocketAddr {
        self.peers.local_peer().address
    }

    /// The membership and dissemination engine.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// The engine's clock.
    pub fn now(&self) -> Micros {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Waits for a datagram or a timer and handles it; outputs for the caller are added to `outputs`.
    pub async fn step(&mut self, outputs: &mut Vec<Output>) {
        let next = self.peers.next_wakeup().map(|at| self.start + Duration::from_micros(at));
        let timer = async {
            match next {
                Some(at) => sleep_until(at).await,
                None => pending().await,
            }
        };
        tokio::select! {
            received = self.socket.recv_from(&mut self.buffer) => self.receive(received),
            () = timer => {}
        }
        // After a sleep, datagrams that were waiting are handled before the timers.
        for _ in 0..MAX_DATAGRAMS_PER_STEP {
            match self.socket.try_recv_from(&mut self.buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                received => self.receive(received),
            }
        }
        self.peers.handle_timers(self.now(), &mut self.pending);
        self.perform(outputs);
    }

    /// Sends leave messages.
    pub fn leave(&mut self, outputs: &mut Vec<Output>) {
        self.peers.leave(self.now(), &mut self.pending);
        self.perform(outputs);
    }

    fn receive(&mut self, received: io::Result<(usize, SocketAddr)>) {
        // An error means that a peer's machine refused an earlier datagram; the engine detects that on its
        // own.
        if let Ok((length, _)) = received {
            self.peers.handle_datagram(self.now(), &self.buffer[..length], &mut self.pending);
        }
    }

    fn perform(&mut self, outputs: &mut Vec<Output>) {
        for output in std::mem::take(&mut self.pending) {
            match output {
                // A datagram that cannot be sent at once is lost, as on any network.
                Output::Send { to, data } => drop(self.socket.try_send_to(&data, to)),
                Output::Dissemination(DisseminationOutput::StateOffered { publisher, entry }) => {
                    self.accept(publisher, &entry);
                }
                other => outputs.push(other),
            }
        }
        // Performs what follows from an accepted state.
        if !self.pending.is_empty() {
            self.perform(outputs);
        }
    }

    /// No part of the program acts on states yet: each one is accepted on arrival.
    fn accept(&mut self, publisher: u64, entry: &Entry) {
        let (now, key) = (self.now(), StateKey { publisher, kind: entry.kind });
        self.peers.decide_state(now, key, entry.epoch, entry.sequence, Ok(()), &mut self.pending);
    }
}

/// Takes part in the cluster until the node leaves; reports the number of nodes that may be relied on.
pub async fn run(
    mut peer_socket: PeerSocket,
    mut stage: watch::Receiver<Stage>,
    on_node_count: impl Fn(u32),
) {
    let mut outputs = Vec::new();
    loop {
        let leaving = tokio::select! {
            // `step` waits only at its start, before it handles any input, so cancelling it loses nothing.
            () = peer_socket.step(&mut outputs) => false,
            _ = stage.wait_for(|stage| *stage >= Stage::NotReady) => true,
        };
        if leaving {
            peer_socket.leave(&mut outputs);
        }
        outputs.drain(..).for_each(|output| handle_output(&peer_socket, output, &on_node_count));
        if leaving {
            return;
        }
    }
}

fn handle_output(peer_socket: &PeerSocket, output: Output, on_node_count: &impl Fn(u32)) {
    match output {
        Output::EffectiveNodes(nodes) => {
            info!(target: "peers", nodes, "effective node count changed");
            on_node_count(nodes);
        }
        Output::StatusChanged { peer, status } => {
            let (name, address) = (peer.name.as_str(), peer.address);
            match status {
                PeerStatus::Present => info!(target: "peers", name, %address, "a peer is present"),
                PeerStatus::Suspected => info!(target: "peers", name, %address, "a peer is suspected"),
                PeerStatus::Left => info!(target: "peers", name, %address, "a peer has left"),
                PeerStatus::Lost => warn!(target: "peers", name, %address, "a peer is lost"),
            }
        }
        Output::AgreementChanged(agreement) => {
            let nodes = peer_socket.peers.view(peer_socket.now()).nodes;
            match agreement {
                Agreement::Agreed => info!(target: "peers", nodes, "views agree"),
                Agreement::Converging => {
                    info!(target: "peers", nodes, "views differ, or peers are suspected")
                }
                Agreement::Split => {
                    warn!(target: "peers", nodes, "views are split: this node may be cut off")
                }
            }
        }
        Output::NameConflict { other, yields } => {
            let address = other.address;
            error!(target: "peers", %address, yields, "another process claims this node's name");
        }
        Output::Rejoined => warn!(target: "peers", "peers had declared this node lost; it has rejoined"),
        Output::Dissemination(output) => log_dissemination(&output),
        Output::Send { .. } => {}
    }
}

fn log_dissemination(output: &DisseminationOutput) {
    match output {
        DisseminationOutput::Deliver { publisher, entry } => {
            let (epoch, sequence) = (entry.epoch, entry.sequence);
            debug!(target: "peers", publisher, epoch, sequence, "log entry received");
        }
        DisseminationOutput::StateApplied { publisher, entry } => {
            let (epoch, version) = (entry.epoch, entry.sequence);
            debug!(target: "peers", publisher, epoch, version, "state applied");
        }
        DisseminationOutput::LogReset { publisher, after, through } => {
            info!(target: "peers", publisher, after, through, "log entries skipped");
        }
        DisseminationOutput::Stale { publisher, behind } => {
            warn!(target: "peers", publisher, behind, "this node is behind in a publisher's log");
        }
        // The other outputs are for publishers, which this program is not.
        _ => {}
    }
}
