//! The backends' side: a pool of kept connections, and attempts with what each ending means.

use crate::transport::{
    Flow, Frames, MAX_BODY, MAX_HEAD, MAX_HEADERS, Outgoing, Payload, Permit, Progress, STALL, Upload,
    Wanted, Watched, prepare,
};
use bytes::{Bytes, BytesMut};
use foldhitch_balancer::api::Outcome;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri, header};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// Bodies up to this are kept whole, longer ones pass through.
pub const KEPT: usize = 64 * 1024;
/// A body that is kept, has begun and makes no headway for so long is not coming: its length doesn't fit.
const PAUSE: Duration = Duration::from_millis(500);
/// Once its answer is read a connection is free in no time, unless the request itself is still being written.
const SETTLE: Duration = Duration::from_millis(50);
/// Kept connections are given up at this share of the time after which backends close them.
const RETIRE: f64 = 0.5;

/// A request as every attempt of it goes out.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// `Host`, as the caller gave it.
    pub host: Option<HeaderValue>,
    /// `Req-Id`.
    pub id: HeaderValue,
    /// `Idempotency-Key`.
    pub key: Option<HeaderValue>,
    /// Its body.
    pub body: Payload,
}

/// An answer's body.
#[derive(Debug)]
pub enum Content {
    /// All of it.
    Whole(Bytes),
    /// It passes through.
    Passing(Flow),
}

/// One process of a backend: where it is reached, and since when it is known to drain or be gone.
pub struct Target {
    /// Its place in the pool. Another process may be reached at the same address.
    number: u64,
    /// Its address.
    pub dial: SocketAddr,
    /// When its process started, as discovery tells it.
    pub born_ms: f64,
    /// When this proxy was told that it takes nothing new.
    pub drained: Cell<Option<Instant>>,
}

/// How an attempt ended.
pub enum End {
    /// With an answer to pass on.
    Served(Content),
    /// Its caller did not send a whole request.
    Broken(StatusCode),
    /// Turned down as a request that no backend can use.
    Rejected,
    /// Otherwise.
    Unserved(Outcome),
}

impl End {
    /// The module's word for it.
    pub fn outcome(&self) -> Outcome {
        match self {
            End::Served(_) => Outcome::Ok,
            // The request's fault: it says nothing of the backend, and another would say the same.
            End::Rejected | End::Broken(_) => Outcome::Cancelled,
            End::Unserved(outcome) => *outcome,
        }
    }
}

/// What the pool keeps to.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Most connections at once, to begin with.
    pub connections: usize,
    /// A connect that takes longer has failed.
    pub connect: Duration,
    /// Backends close connections idle for so long.
    pub idle: Duration,
    /// Nothing is sent later than this after the notice of a drain.
    pub drain_grace: Duration,
}

/// The connections to all backends.
pub struct Pool {
    limits: Cell<Limits>,
    targets: Cell<u64>,
    /// By the target's number.
    idle: RefCell<HashMap<u64, Vec<Idle>>>,
    places: Arc<Semaphore>,
    /// How many places there are.
    size: Cell<usize>,
}

struct Idle {
    link: Link,
    since: Instant,
}

/// A connection that carries one request at a time; closed when dropped, with whatever is out on it.
struct Link {
    sender: SendRequest<Outgoing>,
    progress: Rc<Progress>,
    /// What was read and belongs to no answer, once the connection has ended.
    leftover: Rc<RefCell<Bytes>>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    /// An empty pool.
    pub fn new(limits: Limits) -> Self {
        let places = Arc::new(Semaphore::new(limits.connections));
        let size = Cell::new(limits.connections);
        let limits = Cell::new(limits);
        Pool { limits, targets: Cell::default(), idle: RefCell::default(), places, size }
    }

    /// Takes places away, as far as they are free or held by connections at rest, or gives them back. Tells whether
    /// it is done; those in use come free later.
    pub fn resize(&self, connections: usize) -> bool {
        let size = self.size.get();
        if connections >= size {
            self.places.add_permits(connections - size);
            self.size.set(connections);
            return true;
        }
        let surplus = size - connections;
        let gone = self.places.forget_permits(surplus);
        self.size.set(size - gone);
        // A place comes free a moment after its connection was closed.
        (gone..surplus).take_while(|_| self.evict()).for_each(drop);
        gone == surplus
    }

