//! Measures the CPU time of the router per request, over all its events.
//!
//! Run with `cargo run --release -p camphordale-route --example step_cost`. Half of the requests
//! have keys and are sent by this VM, a quarter have none, and a quarter are forwarded.

use std::time::{Duration, Instant};

use camphordale_domain::{ShardView, TargetView, View};
use camphordale_route::{
    AttemptResult, Effect, Event, Origin, Request, Router, RouterConfig, ShardHomes, VmLocation,
};
use camphordale_types::{
    Bundle, DomainName, KeySource, Operators, RetryPolicy, Route, Service, Side, TargetInfo,
    TargetSpec, TargetState, Token, Weights,
};

const REQUESTS: u128 = 1_000_000;
const SHARDS: u32 = 4096;
const TARGETS: u64 = 20;
/// Requests per second of one entry VM.
const RATE: u64 = 6700;

fn service(name: &str, key: KeySource) -> Service {
    Service {
        name: name.into(),
        route: Route {
            prefix: format!("/{name}").into(),
            host: None,
        },
        shards: if key == KeySource::None { 0 } else { SHARDS },
        key,
        hot_keys: (0..11).map(|n| format!("hot{n}").into()).collect(),
        repeat: RetryPolicy::ByMethod,
        deadline: Duration::from_secs(1),
        domain_lease: None,
        record_life: Duration::from_secs(600),
        new_percent: 0,
        slots: 64,
        connections: 640,
        queue: 64,
        warm_up: Duration::from_secs(10),
        weights: Weights {
            imbalance: 1.0,
            churn: 1.0,
            unavailable: 1.0,
        },
    }
}

fn target(id: u64) -> TargetView {
    TargetView {
        info: TargetInfo {
            id,
            spec: TargetSpec {
                name: format!("t{id}").into(),
                service: if id <= TARGETS { "keyed" } else { "plain" }.into(),
                side: Side::Old,
                address: ([127, 0, 0, 1], 9000).into(),
                checks_tokens: true,
                slots: 64,
            },
            state: TargetState::Serving,
        },
        sender: Some(1),
        token: Token::default(),
    }
}

fn router() -> Router {
    let mut router = Router::new(RouterConfig::new(1, "east", 7));
    let bundle = Bundle {
        version: 1,
        previous: None,
        operators: Operators {
            needed: 0,
            keys: Vec::new(),
        },
        services: vec![
            service("keyed", KeySource::Segment(1)),
            service("plain", KeySource::None),
        ],
    };
    // Every third shard is homed elsewhere.
    let away = |index: u32| index.is_multiple_of(3);
    let home = |index| DomainName::from(if away(index) { "west" } else { "east" });
    let entry = |vm, domain: &str| VmLocation {
        vm,
        domain: domain.into(),
        entry: true,
    };
    let directory = Event::Directory {
        homes: vec![ShardHomes {
            service: "keyed".into(),
            domains: (0..SHARDS + 11).map(|index| Some(home(index))).collect(),
        }],
        vms: vec![entry(1, "east"), entry(2, "west"), entry(3, "west")],
    };
    let shard = |index| ShardView {
        service: "keyed".into(),
        index,
        owner: Some(u64::from(index) % TARGETS + 1),
        releasing: false,
        token: Token::default(),
    };
    let view = View {
        index: 1,
        bundle_version: 1,
        vms: vec![1, 4, 5],
        targets: (1..=2 * TARGETS).map(target).collect(),
        shards: (0..SHARDS + 11).filter(|i| !away(*i)).map(shard).collect(),
        ..View::default()
    };
    let lease = Event::Lease {
        until: Duration::MAX,
        min_view: 1,
        control_renewed: Duration::ZERO,
    };
    for event in [Event::Bundle(bundle), directory, Event::View(view), lease] {
        router.step(event, Duration::ZERO);
    }
    router
}

fn main() {
    let mut router = router();
    let requests: Vec<_> = (0..REQUESTS)
        .map(|id| Request {
            id: id * 0x9e37_79b9_7f4a_7c15,
            origin: Origin::Caller,
            method: "GET".into(),
            host: Some("example.test".into()),
            path: if id % 4 == 0 {
                "/plain/list".into()
            } else {
                format!("/keyed/key{}", id % 50_000).into()
            },
            headers: vec![("accept".into(), "*/*".into())],
            timeout: None,
        })
        .collect();
    let responded = || AttemptResult::Responded {
        status: 200,
        stored: None,
    };
    let mut tick = Duration::ZERO;
    let start = Instant::now();
    for (n, request) in (0u64..).zip(requests) {
        let now = Duration::from_nanos(n * 1_000_000_000 / RATE);
        let id = request.id;
        for effect in router.step(Event::Request(request), now) {
            if let Effect::Send(send) = effect {
                router.step(Event::Ready { id: send.id }, now);
            }
        }
        let result = responded();
        router.step(Event::Done { id, result }, now);
        while tick <= now {
            router.step(Event::Tick, tick);
            tick += Duration::from_millis(10);
        }
    }
    let nanos = start.elapsed().as_nanos() / REQUESTS;
    let counters = router.counters();
    let core = nanos as f64 * RATE as f64 / 1e9 * 100.0;
    println!("{nanos} ns per request, {core:.2} % of a core at {RATE} requests/s");
    println!(
        "{} written, {} forwarded, {} answered",
        counters.written, counters.forwards, counters.responses
    );
}
