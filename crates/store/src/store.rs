//! The durable log.
//!
//! The log is one file of records, each an encoded [`DurableWrite`]. The first record holds the
//! snapshot, the hard state and the entries after the snapshot; it is written with the file. The
//! others are appended. A new snapshot replaces the file, so the file stays bounded and a crash
//! never leaves a snapshot with the log of another.

use std::{
    fs::{
        self,
        File,
        TryLockError, //
    },
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
        aside,
        encode,
        replace,
        sync_dir, //
    },
    disk::{
        Disk,
        DiskFile,
        OsDisk, //
    },
    error::{
        StoreError,
        at, //
    },
    record,
};

/// First bytes of the log: the format and its version.
const MAGIC: [u8; 8] = *b"camphlg1";
const LOG: &str = "log";
const LOCK: &str = "lock";

/// Durable state of one member in one directory.
#[derive(Debug)]
pub struct Store {
    disk: Arc<dyn Disk>,
    path: PathBuf,
    file: Box<dyn DiskFile>,
    /// Length of the valid part of the file, in bytes.
    len: u64,
    /// First index after the snapshot.
    start: u64,
    /// Last index in the log.
    last: u64,
    failed: bool,
    /// Held as long as the store is open.
    _lock: File,
}

impl Store {
    /// Opens or creates the store in `dir` and returns what it holds.
    ///
    /// A record that was cut short at the end of the log was never acknowledged; it is removed.
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
    /// [`StoreError::Locked`] if the directory is open already, [`StoreError::Corrupt`] if a bad
    /// record is followed by a valid one, [`StoreError::Io`] if a step on the file system fails.
    pub fn open(dir: &Path) -> Result<(Store, RecoveredState), StoreError> {
        Store::open_on(Arc::new(OsDisk), dir)
    }

    /// Opens the store on the given disk. The lock is always taken on the file system.
    ///
    /// # Errors
    ///
    /// Those of [`Store::open`].
    pub fn open_on(disk: Arc<dyn Disk>, dir: &Path) -> Result<(Store, RecoveredState), StoreError> {
        let lock = lock(dir)?;
        let path = dir.join(LOG);
        let left = aside(&path);
        disk.remove(&left).map_err(at("remove", &left))?;
        let content = disk.read(&path).map_err(at("read", &path))?;
        let (file, len, recovered) = match content {
            None => {
                let payload = encode(&path, &DurableWrite::default())?;
                let (file, len) = replace(disk.as_ref(), &path, &MAGIC, &payload)?;
                (file, len, RecoveredState::default())
            }
            Some(content) => {
                let (recovered, len) = decode(&path, &content)?;
                let mut file = disk.append(&path).map_err(at("open", &path))?;
                if len < content.len() as u64 {
                    file.set_len(len).map_err(at("truncate", &path))?;
                }
                // A process that ended between write and sync left records that are only in the
                // page cache.
                file.sync().map_err(at("sync", &path))?;
                sync_dir(disk.as_ref(), &path)?;
                (file, len, recovered)
            }
        };
        let (start, last) = bounds(&recovered);
        let store = Store {
            disk,
            path,
            file,
            len,
            start,
            last,
            failed: false,
            _lock: lock,
        };
        Ok((store, recovered))
    }

