//! Entry VMs of three failure domains with their targets, in simulated time: what the decisions of
//! all VMs together do to the targets.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc,
    time::Duration,
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
    LoadReport,
    RequestHandle, //
};
use camphordale_fleet::{
    Command, ConfigResource, EntryCounts, KeyDelivery, PeerMessage, RetryPolicy, Route, Routing,
    Service, Target, TargetId, TargetState, View, WeightedService,
    load_summary::{
        LoadMerger,
        SUMMARY_INTERVAL, //
    },
    service_demand::DemandMerger,
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

const SERVICE: &str = "s";
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const VMS_PER_DOMAIN: usize = 15;
/// Slots of a target, and its queue beyond them.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Mean work of a request.
const WORK: Duration = Duration::from_millis(250);
const OBJECTIVE: Duration = Duration::from_millis(1000);
const STEP: Duration = Duration::from_millis(1);

fn item<Spec>(spec: Spec) -> ConfigResource<Spec> {
    ConfigResource {
        spec,
        document: "{}".into(),
    }
}

/// A route with short and one with large bodies, to the same plain service.
fn routing() -> Routing {
    let mut routing = Routing {
        version: 1,
        ..Routing::default()
    };
    let service = Service {
        health_path: "/health".into(),
        max_connections: 893,
        keys: KeyDelivery::Unkeyed,
        warm_up: Duration::from_secs(3),
        cold: None,
    };
    routing.services.insert(SERVICE.into(), item(service));
    for (name, large_bodies) in [("short", false), ("large", true)] {
        let route = Route {
            host: "a.example".into(),
            path_prefix: format!("/{name}/").into(),
            retry_policy: RetryPolicy::AtMostOnce,
            large_bodies,
            timeout: Duration::from_secs(3),
            latency_objective: OBJECTIVE,
            priority: 1,
            max_attempts: 1,
            split: vec![WeightedService {
                service: SERVICE.into(),
                weight: 1.0,
            }],
        };
        routing.routes.insert(name.into(), item(route));
    }
    routing
}

fn zone_of(domain: &str) -> usize {
    let zone = DOMAINS.iter().position(|other| **other == *domain);
    zone.unwrap()
}

#[derive(Default)]
struct Backend {
    /// End, VM and attempt of each running request.
    running: Vec<(Duration, usize, AttemptId)>,
    queued: VecDeque<(usize, AttemptId)>,
}

/// What became of the requests of a domain's callers.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u32,
    left: u32,
    left_large: u32,
    refused: u32,
    late: u32,
}

impl Counts {
    fn left(self) -> f64 {
        f64::from(self.left) / f64::from(self.sent.max(1))
    }

    fn on_time(self) -> f64 {
        1.0 - f64::from(self.refused + self.late) / f64::from(self.sent.max(1))
    }
}

struct World {
    view: View,
    entries: Vec<Entry>,
    backends: BTreeMap<TargetId, Backend>,
    loads: LoadMerger,
    demand: DemandMerger,
    /// Whether the leader sends summaries.
    shares: bool,
    random: StdRng,
    now: Duration,
    next: RequestHandle,
    arrived: BTreeMap<RequestHandle, Duration>,
    counts: [Counts; 3],
    /// Speeds that the targets of each domain have in turn.
    speeds: [f64; 3],
    /// A domain that the others cannot reach, and attempts at its targets.
    cut: Option<usize>,
    unreached: u32,
    /// Sums of requests at the targets of each domain, and the number of samples.
    occupied: [f64; 3],
    samples: f64,
}

