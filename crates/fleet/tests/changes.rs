//! Differences of routings against the complete routings that they stand for, over random histories.

#![allow(clippy::unwrap_used)] // `allow-unwrap-in-tests` does not reach helpers.

use std::time::Duration;

use camphordale_fleet::{
    Change,
    ConfigResource,
    KeyDelivery,
    Limits,
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

/// Names are few, so that changes often concern what exists.
const NAMES: u32 = 6;

fn route(random: &mut StdRng, number: u32) -> (Box<str>, ConfigResource<Route>) {
    // At times two routes have the same place, or one names an unknown service.
    let place = match random.random_bool(0.05) {
        true => random.random_range(0..NAMES),
        false => number,
    };
    let service = format!("s{}", random.random_range(0..3));
    let spec = Route {
        host: "h".into(),
        path_prefix: format!("/p{place}/").into(),
        retry_policy: RetryPolicy::Idempotent,
        large_bodies: false,
        timeout: Duration::from_millis(random.random_range(1..4)),
        latency_objective: Duration::from_millis(1),
        priority: 0,
        max_attempts: 1,
        split: vec![WeightedService {
            service: service.into(),
            weight: 1.0,
        }],
    };
    let document = random.random_range(0..3).to_string().into();
    (
        format!("r{number}").into(),
        ConfigResource { spec, document },
    )
}

fn service(random: &mut StdRng, number: u32) -> (Box<str>, ConfigResource<Service>) {
    let spec = Service {
        health_path: "/health".into(),
        max_connections: random.random_range(1..3),
        keys: KeyDelivery::Unkeyed,
        warm_up: Duration::ZERO,
        cold: None,
    };
    let document = "{}".into();
    (
        format!("s{number}").into(),
        ConfigResource { spec, document },
    )
}

fn random_change(random: &mut StdRng, current: u64) -> Change {
    let base_version = match random.random_bool(0.1) {
        true => random.random_range(0..=current + 1),
        false => current,
    };
    let replace_all = random.random_bool(0.5);
    let mut change = Change {
        base_version,
        version: current + random.random_range(0..3),
        replace_all,
        routes: Vec::new(),
        services: Vec::new(),
        limits: None,
        removed_routes: Vec::new(),
        removed_services: Vec::new(),
        digest: random.random(),
        received_ms: 0,
    };
    for number in 0..NAMES {
        if random.random_bool(0.6) {
            let route = route(random, number);
            change.routes.push(route);
        }
        if !replace_all && random.random_bool(0.2) {
            change.removed_routes.push(format!("r{number}").into());
        }
    }
    for number in 0..3 {
        if random.random_bool(0.9) {
            let service = service(random, number);
            change.services.push(service);
        }
        if !replace_all && random.random_bool(0.05) {
            change.removed_services.push(format!("s{number}").into());
        }
    }
    if let (true, Some(first)) = (random.random_bool(0.02), change.routes.first()) {
        change.routes.push(first.clone());
    }
    if random.random_bool(0.7) {
        let spec = Limits {
            max_head: random.random_range(1..3),
            ..Limits::default()
        };
        let document = "limits".into();
        change.limits = Some(ConfigResource { spec, document });
    }
    change
}

/// Guards against a difference that has another result than the complete routing: what one VM put
/// into the log would not be what the operator submitted.
#[rstest]
fn a_difference_has_the_result_of_the_complete_change(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut routing = Routing::default();
    let (mut accepted, mut shorter) = (0, 0);
    for _ in 0..2000 {
        let change = random_change(&mut random, routing.version);
        // The leader reduces what it has found to be valid.
        if change.base_version != routing.version {
            assert_eq!(change.clone().relative_to(&routing), change);
            continue;
        }
        let Ok(expected) = routing.with_change(&change) else {
            continue;
        };
        let difference = change.clone().relative_to(&routing);
        assert_eq!(routing.with_change(&difference), Ok(expected.clone()));
        shorter += usize::from(difference.routes.len() < change.routes.len());
        accepted += 1;
        routing = expected;
    }
    assert!(accepted > 200 && shorter > 50, "{accepted}, {shorter}");
}
