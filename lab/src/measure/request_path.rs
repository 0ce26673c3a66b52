//! What requests, connections and refusals cost a real node, compared with a bare relay under the same load in the
//! same run.

use super::relay::Relay;
use super::series::{Method, Series, SeriesExt};
use super::testbed::clients::{open_idle_clients, Client, Load, ResponseCounts, PATIENT};
use super::testbed::discovery::{host_entry, DiscoveryStub, ResponseKind};
use super::testbed::servers::StubServers;
use super::testbed::{block_on, usage, wait_for, Node, TempDir};
use super::{MeasureError, Programs};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Servers: with 16 concurrent requests at each, no measured number of requests in flight reaches a limit.
const SERVERS: usize = 64;
/// Zones that the servers are spread over.
const ZONES: usize = 2;
/// Bytes of a server's response, where another size is varied.
const RESPONSE_BYTES: usize = 1_024;
/// Request numbers reserved for each load of a run, so that no number is used twice.
const NUMBERS_PER_LOAD: u64 = 10_000_000;
/// Part of the measured time that passes before it begins, so that connections are open and tables filled.
const WARM_UP_SHARE: f64 = 0.25;

/// Parameters of the measurement.
#[derive(Clone, Debug)]
pub struct Params {
    /// Requests per second.
    pub rates: Vec<f64>,
    /// Bytes of a server's response.
    pub response_bytes: Vec<usize>,
    /// Requests per second while the response size is varied.
    pub response_bytes_rate: f64,
    /// Refusals per second.
    pub refusals: Vec<f64>,
    /// Numbers of idle client connections.
    pub connections: Vec<usize>,
    /// Numbers of requests in flight.
    pub in_flight: Vec<usize>,
    /// Time over which a load is measured.
    pub length: Duration,
    /// Time for the node to become idle before its memory is read.
    pub settle: Duration,
    /// Runs of each size.
    pub seeds: u64,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            rates: vec![250.0, 500.0, 1_000.0, 2_000.0],
            response_bytes: vec![1 << 10, 1 << 12, 1 << 14, 1 << 16],
            response_bytes_rate: 400.0,
            refusals: vec![250.0, 500.0, 1_000.0, 2_000.0],
            connections: vec![100, 200, 400, 800],
            in_flight: vec![50, 100, 200, 400],
            length: Duration::from_millis(1_500),
            settle: Duration::from_millis(300),
            seeds: 2,
        }
    }
}

/// Measures all series of the request path.
pub fn measure(params: &Params, programs: &Programs) -> Result<Vec<Series>, MeasureError> {
    block_on(async {
        let mut all = Vec::new();
        for seed in 1..=params.seeds {
            merge(&mut all, run(params, programs, seed).await?);
        }
        Ok(all)
    })
}

/// Merges the points of further series into those with the same name.
fn merge(all: &mut Vec<Series>, new_series: Vec<Series>) {
    for series in new_series {
        match all.iter_mut().find(|existing| existing.name == series.name) {
            Some(existing) => existing.points.extend(series.points),
            None => all.push(series),
        }
    }
}

fn hosts(servers: &StubServers, health: &str) -> Vec<Value> {
    let all = servers.addresses().iter().enumerate();
    all.map(|(index, &address)| host_entry(index, index % ZONES, address, health)).collect()
}

/// A node and a relay in front of the same servers.
struct Bench {
    servers: StubServers,
    discovery: DiscoveryStub,
    node: Node,
    relay: Relay,
    /// First request number of the current load.
    first_number: u64,
    length: Duration,
    seed: u64,
    temp_dir: TempDir,
}

/// What a load cost a process.
struct Cost {
    seconds: f64,
    counts: ResponseCounts,
}

impl Cost {
    fn per_request(&self) -> f64 {
        self.seconds / self.counts.total().max(1) as f64
    }
}

/// The process that a load is sent to.
#[derive(Clone, Copy)]
enum Target {
    Node,
    Relay,
}

