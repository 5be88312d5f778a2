//! What the processes of one proxy share: markers in a folder of `$TMPDIR`, which outlives each of them. A marker is
//! an empty file; its name says all, so that it is made and removed in one step and means the same once or twice.

mod names;
mod process_file;
#[cfg(test)]
mod tests;

use names::FileName;
use process_file::{ProcessFile, check_alive};
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often every process looks for markers that another has made: far within the deadline in which a suspended
/// backend may still be sent to.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What the operators want, by the markers, and who else is there.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ControlState {
    /// Names of the suspended backends.
    pub suspended: BTreeSet<String>,
    /// Clients are to be sent elsewhere.
    pub is_draining: bool,
    /// Other processes that live and serve.
    pub other_processes: u32,
    /// Other processes that live and do not serve yet: they hold descriptors already.
    pub starting_processes: u32,
}

/// The processes of one proxy, by the folder that they share.
pub struct ProcessGroup {
    folder: Option<PathBuf>,
    own_file: OnceCell<ProcessFile>,
}

impl ProcessGroup {
    /// The folder below the one for temporary files. Where that is not known, no marker can be made.
    pub fn new(temporary_folder: Option<PathBuf>) -> Self {
        ProcessGroup {
            folder: temporary_folder.map(|folder| folder.join(names::FOLDER)),
            own_file: OnceCell::new(),
        }
    }

    /// From now on this process counts as one that starts.
    pub fn announce_start(&self) -> io::Result<()> {
        if self.own_file.get().is_some() {
            return Ok(());
        }
        let folder = self.folder()?;
        fs::create_dir_all(folder)?;
        // A process joins once; a second file would count as another process.
        let _ = self.own_file.set(ProcessFile::create(folder)?);
        Ok(())
    }

    /// From now on this process counts as one that serves.
    pub fn join(&self) -> io::Result<()> {
        self.announce_start()?;
        match self.own_file.get() {
            Some(own) => own.mark_serving(self.folder()?),
            None => Ok(()),
        }
    }

    /// Tells the other processes which version of the settings is in force in this one.
    pub fn publish_version(&self, version: u64) -> io::Result<()> {
        match self.own_file.get() {
            Some(own) => own.publish_version(version),
            None => Ok(()),
        }
    }

    /// The processes that live, by their ids, each with the version that it has published, if it has.
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

    /// Marks a backend as suspended, or takes the marker away.
    pub fn set_suspended(&self, backend: &str, is_suspended: bool) -> io::Result<()> {
        self.set_marker(&names::suspended(backend), is_suspended)
    }

    /// Marks the proxy as draining, or takes the marker away.
    pub fn set_draining(&self, is_draining: bool) -> io::Result<()> {
        self.set_marker(names::DRAIN, is_draining)
    }

    /// The markers as they stand. What is no marker is ignored; a folder that nobody has made yet holds none.
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

    /// Whether a file is that of another process, which lives.
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
