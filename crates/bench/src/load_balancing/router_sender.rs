//! A sender that drives the router's state machine.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use camphordale_domain::{
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
    VmLocation, //
};
use camphordale_types::{
    Bundle,
    Operators,
    Refusal,
    Service,
    Side,
    TargetInfo,
    TargetSpec,
    TargetState,
    Token,
    Unknown, //
};

use crate::service::open_service;

use super::{
    sender::{
        Action,
        AttemptOutcome, //
    },
    simulation::{
        DEADLINE,
        TARGETS,
        WARM_UP, //
    },
};

/// The only VM.
const VM: u32 = 1;

/// A sender that uses [`Router`].
pub(super) struct RouterSender {
    router: Router,
    slots: u32,
}

impl RouterSender {
    /// Creates a sender. If `joins_late`, the last target is missing until it joins.
    pub(super) fn new(slots: u32, joins_late: bool, seed: u64) -> Self {
        let service = Service {
            deadline: DEADLINE,
            warm_up: WARM_UP,
            queue: 16,
            ..open_service("open", slots)
        };
        let count = TARGETS - usize::from(joins_late);
        let mut router = Router::new(RouterConfig::new(VM, "east", seed));
        let events = [
            Event::Bundle(Bundle {
                version: 1,
                previous: None,
                operators: Operators {
                    needed: 1,
                    keys: Vec::new(),
                },
                services: vec![service],
            }),
            Event::Directory {
                homes: Vec::new(),
                vms: vec![VmLocation {
                    vm: VM,
                    domain: "east".into(),
                    entry: true,
                }],
            },
            Event::View(View {
                term: 1,
                index: 1,
                vms: vec![VM],
                targets: (0..count).map(|at| view(at, slots)).collect(),
                ..View::default()
            }),
            Event::Lease {
                until: Duration::from_secs(3_600),
                min_view: 1,
                control_renewed: Duration::from_secs(3_600),
            },
        ];
        for event in events {
            router.step(event, Duration::ZERO);
        }
        RouterSender { router, slots }
    }

    pub(super) fn request_arrived(&mut self, id: u128, now: Duration) -> Vec<Action> {
        let request = Request {
            id,
            origin: Origin::Caller,
            method: "GET".into(),
            host: None,
            path: "/open/x".into(),
            headers: Vec::new(),
            timeout: None,
        };
        self.step(Event::Request(request), now)
    }

    pub(super) fn attempt_ended(
        &mut self,
        id: u128,
        outcome: AttemptOutcome,
        now: Duration,
    ) -> Vec<Action> {
        let result = match outcome {
            AttemptOutcome::Responded => AttemptResult::Responded {
                status: 200,
                stored: None,
            },
            AttemptOutcome::TimedOut => AttemptResult::Unknown(Unknown::Timeout),
            AttemptOutcome::Broken => AttemptResult::Unknown(Unknown::Broken),
        };
        self.step(Event::Done { id, result }, now)
    }

    pub(super) fn load_reported(&mut self, target: usize, load: f32, now: Duration) -> Vec<Action> {
        let target = target_id(target);
        self.step(Event::TargetLoad { target, load }, now)
    }

    pub(super) fn probe_ended(&mut self, target: usize, alive: bool, now: Duration) -> Vec<Action> {
        let target = target_id(target);
        self.step(Event::Probed { target, alive }, now)
    }

    pub(super) fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.step(Event::Tick, now)
    }

    pub(super) fn target_joined(&mut self, target: usize, now: Duration) -> Vec<Action> {
        let view = View {
            term: 1,
            since: 1,
            index: 2,
            vms: vec![VM],
            targets: vec![view(target, self.slots)],
            ..View::default()
        };
        self.step(Event::View(view), now)
    }

    fn step(&mut self, event: Event, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut effects: VecDeque<Effect> = self.router.step(event, now).into();
        let mut sent = Vec::new();
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Send(send) => {
                    sent.push((send.id, send.target));
                    effects.extend(self.router.step(Event::Ready { id: send.id }, now));
                }
                Effect::Proceed { id } => {
                    if let Some((_, target)) = sent.iter().rfind(|(sent, _)| *sent == id) {
                        let target = *target as usize - 1;
                        actions.push(Action::Start { id, target });
                    }
                }
                Effect::Refuse { id, refusal } => actions.push(match refusal {
                    Refusal::NotRun(_) => Action::Refuse { id },
                    Refusal::Unknown(_) => Action::Fail { id },
                }),
                Effect::Probe { target, .. } => {
                    let target = target as usize - 1;
                    actions.push(Action::Probe { target });
                }
                Effect::Abort { id } => actions.push(Action::Abort { id }),
                _ => {}
            }
        }
        actions
    }
}

fn target_id(target: usize) -> u64 {
    target as u64 + 1
}

fn view(target: usize, slots: u32) -> TargetView {
    TargetView {
        info: TargetInfo {
            id: target_id(target),
            spec: TargetSpec {
                name: format!("t{target}").into(),
                service: "open".into(),
                side: Side::Old,
                address: ([127, 0, 0, 1], 9_100 + target as u16).into(),
                checks_tokens: true,
                slots,
            },
            state: TargetState::Serving,
        },
        sender: None,
        token: Token::default(),
    }
}
