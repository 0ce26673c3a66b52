//! Starts and ends a node: the program, with the command of the deploy file.

use crate::http::{Ending, read_answer};
use crate::record::Record;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// In the temporary folder: the process to end if the case is interrupted.
const PID_FILE: &str = "node.pid";
/// A node has to be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(30);
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// How a node is configured, beside its addresses.
pub struct NodeConfig {
    pub memory_mb: u32,
    pub sockets: u32,
    /// The `settings` object, as JSON.
    pub settings: String,
    /// The `known` list, as JSON.
    pub known: String,
}

/// A running node. It is killed when this is dropped.
pub struct Node {
    pub address: SocketAddr,
    process: Child,
    config: NodeConfig,
    config_path: PathBuf,
    record: Record,
}

impl Node {
    /// Starts a node with `run`, the command of the deploy file, from the root of the repository.
    pub fn start(
        run: &str,
        folder: &Path,
        discovery: SocketAddr,
        config: NodeConfig,
        record: &Record,
    ) -> io::Result<Self> {
        let address = free_address()?;
        let config_path = folder.join("config.json");
        fs::write(&config_path, config_text(address, discovery, &config))?;
        let log = File::create(folder.join("node.log"))?;
        let process = Command::new("/bin/sh")
            .args(["-c", run])
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", discovery.to_string())
            .env("LB_CONFIG", &config_path)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        fs::write(folder.join(PID_FILE), process.id().to_string())?;
        record.add(format!("node: started with `{run}` at {address}"));
        Ok(Self { address, process, config, config_path, record: record.clone() })
    }

    /// Waits until the node answers `GET /healthz` with 200.
    pub fn wait_until_ready(&mut self) -> io::Result<()> {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_WITHIN {
            if let Some(status) = self.process.try_wait()? {
                return Err(io::Error::other(format!("the node ended: {status}")));
            }
            if self.is_ready() {
                self.record.add("node: ready");
                return Ok(());
            }
            thread::sleep(READY_INTERVAL);
        }
        Err(io::Error::other("the node is not ready within 30 s"))
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let request = "GET /healthz HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).is_ok()
            && matches!(
                read_answer(&stream, Instant::now() + Duration::from_secs(1)),
                Ending::Answered { status, .. } if status == "200"
            )
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Replaces the configuration by one that names this address of discovery, and sends SIGHUP.
    pub fn reload(&self, discovery: SocketAddr) -> io::Result<()> {
        let replacement = self.config_path.with_extension("new");
        fs::write(&replacement, config_text(self.address, discovery, &self.config))?;
        fs::rename(&replacement, &self.config_path)?;
        self.record.add(format!("node: new configuration, discovery at {discovery}; SIGHUP"));
        self.signal("HUP")
    }

    /// Sends a signal to the node.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.process.id());
        let status = Command::new("/bin/sh").args(["-c", &command]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("the signal was not sent")) }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // The node may have ended already, and nobody needs the file then.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(self.config_path.with_file_name(PID_FILE));
        self.record.add("node: killed at the end of the case");
    }
}

/// An address that no socket uses at the moment.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn config_text(listen: SocketAddr, discovery: SocketAddr, config: &NodeConfig) -> String {
    let NodeConfig { memory_mb, sockets, settings, known } = config;
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
 "known":{known},
 "settings":{settings}}}"#
    )
}
