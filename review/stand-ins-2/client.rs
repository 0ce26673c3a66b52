//! A client's requests.

use crate::cache_server::{SentIds, answer_start};
use crate::http::{Ending, read_answer};
use crate::record::Record;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Up to this long after its time an answer only earns nothing; later, or never, the request is lost.
pub const LATE_ANSWER: Duration = Duration::from_millis(500);
/// On sockets each time limit grows by this.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// A request to be sent.
#[derive(Clone)]
pub struct ClientRequest {
    pub id: String,
    pub kind: &'static str,
    pub key: u64,
    pub deadline: Duration,
    /// The value that it writes; a request without one reads.
    pub value: Option<Vec<u8>>,
}

impl ClientRequest {
    pub fn target(&self) -> String {
        format!("/api/{:016x}", self.key)
    }

    /// The request as it stands on the wire.
    fn bytes(&self) -> Vec<u8> {
        let Self { id, kind, deadline, .. } = self;
        let (target, deadline_ms) = (self.target(), deadline.as_millis());
        let headers = format!(
            "Host: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Deadline-Ms: {deadline_ms}\r\n"
        );
        match &self.value {
            None => format!("GET {target} HTTP/1.1\r\n{headers}\r\n").into_bytes(),
            Some(value) => {
                let length = value.len();
                let head = format!(
                    "PUT {target} HTTP/1.1\r\n{headers}Idempotency-Key: {id}\r\nContent-Length: {length}\r\n\r\n"
                );
                [head.as_bytes(), value].concat()
            }
        }
    }

    /// Writes the request, with a pause after its first half if one is given. Returns when its last byte was
    /// written.
    pub fn write(
        &self,
        stream: &mut TcpStream,
        pause: Option<Duration>,
        sent_ids: &SentIds,
    ) -> io::Result<Instant> {
        sent_ids.add(&self.id);
        let bytes = self.bytes();
        let half = if pause.is_some() { bytes.len() / 2 } else { 0 };
        stream.write_all(&bytes[..half])?;
        if let Some(pause) = pause {
            std::thread::sleep(pause);
        }
        stream.write_all(&bytes[half..])?;
        Ok(Instant::now())
    }

    /// Waits for the answer until the request counts as lost, and records how it ended.
    pub fn wait(&self, stream: &TcpStream, sent_at: Instant, record: &Record) -> Ending {
        let ending = read_answer(stream, sent_at + self.deadline + LATE_ANSWER + SOCKET_SLACK);
        let after_ms = sent_at.elapsed().as_millis();
        record.add(format!("client: {} after {after_ms} ms: {ending}", self.id));
        ending
    }

    /// Whether this is the body that a cache server gave for this request.
    pub fn is_answered_by(&self, body: &[u8]) -> bool {
        body.starts_with(answer_start(&self.target(), &self.id).as_bytes())
    }
}

/// Connects to a node.
pub fn connect(node: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(node)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
