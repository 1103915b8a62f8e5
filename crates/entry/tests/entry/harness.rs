//! Test harness for one entry VM: a routing, targets and a clock that tests advance.

use std::{
    sync::Arc,
    time::Duration, //
};

use camphordale_entry::{
    AttemptId,
    AttemptResult,
    Config,
    ControlStreamEffect,
    Decision,
    Effect,
    Entry,
    Event,
    IncomingRequest,
    LoadReport,
    LogEvent,
    Refusal,
    RequestHandle, //
    Slowdown,
};
use camphordale_fleet::{
    ConfigResource,
    EntryCounts,
    Fingerprint,
    Holder,
    KeyDelivery,
    KeyRange,
    PeerMessage,
    RequestRate,
    RetryPolicy,
    Route,
    Routing,
    Service,
    Target,
    TargetId,
    TargetState,
    View,
    WarmUp,
    WeightedService, //
};

pub(crate) const READS: &str = "reads";
pub(crate) const ORDERS: &str = "orders";
pub(crate) const UPLOADS: &str = "uploads";
pub(crate) const KEYED: &str = "keyed";

pub(crate) const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn item<Spec>(spec: Spec) -> ConfigResource<Spec> {
    ConfigResource {
        spec,
        document: "{}".into(),
    }
}

pub(crate) fn route(service: &str, retry_policy: RetryPolicy) -> Route {
    Route {
        host: "a.example".into(),
        path_prefix: format!("/{service}/").into(),
        retry_policy,
        large_bodies: false,
        timeout: ms(1500),
        latency_objective: ms(600),
        priority: 1,
        max_attempts: 2,
        split: vec![WeightedService {
            service: service.into(),
            weight: 1.0,
        }],
    }
}

pub(crate) fn routing() -> Routing {
    let mut routing = Routing {
        version: 1,
        ..Routing::default()
    };
    let kinds = [
        (READS, RetryPolicy::Idempotent, KeyDelivery::Unkeyed),
        (ORDERS, RetryPolicy::AtMostOnce, KeyDelivery::Unkeyed),
        (KEYED, RetryPolicy::Idempotent, KeyDelivery::Call),
    ];
    for (name, retry_policy, keys) in kinds {
        let service = Service {
            health_path: "/health".into(),
            max_connections: 100,
            keys,
            warm_up: ms(2000),
            cold: None,
        };
        routing.services.insert(name.into(), item(service));
        routing
            .routes
            .insert(name.into(), item(route(name, retry_policy)));
    }
    routing
}

/// The same routing with a service that states a warm-up rate, so that it is contended.
pub(crate) fn contended() -> Routing {
    let mut routing = routing();
    let cold = WarmUp {
        time: ms(3000),
        rate: RequestRate::try_from(5.7).unwrap(),
    };
    routing.services.get_mut(READS).unwrap().spec.cold = Some(cold);
    routing
}

pub(crate) fn target(service: &str, number: u8, domain: &str) -> Target {
    Target {
        incarnation: 1,
        service: service.into(),
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        domain: domain.into(),
        slots: 4,
        state: TargetState::Ready,
    }
}

pub(crate) struct Harness {
    pub(crate) entry: Entry,
    pub(crate) now: Duration,
    next: RequestHandle,
}

/// The effects of a step that tests check.
#[derive(Debug, Default)]
pub(crate) struct StepOutput {
    pub(crate) sent: Vec<(AttemptId, RequestHandle, TargetId)>,
    /// Attempts sent over a connection of their own.
    pub(crate) repeated: Vec<AttemptId>,
    pub(crate) cancelled: Vec<AttemptId>,
    pub(crate) withdrawn: Vec<AttemptId>,
    pub(crate) forwarded: Vec<RequestHandle>,
    pub(crate) refused: Vec<(RequestHandle, Refusal)>,
    /// Logged decisions about refusals and retries.
    pub(crate) decisions: Vec<Decision>,
    /// Messages to the control leader.
    pub(crate) messages: Vec<PeerMessage>,
}

impl Harness {
    pub(crate) fn new() -> Harness {
        Harness::with(Harness::view())
    }

    /// Two targets of each service in the VM's own failure domain and one in another. The first
    /// target of the keyed service holds all keys.
    pub(crate) fn view() -> View {
        let mut view = View {
            index: 10,
            routing: Some(Arc::new(routing())),
            ..View::default()
        };
        for (at, service) in [READS, ORDERS, KEYED].into_iter().enumerate() {
            for number in 0..3u8 {
                let domain = if number < 2 { "a" } else { "b" };
                let id = format!("{service}-{number}");
                let address = 1 + at as u8 * 10 + number;
                view.targets
                    .insert(id.into(), target(service, address, domain));
            }
        }
        view.keys.entry(KEYED.into()).or_default().assign(KeyRange {
            from: 0,
            to: u16::MAX,
            holder: Some(Holder {
                id: "keyed-0".into(),
                incarnation: 1,
            }),
            handover: None,
        });
        view
    }

    /// The usual view with a routing in which a badly chosen target costs much: one more route of
    /// [`READS`] has large bodies.
    pub(crate) fn contended_view() -> View {
        let mut view = Harness::view();
        let mut routing = (**view.routing.as_ref().unwrap()).clone();
        let uploads = Route {
            path_prefix: format!("/{UPLOADS}/").into(),
            large_bodies: true,
            ..route(READS, RetryPolicy::AtMostOnce)
        };
        routing.routes.insert(UPLOADS.into(), item(uploads));
        view.routing = Some(routing.into());
        view
    }

