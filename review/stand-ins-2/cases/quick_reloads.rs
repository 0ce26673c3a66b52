//! New configurations in quick succession while discovery is slow, and a cache server that begins to drain.

use super::{Case, Deployment, Verdict, start_servers};
use crate::cache_server::{SentIds, Work};
use crate::client::{ClientRequest, connect};
use crate::discovery::Discovery;
use crate::record::Record;
use std::io;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const DEPLOYMENT: Deployment =
    Deployment { membership_mode: "subscribe", weights: "nominal", memory_mb: 64, sockets: 256 };
const SERVERS: usize = 4;
const REQUEST_TIME: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_millis(1_000);
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// How late each answer of the slow discovery is.
const SLOW_ANSWER: Duration = Duration::from_millis(1_700);
/// How long the node runs before the first new configuration.
const BEFORE_RELOADS: Duration = Duration::from_secs(3);
const RELOADS: u32 = 6;
const RELOAD_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long requests go on after the last new configuration.
const AFTER_RELOADS: Duration = Duration::from_secs(2);
/// A change counts as told this long after discovery had it and could be reached, at the latest.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `safety.stop_sending_within_us`, and the slack of sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);

pub fn play(case: &Case) -> io::Result<Verdict> {
    let (sent_ids, record) = (SentIds::default(), &case.record);
    let delay = if case.trouble { SLOW_ANSWER } else { Duration::ZERO };
    let discovery = Discovery::new(delay, record);
    let servers = start_servers(SERVERS, Work::taking(REQUEST_TIME), &discovery, &sent_ids, record)?;
    let mut address = discovery.open_address()?;
    let node = case.start_node(&discovery, address.address, DEPLOYMENT)?;
    let until = Instant::now() + BEFORE_RELOADS + RELOAD_INTERVAL * RELOADS + AFTER_RELOADS;
    let client = start_client(node.address, until, &sent_ids, record);
    thread::sleep(BEFORE_RELOADS);
    discovery.set_health(&servers[0], "draining");
    let told_at = Instant::now() + TOLD_AFTER;
    for _ in 0..RELOADS {
        let next = discovery.open_address()?;
        node.reload(next.address)?;
        address.replace();
        address = next;
        thread::sleep(RELOAD_INTERVAL);
    }
    client.join().map_err(|_| io::Error::other("the client panicked"))??;
    let receipts = servers[0].receipts();
    let late: Vec<_> = receipts.iter().filter(|receipt| receipt.began_at > told_at + DRAIN_GRACE).collect();
    let Some(last) = late.last() else {
        return Ok(Verdict::Held(format!("{} requests to the server, none after the grace", receipts.len())));
    };
    let (count, after) = (late.len(), last.began_at.duration_since(told_at).as_secs_f64());
    Ok(Verdict::Broken(format!(
        "{count} requests to the draining server after the grace, the last {after:.2} s after it counted as told"
    )))
}

/// Starts a client that sends requests for all cache servers until this time.
fn start_client(
    node: SocketAddr,
    until: Instant,
    sent_ids: &SentIds,
    record: &Record,
) -> JoinHandle<io::Result<()>> {
    let (sent_ids, record) = (sent_ids.clone(), record.clone());
    thread::spawn(move || {
        let mut stream = connect(node)?;
        let mut count = 0;
        while Instant::now() < until {
            count += 1;
            let id = format!("{:016x}", 0x8000 + count);
            let request =
                ClientRequest { id, kind: "read", key: count * 7_919, deadline: DEADLINE, value: None };
            let sent_at = request.write(&mut stream, None, &sent_ids)?;
            request.wait(&stream, sent_at, &record);
            thread::sleep(REQUEST_INTERVAL);
        }
        Ok(())
    })
}
