//! The ids of requests that must not run twice, which the processes of one proxy share.
//!
//! Each process writes its ids to a file of its own and reads those of the others. An id is written before the
//! others' files are read, so that of two processes that get the same id at least one sees it.

use super::names;
use super::process_file::check_alive;
use std::cell::RefCell;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// The number of ids with the same place in the table. The oldest is forgotten first.
const BUCKET_IDS: usize = 8;
const ID_BYTES: usize = size_of::<u64>();
const BUCKET_BYTES: usize = BUCKET_IDS * ID_BYTES;
/// The number of buckets, which all processes have in common.
const BUCKET_COUNT: usize = 2048;
/// The number of files of other processes that are kept: that of an upgrade, and of the one before.
const MAX_OTHER_FILES: usize = 2;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

type Bucket = [u64; BUCKET_IDS];

/// The most recent ids of requests that were or may be sent and must not run twice.
pub struct RequestIds {
    buckets: RefCell<Vec<Bucket>>,
    shared: Option<SharedFolder>,
}

/// The folder with the files of all processes.
struct SharedFolder {
    path: PathBuf,
    own_name: String,
    own_file: File,
    /// The files of the other processes, oldest first. They are opened only to be read, since descriptors are
    /// limited.
    others: RefCell<Vec<PathBuf>>,
}

impl RequestIds {
    /// Creates a table that no other process reads.
    pub fn private() -> Self {
        RequestIds { buckets: RefCell::new(vec![[0; BUCKET_IDS]; BUCKET_COUNT]), shared: None }
    }

    /// Creates a table whose file other processes of the proxy read.
    pub fn shared(temporary_folder: &Path) -> io::Result<Self> {
        let shared = SharedFolder::create(temporary_folder.join(names::REQUEST_IDS_FOLDER))?;
        shared.find_others();
        Ok(RequestIds { shared: Some(shared), ..RequestIds::private() })
    }

    /// Claims an id. Returns `false` if a request with this id was or may have been sent, by this process or
    /// another one.
    pub fn claim(&self, id: &[u8]) -> bool {
        let hash = hash(id);
        if self.contains(hash) {
            return false;
        }
        self.change_bucket(hash, |bucket| {
            bucket.rotate_left(1);
            bucket[BUCKET_IDS - 1] = hash;
        });
        let is_known_elsewhere = self.shared.as_ref().is_some_and(|shared| shared.others_contain(hash));
        if is_known_elsewhere {
            self.release(id);
        }
        !is_known_elsewhere
    }

    /// Forgets an id whose request has certainly not run.
    pub fn release(&self, id: &[u8]) {
        let hash = hash(id);
        self.change_bucket(hash, |bucket| {
            for entry in bucket.iter_mut().filter(|entry| **entry == hash) {
                *entry = 0;
            }
        });
    }

    /// Finds the files of processes that have started since the last call.
    pub fn find_other_processes(&self) {
        if let Some(shared) = &self.shared {
            shared.find_others();
        }
    }

    fn contains(&self, hash: u64) -> bool {
        self.buckets.borrow()[bucket_index(hash)].contains(&hash)
    }

    fn change_bucket(&self, hash: u64, change: impl FnOnce(&mut Bucket)) {
        let index = bucket_index(hash);
        let bucket = &mut self.buckets.borrow_mut()[index];
        change(bucket);
        if let Some(shared) = &self.shared {
            shared.write(index, bucket);
        }
    }
}

impl SharedFolder {
    fn create(path: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(&path)?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let own_name = names::process(std::process::id(), since.as_nanos());
        let own_file =
            OpenOptions::new().read(true).write(true).create_new(true).open(path.join(&own_name))?;
        // Shows that the process is alive.
        own_file.try_lock()?;
        own_file.set_len((BUCKET_COUNT * BUCKET_BYTES) as u64)?;
        Ok(SharedFolder { path, own_name, own_file, others: RefCell::default() })
    }

    /// Finds the files of other processes. A process that has ended leaves its file, so that its ids remain
    /// known; the oldest are removed.
    fn find_others(&self) {
        // Without the folder, only the ids of this process are known.
        let Ok(entries) = fs::read_dir(&self.path) else { return };
        let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
        let others = names.filter(|name| *name != self.own_name);
        let mut others: Vec<PathBuf> = others.map(|name| self.path.join(name)).collect();
        others.sort_by_key(|path| fs::metadata(path).and_then(|metadata| metadata.created()).ok());
        let mut excess = others.len().saturating_sub(MAX_OTHER_FILES);
        others.retain(|path| {
            let is_removed = excess > 0 && !check_alive(path);
            excess -= usize::from(is_removed);
            !is_removed
        });
        self.others.replace(others);
    }

    fn others_contain(&self, hash: u64) -> bool {
        let offset = bucket_offset(bucket_index(hash));
        let contains = |other: &PathBuf| {
            let mut bytes = [0; BUCKET_BYTES];
            let read = File::open(other).and_then(|file| file.read_exact_at(&mut bytes, offset));
            read.is_ok() && bytes.chunks_exact(ID_BYTES).any(|entry| entry == hash.to_le_bytes())
        };
        self.others.borrow().iter().any(contains)
    }

    fn write(&self, index: usize, bucket: &Bucket) {
        let mut bytes = [0; BUCKET_BYTES];
        for (entry, id) in bytes.chunks_exact_mut(ID_BYTES).zip(bucket) {
            entry.copy_from_slice(&id.to_le_bytes());
        }
        // Without space for the file, other processes don't know the id.
        let _ = self.own_file.write_all_at(&bytes, bucket_offset(index));
    }
}

/// Returns the 64-bit FNV-1a hash of an id, which is the same in all versions. 0 is an empty entry.
fn hash(id: &[u8]) -> u64 {
    let hash = id.iter().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    hash.max(1)
}

fn bucket_index(hash: u64) -> usize {
    (hash % BUCKET_COUNT as u64) as usize
}

fn bucket_offset(index: usize) -> u64 {
    (index * BUCKET_BYTES) as u64
}
