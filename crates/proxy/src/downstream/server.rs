//! What all connections of clients share.

use super::accept_statistics::AcceptStatistics;
use super::connection_table::{ConnectionTable, EvictionPurpose};
use crate::dispatcher::{Dispatcher, duration_from_ms};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Connections past the limit, accepted only to be rejected at once.
pub const MAX_REJECTING_CONNECTIONS: usize = 16;

/// Who is rejected for want of space is told to stay away so long, in milliseconds, where that is told.
const RETRY_AFTER_MS: f64 = 500.0;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerPhase {
    /// There is none.
    Accepting,
    /// No more connections are accepted; those that are open go on.
    NotAccepting,
    /// Another process accepts connections; those that are open go on to their next answer.
    HandedOver,
    /// Connections are closed as they become idle.
    ClosingIdle,
}

/// What all clients together may hold.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// Most connections at once.
    pub max_connections: usize,
    /// Connections past them, accepted only to be rejected at once.
    pub max_rejecting_connections: usize,
    /// Most bytes in the bodies of open requests.
    pub max_body_bytes: usize,
}

/// What is needed to serve clients.
pub struct Server {
    /// Gives their requests their answers.
    pub(super) dispatcher: Rc<Dispatcher>,
    /// What they may hold.
    pub(super) limits: Cell<ClientLimits>,
    /// Whether each answer is to be the last on its connection.
    pub(super) is_handed_over: Cell<bool>,
    /// Who is connected.
    pub(super) table: Rc<ConnectionTable>,
    pub(super) statistics: AcceptStatistics,
}

impl Server {
    /// A server without connections.
    pub fn new(dispatcher: Rc<Dispatcher>, limits: ClientLimits) -> Self {
        Server {
            dispatcher,
            limits: Cell::new(limits),
            is_handed_over: Cell::new(false),
            table: Rc::default(),
            statistics: AcceptStatistics::default(),
        }
    }

    /// Keeps to other limits from now on: idle connections above them are closed.
    pub fn resize(&self, limits: ClientLimits) {
        self.limits.set(limits);
        let excess = self.table.len().saturating_sub(limits.max_connections);
        self.force_evictions(excess);
    }

    /// How long who is rejected for want of space is told to stay away, where that is told.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        let settings = self.dispatcher.settings();
        let capabilities = &settings.balancer.capabilities;
        let retry_after_ms = RETRY_AFTER_MS.min(capabilities.max_retry_after_ms);
        if capabilities.sends_retry_after { Some(duration_from_ms(retry_after_ms)) } else { None }
    }

    /// Whether no connection can be accepted, not even to be rejected.
    pub(super) fn is_full(&self) -> bool {
        let limits = self.limits.get();
        self.table.len() >= limits.max_connections + limits.max_rejecting_connections
    }

    /// Whether there is space for another connection, perhaps that of an idle one.
    pub(super) fn has_space(&self) -> bool {
        self.table.len() < self.limits.get().max_connections || self.evict(EvictionPurpose::NewConnection)
    }

    /// Whether a connection past the limit that was served may stay, perhaps in the place of another.
    pub(super) fn can_keep_served(&self) -> bool {
        self.table.len() <= self.limits.get().max_connections || self.evict(EvictionPurpose::ServedConnection)
    }

    /// Asks for the close of so many connections, or of all that can be closed without loss.
    pub(super) fn force_evictions(&self, count: usize) {
        for _ in 0..count {
            if !self.evict(EvictionPurpose::BlockedListener) {
                break;
            }
        }
    }

    /// Asks for the close of a connection that can give way; false if there is none.
    pub(super) fn evict(&self, purpose: EvictionPurpose) -> bool {
        let Some(kind) = self.table.evict_idle_connection(purpose) else { return false };
        self.statistics.record_evicted(kind);
        true
    }
}
