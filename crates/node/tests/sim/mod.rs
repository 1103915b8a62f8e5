//! Deterministic simulation: VMs with a simulated clock, and a network that loses, delays and cuts
//! messages.

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

pub use lease_state::LeaseState;
pub use targets::SimTarget;

/// Resolution of the clock, in microseconds.
const STEP: u64 = 1_000;
/// Time between ticks of the entry node, in steps.
const ENTRY_TICK: u64 = 10;
/// Time between ticks of the control role, in steps.
const CONTROL_TICK: u64 = 20;
/// Interval of requests to join of a new voter, in steps.
const JOIN_EVERY: u64 = 1_000;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Configuration of a VM.
#[derive(Clone, Debug)]
pub struct VmSetup {
    pub vm: VmId,
    pub domain: &'static str,
    pub entry: bool,
    /// Whether it is a control voter, with a disk.
    pub control: bool,
}

/// A simulated VM.
pub struct Vm {
    pub setup: VmSetup,
    pub process: Option<Process>,
    pub paused: bool,
    inbox: Vec<Packet>,
    pub member: MemberId,
    pub disk: RecoveredState,
    pub saved_bundle: Option<SignedBundle>,
    /// Highest bundle version that was ever in force on the VM.
    pub max_in_force: u64,
    starts: u64,
}

/// The running process of a VM.
pub struct Process {
    pub entry: EntryNode,
    pub control: Option<ControlNode>,
    pub incarnation: u64,
    started: u64,
    /// Speed of the local clock in parts per 10,000.
    clock_rate: u64,
    pub lease_state: LeaseState,
    /// Highest term that each domain group member of this VM has sealed.
    pub sealed_terms: BTreeMap<MemberId, u64>,
    next: CallId,
    /// Calls to this VM without a reply so far.
    pending_calls: BTreeMap<CallId, Caller>,
}

#[derive(Clone, Copy, Debug)]
enum Caller {
    /// An incarnation of a VM, with the id of the call there.
    Vm(VmId, u64, CallId),
    /// The entry node of the same VM.
    Local(CallId),
    /// The test, under this number.
    Test(u64),
    Nobody,
}

#[derive(Clone, Debug)]
enum Payload {
    Cast(Cast),
    Datagram(Datagram),
    Call(u64, CallId, Call),
    Return(u64, CallId, Result<Reply, bool>),
}

#[derive(Clone, Debug)]
struct Packet {
    from: VmId,
    to: VmId,
    payload: Payload,
}

/// The messages that a cut link loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CutKind {
    All,
    Calls,
    Replies,
}

/// The VMs and the network between them.
pub struct Sim {
    /// Simulated time in steps.
    pub now: u64,
    pub rng: StdRng,
    pub vms: BTreeMap<VmId, Vm>,
    pub targets: Vec<SimTarget>,
    queue: BTreeMap<(u64, u64), Packet>,
    sequence: u64,
    /// Cut links, by direction.
    pub link_cuts: BTreeSet<(VmId, VmId, CutKind)>,
    /// Share of lost datagrams and casts, in percent.
    pub loss_percent: u32,
    /// Longest delay of a message in steps.
    pub max_delay: u64,
    /// Time in steps that a reply with a bundle takes to arrive. Its bytes arrive all the time, so
    /// the call does not fail meanwhile.
    pub transfer_time: u64,
    /// Maximum length of a cast in bytes; 0 for no limit. A longer one is dropped.
    pub max_cast: usize,
    /// Rate of each link for casts, in bytes per step; 0 for no limit.
    pub link_rate: u64,
    /// Time in steps at which the casts sent so far have left a link.
    link_free_at: BTreeMap<(VmId, VmId), u64>,
    /// Replies with a bundle: sending and receiving VM.
    pub transfers: Vec<(VmId, VmId)>,
    key: SigningKey,
    /// Replies to calls of the test, by number.
    pub replies: BTreeMap<u64, Reply>,
    test_calls: u64,
    /// Leases granted to other VMs: time, granting VM, receiving VM.
    pub grants: Vec<(u64, VmId, VmId)>,
    /// Bundles put in force: VM and version.
    pub in_force: Vec<(VmId, u64)>,
    /// The newest state that any member of a domain group has applied, by domain.
    newest_states: BTreeMap<&'static str, DomainState>,
}

