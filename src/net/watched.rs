//! A stream that notifies an observer of reads, writes and flushes.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The observer of a stream.
pub trait IoObserver {
    /// Bytes were read.
    fn on_read(&self) {}
    /// All that has arrived has been read.
    fn on_read_pending(&self) {}
    /// Bytes were written.
    fn on_write(&self) {}
    /// All written bytes have been passed on.
    fn on_flush(&self) {}
}

/// See the module documentation.
pub struct ObservedStream<S, W> {
    pub stream: S,
    pub observer: W,
}

impl<S, W: IoObserver> ObservedStream<S, W> {
    fn report_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(result, Poll::Ready(Ok(n)) if n > 0) {
            self.observer.on_write();
        }
        result
    }
}

impl<S: AsyncRead + Unpin, W: IoObserver + Unpin> AsyncRead for ObservedStream<S, W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > filled_before {
            self.observer.on_read();
        }
        if read.is_pending() {
            self.observer.on_read_pending();
        }
        read
    }
}

impl<S: AsyncWrite + Unpin, W: IoObserver + Unpin> AsyncWrite for ObservedStream<S, W> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.report_write(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.observer.on_flush();
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
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.report_write(result)
    }
}
