//! A stream that records reads and writes: whether a request was written completely, whether the peer has
//! stopped accepting bytes, and when the peer began to send.

use super::arrival::ArrivalProbe;
use super::progress::StreamProgress;
use super::unread_probe::UnreadProbe;
use super::{MAX_HEAD_BYTES, MAX_READ_BYTES, WRITE_STALL_TIMEOUT};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::time::{Instant, Sleep, sleep};

/// The maximum number of bytes per read while a head is copied.
const HEAD_READ_BYTES: usize = 4096;

/// A stream that records reads and writes.
pub struct ObservedStream<S> {
    stream: S,
    progress: Rc<StreamProgress>,
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// Set as long as there may be unread bytes that arrived before the connection was served.
    arrival_probe: Option<ArrivalProbe>,
    /// The maximum number of bytes per read.
    read_bytes: usize,
}

impl<S> ObservedStream<S> {
    /// Wraps a stream of which at most `read_bytes` bytes are read at once.
    pub fn new(stream: S, read_bytes: usize) -> Self {
        let progress = Rc::default();
        ObservedStream { stream, progress, stall_timer: None, arrival_probe: None, read_bytes }
    }

    /// Wraps the stream of a client's new connection, on which bytes may have waited to be read. Those bytes
    /// count from their arrival.
    pub fn for_client(stream: S, read_bytes: usize, arrival_probe: Option<ArrivalProbe>) -> Self {
        ObservedStream { arrival_probe, ..ObservedStream::new(stream, read_bytes) }
    }

    /// Returns the recorded progress.
    pub fn progress(&self) -> Rc<StreamProgress> {
        self.progress.clone()
    }

    /// Records the result of a write. Fails the write if it makes no progress for [`WRITE_STALL_TIMEOUT`].
    fn observe_write(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let write = &self.progress.write;
        write.has_unsent.set(true);
        if result.is_pending() {
            let timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(WRITE_STALL_TIMEOUT)));
            return timer.as_mut().poll(context).map(|()| Err(io::ErrorKind::TimedOut.into()));
        }
        self.stall_timer = None;
        if matches!(result, Poll::Ready(Ok(1..))) {
            write.is_request_started.set(true);
            if let Some(waker) = write.first_byte_waker.take() {
                waker.wake();
            }
        }
        result
    }

    /// Returns when the bytes that a read of `read_bytes` bytes would return arrived, or `None` if they have
    /// not waited. After the first `None`, all bytes count from the time of their read.
    fn arrival_time(&mut self, read_bytes: usize) -> Option<Instant> {
        let arrival_time = self.arrival_probe.as_ref()?.arrival_time(read_bytes);
        if arrival_time.is_none() {
            self.arrival_probe = None;
        }
        arrival_time
    }

    fn observe_read(&self, arrival_time: Option<Instant>, byte_count: usize) {
        let read = &self.progress.read;
        let now = Instant::now();
        let arrived_at = arrival_time.unwrap_or(now);
        read.last_byte_at.set(Some(arrived_at));
        read.byte_count.set(read.byte_count.get() + byte_count as u64);
        if read.is_drained.replace(false) || read.waited_at.get().is_none() {
            read.waited_at.set(Some(arrived_at));
        }
        if read.first_byte_at.get().is_none() {
            read.first_byte_at.set(Some(now));
        }
    }
}

impl<S: UnreadProbe> ObservedStream<S> {
    /// Checks, before the first byte of a request, that the connection has no unread bytes and that the
    /// request is still wanted. A late second copy of the previous response would be taken for the response
    /// to this request.
    fn check_before_request(&self) -> io::Result<()> {
        let write = &self.progress.write;
        if !write.is_request_due.replace(false) {
            return Ok(());
        }
        let is_allowed = write.guard.take().is_none_or(|guard| guard());
        if !is_allowed || self.stream.has_unread() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }
}

impl<S: Read + Unpin> ObservedStream<S> {
    /// Reads at most `most_bytes` bytes and passes them to `observe`.
    fn read_at_most(
        &mut self,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
        most_bytes: usize,
        observe: impl FnOnce(&[u8]),
    ) -> Poll<io::Result<()>> {
        let mut storage = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let length = buffer.remaining().min(most_bytes).min(self.read_bytes).min(storage.len());
        let mut read = ReadBuf::uninit(&mut storage[..length]);
        ready!(Pin::new(&mut self.stream).poll_read(context, read.unfilled()))?;
        observe(read.filled());
        buffer.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }

    /// Reads part of a head and keeps a copy of it.
    fn poll_read_head(
        &mut self,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
        mut head: Vec<u8>,
    ) -> Poll<io::Result<()>> {
        let arrival_time = self.arrival_time(buffer.remaining().min(HEAD_READ_BYTES).min(self.read_bytes));
        let mut length = 0;
        let read = self.read_at_most(context, buffer, HEAD_READ_BYTES, |bytes| {
            length = bytes.len();
            head.extend_from_slice(bytes);
        });
        let has_memory = self.progress.read.reserve_head(head.len());
        self.progress.read.head.replace(Some(head));
        if read.is_ready() {
            self.observe_read(arrival_time, length);
        }
        if has_memory { read } else { Poll::Ready(Err(io::ErrorKind::OutOfMemory.into())) }
    }

    /// Reads no further than the end of the body, so that the head after it is read separately.
    fn poll_read_body(
        &mut self,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
        remaining: u64,
    ) -> Poll<io::Result<()>> {
        let most_bytes = usize::try_from(remaining).unwrap_or(usize::MAX);
        let arrival_time = self.arrival_time(buffer.remaining().min(most_bytes).min(self.read_bytes));
        let mut length = 0;
        let read = self.read_at_most(context, buffer, most_bytes, |bytes| length = bytes.len());
        if read.is_ready() {
            self.observe_read(arrival_time, length);
            self.progress.read.count_body(length);
        }
        read
    }

    /// Reads the next bytes of a body, of a head, or of a message that is not inspected.
    fn poll_read_message(
        &mut self,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let body_remaining = self.progress.read.body_remaining.get().unwrap_or_default();
        if body_remaining > 0 {
            return self.poll_read_body(context, buffer, body_remaining);
        }
        let head = self.progress.read.head.take().filter(|head| head.len() < MAX_HEAD_BYTES);
        match head {
            Some(head) => self.poll_read_head(context, buffer, head),
            None => self.poll_read_uninspected(context, buffer),
        }
    }

    /// Reads bytes that are not inspected.
    fn poll_read_uninspected(
        &mut self,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let arrival_time = self.arrival_time(buffer.remaining().min(self.read_bytes));
        let mut length = 0;
        let read = self.read_at_most(context, buffer, usize::MAX, |bytes| length = bytes.len());
        if read.is_ready() {
            self.observe_read(arrival_time, length);
        }
        read
    }
}

impl<S: Read + Unpin> Read for ObservedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = self.poll_read_message(context, buffer);
        self.progress.read.is_pending.set(read.is_pending());
        if read.is_pending() {
            self.progress.read.is_drained.set(true);
            self.progress.read.has_waited.set(true);
        }
        read
    }
}

impl<S: Write + UnreadProbe + Unpin> Write for ObservedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_before_request()?;
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.observe_write(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_before_request()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.observe_write(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let write = &self.progress.write;
        if write.is_request_started.get() && write.is_body_taken.get() {
            write.is_flushed.set(true);
        }
        write.has_unsent.set(false);
        if let Some(waker) = write.sent_waker.take() {
            waker.wake();
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
