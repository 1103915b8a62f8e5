//! The control role of a VM: its Raft member of the control group, the replicated state and, on
//! the leader, the planner.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_bundle::SignedBundle;
use camphordale_control::{
    AuditEntry,
    Command,
    Outcome,
    Planner,
    PlannerConfig,
    PlannerEvent,
    SnapshotError,
    State, //
};
use camphordale_raft::{
    Config,
    DurableWrite,
    Effect as RaftEffect,
    Event as RaftEvent,
    MembershipChange,
    Message,
    Payload,
    Raft,
    RecoveredState,
    Role,
    Snapshot, //
};
use camphordale_types::{
    MemberId,
    VmId, //
};

use crate::{
    CallId,
    ControlCall,
    ControlReply,
    MemberList,
    VmVersion,
    member_vm, //
};

/// Log entries after which the log is compacted into a snapshot.
const COMPACTION_ENTRIES: u64 = 1_024;

/// Time after which a proposal that is not committed is reported as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of the control role.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// This VM.
    pub vm: VmId,
    /// The Raft member.
    pub raft: Config,
    /// The planner.
    pub planner: PlannerConfig,
}

/// Input of the control role.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed.
    Tick,
    /// A Raft message arrived.
    Raft {
        /// The sending member.
        from: MemberId,
        /// The receiving member.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// A call arrived; it gets one `Reply`.
    Call {
        /// Id of the call, chosen by the caller.
        id: CallId,
        /// The call.
        call: ControlCall,
    },
    /// A write to the storage failed.
    StorageFailed,
}

/// Output of the control role, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEffect {
    /// Make this write durable before the effects that follow.
    Persist(DurableWrite),
    /// Send a Raft message.
    Send {
        /// The receiving member.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Reply to a call.
    Reply {
        /// Id of the call.
        id: CallId,
        /// The reply.
        reply: ControlReply,
    },
    /// The role of this member changed.
    Role {
        /// The new role.
        role: Role,
        /// The term.
        term: u64,
        /// The leader, if known.
        leader: Option<VmId>,
    },
}

/// A proposal that is not committed or dropped yet.
struct PendingProposal {
    /// The call to reply to; `None` for a proposal of the planner.
    call: Option<CallId>,
    /// Time at which the call fails.
    deadline: Duration,
}

/// The control role.
pub struct ControlNode {
    vm: VmId,
    id: MemberId,
    raft: Raft,
    state: State,
    applied_index: u64,
    planner: Planner,
    /// Whether this member leads and has applied an entry of its own term, so that its state
    /// includes all committed entries.
    ready: bool,
    next_proposal: u64,
    proposals: BTreeMap<u64, PendingProposal>,
    /// Members that asked to join, with the time of the request.
    joining: BTreeMap<MemberId, Duration>,
    /// Id of the proposed membership change that is not applied or dropped yet.
    membership_change: Option<u64>,
    /// Bundle version in force on each VM, with the time of the report.
    in_force: BTreeMap<VmId, (u64, Duration)>,
}

impl ControlNode {
    /// Starts the role from the state that the storage recovered. `initial` is the state of a new
    /// deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot cannot be decoded.
    pub fn new(
        config: ControlConfig,
        recovered: RecoveredState,
        initial: State,
    ) -> Result<Self, SnapshotError> {
        let (state, applied_index) = match &recovered.snapshot {
            Some(snapshot) if snapshot.index > 0 => {
                (State::decode(&snapshot.data)?, snapshot.index)
            }
            _ => (initial, 0),
        };
        Ok(ControlNode {
            vm: config.vm,
            id: config.raft.id,
            raft: Raft::new(config.raft, recovered),
            state,
            applied_index,
            planner: Planner::new(config.planner),
            ready: false,
            next_proposal: 1,
            proposals: BTreeMap::new(),
            joining: BTreeMap::new(),
            membership_change: None,
            in_force: BTreeMap::new(),
        })
    }

    /// Returns the replicated state as of the last entry that this member applied.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the VM of the leader, if known.
    pub fn leader(&self) -> Option<VmId> {
        self.raft.leader().map(member_vm)
    }

    /// Returns the Raft term.
    pub fn term(&self) -> u64 {
        self.raft.term()
    }

