//! Emulated network links: relays in this process that delay, drop, reset or go silent, per direction.
//!
//! A link carries TCP connections ([`RelayListener`], [`dial`]) or UDP datagrams ([`mesh`]). The data buffered by a relay
//! is bounded and belongs to one connection: a process restarted under the same address never sees it. Faults of single
//! segments appear on a stream as delay: a lost segment is retransmitted after [`MIN_RETRANSMIT_TIMEOUT`].

use crate::model::links::{Impairment, LinkImpairment, MIN_RETRANSMIT_TIMEOUT};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{split, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};
use tracing::warn;

/// Bytes per read, and chunks that may be queued in one direction.
const CHUNK_BYTES: usize = 16 * 1024;
const MAX_QUEUED_CHUNKS: usize = 16;
/// Datagrams that may be queued for one receiver; further ones are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 1_024;
const BACKLOG: i32 = 1_024;
/// Interval and number of checks whether another process still holds a port.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(1);
const RELEASE_MAX_POLLS: u32 = 1_000;
/// Delay before a failed listen is retried.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Current conditions of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Conditions {
    /// Impairment of both directions.
    pub impairment: LinkImpairment,
    /// Nothing listens: connections are refused.
    pub down: bool,
    /// When this changes, all open connections are reset.
    pub reset_count: u64,
}

/// Controls the conditions of a link.
#[derive(Clone, Debug)]
pub struct Link {
    conditions: watch::Sender<Conditions>,
    seed: u64,
}

impl Link {
    /// A link without faults; the seed drives its random draws.
    pub fn new(seed: u64) -> Self {
        Self { conditions: watch::Sender::new(Conditions::default()), seed }
    }

    /// Changes the conditions.
    pub fn update(&self, change: impl FnOnce(&mut Conditions)) {
        self.conditions.send_modify(change);
    }

    /// Whether the link has these conditions, ignoring the reset count.
    pub fn has_conditions(&self, other: &Conditions) -> bool {
        let now = *self.conditions.borrow();
        Conditions { reset_count: other.reset_count, ..now } == *other
    }

    fn subscribe(&self) -> watch::Receiver<Conditions> {
        self.conditions.subscribe()
    }
}

/// Reserves a port for a later listener: a bound socket that never listens, so that the system assigns the port to
/// nobody else. Programs that bind with SO_REUSEADDR, as tokio's and std's listeners do, can listen on it.
#[derive(Debug)]
pub struct ReservedPort {
    _socket: Socket,
    address: SocketAddr,
}

impl ReservedPort {
    /// Reserves a free loopback port.
    pub fn tcp() -> io::Result<Self> {
        let socket = bind_socket("127.0.0.1:0".parse().map_err(io::Error::other)?)?;
        let address = socket.local_addr()?.as_socket().ok_or_else(|| io::Error::other("no address"))?;
        Ok(Self { _socket: socket, address })
    }

    /// The reserved address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A loopback address used by this run only, among concurrent runs: a port released on it is not taken by other
/// processes, which use 127.0.0.1.
pub fn unique_loopback_address() -> Ipv4Addr {
    static RUNS: AtomicU32 = AtomicU32::new(0);
    let (run, process) = (RUNS.fetch_add(1, Ordering::Relaxed), std::process::id());
    let mixed = process.wrapping_mul(0x9e37_79b1) ^ run.wrapping_mul(0x85eb_ca6b);
    let [one, two, three, _] = mixed.to_be_bytes();
    Ipv4Addr::new(127, 1 + one % 254, two, 1 + three % 254)
}

/// Reserves a UDP port for a process at the address of this run. It is released when the process starts, because two
/// UDP sockets cannot share a port.
#[derive(Debug)]
pub struct ReservedUdpPort {
    socket: std::cell::RefCell<Option<std::net::UdpSocket>>,
    address: SocketAddr,
}

impl ReservedUdpPort {
    /// Reserves a free port at this address.
    pub fn new(own: Ipv4Addr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind((own, 0))?;
        let address = socket.local_addr()?;
        Ok(Self { socket: Some(socket).into(), address })
    }

