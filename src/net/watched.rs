//! A stream that tells of what passes through it.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Who is told.
pub trait Watch {
    /// Bytes were read.
    fn read(&self) {}
    /// Bytes were written.
    fn wrote(&self) {}
    /// All that was written has been handed on.
    fn flushed(&self) {}
}

/// See the module's page.
pub struct Watched<S, W> {
    pub stream: S,
    pub watch: W,
}

impl<S, W: Watch> Watched<S, W> {
    fn note_write(&self, wrote: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(wrote, Poll::Ready(Ok(n)) if n > 0) {
            self.watch.wrote();
        }
        wrote
    }
}

impl<S: AsyncRead + Unpin, W: Watch + Unpin> AsyncRead for Watched<S, W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let held = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > held {
            self.watch.read();
        }
        read
    }
}

impl<S: AsyncWrite + Unpin, W: Watch + Unpin> AsyncWrite for Watched<S, W> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_write(wrote)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.watch.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_write(wrote)
    }
}
