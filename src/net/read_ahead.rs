//! A client's stream. It reads ahead while a request is being answered, so that a disconnect is noticed even
//! behind further bytes, and its close lingers where an immediate close could discard the answer.

use crate::net::memory::{NoMemory, Reservation};
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, Sleep};
use walkpick::policy::memory::{MemoryUse, CLIENT_CONNECTION_BYTES, HEAD_BYTES, KEPT_HEAD_BYTES};

/// Maximum number of bytes kept that arrive after a request which is being answered. Clients send one request
/// at a time; if more than this arrives, none of it is served and the connection is closed after the answer.
const MAX_AHEAD_BYTES: usize = 8 << 10;
const CHUNK_BYTES: usize = 4 << 10;
/// Maximum number of chunks read in one poll, so that a flood does not starve other tasks.
const MAX_CHUNKS_PER_POLL: usize = 4;
/// Maximum number of bytes read to find out whether a client is still connected. It is more than the system
/// buffers for a connection.
const MAX_UNREAD_BYTES: usize = 16 << 20;
/// Closing a socket with unread bytes resets the connection, and the peer may lose an answer that it has not
/// read yet. The node therefore waits this long for the peer to close first, and reads no more than this from
/// it meanwhile.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_LINGER_BYTES: usize = 256 << 10;
/// A forwarded head of up to this size is a part of what each connection needs.
const SMALL_HEAD_BYTES: usize = 1 << 10;
/// How often the text of a forwarded head is in memory: with the request, and on the connection to a cache
/// server.
const FORWARDED_COPIES: usize = 2;

/// The stream as hyper uses it.
pub struct ReadAhead<S>(Rc<SharedStream<S>>);

/// The same stream as the connection's own task uses it.
pub struct SharedStream<S> {
    stream: RefCell<S>,
    ahead: RefCell<Vec<u8>>,
    /// The client has shut down its sending side.
    eof: Cell<bool>,
    /// More bytes arrived than are kept.
    overrun: Cell<bool>,
    linger_on_close: Cell<bool>,
    lingering: RefCell<Option<Linger>>,
    /// The memory of the connection, and that of the request on it without its body.
    connection_memory: RefCell<Reservation>,
    request_memory: RefCell<Reservation>,
    head: Cell<Head>,
    buffer: Cell<ReadBuffer>,
    /// The head of the present request found no memory: nothing more is read.
    head_refused: Notify,
    /// The client does not read: a part of an answer is not written yet.
    write_pending: Cell<bool>,
}

/// The head of a request, and the part of the memory that it needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Head {
    /// Nothing of it has arrived.
    #[default]
    Expected,
    /// Its first bytes have arrived.
    Begun,
    /// It arrives in more than one piece, for which memory is reserved.
    InPieces,
    /// There is no memory for it.
    Refused,
    /// It is complete, and this many bytes of it are kept until its request is answered.
    Received(usize),
}

/// The read buffer that belongs to the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ReadBuffer {
    #[default]
    Small,
    /// It has grown for a head in pieces, and the memory is counted with the request.
    Grown,
    /// The memory is counted with the connection, for which it stays.
    Kept,
}

/// How far reading ahead has come.
enum Progress {
    Disconnected,
    /// All that has arrived has been read.
    Drained,
    MoreUnread,
}

/// State of a lingering close: the sending side is shut down, and the peer has this time and this many bytes
/// left.
struct Linger {
    timer: Pin<Box<Sleep>>,
    remaining_bytes: usize,
}

