//! Whether the figures of a scenario are in their ranges.

use super::{Backend, Calls, Discovery, Invalid, Limits, Network, RealPart, Run, Scenario, Target};
use foldhitch_balancer::Balancer;

/// Most sizes that a run takes on.
const MAX_SIZES: usize = 16;
/// Most backends of one size.
const MAX_BACKENDS: usize = 4096;
/// For figures that need no upper bound but must be finite.
const UNBOUNDED: f64 = 1e9;

/// A figure of the scenario, with its key and the range that it must be in.
struct Figure {
    key: String,
    value: f64,
    least: f64,
    most: f64,
}

impl Figure {
    fn new(key: impl Into<String>, value: f64, least: f64, most: f64) -> Self {
        Figure { key: key.into(), value, least, most }
    }

    fn check(&self) -> Result<(), Invalid> {
        let Figure { key, value, least, most } = self;
        // What is no number is in no range.
        if (least..=most).contains(&value) {
            Ok(())
        } else {
            Err(Invalid(format!("{key}: {value} is not in {least} to {most}")))
        }
    }
}

impl Scenario {
    /// Whether its figures are in their ranges.
    ///
    /// # Errors
    ///
    /// The first key whose figure isn't.
    pub fn check(&self) -> Result<(), Invalid> {
        let sizes = self.sizes.len();
        if sizes == 0 || sizes > MAX_SIZES {
            return Err(Invalid(format!("sizes: {sizes} of them, where 1 to {MAX_SIZES} can be run")));
        }
        self.figures().iter().try_for_each(Figure::check)?;
        self.check_settings()
    }

    /// All figures, in the order in which they are checked.
    fn figures(&self) -> Vec<Figure> {
        let backends = self.target.backends as f64;
        let services = self.target.services as f64;
        let mut figures = vec![
            Figure::new("target.backends", backends, 1.0, MAX_BACKENDS as f64),
            Figure::new("target.services", services, 1.0, backends),
        ];
        for (index, &size) in self.sizes.iter().enumerate() {
            figures.push(Figure::new(format!("sizes[{index}]"), size as f64, services, MAX_BACKENDS as f64));
        }
        for (index, &share) in self.calls.mix.iter().enumerate() {
            figures.push(Figure::new(format!("calls.mix[{index}]"), share, 0.0, 1.0));
        }
        figures.extend(self.target.figures());
        figures.extend(self.limits.figures());
        figures.extend(self.run.figures(self.limits.processes));
        figures.extend(self.calls.figures());
        figures.extend(self.backend.figures());
        figures.extend(self.network.figures());
        figures.extend(self.discovery.figures());
        figures.extend(self.real.figures());
        figures
    }

    fn check_settings(&self) -> Result<(), Invalid> {
        let settings = self.resolved_settings(0, 1, 0, 0)?;
        let mix = &self.calls.mix;
        let classes = settings.balancer.classes.len();
        if mix.len() != classes || mix.iter().sum::<f64>() <= 0.0 {
            return Err(Invalid(format!("calls.mix: {mix:?} gives no share to each of {classes} classes")));
        }
        Balancer::new(settings.balancer, 0).map_err(Invalid::of)?;
        Ok(())
    }
}

impl Target {
    fn figures(&self) -> Vec<Figure> {
        vec![
            Figure::new("target.calls_per_s", self.calls_per_s, 0.0, UNBOUNDED),
            Figure::new("target.depth", self.depth as f64, 1.0, self.services as f64),
            Figure::new("target.added_p99_ms", self.added_p99_ms, 0.0, UNBOUNDED),
            Figure::new("target.regions", self.regions as f64, 1.0, self.zones as f64),
            Figure::new("target.zones", self.zones as f64, 1.0, 1000.0),
            Figure::new("target.changes_per_day", self.changes_per_day, 0.0, UNBOUNDED),
            Figure::new("target.in_force_within_s", self.in_force_within_s, 0.001, UNBOUNDED),
            Figure::new("target.control_core_share", self.control_core_share, 1e-6, 1000.0),
            Figure::new("target.control_memory_mb", self.control_memory_mb, 1e-3, UNBOUNDED),
            Figure::new("target.control_kb_per_s", self.control_kb_per_s, 1e-3, UNBOUNDED),
            Figure::new("target.control_machines", self.control_machines as f64, 1.0, UNBOUNDED),
            Figure::new("target.machine_failures_per_day", self.machine_failures_per_day, 0.0, UNBOUNDED),
            Figure::new("target.restarts_per_day", self.restarts_per_day, 0.0, UNBOUNDED),
            Figure::new("target.rack_losses_per_year", self.rack_losses_per_year, 0.0, UNBOUNDED),
            Figure::new("target.zone_losses_per_year", self.zone_losses_per_year, 0.0, UNBOUNDED),
            Figure::new("target.region_cuts_per_year", self.region_cuts_per_year, 0.0, UNBOUNDED),
            Figure::new("target.region_cut_minutes", self.region_cut_minutes, 0.0, UNBOUNDED),
        ]
    }
}

