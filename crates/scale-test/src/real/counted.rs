//! A TCP stream that counts the bytes that are read and written.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The traffic of a set of connections.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes_read: AtomicU64,
    bytes_written: AtomicU64,
    answered_calls: AtomicU64,
}

/// A snapshot of the counters in [`Traffic`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Volume {
    /// Bytes in both directions, without TCP and IP headers.
    pub bytes: u64,
    /// Requests and their responses, each counted as one message.
    pub messages: u64,
}

impl Traffic {
    /// Counts a request that has been answered.
    pub fn record_answer(&self) {
        self.answered_calls.fetch_add(1, Relaxed);
    }

    /// Returns the traffic so far.
    pub fn volume(&self) -> Volume {
        Volume {
            bytes: self.bytes_read.load(Relaxed) + self.bytes_written.load(Relaxed),
            messages: 2 * self.answered_calls.load(Relaxed),
        }
    }
}

/// A TCP stream that adds its traffic to a shared [`Traffic`].
pub struct CountedStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl CountedStream {
    /// Wraps a stream; bytes are counted into `traffic` from now on.
    pub fn new(stream: TcpStream, traffic: Arc<Traffic>) -> Self {
        CountedStream { stream, traffic }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        self.traffic.bytes_read.fetch_add((buffer.filled().len() - before) as u64, Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.traffic.bytes_written.fetch_add(written as u64, Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, parts))?;
        self.traffic.bytes_written.fetch_add(written as u64, Relaxed);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
