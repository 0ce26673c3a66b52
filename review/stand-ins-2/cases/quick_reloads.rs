//! New configurations in quick succession while discovery is slow, and a cache server that begins to drain.

use super::{start_servers, Case, Deployment, Verdict};
use crate::cache_server::{SentIds, Work};
use crate::client::{connect, ClientRequest};
use crate::discovery::Discovery;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u32 = 64;
const SOCKETS: u32 = 256;
const DEADLINE: Duration = Duration::from_millis(1_000);
/// How late each answer of the slow discovery is.
const SLOW_ANSWER: Duration = Duration::from_millis(1_700);
const RELOADS: usize = 6;
const RELOAD_INTERVAL: Duration = Duration::from_millis(1_500);
/// After which reload the server begins to drain.
const DRAIN_AFTER_RELOAD: usize = 0;
/// A change counts as told this long after discovery had it and could be reached, at the latest.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `safety.stop_sending_within_us`, and the slack of sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

pub fn play(case: &Case) -> io::Result<Verdict> {
    let (sent_ids, record) = (SentIds::default(), &case.record);
    let delay = if case.trouble { SLOW_ANSWER } else { Duration::ZERO };
    let discovery = Discovery::new(delay, record);
    let servers = start_servers(4, Work::taking(Duration::from_millis(5)), &discovery, &sent_ids, record)?;
    let mut address = discovery.open_address()?;
    let deployment = Deployment { membership_mode: "subscribe", weights: "nominal", memory_mb: MEMORY_MB, sockets: SOCKETS };
    let node = case.start_node(&discovery, address.address, deployment)?;
    thread::sleep(Duration::from_secs(3));
    let until = Instant::now() + RELOAD_INTERVAL * (RELOADS as u32) + Duration::from_secs(2);
    let clients: Vec<_> = (0u64..2)
        .map(|number| {
            let (address, sent_ids, record) = (node.address, sent_ids.clone(), record.clone());
            thread::spawn(move || -> io::Result<()> {
                let mut stream = connect(address)?;
                let mut count = 0u64;
                while Instant::now() < until {
                    count += 1;
                    let id = format!("{:016x}", 0x8000 + (number << 32) + count);
                    let request = ClientRequest { id, kind: "read", key: count * 7919, deadline: DEADLINE, value: None };
                    let sent_at = request.write(&mut stream, None, &sent_ids)?;
                    request.wait(&stream, sent_at, &record);
                    thread::sleep(REQUEST_INTERVAL);
                }
                Ok(())
            })
        })
        .collect();
    let mut told_at = None;
    for reload in 0..RELOADS {
        if reload == DRAIN_AFTER_RELOAD {
                discovery.set_health(&servers[0], "draining");
            told_at = Some(Instant::now() + TOLD_AFTER);
        }
        let next = discovery.open_address()?;
        node.reload(next.address)?;
        address.replace();
        address = next;
        thread::sleep(RELOAD_INTERVAL);
    }
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client panicked"))??;
    }
    let told_at = told_at.ok_or_else(|| io::Error::other("no server drained"))?;
    let receipts = servers[0].receipts();
    let late: Vec<_> = receipts.iter().filter(|receipt| receipt.began_at > told_at + DRAIN_GRACE).collect();
    let findings: Vec<_> = late
        .last()
        .map(|last| {
            let after = last.began_at.duration_since(told_at).as_secs_f64();
            format!("{} requests to the draining server after the grace, the last {after:.2} s after it counted as told", late.len())
        })
        .into_iter()
        .collect();
    Ok(Verdict::from_findings(&findings, format!("{} requests to the server in all", receipts.len())))
}
