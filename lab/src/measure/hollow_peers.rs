//! Peers without a request path, for a real node to meet and to lose: each its membership and its socket.

use super::MeasureError;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep_until, Instant};
use walkpick::peers::{Output, Peer, Peers, PeersConfig};

/// The longest datagram that is read.
const LONGEST: usize = 2_048;
/// With no time to wait for, a peer looks again after so long.
const REST: Duration = Duration::from_secs(1);

/// Peers that run. Dropped, they fall silent all at once, as in a zone's loss.
#[derive(Debug)]
pub struct HollowPeers {
    tasks: Vec<JoinHandle<()>>,
}

impl HollowPeers {
    /// Starts so many, numbered from `first`, who first ask `seed`.
    pub async fn start(
        count: usize,
        first: usize,
        seed: SocketAddr,
        cluster: &str,
        nodes: u32,
    ) -> Result<Self, MeasureError> {
        let mut tasks = Vec::with_capacity(count);
        for place in first..first + count {
            let failed = MeasureError::machine("a peer's socket");
            let socket = UdpSocket::bind("127.0.0.1:0").await.map_err(&failed)?;
            let address = socket.local_addr().map_err(&failed)?;
            let config = PeersConfig {
                cluster: cluster.to_owned(),
                seeds: vec![seed],
                configured_nodes: nodes,
                ..PeersConfig::default()
            };
            let name = format!("peer-{place:04}");
            let me = Peer {
                address,
                generation: 1,
                salt: place as u32,
                observer: false,
                name,
                metadata: Vec::new(),
            };
            let peers = Peers::new(config, me, place as u64, 0);
            tasks.push(spawn_local(async move { drop(run(socket, peers).await) }));
        }
        Ok(Self { tasks })
    }
}

impl Drop for HollowPeers {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn run(socket: UdpSocket, mut peers: Peers) -> io::Result<()> {
    let (start, mut buffer, mut out) = (Instant::now(), vec![0; LONGEST], Vec::new());
    loop {
        let now = || u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        let next =
            peers.next_wakeup().map_or_else(|| Instant::now() + REST, |at| start + Duration::from_micros(at));
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // An error is a peer's machine that refused an earlier datagram.
                if let Ok((length, _)) = received {
                    peers.handle_datagram(now(), &buffer[..length], &mut out);
                }
            }
            () = sleep_until(next) => peers.handle_timers(now(), &mut out),
        }
        for output in out.drain(..) {
            if let Output::Send { to, data } = output {
                // What cannot be sent at once is lost, as on any network.
                let _ = socket.try_send_to(&data, to);
            }
        }
    }
}
