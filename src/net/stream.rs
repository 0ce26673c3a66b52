//! A TCP stream that accepts short reads and writes.
//!
//! tokio's own stream takes a read that fills only a part of its buffer as proof that the socket is drained,
//! and waits for a readiness event before it reads again. But a read may be short while more bytes are
//! available; no event follows then, and the request in those bytes is never answered. This stream reads on
//! until the system reports that nothing is available. It repeats interrupted calls rather than treating them
//! as a broken connection.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes of one read, whatever the size of the buffer: no memory is used for bytes that
/// have not arrived. It is under the 8 KiB from which hyper enlarges the read buffer of a connection.
const MAX_READ_BYTES: usize = 4 << 10;

/// See the module documentation.
#[derive(Debug)]
pub struct Stream(TcpStream);

impl From<TcpStream> for Stream {
    /// Sends small writes at once: a close that follows could discard what the system holds back.
    fn from(stream: TcpStream) -> Self {
        // A socket that refuses this option still carries bytes; if the connection is closed, the next call
        // reports it.
        let _ = stream.set_nodelay(true);
        Self(stream)
    }
}

impl Stream {
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(error) if should_retry(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

/// Whether the call is to be repeated once the socket is ready again.
fn should_retry(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            let length = buf.remaining().min(MAX_READ_BYTES);
            match self.0.try_read(buf.initialize_unfilled_to(length)) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if should_retry(&error) => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }
}