impl<S: AsyncRead + AsyncWrite + Unpin> ReadAhead<S> {
    /// A stream that draws on this reservation.
    pub fn new(stream: S, memory: Reservation) -> (Self, Rc<SharedStream<S>>) {
        let request_memory = memory.another(MemoryUse::Request);
        let shared = Rc::new(SharedStream {
            stream: RefCell::new(stream),
            ahead: RefCell::default(),
            eof: Cell::default(),
            overrun: Cell::default(),
            linger_on_close: Cell::default(),
            lingering: RefCell::default(),
            connection_memory: RefCell::new(memory),
            request_memory: RefCell::new(request_memory),
            head: Cell::default(),
            buffer: Cell::default(),
            head_refused: Notify::new(),
            write_pending: Cell::default(),
        });
        (Self(shared.clone()), shared)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> SharedStream<S> {
    /// Marks the connection as closing after this answer; what the client sends from then on is read and
    /// discarded.
    pub fn linger_on_close(&self) {
        self.linger_on_close.set(true);
    }

    /// Notes that a request is answered, and returns whether there is memory for the connection to stay open.
    pub fn expect_head(&self) -> bool {
        self.head.set(Head::Expected);
        if self.buffer.get() == ReadBuffer::Grown {
            let wanted = CLIENT_CONNECTION_BYTES + KEPT_HEAD_BYTES;
            if self.connection_memory.borrow_mut().try_resize(wanted).is_err() {
                return false;
            }
            self.buffer.set(ReadBuffer::Kept);
        }
        self.reserve(self.ahead.borrow().len()).is_ok()
    }

    /// Notes that the head of a request is complete.
    pub fn head_received(&self) {
        self.head.set(Head::Received(0));
        // Releases what only an incomplete head needs.
        let _ = self.reserve(self.ahead.borrow().len());
    }

    /// Reserves memory for the text of a head that is forwarded, until its request is answered.
    pub fn reserve_forwarded_head(&self, text_bytes: usize) -> Result<(), NoMemory> {
        if text_bytes > SMALL_HEAD_BYTES {
            self.head.set(Head::Received(FORWARDED_COPIES * text_bytes));
            self.reserve(self.ahead.borrow().len())?;
        }
        Ok(())
    }

    /// Completes when there is no memory for a head that arrives in pieces.
    pub async fn head_refused(&self) {
        self.head_refused.notified().await;
    }

    /// Writes these bytes as an answer, unless the client has not read the one before, and closes the
    /// connection.
    pub async fn close_with(&self, answer: &[u8]) -> io::Result<()> {
        if self.write_pending.get() {
            return Ok(());
        }
        self.linger_on_close();
        timeout(LINGER_TIMEOUT, self.write_all(answer)).await??;
        poll_fn(|cx| self.poll_shutdown(cx)).await
    }

    async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match poll_fn(|cx| self.poll_write(cx, bytes)).await? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                written => bytes = &bytes[written..],
            }
        }
        Ok(())
    }

    /// Reserves memory for the request as far as it has come, with this many bytes read ahead.
    fn reserve(&self, ahead_bytes: usize) -> Result<(), NoMemory> {
        let grown = match self.buffer.get() {
            ReadBuffer::Grown => KEPT_HEAD_BYTES,
            ReadBuffer::Small | ReadBuffer::Kept => 0,
        };
        let head = match self.head.get() {
            Head::InPieces => HEAD_BYTES,
            Head::Received(text_bytes) => grown + text_bytes,
            Head::Expected | Head::Begun | Head::Refused => grown,
        };
        self.request_memory.borrow_mut().try_resize(head + ahead_bytes)
    }

    /// Notes that more of a head is to be read, and returns whether it may be.
    fn begin_piece(&self) -> bool {
        if self.head.get() == Head::Begun {
            self.head.set(Head::InPieces);
            if self.buffer.get() == ReadBuffer::Small {
                self.buffer.set(ReadBuffer::Grown);
            }
            if self.reserve(self.ahead.borrow().len()).is_err() {
                self.head.set(Head::Refused);
                self.head_refused.notify_one();
            }
        }
        self.head.get() != Head::Refused
    }

    /// Whether more bytes arrived than are kept, so that none of them can be read as a request.
    pub fn overrun(&self) -> bool {
        self.overrun.get()
    }

    /// Reads ahead; ready once the client has shut down its sending side or the connection is broken.
    pub fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        match self.read_ahead(cx) {
            Progress::Disconnected => Poll::Ready(()),
            Progress::Drained => Poll::Pending,
            Progress::MoreUnread => {
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    /// Reads all that has arrived, and returns whether the client is still connected, as far as that tells. A
    /// disconnect is only noticed behind the last byte. A client that sends faster than the node reads counts as
    /// disconnected after a while: it is not waiting for an answer.
    pub async fn is_connected(&self) -> bool {
        for _ in 0..MAX_UNREAD_BYTES / (MAX_CHUNKS_PER_POLL * CHUNK_BYTES) {
            match poll_fn(|cx| Poll::Ready(self.read_ahead(cx))).await {
                Progress::Disconnected => return false,
                Progress::Drained => return true,
                Progress::MoreUnread => yield_now().await,
            }
        }
        false
    }

    /// Reads a limited number of chunks.
    fn read_ahead(&self, cx: &mut Context<'_>) -> Progress {
        for _ in 0..MAX_CHUNKS_PER_POLL {
            if self.eof.get() {
                return Progress::Disconnected;
            }
            let mut chunk = [0; CHUNK_BYTES];
            let mut buf = ReadBuf::new(&mut chunk);
            let Poll::Ready(read) = self.poll_stream(cx, &mut buf) else { return Progress::Drained };
            let mut ahead = self.ahead.borrow_mut();
            if read.is_err() || buf.filled().is_empty() {
                self.eof.set(true);
                continue;
            }
            let length = ahead.len() + buf.filled().len();
            if length > MAX_AHEAD_BYTES || self.overrun.get() || self.reserve(length).is_err() {
                self.overrun.set(true);
                *ahead = Vec::new();
                continue;
            }
            ahead.reserve_exact(buf.filled().len());
            ahead.extend_from_slice(buf.filled());
        }
        match self.eof.get() {
            true => Progress::Disconnected,
            false => Progress::MoreUnread,
        }
    }

    fn poll_stream(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf)
    }

    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.begin_piece() {
            return Poll::Pending;
        }
        let filled_before = buf.filled().len();
        let read = self.poll_next(cx, buf);
        if buf.filled().len() > filled_before && self.head.get() == Head::Expected {
            self.head.set(Head::Begun);
        }
        read
    }

    /// Passes on what has been read ahead, or reads from the stream.
    fn poll_next(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut ahead = self.ahead.borrow_mut();
        if !ahead.is_empty() {
            let length = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..length]);
            ahead.drain(..length);
        } else if !self.eof.get() && !self.overrun.get() {
            ready!(self.poll_stream(cx, buf))?;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, buf);
        self.write_pending.set(written.is_pending());
        written
    }

    fn poll_shutdown(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut lingering = self.lingering.borrow_mut();
        if lingering.is_none() {
            ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx))?;
        }
        if !self.linger_on_close.get() {
            return Poll::Ready(Ok(()));
        }
        let linger = lingering.get_or_insert_with(|| Linger {
            timer: Box::pin(sleep(LINGER_TIMEOUT)),
            remaining_bytes: MAX_LINGER_BYTES,
        });
        for _ in 0..MAX_CHUNKS_PER_POLL {
            if self.eof.get() || linger.remaining_bytes == 0 || linger.timer.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Ok(()));
            }
            let mut chunk = [0; CHUNK_BYTES];
            let mut buf = ReadBuf::new(&mut chunk);
            let read = ready!(self.poll_stream(cx, &mut buf));
            let received = buf.filled().len();
            self.eof.set(read.is_err() || received == 0);
            linger.remaining_bytes = linger.remaining_bytes.saturating_sub(received);
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
        self.0.poll_write(cx, buf)
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
        let written = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.0.write_pending.set(written.is_pending());
        written
    }
}
