//! What a real node writes to its log: in normal operation, while a zone of servers is silent, and after peers are
//! lost.

use super::hollow_peers::HollowPeers;
use super::series::{Method, Series, SeriesExt};
use super::testbed::clients::{Load, QUICK};
use super::testbed::discovery::{host_entry, DiscoveryStub};
use super::testbed::servers::StubServers;
use super::testbed::{block_on, wait_for, Node, TempDir};
use super::{MeasureError, Programs};
use crate::real::link::{unique_loopback_address, ReservedUdpPort};
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Zones other than the lost one, as in the planned fleet.
const REMAINING_ZONES: usize = 18;
/// Bytes of a server's response.
const RESPONSE_BYTES: usize = 1_024;
const CLUSTER: &str = "log";
/// Interval at which the size of the log is sampled.
const SECOND: Duration = Duration::from_secs(1);

/// Parameters of the measurement.
#[derive(Clone, Debug)]
pub struct Params {
    /// Total number of cache servers.
    pub servers: usize,
    /// Numbers of servers in the lost zone.
    pub servers_lost: Vec<usize>,
    /// Numbers of lost peers.
    pub peers_lost: Vec<usize>,
    /// Peers that remain.
    pub peers_remaining: usize,
    /// Requests per second while the number of lost servers is varied.
    pub rate: f64,
    /// Requests per second, where the rate is varied.
    pub rates: Vec<f64>,
    /// Time between the discovery of all peers and the loss.
    pub settle: Duration,
    /// Seconds of normal operation, and of each failure.
    pub seconds: u32,
    /// Runs of each size.
    pub seeds: u64,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            servers: 110,
            servers_lost: vec![4, 8, 16, 28],
            peers_lost: vec![7, 14, 28, 56],
            peers_remaining: 28,
            rate: 755.0,
            rates: vec![100.0, 300.0, 755.0, 1_500.0],
            settle: Duration::from_secs(3),
            seconds: 10,
            seeds: 1,
        }
    }
}

/// Measures all series of the log.
pub fn measure(params: &Params, programs: &Programs) -> Result<Vec<Series>, MeasureError> {
    block_on(async {
        let mut all = SeriesSet::default();
        for seed in 1..=params.seeds {
            all.run(params, programs, seed).await?;
        }
        Ok(all.into_series())
    })
}

struct SeriesSet {
    calm: Series,
    zone: Series,
    zone_largest: Series,
    peers: Series,
    peers_largest: Series,
    all: Series,
    all_largest: Series,
}

impl Default for SeriesSet {
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

/// Growth of the log, in bytes per second: mean, and largest of any second.
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

/// Host entries of the servers; the first `lost` of them are in the zone that is lost.
fn hosts(servers: &StubServers, lost: usize) -> Vec<Value> {
    let zone = |index: usize| if index < lost { 0 } else { 1 + index % REMAINING_ZONES };
    let all = servers.addresses().iter().enumerate();
    all.map(|(index, &address)| host_entry(index, zone(index), address, "ready")).collect()
}

/// Servers that fall silent under a load.
#[derive(Clone, Copy)]
struct Loss {
    servers: usize,
    rate: f64,
}

impl SeriesSet {
    fn into_series(self) -> Vec<Series> {
        let Self { calm, zone, zone_largest, peers, peers_largest, all, all_largest } = self;
        vec![calm, zone, zone_largest, peers, peers_largest, all, all_largest]
    }

