//! Cache servers that sometimes answer twice, and a node that is held up now and then.

use super::{start_servers, Case, Deployment, Verdict};
use crate::cache_server::{CacheServer, SentIds, Work};
use crate::client::{connect, ClientRequest};
use crate::discovery::Discovery;
use crate::http::Ending;
use crate::node::Node;
use crate::record::Record;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const DEPLOYMENT: Deployment =
    Deployment { membership_mode: "automatic", weights: "nominal", memory_mb: 64, sockets: 512 };
const SERVERS: usize = 2;
/// Under a third of the descriptors.
const CLIENTS: u64 = 60;
const REQUEST_TIME: Duration = Duration::from_millis(5);
/// The clients send their requests together, in a burst each time.
const BETWEEN_BURSTS: Duration = Duration::from_millis(400);
const BURSTS: u32 = 100;
const DEADLINE: Duration = Duration::from_millis(1_000);
/// One answer of so many comes twice.
const SECOND_ANSWER_EACH: usize = 3;
/// A second answer later than this is not counted: it would be more than "some milliseconds late".
const LATEST_SECOND_ANSWER: Duration = Duration::from_millis(10);
/// The node is held up once after each burst, for this long; with the time of two signals that is less than 0.15 s.
const HELD_UP: Duration = Duration::from_millis(120);
/// How long after a burst the node is held up: it varies by so much from one to the next.
const FIRST_HOLD_AFTER: Duration = Duration::from_millis(9);
const HOLD_STEP: Duration = Duration::from_millis(1);
const HOLD_STEPS: u32 = 5;

/// An answer that its client did not ask for.
struct ForeignAnswer {
    asked: String,
    got: String,
}

pub fn play(case: &Case) -> io::Result<Verdict> {
    let (sent_ids, record) = (SentIds::default(), &case.record);
    let discovery = Discovery::new(Duration::ZERO, record);
    let work = Work {
        second_answer_each: case.trouble.then_some(SECOND_ANSWER_EACH),
        ..Work::taking(REQUEST_TIME)
    };
    let servers = start_servers(SERVERS, work, &discovery, &sent_ids, record)?;
    let address = discovery.open_address()?;
    let node = case.start_node(&discovery, address.address, DEPLOYMENT)?;
    let first_burst = Instant::now() + BETWEEN_BURSTS;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = Client {
                number,
                node: node.address,
                sent_ids: sent_ids.clone(),
                record: record.clone(),
                first_burst,
            };
            thread::spawn(move || client.run())
        })
        .collect();
    let longest = if case.trouble { hold_up(&node, first_burst, record)? } else { Duration::ZERO };
    let (mut served, mut findings) = (0, Vec::new());
    for client in clients {
        let (count, foreign) = client.join().map_err(|_| io::Error::other("a client panicked"))??;
        served += count;
        findings.extend(foreign.iter().filter_map(|answer| finding(answer, &servers)));
    }
    record.add(format!("node: held up for {} ms at most", longest.as_millis()));
    findings.iter().for_each(|finding| record.add(finding));
    Ok(match findings.first() {
        None => Verdict::Held(format!("{served} requests got their own answer")),
        Some(first) => Verdict::Broken(format!("{} foreign answers; {first}", findings.len())),
    })
}

/// Stops and continues the node after each burst. Returns the longest time that it was stopped.
fn hold_up(node: &Node, first_burst: Instant, record: &Record) -> io::Result<Duration> {
    let mut longest = Duration::ZERO;
    for burst in 0..BURSTS {
        let hold_after = FIRST_HOLD_AFTER + HOLD_STEP * (burst % HOLD_STEPS);
        sleep_until(first_burst + BETWEEN_BURSTS * burst + hold_after);
        let stopped_at = Instant::now();
        node.signal("STOP")?;
        thread::sleep(HELD_UP);
        node.signal("CONT")?;
        let held_up = stopped_at.elapsed();
        record.add(format!("node: held up for {} ms", held_up.as_millis()));
        longest = longest.max(held_up);
    }
    Ok(longest)
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// An answer that a cache server gave for another request, and that came a second time in time.
fn finding(answer: &ForeignAnswer, servers: &[CacheServer]) -> Option<String> {
    let ForeignAnswer { asked, got } = answer;
    let id = got.trim_end().rsplit(' ').next()?;
    let after = servers.iter().find_map(|server| server.second_answer_after(id))?;
    let after_ms = after.as_secs_f64() * 1000.0;
    (after <= LATEST_SECOND_ANSWER)
        .then(|| format!("{asked} got \"{}\", which was sent again after {after_ms:.1} ms", got.trim_end()))
}

struct Client {
    number: u64,
    node: SocketAddr,
    sent_ids: SentIds,
    record: Record,
    first_burst: Instant,
}

impl Client {
    /// Sends a request in each burst. Returns how many got their own answer, and the answers that were not.
    fn run(&self) -> io::Result<(u64, Vec<ForeignAnswer>)> {
        let mut stream = connect(self.node)?;
        let (mut served, mut foreign) = (0, Vec::new());
        for burst in 0..BURSTS {
            sleep_until(self.first_burst + BETWEEN_BURSTS * burst);
            let number = (self.number << 32) + u64::from(burst);
            let (id, key) = (format!("{number:016x}"), number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let request = ClientRequest { id, kind: "quick", key, deadline: DEADLINE, value: None };
            let Ok(sent_at) = request.write(&mut stream, None, &self.sent_ids) else {
                stream = connect(self.node)?;
                continue;
            };
            match request.wait(&stream, sent_at, &self.record) {
                Ending::Answered { status, body, closes } => {
                    if status == "200" && request.is_answered_by(&body) {
                        served += 1;
                    } else if status == "200" {
                        let got = String::from_utf8_lossy(&body).into_owned();
                        foreign.push(ForeignAnswer { asked: request.id.clone(), got });
                    }
                    if closes {
                        stream = connect(self.node)?;
                    }
                }
                Ending::Closed(_) | Ending::Silent => stream = connect(self.node)?,
            }
        }
        Ok((served, foreign))
    }
}
