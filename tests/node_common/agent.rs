//! A stand-in for the discovery agent on the node's own machine, to which server lists are pushed. A list counts as
//! delivered to the node once the agent has it, whether or not a watch is open. A test chooses how calls fail during an
//! outage, and when the outage ends.

use super::script::ReservedAddress;
use super::*;
use std::net::Shutdown;

/// How often a waiting call checks whether the node has closed its connection.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How the agent treats calls during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Connections are accepted, and nothing is read from them.
    Silent,
    /// Connections are refused.
    Refused,
    /// Each call is answered with 503.
    Unavailable,
    /// Each call's connection is reset.
    Reset,
    /// Each call gets part of a response, and its connection stays open.
    PartialResponse,
}

impl Outage {
    /// Whether the node sees the failure of a call immediately.
    pub fn fails_immediately(self) -> bool {
        matches!(self, Self::Refused | Self::Unavailable | Self::Reset)
    }
}

struct State {
    seq: u64,
    hosts: Vec<Value>,
    /// The list that it receives at the end of the outage.
    hosts_after_outage: Option<Vec<Value>>,
    outage: Option<Outage>,
    /// Calls that were received and neither answered nor ended.
    calls_in_flight: usize,
    /// When part of a response was last sent.
    last_partial_response: Option<Instant>,
    /// All calls received, with any outcome.
    calls: usize,
    answered: usize,
}

/// A discovery agent; see the module's documentation.
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    /// Holds the port while the agent does not listen.
    reserved: Mutex<Option<ReservedAddress>>,
}

impl Agent {
    /// Starts an agent that has this list as version 1 and may be in an outage.
    pub fn start(hosts: &[Value], outage: Option<Outage>) -> Self {
        let reserved = ReservedAddress::bind();
        let (seq, hosts) = (1, hosts.to_vec());
        let state = State {
            seq,
            hosts,
            hosts_after_outage: None,
            outage,
            last_partial_response: None,
            calls_in_flight: 0,
            calls: 0,
            answered: 0,
        };
        let agent = Self {
            address: reserved.address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            reserved: Mutex::new(Some(reserved)),
        };
        if outage != Some(Outage::Refused) {
            agent.listen();
        }
        agent
    }

    fn listen(&self) {
        let Some(reserved) = self.reserved.lock().unwrap().take() else { return };
        let (listener, state) = (reserved.listen(), self.state.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = state.clone();
                thread::spawn(move || while serve_call(&stream, &state).is_some() {});
            }
        });
    }

    /// Begins an outage.
    pub fn start_outage(&self, outage: Outage) {
        assert_ne!(outage, Outage::Refused, "an agent that listens cannot refuse connections");
        self.update(|state| state.outage = Some(outage));
    }

    /// Ends the outage: calls that have not been read are read from now on.
    pub fn end_outage(&self) {
        self.update(|state| {
            state.outage = None;
            if let Some(hosts) = state.hosts_after_outage.take() {
                state.seq += 1;
                state.hosts = hosts;
            }
        });
        self.listen();
    }

    /// Pushes a list to the agent and returns the time from which it counts as delivered to the node.
    pub fn publish(&self, hosts: &[Value]) -> Instant {
        let mut published = Instant::now();
        self.update(|state| {
            state.seq += 1;
            state.hosts = hosts.to_vec();
            published = Instant::now();
        });
        published
    }

    /// Pushes a list with the end of the outage, at the next call of [`Self::end_outage`].
    pub fn publish_after_outage(&self, hosts: &[Value]) {
        self.update(|state| state.hosts_after_outage = Some(hosts.to_vec()));
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.0.lock().unwrap());
        self.state.1.notify_all();
    }

    pub fn calls(&self) -> usize {
        self.state.0.lock().unwrap().calls
    }

    pub fn answered(&self) -> usize {
        self.state.0.lock().unwrap().answered
    }

    /// When a response last stopped part-way.
    pub fn last_partial_response(&self) -> Option<Instant> {
        self.state.0.lock().unwrap().last_partial_response
    }

    /// Whether a call is in flight that a change would be sent on.
    pub fn has_call_in_flight(&self) -> bool {
        self.state.0.lock().unwrap().calls_in_flight > 0
    }
}

/// Serves one call; `None` if the connection has ended.
fn serve_call(stream: &TcpStream, state: &(Mutex<State>, Condvar)) -> Option<()> {
    let call = Message::read(&mut BufReader::new(stream.try_clone().ok()?)).ok()??;
    {
        let mut state = state.0.lock().unwrap();
        state.calls += 1;
        state.calls_in_flight += 1;
    }
    let served = answer_call(stream, &call, state);
    state.0.lock().unwrap().calls_in_flight -= 1;
    served
}

fn answer_call(mut stream: &TcpStream, call: &Message, state: &(Mutex<State>, Condvar)) -> Option<()> {
    let outage = state.0.lock().unwrap().outage;
    match outage {
        // A refused connection never gets here.
        None | Some(Outage::Refused) => {}
        Some(Outage::Silent) => wait_while_open(stream, state, None, |state| state.outage.is_none())?,
        Some(Outage::Unavailable) => {
            return stream.write_all(http_response("503 Service Unavailable", "", "").as_bytes()).ok();
        }
        Some(Outage::Reset) => {
            script::reset(stream.try_clone().ok()?);
            stream.shutdown(Shutdown::Both).ok()?;
            return None;
        }
        Some(Outage::PartialResponse) => {
            state.0.lock().unwrap().last_partial_response = Some(Instant::now());
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"seq\":2,").ok()?;
            return wait_while_open(stream, state, None, |_| false);
        }
    }
    let after = query_number(call, "after");
    if let Some(after) = after {
        let within = Duration::from_millis(query_number(call, "wait_ms").unwrap_or(0));
        wait_while_open(stream, state, Some(within), |state| state.seq > after)?;
    }
    let list = {
        let mut state = state.0.lock().unwrap();
        state.answered += 1;
        let hosts = if after == Some(state.seq) { Vec::new() } else { state.hosts.clone() };
        json!({"seq": state.seq, "whole": after.is_none(), "hosts": hosts}).to_string()
    };
    stream.write_all(http_response("200 OK", "", &list).as_bytes()).ok()
}

/// A numeric parameter of a call's query string.
fn query_number(call: &Message, name: &str) -> Option<u64> {
    let (_, rest) = call.start_line.split_once(&format!("{name}="))?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

/// Waits until `done` holds or the time has passed; `None` if the node closes the connection first.
fn wait_while_open(
    stream: &TcpStream,
    state: &(Mutex<State>, Condvar),
    within: Option<Duration>,
    done: impl Fn(&State) -> bool,
) -> Option<()> {
    let start = Instant::now();
    let mut guard = state.0.lock().unwrap();
    while !done(&guard) && within.is_none_or(|within| start.elapsed() < within) {
        guard = state.1.wait_timeout(guard, POLL_INTERVAL).unwrap().0;
        if is_closed(stream) {
            return None;
        }
    }
    Some(())
}

/// The node sends nothing after its call, so a peek that reads zero bytes means that it has closed.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    match peeked {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
