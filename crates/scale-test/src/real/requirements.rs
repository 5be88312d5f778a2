//! What a size of the real part needs of the machine.

use crate::scenario::Scenario;

/// What a size needs of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requirements {
    /// Real proxies.
    pub real: usize,
    /// Proxies of both kinds, each with its watch.
    pub watches: usize,
    /// Processes of simulated ones.
    pub hosts: usize,
    /// Descriptors of this process.
    pub descriptors: usize,
}

/// Descriptors of this process beside connections: standard streams, reactors, pipes.
const RESERVED_DESCRIPTORS: usize = 256;
/// Connections of clients and to backends that a real proxy has at this process, at the most that is seen.
const CONNECTIONS_PER_PROXY: usize = 64;
/// Descriptors that a real proxy may hold, by its configuration.
pub const PROXY_SOCKETS: usize = 1024;
/// Memory that a real proxy may use, by its configuration, in MB.
pub const PROXY_MEMORY_MB: usize = 192;

impl Requirements {
    /// Of a size, with or without its simulated proxies.
    pub fn for_size(scenario: &Scenario, size: usize, with_simulated: bool) -> Self {
        let real = scenario.run.real_processes.min(size);
        let watches = if with_simulated { size } else { real };
        let hosts = (watches - real).div_ceil(scenario.real.simulated_per_process);
        // A backend; for each proxy a listener of discovery and a watch; two pipes for each process.
        let descriptors =
            size + 2 * watches + (CONNECTIONS_PER_PROXY + 2) * real + 2 * hosts + RESERVED_DESCRIPTORS;
        Requirements { real, watches, hosts, descriptors }
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
