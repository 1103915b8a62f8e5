//! Random histories of partitions, crashes, pauses and changes of the control leader. Domains act
//! by a naive model of their own rules, as long as those rules allow it. No two domains may be
//! able to act for a shard, and no old group may be able to have a leader beside a new one.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use camphordale_control::{
    Command, Directory, DirectoryCache, DomainReport, Outcome, Planner, PlannerConfig,
    PlannerEvent, State, Versions,
};
use camphordale_types::{Bundle, Side};
use common::{first_bundle, following, operators, run_histories, seeds, signed, vm};
use rand::{Rng, SeedableRng, rngs::StdRng};

const NAMES: [&str; 3] = ["east", "north", "west"];
/// Length of a history and its part with faults, in milliseconds.
const LENGTH: u64 = 14_000;
const FAULTS: u64 = 11_000;
const VM_LEASE: u64 = 100;
const GROUP_SIZE: usize = 3;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn config() -> PlannerConfig {
    PlannerConfig {
        group_size: GROUP_SIZE,
        form_wait: ms(200),
        silence: ms(300),
        retry: ms(100),
        home_wait: ms(300),
        starved: ms(300),
        settle: ms(800),
        imbalance: 1.5,
        vm_lease: ms(VM_LEASE),
        margin: ms(50),
    }
}

type Run = (u32, u64);
type Shard = (Box<str>, u32);

/// The running process of one VM.
struct Process {
    run: Run,
    domain: usize,
    cache: DirectoryCache,
    sealed: BTreeSet<u64>,
    paused: u64,
    /// Part of the domain's network that it is in.
    part: u8,
    /// Whether it reaches the control group.
    outer: bool,
}

impl Process {
    fn term(&self) -> u64 {
        let group = self.cache.group(NAMES[self.domain]);
        group.map_or(0, |group| group.term)
    }
}

/// A domain group: what its voters replicate.
struct Group {
    voters: Vec<Run>,
    /// Shards homed here with their `since`, and whether they are parked.
    held: BTreeMap<Shard, (u64, bool)>,
    homes: u64,
    bundle: Option<Bundle>,
    /// When the last report was sent that was answered with a renewal, by the run that sent it. A
    /// renewal counts only for a leader that has the directory that came with it.
    renewed: BTreeMap<Run, u64>,
}

enum Message {
    Report {
        from: Run,
        sent: u64,
        domain: usize,
        report: DomainReport,
        versions: Versions,
    },
    Leaderless {
        from: Run,
        domain: usize,
        term: u64,
        sealed: bool,
        versions: Versions,
    },
    Reply {
        to: Run,
        domain: usize,
        term: u64,
        renews: Option<u64>,
        sealing: Option<u64>,
        directory: Directory,
    },
}

struct World {
    rng: StdRng,
    now: u64,
    state: State,
    index: u64,
    planner: Planner,
    leading: bool,
    /// Proposals that are not committed yet, in order.
    log: VecDeque<Command>,
    messages: Vec<(u64, Message)>,
    processes: BTreeMap<u32, Process>,
    groups: BTreeMap<(usize, u64), Group>,
    slots: [[u32; 2]; 3],
    /// Clock rate of each domain's leases.
    rates: [f64; 3],
    runs: u64,
    /// Until when requests of a domain may run for a shard.
    acting: BTreeMap<Shard, [u64; 3]>,
    moved: u64,
    reformed: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let rates = [0; 3].map(|_| rng.random_range(0.95..1.05));
        let mut world = World {
            rng,
            now: 1000,
            state: State::new(operators(1, &[1])),
            index: 0,
            planner: Planner::new(config()),
            leading: false,
            log: VecDeque::new(),
            messages: Vec::new(),
            processes: BTreeMap::new(),
            groups: BTreeMap::new(),
            slots: [[4, 4]; 3],
            rates,
            runs: 0,
            acting: BTreeMap::new(),
            moved: 0,
            reformed: 0,
        };
        (0..10).for_each(|number| world.start(number));
        world.submit();
        world
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn start(&mut self, number: u32) {
        self.runs += 1;
        let process = Process {
            run: (number, self.runs),
            domain: number as usize % 3,
            cache: DirectoryCache::new(0),
            sealed: BTreeSet::new(),
            paused: 0,
            part: 0,
            outer: true,
        };
        self.processes.insert(number, process);
    }

