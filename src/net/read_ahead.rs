//! A client's stream. It reads ahead while a request is answered, so that a client which leaves is noticed whatever it
//! sent on its way out, and it lingers where a close would take the answer with it.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// What is kept of bytes that come behind a request which is being answered. Clients send one request at a time: of
/// what goes past it nothing is served, and the connection closes behind the answer.
const AHEAD: usize = 8 << 10;
const CHUNK: usize = 4 << 10;
/// Chunks that are read before others have their turn: a flood must not hold them up.
const AT_ONCE: usize = 4;
/// A close over unread bytes resets the connection, and the peer may lose an answer that it has not read yet. So long
/// the node waits for the peer to close first, and reads no more than this of what still comes.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_MOST: usize = 256 << 10;

/// What hyper holds of a client's stream.
pub struct ReadAhead<S>(Rc<Held<S>>);

/// What the connection holds of it beside hyper.
pub struct Held<S> {
    stream: RefCell<S>,
    ahead: RefCell<Vec<u8>>,
    /// The client has ended its sending: it closed, or means to.
    ended: Cell<bool>,
    /// More came than is kept.
    overrun: Cell<bool>,
    lingers: Cell<bool>,
    shut: RefCell<Option<Linger>>,
}

/// The sending side is shut, and the peer has this long, and this much, left.
struct Linger {
    over: Pin<Box<Sleep>>,
    left: usize,
}

impl<S: AsyncRead + AsyncWrite + Unpin> ReadAhead<S> {
    pub fn new(stream: S) -> (Self, Rc<Held<S>>) {
        let held = Rc::new(Held {
            stream: RefCell::new(stream),
            ahead: RefCell::default(),
            ended: Cell::default(),
            overrun: Cell::default(),
            lingers: Cell::default(),
            shut: RefCell::default(),
        });
        (Self(held.clone()), held)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Held<S> {
    /// The client is told that the connection closes behind the answer: what it sends on is read and dropped.
    pub fn linger(&self) {
        self.lingers.set(true);
    }

    /// More came behind the request than is kept: nothing that follows can be read as a request.
    pub fn overrun(&self) -> bool {
        self.overrun.get()
    }

    /// Reads ahead; ready once the client has ended its sending or its connection broke.
    pub fn poll_left(&self, cx: &mut Context<'_>) -> Poll<()> {
        for _ in 0..AT_ONCE {
            if self.ended.get() {
                return Poll::Ready(());
            }
            let mut chunk = [0; CHUNK];
            let mut buf = ReadBuf::new(&mut chunk);
            let read = ready!(self.poll_stream(cx, &mut buf));
            let mut ahead = self.ahead.borrow_mut();
            if read.is_err() || buf.filled().is_empty() {
                self.ended.set(true);
            } else if ahead.len() + buf.filled().len() > AHEAD || self.overrun.get() {
                self.overrun.set(true);
                *ahead = Vec::new();
            } else {
                ahead.extend_from_slice(buf.filled());
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn poll_stream(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf)
    }

    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut ahead = self.ahead.borrow_mut();
        if !ahead.is_empty() {
            let length = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..length]);
            ahead.drain(..length);
        } else if !self.ended.get() && !self.overrun.get() {
            ready!(self.poll_stream(cx, buf))?;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut shut = self.shut.borrow_mut();
        if shut.is_none() {
            ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx))?;
        }
        if !self.lingers.get() {
            return Poll::Ready(Ok(()));
        }
        let linger = shut.get_or_insert_with(|| Linger { over: Box::pin(sleep(LINGER)), left: LINGER_MOST });
        for _ in 0..AT_ONCE {
            if self.ended.get() || linger.left == 0 || linger.over.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Ok(()));
            }
            let mut chunk = [0; CHUNK];
            let mut buf = ReadBuf::new(&mut chunk);
            let read = ready!(self.poll_stream(cx, &mut buf));
            let came = buf.filled().len();
            self.ended.set(read.is_err() || came == 0);
            linger.left = linger.left.saturating_sub(came);
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for ReadAhead<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.0.poll_read(cx, buf)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ReadAhead<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, bufs)
    }
}
