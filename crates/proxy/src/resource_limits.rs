//! How descriptors and memory are divided. Processes that act as one proxy share what the configuration allows.

use crate::admin;
use crate::config::Config;
use crate::downstream::{ClientLimits, MAX_REJECTING_CONNECTIONS};

/// Descriptors that are neither clients' nor backends' connections: standard streams, the listener, the reactor,
/// signals, and discovery.
const RESERVED_DESCRIPTORS: usize = 16;
/// With an admin API as many again: its connections, its listener, and the folder of markers.
const ADMIN_DESCRIPTORS: usize = admin::MAX_CONNECTIONS + 4;
/// Connections that are left to a process where descriptors are short.
const MIN_CONNECTIONS: usize = 4;
/// Connections past the limit that are accepted only to be rejected get this part of the descriptors at the most.
const REJECTING_DESCRIPTORS_DIVISOR: usize = 3;
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

    /// What the clients of one of so many processes may hold.
    pub fn client_limits(&self, processes: usize) -> ClientLimits {
        ClientLimits {
            max_connections: self.connections(processes) - self.upstream_connections(processes),
            max_rejecting_connections: self.rejecting_connections(processes),
            max_body_bytes: self.memory_bytes / BODY_MEMORY_DIVISOR / processes,
        }
    }

    /// Descriptors of one of so many processes that are for connections.
    fn connection_descriptors(&self, processes: usize) -> usize {
        (self.max_descriptors / processes).saturating_sub(self.reserved_descriptors)
    }

    fn rejecting_connections(&self, processes: usize) -> usize {
        let share = self.connection_descriptors(processes) / REJECTING_DESCRIPTORS_DIVISOR;
        share.clamp(1, MAX_REJECTING_CONNECTIONS)
    }

    fn connections(&self, processes: usize) -> usize {
        let descriptors = self.connection_descriptors(processes);
        descriptors.saturating_sub(self.rejecting_connections(processes)).max(MIN_CONNECTIONS)
    }
}
