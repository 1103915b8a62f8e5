//! A leader with the targets and entry VMs of a fleet, all in simulated time.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_fleet::{
    Announcement,
    Answer,
    Call,
    Change,
    Command,
    Config,
    ConfigResource,
    Control,
    Effect,
    Event,
    Key,
    KeyDelivery,
    KeyLoad,
    LeaseReport,
    LeaseTimes,
    Member,
    MemberList,
    Order,
    OrderId,
    PeerMessage,
    Service,
    TargetId,
    View, //
};
use camphordale_raft::RecoveredState;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use crate::allocations;

const SERVICE: &str = "s";
const TICK: Duration = Duration::from_millis(20);
const PING_INTERVAL: Duration = Duration::from_millis(300);
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(870);
/// Time from an order to its answer.
const ANSWER_TIME: Duration = Duration::from_millis(20);
/// Sampled keys in each ping of an entry VM.
const SAMPLE_PER_PING: usize = 5;

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Kinds of events of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Tick,
    Subscribe,
    Ping,
    Call,
    Announce,
    Answer,
}

/// Work of the reducer for one kind of event.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Work {
    pub(crate) events: u64,
    pub(crate) allocations: u64,
    pub(crate) time: Duration,
}

pub(crate) struct Fleet {
    now: Duration,
    view: View,
    pub(crate) work: BTreeMap<Kind, Work>,
    /// Targets that do not answer.
    pub(crate) silent: BTreeSet<TargetId>,
    control: Control,
    targets: usize,
    entries: usize,
    incarnation: u64,
    sequence: u64,
    answers: Vec<(Duration, OrderId, Answer)>,
    random: StdRng,
    next_token: u64,
}

pub(crate) fn member() -> Member {
    Member {
        id: 1,
        peer: "10.0.0.1:7000".parse().unwrap(),
        control: "10.0.0.1:8000".parse().unwrap(),
        domain: "a".into(),
    }
}

pub(crate) fn config() -> Config {
    Config {
        member: member(),
        voters: 1,
        lease_times: LeaseTimes {
            call: ms(2200),
            heartbeat: ms(2740),
            interval: ms(870),
        },
        election_timeout: ms(250),
        leader_lease: ms(150),
        heartbeat_interval: ms(80),
        target_timeout: ms(20_000),
        warm_up: camphordale_fleet::WarmUpBounds::default(),
        member_timeout: ms(3500),
        catch_up: Duration::from_secs(4),
        apply_timeout: ms(500),
        log_limit: 16 << 20,
        domains: Vec::new(),
        view_limit: 64 << 20,
        seed: 1,
    }
}

fn keyed_service() -> Change {
    let spec = Service {
        health_path: "/health".into(),
        max_connections: 1800,
        keys: KeyDelivery::Call,
        warm_up: ms(3000),
        cold: None,
    };
    let document = "{}".into();
    Change {
        base_version: 0,
        version: 1,
        replace_all: true,
        routes: Vec::new(),
        services: vec![(SERVICE.into(), ConfigResource { spec, document })],
        limits: None,
        removed_routes: Vec::new(),
        removed_services: Vec::new(),
        digest: [1; 16],
        received_ms: 0,
    }
}

impl Fleet {
    /// A fleet that has just started. All its targets hold keys after two seconds.
    pub(crate) fn new(targets: usize, entries: usize) -> Fleet {
        let disk = Control::bootstrap_state(vec![member()]).unwrap();
        let mut fleet = Fleet::start(disk, targets, entries, ms(0));
        fleet.call(Kind::Call, Call::Change(Box::new(keyed_service())));
        fleet.run(ms(2500));
        fleet
    }

    fn start(disk: RecoveredState, targets: usize, entries: usize, now: Duration) -> Fleet {
        let control = Control::new(config(), disk, vec![member()], MemberList::default()).unwrap();
        let mut fleet = Fleet {
            now,
            view: View::default(),
            work: BTreeMap::new(),
            silent: BTreeSet::new(),
            control,
            targets,
            entries,
            incarnation: 1,
            sequence: 0,
            answers: Vec::new(),
            random: StdRng::seed_from_u64(7),
            next_token: 0,
        };
        fleet.step(Kind::Tick, Event::Tick);
        for conn in 1..=entries as u64 {
            let message = PeerMessage::Subscribe {
                entry_id: conn,
                domain: "a".into(),
                index: 0,
            };
            fleet.step(Kind::Subscribe, Event::Stream { conn, message });
        }
        fleet
    }

