//! A simulated domain with a log, leaders, entry VMs and targets, and a clock in milliseconds.
//!
//! Every process decides from local knowledge only. A VM uses its lease and its view. A target that
//! checks tokens uses its own lease and the tokens that it has seen; a target that does not check
//! tokens accepts every request.

// clippy.toml allows `unwrap` in test functions, but not in the helpers of an integration test.
#![allow(clippy::unwrap_used)]

mod checks;
mod faults;
mod group;
mod target;
mod vm;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use camphordale_domain::{
    Command,
    Effect,
    Event,
    HomedShard,
    Leader,
    LeaseConfig,
    Outcome,
    Phase,
    RecordKey,
    ShardEntry,
    ShardView,
    State,
    TargetView,
    View, //
};
use camphordale_types::{
    Digest,
    LoadReport,
    RequestId,
    Service,
    SessionId,
    ShardRef,
    Side,
    TargetId,
    TargetSpec,
    TargetState,
    Token,
    VmId, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use self::{
    checks::CheckState,
    group::Node,
    target::Process,
    vm::Vm, //
};
use crate::fixture::{
    SERVICE,
    SHARDS,
    service, //
};

pub(crate) const STALL_MS: u64 = 50;
pub(crate) const VM_LEASE_MS: u64 = 500;
pub(crate) const TARGET_LEASE_MS: u64 = 600;
pub(crate) const TICK_MS: u64 = 10;

/// A message in transit.
pub(crate) enum Message {
    /// A command proposed in an epoch, and the target process that registered with it, if any.
    Propose(u64, Command, Option<usize>),
    ToLeader(Event),
    GrantVm {
        vm: VmId,
        incarnation: u64,
        sent: u64,
        min_view: SessionId,
    },
    View(VmId, u64, View),
    Registered(usize, u64, TargetId),
    GrantTarget {
        target: TargetId,
        sent: u64,
    },
    RefuseTarget(TargetId),
    Write(usize, u64, Write),
    Response(VmId, u64, RequestId),
}

/// A request that a VM has checked and is writing to a target.
#[derive(Clone)]
pub(crate) struct Write {
    pub(crate) id: RequestId,
    pub(crate) vm: VmId,
    pub(crate) incarnation: u64,
    pub(crate) shard: ShardRef,
    pub(crate) token: Token,
    /// Time for which it runs at the target, at most until `end`.
    pub(crate) duration: u64,
    /// Latest time at which it may still run.
    pub(crate) end: u64,
}

pub(crate) struct World {
    pub(crate) seed: u64,
    pub(crate) trace_enabled: bool,
    pub(crate) random: StdRng,
    pub(crate) now: u64,
    /// State after all committed commands.
    pub(crate) committed_state: State,
    pub(crate) log: Vec<(u64, Command)>,
    /// State of a lagging replica, from which new leaders start.
    pub(crate) lagging_state: State,
    pub(crate) nodes: Vec<Node>,
    pub(crate) epoch: u64,
    pub(crate) messages: BTreeMap<(u64, u64), Message>,
    pub(crate) sequence: u64,
    pub(crate) vms: Vec<Vm>,
    pub(crate) processes: Vec<Process>,
    pub(crate) service: Service,
    pub(crate) version: u64,
    /// Version of the list of homes.
    pub(crate) homes_version: u64,
    pub(crate) homes: BTreeMap<u32, HomedShard>,
    /// Shards that another domain owns.
    pub(crate) foreign_shards: BTreeSet<u32>,
    /// Versions of homes and services that the group has applied.
    pub(crate) applied_versions: (u64, u64),
    pub(crate) sent_homes: Vec<Command>,
    /// Whether messages are lost and delayed, and processes fail.
    pub(crate) faults_enabled: bool,
    /// Whether requests are sent.
    pub(crate) requests_enabled: bool,
    pub(crate) checks: CheckState,
    /// Time since which each unserved shard has not been served.
    pub(crate) unserved_since: BTreeMap<u32, u64>,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let deadline = random.random_range(100..600);
        let recreated = random.random_bool(0.2);
        let state = State::new(100, recreated);
        let mut world = World {
            seed,
            trace_enabled: std::env::var_os("CAMPHORDALE_TRACE").is_some(),
            now: 1000,
            committed_state: state.clone(),
            log: Vec::new(),
            lagging_state: state,
            nodes: Vec::new(),
            epoch: 0,
            messages: BTreeMap::new(),
            sequence: 0,
            vms: (0..3).map(|vm| Vm::new(vm, 1)).collect(),
            processes: Vec::new(),
            service: service(deadline),
            version: 1,
            homes_version: 100,
            homes: BTreeMap::new(),
            foreign_shards: BTreeSet::new(),
            applied_versions: (0, 0),
            sent_homes: Vec::new(),
            faults_enabled: false,
            requests_enabled: true,
            checks: CheckState::new(recreated),
            unserved_since: BTreeMap::new(),
            random,
        };
        for at in 0..5 {
            let checks_tokens = world.random.random();
            world.processes.push(Process::new(at, checks_tokens));
        }
        for index in 0..SHARDS {
            let home = HomedShard {
                index,
                since: 90 + u64::from(index) * 2,
                moved: false,
                leaving: false,
            };
            world.homes.insert(index, home);
        }
        if recreated {
            world.add_predecessor_requests(deadline);
        }
        world.elect();
        world.set_services();
        world.set_homes();
        world
    }

    /// Adds requests of the predecessor group that run as long as its leases allow; its leader
    /// could grant leases until 150 ms after its last heartbeat round.
    fn add_predecessor_requests(&mut self, deadline: u64) {
        let vm_lease = self.now + 150 + VM_LEASE_MS;
        for index in 0..SHARDS {
            let at = self.random.random_range(0..self.processes.len());
            let process = &mut self.processes[at];
            process.lease_until = self.now + 150 + TARGET_LEASE_MS;
            let write = Write {
                id: u128::MAX,
                vm: 0,
                incarnation: 0,
                shard: ShardRef::new(SERVICE, index),
                token: Token::default(),
                duration: deadline,
                end: vm_lease + STALL_MS + deadline,
            };
            process.running.push((write.clone(), write.end));
        }
    }

    pub(crate) fn ms(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// Sends a message with a random delay; while faults are enabled, some messages are lost.
    pub(crate) fn send(&mut self, message: Message) {
        let delay = match self.random.random_range(0..100) {
            0..3 if self.faults_enabled => return,
            3..8 if self.faults_enabled => self.random.random_range(20..400),
            _ => self.random.random_range(0..15),
        };
        self.send_after(delay, message);
    }

    pub(crate) fn send_after(&mut self, delay: u64, message: Message) {
        self.sequence += 1;
        self.messages
            .insert((self.now + delay, self.sequence), message);
    }

    pub(crate) fn propose(&mut self, command: Command) {
        self.send(Message::Propose(self.epoch, command, None));
    }

    pub(crate) fn set_services(&mut self) {
        let command = Command::SetServices {
            version: self.version,
            services: vec![self.service.clone()],
        };
        self.propose(command);
    }

    /// Proposes the list of homes as a new version.
    pub(crate) fn set_homes(&mut self) {
        self.homes_version += 1;
        self.propose_homes();
    }

    /// Proposes the list of homes with its present version.
    pub(crate) fn propose_homes(&mut self) {
        let command = Command::SetHomes {
            service: SERVICE.into(),
            version: self.homes_version,
            shards: self.homes.values().cloned().collect(),
        };
        self.sent_homes.push(command.clone());
        self.propose(command);
    }

    /// Runs until `end`.
    pub(crate) fn run(&mut self, end: u64) {
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `end` and fails if a shard is not served for more than `limit` milliseconds.
    pub(crate) fn run_served(&mut self, end: u64, limit: u64) {
        while self.now < end {
            self.step();
            let unserved = self.unserved(limit);
            assert!(
                unserved.is_empty(),
                "seed {} at {}: shards not served for {limit} ms: {unserved:?}",
                self.seed,
                self.now
            );
        }
    }

    fn step(&mut self) {
        self.now += TICK_MS;
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            let message = entry.remove();
            self.deliver(message);
        }
        self.step_group();
        for at in 0..self.vms.len() {
            self.step_vm(at);
        }
        for at in 0..self.processes.len() {
            self.step_process(at);
        }
        if self.faults_enabled {
            self.inject_fault();
        }
        self.run_control_group();
        self.check();
    }

    fn vm(&mut self, id: VmId, incarnation: u64) -> Option<&mut Vm> {
        let mut vms = self.vms.iter_mut();
        vms.find(|vm| vm.id == id && vm.incarnation == incarnation)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Propose(epoch, command, from) => self.commit(epoch, command, from),
            Message::ToLeader(event) => self.deliver_to_leader(event),
            Message::GrantVm {
                vm,
                incarnation,
                sent,
                min_view,
            } => {
                if let Some(vm) = self.vm(vm, incarnation) {
                    vm.grant_lease(sent, min_view);
                }
            }
            Message::View(vm, incarnation, view) => {
                if let Some(vm) = self.vm(vm, incarnation) {
                    vm.apply_view(view);
                }
            }
            Message::Registered(at, incarnation, id) => {
                self.processes[at].registered(incarnation, id)
            }
            Message::GrantTarget { target, sent } => {
                for process in self.processes.iter_mut().filter(|p| p.id == Some(target)) {
                    process.grant_lease(sent);
                }
            }
            Message::RefuseTarget(target) => {
                for process in self.processes.iter_mut().filter(|p| p.id == Some(target)) {
                    process.id = None;
                }
            }
            Message::Write(at, incarnation, write) => {
                let process = &mut self.processes[at];
                if process.alive && process.incarnation == incarnation {
                    process.inbox.push(write);
                }
            }
            Message::Response(vm, incarnation, id) => {
                if let Some(vm) = self.vm(vm, incarnation) {
                    vm.in_flight.remove(&id);
                }
            }
        }
    }
}