    /// The reserved address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Releases the port to the process. A recently forked child may still hold the socket until its exec, so this waits
    /// until the port is free.
    pub fn release(&self) {
        if self.socket.take().is_none() {
            return;
        }
        let is_free = || std::net::UdpSocket::bind(self.address).is_ok();
        let _ = (0..RELEASE_MAX_POLLS).any(|_| {
            is_free() || {
                std::thread::sleep(RELEASE_POLL_INTERVAL);
                false
            }
        });
    }
}

fn bind_socket(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Handles relayed connections whose destination is this process.
pub type ConnectionHandler = Rc<dyn Fn(DuplexStream)>;

/// Destination of relayed connections.
#[derive(Clone)]
pub enum Destination {
    /// A handler in this process.
    InProcess(ConnectionHandler),
    /// The address of another process.
    Remote(SocketAddr),
}

/// A listener at the near end of a link.
#[derive(Debug)]
pub struct RelayListener {
    reserved: ReservedPort,
}

impl RelayListener {
    /// Opens a listener that lasts as long as the runtime.
    pub fn open(link: &Link, destination: Destination) -> io::Result<Self> {
        let reserved = ReservedPort::tcp()?;
        let listener = listen(reserved.address())?;
        spawn_local(accept_loop(reserved.address(), listener, link.clone(), destination));
        Ok(Self { reserved })
    }

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.reserved.address()
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = bind_socket(address)?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections while the link works. While the link is silent no connection is established: the accept queue is
/// shortened to the minimum and filled. While the link is down connections are refused.
async fn accept_loop(address: SocketAddr, first: TcpListener, link: Link, destination: Destination) {
    let mut conditions = link.subscribe();
    let mut listener = Some(first);
    loop {
        let now = *conditions.borrow_and_update();
        if now.down {
            listener = None;
            if conditions.changed().await.is_err() {
                return;
            }
            continue;
        }
        let open = match listener.take().map_or_else(|| listen(address), Ok) {
            Ok(open) => open,
            Err(error) => {
                warn!(%address, %error, "link cannot listen on its port; retrying");
                sleep(LISTEN_RETRY_DELAY).await;
                continue;
            }
        };
        if now.impairment.silent() {
            let held = fill_accept_queue(&open, address);
            if conditions.wait_for(|now| !now.impairment.silent() || now.down).await.is_err() {
                return;
            }
            drop(held);
            // Queued connections are reset, as after a machine has come back. The new listener has its own queue.
            drop(open);
            continue;
        }
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    spawn_local(relay_accepted(stream, destination.clone(), link.clone()));
                }
            }
            changed = conditions.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        listener = Some(open);
    }
}

/// Fills the accept queue of a listener, so that the kernel answers no further connection.
fn fill_accept_queue(listener: &TcpListener, address: SocketAddr) -> Vec<Socket> {
    let shortened = SockRef::from(listener).listen(0);
    let fill = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        // The connect continues in the background; the EINPROGRESS error is expected.
        let _ = socket.connect(&address.into());
        Some(socket)
    };
    shortened.map_or_else(|_| Vec::new(), |()| (0..2).filter_map(|_| fill()).collect())
}

