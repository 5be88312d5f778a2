//! Unit tests of the division of the limits.

use super::{
    ALLOCATOR_OVERHEAD_DIVISOR, PROGRAM_MEMORY_BYTES, ResourceLimits, STARTING_PROCESS_BYTES, Sharing,
    connection_memory_bytes,
};

const MB: usize = 1 << 20;

/// Creates the limits of a proxy with an admin API.
fn limits(memory_mb: usize, max_descriptors: usize) -> ResourceLimits {
    ResourceLimits::with_admin(memory_mb * MB, max_descriptors, true)
}

/// Returns what a process may hold at once: each part at its limit, and each connection in its worst phase.
fn worst_memory(limits: &ResourceLimits, sharing: Sharing) -> usize {
    let clients = limits.client_limits(sharing);
    let responses = limits.response_memory(sharing);
    let connections =
        clients.max_connections + clients.max_rejecting_connections + limits.upstream_connections(sharing);
    let in_use = clients.max_body_bytes
        + clients.max_head_bytes
        + responses.buffered_bytes
        + responses.remembered_bytes
        + connections * connection_memory_bytes(limits.read_bytes());
    // The overhead is a fraction of what the program leaves.
    let heap = in_use * ALLOCATOR_OVERHEAD_DIVISOR / (ALLOCATOR_OVERHEAD_DIVISOR - 1);
    PROGRAM_MEMORY_BYTES + heap
}

fn configurations() -> impl Iterator<Item = (usize, usize)> {
    let memories = (32..=192).step_by(8);
    memories.flat_map(|memory_mb| (256..=1024).step_by(64).map(move |descriptors| (memory_mb, descriptors)))
}

/// Guards against parts that together may hold more than the limit, although each keeps to its own.
#[test]
fn sum_of_all_parts_is_within_the_memory_limit() {
    for (memory_mb, descriptors) in configurations() {
        let limits = limits(memory_mb, descriptors);
        let worst = worst_memory(&limits, Sharing::NONE) + STARTING_PROCESS_BYTES;
        assert!(worst <= memory_mb * MB, "{memory_mb} MB, {descriptors} descriptors: {worst} bytes");
    }
}

/// Guards against two processes of an upgrade that together may hold more than the limit.
#[test]
fn sum_of_two_processes_is_within_the_memory_limit() {
    for (memory_mb, descriptors) in configurations() {
        let limits = limits(memory_mb, descriptors);
        let half = worst_memory(&limits, Sharing { processes: 2, others_memory_bytes: 0 });
        assert!(2 * half <= memory_mb * MB, "{memory_mb} MB, {descriptors} descriptors: {half} bytes each");
        // The other process has not given back what it held alone.
        let others_memory_bytes = memory_mb * MB * 2 / 3;
        let left = worst_memory(&limits, Sharing { processes: 2, others_memory_bytes });
        let sum = left + others_memory_bytes;
        assert!(
            sum <= memory_mb * MB,
            "{memory_mb} MB, {descriptors} descriptors: {sum} bytes in an upgrade"
        );
    }
}

/// Guards against a division that leaves a usual configuration fewer connections than its descriptors allow.
#[test]
fn connections_are_limited_by_memory_only_where_there_is_little() {
    let limits = limits(96, 512);
    let clients = limits.client_limits(Sharing::NONE);
    let connections = clients.max_connections
        + clients.max_rejecting_connections
        + limits.upstream_connections(Sharing::NONE);
    assert_eq!(connections, limits.connection_descriptors(Sharing::NONE));
}
