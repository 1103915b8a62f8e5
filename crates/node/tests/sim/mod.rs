//! A few VMs with a simulated clock and a switch that loses, delays and cuts messages.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration,
};

use camphordale_bundle::{
    SignedBundle,
    SigningKey, //
};
use camphordale_control::{
    PlannerConfig,
    State as ControlState, //
};
use camphordale_domain::{
    LeaseConfig,
    State as DomainState, //
};
use camphordale_node::{
    Call,
    CallId,
    Cast,
    ControlCall,
    ControlConfig,
    ControlEvent,
    ControlNode,
    Datagram,
    EntryConfig,
    EntryEvent,
    EntryNode,
    Reply,
    member_id, //
};
use camphordale_raft::{
    Config as RaftConfig,
    Members,
    RecoveredState,
    Snapshot, //
};
use camphordale_types::{
    MemberId,
    Operator,
    Operators,
    VmId,
    VmInfo, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

mod cluster;
mod lease_state;
mod network;
mod targets;

pub use lease_state::Holder;
pub use targets::SimTarget;

/// Resolution of the clock, in microseconds.
const STEP: u64 = 1_000;
/// Time between ticks of the entry node, in steps.
const ENTRY_TICK: u64 = 10;
/// Time between ticks of the control role, in steps.
const CONTROL_TICK: u64 = 20;
/// Time between requests of a voter with a new identity to join, in steps.
const JOIN_EVERY: u64 = 1_000;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What a VM is.
#[derive(Clone, Debug)]
pub struct Setup {
    pub vm: VmId,
    pub domain: &'static str,
    pub entry: bool,
    /// Whether it is a control voter, with a disk.
    pub control: bool,
}

/// A VM; its process may be down.
pub struct Vm {
    pub setup: Setup,
    pub run: Option<Run>,
    pub paused: bool,
    inbox: Vec<Packet>,
    pub member: MemberId,
    pub disk: RecoveredState,
    pub saved: Option<SignedBundle>,
    /// Highest bundle version that was ever in force here.
    pub acted: u64,
    runs: u64,
}

/// One run of a VM's process.
pub struct Run {
    pub entry: EntryNode,
    pub control: Option<ControlNode>,
    pub incarnation: u64,
    started: u64,
    /// Speed of its clock in parts per 10,000.
    rate: u64,
    pub holder: Holder,
    /// Term that each of its members of the domain group promised to leave.
    pub sealed: BTreeMap<MemberId, u64>,
    next: CallId,
    /// Calls that it was asked to answer.
    asked: BTreeMap<CallId, Asker>,
}

#[derive(Clone, Copy, Debug)]
enum Asker {
    /// A VM's run under its own id.
    Vm(VmId, u64, CallId),
    /// This VM's own entry node.
    Own(CallId),
    /// The test, under this number.
    Test(u64),
    Nobody,
}

#[derive(Clone, Debug)]
enum Content {
    Cast(Cast),
    Datagram(Datagram),
    Call(u64, CallId, Call),
    Return(u64, CallId, Result<Reply, bool>),
}

#[derive(Clone, Debug)]
struct Packet {
    from: VmId,
    to: VmId,
    content: Content,
}

/// Which messages a cut stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    All,
    Calls,
    Replies,
}

/// The VMs and the switch between them.
pub struct Sim {
    /// In steps.
    pub now: u64,
    pub rng: StdRng,
    pub vms: BTreeMap<VmId, Vm>,
    pub targets: Vec<SimTarget>,
    queue: BTreeMap<(u64, u64), Packet>,
    sequence: u64,
    /// One-way cuts.
    pub cuts: BTreeSet<(VmId, VmId, Kind)>,
    /// Share of lost datagrams and casts, in percent.
    pub loss: u32,
    /// Longest delay of a message in steps.
    pub delay: u64,
    key: SigningKey,
    /// Answers to the test's calls, with the VM that answered.
    pub answers: BTreeMap<u64, Reply>,
    asks: u64,
    /// Leases granted to other VMs: when, by whom, to whom.
    pub grants: Vec<(u64, VmId, VmId)>,
    /// Bundles put in force: VM and version.
    pub in_force: Vec<(VmId, u64)>,
    /// The newest state that a member of each domain's group applied.
    newest: BTreeMap<&'static str, DomainState>,
}

/// Returns VMs 1..=`count` of one domain, of which the first `voters` are control voters.
pub fn one_domain(count: u32, voters: u32) -> Vec<Setup> {
    (1..=count)
        .map(|vm| Setup {
            vm,
            domain: "north",
            entry: true,
            control: vm <= voters,
        })
        .collect()
}

