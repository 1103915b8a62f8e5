//! Memory bounds of the decoders.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    cell::Cell, //
};

use camphordale_wire::{
    ClusterKey,
    Datagram,
    FRAME_OVERHEAD,
    FrameKind,
    Handshake,
    Keyring,
    MAX_DATAGRAM_PAYLOAD,
    Role, //
};
use proptest::prelude::*;

thread_local! {
    static LARGEST: Cell<usize> = const { Cell::new(0) };
}

/// Records the size of the largest allocation of each thread.
struct TrackingAllocator;

// SAFETY: Every call is forwarded to `System` unchanged.
unsafe impl GlobalAlloc for TrackingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LARGEST.set(LARGEST.get().max(layout.size()));
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: The caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        LARGEST.set(LARGEST.get().max(size));
        // SAFETY: The caller upholds the contract of `realloc`.
        unsafe { System.realloc(pointer, layout, size) }
    }
}

#[global_allocator]
static ALLOCATOR: TrackingAllocator = TrackingAllocator;

const LIMIT: usize = 1_000;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a decoder that allocates memory for the length in a header before the bytes
    /// arrive, and against a buffer that grows without bound.
    #[test]
    fn decoder_memory_is_bounded(
        lengths in prop::collection::vec(0..LIMIT, 0..20),
        claimed_length in any::<u32>(),
        chunk_size in 1_usize..500,
    ) {
        let keyring = Keyring::new(vec![ClusterKey { id: 1, secret: [1; 32] }], 1).unwrap();
        let client = Handshake::new(Role::Client, 10, &keyring, [1; 16]);
        let server = Handshake::new(Role::Server, 20, &keyring, [2; 16]);
        let (to_server, to_client) = (client.hello(), server.hello());
        let mut client = client.finish(&to_client, &keyring, LIMIT).unwrap();
        let mut server = server.finish(&to_server, &keyring, LIMIT).unwrap();
        server.decoder.set_limit(LIMIT);
        let mut bytes = Vec::new();
        for length in &lengths {
            client.encoder.encode(FrameKind::Cast, &vec![0; *length], &mut bytes).unwrap();
        }
        bytes.extend_from_slice(&claimed_length.to_be_bytes());
        bytes.extend_from_slice(&[3; 5_000]);
        LARGEST.set(0);
        let mut decoded = 0;
        'chunks: for chunk in bytes.chunks(chunk_size) {
            server.decoder.push(chunk);
            loop {
                match server.decoder.next_frame() {
                    Ok(Some(_)) => decoded += 1,
                    Ok(None) => break,
                    Err(_) => break 'chunks,
                }
            }
        }
        let largest = LARGEST.get();
        prop_assert_eq!(decoded, lengths.len());
        // The buffer holds up to as many consumed as unconsumed bytes, and its capacity doubles.
        let bound = 4 * (LIMIT + FRAME_OVERHEAD + chunk_size);
        prop_assert!(largest <= bound, "{} bytes", largest);
        LARGEST.set(0);
        let _ = Datagram::decode(&bytes, &keyring);
        prop_assert!(LARGEST.get() <= MAX_DATAGRAM_PAYLOAD);
    }
}
