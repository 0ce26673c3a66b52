//! Tests of dissemination among peers that find each other through membership.

use super::super::dissemination::{DisseminationConfig, DisseminationOutput, PublishError};
use super::super::{Location, Micros, Output, Peer, Peers, PeersConfig};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};

const STEP: Micros = 10_000;
const SECOND: Micros = 1_000_000;

fn address(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000 + node as u16))
}

/// Peers on a network without loss.
struct Cluster {
    now: Micros,
    peers: Vec<Peers>,
    outputs: Vec<(usize, DisseminationOutput)>,
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
}

impl Cluster {
    fn new(nodes: usize, dissemination: Option<DisseminationConfig>) -> Self {
        let config = PeersConfig { seeds: vec![address(0)], dissemination, ..PeersConfig::default() };
        let peer = |node: usize| Peer {
            address: address(node),
            generation: 1,
            salt: node as u32,
            observer: false,
            name: format!("n{node}"),
            metadata: Location { region: format!("r{}", node % 2), ..Location::default() }.encode(),
        };
        let peers = (0..nodes).map(|node| Peers::new(config.clone(), peer(node), node as u64, 0)).collect();
        Self { now: 0, peers, outputs: Vec::new(), datagrams: VecDeque::new() }
    }

    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for node in 0..self.peers.len() {
                let mut out = Vec::new();
                self.peers[node].handle_timers(self.now, &mut out);
                self.carry_out(node, out);
            }
            while let Some((to, data)) = self.datagrams.pop_front() {
                let Some(node) = (0..self.peers.len()).find(|&node| address(node) == to) else { continue };
                let mut out = Vec::new();
                self.peers[node].handle_datagram(self.now, &data, &mut out);
                self.carry_out(node, out);
            }
        }
    }

    fn carry_out(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, data } => self.datagrams.push_back((to, data)),
                Output::Dissemination(output) => self.outputs.push((node, output)),
                _ => {}
            }
        }
    }

    fn publish(&mut self, node: usize) -> Result<u64, PublishError> {
        let mut out = Vec::new();
        let published = self.peers[node].publish_log_entry(self.now, 0, 1, vec![1, 2, 3], &mut out);
        self.carry_out(node, out);
        published
    }
}

#[test]
fn log_entries_reach_all_members_and_are_acknowledged() {
    let mut cluster = Cluster::new(12, Some(DisseminationConfig::default()));
    cluster.run(5 * SECOND);
    let mut out = Vec::new();
    cluster.peers[3].open_publisher(cluster.now, 1, 1, Vec::new(), &mut out).unwrap();
    assert_eq!(cluster.publish(3), Ok(1));
    cluster.run(2 * SECOND);
    let delivered =
        cluster.outputs.iter().filter(|(_, output)| matches!(output, DisseminationOutput::Deliver { .. }));
    assert_eq!(delivered.count(), 12);
    let acknowledged = cluster.outputs.iter().find_map(|(node, output)| match output {
        DisseminationOutput::Acknowledged { nodes, .. } => Some((*node, *nodes)),
        _ => None,
    });
    assert_eq!(acknowledged, Some((3, 12)));
}

#[test]
fn acknowledgement_does_not_wait_for_a_lost_member() {
    let mut cluster = Cluster::new(6, Some(DisseminationConfig::default()));
    cluster.run(5 * SECOND);
    let mut out = Vec::new();
    cluster.peers[0].open_publisher(cluster.now, 1, 1, Vec::new(), &mut out).unwrap();
    cluster.peers.truncate(5);
    cluster.publish(0).unwrap();
    cluster.run(8 * SECOND);
    let acknowledged = cluster.outputs.iter().filter_map(|(_, output)| match output {
        DisseminationOutput::Acknowledged { nodes, .. } => Some(*nodes),
        _ => None,
    });
    assert_eq!(acknowledged.collect::<Vec<_>>(), [5]);
}

#[test]
fn publishing_fails_when_dissemination_is_not_configured() {
    let mut cluster = Cluster::new(3, None);
    cluster.run(5 * SECOND);
    assert_eq!(cluster.publish(0), Err(PublishError::NotOpen));
    assert!(cluster.peers[0].dissemination().is_none());
    assert!(cluster.outputs.is_empty());
}
