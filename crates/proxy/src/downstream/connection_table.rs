//! The table of client connections: the state of each, and which of them to evict for another.

use crate::memory::{MemoryBudget, MemoryReservation};
use crate::process_group::RequestIds;
use crate::transport::{ClientLiveness, StreamProgress};
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time limit for receiving a complete head: from its first byte, or from the connect for the first head of a
/// connection. Clients may take [`MAX_CLIENT_HEAD_TIME`]; a client that sends nothing or never completes its
/// head must get an answer or a close within 3 s.
pub(super) const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// The time that a client may take to send its head.
const MAX_CLIENT_HEAD_TIME: Duration = Duration::from_secs(2);
/// The time that a client may take from its connect to the first byte of its first request.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);
/// The number of new or sending connections that is usual at one time. More of them count as a burst.
const MAX_EXPECTED_ARRIVALS: usize = 4;
/// The time that a connection may be idle between requests while the connection limit is not reached.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The reason for an eviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EvictionPurpose {
    /// A new connection needs room. Only connections that can be closed without harm are evicted.
    NewConnection,
    /// A connection over the limit was served and is to be kept. In a burst, a new connection may be evicted
    /// too.
    ServedConnection,
    /// No connection can be accepted. Any connection that can be closed without loss may be evicted.
    BlockedListener,
}

/// The kind of a connection that has no request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleKind {
    /// It is being closed already.
    Closing,
    /// Its time limit for the first byte or for the head has passed.
    Stalled,
    /// Its earlier requests were answered but never served, and it sends nothing.
    Rejected,
    /// An earlier request was served, and it sends nothing.
    Served,
    /// It has just connected and sent nothing yet: its request may be in transit.
    New,
    /// It is sending a head or a body within the time allowed for it.
    Sending,
    /// It is new or sending, and was accepted over the connection limit.
    OverLimit,
}

/// The phase of a connection's current request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestPhase {
    /// There is no request, or its head is not complete.
    Idle,
    /// Its body is being read.
    ReadingBody,
    /// The request was dispatched, and its answer is pending.
    InFlight,
    /// There will be no further request: the connection is in its lingering close.
    Closing,
}

/// The state of a client connection.
pub(super) struct ConnectionState {
    pub(super) phase: Cell<RequestPhase>,
    /// Whether a streamed body is still being read, whether or not its request was answered.
    pub(super) is_reading_body: Cell<bool>,
    /// Whether a request was read that gives other clients a turn first.
    pub(super) is_request_waiting: Cell<bool>,
    /// When the client connected, or when its last answer ended.
    pub(super) last_active_at: Cell<Instant>,
    /// Whether the connection was accepted over the connection limit: it is closed after its next answer.
    pub(super) is_over_limit: Cell<bool>,
    /// Whether any request was answered.
    pub(super) was_answered: Cell<bool>,
    /// Whether any request was answered with a backend's response.
    pub(super) was_served: Cell<bool>,
    pub(super) progress: Rc<StreamProgress>,
    pub(super) liveness: ClientLiveness,
    /// Whether the connection is to be closed after its next answer.
    pub(super) closes_after_answer: Cell<bool>,
    /// Whether a close was requested that the connection's task has not handled yet.
    pub(super) is_close_requested: Cell<bool>,
    pub(super) close_request: Notify,
}

impl ConnectionState {
    /// Returns whether the connection can be closed without losing an accepted request or an answer.
    pub(super) fn can_be_closed(&self) -> bool {
        !self.has_unfinished_answer() && !self.is_reading_body.get() && !self.is_close_requested.get()
    }

    /// Returns whether an answer is pending, or is not written completely.
    fn has_unfinished_answer(&self) -> bool {
        self.phase.get() == RequestPhase::InFlight || self.progress.has_unsent()
    }

    /// Returns whether a body is still being read whose end only the HTTP library can determine. The next
    /// head could not be separated from such a body.
    pub(super) fn is_next_head_uncertain(&self) -> bool {
        self.is_reading_body.get() && !self.progress.is_body_end_known()
    }

    /// Returns whether the connection may be evicted. A connection that was asked to close before is not
    /// asked again.
    fn can_be_evicted(&self) -> bool {
        let is_close_announced = self.closes_after_answer.get() && self.phase.get() != RequestPhase::Closing;
        self.can_be_closed() && !is_close_announced
    }

    fn idle_kind(&self) -> IdleKind {
        match self.kind_within_limit() {
            IdleKind::New | IdleKind::Sending if self.is_over_limit.get() => IdleKind::OverLimit,
            kind => kind,
        }
    }

