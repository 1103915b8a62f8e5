//! A small world around one entry VM: a routing, targets and a clock that tests move.

use std::{
    sync::Arc,
    time::Duration, //
};

use camphordale_entry::{
    Answer,
    Arrival,
    AttemptId,
    Config,
    Decision,
    Effect,
    Entry,
    Event,
    FlowId,
    LoadReport,
    Note,
    Refusal, //
};
use camphordale_fleet::{
    Holder,
    Item,
    Part,
    PeerMessage,
    Repeat,
    Route,
    Routing,
    Service,
    Share,
    Span,
    Target,
    TargetId,
    TargetState,
    View, //
};

pub(crate) const READS: &str = "reads";
pub(crate) const ORDERS: &str = "orders";
pub(crate) const KEYED: &str = "keyed";

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn item<Content>(content: Content) -> Item<Content> {
    Item {
        content,
        source: "{}".into(),
    }
}

pub(crate) fn route(service: &str, repeat: Repeat) -> Route {
    Route {
        host: "a.example".into(),
        prefix: format!("/{service}/").into(),
        repeat,
        timeout: ms(1500),
        objective: ms(600),
        priority: 1,
        attempts: 2,
        split: vec![Part {
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
        (READS, Repeat::Idempotent, false),
        (ORDERS, Repeat::Once, false),
        (KEYED, Repeat::Idempotent, true),
    ];
    for (name, repeat, keyed) in kinds {
        let service = Service {
            health: "/health".into(),
            connections: 100,
            keyed,
            warm: ms(2000),
        };
        routing.services.insert(name.into(), item(service));
        routing
            .routes
            .insert(name.into(), item(route(name, repeat)));
    }
    routing
}

pub(crate) fn target(service: &str, number: u8, domain: &str) -> Target {
    Target {
        born: 1,
        service: service.into(),
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        domain: domain.into(),
        slots: 4,
        state: TargetState::Ready,
    }
}

pub(crate) struct World {
    pub(crate) entry: Entry,
    pub(crate) now: Duration,
    next: FlowId,
}

/// What became of a step, without what tests do not look at.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) sent: Vec<(AttemptId, FlowId, TargetId)>,
    pub(crate) cancelled: Vec<AttemptId>,
    pub(crate) passed: Vec<FlowId>,
    pub(crate) refused: Vec<(FlowId, Refusal)>,
    /// What is logged of refusals and repeats.
    pub(crate) decisions: Vec<Decision>,
}

impl World {
    pub(crate) fn new() -> World {
        World::with(World::view())
    }

    /// Two targets of each service in the own domain, one in another. The first target of the
    /// keyed service holds all keys.
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
        view.keys.entry(KEYED.into()).or_default().assign(Span {
            from: 0,
            to: u16::MAX,
            holder: Some(Holder {
                id: "keyed-0".into(),
                born: 1,
            }),
            handover: None,
        });
        view
    }

    pub(crate) fn with(view: View) -> World {
        let mut world = World::without_view();
        world.stream(PeerMessage::Snapshot(Box::new(view)));
        world.stream(PeerMessage::Pong {
            sent: ms(0),
            share: Share { all: 1, domain: 1 },
        });
        world
    }

    /// A VM that has just started.
    pub(crate) fn without_view() -> World {
        let entry = Entry::new(Config {
            entry: 1,
            domain: "a".into(),
            seeds: Vec::new(),
            retry_ratio: 0.2,
            retry_extra: 50.0,
            drain: ms(1000),
            seed: 7,
        });
        World {
            entry,
            now: ms(1000),
            next: 0,
        }
    }

    pub(crate) fn step(&mut self, event: Event) -> Seen {
        let mut seen = Seen::default();
        for effect in self.entry.step(event, self.now) {
            match effect {
                Effect::Send {
                    attempt,
                    flow,
                    target,
                    ..
                } => seen.sent.push((attempt, flow, target)),
                Effect::Cancel(attempt) => seen.cancelled.push(attempt),
                Effect::Pass { flow, .. } => seen.passed.push(flow),
                Effect::Refuse { flow, refusal } => seen.refused.push((flow, refusal)),
                Effect::Note(Note::Refused(decision) | Note::Repeated(decision)) => {
                    seen.decisions.push(decision);
                }
                Effect::Discard(_) | Effect::Link(_) | Effect::Note(_) => {}
            }
        }
        seen
    }

    pub(crate) fn stream(&mut self, message: PeerMessage) -> Seen {
        self.step(Event::Stream(message))
    }

    pub(crate) fn request(&mut self, service: &str) -> (FlowId, Seen) {
        self.request_within(service, ms(1500))
    }

    pub(crate) fn request_within(&mut self, service: &str, patience: Duration) -> (FlowId, Seen) {
        self.next += 1;
        let flow = self.next;
        let seen = self.step(Event::Request(Arrival {
            flow,
            host: "a.example".into(),
            path: format!("/{service}/x").into(),
            patience: Some(patience),
            key: (service == KEYED).then_some(flow as u16),
        }));
        (flow, seen)
    }

    pub(crate) fn after(&mut self, time: Duration) -> Seen {
        self.now += time;
        self.step(Event::Tick)
    }

    pub(crate) fn answer(&mut self, attempt: AttemptId, answer: Answer) -> Seen {
        self.step(Event::Answered { attempt, answer })
    }
}

pub(crate) fn complete(status: u16) -> Answer {
    Answer::Complete { status, load: None }
}

pub(crate) fn complete_with(running: u32, waiting: u32) -> Answer {
    let load = Some(LoadReport {
        running,
        waiting,
        slots: 4,
    });
    Answer::Complete { status: 200, load }
}

pub(crate) fn not_executed(status: u16) -> Answer {
    Answer::NotExecuted { status, load: None }
}

pub(crate) fn failed(sent: bool) -> Answer {
    Answer::Failed { sent, spoke: false }
}
