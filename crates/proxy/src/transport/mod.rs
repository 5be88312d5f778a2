//! A stream that watches itself: whether a request got out whole, whether the other side has stopped taking
//! bytes, and since when it speaks.

use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest, copy, sink};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, Sleep, sleep, timeout};

/// A silent machine resets nothing: a write that makes no headway for so long has failed.
pub const STALL: Duration = Duration::from_secs(10);
/// Longest body that is passed on, in either direction.
pub const MAX_BODY: u64 = 32 << 20;
/// Longest head, and most lines in it. The HTTP library's buffer for heads and bodies grows to this size.
pub const MAX_HEAD: usize = 16 * 1024;
pub const MAX_HEADERS: usize = 64;
/// How long what still comes on a connection is read after its orderly close: the other side need only see the close.
const PARTING: Duration = Duration::from_millis(500);
/// No more than this is read of it.
const UNWANTED: u64 = 1 << 20;
/// How often the system is asked for the end of what comes, where bytes lie before it.
const LOOK: Duration = Duration::from_millis(50);
/// What the system may hold of what was written. It says that there is room again only once a third of it is free: of
/// the megabytes that it takes by itself, a slow reader needs longer for that than any stall may last.
const UNSENT: usize = 128 * 1024;
/// How much is read at once while a head is copied.
const HEAD_READ: usize = 4096;

/// Tells whether what is about to be begun is still allowed and wanted.
pub type Permit = Rc<dyn Fn() -> bool>;
/// Lives for as long as a request is owed an answer, and then tells whether its caller is still there.
pub type Wanted = Weak<dyn Fn() -> bool>;

/// How far the messages on a connection have got.
#[derive(Default)]
pub struct Progress {
    fresh: Cell<bool>,
    body_taken: Cell<bool>,
    begun: Cell<bool>,
    flushed: Cell<bool>,
    unsent: Cell<bool>,
    speaks: Cell<Option<Instant>>,
    heard: Cell<Option<Instant>>,
    /// Whether the request may still go out, asked right before its first byte.
    permit: RefCell<Option<Permit>>,
    /// Whoever waits for the first byte of the request to be written.
    waits: RefCell<Option<Waker>>,
    /// A copy of the head that is being read, where one is kept.
    head: RefCell<Option<Vec<u8>>>,
}

impl Progress {
    /// From now on a head is expected, and a copy of it is kept.
    pub fn expect_head(&self) {
        self.head.replace(Some(Vec::new()));
    }
    /// The copy of a head; empty if it was read together with what came before it.
    pub fn head(&self) -> Vec<u8> {
        self.head.take().unwrap_or_default()
    }
    /// Whether something is written that the system has not taken yet.
    pub fn unsent(&self) -> bool {
        self.unsent.get()
    }
    /// When the other side was heard last.
    pub fn heard(&self) -> Option<Instant> {
        self.heard.get()
    }
    /// Since when the other side speaks, counted from the last `listen`.
    pub fn speaks(&self) -> Option<Instant> {
        self.speaks.get()
    }
    /// What comes from now on is something new.
    pub fn listen(&self) {
        self.speaks.set(None);
    }
    /// The next request goes out only if this holds by then.
    pub fn permit(&self, permit: Permit) {
        self.permit.replace(Some(permit));
    }
    /// A new request is about to be written.
    pub fn begin(&self) {
        self.fresh.set(true);
        self.body_taken.set(false);
        self.begun.set(false);
        self.flushed.set(false);
    }
    /// Whether a byte of the request was given to the system.
    pub fn begun(&self) -> bool {
        self.begun.get()
    }
    /// Whether the request's last byte was given to the system. The HTTP library flushes a stream only once
    /// all that it has buffered is written, and by then it has taken the body.
    pub fn whole(&self) -> bool {
        self.flushed.get()
    }
}

/// A body that is passed on as it comes. Whoever writes it waits until what went before was taken.
#[derive(Debug)]
pub struct Flow {
    frames: mpsc::Receiver<Option<Bytes>>,
    /// Bytes still to come, where that is known.
    left: Option<u64>,
}

