//! The stream of a connection to a backend, without copies of responses.

use super::{RepeatFilter, RepeatHistory};
use crate::transport::UnreadProbe;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// The maximum number of bytes per read.
const READ_BYTES: usize = 4096;

/// A stream from which copies of responses are removed.
pub(in crate::upstream) struct FilteredStream {
    stream: TokioIo<TcpStream>,
    filter: Rc<RefCell<RepeatFilter>>,
    history: Rc<RepeatHistory>,
    /// Fires when the hold of bytes ends.
    release_timer: Option<Pin<Box<Sleep>>>,
}

impl FilteredStream {
    /// Filters the stream of a connection to the backend with this history.
    pub(in crate::upstream) fn new(
        stream: TcpStream,
        filter: Rc<RefCell<RepeatFilter>>,
        history: Rc<RepeatHistory>,
    ) -> Self {
        FilteredStream { stream: TokioIo::new(stream), filter, history, release_timer: None }
    }

    fn begin_request(&self) {
        self.filter.borrow_mut().begin_request(&self.history, Instant::now());
    }

    fn receive(&self, bytes: &[u8]) -> io::Result<()> {
        let received = self.filter.borrow_mut().receive(bytes, &self.history, Instant::now());
        received.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }

    /// Forwards held bytes once their hold ends. Pending until then, and as long as the hold has no end.
    fn poll_release(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let now = Instant::now();
        let Some(held_until) = self.filter.borrow().held_until(&self.history, now) else {
            self.release_timer = None;
            return Poll::Pending;
        };
        let timer = self.release_timer.get_or_insert_with(|| Box::pin(sleep_until(held_until)));
        if timer.deadline() != held_until {
            timer.as_mut().reset(held_until);
        }
        ready!(timer.as_mut().poll(context));
        self.release_timer = None;
        self.filter.borrow_mut().release_held(&self.history, Instant::now());
        Poll::Ready(())
    }
}

impl UnreadProbe for FilteredStream {
    fn has_unread(&self) -> bool {
        self.stream.has_unread()
    }
}

impl Read for FilteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let is_bypassed = self.filter.borrow().is_bypassed();
        if is_bypassed {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        loop {
            if self.filter.borrow_mut().fill_buffer(&mut buffer) {
                return Poll::Ready(Ok(()));
            }
            let mut storage = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut storage);
            if Pin::new(&mut self.stream).poll_read(context, read.unfilled())?.is_pending() {
                ready!(self.poll_release(context));
                continue;
            }
            if read.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.receive(read.filled())?;
        }
    }
}

impl Write for FilteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_request();
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_request();
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
