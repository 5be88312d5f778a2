//! The balancer's interface: settings, events in, actions out. No logic lives here.
//!
//! Times and durations are milliseconds as `f64` (`_ms`). The clock is whatever the embedding proxy passes to
//! [`Balancer::handle`](crate::Balancer::handle): it starts anywhere and only goes forward.

mod action;
mod error;
mod event;
mod settings;

pub use action::{Action, UnservedReason};
pub use error::SettingsError;
pub use event::{AttemptResult, EndpointInfo, EndpointListKind, Event, Outcome, Phase, RequestArrival};
pub use settings::{
    Capabilities, Class, DeduplicationScope, DiscoveryMode, Guarantees, Idempotency, Objective, Settings,
    SettingsUpdate, Tenant,
};

/// A change that discovery has, and can be reached for, counts as notified after this many milliseconds at
/// the latest, whatever call failed, was rejected or was abandoned meanwhile.
pub const NOTIFICATION_DEADLINE_MS: f64 = 6000.0;

/// Identifies a client request at one instance; never reused.
pub type RequestId = u64;
/// Identifies a backend; the same at every instance and across restarts of its process.
pub type BackendId = u32;
/// Number of an attempt within its request, counted from 0 in the order of sends.
pub type AttemptNumber = u8;

/// Identifies a timer that the balancer asked for; opaque to the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// What an instance holds at present.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gauges {
    /// Requests that are pending or have attempts in flight.
    pub requests: usize,
    /// Calls that count against the concurrency limit.
    pub in_flight: f64,
    /// The same, summed over the slices of the limit.
    pub in_flight_in_slices: f64,
    /// Requests in the waiting queues, those included that ended while they waited.
    pub queued: usize,
    /// Records of classes: those in force, and former ones that requests may still be open under.
    pub classes: usize,
    /// The learned concurrency limit.
    pub concurrency_limit: f64,
}