    pub(crate) fn with(view: View) -> Harness {
        Harness::with_seed(view, 7)
    }

    pub(crate) fn with_seed(view: View, seed: u64) -> Harness {
        let mut harness = Harness::without_view_with_seed(seed);
        harness.receive(PeerMessage::Snapshot(Box::new(view)));
        harness.receive(PeerMessage::Pong {
            sent: ms(0),
            entries: EntryCounts { all: 1, domain: 1 },
        });
        harness
    }

    /// A VM that has just started.
    pub(crate) fn without_view() -> Harness {
        Harness::without_view_with_seed(7)
    }

    fn without_view_with_seed(seed: u64) -> Harness {
        let entry = Entry::new(Config {
            entry_id: 1,
            domain: "a".into(),
            seeds: Vec::new(),
            retry_ratio: 0.2,
            retry_extra: 50.0,
            drain_grace: ms(1000),
            evacuation_grace: ms(4000),
            admission: camphordale_entry::AdmissionRule::Objective,
            warm_up: camphordale_fleet::WarmUpBounds::default(),
            link_rate: Some(200_000.0),
            seed,
        });
        Harness {
            entry,
            now: ms(1000),
            next: 0,
        }
    }

    pub(crate) fn step(&mut self, event: Event) -> StepOutput {
        let mut output = StepOutput::default();
        for effect in self.entry.step(event, self.now) {
            match effect {
                Effect::Send {
                    attempt,
                    request,
                    target,
                    repeated,
                    ..
                } => {
                    output.sent.push((attempt, request, target));
                    output.repeated.extend(repeated.then_some(attempt));
                }
                Effect::Cancel(attempt) => output.cancelled.push(attempt),
                Effect::Withdraw(attempt) => output.withdrawn.push(attempt),
                Effect::ForwardResponse { request, .. } => output.forwarded.push(request),
                Effect::Refuse { request, refusal } => output.refused.push((request, refusal)),
                Effect::Log(LogEvent::Refused(decision) | LogEvent::Retried(decision)) => {
                    output.decisions.push(decision);
                }
                Effect::ControlStream(ControlStreamEffect::Send(message)) => {
                    output.messages.push(message);
                }
                Effect::Discard(_) | Effect::ControlStream(_) | Effect::Log(_) => {}
            }
        }
        output
    }

    pub(crate) fn receive(&mut self, message: PeerMessage) -> StepOutput {
        self.step(Event::Stream(message))
    }

    pub(crate) fn request(&mut self, service: &str) -> (RequestHandle, StepOutput) {
        self.request_within(service, ms(1500))
    }

    pub(crate) fn request_within(
        &mut self,
        service: &str,
        caller_timeout: Duration,
    ) -> (RequestHandle, StepOutput) {
        let fingerprint = u128::from(self.next + 1);
        self.request_like(service, fingerprint, caller_timeout)
    }

    pub(crate) fn request_like(
        &mut self,
        service: &str,
        fingerprint: Fingerprint,
        caller_timeout: Duration,
    ) -> (RequestHandle, StepOutput) {
        self.next += 1;
        let handle = self.next;
        let output = self.step(Event::Request(IncomingRequest {
            handle,
            host: "a.example".into(),
            path: format!("/{service}/x").into(),
            caller_timeout: Some(caller_timeout),
            key: (service == KEYED).then_some(handle as u16),
            fingerprint,
        }));
        (handle, output)
    }

    pub(crate) fn advance(&mut self, time: Duration) -> StepOutput {
        self.now += time;
        self.step(Event::Tick)
    }

    pub(crate) fn end_attempt(&mut self, attempt: AttemptId, result: AttemptResult) -> StepOutput {
        self.end_attempt_with(attempt, result, 0)
    }

    /// Ends an attempt with a response body of `length` bytes.
    pub(crate) fn end_attempt_with(
        &mut self,
        attempt: AttemptId,
        result: AttemptResult,
        length: usize,
    ) -> StepOutput {
        self.step(Event::AttemptEnded {
            attempt,
            result,
            length,
        })
    }
}

pub(crate) fn complete(status: u16) -> AttemptResult {
    AttemptResult::Complete {
        status,
        load: None,
        executed: true,
    }
}

pub(crate) fn complete_with(running: u32, queued: u32) -> AttemptResult {
    let load = Some(LoadReport {
        running,
        queued,
        slots: 4,
        slowdown: Slowdown::default(),
    });
    AttemptResult::Complete {
        status: 200,
        load,
        executed: true,
    }
}

pub(crate) fn not_executed(status: u16) -> AttemptResult {
    AttemptResult::NotExecuted { status, load: None }
}

/// A status that promises more than the response states.
pub(crate) fn unproved() -> AttemptResult {
    AttemptResult::Unproved { load: None }
}

/// The refused requests, all as not run, and after what time their callers may come back.
pub(crate) fn promised(output: &StepOutput) -> Vec<(RequestHandle, Duration)> {
    let refused = output.refused.iter();
    let promised = refused.map(|(request, refusal)| match refusal {
        Refusal::NotRun(promise) => (*request, promise.retry_after()),
        other => panic!("no promise: {other:?}"),
    });
    promised.collect()
}

pub(crate) fn failed(sent: bool) -> AttemptResult {
    AttemptResult::Failed {
        sent,
        received: false,
        closed: false,
    }
}

/// The target closed the connection while it had the request.
pub(crate) fn closed() -> AttemptResult {
    AttemptResult::Failed {
        sent: true,
        received: false,
        closed: true,
    }
}
