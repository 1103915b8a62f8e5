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
    index_times::IndexTimes,
    leases::Leases,
    pending::{
        Pending,
        Subject, //
    },
    rates::Rates,
    shards::BalanceCheck,
    suspects::Suspects, //
};

/// A longer time between two steps means that this process was paused. Renewals that arrived
/// meanwhile were not handled, so no lease may be considered expired.
const MAX_STEP_GAP: Duration = Duration::from_millis(250);

/// Minimum time between two passes over the state, because many commands may be applied in quick
/// succession.
const PASS_INTERVAL: Duration = Duration::from_millis(5);

/// Time between two checks for expired records and homes.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// The leader of a domain group: tracks leases, grants renewals, and proposes the commands that
/// keep every shard assigned.
///
/// It does nothing before a command of its own epoch has been applied, because until then the state
/// may lack commands that an earlier leader committed.
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
    active: Option<LeaderState>,
}

/// State of a leader during one epoch.
#[derive(Debug)]
struct LeaderState {
    config: LeaseConfig,
    seed: u64,
    epoch: u64,
    elected_at: Duration,
    recreated: bool,
    /// Time until which no other member can be leader.
    leadership_expiry: Duration,
    last_step: Duration,
    last_pass: Option<Duration>,
    leases: Leases,
    pending: Pending,
    suspects: Suspects,
    rates: Rates,
    index_times: IndexTimes,
    /// Senders' reports on releasing shards.
    release_reports: BTreeMap<ShardRef, ReleaseReport>,
    /// The last check of each service's balance.
    balance_checks: BTreeMap<ServiceName, BalanceCheck>,
    /// Layout index of the state at which no shard of a service needed a change other than for
    /// balance.
    stable_layouts: BTreeMap<ServiceName, u64>,
    last_expiry: Duration,
    out: Vec<Effect>,
}

/// A sender's report that it stopped sending for a releasing shard.
#[derive(Clone, Copy, Debug)]
struct ReleaseReport {
    token: Token,
    session: SessionId,
    /// Time at which it was first received.
    received_at: Duration,
    /// Time by which the last request sent has ended.
    drained_at: Duration,
}

impl Leader {
    /// Creates the reducer of a member that is not the leader yet.
    pub fn new(config: LeaseConfig, seed: u64) -> Self {
        Leader {
            config,
            seed,
            active: None,
        }
    }

    /// Handles `event` at time `now`; `state` is the state that this member has applied.
    pub fn step(&mut self, state: &State, event: Event, now: Duration) -> Vec<Effect> {
        match event {
            Event::Elected { epoch, recreated } => {
                let recreated = recreated || state.recreated();
                let config = self.config.clone();
                let mut active = LeaderState::new(config, self.seed, epoch, recreated, now);
                active.index_times.add(now, state.index());
                active.run_pass(state, now);
                let out = std::mem::take(&mut active.out);
                self.active = Some(active);
                out
            }
            Event::SteppedDown => {
                self.active = None;
                Vec::new()
            }
            event => match &mut self.active {
                None => Vec::new(),
                Some(active) => {
                    active.handle(state, event, now);
                    std::mem::take(&mut active.out)
                }
            },
        }
    }

    /// Returns whether this member leads and has applied everything that earlier leaders committed.
    pub fn ready(&self, state: &State) -> bool {
        self.active
            .as_ref()
            .is_some_and(|active| active.ready(state))
    }

    /// Returns the number of slots of serving targets by service and side, for reports to the
    /// control group.
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

    /// Returns the parked shards with the `since` of their homes, for reports to the control group.
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

impl LeaderState {
    fn new(config: LeaseConfig, seed: u64, epoch: u64, recreated: bool, now: Duration) -> Self {
        LeaderState {
            leases: Leases::new(config.clone(), now),
            config,
            seed,
            epoch,
            elected_at: now,
            recreated,
            leadership_expiry: Duration::ZERO,
            last_step: now,
            last_pass: None,
            pending: Pending::default(),
            suspects: Suspects::default(),
            rates: Rates::default(),
            index_times: IndexTimes::default(),
            release_reports: BTreeMap::new(),
            balance_checks: BTreeMap::new(),
            stable_layouts: BTreeMap::new(),
            last_expiry: now,
            out: Vec::new(),
        }
    }

    fn ready(&self, state: &State) -> bool {
        state.epoch() >= self.epoch
    }

    /// Returns whether leases may be granted and commands proposed.
    fn may_act(&self, state: &State, now: Duration) -> bool {
        self.ready(state) && now < self.leadership_expiry
    }