/// Connects to a process over a link and returns the local end.
pub async fn dial(target: SocketAddr, link: &Link) -> io::Result<DuplexStream> {
    let mut conditions = link.subscribe();
    if conditions.wait_for(|now| !now.impairment.silent()).await.is_err() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    let now = *conditions.borrow();
    if now.down {
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    // Establishing a connection takes one round trip.
    sleep(now.impairment.forward.delay + now.impairment.backward.delay).await;
    let stream = TcpStream::connect(target).await?;
    let (near, far) = tokio::io::duplex(CHUNK_BYTES);
    let link = link.clone();
    spawn_local(async move {
        let reset = SockRef::from(&stream).try_clone();
        let ended = relay(near, stream, link).await;
        reset_on_error(reset, ended);
    });
    Ok(far)
}

/// Relays an accepted connection to its destination.
async fn relay_accepted(socket: TcpStream, destination: Destination, link: Link) {
    let _ = socket.set_nodelay(true);
    let reset = SockRef::from(&socket).try_clone();
    let ended = match destination {
        Destination::InProcess(handler) => {
            let (near, far) = tokio::io::duplex(CHUNK_BYTES);
            handler(far);
            relay(socket, near, link).await
        }
        Destination::Remote(target) => match TcpStream::connect(target).await {
            Ok(target) => {
                let _ = target.set_nodelay(true);
                let also = SockRef::from(&target).try_clone();
                let ended = relay(socket, target, link).await;
                if ended.is_err() {
                    reset_on_error(also, Err(io::ErrorKind::ConnectionReset.into()));
                }
                ended
            }
            Err(error) => Err(error),
        },
    };
    reset_on_error(reset, ended);
}

/// Resets a connection that ended with an error, so that the peer does not see an orderly close.
fn reset_on_error(socket: io::Result<Socket>, ended: io::Result<()>) {
    if let (Ok(socket), Err(_)) = (socket, ended) {
        let _ = socket.set_linger(Some(Duration::ZERO));
    }
}

/// Relays both directions until both have ended or the link resets.
async fn relay(
    near: impl AsyncRead + AsyncWrite,
    far: impl AsyncRead + AsyncWrite,
    link: Link,
) -> io::Result<()> {
    let mut conditions = link.subscribe();
    let resets = conditions.borrow_and_update().reset_count;
    let reset = conditions.wait_for(|now| now.down || now.reset_count != resets);
    let ((near_in, near_out), (far_in, far_out)) = (split(near), split(far));
    let there = relay_direction(near_in, far_out, link.subscribe(), |now| now.impairment.forward, link.seed);
    let back = relay_direction(far_in, near_out, link.subscribe(), |now| now.impairment.backward, !link.seed);
    tokio::select! {
        ended = async { tokio::try_join!(there, back) } => ended.map(|_| ()),
        _ = reset => Err(io::ErrorKind::ConnectionReset.into()),
    }
}

/// Relays one direction of a connection in order.
async fn relay_direction(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut conditions: watch::Receiver<Conditions>,
    direction: fn(&Conditions) -> Impairment,
    seed: u64,
) -> io::Result<()> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    // An empty chunk marks the end of the stream.
    let mut queue: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let (mut last, mut buffer, mut open) = (Instant::now(), vec![0; CHUNK_BYTES], true);
    loop {
        let now = direction(&conditions.borrow_and_update());
        let due = queue.front().map(|(due, _)| *due);
        tokio::select! {
            biased;
            changed = conditions.changed() => {
                if changed.is_err() {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            }
            () = sleep_until(due.unwrap_or(last)), if due.is_some() && !now.silent => {
                let Some((_, chunk)) = queue.pop_front() else { continue };
                if chunk.is_empty() {
                    return to.shutdown().await;
                }
                to.write_all(&chunk).await?;
            }
            read = from.read(&mut buffer), if open && queue.len() < MAX_QUEUED_CHUNKS && !now.silent => {
                let read = read?;
                open = read > 0;
                let at = Instant::now() + now.stream_delay(&mut random);
                let chunk = buffer[..read].to_vec();
                // Preserve order: no chunk overtakes an earlier one.
                last = last.max(at);
                queue.push_back((last, chunk));
            }
        }
    }
}

/// Current impairment from one peer to another, by index.
pub type PeerImpairment = Rc<dyn Fn(usize, usize) -> Impairment>;

/// Relays datagrams among any number of processes. Returns the relay address of each: a datagram that arrives there from
/// the own address of another peer is forwarded to the peer's own address, with the sender's relay address as source.
pub async fn mesh(
    peers: Vec<SocketAddr>,
    impairment: PeerImpairment,
    seed: u64,
) -> io::Result<Vec<SocketAddr>> {
    let mut sockets = Vec::new();
    for _ in &peers {
        sockets.push(UdpSocket::bind("127.0.0.1:0").await?);
    }
    let reached = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
    let mesh = Rc::new(Mesh { peers, sockets, impairment });
    for to in 0..mesh.sockets.len() {
        spawn_local(relay_datagrams(mesh.clone(), to, seed ^ (to as u64) << 32));
    }
    Ok(reached)
}

struct Mesh {
    peers: Vec<SocketAddr>,
    sockets: Vec<UdpSocket>,
    impairment: PeerImpairment,
}

/// Relays the datagrams sent to one peer.
async fn relay_datagrams(mesh: Rc<Mesh>, to: usize, seed: u64) {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut buffer = vec![0; 64 * 1024];
    let mut queue: Vec<(Instant, usize, Vec<u8>)> = Vec::new();
    loop {
        let next =
            queue.iter().enumerate().min_by_key(|(_, (at, ..))| *at).map(|(place, (at, ..))| (place, *at));
        tokio::select! {
            () = sleep_until(next.map_or_else(Instant::now, |next| next.1)), if next.is_some() => {
                let (_, from, datagram) = queue.swap_remove(next.map_or(0, |next| next.0));
                // Datagrams in flight when a link goes silent are lost, as are those that nobody receives.
                if !(mesh.impairment)(from, to).silent {
                    let _ = mesh.sockets[from].send_to(&datagram, mesh.peers[to]).await;
                }
            }
            received = mesh.sockets[to].recv_from(&mut buffer) => {
                let Ok((length, from)) = received else { continue };
                // Other senders, such as an observer, have a link without faults; replies go to them directly.
                let Some(from) = mesh.peers.iter().position(|peer| *peer == from) else {
                    let _ = mesh.sockets[to].send_to(&buffer[..length], mesh.peers[to]).await;
                    continue;
                };
                let now = (mesh.impairment)(from, to);
                if now.silent || random.random::<f64>() < now.loss {
                    continue;
                }
                let copies = 1 + usize::from(random.random::<f64>() < now.duplicate);
                for _ in 0..copies {
                    let overtaken = random.random::<f64>() < now.reorder;
                    let late = if overtaken { MIN_RETRANSMIT_TIMEOUT / 4 } else { Duration::ZERO };
                    let at = Instant::now() + now.delay + now.jitter.mul_f64(random.random()) + late;
                    if queue.len() < MAX_QUEUED_DATAGRAMS {
                        queue.push((at, from, buffer[..length].to_vec()));
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
