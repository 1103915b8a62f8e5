//! Decoding of snapshots from arbitrary and mutated bytes.

mod common;

use camphordale_control::{
    Command,
    DirectoryCache,
    HomeChange,
    State,
    Versions, //
};
use common::{
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
