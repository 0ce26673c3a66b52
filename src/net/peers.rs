//! The peers' socket: datagrams to and from the membership, its times, and what it tells. It decides nothing.

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

/// A datagram of ours is never longer; what is longer is cut, and then no datagram of ours.
const LARGEST: usize = 2_048;
/// Datagrams that are read before the times are looked at again.
const AT_ONCE: usize = 64;

/// A membership on its socket.
pub struct Peering {
    socket: UdpSocket,
    peers: Peers,
    start: Instant,
    buffer: Vec<u8>,
    out: Vec<Output>,
}

impl Peering {
    /// Opens the socket. Others reach it at `advertise`; at the socket's own address where that is missing.
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
        let order = u64::try_from(unix.as_micros()).unwrap_or(u64::MAX);
        // Its own draw: two lives that share a seed are two lives all the same.
        let salt = fastrand::u32(..);
        let me = Peer {
            address,
            generation: order,
            salt,
            observer,
            name: name.to_owned(),
            metadata: location.encode(),
        };
        let (start, buffer, out) = (Instant::now(), vec![0; LARGEST], Vec::new());
        Ok(Self { socket, peers: Peers::new(config, me, seed, 0), start, buffer, out })
    }

    /// Where others reach it.
    pub fn address(&self) -> SocketAddr {
        self.peers.local_peer().address
    }

    /// The membership.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Its time.
    pub fn now(&self) -> Micros {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Waits for datagrams or a time, and takes in what has come; what follows from it is in `told`.
    pub async fn step(&mut self, told: &mut Vec<Output>) {
        let next = self.peers.next_wakeup().map(|at| self.start + Duration::from_micros(at));
        let time = async {
            match next {
                Some(at) => sleep_until(at).await,
                None => pending().await,
            }
        };
        tokio::select! {
            received = self.socket.recv_from(&mut self.buffer) => self.take(received),
            () = time => {}
        }
        // After a sleep the datagrams that waited go before the times.
        for _ in 0..AT_ONCE {
            match self.socket.try_recv_from(&mut self.buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                received => self.take(received),
            }
        }
        self.peers.handle_timers(self.now(), &mut self.out);
        self.carry_out(told);
    }

    /// Says farewell.
    pub fn leave(&mut self, told: &mut Vec<Output>) {
        self.peers.leave(self.now(), &mut self.out);
        self.carry_out(told);
    }

    fn take(&mut self, received: io::Result<(usize, SocketAddr)>) {
        // An error here is a peer's machine that refused an earlier datagram: the engine sees that by itself.
        if let Ok((length, _)) = received {
            self.peers.handle_datagram(self.now(), &self.buffer[..length], &mut self.out);
        }
    }

    fn carry_out(&mut self, told: &mut Vec<Output>) {
        for output in std::mem::take(&mut self.out) {
            match output {
                // What cannot be sent at once is lost, as on any network.
                Output::Send { to, data } => drop(self.socket.try_send_to(&data, to)),
                Output::Dissemination(DisseminationOutput::StateOffered { publisher, entry }) => {
                    self.accept(publisher, &entry);
                }
                other => told.push(other),
            }
        }
        // What an accepted state gives rise to.
        if !self.out.is_empty() {
            self.carry_out(told);
        }
    }

    /// No part of the program acts on a state yet: each is in force as it comes.
    fn accept(&mut self, publisher: u64, entry: &Entry) {
        let (now, key) = (self.now(), StateKey { publisher, kind: entry.kind });
        self.peers.decide_state(now, key, entry.epoch, entry.sequence, Ok(()), &mut self.out);
    }
}

/// Takes part until the node leaves, and tells the number of nodes that may be relied on.
pub async fn run(mut peering: Peering, mut stage: watch::Receiver<Stage>, tell: impl Fn(u32)) {
    let mut told = Vec::new();
    loop {
        let over = tokio::select! {
            // It waits in one place alone, before it takes anything in.
            () = peering.step(&mut told) => false,
            _ = stage.wait_for(|stage| *stage >= Stage::Leaving) => true,
        };
        if over {
            peering.leave(&mut told);
        }
        told.drain(..).for_each(|output| hear(&peering, output, &tell));
        if over {
            return;
        }
    }
}

fn hear(peering: &Peering, output: Output, tell: &impl Fn(u32)) {
    match output {
        Output::EffectiveNodes(nodes) => {
            info!(target: "peers", nodes, "so many nodes are relied on");
            tell(nodes);
        }
        Output::StatusChanged { peer, status: standing } => {
            let (name, address) = (peer.name.as_str(), peer.address);
            match standing {
                PeerStatus::Present => info!(target: "peers", name, %address, "a peer is present"),
                PeerStatus::Suspected => info!(target: "peers", name, %address, "a peer is suspected"),
                PeerStatus::Left => info!(target: "peers", name, %address, "a peer has left"),
                PeerStatus::Lost => warn!(target: "peers", name, %address, "a peer is lost"),
            }
        }
        Output::AgreementChanged(agreement) => {
            let nodes = peering.peers.view(peering.now()).nodes;
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
        Output::NameConflict { other: by, yields } => {
            let address = by.address;
            error!(target: "peers", %address, yields, "another process claims this node's name");
        }
        Output::Rejoined => warn!(target: "peers", "others took this node for gone; it is back"),
        Output::Dissemination(output) => hear_publisher(&output),
        Output::Send { .. } => {}
    }
}

fn hear_publisher(output: &DisseminationOutput) {
    match output {
        DisseminationOutput::Deliver { publisher, entry } => {
            let (epoch, sequence) = (entry.epoch, entry.sequence);
            debug!(target: "peers", publisher, epoch, sequence, "an entry of a log has come");
        }
        DisseminationOutput::StateApplied { publisher, entry } => {
            let (epoch, version) = (entry.epoch, entry.sequence);
            debug!(target: "peers", publisher, epoch, version, "a state is in force");
        }
        DisseminationOutput::LogReset { publisher, after, through } => {
            info!(target: "peers", publisher, after, through, "entries of a log are left out");
        }
        DisseminationOutput::Stale { publisher, behind } => {
            warn!(target: "peers", publisher, behind, "this node is behind in a log");
        }
        // The other words are for publishers, which the program is not.
        _ => {}
    }
}