async fn run(params: &Params, programs: &Programs, seed: u64) -> Result<Vec<Series>, MeasureError> {
    let temp_dir = TempDir::new("request-path")?;
    let servers = StubServers::open(SERVERS, RESPONSE_BYTES).await?;
    let discovery = DiscoveryStub::open(hosts(&servers, "ready")).await?;
    let log_section = json!({"log": {"level": "warn"}});
    let node = Node::start(programs, &temp_dir, "n1", discovery.address(), log_section)?;
    node.wait_ready().await?;
    let relay = Relay::start(programs, servers.addresses()).await?;
    let length = params.length;
    let mut bench = Bench { servers, discovery, node, relay, first_number: 0, length, seed, temp_dir };
    let mut all = bench.measure_memory(params, programs).await?;
    all.extend(bench.measure_rates(params).await?);
    all.extend(bench.measure_response_sizes(params).await?);
    all.extend(bench.measure_refusals(params).await?);
    bench.relay.stop().await;
    bench.node.stop().await?;
    Ok(all)
}

fn real(name: &str, unit: &str, against: &str) -> Series {
    Series::new(name, unit, against, Method::Real)
}

impl Bench {
    fn endpoint(&self, target: Target) -> (SocketAddr, i32) {
        match target {
            Target::Node => (self.node.address(), self.node.id()),
            Target::Relay => (self.relay.address(), self.relay.id()),
        }
    }

    fn next_numbers(&mut self) -> u64 {
        self.first_number += NUMBERS_PER_LOAD;
        self.first_number
    }

    /// Puts a load on the node or the relay and measures its cost after a warm-up.
    async fn measure_load(&mut self, target: Target, rate: f64) -> Result<Cost, MeasureError> {
        let (address, process) = self.endpoint(target);
        let load = Load::start(address, PATIENT, rate, self.next_numbers()).await?;
        sleep(self.length.mul_f64(WARM_UP_SHARE)).await;
        let (processor_before, counts_before) = (usage::processor_seconds(process), load.counts());
        sleep(self.length).await;
        let counts = load.counts().since(&counts_before);
        let seconds = usage::processor_seconds(process) - processor_before;
        load.stop().await;
        Ok(Cost { seconds, counts })
    }

    async fn measure_rates(&mut self, params: &Params) -> Result<Vec<Series>, MeasureError> {
        let against = "requests a second";
        let mut node = real("request.processor_seconds_per_request", "s", against);
        let mut relay = real("request.relay_processor_seconds_per_request", "s", against);
        let mut ratio = real("request.processor_ratio_to_relay", "times the relay's", against);
        let mut processor_load = real("request.processor_seconds_per_second", "s/s", against);
        for &rate in &params.rates {
            let node_cost = self.measure_load(Target::Node, rate).await?;
            let relay_cost = self.measure_load(Target::Relay, rate).await?;
            check_served(&node_cost)?;
            check_served(&relay_cost)?;
            node.push(rate, node_cost.per_request(), self.seed);
            relay.push(rate, relay_cost.per_request(), self.seed);
            ratio.push(rate, node_cost.per_request() / relay_cost.per_request(), self.seed);
            processor_load.push(rate, node_cost.per_request() * rate, self.seed);
        }
        Ok(vec![node, relay, ratio, processor_load])
    }

    async fn measure_response_sizes(&mut self, params: &Params) -> Result<Vec<Series>, MeasureError> {
        let mut node = real("request.processor_seconds_by_answer_bytes", "s", "bytes of an answer");
        let mut relay = real("request.relay_processor_seconds_by_answer_bytes", "s", "bytes of an answer");
        for &bytes in &params.response_bytes {
            self.servers.set_body_bytes(bytes);
            let node_cost = self.measure_load(Target::Node, params.response_bytes_rate).await?;
            let relay_cost = self.measure_load(Target::Relay, params.response_bytes_rate).await?;
            check_served(&node_cost)?;
            check_served(&relay_cost)?;
            node.push(bytes as f64, node_cost.per_request(), self.seed);
            relay.push(bytes as f64, relay_cost.per_request(), self.seed);
        }
        self.servers.set_body_bytes(RESPONSE_BYTES);
        Ok(vec![node, relay])
    }

    /// Removes all servers from discovery, so that the node refuses every request. The relay still serves, as the
    /// baseline for the cost of a request.
    async fn measure_refusals(&mut self, params: &Params) -> Result<Vec<Series>, MeasureError> {
        let mut node = real("refusal.processor_seconds", "s", "refusals a second");
        let mut ratio =
            real("refusal.processor_ratio_to_relay", "times a relayed request", "refusals a second");
        let discovery = &self.discovery;
        discovery.take_calls();
        discovery.publish(&hosts(&self.servers, "gone"), true);
        let list_applied = || discovery.count(ResponseKind::Full) > 0 && discovery.is_applied();
        wait_for("the node to apply the list without servers", list_applied).await?;
        for &rate in &params.refusals {
            let refused = self.measure_load(Target::Node, rate).await?;
            let relay_cost = self.measure_load(Target::Relay, rate).await?;
            if refused.counts.refused < refused.counts.total() {
                return Err(unexpected(&refused, "only refusals"));
            }
            node.push(rate, refused.per_request(), self.seed);
            ratio.push(rate, refused.per_request() / relay_cost.per_request(), self.seed);
        }
        Ok(vec![node, ratio])
    }

