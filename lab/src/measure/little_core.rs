//! A node that gets little of a core: how long until it is ready, and what of a small load it still serves.

use super::series::{Collect, Method, Series};
use super::stage::clients::{Client, Load, PATIENT, QUICK};
use super::stage::discovery::{host, Discovery};
use super::stage::servers::Servers;
use super::stage::{block_on, Folder, Node, LOOK, PATIENCE};
use super::{MeasureError, Programs};
use nix::sys::signal::Signal;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout, Instant};

/// The node runs for its part of each such time, and stands still for the rest: what quotas of processor time do.
const PERIOD: Duration = Duration::from_millis(100);
/// Servers.
const SERVERS: usize = 16;
/// Bytes of an answer.
const ANSWER_BYTES: usize = 1_024;

/// How much is measured.
#[derive(Clone, Debug)]
pub struct Effort {
    /// Parts of a core; the timers make them a little larger, and what came of them is told.
    pub parts: Vec<f64>,
    /// Requests a second.
    pub rate: f64,
    /// How long they come.
    pub length: Duration,
    /// Plays of each size.
    pub seeds: u64,
}

impl Default for Effort {
    fn default() -> Self {
        let (length, seeds) = (Duration::from_secs(5), 1);
        Self { parts: vec![0.007, 0.02, 0.05, 0.2, 0.5], rate: 20.0, length, seeds }
    }
}

/// Lets a node run for a part of the time. Dropped, it leaves the node as it is then.
struct Throttle {
    task: JoinHandle<()>,
    ran: Rc<Cell<Duration>>,
    since: Instant,
}

impl Throttle {
    fn start(node: Rc<Node>, part: f64) -> Self {
        let ran = Rc::new(Cell::new(Duration::ZERO));
        let counted = Rc::clone(&ran);
        let task = spawn_local(async move {
            loop {
                let begins = Instant::now();
                node.signal(Signal::SIGCONT);
                sleep(PERIOD.mul_f64(part)).await;
                node.signal(Signal::SIGSTOP);
                counted.set(counted.get() + begins.elapsed());
                sleep(PERIOD.mul_f64(1.0 - part)).await;
            }
        });
        Self { task, ran, since: Instant::now() }
    }

    /// The part of the time for which the node could run up to now.
    fn part(&self) -> f64 {
        self.ran.get().as_secs_f64() / self.since.elapsed().as_secs_f64()
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The series of a node with little of a core.
pub fn measure(effort: &Effort, programs: &Programs) -> Result<Vec<Series>, MeasureError> {
    let against = "part of a core";
    let real = |name: &str, unit: &str| Series::new(name, unit, against, Method::Real);
    let mut ready = real("little_core.seconds_to_ready", "s");
    let mut served = real("little_core.served", "part of the requests");
    block_on(async {
        for seed in 1..=effort.seeds {
            for &part in &effort.parts {
                let seen = play(effort, programs, part).await?;
                ready.push(seen.part, seen.seconds_to_ready, seed);
                served.push(seen.part, seen.served, seed);
            }
        }
        Ok(vec![ready, served])
    })
}

struct Seen {
    part: f64,
    seconds_to_ready: f64,
    served: f64,
}

async fn play(effort: &Effort, programs: &Programs, part: f64) -> Result<Seen, MeasureError> {
    let folder = Folder::new(&format!("little-core-{part}"))?;
    let servers = Servers::open(SERVERS, ANSWER_BYTES).await?;
    let all = servers.addresses().iter().enumerate();
    let hosts = all.map(|(place, &address)| host(place, 0, address, "ready")).collect();
    let discovery = Discovery::open(hosts).await?;
    let begins = Instant::now();
    let node = Rc::new(Node::start(programs, &folder, "n1", discovery.address(), json!({}))?);
    let throttle = Throttle::start(Rc::clone(&node), part);
    timeout(PATIENCE, ready(&node)).await.map_err(|_| MeasureError::Late("the node's readiness"))?;
    let seconds_to_ready = begins.elapsed().as_secs_f64();
    let load = Load::begin(node.address(), QUICK, effort.rate, 0).await?;
    sleep(effort.length).await;
    let answers = load.answers();
    let part = throttle.part();
    drop(throttle);
    // The last of its clients are answered before it goes.
    node.signal(Signal::SIGCONT);
    load.end().await;
    let served = answers.served as f64 / answers.asked().max(1) as f64;
    Ok(Seen { part, seconds_to_ready, served })
}

/// Asks until the node says that it is ready, however long one answer takes.
async fn ready(node: &Node) {
    loop {
        if let Ok(mut client) = Client::connect(node.address(), PATIENT).await {
            if client.ask("/healthz", "health").await.is_some_and(|status| status == 200) {
                return;
            }
        }
        sleep(LOOK).await;
    }
}
