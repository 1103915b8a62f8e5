//! Memory of the decoders.

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

/// Notes the largest allocation of each thread.
struct Noting;

// SAFETY: Every call is passed on to `System` unchanged.
unsafe impl GlobalAlloc for Noting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LARGEST.set(LARGEST.get().max(layout.size()));
        // SAFETY: The caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: The caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        LARGEST.set(LARGEST.get().max(size));
        // SAFETY: The caller keeps the contract of `realloc`.
        unsafe { System.realloc(pointer, layout, size) }
    }
}

#[global_allocator]
static NOTING: Noting = Noting;

const LIMIT: usize = 1_000;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against memory that is taken for a stated length instead of received bytes, and
    /// against a buffer that grows beyond one frame.
    #[test]
    fn frames_take_no_more_than_the_limit(
        lengths in prop::collection::vec(0..LIMIT, 0..20),
        claimed in any::<u32>(),
        step in 1_usize..500,
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
        bytes.extend_from_slice(&claimed.to_be_bytes());
        bytes.extend_from_slice(&[3; 5_000]);
        LARGEST.set(0);
        let mut opened = 0;
        'pieces: for piece in bytes.chunks(step) {
            server.decoder.push(piece);
            loop {
                match server.decoder.next_frame() {
                    Ok(Some(_)) => opened += 1,
                    Ok(None) => break,
                    Err(_) => break 'pieces,
                }
            }
        }
        let largest = LARGEST.get();
        prop_assert_eq!(opened, lengths.len());
        // Up to as many consumed bytes as others stay in the buffer, and its capacity doubles.
        let bound = 4 * (LIMIT + FRAME_OVERHEAD + step);
        prop_assert!(largest <= bound, "{} bytes", largest);
        LARGEST.set(0);
        let _ = Datagram::open(&bytes, &keyring);
        prop_assert!(LARGEST.get() <= MAX_DATAGRAM_PAYLOAD);
    }
}
