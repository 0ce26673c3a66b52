//! Clients that rest for about a minute between two requests and write slowly.

use super::{Case, Deployment, Verdict, start_servers};
use crate::cache_server::{SentIds, Work};
use crate::client::{ClientRequest, connect};
use crate::discovery::Discovery;
use crate::http::Ending;
use crate::record::Record;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u32 = 64;
const SOCKETS: u32 = 256;
const DEADLINE: Duration = Duration::from_millis(1_000);
/// How long after its first request each client begins its second one, as a job that runs every minute does. The
/// first of them is through with it before the minute is over.
const SECOND_REQUEST_AFTER_MS: [u64; 5] = [59_400, 59_650, 59_700, 59_750, 59_800];
/// How long a slowly written request is on its way: its first half, this pause, and the rest.
const PAUSE: Duration = Duration::from_millis(400);

pub fn play(case: &Case) -> io::Result<Verdict> {
    let (sent_ids, record) = (SentIds::default(), &case.record);
    let discovery = Discovery::new(Duration::ZERO, record);
    start_servers(3, Work::taking(Duration::from_millis(5)), &discovery, &sent_ids, record)?;
    let address = discovery.open_address()?;
    let deployment = Deployment {
        membership_mode: "automatic",
        weights: "nominal",
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
    };
    let node = case.start_node(&discovery, address.address, deployment)?;
    let pause = case.trouble.then_some(PAUSE);
    let clients: Vec<_> = (0..)
        .zip(SECOND_REQUEST_AFTER_MS)
        .map(|(number, after_ms)| {
            let client = PeriodicClient {
                number,
                node: node.address,
                period: Duration::from_millis(after_ms),
                sent_ids: sent_ids.clone(),
                record: record.clone(),
            };
            thread::spawn(move || client.run(pause))
        })
        .collect();
    let mut findings = Vec::new();
    for client in clients {
        findings.extend(client.join().map_err(|_| io::Error::other("a client panicked"))??);
    }
    Ok(Verdict::from_findings(&findings, format!("{} clients", SECOND_REQUEST_AFTER_MS.len())))
}

/// A client that sends two requests on one connection.
struct PeriodicClient {
    number: u64,
    node: SocketAddr,
    period: Duration,
    sent_ids: SentIds,
    record: Record,
}

impl PeriodicClient {
    fn run(&self, pause: Option<Duration>) -> io::Result<Option<String>> {
        let mut stream = connect(self.node)?;
        let first = self.request(0);
        let sent_at = first.write(&mut stream, None, &self.sent_ids)?;
        if !matches!(first.wait(&stream, sent_at, &self.record), Ending::Answered { .. }) {
            return Err(io::Error::other("the first request was not answered"));
        }
        thread::sleep((sent_at + self.period).saturating_duration_since(Instant::now()));
        if is_closed(&stream)? {
            // A close between two requests is allowed.
            self.record.add(format!("client {}: the node has closed the connection", self.number));
            stream = connect(self.node)?;
        }
        let second = self.request(1);
        self.record.add(format!("client {}: begins {}", self.number, second.id));
        let Ok(sent_at) = second.write(&mut stream, pause, &self.sent_ids) else {
            return Ok(Some(format!("{} could not be written to its end", second.id)));
        };
        Ok(match second.wait(&stream, sent_at, &self.record) {
            Ending::Answered { .. } => None,
            ending => Some(format!("{} ended without an answer ({ending})", second.id)),
        })
    }

    fn request(&self, count: u64) -> ClientRequest {
        let id = format!("{:016x}", 0x7000 + 2 * self.number + count);
        ClientRequest { id, kind: "read", key: self.number, deadline: DEADLINE, value: None }
    }
}

/// Whether the node has closed a connection on which no answer is due.
fn is_closed(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let closed = !matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false)?;
    Ok(closed)
}
