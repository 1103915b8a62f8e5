//! The VM's member of its domain group: Raft, the replicated state and, when it leads, the
//! reducer of the domain leader.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_domain::{
    Command,
    Effect as LeaderEffect,
    Event as LeaderEvent,
    HomedShard,
    Leader,
    LeaseConfig,
    Outcome,
    Phase,
    State,
    View, //
};
use camphordale_raft::{
    Config,
    Effect as RaftEffect,
    Event as RaftEvent,
    Members,
    MembershipChange,
    Message,
    Payload,
    Raft,
    RecoveredState,
    Role,
    Snapshot, //
};
use camphordale_types::{
    Incarnation,
    MemberId,
    Service,
    ServiceName,
    ShardRef,
    TargetId,
    TargetState,
    Token,
    VmId, //
};

use crate::{
    CallId,
    DomainCall,
    DomainReply,
    SenderReport,
    control::next_change,
    member_vm, //
};

/// Entries after which the log is compacted into a snapshot.
const COMPACT_AFTER: u64 = 4_096;

/// Time after which a call to the group is given up.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Time after which a view that a VM has not confirmed is sent again.
const VIEW_RETRY: Duration = Duration::from_millis(150);

/// Time that VMs get to fetch a bundle before it is put in force without them.
const SPREAD_TIME: Duration = Duration::from_secs(1);

/// Time after which a proposal of the directory's content is made again.
const SYNC_RETRY: Duration = Duration::from_millis(100);

/// Output of the member, to be carried out in order.
pub(crate) enum MemberEffect {
    /// Send a Raft message.
    Send { to: MemberId, message: Message },
    /// Answer a call.
    Reply { id: CallId, reply: DomainReply },
    /// Renew a VM's lease.
    Grant {
        vm: VmId,
        incarnation: Incarnation,
        nonce: u64,
        lease: Duration,
        fence: u64,
    },
    /// Send changes of the state to a VM.
    View { vm: VmId, view: View },
    /// Role, term or leader changed.
    Role {
        role: Role,
        term: u64,
        leader: Option<VmId>,
    },
}

/// What the directory says about this domain.
#[derive(Clone, Default)]
pub(crate) struct Assigned {
    pub(crate) version: u64,
    pub(crate) services: Vec<Service>,
    /// Version of the directory's homes.
    pub(crate) homes_version: u64,
    pub(crate) homes: BTreeMap<ServiceName, Vec<HomedShard>>,
    /// Whether the control leader confirmed this while the VM led the group.
    pub(crate) confirmed: bool,
    /// When this version of the bundle was first assigned here.
    pub(crate) since: Duration,
}

/// What a VM that renews its lease has.
#[derive(Clone, Copy)]
pub(crate) struct Has {
    /// Index of its view.
    pub(crate) view: u64,
    /// Version of the newest bundle that it has.
    pub(crate) bundle_version: u64,
    /// Version of the bundle in force there.
    pub(crate) in_force: u64,
}

/// What is known of a VM that renews its lease.
struct Known {
    /// Index of its view.
    index: u64,
    /// When a view was last sent to it.
    sent: Duration,
    /// Newest bundle that it has, and the one in force there.
    has: u64,
    in_force: u64,
}

struct Waiter {
    call: CallId,
    until: Duration,
}

/// The member.
pub(crate) struct DomainMember {
    vm: VmId,
    id: MemberId,
    term: u64,
    reformed: bool,
    voters: usize,
    raft: Raft,
    pub(crate) state: State,
    leader: Leader,
    ready: bool,
    next: u64,
    waiting: BTreeMap<u64, Waiter>,
    joins: BTreeMap<MemberId, Duration>,
    changing: Option<u64>,
    views: BTreeMap<VmId, Known>,
    assigned: Assigned,
    synced: Option<Duration>,
}