/// Where the frames of a flow are put: data, and nothing at its sound end. One that is dropped before has broken off.
pub type Frames = mpsc::Sender<Option<Bytes>>;

impl Flow {
    /// A flow of so many bytes, if that is known.
    pub fn new(length: Option<u64>) -> (Frames, Flow) {
        let (put, frames) = mpsc::channel(1);
        (put, Flow { frames, left: length })
    }
}

impl Body for Flow {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let broken = || Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())));
        match ready!(self.frames.poll_recv(cx)) {
            Some(Some(data)) => {
                let length = data.len() as u64;
                match &mut self.left {
                    Some(left) if *left < length => return broken(),
                    Some(left) => *left -= length,
                    None => {}
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(None) if self.left.is_none_or(|left| left == 0) => {
                self.left = Some(0);
                Poll::Ready(None)
            }
            _ => broken(),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// A request's body that is passed on as it comes, so that only one attempt can have it.
pub struct Upload {
    flow: RefCell<Option<Flow>>,
    /// How long its caller waits after its last byte.
    pub patience: Duration,
    /// Whether it has been read to its end, and when, or what was wrong with it.
    ended: watch::Sender<Option<Result<Instant, StatusCode>>>,
}

impl Upload {
    /// An upload, and where its frames are put.
    pub fn new(length: Option<u64>, patience: Duration) -> (Frames, Self) {
        let (frames, flow) = Flow::new(length);
        let (flow, ended) = (RefCell::new(Some(flow)), watch::Sender::new(None));
        (frames, Upload { flow, patience, ended })
    }
    /// Whether an attempt has had some of it.
    pub fn spent(&self) -> bool {
        self.flow.borrow().is_none()
    }
    /// It has come to its end, or something is wrong with it.
    pub fn end(&self, how: Result<Instant, StatusCode>) {
        self.ended.send_replace(Some(how));
    }
    /// What was wrong with it.
    pub fn failure(&self) -> Option<StatusCode> {
        self.ended.borrow().and_then(Result::err)
    }
    /// When its last byte came, if it has.
    pub fn whole(&self) -> Option<Instant> {
        self.ended.borrow().and_then(Result::ok)
    }
    /// Waits for its last byte; nothing if it breaks off.
    pub async fn ended(&self) -> Option<Instant> {
        // The sender is this upload's own, so that the wait never fails.
        let _ = self.ended.subscribe().wait_for(Option::is_some).await;
        self.whole()
    }
}

/// What is sent as a request's body.
pub enum Payload {
    /// All of it.
    Whole(Bytes),
    /// It passes through.
    Passing(Rc<Upload>),
}

/// A request's body as it is written; tells when the HTTP library has taken it.
pub struct Outgoing {
    source: Source,
    progress: Rc<Progress>,
}

enum Source {
    Whole(Bytes),
    Passing(Option<Flow>, Rc<Upload>),
}

impl Outgoing {
    /// The body of the request that is about to be written; none if an attempt before this one has had it.
    pub fn new(payload: &Payload, progress: Rc<Progress>) -> Option<Self> {
        let source = match payload {
            Payload::Whole(data) => Source::Whole(data.clone()),
            Payload::Passing(upload) => Source::Passing(Some(upload.flow.take()?), upload.clone()),
        };
        progress.begin();
        let outgoing = Outgoing { source, progress };
        // The library does not ask for a body that is empty.
        outgoing.progress.body_taken.set(outgoing.is_end_stream());
        Some(outgoing)
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        // Of a request that was never begun nothing was taken: the next attempt may have its body.
        if let Source::Passing(flow, upload) = &mut self.source
            && !self.progress.begun()
        {
            upload.flow.replace(flow.take());
        }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        match &mut this.source {
            Source::Whole(data) => {
                this.progress.body_taken.set(true);
                let data = std::mem::take(data);
                Poll::Ready((!data.is_empty()).then(|| Ok(Frame::data(data))))
            }
            Source::Passing(flow, _) => {
                // A kept connection may turn out to be closed at its first byte. Until that is written the body
                // stays whole, for another one.
                if !this.progress.begun() {
                    this.progress.waits.replace(Some(cx.waker().clone()));
                    return Poll::Pending;
                }
                let Some(flow) = flow else { return Poll::Ready(None) };
                let frame = ready!(Pin::new(&mut *flow).poll_frame(cx));
                this.progress.body_taken.set(frame.is_none() || flow.is_end_stream());
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Whole(data) => data.is_empty(),
            Source::Passing(flow, _) => flow.as_ref().is_none_or(Flow::is_end_stream),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(data) => SizeHint::with_exact(data.len() as u64),
            Source::Passing(flow, _) => flow.as_ref().map_or_else(SizeHint::default, Flow::size_hint),
        }
    }
}

/// Prepares a connection, of either side, for small writes and for readers that are slow.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_send_buffer_size(UNSENT)
}

/// A stream that can be asked whether something lies there to be read, or it was closed.
pub trait Peek {
    /// Whether it is so now, by the system's word.
    fn unread(&self) -> bool;
}

impl Peek for TokioIo<TcpStream> {
    fn unread(&self) -> bool {
        // The reactor knows only what it was told when it last looked.
        let seen = SockRef::from(self.inner()).peek(&mut [MaybeUninit::uninit()]);
        !matches!(seen, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// A caller's socket in two hands of one task: the HTTP library's, which reads and writes it, and that of whoever ends
/// its connection.
#[derive(Clone)]
pub struct Socket(Rc<RefCell<TokioIo<TcpStream>>>);

impl Socket {
    pub fn new(stream: TcpStream) -> Self {
        Socket(Rc::new(RefCell::new(TokioIo::new(stream))))
    }

    /// What tells whether the other side is still there, also after this hand has let go of the socket.
    pub fn presence(&self) -> Presence {
        Presence(Rc::downgrade(&self.0))
    }

    /// Comes back once the other side has ended its sending while `waits` holds, also where bytes lie before that end
    /// which nobody reads.
    pub async fn left(&self, waits: impl Fn() -> bool) {
        loop {
            poll_fn(|cx| if waits() { self.0.borrow().inner().poll_read_ready(cx) } else { Poll::Pending })
                .await
                .ok();
            if waits() && self.closed() {
                return;
            }
            // Bytes that nobody reads yet: of what comes behind them no reactor tells.
            sleep(LOOK).await;
        }
    }

    /// Whether the system has told that nothing more comes. It does so in the same breath as that there is something
    /// to read.
    fn closed(&self) -> bool {
        let stream = self.0.borrow();
        let mut ready = pin!(stream.inner().ready(Interest::READABLE));
        match ready.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(ready) => ready.map_or(true, |ready| ready.is_read_closed()),
            Poll::Pending => false,
        }
    }

    /// Ends the connection in good order, once the HTTP library has let go of it: what was written goes out, and what
    /// still comes is read for a moment. Closed over unread bytes, the system would throw away what the other side has
    /// not taken yet.
    pub async fn part(self) {
        let Some(stream) = Rc::into_inner(self.0) else { return };
        let mut stream = stream.into_inner().into_inner();
        let rest = async {
            // One that fails was closed already.
            let _ = stream.shutdown().await;
            copy(&mut stream.take(UNWANTED), &mut sink()).await
        };
        // The other side has closed too, or has had its time.
        let _ = timeout(PARTING, rest).await;
    }
}

/// Tells whether a caller is still there. Holds nothing open.
#[derive(Clone)]
pub struct Presence(Weak<RefCell<TokioIo<TcpStream>>>);

impl Presence {
    /// Whether it is so now. The task of a caller that leaves may wait long for its turn, or for bytes before the end
    /// to be read, so the system is asked. Where such bytes lie it does not show the end, but the reactor was told of
    /// that when it last looked.
    pub fn holds(&self) -> bool {
        let Some(socket) = self.0.upgrade().map(Socket) else { return false };
        let seen = SockRef::from(socket.0.borrow().inner()).peek(&mut [MaybeUninit::uninit()]);
        match seen {
            Ok(0) => false,
            Ok(_) => !socket.closed(),
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        }
    }
}

impl Peek for Socket {
    fn unread(&self) -> bool {
        self.0.borrow().unread()
    }
}

impl Read for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: ReadBufCursor<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(cx, buf)
    }
}

impl Write for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(cx)
    }
}

/// A stream that sees what is written to it.
pub struct Watched<S> {
    stream: S,
    progress: Rc<Progress>,
    stalled: Option<Pin<Box<Sleep>>>,
}

impl<S> Watched<S> {
    /// Watches a stream.
    pub fn new(stream: S) -> Self {
        Watched { stream, progress: Rc::default(), stalled: None }
    }

    /// What is seen.
    pub fn progress(&self) -> Rc<Progress> {
        self.progress.clone()
    }

    fn wrote(&mut self, cx: &mut Context<'_>, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.progress.unsent.set(true);
        if result.is_pending() {
            let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(STALL)));
            return stalled.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()));
        }
        self.stalled = None;
        if let Poll::Ready(Ok(1..)) = result {
            self.progress.begun.set(true);
            if let Some(waits) = self.progress.waits.take() {
                waits.wake();
            }
        }
        result
    }
}

