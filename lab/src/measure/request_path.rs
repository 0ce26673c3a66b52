//! What requests, connections and refusals cost a real node, beside a bare relay that meets the same load in the same run.

use super::relay::Relay;
use super::series::{Collect, Method, Series};
use super::stage::clients::{idle, Answers, Client, Load, PATIENT};
use super::stage::discovery::{host, Discovery, Kind};
use super::stage::servers::Servers;
use super::stage::{block_on, usage, wait_for, Folder, Node};
use super::{MeasureError, Programs};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Servers: with 16 requests at each at once, none of the levels of requests in flight meets a limit.
const SERVERS: usize = 64;
/// Zones that they are in.
const ZONES: usize = 2;
/// Bytes of an answer where another size is varied.
const ANSWER_BYTES: usize = 1_024;
/// Numbers of requests that lie between two loads of a run: none is used twice.
const NUMBERS: u64 = 10_000_000;
/// Connections come up, and tables fill, before a load is measured.
const WARM_UP: f64 = 0.25;

/// How much is measured.
#[derive(Clone, Debug)]
pub struct Effort {
    /// Requests a second.
    pub rates: Vec<f64>,
    /// Bytes of an answer.
    pub answers: Vec<usize>,
    /// Requests a second while those are varied.
    pub answers_rate: f64,
    /// Refusals a second.
    pub refusals: Vec<f64>,
    /// Clients that are connected, and rest.
    pub connections: Vec<usize>,
    /// Requests in flight.
    pub in_flight: Vec<usize>,
    /// How long a load is measured.
    pub length: Duration,
    /// The node comes to rest for so long before its memory is read.
    pub settle: Duration,
    /// Plays of each size.
    pub seeds: u64,
}

impl Default for Effort {
    fn default() -> Self {
        Self {
            rates: vec![250.0, 500.0, 1_000.0, 2_000.0],
            answers: vec![1 << 10, 1 << 12, 1 << 14, 1 << 16],
            answers_rate: 400.0,
            refusals: vec![250.0, 500.0, 1_000.0, 2_000.0],
            connections: vec![100, 200, 400, 800],
            in_flight: vec![50, 100, 200, 400],
            length: Duration::from_millis(1_500),
            settle: Duration::from_millis(300),
            seeds: 2,
        }
    }
}

/// All series of the request path.
pub fn measure(effort: &Effort, programs: &Programs) -> Result<Vec<Series>, MeasureError> {
    block_on(async {
        let mut all = Vec::new();
        for seed in 1..=effort.seeds {
            join(&mut all, play(effort, programs, seed).await?);
        }
        Ok(all)
    })
}

/// Adds the plays of a seed to those of the others.
fn join(all: &mut Vec<Series>, further: Vec<Series>) {
    for series in further {
        match all.iter_mut().find(|known| known.name == series.name) {
            Some(known) => known.points.extend(series.points),
            None => all.push(series),
        }
    }
}

fn hosts(servers: &Servers, health: &str) -> Vec<Value> {
    let all = servers.addresses().iter().enumerate();
    all.map(|(place, &address)| host(place, place % ZONES, address, health)).collect()
}

/// A node and a relay before the same servers.
struct Stage {
    servers: Servers,
    discovery: Discovery,
    node: Node,
    relay: Relay,
    /// Requests that came before are not counted again.
    first: u64,
    length: Duration,
    seed: u64,
    folder: Folder,
}

/// What a load cost a process.
struct Cost {
    seconds: f64,
    answers: Answers,
}

impl Cost {
    fn a_request(&self) -> f64 {
        self.seconds / self.answers.asked().max(1) as f64
    }
}

/// Which of the two.
#[derive(Clone, Copy)]
enum Party {
    Node,
    Relay,
}

