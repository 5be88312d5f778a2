//! The balancer's interface: settings, events and actions. It contains no logic.
//!
//! Times and durations are milliseconds as `f64` (`_ms`). The clock is the one whose time the embedding
//! proxy passes to [`Balancer::handle`](crate::Balancer::handle): it may start at any value and never goes
//! backwards.

mod action;
mod error;
mod event;
mod settings;

pub use action::{Action, ResponseBuffering, UnservedReason};
pub use error::SettingsError;
pub use event::{AttemptResult, EndpointInfo, EndpointListKind, Event, Outcome, Phase, RequestArrival};
pub use settings::{
    Capabilities, Class, DeduplicationScope, DiscoveryMode, Guarantees, Idempotency, Objective, Settings,
    SettingsUpdate, Tenant,
};

/// Maximum time in milliseconds until an instance counts as notified of a change that discovery has, provided
/// that discovery can be reached, even if polls failed, were rejected or were abandoned in between.
pub const NOTIFICATION_DEADLINE_MS: f64 = 6000.0;

/// Identifies a client request within one instance; never reused.
pub type RequestId = u64;
/// Identifies a backend; the same at all instances and across restarts of its process.
pub type BackendId = u32;
/// Number of an attempt within its request, counted from 0 in sending order.
pub type AttemptNumber = u8;

/// Identifies a timer that the balancer started; opaque to the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// Gauges of the current state of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gauges {
    /// Requests that are pending or have attempts in flight.
    pub requests: usize,
    /// Calls that count against the concurrency limit.
    pub in_flight: f64,
    /// The same calls, as the sum over the slices of the limit.
    pub in_flight_in_slices: f64,
    /// Queued requests, including those that ended while they were queued.
    pub queued: usize,
    /// Class records: those in force, and former ones that open requests may still use.
    pub classes: usize,
    /// The learned concurrency limit.
    pub concurrency_limit: f64,
}
