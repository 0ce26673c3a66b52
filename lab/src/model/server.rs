//! A cache server: cores shared by the requests in service, slots and a bounded queue, loss of efficiency under
//! contention, cold start and warm-up over time, an LRU cache, fetches that requests may share, write-through and a
//! limit on connections (protocol and operators' pages).

use super::{Micros, SECOND};
use lru::LruCache;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::num::NonZeroUsize;
use walkpick::LoadReport;

/// Tolerance above the budget of a cold server (protocol page, rule 4: "a little slack for chance").
const OVERLOAD_TOLERANCE: f64 = 1.1;

/// Interval at which the load report is refreshed.
const REPORT_INTERVAL: Micros = SECOND / 2;
/// Largest relative error of the values in a load report.
const REPORT_NOISE: f64 = 0.2;
/// Work that a probe costs, in microseconds of a standard core.
const PROBE_WORK_US: f64 = 1_000.0;

/// Identifies an attempt at a server. Never reused.
pub type JobId = u64;

/// Parameters of a server. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Number of cores.
    pub cores: f64,
    /// Requests in service at once.
    pub slots: usize,
    /// Requests that may queue beyond them.
    pub queue_capacity: usize,
    /// Speed of a core relative to a standard core.
    pub speed: f64,
    /// Outstanding requests per core from which on efficiency drops.
    pub thrash_at: f64,
    /// Loss of efficiency per request per core above `thrash_at`.
    pub thrash: f64,
    /// Share of its full capacity at start.
    pub cold_share: f64,
    /// Time from start to full capacity.
    pub warm_us: Micros,
    /// Objects that its cache holds.
    pub cache_objects: NonZeroUsize,
    /// Whether concurrent misses of a key share one fetch.
    pub coalesces_fetches: bool,
    /// After this long a fetch is abandoned, and its requests are answered with an error.
    pub fetch_timeout_us: Micros,
    /// Work that a new connection costs, in microseconds of a standard core.
    pub handshake_work_us: f64,
    /// Connections that it accepts at most.
    pub max_connections: usize,
    /// While cold, it crashes when it receives more than this multiple of its capacity over `overload_window_us`.
    pub overload_multiple: f64,
    /// See `overload_multiple`.
    pub overload_window_us: Micros,
}

/// An attempt as received by a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Identifies the attempt.
    pub id: JobId,
    /// Key of the object.
    pub key: u64,
    /// Work, in microseconds of a standard core.
    pub work_us: f64,
    /// Whether it modifies the object.
    pub write: bool,
    /// Whether it came on a new connection.
    pub new_connection: bool,
    /// Whether this server answers it with an error immediately.
    pub fails: bool,
    /// Whether its node had been notified of this start of the server.
    pub notified: bool,
}

/// A server's response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerResponse {
    /// Served from the cache.
    Hit,
    /// Served by a fetch or a write.
    Miss,
    /// The request was executed, but the response breaks off.
    Truncated,
    /// An error; the request may have been executed.
    Error,
    /// Rejected before execution.
    QueueFull,
}

/// An output of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerAction {
    /// Responds to an attempt.
    Respond {
        /// The attempt.
        job: JobId,
        /// The response.
        response: ServerResponse,
    },
    /// Starts service of an attempt: the request may have been executed from here on.
    Start(JobId),
    /// Requests an object, or a write, from the origin.
    Fetch {
        /// The attempt that needs it.
        job: JobId,
    },
    /// Removes an object from all caches.
    Invalidate(u64),
    /// Sets the server's timer. It replaces the one set before.
    SetTimer {
        /// When it fires.
        at: Micros,
        /// Identifies it.
        timer_id: u64,
    },
    /// Crashes from overload while cold, and stays down.
    Crash {
        /// The share of the work, over the window, from nodes that had been notified of its start.
        notified_share: f64,
    },
}