async fn play(effort: &Effort, programs: &Programs, seed: u64) -> Result<Vec<Series>, MeasureError> {
    let folder = Folder::new("request-path")?;
    let servers = Servers::open(SERVERS, ANSWER_BYTES).await?;
    let discovery = Discovery::open(hosts(&servers, "ready")).await?;
    let quiet = json!({"log": {"level": "warn"}});
    let node = Node::start(programs, &folder, "n1", discovery.address(), quiet)?;
    node.ready().await?;
    let relay = Relay::start(programs, servers.addresses()).await?;
    let length = effort.length;
    let mut stage = Stage { servers, discovery, node, relay, first: 0, length, seed, folder };
    let mut all = stage.memory(effort, programs).await?;
    all.extend(stage.rates(effort).await?);
    all.extend(stage.answer_bytes(effort).await?);
    all.extend(stage.refusals(effort).await?);
    stage.relay.stop().await;
    stage.node.stop().await?;
    Ok(all)
}

fn real(name: &str, unit: &str, against: &str) -> Series {
    Series::new(name, unit, against, Method::Real)
}

impl Stage {
    fn target(&self, party: Party) -> (SocketAddr, i32) {
        match party {
            Party::Node => (self.node.address(), self.node.id()),
            Party::Relay => (self.relay.address(), self.relay.id()),
        }
    }

    fn numbers(&mut self) -> u64 {
        self.first += NUMBERS;
        self.first
    }

    /// What a load costs one of the two, once it is under way.
    async fn cost(&mut self, party: Party, rate: f64) -> Result<Cost, MeasureError> {
        let (target, process) = self.target(party);
        let load = Load::begin(target, PATIENT, rate, self.numbers()).await?;
        sleep(self.length.mul_f64(WARM_UP)).await;
        let (used, came) = (usage::processor_seconds(process), load.answers());
        sleep(self.length).await;
        let answers = load.answers().since(&came);
        let seconds = usage::processor_seconds(process) - used;
        load.end().await;
        Ok(Cost { seconds, answers })
    }

    async fn rates(&mut self, effort: &Effort) -> Result<Vec<Series>, MeasureError> {
        let against = "requests a second";
        let mut node = real("request.processor_seconds_per_request", "s", against);
        let mut relay = real("request.relay_processor_seconds_per_request", "s", against);
        let mut ratio = real("request.processor_ratio_to_relay", "times the relay's", against);
        let mut used = real("request.processor_seconds_per_second", "s/s", against);
        for &rate in &effort.rates {
            let own = self.cost(Party::Node, rate).await?;
            let bare = self.cost(Party::Relay, rate).await?;
            served(&own)?;
            served(&bare)?;
            node.push(rate, own.a_request(), self.seed);
            relay.push(rate, bare.a_request(), self.seed);
            ratio.push(rate, own.a_request() / bare.a_request(), self.seed);
            used.push(rate, own.a_request() * rate, self.seed);
        }
        Ok(vec![node, relay, ratio, used])
    }

    async fn answer_bytes(&mut self, effort: &Effort) -> Result<Vec<Series>, MeasureError> {
        let mut node = real("request.processor_seconds_by_answer_bytes", "s", "bytes of an answer");
        let mut relay = real("request.relay_processor_seconds_by_answer_bytes", "s", "bytes of an answer");
        for &bytes in &effort.answers {
            self.servers.answer_with(bytes);
            let own = self.cost(Party::Node, effort.answers_rate).await?;
            let bare = self.cost(Party::Relay, effort.answers_rate).await?;
            served(&own)?;
            served(&bare)?;
            node.push(bytes as f64, own.a_request(), self.seed);
            relay.push(bytes as f64, bare.a_request(), self.seed);
        }
        self.servers.answer_with(ANSWER_BYTES);
        Ok(vec![node, relay])
    }

    /// All servers are gone: the node refuses whatever comes. The relay serves, as the measure of what a request costs.
    async fn refusals(&mut self, effort: &Effort) -> Result<Vec<Series>, MeasureError> {
        let mut node = real("refusal.processor_seconds", "s", "refusals a second");
        let mut ratio =
            real("refusal.processor_ratio_to_relay", "times a relayed request", "refusals a second");
        let discovery = &self.discovery;
        discovery.take_calls();
        discovery.tell(&hosts(&self.servers, "gone"), true);
        let taken_in = || discovery.count(Kind::Whole) > 0 && discovery.is_taken_in();
        wait_for("the list without servers", taken_in).await?;
        for &rate in &effort.refusals {
            let refused = self.cost(Party::Node, rate).await?;
            let bare = self.cost(Party::Relay, rate).await?;
            if refused.answers.refused < refused.answers.asked() {
                return Err(unexpected(&refused, "refusals alone"));
            }
            node.push(rate, refused.a_request(), self.seed);
            ratio.push(rate, refused.a_request() / bare.a_request(), self.seed);
        }
        Ok(vec![node, ratio])
    }

