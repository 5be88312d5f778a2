//! The file that shows that a process lives. A lock tells it: the system releases it when the process ends, however it
//! ends.

use super::names;
use std::cell::Cell;
use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// The file of this process, locked for as long as it lives.
pub(super) struct ProcessFile {
    /// Its name once the process serves.
    name: String,
    file: File,
    is_serving: Cell<bool>,
    /// The version of the settings that stands in it.
    published_version: Cell<u64>,
}

impl ProcessFile {
    /// Creates the file in the shared folder, as that of a process that does not serve yet.
    pub(super) fn create(folder: &Path) -> io::Result<Self> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let name = names::process(std::process::id(), since.as_nanos());
        let unlocked = folder.join(names::unlocked(&name));
        let file = File::create_new(&unlocked)?;
        file.try_lock()?;
        // Under its own name it is never seen unlocked, or the others would take it for one that has ended.
        fs::rename(unlocked, folder.join(names::starting(&name)))?;
        Ok(ProcessFile { name, file, is_serving: Cell::new(false), published_version: Cell::new(0) })
    }

    /// Shows in the shared folder that the process serves from now on.
    pub(super) fn mark_serving(&self, folder: &Path) -> io::Result<()> {
        if !self.is_serving.get() {
            fs::rename(folder.join(names::starting(&self.name)), folder.join(&self.name))?;
            self.is_serving.set(true);
        }
        Ok(())
    }

    /// Its present name.
    pub(super) fn name(&self) -> String {
        if self.is_serving.get() { self.name.clone() } else { names::starting(&self.name) }
    }

    /// Writes the version of the settings. All digits are written, so that none of an older one are left behind them.
    pub(super) fn publish_version(&self, version: u64) -> io::Result<()> {
        if self.published_version.get() != version {
            self.file.write_all_at(format!("{version:020}").as_bytes(), 0)?;
            self.published_version.set(version);
        }
        Ok(())
    }
}

/// The version that a process has published, if it has.
pub(super) fn read_version(path: &Path) -> Option<u64> {
    fs::read_to_string(path).ok()?.parse().ok()
}

/// Whether somebody holds the lock on a process's file. What a process that has ended left behind is removed.
pub(super) fn check_alive(path: &Path) -> bool {
    let Ok(file) = File::open(path) else { return false };
    match file.try_lock_shared() {
        Err(TryLockError::WouldBlock) => true,
        Err(TryLockError::Error(_)) => false,
        Ok(()) => {
            // Whoever else sees it may have been quicker.
            let _ = fs::remove_file(path);
            false
        }
    }
}
