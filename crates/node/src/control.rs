//! The control role of a VM: a member of the control group, its state and, on the leader, the
//! planner.

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

/// Entries after which the log is compacted into a snapshot.
const COMPACT_AFTER: u64 = 1_024;

/// Time after which a call to the control group is given up.
const CALL_LIMIT: Duration = Duration::from_secs(5);

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
    /// A call arrived; it is answered by one `Reply`.
    Call {
        /// Chosen by the caller.
        id: CallId,
        /// The call.
        call: ControlCall,
    },
    /// The storage failed.
    StorageFailed,
}

/// Output of the control role, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEffect {
    /// Make this durable before the effects after it.
    Persist(DurableWrite),
    /// Send a Raft message.
    Send {
        /// The receiving member.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Answer a call.
    Reply {
        /// Id of the call.
        id: CallId,
        /// The answer.
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

/// A proposal whose outcome a caller waits for.
struct Waiter {
    /// The call, or none for a proposal of the planner.
    call: Option<CallId>,
    /// When the call is given up.
    until: Duration,
}

/// The control role.
pub struct ControlNode {
    vm: VmId,
    id: MemberId,
    raft: Raft,
    state: State,
    applied: u64,
    planner: Planner,
    /// Whether this member leads and has applied an entry of its own term, so that its state is
    /// up to date.
    ready: bool,
    next: u64,
    waiting: BTreeMap<u64, Waiter>,
    /// Members that asked to join and are not voters yet.
    joins: BTreeMap<MemberId, Duration>,
    /// Whether a change of members is proposed and not yet applied or dropped.
    changing: Option<u64>,
    /// Bundle version in force on each VM, and when it was reported.
    in_force: BTreeMap<VmId, (u64, Duration)>,
}

impl ControlNode {
    /// Starts the role from what the storage recovered. `initial` is the state of a new
    /// deployment.
    ///
    /// # Errors
    ///
    /// A snapshot that cannot be decoded is an error.
    pub fn new(
        config: ControlConfig,
        recovered: RecoveredState,
        initial: State,
    ) -> Result<Self, SnapshotError> {
        let (state, applied) = match &recovered.snapshot {
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
            applied,
            planner: Planner::new(config.planner),
            ready: false,
            next: 1,
            waiting: BTreeMap::new(),
            joins: BTreeMap::new(),
            changing: None,
            in_force: BTreeMap::new(),
        })
    }

    /// Returns the replicated state as far as this member applied it.
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

    /// Tells whether this identity has to join the group: it has not been a voter in it. One that
    /// was removed does not come back.
    pub fn needs_join(&self) -> bool {
        let members = self.raft.members();
        members.voters.is_empty() || members.learners.contains(&self.id)
    }

    /// Handles one event.
    pub fn step(&mut self, event: ControlEvent, now: Duration) -> Vec<ControlEffect> {
        let mut out = Vec::new();
        match event {
            ControlEvent::Tick => {
                self.raft(RaftEvent::Tick, now, &mut out);
                self.expire_calls(now, &mut out);
                if self.ready {
                    self.plan(PlannerEvent::Tick, now, &mut out);
                    self.change_members(now, &mut out);
                }
            }
            ControlEvent::Raft { from, to, message } => {
                // A message for an earlier identity of this VM must not reach the new one.
                if to == self.id {
                    self.raft(RaftEvent::Receive { from, message }, now, &mut out);
                }
            }
            ControlEvent::Call { id, call } => self.call(id, call, now, &mut out),
            ControlEvent::StorageFailed => {
                self.raft(RaftEvent::StorageFailed, now, &mut out);
                self.depose(now, &mut out);
            }
        }
        out
    }

    fn call(&mut self, id: CallId, call: ControlCall, now: Duration, out: &mut Vec<ControlEffect>) {
        if !self.leads(now) {
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
                    seal: self.planner.term_to_seal(&domain),
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
                let seal = self.planner.term_to_seal(&info.domain);
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
                    self.joins.insert(member, now);
                }
                ControlReply::Members(self.member_list())
            }
            ControlCall::Remove { member, by, at } => {
                self.joins.remove(&member);
                let note = Command::RecordAction {
                    action: format!("remove control member {member:#x}").into(),
                    by,
                    at,
                };
                self.propose(None, note, now, out);
                return self.change(Some(id), MembershipChange::Remove(member), now, out);
            }
            ControlCall::Bundle(version) => ControlReply::Bundle(self.bundle(version)),
            ControlCall::Audit(from) => ControlReply::Audit(self.audit(from)),
            ControlCall::Members => ControlReply::Members(self.member_list()),
            ControlCall::BundleVersions => {
                ControlReply::BundleVersions(self.versions_in_force(now))
            }
        };
        out.push(ControlEffect::Reply { id, reply });
    }

    /// Tells whether this member may answer for the group: it leads, has applied an entry of its
    /// term, and no other leader can exist now.
    fn leads(&self, now: Duration) -> bool {
        self.ready && self.raft.lease_expiry().is_some_and(|until| now < until)
    }

    fn bundle(&self, version: Option<u64>) -> Option<SignedBundle> {
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
    fn versions_in_force(&self, now: Duration) -> Vec<VmVersion> {
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
                let id = self.wait(call, now);
                self.raft(RaftEvent::Propose { id, data }, now, out);
            }
            Err(err) => {
                if let Some(id) = call {
                    out.push(failed(id, false, &err.to_string()));
                }
            }
        }
    }

    fn change(
        &mut self,
        call: Option<CallId>,
        change: MembershipChange,
        now: Duration,
        out: &mut Vec<ControlEffect>,
    ) {
        let id = self.wait(call, now);
        self.changing = Some(id);
        self.raft(RaftEvent::ChangeMembers { id, change }, now, out);
    }

    fn wait(&mut self, call: Option<CallId>, now: Duration) -> u64 {
        let id = self.next;
        self.next += 1;
        let until = now + CALL_LIMIT;
        self.waiting.insert(id, Waiter { call, until });
        id
    }

    fn plan(&mut self, event: PlannerEvent, now: Duration, out: &mut Vec<ControlEffect>) {
        for command in self.planner.step(&self.state, event, now) {
            self.propose(None, command, now, out);
        }
    }

    /// Brings joining members in, one change at a time: learner first, voter once it has caught
    /// up, and last the removal of an earlier identity of the same VM, whose disk is lost.
    fn change_members(&mut self, now: Duration, out: &mut Vec<ControlEffect>) {
        if self.changing.is_some() {
            return;
        }
        if let Some(change) = next_change(&self.raft, &self.joins) {
            self.change(None, change, now, out);
        }
    }

    fn raft(&mut self, event: RaftEvent, now: Duration, out: &mut Vec<ControlEffect>) {
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
                RaftEffect::RestoreSnapshot(snapshot) => self.restore(&snapshot),
                RaftEffect::RequestDropped {
                    id,
                    leader,
                    may_commit,
                } => {
                    self.dropped(id, leader.map(member_vm), may_commit, out);
                }
                RaftEffect::RoleChanged { role, term, leader } => {
                    if role != Role::Leader {
                        self.depose(now, out);
                    }
                    let leader = leader.map(member_vm);
                    out.push(ControlEffect::Role { role, term, leader });
                }
                // Calls are answered under the leader's confirmed leadership, so no read index
                // is asked for.
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
        self.applied = index;
        let outcome = match payload {
            Payload::Noop | Payload::Members(_) => Outcome::Done,
            Payload::Data(data) => match postcard::from_bytes::<Command>(&data) {
                Ok(command) => self.state.apply(index, &command),
                // Every member skips an entry that cannot be decoded, so that the states agree.
                Err(_) => Outcome::Done,
            },
        };
        if let Some(id) = id {
            self.finished(id);
            if let Some(call) = self.waiting.remove(&id).and_then(|waiter| waiter.call) {
                let reply = ControlReply::Applied(outcome);
                out.push(ControlEffect::Reply { id: call, reply });
            }
        }
        if !self.ready && self.raft.role() == Role::Leader && term == self.raft.term() {
            self.ready = true;
            self.plan(PlannerEvent::Elected, now, out);
        }
        if self.raft.log_len() > COMPACT_AFTER && index.is_multiple_of(64) {
            let data = self.state.encode();
            self.raft(RaftEvent::Compact { index, data }, now, out);
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        // The snapshot was made by a member of the group and its bytes are authenticated; one
        // that cannot be decoded leaves the state behind, and this member never leads with it.
        if let Ok(state) = State::decode(&snapshot.data) {
            self.state = state;
            self.applied = snapshot.index;
        }
    }

    fn dropped(&mut self, id: u64, leader: Option<VmId>, sent: bool, out: &mut Vec<ControlEffect>) {
        self.finished(id);
        let Some(call) = self.waiting.remove(&id).and_then(|waiter| waiter.call) else {
            return;
        };
        out.push(if sent {
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

    fn finished(&mut self, id: u64) {
        if self.changing == Some(id) {
            self.changing = None;
        }
    }

    fn depose(&mut self, now: Duration, out: &mut Vec<ControlEffect>) {
        if !self.ready {
            return;
        }
        self.ready = false;
        self.changing = None;
        self.joins.clear();
        self.in_force.clear();
        self.plan(PlannerEvent::SteppedDown, now, out);
    }

    fn expire_calls(&mut self, now: Duration, out: &mut Vec<ControlEffect>) {
        let late: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiter)| waiter.until <= now)
            .map(|(&id, _)| id)
            .collect();
        for id in late {
            self.finished(id);
            if let Some(call) = self.waiting.remove(&id).and_then(|waiter| waiter.call) {
                out.push(failed(call, true, "the command was not committed in time"));
            }
        }
    }
}

/// Returns the next membership change that brings a joining member in, if there is one.
pub(crate) fn next_change(
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