    /// Keeps to other times from now on; how many connections there may be, [`resize`](Self::resize) says.
    pub fn keep_to(&self, connect: Duration, idle: Duration, drain_grace: Duration) {
        self.limits.update(|limits| Limits { connect, idle, drain_grace, ..limits });
    }

    /// A process to send to.
    pub fn target(&self, dial: SocketAddr, born_ms: f64) -> Target {
        let number = self.targets.get();
        self.targets.set(number + 1);
        Target { number, dial, born_ms, drained: Cell::new(None) }
    }

    /// Closes what is idle to a process.
    pub fn close(&self, target: &Target) {
        self.idle.borrow_mut().remove(&target.number);
    }

    /// Closes what has been idle for long. A backend closes idle connections too, and a request that crosses
    /// its close would end as a reset, which may have run: ours go clearly earlier.
    pub fn sweep(&self) {
        let age = self.limits.get().idle.mul_f64(RETIRE);
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|i| !i.link.sender.is_closed() && i.since.elapsed() < age);
            !links.is_empty()
        });
    }

    /// The most recently used of those still open: the others may then grow old and be closed.
    fn reuse(&self, target: &Target) -> Option<Link> {
        let age = self.limits.get().idle.mul_f64(RETIRE);
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&target.number)?;
        while let Some(Idle { link, since }) = links.pop() {
            if link.sender.is_ready() && since.elapsed() < age {
                return Some(link);
            }
        }
        None
    }

    fn keep(&self, target: &Target, link: Link) {
        if target.drained.get().is_none() && !link.sender.is_closed() {
            let idle = Idle { link, since: Instant::now() };
            self.idle.borrow_mut().entry(target.number).or_default().push(idle);
        }
    }

    /// Closes the connection that has been idle longest, whosoever it is.
    fn evict(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(number, links)| Some((links.first()?.since, *number))).min();
        let links = oldest.and_then(|(_, number)| idle.get_mut(&number));
        links.map(|links| links.remove(0)).is_some()
    }

    /// A place for a connection. Where none is left, one at rest gives way: that takes a moment, which is waited for, since a request turned away for want of a place is turned away by number.
    async fn place(&self) -> Result<OwnedSemaphorePermit, Outcome> {
        let place = match self.places.clone().try_acquire_owned() {
            Ok(place) => place,
            Err(_) => {
                self.evict();
                let place = timeout(self.limits.get().connect, self.places.clone().acquire_owned()).await;
                // Without one the request was never sent, and that says nothing of the backend.
                place.ok().and_then(Result::ok).ok_or(Outcome::NotSent)?
            }
        };
        if self.places.available_permits() == 0 {
            self.evict();
        }
        Ok(place)
    }

    async fn connect(&self, dial: SocketAddr, permit: &Permit) -> Result<Link, Outcome> {
        let place = self.place().await?;
        if !permit() {
            return Err(Outcome::NotSent);
        }
        let stream = match timeout(self.limits.get().connect, TcpStream::connect(dial)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if out_of_descriptors(&e) => return Err(Outcome::NotSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        prepare(&stream).map_err(|_| Outcome::ConnectFailed)?;
        let watched = Watched::new(TokioIo::new(stream));
        let progress = watched.progress();
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD).max_headers(MAX_HEADERS);
        let handshake = builder.handshake(watched).await;
        let (sender, mut connection) = handshake.map_err(|_| Outcome::ConnectFailed)?;
        let leftover = Rc::<RefCell<Bytes>>::default();
        let left = leftover.clone();
        let task = tokio::task::spawn_local(async move {
            let _place = place;
            // Its end shows at the sender, where it has a meaning.
            let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
            left.replace(connection.into_parts().read_buf);
        });
        Ok(Link { sender, progress, leftover, task: task.abort_handle() })
    }
}

/// Whether the process or the machine has no descriptor left.
fn out_of_descriptors(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(e.raw_os_error(), Some(ENFILE | EMFILE))
}

/// One attempt: when it must end, and who may call it off.
pub struct Attempt {
    /// The request.
    pub call: Rc<Call>,
    /// Where it goes.
    pub target: Rc<Target>,
    /// When it is given up.
    pub expires_at_ms: Instant,
    /// Whether anybody still waits for it.
    pub wanted: Wanted,
    /// Withdraws it.
    pub cancelled: oneshot::Receiver<()>,
}

