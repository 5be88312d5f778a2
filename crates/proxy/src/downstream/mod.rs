//! The callers' side: takes requests, checks them, and writes each one's answer.

use crate::dispatcher::{Answer, Engine, Incoming, MARGIN, millis};
use crate::log::log;
use crate::transport::{
    Flow, Frames, MAX_BODY, MAX_HEAD, MAX_HEADERS, Payload, Peek, Permit, Presence, Progress, Socket, Upload,
    Watched, prepare,
};
use crate::upstream::{Call, Content, KEPT};
use bytes::{Bytes, BytesMut};
use foldhitch_balancer::api::Idempotency;
use foldhitch_balancer::settings_format::ResolvedSettings;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming as Inflow, SizeHint};
use hyper::header::{ALLOW, CONNECTION, HOST, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinSet, spawn_local, yield_now};
use tokio::time::{Instant, interval, sleep, timeout};

/// A head must have come whole so long after its first byte, a connection's first head so long after the connect:
/// callers may take `HEAD` for it, and who sends nothing, or sends for ever, is to be told so within 3 s.
const ARRIVE: Duration = Duration::from_millis(2500);
/// So long a caller may take for its head.
const HEAD: Duration = Duration::from_secs(2);
/// So many of those that have said nothing came so lately that their requests may be on the way.
const LATEST: usize = 4;
/// A body may be waited for until then too, at least for so long after its head, and so much longer as what has come
/// of it takes at the slowest rate that callers have, less a quarter ...
const BODY: Duration = Duration::from_millis(400);
const RATE: f64 = 48_000.0;
/// ... but not in a silence of this.
const SILENCE: Duration = Duration::from_secs(2);
/// A connection may rest so long between requests, while places last.
const REST: Duration = Duration::from_secs(60);
/// When clients are sent away, connections still idle are closed after this: the front goes on sending new ones for
/// up to 0.3 s, and what crosses a close would have to come again.
const SEND_AWAY: Duration = Duration::from_millis(1200);
/// How often callers are looked through for those that are late.
const SWEEP: Duration = Duration::from_millis(250);
/// Pause when nothing can be accepted.
const STARVED: Duration = Duration::from_millis(10);
/// Connections past the limit, taken only to be refused at once.
pub const SPARE: usize = 16;
/// Share of the places that callers may fill with requests who have not been served on their connection yet: a
/// burst of requests that are worth nothing must leave room for the others.
const NEWCOMERS: f64 = 0.75;
/// Longest time that a caller may say it waits.
const MAX_PATIENCE_MS: u64 = 600_000;
/// Who is refused for want of room is told to stay away so long, where that is told.
const AWAY: f64 = 500.0;

type Reply = Response<Outflow>;

/// The body of an answer to a caller.
enum Outflow {
    Whole(Full<Bytes>),
    /// One that passes through; until it has, its caller is not at rest.
    Passing(Flow, Option<Resting>),
}

impl Body for Outflow {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Outflow::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|e| match e {}),
            Outflow::Passing(flow, _) => Pin::new(flow).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Outflow::Whole(body) => body.is_end_stream(),
            Outflow::Passing(flow, _) => flow.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outflow::Whole(body) => body.size_hint(),
            Outflow::Passing(flow, _) => flow.size_hint(),
        }
    }
}

/// A caller's request has had its answer once this is dropped.
struct Resting(Rc<Seat>);

impl Drop for Resting {
    fn drop(&mut self) {
        let seat = &self.0;
        seat.stage.set(Stage::Rest);
        seat.progress.listen();
        seat.progress.expect_head();
        seat.since.set(Instant::now());
        seat.answered.set(true);
    }
}

/// How long a body may still be waited for. What is waited for on the other side, which takes it, does not count.
struct Pace {
    left: Duration,
}

impl Pace {
    /// For a body whose head has just come, of a request that was begun earlier.
    fn new(begun: Instant) -> Self {
        Pace { left: ARRIVE.saturating_sub(begun.elapsed()).max(BODY) }
    }

