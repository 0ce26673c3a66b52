//! Links between parties: relays in this process that delay, drop, reset or fall silent, in each direction by itself.
//!
//! A link carries bytes of TCP connections ([`Door`], [`dial`]) or datagrams of UDP ([`mesh`]). What a relay holds
//! is bounded, and belongs to one connection: a process started anew under the same address never sees it. What a real
//! network does to segments a stream shows as time: a lost segment comes again after [`MIN_RETRANSMIT_TIMEOUT`].

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

/// Bytes that one read takes, and pieces that may wait in one direction.
const PIECE: usize = 16 * 1024;
const PIECES: usize = 16;
/// Datagrams that may be on their way in one direction; the next ones are lost.
const DATAGRAMS: usize = 1_024;
const BACKLOG: i32 = 1_024;
/// Waits for a port that another process may still hold, and how often.
const LET_GO_WAIT: Duration = Duration::from_millis(1);
const LET_GO_TRIES: u32 = 1_000;
/// Wait before a link tries again to listen.
const RETRY: Duration = Duration::from_millis(10);

/// What a link does at present.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Conditions {
    /// Its two directions.
    pub ways: LinkImpairment,
    /// Nobody listens: connections are refused.
    pub down: bool,
    /// Each time this grows, all open connections are reset.
    pub resets: u64,
}

/// The end that sets what a link does.
#[derive(Clone, Debug)]
pub struct Link {
    conditions: watch::Sender<Conditions>,
    seed: u64,
}

impl Link {
    /// A good link whose chances come from this seed.
    pub fn new(seed: u64) -> Self {
        Self { conditions: watch::Sender::new(Conditions::default()), seed }
    }

    /// Changes what it does.
    pub fn set(&self, change: impl FnOnce(&mut Conditions)) {
        self.conditions.send_modify(change);
    }

    /// Whether it does this already, resets apart.
    pub fn is(&self, other: &Conditions) -> bool {
        let now = *self.conditions.borrow();
        Conditions { resets: other.resets, ..now } == *other
    }

    fn watch(&self) -> watch::Receiver<Conditions> {
        self.conditions.subscribe()
    }
}

/// Keeps a port for whoever may listen there later, so that nobody takes it meanwhile: a bound socket that never
/// listens. Programs that bind with SO_REUSEADDR, as tokio's and std's listeners do, can listen beside it.
#[derive(Debug)]
pub struct Reserved {
    _socket: Socket,
    address: SocketAddr,
}

