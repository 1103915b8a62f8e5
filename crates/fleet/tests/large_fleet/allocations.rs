//! Counts allocations, as a measure of work that is the same on every machine, and the bytes that
//! are allocated.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    cell::Cell,
};

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
    static LIVE_BYTES: Cell<isize> = const { Cell::new(0) };
    static PEAK_BYTES: Cell<isize> = const { Cell::new(0) };
}

struct CountingAllocator;

// SAFETY: Every call is forwarded to `System` unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.set(ALLOCATIONS.get() + 1);
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
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Allocations of this thread so far.
pub(crate) fn count() -> u64 {
    ALLOCATIONS.get()
}

/// Bytes that this thread has allocated and not freed.
pub(crate) fn live_bytes() -> usize {
    LIVE_BYTES.get().max(0) as usize
}

/// Takes the largest number of live bytes since the last call.
pub(crate) fn take_peak_bytes() -> usize {
    PEAK_BYTES.replace(LIVE_BYTES.get()).max(0) as usize
}
