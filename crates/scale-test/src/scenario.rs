//! The scenario file: the requirements of the target system and the parameters of the scaled-down run.

mod real_part;
mod validation;

pub use real_part::RealPart;

use foldhitch_balancer::settings_format::{self, ResolvedSettings};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::fmt;
use std::path::Path;

/// A run as described by its scenario file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of all random numbers of the simulated part.
    pub seed: u64,
    /// Number of backends at each step of the run; every backend has its own proxy.
    pub sizes: Vec<usize>,
    /// The load and the requirements of the target system.
    pub target: Target,
    /// The resources that the run may use on the machine.
    pub limits: Limits,
    /// Parameters of the run.
    pub run: Run,
    /// Parameters of the real part.
    pub real: RealPart,
    /// The calls between services.
    pub calls: Calls,
    /// Parameters of a simulated backend.
    pub backend: Backend,
    /// Network delays between proxies and backends.
    pub network: Network,
    /// Delays with which changes propagate.
    pub discovery: Discovery,
    /// The settings that all proxies share; per-proxy settings are added by [`Scenario::settings_of`].
    pub settings: Map<String, Value>,
}

/// The load and the requirements of the target system.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Number of backends, each with its own proxy.
    pub backends: usize,
    /// Number of services among which the backends are divided.
    pub services: usize,
    /// Calls per second over all services.
    pub calls_per_s: f64,
    /// Maximum length of a chain of nested calls, counting the client's own call.
    pub depth: usize,
    /// The 99th percentile of the latency that the proxy adds to a call, in milliseconds.
    pub added_p99_ms: f64,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones over all regions.
    pub zones: usize,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// Time within which a change must be in force at every proxy, in seconds.
    pub in_force_within_s: f64,
    /// Share of a core that a proxy may use for control-plane work.
    pub control_core_share: f64,
    /// Memory that a proxy may use for control-plane work, in megabytes.
    pub control_memory_mb: f64,
    /// Control-plane traffic of a proxy, in thousands of bytes per second.
    pub control_kb_per_s: f64,
    /// Number of machines reserved for the control plane.
    pub control_machines: usize,
    /// Machine failures per day.
    pub machine_failures_per_day: f64,
    /// Backends restarted or replaced per day.
    pub restarts_per_day: f64,
    /// Failures of racks or switches per year.
    pub rack_losses_per_year: f64,
    /// Zone outages per year.
    pub zone_losses_per_year: f64,
    /// Network partitions between regions per year.
    pub region_cuts_per_year: f64,
    /// Duration of a partition between regions, in minutes.
    pub region_cut_minutes: f64,
}

/// The resources that the run may use on the machine.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Resident memory of all processes, in gigabytes.
    pub memory_gb: f64,
    /// Number of processes.
    pub processes: usize,
    /// Time for all sizes together, in seconds.
    pub run_s: f64,
}

/// Parameters of the run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Calls per second for each backend that is a real process.
    pub calls_per_s_per_backend: f64,
    /// Requests per second for each backend of the simulated fleet, over all depths.
    #[serde(rename = "hollow_calls_per_s_per_backend")]
    pub simulated_calls_per_s_per_backend: f64,
    /// Factor by which the rate of changes exceeds that of the target.
    pub change_compression: f64,
    /// Quiet time before an event, in seconds.
    pub steady_s: f64,
    /// Duration of an event, in seconds.
    pub event_s: f64,
    /// Time that is observed after an event, in seconds.
    pub after_s: f64,
    /// Length of a window of the report, in seconds.
    pub window_s: f64,
    /// Number of real processes at each size, in addition to the simulated proxies.
    pub real_processes: usize,
    /// Number of entry proxies, which receive the clients' requests, for each backend.
    pub entry_per_backend: f64,
}

/// The calls between services.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Calls {
    /// Share of calls whose backend makes a nested call, up to the target's depth.
    pub onward_share: f64,
    /// Time that a backend making a nested call keeps from the remaining deadline for its own response, in
    /// milliseconds.
    pub reserve_ms: f64,
    /// Share of each request class in the clients' calls, in the order of the settings.
    pub mix: Vec<f64>,
    /// Maximum number of times that a client retries a rejected request.
    pub client_retries: u32,
    /// Minimum backoff before a client's retry, in milliseconds; a longer `Retry-After` takes precedence.
    pub client_backoff_ms: f64,
}

