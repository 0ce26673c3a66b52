//! A real node in an environment of stubs in this process: cache servers, discovery and clients.

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

/// Timeout of everything that a measurement waits for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which awaited conditions are polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Limit of open sockets in the node's configuration.
const MAX_SOCKETS: u32 = 4_096;

/// A temporary directory, removed on drop.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates a directory below the system's temporary directory.
    pub fn new(what: &str) -> Result<Self, MeasureError> {
        let path = std::env::temp_dir().join(format!("walkpick-measure-{}-{what}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(MeasureError::io("a temporary directory"))?;
        Ok(Self(path))
    }

    /// The path of the directory.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // A directory that cannot be removed stays among the system's temporary files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Raises the limit of open descriptors to its maximum and runs a measurement's tasks on the current thread.
pub fn block_on<T>(work: impl Future<Output = Result<T, MeasureError>>) -> Result<T, MeasureError> {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE)
        .map_err(|error| MeasureError::Io { what: "the limit of open descriptors", error: error.into() })?;
    if soft < hard {
        setrlimit(Resource::RLIMIT_NOFILE, hard, hard).map_err(|error| MeasureError::Io {
            what: "the limit of open descriptors",
            error: error.into(),
        })?;
    }
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(MeasureError::io("a runtime"))?;
    LocalSet::new().block_on(&runtime, work)
}

/// Polls until the condition holds; fails after the timeout, naming `what`.
pub async fn wait_for(what: &'static str, mut condition: impl FnMut() -> bool) -> Result<(), MeasureError> {
    let waiting = async {
        while !condition() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(WAIT_TIMEOUT, waiting).await.map_err(|_| MeasureError::Timeout(what))
}

/// A running node. It is killed on drop.
#[derive(Debug)]
pub struct Node {
    process: Process,
    address: SocketAddr,
    log: PathBuf,
    _reserved: ReservedPort,
}

impl Node {
    /// Starts the node's program. `walkpick_section` is the section `walkpick` of its configuration.
    pub fn start(
        programs: &Programs,
        temp_dir: &TempDir,
        name: &str,
        discovery: SocketAddr,
        walkpick_section: Value,
    ) -> Result<Self, MeasureError> {
        let reserved = ReservedPort::tcp().map_err(MeasureError::io("a port for the node"))?;
        let (config, log) =
            (temp_dir.path().join(format!("{name}.json")), temp_dir.path().join(format!("{name}.log")));
        let text = configuration(name, reserved.address(), discovery, walkpick_section).to_string();
        std::fs::write(&config, text).map_err(MeasureError::io("the node's configuration"))?;
        let process = Process::start(&programs.lab, &programs.node, &config, &log, || {})?;
        Ok(Self { process, address: reserved.address(), log, _reserved: reserved })
    }

    /// The address for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The process id.
    pub fn id(&self) -> i32 {
        self.process.id().unwrap_or(0)
    }

    /// The log's text so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Size of the log in bytes.
    pub fn log_bytes(&self) -> u64 {
        std::fs::metadata(&self.log).map_or(0, |data| data.len())
    }

    /// Waits until the node reports ready.
    pub async fn wait_ready(&self) -> Result<(), MeasureError> {
        let polling = async {
            while !clients::is_ready(self.address).await {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, polling).await.map_err(|_| MeasureError::Timeout("the node's readiness"))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Asks the node to shut down (SIGTERM) and waits for its exit.
    pub async fn stop(mut self) -> Result<(), MeasureError> {
        self.process.signal(Signal::SIGTERM);
        match self.process.wait_or_kill(WAIT_TIMEOUT).await {
            Some(_) => Ok(()),
            None => Err(MeasureError::Timeout("the node's exit")),
        }
    }
}

/// The node's configuration, with one class for each client profile.
fn configuration(name: &str, listen: SocketAddr, discovery: SocketAddr, walkpick_section: Value) -> Value {
    json!({
        "name": name, "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "walkpick": walkpick_section,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": MAX_SOCKETS},
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