impl DomainMember {
    /// Starts a member of the group formed at `term`. `founders` are its first voters; a VM that
    /// is not among them starts from nothing and has to join.
    pub(crate) fn new(
        config: Config,
        lease: LeaseConfig,
        term: u64,
        reformed: bool,
        founders: &[MemberId],
        voters: usize,
    ) -> Self {
        let recovered = if founders.contains(&config.id) {
            RecoveredState {
                snapshot: Some(Snapshot {
                    members: Members {
                        voters: founders.iter().copied().collect(),
                        ..Members::default()
                    },
                    ..Snapshot::default()
                }),
                ..RecoveredState::default()
            }
        } else {
            RecoveredState::default()
        };
        let seed = config.seed;
        DomainMember {
            vm: member_vm(config.id),
            id: config.id,
            term,
            reformed,
            voters,
            raft: Raft::new(config, recovered),
            state: State::new(term, reformed),
            leader: Leader::new(lease, seed),
            ready: false,
            next: 1,
            waiting: BTreeMap::new(),
            joins: BTreeMap::new(),
            changing: None,
            views: BTreeMap::new(),
            assigned: Assigned::default(),
            synced: None,
        }
    }

    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.raft.term()
    }

    pub(crate) fn leader(&self) -> Option<VmId> {
        self.raft.leader().map(member_vm)
    }

    /// Tells whether this VM leads and may answer for the group.
    pub(crate) fn leads(&self, now: Duration) -> bool {
        self.ready && self.raft.lease_expiry().is_some_and(|until| now < until)
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.raft.members().voters.contains(&self.id)
    }

    pub(crate) fn is_member(&self) -> bool {
        let members = self.raft.members();
        members.voters.contains(&self.id) || members.learners.contains(&self.id)
    }

    /// Returns the version of the bundle that the group has committed.
    pub(crate) fn bundle_version(&self) -> u64 {
        self.state.bundle_version()
    }

    /// Returns the index of the last change that routers must learn of.
    pub(crate) fn view_index(&self) -> u64 {
        self.state.layout_index()
    }

    /// Takes over what the directory says about this domain.
    pub(crate) fn assign(&mut self, assigned: Assigned, now: Duration) {
        let same = assigned.version == self.assigned.version;
        let since = if same { self.assigned.since } else { now };
        self.assigned = Assigned { since, ..assigned };
        self.synced = None;
    }

    pub(crate) fn tick(&mut self, now: Duration, out: &mut Vec<MemberEffect>) {
        self.raft(RaftEvent::Tick, now, out);
        let late: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiter)| waiter.until <= now)
            .map(|(&id, _)| id)
            .collect();
        for id in late {
            if let Some(waiter) = self.waiting.remove(&id) {
                out.push(failed(
                    waiter.call,
                    true,
                    "the command was not committed in time",
                ));
            }
        }
        if !self.ready {
            return;
        }
        if let Some(until) = self.raft.lease_expiry() {
            self.lead(LeaderEvent::LeadershipConfirmed { until }, now, out);
        }
        self.lead(LeaderEvent::Tick, now, out);
        self.sync(now, out);
        self.change_members(now, out);
    }

    pub(crate) fn receive(
        &mut self,
        from: MemberId,
        to: MemberId,
        message: Message,
        now: Duration,
        out: &mut Vec<MemberEffect>,
    ) {
        if to == self.id {
            self.raft(RaftEvent::Receive { from, message }, now, out);
        }
    }

    pub(crate) fn renew_vm(
        &mut self,
        vm: VmId,
        incarnation: Incarnation,
        nonce: u64,
        has: Has,
        now: Duration,
        out: &mut Vec<MemberEffect>,
    ) {
        let view = has.view;
        if has.bundle_version >= self.state.bundle_version() {
            let event = LeaderEvent::RenewVm {
                vm,
                incarnation,
                nonce,
            };
            self.lead(event, now, out);
        } else {
            // A VM with an older bundle gets no lease, only the news that there is a newer one,
            // so that no request is sent under a bundle that the group has replaced.
            let (lease, fence) = (Duration::ZERO, u64::MAX);
            out.push(MemberEffect::Grant {
                vm,
                incarnation,
                nonce,
                lease,
                fence,
            });
        }
        // A VM without a session still gets views, so that it finds its fence when it has one.
        let behind = view < self.view_index();
        let known = self.views.get(&vm);
        let waited = known.is_none_or(|known| now >= known.sent + VIEW_RETRY);
        let lost = known.is_none_or(|known| known.index != view);
        if behind && (waited || !lost) {
            self.send_view(vm, view, now, out);
        } else if !behind {
            self.note_view(vm, view, now);
        }
        if let Some(known) = self.views.get_mut(&vm) {
            (known.has, known.in_force) = (has.bundle_version, has.in_force);
        }
    }

    pub(crate) fn sender(
        &mut self,
        vm: VmId,
        incarnation: Incarnation,
        report: SenderReport,
        now: Duration,
        out: &mut Vec<MemberEffect>,
    ) {
        let event = match report {
            SenderReport::Suspect(target) => LeaderEvent::SuspectTarget { vm, target },
            SenderReport::Released {
                shard,
                token,
                drain_time,
            } => LeaderEvent::ShardReleased {
                vm,
                incarnation,
                shard,
                token,
                drain_time,
            },
            SenderReport::Load(shards) => LeaderEvent::ShardLoad { vm, shards },
        };
        self.lead(event, now, out);
    }

    pub(crate) fn call(
        &mut self,
        id: CallId,
        call: DomainCall,
        now: Duration,
        out: &mut Vec<MemberEffect>,
    ) {
        if !self.leads(now) {
            let leader = self.leader().filter(|&vm| vm != self.vm);
            let reply = DomainReply::NotLeader(leader);
            out.push(MemberEffect::Reply { id, reply });
            return;
        }
        match call {
            DomainCall::Join { term, member } => {
                let reply = if term == self.term {
                    if !self.raft.members().voters.contains(&member) {
                        self.joins.insert(member, now);
                    }
                    DomainReply::Joined
                } else {
                    DomainReply::NotLeader(None)
                };
                out.push(MemberEffect::Reply { id, reply });
            }
            DomainCall::Announce(spec) => {
                self.propose(Some(id), &Command::OpenTargetSession(spec), now, out);
            }
            DomainCall::RenewTarget {
                target,
                load,
                grants_version: _,
            } => {
                let event = LeaderEvent::RenewTarget {
                    target,
                    load,
                    nonce: id,
                };
                self.lead(event, now, out);
            }
            DomainCall::Leave { vm, incarnation } => {
                self.lead(LeaderEvent::VmLeft { vm, incarnation }, now, out);
                self.propose(
                    Some(id),
                    &Command::EndVmSession { vm, incarnation },
                    now,
                    out,
                );
            }
            DomainCall::Drain(target) => {
                self.propose(Some(id), &Command::MarkTargetLeaving(target), now, out);
            }
            DomainCall::Propose(command) => self.propose(Some(id), &command, now, out),
        }
    }

    fn propose(
        &mut self,
        call: Option<CallId>,
        command: &Command,
        now: Duration,
        out: &mut Vec<MemberEffect>,
    ) {
        match postcard::to_stdvec(command) {
            Ok(data) => {
                let id = self.next;
                self.next += 1;
                if let Some(call) = call {
                    let until = now + CALL_LIMIT;
                    self.waiting.insert(id, Waiter { call, until });
                }
                self.raft(RaftEvent::Propose { id, data }, now, out);
            }
            Err(err) => {
                if let Some(call) = call {
                    out.push(failed(call, false, &err.to_string()));
                }
            }
        }
    }

    /// Proposes what the directory says and the replicated state does not have yet.
    fn sync(&mut self, now: Duration, out: &mut Vec<MemberEffect>) {
        if self.synced.is_some_and(|at| now < at + SYNC_RETRY) {
            return;
        }
        self.synced = Some(now);
        // The first bundle of a group comes straight from the control group: a copy that lags
        // could bring back a bundle that VMs of an earlier group have left behind.
        let known = self.state.bundle_version();
        if known < self.assigned.version
            && (known > 0 || self.assigned.confirmed)
            && self.is_spread(now)
        {
            let command = Command::SetServices {
                version: self.assigned.version,
                services: self.assigned.services.clone(),
            };
            self.propose(None, &command, now, out);
        }
        let stale: Vec<Command> = self
            .assigned
            .homes
            .iter()
            .filter(|(service, shards)| !has_homes(&self.state, service, shards))
            .map(|(service, shards)| Command::SetHomes {
                service: service.clone(),
                version: self.assigned.homes_version,
                shards: shards.clone(),
            })
            .collect();
        for command in stale {
            self.propose(None, &command, now, out);
        }
    }

    /// Tells whether the state follows the homes that the directory names, and no shard without a
    /// home here is still served.
    pub(crate) fn follows_homes(&self) -> bool {
        let homes = &self.assigned.homes;
        let served = |name: &ServiceName| {
            let mut shards = self.state.shards(name);
            shards.any(|(_, entry)| !entry.listed && matches!(entry.phase, Phase::Held(_)))
        };
        homes
            .iter()
            .all(|(service, shards)| has_homes(&self.state, service, shards))
            && !self.state.homed_services().any(served)
    }

    /// Tells whether the VMs with a session have the bundle that is to be put in force. Those
    /// that lag get no lease once it is, so the group gives them some time.
    fn is_spread(&self, now: Duration) -> bool {
        let wanted = self.assigned.version;
        let lags = |(vm, _)| self.views.get(&vm).is_none_or(|known| known.has < wanted);
        now >= self.assigned.since + SPREAD_TIME || !self.state.vms().any(lags)
    }

    fn change_members(&mut self, now: Duration, out: &mut Vec<MemberEffect>) {
        if self.changing.is_some() {
            return;
        }
        let Some(change) = next_change(&self.raft, &self.joins) else {
            return;
        };
        // Beyond the group's size a VM becomes a voter only in place of its own earlier run.
        if let MembershipChange::AddLearner(member) = change {
            let voters = &self.raft.members().voters;
            let replaces = voters
                .iter()
                .any(|&other| member_vm(other) == member_vm(member));
            if voters.len() >= self.voters && !replaces {
                self.joins.remove(&member);
                return;
            }
        }
        let id = self.next;
        self.next += 1;
        self.changing = Some(id);
        self.raft(RaftEvent::ChangeMembers { id, change }, now, out);
    }

    fn lead(&mut self, event: LeaderEvent, now: Duration, out: &mut Vec<MemberEffect>) {
        if !self.ready {
            return;
        }
        for effect in self.leader.step(&self.state, event, now) {
            match effect {
                LeaderEffect::Propose(command) => self.propose(None, &command, now, out),
                LeaderEffect::GrantVm {
                    vm,
                    incarnation,
                    nonce,
                    lease,
                    fence,
                } => out.push(MemberEffect::Grant {
                    vm,
                    incarnation,
                    nonce,
                    lease,
                    fence,
                }),
                LeaderEffect::GrantTarget {
                    target,
                    nonce,
                    lease,
                } => {
                    let leaving = self
                        .state
                        .target(target)
                        .is_some_and(|t| t.info.state == TargetState::Leaving);
                    let reply = DomainReply::TargetLease {
                        target,
                        lease,
                        leaving,
                        grants_version: self.state.layout_index(),
                        grants: grants(&self.state, target),
                    };
                    out.push(MemberEffect::Reply { id: nonce, reply });
                }
                LeaderEffect::RefuseTarget { nonce, .. } => out.push(MemberEffect::Reply {
                    id: nonce,
                    reply: DomainReply::NoSession,
                }),
            }
        }
    }

    fn raft(&mut self, event: RaftEvent, now: Duration, out: &mut Vec<MemberEffect>) {
        let before = self.state.layout_index();
        for effect in self.raft.step(event, now) {
            match effect {
                // The group is volatile: a restarted VM joins as a new member.
                RaftEffect::Persist(_) | RaftEffect::ReadReady { .. } => {}
                RaftEffect::Send { to, message } => out.push(MemberEffect::Send { to, message }),
                RaftEffect::Apply {
                    index,
                    term,
                    id,
                    payload,
                } => self.apply(index, term, id, payload, now, out),
                RaftEffect::RestoreSnapshot(snapshot) => {
                    // The bytes come from an authenticated member; a member that cannot read
                    // them stays behind and never leads with the older state.
                    if let Ok(state) = State::decode(&snapshot.data) {
                        self.state = state;
                    }
                }
                RaftEffect::RequestDropped {
                    id,
                    leader,
                    may_commit,
                } => {
                    if self.changing == Some(id) {
                        self.changing = None;
                    }
                    if let Some(waiter) = self.waiting.remove(&id) {
                        let leader = leader.map(member_vm).filter(|&vm| vm != self.vm);
                        out.push(if may_commit {
                            failed(waiter.call, true, "leadership was lost before the commit")
                        } else {
                            MemberEffect::Reply {
                                id: waiter.call,
                                reply: DomainReply::NotLeader(leader),
                            }
                        });
                    }
                }
                RaftEffect::RoleChanged { role, term, leader } => {
                    if role != Role::Leader && self.ready {
                        self.lead(LeaderEvent::SteppedDown, now, out);
                        self.ready = false;
                        self.changing = None;
                        self.joins.clear();
                        self.views.clear();
                    }
                    let leader = leader.map(member_vm);
                    out.push(MemberEffect::Role { role, term, leader });
                }
            }
        }
        if self.ready && self.state.layout_index() != before {
            self.lead(LeaderEvent::StateChanged, now, out);
            self.publish(now, out);
        }
    }

    fn apply(
        &mut self,
        index: u64,
        term: u64,
        id: Option<u64>,
        payload: Payload,
        now: Duration,
        out: &mut Vec<MemberEffect>,
    ) {
        let outcome = match payload {
            Payload::Noop | Payload::Members(_) => Outcome::Done,
            Payload::Data(data) => match postcard::from_bytes::<Command>(&data) {
                Ok(command) => self.state.apply(index, term, &command),
                Err(err) => Outcome::Refused(err.to_string().into()),
            },
        };
        if let Some(id) = id {
            if self.changing == Some(id) {
                self.changing = None;
            }
            if let Some(waiter) = self.waiting.remove(&id) {
                let reply = DomainReply::Applied(outcome);
                out.push(MemberEffect::Reply {
                    id: waiter.call,
                    reply,
                });
            }
        }
        if !self.ready && self.raft.role() == Role::Leader && term == self.raft.term() {
            self.ready = true;
            self.views.clear();
            self.synced = None;
            let event = LeaderEvent::Elected {
                epoch: term,
                recreated: self.reformed,
            };
            self.lead(event, now, out);
        }
        if self.raft.log_len() > COMPACT_AFTER
            && index.is_multiple_of(256)
            && let Ok(data) = self.state.encode()
        {
            self.raft(RaftEvent::Compact { index, data }, now, out);
        }
    }

    /// Sends the changes of the state to every VM that is known to have the state before.
    fn publish(&mut self, now: Duration, out: &mut Vec<MemberEffect>) {
        let behind: Vec<(VmId, u64)> = self
            .views
            .iter()
            .filter(|(_, known)| known.index < self.state.layout_index())
            .map(|(&vm, known)| (vm, known.index))
            .collect();
        for (vm, since) in behind {
            self.send_view(vm, since, now, out);
        }
    }

    fn note_view(&mut self, vm: VmId, index: u64, sent: Duration) {
        let known = self.views.entry(vm).or_insert(Known {
            index,
            sent,
            has: 0,
            in_force: 0,
        });
        (known.index, known.sent) = (index, sent);
    }

    fn send_view(&mut self, vm: VmId, since: u64, now: Duration, out: &mut Vec<MemberEffect>) {
        let view = self.state.view(since);
        self.note_view(vm, view.index, now);
        out.push(MemberEffect::View { vm, view });
    }

    /// Returns the bundle versions in force on the VMs that renew here.
    pub(crate) fn in_force(&self) -> Vec<(VmId, u64)> {
        self.views
            .iter()
            .map(|(&vm, known)| (vm, known.in_force))
            .collect()
    }

    /// Returns the shards that wait for their next home and the capacity of serving targets.
    pub(crate) fn report(&self, domain: &str) -> camphordale_control::DomainReport {
        camphordale_control::DomainReport {
            domain: domain.into(),
            term: self.term,
            bundle: self.state.mapping_version(),
            parked: self.leader.parked(&self.state),
            capacity: self.leader.capacity(&self.state),
        }
    }
}

/// Returns the shards that a target owns, with their tokens.
fn grants(state: &State, target: TargetId) -> Vec<(ShardRef, Token)> {
    let Some(entry) = state.target(target) else {
        return Vec::new();
    };
    let service = &entry.info.spec.service;
    state
        .shards(service)
        .filter(|(_, shard)| shard.phase.owner() == Some(target))
        .map(|(index, shard)| (ShardRef::new(service, index), shard.token))
        .collect()
}

/// Tells whether the state has exactly these shards of a service homed here.
fn has_homes(state: &State, service: &str, shards: &[HomedShard]) -> bool {
    let listed = state.shards(service).filter(|(_, entry)| entry.listed);
    listed.count() == shards.len()
        && shards.iter().all(|shard| {
            let shard_ref = ShardRef::new(service, shard.index);
            state.shard(&shard_ref).is_some_and(|entry| {
                entry.since == shard.since && entry.leaving == shard.leaving && entry.listed
            })
        })
}

fn failed(id: CallId, may_commit: bool, reason: &str) -> MemberEffect {
    MemberEffect::Reply {
        id,
        reply: DomainReply::Failed {
            may_commit,
            reason: reason.into(),
        },
    }
}
