//! Tests of the fingerprints of requests.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

use std::collections::HashSet;

use camphordale_fleet::Key;
use camphordale_http::Request;
use camphordale_reactor::fingerprint;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use rstest::rstest;

/// The parts of a request that its fingerprint covers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Parts {
    method: String,
    host: String,
    path: String,
    key: Option<Key>,
    body: Vec<u8>,
}

fn base() -> Parts {
    Parts {
        method: "POST".into(),
        host: "a.example".into(),
        path: "/b/c?d=e".into(),
        key: Some(1527),
        body: b"f".to_vec(),
    }
}

fn request(parts: &Parts) -> Request {
    Request {
        method: parts.method.as_str().into(),
        path: parts.path.as_str().into(),
        headers: vec![("host".into(), parts.host.as_str().into())],
        body: parts.body.clone(),
        peer: ([127, 0, 0, 1], 1).into(),
    }
}

fn fingerprint_of(parts: &Parts) -> u128 {
    fingerprint(&request(parts), parts.key)
}

#[rstest]
#[case::method(|parts: &mut Parts| parts.method = "PUT".into())]
#[case::host(|parts: &mut Parts| parts.host = "b.example".into())]
#[case::path(|parts: &mut Parts| parts.path = "/b/C?d=e".into())]
#[case::query(|parts: &mut Parts| parts.path = "/b/c?d=f".into())]
#[case::other_key(|parts: &mut Parts| parts.key = Some(1528))]
#[case::no_key(|parts: &mut Parts| parts.key = None)]
#[case::body(|parts: &mut Parts| parts.body = b"g".to_vec())]
#[case::no_body(|parts: &mut Parts| parts.body.clear())]
fn each_part_changes_the_fingerprint(#[case] change: fn(&mut Parts)) {
    let mut changed = base();
    change(&mut changed);
    assert_ne!(fingerprint_of(&changed), fingerprint_of(&base()));
}

/// Key 0 is a key, and differs from none.
#[test]
fn the_key_zero_differs_from_no_key() {
    let zero = Parts {
        key: Some(0),
        ..base()
    };
    let none = Parts {
        key: None,
        ..base()
    };
    assert_ne!(fingerprint_of(&zero), fingerprint_of(&none));
}

/// A repetition has another request id and another deadline, comes on another connection, and may
/// come through another proxy.
#[test]
fn what_differs_between_attempts_does_not_change_the_fingerprint() {
    let first = request(&base());
    let mut second = first.clone();
    second.peer = ([127, 0, 0, 9], 999).into();
    for (name, value) in [
        ("camphordale-request-id", "9c41d07be2a35f68"),
        ("camphordale-deadline-ms", "1500"),
        ("connection", "close"),
        ("transfer-encoding", "chunked"),
    ] {
        second.headers.push((name.into(), value.into()));
    }
    assert_eq!(fingerprint(&first, Some(1)), fingerprint(&second, Some(1)));
}

#[rstest]
#[case("A.Example")]
#[case("a.example:8080")]
fn hosts_of_one_route_have_one_fingerprint(#[case] host: &str) {
    let other = Parts {
        host: host.into(),
        ..base()
    };
    assert_eq!(fingerprint_of(&other), fingerprint_of(&base()));
}

/// Entry VMs of one fleet exchange fingerprints, so the value must not change between builds.
#[test]
fn the_value_is_fixed() {
    assert_eq!(fingerprint_of(&base()), EXPECTED_BASE);
}

/// Fingerprint of [`base`], recorded from the first version of the function.
const EXPECTED_BASE: u128 = 99_333_268_563_369_497_519_919_963_170_000_792_459;

/// Short parts over a small alphabet often agree in their concatenation.
#[test]
fn different_splits_of_the_same_bytes_have_different_fingerprints() {
    let mut random = StdRng::seed_from_u64(11);
    let mut seen: HashSet<Parts> = HashSet::new();
    let mut hashes = HashSet::new();
    let text = |random: &mut StdRng| {
        let length = random.random_range(0..4);
        (0..length)
            .map(|_| *[b'a', 0, 1].get(random.random_range(0..3)).unwrap())
            .collect::<Vec<u8>>()
    };
    for _ in 0..20_000 {
        let parts = Parts {
            method: String::from_utf8(text(&mut random)).unwrap(),
            host: String::from_utf8(text(&mut random)).unwrap(),
            path: String::from_utf8(text(&mut random)).unwrap(),
            key: random.random_bool(0.5).then(|| random.random_range(0..3)),
            body: text(&mut random),
        };
        let hash = fingerprint_of(&parts);
        assert_eq!(seen.insert(parts.clone()), hashes.insert(hash), "{parts:?}");
    }
}