impl World {
    /// Domains with these numbers of targets.
    fn new(targets: [usize; 3], shares: bool) -> World {
        let mut view = View {
            index: 1,
            routing: Some(Arc::new(routing())),
            ..View::default()
        };
        for (domain, count) in DOMAINS.into_iter().zip(targets) {
            for number in 0..count {
                let zone = domain.as_bytes()[0];
                let target = Target {
                    incarnation: 1,
                    service: SERVICE.into(),
                    address: format!("10.0.{zone}.{}:80", number + 1).parse().unwrap(),
                    domain: domain.into(),
                    slots: SLOTS as u32,
                    state: TargetState::Ready,
                };
                view.targets
                    .insert(format!("{domain}-{number}").into(), target);
            }
        }
        let entries = (0..DOMAINS.len() * VMS_PER_DOMAIN).map(|number| {
            Entry::new(Config {
                entry_id: number as u64 + 1,
                domain: DOMAINS[number / VMS_PER_DOMAIN].into(),
                seeds: Vec::new(),
                retry_ratio: 0.1,
                retry_extra: 10.0,
                drain_grace: Duration::from_secs(1),
                evacuation_grace: Duration::from_secs(4),
                admission: camphordale_entry::AdmissionRule::Capacity,
                warm_up: camphordale_fleet::WarmUpBounds::default(),
                link_rate: None,
                seed: number as u64,
            })
        });
        let backends = view
            .targets
            .keys()
            .map(|id| (id.clone(), Backend::default()));
        let mut world = World {
            entries: entries.collect(),
            backends: backends.collect(),
            view: view.clone(),
            loads: LoadMerger::default(),
            demand: DemandMerger::default(),
            shares,
            random: StdRng::seed_from_u64(11),
            now: Duration::from_secs(1),
            next: 0,
            arrived: BTreeMap::new(),
            counts: [Counts::default(); 3],
            speeds: [1.0; 3],
            cut: None,
            unreached: 0,
            occupied: [0.0; 3],
            samples: 0.0,
        };
        for vm in 0..world.entries.len() {
            world.step(
                vm,
                Event::Stream(PeerMessage::Snapshot(Box::new(view.clone()))),
            );
        }
        world
    }

    fn step(&mut self, vm: usize, event: Event) {
        let zone = vm / VMS_PER_DOMAIN;
        let mut rejected = Vec::new();
        for effect in self.entries[vm].step(event, self.now) {
            match effect {
                Effect::Send {
                    attempt,
                    request,
                    target,
                    ..
                } => {
                    let of_target = zone_of(&self.view.targets[&target].domain);
                    if self.cut == Some(of_target) && of_target != zone {
                        self.unreached += 1;
                        rejected.push(Event::AttemptEnded {
                            attempt,
                            result: AttemptResult::Failed {
                                sent: false,
                                received: false,
                                closed: false,
                            },
                            length: 0,
                        });
                        continue;
                    }
                    if of_target != zone {
                        self.counts[zone].left += 1;
                        self.counts[zone].left_large += u32::from(request % 2 == 1);
                    }
                    let backend = self.backends.get_mut(&target).unwrap();
                    if backend.queued.len() < QUEUE {
                        backend.queued.push_back((vm, attempt));
                        continue;
                    }
                    let load = Some(LoadReport {
                        running: SLOTS as u32,
                        queued: QUEUE as u32,
                        slots: SLOTS as u32,
                        slowdown: camphordale_entry::Slowdown::default(),
                    });
                    let result = AttemptResult::NotExecuted { status: 503, load };
                    rejected.push(Event::AttemptEnded {
                        attempt,
                        result,
                        length: 0,
                    });
                }
                Effect::ForwardResponse { request, .. } => {
                    let took = self.now - self.arrived.remove(&request).unwrap();
                    self.counts[zone].late += u32::from(took > OBJECTIVE);
                }
                Effect::Refuse { request, .. } => {
                    self.arrived.remove(&request);
                    self.counts[zone].refused += 1;
                }
                Effect::ControlStream(ControlStreamEffect::Send(message)) => {
                    self.on_message(vm, message);
                }
                _ => {}
            }
        }
        for event in rejected {
            self.step(vm, event);
        }
    }

