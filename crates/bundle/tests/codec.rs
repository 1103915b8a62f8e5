//! Round trips of the encodings, and decoders on arbitrary input.

use std::{
    sync::LazyLock,
    time::Duration, //
};

use camphordale_bundle::{
    decode,
    diff,
    encode,
    parse_bundle,
    to_yaml, //
};
use camphordale_types::{
    Bundle,
    Digest,
    KeySource,
    RetryPolicy,
    Service, //
};
use proptest::{
    collection::btree_set,
    option,
    prelude::*,
    sample::Index,
    sample::select, //
};

const KILIMO: &str = include_str!("../../../examples/bundles/kilimo.yaml");

fn cases() -> ProptestConfig {
    let histories = std::env::var("CAMPHORDALE_HISTORIES").ok();
    ProptestConfig {
        cases: histories.and_then(|text| text.parse().ok()).unwrap_or(1000),
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0xb0d1e),
        ..ProptestConfig::default()
    }
}

static EXAMPLE: LazyLock<Bundle> =
    LazyLock::new(|| parse_bundle(KILIMO).expect("the example is valid"));

fn millis(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

/// Generates services with valid random values. Name and route prefix are set by [`bundle`].
fn service() -> impl Strategy<Value = Service> {
    let key = prop_oneof![
        Just(KeySource::None),
        "[A-Za-z-]{1,12}".prop_map(|name| KeySource::Header(name.into())),
        (0..64u32).prop_map(KeySource::Segment),
        "[a-z0-9_~.]{1,12}".prop_map(|name| KeySource::Query(name.into())),
    ];
    let weight = || prop_oneof![Just(0.0), 0.0..1e12f64, Just(f64::MIN_POSITIVE)];
    let repeat = select(vec![
        RetryPolicy::ByMethod,
        RetryPolicy::Always,
        RetryPolicy::Never,
    ]);
    let shards = (key, 1..=65_536u32, btree_set("\\PC{1,8}", 0..5));
    let limits = (1..4096u32, 0..60_000u32, 0..65_536u32, 0..=100u8);
    let times = (
        millis(1..600_000),
        millis(600_000..86_400_000),
        millis(0..3_600_000),
    );
    let lease = option::of(millis(1_000..86_400_000));
    let host = option::of("[a-z0-9.-]{1,20}");
    let weights = (weight(), weight(), weight());
    (shards, limits, times, lease, host, repeat, weights).prop_map(
        |(shards, limits, times, lease, host, repeat, weights)| {
            let mut service = EXAMPLE.services[0].clone();
            (service.deadline, service.record_life, service.warm_up) = times;
            service.route.host = host.map(Into::into);
            service.domain_lease = lease;
            service.repeat = repeat;
            (service.slots, _, service.queue, service.new_percent) = limits;
            service.connections = limits.0 + limits.1;
            service.key = shards.0;
            if service.is_keyed() {
                service.shards = shards.1;
                service.hot_keys = shards.2.into_iter().map(Into::into).collect();
            }
            let own = &mut service.weights;
            (own.imbalance, own.churn, own.unavailable) = weights;
            service
        },
    )
}

fn bundle() -> impl Strategy<Value = Bundle> {
    let names = btree_set("[a-z0-9-]{1,64}", 0..6);
    let services = prop::collection::vec(service(), 6);
    (1..=u64::MAX, any::<[u8; 32]>(), 1..=3u32, names, services).prop_map(
        |(version, previous, needed, names, services)| {
            let mut bundle = EXAMPLE.clone();
            bundle.version = version;
            bundle.previous = (version > 1).then_some(Digest(previous));
            bundle.operators.needed = needed;
            let services = names.into_iter().zip(services).map(|(name, mut service)| {
                service.route.prefix = format!("/{name}").into();
                service.name = name.into();
                service
            });
            bundle.services = services.collect();
            bundle
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

    /// Guards against two encodings of one bundle, which would have different digests.
    #[test]
    fn only_canonical_bytes_are_decoded(bundle in bundle(), at in any::<Index>(), bit in 0..8u8) {
        let original = encode(&bundle);
        let mut bytes = original.clone();
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

    /// Random edits of a valid bundle reach the code after the YAML parser.
    #[test]
    fn edited_examples_never_panic(at in any::<Index>(), length in 0..40usize, new in "[ \\n:{}\\[\\],%&*!|>'\"a-z0-9.-]{0,12}") {
        let start = at.index(KILIMO.len());
        let end = (start + length).min(KILIMO.len());
        let edited = [&KILIMO[..start], &new, &KILIMO[end..]].concat();
        if let Ok(bundle) = parse_bundle(&edited) {
            prop_assert_eq!(decode(&encode(&bundle)).unwrap(), bundle);
        }
    }
}

/// Guards against integers with superfluous bytes: they decode to the same value, but change the
/// digest.
#[test]
fn overlong_version_encoding_is_rejected() {
    let bytes = encode(&EXAMPLE);
    assert_eq!(bytes[0], 1);
    let longer = [&[0x81, 0x00], &bytes[1..]].concat();
    let error = decode(&longer).unwrap_err().to_string();
    assert!(error.contains("canonical"));
}