    /// Whether this member has to ask to join the group: it has never been a voter. A member
    /// that was removed does not join again.
    pub fn needs_join(&self) -> bool {
        let members = self.raft.members();
        members.voters.is_empty() || members.learners.contains(&self.id)
    }

    /// Handles one event.
    pub fn step(&mut self, event: ControlEvent, now: Duration) -> Vec<ControlEffect> {
        let mut out = Vec::new();
        match event {
            ControlEvent::Tick => {
                self.step_raft(RaftEvent::Tick, now, &mut out);
                self.expire_proposals(now, &mut out);
                if self.ready {
                    self.plan(PlannerEvent::Tick, now, &mut out);
                    self.advance_membership(now, &mut out);
                }
            }
            ControlEvent::Raft { from, to, message } => {
                // The message may be for an earlier member id of this VM.
                if to == self.id {
                    self.step_raft(RaftEvent::Receive { from, message }, now, &mut out);
                }
            }
            ControlEvent::Call { id, call } => self.call(id, call, now, &mut out),
            ControlEvent::StorageFailed => {
                self.step_raft(RaftEvent::StorageFailed, now, &mut out);
                self.step_down(now, &mut out);
            }
        }
        out
    }

    fn call(&mut self, id: CallId, call: ControlCall, now: Duration, out: &mut Vec<ControlEffect>) {
        if !self.is_leader(now) {
            out.push(ControlEffect::Reply {
                id,
                reply: ControlReply::NotLeader(self.leader().filter(|&vm| vm != self.vm)),
            });
            return;
        }
        let reply = match call {
            ControlCall::Register(info) => {
                return self.propose(Some(id), Command::RegisterVm(info), now, out);
            }
            ControlCall::Execute(command) => return self.propose(Some(id), command, now, out),
            ControlCall::Report {
                report,
                versions,
                in_force,
            } => {
                for (vm, version) in in_force {
                    self.in_force.insert(vm, (version, now));
                }
                let domain = report.domain.clone();
                self.plan(PlannerEvent::Report(report), now, out);
                ControlReply::DirectoryUpdate {
                    directory: self.state.directory(&versions),
                    renewed: self.planner.renews_lease(&domain),
                    seal: self.planner.sealing_term(&domain),
                }
            }
            ControlCall::Leaderless {
                info,
                term,
                sealed,
                versions,
                in_force,
            } => {
                self.in_force.insert(info.vm, (in_force, now));
                let seal = self.planner.sealing_term(&info.domain);
                let event = PlannerEvent::Leaderless {
                    vm: info.vm,
                    incarnation: info.incarnation,
                    domain: info.domain,
                    term,
                    sealed,
                };
                self.plan(event, now, out);
                ControlReply::DirectoryUpdate {
                    directory: self.state.directory(&versions),
                    renewed: false,
                    seal,
                }
            }
            ControlCall::Join(member) => {
                if !self.raft.members().voters.contains(&member) {
                    self.joining.insert(member, now);
                }
                ControlReply::Members(self.member_list())
            }
            ControlCall::Remove { member, by, at } => {
                self.joining.remove(&member);
                let note = Command::RecordAction {
                    action: format!("remove control member {member:#x}").into(),
                    by,
                    at,
                };
                self.propose(None, note, now, out);
                return self.propose_membership_change(
                    Some(id),
                    MembershipChange::Remove(member),
                    now,
                    out,
                );
            }
            ControlCall::Bundle(version) => ControlReply::Bundle(self.signed_bundle(version)),
            ControlCall::Audit(from) => ControlReply::Audit(self.audit(from)),
            ControlCall::Members => ControlReply::Members(self.member_list()),
            ControlCall::BundleVersions => ControlReply::BundleVersions(self.bundle_versions(now)),
        };
        out.push(ControlEffect::Reply { id, reply });
    }

    /// Whether this member may serve calls: it has applied an entry of its own term, and its
    /// leader lease is valid, so that no other leader can exist.
    fn is_leader(&self, now: Duration) -> bool {
        self.ready && self.raft.lease_expiry().is_some_and(|until| now < until)
    }

    fn signed_bundle(&self, version: Option<u64>) -> Option<SignedBundle> {
        let found = match version {
            Some(version) => self.state.signed_bundle_at(version),
            None => self.state.signed_bundle(),
        };
        found.cloned()
    }

