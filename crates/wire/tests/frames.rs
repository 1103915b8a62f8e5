//! Frames and handshakes: anything but the next frame of an authenticated peer is rejected.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

use camphordale_wire::{
    ClusterKey,
    FRAME_OVERHEAD,
    Frame,
    FrameError,
    FrameKind,
    HEADER_LEN,
    HELLO_LEN,
    Handshake,
    HandshakeError,
    KeyError,
    Keyring,
    Role,
    Session, //
};
use proptest::prelude::*;
use rstest::rstest;

const LIMIT: usize = 256;

fn key(id: u8) -> ClusterKey {
    ClusterKey {
        id,
        secret: [id; 32],
    }
}

fn keyring(ids: &[u8], send: u8) -> Keyring {
    Keyring::new(ids.iter().copied().map(key).collect(), send).unwrap()
}

/// Returns the sessions of a client and a server after the exchange of hellos. `nonce`
/// distinguishes connections.
fn sessions(nonce: u8) -> (Session, Session) {
    let keyring = keyring(&[1], 1);
    let client = Handshake::new(Role::Client, 10, &keyring, [nonce; 16]);
    let server = Handshake::new(Role::Server, 20, &keyring, [nonce ^ 0xff; 16]);
    let (to_server, to_client) = (client.hello(), server.hello());
    let mut client = client.finish(&to_client, &keyring, LIMIT).unwrap();
    let mut server = server.finish(&to_server, &keyring, LIMIT).unwrap();
    client.decoder.set_limit(LIMIT);
    server.decoder.set_limit(LIMIT);
    (client, server)
}

fn encode(session: &mut Session, kind: FrameKind, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    session.encoder.encode(kind, payload, &mut bytes).unwrap();
    bytes
}

fn decode(session: &mut Session, bytes: &[u8]) -> Result<Option<Frame>, FrameError> {
    session.decoder.push(bytes);
    session.decoder.next_frame()
}

#[test]
fn replayed_frame_is_rejected() {
    // Guards against an attacker who replays recorded bytes on the same connection.
    let (mut client, mut server) = sessions(1);
    let bytes = encode(&mut client, FrameKind::Call, b"reserve");
    assert!(matches!(decode(&mut server, &bytes), Ok(Some(_))));
    let expected = FrameError::Sequence {
        expected: 1,
        found: 0,
    };
    assert_eq!(decode(&mut server, &bytes), Err(expected));
}

#[test]
fn frame_of_another_connection_or_direction_is_rejected() {
    // Guards against frames that were made with the cluster key, but for another connection or for
    // the opposite direction.
    let (mut client, mut server) = sessions(1);
    let (_, mut other) = sessions(2);
    let bytes = encode(&mut client, FrameKind::Call, b"reserve");
    let expected = FrameError::Tag { sequence: 0 };
    assert_eq!(decode(&mut other, &bytes), Err(expected.clone()));
    let reflected = encode(&mut server, FrameKind::Ready, b"");
    assert_eq!(decode(&mut server, &reflected), Err(expected));
}

#[test]
fn altered_vm_number_invalidates_the_tags() {
    // Guards against a peer that passes for another VM because its hello was altered in transit.
    let keyring = keyring(&[1], 1);
    let client = Handshake::new(Role::Client, 10, &keyring, [1; 16]);
    let server = Handshake::new(Role::Server, 20, &keyring, [2; 16]);
    let mut altered = client.hello();
    altered[8] = 11;
    let mut client = client.finish(&server.hello(), &keyring, LIMIT).unwrap();
    let mut server = server.finish(&altered, &keyring, LIMIT).unwrap();
    assert_eq!(server.vm, 11);
    let ready = encode(&mut client, FrameKind::Ready, b"");
    let expected = FrameError::Tag { sequence: 0 };
    assert_eq!(decode(&mut server, &ready), Err(expected));
}

