//! The resources that a size of the real part requires.

use crate::scenario::Scenario;

/// The processes and file descriptors that a size requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requirements {
    /// The number of real proxies.
    pub real: usize,
    /// The number of real and simulated proxies, each of which has a watch.
    pub watches: usize,
    /// The number of processes that host simulated proxies.
    pub hosts: usize,
    /// The number of file descriptors of this process.
    pub descriptors: usize,
}

/// File descriptors of this process that are not connections: standard streams, reactors, pipes.
const RESERVED_DESCRIPTORS: usize = 256;
/// The maximum number of connections between a real proxy and the clients and backends of this process.
const CONNECTIONS_PER_PROXY: usize = 64;
/// The limit of sockets in the configuration of a real proxy.
pub const PROXY_SOCKETS: usize = 1024;
/// The memory limit in the configuration of a real proxy, in MB.
pub const PROXY_MEMORY_MB: usize = 192;

impl Requirements {
    /// Returns the requirements of a size, with or without its simulated proxies.
    pub fn for_size(scenario: &Scenario, size: usize, with_simulated: bool) -> Self {
        let real = scenario.run.real_processes.min(size);
        let watches = if with_simulated { size } else { real };
        let hosts = (watches - real).div_ceil(scenario.real.simulated_per_process);
        // One listener per backend; one listener of the discovery stand-in and one watch connection per proxy; two
        // pipes per process.
        let descriptors =
            size + 2 * watches + (CONNECTIONS_PER_PROXY + 2) * real + 2 * hosts + RESERVED_DESCRIPTORS;
        Requirements { real, watches, hosts, descriptors }
    }

    /// Checks the requirements against the limits of the scenario and of the machine. It does not change the limits.
    ///
    /// # Errors
    ///
    /// Returns a one-line error that names the limit and the required number.
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
