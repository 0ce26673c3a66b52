//! Accepts clients' connections, within the limit on them, and tells how long each may have waited.

use super::{serve_connection, Frontend};
use crate::net::lifecycle::Stage;
use crate::net::memory::{NoMemory, Reservation};
use crate::net::stream::Stream;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout, Instant};
use tracing::warn;
use walkpick::policy::memory::{MemoryUse, CLIENT_CONNECTION_BYTES};

/// A first request read this soon after its connection was accepted may have been sent together with it.
const SENT_WITH_CONNECT_WINDOW: Duration = Duration::from_millis(50);
/// Backoff after a failed accept; it starts at the minimum and doubles up to the maximum. It starts small
/// since an aborted connection says nothing about the next one, which has a client waiting. It is needed
/// since an immediate retry without a free file descriptor would fail again and spin.
const MIN_ACCEPT_BACKOFF: Duration = Duration::from_millis(1);
const MAX_ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// How long a connection waits for memory before idle connections are looked for again.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// What a connection needs: a slot of its own, which stands for its descriptors, and its memory.
pub struct Place {
    _slot: OwnedSemaphorePermit,
    pub memory: Reservation,
}

/// The places of all connections.
struct Places {
    slots: Arc<Semaphore>,
    frontend: Rc<Frontend>,
}

impl Places {
    /// Waits for a place, and has idle connections closed for it. Clients keep their connections open: idle
    /// ones would keep all others out when the limit is reached, and the system accepts requests on
    /// connections that are still in the backlog.
    async fn make_room(&self) -> io::Result<Place> {
        if self.slots.available_permits() == 0 {
            self.frontend.idle.make_room();
        }
        let slot = self.slot().await?;
        let mut least_used = usize::MAX;
        let memory = self.wait_for_memory(|| {
            if self.frontend.memory.has_share_for_client() && (self.frontend.close_idle_server_connection)() {
                return;
            }
            // One connection is closed at a time: the next one only once the last has released its memory.
            let used = self.frontend.memory.used(MemoryUse::ClientConnection);
            if used < least_used {
                least_used = used;
                self.frontend.idle.make_room();
            }
        });
        Ok(Place { _slot: slot, memory: memory.await })
    }

    /// Waits for a place.
    async fn wait(&self) -> io::Result<Place> {
        let slot = self.slot().await?;
        Ok(Place { _slot: slot, memory: self.wait_for_memory(|| {}).await })
    }

    async fn slot(&self) -> io::Result<OwnedSemaphorePermit> {
        self.slots.clone().acquire_owned().await.map_err(io::Error::other)
    }

    /// Waits until there is memory for a connection; calls `reclaim` whenever there is none.
    async fn wait_for_memory(&self, mut reclaim: impl FnMut()) -> Reservation {
        let memory = &self.frontend.memory;
        loop {
            // Created before memory is asked for, so that no release in between is missed.
            let released = memory.released();
            match memory.try_reserve(MemoryUse::ClientConnection, CLIENT_CONNECTION_BYTES) {
                Ok(reservation) => return reservation,
                Err(NoMemory) => reclaim(),
            }
            // A connection that becomes idle releases nothing by itself.
            let _ = timeout(MEMORY_RETRY_INTERVAL, released).await;
        }
    }
}

/// Accepts and serves connections until the node closes, and returns when every connection has ended. At most
/// `max_connections` are open, and no more than there is memory for; further ones wait in the backlog.
pub async fn serve(listener: TcpListener, frontend: Rc<Frontend>, max_connections: usize) {
    let slots = Arc::new(Semaphore::new(max_connections));
    let places = Places { slots: slots.clone(), frontend: frontend.clone() };
    let mut stage = frontend.stage.clone();
    let mut closing = pin!(stage.wait_for(|stage| *stage >= Stage::Closing));
    let mut failures = AcceptFailures::default();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listener, &places, &mut failures) => accepted,
            _ = &mut closing => break,
        };
        match accepted {
            Ok((stream, place)) => spawn_connection(stream, place, failures.record_accept(), &frontend),
            Err(error) => failures.back_off(&error).await,
        }
    }
    let mut stage_exiting = frontend.stage.clone();
    tokio::select! {
        biased;
        accepted = accept_backlog(listener, &places, &frontend) => if let Err(error) = accepted {
            warn!(target: "clients", %error, "cannot accept the connections in the backlog");
        },
        _ = stage_exiting.wait_for(|stage| *stage == Stage::Exiting) => {}
    }
    // All permits are free once the last connection has ended. The semaphore is never closed.
    let _ = slots.acquire_many(max_connections as u32).await;
}

