//! Contents: what a change of the routing costs on the link of an entry VM.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use camphordale_fleet::{
    Change,
    Command,
    ConfigResource,
    Content,
    ContentError,
    KeyDelivery,
    PeerMessage,
    RetryPolicy,
    Route,
    Routing,
    Service,
    WeightedService, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use rstest::rstest;

fn word(random: &mut StdRng, length: usize) -> String {
    let letters = b"abcdefghijklmnopqrstuvwxyz0123456789";
    let letter = |_| char::from(letters[random.random_range(0..letters.len())]);
    (0..length).map(letter).collect()
}

fn service() -> (Box<str>, ConfigResource<Service>) {
    let spec = Service {
        health_path: "/health".into(),
        max_connections: 100,
        keys: KeyDelivery::Unkeyed,
        warm_up: Duration::ZERO,
        cold: None,
    };
    let document = "{}".into();
    ("huvo11a".into(), ConfigResource { spec, document })
}

/// A change that adds routes with random names, as operators write them.
fn change(routes: usize) -> Change {
    let mut random = StdRng::seed_from_u64(7);
    let routes = (0..routes).map(|_| {
        let name = format!("r-{}", word(&mut random, 7));
        let host = format!("{}.example", word(&mut random, 6));
        let path_prefix = format!("/{}/", word(&mut random, 8));
        let service = "huvo11a";
        let document = format!(
            r#"{{"resource_type":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"{host}","path_prefix":"{path_prefix}","kind":"safe","timeout_ms":800,"target_latency_ms":400,"priority":2,"service":"{service}","max_attempts":2}}}}"#
        );
        let spec = Route {
            host: host.into(),
            path_prefix: path_prefix.into(),
            retry_policy: RetryPolicy::Idempotent,
            large_bodies: false,
            timeout: Duration::from_millis(800),
            latency_objective: Duration::from_millis(400),
            priority: 2,
            max_attempts: 2,
            split: vec![WeightedService {
                service: service.into(),
                weight: 1.0,
            }],
        };
        let document = document.into();
        (name.into(), ConfigResource { spec, document })
    });
    Change {
        base_version: 3,
        version: 4,
        replace_all: false,
        routes: routes.collect(),
        services: Vec::new(),
        limits: None,
        removed_routes: Vec::new(),
        removed_services: Vec::new(),
        digest: [0; 16],
        received_ms: 0,
    }
}

/// Length of the content of a change.
fn length(change: &Change) -> usize {
    Content::of_change(change).unwrap().about().length as usize
}

/// Guards against changes that carry the operator's documents to each entry VM, which takes 290 bytes
/// a route: nobody reads them there, and a link of 2 Mbit/s has callers to serve.
#[rstest]
#[case(150)]
#[case(1000)]
#[case(3000)]
fn a_route_takes_few_bytes(#[case] routes: usize) {
    let change = change(routes);
    let command = Box::new(Command::Change(Box::new(change.clone())));
    let whole = PeerMessage::Update { index: 1, command }.encode().unwrap();
    let length = length(&change);
    assert!(
        length < whole.len() / 10,
        "{length} of {} bytes",
        whole.len()
    );
    assert!(length < 100 + 25 * routes, "{length} bytes");
}

/// Guards against changes that cost more the more routes there are.
#[test]
fn a_change_costs_what_it_changes() {
    let [few, many] = [10, 3000].map(|routes| {
        let known = Routing {
            version: 2,
            ..Routing::default()
        };
        let first = Change {
            base_version: 2,
            version: 3,
            services: vec![service()],
            ..change(routes)
        };
        let known = known.with_change(&first).unwrap();
        let mut all = first;
        (all.base_version, all.version, all.replace_all) = (3, 4, true);
        let added = change(routes + 1).routes.pop().unwrap();
        all.routes.push(added);
        let change = all.relative_to(&known);
        assert_eq!(change.routes.len(), 1);
        length(&change)
    });
    assert!(many < few + 16, "{many} bytes beside {few}");
}

/// Guards against a VM that adopts something else than the leader has sent.
#[test]
fn other_bytes_are_not_decoded() {
    let part = Content::of_change(&change(10)).unwrap().part(0, usize::MAX);
    let mut bytes = part.bytes.clone();
    bytes[7] ^= 1;
    let decoded = Content::decode_change(&part.content, &bytes);
    assert_eq!(decoded, Err(ContentError::Digest));
    let rest = &part.bytes[..part.bytes.len() - 1];
    let decoded = Content::decode_change(&part.content, rest);
    assert_eq!(decoded, Err(ContentError::Digest));
}

/// Guards against a message that takes a VM down because it decompresses to more than memory holds.
#[test]
fn a_content_that_is_too_long_is_rejected() {
    let mut long = change(0);
    long.removed_routes = vec!["x".repeat(33 << 20).into()];
    let part = Content::of_change(&long).unwrap().part(0, usize::MAX);
    let decoded = Content::decode_change(&part.content, &part.bytes);
    assert_eq!(decoded, Err(ContentError::Compression));
}
