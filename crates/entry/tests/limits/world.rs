//! Entry VMs, a control leader and targets with limits, in simulated time.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration, //
};

use camphordale_entry::{
    AttemptId,
    AttemptResult,
    Config,
    ControlStreamEffect,
    Effect,
    Entry,
    Event,
    IncomingRequest,
    RequestHandle,
    TargetStatement, //
};
use camphordale_fleet::{
    Announcement,
    Call,
    Change,
    ConfigResource,
    Control,
    KeyDelivery,
    LeaseReport,
    LeaseTimes,
    Member,
    MemberList,
    PeerMessage,
    RequestRate,
    RetryPolicy,
    Route,
    Service,
    TargetId,
    WarmUp,
    WarmUpBounds,
    WeightedService, //
};
use camphordale_raft::{
    DurableWrite,
    RecoveredState, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

const SERVICE: &str = "reads";
const STEP: Duration = Duration::from_millis(5);
const LINK_DELAY: Duration = Duration::from_millis(5);

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) fn rate(value: f64) -> RequestRate {
    RequestRate::try_from(value).unwrap()
}

/// A target, as it is in truth.
#[derive(Clone, Debug)]
pub(crate) struct TrueTarget {
    incarnation: u64,
    pub(crate) limit: Option<RequestRate>,
    /// The limits that it had, and since when.
    pub(crate) limits: Vec<(Duration, Option<RequestRate>)>,
    pub(crate) arrivals: Vec<Duration>,
    /// Whether all its answers state that it leaves.
    pub(crate) leaving: bool,
    /// Time for which it wants nothing, if it turns requests away.
    pub(crate) pause: Option<Duration>,
    /// Whether connections to it can be opened.
    up: bool,
    /// Until when it is cold.
    pub(crate) cold_until: Duration,
}

/// Something that happens later.
enum Later {
    ToLeader(u64, PeerMessage),
    ToEntry(u64, Event),
    /// An answer of a target, with the incarnation that the request reached.
    Answer(u64, AttemptId, TargetId, u64),
    /// A connection that could not be opened.
    Unreached(u64, AttemptId),
}

/// An entry VM and the incarnation of a target that told it something.
type Told = (u64, TargetId, u64);

pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) random: StdRng,
    pub(crate) targets: BTreeMap<TargetId, TrueTarget>,
    /// Requests of callers in a second, over all entry VMs.
    pub(crate) demand: f64,
    /// Share of the requests that comes to the first entry VM.
    pub(crate) skew: f64,
    /// What cold targets bear, if the service states it.
    warm_up: Option<WarmUp>,
    pub(crate) served: u64,
    pub(crate) refused: u64,
    /// Entry VMs without a link to the leader.
    cut_off: BTreeSet<u64>,
    /// Entry VMs without a link to the first target.
    unlinked: BTreeSet<u64>,
    /// Messages about cold targets, in both directions.
    pub(crate) cold_messages: u64,
    /// Entry VMs that were told that a target leaves.
    told_leaving: BTreeSet<Told>,
    /// Until when a target wants nothing from an entry VM, as it told it.
    told_pause: BTreeMap<Told, Duration>,
    cancelled: BTreeSet<(u64, AttemptId)>,
    leader: Option<Control>,
    disk: RecoveredState,
    /// Entry VMs by the number of their process.
    entries: BTreeMap<u64, Entry>,
    later: Vec<(Duration, Later)>,
    next_entry: u64,
    next_request: RequestHandle,
    next_token: u64,
    sequence: u64,
}

fn member() -> Member {
    Member {
        id: 1,
        peer: "10.0.0.1:7000".parse().unwrap(),
        control: "10.0.0.1:8000".parse().unwrap(),
        domain: "a".into(),
    }
}

/// Bounds of the deployments with a warm-up rate.
pub(crate) const BOUNDS: WarmUpBounds = WarmUpBounds {
    overshoot: 1.5,
    slack: 8.0,
};

fn start_control(disk: RecoveredState) -> Control {
    let config = camphordale_fleet::Config {
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
        warm_up: BOUNDS,
        member_timeout: ms(3500),
        catch_up: Duration::from_secs(4),
        apply_timeout: ms(500),
        log_limit: 16 << 20,
        domains: Vec::new(),
        view_limit: 64 << 20,
        seed: 1,
    };
    Control::new(config, disk, vec![member()], MemberList::default()).unwrap()
}

