//! A small deployment for the tests of the router.
#![allow(clippy::unwrap_used, dead_code, unreachable_pub)]

use std::time::Duration;

use camphordale_domain::{ShardView, TargetView, View};
use camphordale_route::*;
use camphordale_types::*;

pub const VM: VmId = 1;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn service(name: &str, key: KeySource) -> Service {
    Service {
        name: name.into(),
        route: Route {
            prefix: format!("/{name}").into(),
            host: None,
        },
        shards: if key == KeySource::None { 0 } else { 4 },
        key,
        hot_keys: Vec::new(),
        repeat: RetryPolicy::ByMethod,
        deadline: ms(1000),
        domain_lease: None,
        record_life: Duration::from_secs(600),
        new_percent: 0,
        slots: 2,
        connections: 60,
        queue: 6,
        warm_up: Duration::ZERO,
        weights: Weights {
            imbalance: 1.0,
            churn: 1.0,
            unavailable: 1.0,
        },
    }
}

/// Returns a bundle with the keyed service "k" and the unkeyed service "u".
pub fn bundle(version: u64) -> Bundle {
    Bundle {
        version,
        previous: None,
        operators: Operators {
            needed: 1,
            keys: Vec::new(),
        },
        services: vec![
            service("k", KeySource::Segment(1)),
            service("u", KeySource::None),
        ],
    }
}

pub fn target(id: TargetId, service: &str, sender: Option<VmId>) -> TargetView {
    TargetView {
        info: TargetInfo {
            id,
            spec: TargetSpec {
                name: format!("t{id}").into(),
                service: service.into(),
                side: Side::Old,
                address: ([127, 0, 0, 1], id as u16).into(),
                checks_tokens: true,
                slots: 8,
            },
            state: TargetState::Serving,
        },
        sender,
        token: token(1),
    }
}

pub fn token(seq: u64) -> Token {
    Token {
        term: 1,
        epoch: 1,
        seq,
    }
}

pub fn shard(index: u32, owner: Option<TargetId>, seq: u64) -> ShardView {
    ShardView {
        service: "k".into(),
        index,
        owner,
        releasing: false,
        token: token(seq),
    }
}

/// Returns a complete view. Target 11, with this VM as the sender, owns shards 0 and 1; target 12,
/// with VM 2 as the sender, owns shard 2; shard 3 has no owner.
pub fn view(index: u64) -> View {
    View {
        term: 1,
        since: 0,
        index,
        bundle_version: 1,
        vms: vec![1, 2],
        targets: vec![
            target(11, "k", Some(1)),
            target(12, "k", Some(2)),
            target(21, "u", None),
            target(22, "u", None),
        ],
        shards: vec![
            shard(0, Some(11), 5),
            shard(1, Some(11), 5),
            shard(2, Some(12), 5),
            shard(3, None, 5),
        ],
        ..View::default()
    }
}

/// Puts a bundle in force and applies a view with the same bundle version.
pub fn put_in_force(router: &mut Router, bundle: Bundle, at: u64) {
    let mut view = view(1);
    view.bundle_version = bundle.version;
    router.step(Event::Bundle(bundle), ms(at));
    router.step(Event::View(view), ms(at));
}

/// Returns an incremental view that leads to `index`.
pub fn change(index: u64, targets: Vec<TargetView>, shards: Vec<ShardView>) -> View {
    View {
        term: 1,
        since: index - 1,
        index,
        bundle_version: 1,
        vms: vec![1, 2],
        targets,
        shards,
        ..View::default()
    }
}

pub fn directory() -> Event {
    let vms = [(1, "east"), (2, "east"), (3, "west"), (4, "west")];
    let home = Some(DomainName::from("east"));
    Event::Directory {
        homes: vec![ShardHomes {
            service: "k".into(),
            domains: vec![home; 4],
        }],
        vms: vms
            .map(|(vm, domain)| VmLocation {
                vm,
                domain: domain.into(),
                entry: true,
            })
            .into(),
    }
}

pub fn lease(until: Duration) -> Event {
    Event::Lease {
        until,
        min_view: 1,
        control_renewed: until,
    }
}

/// Returns a router that serves the deployment, with a lease of 1 h.
pub fn router() -> Router {
    let mut router = Router::new(RouterConfig::new(VM, "east", 7));
    for event in [
        Event::Bundle(bundle(1)),
        directory(),
        Event::View(view(1)),
        lease(Duration::from_secs(3600)),
    ] {
        assert_eq!(router.step(event, ms(0)), []);
    }
    router
}

/// Returns a key of shard `index` of service "k".
pub fn key(index: u32) -> String {
    let service = service("k", KeySource::Segment(1));
    (0..)
        .map(|n: u32| format!("x{n}"))
        .find(|key| service.shard_of(key) == index)
        .unwrap()
}

pub fn request(id: RequestId, method: &str, path: &str) -> Request {
    Request {
        id,
        origin: Origin::Caller,
        method: method.into(),
        host: None,
        path: path.into(),
        headers: Vec::new(),
        timeout: None,
    }
}

/// Returns a request for a key of shard `index`.
pub fn keyed(id: RequestId, method: &str, index: u32) -> Request {
    request(id, method, &format!("/k/{}", key(index)))
}

pub fn arrive(router: &mut Router, request: Request, now: u64) -> Vec<Effect> {
    router.step(Event::Request(request), ms(now))
}

/// Advances the time; the load reports, one per second, are left out.
pub fn tick(router: &mut Router, now: u64) -> Vec<Effect> {
    let mut effects = router.step(Event::Tick, ms(now));
    effects.retain(|effect| !matches!(effect, Effect::ReportLoad { .. }));
    effects
}

pub fn ready(router: &mut Router, id: RequestId, now: u64) -> Vec<Effect> {
    router.step(Event::Ready { id }, ms(now))
}

pub fn done(router: &mut Router, id: RequestId, result: AttemptResult, now: u64) -> Vec<Effect> {
    router.step(Event::Done { id, result }, ms(now))
}

pub fn responded() -> AttemptResult {
    AttemptResult::Responded {
        status: 200,
        stored: None,
    }
}

pub fn not_run(id: RequestId, reason: NotRun) -> Effect {
    Effect::Refuse {
        id,
        refusal: Refusal::NotRun(reason),
    }
}

pub fn unknown(id: RequestId, reason: Unknown) -> Effect {
    Effect::Refuse {
        id,
        refusal: Refusal::Unknown(reason),
    }
}

/// Returns the sent requests and their targets.
pub fn sends(effects: &[Effect]) -> Vec<(RequestId, TargetId)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send(send) => Some((send.id, send.target)),
            _ => None,
        })
        .collect()
}

/// Sends a request that is expected to go to `target`, and writes it.
pub fn write(router: &mut Router, request: Request, target: TargetId, now: u64) {
    let id = request.id;
    assert_eq!(sends(&arrive(router, request, now)), [(id, target)]);
    assert_eq!(ready(router, id, now), [Effect::Proceed { id }]);
}
