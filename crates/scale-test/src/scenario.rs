//! The scenario file: the target's figures by name, and those of the run that scales it down.

use crate::real::requirements::Plan;
use foldhitch_balancer::settings_format::{self, ResolvedSettings};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::fmt;
use std::path::Path;

/// A run, as its file tells it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Feeds every random number of the hollow part.
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
    pub real: Plan,
    /// How services call each other.
    pub calls: Calls,
    /// What a hollow backend is like.
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
    /// Calls a second for each backend of the hollow fleet, over all depths.
    pub hollow_calls_per_s_per_backend: f64,
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
    /// Real processes of each size, beside the hollow proxies.
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
    /// Further tries of a client whose call was refused.
    pub client_retries: u32,
    /// Pause before such a try, in milliseconds, where the refusal advises none.
    pub client_backoff_ms: f64,
}

/// What a hollow backend is like.
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
    /// Seconds that one is away which was pushed over while cold.
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
    /// Until a backend that is silent is taken off the list.
    pub silent_notice_ms: f64,
}

/// Why a scenario was turned down: one line that names the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid(String);

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Invalid {}

impl Invalid {
    /// What another part turned down.
    pub fn of(e: impl fmt::Display) -> Self {
        Invalid(e.to_string())
    }
}

/// Most sizes, and most backends of one, that a run takes on.
const MOST: (usize, usize) = (16, 4096);

