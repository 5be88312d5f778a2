//! The log, standard error. Whoever should read it may have gone or stopped reading, and neither may end or stop the
//! program: a line that can't be written at once is lost.

use libc::O_NONBLOCK;
use std::cell::Cell;
use std::fmt::Arguments;
use std::fs::{File, OpenOptions};
use std::io::{Write, stderr};
use std::os::unix::fs::OpenOptionsExt;

/// So many bytes go into a pipe in one piece or not at all.
const MAX_LINE_BYTES: usize = 4096;

thread_local! {
    /// Standard error opened once more, so that not to wait is this program's affair alone: whoever it has it from
    /// shares its mode. None where it can't be, as a socket.
    static LOG: Option<File> =
        OpenOptions::new().append(true).custom_flags(O_NONBLOCK).open("/proc/self/fd/2").ok();
    /// Lines lost since the last one that was written.
    static LOST: Cell<u64> = const { Cell::new(0) };
}

/// Writes a line.
macro_rules! log {
    ($($text:tt)*) => { $crate::log::write(format_args!($($text)*)) };
}
pub(crate) use log;

/// Writes a line in one piece, cut to what surely fits.
pub fn write(line: Arguments<'_>) {
    let lost = LOST.get();
    if lost > 0 && try_write(format!("foldhitch-proxy: {lost} lines of this log were lost")) {
        LOST.set(0);
    }
    if LOST.get() > 0 || !try_write(format!("foldhitch-proxy: {line}")) {
        LOST.set(lost + 1);
    }
}

fn try_write(line: String) -> bool {
    let mut line = line.into_bytes();
    line.truncate(MAX_LINE_BYTES - 1);
    line.push(b'\n');
    LOG.with(|log| match log {
        Some(log) => (&*log).write(&line).is_ok_and(|written| written == line.len()),
        None => stderr().write_all(&line).is_ok(),
    })
}