impl Attempt {
    /// Carries the attempt out and tells how it ended. The connection of one that is given up is closed: that is
    /// how a backend learns that nobody waits, so that it stops the work and frees the slot.
    pub async fn run(self, pool: Rc<Pool>) -> End {
        let Attempt { call, target, expires_at_ms, wanted, cancelled } = self;
        let (grace, told) = (pool.limits.get().drain_grace, target.clone());
        // Whatever the attempt has to wait for, its request may be over by then, or its caller gone unnoticed, and the
        // backend may have been told to drain: half the grace leaves room for a late loop and a slow write.
        let permit: Permit = Rc::new(move || {
            wanted.upgrade().is_some_and(|there| there())
                && told.drained.get().is_none_or(|told| told.elapsed() <= grace / 2)
        });
        tokio::select! {
            biased;
            end = exchange(&pool, &call, &target, expires_at_ms, &permit) => end,
            () = due(&call, expires_at_ms) => End::Unserved(Outcome::Timeout),
            Ok(()) = cancelled => End::Unserved(Outcome::Cancelled),
        }
    }
}

/// Comes back when the answer is too late. The time of a body that passes through counts from its last byte.
async fn due(call: &Call, expires_at_ms: Instant) {
    let end = async {
        match &call.body {
            Payload::Whole(_) => expires_at_ms,
            // One that breaks off is no reason to wait for less.
            Payload::Passing(upload) => upload.ended().await.map_or(expires_at_ms, |at| at + upload.patience),
        }
    };
    tokio::select! {
        () = sleep_until(expires_at_ms) => {}
        () = async { sleep_until(end.await).await } => {}
    }
}

/// Sends the request and reads its answer.
async fn exchange(
    pool: &Rc<Pool>,
    call: &Call,
    target: &Rc<Target>,
    expires_at_ms: Instant,
    permit: &Permit,
) -> End {
    let end = send(pool, call, target, expires_at_ms, permit).await;
    // Whatever came of it, the caller is at fault.
    match call.upload().and_then(|upload| upload.failure()) {
        Some(status) if !matches!(end, End::Served(_)) => End::Broken(status),
        _ => end,
    }
}

async fn send(
    pool: &Rc<Pool>,
    call: &Call,
    target: &Rc<Target>,
    expires_at_ms: Instant,
    permit: &Permit,
) -> End {
    let moot = || End::Unserved(Outcome::NotSent);
    let (mut link, answer) = loop {
        let (mut link, kept) = match pool.reuse(target) {
            Some(link) => (link, true),
            None => match pool.connect(target.dial, permit).await {
                Ok(link) => (link, false),
                Err(outcome) => return End::Unserved(outcome),
            },
        };
        link.progress.permit(permit.clone());
        let Some(request) = call.request(&link.progress, expires_at_ms) else { return moot() };
        match link.sender.send_request(request).await {
            Ok(answer) => break (link, answer),
            Err(_) if !link.progress.begun() && !permit() => return moot(),
            // A kept connection that turned out to be closed, or to hold bytes that are no answer to this: not a
            // byte of the request was written, so that it goes over another one.
            Err(_) if kept && !link.progress.begun() => {}
            // Only the connection knows whether the backend can have the whole request.
            Err(_) if link.progress.whole() => return End::Unserved(Outcome::Reset),
            Err(_) => return End::Unserved(Outcome::ConnectFailed),
        }
    };
    // Spoilt: the request may have run, and what is on this connection is of no use.
    let spoilt = End::Unserved(Outcome::Reset);
    let end = match read(answer).await {
        None => return spoilt,
        Some(Read::End(end)) => end,
        Some(Read::Long(begun, body)) if matches!(begun.end, End::Served(_)) => {
            let (frames, flow) = Flow::new(begun.length);
            let (pool, target) = (pool.clone(), target.clone());
            tokio::task::spawn_local(pass(begun, body, frames, pool, target, link));
            return End::Served(Content::Passing(flow));
        }
        // Nobody wants the rest of it.
        Some(Read::Long(begun, _)) => return begun.end,
    };
    let Some(clean) = settle(&mut link).await else { return spoilt };
    if clean {
        pool.keep(target, link);
    }
    end
}

/// Sees what came behind an answer before it counts. The HTTP library ends a body where its length says: if the
/// length was too short, the rest of the body lies there, and the answer would be passed on cut off. A second
/// answer behind the first is none of the first's business. Tells whether the connection is fit for the next
/// request; nothing where the answer is spoilt.
async fn settle(link: &mut Link) -> Option<bool> {
    match timeout(SETTLE, link.sender.ready()).await {
        Ok(Ok(())) => Some(true),
        Ok(Err(_)) => {
            let rest = link.leftover.take();
            (rest.is_empty() || rest.starts_with(b"HTTP/1.")).then_some(false)
        }
        Err(_) => Some(false),
    }
}

