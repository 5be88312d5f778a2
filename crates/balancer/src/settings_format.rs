//! The JSON form of the settings: text in the simulator protocol, and a part of the configuration of a real
//! proxy.

use crate::api;
use serde::{Deserialize, Deserializer, de::Error};

/// The settings, split by the component that uses them.
#[derive(Debug, Clone)]
pub struct ResolvedSettings {
    /// Settings of the balancer.
    pub balancer: api::Settings,
    /// Settings that only a proxy with real sockets needs.
    pub site: SiteSettings,
}

/// Names and values that no decision depends on; empty or 0 if the text omits them.
#[derive(Debug, Clone, Default)]
pub struct SiteSettings {
    /// Names of the classes, in the order of the settings.
    pub class_names: Vec<String>,
    /// Names of the tenants.
    pub tenant_names: Vec<String>,
    /// Names of the zones.
    pub zone_names: Vec<String>,
    /// Time after which backends close idle connections, at the latest.
    pub connection_idle_ms: f64,
    /// Time after which a connection that is not established has failed.
    pub connect_timeout_ms: f64,
    /// Maximum number of open requests of an instance.
    pub max_open_requests: usize,
    /// Time after the notification of a drain within which sending to the backend must end.
    pub drain_deadline_ms: f64,
    /// Longest client timeout of all classes.
    pub longest_client_timeout_ms: f64,
    /// Longest latency objective of all classes.
    pub longest_latency_objective_ms: f64,
}

/// Why a text could not be parsed as settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFormatError {
    /// A key is missing or has an invalid value; the source gives its path.
    #[error("settings: {0}")]
    InvalidKey(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// The settings are followed by other text.
    #[error("settings: {0}")]
    TrailingText(#[source] serde_json::Error),
}

/// Parses settings from a text; an error names the key.
pub fn parse(text: &[u8]) -> Result<ResolvedSettings, SettingsFormatError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let settings = read(&mut json)?;
    json.end().map_err(SettingsFormatError::TrailingText)?;
    Ok(settings)
}

/// Reads a settings object from a deserializer; an error names the key.
pub fn read<'de, D>(from: D) -> Result<ResolvedSettings, SettingsFormatError>
where
    D: Deserializer<'de, Error = serde_json::Error>,
{
    let object: SettingsObject =
        serde_path_to_error::deserialize(from).map_err(SettingsFormatError::InvalidKey)?;
    Ok(object.resolve())
}

/// Reads a number that must be finite and not negative.
fn non_negative<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    let value = f64::deserialize(from)?;
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(D::Error::custom("must be finite and not negative"))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsObject {
    #[serde(rename = "slotNo")]
    instance_index: u32,
    #[serde(rename = "peersTotal")]
    instance_count: u32,
    tier: u32,
    #[serde(rename = "locality")]
    zone: u16,
    #[serde(rename = "localities", default)]
    zone_names: Vec<String>,
    #[serde(rename = "tick", deserialize_with = "non_negative")]
    tick_ms: f64,
    #[serde(rename = "overShareWorth", deserialize_with = "non_negative")]
    over_quota_weight: f64,
    discovery: DiscoveryObject,
    classes: Vec<ClassObject>,
    tenants: Vec<TenantObject>,
    #[serde(rename = "caps")]
    capabilities: CapabilitiesObject,
    guarantees: GuaranteesObject,
    #[serde(rename = "goal", default)]
    objective: ObjectiveObject,
    #[serde(default)]
    prices: PricesObject,
}