/// A cache server.
#[derive(Debug)]
pub struct Server {
    config: ServerConfig,
    /// When it started; `None` for a server that is warm from the outset.
    started: Option<Micros>,
    /// Current factor on the time that work takes.
    slowdown: f64,
    crashed: bool,
    cache: LruCache<u64, ()>,
    /// Work done since the start for a request that was in service all the time, in microseconds of a standard core. All
    /// requests in service progress at the same rate, so the one with the lowest [`Mark`] ends first.
    done: f64,
    done_at: Micros,
    working: BinaryHeap<Reverse<(Mark, JobId)>>,
    jobs: HashMap<JobId, (Job, ServerResponse)>,
    waiting: VecDeque<Job>,
    /// Fetches in flight, by the job that started each. Their jobs hold slots meanwhile.
    fetching: HashMap<JobId, Fetch>,
    by_key: HashMap<u64, JobId>,
    timer_id: u64,
    /// The last refresh of the load report: when, the share of busy cores and the length of the queue.
    reported: Option<(Micros, f64, f64)>,
    /// Recent jobs, for the overload rule of cold servers: when each came, its work, and whether its node was notified.
    recent: VecDeque<(Micros, f64, bool)>,
    /// Connections that nodes have open to it.
    pub connections: usize,
}

#[derive(Debug)]
struct Fetch {
    job: Job,
    /// Further jobs that wait for the same object.
    sharing: Vec<Job>,
    deadline: Micros,
}

/// The value of [`Server::done`] at which a job ends. Finite, so that it has a total order.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Mark(f64);
impl Eq for Mark {}
impl PartialOrd for Mark {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Mark {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Server {
    /// An idle server with an empty cache. `started`: `None` for one that is warm.
    pub fn new(config: ServerConfig, started: Option<Micros>) -> Self {
        Self {
            cache: LruCache::new(config.cache_objects),
            config,
            started,
            slowdown: 1.0,
            crashed: false,
            done: 0.0,
            done_at: 0,
            working: BinaryHeap::new(),
            jobs: HashMap::new(),
            waiting: VecDeque::new(),
            fetching: HashMap::new(),
            by_key: HashMap::new(),
            timer_id: 0,
            reported: None,
            recent: VecDeque::new(),
            connections: 0,
        }
    }

    /// The same server after a restart: cold, with an empty cache.
    pub fn restarted(&self, now: Micros) -> Self {
        Self::new(self.config.clone(), Some(now))
    }

    /// Number of requests in service or queued.
    pub fn outstanding(&self) -> usize {
        self.in_slots() + self.waiting.len()
    }

    /// Whether it accepts another connection.
    pub fn accepts_connections(&self) -> bool {
        !self.crashed && self.connections < self.config.max_connections
    }

    /// Whether it has crashed.
    pub fn crashed(&self) -> bool {
        self.crashed
    }

    /// Puts an object into the cache.
    pub fn cache(&mut self, key: u64) {
        self.cache.put(key, ());
    }

    /// Removes an object from the cache.
    pub fn invalidate(&mut self, key: u64) {
        self.cache.pop(&key);
    }

    /// Its load as its responses report it: up to half a second old, and noisy. `noise`: a draw from 0 to 1.
    pub fn load_report(&mut self, now: Micros, noise: f64) -> LoadReport {
        if self.reported.is_none_or(|(at, ..)| now >= at + REPORT_INTERVAL) {
            let busy = (self.working.len() as f64 / self.config.cores).min(1.0);
            self.reported = Some((now, busy, self.waiting.len() as f64));
        }
        let (_, busy, waiting) = self.reported.unwrap_or_default();
        let noisy = |value: f64| value * (1.0 + REPORT_NOISE * (2.0 * noise - 1.0));
        LoadReport {
            service_time: None,
            utilization: Some(noisy(busy).min(1.0)),
            queue_length: Some(noisy(waiting)),
        }
    }

    /// Receives a probe, which costs work. Returns whether it is accepted: not when the server is at its limit of
    /// connections.
    pub fn probe(&mut self, now: Micros, actions: &mut Vec<ServerAction>) -> bool {
        self.advance(now);
        // The cost is taken in equal parts from the progress of all jobs in service.
        self.done -= PROBE_WORK_US / self.working.len().max(1) as f64;
        self.set_timer(now, actions);
        self.accepts_connections()
    }

    /// Sets the factor on the time that work takes.
    pub fn set_slowdown(&mut self, now: Micros, factor: f64, actions: &mut Vec<ServerAction>) {
        self.advance(now);
        self.slowdown = factor.max(0.01);
        self.set_timer(now, actions);
    }