    fn kind_within_limit(&self) -> IdleKind {
        if self.phase.get() == RequestPhase::Closing {
            return IdleKind::Closing;
        }
        // The task that reads the body enforces its deadline.
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

    /// Returns whether no byte of a request has been received and the connection can be closed.
    pub(super) fn is_idle(&self) -> bool {
        let is_read_pending = self.progress.is_read_pending();
        self.phase.get() == RequestPhase::Idle
            && is_read_pending
            && !self.is_sending()
            && self.can_be_closed()
    }

    /// Returns whether the current request's body is incomplete or a part of the next request has been
    /// received.
    fn is_sending(&self) -> bool {
        self.phase.get() == RequestPhase::ReadingBody || self.progress.first_byte_at().is_some()
    }

    /// Returns whether the time limit for the next head, or for being idle, has passed.
    fn is_overdue(&self) -> bool {
        // Requests whose head is complete have time limits of their own.
        if self.phase.get() != RequestPhase::Idle {
            return false;
        }
        match (self.was_answered.get(), self.progress.first_byte_at()) {
            (false, _) => self.last_active_at.get().elapsed() > REQUEST_READ_TIMEOUT,
            (true, Some(first_byte_at)) => first_byte_at.elapsed() > REQUEST_READ_TIMEOUT,
            (true, None) => self.last_active_at.get().elapsed() > IDLE_TIMEOUT,
        }
    }

    /// Returns since when the connection has been idle. A sending connection counts as idle only after the
    /// time allowed for a head.
    fn idle_since(&self) -> Instant {
        let grace = if self.is_sending() { MAX_CLIENT_HEAD_TIME } else { Duration::ZERO };
        self.last_active_at.get() + grace
    }

    /// Asks the connection's task to close the connection.
    pub(super) fn request_close(&self) {
        self.is_close_requested.set(true);
        self.close_request.notify_one();
    }
}

/// The client connections, and the resources that their requests hold.
pub struct ConnectionTable {
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_connection_id: Cell<u64>,
    /// The ids of the open requests.
    request_ids: RefCell<HashSet<HeaderValue>>,
    /// The number of requests whose answer is pending.
    in_flight: Cell<usize>,
    /// The memory for bodies of open requests.
    body_memory: Arc<MemoryBudget>,
    /// The memory for heads that are longer than usual.
    head_memory: Arc<MemoryBudget>,
}

impl ConnectionTable {
    /// Creates an empty table. Bodies of open requests may reserve up to `max_body_bytes`, long
    /// heads up to `max_head_bytes`.
    pub(super) fn new(max_body_bytes: usize, max_head_bytes: usize) -> Self {
        ConnectionTable {
            connections: RefCell::default(),
            next_connection_id: Cell::default(),
            request_ids: RefCell::default(),
            in_flight: Cell::default(),
            body_memory: MemoryBudget::new(max_body_bytes),
            head_memory: MemoryBudget::new(max_head_bytes),
        }
    }

    /// Changes the numbers of bytes that bodies of open requests and long heads may reserve.
    pub(super) fn set_memory_limits(&self, max_body_bytes: usize, max_head_bytes: usize) {
        self.body_memory.set_limit(max_body_bytes);
        self.head_memory.set_limit(max_head_bytes);
    }

    /// Returns the memory for bodies of open requests.
    pub(super) fn body_memory(&self) -> &Arc<MemoryBudget> {
        &self.body_memory
    }

    /// Returns the memory for heads that are longer than usual.
    pub(super) fn head_memory(&self) -> &Arc<MemoryBudget> {
        &self.head_memory
    }

    /// Returns the number of connections.
    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns the number of requests whose answer is pending.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns whether an answer is pending or not written completely, or its connection is in its lingering
    /// close.
    pub(super) fn has_unfinished_answer(&self) -> bool {
        let is_unfinished = |connection: &Rc<ConnectionState>| {
            connection.has_unfinished_answer() || connection.phase.get() == RequestPhase::Closing
        };
        self.connections.borrow().values().any(is_unfinished)
    }

    /// Requests the close of a connection that may be evicted for this purpose, and returns its kind. Returns
    /// `None` if there is none.
    pub(super) fn evict_idle_connection(&self, purpose: EvictionPurpose) -> Option<IdleKind> {
        let connections = self.connections.borrow();
        let candidates: Vec<_> =
            connections.values().filter(|connection| connection.can_be_evicted()).collect();
        let (connection, kind) = choose_eviction(&candidates, purpose)?;
        connection.request_close();
        Some(kind)
    }

