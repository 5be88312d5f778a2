//! A client's socket, and whether the client is still connected.

use super::unread_probe::UnreadProbe;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
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

/// How long what still comes on a connection is read after its half-close: the other side need only see the close.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// No more than this is read of it.
const LINGERING_CLOSE_BYTES: u64 = 1 << 20;
/// How often the system is asked for the end of what comes, where bytes lie before it.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A client's socket in two hands of one task: the HTTP library's, which reads and writes it, and that of whoever
/// closes its connection.
#[derive(Clone)]
pub struct ClientSocket(Rc<RefCell<TokioIo<TcpStream>>>);

impl ClientSocket {
    /// A socket that both may share.
    pub fn new(stream: TcpStream) -> Self {
        ClientSocket(Rc::new(RefCell::new(TokioIo::new(stream))))
    }

    /// Calls a function with the stream itself.
    pub(super) fn with_stream<T>(&self, call: impl FnOnce(&TcpStream) -> T) -> T {
        call(self.0.borrow().inner())
    }

    /// Tells whether the client is still connected, also after this hand has let go of the socket.
    pub fn liveness(&self) -> ClientLiveness {
        ClientLiveness(Rc::downgrade(&self.0))
    }

    /// Comes back once the client has ended its sending while `is_watched` holds, also where bytes lie before that
    /// end which nobody reads.
    pub async fn disconnected(&self, is_watched: impl Fn() -> bool) {
        loop {
            let readable = poll_fn(|context| {
                if is_watched() { self.0.borrow().inner().poll_read_ready(context) } else { Poll::Pending }
            });
            readable.await.ok();
            if is_watched() && self.is_read_closed() {
                return;
            }
            // Bytes that nobody reads yet: of what comes behind them no reactor tells.
            sleep(DISCONNECT_POLL_INTERVAL).await;
        }
    }

    /// Whether the system has told that nothing more comes. It does so at the same time as that there is something
    /// to read.
    fn is_read_closed(&self) -> bool {
        let stream = self.0.borrow();
        let mut ready = pin!(stream.inner().ready(Interest::READABLE));
        match ready.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(ready) => ready.map_or(true, |ready| ready.is_read_closed()),
            Poll::Pending => false,
        }
    }

    /// Writes a short last message past the HTTP library and past the reactor, as far as the system takes it at once.
    pub fn send_last(&self, message: &[u8]) {
        let stream = self.0.borrow();
        // Who can't be told any more has disconnected.
        let _ = (&*SockRef::from(stream.inner())).write(message);
    }

    /// Closes the connection in good order, once the HTTP library has let go of it: what was written goes out, and
    /// what still comes is read for a moment. Closed over unread bytes, the system would throw away what the client
    /// has not taken yet.
    pub async fn lingering_close(self) {
        let Some(stream) = Rc::into_inner(self.0) else { return };
        let mut stream = stream.into_inner().into_inner();
        let rest = async {
            // One that fails was closed already.
            let _ = stream.shutdown().await;
            copy(&mut stream.take(LINGERING_CLOSE_BYTES), &mut sink()).await
        };
        // The client has closed too, or has had its time.
        let _ = timeout(LINGERING_CLOSE_TIMEOUT, rest).await;
    }
}

/// Tells whether a client is still connected. Holds nothing open.
#[derive(Clone)]
pub struct ClientLiveness(Weak<RefCell<TokioIo<TcpStream>>>);

impl ClientLiveness {
    /// Whether it is so now. The task of a client that disconnects may wait long for its turn, or for bytes before
    /// the end to be read, so the system is asked. Where such bytes lie it does not show the end, but the reactor
    /// was told of that when it last looked.
    pub fn is_connected(&self) -> bool {
        let Some(socket) = self.0.upgrade().map(ClientSocket) else { return false };
        let peeked = SockRef::from(socket.0.borrow().inner()).peek(&mut [MaybeUninit::uninit()]);
        match peeked {
            Ok(0) => false,
            Ok(_) => !socket.is_read_closed(),
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
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