    fn audit(&self, from: u64) -> Vec<AuditEntry> {
        self.state
            .audit()
            .iter()
            .filter(|entry| entry.number >= from)
            .cloned()
            .collect()
    }

    /// Returns what every registered VM last reported; one that did not report to this leader
    /// counts as having none.
    fn bundle_versions(&self, now: Duration) -> Vec<VmVersion> {
        self.state
            .vms()
            .map(|info| {
                let (version, at) = self
                    .in_force
                    .get(&info.vm)
                    .copied()
                    .unwrap_or((0, Duration::ZERO));
                VmVersion {
                    vm: info.vm,
                    version,
                    report_age: now.saturating_sub(at),
                }
            })
            .collect()
    }

    fn member_list(&self) -> MemberList {
        let members = self.raft.members();
        MemberList {
            term: self.raft.term(),
            leader: self.id,
            commit: self.raft.commit_index(),
            voters: members.voters.iter().copied().collect(),
            learners: members.learners.iter().copied().collect(),
        }
    }

    fn propose(
        &mut self,
        call: Option<CallId>,
        command: Command,
        now: Duration,
        out: &mut Vec<ControlEffect>,
    ) {
        match postcard::to_stdvec(&command) {
            Ok(data) => {
                let id = self.add_proposal(call, now);
                self.step_raft(RaftEvent::Propose { id, data }, now, out);
            }
            Err(err) => {
                if let Some(id) = call {
                    out.push(failed(id, false, &err.to_string()));
                }
            }
        }
    }

    fn propose_membership_change(
        &mut self,
        call: Option<CallId>,
        change: MembershipChange,
        now: Duration,
        out: &mut Vec<ControlEffect>,
    ) {
        let id = self.add_proposal(call, now);
        self.membership_change = Some(id);
        self.step_raft(RaftEvent::ChangeMembers { id, change }, now, out);
    }

    fn add_proposal(&mut self, call: Option<CallId>, now: Duration) -> u64 {
        let id = self.next_proposal;
        self.next_proposal += 1;
        let deadline = now + CALL_TIMEOUT;
        self.proposals
            .insert(id, PendingProposal { call, deadline });
        id
    }

    fn plan(&mut self, event: PlannerEvent, now: Duration, out: &mut Vec<ControlEffect>) {
        for command in self.planner.step(&self.state, event, now) {
            self.propose(None, command, now, out);
        }
    }

    /// Proposes the next membership change for joining members, one at a time: first as a learner,
    /// then as a voter once the log has caught up, then the removal of an earlier member of the
    /// same VM, whose disk was lost.
    fn advance_membership(&mut self, now: Duration, out: &mut Vec<ControlEffect>) {
        if self.membership_change.is_some() {
            return;
        }
        if let Some(change) = next_membership_change(&self.raft, &self.joining) {
            self.propose_membership_change(None, change, now, out);
        }
    }

    fn step_raft(&mut self, event: RaftEvent, now: Duration, out: &mut Vec<ControlEffect>) {
        for effect in self.raft.step(event, now) {
            match effect {
                RaftEffect::Persist(persist) => out.push(ControlEffect::Persist(persist)),
                RaftEffect::Send { to, message } => out.push(ControlEffect::Send { to, message }),
                RaftEffect::Apply {
                    index,
                    term,
                    id,
                    payload,
                } => self.apply(index, term, id, payload, now, out),
                RaftEffect::RestoreSnapshot(snapshot) => self.restore_snapshot(&snapshot),
                RaftEffect::RequestDropped {
                    id,
                    leader,
                    may_commit,
                } => {
                    self.proposal_dropped(id, leader.map(member_vm), may_commit, out);
                }
                RaftEffect::RoleChanged { role, term, leader } => {
                    if role != Role::Leader {
                        self.step_down(now, out);
                    }
                    let leader = leader.map(member_vm);
                    out.push(ControlEffect::Role { role, term, leader });
                }
                // Calls are served under the leader lease, so no read index is requested.
                RaftEffect::ReadReady { .. } => {}
            }
        }
    }

