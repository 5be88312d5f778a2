//! The clients' connections, what each is doing, and which can give way to another.

use crate::transport::{ClientLiveness, StreamProgress};
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A head must have come completely so long after its first byte, a connection's first head so long after the
/// connect: clients may take [`MAX_CLIENT_HEAD_TIME`] for it, and who sends nothing, or sends for ever, is to get an answer or
/// a close within 3 s.
pub(super) const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// So long a client may take for its head.
const MAX_CLIENT_HEAD_TIME: Duration = Duration::from_secs(2);
/// The first request of a client may come so long after its connect.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);
/// So many connections whose request is on its way are expected at once; more of them are a crowd.
const MAX_EXPECTED_ARRIVALS: usize = 4;
/// A connection may be idle so long between requests, while there is space for others.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// What a place is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EvictionPurpose {
    /// A connection that comes: only who need not stay gives way.
    NewConnection,
    /// A connection that was served and would have to close: one of a crowd gives way, too.
    ServedConnection,
    /// Nothing can be accepted: whoever can be closed without loss gives way.
    BlockedListener,
}

/// What a connection without a request has done so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleKind {
    /// It is closing anyway.
    Closing,
    /// It has had the time for its first byte, or for its head.
    Stalled,
    /// It was rejected before, and sends nothing.
    Rejected,
    /// It was served before, and sends nothing.
    Served,
    /// It came lately and has sent nothing: its request may be on its way.
    New,
    /// It sends a head or a body, within the time for that.
    Sending,
}

/// What has become of a connection's present request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestPhase {
    /// There is none, or its head has not come completely.
    Idle,
    /// Its body is being read.
    ReadingBody,
    /// Its answer is pending.
    InFlight,
    /// There will be none: the connection is closed, but for what is still read on it.
    Closing,
}

/// A client's connection.
pub(super) struct ConnectionState {
    pub(super) phase: Cell<RequestPhase>,
    /// A streamed body is still being read, be its request answered or not.
    pub(super) is_reading_body: Cell<bool>,
    /// When it connected, or had its last answer.
    pub(super) last_active_at: Cell<Instant>,
    /// It has had an answer of some kind.
    pub(super) was_answered: Cell<bool>,
    /// It was served with a backend's response.
    pub(super) was_served: Cell<bool>,
    pub(super) progress: Rc<StreamProgress>,
    pub(super) liveness: ClientLiveness,
    /// Its next answer is the last one.
    pub(super) closes_after_answer: Cell<bool>,
    pub(super) is_close_requested: Cell<bool>,
    pub(super) close_request: Notify,
}

impl ConnectionState {
    /// Whether closing the connection takes away nothing that was accepted or answered.
    pub(super) fn can_be_closed(&self) -> bool {
        self.phase.get() != RequestPhase::InFlight
            && !self.is_reading_body.get()
            && !self.progress.has_unsent()
            && !self.is_close_requested.get()
    }

    /// Whether a body is still being read whose end is seen only by the HTTP library: the head behind it could not be
    /// told from it.
    pub(super) fn is_next_head_uncertain(&self) -> bool {
        self.is_reading_body.get() && !self.progress.is_body_end_known()
    }

    /// Whether the connection may be asked to give way to another; not again if it was asked before.
    fn can_be_evicted(&self) -> bool {
        let is_close_announced = self.closes_after_answer.get() && self.phase.get() != RequestPhase::Closing;
        self.can_be_closed() && !is_close_announced
    }

    fn idle_kind(&self) -> IdleKind {
        if self.phase.get() == RequestPhase::Closing {
            return IdleKind::Closing;
        }
        // Whoever reads the body ends it when its time is over.
        if self.phase.get() == RequestPhase::ReadingBody {
            return IdleKind::Sending;
        }
        if let Some(first_byte_at) = self.progress.first_byte_at() {
            let is_on_time = first_byte_at.elapsed() < MAX_CLIENT_HEAD_TIME;
            return if is_on_time { IdleKind::Sending } else { IdleKind::Stalled };
        }
        if self.was_served.get() {
            IdleKind::Served
        } else if self.was_answered.get() {
            IdleKind::Rejected
        } else if self.last_active_at.get().elapsed() < FIRST_REQUEST_GRACE {
            IdleKind::New
        } else {
            IdleKind::Stalled
        }
    }

