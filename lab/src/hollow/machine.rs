//! Checks before a run whether this machine can hold it.

use procfs::{Current, Meminfo};
use thiserror::Error;

/// Upper bound on the memory of a hollow node: several times what a node of a cluster of 530 used.
const BYTES_PER_HOLLOW: u64 = 8 * 1024 * 1024;
/// Memory of each process in addition to its nodes.
const BYTES_PER_PROCESS: u64 = 32 * 1024 * 1024;
/// Upper bound on the memory of a complete node with its servers and clients.
const BYTES_PER_COMPLETE: u64 = 192 * 1024 * 1024;
/// Upper bound on the memory of any run.
const MAX_BYTES: u64 = 12 * 1024 * 1024 * 1024;
/// Upper bound on the processes of a run.
const MAX_PROCESSES: usize = 200;

/// Resources that a run needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// Number of processes, including the lab itself.
    pub processes: usize,
    /// Upper bound on memory, in bytes.
    pub bytes: u64,
}

/// A resource that the run would exceed.
#[derive(Debug, Error)]
pub enum TooLarge {
    /// Memory.
    #[error("the run may need {needed_mb} MiB, expected at most {max_mb} MiB: {limit}")]
    Memory {
        /// What the run may need.
        needed_mb: u64,
        /// What is allowed.
        max_mb: u64,
        /// Which limit is exceeded.
        limit: &'static str,
    },
    /// Processes.
    #[error("the run needs {needed} processes, expected at most {MAX_PROCESSES}")]
    Processes {
        /// What the run needs.
        needed: usize,
    },
}

impl Requirements {
    /// Requirements of a run.
    pub fn new(nodes: usize, processes: usize, complete: usize) -> Self {
        let bytes = nodes as u64 * BYTES_PER_HOLLOW
            + processes as u64 * BYTES_PER_PROCESS
            + complete as u64 * BYTES_PER_COMPLETE;
        Self { processes: 1 + processes + complete, bytes }
    }

    /// Checks the lab's own limits and the memory available on this machine.
    pub fn check(&self) -> Result<(), TooLarge> {
        let available = Meminfo::current().ok().and_then(|memory| memory.mem_available);
        self.check_against(available.unwrap_or(u64::MAX))
    }

    /// Checks the lab's own limits and this amount of available memory.
    pub fn check_against(&self, available: u64) -> Result<(), TooLarge> {
        let mb = |bytes: u64| bytes / (1024 * 1024);
        if self.processes > MAX_PROCESSES {
            return Err(TooLarge::Processes { needed: self.processes });
        }
        for (max_bytes, limit) in
            [(MAX_BYTES, "the lab's own limit"), (available, "available memory of this machine")]
        {
            if self.bytes > max_bytes {
                return Err(TooLarge::Memory { needed_mb: mb(self.bytes), max_mb: mb(max_bytes), limit });
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
