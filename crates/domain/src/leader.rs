//! The reducer that the leader of a domain group runs.

mod index_times;
mod leases;
mod pending;
mod rates;
mod sessions;
mod shards;
mod suspects;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_types::{
    Incarnation,
    ServiceName,
    SessionId,
    ShardIndex,
    ShardRef,
    Side,
    TargetId,
    TargetState,
    Token,
    VmId, //
};

use crate::{
    Command,
    Effect,
    Event,
    LeaseConfig,
    Phase,
    State, //
};

use self::{
    index_times::Marks,
    leases::Leases,
    pending::{
        Pending,
        Subject, //
    },
    rates::Rates,
    shards::Placed,
    suspects::Suspects, //
};

/// A longer time between two steps means that this process was paused. Renewals that arrived
/// meanwhile were not handled, so nobody may be taken for expired.
const PAUSE: Duration = Duration::from_millis(250);

/// Least time between two passes over the state. Many commands are applied in a row.
const PASS_INTERVAL: Duration = Duration::from_millis(5);

/// Time between two looks for records and homes whose time has passed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// The leader's part of a domain group: it keeps lease times, grants leases, and proposes the
/// commands that keep every shard owned.
///
/// It does nothing before a command of its own epoch has been applied, because until then the
/// state may lack commands that an earlier leader committed.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use camphordale_domain::{Command, Effect, Event, Leader, LeaseConfig, State};
///
/// let ms = Duration::from_millis;
/// let config = LeaseConfig { vm_lease: ms(500), target_lease: ms(600), stall: ms(50) };
/// let mut state = State::new(1, false);
/// let mut leader = Leader::new(config, 1);
///
/// let effects = leader.step(&state, Event::Elected { epoch: 1, recreated: false }, ms(0));
/// let [Effect::Propose(barrier)] = &effects[..] else { panic!() };
/// state.apply(1, 1, barrier);
/// leader.step(&state, Event::LeadershipConfirmed { until: ms(150) }, ms(1));
/// let renewal = Event::RenewVm { vm: 1, incarnation: 9, nonce: 5 };
/// let effects = leader.step(&state, renewal, ms(2));
/// assert_eq!(effects, [Effect::Propose(Command::OpenVmSession { vm: 1, incarnation: 9 })]);
/// ```
#[derive(Debug)]
pub struct Leader {
    config: LeaseConfig,
    seed: u64,
    reign: Option<Reign>,
}

/// What a leader knows during one epoch.
#[derive(Debug)]
struct Reign {
    config: LeaseConfig,
    seed: u64,
    epoch: u64,
    elected: Duration,
    recreated: bool,
    /// Time until which no other leader can exist.
    until: Duration,
    last_step: Duration,
    last_pass: Option<Duration>,
    leases: Leases,
    pending: Pending,
    suspects: Suspects,
    rates: Rates,
    marks: Marks,
    /// Reports of senders on releasing shards.
    released: BTreeMap<ShardRef, Report>,
    /// Time of the last placement by service.
    placed: BTreeMap<ServiceName, Placed>,
    /// Layout of the state at which no shard of a service needed anything but balance.
    at_rest: BTreeMap<ServiceName, u64>,
    last_expiry: Duration,
    out: Vec<Effect>,
}

/// A sender's report that it stopped sending for a releasing shard.
#[derive(Clone, Copy, Debug)]
struct Report {
    token: Token,
    holder: SessionId,
    /// When it was received.
    at: Duration,
    /// When the last request that it sent has ended.
    clear: Duration,
}

impl Leader {
    /// Creates the reducer of a member that does not lead yet.
    pub fn new(config: LeaseConfig, seed: u64) -> Self {
        Leader {
            config,
            seed,
            reign: None,
        }
    }

    /// Handles `event` at time `now`; `state` is the state that this member has applied.
    pub fn step(&mut self, state: &State, event: Event, now: Duration) -> Vec<Effect> {
        match event {
            Event::Elected { epoch, recreated } => {
                let recreated = recreated || state.recreated();
                let config = self.config.clone();
                let mut reign = Reign::new(config, self.seed, epoch, recreated, now);
                reign.marks.add(now, state.index());
                reign.pass(state, now);
                let out = std::mem::take(&mut reign.out);
                self.reign = Some(reign);
                out
            }
            Event::SteppedDown => {
                self.reign = None;
                Vec::new()
            }
            event => match &mut self.reign {
                None => Vec::new(),
                Some(reign) => {
                    reign.handle(state, event, now);
                    std::mem::take(&mut reign.out)
                }
            },
        }
    }

