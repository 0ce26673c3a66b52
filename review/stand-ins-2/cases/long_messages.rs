//! Clients whose requests and answers are long, on a node with little memory.

use super::{Case, Deployment, Verdict, start_servers};
use crate::cache_server::{SentIds, Work};
use crate::client::{ClientRequest, connect};
use crate::discovery::Discovery;
use crate::http::Ending;
use crate::record::Record;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// What the platform gives the node, within its pages: 32 to 192 MB and 256 to 1,024 descriptors.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1_024;
const KIB_PER_MB: u64 = 1_024;
/// Under a third of the descriptors.
const CLIENTS: u64 = 320;
const SERVERS: usize = 40;
/// A body holds 64 KiB at most.
const LONG_BODY: usize = 20_000;
const SHORT_BODY: usize = 100;
const REQUEST_TIME: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(2_000);
/// How long a client rests between two requests.
const REST: Duration = Duration::from_millis(500);
const PLAYED: Duration = Duration::from_secs(75);
const MEMORY_INTERVAL: Duration = Duration::from_millis(250);

pub fn play(case: &Case) -> io::Result<Verdict> {
    let (sent_ids, record) = (SentIds::default(), &case.record);
    let discovery = Discovery::new(Duration::ZERO, record);
    let length = if case.trouble { LONG_BODY } else { SHORT_BODY };
    let work = Work { time: REQUEST_TIME, answer_length: length };
    start_servers(SERVERS, work, &discovery, &sent_ids, record)?;
    let address = discovery.open_address()?;
    let deployment = Deployment {
        membership_mode: "automatic",
        weights: "nominal",
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
    };
    let mut node = case.start_node(&discovery, address.address, deployment)?;
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = Client {
                number,
                node: node.address,
                length,
                sent_ids: sent_ids.clone(),
                record: record.clone(),
                ended: ended.clone(),
            };
            thread::spawn(move || client.run())
        })
        .collect();
    let start = Instant::now();
    let mut peak_kib = 0;
    while start.elapsed() < PLAYED {
        thread::sleep(MEMORY_INTERVAL);
        if !node.is_running() {
            return Ok(Verdict::Broken("the node has ended".to_owned()));
        }
        let Resident { resident_kib, anonymous_kib } = resident(node.process_id())?;
        record.add(format!("node: {resident_kib} KiB resident, {anonymous_kib} of them its own"));
        peak_kib = resident_kib.max(peak_kib);
    }
    ended.store(true, Ordering::SeqCst);
    let mut served = 0;
    for client in clients {
        served += client.join().map_err(|_| io::Error::other("a client panicked"))??;
    }
    let limit_kib = u64::from(MEMORY_MB) * KIB_PER_MB;
    let seen = format!("{peak_kib} of {limit_kib} KiB of memory, {served} requests served");
    Ok(if peak_kib > limit_kib { Verdict::Broken(seen) } else { Verdict::Held(seen) })
}

struct Client {
    number: u64,
    node: SocketAddr,
    length: usize,
    sent_ids: SentIds,
    record: Record,
    ended: Arc<AtomicBool>,
}

impl Client {
    /// Sends reads and writes in turn until the end. Returns how many were served.
    fn run(&self) -> io::Result<u64> {
        let mut stream = connect(self.node)?;
        let (mut count, mut served) = (0, 0);
        while !self.ended.load(Ordering::SeqCst) {
            count += 1;
            let request = self.request(count);
            let Ok(sent_at) = request.write(&mut stream, None, &self.sent_ids) else {
                stream = connect(self.node)?;
                continue;
            };
            match request.wait(&stream, sent_at, &self.record) {
                Ending::Answered { status, closes, .. } => {
                    served += u64::from(status == "200");
                    if closes {
                        stream = connect(self.node)?;
                    }
                }
                Ending::Closed(_) | Ending::Silent => stream = connect(self.node)?,
            }
            thread::sleep(REST);
        }
        Ok(served)
    }

    fn request(&self, count: u64) -> ClientRequest {
        let number = (self.number << 32) + count;
        let writes = count % 2 == 0;
        ClientRequest {
            id: format!("{number:016x}"),
            kind: if writes { "plan-change" } else { "read" },
            key: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            deadline: DEADLINE,
            value: writes.then(|| vec![b'v'; self.length]),
        }
    }
}

/// What a process occupies.
struct Resident {
    resident_kib: u64,
    /// Without the pages of files, such as the program itself.
    anonymous_kib: u64,
}

fn resident(process_id: u32) -> io::Result<Resident> {
    let status = fs::read_to_string(format!("/proc/{process_id}/status"))?;
    let kib = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    };
    Ok(Resident { resident_kib: kib("VmRSS:"), anonymous_kib: kib("RssAnon:") })
}