/// What was read of a long answer.
struct Begun {
    end: End,
    length: Option<u64>,
    data: Bytes,
}

enum Read {
    End(End),
    Long(Begun, Incoming),
}

/// Passes a long answer on. What is not told to have come to its sound end has broken off, and its caller is shown so.
async fn pass(
    begun: Begun,
    mut body: Incoming,
    frames: Frames,
    pool: Rc<Pool>,
    target: Rc<Target>,
    mut link: Link,
) {
    let (mut data, mut left) = (begun.data, begun.length);
    loop {
        left = left.map(|left| left.saturating_sub(data.len() as u64));
        if left == Some(0) {
            // The last of it waits until it is seen that it is the last.
            let Some(clean) = settle(&mut link).await else { return };
            if !data.is_empty() && frames.send(Some(data)).await.is_err() {
                return;
            }
            let _ = frames.send(None).await;
            if clean {
                pool.keep(&target, link);
            }
            return;
        }
        if !data.is_empty() && frames.send(Some(data)).await.is_err() {
            return;
        }
        data = loop {
            let frame = tokio::select! {
                frame = timeout(STALL, body.frame()) => frame,
                () = frames.closed() => return,
            };
            match frame {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => break data,
                    // Trailers.
                    _ => {}
                },
                Ok(None) if left.is_none() => {
                    let Some(clean) = settle(&mut link).await else { return };
                    let _ = frames.send(None).await;
                    if clean {
                        pool.keep(&target, link);
                    }
                    return;
                }
                _ => return,
            }
        };
    }
}

/// What an answer means; nothing if it is spoilt. Of a length and a coding at most one is true; where neither is told
/// it ends with its connection.
async fn read(answer: Response<Incoming>) -> Option<Read> {
    let (head, mut body) = answer.into_parts();
    let declined = head.headers.get("srv-declined").is_some_and(|v| v == "1");
    let lengths = head.headers.get_all(header::CONTENT_LENGTH).iter().count();
    let codings = head.headers.get_all(header::TRANSFER_ENCODING).iter().count();
    let bodiless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let length = body.size_hint().exact();
    if lengths + codings > 1 || bodiless && codings > 0 || length.is_some_and(|l| l > MAX_BODY) {
        return None;
    }
    let (mut bytes, mut long) = (BytesMut::new(), length.is_some_and(|l| l > KEPT as u64));
    // An answer that breaks off is none: the request may have run.
    while !long && let Some(frame) = timeout(PAUSE, body.frame()).await.ok()? {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        bytes.extend_from_slice(&data);
        long = bytes.len() > KEPT;
    }
    let bytes = bytes.freeze();
    let end = match head.status {
        StatusCode::OK => End::Served(Content::Whole(bytes.clone())),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => {
            End::Unserved(Outcome::Full)
        }
        // These speak of the moment and not of the request.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_EARLY | StatusCode::TOO_MANY_REQUESTS => {
            End::Unserved(Outcome::Error)
        }
        status if status.is_client_error() => End::Rejected,
        _ => End::Unserved(Outcome::Error),
    };
    Some(if long { Read::Long(Begun { end, length, data: bytes }, body) } else { Read::End(end) })
}