fn routing(cold: Option<WarmUp>) -> Change {
    let document: Box<str> = "{}".into();
    let service = Service {
        health_path: "/health".into(),
        max_connections: 1000,
        keys: KeyDelivery::Unkeyed,
        warm_up: ms(0),
        cold,
    };
    let route = Route {
        host: "a.example".into(),
        path_prefix: "/reads/".into(),
        retry_policy: RetryPolicy::Idempotent,
        large_bodies: false,
        timeout: ms(1500),
        latency_objective: ms(600),
        priority: 1,
        max_attempts: 2,
        split: vec![WeightedService {
            service: SERVICE.into(),
            weight: 1.0,
        }],
    };
    Change {
        base_version: 0,
        version: 1,
        replace_all: true,
        routes: vec![(
            SERVICE.into(),
            ConfigResource {
                spec: route,
                document: document.clone(),
            },
        )],
        services: vec![(
            SERVICE.into(),
            ConfigResource {
                spec: service,
                document,
            },
        )],
        limits: None,
        removed_routes: Vec::new(),
        removed_services: Vec::new(),
        digest: [1; 16],
        received_ms: 0,
    }
}

fn store(disk: &mut RecoveredState, write: DurableWrite) {
    if let Some(hard_state) = write.hard_state {
        disk.hard_state = hard_state;
    }
    if let Some(snapshot) = write.snapshot {
        disk.entries.retain(|entry| entry.index > snapshot.index);
        disk.snapshot = Some(snapshot);
    }
    if let Some(first) = write.entries.first() {
        disk.entries.retain(|entry| entry.index < first.index);
        disk.entries.extend(write.entries);
    }
}

impl World {
    /// A fleet in which all targets are registered and all entry VMs have the view.
    pub(crate) fn new(seed: u64, vms: usize, targets: usize, demand: f64) -> World {
        World::with_warm_up(seed, (vms, targets), demand, None)
    }

    /// The same, of a service that may have a warm-up rate.
    pub(crate) fn with_warm_up(
        seed: u64,
        (vms, targets): (usize, usize),
        demand: f64,
        warm_up: Option<WarmUp>,
    ) -> World {
        let disk = Control::bootstrap_state(vec![member()]).unwrap();
        let target = TrueTarget {
            incarnation: 1,
            limit: None,
            limits: vec![(ms(0), None)],
            arrivals: Vec::new(),
            leaving: false,
            pause: None,
            up: true,
            cold_until: ms(0),
        };
        let mut world = World {
            now: ms(1000),
            random: StdRng::seed_from_u64(seed),
            targets: (0..targets)
                .map(|number| (format!("t{number}").into(), target.clone()))
                .collect(),
            demand: 0.0,
            skew: 0.0,
            warm_up,
            served: 0,
            refused: 0,
            cold_messages: 0,
            cut_off: BTreeSet::new(),
            unlinked: BTreeSet::new(),
            told_leaving: BTreeSet::new(),
            told_pause: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            leader: Some(start_control(disk.clone())),
            disk,
            entries: BTreeMap::new(),
            later: Vec::new(),
            next_entry: 0,
            next_request: 0,
            next_token: 0,
            sequence: 0,
        };
        world.step_leader(camphordale_fleet::Event::Tick);
        world.call(Call::Change(Box::new(routing(warm_up))));
        world.announce();
        for _ in 0..vms {
            world.start_entry();
        }
        world.run(ms(500));
        world.demand = demand;
        world
    }

    fn call(&mut self, call: Call) {
        self.next_token += 1;
        let token = self.next_token;
        self.step_leader(camphordale_fleet::Event::Call { token, call });
    }

