//! How the real part is laid out, as the scenario file tells it.

use crate::scenario::Scenario;
use serde::Deserialize;

/// The real part's own figures.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seconds that each phase is measured.
    pub phase_s: f64,
    /// Hops a second through each real proxy.
    pub hops_per_s_per_proxy: f64,
    /// Calls one behind the other, of which each call draws one.
    pub depths: Vec<usize>,
    /// Hollow proxies to a process.
    pub hollow_per_process: usize,
    /// Milliseconds that a warm backend works on a call.
    pub work_ms: f64,
    /// The same at its start, from where it falls.
    pub cold_work_ms: f64,
    /// A call that is sent so many milliseconds after its instant is late.
    pub late_ms: f64,
    /// Share of the backends that may drain at once.
    pub draining_share: f64,
}

impl Plan {
    /// What is wrong with it, as a line that names the key.
    pub fn check(&self) -> Option<String> {
        let mut figures = vec![
            ("real.phase_s".to_string(), self.phase_s, 0.1, 60.0),
            ("real.hops_per_s_per_proxy".to_string(), self.hops_per_s_per_proxy, 0.0, 10_000.0),
            ("real.depths".to_string(), self.depths.len() as f64, 1.0, 16.0),
            ("real.hollow_per_process".to_string(), self.hollow_per_process as f64, 1.0, 1000.0),
            ("real.work_ms".to_string(), self.work_ms, 0.0, 1e6),
            ("real.cold_work_ms".to_string(), self.cold_work_ms, 0.0, 1e6),
            ("real.late_ms".to_string(), self.late_ms, 0.0, 1e6),
            ("real.draining_share".to_string(), self.draining_share, 0.0, 0.5),
        ];
        let depths = self.depths.iter().enumerate();
        figures.extend(depths.map(|(i, &depth)| (format!("real.depths[{i}]"), depth as f64, 1.0, 100.0)));
        // What is no number is in no range.
        let wrong = figures.into_iter().find(|(_, x, least, most)| !(least..=most).contains(&x));
        wrong.map(|(key, x, least, most)| format!("{key}: {x} is not in {least} to {most}"))
    }
}

/// What a size needs of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// Real proxies.
    pub real: usize,
    /// Proxies of both kinds, each with its watch.
    pub watches: usize,
    /// Processes of hollow ones.
    pub hosts: usize,
    /// Descriptors of this process.
    pub descriptors: usize,
}

/// Descriptors of this process beside connections: standard streams, reactors, pipes.
const RESERVED: usize = 256;
/// Connections of callers and to backends that a real proxy has at this process, at the most that is seen.
const PER_PROXY: usize = 64;
/// Descriptors that a real proxy is told that it may hold.
pub const PROXY_SOCKETS: usize = 1024;
/// Memory that a real proxy is told that it may use, in MB.
pub const PROXY_MEMORY_MB: usize = 192;

impl Need {
    /// Of a size, with or without its hollow proxies.
    pub fn of(scenario: &Scenario, size: usize, hollow: bool) -> Self {
        let real = scenario.run.real_processes.min(size);
        let watches = if hollow { size } else { real };
        let hosts = (watches - real).div_ceil(scenario.real.hollow_per_process);
        // A backend; for each proxy a listener of discovery and a watch; two pipes for each process.
        let descriptors = size + 2 * watches + (PER_PROXY + 2) * real + 2 * hosts + RESERVED;
        Need { real, watches, hosts, descriptors }
    }

    /// Whether the machine and the scenario's limits allow it; the limits are left as they are.
    ///
    /// # Errors
    ///
    /// A line that names the limit and the need.
    pub fn check(&self, scenario: &Scenario, size: usize) -> anyhow::Result<()> {
        let processes = 1 + self.real + self.hosts;
        if processes > scenario.limits.processes {
            let limit = scenario.limits.processes;
            anyhow::bail!("limits.processes: {limit}, and size {size} needs {processes}");
        }
        let need = self.descriptors.max(PROXY_SOCKETS);
        match rustix::process::getrlimit(rustix::process::Resource::Nofile).current {
            Some(limit) if limit < need as u64 => {
                anyhow::bail!("descriptors: the limit is {limit}, and size {size} needs {need}")
            }
            _ => Ok(()),
        }
    }
}
