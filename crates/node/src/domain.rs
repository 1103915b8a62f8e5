//! The member of the domain group on this VM: Raft, the replicated state and, on the leader, the
//! state machine of the domain leader.

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
    control::next_membership_change,
    member_vm, //
};

/// Log entries after which the log is compacted into a snapshot.
const COMPACTION_ENTRIES: u64 = 4_096;

/// Time after which a proposal that is not committed is reported as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a view that a VM has not confirmed is sent again.
const VIEW_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time that VMs have to fetch a bundle before it is put in force without them.
const BUNDLE_SPREAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval of proposals of directory changes that the replicated state does not have.
const SYNC_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Output of the member, to be carried out in order.
pub(crate) enum MemberEffect {
    /// Send a Raft message.
    Send { to: MemberId, message: Message },
    /// Reply to a call.
    Reply { id: CallId, reply: DomainReply },
    /// Renew the lease of a VM.
    Grant {
        vm: VmId,
        incarnation: Incarnation,
        nonce: u64,
        lease: Duration,
        min_view: u64,
    },
    /// Send a view of the state to a VM.
    View { vm: VmId, view: View },
    /// The role, term or leader changed.
    Role {
        role: Role,
        term: u64,
        leader: Option<VmId>,
    },
}

/// The services and shards that the directory assigns to this domain.
#[derive(Clone, Default)]
pub(crate) struct DomainAssignment {
    pub(crate) bundle_version: u64,
    pub(crate) services: Vec<Service>,
    /// Version of the shard homes in the directory.
    pub(crate) homes_version: u64,
    pub(crate) homes: BTreeMap<ServiceName, Vec<HomedShard>>,
    /// Whether the control leader has confirmed the assignment since this VM leads the group.
    pub(crate) confirmed: bool,
    /// Time at which this bundle version was assigned first.
    pub(crate) assigned_at: Duration,
}

/// The versions that a VM reports when it renews its lease.
#[derive(Clone, Copy)]
pub(crate) struct VmReport {
    /// Index of the view.
    pub(crate) view_index: u64,
    /// Version of the newest bundle that the VM has.
    pub(crate) bundle_version: u64,
    /// Version of the bundle in force on the VM.
    pub(crate) in_force: u64,
}

/// Progress of a VM that renews its lease here.
struct VmProgress {
    /// Index of the view that the VM has or was sent last.
    view_index: u64,
    /// Time at which a view was last sent.
    sent_at: Duration,
    /// Versions of the newest bundle that the VM has, and of the bundle in force.
    bundle_version: u64,
    in_force: u64,
}

struct PendingProposal {
    call: CallId,
    deadline: Duration,
}

/// The member of the domain group on this VM.
pub(crate) struct DomainMember {
    vm: VmId,
    id: MemberId,
    term: u64,
    recreated: bool,
    max_voters: usize,
    raft: Raft,
    pub(crate) state: State,
    leader: Leader,
    ready: bool,
    next_proposal: u64,
    proposals: BTreeMap<u64, PendingProposal>,
    joining: BTreeMap<MemberId, Duration>,
    membership_change: Option<u64>,
    vms: BTreeMap<VmId, VmProgress>,
    assignment: DomainAssignment,
    synced_at: Option<Duration>,
}

