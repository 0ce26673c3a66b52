//! The memory of the node: whatever draws on it holds a reservation for what it occupies, until it is gone.

use bytes::Bytes;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use thiserror::Error;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;
use walkpick::policy::memory::{body_charge, initial_body_charge, Decision, MemoryBudget, MemoryUse};

/// There is no memory for it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no memory left")]
pub struct NoMemory;

/// The memory that all parts of the node share.
#[derive(Debug)]
pub struct Memory {
    budget: Mutex<MemoryBudget>,
    /// Notified when memory is released.
    released: Notify,
}

impl Memory {
    /// The memory of a node that may use this much in all.
    pub fn new(memory_bytes: u64) -> Arc<Self> {
        Arc::new(Self { budget: Mutex::new(MemoryBudget::new(memory_bytes)), released: Notify::new() })
    }

    /// How many bytes are reserved for this.
    pub fn used(&self, memory_use: MemoryUse) -> usize {
        self.budget().used(memory_use)
    }

    /// A reservation that holds nothing yet.
    pub fn reservation(self: &Arc<Self>, memory_use: MemoryUse) -> Reservation {
        Reservation { memory: self.clone(), memory_use, bytes: 0 }
    }

    /// A reservation of this many bytes, if they are granted at once.
    pub fn try_reserve(
        self: &Arc<Self>,
        memory_use: MemoryUse,
        bytes: usize,
    ) -> Result<Reservation, NoMemory> {
        let mut reservation = self.reservation(memory_use);
        reservation.try_resize(bytes)?;
        Ok(reservation)
    }

    /// Whether one more connection to a client would have memory if those to cache servers left it.
    pub fn has_share_for_client(&self) -> bool {
        self.budget().has_share_for_client()
    }

    /// Completes when memory has been released after this call.
    pub fn released(&self) -> Notified<'_> {
        self.released.notified()
    }

    fn budget(&self) -> MutexGuard<'_, MemoryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What one user of the memory occupies.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<Memory>,
    memory_use: MemoryUse,
    bytes: usize,
}

impl Reservation {
    /// Another reservation on the same memory, which holds nothing yet.
    pub fn another(&self, memory_use: MemoryUse) -> Self {
        self.memory.reservation(memory_use)
    }

    /// Reserves this many bytes in all, or releases what is more, without waiting.
    pub fn try_resize(&mut self, wanted: usize) -> Result<(), NoMemory> {
        if wanted <= self.bytes {
            self.shrink(wanted);
            return Ok(());
        }
        match self.decide(wanted) {
            Decision::Granted => Ok(()),
            Decision::Wait | Decision::Refused => Err(NoMemory),
        }
    }

    /// Reserves memory for a body of which only the announced length is known. Waits if the policy says so.
    pub async fn begin_body(&mut self, announced: usize) -> Result<(), NoMemory> {
        self.reserve(initial_body_charge(self.memory_use, announced)).await
    }

    /// Reserves memory for a body that needs this capacity and has at most `max_bytes`. Waits if the policy
    /// says so.
    pub async fn grow_body(&mut self, capacity: usize, max_bytes: usize) -> Result<(), NoMemory> {
        self.reserve(body_charge(self.memory_use, capacity, max_bytes)).await
    }

    async fn reserve(&mut self, wanted: usize) -> Result<(), NoMemory> {
        while wanted > self.bytes {
            let memory = self.memory.clone();
            // Created before the decision, so that no release in between is missed.
            let released = memory.released();
            match self.decide(wanted) {
                Decision::Granted => {}
                Decision::Wait => released.await,
                Decision::Refused => return Err(NoMemory),
            }
        }
        Ok(())
    }

    /// Asks for this many bytes in all, and holds them if they are granted.
    fn decide(&mut self, wanted: usize) -> Decision {
        let decision = self.memory.budget().resize(self.memory_use, self.bytes, wanted);
        if decision == Decision::Granted {
            self.bytes = wanted;
        }
        decision
    }

    /// Releases all but this many bytes.
    fn shrink(&mut self, bytes: usize) {
        if bytes < self.bytes {
            self.decide(bytes);
            self.memory.released.notify_waiters();
        }
    }

    /// The complete body, which holds the reservation from now on.
    pub fn into_bytes(mut self, bytes: Vec<u8>) -> Bytes {
        self.shrink(bytes.capacity());
        match bytes.is_empty() {
            true => Bytes::new(),
            false => Bytes::from_owner(ReservedBytes { bytes, _reservation: self }),
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// A body with its reservation.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
