//! Store: restarts, corrupt files and disk failures.

#![allow(clippy::unwrap_used)] // `allow-unwrap-in-tests` does not reach helpers.

use std::{
    collections::BTreeMap,
    fs,
    io::{
        self,
        Read,
        Write, //
    },
    path::{
        Path,
        PathBuf, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
};

use camphordale_raft::{
    DurableWrite,
    Entry,
    HardState,
    Payload,
    RecoveredState,
    Snapshot, //
};
use camphordale_store::{
    AtomicFile,
    Disk,
    DiskFile,
    Identity,
    RetriedFile,
    Store,
    StoreError, //
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use rstest::rstest;
use tempfile::tempdir;

/// State of an in-memory disk that writes a few bytes at a time and fails after a number of
/// operations: writes, syncs, renames and syncs of a directory.
#[derive(Debug, Default)]
struct DiskState {
    /// Content of each file, and the length of its synced part.
    files: Vec<(Vec<u8>, usize)>,
    directory: BTreeMap<PathBuf, usize>,
    /// The directory entries that survive a power failure.
    synced_directory: BTreeMap<PathBuf, usize>,
    operations: usize,
    fail_at: Option<usize>,
}

#[derive(Clone, Debug, Default)]
struct MemoryDisk(Arc<Mutex<DiskState>>);

impl MemoryDisk {
    fn start_operation(&self) -> io::Result<MutexGuard<'_, DiskState>> {
        let mut state = self.0.lock().unwrap();
        state.operations += 1;
        match state.fail_at {
            Some(at) if state.operations >= at => Err(io::ErrorKind::StorageFull.into()),
            _ => Ok(state),
        }
    }

    /// Makes the operation number `at`, counted from now, and all later ones fail.
    fn fail(&self, at: Option<usize>) {
        let mut state = self.0.lock().unwrap();
        (state.operations, state.fail_at) = (0, at);
    }

    /// Simulates a power failure: discards directory entries that were not synced, and half of the
    /// unsynced part of each file.
    fn power_failure(&self) {
        let mut state = self.0.lock().unwrap();
        (state.directory, state.fail_at) = (state.synced_directory.clone(), None);
        for (content, synced) in &mut state.files {
            content.truncate(synced.midpoint(content.len()));
            *synced = content.len();
        }
    }

    fn open_store(&self, dir: &Path) -> Result<(Store, RecoveredState), StoreError> {
        Store::open_with_disk(Arc::new(self.clone()), dir)
    }

    fn get(&self, path: &Path) -> Vec<u8> {
        self.read(path).unwrap().unwrap()
    }

    fn put(&self, path: &Path, content: &[u8]) {
        let mut state = self.0.lock().unwrap();
        let file = state.directory[path];
        state.files[file] = (content.to_vec(), content.len());
    }
}

#[derive(Debug)]
struct MemoryFile(MemoryDisk, usize);

impl Write for MemoryFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = bytes.len().min(24);
        self.0.start_operation()?.files[self.1]
            .0
            .extend(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl DiskFile for MemoryFile {
    fn sync(&mut self) -> io::Result<()> {
        let (content, synced) = &mut self.0.start_operation()?.files[self.1];
        *synced = content.len();
        Ok(())
    }

    fn set_len(&mut self, len: u64) -> io::Result<()> {
        let (content, synced) = &mut self.0.start_operation()?.files[self.1];
        content.truncate(len as usize);
        *synced = content.len().min(*synced);
        Ok(())
    }
}

impl Disk for MemoryDisk {
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        let state = self.0.lock().unwrap();
        Ok(state
            .directory
            .get(path)
            .map(|file| state.files[*file].0.clone()))
    }

    fn open(&self, path: &Path) -> io::Result<Option<Box<dyn Read>>> {
        let content = self.read(path)?;
        Ok(content.map(|content| Box::new(io::Cursor::new(content)) as Box<dyn Read>))
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        let mut state = self.0.lock().unwrap();
        state.files.push((Vec::new(), 0));
        let file = state.files.len() - 1;
        state.directory.insert(path.into(), file);
        Ok(Box::new(MemoryFile(self.clone(), file)))
    }

    fn append(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        let file = self.0.lock().unwrap().directory[path];
        Ok(Box::new(MemoryFile(self.clone(), file)))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.start_operation()?;
        let file = state.directory.remove(from).unwrap();
        state.directory.insert(to.into(), file);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.0.lock().unwrap().directory.remove(path);
        Ok(())
    }

    fn sync_dir(&self, _path: &Path) -> io::Result<()> {
        let mut state = self.start_operation()?;
        state.synced_directory = state.directory.clone();
        Ok(())
    }
}

fn entry(index: u64, data: Vec<u8>) -> Entry {
    let payload = Payload::Data(data.into());
    Entry {
        index,
        term: 1,
        payload,
    }
}

fn entries(first: u64, count: u64) -> DurableWrite {
    DurableWrite {
        entries: (first..first + count)
            .map(|at| entry(at, vec![at as u8; 9]))
            .collect(),
        ..DurableWrite::default()
    }
}

/// A snapshot at `index`; `discard_log` drops the entries after it.
fn snapshot(index: u64, discard_log: bool) -> DurableWrite {
    let data = vec![index as u8; 40];
    let snapshot = Snapshot {
        index,
        term: 1,
        data,
        ..Snapshot::default()
    };
    DurableWrite {
        snapshot: Some(snapshot),
        discard_log,
        ..DurableWrite::default()
    }
}

fn hard_state(term: u64) -> DurableWrite {
    let hard_state = HardState {
        term,
        voted_for: Some(term),
    };
    DurableWrite {
        hard_state: Some(hard_state),
        ..DurableWrite::default()
    }
}

/// Reference model of the state that a store holds.
fn apply(state: &mut RecoveredState, write: &DurableWrite) {
    state.hard_state = write.hard_state.unwrap_or(state.hard_state);
    if let Some(snapshot) = &write.snapshot {
        state
            .entries
            .retain(|entry| entry.index > snapshot.index && !write.discard_log);
        state.snapshot = Some(snapshot.clone());
    }
    for entry in &write.entries {
        state.entries.retain(|kept| kept.index < entry.index);
        state.entries.push(entry.clone());
    }
}

/// Derives a valid write after `state` from generated numbers.
fn generate_write(state: &RecoveredState, kind: u8, number: u64) -> DurableWrite {
    let base = state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let len = state.entries.len() as u64;
    match kind {
        0 => hard_state(number),
        1 if len > 0 => snapshot(base + 1 + number % len, false),
        2 => snapshot(base + number, true),
        _ => entries(base + 1 + number % (len + 1), 1 + number % 3),
    }
}

/// Persists writes, with restarts between them, and fails at a disk operation. After a power
/// failure the disk must hold all acknowledged writes. Returns whether the failing operation was
/// reached.
fn run(dir: &Path, steps: &[(u8, u64, bool)], fail_at: usize) -> bool {
    let disk = MemoryDisk::default();
    let (mut store, mut state) = disk.open_store(dir).unwrap();
    let mut next = state.clone();
    disk.fail(Some(fail_at));
    let mut failed = false;
    for (kind, number, reopen) in steps {
        if *reopen {
            drop(store);
            match disk.open_store(dir) {
                Ok((opened, found)) => {
                    assert_eq!(found, state);
                    store = opened;
                }
                Err(error) => {
                    assert!(matches!(error, StoreError::Io { .. }));
                    disk.power_failure();
                    assert_eq!(disk.open_store(dir).unwrap().1, state);
                    return true;
                }
            }
        }
        let write = generate_write(&state, *kind, *number);
        apply(&mut next, &write);
        if store.persist(&write).is_err() {
            let again = store.persist(&DurableWrite::default());
            assert!(matches!(again, Err(StoreError::Failed { .. })));
            failed = true;
            break;
        }
        state = next.clone();
    }
    drop(store);
    if failed && fail_at.is_multiple_of(2) {
        // State that was recovered on a restart is durable, although the earlier sync of it failed.
        disk.fail(None);
        let (_, found) = disk.open_store(dir).unwrap();
        assert!(found == state || found == next);
        (state, next) = (found.clone(), found);
    }
    disk.power_failure();
    let (_, found) = disk.open_store(dir).unwrap();
    assert!(found == state || found == next);
    failed
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against any difference from the reference model, over restarts and after a failure
    /// of any disk operation: the store then rejects writes, and a restart recovers the state
    /// before or after the failed write.
    #[test]
    fn acknowledged_writes_survive_failures(
        steps in prop::collection::vec((0..8u8, 0..9u64, any::<bool>()), 1..14),
    ) {
        let dir = tempdir().unwrap();
        let reached = (1..).take_while(|fail_at| run(dir.path(), &steps, *fail_at)).count();
        prop_assert!(reached > 0);
    }
}

/// Writes three records and returns their offsets, with the end of the log.
fn three_records(disk: &MemoryDisk, dir: &Path) -> [u64; 4] {
    let (mut store, _) = disk.open_store(dir).unwrap();
    let mut offsets = [store.size(); 4];
    for (at, write) in [hard_state(5), entries(1, 3), entries(4, 2)]
        .iter()
        .enumerate()
    {
        store.persist(write).unwrap();
        offsets[at + 1] = store.size();
    }
    offsets
}

/// Guards against a store that does not open after a crash during a write, or that keeps part of a
/// record.
#[test]
fn torn_record_at_the_end_is_truncated() {
    let (dir, disk) = (tempdir().unwrap(), MemoryDisk::default());
    let [_, _, start, end] = three_records(&disk, dir.path());
    let log = dir.path().join("log");
    let content = disk.get(&log);
    for len in start..end {
        disk.put(&log, &content[..len as usize]);
        let (mut store, found) = disk.open_store(dir.path()).unwrap();
        assert_eq!((found.entries.len(), store.size()), (3, start));
        store.persist(&entries(4, 2)).unwrap();
        assert_eq!(disk.get(&log), content);
    }
}

/// Guards against acknowledged records that are dropped because a record before them is corrupt,
/// and against a truncated first record that is treated as a torn record.
#[test]
fn corruption_before_a_valid_record_is_an_error() {
    let (dir, disk) = (tempdir().unwrap(), MemoryDisk::default());
    let [first, second, third, _] = three_records(&disk, dir.path());
    let log = dir.path().join("log");
    let content = disk.get(&log);
    for at in 0..third {
        let mut corrupted = content.clone();
        corrupted[at as usize] ^= 0x10;
        disk.put(&log, &corrupted);
        let starts = [0, 8, first, second];
        let expected = starts.into_iter().rfind(|start| *start <= at);
        match disk.open_store(dir.path()) {
            Err(StoreError::Corrupt { path, offset, .. }) => {
                assert_eq!((path, Some(offset)), (log.clone(), expected));
            }
            other => panic!("byte {at}: {other:?}"),
        }
    }
    disk.put(&log, &content[..10]);
    assert!(matches!(
        disk.open_store(dir.path()),
        Err(StoreError::Corrupt { offset: 8, .. })
    ));
}

/// Guards against a torn record that is reported as corruption because its payload contains bytes
/// that look like a valid record.
#[test]
fn copy_of_the_log_in_a_payload_is_not_a_record() {
    let (dir, disk) = (tempdir().unwrap(), MemoryDisk::default());
    three_records(&disk, dir.path());
    let log = dir.path().join("log");
    let copy = disk.get(&log);
    let (mut store, _) = disk.open_store(dir.path()).unwrap();
    let write = DurableWrite {
        entries: vec![entry(6, copy)],
        ..DurableWrite::default()
    };
    store.persist(&write).unwrap();
    drop(store);
    let content = disk.get(&log);
    disk.put(&log, &content[..content.len() - 1]);
    assert_eq!(disk.open_store(dir.path()).unwrap().1.entries.len(), 5);
}

/// Guards against two processes that write to the same log.
#[test]
fn directory_cannot_be_opened_twice() {
    let dir = tempdir().unwrap();
    let first = Store::open(dir.path()).unwrap();
    let second = Store::open(dir.path());
    assert!(matches!(second, Err(StoreError::Locked { .. })));
    drop(first);
    Store::open(dir.path()).unwrap();
}

/// Guards against a log that grows without bound.
#[test]
fn snapshots_limit_the_size_of_the_log() {
    let (dir, disk) = (tempdir().unwrap(), MemoryDisk::default());
    let (mut store, _) = disk.open_store(dir.path()).unwrap();
    for round in 0..100 {
        store.persist(&entries(1 + round * 20, 20)).unwrap();
        store.persist(&snapshot((round + 1) * 20, false)).unwrap();
        assert!(store.size() < 200);
    }
}

/// Guards against writes that are not contiguous with the log; they must leave it unchanged.
#[rstest]
#[case::after_a_gap(entries(5, 1))]
#[case::below_the_snapshot(entries(1, 1))]
#[case::older_snapshot(snapshot(1, false))]
fn gap_is_rejected(#[case] write: DurableWrite) {
    let (dir, disk) = (tempdir().unwrap(), MemoryDisk::default());
    let (mut store, _) = disk.open_store(dir.path()).unwrap();
    store.persist(&entries(1, 3)).unwrap();
    store.persist(&snapshot(2, false)).unwrap();
    let size = store.size();
    assert!(matches!(store.persist(&write), Err(StoreError::Gap { .. })));
    assert_eq!(store.size(), size);
    store.persist(&entries(4, 1)).unwrap();
}

/// Guards against a file that is lost or partially written, and against a corrupt value that is
/// returned.
#[test]
fn atomic_file_has_the_old_or_the_new_value() {
    let path = Path::new("bundle");
    let disk = MemoryDisk::default();
    let file = AtomicFile::<u64>::with_disk(Arc::new(disk.clone()), path);
    for fail_at in 1..8 {
        file.write(&1).unwrap();
        disk.fail(Some(fail_at));
        let written = file.write(&2).is_ok();
        disk.fail(None);
        if fail_at.is_multiple_of(3) {
            disk.power_failure();
        }
        let value = file.read().unwrap();
        assert!(value == Some(2) || (value == Some(1) && !written));
        disk.power_failure();
        assert_eq!(file.read().unwrap(), value);
    }
    let mut content = disk.get(path);
    *content.last_mut().unwrap() ^= 1;
    disk.put(path, &content);
    match file.read() {
        Err(StoreError::Corrupt {
            path: reported,
            offset,
            ..
        }) => assert_eq!((&*reported, offset), (path, 8)),
        other => panic!("{other:?}"),
    }
}

/// Guards against a member that keeps its identity after a lost disk, and against a corrupt
/// identity that is silently replaced.
#[test]
fn member_gets_a_new_identity_after_a_lost_disk() {
    let dir = tempdir().unwrap();
    assert_eq!(Identity::open(dir.path(), 7).unwrap().member, 7);
    assert_eq!(Identity::open(dir.path(), 8).unwrap().member, 7);
    fs::write(dir.path().join("identity"), b"").unwrap();
    assert!(Identity::open(dir.path(), 8).is_err());
    let other = tempdir().unwrap();
    assert_eq!(Identity::open(other.path(), 8).unwrap().member, 8);
}

/// Guards against a control VM that finds no other one after a restart, because the list of those that
/// it knew could not be written while its disk was full, and never was again.
#[test]
fn a_value_that_could_not_be_written_is_written_when_the_disk_has_room() {
    let (disk, path) = (MemoryDisk::default(), Path::new("/d/members"));
    let file = || AtomicFile::<u64>::with_disk(Arc::new(disk.clone()), path);
    let mut retried = RetriedFile::new(file());
    let ms = std::time::Duration::from_millis;
    retried.write(1, ms(0)).unwrap();
    disk.fail(Some(1));
    assert!(retried.write(2, ms(1000)).is_err());
    assert!(retried.write(3, ms(1100)).is_err());
    assert!(retried.retry(ms(1650)).is_err());
    disk.fail(None);
    // It is not tried with each tick.
    retried.retry(ms(1700)).unwrap();
    assert_eq!(file().read().unwrap(), Some(1));
    retried.retry(ms(2200)).unwrap();
    assert_eq!(file().read().unwrap(), Some(3));
    // Nothing is left to write.
    disk.fail(Some(1));
    retried.retry(ms(9000)).unwrap();
}
