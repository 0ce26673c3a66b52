//! What a real node writes to its log: in calm, while a zone of servers says nothing, and when peers are lost.

use super::hollow_peers::HollowPeers;
use super::series::{Collect, Method, Series};
use super::stage::clients::{Load, QUICK};
use super::stage::discovery::{host, Discovery};
use super::stage::servers::Servers;
use super::stage::{block_on, wait_for, Folder, Node};
use super::{MeasureError, Programs};
use crate::real::link::{unique_loopback_address, ReservedUdpPort};
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Zones of the plan that keep their servers.
const OTHER_ZONES: usize = 18;
/// Bytes of an answer.
const ANSWER_BYTES: usize = 1_024;
const CLUSTER: &str = "log";
/// A node looks at its log so often.
const SECOND: Duration = Duration::from_secs(1);

/// How much is measured.
#[derive(Clone, Debug)]
pub struct Effort {
    /// Cache servers in all.
    pub servers: usize,
    /// Servers of the zone that is lost.
    pub servers_lost: Vec<usize>,
    /// Peers that are lost.
    pub peers_lost: Vec<usize>,
    /// Peers that stay.
    pub peers_kept: usize,
    /// Requests a second, while servers or peers are varied.
    pub rate: f64,
    /// Requests a second, where those are varied.
    pub rates: Vec<f64>,
    /// Peers stand for so long before some are lost.
    pub settle: Duration,
    /// Seconds of calm, and of each loss.
    pub seconds: u32,
    /// Plays of each size.
    pub seeds: u64,
}

impl Default for Effort {
    fn default() -> Self {
        Self {
            servers: 110,
            servers_lost: vec![4, 8, 16, 28],
            peers_lost: vec![7, 14, 28, 56],
            peers_kept: 28,
            rate: 755.0,
            rates: vec![100.0, 300.0, 755.0, 1_500.0],
            settle: Duration::from_secs(3),
            seconds: 10,
            seeds: 1,
        }
    }
}

/// All series of the log.
pub fn measure(effort: &Effort, programs: &Programs) -> Result<Vec<Series>, MeasureError> {
    block_on(async {
        let mut all = All::default();
        for seed in 1..=effort.seeds {
            all.play(effort, programs, seed).await?;
        }
        Ok(all.into_series())
    })
}

struct All {
    calm: Series,
    zone: Series,
    zone_largest: Series,
    peers: Series,
    peers_largest: Series,
    all: Series,
    all_largest: Series,
}

impl Default for All {
    fn default() -> Self {
        let real = |name: &str, against: &str| Series::new(name, "B/s", against, Method::Real);
        Self {
            calm: real("log.bytes_per_second.calm", "servers of the zone"),
            zone: real("log.bytes_per_second.zone_lost", "servers lost"),
            zone_largest: real("log.bytes_per_second.zone_lost.largest", "servers lost"),
            peers: real("log.bytes_per_second.peers_lost", "nodes lost"),
            peers_largest: real("log.bytes_per_second.peers_lost.largest", "nodes lost"),
            all: real("log.bytes_per_second.all_servers_lost", "requests a second"),
            all_largest: real("log.bytes_per_second.all_servers_lost.largest", "requests a second"),
        }
    }
}

/// What the log grew by, on the mean and in the largest second.
struct Growth {
    mean: f64,
    largest: f64,
}

async fn growth(node: &Node, seconds: u32) -> Growth {
    let start = node.log_bytes();
    let (mut before, mut largest) = (start, 0);
    for _ in 0..seconds.max(1) {
        sleep(SECOND).await;
        let now = node.log_bytes();
        largest = largest.max(now - before);
        before = now;
    }
    Growth { mean: (before - start) as f64 / f64::from(seconds.max(1)), largest: largest as f64 }
}

/// The lost zone's servers come first.
fn hosts(servers: &Servers, lost: usize) -> Vec<Value> {
    let zone = |place: usize| if place < lost { 0 } else { 1 + place % OTHER_ZONES };
    let all = servers.addresses().iter().enumerate();
    all.map(|(place, &address)| host(place, zone(place), address, "ready")).collect()
}

/// Servers that fall silent under a load.
#[derive(Clone, Copy)]
struct Loss {
    servers: usize,
    rate: f64,
}