    /// The next piece of the body that holds data; nothing at its end.
    async fn next(&mut self, body: &mut Inflow) -> Result<Option<Bytes>, StatusCode> {
        loop {
            let asked = Instant::now();
            let frame = timeout(self.left.min(SILENCE), body.frame()).await;
            let frame = frame.map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
            let Some(frame) = frame else { return Ok(None) };
            // Trailers are passed over.
            let data = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data().unwrap_or_default();
            self.left = self.left.saturating_sub(asked.elapsed());
            if !data.is_empty() {
                self.left += Duration::from_secs_f64(data.len() as f64 / RATE);
                return Ok(Some(data));
            }
        }
    }
}

/// What has become of a caller's present request.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// There is none, or its head has not come whole.
    Rest,
    /// Its body is being read.
    Body,
    /// It was taken, and is owed an answer.
    Taken,
    /// There will be none: the connection is closed, but for what is still read on it.
    Parting,
}

/// A caller's place.
struct Seat {
    stage: Cell<Stage>,
    /// A body of it that passes through is still being read, be its request answered or not.
    reading: Cell<bool>,
    /// When it connected, or had its last answer.
    since: Cell<Instant>,
    /// It has had an answer of some kind.
    answered: Cell<bool>,
    /// It was served with what a backend made for it.
    served: Cell<bool>,
    progress: Rc<Progress>,
    presence: Presence,
    /// Its next answer is the last on its connection.
    last: Cell<bool>,
    leaving: Cell<bool>,
    leave: Notify,
}

impl Seat {
    /// Whether closing its connection takes away nothing that was taken or answered.
    fn spare(&self) -> bool {
        self.stage.get() != Stage::Taken
            && !self.reading.get()
            && !self.progress.unsent()
            && !self.leaving.get()
    }
    /// Whether nothing of a request has come.
    fn rests(&self) -> bool {
        self.stage.get() == Stage::Rest && self.progress.speaks().is_none() && self.spare()
    }
    /// Whether it has had the time that it may take.
    fn late(&self) -> bool {
        let past = |since: Instant, most| since.elapsed() > most;
        match (self.stage.get(), self.answered.get(), self.progress.speaks()) {
            (Stage::Rest, false, _) => past(self.since.get(), ARRIVE),
            (Stage::Rest, true, Some(speaks)) => past(speaks, ARRIVE),
            (Stage::Rest, true, None) => past(self.since.get(), REST),
            // These have limits of their own.
            (Stage::Body | Stage::Taken | Stage::Parting, ..) => false,
        }
    }
    fn close(&self) {
        self.leaving.set(true);
        self.leave.notify_one();
    }
}

/// What callers hold of the proxy.
#[derive(Default)]
pub struct Room {
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
    next: Cell<u64>,
    /// Ids of the requests that are open.
    ids: RefCell<HashSet<HeaderValue>>,
    /// Requests that are owed an answer.
    taken: Cell<usize>,
    /// Bytes of their bodies.
    bytes: Cell<usize>,
}

impl Room {
    /// Makes room for one more among those whose connection can be closed without loss: the one that has been silent
    /// longest. One that was never served and says nothing goes first, unless it is of the few that came last and may
    /// be about to speak. One that is writing a head has time for it before others that rest must give way.
    fn shed(&self) -> bool {
        let seats = self.seats.borrow();
        if let Some(parting) = seats.values().find(|s| s.stage.get() == Stage::Parting && s.spare()) {
            parting.close();
            return true;
        }
        let spare = seats.values().filter(|s| s.spare());
        let (mute, other): (Vec<_>, Vec<_>) =
            spare.partition(|s| !s.served.get() && s.progress.speaks().is_none());
        let rests = |s: &&&Rc<Seat>| {
            s.since.get() + if s.progress.speaks().is_some() { HEAD } else { Duration::ZERO }
        };
        let first = mute.iter().min_by_key(|s| s.since.get());
        let longest = if mute.len() > LATEST { first } else { other.iter().min_by_key(rests).or(first) };
        longest.inspect(|s| s.close()).is_some()
    }

