//! Service definitions that the benchmarks use.

use std::time::Duration;

use camphordale_types::{
    KeySource,
    RetryPolicy,
    Route,
    Service,
    Weights, //
};

/// Returns a service whose shard key is the second segment of the path.
pub(crate) fn keyed_service(name: &str, shards: u32, slots: u32) -> Service {
    Service {
        name: name.into(),
        route: Route {
            prefix: format!("/{name}").into(),
            host: None,
        },
        key: KeySource::Segment(1),
        shards,
        hot_keys: Vec::new(),
        repeat: RetryPolicy::ByMethod,
        deadline: Duration::from_secs(2),
        domain_lease: None,
        record_life: Duration::from_secs(600),
        new_percent: 0,
        slots,
        connections: 110,
        queue: 64,
        warm_up: Duration::from_secs(5),
        weights: Weights {
            imbalance: 1.0,
            churn: 1.0,
            unavailable: 1.0,
        },
    }
}

/// Returns a service without shard keys.
pub(crate) fn open_service(name: &str, slots: u32) -> Service {
    Service {
        key: KeySource::None,
        shards: 0,
        ..keyed_service(name, 0, slots)
    }
}