    /// Tells whether this member leads and has applied all that earlier leaders committed.
    pub fn ready(&self, state: &State) -> bool {
        self.reign.as_ref().is_some_and(|reign| reign.ready(state))
    }

    /// Returns the slots of serving targets by service and side, for the control group.
    pub fn capacity(&self, state: &State) -> Vec<(ServiceName, Side, u32)> {
        let mut slots: BTreeMap<(&ServiceName, Side), u32> = BTreeMap::new();
        let serving = state
            .targets()
            .map(|target| &target.info)
            .filter(|info| info.state == TargetState::Serving);
        for info in serving {
            let spec = &info.spec;
            let bound = state.service(&spec.service).map_or(spec.slots, |s| s.slots);
            let sum = slots.entry((&spec.service, spec.side)).or_default();
            *sum = sum.saturating_add(spec.slots.min(bound));
        }
        slots
            .into_iter()
            .map(|((service, side), slots)| (service.clone(), side, slots))
            .collect()
    }

    /// Returns the parked shards with the `since` of their homes, for the control group.
    pub fn parked(&self, state: &State) -> Vec<(ServiceName, ShardIndex, u64)> {
        let shards = state
            .homed_services()
            .flat_map(|name| state.shards(name).map(move |(i, shard)| (name, i, shard)));
        shards
            .filter(|(_, _, shard)| shard.phase == Phase::Parked)
            .map(|(name, index, shard)| (name.clone(), index, shard.since))
            .collect()
    }
}

impl Reign {
    fn new(config: LeaseConfig, seed: u64, epoch: u64, recreated: bool, now: Duration) -> Self {
        Reign {
            leases: Leases::new(config.clone(), now),
            config,
            seed,
            epoch,
            elected: now,
            recreated,
            until: Duration::ZERO,
            last_step: now,
            last_pass: None,
            pending: Pending::default(),
            suspects: Suspects::default(),
            rates: Rates::default(),
            marks: Marks::default(),
            released: BTreeMap::new(),
            placed: BTreeMap::new(),
            at_rest: BTreeMap::new(),
            last_expiry: now,
            out: Vec::new(),
        }
    }

    fn ready(&self, state: &State) -> bool {
        state.epoch() >= self.epoch
    }

    /// Tells whether leases may be granted and commands proposed.
    fn acting(&self, state: &State, now: Duration) -> bool {
        self.ready(state) && now < self.until
    }

    fn handle(&mut self, state: &State, event: Event, now: Duration) {
        if now.saturating_sub(self.last_step) > PAUSE {
            self.leases.renew_all(now);
        }
        self.last_step = now;
        match event {
            Event::LeadershipConfirmed { until } => self.confirm(until, now),
            Event::RenewVm {
                vm,
                incarnation,
                nonce,
            } => self.renew_vm(state, vm, incarnation, nonce, now),
            Event::VmLeft { vm, incarnation } => {
                let session = state.vm(vm).filter(|s| s.incarnation == incarnation);
                if let Some(session) = session {
                    self.leases.observe(state, now);
                    self.leases.leave(session.id, now);
                }
            }
            Event::RenewTarget {
                target,
                load: _,
                nonce,
            } => self.renew_target(state, target, nonce, now),
            Event::SuspectTarget { vm, target } => {
                if let Some(entry) = state.target(target) {
                    self.suspects.report(target, vm, entry.sender, now);
                }
            }
            Event::ShardReleased {
                vm,
                incarnation,
                shard,
                token,
                drain_time,
            } => {
                let current = state.vm(vm).is_some_and(|s| s.incarnation == incarnation);
                if current {
                    self.released(state, vm, shard, token, drain_time, now);
                }
            }
            Event::ShardLoad { vm, shards } => {
                if state.vm(vm).is_some() {
                    for (service, index, count) in shards {
                        self.rates.add(&service, index, count, now);
                    }
                }
            }
            Event::StateChanged => {}
            Event::Tick => self.pass(state, now),
            Event::Elected { .. } | Event::SteppedDown => {}
        }
        let due = |last: Duration| now >= last + PASS_INTERVAL;
        if self.last_pass.is_none_or(due) {
            self.pass(state, now);
        }
    }