    fn sweep(&self) {
        self.seats.borrow().values().filter(|s| s.spare() && s.late()).for_each(|s| s.close());
    }
}

/// A place that is given back when dropped.
struct Seated {
    room: Rc<Room>,
    number: u64,
    seat: Rc<Seat>,
}

impl Seated {
    fn new(room: &Rc<Room>, progress: Rc<Progress>, presence: Presence) -> Self {
        let number = room.next.get();
        room.next.set(number + 1);
        let seat = Rc::new(Seat {
            stage: Cell::new(Stage::Rest),
            reading: Cell::new(false),
            since: Cell::new(Instant::now()),
            answered: Cell::new(false),
            served: Cell::new(false),
            progress,
            presence,
            last: Cell::new(false),
            leaving: Cell::new(false),
            leave: Notify::new(),
        });
        room.seats.borrow_mut().insert(number, seat.clone());
        Seated { room: room.clone(), number, seat }
    }
}

impl Drop for Seated {
    fn drop(&mut self) {
        self.room.seats.borrow_mut().remove(&self.number);
    }
}

/// An open request's id, and the bytes that its body holds.
struct Held {
    room: Rc<Room>,
    id: HeaderValue,
    bytes: usize,
}

impl Held {
    /// None if a request with this id is open.
    fn new(room: &Rc<Room>, id: &HeaderValue) -> Option<Held> {
        let held = || Held { room: room.clone(), id: id.clone(), bytes: 0 };
        room.ids.borrow_mut().insert(id.clone()).then(held)
    }
    /// Whether there is room for so many more bytes.
    fn grow(&mut self, by: usize, most: usize) -> bool {
        let all = self.room.bytes.get() + by;
        if all <= most {
            self.room.bytes.set(all);
            self.bytes += by;
        }
        all <= most
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.room.ids.borrow_mut().remove(&self.id);
        self.room.bytes.set(self.room.bytes.get() - self.bytes);
    }
}

/// How far a planned stop has come.
#[derive(Clone, Copy, PartialEq)]
pub enum Stop {
    /// There is none.
    No,
    /// No more connections are taken; those that are open go on.
    Accepting,
    /// Another process takes connections; those that are open go on to their next answer.
    HandedOver,
    /// Connections are closed as they fall idle.
    All,
}

/// What is needed to read requests.
pub struct Front {
    /// Decides them.
    pub engine: Rc<Engine>,
    /// Most connections at once.
    pub connections: Cell<usize>,
    /// Most bytes in the bodies of open requests.
    pub bodies: Cell<usize>,
    /// Whether each answer is to be the last on its connection.
    pub parting: Cell<bool>,
    /// Who is there.
    pub room: Rc<Room>,
}

impl Front {
    /// Keeps to other limits from now on: what is idle above them is closed.
    pub fn resize(&self, connections: usize, bodies: usize) {
        self.connections.set(connections);
        self.bodies.set(bodies);
        let surplus = self.room.seats.borrow().len().saturating_sub(connections);
        (0..surplus).take_while(|_| self.room.shed()).for_each(drop);
    }

