//! A new cache server joins a busy fleet whose lists tell live weights.

use super::{Case, Deployment, Verdict, start_servers};
use crate::cache_server::{CacheServer, SentIds, Work};
use crate::client::{ClientRequest, connect};
use crate::discovery::Discovery;
use crate::record::Record;
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MEMORY_MB: u32 = 128;
const SOCKETS: u32 = 1_024;
const SERVERS: usize = 16;
/// A cache server has one core and needs 40 ms of it for a request, so that it can carry 25 a second. The rest
/// of the time of a request is spent waiting for the origin.
const CAPACITY_PER_S: f64 = 25.0;
const REQUEST_TIME: Duration = Duration::from_millis(400);
/// Together the clients send four fifths of what the cache servers can carry.
const REQUESTS_PER_S: f64 = 0.8 * CAPACITY_PER_S * SERVERS as f64;
const CLIENTS: u64 = 256;
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Lists come twice a second, and the shares in them are as they were 2 s ago.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
const LISTS_BEHIND: usize = 4;
const BEFORE_JOIN: Duration = Duration::from_secs(15);
const AFTER_JOIN: Duration = Duration::from_secs(10);

/// `safety.*` of the settings.
const FALL_MULTIPLE: f64 = 3.0;
const FALL_WINDOW: Duration = Duration::from_millis(1_500);
const COLD_SHARE: f64 = 0.15;
const WARM_WITHIN: Duration = Duration::from_secs(23);

pub fn play(case: &Case) -> io::Result<Verdict> {
    let (sent_ids, record) = (SentIds::default(), &case.record);
    let discovery = Discovery::new(Duration::ZERO, record);
    let mut servers = start_servers(SERVERS, Work::taking(REQUEST_TIME), &discovery, &sent_ids, record)?;
    let address = discovery.open_address()?;
    let deployment =
        Deployment { membership_mode: "automatic", weights: "live", memory_mb: MEMORY_MB, sockets: SOCKETS };
    let node = case.start_node(&discovery, address.address, deployment)?;
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> =
        (0..CLIENTS).map(|number| start_client(number, node.address, &sent_ids, record, &ended)).collect();

    let mut held = HeldHistory::default();
    update_lists(BEFORE_JOIN, &discovery, &servers, &mut held, record);
    let joined_at = Instant::now();
    if case.trouble {
        let server = CacheServer::start("s-new", Work::taking(REQUEST_TIME), &sent_ids, record)?;
        discovery.add(&server, unix_ms()?);
        record.add("discovery: s-new has started and is ready");
        servers.push(server);
    }
    update_lists(AFTER_JOIN, &discovery, &servers, &mut held, record);

    ended.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client panicked"))??;
    }
    let carried: usize = servers[..SERVERS].iter().map(|server| sent_since(server, joined_at).len()).sum();
    let carried_per_s = carried as f64 / SERVERS as f64 / AFTER_JOIN.as_secs_f64();
    record.add(format!("each warm server was sent {carried_per_s:.1} requests a second meanwhile"));
    let cold = servers.get(SERVERS).map(|server| sent_since(server, joined_at)).unwrap_or_default();
    let findings: Vec<_> = falls(&cold).into_iter().collect();
    Ok(Verdict::from_findings(&findings, format!("{} requests to the cold server", cold.len())))
}

/// Starts a client that sends a request at regular intervals until the end.
fn start_client(
    number: u64,
    node: SocketAddr,
    sent_ids: &SentIds,
    record: &Record,
    ended: &Arc<AtomicBool>,
) -> JoinHandle<io::Result<()>> {
    let (sent_ids, record, ended) = (sent_ids.clone(), record.clone(), ended.clone());
    let interval = Duration::from_secs_f64(CLIENTS as f64 / REQUESTS_PER_S);
    let mut next_at = Instant::now() + interval.mul_f64(number as f64 / CLIENTS as f64);
    thread::spawn(move || {
        let mut stream = connect(node)?;
        let mut count = 0;
        while !ended.load(Ordering::SeqCst) {
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
            next_at += interval;
            count += 1;
            let id = format!("{:016x}", (number << 32) + count);
            let request = ClientRequest {
                id,
                kind: "catalogue",
                key: spread(number, count),
                deadline: DEADLINE,
                value: None,
            };
            let sent_at = request.write(&mut stream, None, &sent_ids)?;
            request.wait(&stream, sent_at, &record);
        }
        Ok(())
    })
}