    fn handle(&mut self, state: &State, event: Event, now: Duration) {
        if now.saturating_sub(self.last_step) > MAX_STEP_GAP {
            self.leases.renew_all(now);
        }
        self.last_step = now;
        match event {
            Event::LeadershipConfirmed { until } => self.extend_leadership(until, now),
            Event::RenewVm {
                vm,
                incarnation,
                nonce,
            } => self.renew_vm(state, vm, incarnation, nonce, now),
            Event::VmLeft { vm, incarnation } => {
                let session = state.vm(vm).filter(|s| s.incarnation == incarnation);
                if let Some(session) = session {
                    self.leases.observe(state, now);
                    self.leases.end_vm_lease(session.id, now);
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
                    self.record_release(state, vm, shard, token, drain_time, now);
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
            Event::Tick => self.run_pass(state, now),
            Event::Elected { .. } | Event::SteppedDown => {}
        }
        let due = |last: Duration| now >= last + PASS_INTERVAL;
        if self.last_pass.is_none_or(due) {
            self.run_pass(state, now);
        }
    }

    fn extend_leadership(&mut self, until: Duration, now: Duration) {
        // No lease could be renewed while the leadership was not confirmed.
        if until > now && now.saturating_sub(self.leadership_expiry) > self.config.vm_lease / 4 {
            self.leases.renew_all(now);
        }
        self.leadership_expiry = self.leadership_expiry.max(until);
    }

    /// Checks the whole state and proposes the commands that it needs.
    fn run_pass(&mut self, state: &State, now: Duration) {
        if !self.ready(state) {
            let barrier = Command::MarkRecordsComplete { shards: Vec::new() };
            self.propose(Subject::Barrier, self.epoch, barrier, now);
            return;
        }
        self.last_pass = Some(now);
        self.leases.observe(state, now);
        self.index_times.add(now, state.index());
        if now >= self.leadership_expiry {
            return;
        }
        self.pending.remove_expired(now);
        self.suspects.remove_expired(now);
        self.expire_sessions(state, now);
        self.assign_senders(state, now);
        self.plan_shards(state, now);
        if now >= self.last_expiry + EXPIRY_INTERVAL {
            self.last_expiry = now;
            self.expire_records(state, now);
        }
    }

    fn propose(&mut self, subject: Subject, version: u64, command: Command, now: Duration) {
        if self.pending.register(subject, version, now) {
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
        if !self.may_act(state, now) {
            return;
        }
        self.leases.observe(state, now);
        let session = state.vm(vm);
        match session {
            Some(session) if session.incarnation == incarnation => {
                // An expired session is ended; its VM then gets a new one.
                if now < self.leases.vm_lease_expiry(session.id) {
                    self.leases.renew_vm(session.id, now);
                    self.out.push(Effect::GrantVm {
                        vm,
                        incarnation,
                        nonce,
                        lease: self.config.vm_lease,
                        min_view: session.id,
                    });
                }
            }
            // Two processes with the same VM number must not replace each other endlessly.
            Some(session)
                if incarnation < session.incarnation
                    && now < self.leases.vm_lease_expiry(session.id) => {}
            _ => {
                let version = session.map_or(0, |s| s.id);
                let command = Command::OpenVmSession { vm, incarnation };
                self.propose(
                    Subject::OpenVmSession(vm, incarnation),
                    version,
                    command,
                    now,
                );
            }
        }
    }

    fn renew_target(&mut self, state: &State, target: TargetId, nonce: u64, now: Duration) {
        if !self.may_act(state, now) {
            return;
        }
        self.leases.observe(state, now);
        match state.target(target).map(|t| t.info.state) {
            None | Some(TargetState::Lost) => {
                self.out.push(Effect::RefuseTarget { target, nonce });
            }
            Some(TargetState::Serving | TargetState::Leaving) => {
                if now < self.leases.target_lease_expiry(target) {
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

    fn record_release(
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
        let Some(session) = target.sender_session else {
            return;
        };
        // The stall time counts even without requests in flight: a request whose deadline has
        // passed at the sender may have been written up to the stall time after its check, and ends
        // that much later at the target.
        let mut report = ReleaseReport {
            token,
            session,
            received_at: now,
            drained_at: now + drain_time + self.config.stall,
        };
        if let Some(earlier) = self.release_reports.get(&shard)
            && earlier.token == token
            && earlier.session == session
        {
            report.received_at = earlier.received_at;
            report.drained_at = report.drained_at.min(earlier.drained_at);
        }
        self.release_reports.insert(shard, report);
    }
}