    fn apply(
        &mut self,
        index: u64,
        term: u64,
        id: Option<u64>,
        payload: Payload,
        now: Duration,
        out: &mut Vec<ControlEffect>,
    ) {
        self.applied_index = index;
        let outcome = match payload {
            Payload::Noop | Payload::Members(_) => Outcome::Done,
            Payload::Data(data) => match postcard::from_bytes::<Command>(&data) {
                Ok(command) => self.state.apply(index, &command),
                // All members skip an entry that cannot be decoded, so that their states stay
                // equal.
                Err(_) => Outcome::Done,
            },
        };
        if let Some(id) = id {
            self.clear_membership_change(id);
            if let Some(call) = self
                .proposals
                .remove(&id)
                .and_then(|proposal| proposal.call)
            {
                let reply = ControlReply::Applied(outcome);
                out.push(ControlEffect::Reply { id: call, reply });
            }
        }
        if !self.ready && self.raft.role() == Role::Leader && term == self.raft.term() {
            self.ready = true;
            self.plan(PlannerEvent::Elected, now, out);
        }
        if self.raft.log_len() > COMPACTION_ENTRIES && index.is_multiple_of(64) {
            let data = self.state.encode();
            self.step_raft(RaftEvent::Compact { index, data }, now, out);
        }
    }

    fn restore_snapshot(&mut self, snapshot: &Snapshot) {
        // The snapshot comes from an authenticated member of the group. If it cannot be decoded,
        // the state stays behind, and this member never leads with it.
        if let Ok(state) = State::decode(&snapshot.data) {
            self.state = state;
            self.applied_index = snapshot.index;
        }
    }

    fn proposal_dropped(
        &mut self,
        id: u64,
        leader: Option<VmId>,
        may_commit: bool,
        out: &mut Vec<ControlEffect>,
    ) {
        self.clear_membership_change(id);
        let Some(call) = self
            .proposals
            .remove(&id)
            .and_then(|proposal| proposal.call)
        else {
            return;
        };
        out.push(if may_commit {
            failed(
                call,
                true,
                "leadership was lost before the command was committed",
            )
        } else {
            ControlEffect::Reply {
                id: call,
                reply: ControlReply::NotLeader(leader.filter(|&vm| vm != self.vm)),
            }
        });
    }

    fn clear_membership_change(&mut self, id: u64) {
        if self.membership_change == Some(id) {
            self.membership_change = None;
        }
    }

    fn step_down(&mut self, now: Duration, out: &mut Vec<ControlEffect>) {
        if !self.ready {
            return;
        }
        self.ready = false;
        self.membership_change = None;
        self.joining.clear();
        self.in_force.clear();
        self.plan(PlannerEvent::SteppedDown, now, out);
    }

    fn expire_proposals(&mut self, now: Duration, out: &mut Vec<ControlEffect>) {
        let expired: Vec<u64> = self
            .proposals
            .iter()
            .filter(|(_, proposal)| proposal.deadline <= now)
            .map(|(&id, _)| id)
            .collect();
        for id in expired {
            self.clear_membership_change(id);
            if let Some(call) = self
                .proposals
                .remove(&id)
                .and_then(|proposal| proposal.call)
            {
                out.push(failed(call, true, "the command was not committed in time"));
            }
        }
    }
}

/// Returns the next membership change for the joining members, if one is due.
pub(crate) fn next_membership_change(
    raft: &Raft,
    joins: &BTreeMap<MemberId, Duration>,
) -> Option<MembershipChange> {
    let members = raft.members();
    for &member in joins.keys() {
        if members.voters.contains(&member) {
            let old = members
                .voters
                .iter()
                .chain(&members.learners)
                .find(|&&other| other != member && member_vm(other) == member_vm(member));
            if let Some(&old) = old {
                return Some(MembershipChange::Remove(old));
            }
        } else if !members.learners.contains(&member) {
            return Some(MembershipChange::AddLearner(member));
        } else if raft
            .match_index(member)
            .is_some_and(|index| index >= raft.commit_index())
        {
            return Some(MembershipChange::Promote(member));
        }
    }
    None
}

fn failed(id: CallId, may_commit: bool, reason: &str) -> ControlEffect {
    ControlEffect::Reply {
        id,
        reply: ControlReply::Failed {
            may_commit,
            reason: reason.into(),
        },
    }
}
