//! Checks the files of the decision policy: each has one purpose and so a limited size, and the deploy file
//! lists all of them as `policy`.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const MAX_NON_BLANK_LINES: usize = 300;
const MAX_COLUMNS: usize = 110;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the policy files that the deploy file lists.
fn policy_files() -> Vec<String> {
    let text = fs::read_to_string(workspace_root().join("deploy/balancer.toml")).expect("the deploy file");
    let deploy: toml::Table = text.parse().expect("TOML");
    let files = deploy["policy"].as_array().expect("a list");
    files.iter().map(|file| file.as_str().expect("a path").to_string()).collect()
}

/// Guards against a policy file that takes on more than its one purpose or becomes hard to read.
#[test]
fn policy_files_keep_to_their_size_limits() {
    let files = policy_files();
    assert!(!files.is_empty(), "the deploy file lists no policy file");
    for file in files {
        let text = fs::read_to_string(workspace_root().join(&file)).expect("a policy file");
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_NON_BLANK_LINES, "{file}: {lines} non-blank lines");
        for (number, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(columns <= MAX_COLUMNS, "{file}:{}: {columns} columns", number + 1);
        }
    }
}

/// Guards against a policy file that is missing in the deploy file. The unit tests are not listed, because
/// they are compiled for tests only.
#[test]
fn deploy_file_lists_every_policy_file() {
    let folder = "crates/balancer/src/policy";
    let entries = fs::read_dir(workspace_root().join(folder)).expect("the policy's folder");
    let name = |entry: fs::DirEntry| format!("{folder}/{}", entry.file_name().to_string_lossy());
    let mut present: BTreeSet<String> = entries.map(|entry| name(entry.expect("an entry"))).collect();
    present.remove(&format!("{folder}/tests.rs"));

    assert_eq!(present, policy_files().into_iter().collect());
}