    /// Runs all sizes at once: what a node logs does not depend on how busy the machine is.
    async fn run(&mut self, params: &Params, programs: &Programs, seed: u64) -> Result<(), MeasureError> {
        let params = Rc::new(params.clone());
        let start = |lost, rate| {
            let loss = Loss { servers: lost, rate };
            (loss, spawn_local(measure_zone_loss(params.clone(), programs.clone(), loss)))
        };
        let zones: Vec<_> = params.servers_lost.iter().map(|&lost| start(lost, params.rate)).collect();
        let peers: Vec<_> = params
            .peers_lost
            .iter()
            .map(|&lost| (lost, spawn_local(measure_peer_loss(params.clone(), programs.clone(), lost))))
            .collect();
        for (loss, zone) in zones {
            let (calm, failure) =
                zone.await.map_err(|_| MeasureError::Timeout("the measurement of a zone's loss"))??;
            let lost = loss.servers as f64;
            self.calm.push(lost, calm.mean, seed);
            self.zone.push(lost, failure.mean, seed);
            self.zone_largest.push(lost, failure.largest, seed);
        }
        for (lost, peers) in peers {
            let growth =
                peers.await.map_err(|_| MeasureError::Timeout("the measurement of the peers' loss"))??;
            self.peers.push(lost as f64, growth.mean, seed);
            self.peers_largest.push(lost as f64, growth.largest, seed);
        }
        // With all servers lost, each request ends in a log line, up to the log's rate limit.
        let all: Vec<_> = params.rates.iter().map(|&rate| start(params.servers, rate)).collect();
        for (loss, zone) in all {
            let (_, failure) = zone
                .await
                .map_err(|_| MeasureError::Timeout("the measurement of the loss of all servers"))??;
            self.all.push(loss.rate, failure.mean, seed);
            self.all_largest.push(loss.rate, failure.largest, seed);
        }
        Ok(())
    }
}

/// Growth of the log in normal operation, and then while the first `servers` servers are silent.
async fn measure_zone_loss(
    params: Rc<Params>,
    programs: Programs,
    loss: Loss,
) -> Result<(Growth, Growth), MeasureError> {
    let Loss { servers: lost, rate } = loss;
    let temp_dir = TempDir::new(&format!("log-zone-{lost}-{rate}"))?;
    let servers = StubServers::open(params.servers, RESPONSE_BYTES).await?;
    let discovery = DiscoveryStub::open(hosts(&servers, lost)).await?;
    let node = Node::start(&programs, &temp_dir, "n1", discovery.address(), json!({}))?;
    node.wait_ready().await?;
    let load = Load::start(node.address(), QUICK, rate, 0).await?;
    sleep(SECOND).await;
    let calm = growth(&node, params.seconds).await;
    servers.silence(lost);
    let failure = growth(&node, params.seconds).await;
    load.stop().await;
    node.stop().await?;
    Ok((calm, failure))
}

/// Growth of the log after `lost` peers have fallen silent.
async fn measure_peer_loss(
    params: Rc<Params>,
    programs: Programs,
    lost: usize,
) -> Result<Growth, MeasureError> {
    let temp_dir = TempDir::new(&format!("log-peers-{lost}"))?;
    let servers = StubServers::open(1, RESPONSE_BYTES).await?;
    let discovery = DiscoveryStub::open(hosts(&servers, 0)).await?;
    let failed = MeasureError::io("a port for peers");
    let reserved = ReservedUdpPort::new(unique_loopback_address()).map_err(failed)?;
    reserved.release();
    let address = reserved.address();
    let section = json!({"peers": {"listen": address.to_string(), "cluster": CLUSTER}});
    let node = Node::start(&programs, &temp_dir, "n1", discovery.address(), section)?;
    node.wait_ready().await?;
    let nodes = (lost + params.peers_remaining + 1) as u32;
    let remaining = HollowPeers::start(params.peers_remaining, 0, address, CLUSTER, nodes).await?;
    let lost_peers = HollowPeers::start(lost, params.peers_remaining, address, CLUSTER, nodes).await?;
    let all = lost + params.peers_remaining;
    wait_for("the node to discover its peers", || node.log().matches("a peer is present").count() >= all)
        .await?;
    sleep(params.settle).await;
    drop(lost_peers);
    let growth = growth(&node, params.seconds).await;
    drop(remaining);
    node.stop().await?;
    Ok(growth)
}
