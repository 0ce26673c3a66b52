//! What discovery asks of a node and of its agent: a whole list, a change, a watch with nothing new.

use super::series::{Collect, Method, Series};
use super::stage::discovery::{host, Call, Discovery, Kind};
use super::stage::{block_on, usage, wait_for, Folder, Node};
use super::{MeasureError, Programs};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Zones that the servers are in.
const ZONES: usize = 19;
/// Servers of the plan, where the entries of a change are varied.
const PLAN_SERVERS: usize = 110;
/// Watches that the agents of the fleet answer together.
const WATCHES: [u32; 4] = [66, 132, 265, 530];
/// A port at which nobody needs to listen: nothing is sent to these servers.
const NOBODY: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

/// How much is measured.
#[derive(Clone, Debug)]
pub struct Effort {
    /// Numbers of servers.
    pub servers: Vec<usize>,
    /// Entries of a change.
    pub changed: Vec<usize>,
    /// Whole lists and changes of each size.
    pub lists: usize,
    /// How long a watch is looked at that has nothing to tell.
    pub rest: Duration,
    /// Plays of each size.
    pub seeds: u64,
}

impl Default for Effort {
    fn default() -> Self {
        Self {
            servers: vec![10, 32, 100, 320, 1_024],
            changed: vec![1, 4, 16, 64],
            lists: 20,
            rest: Duration::from_secs(9),
            seeds: 1,
        }
    }
}

/// All series of discovery.
pub fn measure(effort: &Effort, programs: &Programs) -> Result<Vec<Series>, MeasureError> {
    block_on(async {
        let mut all = All::default();
        for seed in 1..=effort.seeds {
            all.lists(effort, programs, seed).await?;
            all.changes(effort, programs, seed).await?;
        }
        all.watches(effort);
        Ok(all.into_series())
    })
}

fn hosts(servers: usize) -> Vec<Value> {
    (0..servers).map(|place| host(place, place % ZONES, SocketAddr::from(NOBODY), "ready")).collect()
}

/// The series, as they grow.
struct All {
    list_bytes: Series,
    list_seconds: Series,
    list_processor_seconds: Series,
    change_bytes: Series,
    change_processor_seconds: Series,
    changed_bytes: Series,
    rest_calls: Series,
    rest_bytes: Series,
    watch_calls: Series,
    watch_bytes: Series,
}

impl Default for All {
    fn default() -> Self {
        let real = |name: &str, unit: &str, against: &str| Series::new(name, unit, against, Method::Real);
        Self {
            list_bytes: real("discovery.list_bytes", "B", "servers"),
            list_seconds: real("discovery.list_seconds", "s", "servers"),
            list_processor_seconds: real("discovery.list_processor_seconds", "s", "servers"),
            change_bytes: real("discovery.change_bytes", "B", "servers"),
            change_processor_seconds: real("discovery.change_processor_seconds", "s", "servers"),
            changed_bytes: real("discovery.change_bytes.entries", "B", "entries that changed"),
            rest_calls: real("discovery.rest_calls_per_second", "1/s", "servers"),
            rest_bytes: real("discovery.rest_bytes_per_second", "B/s", "servers"),
            watch_calls: real("discovery.watch_calls_per_second", "1/s", "watches"),
            watch_bytes: real("discovery.watch_bytes_per_second", "B/s", "watches"),
        }
    }
}

/// A node that watches its list, and its agent.
struct Watching {
    node: Node,
    discovery: Discovery,
    _folder: Folder,
}

impl Watching {
    async fn start(programs: &Programs, servers: usize) -> Result<Self, MeasureError> {
        let folder = Folder::new(&format!("discovery-{servers}"))?;
        let discovery = Discovery::open(hosts(servers)).await?;
        let node = Node::start(programs, &folder, "n1", discovery.address(), json!({}))?;
        node.ready().await?;
        wait_for("the node's watch", || discovery.is_taken_in()).await?;
        Ok(Self { node, discovery, _folder: folder })
    }

    /// Tells these hosts so many times, each once the one before was taken in. Returns the calls, and the node's
    /// processor seconds for each.
    async fn tell(
        &self,
        hosts: &[Value],
        whole: bool,
        times: usize,
    ) -> Result<(Vec<Call>, f64), MeasureError> {
        self.discovery.take_calls();
        let before = usage::processor_seconds(self.node.id());
        for told in 1..=times {
            self.discovery.tell(hosts, whole);
            let (discovery, wanted) = (&self.discovery, if whole { Kind::Whole } else { Kind::Change });
            wait_for("a list to be taken in", || discovery.count(wanted) == told && discovery.is_taken_in())
                .await?;
        }
        let used = usage::processor_seconds(self.node.id()) - before;
        let mut calls = self.discovery.take_calls();
        calls.retain(|call| call.kind != Kind::Nothing);
        Ok((calls, used / times.max(1) as f64))
    }