    /// Whether nothing of a request has come.
    pub(super) fn is_idle(&self) -> bool {
        let is_read_pending = self.progress.is_read_pending();
        self.phase.get() == RequestPhase::Idle
            && is_read_pending
            && !self.is_sending()
            && self.can_be_closed()
    }

    /// Whether something of its next request has come, or not all of the present one.
    fn is_sending(&self) -> bool {
        self.phase.get() == RequestPhase::ReadingBody || self.progress.first_byte_at().is_some()
    }

    /// Whether it has had the time that it may take.
    fn is_overdue(&self) -> bool {
        // Requests whose head has come have limits of their own.
        if self.phase.get() != RequestPhase::Idle {
            return false;
        }
        match (self.was_answered.get(), self.progress.first_byte_at()) {
            (false, _) => self.last_active_at.get().elapsed() > REQUEST_READ_TIMEOUT,
            (true, Some(first_byte_at)) => first_byte_at.elapsed() > REQUEST_READ_TIMEOUT,
            (true, None) => self.last_active_at.get().elapsed() > IDLE_TIMEOUT,
        }
    }

    /// Since when it has been idle; one that is sending has time for that first.
    fn idle_since(&self) -> Instant {
        let grace = if self.is_sending() { MAX_CLIENT_HEAD_TIME } else { Duration::ZERO };
        self.last_active_at.get() + grace
    }

    pub(super) fn request_close(&self) {
        self.is_close_requested.set(true);
        self.close_request.notify_one();
    }
}

/// The clients' connections, and what their requests hold.
#[derive(Default)]
pub struct ConnectionTable {
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_connection_id: Cell<u64>,
    /// Ids of the requests that are open.
    request_ids: RefCell<HashSet<HeaderValue>>,
    /// Requests whose answer is pending.
    in_flight: Cell<usize>,
    /// Bytes of their bodies.
    buffered_bytes: Cell<usize>,
}

impl ConnectionTable {
    /// How many connections there are.
    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Requests whose answer is pending.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Asks for the close of a connection that can be closed without loss, if there is one that may give way now.
    pub(super) fn evict_idle_connection(&self, purpose: EvictionPurpose) -> Option<IdleKind> {
        let connections = self.connections.borrow();
        let candidates: Vec<_> =
            connections.values().filter(|connection| connection.can_be_evicted()).collect();
        let (connection, kind) = choose_eviction(&candidates, purpose)?;
        connection.request_close();
        Some(kind)
    }

    /// Asks for the close of connections that have had the time that they may take.
    pub(super) fn close_overdue(&self) {
        for connection in self.connections.borrow().values() {
            if connection.can_be_closed() && connection.is_overdue() {
                connection.request_close();
            }
        }
    }
}

/// Which connection gives way, and what kind it is: the oldest of the first kind that there is.
fn choose_eviction<'a>(
    candidates: &[&'a Rc<ConnectionState>],
    purpose: EvictionPurpose,
) -> Option<(&'a Rc<ConnectionState>, IdleKind)> {
    let of_kind = |kind| candidates.iter().copied().filter(move |connection| connection.idle_kind() == kind);
    let arriving = of_kind(IdleKind::New).count() + of_kind(IdleKind::Sending).count();
    let is_burst = arriving > MAX_EXPECTED_ARRIVALS;
    eviction_order(purpose, is_burst).iter().find_map(|&kind| {
        let oldest = of_kind(kind).min_by_key(|connection| connection.idle_since())?;
        Some((oldest, kind))
    })
}

