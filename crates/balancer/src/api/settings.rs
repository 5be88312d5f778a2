//! What an instance is told at its start, and what may replace it later.

/// The settings of one balancer instance.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// This instance's number among [`instance_count`](Self::instance_count), from 0.
    pub instance_index: u32,
    /// How many instances send to this tier.
    pub instance_count: u32,
    /// Place of the tier that this instance sends to; 0 is the one that clients reach.
    pub tier: u32,
    /// Zone of this instance.
    pub zone: u16,
    /// Shortest time between two rounds of events.
    pub tick_ms: f64,
    /// How the endpoint list reaches this instance.
    pub discovery_mode: DiscoveryMode,
    /// Weight of a request beyond its tenant's quota, as a share of its class's priority weight.
    pub over_quota_weight: f64,
    /// Request classes; a request names its place in this list.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What the site allows.
    pub capabilities: Capabilities,
    /// What the site guarantees, and what must be guaranteed to it.
    pub guarantees: Guarantees,
    /// How the operators weigh and price results.
    pub objective: Objective,
}

/// How the endpoint list reaches an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed over a watch.
    #[default]
    Push,
    /// The list has to be polled: see [`Action::PollEndpoints`](super::Action::PollEndpoints).
    Poll,
}

/// A class of requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Class {
    /// A response within this time earns the full priority weight.
    pub latency_objective_ms: f64,
    /// Value of a request beside those of other classes.
    pub priority_weight: f64,
    /// Whether and where a request may run again.
    pub idempotency: Idempotency,
    /// Requests with one key run one at a time, in order of arrival; all such classes share their keys.
    pub is_ordered_by_key: bool,
}

/// Whether a request of a class may be retried once it may have run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Idempotency {
    /// May run any number of times, anywhere.
    Idempotent,
    /// Carries an idempotency key: the backends of `scope` drop repeats for `window_ms` after the first send
    /// that may have run.
    Deduplicated {
        /// Which backends drop each other's repeats.
        scope: DeduplicationScope,
        /// For how long they do.
        window_ms: f64,
    },
    /// Must never run twice.
    #[default]
    NonIdempotent,
}

/// The backends that drop repeats of a request which one of them has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All backends.
    AllBackends,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// A tenant.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all instances, within its quota.
    pub quota_per_s: f64,
}

/// What the site allows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Capabilities {
    /// Attempts may be cancelled.
    pub can_cancel: bool,
    /// Rejected clients are told when to come back.
    pub sends_retry_after: bool,
    /// Longest such advice that a client heeds.
    pub max_retry_after_ms: f64,
    /// Most attempts for one request.
    pub max_attempts: u32,
}

/// What the site guarantees, and what must be guaranteed to it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Guarantees {
    /// Share of its capacity that a backend has when it starts, at least.
    pub initial_capacity_fraction: f64,
    /// Time after which a backend is warm, at most.
    pub warm_up_ms: f64,
    /// A backend that is warming up fails when sent more than this multiple of its present capacity.
    pub overload_multiple: f64,
    /// Where the list is polled: longest silence after which a change counts as notified.
    pub poll_within_ms: f64,
    /// Idle connections to a draining backend are closed within this time; 0 where there is no such rule.
    pub idle_release_ms: f64,
    /// The key of an ordered class is quarantined for so long after an attempt that may still be running.
    pub key_quarantine_ms: f64,
}

/// How the operators weigh and price results.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Objective {
    /// Weight of the worst-served class.
    pub worst_class_weight: f64,
    /// Price of attempts that cross zones.
    pub cross_zone_price: f64,
}

/// Settings that replace those in force: see [`Balancer::configure`](crate::Balancer::configure).
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SettingsUpdate {
    /// Its version, above that of the one in force; 0 is the next one.
    pub version: u64,
    /// The settings.
    pub settings: Settings,
    /// For each class the place of the one in force that it continues; none where it is new.
    pub continued_classes: Vec<Option<u16>>,
    /// The same for each tenant.
    pub continued_tenants: Vec<Option<u16>>,
    /// Hash of whatever else comes under the same version: another value is other content.
    pub content_hash: u64,
}
