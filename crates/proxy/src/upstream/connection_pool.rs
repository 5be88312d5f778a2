//! The pool of connections to all backends.

use super::connection::Connection;
use super::repeat_filter::{DistinctRun, FilterMemory, MAX_REMEMBERED_BYTES, RepeatFilter, RepeatHistory};
use crate::memory::MemoryBudget;
use crate::transport::SendGuard;
use foldhitch_balancer::api::Outcome;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout};

/// The fraction of the backends' idle timeout after which idle connections are closed.
const MAX_IDLE_FRACTION: f64 = 0.5;

/// One process of a backend: its address, and since when it is known to be draining or stopped.
pub struct Endpoint {
    /// Identifies the endpoint within the pool. Another process may have the same address later.
    number: u64,
    /// The address of the process.
    pub address: SocketAddr,
    /// When the process started according to discovery, in Unix milliseconds.
    pub started_at_ms: f64,
    /// When this proxy was notified that the process accepts no new requests.
    pub draining_since: Cell<Option<Instant>>,
    /// Whether the process sends copies of its responses.
    pub(super) repeat_history: Rc<RepeatHistory>,
}

impl Endpoint {
    /// Returns whether the process accepts no new requests.
    pub fn is_draining(&self) -> bool {
        self.draining_since.get().is_some()
    }
}

/// The memory limits for the responses of backends.
#[derive(Debug, Clone, Copy)]
pub struct ResponseMemory {
    /// The maximum number of bytes of responses that are being buffered. A response beyond it is streamed.
    pub buffered_bytes: usize,
    /// The maximum number of bytes of remembered responses. A connection that can't remember its last response is
    /// closed.
    pub remembered_bytes: usize,
}

/// The limits of the pool.
#[derive(Clone, Copy)]
pub struct PoolLimits {
    /// The initial memory limits.
    pub memory: ResponseMemory,
    /// The maximum number of bytes that are read from a connection at once.
    pub read_bytes: usize,
    /// The initial maximum number of connections.
    pub connections: usize,
    /// How long a connect may take before it fails.
    pub connect_timeout: Duration,
    /// The idle timeout of the backends.
    pub idle_timeout: Duration,
    /// How long after the notification of a drain a request may still be sent.
    pub drain_deadline: Duration,
}

/// The pool of connections to all backends.
pub struct ConnectionPool {
    limits: Cell<PoolLimits>,
    next_endpoint_number: Cell<u64>,
    /// Idle connections by the endpoint's number, least recently used first.
    idle: RefCell<HashMap<u64, Vec<IdleConnection>>>,
    permits: Arc<Semaphore>,
    /// The number of permits, both available and in use.
    permit_count: Cell<usize>,
    /// How often the tier's backends send equal responses to different requests.
    distinct_run: Rc<DistinctRun>,
    /// The memory of responses that are being buffered.
    buffered: Arc<MemoryBudget>,
    /// The memory of the responses that connections remember.
    remembered: Arc<MemoryBudget>,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(limits: PoolLimits) -> Self {
        ConnectionPool {
            limits: Cell::new(limits),
            next_endpoint_number: Cell::default(),
            idle: RefCell::default(),
            permits: Arc::new(Semaphore::new(limits.connections)),
            permit_count: Cell::new(limits.connections),
            distinct_run: Rc::default(),
            buffered: MemoryBudget::new(limits.memory.buffered_bytes),
            remembered: MemoryBudget::new(limits.memory.remembered_bytes),
        }
    }

    /// Changes the maximum number of connections. Removes permits as far as they are available or held by
    /// idle connections. Returns whether the new size is reached; permits in use become available later.
    pub fn resize(&self, connections: usize) -> bool {
        let permit_count = self.permit_count.get();
        if connections >= permit_count {
            self.permits.add_permits(connections - permit_count);
            self.permit_count.set(connections);
            return true;
        }
        let surplus = permit_count - connections;
        let removed = self.permits.forget_permits(surplus);
        self.permit_count.set(permit_count - removed);
        for _ in removed..surplus {
            // A permit becomes available a moment after its connection was closed.
            if !self.evict_oldest_idle() {
                break;
            }
        }
        removed == surplus
    }

    /// Changes the memory limits.
    pub fn set_memory(&self, memory: ResponseMemory) {
        self.buffered.set_limit(memory.buffered_bytes);
        self.remembered.set_limit(memory.remembered_bytes);
    }

    /// Returns the memory of responses that are being buffered.
    pub(super) fn buffered(&self) -> &Arc<MemoryBudget> {
        &self.buffered
    }

    /// Changes the timeouts. The number of connections is changed by [`resize`](Self::resize).
    pub fn set_timeouts(&self, connect_timeout: Duration, idle_timeout: Duration, drain_deadline: Duration) {
        let limits = self.limits.get();
        self.limits.set(PoolLimits { connect_timeout, idle_timeout, drain_deadline, ..limits });
    }