impl Sim {
    pub fn new(seed: u64, setups: Vec<Setup>) -> Sim {
        println!("seed {seed}");
        let voters: BTreeSet<MemberId> = setups
            .iter()
            .filter(|setup| setup.control)
            .map(|setup| member_id(setup.vm, 0))
            .collect();
        let founding = RecoveredState {
            snapshot: Some(Snapshot {
                members: Members {
                    voters,
                    ..Members::default()
                },
                ..Snapshot::default()
            }),
            ..RecoveredState::default()
        };
        let vms = setups
            .into_iter()
            .map(|setup| {
                let vm = Vm {
                    run: None,
                    paused: false,
                    inbox: Vec::new(),
                    member: member_id(setup.vm, 0),
                    disk: founding.clone(),
                    saved: None,
                    acted: 0,
                    runs: 0,
                    setup,
                };
                (vm.setup.vm, vm)
            })
            .collect();
        let mut sim = Sim {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            vms,
            targets: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            cuts: BTreeSet::new(),
            loss: 0,
            delay: 2,
            key: SigningKey::from_bytes(&[1; 32]),
            answers: BTreeMap::new(),
            asks: 0,
            grants: Vec::new(),
            in_force: Vec::new(),
            newest: BTreeMap::new(),
        };
        for vm in sim.all() {
            sim.start(vm);
        }
        sim
    }

    pub fn all(&self) -> Vec<VmId> {
        self.vms.keys().copied().collect()
    }

    /// Returns the VMs whose process runs and is not paused.
    pub fn awake(&self) -> Vec<VmId> {
        let awake = |(&vm, one): (&VmId, &Vm)| (one.run.is_some() && !one.paused).then_some(vm);
        self.vms.iter().filter_map(awake).collect()
    }

    pub fn run(&self, vm: VmId) -> &Run {
        self.vms[&vm].run.as_ref().unwrap()
    }

    /// Starts the process of a VM, or starts it again with its disk and nothing else.
    pub fn start(&mut self, vm: VmId) {
        let control_voters: Vec<(VmId, SocketAddr)> = self
            .vms
            .values()
            .filter(|one| one.setup.control)
            .map(|one| (one.setup.vm, address(one.setup.vm)))
            .collect();
        let operators = self.operators();
        let (seed, rate) = (self.rng.random(), self.rng.random_range(9_950..=10_050));
        let now = self.now;
        let one = self.vms.get_mut(&vm).unwrap();
        one.runs += 1;
        one.paused = false;
        one.inbox.clear();
        // The lower half tells apart the runs' members of the domain group.
        let incarnation = one.runs << 32 | u64::from(vm) << 16 | one.runs;
        let entry = EntryNode::new(EntryConfig {
            info: VmInfo {
                vm,
                incarnation,
                domain: one.setup.domain.into(),
                inner: address(vm),
                outer: address(vm),
                entry: one.setup.entry,
            },
            control_voters,
            lease_config: LeaseConfig {
                vm_lease: ms(500),
                target_lease: ms(600),
                stall: ms(100),
            },
            renew_interval: ms(100),
            heartbeat_interval: ms(40),
            election_timeout: ms(150),
            max_voters: 3,
            seed,
            bundle: one.saved.clone().filter(|_| one.setup.control),
        });
        let control = one.setup.control.then(|| {
            let config = ControlConfig {
                vm,
                raft: RaftConfig {
                    id: one.member,
                    election_timeout: ms(400),
                    lease: ms(400),
                    heartbeat_interval: ms(100),
                    max_batch: 64,
                    seed,
                },
                planner: PlannerConfig::default(),
            };
            let initial = ControlState::new(operators);
            ControlNode::new(config, one.disk.clone(), initial).unwrap()
        });
        one.run = Some(Run {
            entry,
            control,
            incarnation,
            started: now,
            rate,
            holder: Holder::default(),
            sealed: BTreeMap::new(),
            next: 1,
            asked: BTreeMap::new(),
        });
    }

    /// Ends the process of a VM.
    pub fn kill(&mut self, vm: VmId) {
        let one = self.vms.get_mut(&vm).unwrap();
        (one.run, one.paused) = (None, false);
        one.inbox.clear();
    }

    /// Gives a VM that is down an empty disk and a new identity.
    pub fn lose_disk(&mut self, vm: VmId) {
        let one = self.vms.get_mut(&vm).unwrap();
        one.member = member_id(vm, one.runs as u32);
        (one.disk, one.saved) = (RecoveredState::default(), None);
    }

