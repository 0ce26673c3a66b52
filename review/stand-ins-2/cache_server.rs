//! A stand-in for a cache server: it answers each request that a client sent, and records what it gets.

use crate::http::Message;
use crate::record::Record;
use std::collections::HashSet;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The ids of the requests that clients have sent.
#[derive(Clone, Default)]
pub struct SentIds(Arc<Mutex<HashSet<String>>>);

impl SentIds {
    pub fn add(&self, id: &str) {
        self.0.lock().expect("no thread panics while it holds the ids").insert(id.to_owned());
    }

    fn contains(&self, id: &str) -> bool {
        self.0.lock().expect("no thread panics while it holds the ids").contains(id)
    }
}

/// A request that reached a cache server.
#[derive(Clone, Copy, Debug)]
pub struct Receipt {
    /// When its first byte was read.
    pub began_at: Instant,
}

/// What a cache server does for a request.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub time: Duration,
    /// Length of the answer's body, which is at least as long as the text that names the request.
    pub answer_length: usize,
}

impl Work {
    /// A request that takes this time and has a short answer.
    pub fn taking(time: Duration) -> Self {
        Self { time, answer_length: 0 }
    }
}

/// What the threads of a cache server share.
struct Shared {
    name: String,
    work: Work,
    sent_ids: SentIds,
    /// How many requests it holds.
    held: AtomicUsize,
    receipts: Mutex<Vec<Receipt>>,
    record: Record,
}

/// A cache server on a loopback address.
#[derive(Clone)]
pub struct CacheServer {
    pub name: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl CacheServer {
    /// Starts a cache server.
    pub fn start(name: &str, work: Work, sent_ids: &SentIds, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            work,
            sent_ids: sent_ids.clone(),
            held: AtomicUsize::new(0),
            receipts: Mutex::default(),
            record: record.clone(),
        });
        let server = Self { name: name.to_owned(), address: listener.local_addr()?, shared: shared.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = shared.clone();
                // An error ends this connection only.
                thread::spawn(move || drop(shared.serve(stream)));
            }
        });
        Ok(server)
    }

    /// How many requests it holds.
    pub fn held(&self) -> usize {
        self.shared.held.load(Ordering::SeqCst)
    }

    pub fn receipts(&self) -> Vec<Receipt> {
        self.shared.receipts.lock().expect("no thread panics while it holds the receipts").clone()
    }
}

impl Shared {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = Message::read(&mut reader)? {
            let answer = self.answer(&request);
            stream.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> String {
        let id = request.header("req-id").unwrap_or("").to_owned();
        let deadline_ms = request.header("req-deadline-ms").unwrap_or("none");
        let (name, target) = (&self.name, request.second_word());
        self.record.add(format!("server {name}: got {id} for {target}, deadline {deadline_ms} ms"));
        let began_at = request.began_at.unwrap_or_else(Instant::now);
        let receipt = Receipt { began_at };
        self.receipts.lock().expect("no thread panics while it holds the receipts").push(receipt);
        if id.is_empty() {
            return response("404 Not Found", "no id");
        }
        if !self.sent_ids.contains(&id) {
            self.record.add(format!("server {name}: no client sent {id}"));
            return response("400 Bad Request", "unknown id");
        }
        self.held.fetch_add(1, Ordering::SeqCst);
        thread::sleep(self.work.time);
        self.held.fetch_sub(1, Ordering::SeqCst);
        let text = answer_start(target, &id);
        response("200 OK", &format!("{text:-<length$}", length = self.work.answer_length))
    }
}

/// How the body of the answer to a request begins: no other request has the same.
pub fn answer_start(target: &str, id: &str) -> String {
    format!("the value at {target} for {id} ")
}

fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
