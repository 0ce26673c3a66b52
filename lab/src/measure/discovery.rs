//! What discovery costs a node and its agent: a full list, a change, and a watch without changes.

use super::series::{Method, Series, SeriesExt};
use super::testbed::discovery::{host_entry, Call, DiscoveryStub, ResponseKind};
use super::testbed::{block_on, usage, wait_for, Node, TempDir};
use super::{MeasureError, Programs};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Zones that the servers are spread over.
const ZONES: usize = 19;
/// Servers of the planned fleet, used where the number of changed entries is varied.
const PLAN_SERVERS: usize = 110;
/// Numbers of watches that the fleet's agents serve together.
const WATCH_COUNTS: [u32; 4] = [66, 132, 265, 530];
/// Address of the listed servers: no requests are sent, so nothing needs to listen there.
const UNUSED_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

/// Parameters of the measurement.
#[derive(Clone, Debug)]
pub struct Params {
    /// Numbers of servers.
    pub servers: Vec<usize>,
    /// Numbers of entries in a change.
    pub changed: Vec<usize>,
    /// Full lists and changes sent for each size.
    pub repetitions: usize,
    /// How long an idle watch is observed.
    pub idle: Duration,
    /// Runs of each size.
    pub seeds: u64,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            servers: vec![10, 32, 100, 320, 1_024],
            changed: vec![1, 4, 16, 64],
            repetitions: 20,
            idle: Duration::from_secs(9),
            seeds: 1,
        }
    }
}

/// Measures all series of discovery.
pub fn measure(params: &Params, programs: &Programs) -> Result<Vec<Series>, MeasureError> {
    block_on(async {
        let mut all = SeriesSet::default();
        for seed in 1..=params.seeds {
            all.measure_lists(params, programs, seed).await?;
            all.measure_changes(params, programs, seed).await?;
        }
        all.derive_watches(params);
        Ok(all.into_series())
    })
}

fn hosts(servers: usize) -> Vec<Value> {
    (0..servers)
        .map(|index| host_entry(index, index % ZONES, SocketAddr::from(UNUSED_ADDRESS), "ready"))
        .collect()
}

/// The series under construction.
struct SeriesSet {
    list_bytes: Series,
    list_seconds: Series,
    list_processor_seconds: Series,
    change_bytes: Series,
    change_processor_seconds: Series,
    changed_bytes: Series,
    idle_calls: Series,
    idle_bytes: Series,
    watch_calls: Series,
    watch_bytes: Series,
}

impl Default for SeriesSet {
    fn default() -> Self {
        let real = |name: &str, unit: &str, against: &str| Series::new(name, unit, against, Method::Real);
        Self {
            list_bytes: real("discovery.list_bytes", "B", "servers"),
            list_seconds: real("discovery.list_seconds", "s", "servers"),
            list_processor_seconds: real("discovery.list_processor_seconds", "s", "servers"),
            change_bytes: real("discovery.change_bytes", "B", "servers"),
            change_processor_seconds: real("discovery.change_processor_seconds", "s", "servers"),
            changed_bytes: real("discovery.change_bytes.entries", "B", "entries that changed"),
            idle_calls: real("discovery.rest_calls_per_second", "1/s", "servers"),
            idle_bytes: real("discovery.rest_bytes_per_second", "B/s", "servers"),
            watch_calls: real("discovery.watch_calls_per_second", "1/s", "watches"),
            watch_bytes: real("discovery.watch_bytes_per_second", "B/s", "watches"),
        }
    }
}

/// A node that watches its server list, and the discovery agent that it watches.
struct WatchingNode {
    node: Node,
    discovery: DiscoveryStub,
    _temp_dir: TempDir,
}

impl WatchingNode {
    async fn start(programs: &Programs, servers: usize) -> Result<Self, MeasureError> {
        let temp_dir = TempDir::new(&format!("discovery-{servers}"))?;
        let discovery = DiscoveryStub::open(hosts(servers)).await?;
        let node = Node::start(programs, &temp_dir, "n1", discovery.address(), json!({}))?;
        node.wait_ready().await?;
        wait_for("the node to watch discovery", || discovery.is_applied()).await?;
        Ok(Self { node, discovery, _temp_dir: temp_dir })
    }

    /// Publishes the hosts `times` times, each time after the previous one was applied. Returns the calls with a list
    /// or a change, and the processor seconds of the node for each.
    async fn publish(
        &self,
        hosts: &[Value],
        full: bool,
        times: usize,
    ) -> Result<(Vec<Call>, f64), MeasureError> {
        self.discovery.take_calls();
        let before = usage::processor_seconds(self.node.id());
        for published in 1..=times {
            self.discovery.publish(hosts, full);
            let (discovery, kind) =
                (&self.discovery, if full { ResponseKind::Full } else { ResponseKind::Changes });
            wait_for("the node to apply a list", || {
                discovery.count(kind) == published && discovery.is_applied()
            })
            .await?;
        }
        let used = usage::processor_seconds(self.node.id()) - before;
        let mut calls = self.discovery.take_calls();
        calls.retain(|call| call.kind != ResponseKind::Unchanged);
        Ok((calls, used / times.max(1) as f64))
    }

