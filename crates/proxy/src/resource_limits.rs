//! Divides descriptors and memory among the processes that serve as one proxy and share its limits.
//!
//! The memory of a process is the sum of what its parts may hold at the same time:
//!
//! | part | limit |
//! | --- | --- |
//! | a second process, until it has a share of its own | [`STARTING_PROCESS_BYTES`] |
//! | the program with its tables and temporary files | [`PROGRAM_MEMORY_BYTES`] |
//! | what the allocator holds beside what is in use | [`ALLOCATOR_OVERHEAD_DIVISOR`] |
//! | bodies of requests | [`BODY_MEMORY_PARTS`], counted as long as they are allocated |
//! | buffered responses | [`RESPONSE_MEMORY_PARTS`], counted as long as they are allocated |
//! | remembered responses | [`REMEMBERED_MEMORY_PARTS`] |
//! | long heads | [`HEAD_MEMORY_PARTS`] |
//! | connections | [`CONNECTION_MEMORY_PARTS`], at [`connection_memory_bytes`] each |

#[cfg(test)]
mod tests;

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

/// The memory of a process beside messages and connections: the program, the policy's state, the endpoint list,
/// admin calls and the files in `$TMPDIR`.
const PROGRAM_MEMORY_BYTES: usize = 5 << 20;
/// The program takes no more than this fraction (1/n) of the memory of a process that has very little.
const MAX_PROGRAM_MEMORY_DIVISOR: usize = 2;
/// The allocator may hold this fraction (1/n) of the memory beside what is in use: the headers of its blocks and
/// free blocks between those in use.
const ALLOCATOR_OVERHEAD_DIVISOR: usize = 8;
/// The memory for messages and connections is divided into this many parts.
const MEMORY_PARTS: usize = 32;
/// The parts for bodies of open requests.
const BODY_MEMORY_PARTS: usize = 6;
/// The parts for responses that are buffered, or held because they may be copies.
const RESPONSE_MEMORY_PARTS: usize = 3;
/// The parts for responses that are remembered to recognize their copies.
const REMEMBERED_MEMORY_PARTS: usize = 1;
/// The parts for heads that are longer than usual.
const HEAD_MEMORY_PARTS: usize = 2;
/// The parts for connections.
const CONNECTION_MEMORY_PARTS: usize =
    MEMORY_PARTS - BODY_MEMORY_PARTS - RESPONSE_MEMORY_PARTS - REMEMBERED_MEMORY_PARTS - HEAD_MEMORY_PARTS;

/// The tasks and records of a connection, in bytes.
const CONNECTION_STATE_BYTES: usize = 5 * 1024;
/// The write buffer that the HTTP library keeps for each connection, in bytes.
const WRITE_BUFFER_BYTES: usize = 8 * 1024;
/// The minimum size of the read buffer that the HTTP library keeps for each connection, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;
/// The HTTP library doubles a read buffer when a head comes in several parts.
const READ_BUFFER_GROWTH: usize = 2;
/// The pieces of a streamed body that are on their way between its two connections. Each counts for one of them.
const STREAMED_PIECES: usize = 3;
/// The minimum number of bytes that are read from a connection at once. The maximum is [`MAX_READ_BYTES`].
const MIN_READ_BYTES: usize = 2048;

/// What is set apart for a process that starts beside a serving one, until it has a share of its own, in bytes.
const STARTING_PROCESS_BYTES: usize = 2 << 20;
/// That is no more than this fraction (1/n) of the memory.
const MAX_STARTING_PROCESS_DIVISOR: usize = 4;

/// How the limits are shared among the processes of a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharing {
    /// The number of processes.
    pub processes: usize,
    /// The memory that the others hold. A process gives memory back late, so that it may be more than their share.
    pub others_memory_bytes: usize,
}