    /// Measures memory. Runs before any load, after which the node's allocator would keep memory that it once needed.
    async fn measure_memory(
        &mut self,
        params: &Params,
        programs: &Programs,
    ) -> Result<Vec<Series>, MeasureError> {
        let mut all = self.measure_connections(params).await?;
        all.extend(self.measure_in_flight(params, programs).await?);
        Ok(all)
    }

    /// Memory of idle connections whose client has sent one request.
    async fn measure_connections(&mut self, params: &Params) -> Result<Vec<Series>, MeasureError> {
        let mut each = real("request.memory_per_connection", "B", "connections of clients");
        let mut all = real("request.memory_of_connections", "B", "connections of clients");
        let mut clients: Vec<Client> = Vec::new();
        let node = self.node.address();
        clients.extend(open_idle_clients(node, 1, self.next_numbers()).await?);
        sleep(params.settle).await;
        let before = usage::resident_bytes(self.node.id());
        for &count in &params.connections {
            let missing = (count + 1).saturating_sub(clients.len());
            clients.extend(open_idle_clients(node, missing, self.next_numbers()).await?);
            sleep(params.settle).await;
            let growth = usage::resident_bytes(self.node.id()) - before;
            each.push(count as f64, growth / count as f64, self.seed);
            all.push(count as f64, growth, self.seed);
        }
        Ok(vec![each, all])
    }

    /// Memory of requests that servers hold back, each with a connection to its server; the client connections are
    /// opened before. The node is a fresh one: memory left free by another load would hide the growth.
    async fn measure_in_flight(
        &mut self,
        params: &Params,
        programs: &Programs,
    ) -> Result<Vec<Series>, MeasureError> {
        let mut each = real("request.memory_per_in_flight", "B", "requests in flight");
        let mut all = real("request.memory_of_in_flight", "B", "requests in flight");
        let max_in_flight = params.in_flight.iter().copied().max().unwrap_or(0);
        let discovery = DiscoveryStub::open(hosts(&self.servers, "ready")).await?;
        let node = Node::start(programs, &self.temp_dir, "n2", discovery.address(), json!({}))?;
        node.wait_ready().await?;
        let mut clients =
            open_idle_clients(node.address(), max_in_flight, self.next_numbers()).await?.into_iter();
        sleep(params.settle).await;
        let before = usage::resident_bytes(node.id());
        self.servers.hold();
        let (mut tasks, first) = (Vec::new(), self.next_numbers());
        for &count in &params.in_flight {
            let missing = count.saturating_sub(tasks.len());
            for mut client in clients.by_ref().take(missing) {
                let number = first + tasks.len() as u64;
                tasks.push(spawn_local(async move { client.get_numbered(number).await }));
            }
            let servers = &self.servers;
            // A few requests may queue in the node for a slot at their servers, so the requests held by servers are
            // counted, not those sent.
            wait_for("requests in flight", || servers.held() * 10 >= count * 9).await?;
            sleep(params.settle).await;
            let growth = usage::resident_bytes(node.id()) - before;
            let held = self.servers.held() as f64;
            each.push(held, growth / held, self.seed);
            all.push(held, growth, self.seed);
        }
        self.servers.release();
        for task in tasks {
            // The results of the requests are not part of the measurement.
            let _ = task.await;
        }
        node.stop().await?;
        Ok(vec![each, all])
    }
}

/// A load is valid only if every request was served.
fn check_served(cost: &Cost) -> Result<(), MeasureError> {
    match cost.counts.served == cost.counts.total() && cost.counts.served > 0 {
        true => Ok(()),
        false => Err(unexpected(cost, "only served requests")),
    }
}

fn unexpected(cost: &Cost, expected: &'static str) -> MeasureError {
    MeasureError::Unexpected { source_name: "a load", found: format!("{:?}", cost.counts), expected }
}
