//! What the processes of one proxy share: marks in a folder of `$TMPDIR`, which outlives each of them. A mark is an
//! empty file; its name says all, so that it is made and removed in one step and means the same once or twice.

use std::cell::{Cell, OnceCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How often every process looks for marks that the other has made: far within the grace in which a backend left
/// out may still be sent to.
pub const LOOK: Duration = Duration::from_millis(50);
const FOLDER: &str = "heathroad";
const SUSPENDED: &str = "suspended-";
const DRAIN: &str = "drain";
const PROCESS: &str = "process-";
/// Part of the name of a process's file until it is locked.
const NEW: &str = "new-";

/// What the operators want, by the marks.
#[derive(Debug, Default, PartialEq)]
pub struct Marks {
    /// Names of the backends to leave out.
    pub suspended: BTreeSet<String>,
    /// Clients are to be sent away.
    pub drain: bool,
    /// Other processes that live.
    pub others: u32,
}

/// The shared folder.
pub struct Handover {
    folder: Option<PathBuf>,
    /// The name of this process's file, and the file, locked for as long as the process lives.
    own: OnceCell<(String, File)>,
    /// The version of its settings that stands there.
    told: Cell<u64>,
}

impl Handover {
    /// The folder below the one for temporary files. Where that is not told, no mark can be made.
    pub fn new(temporary: Option<PathBuf>) -> Self {
        Handover { folder: temporary.map(|t| t.join(FOLDER)), own: OnceCell::new(), told: Cell::new(0) }
    }

    /// From now on this process counts as one that lives. A lock tells it: the system lets go of it when the process
    /// ends, however it ends.
    pub fn enter(&self) -> io::Result<()> {
        let folder = self.folder()?;
        fs::create_dir_all(folder)?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let name = format!("{PROCESS}{}-{}", std::process::id(), since.as_nanos());
        let new = folder.join(format!("{NEW}{name}"));
        let file = File::create_new(&new)?;
        file.try_lock()?;
        // Under its own name it is never seen unlocked, or the others would take it for one that has ended.
        fs::rename(new, folder.join(&name))?;
        let _ = self.own.set((name, file));
        Ok(())
    }

    /// Tells the other processes which version of the settings is in force in this one. All digits are written, so
    /// that none of an older one are left behind them.
    pub fn tell(&self, version: u64) -> io::Result<()> {
        match self.own.get() {
            Some((_, file)) if self.told.get() != version => {
                file.write_all_at(format!("{version:020}").as_bytes(), 0)?;
                self.told.set(version);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// The processes that live, by their ids, each with the version that it has told, if it has.
    pub fn versions(&self) -> io::Result<BTreeMap<u32, Option<u64>>> {
        let mut versions = BTreeMap::new();
        for entry in fs::read_dir(self.folder()?)? {
            let entry = entry?;
            let name = entry.file_name();
            let process = name.to_str().and_then(|name| name.strip_prefix(PROCESS));
            let id = process.and_then(|process| process.split('-').next()?.parse().ok());
            let own = self.own.get().is_some_and(|(own, _)| name == own.as_str());
            if let Some(id) = id.filter(|_| own || lives(&entry.path())) {
                let version = fs::read_to_string(entry.path()).ok().and_then(|text| text.parse().ok());
                versions.insert(id, version);
            }
        }
        Ok(versions)
    }

    /// Marks a backend as left out, or takes the mark away.
    pub fn suspend(&self, name: &str, on: bool) -> io::Result<()> {
        self.mark(&format!("{SUSPENDED}{}", hex(name)), on)
    }

    /// Marks that clients are sent away, or takes the mark away.
    pub fn drain(&self, on: bool) -> io::Result<()> {
        self.mark(DRAIN, on)
    }

    fn folder(&self) -> io::Result<&Path> {
        self.folder.as_deref().ok_or_else(|| io::Error::other("TMPDIR is not set"))
    }

    fn mark(&self, name: &str, on: bool) -> io::Result<()> {
        let folder = self.folder()?;
        let path = folder.join(name);
        if on {
            fs::create_dir_all(folder)?;
            return OpenOptions::new().write(true).create(true).truncate(false).open(path).map(drop);
        }
        match fs::remove_file(path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// The marks as they stand. What is no mark is passed over; a folder that nobody has made yet holds none.
    pub fn marks(&self) -> io::Result<Marks> {
        let mut marks = Marks::default();
        let entries = match self.folder.as_ref().map(fs::read_dir) {
            None => return Ok(marks),
            Some(Err(e)) if e.kind() == io::ErrorKind::NotFound => return Ok(marks),
            Some(entries) => entries?,
        };
        for entry in entries {
            let entry = entry?;
            let name = entry.file_name();
            let Some(name) = name.to_str() else { continue };
            marks.drain |= name == DRAIN;
            let other = name.starts_with(PROCESS) && self.own.get().is_none_or(|(own, _)| own != name);
            marks.others += u32::from(other && lives(&entry.path()));
            marks.suspended.extend(name.strip_prefix(SUSPENDED).and_then(unhex));
        }
        Ok(marks)
    }
}

/// Whether somebody holds the lock on a process's file. What a process that has ended left behind is removed.
fn lives(path: &Path) -> bool {
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

/// A name as a part of a file's: whatever a backend is called, it stays one file in the folder.
fn hex(name: &str) -> String {
    name.bytes().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<String> {
    let pair = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).ok()?, 16).ok();
    let bytes: Option<Vec<u8>> = text.as_bytes().chunks(2).map(pair).collect();
    String::from_utf8(bytes?).ok().filter(|name| hex(name) == text)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A folder of its own, removed at the end.
    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Self {
            let path = std::env::temp_dir().join(format!("heathroad-test-{name}-{}", std::process::id()));
            fs::create_dir_all(&path).expect("a folder");
            Folder(path)
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    #[test]
    fn marks_are_made_and_removed_once_or_twice_and_every_process_sees_them() {
        let folder = Folder::new("marks");
        let [one, other] = [(); 2].map(|()| Handover::new(Some(folder.0.clone())));
        assert_eq!(one.marks().expect("readable"), Marks::default());
        one.suspend("../s-1/é", false).expect("there is none");
        for _ in 0..2 {
            one.suspend("../s-1/é", true).expect("writable");
            one.drain(true).expect("writable");
            let marks = other.marks().expect("readable");
            assert_eq!((marks.suspended, marks.drain), (BTreeSet::from(["../s-1/é".to_string()]), true));
        }
        for _ in 0..2 {
            other.suspend("../s-1/é", false).expect("writable");
            other.drain(false).expect("writable");
            assert_eq!(one.marks().expect("readable"), Marks::default());
        }
    }

    #[test]
    fn processes_that_live_see_each_other_and_what_the_dead_left_is_removed() {
        let folder = Folder::new("live");
        let [one, other] = [(); 2].map(|()| Handover::new(Some(folder.0.clone())));
        let others = |h: &Handover| h.marks().expect("readable").others;
        assert_eq!((others(&one), others(&other)), (0, 0));
        one.enter().expect("writable");
        assert_eq!((others(&one), others(&other)), (0, 1));
        other.enter().expect("writable");
        assert_eq!((others(&one), others(&other)), (1, 1));
        drop(one);
        assert_eq!(others(&other), 0);
        let left = fs::read_dir(folder.0.join(FOLDER)).expect("readable").count();
        assert_eq!(left, 1, "its own");
    }

    #[test]
    fn processes_that_live_see_the_versions_that_they_told() {
        let folder = Folder::new("versions");
        let [one, other] = [(); 2].map(|()| Handover::new(Some(folder.0.clone())));
        one.tell(7).expect("there is no file yet");
        one.enter().expect("writable");
        fs::write(folder.0.join(FOLDER).join("process-9-9"), "00000000000000000009").expect("writable");
        let seen = |h: &Handover| h.versions().expect("readable").into_values().collect::<Vec<_>>();
        assert_eq!(seen(&other), [None], "not told, and the dead one does not count");
        for version in [12, 9] {
            one.tell(version).expect("writable");
            assert_eq!((seen(&one), seen(&other)), (vec![Some(version)], vec![Some(version)]));
        }
        drop(one);
        assert_eq!(seen(&other), []);
    }

    #[test]
    fn what_is_no_mark_is_passed_over_and_what_fails_is_told() {
        let folder = Folder::new("odd");
        let handover = Handover::new(Some(folder.0.clone()));
        handover.suspend("s-1", true).expect("writable");
        for odd in
            ["process-1", "suspended-zz", "suspended-+1", "suspended-7", "suspended-ff", "drained", "old.tmp"]
        {
            fs::write(folder.0.join(FOLDER).join(odd), "left").expect("writable");
        }
        let marks = handover.marks().expect("readable");
        assert_eq!((marks.suspended.len(), marks.drain, marks.others), (1, false, 0));
        let blocked = Handover::new(Some(folder.0.join(FOLDER).join("old.tmp")));
        assert!(blocked.suspend("s-1", true).is_err() && blocked.marks().is_err());
        assert!(Handover::new(None).drain(true).is_err(), "a mark that stands nowhere");
    }
}