    /// A watch with nothing new, from the end of a wait to the end of another; then the node is told to go.
    async fn rest(self, length: Duration) -> Result<Rest, MeasureError> {
        let discovery = &self.discovery;
        discovery.take_calls();
        wait_for("the end of a wait", || discovery.calls() > 0).await?;
        discovery.take_calls();
        let start = Instant::now();
        sleep(length).await;
        let before = discovery.calls();
        wait_for("the end of a wait", || discovery.calls() > before).await?;
        let seconds = start.elapsed().as_secs_f64();
        let calls = discovery.take_calls();
        let bytes: usize = calls.iter().map(|call| call.asked + call.answered).sum();
        self.node.stop().await?;
        Ok(Rest { calls_per_second: calls.len() as f64 / seconds, bytes_per_second: bytes as f64 / seconds })
    }
}

/// What a watch costs while there is nothing new.
struct Rest {
    calls_per_second: f64,
    bytes_per_second: f64,
}

/// The median of the times that lists took until the node called again.
fn median_seconds(calls: &[Call]) -> f64 {
    let mut times: Vec<_> = calls.iter().filter_map(|call| call.taken_in_after).collect();
    times.sort_unstable();
    times.get(times.len() / 2).map_or(0.0, Duration::as_secs_f64)
}

impl All {
    async fn lists(&mut self, effort: &Effort, programs: &Programs, seed: u64) -> Result<(), MeasureError> {
        let mut resting = Vec::new();
        for &servers in &effort.servers {
            let watching = Watching::start(programs, servers).await?;
            self.told(&watching, effort, servers, seed).await?;
            resting.push((servers, spawn_local(watching.rest(effort.rest))));
        }
        for (servers, rest) in resting {
            let rest = rest.await.map_err(|_| MeasureError::Late("a watch at rest"))??;
            self.rest_calls.push(servers as f64, rest.calls_per_second, seed);
            self.rest_bytes.push(servers as f64, rest.bytes_per_second, seed);
        }
        Ok(())
    }

    /// Whole lists and changes.
    async fn told(
        &mut self,
        watching: &Watching,
        effort: &Effort,
        servers: usize,
        seed: u64,
    ) -> Result<(), MeasureError> {
        let list = hosts(servers);
        let size = servers as f64;
        let (calls, used) = watching.tell(&list, true, effort.lists).await?;
        self.list_bytes.push(size, calls.last().map_or(0.0, |call| call.answered as f64), seed);
        self.list_seconds.push(size, median_seconds(&calls), seed);
        self.list_processor_seconds.push(size, used, seed);
        let (calls, used) = watching.tell(&list[..1], false, effort.lists).await?;
        self.change_bytes.push(size, calls.last().map_or(0.0, |call| call.answered as f64), seed);
        self.change_processor_seconds.push(size, used, seed);
        Ok(())
    }

    async fn changes(&mut self, effort: &Effort, programs: &Programs, seed: u64) -> Result<(), MeasureError> {
        let watching = Watching::start(programs, PLAN_SERVERS).await?;
        let list = hosts(PLAN_SERVERS);
        for &changed in &effort.changed {
            let (calls, _) = watching.tell(&list[..changed], false, effort.lists).await?;
            let bytes = calls.last().map_or(0.0, |call| call.answered as f64);
            self.changed_bytes.push(changed as f64, bytes, seed);
        }
        watching.node.stop().await
    }

    /// What the watches of many nodes ask of the agents, by arithmetic: so many times the mean of one that rests.
    fn watches(&mut self, effort: &Effort) {
        for seed in 1..=effort.seeds {
            let mean = |series: &Series| {
                let of = series.points.iter().filter(|point| point.seed == seed).map(|point| point.value);
                of.sum::<f64>() / effort.servers.len().max(1) as f64
            };
            let (calls, bytes) = (mean(&self.rest_calls), mean(&self.rest_bytes));
            for watches in WATCHES.map(f64::from) {
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
            self.rest_calls,
            self.rest_bytes,
            self.watch_calls,
            self.watch_bytes,
        ]
    }
}