#[derive(Deserialize)]
enum DiscoveryObject {
    #[serde(rename = "automatic")]
    Push,
    #[serde(rename = "subscribe")]
    Poll,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassObject {
    #[serde(default)]
    name: String,
    #[serde(rename = "aim", deserialize_with = "non_negative")]
    latency_objective_ms: f64,
    #[serde(rename = "giveUp", default, deserialize_with = "non_negative")]
    client_timeout_ms: f64,
    #[serde(rename = "points", deserialize_with = "non_negative")]
    priority_weight: f64,
    #[serde(rename = "semantics")]
    idempotency: IdempotencyObject,
    #[serde(rename = "group")]
    deduplication_scope: DeduplicationScopeObject,
    #[serde(rename = "window", deserialize_with = "non_negative")]
    deduplication_window_ms: f64,
    #[serde(rename = "fifoByKey", default)]
    is_ordered_by_key: bool,
}

#[derive(Deserialize)]
enum IdempotencyObject {
    #[serde(rename = "retryable")]
    Idempotent,
    #[serde(rename = "dedup")]
    Deduplicated,
    #[serde(rename = "fragile")]
    NonIdempotent,
}

#[derive(Deserialize)]
enum DeduplicationScopeObject {
    #[serde(rename = "all")]
    AllBackends,
    #[serde(rename = "zone")]
    Zone,
    #[serde(rename = "cell")]
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantObject {
    #[serde(default)]
    name: String,
    #[serde(deserialize_with = "non_negative")]
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct CapabilitiesObject {
    #[serde(rename = "cancelling")]
    can_cancel: bool,
    #[serde(rename = "retryAfter")]
    sends_retry_after: bool,
    #[serde(rename = "maxRetryAfter", deserialize_with = "non_negative")]
    max_retry_after_ms: f64,
    #[serde(rename = "tryLimit")]
    max_attempts: u32,
    #[serde(rename = "openCap", default)]
    max_open_requests: usize,
    #[serde(rename = "connIdle", default, deserialize_with = "non_negative")]
    connection_idle_ms: f64,
    #[serde(rename = "connectTimeout", default, deserialize_with = "non_negative")]
    connect_timeout_ms: f64,
}

#[derive(Deserialize)]
struct GuaranteesObject {
    #[serde(rename = "coldFrom", deserialize_with = "non_negative")]
    initial_capacity_fraction: f64,
    #[serde(rename = "cold", deserialize_with = "non_negative")]
    warm_up_ms: f64,
    #[serde(rename = "fallMultiple", deserialize_with = "non_negative")]
    overload_multiple: f64,
    #[serde(rename = "askWithin", default, deserialize_with = "non_negative")]
    poll_within_ms: f64,
    #[serde(rename = "releaseWithin", default, deserialize_with = "non_negative")]
    idle_release_ms: f64,
    #[serde(rename = "settleAfterDoubt", default, deserialize_with = "non_negative")]
    key_quarantine_ms: f64,
    #[serde(rename = "stopSendingWithin", default, deserialize_with = "non_negative")]
    drain_deadline_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ObjectiveObject {
    #[serde(rename = "worstClass", deserialize_with = "non_negative")]
    worst_class_weight: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct PricesObject {
    #[serde(rename = "crossZone", deserialize_with = "non_negative")]
    cross_zone_price: f64,
}

impl SettingsObject {
    fn resolve(self) -> ResolvedSettings {
        ResolvedSettings { site: self.site(), balancer: self.balancer() }
    }

    fn site(&self) -> SiteSettings {
        let longest =
            |duration_ms: fn(&ClassObject) -> f64| self.classes.iter().map(duration_ms).fold(0.0, f64::max);
        SiteSettings {
            class_names: self.classes.iter().map(|class| class.name.clone()).collect(),
            tenant_names: self.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            zone_names: self.zone_names.clone(),
            connection_idle_ms: self.capabilities.connection_idle_ms,
            connect_timeout_ms: self.capabilities.connect_timeout_ms,
            max_open_requests: self.capabilities.max_open_requests,
            drain_deadline_ms: self.guarantees.drain_deadline_ms,
            longest_client_timeout_ms: longest(|class| class.client_timeout_ms),
            longest_latency_objective_ms: longest(|class| class.latency_objective_ms),
        }
    }

    fn balancer(self) -> api::Settings {
        let tenant = |tenant: &TenantObject| api::Tenant { quota_per_s: tenant.quota_per_s };
        api::Settings {
            instance_index: self.instance_index,
            instance_count: self.instance_count,
            tier: self.tier,
            zone: self.zone,
            tick_ms: self.tick_ms,
            discovery_mode: self.discovery.mode(),
            over_quota_weight: self.over_quota_weight,
            classes: self.classes.iter().map(ClassObject::class).collect(),
            tenants: self.tenants.iter().map(tenant).collect(),
            capabilities: self.capabilities.capabilities(),
            guarantees: self.guarantees.guarantees(),
            objective: api::Objective {
                worst_class_weight: self.objective.worst_class_weight,
                cross_zone_price: self.prices.cross_zone_price,
            },
        }
    }
}

impl DiscoveryObject {
    fn mode(&self) -> api::DiscoveryMode {
        match self {
            DiscoveryObject::Push => api::DiscoveryMode::Push,
            DiscoveryObject::Poll => api::DiscoveryMode::Poll,
        }
    }
}

impl ClassObject {
    fn class(&self) -> api::Class {
        api::Class {
            latency_objective_ms: self.latency_objective_ms,
            priority_weight: self.priority_weight,
            idempotency: self.idempotency(),
            is_ordered_by_key: self.is_ordered_by_key,
        }
    }

    fn idempotency(&self) -> api::Idempotency {
        match self.idempotency {
            IdempotencyObject::Idempotent => api::Idempotency::Idempotent,
            IdempotencyObject::NonIdempotent => api::Idempotency::NonIdempotent,
            IdempotencyObject::Deduplicated => api::Idempotency::Deduplicated {
                window_ms: self.deduplication_window_ms,
                scope: self.deduplication_scope.scope(),
            },
        }
    }
}

impl DeduplicationScopeObject {
    fn scope(&self) -> api::DeduplicationScope {
        match self {
            DeduplicationScopeObject::AllBackends => api::DeduplicationScope::AllBackends,
            DeduplicationScopeObject::Zone => api::DeduplicationScope::Zone,
            DeduplicationScopeObject::Cell => api::DeduplicationScope::Cell,
        }
    }
}

impl CapabilitiesObject {
    fn capabilities(&self) -> api::Capabilities {
        api::Capabilities {
            can_cancel: self.can_cancel,
            sends_retry_after: self.sends_retry_after,
            max_retry_after_ms: self.max_retry_after_ms,
            max_attempts: self.max_attempts,
        }
    }
}

impl GuaranteesObject {
    fn guarantees(&self) -> api::Guarantees {
        api::Guarantees {
            initial_capacity_fraction: self.initial_capacity_fraction,
            warm_up_ms: self.warm_up_ms,
            overload_multiple: self.overload_multiple,
            poll_within_ms: self.poll_within_ms,
            idle_release_ms: self.idle_release_ms,
            key_quarantine_ms: self.key_quarantine_ms,
        }
    }
}