    pub fn pause(&mut self, vm: VmId) {
        self.vms.get_mut(&vm).unwrap().paused = true;
    }

    /// Lets a VM go on; what arrived meanwhile is handled before its first tick.
    pub fn resume(&mut self, vm: VmId) {
        let one = self.vms.get_mut(&vm).unwrap();
        one.paused = false;
        for packet in std::mem::take(&mut one.inbox) {
            self.deliver(packet);
        }
    }

    /// Cuts a VM off from all others, in both directions.
    pub fn isolate(&mut self, vm: VmId) {
        for other in self.all() {
            self.cuts.insert((vm, other, Kind::All));
            self.cuts.insert((other, vm, Kind::All));
        }
        self.cuts.remove(&(vm, vm, Kind::All));
    }

    /// Returns the VM's own time.
    pub fn local(&self, vm: VmId) -> Duration {
        let run = self.run(vm);
        Duration::from_micros((self.now - run.started) * STEP * run.rate / 10_000)
    }

    /// Advances the clock and checks after every step what must always hold.
    pub fn advance(&mut self, time: Duration) {
        for _ in 0..time.as_millis() {
            self.now += 1;
            while let Some((&at, _)) = self.queue.first_key_value() {
                if at.0 > self.now {
                    break;
                }
                let (_, packet) = self.queue.pop_first().unwrap();
                self.deliver(packet);
            }
            for vm in self.awake() {
                let offset = self.now + u64::from(vm);
                if offset.is_multiple_of(ENTRY_TICK) {
                    self.entry(vm, EntryEvent::Tick);
                }
                if offset.is_multiple_of(CONTROL_TICK) {
                    self.control(vm, ControlEvent::Tick);
                }
                if offset.is_multiple_of(JOIN_EVERY) {
                    self.join(vm);
                }
            }
            self.renew_targets();
            self.check();
        }
    }

    /// Advances until `holds`, at most `limit`; returns the time in ms.
    pub fn until<F>(&mut self, what: &str, limit: Duration, holds: F) -> u64
    where
        F: Fn(&Sim) -> bool,
    {
        let start = self.now;
        while !holds(self) {
            let spent = ms(self.now - start);
            assert!(spent < limit, "{what}: not within {limit:?}");
            self.advance(ms(5));
        }
        self.now - start
    }

    fn join(&mut self, vm: VmId) {
        let member = self.vms[&vm].member;
        let control = self.run(vm).control.as_ref();
        if control.is_some_and(ControlNode::needs_join) {
            let call = Call::Control(ControlCall::Join(member));
            self.ask_as(vm, Asker::Nobody, call);
        }
    }

    /// Makes a call at a VM's own listener; returns its number in `answers`.
    pub fn ask(&mut self, vm: VmId, call: Call) -> u64 {
        self.asks += 1;
        let number = self.asks;
        self.ask_as(vm, Asker::Test(number), call);
        number
    }

    /// Makes a call and waits for the answer.
    pub fn ask_and_wait(&mut self, vm: VmId, call: Call) -> Reply {
        let number = self.ask(vm, call);
        self.until("an answer", ms(10_000), |sim| {
            sim.answers.contains_key(&number)
        });
        self.answers.remove(&number).unwrap()
    }

    fn ask_as(&mut self, vm: VmId, asker: Asker, call: Call) {
        let id = self.admit(vm, asker);
        let from = None;
        self.entry(vm, EntryEvent::Call { id, from, call });
    }

    fn admit(&mut self, vm: VmId, asker: Asker) -> CallId {
        let run = self.vms.get_mut(&vm).and_then(|one| one.run.as_mut());
        let run = run.unwrap();
        let id = run.next;
        run.next += 1;
        run.asked.insert(id, asker);
        id
    }

    pub fn entry(&mut self, vm: VmId, event: EntryEvent) {
        let now = self.local(vm);
        let one = self.vms.get_mut(&vm).unwrap();
        let run = one.run.as_mut().unwrap();
        for effect in run.entry.step(event, now) {
            self.entry_effect(vm, effect);
        }
    }

    fn operators(&self) -> Operators {
        Operators {
            needed: 1,
            keys: vec![Operator {
                name: "amina".into(),
                key: self.key.verifying_key().to_bytes(),
            }],
        }
    }
}

fn address(vm: VmId) -> SocketAddr {
    ([127, 0, 0, 1], vm as u16).into()
}