impl Reserved {
    /// A free port of the loopback.
    pub fn tcp() -> io::Result<Self> {
        let socket = bound("127.0.0.1:0".parse().map_err(io::Error::other)?)?;
        let address = socket.local_addr()?.as_socket().ok_or_else(|| io::Error::other("no address"))?;
        Ok(Self { _socket: socket, address })
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// An address of the loopback that is this run's alone, as far as runs side by side go: ports that it lets go of are taken
/// by nobody else, who all are at 127.0.0.1.
pub fn own_address() -> Ipv4Addr {
    static RUNS: AtomicU32 = AtomicU32::new(0);
    let (run, process) = (RUNS.fetch_add(1, Ordering::Relaxed), std::process::id());
    let mixed = process.wrapping_mul(0x9e37_79b1) ^ run.wrapping_mul(0x85eb_ca6b);
    let [one, two, three, _] = mixed.to_be_bytes();
    Ipv4Addr::new(127, 1 + one % 254, two, 1 + three % 254)
}

/// Keeps a port for a process's datagrams, at an address that is this run's alone. It is let go when the process is
/// started: two sockets of datagrams cannot share one.
#[derive(Debug)]
pub struct ReservedDatagrams {
    socket: std::cell::RefCell<Option<std::net::UdpSocket>>,
    address: SocketAddr,
}

impl ReservedDatagrams {
    /// A free port there.
    pub fn new(own: Ipv4Addr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind((own, 0))?;
        let address = socket.local_addr()?;
        Ok(Self { socket: Some(socket).into(), address })
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Leaves it to the process. A child that was started a moment ago may hold the socket as well, until the system has
    /// made another program of it: it is waited for.
    pub fn let_go(&self) {
        if self.socket.take().is_none() {
            return;
        }
        let is_free = || std::net::UdpSocket::bind(self.address).is_ok();
        let _ = (0..LET_GO_TRIES).any(|_| {
            is_free() || {
                std::thread::sleep(LET_GO_WAIT);
                false
            }
        });
    }
}

fn bound(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// What takes the connections of a door that leads into this process.
pub type Take = Rc<dyn Fn(DuplexStream)>;

/// Where a door leads.
#[derive(Clone)]
pub enum Far {
    /// Into this process.
    Here(Take),
    /// To another process.
    There(SocketAddr),
}

/// A listener at the near end of a link.
#[derive(Debug)]
pub struct Door {
    reserved: Reserved,
}

impl Door {
    /// Opens one; it stands as long as the runtime does.
    pub fn open(link: &Link, far: Far) -> io::Result<Self> {
        let reserved = Reserved::tcp()?;
        let listener = listen(reserved.address())?;
        spawn_local(keep(reserved.address(), listener, link.clone(), far));
        Ok(Self { reserved })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.reserved.address()
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = bound(address)?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts while the link carries. While it is silent connections never come up: the machine's queue of them is made
/// as short as it can be, and filled. While it is down they are refused.
async fn keep(address: SocketAddr, first: TcpListener, link: Link, far: Far) {
    let mut conditions = link.watch();
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
                warn!(%address, %error, "a link cannot listen");
                sleep(RETRY).await;
                continue;
            }
        };
        if now.ways.silent() {
            let held = mute(&open, address);
            if conditions.wait_for(|now| !now.ways.silent() || now.down).await.is_err() {
                return;
            }
            drop(held);
            // What waited meanwhile is reset, as by a machine that is back. The new listener has a queue of its own.
            drop(open);
            continue;
        }
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    spawn_local(come(stream, far.clone(), link.clone()));
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

/// Fills a listener's queue, so that the machine answers no further connection.
fn mute(listener: &TcpListener, address: SocketAddr) -> Vec<Socket> {
    let shortened = SockRef::from(listener).listen(0);
    let fill = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        // It goes on in the background, which is an error by name.
        let _ = socket.connect(&address.into());
        Some(socket)
    };
    shortened.map_or_else(|_| Vec::new(), |()| (0..2).filter_map(|_| fill()).collect())
}

/// Connects to a process over a link, and gives back this process's end of it.
pub async fn dial(target: SocketAddr, link: &Link) -> io::Result<DuplexStream> {
    let mut conditions = link.watch();
    if conditions.wait_for(|now| !now.ways.silent()).await.is_err() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    let now = *conditions.borrow();
    if now.down {
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    // A connection is up after a way there and a way back.
    sleep(now.ways.forward.delay + now.ways.backward.delay).await;
    let stream = TcpStream::connect(target).await?;
    let (near, far) = tokio::io::duplex(PIECE);
    let link = link.clone();
    spawn_local(async move {
        let reset = SockRef::from(&stream).try_clone();
        let ended = both(near, stream, link).await;
        abort(reset, ended);
    });
    Ok(far)
}

/// A connection that has come up at a door.
async fn come(socket: TcpStream, far: Far, link: Link) {
    let _ = socket.set_nodelay(true);
    let reset = SockRef::from(&socket).try_clone();
    let ended = match far {
        Far::Here(take) => {
            let (near, far) = tokio::io::duplex(PIECE);
            take(far);
            both(socket, near, link).await
        }
        Far::There(target) => match TcpStream::connect(target).await {
            Ok(target) => {
                let _ = target.set_nodelay(true);
                let also = SockRef::from(&target).try_clone();
                let ended = both(socket, target, link).await;
                if ended.is_err() {
                    abort(also, Err(io::ErrorKind::ConnectionReset.into()));
                }
                ended
            }
            Err(error) => Err(error),
        },
    };
    abort(reset, ended);
}

/// A connection that did not end well is reset: its peer must not take it for an orderly end.
fn abort(socket: io::Result<Socket>, ended: io::Result<()>) {
    if let (Ok(socket), Err(_)) = (socket, ended) {
        let _ = socket.set_linger(Some(Duration::ZERO));
    }
}

/// Carries both directions until both have ended, or the link resets.
async fn both(
    near: impl AsyncRead + AsyncWrite,
    far: impl AsyncRead + AsyncWrite,
    link: Link,
) -> io::Result<()> {
    let mut conditions = link.watch();
    let resets = conditions.borrow_and_update().resets;
    let reset = conditions.wait_for(|now| now.down || now.resets != resets);
    let ((near_in, near_out), (far_in, far_out)) = (split(near), split(far));
    let there = carry(near_in, far_out, link.watch(), |now| now.ways.forward, link.seed);
    let back = carry(far_in, near_out, link.watch(), |now| now.ways.backward, !link.seed);
    tokio::select! {
        ended = async { tokio::try_join!(there, back) } => ended.map(|_| ()),
        _ = reset => Err(io::ErrorKind::ConnectionReset.into()),
    }
}

/// One direction of a connection, in order.
async fn carry(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut conditions: watch::Receiver<Conditions>,
    way: fn(&Conditions) -> Impairment,
    seed: u64,
) -> io::Result<()> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    // An empty piece is the end.
    let mut queue: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let (mut last, mut buffer, mut open) = (Instant::now(), vec![0; PIECE], true);
    loop {
        let now = way(&conditions.borrow_and_update());
        let due = queue.front().map(|(due, _)| *due);
        tokio::select! {
            biased;
            changed = conditions.changed() => {
                if changed.is_err() {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            }
            () = sleep_until(due.unwrap_or(last)), if due.is_some() && !now.silent => {
                let Some((_, piece)) = queue.pop_front() else { continue };
                if piece.is_empty() {
                    return to.shutdown().await;
                }
                to.write_all(&piece).await?;
            }
            read = from.read(&mut buffer), if open && queue.len() < PIECES && !now.silent => {
                let read = read?;
                open = read > 0;
                let at = Instant::now() + now.stream_delay(&mut random);
                let piece = buffer[..read].to_vec();
                // Nothing on it overtakes.
                last = last.max(at);
                queue.push_back((last, piece));
            }
        }
    }
}

/// What the way from one party to another does at present.
pub type WayOf = Rc<dyn Fn(usize, usize) -> Impairment>;

/// Links for datagrams among any number of processes. Returns where each of them is reached by all others: what comes
/// there from another one's own address goes on to its own, and seems to come from where that other one is reached.
pub async fn mesh(parties: Vec<SocketAddr>, ways: WayOf, seed: u64) -> io::Result<Vec<SocketAddr>> {
    let mut sockets = Vec::new();
    for _ in &parties {
        sockets.push(UdpSocket::bind("127.0.0.1:0").await?);
    }
    let reached = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
    let mesh = Rc::new(Mesh { parties, sockets, ways });
    for to in 0..mesh.sockets.len() {
        spawn_local(carry_datagrams(mesh.clone(), to, seed ^ (to as u64) << 32));
    }
    Ok(reached)
}

struct Mesh {
    parties: Vec<SocketAddr>,
    sockets: Vec<UdpSocket>,
    ways: WayOf,
}

/// All that comes for one party.
async fn carry_datagrams(mesh: Rc<Mesh>, to: usize, seed: u64) {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut buffer = vec![0; 64 * 1024];
    let mut queue: Vec<(Instant, usize, Vec<u8>)> = Vec::new();
    loop {
        let next =
            queue.iter().enumerate().min_by_key(|(_, (at, ..))| *at).map(|(place, (at, ..))| (place, *at));
        tokio::select! {
            () = sleep_until(next.map_or_else(Instant::now, |next| next.1)), if next.is_some() => {
                let (_, from, datagram) = queue.swap_remove(next.map_or(0, |next| next.0));
                // What is on its way when silence falls is lost, and so is what nobody takes.
                if !(mesh.ways)(from, to).silent {
                    let _ = mesh.sockets[from].send_to(&datagram, mesh.parties[to]).await;
                }
            }
            received = mesh.sockets[to].recv_from(&mut buffer) => {
                let Ok((length, from)) = received else { continue };
                // Whoever else comes, an observer say, has a good way there; answers go to it straight.
                let Some(from) = mesh.parties.iter().position(|party| *party == from) else {
                    let _ = mesh.sockets[to].send_to(&buffer[..length], mesh.parties[to]).await;
                    continue;
                };
                let now = (mesh.ways)(from, to);
                if now.silent || random.random::<f64>() < now.loss {
                    continue;
                }
                let copies = 1 + usize::from(random.random::<f64>() < now.duplicate);
                for _ in 0..copies {
                    let overtaken = random.random::<f64>() < now.reorder;
                    let late = if overtaken { MIN_RETRANSMIT_TIMEOUT / 4 } else { Duration::ZERO };
                    let at = Instant::now() + now.delay + now.jitter.mul_f64(random.random()) + late;
                    if queue.len() < DATAGRAMS {
                        queue.push((at, from, buffer[..length].to_vec()));
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