    /// Returns how long after the notification of a drain a request may still be sent.
    pub fn drain_deadline(&self) -> Duration {
        self.limits.get().drain_deadline
    }

    /// Creates an endpoint for a process of a backend.
    pub fn create_endpoint(&self, address: SocketAddr, started_at_ms: f64) -> Endpoint {
        let number = self.next_endpoint_number.get();
        self.next_endpoint_number.set(number + 1);
        let draining_since = Cell::new(None);
        let repeat_history = Rc::new(RepeatHistory::new(address, self.distinct_run.clone()));
        Endpoint { number, address, started_at_ms, draining_since, repeat_history }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: &Endpoint) {
        self.idle.borrow_mut().remove(&endpoint.number);
    }

    /// Closes connections that have been idle for too long. Backends close idle connections too, and a
    /// request that crosses such a close would be reset, which leaves open whether it ran. The pool therefore
    /// closes them clearly earlier than the backends do.
    pub fn close_expired_idle(&self) {
        let max_idle_time = self.max_idle_time();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| {
                !idle.connection.sender.is_closed() && idle.idle_since.elapsed() < max_idle_time
            });
            !connections.is_empty()
        });
    }

    fn max_idle_time(&self) -> Duration {
        self.limits.get().idle_timeout.mul_f64(MAX_IDLE_FRACTION)
    }

    /// Takes the most recently used of the open idle connections, so that the others can expire.
    pub(super) fn take_idle(&self, endpoint: &Endpoint) -> Option<Connection> {
        let max_idle_time = self.max_idle_time();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint.number)?;
        let now = Instant::now();
        connections
            .retain(|idle| idle.connection.is_usable(now) && idle.idle_since.elapsed() < max_idle_time);
        let newest = connections.iter().rposition(|idle| !idle.connection.is_cooling_down(now))?;
        Some(connections.remove(newest).connection)
    }

    /// Keeps a connection for another request if it can carry one.
    pub(super) fn keep_idle(&self, endpoint: &Endpoint, connection: Connection) {
        let now = Instant::now();
        if self.remembered.available_bytes() < MAX_REMEMBERED_BYTES {
            // Its memory is released a moment later.
            self.evict_oldest_idle();
        }
        if endpoint.is_draining() || !connection.is_usable(now) {
            return;
        }
        let idle = IdleConnection { connection, idle_since: now };
        self.idle.borrow_mut().entry(endpoint.number).or_default().push(idle);
    }

    /// Closes the connection that has been idle longest, of any backend.
    fn evict_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest_of_endpoint = |(number, connections): (&u64, &Vec<IdleConnection>)| {
            Some((connections.first()?.idle_since, *number))
        };
        let oldest = idle.iter().filter_map(oldest_of_endpoint).min();
        let Some(connections) = oldest.and_then(|(_, number)| idle.get_mut(&number)) else { return false };
        connections.remove(0);
        true
    }

    /// Acquires a permit for a connection. If none is available, the oldest idle connection is evicted. Its
    /// permit takes a moment to become available and is waited for, since without the wait many requests
    /// would be rejected at once.
    async fn acquire_permit(&self) -> Result<OwnedSemaphorePermit, Outcome> {
        let permit = match self.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                self.evict_oldest_idle();
                let permit = self.permits.clone().acquire_owned();
                let permit = timeout(self.limits.get().connect_timeout, permit).await;
                // Without a permit the request is not sent, which says nothing about the backend.
                permit.ok().and_then(Result::ok).ok_or(Outcome::NotSent)?
            }
        };
        if self.permits.available_permits() == 0 {
            self.evict_oldest_idle();
        }
        Ok(permit)
    }

    /// Opens a connection if the guard still allows it once there is a permit.
    pub(super) async fn connect(
        &self,
        endpoint: &Endpoint,
        guard: &SendGuard,
    ) -> Result<Connection, Outcome> {
        let permit = self.acquire_permit().await?;
        if !guard() {
            return Err(Outcome::NotSent);
        }
        let stream = timeout(self.limits.get().connect_timeout, TcpStream::connect(endpoint.address)).await;
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if is_out_of_descriptors(&error) => return Err(Outcome::NotSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        let memory = FilterMemory {
            held: self.buffered.reservation(),
            current: self.buffered.reservation(),
            remembered: self.remembered.reservation(),
        };
        let filter = RepeatFilter::new(&endpoint.repeat_history, memory);
        let read_bytes = self.limits.get().read_bytes;
        Connection::new(stream, permit, filter, endpoint.repeat_history.clone(), read_bytes).await
    }
}

/// Returns whether the process or the machine has no file descriptor left.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ENFILE | libc::EMFILE))
}
