//! How descriptors and memory are divided. Processes that act as one proxy share what the configuration allows.

use crate::admin;
use crate::config::Config;
use crate::downstream::MAX_REJECTING_CONNECTIONS;

/// Descriptors that are neither clients' nor backends' connections: standard streams, the listener, the reactor,
/// signals, discovery, and connections that are accepted only to be rejected.
const RESERVED_DESCRIPTORS: usize = 16 + MAX_REJECTING_CONNECTIONS;
/// With an admin API as many again: its connections, its listener, and the folder of markers.
const ADMIN_DESCRIPTORS: usize = admin::MAX_CONNECTIONS + 4;
/// Connections that are left to a process where descriptors are short.
const MIN_CONNECTIONS: usize = 8;
/// The bodies of open requests may fill one such part of the memory; the rest is for buffers, responses and the program.
const BODY_MEMORY_DIVISOR: usize = 4;

/// What a proxy may hold, over all its processes.
#[derive(Debug, Clone, Copy)]
pub struct ResourceLimits {
    max_descriptors: usize,
    reserved_descriptors: usize,
    memory_bytes: usize,
}

impl ResourceLimits {
    /// The limits of a configuration.
    pub fn new(config: &Config) -> Self {
        let admin_descriptors = if config.admin.is_some() { ADMIN_DESCRIPTORS } else { 0 };
        ResourceLimits {
            max_descriptors: config.max_descriptors,
            reserved_descriptors: RESERVED_DESCRIPTORS + admin_descriptors,
            memory_bytes: config.memory_bytes,
        }
    }

    /// Most connections to backends of one of so many processes. Each request holds a connection on either side; idle
    /// ones fill what is left.
    pub fn upstream_connections(&self, processes: usize) -> usize {
        self.connections(processes) / 2
    }

    /// Most clients' connections of one of so many processes.
    pub fn downstream_connections(&self, processes: usize) -> usize {
        self.connections(processes) - self.upstream_connections(processes)
    }

    /// Most bytes in the bodies of open requests of one of so many processes.
    pub fn body_bytes(&self, processes: usize) -> usize {
        self.memory_bytes / BODY_MEMORY_DIVISOR / processes
    }

    fn connections(&self, processes: usize) -> usize {
        let descriptors = self.max_descriptors / processes;
        descriptors.saturating_sub(self.reserved_descriptors).max(MIN_CONNECTIONS)
    }
}
