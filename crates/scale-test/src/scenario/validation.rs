//! Checks that the values of a scenario are within their ranges.

use super::{Backend, Calls, Discovery, Limits, Network, RealPart, Run, Scenario, ScenarioError, Target};
use foldhitch_balancer::Balancer;

/// Maximum number of sizes of a run.
const MAX_SIZES: usize = 16;
/// Maximum number of backends of a size.
const MAX_BACKENDS: usize = 4096;
/// Upper bound of values that only have to be finite.
const UNBOUNDED: f64 = 1e9;

/// A value of the scenario with its key and its allowed range.
struct BoundedValue {
    key: String,
    value: f64,
    min: f64,
    max: f64,
}

impl BoundedValue {
    fn new(key: impl Into<String>, value: f64, min: f64, max: f64) -> Self {
        BoundedValue { key: key.into(), value, min, max }
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let BoundedValue { key, value, min, max } = self;
        // NaN is outside every range.
        if (min..=max).contains(&value) {
            Ok(())
        } else {
            Err(ScenarioError(format!("{key}: {value} is not between {min} and {max}")))
        }
    }
}

impl Scenario {
    /// Checks that all values are within their ranges.
    ///
    /// # Errors
    ///
    /// Names the first key whose value is out of range.
    pub fn check(&self) -> Result<(), ScenarioError> {
        let size_count = self.sizes.len();
        if size_count == 0 || size_count > MAX_SIZES {
            return Err(ScenarioError(format!("sizes: {size_count} entries; expected 1 to {MAX_SIZES}")));
        }
        self.bounded_values().iter().try_for_each(BoundedValue::check)?;
        self.check_settings()
    }

    /// Returns all values in the order in which they are checked.
    fn bounded_values(&self) -> Vec<BoundedValue> {
        let backends = self.target.backends as f64;
        let services = self.target.services as f64;
        let mut values = vec![
            BoundedValue::new("target.backends", backends, 1.0, MAX_BACKENDS as f64),
            BoundedValue::new("target.services", services, 1.0, backends),
        ];
        for (index, &size) in self.sizes.iter().enumerate() {
            values.push(BoundedValue::new(
                format!("sizes[{index}]"),
                size as f64,
                services,
                MAX_BACKENDS as f64,
            ));
        }
        for (index, &share) in self.calls.mix.iter().enumerate() {
            values.push(BoundedValue::new(format!("calls.mix[{index}]"), share, 0.0, 1.0));
        }
        values.extend(self.target.bounded_values());
        values.extend(self.limits.bounded_values());
        values.extend(self.run.bounded_values(self.limits.processes));
        values.extend(self.calls.bounded_values());
        values.extend(self.backend.bounded_values());
        values.extend(self.network.bounded_values());
        values.extend(self.discovery.bounded_values());
        values.extend(self.real.bounded_values());
        values
    }

    fn check_settings(&self) -> Result<(), ScenarioError> {
        let settings = self.resolved_settings(0, 1, 0, 0)?;
        let mix = &self.calls.mix;
        let class_count = settings.balancer.classes.len();
        if mix.len() != class_count || mix.iter().sum::<f64>() <= 0.0 {
            return Err(ScenarioError(format!(
                "calls.mix: {mix:?} must have a share for each of {class_count} classes and a sum above 0"
            )));
        }
        Balancer::new(settings.balancer, 0).map_err(ScenarioError::new)?;
        Ok(())
    }
}

impl Target {
    fn bounded_values(&self) -> Vec<BoundedValue> {
        vec![
            BoundedValue::new("target.calls_per_s", self.calls_per_s, 0.0, UNBOUNDED),
            BoundedValue::new("target.depth", self.depth as f64, 1.0, self.services as f64),
            BoundedValue::new("target.added_p99_ms", self.added_p99_ms, 0.0, UNBOUNDED),
            BoundedValue::new("target.regions", self.regions as f64, 1.0, self.zones as f64),
            BoundedValue::new("target.zones", self.zones as f64, 1.0, 1000.0),
            BoundedValue::new("target.changes_per_day", self.changes_per_day, 0.0, UNBOUNDED),
            BoundedValue::new("target.in_force_within_s", self.in_force_within_s, 0.001, UNBOUNDED),
            BoundedValue::new("target.control_core_share", self.control_core_share, 1e-6, 1000.0),
            BoundedValue::new("target.control_memory_mb", self.control_memory_mb, 1e-3, UNBOUNDED),
            BoundedValue::new("target.control_kb_per_s", self.control_kb_per_s, 1e-3, UNBOUNDED),
            BoundedValue::new("target.control_machines", self.control_machines as f64, 1.0, UNBOUNDED),
            BoundedValue::new(
                "target.machine_failures_per_day",
                self.machine_failures_per_day,
                0.0,
                UNBOUNDED,
            ),
            BoundedValue::new("target.restarts_per_day", self.restarts_per_day, 0.0, UNBOUNDED),
            BoundedValue::new("target.rack_losses_per_year", self.rack_losses_per_year, 0.0, UNBOUNDED),
            BoundedValue::new("target.zone_losses_per_year", self.zone_losses_per_year, 0.0, UNBOUNDED),
            BoundedValue::new("target.region_cuts_per_year", self.region_cuts_per_year, 0.0, UNBOUNDED),
            BoundedValue::new("target.region_cut_minutes", self.region_cut_minutes, 0.0, UNBOUNDED),
        ]
    }
}

