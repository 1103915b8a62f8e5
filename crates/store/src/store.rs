//! Durable Raft log.
//!
//! The log is one file of records, each an encoded [`DurableWrite`]. The first record holds the
//! snapshot, the hard state and the entries after the snapshot, and is written when the file is
//! created. All other records are appended. A new snapshot replaces the file, so its size stays
//! bounded and a crash never leaves a snapshot with entries that belong to another snapshot.

use std::{
    fs::{
        self,
        File,
        TryLockError, //
    },
    io::Read,
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc,
};

use camphordale_raft::{
    DurableWrite,
    RecoveredState, //
};

use crate::{
    atomic::{
        encode,
        replace_file,
        sync_dir,
        temporary_path, //
    },
    disk::{
        Disk,
        DiskFile,
        OsDisk, //
    },
    error::{
        StoreError,
        io_error, //
    },
    record::{
        self,
        RecordReader,
        Tail, //
    },
};

/// Magic number of the log format and its version.
const MAGIC: [u8; 8] = *b"camphlg1";
const LOG_FILE: &str = "log";
const LOCK_FILE: &str = "lock";

/// Durable state of one group member, stored in one directory.
#[derive(Debug)]
pub struct Store {
    disk: Arc<dyn Disk>,
    path: PathBuf,
    file: Box<dyn DiskFile>,
    /// Length of the valid part of the file, in bytes.
    len: u64,
    /// First index after the snapshot.
    first_index: u64,
    /// Last index in the log.
    last_index: u64,
    failed: bool,
    /// Locked as long as the store is open.
    _lock: File,
}

impl Store {
    /// Opens or creates the store in `dir` and returns the recovered state.
    ///
    /// A torn record at the end of the log was never acknowledged and is removed.
    ///
    /// ```
    /// use camphordale_raft::{HardState, DurableWrite};
    /// use camphordale_store::Store;
    ///
    /// let dir = tempfile::tempdir()?;
    /// let (mut store, recovered) = Store::open(dir.path())?;
    /// assert_eq!(recovered.hard_state.term, 0);
    /// let hard_state = Some(HardState { term: 3, voted_for: Some(1) });
    /// store.persist(&DurableWrite { hard_state, ..DurableWrite::default() })?;
    /// drop(store);
    /// assert_eq!(Store::open(dir.path())?.1.hard_state.term, 3);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    ///
    /// # Errors
    ///
    /// [`StoreError::Locked`] if the directory is already open, [`StoreError::Corrupt`] if an
    /// invalid record is followed by a valid one, [`StoreError::Io`] if a file system operation
    /// fails.
    pub fn open(dir: &Path) -> Result<(Store, RecoveredState), StoreError> {
        Store::open_with_disk(Arc::new(OsDisk), dir)
    }

    /// Opens the store on the given disk. The lock file is always on the real file system.
    ///
    /// # Errors
    ///
    /// The errors of [`Store::open`].
    pub fn open_with_disk(
        disk: Arc<dyn Disk>,
        dir: &Path,
    ) -> Result<(Store, RecoveredState), StoreError> {
        let lock = lock(dir)?;
        let path = dir.join(LOG_FILE);
        let temporary = temporary_path(&path);
        disk.remove(&temporary)
            .map_err(io_error("remove", &temporary))?;
        let input = disk.open(&path).map_err(io_error("open", &path))?;
        let (file, len, recovered) = match input {
            None => {
                let payload = encode(&path, &DurableWrite::default())?;
                let (file, len) = replace_file(disk.as_ref(), &path, &MAGIC, &payload)?;
                (file, len, RecoveredState::default())
            }
            Some(input) => {
                let LogContent {
                    recovered,
                    len,
                    torn,
                } = read_log(&path, input, 0)?;
                let mut file = disk.append(&path).map_err(io_error("open", &path))?;
                if torn {
                    file.set_len(len).map_err(io_error("truncate", &path))?;
                }
                // A process that ended between a write and its sync leaves records that are only
                // in the page cache.
                file.sync().map_err(io_error("sync", &path))?;
                sync_dir(disk.as_ref(), &path)?;
                (file, len, recovered)
            }
        };
        let (first_index, last_index) = log_bounds(&recovered);
        let store = Store {
            disk,
            path,
            file,
            len,
            first_index,
            last_index,
            failed: false,
            _lock: lock,
        };
        Ok((store, recovered))
    }

