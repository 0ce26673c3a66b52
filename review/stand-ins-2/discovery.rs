//! A stand-in for discovery: one list of cache servers, told at one or several addresses.

use crate::cache_server::CacheServer;
use crate::http::Message;
use crate::record::Record;
use std::io::{self, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// The longest wait that a call may ask for.
const MAX_WAIT_MS: u64 = 60_000;
/// How often an address looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// An address that a new configuration has replaced closes its open connections after this time.
const OLD_ADDRESS_STAYS_OPEN: Duration = Duration::from_millis(1_500);

/// An entry of the list, and the version that changed it last.
struct Entry {
    server: CacheServer,
    health: &'static str,
    born_ms: u64,
    share: f64,
    version: u64,
}

impl Entry {
    fn json(&self) -> String {
        let Self { server, health, born_ms, share, .. } = self;
        let (name, dial) = (&server.name, server.address);
        format!(
            r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m2","block":1,"health":"{health}","share":{share:.4},"born_ms":{born_ms}}}"#
        )
    }
}

#[derive(Default)]
struct List {
    version: u64,
    entries: Vec<Entry>,
}

impl List {
    /// The list as discovery tells it, or what has changed after a version.
    fn json(&self, after: Option<u64>) -> String {
        let told = self.entries.iter().filter(|entry| after.is_none_or(|after| entry.version > after));
        let hosts: Vec<_> = told.map(Entry::json).collect();
        let (version, whole) = (self.version, after.is_none());
        format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
    }
}

struct Shared {
    list: Mutex<List>,
    changed: Condvar,
    /// How much later than usual each answer comes.
    delay: Duration,
    record: Record,
}

impl Shared {
    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().expect("no thread panics while it holds the list")
    }
}

/// Discovery: the same list at all of its addresses.
#[derive(Clone)]
pub struct Discovery {
    shared: Arc<Shared>,
}

/// One address of discovery.
pub struct Address {
    pub address: SocketAddr,
    replaced: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Discovery {
    /// A discovery of which each answer comes later by `delay`.
    pub fn new(delay: Duration, record: &Record) -> Self {
        let (list, changed) = Default::default();
        Self { shared: Arc::new(Shared { list, changed, delay, record: record.clone() }) }
    }

    /// Lists a server as ready.
    pub fn add(&self, server: &CacheServer, born_ms: u64) {
        let mut list = self.shared.list();
        list.version += 1;
        let version = list.version;
        list.entries.push(Entry { server: server.clone(), health: "ready", born_ms, share: 1.0, version });
        self.shared.changed.notify_all();
    }

    /// Lists a server with this health from now on.
    pub fn set_health(&self, server: &CacheServer, health: &'static str) {
        let mut list = self.shared.list();
        list.version += 1;
        let version = list.version;
        for entry in list.entries.iter_mut().filter(|entry| entry.server.name == server.name) {
            (entry.health, entry.version) = (health, version);
        }
        self.shared.record.add(format!("discovery: version {version}, {} is {health}", server.name));
        self.shared.changed.notify_all();
    }

    /// Tells the share of each server anew.
    pub fn update_shares(&self, share: impl Fn(&CacheServer) -> f64) {
        let mut list = self.shared.list();
        list.version += 1;
        let version = list.version;
        for entry in &mut list.entries {
            (entry.share, entry.version) = (share(&entry.server), version);
        }
        self.shared.changed.notify_all();
    }

    /// The whole list, in the form of the configuration's `known`.
    pub fn whole_list(&self) -> String {
        self.shared.list().json(None)
    }

    /// Opens a further address.
    pub fn open_address(&self) -> io::Result<Address> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (replaced, connections): (Arc<AtomicBool>, Arc<Mutex<Vec<TcpStream>>>) = Default::default();
        let opened = Address { address, replaced: replaced.clone(), connections: connections.clone() };
        let shared = self.shared.clone();
        thread::spawn(move || {
            while !replaced.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => shared.clone().take(stream, &connections),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => thread::sleep(ACCEPT_INTERVAL),
                    Err(_) => return,
                }
            }
        });
        Ok(opened)
    }
}

impl Address {
    /// A new configuration names another address: this one takes no new connections, and closes its open ones
    /// 1.5 s later.
    pub fn replace(&self) {
        self.replaced.store(true, Ordering::SeqCst);
        let connections = self.connections.clone();
        thread::spawn(move || {
            thread::sleep(OLD_ADDRESS_STAYS_OPEN);
            for stream in connections.lock().expect("no thread panics while it holds these").drain(..) {
                // A connection that the node has closed already stays closed.
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }
}

impl Shared {
    fn take(self: Arc<Self>, stream: TcpStream, connections: &Mutex<Vec<TcpStream>>) {
        let kept = stream.set_nonblocking(false).and_then(|()| stream.try_clone());
        if let Ok(kept) = kept {
            connections.lock().expect("no thread panics while it holds these").push(kept);
            // An error ends this connection only.
            thread::spawn(move || drop(self.serve(stream)));
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = Message::read(&mut reader)? {
            let called_at = Instant::now();
            let list = self.answer(request.second_word());
            thread::sleep(self.delay);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            let written = stream.write_all((head + &list).as_bytes());
            let (target, took) = (request.second_word(), called_at.elapsed().as_millis());
            let outcome = if written.is_ok() { "answered" } else { "not answered: the node has left" };
            self.record.add(format!("discovery: {target} {outcome} after {took} ms"));
            written?;
        }
        Ok(())
    }

    /// Answers a call; a watch waits for a change first.
    fn answer(&self, target: &str) -> String {
        let Some(after) = parameter(target, "after") else { return self.list().json(None) };
        let wait = Duration::from_millis(parameter(target, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
        let unchanged = |list: &mut List| list.version <= after;
        let waited = self.changed.wait_timeout_while(self.list(), wait, unchanged);
        let (list, _) = waited.expect("no thread panics while it holds the list");
        list.json(Some(after))
    }
}

/// A number in the query of a target.
fn parameter(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
