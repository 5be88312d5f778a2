//! The connections to all backends.

use super::connection::Connection;
use super::repeat_filter::{DistinctRun, RepeatHistory};
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

/// Idle connections are closed at this share of the time after which backends close them.
const MAX_IDLE_FRACTION: f64 = 0.5;

/// One process of a backend: where it is reached, and since when it is known to drain or be gone.
pub struct Endpoint {
    /// Its number in the pool. Another process may be reached at the same address.
    number: u64,
    /// Its address.
    pub address: SocketAddr,
    /// When its process started, as discovery tells it: Unix time in milliseconds.
    pub started_at_ms: f64,
    /// When this proxy was notified that it takes nothing new.
    pub draining_since: Cell<Option<Instant>>,
    /// Whether it sends responses twice.
    pub(super) repeat_history: Rc<RepeatHistory>,
}

impl Endpoint {
    /// Whether it takes nothing new.
    pub fn is_draining(&self) -> bool {
        self.draining_since.get().is_some()
    }
}

/// What the pool keeps to.
#[derive(Clone, Copy)]
pub struct PoolLimits {
    /// Most connections at once, to begin with.
    pub connections: usize,
    /// A connect that takes longer has failed.
    pub connect_timeout: Duration,
    /// Backends close connections that are idle for so long.
    pub idle_timeout: Duration,
    /// Nothing is sent later than this after the notice of a drain.
    pub drain_deadline: Duration,
}

/// The connections to all backends.
pub struct ConnectionPool {
    limits: Cell<PoolLimits>,
    next_endpoint: Cell<u64>,
    /// By the endpoint's number.
    idle: RefCell<HashMap<u64, Vec<IdleConnection>>>,
    permits: Arc<Semaphore>,
    /// How many permits there are.
    size: Cell<usize>,
    /// How often the tier's backends give equal responses.
    distinct_run: Rc<DistinctRun>,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(limits: PoolLimits) -> Self {
        ConnectionPool {
            limits: Cell::new(limits),
            next_endpoint: Cell::default(),
            idle: RefCell::default(),
            permits: Arc::new(Semaphore::new(limits.connections)),
            size: Cell::new(limits.connections),
            distinct_run: Rc::default(),
        }
    }

    /// Takes permits away, as far as they are free or held by idle connections, or adds some. Tells whether it is
    /// done; those in use come free later.
    pub fn resize(&self, connections: usize) -> bool {
        let size = self.size.get();
        if connections >= size {
            self.permits.add_permits(connections - size);
            self.size.set(connections);
            return true;
        }
        let surplus = size - connections;
        let removed = self.permits.forget_permits(surplus);
        self.size.set(size - removed);
        for _ in removed..surplus {
            // A permit comes free a moment after its connection was closed.
            if !self.evict_oldest_idle() {
                break;
            }
        }
        removed == surplus
    }

    /// Keeps to other times from now on; how many connections there may be, [`resize`](Self::resize) says.
    pub fn set_timeouts(&self, connect_timeout: Duration, idle_timeout: Duration, drain_deadline: Duration) {
        let limits = self.limits.get();
        self.limits.set(PoolLimits { connect_timeout, idle_timeout, drain_deadline, ..limits });
    }

    /// Nothing is sent later than this after the notice of a drain.
    pub fn drain_deadline(&self) -> Duration {
        self.limits.get().drain_deadline
    }

    /// A process to send to.
    pub fn endpoint(&self, address: SocketAddr, started_at_ms: f64) -> Endpoint {
        let number = self.next_endpoint.get();
        self.next_endpoint.set(number + 1);
        let draining_since = Cell::new(None);
        let repeat_history = Rc::new(RepeatHistory::new(address, self.distinct_run.clone()));
        Endpoint { number, address, started_at_ms, draining_since, repeat_history }
    }

    /// Closes the idle connections to a process.
    pub fn close_idle(&self, endpoint: &Endpoint) {
        self.idle.borrow_mut().remove(&endpoint.number);
    }

    /// Closes what has been idle for long. A backend closes idle connections too, and a request that crosses its
    /// close would end as a reset, which may have run: ours are closed clearly earlier.
    pub fn close_old_idle(&self) {
        let max_idle = self.max_idle();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| !idle.connection.sender.is_closed() && idle.since.elapsed() < max_idle);
            !connections.is_empty()
        });
    }

    fn max_idle(&self) -> Duration {
        self.limits.get().idle_timeout.mul_f64(MAX_IDLE_FRACTION)
    }

    /// The most recently used of those still open: the others may then grow old and be closed.
    pub(super) fn take_idle(&self, endpoint: &Endpoint) -> Option<Connection> {
        let max_idle = self.max_idle();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint.number)?;
        let now = Instant::now();
        connections.retain(|idle| idle.connection.is_usable(now) && idle.since.elapsed() < max_idle);
        let newest = connections.iter().rposition(|idle| !idle.connection.is_resting(now))?;
        Some(connections.remove(newest).connection)
    }

    /// Keeps a connection for another request, if it can carry one.
    pub(super) fn keep_idle(&self, endpoint: &Endpoint, connection: Connection) {
        let now = Instant::now();
        if endpoint.is_draining() || !connection.is_usable(now) {
            return;
        }
        let idle = IdleConnection { connection, since: now };
        self.idle.borrow_mut().entry(endpoint.number).or_default().push(idle);
    }

    /// Closes the connection that has been idle longest, whatever backend it is to.
    fn evict_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let first =
            |(number, connections): (&u64, &Vec<IdleConnection>)| Some((connections.first()?.since, *number));
        let oldest = idle.iter().filter_map(first).min();
        let Some(connections) = oldest.and_then(|(_, number)| idle.get_mut(&number)) else { return false };
        connections.remove(0);
        true
    }

    /// A permit for a connection. Where none is left, an idle connection gives way: that takes a moment, which is
    /// waited for, since a request rejected for want of a permit is rejected by number.
    async fn acquire_permit(&self) -> Result<OwnedSemaphorePermit, Outcome> {
        let permit = match self.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                self.evict_oldest_idle();
                let permit = self.permits.clone().acquire_owned();
                let permit = timeout(self.limits.get().connect_timeout, permit).await;
                // Without one the request was never sent, and that says nothing of the backend.
                permit.ok().and_then(Result::ok).ok_or(Outcome::NotSent)?
            }
        };
        if self.permits.available_permits() == 0 {
            self.evict_oldest_idle();
        }
        Ok(permit)
    }

    /// Makes a connection, if the guard still allows it once there is a permit for it.
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
        Connection::new(stream, permit, endpoint.repeat_history.clone()).await
    }
}

/// Whether the process or the machine has no descriptor left.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ENFILE | libc::EMFILE))
}
