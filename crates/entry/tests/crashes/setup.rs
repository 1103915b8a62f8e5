//! The routing and the control VM of the test fleet.

use camphordale_fleet::{
    Change,
    ConfigResource,
    KeyDelivery,
    Limits,
    Member,
    RetryPolicy,
    Route,
    Service,
    WeightedService, //
};

use crate::world::{
    ORDERS,
    READS,
    ms, //
};

fn resource<Spec>(spec: Spec) -> ConfigResource<Spec> {
    let document = "{}".into();
    ConfigResource { spec, document }
}

/// One service of idempotent requests and one of requests that may run once, on the same targets'
/// machines in turn.
pub(crate) fn change() -> Change {
    let kinds = [
        (READS, RetryPolicy::Idempotent),
        (ORDERS, RetryPolicy::AtMostOnce),
    ];
    let services = kinds.map(|(name, _)| {
        let service = Service {
            health_path: "/health".into(),
            max_connections: 100,
            keys: KeyDelivery::Unkeyed,
            warm_up: ms(0),
            cold: None,
        };
        (name.into(), resource(service))
    });
    let routes = kinds.map(|(name, retry_policy)| {
        let route = Route {
            host: "a.example".into(),
            path_prefix: format!("/{name}/").into(),
            retry_policy,
            large_bodies: false,
            timeout: ms(1500),
            latency_objective: ms(600),
            priority: 1,
            max_attempts: 2,
            split: vec![WeightedService {
                service: name.into(),
                weight: 1.0,
            }],
        };
        (name.into(), resource(route))
    });
    Change {
        base_version: 0,
        version: 1,
        replace_all: true,
        routes: routes.into(),
        services: services.into(),
        limits: Some(resource(Limits::default())),
        removed_routes: Vec::new(),
        removed_services: Vec::new(),
        digest: [7; 16],
        received_ms: 0,
    }
}

pub(crate) fn control_member() -> Member {
    Member {
        id: 1,
        peer: "10.0.0.1:7000".parse().unwrap(),
        control: "10.0.0.1:8000".parse().unwrap(),
        domain: "a".into(),
    }
}
