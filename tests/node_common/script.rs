//! Scripted peers of a node: a test decides each of their steps and so controls the order of concurrent events.

use super::*;
use std::net::Shutdown;

/// A cache server or discovery that acts only as the test directs.
pub struct ScriptedPeer {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl ScriptedPeer {
    pub fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Self { address: listener.local_addr().unwrap(), listener }
    }

    /// A listener whose backlog is full: further connections are established only once the first has been accepted.
    pub fn bind_with_full_backlog() -> (Self, TcpStream) {
        let ReservedAddress { address, socket } = ReservedAddress::bind();
        socket.listen(0).unwrap();
        let scripted = Self { address, listener: socket.into() };
        let filler = TcpStream::connect(scripted.address).unwrap();
        (scripted, filler)
    }

    pub fn entry(&self, name: &str, health: &str) -> Value {
        host_entry(name, self.address, health)
    }

    /// Accepts the next connection from the node.
    pub fn accept(&self) -> ScriptedConnection {
        self.accept_within(WAIT_TIMEOUT).expect("a connection from the node")
    }

    /// Accepts a connection that arrives within this time.
    pub fn accept_within(&self, time: Duration) -> Option<ScriptedConnection> {
        let start = Instant::now();
        self.listener.set_nonblocking(true).unwrap();
        let accepted = loop {
            match self.listener.accept() {
                Ok((stream, _)) => break Some(stream),
                Err(_) if start.elapsed() >= time => break None,
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        };
        self.listener.set_nonblocking(false).unwrap();
        accepted.map(|stream| {
            stream.set_nonblocking(false).unwrap();
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
            stream.set_nodelay(true).unwrap();
            ScriptedConnection(BufReader::new(stream))
        })
    }
}

/// A bound address without a listener: connections to it are refused.
pub struct ReservedAddress {
    pub address: SocketAddr,
    socket: socket2::Socket,
}

impl ReservedAddress {
    pub fn bind() -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        Self { address: socket.local_addr().unwrap().as_socket().unwrap(), socket }
    }

    /// Starts listening, so that connections succeed.
    pub fn listen(self) -> TcpListener {
        self.socket.listen(128).unwrap();
        self.socket.into()
    }
}

/// A connection from the node, driven by the test.
pub struct ScriptedConnection(BufReader<TcpStream>);

impl ScriptedConnection {
    /// The next message from the node; `None` if it closes the connection.
    pub fn receive(&mut self) -> Option<Message> {
        Message::read(&mut self.0).unwrap_or(None)
    }

    /// The id of the next request on this connection.
    pub fn receive_id(&mut self) -> Option<String> {
        self.receive().and_then(|message| message.header("req-id").map(str::to_owned))
    }

    /// Receives a request and answers it with 200; returns its id.
    pub fn receive_id_and_respond(mut self) -> Option<String> {
        let id = self.receive_id()?;
        self.respond("value");
        Some(id)
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn respond(&mut self, body: &str) {
        self.send(&http_response("200 OK", "", body));
    }

    /// Closes the sending direction.
    pub fn shutdown_write(&self) {
        self.0.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// Closes with a TCP reset.
    pub fn reset(self) {
        reset(self.0.into_inner());
    }
}

/// Closes a connection with a TCP reset.
pub fn reset(stream: TcpStream) {
    let socket = socket2::Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}