    fn on_message(&mut self, vm: usize, message: PeerMessage) {
        match message {
            PeerMessage::Ping { sent, .. } => {
                let entries = EntryCounts {
                    all: self.entries.len() as u32,
                    domain: VMS_PER_DOMAIN as u32,
                };
                self.step(vm, Event::Stream(PeerMessage::Pong { sent, entries }));
            }
            PeerMessage::TargetLoads {
                loads,
                covered_ms,
                demand,
                work,
                unreachable,
            } => {
                let domain = DOMAINS[vm / VMS_PER_DOMAIN].into();
                let covered = Duration::from_millis(u64::from(covered_ms));
                self.loads.record(&loads, self.now);
                self.loads.record_unreachable(&unreachable, self.now);
                self.demand
                    .record((vm as u64, &domain), (&demand, covered), &work, self.now);
            }
            _ => {}
        }
    }

    /// Lets time pass with these requests per second from the callers of each domain, of which
    /// `large` have large bodies.
    fn run(&mut self, time: Duration, rates: [f64; 3], large: f64) -> [Counts; 3] {
        self.counts = [Counts::default(); 3];
        (self.occupied, self.samples) = ([0.0; 3], 0.0);
        self.unreached = 0;
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for (zone, rate) in rates.into_iter().enumerate() {
                if self.random.random::<f64>() < rate * STEP.as_secs_f64() {
                    self.request(zone, large);
                }
            }
            self.serve();
            let millis = self.now.as_millis() as usize;
            for vm in 0..self.entries.len() {
                let is_cut = self.cut == Some(vm / VMS_PER_DOMAIN);
                if !is_cut && (millis + vm).is_multiple_of(20) {
                    self.step(vm, Event::Tick);
                }
            }
            if self.shares && millis.is_multiple_of(SUMMARY_INTERVAL.as_millis() as usize) {
                let loads = self.loads.take_changes(self.now);
                let demand = self.demand.summarize(&self.view, &self.loads, self.now);
                let message = PeerMessage::LoadSummary { loads, demand };
                for vm in 0..self.entries.len() {
                    self.step(vm, Event::Stream(message.clone()));
                }
            }
        }
        self.counts
    }

    fn request(&mut self, zone: usize, large: f64) {
        let vm = zone * VMS_PER_DOMAIN + self.random.random_range(0..VMS_PER_DOMAIN);
        let is_large = self.random.random::<f64>() < large;
        // The last bit of a handle tells the length of the body.
        self.next += 2;
        let handle = self.next + u64::from(is_large);
        self.arrived.insert(handle, self.now);
        self.counts[zone].sent += 1;
        let path = if is_large { "/large/x" } else { "/short/x" };
        let request = IncomingRequest {
            handle,
            host: "a.example".into(),
            path: path.into(),
            caller_timeout: Some(Duration::from_secs(3)),
            key: None,
            fingerprint: u128::from(handle),
        };
        self.step(vm, Event::Request(request));
    }

    /// Lets the targets work.
    fn serve(&mut self) {
        let mut ended = Vec::new();
        for (id, backend) in &mut self.backends {
            let now = self.now;
            let done = backend.running.extract_if(.., |(end, ..)| *end <= now);
            let done: Vec<_> = done.collect();
            while backend.running.len() < SLOTS
                && let Some((vm, attempt)) = backend.queued.pop_front()
            {
                let number: usize = id[2..].parse().unwrap();
                let speed = self.speeds[number % 3];
                let work = WORK.mul_f64(self.random.random_range(0.4..1.6) / speed);
                backend.running.push((now + work, vm, attempt));
            }
            let load = LoadReport {
                running: backend.running.len() as u32,
                queued: backend.queued.len() as u32,
                slots: SLOTS as u32,
                slowdown: camphordale_entry::Slowdown::default(),
            };
            let domain = &self.view.targets[id].domain;
            let zone = DOMAINS
                .iter()
                .position(|other| **other == **domain)
                .unwrap();
            self.occupied[zone] += (load.running + load.queued) as f64;
            ended.extend(done.into_iter().map(|(_, vm, attempt)| (vm, attempt, load)));
        }
        self.samples += 1.0;
        for (vm, attempt, load) in ended {
            let result = AttemptResult::Complete {
                status: 200,
                load: Some(load),
                executed: true,
            };
            let length = 0;
            self.step(
                vm,
                Event::AttemptEnded {
                    attempt,
                    result,
                    length,
                },
            );
        }
    }

    /// Makes the targets of a domain drain.
    fn drain(&mut self, domain: &str) {
        let mut drained = Vec::new();
        for (id, target) in &mut self.view.targets {
            if *target.domain == *domain {
                target.state = TargetState::Draining;
                drained.push((id.clone(), target.clone()));
            }
        }
        for (id, target) in drained {
            self.view.index += 1;
            for vm in 0..self.entries.len() {
                let (id, target) = (id.clone(), target.clone());
                let message = PeerMessage::Update {
                    index: self.view.index,
                    command: Box::new(Command::Announce { id, target }),
                };
                self.step(vm, Event::Stream(message));
            }
        }
    }

    /// Mean requests at the targets of each domain, in relation to their slots.
    fn utilization(&self, targets: [usize; 3]) -> [f64; 3] {
        std::array::from_fn(|zone| {
            self.occupied[zone] / self.samples / (targets[zone] * SLOTS) as f64
        })
    }
}