    /// Makes `persist` durable. When this returns, it has been synced.
    ///
    /// # Errors
    ///
    /// [`StoreError::Gap`] if the entries or the snapshot do not continue the log; nothing was
    /// written then.
    /// [`StoreError::Io`] if a step on the file system fails; the store then answers
    /// [`StoreError::Failed`] to everything further.
    pub fn persist(&mut self, persist: &DurableWrite) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::Failed {
                path: self.path.clone(),
            });
        }
        let (start, last) = self.check(persist)?;
        // Set first, so that every early return below leaves the store failed.
        self.failed = true;
        if persist.snapshot.is_some() {
            self.rewrite(persist)?;
        } else {
            self.append(persist)?;
        }
        (self.start, self.last, self.failed) = (start, last, false);
        Ok(())
    }

    /// Length of the log in bytes.
    pub fn size(&self) -> u64 {
        self.len
    }

    /// Returns the bounds of the log after `persist`.
    fn check(&self, persist: &DurableWrite) -> Result<(u64, u64), StoreError> {
        let (mut start, mut last) = (self.start, self.last);
        let gap = |start, last, first| StoreError::Gap {
            path: self.path.clone(),
            start,
            last,
            first,
        };
        if let Some(snapshot) = &persist.snapshot {
            // Entries below the present snapshot are gone, so an older one would leave a gap.
            if snapshot.index < start - 1 {
                return Err(gap(start, last, snapshot.index));
            }
            start = snapshot.index.saturating_add(1);
            last = if persist.discard_log { 0 } else { last }.max(snapshot.index);
        }
        for (at, entry) in (0u64..).zip(&persist.entries) {
            let expected = match at {
                0 => entry.index.clamp(start, last.saturating_add(1)),
                _ => last.saturating_add(1),
            };
            if entry.index != expected {
                return Err(gap(start, last, entry.index));
            }
            last = entry.index;
        }
        Ok((start, last))
    }

    fn append(&mut self, persist: &DurableWrite) -> Result<(), StoreError> {
        let payload = encode(&self.path, persist)?;
        let record = record::frame(self.len, &payload).map_err(at("frame", &self.path))?;
        self.file
            .write_all(&record)
            .map_err(at("write", &self.path))?;
        self.file.sync().map_err(at("sync", &self.path))?;
        self.len += record.len() as u64;
        Ok(())
    }

    /// Replaces the log by one that starts from the snapshot of `persist`.
    fn rewrite(&mut self, persist: &DurableWrite) -> Result<(), StoreError> {
        let content = self.disk.read(&self.path).map_err(at("read", &self.path))?;
        let (mut state, len) = decode(&self.path, &content.unwrap_or_default())?;
        if len != self.len {
            return Err(StoreError::Corrupt {
                path: self.path.clone(),
                offset: len,
                reason: "acknowledged records are missing",
            });
        }
        apply(&mut state, persist.clone());
        let whole = DurableWrite {
            hard_state: Some(state.hard_state),
            snapshot: state.snapshot,
            discard_log: true,
            entries: state.entries,
        };
        let payload = encode(&self.path, &whole)?;
        (self.file, self.len) = replace(self.disk.as_ref(), &self.path, &MAGIC, &payload)?;
        Ok(())
    }
}

/// Creates the directory if needed and locks it.
fn lock(dir: &Path) -> Result<File, StoreError> {
    fs::create_dir_all(dir).map_err(at("create", dir))?;
    let path = dir.join(LOCK);
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(at("open", &path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked { path }),
        Err(TryLockError::Error(source)) => Err(at("lock", &path)(source)),
    }
}

/// Returns the state that the records of a log add up to, and the length of its valid part.
fn decode(path: &Path, content: &[u8]) -> Result<(RecoveredState, u64), StoreError> {
    let corrupt = |offset: usize, reason| StoreError::Corrupt {
        path: path.to_path_buf(),
        offset: offset as u64,
        reason,
    };
    if !content.starts_with(&MAGIC) {
        return Err(corrupt(0, "unknown format"));
    }
    let scan = record::scan(content, MAGIC.len());
    if scan.more {
        return Err(corrupt(scan.end, "a bad record is followed by a valid one"));
    }
    // The first record was synced before the file got its name.
    if scan.records.is_empty() {
        return Err(corrupt(MAGIC.len(), "the first record is bad"));
    }
    let mut state = RecoveredState::default();
    for payload in scan.records {
        let start = payload.start;
        let persist: DurableWrite = postcard::from_bytes(&content[payload])
            .map_err(|_| corrupt(start, "the record does not decode"))?;
        apply(&mut state, persist);
    }
    let (start, _) = bounds(&state);
    let indexes = state.entries.iter().map(|entry| entry.index);
    if !(start..).zip(indexes).all(|(at, index)| at == index) {
        return Err(corrupt(MAGIC.len(), "the entries have gaps"));
    }
    Ok((state, scan.end as u64))
}

fn apply(state: &mut RecoveredState, persist: DurableWrite) {
    if let Some(hard) = persist.hard_state {
        state.hard_state = hard;
    }
    if let Some(snapshot) = persist.snapshot {
        state
            .entries
            .retain(|entry| entry.index > snapshot.index && !persist.discard_log);
        state.snapshot = Some(snapshot);
    }
    if let Some(first) = persist.entries.first().map(|entry| entry.index) {
        let keep = state.entries.partition_point(|entry| entry.index < first);
        state.entries.truncate(keep);
        state.entries.extend(persist.entries);
    }
}

/// First index after the snapshot and last index.
fn bounds(state: &RecoveredState) -> (u64, u64) {
    let base = state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let last = state.entries.last().map_or(base, |entry| entry.index);
    (base.saturating_add(1), last)
}