#[test]
fn payload_is_rejected_before_authentication() {
    // Guards against unauthenticated clients that make the server buffer a long frame.
    let keyring = keyring(&[1], 1);
    let client = Handshake::new(Role::Client, 10, &keyring, [1; 16]);
    let server = Handshake::new(Role::Server, 20, &keyring, [2; 16]);
    let mut server = server.finish(&client.hello(), &keyring, LIMIT).unwrap();
    let expected = FrameError::Length {
        length: 1,
        limit: 0,
    };
    let header = [0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    assert_eq!(decode(&mut server, &header), Err(expected));
}

#[rstest]
#[case::magic(0, HandshakeError::Magic)]
#[case::version(4, HandshakeError::Version { found: 0xfe })]
#[case::key(9, HandshakeError::UnknownKey { id: 0xfe })]
fn invalid_hello_is_rejected(#[case] at: usize, #[case] expected: HandshakeError) {
    let keyring = keyring(&[1], 1);
    let server = Handshake::new(Role::Server, 20, &keyring, [2; 16]);
    let mut hello = Handshake::new(Role::Client, 10, &keyring, [1; 16]).hello();
    hello[at] = 0xfe;
    assert_eq!(server.finish(&hello, &keyring, LIMIT).err(), Some(expected));
}

#[rstest]
#[case::before(&[1], 1, &[1, 2], 1)]
#[case::during(&[1, 2], 1, &[1, 2], 2)]
#[case::after(&[1, 2], 2, &[2], 2)]
fn peers_connect_during_each_step_of_a_key_rotation(
    #[case] left: &[u8],
    #[case] left_send: u8,
    #[case] right: &[u8],
    #[case] right_send: u8,
) {
    let (left, right) = (keyring(left, left_send), keyring(right, right_send));
    let client = Handshake::new(Role::Client, 10, &left, [1; 16]);
    let server = Handshake::new(Role::Server, 20, &right, [2; 16]);
    let (to_server, to_client) = (client.hello(), server.hello());
    let mut client = client.finish(&to_client, &left, LIMIT).unwrap();
    let mut server = server.finish(&to_server, &right, LIMIT).unwrap();
    let to_server = encode(&mut client, FrameKind::Ready, b"");
    let to_client = encode(&mut server, FrameKind::Ready, b"");
    assert!(matches!(decode(&mut server, &to_server), Ok(Some(_))));
    assert!(matches!(decode(&mut client, &to_client), Ok(Some(_))));
}

#[test]
fn invalid_keyrings_and_secrets_are_rejected() {
    // Guards against a VM that starts with keys that its peers reject, and against secrets in debug
    // output.
    let duplicate = KeyError::Duplicate { id: 1 };
    assert_eq!(Keyring::new(vec![key(1), key(1)], 1).err(), Some(duplicate));
    let missing = KeyError::Missing { id: 2 };
    assert_eq!(Keyring::new(vec![key(1)], 2).err(), Some(missing));
    for text in ["", "ab", &"0g".repeat(32), &"ab".repeat(33)] {
        assert_eq!(ClusterKey::from_hex(1, text), Err(KeyError::Hex { id: 1 }));
    }
    let shown = format!("{:?}", keyring(&[171], 171));
    assert!(!shown.contains("171, 171"), "{shown}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against frames that are lost, altered or reordered when reads split them.
    #[test]
    fn frames_are_decoded_from_chunks_of_any_size(
        payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..LIMIT), 1..20),
        chunk_size in 1_usize..700,
    ) {
        let (mut client, mut server) = sessions(1);
        let bytes: Vec<u8> = payloads
            .iter()
            .flat_map(|payload| encode(&mut client, FrameKind::Cast, payload))
            .collect();
        let mut found = Vec::new();
        for chunk in bytes.chunks(chunk_size) {
            server.decoder.push(chunk);
            while let Some(frame) = server.decoder.next_frame().unwrap() {
                found.push(frame.payload);
            }
            prop_assert!(server.decoder.pending() < LIMIT + FRAME_OVERHEAD);
        }
        prop_assert_eq!(found, payloads);
    }

    /// Guards against bits of a frame that the authentication tag does not cover.
    #[test]
    fn flipped_bit_is_rejected(
        payload in prop::collection::vec(any::<u8>(), 0..64),
        at in any::<prop::sample::Index>(),
        bit in 0_u8..8,
    ) {
        let (mut client, mut server) = sessions(1);
        let mut bytes = encode(&mut client, FrameKind::Call, &payload);
        let at = at.index(bytes.len());
        bytes[at] ^= 1_u8 << bit;
        // A greater length makes the receiver wait for the rest of the frame.
        let decoded = decode(&mut server, &bytes);
        prop_assert!(decoded.is_err() || (decoded == Ok(None) && at < 4), "{:?}", decoded);
    }

    /// Guards against panics on bytes of unauthenticated peers, and against a decoder that waits
    /// for more of them.
    #[test]
    fn random_bytes_are_rejected(
        bytes in prop::collection::vec(any::<u8>(), 0..2 * LIMIT),
        hello in prop::array::uniform32(any::<u8>()),
    ) {
        let (_, mut server) = sessions(1);
        let decoded = decode(&mut server, &bytes);
        if bytes.len() >= HEADER_LEN {
            prop_assert!(decoded.is_err(), "{:?}", decoded);
        }
        let keyring = keyring(&[1], 1);
        let handshake = Handshake::new(Role::Server, 20, &keyring, [2; 16]);
        let mut start = [0; HELLO_LEN];
        start.copy_from_slice(&hello[..HELLO_LEN]);
        prop_assert!(handshake.finish(&start, &keyring, LIMIT).is_err());
    }
}