    /// Share of its full capacity that is available now.
    pub fn capacity_share(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / self.config.warm_us.max(1) as f64;
        (self.config.cold_share + (1.0 - self.config.cold_share) * age).min(1.0)
    }

    /// Seconds that a job received now would take per second of its work, without a fetch, given the queue and its share
    /// of the cores.
    pub fn expected_stretch(&self, now: Micros) -> f64 {
        let per_core = (self.outstanding() + 1) as f64 / self.config.cores;
        let efficiency = 1.0 / (1.0 + self.config.thrash * (per_core - self.config.thrash_at).max(0.0));
        per_core.max(1.0) * self.slowdown
            / (self.config.speed * efficiency * self.capacity_share(now).max(0.01))
    }

    /// Whether its cache holds an object.
    pub fn has_cached(&self, key: u64) -> bool {
        self.cache.contains(&key)
    }

    fn in_slots(&self) -> usize {
        let fetching: usize = self.fetching.values().map(|fetch| 1 + fetch.sharing.len()).sum();
        self.working.len() + fetching
    }

    /// Work, in microseconds of a standard core, that each request in service gets per microsecond.
    fn rate(&self, now: Micros) -> f64 {
        let working = self.working.len().max(1) as f64;
        let excess = (self.outstanding() as f64 / self.config.cores - self.config.thrash_at).max(0.0);
        let efficiency = 1.0 / (1.0 + self.config.thrash * excess);
        let shared = (self.config.cores / working).min(1.0);
        (self.config.speed * shared * efficiency * self.capacity_share(now) / self.slowdown).max(1e-9)
    }

    fn advance(&mut self, now: Micros) {
        self.done += self.rate(self.done_at) * now.saturating_sub(self.done_at) as f64;
        self.done_at = now;
    }

    fn set_timer(&mut self, now: Micros, actions: &mut Vec<ServerAction>) {
        self.timer_id += 1;
        let next = self.working.peek().map(|Reverse((mark, _))| {
            let left = ((mark.0 - self.done) / self.rate(now)).max(0.0);
            // During warm-up the rate changes continuously: progress is recomputed every quarter of a second.
            let max = if self.capacity_share(now) < 1.0 { SECOND / 4 } else { Micros::MAX / 4 };
            now.saturating_add((left.ceil() as Micros).max(1).min(max))
        });
        let fetch_deadline = self.fetching.values().map(|fetch| fetch.deadline).min();
        if let Some(at) = next.into_iter().chain(fetch_deadline).min() {
            actions.push(ServerAction::SetTimer { at: at.max(now + 1), timer_id: self.timer_id });
        }
    }

    /// Receives a complete request.
    pub fn receive(&mut self, now: Micros, job: Job, actions: &mut Vec<ServerAction>) {
        self.advance(now);
        self.check_cold_overload(now, &job, actions);
        if self.crashed {
            return;
        }
        if job.fails {
            actions.push(ServerAction::Start(job.id));
            actions.push(ServerAction::Respond { job: job.id, response: ServerResponse::Error });
        } else if self.in_slots() < self.config.slots {
            self.start(now, job, actions);
        } else if self.waiting.len() < self.config.queue_capacity {
            self.waiting.push_back(job);
        } else {
            actions.push(ServerAction::Respond { job: job.id, response: ServerResponse::QueueFull });
        }
        self.set_timer(now, actions);
    }

    /// Crashes a cold server that receives more work within the window than the multiple of its current capacity allows.
    fn check_cold_overload(&mut self, now: Micros, job: &Job, actions: &mut Vec<ServerAction>) {
        if self.crashed || self.capacity_share(now) >= 1.0 {
            return;
        }
        self.recent.push_back((now, job.work_us, job.notified));
        while self.recent.front().is_some_and(|(at, ..)| at + self.config.overload_window_us < now) {
            self.recent.pop_front();
        }
        let work = |notified: bool| {
            self.recent.iter().filter(|recent| recent.2 == notified).map(|recent| recent.1).sum::<f64>()
        };
        let (notified, unaware) = (work(true), work(false));
        let capacity = self.config.cores
            * self.config.speed
            * self.capacity_share(now)
            * self.config.overload_window_us as f64;
        if notified + unaware > OVERLOAD_TOLERANCE * self.config.overload_multiple * capacity {
            self.crashed = true;
            actions.push(ServerAction::Crash { notified_share: notified / (notified + unaware) });
        }
    }