/// Keys that are spread over all cache servers, each used once.
fn spread(client: u64, count: u64) -> u64 {
    const ODD_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    ((client << 32) + count).wrapping_mul(ODD_MULTIPLIER)
}

/// How many requests each server held, list by list.
#[derive(Default)]
struct HeldHistory(Vec<HashMap<String, usize>>);

impl HeldHistory {
    fn add(&mut self, servers: &[CacheServer]) {
        self.0.push(servers.iter().map(|server| (server.name.clone(), server.held())).collect());
    }

    /// The live weight: "the size divided by 1 + requests held for each core, some time ago".
    fn live_share(&self, server: &CacheServer) -> f64 {
        let lists = &self.0[self.0.len().saturating_sub(1 + LISTS_BEHIND)];
        1.0 / (1.0 + lists.get(&server.name).copied().unwrap_or(0) as f64)
    }
}

/// Tells new shares in each list for this long.
fn update_lists(
    time: Duration,
    discovery: &Discovery,
    servers: &[CacheServer],
    held: &mut HeldHistory,
    record: &Record,
) {
    let start = Instant::now();
    while start.elapsed() < time {
        held.add(servers);
        discovery.update_shares(|server| held.live_share(server));
        let shares = servers.iter().map(|server| format!("{} {:.3}", server.name, held.live_share(server)));
        record.add(format!("discovery: shares {}", shares.collect::<Vec<_>>().join(", ")));
        thread::sleep(LIST_INTERVAL);
    }
}

fn unix_ms() -> io::Result<u64> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_err(io::Error::other)?;
    u64::try_from(unix.as_millis()).map_err(io::Error::other)
}

/// When the server got its requests, from this time on.
fn sent_since(server: &CacheServer, start: Instant) -> Vec<Duration> {
    let receipts = server.receipts();
    receipts.iter().filter_map(|receipt| receipt.began_at.checked_duration_since(start)).collect()
}

/// How many requests the server got in the window that ends at this age, and how many it bears there.
struct Window {
    age: Duration,
    sent: usize,
    limit: f64,
}

impl Window {
    fn ending_with(last: usize, sent: &[Duration]) -> Self {
        let age = sent[last];
        let in_window = sent[..=last].iter().filter(|earlier| **earlier + FALL_WINDOW > age).count();
        Self { age, sent: in_window, limit: most_in_window(age) }
    }

    fn excess(&self) -> f64 {
        self.sent as f64 - self.limit
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sent, limit, age) = (self.sent, self.limit, self.age.as_secs_f64());
        write!(f, "{sent} of {limit:.1} allowed requests in 1.5 s at an age of {age:.2} s")
    }
}

/// The first window in which the cold server has been sent more than it bears, and the worst one.
fn falls(sent: &[Duration]) -> Option<String> {
    let windows = || (0..sent.len()).map(|last| Window::ending_with(last, sent));
    let first = windows().find(|window| window.excess() > 0.0)?;
    let worst = windows().max_by(|one, other| one.excess().total_cmp(&other.excess()))?;
    Some(format!("{first}, at worst {worst}"))
}

/// The most requests that a server of this age bears in the window of the settings. Its capacity grows evenly
/// from the cold share to all of it.
fn most_in_window(age: Duration) -> f64 {
    let warmth = (COLD_SHARE + (1.0 - COLD_SHARE) * age.div_duration_f64(WARM_WITHIN)).min(1.0);
    let allowed = FALL_MULTIPLE * warmth * CAPACITY_PER_S * FALL_WINDOW.as_secs_f64();
    if allowed < 30.0 { allowed + 3.0 * allowed.sqrt() + 3.0 } else { allowed + 2.0 * allowed.sqrt() + 2.0 }
}
