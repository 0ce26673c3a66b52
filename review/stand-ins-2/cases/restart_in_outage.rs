//! A node is killed and started again while discovery is down and a cache server drains.

use super::{start_servers, Case, Deployment, Verdict};
use crate::cache_server::{SentIds, Work};
use crate::client::{connect, ClientRequest};
use crate::discovery::Discovery;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

const DEPLOYMENT: Deployment =
    Deployment { membership_mode: "automatic", weights: "nominal", memory_mb: 64, sockets: 256 };
const SERVERS: usize = 4;
const DEADLINE: Duration = Duration::from_millis(1_000);
/// How long the node is away.
const AWAY: Duration = Duration::from_millis(500);
/// Discovery is down for 8 s.
const OUTAGE: Duration = Duration::from_secs(8);
/// `safety.stop_sending_within_us`, and the slack of sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
const REQUESTS: u64 = 120;
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

pub fn play(case: &Case) -> io::Result<Verdict> {
    let (sent_ids, record) = (SentIds::default(), &case.record);
    let discovery = Discovery::new(Duration::ZERO, record);
    let work = Work::taking(Duration::from_millis(5));
    let servers = start_servers(SERVERS, work, &discovery, &sent_ids, record)?;
    let address = discovery.open_address()?;
    let last_known = discovery.whole_list();
    drop(case.start_node(&discovery, address.address, DEPLOYMENT)?);

    thread::sleep(AWAY / 2);
    discovery.set_health(&servers[0], "draining");
    thread::sleep(AWAY / 2);
    if case.trouble {
        discovery.fall_silent(OUTAGE);
    }
    let node = case.start_node_with(last_known, address.address, DEPLOYMENT)?;
    // The start of the process is a little earlier: this is in the node's favour.
    let told_at = Instant::now();
    let mut stream = connect(node.address)?;
    for number in 0..REQUESTS {
        let id = format!("{:016x}", 0x9000 + number);
        let request = ClientRequest { id, kind: "read", key: number * 7_919, deadline: DEADLINE, value: None };
        let sent_at = request.write(&mut stream, None, &sent_ids)?;
        request.wait(&stream, sent_at, record);
        thread::sleep(REQUEST_INTERVAL);
    }
    let receipts = servers[0].receipts();
    let late: Vec<_> = receipts.iter().filter(|receipt| receipt.began_at > told_at + DRAIN_GRACE).collect();
    Ok(match late.last() {
        None => Verdict::Held(format!("{} requests to the draining server, all within the grace", receipts.len())),
        Some(last) => {
            let (count, after) = (late.len(), last.began_at.duration_since(told_at).as_secs_f64());
            Verdict::Broken(format!(
                "{count} requests to the draining server after the grace, the last {after:.2} s after the node was ready"
            ))
        }
    })
}
