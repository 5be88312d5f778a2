//! The memory that another process holds, as the system reports it.

use std::fs;

/// The figures of memory that processes don't share, in the status of a process. Its program file is not one.
const UNSHARED_FIGURES: [&str; 2] = ["RssAnon:", "RssShmem:"];

/// Returns the memory that a process shares with no other, in bytes. Returns `None` if the system does not tell.
pub(super) fn unshared_bytes(process_id: u32) -> Option<usize> {
    parse_unshared_bytes(&fs::read_to_string(format!("/proc/{process_id}/status")).ok()?)
}

/// Returns the sum of [`UNSHARED_FIGURES`] in a status.
pub(super) fn parse_unshared_bytes(status: &str) -> Option<usize> {
    let mut sum = 0;
    for name in UNSHARED_FIGURES {
        let figure = status.lines().find_map(|line| line.strip_prefix(name))?;
        let kib: usize = figure.trim().strip_suffix("kB")?.trim_end().parse().ok()?;
        sum += kib * 1024;
    }
    Some(sum)
}
