//! A client's socket, and a check of whether the client is still connected.

use super::unread_probe::UnreadProbe;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use rustix::io::ioctl_fionread;
use socket2::SockRef;
use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::io::{self, Write as _};
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest, copy, sink};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long input is read and discarded after the half-close. The client only needs time to see the close.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of bytes that are discarded during a lingering close.
const MAX_LINGERING_CLOSE_BYTES: u64 = 1 << 20;
/// How often the end of the input is polled for while unread bytes precede it.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A client's socket with two users in the same task: the HTTP library, which reads and writes it, and the
/// code that closes the connection.
#[derive(Clone)]
pub struct ClientSocket(Rc<RefCell<TokioIo<TcpStream>>>);

impl ClientSocket {
    /// Wraps a stream so that both users can share it.
    pub fn new(stream: TcpStream) -> Self {
        ClientSocket(Rc::new(RefCell::new(TokioIo::new(stream))))
    }

    /// Calls a function with the underlying stream.
    pub(super) fn with_stream<T>(&self, call: impl FnOnce(&TcpStream) -> T) -> T {
        call(self.0.borrow().inner())
    }

    /// Returns a handle that reports whether the client is still connected. The handle can outlive the
    /// socket.
    pub fn liveness(&self) -> ClientLiveness {
        ClientLiveness(Rc::downgrade(&self.0))
    }

    /// Waits until the client has closed its sending side while `is_watched` returns `true`. Unread bytes
    /// before that close do not hide it.
    pub async fn disconnected(&self, is_watched: impl Fn() -> bool) {
        loop {
            let readable = poll_fn(|context| {
                if is_watched() { self.0.borrow().inner().poll_read_ready(context) } else { Poll::Pending }
            });
            readable.await.ok();
            if is_watched() && self.is_read_closed() {
                return;
            }
            // Bytes are unread, so the socket stays readable and the reactor does not report what arrives
            // after them.
            sleep(DISCONNECT_POLL_INTERVAL).await;
        }
    }

    /// Returns whether the kernel has reported the end of the input. It reports the end together with
    /// readability.
    fn is_read_closed(&self) -> bool {
        let stream = self.0.borrow();
        let mut ready = pin!(stream.inner().ready(Interest::READABLE));
        match ready.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(ready) => ready.map_or(true, |ready| ready.is_read_closed()),
            Poll::Pending => false,
        }
    }

    /// Writes a short final message directly to the socket, past the HTTP library and the reactor. Only the
    /// part that the kernel accepts at once is sent.
    pub fn write_final_message(&self, message: &[u8]) {
        let stream = self.0.borrow();
        // An error means that the client has disconnected.
        let _ = (&*SockRef::from(stream.inner())).write(message);
    }

    /// Closes the connection gracefully once the HTTP library has released it: half-closes it so that written
    /// data is sent, then reads and discards input for a limited time. If a socket were closed with unread
    /// bytes, the kernel would discard the data that the client has not received yet.
    pub async fn lingering_close(self) {
        let Some(stream) = Rc::into_inner(self.0) else { return };
        let mut stream = stream.into_inner().into_inner();
        let discard_input = async {
            // The shutdown fails if the connection is already closed.
            let _ = stream.shutdown().await;
            copy(&mut stream.take(MAX_LINGERING_CLOSE_BYTES), &mut sink()).await
        };
        // Ends when the client closes the connection too, or at the timeout.
        let _ = timeout(LINGERING_CLOSE_TIMEOUT, discard_input).await;
    }
}

/// Reports whether a client is still connected. It does not keep the socket open.
#[derive(Clone)]
pub struct ClientLiveness(Weak<RefCell<TokioIo<TcpStream>>>);

impl ClientLiveness {
    /// Returns whether the client is connected at this moment. This asks the kernel, because the task of a
    /// disconnecting client may still wait to be scheduled, or may still have to read the bytes before the
    /// end. A peek does not show an end behind unread bytes; for those, the reactor's last report is used.
    pub fn is_connected(&self) -> bool {
        let Some(socket) = self.0.upgrade().map(ClientSocket) else { return false };
        let peeked = SockRef::from(socket.0.borrow().inner()).peek(&mut [MaybeUninit::uninit()]);
        match peeked {
            Ok(0) => false,
            Ok(_) => !socket.is_read_closed(),
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }

    /// Returns how many bytes have arrived that are not read. Returns `None` if that is unknown, or if the
    /// client or the socket is closed.
    pub fn unread_bytes(&self) -> Option<u64> {
        let socket = self.0.upgrade()?;
        let unread_bytes = ioctl_fionread(socket.borrow().inner()).ok()?;
        let is_contradicted = unread_bytes == 0 && socket.borrow().has_unread();
        if is_contradicted { None } else { Some(unread_bytes) }
    }
}

impl UnreadProbe for ClientSocket {
    fn has_unread(&self) -> bool {
        self.0.borrow().has_unread()
    }
}

impl Read for ClientSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(context, buffer)
    }
}

impl Write for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(context)
    }
}
