//! One real node with stand-ins for everything around it, all in this process: cache servers, discovery, clients.

pub mod clients;
pub mod discovery;
pub mod servers;
pub mod usage;

use super::{MeasureError, Programs};
use crate::real::link::ReservedPort;
use crate::real::process::Process;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::runtime;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Whatever a measurement waits for has this long.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// Between two looks at something that is waited for.
pub const LOOK: Duration = Duration::from_millis(10);
/// Descriptors that the node may hold.
const SOCKETS: u32 = 4_096;

/// A folder that goes with its measurement.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// A new one among the system's for such things.
    pub fn new(what: &str) -> Result<Self, MeasureError> {
        let path = std::env::temp_dir().join(format!("walkpick-measure-{}-{what}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(MeasureError::machine("a folder"))?;
        Ok(Self(path))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What is left behind is a folder of the system's for such things.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs a measurement's sockets on one thread, with as many descriptors as there may be.
pub fn block_on<T>(work: impl Future<Output = Result<T, MeasureError>>) -> Result<T, MeasureError> {
    let (soft, most) = getrlimit(Resource::RLIMIT_NOFILE)
        .map_err(|error| MeasureError::Machine { what: "the limit of descriptors", error: error.into() })?;
    if soft < most {
        setrlimit(Resource::RLIMIT_NOFILE, most, most).map_err(|error| MeasureError::Machine {
            what: "the limit of descriptors",
            error: error.into(),
        })?;
    }
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(MeasureError::machine("a runtime"))?;
    LocalSet::new().block_on(&runtime, work)
}

/// Waits until something is so.
pub async fn wait_for(what: &'static str, mut so: impl FnMut() -> bool) -> Result<(), MeasureError> {
    let waiting = async {
        while !so() {
            sleep(LOOK).await;
        }
    };
    timeout(PATIENCE, waiting).await.map_err(|_| MeasureError::Late(what))
}

/// A node that runs. Dropped, it is killed.
#[derive(Debug)]
pub struct Node {
    process: Process,
    address: SocketAddr,
    log: PathBuf,
    _reserved: ReservedPort,
}

impl Node {
    /// Starts the node's program. `further`: what its section `walkpick` holds.
    pub fn start(
        programs: &Programs,
        folder: &Folder,
        name: &str,
        discovery: SocketAddr,
        further: Value,
    ) -> Result<Self, MeasureError> {
        let reserved = ReservedPort::tcp().map_err(MeasureError::machine("a port for the node"))?;
        let (config, log) =
            (folder.path().join(format!("{name}.json")), folder.path().join(format!("{name}.log")));
        let text = configuration(name, reserved.address(), discovery, further).to_string();
        std::fs::write(&config, text).map_err(MeasureError::machine("the node's configuration"))?;
        let process = Process::start(&programs.lab, &programs.node, &config, &log, || {})?;
        Ok(Self { process, address: reserved.address(), log, _reserved: reserved })
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its process.
    pub fn id(&self) -> i32 {
        self.process.id().unwrap_or(0)
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Bytes of its log.
    pub fn log_bytes(&self) -> u64 {
        std::fs::metadata(&self.log).map_or(0, |data| data.len())
    }

    /// Waits until it says that it is ready.
    pub async fn ready(&self) -> Result<(), MeasureError> {
        let asking = async {
            while !clients::healthy(self.address).await {
                sleep(LOOK).await;
            }
        };
        timeout(PATIENCE, asking).await.map_err(|_| MeasureError::Late("the node's readiness"))
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Tells it to go, and waits until it is gone.
    pub async fn stop(mut self) -> Result<(), MeasureError> {
        self.process.signal(Signal::SIGTERM);
        match self.process.wait_or_kill(PATIENCE).await {
            Some(_) => Ok(()),
            None => Err(MeasureError::Late("the node's end")),
        }
    }
}

/// A class for each manner of clients.
fn configuration(name: &str, listen: SocketAddr, discovery: SocketAddr, further: Value) -> Value {
    json!({
        "name": name, "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "walkpick": further,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
        "settings": {
            "az": "zone-0", "zones": ["zone-0", "zone-1"], "balancers": 1,
            "lanes": [
                {"name": clients::PATIENT.class, "effect": "safe", "promise_us": 4_000_000, "hard_limit_us": 10_000_000},
                {"name": clients::QUICK.class, "effect": "safe", "promise_us": 500_000, "hard_limit_us": 1_000_000},
            ],
            "limits": {"connect_timeout_us": 200_000, "keepalive_us": 15_000_000, "most_tries": 3},
        },
    })
}
