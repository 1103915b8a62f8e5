//! Memory use of the decoders.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    cell::Cell, //
};

use camphordale_http::codec::{
    ChunkedDecoder,
    RequestHead,
    ResponseHead, //
};
use proptest::prelude::*;

thread_local! {
    static LARGEST_ALLOCATION: Cell<usize> = const { Cell::new(0) };
}

/// Records the size of the largest allocation of each thread.
struct AllocationTracker;

// SAFETY: Every call is forwarded to `System` unchanged.
unsafe impl GlobalAlloc for AllocationTracker {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LARGEST_ALLOCATION.set(LARGEST_ALLOCATION.get().max(layout.size()));
        // SAFETY: The caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: The caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        LARGEST_ALLOCATION.set(LARGEST_ALLOCATION.get().max(size));
        // SAFETY: The caller keeps the contract of `realloc`.
        unsafe { System.realloc(pointer, layout, size) }
    }
}

#[global_allocator]
static ALLOCATOR: AllocationTracker = AllocationTracker;

const MAX_BODY: usize = 1_000;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against memory that is allocated for an announced chunk size instead of received
    /// bytes.
    #[test]
    fn chunked_decoder_allocations_are_bounded_by_the_limit(size in any::<u64>(), data in prop::collection::vec(any::<u8>(), 0..4_000)) {
        let mut bytes = format!("{size:x}\r\n").into_bytes();
        bytes.extend_from_slice(&data);
        let mut body = Vec::new();
        LARGEST_ALLOCATION.set(0);
        let _ = ChunkedDecoder::new(MAX_BODY).decode(&bytes, &mut body);
        prop_assert!(LARGEST_ALLOCATION.get() <= 2 * MAX_BODY, "{} bytes", LARGEST_ALLOCATION.get());
    }

    /// Guards against heads that need much more memory than they have bytes.
    #[test]
    fn head_parser_allocations_are_bounded_by_the_head(name in "[a-z]{1,9}", count in 0_usize..200, status in any::<bool>()) {
        let start = if status { "HTTP/1.1 200 OK\r\n" } else { "GET / HTTP/1.1\r\nhost: a\r\n" };
        let fields = format!("{name}: b\r\n").repeat(count);
        let bytes = format!("{start}{fields}\r\n");
        // A field is two fat pointers (32 bytes), and the capacity of the list doubles as it grows.
        let bound = 2 * 32 * camphordale_http::codec::MAX_HEADERS;
        LARGEST_ALLOCATION.set(0);
        let request = RequestHead::parse(bytes.as_bytes());
        let response = ResponseHead::parse(bytes.as_bytes());
        let largest = LARGEST_ALLOCATION.get();
        prop_assert!(largest <= bound.max(bytes.len()), "{largest} bytes");
        if count < camphordale_http::codec::MAX_HEADERS && !["content-length", "host"].contains(&&*name) {
            prop_assert!(request.is_ok() || response.is_ok());
        }
    }
}
