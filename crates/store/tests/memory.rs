//! Memory for reading and compacting a long log.

#![allow(clippy::unwrap_used)] // `allow-unwrap-in-tests` does not reach helpers.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    cell::Cell,
    path::Path,
};

use camphordale_raft::{
    DurableWrite,
    Entry,
    Payload,
    Snapshot, //
};
use camphordale_store::Store;

thread_local! {
    static LIVE_BYTES: Cell<isize> = const { Cell::new(0) };
    static PEAK_BYTES: Cell<isize> = const { Cell::new(0) };
}

struct MeasuringAllocator;

// SAFETY: Every call is forwarded to `System` unchanged.
unsafe impl GlobalAlloc for MeasuringAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.set(LIVE_BYTES.get() + layout.size() as isize);
        PEAK_BYTES.set(PEAK_BYTES.get().max(LIVE_BYTES.get()));
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.set(LIVE_BYTES.get() - layout.size() as isize);
        // SAFETY: The caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: MeasuringAllocator = MeasuringAllocator;

/// Bytes that were allocated at most beyond those at the begin of `action`, and its result.
fn peak_of<Result, Action>(action: Action) -> (usize, Result)
where
    Action: FnOnce() -> Result,
{
    let before = LIVE_BYTES.get();
    PEAK_BYTES.set(before);
    let result = action();
    ((PEAK_BYTES.get() - before) as usize, result)
}

const ENTRY_BYTES: usize = 256 << 10;
const ENTRIES: u64 = 120;
const LOG_BYTES: usize = ENTRY_BYTES * ENTRIES as usize;

fn snapshot(index: u64) -> DurableWrite {
    let snapshot = Snapshot {
        index,
        term: u64::from(index > 0),
        data: vec![7; ENTRY_BYTES],
        ..Snapshot::default()
    };
    DurableWrite {
        snapshot: Some(snapshot),
        ..DurableWrite::default()
    }
}

/// Writes a log with long entries, one record each.
fn write_log(dir: &Path) -> Store {
    let (mut store, _) = Store::open(dir).unwrap();
    store.persist(&snapshot(0)).unwrap();
    for index in 1..=ENTRIES {
        let payload = Payload::Data(vec![index as u8; ENTRY_BYTES].into());
        let entries = vec![Entry {
            index,
            term: 1,
            payload,
        }];
        let write = DurableWrite {
            entries,
            ..DurableWrite::default()
        };
        store.persist(&write).unwrap();
    }
    store
}

/// Guards against a start that takes the memory for the log twice, for the bytes of the file and the
/// entries that are decoded from it.
#[test]
fn a_start_takes_the_memory_for_one_copy_of_the_log() {
    let dir = tempfile::tempdir().unwrap();
    drop(write_log(dir.path()));
    let (peak, opened) = peak_of(|| Store::open(dir.path()).unwrap());
    assert_eq!(opened.1.entries.len() as u64, ENTRIES);
    assert!(peak < LOG_BYTES * 5 / 4, "{peak} bytes for {LOG_BYTES}");
}

/// Guards against a compaction that reads the whole log into memory to drop most of it.
#[test]
fn a_compaction_takes_no_memory_for_the_entries_that_it_drops() {
    let dir = tempfile::tempdir().unwrap();
    let mut store = write_log(dir.path());
    let write = snapshot(ENTRIES - 1);
    let (peak, ()) = peak_of(|| store.persist(&write).unwrap());
    assert!(peak < LOG_BYTES / 4, "{peak} bytes for {LOG_BYTES}");
    drop(store);
    let (_, recovered) = Store::open(dir.path()).unwrap();
    assert_eq!(recovered.snapshot, write.snapshot);
    assert_eq!(recovered.entries.len(), 1);
}