    /// Memory, before any load has made the node's allocator keep what it once needed.
    async fn memory(&mut self, effort: &Effort, programs: &Programs) -> Result<Vec<Series>, MeasureError> {
        let mut all = self.connections(effort).await?;
        all.extend(self.in_flight(effort, programs).await?);
        Ok(all)
    }

    /// Clients that have asked once and rest.
    async fn connections(&mut self, effort: &Effort) -> Result<Vec<Series>, MeasureError> {
        let mut each = real("request.memory_per_connection", "B", "connections of clients");
        let mut all = real("request.memory_of_connections", "B", "connections of clients");
        let mut clients: Vec<Client> = Vec::new();
        let node = self.node.address();
        clients.extend(idle(node, 1, self.numbers()).await?);
        sleep(effort.settle).await;
        let before = usage::resident_bytes(self.node.id());
        for &count in &effort.connections {
            let missing = (count + 1).saturating_sub(clients.len());
            clients.extend(idle(node, missing, self.numbers()).await?);
            sleep(effort.settle).await;
            let grown = usage::resident_bytes(self.node.id()) - before;
            each.push(count as f64, grown / count as f64, self.seed);
            all.push(count as f64, grown, self.seed);
        }
        Ok(vec![each, all])
    }

    /// Requests that servers hold, each with a connection to its server; their clients were connected before. The node is
    /// a fresh one: memory that another load has left free would hide what these take.
    async fn in_flight(&mut self, effort: &Effort, programs: &Programs) -> Result<Vec<Series>, MeasureError> {
        let mut each = real("request.memory_per_in_flight", "B", "requests in flight");
        let mut all = real("request.memory_of_in_flight", "B", "requests in flight");
        let most = effort.in_flight.iter().copied().max().unwrap_or(0);
        let discovery = Discovery::open(hosts(&self.servers, "ready")).await?;
        let node = Node::start(programs, &self.folder, "n2", discovery.address(), json!({}))?;
        node.ready().await?;
        let mut clients = idle(node.address(), most, self.numbers()).await?.into_iter();
        sleep(effort.settle).await;
        let before = usage::resident_bytes(node.id());
        self.servers.hold();
        let (mut asking, first) = (Vec::new(), self.numbers());
        for &count in &effort.in_flight {
            let missing = count.saturating_sub(asking.len());
            for mut client in clients.by_ref().take(missing) {
                let number = first + asking.len() as u64;
                asking.push(spawn_local(async move { client.ask_numbered(number).await }));
            }
            let servers = &self.servers;
            // A few may wait in the node for room at their servers: what is in flight is counted, not what was asked.
            wait_for("requests in flight", || servers.held() * 10 >= count * 9).await?;
            sleep(effort.settle).await;
            let grown = usage::resident_bytes(node.id()) - before;
            let held = self.servers.held() as f64;
            each.push(held, grown / held, self.seed);
            all.push(held, grown, self.seed);
        }
        self.servers.release();
        for asked in asking {
            // What a request comes to is not what is measured here.
            let _ = asked.await;
        }
        node.stop().await?;
        Ok(vec![each, all])
    }
}

/// A load counts only if it was served whole.
fn served(cost: &Cost) -> Result<(), MeasureError> {
    match cost.answers.served == cost.answers.asked() && cost.answers.served > 0 {
        true => Ok(()),
        false => Err(unexpected(cost, "answers alone")),
    }
}

fn unexpected(cost: &Cost, expected: &'static str) -> MeasureError {
    MeasureError::Child { child: "a load", found: format!("{:?}", cost.answers), expected }
}