    /// Requests the close of all overdue connections that can be closed without loss.
    pub(super) fn close_overdue(&self) {
        for connection in self.connections.borrow().values() {
            if connection.can_be_closed() && connection.is_overdue() {
                connection.request_close();
            }
        }
    }
}

/// Chooses the connection to evict: the one that has been idle longest among the first kind that is present.
fn choose_eviction<'a>(
    candidates: &[&'a Rc<ConnectionState>],
    purpose: EvictionPurpose,
) -> Option<(&'a Rc<ConnectionState>, IdleKind)> {
    let of_kind = |kind| candidates.iter().copied().filter(move |connection| connection.idle_kind() == kind);
    let arriving_kinds = [IdleKind::New, IdleKind::Sending, IdleKind::OverLimit];
    let arriving: usize = arriving_kinds.into_iter().map(|kind| of_kind(kind).count()).sum();
    let is_burst = arriving > MAX_EXPECTED_ARRIVALS;
    eviction_order(purpose, is_burst).iter().find_map(|&kind| {
        let oldest = of_kind(kind).min_by_key(|connection| connection.idle_since())?;
        Some((oldest, kind))
    })
}

/// Returns the kinds of connections that may be evicted, in order of preference. In a burst, served
/// connections are evicted last or not at all. New and sending connections are evicted only if room must be
/// made, those over the limit before the others: they would take the place of requests that are nearly there.
fn eviction_order(purpose: EvictionPurpose, is_burst: bool) -> &'static [IdleKind] {
    use IdleKind::{Closing, New, OverLimit, Rejected, Sending, Served, Stalled};
    match (purpose, is_burst) {
        (EvictionPurpose::NewConnection, false) => &[Closing, Stalled, Rejected, Served],
        (EvictionPurpose::NewConnection, true) => &[Closing, Stalled, Rejected],
        (EvictionPurpose::ServedConnection, false) => &[Closing, Stalled, Rejected],
        (EvictionPurpose::ServedConnection, true) => &[Closing, Stalled, Rejected, New],
        (EvictionPurpose::BlockedListener, false) => {
            &[Closing, Stalled, Rejected, Served, OverLimit, New, Sending]
        }
        (EvictionPurpose::BlockedListener, true) => {
            &[Closing, Stalled, Rejected, OverLimit, New, Sending, Served]
        }
    }
}

/// A registered connection, which is removed from the table when the guard is dropped.
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
            is_request_waiting: Cell::new(false),
            last_active_at: Cell::new(Instant::now()),
            is_over_limit: Cell::new(false),
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

/// Marks the current request as answered when dropped.
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

/// The id of an open request and the memory reserved for streaming its body. Both are released when the guard
/// is dropped.
pub(super) struct RequestIdGuard {
    table: Rc<ConnectionTable>,
    id: HeaderValue,
    pub(super) stream_memory: MemoryReservation,
    /// The claim of the id, if the request must not run twice.
    claim: Option<RequestIdClaim>,
}

impl RequestIdGuard {
    /// Registers the id. Returns `None` if a request with this id is open already.
    pub(super) fn new(table: &Rc<ConnectionTable>, id: &HeaderValue) -> Option<Self> {
        if !table.request_ids.borrow_mut().insert(id.clone()) {
            return None;
        }
        let stream_memory = table.body_memory.reservation();
        Some(RequestIdGuard { table: table.clone(), id: id.clone(), stream_memory, claim: None })
    }
}

impl RequestIdGuard {
    /// Claims the id for a request that must not run twice. Returns `None` if that is not possible.
    pub(super) fn claim(&mut self, request_ids: &Rc<RequestIds>) -> Option<()> {
        self.claim = Some(RequestIdClaim::new(request_ids, &self.id)?);
        Some(())
    }

    /// Sets whether the id must not be used again after the request.
    pub(super) fn keep_claim(&mut self, is_kept: bool) {
        if let Some(claim) = &mut self.claim {
            claim.keep(is_kept);
        }
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.table.request_ids.borrow_mut().remove(&self.id);
    }
}

/// The claim of the id of a request that must not run twice. Without [`keep`](Self::keep) the id may be used
/// again once the claim is dropped.
struct RequestIdClaim {
    request_ids: Rc<RequestIds>,
    id: HeaderValue,
    is_kept: bool,
}

impl RequestIdClaim {
    /// Claims an id. Returns `None` if a request with this id was or may have been sent.
    fn new(request_ids: &Rc<RequestIds>, id: &HeaderValue) -> Option<Self> {
        let is_claimed = request_ids.claim(id.as_bytes());
        is_claimed.then(|| RequestIdClaim {
            request_ids: request_ids.clone(),
            id: id.clone(),
            is_kept: false,
        })
    }

    /// Sets whether the id must not be used again, because its request may be sent.
    fn keep(&mut self, is_kept: bool) {
        self.is_kept = is_kept;
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        if !self.is_kept {
            self.request_ids.release(self.id.as_bytes());
        }
    }
}

/// Counts a request as in flight until it is dropped.
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