    pub(crate) fn announce(&mut self) {
        self.sequence += 1;
        let now = self.now;
        let targets: Vec<_> = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_, (_, target))| target.up)
            .map(|(number, (id, target))| {
                let warm_up = target.cold_until.saturating_sub(now);
                (number, id.clone(), target.incarnation, warm_up)
            })
            .collect();
        for (number, id, incarnation, warm_up) in targets {
            let address: SocketAddr = format!("10.0.1.{}:80", number + 1).parse().unwrap();
            self.call(Call::Announce(Box::new(Announcement {
                id,
                incarnation,
                sequence: self.sequence,
                service: SERVICE.into(),
                address,
                domain: "a".into(),
                slots: 40,
                draining: false,
                warm_up: warm_up.as_millis() as u64,
                report: LeaseReport::default(),
            })));
        }
    }

    pub(crate) fn target(&mut self, id: &str) -> &mut TrueTarget {
        self.targets.get_mut(id).unwrap()
    }

    pub(crate) fn set_limit(&mut self, id: &str, limit: Option<RequestRate>) {
        let now = self.now;
        let target = self.targets.get_mut(id).unwrap();
        target.limit = limit;
        target.limits.push((now, limit));
    }

    /// Another process of the target starts. It knows nothing of what the former one stated.
    pub(crate) fn restart_target(&mut self, id: &str) {
        let target = self.targets.get_mut(id).unwrap();
        target.incarnation += 1;
        target.leaving = false;
        target.pause = None;
        self.set_limit(id, None);
        self.announce();
    }

    /// The process of the target ends; connections to it cannot be opened.
    pub(crate) fn crash_target(&mut self, id: &str) {
        self.target(id).up = false;
    }

    /// The next process of the target starts cold. It announces itself in the next round.
    pub(crate) fn come_back_cold(&mut self, id: &str) {
        let cold_until = self.now + self.warm_up.unwrap().time;
        let target = self.target(id);
        target.incarnation += 1;
        target.up = true;
        target.cold_until = cold_until;
    }

    /// The target turns cold, in the same process.
    pub(crate) fn turn_cold(&mut self, id: &str) {
        let cold_until = self.now + self.warm_up.unwrap().time;
        self.target(id).cold_until = cold_until;
    }

    /// The most requests that reached a target in any second between two times.
    pub(crate) fn most_in_a_second(&self, id: &str, from: Duration, until: Duration) -> usize {
        let arrivals = &self.targets[id].arrivals;
        let inside: Vec<_> = arrivals
            .iter()
            .filter(|at| (from..until).contains(at))
            .collect();
        let starts = inside.iter().enumerate();
        let counts = starts.map(|(index, start)| {
            let rest = inside[index..].iter();
            rest.take_while(|at| ***at < **start + ms(1000)).count()
        });
        counts.max().unwrap_or(0)
    }

    /// Requests that reached a target in each second between two times.
    pub(crate) fn rate_between(&self, id: &str, from: Duration, until: Duration) -> f64 {
        let arrivals = self.targets[id].arrivals.iter();
        let count = arrivals.filter(|at| (from..until).contains(at)).count();
        count as f64 / (until - from).as_secs_f64()
    }

    pub(crate) fn stop_leader(&mut self) {
        self.leader = None;
        for entry in self.entries.keys().copied().collect::<Vec<u64>>() {
            self.at(LINK_DELAY, Later::ToEntry(entry, Event::StreamClosed));
        }
    }

    pub(crate) fn start_leader(&mut self) {
        self.leader = Some(start_control(self.disk.clone()));
        self.step_leader(camphordale_fleet::Event::Tick);
        self.announce();
    }

    /// Cuts every second entry VM off from the leader.
    pub(crate) fn cut_off_half(&mut self) {
        self.cut_off = self
            .entries
            .keys()
            .copied()
            .filter(|n| n % 2 == 0)
            .collect();
    }

    /// Cuts every second entry VM off from the first target.
    pub(crate) fn unlink_half(&mut self) {
        self.unlinked = self
            .entries
            .keys()
            .copied()
            .filter(|n| n % 2 == 0)
            .collect();
    }

    /// Stops the oldest entry VM at once.
    pub(crate) fn stop_entry(&mut self) {
        if let Some((entry, _)) = self.entries.pop_first() {
            self.step_leader(camphordale_fleet::Event::StreamClosed(entry));
        }
    }

    pub(crate) fn start_entry(&mut self) {
        self.next_entry += 1;
        let entry = Entry::new(Config {
            entry_id: self.random.random(),
            domain: "a".into(),
            seeds: vec![member().peer],
            retry_ratio: 0.2,
            retry_extra: 50.0,
            drain_grace: ms(1000),
            evacuation_grace: ms(4000),
            admission: camphordale_entry::AdmissionRule::Capacity,
            warm_up: BOUNDS,
            link_rate: None,
            seed: self.random.random(),
        });
        self.entries.insert(self.next_entry, entry);
    }

    fn at(&mut self, delay: Duration, later: Later) {
        self.later.push((self.now + delay, later));
    }

    fn count_message(&mut self, message: &PeerMessage) {
        self.cold_messages += u64::from(matches!(message, PeerMessage::ColdTargets { .. }));
    }

    /// Entries of the leader's log so far.
    pub(crate) fn log_index(&self) -> u64 {
        self.disk.entries.last().map_or(0, |entry| entry.index)
    }

    fn step_leader(&mut self, event: camphordale_fleet::Event) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        for effect in leader.step(event, self.now) {
            match effect {
                camphordale_fleet::Effect::Persist(write) => store(&mut self.disk, write),
                camphordale_fleet::Effect::Stream { conn, message } => {
                    self.at(LINK_DELAY, Later::ToEntry(conn, Event::Stream(message)));
                }
                camphordale_fleet::Effect::Broadcast { conns, message } => {
                    self.count_message(&message);
                    for conn in conns {
                        let event = Event::Stream(message.clone());
                        self.at(LINK_DELAY, Later::ToEntry(conn, event));
                    }
                }
                camphordale_fleet::Effect::CloseStream(conn) => {
                    self.at(LINK_DELAY, Later::ToEntry(conn, Event::StreamClosed));
                }
                _ => {}
            }
        }
    }

    fn step_entry(&mut self, number: u64, event: Event) {
        let Some(entry) = self.entries.get_mut(&number) else {
            return;
        };
        for effect in entry.step(event, self.now) {
            match effect {
                Effect::Send {
                    attempt, target, ..
                } => {
                    let known = self.targets.get_mut(&target).unwrap();
                    let is_unlinked = &*target == "t0" && self.unlinked.contains(&number);
                    if !known.up || is_unlinked {
                        self.at(STEP, Later::Unreached(number, attempt));
                        continue;
                    }
                    known.arrivals.push(self.now);
                    let incarnation = known.incarnation;
                    self.check_arrival(&(number, target.clone(), incarnation));
                    let slowdown = match self.targets[&target].cold_until > self.now {
                        true => 2,
                        false => 1,
                    };
                    let delay = ms(slowdown * self.random.random_range(20..80));
                    self.at(delay, Later::Answer(number, attempt, target, incarnation));
                }
                Effect::Cancel(attempt) => {
                    self.cancelled.insert((number, attempt));
                }
                Effect::ForwardResponse { .. } => self.served += 1,
                Effect::Refuse { .. } => self.refused += 1,
                Effect::ControlStream(ControlStreamEffect::Send(message)) => {
                    self.count_message(&message);
                    self.at(LINK_DELAY, Later::ToLeader(number, message));
                }
                Effect::ControlStream(ControlStreamEffect::Close) => {
                    self.step_leader(camphordale_fleet::Event::StreamClosed(number));
                }
                Effect::ControlStream(ControlStreamEffect::Connect { .. })
                    if self.leader.is_none() =>
                {
                    self.at(LINK_DELAY, Later::ToEntry(number, Event::StreamClosed));
                }
                _ => {}
            }
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            let due: Vec<_> = self.later.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, later) in due {
                match later {
                    Later::ToLeader(number, _) | Later::ToEntry(number, Event::Stream(_))
                        if self.cut_off.contains(&number) => {}
                    Later::ToLeader(conn, message) => {
                        self.step_leader(camphordale_fleet::Event::Stream { conn, message });
                    }
                    Later::ToEntry(number, event) => self.step_entry(number, event),
                    Later::Answer(number, attempt, target, incarnation) => {
                        self.answer(number, attempt, &target, incarnation);
                    }
                    Later::Unreached(number, attempt) => {
                        let result = AttemptResult::Failed {
                            sent: false,
                            received: false,
                            closed: false,
                        };
                        let length = 0;
                        let event = Event::AttemptEnded {
                            attempt,
                            result,
                            length,
                        };
                        self.step_entry(number, event);
                    }
                }
            }
            self.send_requests();
            if now.as_millis().is_multiple_of(20) {
                self.step_leader(camphordale_fleet::Event::Tick);
                for number in self.entries.keys().copied().collect::<Vec<u64>>() {
                    self.step_entry(number, Event::Tick);
                }
            }
            if now.as_millis().is_multiple_of(1000) {
                self.announce();
            }
        }
    }

    /// No request reaches a target from an entry VM that it told otherwise.
    fn check_arrival(&self, told: &Told) {
        assert!(!self.told_leaving.contains(told), "{told:?} leaves");
        let pause = self.told_pause.get(told);
        assert!(
            pause.is_none_or(|until| self.now >= *until),
            "{told:?} wants nothing until {pause:?}, it is {:?}",
            self.now
        );
    }

    fn answer(&mut self, number: u64, attempt: AttemptId, target: &TargetId, incarnation: u64) {
        // A cancelled exchange is closed, so its response is never read.
        if self.cancelled.remove(&(number, attempt)) {
            return;
        }
        let known = &self.targets[target];
        let statement = TargetStatement {
            limit: known.limit,
            limit_known: true,
            leaving: known.leaving,
            pause: known.pause,
        };
        let has_ended = known.incarnation != incarnation;
        if !has_ended {
            let told = (number, target.clone(), incarnation);
            if statement.leaving {
                self.told_leaving.insert(told.clone());
            }
            if let Some(pause) = statement.pause {
                self.told_pause.insert(told, self.now + pause);
            }
            self.step_entry(number, Event::TargetStated { attempt, statement });
        }
        let load = None;
        let result = match statement.pause {
            _ if has_ended => AttemptResult::Failed {
                sent: true,
                received: false,
                closed: true,
            },
            Some(_) => AttemptResult::NotExecuted { status: 503, load },
            None => AttemptResult::Complete {
                status: 200,
                load,
                executed: true,
            },
        };
        let event = Event::AttemptEnded {
            attempt,
            result,
            length: 0,
        };
        self.step_entry(number, event);
    }

    fn send_requests(&mut self) {
        let expected = self.demand * STEP.as_secs_f64();
        let mut count = expected.floor() as u64;
        count += u64::from(self.random.random_bool(expected.fract()));
        let numbers: Vec<u64> = self.entries.keys().copied().collect();
        for _ in 0..count {
            let at = match self.random.random_bool(self.skew) {
                true => 0,
                false => self.random.random_range(0..numbers.len()),
            };
            self.next_request += 1;
            let request = IncomingRequest {
                handle: self.next_request,
                host: "a.example".into(),
                path: "/reads/x".into(),
                caller_timeout: Some(ms(1500)),
                key: None,
                fingerprint: u128::from(self.next_request),
            };
            self.step_entry(numbers[at], Event::Request(request));
        }
    }

    /// The largest excess of a target over one and a half times its limit and five requests, in any
    /// four seconds from `settled` on. The naive count over all arrivals.
    pub(crate) fn worst_excess(&self, settled: Duration) -> f64 {
        let mut worst = f64::MIN;
        for target in self.targets.values() {
            for (at, from) in target.arrivals.iter().enumerate() {
                if *from < settled {
                    continue;
                }
                let until = *from + ms(4000);
                let rest = &target.arrivals[at..];
                let count = rest.iter().take_while(|arrival| **arrival < until).count();
                let Some(allowed) = target.allowed(*from, until) else {
                    continue;
                };
                worst = worst.max(count as f64 - (1.5 * allowed + 5.0));
            }
        }
        worst
    }
}

impl TrueTarget {
    /// Requests that the limits in force allow between two times, or `None` if the target had no
    /// limit for a part of it. A lower limit counts from when all VMs can know it, a second later.
    fn allowed(&self, from: Duration, until: Duration) -> Option<f64> {
        let mut sum = 0.0;
        let mut at = from;
        while at < until {
            let since = at.saturating_sub(ms(1200));
            let last = self.limits.iter().rposition(|(begin, _)| *begin <= since);
            let recent = self.limits[last.unwrap_or(0)..].iter();
            let in_force = recent.take_while(|(begin, _)| *begin <= at);
            let mut highest = 0.0f64;
            for (_, limit) in in_force {
                highest = highest.max(f64::from((*limit)?));
            }
            sum += highest * STEP.as_secs_f64();
            at += STEP;
        }
        Some(sum)
    }
}
