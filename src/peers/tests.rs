use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const SECOND: Micros = 1_000_000;
const DELAY: Micros = 500;

/// A few peers on a network that loses datagrams. Peers with `old` use schema 1: they neither send nor read a datagram
/// without a message of the engine, and all datagrams from and to them say schema 1.
struct Network {
    peers: Vec<Peers>,
    old: Vec<bool>,
    loss: f64,
    random: fastrand::Rng,
    now: Micros,
    in_flight: BinaryHeap<Reverse<(Micros, usize, Vec<u8>)>>,
    /// Datagrams that a schema 1 peer would count as malformed.
    unreadable: usize,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], 7_946))
}

fn has_engine_message(data: &[u8]) -> bool {
    Envelope::decode(data).is_some_and(|envelope| !envelope.payload.is_empty())
}

/// The schema is the first byte of a datagram.
fn as_schema_one(mut data: Vec<u8>) -> Vec<u8> {
    data[0] = 1;
    data
}

impl Network {
    fn new(old: &[bool], loss: f64) -> Self {
        let config = PeersConfig {
            seeds: vec![address(0)],
            configured_nodes: old.len() as u32,
            ..PeersConfig::default()
        };
        let peer = |node: usize| {
            let name = format!("n{node}");
            let me = Peer {
                address: address(node),
                generation: 1,
                salt: 1,
                observer: false,
                name,
                metadata: Vec::new(),
            };
            Peers::new(config.clone(), me, node as u64, 0)
        };
        Self {
            peers: (0..old.len()).map(peer).collect(),
            old: old.to_vec(),
            loss,
            random: fastrand::Rng::with_seed(1),
            now: 0,
            in_flight: BinaryHeap::new(),
            unreadable: 0,
        }
    }

    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += SECOND / 1_000;
            while self.in_flight.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
                let Some(Reverse((_, to, data))) = self.in_flight.pop() else { break };
                let mut out = Vec::new();
                self.peers[to].handle_datagram(self.now, &data, &mut out);
                self.send(to, out);
            }
            for node in 0..self.peers.len() {
                let mut out = Vec::new();
                self.peers[node].handle_timers(self.now, &mut out);
                self.send(node, out);
            }
        }
    }

    fn send(&mut self, from: usize, out: Vec<Output>) {
        for output in out {
            let Output::Send { to, data } = output else { continue };
            let Some(to) = (0..self.peers.len()).find(|node| address(*node) == to) else { continue };
            if self.old[from] && !has_engine_message(&data) {
                continue;
            }
            if self.old[to] && !has_engine_message(&data) {
                self.unreadable += 1;
                continue;
            }
            let data = if self.old[from] || self.old[to] { as_schema_one(data) } else { data };
            if self.random.f64() >= self.loss {
                self.in_flight.push(Reverse((self.now + DELAY, to, data)));
            }
        }
    }

    fn is_agreed(&self) -> bool {
        let summaries: Vec<_> = self.peers.iter().map(Peers::summary).collect();
        summaries.iter().all(|summary| {
            summary.agreement == Agreement::Agreed
                && summary.digest == summaries[0].digest
                && summary.nodes as usize == self.peers.len()
        })
    }
}

// Guards against datagrams that schema 1 peers cannot read, and against differing views that neither schema repairs.
#[test]
fn peers_of_schemas_one_and_two_agree_on_a_view() {
    for loss in [0.0, 0.2] {
        let mut network = Network::new(&[true, false, true, false, false, true], loss);
        network.run(15 * SECOND);
        assert!(network.is_agreed(), "loss {loss}");
        assert_eq!(network.unreadable, 0, "loss {loss}");
        let announces = |node: usize| network.peers[node].traffic().sent(TrafficKind::Announce).datagrams;
        assert!((0..6).map(announces).sum::<u64>() > 6, "member lists are requested beyond joining");
    }
}

#[test]
fn idle_agreed_cluster_sends_only_probes() {
    let mut network = Network::new(&[false; 5], 0.0);
    network.run(10 * SECOND);
    assert!(network.is_agreed());
    let before: Vec<_> = network.peers.iter().map(Peers::traffic).collect();
    network.run(20 * SECOND);
    for (peers, before) in network.peers.iter().zip(before) {
        for kind in TRAFFIC_KINDS {
            let sent = peers.traffic().sent(kind).bytes - before.sent(kind).bytes;
            assert_eq!(sent > 0, kind == TrafficKind::Probe, "{kind:?}: {sent} bytes");
        }
    }
}
