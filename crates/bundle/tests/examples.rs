//! The example bundles have the limits, weights and leases of the workloads that they model.

use std::time::Duration;

use camphordale_bundle::{
    diff,
    parse_bundle, //
};
use camphordale_types::{
    Bundle,
    RetryPolicy, //
};
use rstest::rstest;

fn kilimo() -> Bundle {
    parse_bundle(include_str!("../../../examples/bundles/kilimo.yaml"))
        .expect("the example is valid")
}

fn wiratama() -> Bundle {
    parse_bundle(include_str!("../../../examples/bundles/wiratama.yaml"))
        .expect("the example is valid")
}

#[rstest]
#[case(kilimo(), "catalogue", false, 4, 110)]
#[case(kilimo(), "reservations", true, 4, 110)]
#[case(kilimo(), "reports", true, 4, 110)]
#[case(wiratama(), "schedules", true, 6, 60)]
#[case(wiratama(), "bookings", true, 6, 60)]
#[case(wiratama(), "tonnage", true, 6, 60)]
fn services_have_the_expected_limits(
    #[case] bundle: Bundle,
    #[case] name: &str,
    #[case] keyed: bool,
    #[case] slots: u32,
    #[case] connections: u32,
) {
    let service = bundle.service(name).unwrap();
    assert_eq!(service.is_keyed(), keyed);
    assert_eq!((service.slots, service.connections), (slots, connections));
    // Requests that change state must not be retried.
    assert_eq!(service.repeat, RetryPolicy::ByMethod);
    assert!(!service.repeat.allows("POST"));
}

#[test]
fn weights_and_domain_leases_match_each_deployment() {
    for service in kilimo().services {
        let weights = &service.weights;
        assert!(weights.unavailable > weights.churn && weights.unavailable > weights.imbalance);
        assert_eq!(service.domain_lease, Some(Duration::from_secs(10)));
    }
    for service in wiratama().services {
        let weights = &service.weights;
        assert!(weights.churn > weights.unavailable && weights.churn > weights.imbalance);
        assert_eq!(service.domain_lease, None);
    }
}

#[test]
fn diff_lists_differences_by_field() {
    let before = kilimo();
    let mut after = before.clone();
    after.version = 2;
    after.operators.needed = 1;
    after.operators.keys[1].key = after.operators.keys[2].key;
    after.operators.keys.remove(2);
    after.services[2].hot_keys = vec!["b".into(), "a: 1".into()];
    after.services[2].route.host = Some("books.example".into());
    after.services[2].domain_lease = None;
    after.services.remove(0);
    let lines: Vec<String> = diff(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    let expected = [
        "version: 1 -> 2",
        "signatures needed: 2 -> 1",
        "operator baraka: key changed",
        "operator neema: removed",
        "service catalogue: removed",
        "service reservations: route: {prefix: /reservations} -> {prefix: /reservations, host: books.example}",
        "service reservations: hot_keys: [] -> [b, 'a: 1']",
        "service reservations: domain_lease: 10s -> none",
    ];
    assert_eq!(lines, expected);
}
