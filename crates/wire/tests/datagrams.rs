//! Encoding of datagrams and replay protection.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use camphordale_wire::{
    ClusterKey,
    Datagram,
    DatagramError,
    Keyring,
    MAX_DATAGRAM_PAYLOAD,
    ReplayError,
    ReplayGuard, //
};
use proptest::prelude::*;

fn keyring(ids: &[u8], send: u8) -> Keyring {
    let keys = ids.iter().map(|&id| ClusterKey {
        id,
        secret: [id; 32],
    });
    Keyring::new(keys.collect(), send).unwrap()
}

fn datagram(payload: &[u8]) -> Datagram {
    Datagram {
        vm: 4,
        incarnation: 9,
        counter: 1,
        payload: payload.to_vec(),
    }
}

#[test]
fn keys_and_versions_are_checked() {
    // Guards against accepting datagrams of other clusters, of removed keys and of other format
    // versions.
    let bytes = datagram(b"renew").encode(&keyring(&[1, 2], 2)).unwrap();
    assert!(Datagram::decode(&bytes, &keyring(&[1, 2], 1)).is_ok());
    let unknown = Err(DatagramError::UnknownKey { id: 2 });
    assert_eq!(Datagram::decode(&bytes, &keyring(&[1], 1)), unknown);
    let mut other = bytes.clone();
    other[0] = 9;
    let version = Err(DatagramError::Version { found: 9 });
    assert_eq!(Datagram::decode(&other, &keyring(&[2], 2)), version);
    let impostor = ClusterKey {
        id: 2,
        secret: [9; 32],
    };
    let impostor = Keyring::new(vec![impostor], 2).unwrap();
    assert_eq!(Datagram::decode(&bytes, &impostor), Err(DatagramError::Tag));
}

#[test]
fn payloads_are_bounded() {
    let longest = datagram(&[0; MAX_DATAGRAM_PAYLOAD]);
    let bytes = longest.encode(&keyring(&[1], 1)).unwrap();
    assert_eq!(Datagram::decode(&bytes, &keyring(&[1], 1)), Ok(longest));
    let longer = datagram(&[0; MAX_DATAGRAM_PAYLOAD + 1]);
    let expected = Err(DatagramError::Length);
    assert_eq!(longer.encode(&keyring(&[1], 1)), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against panics, and against bits that the authentication tag does not cover.
    #[test]
    fn altered_datagrams_are_rejected(
        payload in prop::collection::vec(any::<u8>(), 0..100),
        noise in prop::collection::vec(any::<u8>(), 0..2_000),
        at in any::<prop::sample::Index>(),
        bit in 0_u8..8,
    ) {
        let keyring = keyring(&[1], 1);
        prop_assert!(Datagram::decode(&noise, &keyring).is_err());
        let mut bytes = datagram(&payload).encode(&keyring).unwrap();
        prop_assert_eq!(Datagram::decode(&bytes, &keyring), Ok(datagram(&payload)));
        let at = at.index(bytes.len());
        bytes[at] ^= 1_u8 << bit;
        prop_assert!(Datagram::decode(&bytes, &keyring).is_err());
        bytes.truncate(at);
        prop_assert!(Datagram::decode(&bytes, &keyring).is_err());
    }

    /// Compares the guard with a reference model that records every counter. Guards against a
    /// replay that is accepted, and against a new counter inside the window that is rejected.
    #[test]
    fn replay_guard_matches_the_reference_model(
        steps in prop::collection::vec((0_u32..3, 0_u64..3, 0_u64..200), 0..400),
    ) {
        let mut guard = ReplayGuard::default();
        let mut newest = BTreeMap::new();
        let mut seen = BTreeSet::new();
        for (vm, incarnation, counter) in steps {
            let newest = newest.entry(vm).or_insert(incarnation);
            let highest = seen
                .range((vm, incarnation, 0)..=(vm, incarnation, u64::MAX))
                .next_back()
                .map_or(0, |&(_, _, counter)| counter);
            let expected = if incarnation < *newest {
                let (newest, found) = (*newest, incarnation);
                Err(ReplayError::OldIncarnation { newest, found })
            } else if counter + 64 <= highest {
                Err(ReplayError::TooOld(counter))
            } else if !seen.insert((vm, incarnation, counter)) {
                Err(ReplayError::Duplicate(counter))
            } else {
                *newest = incarnation;
                Ok(())
            };
            prop_assert_eq!(guard.accept(vm, incarnation, counter), expected);
        }
    }
}