impl Limits {
    fn bounded_values(&self) -> Vec<BoundedValue> {
        vec![
            BoundedValue::new("limits.memory_gb", self.memory_gb, 0.1, 10.0),
            BoundedValue::new("limits.processes", self.processes as f64, 1.0, 300.0),
            BoundedValue::new("limits.run_s", self.run_s, 1.0, 300.0),
        ]
    }
}

impl Run {
    fn bounded_values(&self, max_processes: usize) -> Vec<BoundedValue> {
        vec![
            BoundedValue::new("run.calls_per_s_per_backend", self.calls_per_s_per_backend, 0.001, 10_000.0),
            BoundedValue::new(
                "run.hollow_calls_per_s_per_backend",
                self.simulated_calls_per_s_per_backend,
                0.001,
                10_000.0,
            ),
            BoundedValue::new("run.change_compression", self.change_compression, 0.0, 1e6),
            BoundedValue::new("run.steady_s", self.steady_s, 0.1, 3600.0),
            BoundedValue::new("run.event_s", self.event_s, 0.1, 3600.0),
            BoundedValue::new("run.after_s", self.after_s, 0.1, 3600.0),
            BoundedValue::new("run.window_s", self.window_s, 0.01, 3600.0),
            BoundedValue::new("run.real_processes", self.real_processes as f64, 0.0, max_processes as f64),
            BoundedValue::new("run.entry_per_backend", self.entry_per_backend, 0.0, 1.0),
        ]
    }
}

impl Calls {
    fn bounded_values(&self) -> Vec<BoundedValue> {
        vec![
            BoundedValue::new("calls.onward_share", self.onward_share, 0.0, 1.0),
            BoundedValue::new("calls.reserve_ms", self.reserve_ms, 0.0, 1e6),
            BoundedValue::new("calls.client_retries", f64::from(self.client_retries), 0.0, 10.0),
            BoundedValue::new("calls.client_backoff_ms", self.client_backoff_ms, 1.0, UNBOUNDED),
        ]
    }
}

impl Backend {
    fn bounded_values(&self) -> Vec<BoundedValue> {
        vec![
            BoundedValue::new("backend.work_ms", self.work_ms, 0.001, 1e6),
            BoundedValue::new("backend.slots", self.slots as f64, 1.0, 1e6),
            BoundedValue::new("backend.queue", self.queue as f64, 0.0, 1e6),
            BoundedValue::new("backend.cold_capacity", self.cold_capacity, 0.001, 1.0),
            BoundedValue::new("backend.cold_s", self.cold_s, 0.0, 3600.0),
            BoundedValue::new("backend.fall_s", self.fall_s, 0.0, 3600.0),
            BoundedValue::new("backend.connect_timeout_ms", self.connect_timeout_ms, 1.0, 1e6),
            BoundedValue::new("backend.restart_s", self.restart_s, 0.0, 3600.0),
        ]
    }
}

impl Network {
    fn bounded_values(&self) -> Vec<BoundedValue> {
        vec![
            BoundedValue::new("network.same_zone_ms", self.same_zone_ms, 0.0, 1e6),
            BoundedValue::new("network.same_region_ms", self.same_region_ms, 0.0, 1e6),
            BoundedValue::new("network.cross_region_ms", self.cross_region_ms, 0.0, 1e6),
            BoundedValue::new("network.connect_rtts", self.connect_rtts, 0.0, 100.0),
        ]
    }
}

impl Discovery {
    fn bounded_values(&self) -> Vec<BoundedValue> {
        vec![
            BoundedValue::new("discovery.notice_ms", self.notice_ms, 0.0, 1e6),
            BoundedValue::new("discovery.spread_ms[0]", self.spread_ms[0], 0.0, 1e6),
            BoundedValue::new("discovery.spread_ms[1]", self.spread_ms[1], self.spread_ms[0], 1e6),
            BoundedValue::new("discovery.region_ms", self.region_ms, 0.0, 1e6),
            BoundedValue::new("discovery.silent_notice_ms", self.silent_notice_ms, 0.0, 1e6),
        ]
    }
}

impl RealPart {
    fn bounded_values(&self) -> Vec<BoundedValue> {
        let mut values = vec![
            BoundedValue::new("real.phase_s", self.phase_s, 0.1, 60.0),
            BoundedValue::new("real.hops_per_s_per_proxy", self.hops_per_s_per_proxy, 0.0, 10_000.0),
            BoundedValue::new("real.depths", self.depths.len() as f64, 1.0, 16.0),
            BoundedValue::new("real.hollow_per_process", self.simulated_per_process as f64, 1.0, 1000.0),
            BoundedValue::new("real.work_ms", self.work_ms, 0.0, 1e6),
            BoundedValue::new("real.cold_work_ms", self.cold_work_ms, 0.0, 1e6),
            BoundedValue::new("real.late_ms", self.late_ms, 0.0, 1e6),
            BoundedValue::new("real.draining_share", self.draining_share, 0.0, 0.5),
        ];
        for (index, &depth) in self.depths.iter().enumerate() {
            values.push(BoundedValue::new(format!("real.depths[{index}]"), depth as f64, 1.0, 100.0));
        }
        values
    }
}