    /// Accepts connections and, as `stop` says, closes them as they fall idle; returns when the last one is. Nobody
    /// is kept waiting in the system's queue, where requests may lie that are owed an answer: whom there is no
    /// place for takes that of a caller that has long said nothing.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, mut stop: watch::Receiver<Stop>) {
        let mut open = JoinSet::new();
        let closing = stop.clone();
        let mut sweep = interval(SWEEP);
        let present = || self.room.seats.borrow().len();
        while *stop.borrow_and_update() == Stop::No {
            let full = present() >= self.connections.get() + SPARE;
            if full {
                self.room.shed();
            }
            tokio::select! {
                _ = stop.changed() => break,
                Some(_) = open.join_next() => {}
                _ = sweep.tick() => self.room.sweep(),
                accepted = listener.accept(), if !full => match accepted {
                    Ok((stream, _)) => {
                        let crowded = present() >= self.connections.get() && !self.room.shed();
                        open.spawn_local(self.clone().connection(stream, closing.clone(), crowded));
                        // Its place counts from now on.
                        yield_now().await;
                    }
                    // No error ends the loop, out of descriptors or other: callers are waiting, and what is
                    // short comes free again.
                    Err(_) => {
                        self.room.shed();
                        sleep(STARVED).await;
                    }
                }
            }
        }
        if *stop.borrow() == Stop::HandedOver {
            self.parting.set(true);
        }
        // Callers wait there of whom the program was told nothing yet; closed over them it would reset them.
        for stream in queued(listener) {
            open.spawn_local(self.clone().connection(stream, closing.clone(), true));
        }
        loop {
            tokio::select! {
                ended = open.join_next() => if ended.is_none() { return },
                _ = sweep.tick() => self.room.sweep(),
            }
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, stop: watch::Receiver<Stop>, crowded: bool) {
        let prepared = prepare(&stream);
        let socket = Socket::new(stream);
        let watched = Watched::new(socket.clone());
        let seated = Seated::new(&self.room, watched.progress(), socket.presence());
        let seat = &seated.seat;
        seat.progress.expect_head();
        if prepared.is_err() {
            return;
        }
        if self.talk(watched, &socket, seat, stop, crowded).await {
            seat.stage.set(Stage::Parting);
            tokio::select! {
                () = socket.part() => {}
                () = seat.leave.notified() => {}
            }
        }
    }