/// Parameters of a simulated backend.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Mean processing time of a call at a warm backend, in milliseconds.
    pub work_ms: f64,
    /// Number of calls that a backend processes concurrently.
    pub slots: usize,
    /// Maximum number of calls queued at a backend.
    pub queue: usize,
    /// Share of its full capacity that a backend has right after its start.
    pub cold_capacity: f64,
    /// Duration of the warm-up, in seconds.
    pub cold_s: f64,
    /// Time until a backend that failed under load during its warm-up is restarted, in seconds.
    pub fall_s: f64,
    /// Time after which an attempt to connect has failed, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Duration of a restart, in seconds.
    pub restart_s: f64,
}

/// One-way network delays between a proxy and a backend, in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Within a zone.
    pub same_zone_ms: f64,
    /// Between zones of the same region.
    pub same_region_ms: f64,
    /// Between regions.
    pub cross_region_ms: f64,
    /// Number of round trips to open a connection.
    pub connect_rtts: f64,
}

/// Delays with which changes propagate, in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// From a change until discovery publishes it in the same region.
    pub notice_ms: f64,
    /// Minimum and maximum delay from publication to a proxy.
    pub spread_ms: [f64; 2],
    /// Additional delay from one region to another.
    pub region_ms: f64,
    /// Until an unresponsive backend is removed from the endpoint list.
    pub silent_notice_ms: f64,
}

/// The reason why a scenario was rejected, as one line that names the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioError(String);

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ScenarioError {}

impl ScenarioError {
    /// Creates an error with the message of another error.
    pub fn new(e: impl fmt::Display) -> Self {
        ScenarioError(e.to_string())
    }
}

impl Scenario {
    /// Reads and validates a scenario file.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let error_in_file = |e: &dyn fmt::Display| ScenarioError(format!("scenario {}: {e}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| error_in_file(&e))?;
        Scenario::parse(&text).map_err(|e| error_in_file(&e))
    }

    /// Parses and validates the text of a scenario file. An error names the key or, for a syntax error, the
    /// line.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let one_line = |e: toml::de::Error| e.message().replace('\n', " ");
        let deserializer = toml::Deserializer::parse(text).map_err(|e| {
            let line = e.span().map_or(0, |s| text[..s.start].matches('\n').count()) + 1;
            ScenarioError(format!("line {line}: {}", one_line(e)))
        })?;
        let scenario: Scenario = serde_path_to_error::deserialize(deserializer).map_err(|e| {
            let key = e.path().to_string();
            ScenarioError(format!("{key}: {}", one_line(e.into_inner())))
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Returns the settings of a proxy in the format of its configuration file.
    pub fn settings_of(&self, instance_index: u32, instance_count: u32, tier: u32, zone: u16) -> Value {
        let mut settings = self.settings.clone();
        let zones: Vec<String> = (0..self.target.zones).map(zone_name).collect();
        for (key, value) in [
            ("slotNo", instance_index.into()),
            ("peersTotal", instance_count.into()),
            ("tier", tier.into()),
            ("locality", zone.into()),
            ("localities", zones.into()),
        ] {
            settings.insert(key.to_string(), value);
        }
        Value::Object(settings)
    }

    /// Returns the settings of a proxy as the proxy resolves them.
    pub fn resolved_settings(
        &self,
        instance_index: u32,
        instance_count: u32,
        tier: u32,
        zone: u16,
    ) -> Result<ResolvedSettings, ScenarioError> {
        settings_format::read(self.settings_of(instance_index, instance_count, tier, zone))
            .map_err(|error| ScenarioError(error.to_string()))
    }

    /// Returns the value of a key of each class, including keys that the balancer doesn't use; 0 for a
    /// missing value.
    pub fn class_values(&self, key: &str) -> Vec<f64> {
        let classes = self.settings.get("classes").and_then(Value::as_array);
        let value = |class: &Value| class.get(key).and_then(Value::as_f64).unwrap_or(0.0);
        classes.map(|c| c.iter().map(value).collect()).unwrap_or_default()
    }

    /// Returns the value of a key of `guarantees`, or 0 if it is missing.
    pub fn guarantee(&self, key: &str) -> f64 {
        let guarantees = self.settings.get("guarantees");
        guarantees.and_then(|g| g.get(key)).and_then(Value::as_f64).unwrap_or(0.0)
    }

    /// Returns the region of a zone. Zones are assigned to regions round-robin.
    pub fn region_of(&self, zone: u16) -> usize {
        usize::from(zone) % self.target.regions
    }

    /// Returns the number of changes per second in the run.
    pub fn changes_per_s(&self) -> f64 {
        self.target.changes_per_day / 86_400.0 * self.run.change_compression
    }
}

/// Returns the name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}
