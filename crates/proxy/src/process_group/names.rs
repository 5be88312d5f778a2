//! Names of the files in the shared folder. Processes of other versions run beside this one, and read and write the
//! same files: the names and contents never change.

use std::ffi::OsStr;

/// The folder below the one for temporary files.
pub(super) const FOLDER: &str = "heathroad";
/// The marker of a proxy that drains.
pub(super) const DRAIN: &str = "drain";
const SUSPENDED_PREFIX: &str = "suspended-";
const PROCESS_PREFIX: &str = "process-";
/// Older versions take no notice of files with other names.
const STARTING_PREFIX: &str = "starting-";
/// Part of the name of a process's file until it is locked.
const NEW_PREFIX: &str = "new-";

/// What the name of a file in the shared folder says.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum FileName {
    /// A backend is suspended.
    Suspended {
        /// Its name.
        backend: String,
    },
    /// The proxy drains.
    Drain,
    /// A process lives that does not serve yet, if the file is locked.
    Starting,
    /// A process lives and serves, if the file is locked.
    Process {
        /// Its id, if the name tells one.
        id: Option<u32>,
    },
}

impl FileName {
    /// Nothing for a file that is none of these.
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

/// The marker of a suspended backend.
pub(super) fn suspended(backend: &str) -> String {
    format!("{SUSPENDED_PREFIX}{}", to_hex(backend))
}

/// The file of a process that started at a time, in nanoseconds of Unix time.
pub(super) fn process(id: u32, started_at_ns: u128) -> String {
    format!("{PROCESS_PREFIX}{id}-{started_at_ns}")
}

/// The same until it serves.
pub(super) fn starting(process: &str) -> String {
    format!("{STARTING_PREFIX}{process}")
}

/// The same until it is locked.
pub(super) fn unlocked(process: &str) -> String {
    format!("{NEW_PREFIX}{process}")
}

/// A name as a part of a file's: whatever a backend is called, it stays one file in the folder.
fn to_hex(name: &str) -> String {
    name.bytes().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<String> {
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let bytes: Option<Vec<u8>> = text.as_bytes().chunks(2).map(byte).collect();
    let name = String::from_utf8(bytes?).ok()?;
    // Only as it is written: no signs, no capitals, no odd digit.
    if to_hex(&name) == text { Some(name) } else { None }
}