const SECOND: Duration = Duration::from_secs(1);

/// Results of ten seconds after five seconds of the same load, of which 30 % have large bodies.
fn settled(targets: [usize; 3], rates: [f64; 3], shares: bool) -> (World, [Counts; 3]) {
    let mut world = World::new(targets, shares);
    world.run(SECOND * 5, rates, 0.3);
    let counts = world.run(SECOND * 10, rates, 0.3);
    println!("{:.2?} {counts:?}", world.utilization(targets));
    (world, counts)
}

/// One domain has targets for two thirds of its callers: its neighbours take the excess and serve all
/// requests in time, and no large body leaves. By the rule of constants a quarter of those that leave
/// are large, and the domain's own targets have long queues.
#[test]
fn the_excess_of_a_domain_leaves_it() {
    let (targets, rates) = ([5, 14, 13], [180.0, 130.0, 110.0]);
    let (world, counts) = settled(targets, rates, true);
    // 24 of 45 slots of demand stay.
    assert!((0.4..=0.55).contains(&counts[0].left()), "{counts:?}");
    assert_eq!(counts[0].left_large, 0);
    assert_eq!((counts[1].left, counts[2].left), (0, 0));
    assert!(counts.iter().all(|c| c.on_time() >= 0.99), "{counts:?}");
    let utilization = world.utilization(targets);
    assert!(utilization.iter().all(|u| *u <= 1.2), "{utilization:?}");
    let (alone, _) = settled(targets, rates, false);
    assert!(alone.utilization(targets)[0] >= 2.0);
}

/// All domains are short of targets: requests do not move in circles, and more of them are served in
/// time than by the rule of constants, by which a third of all requests leave every domain.
#[test]
fn requests_stay_if_all_domains_are_short() {
    let (targets, rates) = ([11, 11, 10], [280.0, 280.0, 250.0]);
    let (_, counts) = settled(targets, rates, true);
    let (_, alone) = settled(targets, rates, false);
    for (counts, alone) in counts.into_iter().zip(alone) {
        assert!(counts.left() <= 0.02, "{counts:?}");
        assert!(alone.left() >= 0.2, "{alone:?}");
        assert!(counts.on_time() >= alone.on_time(), "{counts:?} {alone:?}");
    }
}