    /// Observes the watch without changes, from the end of one long poll to the end of another, then stops the node.
    async fn measure_idle(self, length: Duration) -> Result<IdleCost, MeasureError> {
        let discovery = &self.discovery;
        discovery.take_calls();
        wait_for("the end of a long poll", || discovery.calls() > 0).await?;
        discovery.take_calls();
        let start = Instant::now();
        sleep(length).await;
        let before = discovery.calls();
        wait_for("the end of a long poll", || discovery.calls() > before).await?;
        let seconds = start.elapsed().as_secs_f64();
        let calls = discovery.take_calls();
        let bytes: usize = calls.iter().map(|call| call.request_bytes + call.response_bytes).sum();
        self.node.stop().await?;
        Ok(IdleCost {
            calls_per_second: calls.len() as f64 / seconds,
            bytes_per_second: bytes as f64 / seconds,
        })
    }
}

/// What a watch costs while nothing changes.
struct IdleCost {
    calls_per_second: f64,
    bytes_per_second: f64,
}

/// Median time from an answer to the node's next call.
fn median_apply_seconds(calls: &[Call]) -> f64 {
    let mut times: Vec<_> = calls.iter().filter_map(|call| call.applied_after).collect();
    times.sort_unstable();
    times.get(times.len() / 2).map_or(0.0, Duration::as_secs_f64)
}

impl SeriesSet {
    async fn measure_lists(
        &mut self,
        params: &Params,
        programs: &Programs,
        seed: u64,
    ) -> Result<(), MeasureError> {
        let mut idle_tasks = Vec::new();
        for &servers in &params.servers {
            let watching = WatchingNode::start(programs, servers).await?;
            self.measure_updates(&watching, params, servers, seed).await?;
            idle_tasks.push((servers, spawn_local(watching.measure_idle(params.idle))));
        }
        for (servers, idle) in idle_tasks {
            let idle =
                idle.await.map_err(|_| MeasureError::Timeout("the measurement of an idle watch"))??;
            self.idle_calls.push(servers as f64, idle.calls_per_second, seed);
            self.idle_bytes.push(servers as f64, idle.bytes_per_second, seed);
        }
        Ok(())
    }

    /// Measures full lists and changes.
    async fn measure_updates(
        &mut self,
        watching: &WatchingNode,
        params: &Params,
        servers: usize,
        seed: u64,
    ) -> Result<(), MeasureError> {
        let list = hosts(servers);
        let size = servers as f64;
        let (calls, used) = watching.publish(&list, true, params.repetitions).await?;
        self.list_bytes.push(size, calls.last().map_or(0.0, |call| call.response_bytes as f64), seed);
        self.list_seconds.push(size, median_apply_seconds(&calls), seed);
        self.list_processor_seconds.push(size, used, seed);
        let (calls, used) = watching.publish(&list[..1], false, params.repetitions).await?;
        self.change_bytes.push(size, calls.last().map_or(0.0, |call| call.response_bytes as f64), seed);
        self.change_processor_seconds.push(size, used, seed);
        Ok(())
    }

    async fn measure_changes(
        &mut self,
        params: &Params,
        programs: &Programs,
        seed: u64,
    ) -> Result<(), MeasureError> {
        let watching = WatchingNode::start(programs, PLAN_SERVERS).await?;
        let list = hosts(PLAN_SERVERS);
        for &changed in &params.changed {
            let (calls, _) = watching.publish(&list[..changed], false, params.repetitions).await?;
            let bytes = calls.last().map_or(0.0, |call| call.response_bytes as f64);
            self.changed_bytes.push(changed as f64, bytes, seed);
        }
        watching.node.stop().await
    }

    /// Load of many nodes' watches on the agents, computed as a multiple of the mean of one idle watch.
    fn derive_watches(&mut self, params: &Params) {
        for seed in 1..=params.seeds {
            let mean = |series: &Series| {
                let values = series.points.iter().filter(|point| point.seed == seed).map(|point| point.value);
                values.sum::<f64>() / params.servers.len().max(1) as f64
            };
            let (calls, bytes) = (mean(&self.idle_calls), mean(&self.idle_bytes));
            for watches in WATCH_COUNTS.map(f64::from) {
                self.watch_calls.push(watches, calls * watches, seed);
                self.watch_bytes.push(watches, bytes * watches, seed);
            }
        }
    }

    fn into_series(self) -> Vec<Series> {
        vec![
            self.list_bytes,
            self.list_seconds,
            self.list_processor_seconds,
            self.change_bytes,
            self.change_processor_seconds,
            self.changed_bytes,
            self.idle_calls,
            self.idle_bytes,
            self.watch_calls,
            self.watch_bytes,
        ]
    }
}
