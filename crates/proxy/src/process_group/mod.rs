//! The state that the processes of one proxy share: marker files in a folder below `$TMPDIR`, which outlives
//! each process. A marker is an empty file whose name holds all its information, so that creating and
//! removing it is atomic and idempotent.

mod names;
mod process_file;
mod process_memory;
mod request_ids;
#[cfg(test)]
mod tests;

pub use request_ids::RequestIds;

use names::FileName;
use process_file::{ProcessFile, check_alive};
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Interval at which every process reads the markers of the others. It is far shorter than the time in which
/// requests may still be sent to a backend after its suspension.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The state that operators have set through the markers, and the number of other processes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ControlState {
    /// The names of the suspended backends.
    pub suspended: BTreeSet<String>,
    /// Whether the proxy drains: clients are to use another proxy.
    pub is_draining: bool,
    /// The number of other live processes that serve clients.
    pub other_processes: u32,
    /// The number of other live processes that do not serve yet but hold descriptors already.
    pub starting_processes: u32,
}

/// The group of the processes that act as one proxy and share a folder.
pub struct ProcessGroup {
    folder: Option<PathBuf>,
    own_file: OnceCell<ProcessFile>,
}

impl ProcessGroup {
    /// Creates a process group whose folder is below the one for temporary files. Without the latter, no
    /// marker can be written.
    pub fn new(temporary_folder: Option<PathBuf>) -> Self {
        ProcessGroup {
            folder: temporary_folder.map(|folder| folder.join(names::FOLDER)),
            own_file: OnceCell::new(),
        }
    }

    /// Announces this process to the others as starting.
    pub fn announce_start(&self) -> io::Result<()> {
        if self.own_file.get().is_some() {
            return Ok(());
        }
        let folder = self.folder()?;
        fs::create_dir_all(folder)?;
        // A process has one file; a second one would count as another process.
        let _ = self.own_file.set(ProcessFile::create(folder)?);
        Ok(())
    }

    /// Announces this process to the others as serving.
    pub fn join(&self) -> io::Result<()> {
        self.announce_start()?;
        match self.own_file.get() {
            Some(own) => own.mark_serving(self.folder()?),
            None => Ok(()),
        }
    }

    /// Publishes the version of the settings in force in this process.
    pub fn publish_version(&self, version: u64) -> io::Result<()> {
        match self.own_file.get() {
            Some(own) => own.publish_version(version),
            None => Ok(()),
        }
    }

    /// Returns the live serving processes by their ids, each with the version that it has published, if any.
    pub fn versions(&self) -> io::Result<BTreeMap<u32, Option<u64>>> {
        let mut versions = BTreeMap::new();
        for entry in fs::read_dir(self.folder()?)? {
            let entry = entry?;
            let name = entry.file_name();
            let Some(FileName::Process { id: Some(id) }) = FileName::parse(&name) else { continue };
            if self.is_own(&name) || check_alive(&entry.path()) {
                versions.insert(id, process_file::read_version(&entry.path()));
            }
        }
        Ok(versions)
    }

    /// Returns the memory that the other serving processes hold, in bytes, as far as the system tells.
    pub fn other_processes_memory_bytes(&self) -> usize {
        let own_id = std::process::id();
        let other_ids = self.versions().unwrap_or_default().into_keys().filter(|&id| id != own_id);
        other_ids.filter_map(process_memory::unshared_bytes).sum()
    }

    /// Creates or removes the marker of a suspended backend.
    pub fn set_suspended(&self, backend: &str, is_suspended: bool) -> io::Result<()> {
        self.set_marker(&names::suspended(backend), is_suspended)
    }

    /// Creates or removes the marker of a draining proxy.
    pub fn set_draining(&self, is_draining: bool) -> io::Result<()> {
        self.set_marker(names::DRAIN, is_draining)
    }

    /// Reads the markers. Files with other names are ignored, and a folder that does not exist yet counts as
    /// empty.
    pub fn control_state(&self) -> io::Result<ControlState> {
        let mut state = ControlState::default();
        let entries = match self.folder.as_ref().map(fs::read_dir) {
            None => return Ok(state),
            Some(Err(error)) if error.kind() == io::ErrorKind::NotFound => return Ok(state),
            Some(entries) => entries?,
        };
        for entry in entries {
            let entry = entry?;
            let name = entry.file_name();
            match FileName::parse(&name) {
                Some(FileName::Drain) => state.is_draining = true,
                Some(FileName::Suspended { backend }) => {
                    state.suspended.insert(backend);
                }
                Some(FileName::Process { .. }) if self.check_other_alive(&entry) => {
                    state.other_processes += 1
                }
                Some(FileName::Starting) if self.check_other_alive(&entry) => state.starting_processes += 1,
                Some(FileName::Process { .. } | FileName::Starting) | None => {}
            }
        }
        Ok(state)
    }

    /// Checks whether a file belongs to another process that is alive, and removes it if the process has
    /// ended.
    fn check_other_alive(&self, entry: &fs::DirEntry) -> bool {
        !self.is_own(&entry.file_name()) && check_alive(&entry.path())
    }

    fn is_own(&self, name: &std::ffi::OsStr) -> bool {
        self.own_file.get().is_some_and(|own| name == own.name().as_str())
    }

    fn folder(&self) -> io::Result<&Path> {
        self.folder.as_deref().ok_or_else(|| io::Error::other("TMPDIR is not set"))
    }

    fn set_marker(&self, name: &str, is_set: bool) -> io::Result<()> {
        let folder = self.folder()?;
        let path = folder.join(name);
        if is_set {
            fs::create_dir_all(folder)?;
            OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
            return Ok(());
        }
        match fs::remove_file(path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }
}
