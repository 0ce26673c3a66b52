//! A client's requests.

use crate::cache_server::{answer_body, SentIds};
use crate::http::{read_answer, Ending};
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
}

impl ClientRequest {
    pub fn target(&self) -> String {
        format!("/api/{:016x}", self.key)
    }

    /// The request as it stands on the wire.
    pub fn text(&self) -> String {
        let Self { id, kind, deadline, .. } = self;
        let (target, deadline_ms) = (self.target(), deadline.as_millis());
        format!(
            "GET {target} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Deadline-Ms: {deadline_ms}\r\n\r\n"
        )
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
        let text = self.text();
        let half = if pause.is_some() { text.len() / 2 } else { 0 };
        stream.write_all(&text.as_bytes()[..half])?;
        if let Some(pause) = pause {
            std::thread::sleep(pause);
        }
        stream.write_all(&text.as_bytes()[half..])?;
        Ok(Instant::now())
    }

    /// Waits for the answer until the request counts as lost, and records how it ended.
    pub fn wait(&self, stream: &TcpStream, sent_at: Instant, record: &Record) -> Ending {
        let ending = read_answer(stream, sent_at + self.deadline + LATE_ANSWER + SOCKET_SLACK);
        let after_ms = sent_at.elapsed().as_millis();
        record.add(format!("client: {} after {after_ms} ms: {ending:?}", self.id));
        ending
    }

    /// Whether this is the body that a cache server gave for this request.
    pub fn is_served_by(&self, body: &str) -> bool {
        body == answer_body(&self.target(), &self.id)
    }
}

/// Connects to a node.
pub fn connect(node: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(node)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