    /// Serves a connection until it is to be closed. Tells whether something may still come on it.
    async fn talk(
        &self,
        watched: Watched<Socket>,
        socket: &Socket,
        seat: &Rc<Seat>,
        mut stop: watch::Receiver<Stop>,
        crowded: bool,
    ) -> bool {
        let service = service_fn(async |request| {
            let resting = Resting(seat.clone());
            let mut reply = self.answer(request, seat, crowded).await;
            if let Outflow::Passing(_, rests) = reply.body_mut() {
                *rests = Some(resting);
            }
            Ok::<_, Infallible>(reply)
        });
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD)
            .max_headers(MAX_HEADERS)
            .serve_connection(watched, service);
        let mut connection = pin!(connection);
        let mut left = pin!(socket.left(|| seat.stage.get() == Stage::Taken));
        let mut ending = pin!(async {
            tokio::select! {
                _ = stop.wait_for(|stop| *stop == Stop::All) => {}
                () = self.sent_away() => {}
            }
        });
        loop {
            // What has been read is looked at first, and what the system holds is asked for last: a request may have
            // come in the same moment as the reason to close its connection.
            tokio::select! {
                biased;
                _ = connection.as_mut() => return true,
                // Its request, if any, is told so as it is dropped.
                () = left.as_mut() => return true,
                () = seat.leave.notified() => {
                    seat.leaving.set(false);
                    if seat.spare() && !socket.unread() {
                        return false;
                    }
                }
                () = ending.as_mut(), if !seat.last.get() => seat.last.set(true),
                () = poll_fn(|_| if seat.last.get() && seat.rests() { Poll::Ready(()) } else { Poll::Pending }) => {
                    if !socket.unread() {
                        return true;
                    }
                    // The reactor is about to tell of it.
                    yield_now().await;
                }
            }
        }
    }

    /// Comes back once clients have been sent away for so long that idle connections are to be closed.
    async fn sent_away(&self) {
        let mut away = self.engine.away();
        // The engine outlives its connections, so that no wait here fails.
        while away.wait_for(|away| *away).await.is_ok() {
            tokio::select! {
                () = sleep(SEND_AWAY) => return,
                _ = away.wait_for(|away| !*away) => {}
            }
        }
    }

    async fn answer(&self, request: Request<Inflow>, seat: &Rc<Seat>, crowded: bool) -> Reply {
        // A request that came behind another has waited for its turn since it was read.
        let received = seat.progress.heard().unwrap_or_else(Instant::now);
        let begun = if seat.answered.get() { seat.progress.speaks() } else { Some(seat.since.get()) };
        let begun = begun.unwrap_or(received);
        seat.progress.listen();
        let away = self.engine.away();
        if request.uri().path() == "/health/ready" {
            let ready = self.engine.ready() && !*away.borrow();
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return if self.last(seat, crowded) { closing(status) } else { plain(status) };
        }
        seat.stage.set(Stage::Body);
        let mut reply = match self.read(request, seat, begun, received).await {
            Err(reply) => *reply,
            Ok(_) if self.overrun(seat) => write(Answer::Refused { retry_after: self.away() }),
            Ok((incoming, _held)) => {
                seat.stage.set(Stage::Taken);
                let _taken = Taken::new(&self.room);
                let answer = self.engine.decide(incoming).await;
                seat.served.set(seat.served.get() || matches!(answer, Answer::Served(_)));
                write(answer)
            }
        };
        if self.last(seat, crowded) {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    /// Whether an answer is to be the last on its connection.
    fn last(&self, seat: &Seat, crowded: bool) -> bool {
        crowded || seat.last.get() || *self.engine.away().borrow() || self.parting.get()
    }

    /// Whether there is no room for one more request. Places are held by callers at rest too: what is refused
    /// is work past what can be carried. Whoever was to give way and spoke just then stays, so that there may
    /// be more callers than places: where all of them had work, nobody could be taken any more to be refused
    /// at once.
    fn overrun(&self, seat: &Seat) -> bool {
        let (taken, most) = (self.room.taken.get(), self.connections.get());
        let newcomers = (most as f64 * NEWCOMERS) as usize;
        taken >= most || !seat.served.get() && taken >= newcomers
    }

    fn away(&self) -> Option<Duration> {
        let caps = &self.engine.facts().balancer.capabilities;
        caps.sends_retry_after.then(|| millis(AWAY.min(caps.max_retry_after_ms)))
    }

    /// Reads a request whole, or says what is wrong with it.
    async fn read(
        &self,
        request: Request<Inflow>,
        seat: &Rc<Seat>,
        begun: Instant,
        received: Instant,
    ) -> Result<(Incoming, Held), Box<Reply>> {
        let (head, mut body) = request.into_parts();
        let wrong = |status| Box::new(closing(status));
        let copy = seat.progress.head();
        let codings = head.headers.get_all(TRANSFER_ENCODING).iter().collect::<Vec<_>>();
        if !codings.is_empty() && !plainly_chunked(&codings, &copy) {
            return Err(wrong(StatusCode::BAD_REQUEST));
        }
        let name = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let (facts, empty) = (self.engine.facts(), body.is_end_stream());
        let mut sorted = sort(&facts, &head, name, empty)?;
        let bad = || wrong(StatusCode::BAD_REQUEST);
        let Sorted { id, patience, key, .. } = sorted.clone();
        let method = head.method.clone();
        let about = head.uri.query().and_then(|q| q.split('&').find_map(|p| p.strip_prefix("k=")));
        let about = about.filter(|k| !k.is_empty()).map(str::to_string);
        // Of two requests with one id only the first can be told from its repeat.
        let held = Held::new(&self.room, &id).ok_or_else(|| Box::new(plain(StatusCode::CONFLICT)));
        let mut held = held?;
        let uri = head.uri.path_and_query().cloned().map(Uri::from).ok_or_else(bad)?;
        let host = head.headers.get(HOST).cloned();
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > MAX_BODY) {
            return Err(wrong(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let mut pace = Pace::new(begun);
        let kept = match collect(&mut body, &mut pace, &mut held, self.bodies.get()).await {
            Ok(kept) => kept,
            Err(StatusCode::SERVICE_UNAVAILABLE) => {
                // Where it is written still, it is read on, or the caller would not get to see this.
                let (frames, _) = Flow::new(None);
                let upload = Rc::new(Upload::new(None, patience).1);
                spawn_local(take_in(body, pace, Bytes::new(), frames, upload, seat.clone()));
                return Err(Box::new(write(Answer::Refused { retry_after: self.away() })));
            }
            Err(status) => {
                log!("{} {name} broken off by its caller, {status}", printed(&id));
                return Err(wrong(status));
            }
        };
        // The settings may have changed while its body came: it is taken, now, under those in force, or not at all.
        if !Rc::ptr_eq(&facts, &self.engine.facts()) {
            sorted = sort(&self.engine.facts(), &head, name, empty)?;
        }
        let (class, tenant) = (sorted.class, sorted.tenant);
        let (body, allowance) = match kept {
            Kept::Whole(body) => (Payload::Whole(body), Duration::ZERO),
            Kept::Begun(data) => {
                let (frames, upload) = Upload::new(length, patience.saturating_sub(MARGIN));
                let upload = Rc::new(upload);
                spawn_local(take_in(body, pace, data, frames, upload.clone(), seat.clone()));
                let longest = length.unwrap_or(MAX_BODY) as f64 / RATE;
                (Payload::Passing(upload), Duration::from_secs_f64(longest) + ARRIVE)
            }
        };
        // A request's time counts from its last byte.
        let received = seat.progress.heard().map_or(received, |heard| heard.max(received));
        let call = Call { method, uri, host, id, key, body };
        let presence = seat.presence.clone();
        let there: Permit = Rc::new(move || presence.holds());
        Ok((Incoming { call, class, tenant, key: about, there, received, patience, allowance }, held))
    }
}

/// What a head says, once it is found in order.
#[derive(Clone)]
struct Sorted {
    id: HeaderValue,
    class: u16,
    tenant: u16,
    patience: Duration,
    key: Option<HeaderValue>,
}

/// Reads a head by the settings, or says what is wrong with it.
fn sort(facts: &ResolvedSettings, head: &Parts, name: &str, empty: bool) -> Result<Sorted, Box<Reply>> {
    let class = facts.site.class_names.iter().position(|c| c == name);
    let class = class.ok_or_else(|| Box::new(plain(StatusCode::NOT_FOUND)))?;
    let bad = || Box::new(closing(StatusCode::BAD_REQUEST));
    let id = one(&head.headers, "req-id").ok_or_else(bad)?.clone();
    let tenants = &facts.site.tenant_names;
    let owner = one(&head.headers, "req-owner").and_then(|o| o.to_str().ok());
    let tenant = match owner {
        _ if tenants.is_empty() => 0,
        owner => tenants.iter().position(|t| Some(t.as_str()) == owner).ok_or_else(bad)?,
    };
    let patience = one(&head.headers, "req-deadline-ms").and_then(|d| d.to_str().ok()).filter(|d| digits(d));
    let patience = patience.and_then(|d| d.parse::<u64>().ok());
    let patience = Duration::from_millis(patience.ok_or_else(bad)?.min(MAX_PATIENCE_MS));
    let key = one(&head.headers, "idempotency-key").cloned();
    let (method, keyed) = match facts.balancer.classes[class].idempotency {
        Idempotency::Idempotent => (Method::GET, None),
        Idempotency::Deduplicated { .. } => (Method::POST, Some(true)),
        Idempotency::NonIdempotent => (Method::POST, Some(false)),
    };
    if head.method != method {
        let mut reply = plain(StatusCode::METHOD_NOT_ALLOWED);
        let allow = HeaderValue::from_static(if method == Method::GET { "GET" } else { "POST" });
        reply.headers_mut().insert(ALLOW, allow);
        return Err(Box::new(reply));
    }
    if keyed.is_some_and(|k| k != key.is_some()) || keyed.is_none() && !empty {
        return Err(bad());
    }
    Ok(Sorted { id, class: class as u16, tenant: tenant as u16, patience, key })
}

/// Whether the only coding is `chunked` and no length was told beside it. The HTTP library drops such a length before
/// it can be seen, so the head is read once more as it came; where it was not seen alone, that can't be told.
fn plainly_chunked(codings: &[&HeaderValue], head: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let whole = matches!(request.parse(head), Ok(httparse::Status::Complete(_)));
    let alone = request.headers.iter().all(|h| !h.name.eq_ignore_ascii_case("content-length"));
    whole && alone && matches!(codings, [coding] if coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

/// The connections that wait at a listener, which is closed when there are no more.
fn queued(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    // The reactor knows only what it was told when it last looked: the system is asked until it says no.
    let listener = listener.into_std().ok();
    let next = move || listener.as_ref()?.accept().ok();
    let taken = |(stream, _): (std::net::TcpStream, _)| {
        stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)).ok()
    };
    std::iter::from_fn(next).filter_map(taken)
}

/// What was read of a body.
enum Kept {
    Whole(Bytes),
    /// The first of one that is too long to be kept.
    Begun(Bytes),
}

/// Reads a body as far as it is kept. One that passes through takes as much of the memory for bodies.
async fn collect(
    body: &mut Inflow,
    pace: &mut Pace,
    held: &mut Held,
    most: usize,
) -> Result<Kept, StatusCode> {
    let mut bytes = BytesMut::new();
    let mut long = body.size_hint().lower() > KEPT as u64;
    while !long && let Some(data) = pace.next(body).await? {
        if !held.grow(data.len(), most) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        bytes.extend_from_slice(&data);
        long = bytes.len() > KEPT;
    }
    if long && !held.grow(KEPT.saturating_sub(bytes.len()), most) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let bytes = bytes.freeze();
    Ok(if long { Kept::Begun(bytes) } else { Kept::Whole(bytes) })
}

/// Passes a body on as it comes. When nobody wants it any more it is read to its end all the same: the caller, which
/// may be writing still, is to see its answer.
async fn take_in(body: Inflow, pace: Pace, first: Bytes, frames: Frames, upload: Rc<Upload>, seat: Rc<Seat>) {
    // Meanwhile what is heard is no new head, whose time would run out.
    seat.reading.set(true);
    upload.end(pass_on(body, pace, first, frames).await);
    seat.progress.listen();
    seat.reading.set(false);
}

async fn pass_on(
    mut body: Inflow,
    mut pace: Pace,
    first: Bytes,
    frames: Frames,
) -> Result<Instant, StatusCode> {
    let (mut data, mut length, mut wanted) = (Some(first), 0, true);
    loop {
        length += data.as_ref().map_or(0, Bytes::len) as u64;
        if length > MAX_BODY {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let last = data.is_none();
        if last || data.as_ref().is_some_and(|data| !data.is_empty()) {
            wanted = wanted && frames.send(data).await.is_ok();
        }
        if last {
            return Ok(Instant::now());
        }
        data = pace.next(&mut body).await?;
    }
}

/// A request that is owed an answer, counted.
struct Taken<'a>(&'a Room);

impl<'a> Taken<'a> {
    fn new(room: &'a Room) -> Self {
        room.taken.set(room.taken.get() + 1);
        Taken(room)
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
    }
}

/// An id as it is logged.
pub fn printed(id: &HeaderValue) -> &str {
    id.to_str().unwrap_or("?")
}

/// Whether a text is a number without a sign.
fn digits(text: &str) -> bool {
    text.bytes().all(|b| b.is_ascii_digit())
}

/// A header that must come once, and not empty.
fn one<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|v| !v.is_empty() && values.next().is_none())
}

fn plain(status: StatusCode) -> Reply {
    let mut reply = Response::new(Outflow::Whole(Full::default()));
    *reply.status_mut() = status;
    reply
}

/// An answer to what can't be used, after which nothing more is read.
fn closing(status: StatusCode) -> Reply {
    let mut reply = plain(status);
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

fn write(answer: Answer) -> Reply {
    match answer {
        Answer::Served(Content::Whole(body)) => Response::new(Outflow::Whole(Full::new(body))),
        Answer::Served(Content::Passing(flow)) => Response::new(Outflow::Passing(flow, None)),
        Answer::Broken(status) => closing(status),
        Answer::Refused { retry_after } => {
            let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE);
            let seconds = retry_after.map(|d| format!("{:.3}", d.as_secs_f64()));
            if let Some(value) = seconds.and_then(|s| HeaderValue::try_from(s).ok()) {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
            reply
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY),
        Answer::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT),
    }
}
