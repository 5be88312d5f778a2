//! The names of the files in the shared folder. Processes of other versions run at the same time and read and
//! write the same files, so the names and contents must never change.

use std::ffi::OsStr;

/// The name of the shared folder, below the one for temporary files.
pub(super) const FOLDER: &str = "heathroad";
/// The name of the marker of a draining proxy.
pub(super) const DRAIN: &str = "drain";
const SUSPENDED_PREFIX: &str = "suspended-";
const PROCESS_PREFIX: &str = "process-";
/// Prefix of a starting process's file. It differs from [`PROCESS_PREFIX`] because older versions ignore
/// names that they don't know, and must not count a process that does not serve yet.
const STARTING_PREFIX: &str = "starting-";
/// Prefix of a process's file before it is locked.
const NEW_PREFIX: &str = "new-";

/// The name of the folder with the request ids of each process, below the one for temporary files.
pub(super) const REQUEST_IDS_FOLDER: &str = "foldhitch-request-ids";

/// The meaning of a file name in the shared folder.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum FileName {
    /// A backend is suspended.
    Suspended {
        /// The backend's name.
        backend: String,
    },
    /// The proxy is draining.
    Drain,
    /// A process is alive and does not serve yet, provided that the file is locked.
    Starting,
    /// A process is alive and serves, provided that the file is locked.
    Process {
        /// The process id, if the name contains a valid one.
        id: Option<u32>,
    },
}

impl FileName {
    /// Parses a file name. Returns `None` for any other file name.
    pub(super) fn parse(name: &OsStr) -> Option<Self> {
        let name = name.to_str()?;
        if name == DRAIN {
            return Some(FileName::Drain);
        }
        if name.starts_with(STARTING_PREFIX) {
            return Some(FileName::Starting);
        }
        if let Some(process) = name.strip_prefix(PROCESS_PREFIX) {
            let id = process.split('-').next().and_then(|id| id.parse().ok());
            return Some(FileName::Process { id });
        }
        let backend = name.strip_prefix(SUSPENDED_PREFIX).and_then(from_hex)?;
        Some(FileName::Suspended { backend })
    }
}

/// Returns the name of the marker of a suspended backend.
pub(super) fn suspended(backend: &str) -> String {
    format!("{SUSPENDED_PREFIX}{}", to_hex(backend))
}

/// Returns the name of the file of a serving process. `started_at_ns` is in nanoseconds of Unix time.
pub(super) fn process(id: u32, started_at_ns: u128) -> String {
    format!("{PROCESS_PREFIX}{id}-{started_at_ns}")
}

/// Returns the name that the file of a process has until the process serves.
pub(super) fn starting(process: &str) -> String {
    format!("{STARTING_PREFIX}{process}")
}

/// Returns the name that the file of a process has until it is locked.
pub(super) fn unlocked(process: &str) -> String {
    format!("{NEW_PREFIX}{process}")
}

/// Encodes a backend's name in hexadecimal, so that any name is a valid file name within the folder.
fn to_hex(name: &str) -> String {
    name.bytes().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<String> {
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let bytes: Option<Vec<u8>> = text.as_bytes().chunks(2).map(byte).collect();
    let name = String::from_utf8(bytes?).ok()?;
    // Accepts only the form that `to_hex` writes: no signs, no upper case, no odd number of digits.
    if to_hex(&name) == text { Some(name) } else { None }
}
