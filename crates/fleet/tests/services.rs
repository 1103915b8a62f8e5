//! Encoding of services, and which of them are contended.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use camphordale_fleet::{
    ConfigResource,
    KeyDelivery,
    RequestRate,
    RetryPolicy,
    Route,
    Routing,
    Service,
    WarmUp,
    WeightedService, //
};
use rstest::rstest;

fn service(cold: Option<WarmUp>) -> Service {
    Service {
        health_path: "/health".into(),
        max_connections: 32,
        keys: KeyDelivery::Call,
        warm_up: Duration::from_secs(2),
        cold,
    }
}

fn cold() -> Option<WarmUp> {
    Some(WarmUp {
        time: Duration::from_secs(3),
        rate: RequestRate::try_from(5.7).unwrap(),
    })
}

/// Guards against state on disk that a version without warm-up rates wrote, or has to read, and that
/// decodes to something else.
#[test]
fn a_service_without_a_warm_up_rate_keeps_its_encoding() {
    let earlier = ("/health", 32_u32, true, Duration::from_secs(2));
    let encoded = postcard::to_stdvec(&earlier).unwrap();
    assert_eq!(postcard::to_stdvec(&service(None)).unwrap(), encoded);
    let decoded: Service = postcard::from_bytes(&encoded).unwrap();
    assert_eq!(decoded, service(None));
}

#[test]
fn a_warm_up_rate_survives_encoding() {
    let encoded = postcard::to_stdvec(&service(cold())).unwrap();
    let decoded: Service = postcard::from_bytes(&encoded).unwrap();
    assert_eq!(decoded, service(cold()));
}

/// Guards against new rules for deployments whose configuration does not call for them.
#[rstest]
#[case::usual(false, None, false)]
#[case::large_bodies(true, None, true)]
#[case::cold(false, cold(), true)]
fn a_routing_is_contended_by_large_bodies_or_a_warm_up_rate(
    #[case] large_bodies: bool,
    #[case] cold: Option<WarmUp>,
    #[case] contended: bool,
) {
    let mut routing = Routing::default();
    let document: Box<str> = "{}".into();
    let spec = service(cold);
    let item = ConfigResource {
        spec,
        document: document.clone(),
    };
    routing.services.insert("reads".into(), item);
    let spec = route(large_bodies);
    routing
        .routes
        .insert("a".into(), ConfigResource { spec, document });
    assert_eq!(routing.is_contended(), contended);
}

fn route(large_bodies: bool) -> Route {
    Route {
        host: "h".into(),
        path_prefix: "/a/".into(),
        retry_policy: RetryPolicy::AtMostOnce,
        large_bodies,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(500),
        priority: 1,
        max_attempts: 2,
        split: vec![WeightedService {
            service: "reads".into(),
            weight: 1.0,
        }],
    }
}

/// Guards against state on disk of a version without large bodies that decodes to something else.
#[test]
fn a_route_without_large_bodies_keeps_its_encoding() {
    let route = route(false);
    let earlier = (
        (&route.host, &route.path_prefix, route.retry_policy),
        (route.timeout, route.latency_objective, route.priority),
        (route.max_attempts, &route.split),
    );
    let encoded = postcard::to_stdvec(&earlier).unwrap();
    assert_eq!(postcard::to_stdvec(&route).unwrap(), encoded);
    assert_eq!(postcard::from_bytes::<Route>(&encoded).unwrap(), route);
}

#[test]
fn large_bodies_survive_encoding() {
    let encoded = postcard::to_stdvec(&route(true)).unwrap();
    assert_eq!(
        postcard::from_bytes::<Route>(&encoded).unwrap(),
        route(true)
    );
}