    /// Makes `write` durable. When this returns successfully, it has been synced.
    ///
    /// # Errors
    ///
    /// [`StoreError::Gap`] if the entries or the snapshot are not contiguous with the log; nothing
    /// is written in that case.
    /// [`StoreError::Io`] if a file system operation fails; all further calls then return
    /// [`StoreError::Failed`].
    pub fn persist(&mut self, write: &DurableWrite) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::Failed {
                path: self.path.clone(),
            });
        }
        let (first, last) = self.check_contiguous(write)?;
        // Set before the write, so that an early return leaves the store failed.
        self.failed = true;
        if write.snapshot.is_some() {
            self.compact(write)?;
        } else {
            self.append(write)?;
        }
        (self.first_index, self.last_index, self.failed) = (first, last, false);
        Ok(())
    }

    /// Returns the length of the log in bytes.
    pub fn size(&self) -> u64 {
        self.len
    }

    /// Checks that `write` is contiguous with the log, and returns the first and last index of the
    /// log after it.
    fn check_contiguous(&self, write: &DurableWrite) -> Result<(u64, u64), StoreError> {
        let (mut first, mut last) = (self.first_index, self.last_index);
        let gap = |first, last, index| StoreError::Gap {
            path: self.path.clone(),
            first,
            last,
            index,
        };
        if let Some(snapshot) = &write.snapshot {
            // The entries before the current snapshot were discarded, so an older snapshot would
            // leave a gap.
            if snapshot.index < first - 1 {
                return Err(gap(first, last, snapshot.index));
            }
            first = snapshot.index.saturating_add(1);
            last = if write.discard_log { 0 } else { last }.max(snapshot.index);
        }
        for (position, entry) in (0u64..).zip(&write.entries) {
            let expected = match position {
                0 => entry.index.clamp(first, last.saturating_add(1)),
                _ => last.saturating_add(1),
            };
            if entry.index != expected {
                return Err(gap(first, last, entry.index));
            }
            last = entry.index;
        }
        Ok((first, last))
    }

    fn append(&mut self, write: &DurableWrite) -> Result<(), StoreError> {
        let payload = encode(&self.path, write)?;
        let record = record::frame(self.len, &payload).map_err(io_error("frame", &self.path))?;
        self.file
            .write_all(&record)
            .map_err(io_error("write", &self.path))?;
        self.file.sync().map_err(io_error("sync", &self.path))?;
        self.len += record.len() as u64;
        Ok(())
    }

    /// Replaces the log by one that starts with the snapshot of `write`.
    fn compact(&mut self, write: &DurableWrite) -> Result<(), StoreError> {
        let input = self
            .disk
            .open(&self.path)
            .map_err(io_error("open", &self.path))?;
        let input = input.unwrap_or_else(|| Box::new(std::io::empty()));
        // Entries that the new snapshot covers are left out as they are read, so that the whole log
        // is never in memory.
        let covered = write.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let log = read_log(&self.path, input, covered)?;
        let (mut state, len) = (log.recovered, log.len);
        if len != self.len {
            return Err(StoreError::Corrupt {
                path: self.path.clone(),
                offset: len,
                reason: "acknowledged records are missing",
            });
        }
        apply(&mut state, write.clone());
        let first_record = DurableWrite {
            hard_state: Some(state.hard_state),
            snapshot: state.snapshot,
            discard_log: true,
            entries: state.entries,
        };
        let payload = encode(&self.path, &first_record)?;
        (self.file, self.len) = replace_file(self.disk.as_ref(), &self.path, &MAGIC, &payload)?;
        Ok(())
    }
}

/// Creates the directory if needed and locks it.
fn lock(dir: &Path) -> Result<File, StoreError> {
    fs::create_dir_all(dir).map_err(io_error("create", dir))?;
    let path = dir.join(LOCK_FILE);
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(io_error("open", &path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked { path }),
        Err(TryLockError::Error(source)) => Err(io_error("lock", &path)(source)),
    }
}

/// What a log file contains.
struct LogContent {
    recovered: RecoveredState,
    /// Length of its valid part in bytes.
    len: u64,
    /// Whether a torn record follows the valid part.
    torn: bool,
}

/// Reads a log, one record at a time, and recovers the state from it. Entries up to `covered` are
/// left out.
fn read_log(path: &Path, mut input: Box<dyn Read>, covered: u64) -> Result<LogContent, StoreError> {
    let corrupt = |offset: u64, reason| StoreError::Corrupt {
        path: path.to_path_buf(),
        offset,
        reason,
    };
    let start = MAGIC.len() as u64;
    let mut magic = Vec::new();
    input
        .by_ref()
        .take(start)
        .read_to_end(&mut magic)
        .map_err(io_error("read", path))?;
    if magic != MAGIC {
        return Err(corrupt(0, "unknown file format"));
    }
    let mut records = RecordReader::new(input, start);
    let mut recovered = RecoveredState::default();
    let mut undecodable = None;
    while let Some(payload) = records.next().map_err(io_error("read", path))? {
        match postcard::from_bytes(&payload) {
            Ok(write) => apply(&mut recovered, write),
            Err(_) => {
                let payload_start = records.end() - payload.len() as u64;
                undecodable.get_or_insert(payload_start);
            }
        }
        let first_kept = recovered
            .entries
            .partition_point(|entry| entry.index <= covered);
        recovered.entries.drain(..first_kept);
    }
    let len = records.end();
    let tail = records.tail().map_err(io_error("read", path))?;
    if tail == Tail::ValidRecord {
        return Err(corrupt(len, "an invalid record is followed by a valid one"));
    }
    // The first record was synced before the file was renamed to its final name.
    if len == start {
        return Err(corrupt(start, "the first record is invalid"));
    }
    if let Some(offset) = undecodable {
        return Err(corrupt(offset, "the record cannot be decoded"));
    }
    let first = log_bounds(&recovered).0.max(covered.saturating_add(1));
    let indexes = recovered.entries.iter().map(|entry| entry.index);
    if !(first..)
        .zip(indexes)
        .all(|(expected, index)| expected == index)
    {
        return Err(corrupt(start, "the entries are not contiguous"));
    }
    Ok(LogContent {
        recovered,
        len,
        torn: tail == Tail::Torn,
    })
}

fn apply(state: &mut RecoveredState, write: DurableWrite) {
    if let Some(hard_state) = write.hard_state {
        state.hard_state = hard_state;
    }
    if let Some(snapshot) = write.snapshot {
        state
            .entries
            .retain(|entry| entry.index > snapshot.index && !write.discard_log);
        state.snapshot = Some(snapshot);
    }
    if let Some(first) = write.entries.first().map(|entry| entry.index) {
        let kept = state.entries.partition_point(|entry| entry.index < first);
        state.entries.truncate(kept);
        state.entries.extend(write.entries);
    }
}

/// Returns the first index after the snapshot and the last index.
fn log_bounds(state: &RecoveredState) -> (u64, u64) {
    let base = state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let last = state.entries.last().map_or(base, |entry| entry.index);
    (base.saturating_add(1), last)
}