    /// An operator submits a bundle with other leases, deadlines, split and hot keys.
    fn submit(&mut self) {
        let mut bundle = match (self.state.bundle(), self.state.standing()) {
            (Some(old), Some((version, digest))) => following(old, version, Some(digest)),
            _ => first_bundle(operators(1, &[1])),
        };
        let service = &mut bundle.services[0];
        let rng = &mut self.rng;
        service.domain_lease =
            [Some(ms(1000)), Some(ms(1500)), None][[0, 0, 1, 1, 2][rng.random_range(0..5)]];
        service.deadline = ms([50, 400][rng.random_range(0..2)]);
        service.new_percent = [0, 50][rng.random_range(0..2)];
        service.hot_keys = (0..rng.random_range(0..3))
            .map(|i| format!("k{i}").into())
            .collect();
        let signed = signed(&bundle, &[1]);
        self.log.push_back(Command::SubmitBundle { signed, at: 0 });
    }

    fn commit(&mut self) {
        let Some(command) = self.log.pop_front() else {
            return;
        };
        self.index += 1;
        let homes = self.state.versions().homes;
        let outcome = self.state.apply(self.index, &command);
        if let Command::SetHomes { changes, .. } = &command {
            let moves = changes.iter().any(|change| change.now && change.expect > 0);
            self.moved += u64::from(moves && self.state.versions().homes > homes);
        }
        let Command::FormGroup {
            domain,
            members,
            replaces,
        } = command
        else {
            return;
        };
        if outcome != Outcome::Done {
            return;
        }
        self.reformed += u64::from(replaces > 0);
        let domain = NAMES
            .iter()
            .position(|name| **name == *domain)
            .expect("known");
        let group = Group {
            voters: members,
            held: BTreeMap::new(),
            homes: 0,
            bundle: None,
            renewed: BTreeMap::new(),
        };
        self.groups.insert((domain, self.index), group);
    }

    /// Tells whether a run can still vote in a term, now or after a pause or a partition.
    fn can_vote(&self, run: &Run, term: u64) -> bool {
        let process = self
            .processes
            .get(&run.0)
            .filter(|process| process.run == *run);
        process.is_some_and(|process| !process.sealed.contains(&term) && process.term() <= term)
    }

    /// Tells whether a run votes now. It takes part in a term only once its own directory names
    /// it, so that it has the bundle that stood when the group was formed.
    fn votes(&self, run: &Run, term: u64, part: u8) -> bool {
        let process = &self.processes.get(&run.0);
        let here =
            process.is_some_and(|p| p.part == part && p.paused <= self.now && p.term() == term);
        here && self.can_vote(run, term)
    }

    /// Returns the VM that leads a group and the part of the network it leads.
    fn leader(&self, domain: usize, term: u64) -> Option<(u32, u8)> {
        let group = self.groups.get(&(domain, term))?;
        (0..2).find_map(|part| {
            let mut voters = group
                .voters
                .iter()
                .filter(|run| self.votes(run, term, part));
            let first = voters.next()?;
            (voters.count() + 1 > group.voters.len() / 2).then_some((first.0, part))
        })
    }

    fn send(&mut self, message: Message) {
        // Most messages arrive soon, some are lost and some arrive very late.
        let delay = match self.rng.random_range(0..20) {
            0 => return,
            1 => self.rng.random_range(0..2500),
            _ => self.rng.random_range(0..40),
        };
        self.messages.push((self.now + delay, message));
    }

    fn reaches_control(&self, run: Run) -> bool {
        let process = self.processes.get(&run.0);
        process.is_some_and(|p| p.run == run && p.outer && p.paused <= self.now)
    }

