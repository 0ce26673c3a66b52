//! A node that gets a small share of a core: how long until it is ready, and which part of a small load it serves.

use super::series::{Method, Series, SeriesExt};
use super::testbed::clients::{Client, Load, PATIENT, QUICK};
use super::testbed::discovery::{host_entry, DiscoveryStub};
use super::testbed::servers::StubServers;
use super::testbed::{block_on, Node, TempDir, POLL_INTERVAL, WAIT_TIMEOUT};
use super::{MeasureError, Programs};
use nix::sys::signal::Signal;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout, Instant};

/// The node runs for its share of each period and is stopped for the rest, as processor quotas do.
const PERIOD: Duration = Duration::from_millis(100);
const SERVERS: usize = 16;
/// Bytes of a server's response.
const RESPONSE_BYTES: usize = 1_024;

/// Parameters of the measurement.
#[derive(Clone, Debug)]
pub struct Params {
    /// Shares of a core. Timer delays make the real shares a little larger; the series carry the real ones.
    pub shares: Vec<f64>,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub length: Duration,
    /// Runs of each size.
    pub seeds: u64,
}

impl Default for Params {
    fn default() -> Self {
        let (length, seeds) = (Duration::from_secs(5), 1);
        Self { shares: vec![0.007, 0.02, 0.05, 0.2, 0.5], rate: 20.0, length, seeds }
    }
}

/// Lets a node run for a part of the time, by SIGSTOP and SIGCONT. Dropping it leaves the node in its current state.
struct Throttle {
    task: JoinHandle<()>,
    ran: Rc<Cell<Duration>>,
    started: Instant,
}

impl Throttle {
    fn start(node: Rc<Node>, share: f64) -> Self {
        let ran = Rc::new(Cell::new(Duration::ZERO));
        let counted = Rc::clone(&ran);
        let task = spawn_local(async move {
            loop {
                let started = Instant::now();
                node.signal(Signal::SIGCONT);
                sleep(PERIOD.mul_f64(share)).await;
                node.signal(Signal::SIGSTOP);
                counted.set(counted.get() + started.elapsed());
                sleep(PERIOD.mul_f64(1.0 - share)).await;
            }
        });
        Self { task, ran, started: Instant::now() }
    }

    /// The part of the time during which the node could run so far.
    fn share(&self) -> f64 {
        self.ran.get().as_secs_f64() / self.started.elapsed().as_secs_f64()
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Measures the series of a node with a small share of a core.
pub fn measure(params: &Params, programs: &Programs) -> Result<Vec<Series>, MeasureError> {
    let against = "part of a core";
    let real = |name: &str, unit: &str| Series::new(name, unit, against, Method::Real);
    let mut ready = real("little_core.seconds_to_ready", "s");
    let mut served = real("little_core.served", "part of the requests");
    block_on(async {
        for seed in 1..=params.seeds {
            for &share in &params.shares {
                let measured = measure_share(params, programs, share).await?;
                ready.push(measured.share, measured.seconds_to_ready, seed);
                served.push(measured.share, measured.served, seed);
            }
        }
        Ok(vec![ready, served])
    })
}

struct Measured {
    share: f64,
    seconds_to_ready: f64,
    served: f64,
}

async fn measure_share(params: &Params, programs: &Programs, share: f64) -> Result<Measured, MeasureError> {
    let temp_dir = TempDir::new(&format!("little-core-{share}"))?;
    let servers = StubServers::open(SERVERS, RESPONSE_BYTES).await?;
    let addresses = servers.addresses().iter().enumerate();
    let hosts = addresses.map(|(index, &address)| host_entry(index, 0, address, "ready")).collect();
    let discovery = DiscoveryStub::open(hosts).await?;
    let started = Instant::now();
    let node = Rc::new(Node::start(programs, &temp_dir, "n1", discovery.address(), json!({}))?);
    let throttle = Throttle::start(Rc::clone(&node), share);
    timeout(WAIT_TIMEOUT, poll_ready(&node))
        .await
        .map_err(|_| MeasureError::Timeout("the node's readiness"))?;
    let seconds_to_ready = started.elapsed().as_secs_f64();
    let load = Load::start(node.address(), QUICK, params.rate, 0).await?;
    sleep(params.length).await;
    let counts = load.counts();
    let share = throttle.share();
    drop(throttle);
    // Requests in flight are answered before the load ends.
    node.signal(Signal::SIGCONT);
    load.stop().await;
    let served = counts.served as f64 / counts.total().max(1) as f64;
    Ok(Measured { share, seconds_to_ready, served })
}

/// Polls until the node reports ready, without a limit on the time of a single answer.
async fn poll_ready(node: &Node) {
    loop {
        if let Ok(mut client) = Client::connect(node.address(), PATIENT).await {
            if client.get("/healthz", "health").await.is_some_and(|status| status == 200) {
                return;
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}
