//! Peers of a node that do nothing by themselves: a test says what each does next, and so in which order two events
//! meet.

use super::*;
use std::net::Shutdown;

/// What a node connects to: a cache server, or discovery.
pub struct Scripted {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl Scripted {
    pub fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Self { address: listener.local_addr().unwrap(), listener }
    }

    /// One that takes a single connection which nobody has accepted: further ones come up once that is.
    pub fn bind_full() -> (Self, TcpStream) {
        let Reserved { address, socket } = Reserved::bind();
        socket.listen(0).unwrap();
        let scripted = Self { address, listener: socket.into() };
        let filler = TcpStream::connect(scripted.address).unwrap();
        (scripted, filler)
    }

    pub fn entry(&self, name: &str, health: &str) -> Value {
        host(name, self.address, health)
    }

    /// The next connection that the node has opened.
    pub fn accept(&self) -> Scene {
        self.accept_within(PATIENCE).expect("a connection of the node's")
    }

    /// Whether a connection comes within this time.
    pub fn accept_within(&self, time: Duration) -> Option<Scene> {
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
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            stream.set_nodelay(true).unwrap();
            Scene(BufReader::new(stream))
        })
    }
}

/// An address that is kept and where nobody listens yet: whoever connects is refused.
pub struct Reserved {
    pub address: SocketAddr,
    socket: socket2::Socket,
}

impl Reserved {
    pub fn bind() -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        Self { address: socket.local_addr().unwrap().as_socket().unwrap(), socket }
    }

    /// From here on connections come up.
    pub fn listen(self) -> TcpListener {
        self.socket.listen(128).unwrap();
        self.socket.into()
    }
}

/// One connection of the node's.
pub struct Scene(BufReader<TcpStream>);

impl Scene {
    /// What the node sends next; `None` where it closes.
    pub fn hear(&mut self) -> Option<Message> {
        Message::read(&mut self.0).unwrap_or(None)
    }

    /// The id of the next request on it.
    pub fn hear_id(&mut self) -> Option<String> {
        self.hear().and_then(|message| message.header("req-id").map(str::to_owned))
    }

    /// The same, with a usual answer to it.
    pub fn hear_id_then_serve(mut self) -> Option<String> {
        let id = self.hear_id()?;
        self.serve("value");
        Some(id)
    }

    pub fn say(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn serve(&mut self, body: &str) {
        self.say(&answer("200 OK", "", body));
    }

    /// Ends its sending.
    pub fn end(&self) {
        self.0.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// Closes so that the node sees a reset.
    pub fn reset(self) {
        reset(self.0.into_inner());
    }
}

/// Closes a connection with a reset.
pub fn reset(stream: TcpStream) {
    let socket = socket2::Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}