/// A threefold burst of one domain: its excess leaves within about a second, and its requests stay
/// again a second after the end of the burst.
#[test]
fn requests_leave_during_a_burst_only() {
    let mut world = World::new([11, 11, 10], true);
    let (calm, burst) = ([100.0, 100.0, 90.0], [300.0, 100.0, 90.0]);
    let before = world.run(SECOND * 8, calm, 0.3);
    let first = world.run(SECOND, burst, 0.3);
    let during = world.run(SECOND * 4, burst, 0.3);
    world.run(SECOND * 2, calm, 0.3);
    let after = world.run(SECOND * 3, calm, 0.3);
    let left = [before, first, during, after].map(|counts| counts[0].left());
    println!("{left:.3?}");
    assert!(left[0] <= 0.02 && left[3] <= 0.02, "{left:?}");
    // 22 of 75 slots of demand are beyond 0.8.
    assert!((0.2..=0.4).contains(&left[2]), "{left:?}");
    assert!(during.iter().all(|c| c.on_time() >= 0.97), "{during:?}");
}

/// Waves of 55 % over 13 s, at another time in each domain.
#[test]
fn waves_are_served_in_time() {
    let mut world = World::new([11, 11, 10], true);
    let mut total = [Counts::default(); 3];
    for tenth in 0..260 {
        let rates = std::array::from_fn(|zone| {
            let phase = f64::from(tenth) / 130.0 + zone as f64 / 3.0;
            160.0 * (1.0 + 0.55 * (phase * std::f64::consts::TAU).sin())
        });
        let counts = world.run(SECOND / 10, rates, 0.3);
        for (total, counts) in total.iter_mut().zip(counts) {
            total.sent += counts.sent;
            total.left += counts.left;
            total.left_large += counts.left_large;
            total.refused += counts.refused;
            total.late += counts.late;
        }
    }
    println!("{total:?}");
    for counts in total {
        assert!(counts.on_time() >= 0.99, "{counts:?}");
        assert!(
            counts.left() <= 0.15 && counts.left_large == 0,
            "{counts:?}"
        );
    }
}

/// High load on targets of uneven speed. Guards against VMs that know the same loads and therefore all
/// send to the same target: more responses were late than by the rule of constants, where each VM
/// knows other loads.
#[test]
fn vms_that_know_the_same_loads_choose_different_targets() {
    let late = [true, false].map(|shares| {
        let mut world = World::new([11, 11, 10], shares);
        world.speeds = [0.7, 0.7, 1.6];
        world.run(SECOND * 5, [240.0, 240.0, 220.0], 0.3);
        let counts = world.run(SECOND * 10, [240.0, 240.0, 220.0], 0.3);
        counts
            .iter()
            .map(|counts| counts.late + counts.refused)
            .sum::<u32>()
    });
    println!("{late:?} late of 7000");
    assert!(late[0] <= late[1].max(150), "{late:?}");
}

/// Evacuation: the targets of a domain get nothing more, and its callers are served elsewhere at once.
#[test]
fn an_evacuated_domain_is_served_elsewhere() {
    let mut world = World::new([11, 11, 10], true);
    let rates = [100.0, 100.0, 90.0];
    world.run(SECOND * 3, rates, 0.3);
    world.drain("a");
    let counts = world.run(SECOND * 5, rates, 0.3);
    println!("{counts:?}");
    assert_eq!(counts[0].left, counts[0].sent);
    assert!(counts.iter().all(|c| c.on_time() >= 0.98), "{counts:?}");
}

/// Cut: the targets of a domain are registered and out of reach. Its neighbour, which is short of
/// targets, sends its excess to the third domain instead.
#[test]
fn nothing_is_planned_for_a_domain_out_of_reach() {
    let mut world = World::new([5, 14, 13], true);
    world.run(SECOND * 3, [140.0, 100.0, 100.0], 0.3);
    world.cut = Some(1);
    world.run(SECOND * 2, [140.0, 0.0, 100.0], 0.3);
    let counts = world.run(SECOND * 5, [140.0, 0.0, 100.0], 0.3);
    println!("{counts:?} {} failed", world.unreached);
    assert!(counts[0].on_time() >= 0.98, "{counts:?}");
    assert!((0.2..=0.45).contains(&counts[0].left()), "{counts:?}");
    // Probes of 14 targets, by all VMs together every 3 s.
    assert!(world.unreached <= 150, "{}", world.unreached);
}
