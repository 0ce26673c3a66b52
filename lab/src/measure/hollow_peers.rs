//! Peers without a request path, for a real node to discover and to lose: each is a membership state machine and a
//! socket.

use super::MeasureError;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep_until, Instant};
use walkpick::peers::{Output, Peer, Peers, PeersConfig};

/// Size of the receive buffer, in bytes: the longest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Time until the next check of timers if a peer has none pending.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// A set of running peers. Dropping it silences all of them at once, as in the loss of a zone.
#[derive(Debug)]
pub struct HollowPeers {
    tasks: Vec<JoinHandle<()>>,
}

impl HollowPeers {
    /// Starts `count` peers, numbered from `first`, that join through `seed`.
    pub async fn start(
        count: usize,
        first: usize,
        seed: SocketAddr,
        cluster: &str,
        nodes: u32,
    ) -> Result<Self, MeasureError> {
        let mut tasks = Vec::with_capacity(count);
        for index in first..first + count {
            let failed = MeasureError::io("a peer's socket");
            let socket = UdpSocket::bind("127.0.0.1:0").await.map_err(&failed)?;
            let address = socket.local_addr().map_err(&failed)?;
            let config = PeersConfig {
                cluster: cluster.to_owned(),
                seeds: vec![seed],
                configured_nodes: nodes,
                ..PeersConfig::default()
            };
            let name = format!("peer-{index:04}");
            let local_peer = Peer {
                address,
                generation: 1,
                salt: index as u32,
                observer: false,
                name,
                metadata: Vec::new(),
            };
            let peers = Peers::new(config, local_peer, index as u64, 0);
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
    let (start, mut buffer, mut out) = (Instant::now(), vec![0; MAX_DATAGRAM_BYTES], Vec::new());
    loop {
        let now = || u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        let wakeup = peers
            .next_wakeup()
            .map_or_else(|| Instant::now() + IDLE_INTERVAL, |at| start + Duration::from_micros(at));
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // An error only means that another peer's host refused an earlier datagram.
                if let Ok((length, _)) = received {
                    peers.handle_datagram(now(), &buffer[..length], &mut out);
                }
            }
            () = sleep_until(wakeup) => peers.handle_timers(now(), &mut out),
        }
        for output in out.drain(..) {
            if let Output::Send { to, data } = output {
                // A datagram that cannot be sent at once is lost, as on any network.
                let _ = socket.try_send_to(&data, to);
            }
        }
    }
}
