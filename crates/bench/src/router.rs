//! Measures the CPU time that the router's state machine needs for one request.

use std::{
    hint::black_box,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_domain::{
    ShardView,
    TargetView,
    View, //
};
use camphordale_route::{
    AttemptResult,
    Effect,
    Event,
    Origin,
    Request,
    Router,
    RouterConfig,
    ShardHomes,
    VmLocation, //
};
use camphordale_types::{
    Bundle,
    DomainName,
    Operators,
    Side,
    TargetId,
    TargetInfo,
    TargetSpec,
    TargetState,
    Token, //
};

use crate::{
    MeasureError, MeasuredValues, RunOptions, Spread, Table,
    service::{
        keyed_service,
        open_service, //
    },
};

/// Domain of the VM whose router is measured.
const DOMAIN: &str = "east";

/// The VM whose router is measured.
const VM: u32 = 1;

/// Number of different paths that are requested in turn.
const PATH_COUNT: usize = 1_024;

/// Simulated time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_micros(150);

/// Size of the deployment that the router knows.
#[derive(Clone, Copy)]
struct Size {
    name: &'static str,
    targets: usize,
    shards: u32,
    vms: u32,
}

/// The size of today's domains and the design size; see the sizes in `placement`.
const SIZES: [Size; 2] = [
    Size {
        name: "4 targets per service, 256 shards, 3 VMs",
        targets: 4,
        shards: 256,
        vms: 3,
    },
    Size {
        name: "34 targets per service, 1088 shards, 12 VMs",
        targets: 34,
        shards: 1_088,
        vms: 12,
    },
];

/// Runs the benchmark.
///
/// # Errors
///
/// Fails when the router queues or refuses a request instead of sending or forwarding it.
pub fn measure(
    options: &RunOptions,
    measured: &mut MeasuredValues,
) -> Result<Vec<Table>, MeasureError> {
    let count = if options.trial { 20_000 } else { 200_000 };
    let mut table = Table::new(
        "Router reducer, processor time per request in ns",
        &["size", "request", "in flight", "min / median / max"],
    );
    table.condition(options.command("router"));
    table.condition(format!(
        "{} runs of {count} requests; a request is the events Request, Ready and Done, or Request \
         and Done when it is forwarded; GET; a tick every 10 ms of simulated time; the reducer runs \
         under one lock, so the inverse limits the request rate of a VM",
        options.count(10)
    ));
    for size in SIZES {
        for (name, kind) in [
            ("keyed, own sender", RequestKind::OwnSender),
            ("keyed, forwarded", RequestKind::Forward),
            ("unkeyed", RequestKind::Unkeyed),
        ] {
            for in_flight in [0, 16] {
                let runs: Result<Vec<f64>, MeasureError> = (0..options.count(10))
                    .map(|_| time_per_request(&size, kind, in_flight, count))
                    .collect();
                let spread = Spread::of(runs?);
                table.row([
                    size.name.to_string(),
                    name.to_string(),
                    (in_flight + 1).to_string(),
                    format!("{spread:.0}"),
                ]);
                let key = format!(
                    "router.{}_{}t_{in_flight}w_ns",
                    kind.key_part(),
                    size.targets
                );
                measured.set(&key, spread.median);
            }
        }
    }
    Ok(vec![table])
}

/// Whether requests have a key and which VM is the sender of their shard.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    OwnSender,
    Forward,
    Unkeyed,
}

impl RequestKind {
    fn key_part(self) -> &'static str {
        match self {
            RequestKind::OwnSender => "keyed",
            RequestKind::Forward => "forward",
            RequestKind::Unkeyed => "open",
        }
    }
}