impl Limits {
    fn figures(&self) -> Vec<Figure> {
        vec![
            Figure::new("limits.memory_gb", self.memory_gb, 0.1, 10.0),
            Figure::new("limits.processes", self.processes as f64, 1.0, 300.0),
            Figure::new("limits.run_s", self.run_s, 1.0, 300.0),
        ]
    }
}

impl Run {
    fn figures(&self, most_processes: usize) -> Vec<Figure> {
        vec![
            Figure::new("run.calls_per_s_per_backend", self.calls_per_s_per_backend, 0.001, 10_000.0),
            Figure::new(
                "run.hollow_calls_per_s_per_backend",
                self.simulated_calls_per_s_per_backend,
                0.001,
                10_000.0,
            ),
            Figure::new("run.change_compression", self.change_compression, 0.0, 1e6),
            Figure::new("run.steady_s", self.steady_s, 0.1, 3600.0),
            Figure::new("run.event_s", self.event_s, 0.1, 3600.0),
            Figure::new("run.after_s", self.after_s, 0.1, 3600.0),
            Figure::new("run.window_s", self.window_s, 0.01, 3600.0),
            Figure::new("run.real_processes", self.real_processes as f64, 0.0, most_processes as f64),
            Figure::new("run.entry_per_backend", self.entry_per_backend, 0.0, 1.0),
        ]
    }
}

impl Calls {
    fn figures(&self) -> Vec<Figure> {
        vec![
            Figure::new("calls.onward_share", self.onward_share, 0.0, 1.0),
            Figure::new("calls.reserve_ms", self.reserve_ms, 0.0, 1e6),
            Figure::new("calls.client_retries", f64::from(self.client_retries), 0.0, 10.0),
            Figure::new("calls.client_backoff_ms", self.client_backoff_ms, 1.0, UNBOUNDED),
        ]
    }
}

impl Backend {
    fn figures(&self) -> Vec<Figure> {
        vec![
            Figure::new("backend.work_ms", self.work_ms, 0.001, 1e6),
            Figure::new("backend.slots", self.slots as f64, 1.0, 1e6),
            Figure::new("backend.queue", self.queue as f64, 0.0, 1e6),
            Figure::new("backend.cold_capacity", self.cold_capacity, 0.001, 1.0),
            Figure::new("backend.cold_s", self.cold_s, 0.0, 3600.0),
            Figure::new("backend.fall_s", self.fall_s, 0.0, 3600.0),
            Figure::new("backend.connect_timeout_ms", self.connect_timeout_ms, 1.0, 1e6),
            Figure::new("backend.restart_s", self.restart_s, 0.0, 3600.0),
        ]
    }
}

impl Network {
    fn figures(&self) -> Vec<Figure> {
        vec![
            Figure::new("network.same_zone_ms", self.same_zone_ms, 0.0, 1e6),
            Figure::new("network.same_region_ms", self.same_region_ms, 0.0, 1e6),
            Figure::new("network.cross_region_ms", self.cross_region_ms, 0.0, 1e6),
            Figure::new("network.connect_rtts", self.connect_rtts, 0.0, 100.0),
        ]
    }
}

impl Discovery {
    fn figures(&self) -> Vec<Figure> {
        vec![
            Figure::new("discovery.notice_ms", self.notice_ms, 0.0, 1e6),
            Figure::new("discovery.spread_ms[0]", self.spread_ms[0], 0.0, 1e6),
            Figure::new("discovery.spread_ms[1]", self.spread_ms[1], self.spread_ms[0], 1e6),
            Figure::new("discovery.region_ms", self.region_ms, 0.0, 1e6),
            Figure::new("discovery.silent_notice_ms", self.silent_notice_ms, 0.0, 1e6),
        ]
    }
}

impl RealPart {
    fn figures(&self) -> Vec<Figure> {
        let mut figures = vec![
            Figure::new("real.phase_s", self.phase_s, 0.1, 60.0),
            Figure::new("real.hops_per_s_per_proxy", self.hops_per_s_per_proxy, 0.0, 10_000.0),
            Figure::new("real.depths", self.depths.len() as f64, 1.0, 16.0),
            Figure::new("real.hollow_per_process", self.simulated_per_process as f64, 1.0, 1000.0),
            Figure::new("real.work_ms", self.work_ms, 0.0, 1e6),
            Figure::new("real.cold_work_ms", self.cold_work_ms, 0.0, 1e6),
            Figure::new("real.late_ms", self.late_ms, 0.0, 1e6),
            Figure::new("real.draining_share", self.draining_share, 0.0, 0.5),
        ];
        for (index, &depth) in self.depths.iter().enumerate() {
            figures.push(Figure::new(format!("real.depths[{index}]"), depth as f64, 1.0, 100.0));
        }
        figures
    }
}