/// Returns VMs 1..=`count` of one domain, of which the first `voters` are control voters.
pub fn one_domain(count: u32, voters: u32) -> Vec<VmSetup> {
    (1..=count)
        .map(|vm| VmSetup {
            vm,
            domain: "north",
            entry: true,
            control: vm <= voters,
        })
        .collect()
}

impl Sim {
    pub fn new(seed: u64, setups: Vec<VmSetup>) -> Sim {
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
                    process: None,
                    paused: false,
                    inbox: Vec::new(),
                    member: member_id(setup.vm, 0),
                    disk: founding.clone(),
                    saved_bundle: None,
                    max_in_force: 0,
                    starts: 0,
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
            link_cuts: BTreeSet::new(),
            loss_percent: 0,
            max_delay: 2,
            transfer_time: 0,
            max_cast: 0,
            link_rate: 0,
            link_free_at: BTreeMap::new(),
            transfers: Vec::new(),
            key: SigningKey::from_bytes(&[1; 32]),
            replies: BTreeMap::new(),
            test_calls: 0,
            grants: Vec::new(),
            in_force: Vec::new(),
            newest_states: BTreeMap::new(),
        };
        for vm in sim.all() {
            sim.start(vm);
        }
        sim
    }

    pub fn all(&self) -> Vec<VmId> {
        self.vms.keys().copied().collect()
    }

    /// Returns the VMs whose process is running and not paused.
    pub fn running_vms(&self) -> Vec<VmId> {
        let running = |(&vm, machine): (&VmId, &Vm)| {
            (machine.process.is_some() && !machine.paused).then_some(vm)
        };
        self.vms.iter().filter_map(running).collect()
    }

    pub fn process(&self, vm: VmId) -> &Process {
        self.vms[&vm].process.as_ref().unwrap()
    }

    /// Starts the process of a VM with the contents of its disk.
    pub fn start(&mut self, vm: VmId) {
        let control_voters: Vec<(VmId, SocketAddr)> = self
            .vms
            .values()
            .filter(|machine| machine.setup.control)
            .map(|machine| (machine.setup.vm, address(machine.setup.vm)))
            .collect();
        let operators = self.operators();
        let (seed, clock_rate) = (self.rng.random(), self.rng.random_range(9_950..=10_050));
        let now = self.now;
        let machine = self.vms.get_mut(&vm).unwrap();
        machine.starts += 1;
        machine.paused = false;
        machine.inbox.clear();
        // The lower half becomes part of the member id in the domain group.
        let incarnation = machine.starts << 32 | u64::from(vm) << 16 | machine.starts;
        let entry = EntryNode::new(EntryConfig {
            info: VmInfo {
                vm,
                incarnation,
                domain: machine.setup.domain.into(),
                inner: address(vm),
                outer: address(vm),
                entry: machine.setup.entry,
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
            bundle: machine
                .saved_bundle
                .clone()
                .filter(|_| machine.setup.control),
        });
        let control = machine.setup.control.then(|| {
            let config = ControlConfig {
                vm,
                raft: RaftConfig {
                    id: machine.member,
                    election_timeout: ms(400),
                    lease: ms(400),
                    heartbeat_interval: ms(100),
                    max_batch: 64,
                    max_batch_bytes: 1 << 20,
                    seed,
                },
                planner: PlannerConfig::default(),
            };
            let initial = ControlState::new(operators);
            ControlNode::new(config, machine.disk.clone(), initial).unwrap()
        });
        machine.process = Some(Process {
            entry,
            control,
            incarnation,
            started: now,
            clock_rate,
            lease_state: LeaseState::default(),
            sealed_terms: BTreeMap::new(),
            next: 1,
            pending_calls: BTreeMap::new(),
        });
    }

    /// Ends the process of a VM.
    pub fn kill(&mut self, vm: VmId) {
        let machine = self.vms.get_mut(&vm).unwrap();
        (machine.process, machine.paused) = (None, false);
        machine.inbox.clear();
    }

    /// Gives a stopped VM an empty disk and a new member id.
    pub fn lose_disk(&mut self, vm: VmId) {
        let machine = self.vms.get_mut(&vm).unwrap();
        machine.member = member_id(vm, machine.starts as u32);
        (machine.disk, machine.saved_bundle) = (RecoveredState::default(), None);
    }

    pub fn pause(&mut self, vm: VmId) {
        self.vms.get_mut(&vm).unwrap().paused = true;
    }

    /// Resumes a paused VM; messages that arrived meanwhile are handled before the first tick.
    pub fn resume(&mut self, vm: VmId) {
        let machine = self.vms.get_mut(&vm).unwrap();
        machine.paused = false;
        for packet in std::mem::take(&mut machine.inbox) {
            self.deliver(packet);
        }
    }

    /// Cuts a VM off from all others, in both directions.
    pub fn isolate(&mut self, vm: VmId) {
        for other in self.all() {
            self.link_cuts.insert((vm, other, CutKind::All));
            self.link_cuts.insert((other, vm, CutKind::All));
        }
        self.link_cuts.remove(&(vm, vm, CutKind::All));
    }

    /// Returns the local time of a VM.
    pub fn local_time(&self, vm: VmId) -> Duration {
        let process = self.process(vm);
        Duration::from_micros((self.now - process.started) * STEP * process.clock_rate / 10_000)
    }

    /// Advances the clock and checks the invariants after every step.
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
            for vm in self.running_vms() {
                let offset = self.now + u64::from(vm);
                if offset.is_multiple_of(ENTRY_TICK) {
                    self.step_entry(vm, EntryEvent::Tick);
                }
                if offset.is_multiple_of(CONTROL_TICK) {
                    self.step_control(vm, ControlEvent::Tick);
                }
                if offset.is_multiple_of(JOIN_EVERY) {
                    self.join(vm);
                }
            }
            self.renew_targets();
            self.check_leases();
        }
    }

    /// Advances until `holds`, for less than `limit`; returns the time in ms.
    pub fn wait_until<F>(&mut self, what: &str, limit: Duration, holds: F) -> u64
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
        let control = self.process(vm).control.as_ref();
        if control.is_some_and(ControlNode::needs_join) {
            let call = Call::Control(ControlCall::Join(member));
            self.call_as(vm, Caller::Nobody, call);
        }
    }

    /// Makes a call on the listener of a VM; returns its number in `replies`.
    pub fn call(&mut self, vm: VmId, call: Call) -> u64 {
        self.test_calls += 1;
        let number = self.test_calls;
        self.call_as(vm, Caller::Test(number), call);
        number
    }

    /// Makes a call and waits for the reply.
    pub fn call_and_wait(&mut self, vm: VmId, call: Call) -> Reply {
        let number = self.call(vm, call);
        self.wait_until("a reply", ms(10_000), |sim| {
            sim.replies.contains_key(&number)
        });
        self.replies.remove(&number).unwrap()
    }

    fn call_as(&mut self, vm: VmId, caller: Caller, call: Call) {
        let id = self.register_call(vm, caller);
        let from = None;
        self.step_entry(vm, EntryEvent::Call { id, from, call });
    }

    fn register_call(&mut self, vm: VmId, caller: Caller) -> CallId {
        let process = self
            .vms
            .get_mut(&vm)
            .and_then(|machine| machine.process.as_mut());
        let process = process.unwrap();
        let id = process.next;
        process.next += 1;
        process.pending_calls.insert(id, caller);
        id
    }

    pub fn step_entry(&mut self, vm: VmId, event: EntryEvent) {
        let now = self.local_time(vm);
        let machine = self.vms.get_mut(&vm).unwrap();
        let process = machine.process.as_mut().unwrap();
        for effect in process.entry.step(event, now) {
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