impl Sharing {
    /// A process that shares the limits with no other.
    pub const NONE: Sharing = Sharing { processes: 1, others_memory_bytes: 0 };
}

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
        ResourceLimits::with_admin(config.memory_bytes, config.max_descriptors, config.admin.is_some())
    }

    /// Creates limits. Only a proxy with an admin API is served by several processes.
    fn with_admin(memory_bytes: usize, max_descriptors: usize, has_admin: bool) -> Self {
        let admin_descriptors = if has_admin { ADMIN_DESCRIPTORS } else { 0 };
        let starting_process = if has_admin { STARTING_PROCESS_BYTES } else { 0 };
        ResourceLimits {
            max_descriptors,
            reserved_descriptors: RESERVED_DESCRIPTORS + admin_descriptors,
            memory_bytes: memory_bytes - starting_process.min(memory_bytes / MAX_STARTING_PROCESS_DIVISOR),
        }
    }

    /// Returns the maximum number of connections to backends for a process. Each request
    /// holds one connection on either side; idle connections use the remainder.
    pub fn upstream_connections(&self, sharing: Sharing) -> usize {
        self.connections(sharing) / 2
    }

    /// Returns the limits for the clients of a process.
    pub fn client_limits(&self, sharing: Sharing) -> ClientLimits {
        ClientLimits {
            max_connections: self.connections(sharing) - self.upstream_connections(sharing),
            max_rejecting_connections: self.rejecting_connections(sharing),
            max_body_bytes: self.memory_parts(sharing, BODY_MEMORY_PARTS),
            max_head_bytes: self.memory_parts(sharing, HEAD_MEMORY_PARTS),
            read_bytes: self.read_bytes(),
        }
    }

    /// Returns the memory limits for the responses of backends in a process.
    pub fn response_memory(&self, sharing: Sharing) -> ResponseMemory {
        ResponseMemory {
            buffered_bytes: self.memory_parts(sharing, RESPONSE_MEMORY_PARTS),
            remembered_bytes: self.memory_parts(sharing, REMEMBERED_MEMORY_PARTS),
        }
    }

    /// Returns the maximum number of bytes that are read from a connection at once: as many as leave memory for
    /// all descriptors.
    pub fn read_bytes(&self) -> usize {
        let mut read_bytes = MAX_READ_BYTES;
        let memory = self.memory_parts(Sharing::NONE, CONNECTION_MEMORY_PARTS);
        let connections = self.connection_descriptors(Sharing::NONE);
        while read_bytes > MIN_READ_BYTES && connections * connection_memory_bytes(read_bytes) > memory {
            read_bytes /= 2;
        }
        read_bytes
    }

    /// Returns some parts of the memory for messages and connections of a process.
    fn memory_parts(&self, sharing: Sharing, parts: usize) -> usize {
        let left_by_others = self.memory_bytes.saturating_sub(sharing.others_memory_bytes);
        let share = left_by_others.min(self.memory_bytes / sharing.processes);
        let program = PROGRAM_MEMORY_BYTES.min(share / MAX_PROGRAM_MEMORY_DIVISOR);
        let heap = share - program;
        let usable = heap - heap / ALLOCATOR_OVERHEAD_DIVISOR;
        usable / MEMORY_PARTS * parts
    }

    /// Returns the number of descriptors for connections of a process.
    fn connection_descriptors(&self, sharing: Sharing) -> usize {
        (self.max_descriptors / sharing.processes).saturating_sub(self.reserved_descriptors)
    }

    fn rejecting_connections(&self, sharing: Sharing) -> usize {
        let share = self.connection_descriptors(sharing) / REJECTING_DESCRIPTORS_DIVISOR;
        share.clamp(1, MAX_REJECTING_CONNECTIONS)
    }

    fn connections(&self, sharing: Sharing) -> usize {
        let rejecting = self.rejecting_connections(sharing);
        let within_descriptors = self.connection_descriptors(sharing).saturating_sub(rejecting);
        let memory = self.memory_parts(sharing, CONNECTION_MEMORY_PARTS);
        let within_memory = memory / connection_memory_bytes(self.read_bytes());
        let within_memory = within_memory.saturating_sub(rejecting);
        within_descriptors.min(within_memory).max(MIN_CONNECTIONS)
    }
}

/// Returns the memory of a connection in its worst phase, of which at most `read_bytes` bytes are read at once.
/// The bodies and heads that are counted by budgets come in addition.
fn connection_memory_bytes(read_bytes: usize) -> usize {
    let read_buffer = read_bytes.max(MIN_READ_BUFFER_BYTES);
    let streamed = STREAMED_PIECES * read_bytes / 2;
    CONNECTION_STATE_BYTES + WRITE_BUFFER_BYTES + READ_BUFFER_GROWTH * read_buffer + streamed
}
