//! Round trips, and decoders on arbitrary input.

use std::time::Duration;

use camphordale_bundle::{decode, diff, encode, parse_bundle, to_yaml};
use camphordale_types::{
    Bundle, Digest, KeySource, Operator, Operators, Repeat, Route, Service, Weights,
};
use proptest::prelude::*;

/// Public keys of the RFC 8032 test vectors.
const KEYS: [&str; 2] = [
    "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a",
    "3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4660c",
];

fn cases() -> ProptestConfig {
    let histories = std::env::var("CAMPHORDALE_HISTORIES");
    let cases = histories
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(2000);
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0xb0d1e),
        ..ProptestConfig::default()
    }
}

fn millis(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

fn key() -> impl Strategy<Value = KeySource> {
    prop_oneof![
        Just(KeySource::None),
        "[A-Za-z-]{1,12}".prop_map(|name| KeySource::Header(name.into())),
        (0..64u32).prop_map(KeySource::Segment),
        "[a-z0-9_~.]{1,12}".prop_map(|name| KeySource::Query(name.into())),
    ]
}

fn service() -> impl Strategy<Value = Service> {
    let weight = prop_oneof![Just(0.0), 0.0..1e12f64, Just(f64::MIN_POSITIVE)];
    let figures = (1..4096u32, 0..60_000u32, 0..65_536u32, 0..=100u8);
    let hot_keys = prop::collection::btree_set("\\PC{1,8}", 0..5);
    let times = (
        millis(1..600_000),
        prop::option::of(millis(1_000..86_400_000)),
        millis(600_000..86_400_000),
        millis(0..3_600_000),
    );
    let host = prop::option::of("[a-z0-9.-]{1,20}");
    let repeat = prop::sample::select(vec![Repeat::ByMethod, Repeat::Always, Repeat::Never]);
    (
        key(),
        1..=65_536u32,
        hot_keys,
        host,
        repeat,
        figures,
        times,
        [weight.clone(), weight.clone(), weight],
    )
        .prop_map(
            |(key, shards, hot_keys, host, repeat, figures, times, weights)| {
                let keyed = key != KeySource::None;
                Service {
                    name: "".into(),
                    route: Route {
                        prefix: "/".into(),
                        host: host.map(Into::into),
                    },
                    key,
                    shards: if keyed { shards } else { 0 },
                    hot_keys: if keyed {
                        hot_keys.into_iter().map(Into::into).collect()
                    } else {
                        Vec::new()
                    },
                    repeat,
                    deadline: times.0,
                    domain_lease: times.1,
                    record_life: times.2,
                    new_percent: figures.3,
                    slots: figures.0,
                    connections: figures.0 + figures.1,
                    queue: figures.2,
                    warm_up: times.3,
                    weights: Weights {
                        imbalance: weights[0],
                        churn: weights[1],
                        unavailable: weights[2],
                    },
                }
            },
        )
}

fn bundle() -> impl Strategy<Value = Bundle> {
    let names = prop::collection::btree_set("[a-z0-9-]{1,64}", 0..6);
    let services = prop::collection::vec(service(), 6);
    (1..=u64::MAX, any::<[u8; 32]>(), 1..=2u32, names, services).prop_map(
        |(version, previous, needed, names, mut services)| {
            services.truncate(names.len());
            for (service, name) in services.iter_mut().zip(names) {
                service.route.prefix = format!("/{name}").into();
                service.name = name.into();
            }
            let operator = |(name, key): (&str, &str)| Operator {
                name: name.into(),
                key: key.parse::<Digest>().expect("64 digits").0,
            };
            Bundle {
                version,
                previous: (version > 1).then_some(Digest(previous)),
                operators: Operators {
                    needed,
                    keys: vec![operator(("a", KEYS[0])), operator(("b", KEYS[1]))],
                },
                services,
            }
        },
    )
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn bytes_and_yaml_round_trip(bundle in bundle()) {
        let bytes = encode(&bundle);
        prop_assert_eq!(&decode(&bytes).unwrap(), &bundle);
        let yaml = to_yaml(&bundle);
        let read = parse_bundle(&yaml);
        prop_assert_eq!(read.as_ref(), Ok(&bundle), "{}", yaml);
        prop_assert_eq!(encode(&read.unwrap()), bytes);
        prop_assert!(diff(&bundle, &bundle).is_empty());
    }

    /// Two byte strings of one bundle would have two digests.
    #[test]
    fn only_canonical_bytes_are_read(bundle in bundle(), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let mut bytes = encode(&bundle);
        let original = bytes.clone();
        bytes.push(0);
        prop_assert!(decode(&bytes).is_err());
        bytes.truncate(at.index(original.len()));
        prop_assert!(decode(&bytes).is_err());
        bytes = original;
        let position = at.index(bytes.len());
        bytes[position] ^= 1 << bit;
        if let Ok(other) = decode(&bytes) {
            prop_assert!(other != bundle);
            prop_assert_eq!(encode(&other), bytes);
        }
    }

    #[test]
    fn arbitrary_input_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200), text in "\\PC{0,200}") {
        let _ = decode(&bytes);
        let _ = parse_bundle(&text);
        let _ = parse_bundle(&String::from_utf8_lossy(&bytes));
    }

    /// Random edits of a real bundle reach the deeper parts of the reader.
    #[test]
    fn edited_examples_never_panic(
        at in any::<prop::sample::Index>(),
        length in 0..40usize,
        new in "[ \\n:{}\\[\\],%&*!|>'\"a-z0-9.-]{0,12}",
    ) {
        let text = include_str!("../../../examples/bundles/kilimo.yaml");
        let start = at.index(text.len());
        let end = (start + length).min(text.len());
        if text.is_char_boundary(start) && text.is_char_boundary(end) {
            let edited = [&text[..start], &new, &text[end..]].concat();
            if let Ok(bundle) = parse_bundle(&edited) {
                prop_assert_eq!(decode(&encode(&bundle)).unwrap(), bundle);
            }
        }
    }
}

/// A variable-length integer with a superfluous byte has the same value but another digest.
#[test]
fn a_longer_encoding_of_the_version_is_refused() {
    let text = include_str!("../../../examples/bundles/kilimo.yaml");
    let bytes = encode(&parse_bundle(text).unwrap());
    assert_eq!(bytes[0], 1);
    let longer = [&[0x81, 0x00], &bytes[1..]].concat();
    assert!(
        decode(&longer)
            .unwrap_err()
            .to_string()
            .contains("canonical")
    );
}
