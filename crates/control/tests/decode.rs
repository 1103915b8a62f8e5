//! Decoding of snapshots from arbitrary and mutated bytes.

mod common;

use camphordale_control::{
    Command,
    DirectoryCache,
    EvacuationOrder,
    HomeChange,
    Outcome,
    State,
    Versions, //
};
use common::{
    evacuate,
    first_bundle,
    operators,
    signed,
    vm, //
};
use proptest::prelude::*;

fn state() -> State {
    let mut state = State::new(operators(1, &[1]));
    let bundle = first_bundle(operators(1, &[1]));
    let change = |index| HomeChange {
        index,
        expected_since: 0,
        to: if index < 3 { "east" } else { "west" }.into(),
        immediate: true,
    };
    let commands = [
        Command::RegisterVm(vm(1, 1, "east")),
        Command::SubmitBundle {
            signed: signed(&bundle, &[1]),
            at: 1,
        },
        Command::FormGroup {
            domain: "east".into(),
            replaces: 0,
            members: vec![(1, 1)],
        },
        Command::SetHomes {
            service: "berths".into(),
            bundle: 1,
            changes: (0..8).map(change).collect(),
        },
        Command::DeclareLost {
            domain: "west".into(),
            by: "a".into(),
            at: 2,
        },
    ];
    for (index, command) in (1..).zip(&commands) {
        state.apply(index, command);
    }
    state
}

/// Calls the methods of a decoded state, so that a violated invariant causes a panic.
fn call_methods(mut state: State) {
    let directory = state.directory(&Versions::default());
    DirectoryCache::new(0).merge(directory);
    let index = state.index().saturating_add(1);
    state.apply(
        index,
        &Command::RecordAction {
            action: "x".into(),
            by: "a".into(),
            at: 0,
        },
    );
    let bundle = first_bundle(operators(1, &[1]));
    state.apply(
        index.saturating_add(1),
        &Command::SubmitBundle {
            signed: signed(&bundle, &[1]),
            at: 0,
        },
    );
    for service in ["berths", "pages"] {
        state.serving_bound("east", service);
        state.homes(service).map(|homes| homes.iter().count());
    }
    state.domains();
    assert!(State::decode(&state.encode()).is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("CAMPHORDALE_HISTORIES").ok().and_then(|t| t.parse().ok()).unwrap_or(1500),
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0xc0de),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = State::decode(&bytes);
        bytes.insert(0, 1);
        let _ = State::decode(&bytes);
    }

    #[test]
    fn mutated_snapshots_never_panic(edits in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4), length in any::<prop::sample::Index>(), truncated in any::<bool>()) {
        let mut bytes = state().encode();
        for (at, byte) in edits {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        if truncated {
            bytes.truncate(length.index(bytes.len()));
        }
        if let Ok(state) = State::decode(&bytes) {
            call_methods(state);
        }
    }
}

#[test]
fn trailing_bytes_and_unknown_formats_are_refused() {
    let state = state();
    let mut bytes = state.encode();
    assert_eq!(State::decode(&bytes).unwrap(), state);
    bytes.push(0);
    assert!(State::decode(&bytes).is_err());
    bytes.pop();
    bytes[0] = 2;
    assert!(State::decode(&bytes).is_err());
}

/// Guards against a deployment without evacuations whose snapshot or directory the version before
/// could not read: the digests are those of the encodings of that version.
#[test]
fn encodings_without_evacuations_are_unchanged() {
    let state = state();
    let directory = postcard::to_stdvec(&state.directory(&Versions::default())).unwrap();
    let digest = |bytes: &[u8]| blake3::hash(bytes).to_hex()[..16].to_owned();
    assert_eq!(
        (digest(&state.encode()), digest(&directory)),
        ("a2d9a89c4cdf144f".into(), "63e50deed049d6d5".into())
    );
}

/// Guards against evacuations that a snapshot or a directory loses or mixes with lost domains, and
/// against a snapshot that is cut off within them or continues after them.
#[test]
fn evacuations_survive_encoding() {
    let mut state = state();
    let plain = state.encode();
    state.apply(10, &evacuate("east", EvacuationOrder::Start));
    state.apply(11, &evacuate("west", EvacuationOrder::Start));
    state.apply(12, &evacuate("west", EvacuationOrder::End));
    let bytes = state.encode();
    let mut decoded = State::decode(&bytes).unwrap();
    assert_eq!(decoded, state);
    // The ended evacuation is kept: its end is acknowledged again.
    let repeated = evacuate("west", EvacuationOrder::End);
    assert_eq!(decoded.apply(13, &repeated), Outcome::Done);
    assert!(bytes.len() < plain.len() + 500);
    for length in bytes.len() - 13..bytes.len() {
        let accepted = State::decode(&bytes[..length]);
        assert!(accepted.is_err(), "{length} of {} bytes", bytes.len());
    }
    assert!(State::decode(&[&bytes[..], &[0]].concat()).is_err());

    let directory = postcard::to_stdvec(&state.directory(&Versions::default())).unwrap();
    let mut cache = DirectoryCache::new(0);
    cache.merge(postcard::from_bytes(&directory).unwrap());
    assert_eq!(
        (cache.lost(), cache.evacuated()),
        (&["west".into()][..], &["east".into()][..])
    );
}