    fn confirm(&mut self, until: Duration, now: Duration) {
        // Nobody could be renewed while the leadership was not confirmed.
        if until > now && now.saturating_sub(self.until) > self.config.vm_lease / 4 {
            self.leases.renew_all(now);
        }
        self.until = self.until.max(until);
    }

    /// Looks at the whole state and proposes what it needs.
    fn pass(&mut self, state: &State, now: Duration) {
        if !self.ready(state) {
            let barrier = Command::MarkRecordsComplete { shards: Vec::new() };
            self.propose(Subject::Barrier, self.epoch, barrier, now);
            return;
        }
        self.last_pass = Some(now);
        self.leases.observe(state, now);
        self.marks.add(now, state.index());
        if now >= self.until {
            return;
        }
        self.pending.forget(now);
        self.suspects.forget(now);
        self.expire_sessions(state, now);
        self.set_senders(state, now);
        self.plan_shards(state, now);
        if now >= self.last_expiry + EXPIRY_INTERVAL {
            self.last_expiry = now;
            self.expire_records(state, now);
        }
    }

    fn propose(&mut self, subject: Subject, version: u64, command: Command, now: Duration) {
        if self.pending.admit(subject, version, now) {
            self.out.push(Effect::Propose(command));
        }
    }

    fn renew_vm(
        &mut self,
        state: &State,
        vm: VmId,
        incarnation: Incarnation,
        nonce: u64,
        now: Duration,
    ) {
        if !self.acting(state, now) {
            return;
        }
        self.leases.observe(state, now);
        let session = state.vm(vm);
        match session {
            Some(session) if session.incarnation == incarnation => {
                // An expired session ends; its VM then gets a new one.
                if now < self.leases.vm_end(session.id) {
                    self.leases.renew_vm(session.id, now);
                    self.out.push(Effect::GrantVm {
                        vm,
                        incarnation,
                        nonce,
                        lease: self.config.vm_lease,
                        fence: session.id,
                    });
                }
            }
            // Two processes with the same VM number must not replace each other for ever.
            Some(session)
                if incarnation < session.incarnation && now < self.leases.vm_end(session.id) => {}
            _ => {
                let version = session.map_or(0, |s| s.id);
                let command = Command::OpenVmSession { vm, incarnation };
                self.propose(Subject::VmUp(vm, incarnation), version, command, now);
            }
        }
    }

    fn renew_target(&mut self, state: &State, target: TargetId, nonce: u64, now: Duration) {
        if !self.acting(state, now) {
            return;
        }
        self.leases.observe(state, now);
        match state.target(target).map(|t| t.info.state) {
            None | Some(TargetState::Lost) => {
                self.out.push(Effect::RefuseTarget { target, nonce });
            }
            Some(TargetState::Serving | TargetState::Leaving) => {
                if now < self.leases.target_end(target) {
                    self.leases.renew_target(target, now);
                    self.out.push(Effect::GrantTarget {
                        target,
                        nonce,
                        lease: self.config.target_lease,
                    });
                }
            }
        }
    }

    fn released(
        &mut self,
        state: &State,
        vm: VmId,
        shard: ShardRef,
        token: Token,
        drain_time: Duration,
        now: Duration,
    ) {
        let Some(entry) = state.shard(&shard).filter(|s| s.token == token) else {
            return;
        };
        let Phase::Releasing(owner) = entry.phase else {
            return;
        };
        let Some(target) = state.target(owner).filter(|t| t.sender == Some(vm)) else {
            return;
        };
        let Some(holder) = target.sender_session else {
            return;
        };
        // Also when nothing is outstanding: a request whose deadline passed at the sender was
        // written up to a stall margin after its check, and ends that much later at the target.
        let mut report = Report {
            token,
            holder,
            at: now,
            clear: now + drain_time + self.config.stall,
        };
        if let Some(earlier) = self.released.get(&shard)
            && earlier.token == token
            && earlier.holder == holder
        {
            report.at = earlier.at;
            report.clear = report.clear.min(earlier.clear);
        }
        self.released.insert(shard, report);
    }
}