impl<S: Peek> Watched<S> {
    /// Before the first byte of a request nothing may lie on its connection: a late second copy of the answer
    /// before would be taken for the answer to this one. Nor may it have become unwanted.
    fn check(&self) -> io::Result<()> {
        if !self.progress.fresh.replace(false) {
            return Ok(());
        }
        let permitted = self.progress.permit.take().is_none_or(|permit| permit());
        if permitted && !self.stream.unread() { Ok(()) } else { Err(io::ErrorKind::InvalidData.into()) }
    }
}

impl<S: Read + Unpin> Watched<S> {
    /// Reads, and keeps a copy of what belongs to a head.
    fn copy_head(
        &mut self,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
        head: &mut Vec<u8>,
    ) -> Poll<io::Result<()>> {
        let (mut space, room) = ([0; HEAD_READ], buf.remaining().min(HEAD_READ));
        let mut read = ReadBuf::new(&mut space[..room]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, read.unfilled()))?;
        head.extend_from_slice(read.filled());
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl<S: Read + Unpin> Read for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let copy = self.progress.head.take().filter(|head| head.len() < MAX_HEAD);
        let read = match copy {
            Some(mut head) => {
                let read = self.copy_head(cx, buf, &mut head);
                self.progress.head.replace(Some(head));
                read
            }
            None => Pin::new(&mut self.stream).poll_read(cx, buf),
        };
        if read.is_ready() {
            let now = Instant::now();
            self.progress.heard.set(Some(now));
            self.progress.speaks.set(self.progress.speaks.get().or(Some(now)));
        }
        read
    }
}

