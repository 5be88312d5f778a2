//! The file that shows that a process is alive. The process holds a lock on the file, which the kernel
//! releases however the process ends.

use super::names;
use std::cell::Cell;
use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// The file of this process, locked until the process ends.
pub(super) struct ProcessFile {
    /// The name that the file has once the process serves.
    name: String,
    file: File,
    is_serving: Cell<bool>,
    /// The version of the settings that the file contains; 0 if it is empty.
    published_version: Cell<u64>,
}

impl ProcessFile {
    /// Creates the file in the shared folder with the name of a starting process.
    pub(super) fn create(folder: &Path) -> io::Result<Self> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let name = names::process(std::process::id(), since.as_nanos());
        let unlocked = folder.join(names::unlocked(&name));
        let file = File::create_new(&unlocked)?;
        file.try_lock()?;
        // The file gets its final name only once it is locked: other processes take an unlocked file for that
        // of a process that has ended, and remove it.
        fs::rename(unlocked, folder.join(names::starting(&name)))?;
        Ok(ProcessFile { name, file, is_serving: Cell::new(false), published_version: Cell::new(0) })
    }

    /// Renames the file to show that the process serves.
    pub(super) fn mark_serving(&self, folder: &Path) -> io::Result<()> {
        if !self.is_serving.get() {
            fs::rename(folder.join(names::starting(&self.name)), folder.join(&self.name))?;
            self.is_serving.set(true);
        }
        Ok(())
    }

    /// Returns the current name of the file.
    pub(super) fn name(&self) -> String {
        if self.is_serving.get() { self.name.clone() } else { names::starting(&self.name) }
    }

    /// Writes the version of the settings, padded to 20 digits so that it overwrites an older version
    /// completely.
    pub(super) fn publish_version(&self, version: u64) -> io::Result<()> {
        if self.published_version.get() != version {
            self.file.write_all_at(format!("{version:020}").as_bytes(), 0)?;
            self.published_version.set(version);
        }
        Ok(())
    }
}

/// Reads the version that a process has published, if any.
pub(super) fn read_version(path: &Path) -> Option<u64> {
    fs::read_to_string(path).ok()?.parse().ok()
}

/// Checks whether the process of a file is alive, by the lock on the file. The file of a process that has
/// ended is removed.
pub(super) fn check_alive(path: &Path) -> bool {
    let Ok(file) = File::open(path) else { return false };
    match file.try_lock_shared() {
        Err(TryLockError::WouldBlock) => true,
        Err(TryLockError::Error(_)) => false,
        Ok(()) => {
            // Fails harmlessly if another process has removed the file first.
            let _ = fs::remove_file(path);
            false
        }
    }
}
