//! The memory of bodies: each body holds a reservation for what it occupies, until its last copy is dropped.

use bytes::Bytes;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use thiserror::Error;
use tokio::sync::Notify;
use walkpick::policy::memory::{BodyBudget, BodyKind, Decision};

/// There is no memory for a request's body.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no memory for the body")]
pub struct NoMemory;

/// The memory that all bodies share.
#[derive(Debug)]
pub struct BodyMemory {
    budget: Mutex<BodyBudget>,
    /// Notified when memory is released.
    released: Notify,
}

impl BodyMemory {
    /// The memory for bodies of a node with this much memory in all.
    pub fn new(memory_bytes: u64) -> Arc<Self> {
        Arc::new(Self { budget: Mutex::new(BodyBudget::new(memory_bytes)), released: Notify::new() })
    }

    /// How many bytes bodies occupy.
    pub fn used(&self) -> usize {
        self.budget().used()
    }

    /// A reservation for a body that occupies nothing yet.
    pub fn reservation(self: &Arc<Self>, kind: BodyKind) -> Reservation {
        Reservation { memory: self.clone(), kind, bytes: 0 }
    }

    fn budget(&self) -> MutexGuard<'_, BodyBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What one body occupies.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<BodyMemory>,
    kind: BodyKind,
    bytes: usize,
}

impl Reservation {
    /// Reserves memory for a body of which only the announced length is known. Waits if the policy says so.
    pub async fn begin(&mut self, announced: usize) -> Result<(), NoMemory> {
        self.reserve(BodyBudget::initial_charge(self.kind, announced)).await
    }

    /// Reserves memory for a body that needs this capacity and has at most `max_bytes`. Waits if the policy
    /// says so.
    pub async fn grow(&mut self, capacity: usize, max_bytes: usize) -> Result<(), NoMemory> {
        self.reserve(BodyBudget::charge(self.kind, capacity, max_bytes)).await
    }

    async fn reserve(&mut self, wanted: usize) -> Result<(), NoMemory> {
        while wanted > self.bytes {
            // Created before the decision, so that no release in between is missed.
            let released = self.memory.released.notified();
            let decision = self.memory.budget().resize(self.kind, self.bytes, wanted);
            match decision {
                Decision::Granted => self.bytes = wanted,
                Decision::Wait => released.await,
                Decision::Refused => return Err(NoMemory),
            }
        }
        Ok(())
    }

    /// Keeps only what the complete body occupies.
    fn shrink(&mut self, capacity: usize) {
        if capacity < self.bytes {
            self.memory.budget().resize(self.kind, self.bytes, capacity);
            self.bytes = capacity;
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
