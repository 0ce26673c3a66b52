//! Samples what the node uses of its limits, so that its log tells how it came near one.

use crate::net::server::Frontend;
use crate::net::upstream::Upstream;
use std::cell::Cell;
use std::fs;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use tracing::{info, warn};
use walkpick::policy::memory::MemoryUse;

/// Interval of the samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// The peak is logged each time it reaches a further one of this many parts of the limit.
const LOGGED_PARTS: u64 = 8;
/// From this part of the limit on, it is logged as a warning.
const WARNING_PART: u64 = 7;
/// Where the system tells a process what it uses.
const PROCESS_STATUS: &str = "/proc/self/status";

/// Samples the node's use of memory and connections.
pub struct ResourceMonitor {
    memory_limit_kib: u64,
    frontend: Rc<Frontend>,
    upstream: Rc<Upstream>,
    /// The largest part of the limit that has been logged.
    logged_part: Cell<u64>,
}

impl ResourceMonitor {
    /// A monitor of a node that may use this much memory, in bytes.
    pub fn new(memory_limit_bytes: u64, frontend: Rc<Frontend>, upstream: Rc<Upstream>) -> Self {
        let memory_limit_kib = (memory_limit_bytes / 1024).max(1);
        Self { memory_limit_kib, frontend, upstream, logged_part: Cell::default() }
    }

    /// Samples for as long as the node runs. Where the system does not tell, it ends at once.
    pub async fn run(self: Rc<Self>) {
        while let Some(memory) = Memory::of_this_process() {
            let part = memory.peak_kib * LOGGED_PARTS / self.memory_limit_kib;
            if part > self.logged_part.get() {
                self.logged_part.set(part);
                self.log(&memory, part);
            }
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Logs the present state.
    pub fn report(&self) {
        if let Some(memory) = Memory::of_this_process() {
            self.log(&memory, 0);
        }
    }

    fn log(&self, memory: &Memory, part: u64) {
        let Memory { resident_kib, peak_kib } = *memory;
        let (clients, servers) = (self.frontend.open_connections.get(), self.upstream.open_connections());
        let reserved_kib = |memory_use| self.frontend.memory.used(memory_use) / 1024;
        let (limit_kib, body_kib) = (self.memory_limit_kib, reserved_kib(MemoryUse::Request));
        let list_kib = reserved_kib(MemoryUse::ServerEntry);
        let client_kib = reserved_kib(MemoryUse::ClientConnection);
        let server_kib = reserved_kib(MemoryUse::ServerConnection);
        let rejections = self.frontend.rejections.get();
        if part >= WARNING_PART {
            warn!(target: "node", resident_kib, peak_kib, limit_kib, clients, servers, client_kib, server_kib, list_kib, body_kib, rejections, "memory in use");
        } else {
            info!(target: "node", resident_kib, peak_kib, limit_kib, clients, servers, client_kib, server_kib, list_kib, body_kib, rejections, "memory in use");
        }
    }
}

/// The resident memory of a process, in KiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Memory {
    resident_kib: u64,
    peak_kib: u64,
}

impl Memory {
    fn of_this_process() -> Option<Self> {
        Self::parse(&fs::read_to_string(PROCESS_STATUS).ok()?)
    }

    fn parse(status: &str) -> Option<Self> {
        let field = |name: &str| {
            let value = status.lines().find_map(|line| line.strip_prefix(name))?;
            value.split_whitespace().next()?.parse().ok()
        };
        Some(Self { resident_kib: field("VmRSS:")?, peak_kib: field("VmHWM:")? })
    }
}

#[cfg(test)]
mod tests;