impl DomainMember {
    /// Starts a member of the group formed at `term`. `founders` are the first voters; any other
    /// VM starts with an empty log and has to join.
    pub(crate) fn new(
        config: Config,
        lease: LeaseConfig,
        term: u64,
        recreated: bool,
        founders: &[MemberId],
        max_voters: usize,
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
            recreated,
            max_voters,
            raft: Raft::new(config, recovered),
            state: State::new(term, recreated),
            leader: Leader::new(lease, seed),
            ready: false,
            next_proposal: 1,
            proposals: BTreeMap::new(),
            joining: BTreeMap::new(),
            membership_change: None,
            vms: BTreeMap::new(),
            assignment: DomainAssignment::default(),
            synced_at: None,
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

    /// Returns whether this VM leads and may serve calls: its state is up to date and its leader
    /// lease is valid.
    pub(crate) fn is_leader(&self, now: Duration) -> bool {
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

    /// Returns the index of the last state change that is part of views.
    pub(crate) fn view_index(&self) -> u64 {
        self.state.layout_index()
    }

    /// Replaces the assignment by that of a newer directory.
    pub(crate) fn assign(&mut self, assignment: DomainAssignment, now: Duration) {
        let same = assignment.bundle_version == self.assignment.bundle_version;
        let assigned_at = if same {
            self.assignment.assigned_at
        } else {
            now
        };
        self.assignment = DomainAssignment {
            assigned_at,
            ..assignment
        };
        self.synced_at = None;
    }

    pub(crate) fn tick(&mut self, now: Duration, out: &mut Vec<MemberEffect>) {
        self.step_raft(RaftEvent::Tick, now, out);
        let expired: Vec<u64> = self
            .proposals
            .iter()
            .filter(|(_, proposal)| proposal.deadline <= now)
            .map(|(&id, _)| id)
            .collect();
        for id in expired {
            if let Some(proposal) = self.proposals.remove(&id) {
                out.push(failed(
                    proposal.call,
                    true,
                    "the command was not committed in time",
                ));
            }
        }
        if !self.ready {
            return;
        }
        if let Some(until) = self.raft.lease_expiry() {
            self.step_leader(LeaderEvent::LeadershipConfirmed { until }, now, out);
        }
        self.step_leader(LeaderEvent::Tick, now, out);
        self.sync(now, out);
        self.advance_membership(now, out);
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
            self.step_raft(RaftEvent::Receive { from, message }, now, out);
        }
    }

    pub(crate) fn renew_vm(
        &mut self,
        vm: VmId,
        incarnation: Incarnation,
        nonce: u64,
        reported: VmReport,
        now: Duration,
        out: &mut Vec<MemberEffect>,
    ) {
        let view_index = reported.view_index;
        if reported.bundle_version >= self.state.bundle_version() {
            let event = LeaderEvent::RenewVm {
                vm,
                incarnation,
                nonce,
            };
            self.step_leader(event, now, out);
        } else {
            // A VM with an older bundle gets no lease, only the version of the newer one, so that
            // no request is sent under a bundle that the group has replaced.
            let (lease, min_view) = (Duration::ZERO, u64::MAX);
            out.push(MemberEffect::Grant {
                vm,
                incarnation,
                nonce,
                lease,
                min_view,
            });
        }
        // A VM without a session still gets views, so that a later lease does not have to wait for
        // the view that it requires.
        let is_behind = view_index < self.view_index();
        let progress = self.vms.get(&vm);
        let retry_due = progress.is_none_or(|progress| now >= progress.sent_at + VIEW_RETRY_DELAY);
        let unconfirmed = progress.is_none_or(|progress| progress.view_index != view_index);
        if is_behind && (retry_due || !unconfirmed) {
            self.send_view(vm, view_index, now, out);
        } else if !is_behind {
            self.record_view(vm, view_index, now);
        }
        if let Some(progress) = self.vms.get_mut(&vm) {
            (progress.bundle_version, progress.in_force) =
                (reported.bundle_version, reported.in_force);
        }
    }

    pub(crate) fn sender_report(
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
        self.step_leader(event, now, out);
    }

    pub(crate) fn call(
        &mut self,
        id: CallId,
        call: DomainCall,
        now: Duration,
        out: &mut Vec<MemberEffect>,
    ) {
        if !self.is_leader(now) {
            let leader = self.leader().filter(|&vm| vm != self.vm);
            let reply = DomainReply::NotLeader(leader);
            out.push(MemberEffect::Reply { id, reply });
            return;
        }
        match call {
            DomainCall::Join { term, member } => {
                let reply = if term == self.term {
                    if !self.raft.members().voters.contains(&member) {
                        self.joining.insert(member, now);
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
                self.step_leader(event, now, out);
            }
            DomainCall::Leave { vm, incarnation } => {
                self.step_leader(LeaderEvent::VmLeft { vm, incarnation }, now, out);
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
                let id = self.next_proposal;
                self.next_proposal += 1;
                if let Some(call) = call {
                    let deadline = now + CALL_TIMEOUT;
                    self.proposals
                        .insert(id, PendingProposal { call, deadline });
                }
                self.step_raft(RaftEvent::Propose { id, data }, now, out);
            }
            Err(err) => {
                if let Some(call) = call {
                    out.push(failed(call, false, &err.to_string()));
                }
            }
        }
    }

    /// Proposes the parts of the assignment that the replicated state does not have yet.
    fn sync(&mut self, now: Duration, out: &mut Vec<MemberEffect>) {
        if self.synced_at.is_some_and(|at| now < at + SYNC_RETRY_DELAY) {
            return;
        }
        self.synced_at = Some(now);
        // The first bundle of a group must be confirmed by the control leader: a local copy that is
        // behind could put a bundle in force that VMs of an earlier group have replaced.
        let known = self.state.bundle_version();
        if known < self.assignment.bundle_version
            && (known > 0 || self.assignment.confirmed)
            && self.is_bundle_distributed(now)
        {
            let command = Command::SetServices {
                version: self.assignment.bundle_version,
                services: self.assignment.services.clone(),
            };
            self.propose(None, &command, now, out);
        }
        let stale: Vec<Command> = self
            .assignment
            .homes
            .iter()
            .filter(|(service, shards)| !homes_match(&self.state, service, shards))
            .map(|(service, shards)| Command::SetHomes {
                service: service.clone(),
                version: self.assignment.homes_version,
                shards: shards.clone(),
            })
            .collect();
        for command in stale {
            self.propose(None, &command, now, out);
        }
    }

    /// Returns whether the state has the shard homes of the directory, and no shard homed elsewhere
    /// is still served.
    pub(crate) fn homes_applied(&self) -> bool {
        let homes = &self.assignment.homes;
        let is_served = |name: &ServiceName| {
            let mut shards = self.state.shards(name);
            shards.any(|(_, entry)| !entry.listed && matches!(entry.phase, Phase::Held(_)))
        };
        homes
            .iter()
            .all(|(service, shards)| homes_match(&self.state, service, shards))
            && !self.state.homed_services().any(is_served)
    }

    /// Returns whether all VMs with a session have fetched the assigned bundle, or had enough time
    /// to. VMs without the bundle get no lease once it is in force.
    fn is_bundle_distributed(&self, now: Duration) -> bool {
        let wanted = self.assignment.bundle_version;
        let is_behind = |(vm, _)| {
            self.vms
                .get(&vm)
                .is_none_or(|progress| progress.bundle_version < wanted)
        };
        now >= self.assignment.assigned_at + BUNDLE_SPREAD_TIMEOUT
            || !self.state.vms().any(is_behind)
    }

    fn advance_membership(&mut self, now: Duration, out: &mut Vec<MemberEffect>) {
        if self.membership_change.is_some() {
            return;
        }
        let Some(change) = next_membership_change(&self.raft, &self.joining) else {
            return;
        };
        // In a full group, a VM becomes a voter only in place of its own earlier incarnation.
        if let MembershipChange::AddLearner(member) = change {
            let voters = &self.raft.members().voters;
            let replaces = voters
                .iter()
                .any(|&other| member_vm(other) == member_vm(member));
            if voters.len() >= self.max_voters && !replaces {
                self.joining.remove(&member);
                return;
            }
        }
        let id = self.next_proposal;
        self.next_proposal += 1;
        self.membership_change = Some(id);
        self.step_raft(RaftEvent::ChangeMembers { id, change }, now, out);
    }

    fn step_leader(&mut self, event: LeaderEvent, now: Duration, out: &mut Vec<MemberEffect>) {
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
                    min_view,
                } => out.push(MemberEffect::Grant {
                    vm,
                    incarnation,
                    nonce,
                    lease,
                    min_view,
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

    fn step_raft(&mut self, event: RaftEvent, now: Duration, out: &mut Vec<MemberEffect>) {
        let before = self.state.layout_index();
        for effect in self.raft.step(event, now) {
            match effect {
                // The state of the group is kept in memory only: a restarted VM joins as a new
                // member.
                RaftEffect::Persist(_) | RaftEffect::ReadReady { .. } => {}
                RaftEffect::Send { to, message } => out.push(MemberEffect::Send { to, message }),
                RaftEffect::Apply {
                    index,
                    term,
                    id,
                    payload,
                } => self.apply(index, term, id, payload, now, out),
                RaftEffect::RestoreSnapshot(snapshot) => {
                    // The snapshot comes from an authenticated member. If it cannot be decoded, the
                    // state stays behind, and this member never leads with it.
                    if let Ok(state) = State::decode(&snapshot.data) {
                        self.state = state;
                    }
                }
                RaftEffect::RequestDropped {
                    id,
                    leader,
                    may_commit,
                } => {
                    if self.membership_change == Some(id) {
                        self.membership_change = None;
                    }
                    if let Some(proposal) = self.proposals.remove(&id) {
                        let leader = leader.map(member_vm).filter(|&vm| vm != self.vm);
                        out.push(if may_commit {
                            failed(proposal.call, true, "leadership was lost before the commit")
                        } else {
                            MemberEffect::Reply {
                                id: proposal.call,
                                reply: DomainReply::NotLeader(leader),
                            }
                        });
                    }
                }
                RaftEffect::RoleChanged { role, term, leader } => {
                    if role != Role::Leader && self.ready {
                        self.step_leader(LeaderEvent::SteppedDown, now, out);
                        self.ready = false;
                        self.membership_change = None;
                        self.joining.clear();
                        self.vms.clear();
                    }
                    let leader = leader.map(member_vm);
                    out.push(MemberEffect::Role { role, term, leader });
                }
            }
        }
        if self.ready && self.state.layout_index() != before {
            self.step_leader(LeaderEvent::StateChanged, now, out);
            self.publish_views(now, out);
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
            if self.membership_change == Some(id) {
                self.membership_change = None;
            }
            if let Some(proposal) = self.proposals.remove(&id) {
                let reply = DomainReply::Applied(outcome);
                out.push(MemberEffect::Reply {
                    id: proposal.call,
                    reply,
                });
            }
        }
        if !self.ready && self.raft.role() == Role::Leader && term == self.raft.term() {
            self.ready = true;
            self.vms.clear();
            self.synced_at = None;
            let event = LeaderEvent::Elected {
                epoch: term,
                recreated: self.recreated,
            };
            self.step_leader(event, now, out);
        }
        if self.raft.log_len() > COMPACTION_ENTRIES
            && index.is_multiple_of(256)
            && let Ok(data) = self.state.encode()
        {
            self.step_raft(RaftEvent::Compact { index, data }, now, out);
        }
    }

    /// Sends a view with the latest changes to every VM that is behind.
    fn publish_views(&mut self, now: Duration, out: &mut Vec<MemberEffect>) {
        let behind: Vec<(VmId, u64)> = self
            .vms
            .iter()
            .filter(|(_, progress)| progress.view_index < self.state.layout_index())
            .map(|(&vm, progress)| (vm, progress.view_index))
            .collect();
        for (vm, since) in behind {
            self.send_view(vm, since, now, out);
        }
    }

    fn record_view(&mut self, vm: VmId, view_index: u64, sent_at: Duration) {
        let progress = self.vms.entry(vm).or_insert(VmProgress {
            view_index,
            sent_at,
            bundle_version: 0,
            in_force: 0,
        });
        (progress.view_index, progress.sent_at) = (view_index, sent_at);
    }

    fn send_view(&mut self, vm: VmId, since: u64, now: Duration, out: &mut Vec<MemberEffect>) {
        let view = self.state.view(since);
        self.record_view(vm, view.index, now);
        out.push(MemberEffect::View { vm, view });
    }

    /// Returns the bundle versions in force on the VMs that renew their leases here.
    pub(crate) fn versions_in_force(&self) -> Vec<(VmId, u64)> {
        self.vms
            .iter()
            .map(|(&vm, progress)| (vm, progress.in_force))
            .collect()
    }

    /// Returns the report to the control leader: the parked shards, which wait for their next home,
    /// and the capacity of serving targets.
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

/// Returns the shards that a target owns, with their fencing tokens.
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

/// Returns whether exactly these shards of a service are homed here in the state.
fn homes_match(state: &State, service: &str, shards: &[HomedShard]) -> bool {
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
