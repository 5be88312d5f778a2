//! Divides descriptors and memory among the processes that serve as one proxy and share its limits.

use crate::admin;
use crate::config::Config;
use crate::downstream::{ClientLimits, MAX_REJECTING_CONNECTIONS};
use crate::transport::MAX_READ_BYTES;
use crate::upstream::ResponseMemory;

/// Descriptors that are not connections of clients or backends: standard streams, the listener, the reactor,
/// signals, and discovery.
const RESERVED_DESCRIPTORS: usize = 16;
/// Further descriptors for an admin API: its connections, its listener, the folder of the marker files,
/// and the file of request ids.
const ADMIN_DESCRIPTORS: usize = admin::MAX_CONNECTIONS + 5;
/// The minimum number of connections of a process, even if there are too few descriptors.
const MIN_CONNECTIONS: usize = 4;
/// Connections over the limit, which are accepted only to be rejected, get at most this fraction (1/n) of the
/// descriptors.
const REJECTING_DESCRIPTORS_DIVISOR: usize = 3;
/// The bodies of open requests may use this fraction (1/n) of the memory; the rest is for buffers, responses
/// and the program.
const BODY_MEMORY_DIVISOR: usize = 4;

/// The memory that a connection may need beside the budgets for bodies and responses, in bytes.
const CONNECTION_MEMORY_BYTES: usize = 48 * 1024;
/// Responses that are being buffered, or held because they may be copies, may use this fraction (1/n) of the memory.
const RESPONSE_MEMORY_DIVISOR: usize = 8;
/// Responses that are remembered to recognize their copies may use this fraction (1/n) of the memory.
const REMEMBERED_MEMORY_DIVISOR: usize = 16;
/// The bytes that are read from a connection at once are at most this fraction (1/n) of its share of the memory:
/// a body that is forwarded is held in several such pieces.
const READ_MEMORY_DIVISOR: usize = 8;
/// The minimum number of bytes that are read from a connection at once.
const MIN_READ_BYTES: usize = 2048;

/// The resource limits of a proxy over all its processes.
#[derive(Debug, Clone, Copy)]
pub struct ResourceLimits {
    max_descriptors: usize,
    reserved_descriptors: usize,
    memory_bytes: usize,
}

impl ResourceLimits {
    /// Creates the limits of a configuration.
    pub fn new(config: &Config) -> Self {
        let admin_descriptors = if config.admin.is_some() { ADMIN_DESCRIPTORS } else { 0 };
        ResourceLimits {
            max_descriptors: config.max_descriptors,
            reserved_descriptors: RESERVED_DESCRIPTORS + admin_descriptors,
            memory_bytes: config.memory_bytes,
        }
    }

    /// Returns the maximum number of connections to backends for one of `processes` processes. Each request
    /// holds one connection on either side; idle connections use the remainder.
    pub fn upstream_connections(&self, processes: usize) -> usize {
        self.connections(processes) / 2
    }

    /// Returns the limits for the clients of one of `processes` processes.
    pub fn client_limits(&self, processes: usize) -> ClientLimits {
        ClientLimits {
            max_connections: self.connections(processes) - self.upstream_connections(processes),
            max_rejecting_connections: self.rejecting_connections(processes),
            max_body_bytes: self.memory_bytes / BODY_MEMORY_DIVISOR / processes,
            read_bytes: self.read_bytes(),
        }
    }

    /// Returns the memory limits for the responses of backends in one of `processes` processes.
    pub fn response_memory(&self, processes: usize) -> ResponseMemory {
        ResponseMemory {
            buffered_bytes: self.memory_bytes / RESPONSE_MEMORY_DIVISOR / processes,
            remembered_bytes: self.memory_bytes / REMEMBERED_MEMORY_DIVISOR / processes,
        }
    }

    /// Returns the maximum number of bytes that are read from a connection at once.
    pub fn read_bytes(&self) -> usize {
        let share = self.memory_bytes / self.max_descriptors;
        (share / READ_MEMORY_DIVISOR).clamp(MIN_READ_BYTES, MAX_READ_BYTES)
    }

    /// Returns the number of descriptors for connections of one of `processes` processes.
    fn connection_descriptors(&self, processes: usize) -> usize {
        (self.max_descriptors / processes).saturating_sub(self.reserved_descriptors)
    }

    fn rejecting_connections(&self, processes: usize) -> usize {
        let share = self.connection_descriptors(processes) / REJECTING_DESCRIPTORS_DIVISOR;
        share.clamp(1, MAX_REJECTING_CONNECTIONS)
    }

    fn connections(&self, processes: usize) -> usize {
        let descriptors = self.connection_descriptors(processes);
        let descriptors = descriptors.saturating_sub(self.rejecting_connections(processes));
        let within_memory = self.memory_bytes / CONNECTION_MEMORY_BYTES / processes;
        descriptors.min(within_memory).max(MIN_CONNECTIONS)
    }
}