/// Returns the CPU time per request in ns, while `in_flight` other requests are in flight.
fn time_per_request(
    size: &Size,
    kind: RequestKind,
    in_flight: usize,
    count: usize,
) -> Result<f64, MeasureError> {
    let mut router = router(size);
    let paths = paths(size, kind);
    let request = |number: usize| Request {
        id: number as u128 + 1,
        origin: Origin::Caller,
        method: "GET".into(),
        host: None,
        path: paths[number % paths.len()].clone(),
        headers: Vec::new(),
        timeout: None,
    };
    let mut now = Duration::ZERO;
    let mut total = Duration::ZERO;
    let mut tick = Duration::ZERO;
    let mut sent = 0;
    for number in 0..count + in_flight {
        now += REQUEST_INTERVAL;
        // Building the request is not measured: the HTTP server does it.
        let request = request(number);
        let id = request.id;
        let ended = (number >= in_flight).then(|| (number - in_flight) as u128 + 1);
        let start = Instant::now();
        if now >= tick {
            tick = now + Duration::from_millis(10);
            black_box(router.step(Event::Tick, now));
        }
        let effects = router.step(Event::Request(request), now);
        match effects.first() {
            Some(Effect::Send(_)) => {
                sent += 1;
                black_box(router.step(Event::Ready { id }, now));
            }
            Some(Effect::Forward { .. }) => sent += 1,
            _ => {}
        }
        if let Some(id) = ended {
            let result = AttemptResult::Responded {
                status: 200,
                stored: None,
            };
            black_box(router.step(Event::Done { id, result }, now));
        }
        total += start.elapsed();
    }
    if sent < count {
        let reason =
            format!("only {sent} of {count} requests were sent or forwarded without queueing");
        return Err(MeasureError::unexpected("router", reason));
    }
    Ok(total.as_secs_f64() * 1e9 / (count + in_flight) as f64)
}

/// Returns paths of the given kind: keyed paths whose sender is this VM or another VM, or paths
/// of the service without keys.
fn paths(size: &Size, kind: RequestKind) -> Vec<Box<str>> {
    let service = keyed_service("keyed", size.shards, 6);
    let path = |key: u32| format!("/keyed/book-{key}");
    match kind {
        RequestKind::Unkeyed => (0..PATH_COUNT)
            .map(|n| format!("/open/{n}").into())
            .collect(),
        RequestKind::OwnSender | RequestKind::Forward => (0..)
            .filter(|key| {
                let shard = service.shard_of(&format!("book-{key}"));
                (sender(owner(shard, size), size) == VM) == (kind == RequestKind::OwnSender)
            })
            .map(|key| path(key).into())
            .take(PATH_COUNT)
            .collect(),
    }
}

fn owner(shard: u32, size: &Size) -> TargetId {
    u64::from(shard) % size.targets as u64 + 1
}

fn sender(target: TargetId, size: &Size) -> u32 {
    (target % u64::from(size.vms)) as u32 + 1
}

fn router(size: &Size) -> Router {
    let keyed = keyed_service("keyed", size.shards, 64);
    let open = open_service("open", 64 * size.vms);
    let view = |id: TargetId, service: &str, sender| TargetView {
        info: TargetInfo {
            id,
            spec: TargetSpec {
                name: format!("{service}-{id}").into(),
                service: service.into(),
                side: Side::Old,
                address: ([127, 0, 0, 1], id as u16).into(),
                checks_tokens: true,
                slots: 64 * size.vms,
            },
            state: TargetState::Serving,
        },
        sender,
        token: token(),
    };
    let count = size.targets as u64;
    let mut targets: Vec<TargetView> = (1..=count)
        .map(|id| view(id, "keyed", Some(sender(id, size))))
        .collect();
    targets.extend((1..=count).map(|id| view(1_000 + id, "open", None)));
    let shard = |index| ShardView {
        service: "keyed".into(),
        index,
        owner: Some(owner(index, size)),
        releasing: false,
        token: token(),
    };
    let day = Duration::from_secs(86_400);
    let events = [
        Event::Bundle(Bundle {
            version: 1,
            previous: None,
            operators: Operators {
                needed: 1,
                keys: Vec::new(),
            },
            services: vec![keyed, open],
        }),
        Event::Directory {
            homes: vec![ShardHomes {
                service: "keyed".into(),
                domains: vec![Some(DomainName::from(DOMAIN)); size.shards as usize],
            }],
            vms: (1..=size.vms)
                .map(|vm| VmLocation {
                    vm,
                    domain: DOMAIN.into(),
                    entry: true,
                })
                .collect(),
        },
        Event::View(View {
            term: 1,
            index: 1,
            bundle_version: 1,
            vms: (1..=size.vms).collect(),
            targets,
            shards: (0..size.shards).map(shard).collect(),
            ..View::default()
        }),
        Event::Lease {
            until: day,
            min_view: 1,
            control_renewed: day,
        },
    ];
    let mut router = Router::new(RouterConfig::new(VM, DOMAIN, 1));
    for event in events {
        router.step(event, Duration::ZERO);
    }
    router
}

fn token() -> Token {
    Token {
        term: 1,
        epoch: 1,
        seq: 1,
    }
}