impl Call {
    /// Its body, if that passes through.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match &self.body {
            Payload::Whole(_) => None,
            Payload::Passing(upload) => Some(upload),
        }
    }

    fn request(&self, progress: &Rc<Progress>, expires_at_ms: Instant) -> Option<Request<Outgoing>> {
        // The time of a body that passes through begins with its last byte.
        let left = match &self.body {
            Payload::Whole(_) => expires_at_ms.saturating_duration_since(Instant::now()),
            Payload::Passing(upload) => upload.patience,
        };
        let left = left.as_millis() as u64;
        let mut request = Request::builder().method(self.method.clone()).uri(self.uri.clone());
        let headers = request.headers_mut()?;
        let host = self.host.clone().unwrap_or(HeaderValue::from_static("heathroad"));
        headers.insert(HOST, host);
        headers.insert("req-id", self.id.clone());
        headers.insert("req-deadline-ms", HeaderValue::from(left));
        if let Some(key) = &self.key {
            headers.insert("idempotency-key", key.clone());
        }
        let empty = matches!(&self.body, Payload::Whole(data) if data.is_empty());
        if empty && self.method != Method::GET {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
        }
        request.body(Outgoing::new(&self.body, progress.clone())?).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::transport::Socket;
    use socket2::SockRef;
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpListener;
    use tokio::task::{LocalSet, spawn_local};

    fn look() -> Call {
        let (id, uri) = (HeaderValue::from_static("1"), Uri::from_static("/look"));
        Call { method: Method::GET, uri, host: None, id, key: None, body: Payload::Whole(Bytes::new()) }
    }

    /// With a single place: one at rest gives way, and an attempt that is given up leaves it at once.
    #[tokio::test]
    async fn a_place_for_a_connection_is_waited_for() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let dial = listener.local_addr().expect("bound");
        let (connect, idle) = (Duration::from_secs(20), Duration::from_secs(60));
        let limits = Limits { connections: 1, connect, idle, drain_grace: connect };
        let pool = Rc::new(Pool::new(limits));
        let tasks = LocalSet::new();
        tasks
            .run_until(async {
                let target = Rc::new(pool.target(dial, 0.0));
                let (cancel, cancelled) = oneshot::channel();
                let expires_at_ms = Instant::now() + connect;
                let (call, target) = (Rc::new(look()), target.clone());
                let permit: Permit = Rc::new(|| true);
                let wanted = Rc::downgrade(&permit);
                let attempt = Attempt { call, target: target.clone(), expires_at_ms, wanted, cancelled };
                let ended = spawn_local(attempt.run(pool.clone()));
                let (mut backend, _) = listener.accept().await.expect("it came");
                assert_ne!(backend.read(&mut [0; 1024]).await.expect("open"), 0);
                cancel.send(()).expect("it is out");
                assert_eq!(ended.await.expect("no panic").outcome(), Outcome::Cancelled);
                let link = pool.connect(dial, &permit).await.expect("the one that was given up has left");
                pool.keep(&target, link);
                assert!(pool.connect(dial, &permit).await.is_ok(), "the one at rest gives way");
            })
            .await;
    }

    /// A caller has left, and nobody has told: its own task has yet to get its turn, and an attempt for it is about to
    /// be written, on a connection that is kept or that comes up, or once there is a place for one.
    #[tokio::test]
    async fn what_its_caller_has_just_left_is_not_sent() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let dial = listener.local_addr().expect("bound");
        let door = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = door.local_addr().expect("bound");
        let (connect, idle) = (Duration::from_secs(20), Duration::from_secs(60));
        let tasks = LocalSet::new();
        tasks
            .run_until(async {
                for kept in [true, false] {
                    let limits = Limits { connections: 1, connect, idle, drain_grace: connect };
                    let pool = Rc::new(Pool::new(limits));
                    let target = Rc::new(pool.target(dial, 0.0));
                    let permit: Permit = Rc::new(|| true);
                    let link = pool.connect(dial, &permit).await.expect("it listens");
                    let (mut backend, _) = listener.accept().await.expect("it came");
                    // Held by an attempt, or at rest.
                    let mut held = Some(link);
                    if kept {
                        pool.keep(&target, held.take().expect("held"));
                    }
                    let far = TcpStream::connect(at).await.expect("it listens");
                    let near = Socket::new(door.accept().await.expect("it came").0);
                    let presence = near.presence();
                    let there: Permit = Rc::new(move || presence.holds());
                    let (wanted, expires_at_ms) = (Rc::downgrade(&there), Instant::now() + connect);
                    let (_cancel, cancelled) = oneshot::channel();
                    let (call, target) = (Rc::new(look()), target.clone());
                    let attempt = Attempt { call, target: target.clone(), expires_at_ms, wanted, cancelled };
                    let ended = spawn_local(attempt.run(pool.clone()));
                    if !kept {
                        // It waits for the place.
                        tokio::task::yield_now().await;
                    }
                    SockRef::from(&far).shutdown(std::net::Shutdown::Write).expect("open");
                    drop(held);
                    assert_eq!(ended.await.expect("no panic").outcome(), Outcome::NotSent, "kept: {kept}");
                    pool.close(&target);
                    assert_eq!(backend.read(&mut [0; 1024]).await.expect("a close"), 0, "kept: {kept}");
                }
            })
            .await;
    }
}