    fn start(&mut self, now: Micros, job: Job, actions: &mut Vec<ServerAction>) {
        actions.push(ServerAction::Start(job.id));
        let cached = !job.write && self.cache.get(&job.key).is_some();
        if cached {
            return self.work(job, ServerResponse::Hit);
        }
        let deadline = now + self.config.fetch_timeout_us;
        if !job.write && self.config.coalesces_fetches {
            let fetch = self.by_key.get(&job.key).and_then(|initiator| self.fetching.get_mut(initiator));
            if let Some(fetch) = fetch {
                return fetch.sharing.push(job);
            }
            self.by_key.insert(job.key, job.id);
        }
        self.fetching.insert(job.id, Fetch { job, sharing: Vec::new(), deadline });
        actions.push(ServerAction::Fetch { job: job.id });
    }

    fn work(&mut self, job: Job, response: ServerResponse) {
        let handshake = if job.new_connection { self.config.handshake_work_us } else { 0.0 };
        let mark = Mark(self.done + job.work_us + handshake);
        self.working.push(Reverse((mark, job.id)));
        self.jobs.insert(job.id, (job, response));
    }

    fn end_fetch(&mut self, initiator: JobId) -> Option<Fetch> {
        let fetch = self.fetching.remove(&initiator)?;
        if self.by_key.get(&fetch.job.key) == Some(&initiator) {
            self.by_key.remove(&fetch.job.key);
        }
        Some(fetch)
    }

    /// Receives the origin's answer to the fetch that the job `initiator` started.
    pub fn complete_fetch(
        &mut self,
        now: Micros,
        initiator: JobId,
        succeeded: bool,
        actions: &mut Vec<ServerAction>,
    ) {
        self.advance(now);
        // An answer to a fetch that has timed out is ignored.
        let Some(fetch) = self.end_fetch(initiator) else { return };
        let jobs = std::iter::once(fetch.job).chain(fetch.sharing);
        if succeeded {
            if fetch.job.write {
                actions.push(ServerAction::Invalidate(fetch.job.key));
            } else {
                self.cache.put(fetch.job.key, ());
            }
            jobs.for_each(|job| self.work(job, ServerResponse::Miss));
        } else {
            actions.extend(
                jobs.map(|job| ServerAction::Respond { job: job.id, response: ServerResponse::Error }),
            );
        }
        self.start_waiting(now, actions);
        self.set_timer(now, actions);
    }

    /// Handles its timer. Timers that were replaced since are ignored.
    pub fn on_timer(&mut self, now: Micros, timer_id: u64, actions: &mut Vec<ServerAction>) {
        if timer_id != self.timer_id || self.crashed {
            return;
        }
        self.advance(now);
        // Jobs with less than a microsecond of work left count as done.
        let near = self.done + self.rate(now);
        while let Some(&Reverse((mark, id))) = self.working.peek() {
            if mark.0 > near {
                break;
            }
            self.working.pop();
            if let Some((job, response)) = self.jobs.remove(&id) {
                actions.push(ServerAction::Respond { job: job.id, response });
            }
        }
        let mut overdue: Vec<_> =
            self.fetching.iter().filter(|(_, fetch)| fetch.deadline <= now).map(|(id, _)| *id).collect();
        overdue.sort_unstable();
        for initiator in overdue {
            let fetch = self.end_fetch(initiator);
            let jobs = fetch.into_iter().flat_map(|fetch| std::iter::once(fetch.job).chain(fetch.sharing));
            actions.extend(
                jobs.map(|job| ServerAction::Respond { job: job.id, response: ServerResponse::Error }),
            );
        }
        self.start_waiting(now, actions);
        self.set_timer(now, actions);
    }

    /// Starts queued jobs while slots are free.
    fn start_waiting(&mut self, now: Micros, actions: &mut Vec<ServerAction>) {
        while self.in_slots() < self.config.slots {
            let Some(job) = self.waiting.pop_front() else { return };
            self.start(now, job, actions);
        }
    }
}

#[cfg(test)]
mod tests;
