//! Whether this machine can hold a run, before anything starts.

use procfs::{Current, Meminfo};
use thiserror::Error;

/// Memory that a hollow node may come to: what one of 530 took, several times over.
const BYTES_PER_HOLLOW: u64 = 8 * 1024 * 1024;
/// And each process beside its nodes.
const BYTES_PER_PROCESS: u64 = 32 * 1024 * 1024;
/// Memory that a complete node may come to with its servers and clients.
const BYTES_PER_COMPLETE: u64 = 192 * 1024 * 1024;
/// All runs together stay under this.
const MOST_BYTES: u64 = 12 * 1024 * 1024 * 1024;
/// Processes of a run at the most.
const MOST_PROCESSES: usize = 200;

/// What a run needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Processes, the lab itself among them.
    pub processes: usize,
    /// Memory at the most, in bytes.
    pub bytes: u64,
}

/// What a run needs that this machine has not.
#[derive(Debug, Error)]
pub enum TooLarge {
    /// Memory.
    #[error("the run may need {needed_mb} MiB, expected at most {most_mb} MiB: {why}")]
    Memory {
        /// What it may need.
        needed_mb: u64,
        /// What it may have.
        most_mb: u64,
        /// Where that bound comes from.
        why: &'static str,
    },
    /// Processes.
    #[error("the run needs {needed} processes, expected at most {MOST_PROCESSES}")]
    Processes {
        /// What it needs.
        needed: usize,
    },
}

impl Need {
    /// Of a run.
    pub fn new(nodes: usize, processes: usize, complete: usize) -> Self {
        let bytes = nodes as u64 * BYTES_PER_HOLLOW
            + processes as u64 * BYTES_PER_PROCESS
            + complete as u64 * BYTES_PER_COMPLETE;
        Self { processes: 1 + processes + complete, bytes }
    }

    /// Whether that is within the lab's own bounds and within what this machine has left.
    pub fn check(&self) -> Result<(), TooLarge> {
        let available = Meminfo::current().ok().and_then(|memory| memory.mem_available);
        self.check_against(available.unwrap_or(u64::MAX))
    }

    /// Whether that is within the lab's own bounds and this much memory.
    pub fn check_against(&self, available: u64) -> Result<(), TooLarge> {
        let mb = |bytes: u64| bytes / (1024 * 1024);
        if self.processes > MOST_PROCESSES {
            return Err(TooLarge::Processes { needed: self.processes });
        }
        for (most, why) in [(MOST_BYTES, "the lab's own bound"), (available, "what this machine has left")] {
            if self.bytes > most {
                return Err(TooLarge::Memory { needed_mb: mb(self.bytes), most_mb: mb(most), why });
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
