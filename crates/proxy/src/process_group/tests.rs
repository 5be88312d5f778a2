//! Unit tests of the shared folder of a process group.

use super::names::FOLDER;
use super::process_memory::parse_unshared_bytes;
use super::{ControlState, ProcessGroup};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::PathBuf;

/// A temporary folder for one test, removed when dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("foldhitch-test-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        TestFolder(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn markers_are_idempotent_and_seen_by_every_process() {
    let folder = TestFolder::new("markers");
    let [one, other] = [(); 2].map(|()| ProcessGroup::new(Some(folder.0.clone())));
    assert_eq!(one.control_state().expect("readable"), ControlState::default());
    one.set_suspended("../s-1/é", false).expect("removing a missing marker succeeds");
    for _ in 0..2 {
        one.set_suspended("../s-1/é", true).expect("writable");
        one.set_draining(true).expect("writable");
        let state = other.control_state().expect("readable");
        assert_eq!((state.suspended, state.is_draining), (BTreeSet::from(["../s-1/é".to_string()]), true));
    }
    for _ in 0..2 {
        other.set_suspended("../s-1/é", false).expect("writable");
        other.set_draining(false).expect("writable");
        assert_eq!(one.control_state().expect("readable"), ControlState::default());
    }
}

#[test]
fn live_processes_are_counted_and_stale_files_removed() {
    let folder = TestFolder::new("live");
    let [one, other] = [(); 2].map(|()| ProcessGroup::new(Some(folder.0.clone())));
    let others = |group: &ProcessGroup| group.control_state().expect("readable").other_processes;
    assert_eq!((others(&one), others(&other)), (0, 0));
    one.join().expect("writable");
    assert_eq!((others(&one), others(&other)), (0, 1));
    other.join().expect("writable");
    assert_eq!((others(&one), others(&other)), (1, 1));
    drop(one);
    assert_eq!(others(&other), 0);
    let left = fs::read_dir(folder.0.join(FOLDER)).expect("readable").count();
    assert_eq!(left, 1, "only its own file is left");
}

#[test]
fn starting_process_is_not_counted_as_serving() {
    let folder = TestFolder::new("starting");
    let [one, other] = [(); 2].map(|()| ProcessGroup::new(Some(folder.0.clone())));
    let others = |group: &ProcessGroup| {
        let state = group.control_state().expect("readable");
        (state.other_processes, state.starting_processes)
    };
    one.announce_start().expect("writable");
    assert_eq!((others(&one), others(&other)), ((0, 0), (0, 1)));
    assert_eq!(other.versions().expect("readable"), BTreeMap::new());
    one.join().expect("writable");
    assert_eq!((others(&one), others(&other)), ((0, 0), (1, 0)));
    // A process that ends before it serves leaves no file.
    other.announce_start().expect("writable");
    assert_eq!(others(&one), (0, 1));
    drop(other);
    assert_eq!(others(&one), (0, 0));
    let left = fs::read_dir(folder.0.join(FOLDER)).expect("readable").count();
    assert_eq!(left, 1, "only its own file is left");
}

#[test]
fn live_processes_see_published_versions() {
    let folder = TestFolder::new("versions");
    let [one, other] = [(); 2].map(|()| ProcessGroup::new(Some(folder.0.clone())));
    one.publish_version(7).expect("without a file, publishing does nothing");
    one.join().expect("writable");
    fs::write(folder.0.join(FOLDER).join("process-9-9"), "00000000000000000009").expect("writable");
    let seen = |group: &ProcessGroup| group.versions().expect("readable").into_values().collect::<Vec<_>>();
    assert_eq!(seen(&other), [None], "no version published; the file of an ended process is ignored");
    for version in [12, 9] {
        one.publish_version(version).expect("writable");
        assert_eq!((seen(&one), seen(&other)), (vec![Some(version)], vec![Some(version)]));
    }
    drop(one);
    assert_eq!(seen(&other), []);
}

#[test]
fn unknown_files_are_ignored_and_io_errors_returned() {
    let folder = TestFolder::new("odd");
    let group = ProcessGroup::new(Some(folder.0.clone()));
    group.set_suspended("s-1", true).expect("writable");
    for odd in
        ["process-1", "suspended-zz", "suspended-+1", "suspended-7", "suspended-ff", "drained", "old.tmp"]
    {
        fs::write(folder.0.join(FOLDER).join(odd), "left").expect("writable");
    }
    let state = group.control_state().expect("readable");
    assert_eq!((state.suspended.len(), state.is_draining, state.other_processes), (1, false, 0));
    let blocked = ProcessGroup::new(Some(folder.0.join(FOLDER).join("old.tmp")));
    assert!(blocked.set_suspended("s-1", true).is_err() && blocked.control_state().is_err());
    assert!(ProcessGroup::new(None).set_draining(true).is_err(), "no folder for markers");
}

/// Guards against changes of the names and contents that this version reads: processes of other versions run
/// at the same time and write the same files.
#[test]
fn folder_written_by_another_version_is_read() {
    let folder = TestFolder::new("versions-beside");
    let shared = folder.0.join("heathroad");
    fs::create_dir_all(&shared).expect("a folder");
    fs::write(shared.join("drain"), "").expect("writable");
    // The bytes of "s-1" and "é" in hexadecimal.
    fs::write(shared.join("suspended-732d31"), "").expect("writable");
    fs::write(shared.join("suspended-c3a9"), "").expect("writable");
    let process = fs::File::create(shared.join("process-4711-1764572400000000000")).expect("writable");
    process.lock().expect("no other process holds the lock");
    fs::write(shared.join("process-4711-1764572400000000000"), "00000000000000000042").expect("writable");

    let group = ProcessGroup::new(Some(folder.0.clone()));
    let state = group.control_state().expect("readable");
    let suspended = BTreeSet::from(["s-1".to_string(), "é".to_string()]);
    assert_eq!(
        state,
        ControlState { suspended, is_draining: true, other_processes: 1, starting_processes: 0 }
    );
    assert_eq!(group.versions().expect("readable"), BTreeMap::from([(4711, Some(42))]));
}

/// Guards against changes of the names and contents that this version writes: processes of other versions
/// read them.
#[test]
fn written_folder_is_readable_by_other_versions() {
    let folder = TestFolder::new("written-for-others");
    let group = ProcessGroup::new(Some(folder.0.clone()));
    group.set_suspended("s-1", true).expect("writable");
    group.set_draining(true).expect("writable");
    group.join().expect("writable");
    group.publish_version(42).expect("writable");

    let shared = folder.0.join("heathroad");
    assert!(shared.join("suspended-732d31").is_file() && shared.join("drain").is_file());
    let files = fs::read_dir(&shared).expect("readable").map(|entry| entry.expect("an entry").path());
    let own = format!("process-{}-", std::process::id());
    let is_own =
        |path: &PathBuf| path.file_name().is_some_and(|name| name.to_string_lossy().starts_with(&own));
    let processes: Vec<PathBuf> = files.filter(is_own).collect();
    assert_eq!(processes.len(), 1);
    assert_eq!(fs::read_to_string(&processes[0]).expect("readable"), "00000000000000000042");
}

/// Guards against the memory of another process that is read wrongly.
#[test]
fn unshared_memory_is_read_from_a_status() {
    let status =
        "VmRSS:\t    6000 kB\nRssAnon:\t    2048 kB\nRssFile:\t    3936 kB\nRssShmem:\t      16 kB\n";
    assert_eq!(parse_unshared_bytes(status), Some(2064 * 1024));
    assert_eq!(parse_unshared_bytes("State:\tZ (zombie)\n"), None);
}
