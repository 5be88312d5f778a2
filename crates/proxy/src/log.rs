//! The log, which is written to standard error. A reader that stops reading or exits must neither block nor
//! end the program, so a line that can't be written at once is lost.

use libc::O_NONBLOCK;
use std::cell::Cell;
use std::error::Error;
use std::fmt::{self, Arguments, Display, Formatter};
use std::fs::{File, OpenOptions};
use std::io::{Write, stderr};
use std::os::unix::fs::OpenOptionsExt;

/// The maximum length of a line in bytes: a write of up to this size to a pipe is atomic.
const MAX_LINE_BYTES: usize = 4096;

thread_local! {
    /// Standard error, opened a second time so that `O_NONBLOCK` affects this program only: the inherited
    /// descriptor shares its flags with the process that passed it. `None` if it can't be opened again, as
    /// for a socket.
    static LOG: Option<File> =
        OpenOptions::new().append(true).custom_flags(O_NONBLOCK).open("/proc/self/fd/2").ok();
    /// The number of lines lost since the last written one.
    static LOST: Cell<u64> = const { Cell::new(0) };
}

/// Writes a formatted line to the log.
macro_rules! log {
    ($($text:tt)*) => { $crate::log::write(format_args!($($text)*)) };
}
pub(crate) use log;

/// Shows an error together with its sources.
pub struct WithSources<'a>(pub &'a dyn Error);

impl Display for WithSources<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)?;
        let mut source = self.0.source();
        while let Some(error) = source {
            write!(formatter, ": {error}")?;
            source = error.source();
        }
        Ok(())
    }
}

/// Writes a line in a single write, truncated to [`MAX_LINE_BYTES`].
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