    fn plan(&mut self, event: PlannerEvent) {
        let commands = self.planner.step(&self.state, event, ms(self.now));
        self.log.extend(commands);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<Message> = self
            .messages
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, m)| m)
            .collect();
        for message in due {
            match message {
                Message::Report {
                    from,
                    sent,
                    domain,
                    report,
                    versions,
                } if self.leading => {
                    let term = report.term;
                    self.plan(PlannerEvent::Report(report));
                    let renews = self.planner.renews(NAMES[domain]).then_some(sent);
                    self.reply(from, domain, term, renews, versions);
                }
                Message::Leaderless {
                    from,
                    domain,
                    term,
                    sealed,
                    versions,
                } if self.leading => {
                    let (vm, incarnation) = from;
                    self.plan(PlannerEvent::Leaderless {
                        vm,
                        incarnation,
                        domain: NAMES[domain].into(),
                        term,
                        sealed,
                    });
                    self.reply(from, domain, term, None, versions);
                }
                Message::Reply {
                    to,
                    domain,
                    term,
                    renews,
                    sealing,
                    directory,
                } if self.reaches_control(to) => {
                    let hasty = self.chance(0.02);
                    let led = self.leader(domain, term).is_some();
                    if let Some(group) = self.groups.get_mut(&(domain, term)) {
                        let renewed = group.renewed.entry(to).or_default();
                        *renewed = renews.map_or(*renewed, |sent| sent.max(*renewed));
                    }
                    if let Some(process) = self.processes.get_mut(&to.0) {
                        process.cache.take(directory);
                        process.sealed.extend(sealing.filter(|_| hasty || !led));
                    }
                }
                _ => {}
            }
        }
    }

    fn reply(
        &mut self,
        to: Run,
        domain: usize,
        term: u64,
        renews: Option<u64>,
        versions: Versions,
    ) {
        let sealing = self.planner.sealing(NAMES[domain]);
        let directory = self.state.directory(&versions);
        if self.reaches_control(to) {
            self.send(Message::Reply {
                to,
                domain,
                term,
                renews,
                sealing,
                directory,
            });
        }
    }

    /// Registrations, calls of VMs without a leader, and what VMs of a domain tell each other.
    fn run_processes(&mut self) {
        let numbers: Vec<u32> = self.processes.keys().copied().collect();
        for number in numbers {
            let process = &self.processes[&number];
            let (run, domain, part) = (process.run, process.domain, process.part);
            if process.paused > self.now {
                continue;
            }
            let versions = process.cache.versions();
            let term = process.term();
            let sealed = process.sealed.contains(&term);
            let near = self.processes.values().find(|other| {
                other.domain == domain
                    && other.part == part
                    && other.run != run
                    && other.paused <= self.now
            });
            let news = near.map(|near| near.cache.directory(&versions));
            let known = self
                .state
                .vm(number)
                .is_some_and(|info| info.incarnation == run.1);
            let led = self
                .leader(domain, term)
                .is_some_and(|(_, led)| led == part);
            if self.reaches_control(run) {
                if !known && self.leading && self.chance(0.3) {
                    self.log
                        .push_back(Command::RegisterVm(vm(number, run.1, NAMES[domain])));
                }
                if !led && self.chance(0.3) {
                    self.send(Message::Leaderless {
                        from: run,
                        domain,
                        term,
                        sealed,
                        versions,
                    });
                }
            }
            if let Some(news) = news.filter(|_| self.rng.random_bool(0.3)) {
                self.processes
                    .get_mut(&number)
                    .expect("running")
                    .cache
                    .take(news);
            }
        }
    }

    fn run_group(&mut self, domain: usize, term: u64, horizon: u64) {
        let Some((leader, part)) = self.leader(domain, term) else {
            return;
        };
        self.exchange_voter(domain, term, leader, part);
        let name = NAMES[domain];
        let park = self.chance(0.3);
        let report = self.chance(0.6);
        let process = &self.processes[&leader];
        let versions = process.cache.versions();
        let group = self.groups.get_mut(&(domain, term)).expect("formed");
        if process.cache.bundle().map(|b| b.version) > group.bundle.as_ref().map(|b| b.version) {
            group.bundle = process.cache.bundle().cloned();
        }
        if versions.homes >= group.homes {
            group.homes = versions.homes;
            let known: BTreeMap<Shard, (u64, bool)> = process
                .cache
                .all_homes()
                .iter()
                .flat_map(|(s, runs)| runs.iter().map(move |(i, home)| ((s.clone(), i), home)))
                .filter(|(_, home)| *home.domain == *name)
                .map(|(shard, home)| (shard, (home.since, home.next.is_some())))
                .collect();
            group.held.retain(|shard, _| known.contains_key(shard));
            for (shard, (since, leaving)) in known {
                let held = group.held.entry(shard.clone()).or_insert((since, false));
                if held.0 != since {
                    *held = (since, false);
                }
                if leaving && park && !held.1 {
                    held.1 = true;
                    self.acting.entry(shard).or_default()[domain] = self.now;
                }
            }
        }
        let lost = process.cache.lost().iter().any(|lost| **lost == *name);
        let Some(bundle) = group.bundle.as_ref().filter(|_| !lost) else {
            return;
        };
        for (shard, (_, parked)) in &group.held {
            let Some(service) = bundle.service(&shard.0).filter(|_| !parked) else {
                continue;
            };
            let end = match (service.domain_lease, group.renewed.get(&process.run)) {
                (None, _) => horizon,
                (Some(lease), Some(renewed)) => {
                    let length = lease.as_millis() as f64 / self.rates[domain];
                    horizon.min(renewed + length as u64)
                }
                (Some(_), None) => 0,
            };
            if end > self.now {
                let until = end + VM_LEASE + service.deadline.as_millis() as u64;
                let acting = &mut self.acting.entry(shard.clone()).or_default()[domain];
                *acting = until.max(*acting);
            }
        }
        let parked = group.held.iter().filter(|(_, (_, parked))| *parked);
        let report = report.then(|| DomainReport {
            domain: name.into(),
            term,
            bundle: bundle.version,
            parked: parked
                .map(|((s, i), (since, _))| (s.clone(), *i, *since))
                .collect(),
            capacity: [Side::Old, Side::New]
                .into_iter()
                .zip(self.slots[domain])
                .map(|(side, slots)| ("berths".into(), side, slots))
                .collect(),
        });
        let from = process.run;
        if let Some(report) = report.filter(|_| self.reaches_control(from)) {
            self.send(Message::Report {
                from,
                sent: self.now,
                domain,
                report,
                versions,
            });
        }
    }

    /// Adds a registered VM to the voters and removes one that cannot be reached, each step with
    /// a quorum of the voters after it.
    fn exchange_voter(&mut self, domain: usize, term: u64, leader: u32, part: u8) {
        if !self.chance(0.2) {
            return;
        }
        let reached = |run: &Run| self.votes(run, term, part);
        let mut voters = self.groups[&(domain, term)].voters.clone();
        let registered = |run: &Run| {
            let info = self.processes[&leader].cache.vm(run.0);
            info.is_some_and(|info| info.incarnation == run.1)
        };
        let quorum =
            |voters: &[Run]| voters.iter().filter(|run| reached(run)).count() > voters.len() / 2;
        let gone = voters.iter().position(|run| !reached(run));
        let runs = self
            .processes
            .values()
            .filter(|p| p.domain == domain)
            .map(|p| p.run);
        let mut free = runs.filter(|run| reached(run) && registered(run) && !voters.contains(run));
        if voters.len() >= GROUP_SIZE && gone.is_none() {
            return;
        }
        let Some(added) = free.next() else {
            return;
        };
        voters.push(added);
        if !quorum(&voters) {
            return;
        }
        if let Some(gone) = gone.filter(|_| voters.len() > GROUP_SIZE) {
            voters.remove(gone);
            if !quorum(&voters) {
                return;
            }
        }
        self.groups.get_mut(&(domain, term)).expect("formed").voters = voters;
    }

    fn faults(&mut self) {
        let number = self.rng.random_range(0..10);
        let domain = self.rng.random_range(0..3usize);
        let part = self.rng.random_range(0..2);
        let pause = self.now + self.rng.random_range(50..1500);
        match self.rng.random_range(0..160) {
            0..=3 => drop(self.processes.remove(&number)),
            4..=11 => self.start(number),
            12..=14 => self
                .processes
                .values_mut()
                .filter(|p| p.run.0 == number)
                .for_each(|p| p.paused = pause),
            15..=17 => self
                .processes
                .values_mut()
                .filter(|p| p.run.0 == number)
                .for_each(|p| p.part = part),
            18..=20 => self
                .processes
                .values_mut()
                .filter(|p| p.domain == domain)
                .for_each(|p| p.part = 0),
            21..=23 => self
                .processes
                .values_mut()
                .filter(|p| p.domain == domain)
                .for_each(|p| p.outer = false),
            24..=25 => self
                .processes
                .values_mut()
                .filter(|p| p.run.0 == number)
                .for_each(|p| p.outer = false),
            26..=30 => self
                .processes
                .values_mut()
                .filter(|p| p.domain == domain)
                .for_each(|p| p.outer = true),
            31..=32 => self.processes.retain(|_, p| p.domain != domain),
            33..=35 => self.slots[domain] = [0, 0].map(|_| [0, 4, 12][self.rng.random_range(0..3)]),
            36..=38 => self.change_leader(),
            39..=40 => self.submit(),
            41 if !self.processes.contains_key(&number) => {
                self.log.push_back(Command::RemoveVm {
                    vm: number,
                    by: "a".into(),
                    at: 0,
                });
            }
            42..=44 if self.processes.values().all(|p| p.domain != domain) => {
                self.log.push_back(Command::DeclareLost {
                    domain: NAMES[domain].into(),
                    by: "a".into(),
                    at: 0,
                });
            }
            45..=46 => self.log.push_back(Command::ReturnDomain {
                domain: NAMES[domain].into(),
                by: "a".into(),
                at: 0,
            }),
            _ => {}
        }
    }

    /// A new control leader takes over; of the old one's proposals, the first ones survive.
    fn change_leader(&mut self) {
        if self.leading {
            self.plan(PlannerEvent::Deposed);
            let survive = self.rng.random_range(0..=self.log.len());
            self.log.truncate(survive);
        } else {
            (0..self.log.len()).for_each(|_| self.commit());
            self.planner = Planner::new(config());
            self.plan(PlannerEvent::Elected);
        }
        self.leading = !self.leading;
    }

    fn check(&self) {
        for ((domain, term), group) in &self.groups {
            let newer = self
                .groups
                .range((*domain, term + 1)..(domain + 1, 0))
                .next();
            let votes = group
                .voters
                .iter()
                .filter(|run| self.can_vote(run, *term))
                .count();
            assert!(
                newer.is_none() || votes <= group.voters.len() / 2,
                "at {} domain {domain} has term {term} and a newer one",
                self.now
            );
        }
        for (shard, until) in &self.acting {
            let acting = until.iter().filter(|until| **until > self.now).count();
            assert!(
                acting <= 1,
                "at {} several domains act for {shard:?}: {until:?}",
                self.now
            );
        }
    }

    fn step(&mut self) {
        let length = self.rng.random_range(5..40);
        if self.now < FAULTS {
            self.faults();
        }
        if !self.leading && self.chance(0.1) {
            self.change_leader();
        }
        self.deliver();
        self.run_processes();
        if self.leading {
            self.plan(PlannerEvent::Tick);
            while self.chance(0.6) {
                self.commit();
            }
        }
        let groups: Vec<(usize, u64)> = self.groups.keys().copied().collect();
        for (domain, term) in groups {
            self.run_group(domain, term, self.now + length);
        }
        self.check();
        self.now += length;
    }
}

