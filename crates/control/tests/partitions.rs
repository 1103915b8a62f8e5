//! Random histories of partitions, crashes, pauses and changes of the control leader. Domains act
//! by a naive model of their own rules, as long as those rules allow it. No two domains may be
//! able to act for a shard, and no old group may be able to have a leader beside a new one.

mod common;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

use camphordale_control::{
    Command,
    Directory,
    DirectoryCache,
    DomainReport,
    Outcome,
    Planner,
    PlannerConfig,
    PlannerEvent,
    State,
    Versions, //
};
use camphordale_types::{
    Bundle,
    Side, //
};
use common::{
    lost,
    next_bundle,
    operators,
    returned,
    run_histories,
    seeds,
    submission,
    vm, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

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
        report_timeout: ms(300),
        retry_interval: ms(100),
        home_delay: ms(300),
        starvation_timeout: ms(300),
        rebalance_delay: ms(800),
        imbalance_ratio: 1.5,
        vm_lease: ms(VM_LEASE),
        safety_margin: ms(50),
    }
}

type Run = (u32, u64);

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
#[derive(Default)]
struct Group {
    voters: Vec<Run>,
    /// Shards homed here with their `since`, and whether they are parked.
    held: BTreeMap<u32, (u64, bool)>,
    homes: u64,
    bundle: Option<Bundle>,
    /// When the last report was sent that was answered with a renewal, by the run that sent it. A
    /// renewal counts only for a leader that has the directory that came with it.
    renewed: BTreeMap<Run, u64>,
}

enum Message {
    /// A report or a call of a VM without a leader, to the control leader.
    Up(Call, PlannerEvent, Versions),
    /// The answer; `sealing` and whether it renews the domain lease.
    Down(Call, Option<u64>, bool, Directory),
}