/// Which kinds of connections give way, the first of them first. One that was served stays where a crowd comes; who
/// arrives or sends gives way only if somebody must.
fn eviction_order(purpose: EvictionPurpose, is_burst: bool) -> &'static [IdleKind] {
    use IdleKind::{Closing, New, Rejected, Sending, Served, Stalled};
    match (purpose, is_burst) {
        (EvictionPurpose::NewConnection, false) => &[Closing, Stalled, Rejected, Served],
        (EvictionPurpose::NewConnection, true) => &[Closing, Stalled, Rejected],
        (EvictionPurpose::ServedConnection, false) => &[Closing, Stalled, Rejected],
        (EvictionPurpose::ServedConnection, true) => &[Closing, Stalled, Rejected, New],
        (EvictionPurpose::BlockedListener, false) => &[Closing, Stalled, Rejected, Served, New, Sending],
        (EvictionPurpose::BlockedListener, true) => &[Closing, Stalled, Rejected, New, Sending, Served],
    }
}

/// A connection in the table; removed when this is dropped.
pub(super) struct ConnectionGuard {
    table: Rc<ConnectionTable>,
    id: u64,
    pub(super) state: Rc<ConnectionState>,
}

impl ConnectionGuard {
    pub(super) fn new(
        table: &Rc<ConnectionTable>,
        progress: Rc<StreamProgress>,
        liveness: ClientLiveness,
    ) -> Self {
        let id = table.next_connection_id.get();
        table.next_connection_id.set(id + 1);
        let state = Rc::new(ConnectionState {
            phase: Cell::new(RequestPhase::Idle),
            is_reading_body: Cell::new(false),
            last_active_at: Cell::new(Instant::now()),
            was_answered: Cell::new(false),
            was_served: Cell::new(false),
            progress,
            liveness,
            closes_after_answer: Cell::new(false),
            is_close_requested: Cell::new(false),
            close_request: Notify::new(),
        });
        table.connections.borrow_mut().insert(id, state.clone());
        ConnectionGuard { table: table.clone(), id, state }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(&self.id);
    }
}

/// A request has had its answer once this is dropped.
pub(super) struct ResponseGuard(pub(super) Rc<ConnectionState>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        let connection = &self.0;
        connection.phase.set(RequestPhase::Idle);
        connection.progress.expect_message();
        connection.progress.expect_head();
        connection.last_active_at.set(Instant::now());
        connection.was_answered.set(true);
    }
}

/// An open request's id, and the bytes that its body holds; both are given back when this is dropped.
pub(super) struct RequestIdGuard {
    table: Rc<ConnectionTable>,
    id: HeaderValue,
    bytes: usize,
}

impl RequestIdGuard {
    /// None if a request with this id is open.
    pub(super) fn new(table: &Rc<ConnectionTable>, id: &HeaderValue) -> Option<Self> {
        if !table.request_ids.borrow_mut().insert(id.clone()) {
            return None;
        }
        Some(RequestIdGuard { table: table.clone(), id: id.clone(), bytes: 0 })
    }

    /// Reserves more bytes for the body; false if all requests would then hold more than `limit`.
    pub(super) fn reserve(&mut self, bytes: usize, limit: usize) -> bool {
        let total = self.table.buffered_bytes.get() + bytes;
        if total > limit {
            return false;
        }
        self.table.buffered_bytes.set(total);
        self.bytes += bytes;
        true
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.table.request_ids.borrow_mut().remove(&self.id);
        self.table.buffered_bytes.set(self.table.buffered_bytes.get() - self.bytes);
    }
}

/// Counts a request whose answer is pending.
pub(super) struct InFlightGuard<'a>(&'a ConnectionTable);

impl<'a> InFlightGuard<'a> {
    pub(super) fn new(table: &'a ConnectionTable) -> Self {
        table.in_flight.set(table.in_flight.get() + 1);
        InFlightGuard(table)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