impl All {
    fn into_series(self) -> Vec<Series> {
        let Self { calm, zone, zone_largest, peers, peers_largest, all, all_largest } = self;
        vec![calm, zone, zone_largest, peers, peers_largest, all, all_largest]
    }

    /// All sizes at once: what a node logs does not depend on how busy the machine is with others.
    async fn play(&mut self, effort: &Effort, programs: &Programs, seed: u64) -> Result<(), MeasureError> {
        let effort = Rc::new(effort.clone());
        let start = |lost, rate| {
            let loss = Loss { servers: lost, rate };
            (loss, spawn_local(zone(effort.clone(), programs.clone(), loss)))
        };
        let zones: Vec<_> = effort.servers_lost.iter().map(|&lost| start(lost, effort.rate)).collect();
        let peers: Vec<_> = effort
            .peers_lost
            .iter()
            .map(|&lost| (lost, spawn_local(peers(effort.clone(), programs.clone(), lost))))
            .collect();
        for (loss, zone) in zones {
            let (calm, trouble) = zone.await.map_err(|_| MeasureError::Late("a zone's loss"))??;
            let lost = loss.servers as f64;
            self.calm.push(lost, calm.mean, seed);
            self.zone.push(lost, trouble.mean, seed);
            self.zone_largest.push(lost, trouble.largest, seed);
        }
        for (lost, peers) in peers {
            let growth = peers.await.map_err(|_| MeasureError::Late("the peers' loss"))??;
            self.peers.push(lost as f64, growth.mean, seed);
            self.peers_largest.push(lost as f64, growth.largest, seed);
        }
        // All servers are lost: each request ends in a line, as far as the log admits it.
        let all: Vec<_> = effort.rates.iter().map(|&rate| start(effort.servers, rate)).collect();
        for (loss, zone) in all {
            let (_, trouble) = zone.await.map_err(|_| MeasureError::Late("the loss of all servers"))??;
            self.all.push(loss.rate, trouble.mean, seed);
            self.all_largest.push(loss.rate, trouble.largest, seed);
        }
        Ok(())
    }
}

/// The log in calm, and then while a zone of so many servers says nothing.
async fn zone(effort: Rc<Effort>, programs: Programs, loss: Loss) -> Result<(Growth, Growth), MeasureError> {
    let Loss { servers: lost, rate } = loss;
    let folder = Folder::new(&format!("log-zone-{lost}-{rate}"))?;
    let servers = Servers::open(effort.servers, ANSWER_BYTES).await?;
    let discovery = Discovery::open(hosts(&servers, lost)).await?;
    let node = Node::start(&programs, &folder, "n1", discovery.address(), json!({}))?;
    node.ready().await?;
    let load = Load::begin(node.address(), QUICK, rate, 0).await?;
    sleep(SECOND).await;
    let calm = growth(&node, effort.seconds).await;
    servers.silence(lost);
    let trouble = growth(&node, effort.seconds).await;
    load.end().await;
    node.stop().await?;
    Ok((calm, trouble))
}

/// The log after so many peers have fallen silent.
async fn peers(effort: Rc<Effort>, programs: Programs, lost: usize) -> Result<Growth, MeasureError> {
    let folder = Folder::new(&format!("log-peers-{lost}"))?;
    let servers = Servers::open(1, ANSWER_BYTES).await?;
    let discovery = Discovery::open(hosts(&servers, 0)).await?;
    let failed = MeasureError::machine("a port for peers");
    let reserved = ReservedUdpPort::new(unique_loopback_address()).map_err(failed)?;
    reserved.release();
    let address = reserved.address();
    let section = json!({"peers": {"listen": address.to_string(), "cluster": CLUSTER}});
    let node = Node::start(&programs, &folder, "n1", discovery.address(), section)?;
    node.ready().await?;
    let nodes = (lost + effort.peers_kept + 1) as u32;
    let kept = HollowPeers::start(effort.peers_kept, 0, address, CLUSTER, nodes).await?;
    let gone = HollowPeers::start(lost, effort.peers_kept, address, CLUSTER, nodes).await?;
    let all = lost + effort.peers_kept;
    wait_for("the peers", || node.log().matches("a peer is present").count() >= all).await?;
    sleep(effort.settle).await;
    drop(gone);
    let growth = growth(&node, effort.seconds).await;
    drop(kept);
    node.stop().await?;
    Ok(growth)
}
