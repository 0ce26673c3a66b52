//! Clients that stop in the middle of a request and stay; beside them, sound clients on new connections.

use super::{Case, Deployment, Verdict, start_servers};
use crate::cache_server::{SentIds, Work};
use crate::client::{ClientRequest, connect};
use crate::discovery::Discovery;
use crate::http::Ending;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// What the platform gives the node, within its pages: 32 to 192 MB and 256 to 1,024 descriptors.
const MEMORY_MB: u32 = 64;
const SOCKETS: u32 = 256;
/// Under half of the node's descriptors.
const STOPPING_CLIENTS: usize = 120;
/// The sound clients are under a tenth of the third of the descriptors that clients use for requests.
const SOUND_CLIENTS: u64 = 6;
const ROUNDS: u64 = 3;
/// A bad client is owed an error or a close within 3 s, so each round starts afresh after this.
const ROUND_PAUSE: Duration = Duration::from_secs(4);
const DEADLINE: Duration = Duration::from_millis(1_000);
/// How long after the stopping clients the sound ones come.
const SOUND_CLIENTS_AFTER: Duration = Duration::from_millis(200);

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
    let mut findings = Vec::new();
    for round in 0..ROUNDS {
        let stopping = if case.trouble { STOPPING_CLIENTS } else { 0 };
        let stopped = (0..stopping).map(|_| stop_within_a_request(node.address));
        let stopped = stopped.collect::<io::Result<Vec<_>>>()?;
        record.add(format!("clients: {stopping} have stopped in the middle of a request"));
        thread::sleep(SOUND_CLIENTS_AFTER);
        let clients: Vec<_> = (0..SOUND_CLIENTS)
            .map(|number| {
                let (address, sent_ids, record) = (node.address, sent_ids.clone(), record.clone());
                let id = format!("{:016x}", 0x6000 + round * SOUND_CLIENTS + number);
                let request =
                    ClientRequest { id, kind: "read", key: number, deadline: DEADLINE, value: None };
                thread::spawn(move || -> io::Result<Option<String>> {
                    let mut stream = connect(address)?;
                    let sent_at = request.write(&mut stream, None, &sent_ids)?;
                    Ok(finding(&request, &request.wait(&stream, sent_at, &record)))
                })
            })
            .collect();
        for client in clients {
            let finding = client.join().map_err(|_| io::Error::other("a client panicked"))??;
            findings.extend(finding);
        }
        thread::sleep(ROUND_PAUSE);
        drop(stopped);
    }
    Ok(Verdict::from_findings(&findings, format!("{} requests", ROUNDS * SOUND_CLIENTS)))
}

/// Opens a connection and sends the first half of a request.
fn stop_within_a_request(node: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = connect(node)?;
    stream.write_all(b"GET /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.int")?;
    Ok(stream)
}

/// A request is lost if it gets no final answer. A close without an answer excuses the first request of a
/// connection.
fn finding(request: &ClientRequest, ending: &Ending) -> Option<String> {
    match ending {
        Ending::Answered { status, body, .. } if status == "200" && !request.is_answered_by(body) => {
            Some(format!("{} got a body that is not its own", request.id))
        }
        Ending::Answered { .. } | Ending::Closed(_) => None,
        Ending::Silent => Some(format!("{} got no final answer within its time and 0.55 s", request.id)),
    }
}