impl<S: Write + Peek + Unpin> Write for Watched<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.progress.begun.get() && self.progress.body_taken.get() {
            self.progress.flushed.set(true);
        }
        self.progress.unsent.set(false);
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::Request;
    use hyper::client::conn::http1::handshake;
    use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
    use tokio::task::{LocalSet, spawn_local};

    impl Peek for TokioIo<DuplexStream> {
        fn unread(&self) -> bool {
            false
        }
    }

    /// Sends a request with a body over a pipe, lets `other` do what it wants with the far end, and tells
    /// whether the request got out whole before the connection broke.
    async fn broken_after(body: usize, other: impl AsyncFnOnce(&mut DuplexStream)) -> bool {
        let (near, mut far) = duplex(1024);
        LocalSet::new()
            .run_until(async {
                let watched = Watched::new(TokioIo::new(near));
                let progress = watched.progress();
                let (mut sender, connection) = handshake(watched).await.expect("nothing is sent yet");
                spawn_local(async move {
                    let _ = connection.await;
                });
                let payload = Payload::Whole(vec![b'x'; body].into());
                let body = Outgoing::new(&payload, progress.clone()).expect("whole");
                let request = Request::post("/").header("host", "b").body(body).expect("well formed");
                let answer = spawn_local(async move { sender.send_request(request).await.is_ok() });
                other(&mut far).await;
                drop(far);
                assert!(!answer.await.expect("no panic"), "nobody answers");
                progress.whole()
            })
            .await
    }

    async fn read_request(far: &mut DuplexStream, body: usize) {
        let mut seen = Vec::new();
        while !seen.windows(4).any(|w| w == b"\r\n\r\n") || !seen.ends_with(&vec![b'x'; body]) {
            assert_ne!(far.read_buf(&mut seen).await.expect("open"), 0, "the request breaks off");
        }
    }

    #[tokio::test]
    async fn a_request_cut_short_never_ran() {
        // The far end takes a part of the body; the rest is still with the HTTP library.
        assert!(!broken_after(60_000, async |far| drop(far.read(&mut [0; 512]).await)).await);
        assert!(!broken_after(60_000, async |_| {}).await);
    }

    #[tokio::test]
    async fn a_request_written_whole_may_have_run() {
        assert!(broken_after(60_000, async |far| read_request(far, 60_000).await).await);
        assert!(broken_after(0, async |far| read_request(far, 0).await).await);
    }

    #[tokio::test(start_paused = true)]
    async fn a_write_that_makes_no_headway_fails() {
        // The far end stays open and takes nothing: only the time limit ends this.
        assert!(!broken_after(60_000, async |_| sleep(STALL * 2).await).await);
        let (near, _far) = duplex(8);
        let mut watched = Watched::new(TokioIo::new(near));
        let write = std::future::poll_fn(|cx| Pin::new(&mut watched).poll_write(cx, &[0; 8]));
        assert_eq!(write.await.expect("there is room"), 8);
        let write = std::future::poll_fn(|cx| Pin::new(&mut watched).poll_write(cx, &[0; 8]));
        assert_eq!(write.await.expect_err("nobody reads").kind(), io::ErrorKind::TimedOut);
    }

    #[tokio::test]
    async fn whether_a_caller_is_there_is_known_at_once() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let pair = async || {
            let far = TcpStream::connect(addr).await.expect("it listens");
            let (near, _) = listener.accept().await.expect("it came");
            let near = Socket::new(near);
            (near.presence(), near, far)
        };
        let end = |far: &TcpStream| SockRef::from(far).shutdown(std::net::Shutdown::Write).expect("open");

        let (presence, _near, far) = pair().await;
        assert!(presence.holds());
        assert_eq!(far.try_write(b"more").expect("there is room"), 4);
        assert!(presence.holds(), "bytes are no end");
        // No wait lies between: neither the reactor nor any task has heard of it.
        let (presence, _near, far) = pair().await;
        end(&far);
        assert!(!presence.holds());
        let (presence, _near, far) = pair().await;
        SockRef::from(&far).set_linger(Some(Duration::ZERO)).expect("open");
        drop(far);
        assert!(!presence.holds(), "reset");
        // Of an end behind bytes that lie unread the reactor has to tell first.
        let (presence, _near, far) = pair().await;
        assert_eq!(far.try_write(b"more").expect("there is room"), 4);
        end(&far);
        sleep(Duration::ZERO).await;
        while presence.holds() {
            tokio::task::yield_now().await;
        }
        let (presence, near, _far) = pair().await;
        drop(near);
        assert!(!presence.holds(), "this side has let go");
    }

    #[tokio::test]
    async fn nothing_is_written_where_something_lies_unread() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let near = TcpStream::connect(addr).await.expect("it listens");
        let (mut far, _) = listener.accept().await.expect("it came");
        let mut watched = Watched::new(TokioIo::new(near));
        let progress = watched.progress();
        let mut write = async |fresh: bool| {
            if fresh {
                progress.begin();
            }
            std::future::poll_fn(|cx| Pin::new(&mut watched).poll_write(cx, b"request")).await
        };
        assert_eq!(write(true).await.expect("clean"), 7);
        // A late answer, of which nobody here has been told. In the middle of a request it is no reason to stop.
        far.write_all(b"late").await.expect("open");
        assert_eq!(write(false).await.expect("it goes on"), 7);
        assert_eq!(write(true).await.expect_err("unclean").kind(), io::ErrorKind::InvalidData);
        assert!(!progress.begun());
    }
}
