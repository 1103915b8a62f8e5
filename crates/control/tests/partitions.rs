//! Random histories of partitions, crashes, pauses and changes of the control leader. Domains
//! are simulated by a simple model and serve their shards for as long as the lease rules allow. No
//! two domains may be able to serve a shard, and no old group may be able to elect a leader after
//! its replacement was formed.

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
    declare_lost,
    next_bundle,
    operators,
    return_domain,
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
/// Length of a history, and time until which faults occur, in milliseconds.
const HISTORY_MS: u64 = 14_000;
const FAULTS_MS: u64 = 11_000;
const VM_LEASE_MS: u64 = 100;
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
        vm_lease: ms(VM_LEASE_MS),
        safety_margin: ms(50),
    }
}

/// VM number and incarnation.
type Member = (u32, u64);

/// The running process of one VM.
struct Process {
    member: Member,
    domain: usize,
    cache: DirectoryCache,
    sealed: BTreeSet<u64>,
    paused_until: u64,
    /// Network partition of the domain to which it belongs.
    partition: u8,
    /// Whether it is connected to the control group.
    connected: bool,
}

impl Process {
    fn term(&self) -> u64 {
        let group = self.cache.group(NAMES[self.domain]);
        group.map_or(0, |group| group.term)
    }
}

/// A domain group, with the state that its voters replicate.
#[derive(Default)]
struct Group {
    voters: Vec<Member>,
    /// Shards whose home is this domain, with their `since` and whether they are parked.
    shards: BTreeMap<u32, (u64, bool)>,
    /// Version of the shard homes that the group has applied.
    homes_version: u64,
    bundle: Option<Bundle>,
    /// When each member sent its last report that renewed the domain lease. A renewal is valid only
    /// for a leader that has the directory that came with it.
    renewed: BTreeMap<Member, u64>,
}

enum Message {
    /// A report, or a message of a VM without a leader, to the control leader.
    Request(Call, PlannerEvent, Versions),
    /// The reply, with the term to seal and whether the domain lease is renewed.
    Reply(Call, Option<u64>, bool, Directory),
}

/// Sender of a call with its group, and the time of sending.
#[derive(Clone, Copy)]
struct Call {
    member: Member,
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
    leader_active: bool,
    /// Uncommitted proposals, in order.
    log: VecDeque<Command>,
    messages: Vec<(u64, Message)>,
    processes: BTreeMap<u32, Process>,
    groups: BTreeMap<(usize, u64), Group>,
    slots: [[u32; 2]; 3],
    /// Clock rate by which each domain measures its leases.
    clock_rates: [f64; 3],
    /// Number of processes started so far.
    started: u64,
    /// Until when requests may run for a shard, by domain.
    serving_until: BTreeMap<u32, [u64; 3]>,
    moved: u64,
    recreated: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let clock_rates = [0; 3].map(|_| rng.random_range(0.95..1.05));
        let mut world = World {
            rng,
            now: 1000,
            state: State::new(operators(1, &[1])),
            index: 0,
            planner: Planner::new(config()),
            leader_active: false,
            log: VecDeque::new(),
            messages: Vec::new(),
            processes: BTreeMap::new(),
            groups: BTreeMap::new(),
            slots: [[4, 4]; 3],
            clock_rates,
            started: 0,
            serving_until: BTreeMap::new(),
            moved: 0,
            recreated: 0,
        };
        (0..10).for_each(|number| world.start(number));
        world.submit();
        world
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn start(&mut self, number: u32) {
        self.started += 1;
        let process = Process {
            member: (number, self.started),
            domain: number as usize % 3,
            cache: DirectoryCache::new(0),
            sealed: BTreeSet::new(),
            paused_until: 0,
            partition: 0,
            connected: true,
        };
        self.processes.insert(number, process);
    }

