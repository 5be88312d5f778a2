//! State shared by all client connections.

use super::accept_statistics::AcceptStatistics;
use super::connection_table::{ConnectionTable, EvictionPurpose};
use crate::dispatcher::Dispatcher;
use crate::milliseconds::duration_from_ms;
use crate::process_group::RequestIds;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of connections over the limit that are accepted only to be rejected at once.
pub const MAX_REJECTING_CONNECTIONS: usize = 16;

/// `Retry-After` of requests that are rejected because of the connection limits, in milliseconds, where the
/// settings allow it.
const RETRY_AFTER_MS: f64 = 500.0;

/// The progress of a planned stop, as the listener sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerPhase {
    /// No stop has begun: connections are accepted.
    Accepting,
    /// No more connections are accepted; open connections are served as before.
    NotAccepting,
    /// Another process accepts connections; each open connection is closed after its next answer.
    HandedOver,
    /// Connections are closed as they become idle.
    ClosingIdle,
    /// Only connections on which an answer is being written stay open.
    FinishingAnswers,
}

impl ListenerPhase {
    /// Returns whether connections are closed as they become idle.
    pub(super) fn closes_idle_connections(self) -> bool {
        matches!(self, ListenerPhase::ClosingIdle | ListenerPhase::FinishingAnswers)
    }
}

/// Limits on the resources that all clients together may use.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum number of further connections that are accepted only to be rejected at once.
    pub max_rejecting_connections: usize,
    /// Maximum number of bytes reserved for bodies of open requests.
    pub max_body_bytes: usize,
    /// Maximum number of bytes reserved for heads that are longer than usual.
    pub max_head_bytes: usize,
    /// Maximum number of bytes that are read from a connection at once.
    pub read_bytes: usize,
}

/// The state that is needed to serve clients.
pub struct Server {
    /// Answers the requests.
    pub(super) dispatcher: Rc<Dispatcher>,
    /// The limits in force.
    pub(super) limits: Cell<ClientLimits>,
    /// Whether another process accepts connections, so that each connection is closed after its next answer.
    pub(super) is_handed_over: Cell<bool>,
    /// The open connections.
    pub(super) table: Rc<ConnectionTable>,
    pub(super) statistics: AcceptStatistics,
    /// The ids of requests that must not run twice.
    pub(super) request_ids: Rc<RequestIds>,
}

impl Server {
    /// Creates a server without connections.
    pub fn new(dispatcher: Rc<Dispatcher>, limits: ClientLimits, request_ids: Rc<RequestIds>) -> Self {
        Server {
            dispatcher,
            limits: Cell::new(limits),
            is_handed_over: Cell::new(false),
            table: Rc::new(ConnectionTable::new(limits.max_body_bytes, limits.max_head_bytes)),
            statistics: AcceptStatistics::default(),
            request_ids,
        }
    }

    /// Sets the limits, and evicts connections above the new limit that can be closed without loss.
    pub fn resize(&self, limits: ClientLimits) {
        self.limits.set(limits);
        self.table.set_memory_limits(limits.max_body_bytes, limits.max_head_bytes);
        let excess = self.table.len().saturating_sub(limits.max_connections);
        self.force_evictions(excess);
    }

    /// Returns the `Retry-After` delay for requests that are rejected because of the connection limits, if
    /// the settings allow it.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        let settings = self.dispatcher.settings();
        let capabilities = &settings.balancer.capabilities;
        let retry_after_ms = RETRY_AFTER_MS.min(capabilities.max_retry_after_ms);
        if capabilities.sends_retry_after { Some(duration_from_ms(retry_after_ms)) } else { None }
    }

    /// Returns whether no connection can be accepted, not even to be rejected.
    pub(super) fn is_full(&self) -> bool {
        let limits = self.limits.get();
        self.table.len() >= limits.max_connections + limits.max_rejecting_connections
    }

    /// Returns whether there is room for another connection. Evicts an idle connection if necessary.
    pub(super) fn has_space(&self) -> bool {
        self.table.len() < self.limits.get().max_connections || self.evict(EvictionPurpose::NewConnection)
    }

    /// Returns whether a connection over the limit that was served may be kept. Evicts another one if
    /// necessary.
    pub(super) fn can_keep_served(&self) -> bool {
        self.table.len() <= self.limits.get().max_connections || self.evict(EvictionPurpose::ServedConnection)
    }

    /// Requests the close of `count` connections, or of as many as can be closed without loss.
    pub(super) fn force_evictions(&self, count: usize) {
        for _ in 0..count {
            if !self.evict(EvictionPurpose::BlockedListener) {
                break;
            }
        }
    }

    /// Requests the close of a connection that may be evicted. Returns `false` if there is none.
    pub(super) fn evict(&self, purpose: EvictionPurpose) -> bool {
        let Some(kind) = self.table.evict_idle_connection(purpose) else { return false };
        self.statistics.record_evicted(kind);
        true
    }
}