/// Accepts the connections in the backlog: a request on them counts as accepted. It calls the system
/// directly, since the runtime only knows the readiness it polled last, and an overloaded node polls rarely.
async fn accept_backlog(listener: TcpListener, places: &Places, frontend: &Rc<Frontend>) -> io::Result<()> {
    let listener = listener.into_std()?;
    let mut failures = AcceptFailures::default();
    loop {
        let place = places.wait().await?;
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                spawn_connection(TcpStream::from_std(stream)?, place, failures.record_accept(), frontend);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            // If this never succeeds, the caller ends the loop.
            Err(error) => failures.back_off(&error).await,
        }
    }
}

/// Failed accepts, and since when connections may have been waiting because of them.
#[derive(Default)]
struct AcceptFailures {
    consecutive: u32,
    /// The first failure since the backlog was last empty.
    failing_since: Option<Instant>,
}

impl AcceptFailures {
    async fn back_off(&mut self, error: &io::Error) {
        self.failing_since.get_or_insert_with(Instant::now);
        let backoff =
            MIN_ACCEPT_BACKOFF.saturating_mul(1 << self.consecutive.min(10)).min(MAX_ACCEPT_BACKOFF);
        self.consecutive = self.consecutive.saturating_add(1);
        warn!(target: "clients", %error, in_a_row = self.consecutive, "cannot accept a connection");
        sleep(backoff).await;
    }

    /// Notes that a connection was accepted.
    fn record_accept(&mut self) -> Arrival {
        self.consecutive = 0;
        let accepted_at = Instant::now();
        Arrival { accepted_at, waiting_since: self.failing_since.unwrap_or(accepted_at) }
    }

    /// Notes that the backlog is empty.
    fn record_empty_backlog(&mut self) {
        self.failing_since = None;
    }
}

/// When a connection arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    accepted_at: Instant,
    /// It may have been waiting since then because accepts failed.
    pub waiting_since: Instant,
}

impl Arrival {
    /// A connection that arrived just now.
    #[cfg(test)]
    pub fn now() -> Self {
        let now = Instant::now();
        Self { accepted_at: now, waiting_since: now }
    }

    /// How long a first request that is read completely at `now` may have waited in the accept backlog.
    pub fn time_in_backlog(&self, now: Instant) -> Duration {
        let sent_with_connect = now.saturating_duration_since(self.accepted_at) <= SENT_WITH_CONNECT_WINDOW;
        if sent_with_connect {
            self.accepted_at - self.waiting_since
        } else {
            Duration::ZERO
        }
    }
}

/// Serves a connection in a task of its own, which keeps its place.
fn spawn_connection(stream: TcpStream, place: Place, arrival: Arrival, frontend: &Rc<Frontend>) {
    let frontend = frontend.clone();
    tokio::task::spawn_local(async move {
        let Place { _slot, memory } = place;
        serve_connection(Stream::from(stream), arrival, memory, frontend).await;
    });
}

/// Waits for a place and accepts a connection.
async fn accept(
    listener: &TcpListener,
    places: &Places,
    failures: &mut AcceptFailures,
) -> io::Result<(TcpStream, Place)> {
    let place = places.make_room().await?;
    let accepting = poll_fn(|cx| {
        let accepted = listener.poll_accept(cx);
        if accepted.is_pending() {
            failures.record_empty_backlog();
        }
        accepted
    });
    let (stream, _) = accepting.await?;
    Ok((stream, place))
}