    fn announcement(&self, number: usize) -> Announcement {
        Announcement {
            id: target_id(number),
            incarnation: self.incarnation,
            sequence: self.sequence,
            service: SERVICE.into(),
            address: format!("10.1.{}.{}:80", number / 250, number % 250 + 1)
                .parse()
                .unwrap(),
            domain: "a".into(),
            slots: 4,
            draining: false,
            warm_up: 0,
            report: LeaseReport::default(),
        }
    }

    fn call(&mut self, kind: Kind, call: Call) {
        self.next_token += 1;
        let token = self.next_token;
        self.step(kind, Event::Call { token, call });
    }

    fn step(&mut self, kind: Kind, event: Event) {
        let (started, allocations) = (Instant::now(), allocations::count());
        let effects = self.control.step(event, self.now);
        let work = self.work.entry(kind).or_default();
        work.events += 1;
        work.allocations += allocations::count() - allocations;
        work.time += started.elapsed();
        for effect in effects {
            match effect {
                Effect::Order { dispatch, .. } => {
                    if self.silent.contains(&dispatch.holder.id) {
                        let answer = Answer::Lost { sent: true };
                        self.answers.push((dispatch.deadline, dispatch.id, answer));
                        continue;
                    }
                    let answer = match dispatch.order {
                        Order::Grant { .. } => Answer::Granted,
                        Order::Release { .. } => Answer::Released(None),
                    };
                    self.answers
                        .push((self.now + ANSWER_TIME, dispatch.id, answer));
                }
                Effect::Broadcast { message, .. } => self.on_entry_message(message),
                Effect::Stream { conn: 1, message } => self.on_entry_message(message),
                _ => {}
            }
        }
    }

    fn on_entry_message(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::Snapshot(view) => self.view = *view,
            PeerMessage::Update { index, command } => self.apply(index, &command),
            _ => {}
        }
    }

    fn apply(&mut self, index: u64, command: &Command) {
        if index > self.view.index {
            self.view.apply(index, command);
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let now = self.now;
            let due: Vec<_> = self.answers.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, id, answer) in due {
                self.step(Kind::Answer, Event::OrderAnswered { id, answer });
            }
            // Pings and announcements are spread evenly over their intervals.
            for conn in 0..self.entries {
                if is_due(conn, now, PING_INTERVAL) {
                    self.ping(conn as u64 + 1);
                }
            }
            for number in 0..self.targets {
                let id = target_id(number);
                if is_due(number, now, ANNOUNCEMENT_INTERVAL) && !self.silent.contains(&id) {
                    self.sequence += 1;
                    let announcement = self.announcement(number);
                    self.call(Kind::Announce, Call::Announce(Box::new(announcement)));
                }
            }
            self.step(Kind::Tick, Event::Tick);
        }
    }

    fn ping(&mut self, conn: u64) {
        let mut sample: Vec<Key> = Vec::new();
        for _ in 0..SAMPLE_PER_PING {
            sample.push(self.random.random());
        }
        let message = PeerMessage::Ping {
            sent: self.now,
            index: self.view.index,
            load: vec![KeyLoad {
                service: SERVICE.into(),
                total: SAMPLE_PER_PING as u32,
                sample,
            }],
            latencies: Vec::new(),
        };
        self.step(Kind::Ping, Event::Stream { conn, message });
    }

    /// Whether the view gives every key to a target that answers.
    pub(crate) fn is_served(&self) -> bool {
        let Some(map) = self.view.keys.get(SERVICE) else {
            return false;
        };
        map.ranges().iter().all(|range| {
            let holder = range.holder.as_ref();
            holder.is_some_and(|holder| !self.silent.contains(&holder.id))
        })
    }

    /// Takes the work since the last call.
    pub(crate) fn take_work(&mut self) -> BTreeMap<Kind, Work> {
        std::mem::take(&mut self.work)
    }
}

pub(crate) fn target_id(number: usize) -> TargetId {
    format!("i-{number:08}").into()
}

/// Whether the periodic work of `number` falls into the tick that ends now.
fn is_due(number: usize, now: Duration, interval: Duration) -> bool {
    let ticks = (interval.as_millis() / TICK.as_millis()) as usize;
    let tick = (now.as_millis() / TICK.as_millis()) as usize;
    tick % ticks == number % ticks
}