impl Scenario {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Self, Invalid> {
        let invalid = |e: &dyn fmt::Display| Invalid(format!("scenario {}: {e}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| invalid(&e))?;
        Scenario::parse(&text).map_err(|e| invalid(&e))
    }

    /// Reads the text of a file; an error names the key, or the line of what is no TOML.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        let one_line = |e: toml::de::Error| e.message().replace('\n', " ");
        let toml = toml::Deserializer::parse(text).map_err(|e| {
            let line = e.span().map_or(0, |s| text[..s.start].matches('\n').count()) + 1;
            Invalid(format!("line {line}: {}", one_line(e)))
        })?;
        let scenario: Scenario = serde_path_to_error::deserialize(toml).map_err(|e| {
            let key = e.path().to_string();
            Invalid(format!("{key}: {}", one_line(e.into_inner())))
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// The settings of a proxy, as its file has them.
    pub fn settings_of(&self, copy: u32, copies: u32, tier: u32, zone: u16) -> Value {
        let mut settings = self.settings.clone();
        let zones: Vec<String> = (0..self.target.zones).map(zone_name).collect();
        for (key, value) in [
            ("slotNo", copy.into()),
            ("peersTotal", copies.into()),
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
        copy: u32,
        copies: u32,
        tier: u32,
        zone: u16,
    ) -> Result<ResolvedSettings, Invalid> {
        settings_format::read(self.settings_of(copy, copies, tier, zone))
            .map_err(|error| Invalid(error.to_string()))
    }

    /// A figure of the settings that the decision module isn't told, as of `classes`; 0 where it is left out.
    pub fn of_classes(&self, key: &str) -> Vec<f64> {
        let classes = self.settings.get("classes").and_then(Value::as_array);
        let figure = |class: &Value| class.get(key).and_then(Value::as_f64).unwrap_or(0.0);
        classes.map(|c| c.iter().map(figure).collect()).unwrap_or_default()
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

    /// Whether its figures are in their ranges; an error names the key.
    pub fn check(&self) -> Result<(), Invalid> {
        let (t, l, r, b) = (&self.target, &self.limits, &self.run, &self.backend);
        let (c, n, d) = (&self.calls, &self.network, &self.discovery);
        let sizes = self.sizes.len();
        if sizes == 0 || sizes > MOST.0 {
            return Err(Invalid(format!("sizes: {sizes} of them, where 1 to {} can be run", MOST.0)));
        }
        let day = 1e9;
        let mut figures = vec![
            ("target.backends".to_string(), t.backends as f64, 1.0, MOST.1 as f64),
            ("target.services".to_string(), t.services as f64, 1.0, t.backends as f64),
        ];
        for (i, &size) in self.sizes.iter().enumerate() {
            figures.push((format!("sizes[{i}]"), size as f64, t.services as f64, MOST.1 as f64));
        }
        for (i, &share) in c.mix.iter().enumerate() {
            figures.push((format!("calls.mix[{i}]"), share, 0.0, 1.0));
        }
        let rest = [
            ("target.calls_per_s", t.calls_per_s, 0.0, day),
            ("target.depth", t.depth as f64, 1.0, t.services as f64),
            ("target.added_p99_ms", t.added_p99_ms, 0.0, day),
            ("target.regions", t.regions as f64, 1.0, t.zones as f64),
            ("target.zones", t.zones as f64, 1.0, 1000.0),
            ("target.changes_per_day", t.changes_per_day, 0.0, day),
            ("target.in_force_within_s", t.in_force_within_s, 0.001, day),
            ("target.control_core_share", t.control_core_share, 1e-6, 1000.0),
            ("target.control_memory_mb", t.control_memory_mb, 1e-3, day),
            ("target.control_kb_per_s", t.control_kb_per_s, 1e-3, day),
            ("target.control_machines", t.control_machines as f64, 1.0, day),
            ("target.machine_failures_per_day", t.machine_failures_per_day, 0.0, day),
            ("target.restarts_per_day", t.restarts_per_day, 0.0, day),
            ("target.rack_losses_per_year", t.rack_losses_per_year, 0.0, day),
            ("target.zone_losses_per_year", t.zone_losses_per_year, 0.0, day),
            ("target.region_cuts_per_year", t.region_cuts_per_year, 0.0, day),
            ("target.region_cut_minutes", t.region_cut_minutes, 0.0, day),
            ("limits.memory_gb", l.memory_gb, 0.1, 10.0),
            ("limits.processes", l.processes as f64, 1.0, 300.0),
            ("limits.run_s", l.run_s, 1.0, 300.0),
            ("run.calls_per_s_per_backend", r.calls_per_s_per_backend, 0.001, 10_000.0),
            ("run.hollow_calls_per_s_per_backend", r.hollow_calls_per_s_per_backend, 0.001, 10_000.0),
            ("run.change_compression", r.change_compression, 0.0, 1e6),
            ("run.steady_s", r.steady_s, 0.1, 3600.0),
            ("run.event_s", r.event_s, 0.1, 3600.0),
            ("run.after_s", r.after_s, 0.1, 3600.0),
            ("run.window_s", r.window_s, 0.01, 3600.0),
            ("run.real_processes", r.real_processes as f64, 0.0, l.processes as f64),
            ("run.entry_per_backend", r.entry_per_backend, 0.0, 1.0),
            ("calls.onward_share", c.onward_share, 0.0, 1.0),
            ("calls.reserve_ms", c.reserve_ms, 0.0, 1e6),
            ("calls.client_retries", f64::from(c.client_retries), 0.0, 10.0),
            ("calls.client_backoff_ms", c.client_backoff_ms, 1.0, day),
            ("backend.work_ms", b.work_ms, 0.001, 1e6),
            ("backend.slots", b.slots as f64, 1.0, 1e6),
            ("backend.queue", b.queue as f64, 0.0, 1e6),
            ("backend.cold_capacity", b.cold_capacity, 0.001, 1.0),
            ("backend.cold_s", b.cold_s, 0.0, 3600.0),
            ("backend.fall_s", b.fall_s, 0.0, 3600.0),
            ("backend.connect_timeout_ms", b.connect_timeout_ms, 1.0, 1e6),
            ("backend.restart_s", b.restart_s, 0.0, 3600.0),
            ("network.same_zone_ms", n.same_zone_ms, 0.0, 1e6),
            ("network.same_region_ms", n.same_region_ms, 0.0, 1e6),
            ("network.cross_region_ms", n.cross_region_ms, 0.0, 1e6),
            ("network.connect_rtts", n.connect_rtts, 0.0, 100.0),
            ("discovery.notice_ms", d.notice_ms, 0.0, 1e6),
            ("discovery.spread_ms[0]", d.spread_ms[0], 0.0, 1e6),
            ("discovery.spread_ms[1]", d.spread_ms[1], d.spread_ms[0], 1e6),
            ("discovery.region_ms", d.region_ms, 0.0, 1e6),
            ("discovery.silent_notice_ms", d.silent_notice_ms, 0.0, 1e6),
        ];
        figures.extend(rest.map(|(key, x, least, most)| (key.to_string(), x, least, most)));
        // What is no number is in no range.
        match figures.into_iter().find(|(_, x, least, most)| !(least..=most).contains(&x)) {
            Some((key, x, least, most)) => Err(Invalid(format!("{key}: {x} is not in {least} to {most}"))),
            None => match self.real.check() {
                Some(wrong) => Err(Invalid(wrong)),
                None => self.check_settings(),
            },
        }
    }

    fn check_settings(&self) -> Result<(), Invalid> {
        let resolved = self.resolved_settings(0, 1, 0, 0)?;
        let (mix, classes) = (&self.calls.mix, resolved.balancer.classes.len());
        if mix.len() != classes || mix.iter().sum::<f64>() <= 0.0 {
            return Err(Invalid(format!("calls.mix: {mix:?} gives no share to each of {classes} classes")));
        }
        foldhitch_balancer::Balancer::new(resolved.balancer, 0).map(drop).map_err(|e| Invalid(e.to_string()))
    }
}

/// Name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}
