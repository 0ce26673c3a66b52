//! Reads HTTP messages from a blocking socket.

use std::collections::HashMap;
use std::fmt;
use std::io::{self, BufRead, BufReader, ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A message: its start line, its headers by lower-case name, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub began_at: Option<Instant>,
}

impl Message {
    /// Reads a message with a `Content-Length` or without a body. `None` at the end of the connection.
    pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut message = Self::default();
        if reader.fill_buf()?.is_empty() {
            return Ok(None);
        }
        message.began_at = Some(Instant::now());
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            match line.trim_end() {
                "" => break,
                line if message.start_line.is_empty() => message.start_line = line.to_owned(),
                line => {
                    let (name, value) = line.split_once(':').unwrap_or((line, ""));
                    message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
                }
            }
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The second word of the start line: the target of a request, or the status of an answer.
    pub fn second_word(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
}

/// How a client's wait for an answer ended.
#[derive(Clone, Debug)]
pub enum Ending {
    Answered {
        status: String,
        body: Vec<u8>,
        closes: bool,
    },
    /// The connection was closed or reset without a whole answer.
    Closed(String),
    /// Nothing came in time.
    Silent,
}

impl fmt::Display for Ending {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered { status, body, .. } => write!(f, "{status} and {} bytes", body.len()),
            Self::Closed(how) => write!(f, "no answer, {how}"),
            Self::Silent => write!(f, "no answer in time"),
        }
    }
}

/// Waits until `until` for an answer.
pub fn read_answer(stream: &TcpStream, until: Instant) -> Ending {
    const SHORTEST_WAIT: Duration = Duration::from_millis(1);
    let wait = until.saturating_duration_since(Instant::now()).max(SHORTEST_WAIT);
    let reader = stream.set_read_timeout(Some(wait)).and_then(|()| stream.try_clone());
    let answer = reader.and_then(|reader| Message::read(&mut BufReader::new(reader)));
    match answer {
        Ok(Some(answer)) => Ending::Answered {
            status: answer.second_word().to_owned(),
            closes: answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
            body: answer.body,
        },
        Ok(None) => Ending::Closed("closed".to_owned()),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ending::Silent,
        Err(error) => Ending::Closed(error.to_string()),
    }
}