    /// Submits a bundle with random domain lease, deadline, percentage of the new system and hot
    /// keys.
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
            self.recreated += u64::from(replaces > 0);
            let domain = NAMES.iter().position(|name| **name == *domain);
            let group = Group {
                voters: members,
                ..Group::default()
            };
            self.groups
                .insert((domain.expect("known"), self.index), group);
        }
    }

    /// Returns whether a member can still vote in a term, now or after a pause or a partition.
    fn can_vote(&self, member: &Member, term: u64) -> bool {
        let process = self
            .processes
            .get(&member.0)
            .filter(|p| p.member == *member);
        process.is_some_and(|p| !p.sealed.contains(&term) && p.term() <= term)
    }

    /// Returns whether a member votes now. It takes part in a term only once its own directory
    /// contains the group, so that it has the bundle that was the latest when the group was formed.
    fn votes(&self, member: &Member, term: u64, partition: u8) -> bool {
        let process = &self.processes.get(&member.0);
        let active = process.is_some_and(|p| {
            p.partition == partition && p.paused_until <= self.now && p.term() == term
        });
        active && self.can_vote(member, term)
    }

    /// Returns the VM that leads a group, and its network partition.
    fn leader(&self, id: (usize, u64)) -> Option<(u32, u8)> {
        let voters = &self.groups.get(&id)?.voters;
        (0..2).find_map(|partition| {
            let mut active = voters
                .iter()
                .filter(|voter| self.votes(voter, id.1, partition));
            let first = active.next()?;
            (2 * (active.count() + 1) > voters.len()).then_some((first.0, partition))
        })
    }

    fn send(&mut self, message: Message) {
        // Most messages arrive quickly, some are lost, and some are delayed for a long time.
        let delay = match self.rng.random_range(0..20) {
            0 => return,
            1 => self.rng.random_range(0..2500),
            _ => self.rng.random_range(0..40),
        };
        self.messages.push((self.now + delay, message));
    }

    /// Returns whether a member and the control leader can reach each other.
    fn reaches(&self, member: Member) -> bool {
        let process = self.processes.get(&member.0);
        process.is_some_and(|p| p.member == member && p.connected && p.paused_until <= self.now)
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
                Message::Request(call, event, versions) if self.leader_active => {
                    let report = matches!(event, PlannerEvent::Report(_));
                    self.plan(event);
                    let name = NAMES[call.domain];
                    let renews = report && self.planner.renews_lease(name);
                    let directory = self.state.directory(&versions);
                    let sealing_term = self.planner.sealing_term(name);
                    self.send(Message::Reply(call, sealing_term, renews, directory));
                }
                Message::Reply(call, sealing_term, renews, directory)
                    if self.reaches(call.member) =>
                {
                    let seals_despite_leader = self.chance(0.02);
                    let group = (call.domain, call.term);
                    let seals = seals_despite_leader || self.leader(group).is_none();
                    if let Some(group) = self.groups.get_mut(&group).filter(|_| renews) {
                        let renewed = group.renewed.entry(call.member).or_default();
                        *renewed = call.sent.max(*renewed);
                    }
                    let process = self.process(call.member.0);
                    process.cache.merge(directory);
                    process.sealed.extend(sealing_term.filter(|_| seals));
                }
                _ => {}
            }
        }
    }

    /// Registers the VM, reports a missing leader, and merges the directory of another VM of the
    /// domain.
    fn run_process(&mut self, number: u32) {
        let process = &self.processes[&number];
        let (member, domain, partition) = (process.member, process.domain, process.partition);
        if process.paused_until > self.now {
            return;
        }
        let versions = process.cache.versions();
        let term = process.term();
        let sealed = process.sealed.contains(&term);
        let reachable = |p: &&Process| {
            (p.domain, p.partition) == (domain, partition) && p.paused_until <= self.now
        };
        let mut reachable = self.processes.values().filter(reachable);
        let directory = reachable
            .find(|p| p.member != member)
            .map(|p| p.cache.directory(&versions));
        let registered = self
            .state
            .vm(number)
            .is_some_and(|info| info.incarnation == member.1);
        let has_leader = self
            .leader((domain, term))
            .is_some_and(|(_, led)| led == partition);
        let connected = self.reaches(member);
        if connected && !registered && self.leader_active && self.chance(0.3) {
            self.log
                .push_back(Command::RegisterVm(vm(number, member.1, NAMES[domain])));
        }
        if connected && !has_leader && self.chance(0.3) {
            let event = PlannerEvent::Leaderless {
                vm: number,
                incarnation: member.1,
                domain: NAMES[domain].into(),
                term,
                sealed,
            };
            let sent = self.now;
            self.send(Message::Request(
                Call {
                    member,
                    domain,
                    term,
                    sent,
                },
                event,
                versions,
            ));
        }
        if let Some(directory) = directory.filter(|_| self.rng.random_bool(0.3)) {
            self.process(number).cache.merge(directory);
        }
    }

    fn run_group(&mut self, id: (usize, u64), horizon: u64) {
        let Some((leader, partition)) = self.leader(id) else {
            return;
        };
        self.replace_voter(id, leader, partition);
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
        if versions.homes >= group.homes_version {
            group.homes_version = versions.homes;
            let old = std::mem::take(&mut group.shards);
            let homes = process.cache.homes("berths").into_iter();
            for (shard, home) in homes.flat_map(|homes| homes.iter()) {
                if *home.domain != *name {
                    continue;
                }
                let parked = old.get(&shard) == Some(&(home.since, true));
                let parks = park && home.next.is_some() && !parked;
                if parks {
                    self.serving_until.entry(shard).or_default()[domain] = self.now;
                }
                group.shards.insert(shard, (home.since, parked || parks));
            }
        }
        let lost = process.cache.lost().iter().any(|lost| **lost == *name);
        let Some(bundle) = group.bundle.as_ref().filter(|_| !lost) else {
            return;
        };
        let service = &bundle.services[0];
        let renewed = group.renewed.get(&process.member);
        let end = match (service.domain_lease, renewed) {
            (None, _) => horizon,
            (Some(lease), Some(renewed)) => {
                let length = lease.as_millis() as f64 / self.clock_rates[domain];
                horizon.min(renewed + length as u64)
            }
            (Some(_), None) => 0,
        };
        for (shard, _) in group.shards.iter().filter(|(_, (_, parked))| !parked) {
            if end > self.now {
                let until = end + VM_LEASE_MS + service.deadline.as_millis() as u64;
                let serving_until = &mut self.serving_until.entry(*shard).or_default()[domain];
                *serving_until = until.max(*serving_until);
            }
        }
        let parked = group.shards.iter().filter(|(_, (_, parked))| *parked);
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
        let (member, sent) = (process.member, self.now);
        if report && self.reaches(member) {
            self.send(Message::Request(
                Call {
                    member,
                    domain,
                    term,
                    sent,
                },
                event,
                versions,
            ));
        }
    }

    /// Adds a registered VM to the voters and removes an unreachable one. Each step needs a quorum
    /// of the voters after it.
    fn replace_voter(&mut self, id: (usize, u64), leader: u32, partition: u8) {
        let mut voters = self.groups[&id].voters.clone();
        let reachable = |member: &Member| self.votes(member, id.1, partition);
        let quorum = |voters: &[Member]| {
            2 * voters.iter().filter(|voter| reachable(voter)).count() > voters.len()
        };
        let failed = voters.iter().position(|voter| !reachable(voter));
        if voters.len() >= GROUP_SIZE && failed.is_none() {
            return;
        }
        let known = &self.processes[&leader].cache;
        let mut candidates = self.processes.values().filter(|p| {
            let registered = known
                .vm(p.member.0)
                .is_some_and(|info| info.incarnation == p.member.1);
            p.domain == id.0 && registered && reachable(&p.member) && !voters.contains(&p.member)
        });
        let Some(added) = candidates.next().map(|p| p.member) else {
            return;
        };
        voters.push(added);
        let mut possible = quorum(&voters);
        if let Some(failed) = failed.filter(|_| voters.len() > GROUP_SIZE) {
            voters.remove(failed);
            possible &= quorum(&voters);
        }
        if possible && self.chance(0.2) {
            self.groups.get_mut(&id).expect("formed").voters = voters;
        }
    }

    fn faults(&mut self) {
        let number = self.rng.random_range(0..10);
        let domain = self.rng.random_range(0..3usize);
        let partition = self.rng.random_range(0..2);
        let paused_until = self.now + self.rng.random_range(50..1500);
        let whole_domain = self.chance(0.4);
        let kind = self.rng.random_range(0..160);
        let name = NAMES[domain];
        for process in self.processes.values_mut() {
            let affected = process.member.0 == number || (whole_domain && process.domain == domain);
            match kind {
                0..=2 if affected => process.paused_until = paused_until,
                3..=8 if affected => process.partition = partition,
                9..=13 if affected => process.connected = false,
                14..=18 if affected => process.connected = true,
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
            42..=44 if empty => self.log.push_back(declare_lost(name)),
            45..=46 => self.log.push_back(return_domain(name)),
            _ => {}
        }
    }

    /// The control leader steps down, keeping a prefix of its proposals, or a new leader is
    /// elected.
    fn change_leader(&mut self) {
        if self.leader_active {
            self.plan(PlannerEvent::SteppedDown);
            let survive = self.rng.random_range(0..=self.log.len());
            self.log.truncate(survive);
        } else {
            (0..self.log.len()).for_each(|_| self.commit());
            self.planner = Planner::new(config());
            self.plan(PlannerEvent::Elected);
        }
        self.leader_active = !self.leader_active;
    }

    fn check(&self) {
        let now = self.now;
        for ((domain, term), group) in &self.groups {
            let mut newer = self.groups.range((*domain, term + 1)..(domain + 1, 0));
            let votes = group
                .voters
                .iter()
                .filter(|voter| self.can_vote(voter, *term));
            let possible = 2 * votes.count() > group.voters.len();
            assert!(
                !possible || newer.next().is_none(),
                "at {now} ms, domain {domain}: replaced group {term} could still have a quorum"
            );
        }
        for (shard, until) in &self.serving_until {
            let serving = until.iter().filter(|until| **until > now).count();
            assert!(
                serving <= 1,
                "at {now} ms, several domains can serve shard {shard}: {until:?}"
            );
        }
    }

    fn step(&mut self) {
        let length = self.rng.random_range(5..40);
        if self.now < FAULTS_MS {
            self.faults();
        }
        if !self.leader_active && self.chance(0.1) {
            self.change_leader();
        }
        self.deliver();
        let numbers: Vec<u32> = self.processes.keys().copied().collect();
        numbers
            .into_iter()
            .for_each(|number| self.run_process(number));
        if self.leader_active {
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

/// Ends all faults except declared losses of domains.
fn heal(world: &mut World) {
    for number in 0..10 {
        if !world.processes.contains_key(&number) {
            world.start(number);
        }
        let process = world.process(number);
        (process.partition, process.connected, process.paused_until) = (0, true, 0);
    }
    world.slots = [[4, 4]; 3];
}

#[test]
fn at_most_one_domain_serves_a_shard_and_one_group_has_a_quorum() {
    let [moved, recreated, served, shards] = [const { AtomicU64::new(0) }; 4];
    run_histories(seeds(300), |seed| {
        let mut world = World::new(seed);
        while world.now < FAULTS_MS {
            world.step();
        }
        heal(&mut world);
        while world.now < HISTORY_MS {
            world.step();
        }
        let serving = world
            .serving_until
            .values()
            .filter(|until| until.iter().any(|at| *at > world.now));
        moved.fetch_add(world.moved, Ordering::Relaxed);
        recreated.fetch_add(world.recreated, Ordering::Relaxed);
        served.fetch_add(serving.count() as u64, Ordering::Relaxed);
        shards.fetch_add(8, Ordering::Relaxed);
    });
    let [moved, recreated, served, shards] =
        [moved, recreated, served, shards].map(AtomicU64::into_inner);
    println!(
        "{moved} moves, {recreated} groups replaced, {served} of {shards} shards served at the end"
    );
    // The histories must contain moves and replaced groups, and most shards must be served at the
    // end.
    assert!(moved > 0 && recreated > 0 && served * 2 > shards);
}
