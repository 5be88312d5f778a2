//! The scenario file: the target's figures by name, and those of the run that scales it down.

mod real_part;
mod validation;

pub use real_part::RealPart;

use foldhitch_balancer::settings_format::{self, ResolvedSettings};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::fmt;
use std::path::Path;

/// A run, as its file tells it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Feeds every random number of the simulated part.
    pub seed: u64,
    /// Backends, each with its proxy, of each step of the run.
    pub sizes: Vec<usize>,
    /// What the system is to carry.
    pub target: Target,
    /// What the machine may be asked for.
    pub limits: Limits,
    /// How the run is laid out.
    pub run: Run,
    /// How the real part is laid out.
    pub real: RealPart,
    /// How services call each other.
    pub calls: Calls,
    /// What a simulated backend is like.
    pub backend: Backend,
    /// Ways between proxies and backends.
    pub network: Network,
    /// How changes spread.
    pub discovery: Discovery,
    /// The settings of each proxy, without those that differ from proxy to proxy.
    pub settings: Map<String, Value>,
}

/// The target, figure by figure.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Each with its proxy.
    pub backends: usize,
    /// That the backends are divided among.
    pub services: usize,
    /// Over all services.
    pub calls_per_s: f64,
    /// Calls that a client's call causes one behind the other, at most, itself counted.
    pub depth: usize,
    /// Milliseconds that the proxy adds to a call, for 99 in 100.
    pub added_p99_ms: f64,
    /// Regions.
    pub regions: usize,
    /// Zones, over all regions.
    pub zones: usize,
    /// Changes of configuration.
    pub changes_per_day: f64,
    /// Within which a change is in force everywhere.
    pub in_force_within_s: f64,
    /// Share of a core that a proxy spends for control.
    pub control_core_share: f64,
    /// Memory that a proxy spends for control.
    pub control_memory_mb: f64,
    /// Traffic of a proxy for control, in thousands of bytes a second.
    pub control_kb_per_s: f64,
    /// Machines set aside for control.
    pub control_machines: usize,
    /// Machines that fail.
    pub machine_failures_per_day: f64,
    /// Backends restarted or replaced.
    pub restarts_per_day: f64,
    /// Racks or switches that go.
    pub rack_losses_per_year: f64,
    /// Zones that go.
    pub zone_losses_per_year: f64,
    /// Times that regions lose each other.
    pub region_cuts_per_year: f64,
    /// How long for.
    pub region_cut_minutes: f64,
}

/// What the machine may be asked for.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Resident memory of all processes.
    pub memory_gb: f64,
    /// Processes.
    pub processes: usize,
    /// Time for all sizes, in seconds.
    pub run_s: f64,
}

/// How the run is laid out.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Calls a second for each backend, of real processes.
    pub calls_per_s_per_backend: f64,
    /// Requests a second for each backend of the simulated fleet, over all depths.
    #[serde(rename = "hollow_calls_per_s_per_backend")]
    pub simulated_calls_per_s_per_backend: f64,
    /// Times as many changes a second as the target has.
    pub change_compression: f64,
    /// Seconds before an event.
    pub steady_s: f64,
    /// Seconds that an event lasts.
    pub event_s: f64,
    /// Seconds that are watched after it.
    pub after_s: f64,
    /// Seconds of a window of the report.
    pub window_s: f64,
    /// Real processes of each size, beside the simulated proxies.
    pub real_processes: usize,
    /// Proxies through which clients come, for each backend.
    pub entry_per_backend: f64,
}

/// How services call each other.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Calls {
    /// Share of calls whose backend calls on, as long as the target's depth allows.
    pub onward_share: f64,
    /// Milliseconds of the time left that a backend keeps for its own answer when it calls on.
    pub reserve_ms: f64,
    /// Share of each class in clients' calls, in the order of the settings.
    pub mix: Vec<f64>,
    /// Retries of a client whose request was rejected.
    pub client_retries: u32,
    /// Backoff before a retry, in milliseconds, where the rejection has no `Retry-After`.
    pub client_backoff_ms: f64,
}

/// What a simulated backend is like.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Mean time that a warm backend works on a call.
    pub work_ms: f64,
    /// Calls that it works on at once.
    pub slots: usize,
    /// Calls that wait there.
    pub queue: usize,
    /// Share of its capacity at which it starts.
    pub cold_capacity: f64,
    /// Seconds until it is warm.
    pub cold_s: f64,
    /// Seconds that until one is back that failed under load while it was warming up.
    pub fall_s: f64,
    /// A connection not made by then has failed, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Seconds that a restart takes.
    pub restart_s: f64,
}

/// One-way times between a proxy and a backend, in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Within a zone.
    pub same_zone_ms: f64,
    /// Between zones of a region.
    pub same_region_ms: f64,
    /// Between regions.
    pub cross_region_ms: f64,
    /// Round trips of a new connection.
    pub connect_rtts: f64,
}

/// How changes spread, in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// From a change to its being known in its own region.
    pub notice_ms: f64,
    /// From there to a proxy: least and most.
    pub spread_ms: [f64; 2],
    /// From region to region.
    pub region_ms: f64,
    /// Until a backend that is unresponsive is taken off the list.
    pub silent_notice_ms: f64,
}

/// Why a scenario was rejected: one line that names the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioError(String);

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ScenarioError {}

impl ScenarioError {
    /// What another part rejected.
    pub fn new(e: impl fmt::Display) -> Self {
        ScenarioError(e.to_string())
    }
}

impl Scenario {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let error_in_file = |e: &dyn fmt::Display| ScenarioError(format!("scenario {}: {e}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| error_in_file(&e))?;
        Scenario::parse(&text).map_err(|e| error_in_file(&e))
    }

    /// Reads the text of a file; an error names the key, or the line of what is no TOML.
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

    /// The settings of a proxy, as its file has them.
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

    /// The same, read as the proxy reads them.
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

    /// A figure of the settings that the balancer doesn't get, as of `classes`; 0 where it is left out.
    pub fn class_values(&self, key: &str) -> Vec<f64> {
        let classes = self.settings.get("classes").and_then(Value::as_array);
        let value = |class: &Value| class.get(key).and_then(Value::as_f64).unwrap_or(0.0);
        classes.map(|c| c.iter().map(value).collect()).unwrap_or_default()
    }

    /// The same of `guarantees`.
    pub fn guarantee(&self, key: &str) -> f64 {
        let guarantees = self.settings.get("guarantees");
        guarantees.and_then(|g| g.get(key)).and_then(Value::as_f64).unwrap_or(0.0)
    }

    /// Region of a zone: zones are dealt out to the regions in turn.
    pub fn region_of(&self, zone: u16) -> usize {
        usize::from(zone) % self.target.regions
    }

    /// Changes a second of the run.
    pub fn changes_per_s(&self) -> f64 {
        self.target.changes_per_day / 86_400.0 * self.run.change_compression
    }
}

/// Name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}