/// Who calls from which group, and when the call was sent.
#[derive(Clone, Copy)]
struct Call {
    run: Run,
    domain: usize,
    term: u64,
    sent: u64,
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
    /// Processes started so far.
    runs: u64,
    /// Until when requests of a domain may run for a shard.
    acting: BTreeMap<u32, [u64; 3]>,
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
        let mut bundle = next_bundle(&self.state);
        let service = &mut bundle.services[0];
        let rng = &mut self.rng;
        service.domain_lease =
            [Some(ms(1000)), Some(ms(1500)), None][[0, 0, 1, 1, 2][rng.random_range(0..5)]];
        service.deadline = ms([50, 400][rng.random_range(0..2)]);
        service.new_percent = [0, 50][rng.random_range(0..2)];
        service.hot_keys = (0..rng.random_range(0..3))
            .map(|i| format!("k{i}").into())
            .collect();
        self.log.push_back(submission(&bundle, 1));
    }

    fn commit(&mut self) {
        let Some(command) = self.log.pop_front() else {
            return;
        };
        self.index += 1;
        let homes = self.state.versions().homes;
        let outcome = self.state.apply(self.index, &command);
        if let Command::SetHomes { changes, .. } = &command {
            let moves = changes
                .iter()
                .any(|change| change.immediate && change.expected_since > 0);
            self.moved += u64::from(moves && self.state.versions().homes > homes);
        }
        if let Command::FormGroup {
            domain,
            members,
            replaces,
        } = command
            && outcome == Outcome::Done
        {
            self.reformed += u64::from(replaces > 0);
            let domain = NAMES.iter().position(|name| **name == *domain);
            let group = Group {
                voters: members,
                ..Group::default()
            };
            self.groups
                .insert((domain.expect("known"), self.index), group);
        }
    }

    /// Returns whether a run can still vote in a term, now or after a pause or a partition.
    fn can_vote(&self, run: &Run, term: u64) -> bool {
        let process = self.processes.get(&run.0).filter(|p| p.run == *run);
        process.is_some_and(|p| !p.sealed.contains(&term) && p.term() <= term)
    }

    /// Returns whether a run votes now. It takes part in a term only once its own directory names
    /// it, so that it has the bundle that stood when the group was formed.
    fn votes(&self, run: &Run, term: u64, part: u8) -> bool {
        let process = &self.processes.get(&run.0);
        let here =
            process.is_some_and(|p| p.part == part && p.paused <= self.now && p.term() == term);
        here && self.can_vote(run, term)
    }

    /// Returns the VM that leads a group and the part of the network it leads.
    fn leader(&self, id: (usize, u64)) -> Option<(u32, u8)> {
        let voters = &self.groups.get(&id)?.voters;
        (0..2).find_map(|part| {
            let mut here = voters.iter().filter(|run| self.votes(run, id.1, part));
            let first = here.next()?;
            (2 * (here.count() + 1) > voters.len()).then_some((first.0, part))
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

    /// Returns whether a run and the control leader reach each other.
    fn reaches(&self, run: Run) -> bool {
        let process = self.processes.get(&run.0);
        process.is_some_and(|p| p.run == run && p.outer && p.paused <= self.now)
    }

    fn process(&mut self, number: u32) -> &mut Process {
        self.processes.get_mut(&number).expect("running")
    }

    fn plan(&mut self, event: PlannerEvent) {
        let commands = self.planner.step(&self.state, event, ms(self.now));
        self.log.extend(commands);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.messages.extract_if(.., |(at, _)| *at <= now);
        for (_, message) in due.collect::<Vec<_>>() {
            match message {
                Message::Up(call, event, versions) if self.leading => {
                    let report = matches!(event, PlannerEvent::Report(_));
                    self.plan(event);
                    let name = NAMES[call.domain];
                    let renews = report && self.planner.renews_lease(name);
                    let directory = self.state.directory(&versions);
                    let sealing = self.planner.term_to_seal(name);
                    self.send(Message::Down(call, sealing, renews, directory));
                }
                Message::Down(call, sealing, renews, directory) if self.reaches(call.run) => {
                    let hasty = self.chance(0.02);
                    let group = (call.domain, call.term);
                    let seals = hasty || self.leader(group).is_none();
                    if let Some(group) = self.groups.get_mut(&group).filter(|_| renews) {
                        let renewed = group.renewed.entry(call.run).or_default();
                        *renewed = call.sent.max(*renewed);
                    }
                    let process = self.process(call.run.0);
                    process.cache.merge(directory);
                    process.sealed.extend(sealing.filter(|_| seals));
                }
                _ => {}
            }
        }
    }

    /// Registrations, calls of VMs without a leader, and what VMs of a domain tell each other.
    fn run_process(&mut self, number: u32) {
        let process = &self.processes[&number];
        let (run, domain, part) = (process.run, process.domain, process.part);
        if process.paused > self.now {
            return;
        }
        let versions = process.cache.versions();
        let term = process.term();
        let sealed = process.sealed.contains(&term);
        let near = |p: &&Process| (p.domain, p.part) == (domain, part) && p.paused <= self.now;
        let mut near = self.processes.values().filter(near);
        let news = near
            .find(|p| p.run != run)
            .map(|p| p.cache.directory(&versions));
        let known = self
            .state
            .vm(number)
            .is_some_and(|info| info.incarnation == run.1);
        let led = self
            .leader((domain, term))
            .is_some_and(|(_, led)| led == part);
        let up = self.reaches(run);
        if up && !known && self.leading && self.chance(0.3) {
            self.log
                .push_back(Command::RegisterVm(vm(number, run.1, NAMES[domain])));
        }
        if up && !led && self.chance(0.3) {
            let event = PlannerEvent::Leaderless {
                vm: number,
                incarnation: run.1,
                domain: NAMES[domain].into(),
                term,
                sealed,
            };
            let sent = self.now;
            self.send(Message::Up(
                Call {
                    run,
                    domain,
                    term,
                    sent,
                },
                event,
                versions,
            ));
        }
        if let Some(news) = news.filter(|_| self.rng.random_bool(0.3)) {
            self.process(number).cache.merge(news);
        }
    }

    fn run_group(&mut self, id: (usize, u64), horizon: u64) {
        let Some((leader, part)) = self.leader(id) else {
            return;
        };
        self.exchange_voter(id, leader, part);
        let (domain, term) = id;
        let name = NAMES[domain];
        let (park, report) = (self.chance(0.3), self.chance(0.6));
        let process = &self.processes[&leader];
        let versions = process.cache.versions();
        let group = self.groups.get_mut(&id).expect("formed");
        let version = |bundle: Option<&Bundle>| bundle.map(|bundle| bundle.version);
        if version(process.cache.bundle()) > version(group.bundle.as_ref()) {
            group.bundle = process.cache.bundle().cloned();
        }
        if versions.homes >= group.homes {
            group.homes = versions.homes;
            let old = std::mem::take(&mut group.held);
            let homes = process.cache.homes("berths").into_iter();
            for (shard, home) in homes.flat_map(|homes| homes.iter()) {
                if *home.domain != *name {
                    continue;
                }
                let parked = old.get(&shard) == Some(&(home.since, true));
                let parks = park && home.next.is_some() && !parked;
                if parks {
                    self.acting.entry(shard).or_default()[domain] = self.now;
                }
                group.held.insert(shard, (home.since, parked || parks));
            }
        }
        let lost = process.cache.lost().iter().any(|lost| **lost == *name);
        let Some(bundle) = group.bundle.as_ref().filter(|_| !lost) else {
            return;
        };
        let service = &bundle.services[0];
        let renewed = group.renewed.get(&process.run);
        let end = match (service.domain_lease, renewed) {
            (None, _) => horizon,
            (Some(lease), Some(renewed)) => {
                let length = lease.as_millis() as f64 / self.rates[domain];
                horizon.min(renewed + length as u64)
            }
            (Some(_), None) => 0,
        };
        for (shard, _) in group.held.iter().filter(|(_, (_, parked))| !parked) {
            if end > self.now {
                let until = end + VM_LEASE + service.deadline.as_millis() as u64;
                let acting = &mut self.acting.entry(*shard).or_default()[domain];
                *acting = until.max(*acting);
            }
        }
        let parked = group.held.iter().filter(|(_, (_, parked))| *parked);
        let sides = [Side::Old, Side::New].into_iter().zip(self.slots[domain]);
        let event = PlannerEvent::Report(DomainReport {
            domain: name.into(),
            term,
            bundle: bundle.version,
            parked: parked
                .map(|(shard, (since, _))| ("berths".into(), *shard, *since))
                .collect(),
            capacity: sides
                .map(|(side, slots)| ("berths".into(), side, slots))
                .collect(),
        });
        let (run, sent) = (process.run, self.now);
        if report && self.reaches(run) {
            self.send(Message::Up(
                Call {
                    run,
                    domain,
                    term,
                    sent,
                },
                event,
                versions,
            ));
        }
    }

    /// Adds a registered VM to the voters and removes one that cannot be reached, each step with
    /// a quorum of the voters after it.
    fn exchange_voter(&mut self, id: (usize, u64), leader: u32, part: u8) {
        let mut voters = self.groups[&id].voters.clone();
        let reached = |run: &Run| self.votes(run, id.1, part);
        let quorum =
            |voters: &[Run]| 2 * voters.iter().filter(|run| reached(run)).count() > voters.len();
        let gone = voters.iter().position(|run| !reached(run));
        if voters.len() >= GROUP_SIZE && gone.is_none() {
            return;
        }
        let known = &self.processes[&leader].cache;
        let mut free = self.processes.values().filter(|p| {
            let registered = known
                .vm(p.run.0)
                .is_some_and(|info| info.incarnation == p.run.1);
            p.domain == id.0 && registered && reached(&p.run) && !voters.contains(&p.run)
        });
        let Some(added) = free.next().map(|p| p.run) else {
            return;
        };
        voters.push(added);
        let mut possible = quorum(&voters);
        if let Some(gone) = gone.filter(|_| voters.len() > GROUP_SIZE) {
            voters.remove(gone);
            possible &= quorum(&voters);
        }
        if possible && self.chance(0.2) {
            self.groups.get_mut(&id).expect("formed").voters = voters;
        }
    }

    fn faults(&mut self) {
        let number = self.rng.random_range(0..10);
        let domain = self.rng.random_range(0..3usize);
        let part = self.rng.random_range(0..2);
        let pause = self.now + self.rng.random_range(50..1500);
        let whole = self.chance(0.4);
        let kind = self.rng.random_range(0..160);
        let name = NAMES[domain];
        for process in self.processes.values_mut() {
            let hit = process.run.0 == number || (whole && process.domain == domain);
            match kind {
                0..=2 if hit => process.paused = pause,
                3..=8 if hit => process.part = part,
                9..=13 if hit => process.outer = false,
                14..=18 if hit => process.outer = true,
                _ => {}
            }
        }
        let empty = self
            .processes
            .values()
            .all(|process| process.domain != domain);
        match kind {
            19..=22 => drop(self.processes.remove(&number)),
            23..=24 => self.processes.retain(|_, process| process.domain != domain),
            25..=32 => self.start(number),
            33..=35 => self.slots[domain] = [0, 0].map(|_| [0, 4, 12][self.rng.random_range(0..3)]),
            36..=38 => self.change_leader(),
            39..=40 => self.submit(),
            41 if !self.processes.contains_key(&number) => {
                let by = "op-1".into();
                self.log.push_back(Command::RemoveVm {
                    vm: number,
                    by,
                    at: 0,
                });
            }
            42..=44 if empty => self.log.push_back(lost(name)),
            45..=46 => self.log.push_back(returned(name)),
            _ => {}
        }
    }

    /// A new control leader takes over; of the old one's proposals, the first ones survive.
    fn change_leader(&mut self) {
        if self.leading {
            self.plan(PlannerEvent::SteppedDown);
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
        let now = self.now;
        for ((domain, term), group) in &self.groups {
            let mut newer = self.groups.range((*domain, term + 1)..(domain + 1, 0));
            let votes = group.voters.iter().filter(|run| self.can_vote(run, *term));
            let possible = 2 * votes.count() > group.voters.len();
            assert!(
                !possible || newer.next().is_none(),
                "at {now} {domain}: {term} is not the only group"
            );
        }
        for (shard, until) in &self.acting {
            let acting = until.iter().filter(|until| **until > now).count();
            assert!(
                acting <= 1,
                "at {now} several domains act for shard {shard}: {until:?}"
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
        let numbers: Vec<u32> = self.processes.keys().copied().collect();
        numbers
            .into_iter()
            .for_each(|number| self.run_process(number));
        if self.leading {
            self.plan(PlannerEvent::Tick);
            while self.chance(0.6) {
                self.commit();
            }
        }
        let groups: Vec<(usize, u64)> = self.groups.keys().copied().collect();
        groups
            .into_iter()
            .for_each(|id| self.run_group(id, self.now + length));
        self.check();
        self.now += length;
    }
}

/// Domains that are declared lost stay so; everything else heals.
fn heal(world: &mut World) {
    for number in 0..10 {
        if !world.processes.contains_key(&number) {
            world.start(number);
        }
        let process = world.process(number);
        (process.part, process.outer, process.paused) = (0, true, 0);
    }
    world.slots = [[4, 4]; 3];
}

#[test]
fn partitions_never_allow_two_owners_or_two_groups() {
    let [moved, reformed, served, shards] = [const { AtomicU64::new(0) }; 4];
    run_histories(seeds(300), |seed| {
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
