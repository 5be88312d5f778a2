//! Settings: what an instance is configured with at its start and by later updates.

/// The settings of one balancer instance.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Index of this instance among [`instance_count`](Self::instance_count) instances, from 0.
    pub instance_index: u32,
    /// Number of instances that send to this tier.
    pub instance_count: u32,
    /// Index of the tier that this instance sends to; clients reach tier 0.
    pub tier: u32,
    /// Zone of this instance.
    pub zone: u16,
    /// Shortest time between two batches of events.
    pub tick_ms: f64,
    /// How the endpoint list reaches this instance.
    pub discovery_mode: DiscoveryMode,
    /// Weight of a request beyond its tenant's quota, as a share of its class's priority weight.
    pub over_quota_weight: f64,
    /// Request classes; a request gives the index of its class in this list.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Optional features that the deployment supports.
    pub capabilities: Capabilities,
    /// Guarantees of the deployment, and requirements that it makes.
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
    /// The list has to be polled; see [`Action::PollEndpoints`](super::Action::PollEndpoints).
    Poll,
}

/// A class of requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Class {
    /// A response within this time earns the full priority weight.
    pub latency_objective_ms: f64,
    /// Value of a request relative to requests of other classes.
    pub priority_weight: f64,
    /// Whether and where a request may run again.
    pub idempotency: Idempotency,
    /// Whether requests with the same key run one at a time, in order of arrival. All such classes share
    /// their keys.
    pub is_ordered_by_key: bool,
}

/// Whether a request of a class may be retried once it may have run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Idempotency {
    /// May run any number of times, anywhere.
    Idempotent,
    /// Carries an idempotency key: the backends of `scope` drop duplicates for `window_ms` after the first
    /// attempt that may have run was sent.
    Deduplicated {
        /// The backends that drop each other's duplicates.
        scope: DeduplicationScope,
        /// Time during which they drop duplicates.
        window_ms: f64,
    },
    /// Must never run twice.
    #[default]
    NonIdempotent,
}

/// The backends that drop duplicates of a request that one of them has received.
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
    /// Quota in requests per second, over all instances.
    pub quota_per_s: f64,
}

/// Optional features that the deployment supports.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Capabilities {
    /// Whether attempts may be cancelled.
    pub can_cancel: bool,
    /// Whether rejected clients are sent a `Retry-After`.
    pub sends_retry_after: bool,
    /// Maximum `Retry-After` delay that a client respects.
    pub max_retry_after_ms: f64,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
}

/// Guarantees of the deployment, and requirements that it makes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Guarantees {
    /// Minimum fraction of its full capacity that a backend has when it starts.
    pub initial_capacity_fraction: f64,
    /// Maximum time until a started backend is warm.
    pub warm_up_ms: f64,
    /// Multiple of its current capacity above which a backend that is warming up fails.
    pub overload_multiple: f64,
    /// In poll mode: longest time without a poll after which a change still counts as notified.
    pub poll_within_ms: f64,
    /// Time within which idle connections to a draining backend are closed; 0 if there is no such rule.
    pub idle_release_ms: f64,
    /// Quarantine of an ordering key after an attempt that may still be running.
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

/// Settings that replace those in force; see [`Balancer::configure`](crate::Balancer::configure).
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SettingsUpdate {
    /// Version of the update, higher than that of the settings in force; 0 for the next one.
    pub version: u64,
    /// The new settings.
    pub settings: Settings,
    /// For each class the index of the class in force that it continues; `None` for a new class.
    pub continued_classes: Vec<Option<u16>>,
    /// The same for each tenant.
    pub continued_tenants: Vec<Option<u16>>,
    /// Hash of the rest of the configuration that has this version: another value means other content.
    pub content_hash: u64,
}
