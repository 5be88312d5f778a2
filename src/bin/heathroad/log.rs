//! The log, standard error. Whoever should read it may have gone or stopped reading, and neither may end or stop the
//! program: a line that can't be written at once is lost.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::cell::Cell;
use std::fmt::Arguments;
use std::io::{Write, stderr};

/// Into a pipe that has any room so much goes without waiting.
const MOST: usize = 4096;

thread_local! {
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
    if lost > 0 && put(format!("heathroad: {lost} lines of this log were lost")) {
        LOST.set(0);
    }
    if LOST.get() > 0 || !put(format!("heathroad: {line}")) {
        LOST.set(lost + 1);
    }
}

fn put(line: String) -> bool {
    let mut line = line.into_bytes();
    line.truncate(MOST - 1);
    line.push(b'\n');
    let log = stderr();
    let mut room = [PollFd::new(&log, PollFlags::OUT)];
    let asked = poll(&mut room, Some(&Timespec::default()));
    let ready = room[0].revents().contains(PollFlags::OUT);
    asked.is_ok() && ready && log.lock().write_all(&line).is_ok()
}