/// Domains that are declared lost stay so; everything else heals.
fn heal(world: &mut World) {
    (0..10)
        .filter(|number| !world.processes.contains_key(number))
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|number| world.start(number));
    for process in world.processes.values_mut() {
        (process.part, process.outer, process.paused) = (0, true, 0);
    }
    world.slots = [[4, 4]; 3];
}

#[test]
fn partitions_never_allow_two_owners_or_two_groups() {
    let [moved, reformed, served, shards] = [const { AtomicU64::new(0) }; 4];
    run_histories(seeds(150), |seed| {
        let mut world = World::new(seed);
        while world.now < FAULTS {
            world.step();
        }
        heal(&mut world);
        while world.now < LENGTH {
            world.step();
        }
        let acting = world
            .acting
            .values()
            .filter(|until| until.iter().any(|at| *at > world.now));
        moved.fetch_add(world.moved, Ordering::Relaxed);
        reformed.fetch_add(world.reformed, Ordering::Relaxed);
        served.fetch_add(acting.count() as u64, Ordering::Relaxed);
        shards.fetch_add(8, Ordering::Relaxed);
    });
    let [moved, reformed, served, shards] =
        [moved, reformed, served, shards].map(AtomicU64::into_inner);
    println!(
        "{moved} moves, {reformed} groups replaced, {served} of {shards} shards served at the end"
    );
    // The histories must reach what they are about.
    assert!(moved > 0 && reformed > 0 && served * 2 > shards);
}
