//! The reducer of a control VM.
//!
//! Every control VM is a member of the Raft group. The leader serves operators and targets, streams
//! the view to entry VMs and grants key leases; the other members redirect to it.

mod acks;
mod api;
mod calls;
mod contents;
mod crashes;
mod heartbeats;
mod loads;
mod member_lag;
mod members;
mod rebalance;
mod statements;
mod streams;

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc,
    time::Duration,
};

use camphordale_raft::{
    self as raft,
    MemberId,
    Payload,
    Raft,
    RecoveredState,
    Role,
    Snapshot, //
};

pub use self::acks::FleetVersions;
pub use self::api::{
    Call,
    CallToken,
    Config,
    Effect,
    Event,
    LogEvent,
    Reply, //
};
use self::{
    acks::Acks,
    calls::{
        Departures,
        LastAnnouncement,
        Pending, //
    },
    contents::Contents,
    crashes::CrashNews,
    heartbeats::DelayedAnswer,
    loads::LoadNews,
    member_lag::MemberLag,
    members::MemberTable,
    rebalance::LoadStats,
    statements::StatementNews,
    streams::{
        EntryStream,
        RecentUpdates,
        Subscription,
        WaitingSubscription, //
    },
};
use crate::{
    evacuation::EvacuationOrder,
    key_leases::{
        Answer,
        LeaseTable,
        OrderId, //
    },
    member_list::MemberList,
    message::{
        Member,
        PeerMessage, //
    },
    registry::{
        Target,
        TargetId, //
    },
    routing::Version,
    state::{
        Command,
        Outcome,
        State, //
    },
};

/// Length of the Raft log at which it is compacted.
const COMPACT_AFTER_ENTRIES: u64 = 512;
/// Bytes of the Raft log up to which it is not compacted because of them.
const MIN_LOG_BYTES: usize = 1 << 20;
/// Bytes of the log in relation to those of the snapshot, so that no more is written for snapshots
/// than for entries.
const LOG_SNAPSHOT_RATIO: usize = 2;
/// Entries in one message to a member.
const MAX_BATCH_ENTRIES: usize = 64;
/// Bytes in one message to a member, unless a single entry is longer. Heartbeats wait behind it on
/// the link.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// State that only the leader has.
struct LeaderState {
    elected_at: Duration,
    lease_table: LeaseTable,
    announcements: BTreeMap<TargetId, LastAnnouncement>,
    departures: Departures,
    load_stats: LoadStats,
    delayed_answers: Vec<DelayedAnswer>,
    crash_news: CrashNews,
    statement_news: StatementNews,
    load_news: LoadNews,
    member_lag: MemberLag,
    /// Newest proposed record of each target, until it is committed. What a target calls for next is
    /// judged by it.
    proposed_targets: BTreeMap<TargetId, Target>,
    /// Earliest time of a pass over all key ranges outside of a tick.
    next_lease_pass: Duration,
}

/// Bytes that a control VM keeps, by purpose, in their encoded form.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetainedBytes {
    /// Entries of the Raft log in memory.
    pub log: usize,
    /// State in the snapshot of the log.
    pub snapshot: usize,
    /// Updates for entry VMs that subscribe again.
    pub updates: usize,
    /// Contents for entry VMs that take them in parts.
    pub contents: usize,
}

/// One control VM.
pub struct Control {
    config: Config,
    raft: Raft,
    state: State,
    applied: u64,
    leader_state: Option<LeaderState>,
    role: (bool, u64, Option<MemberId>),
    pending: BTreeMap<u64, Pending>,
    acks: Acks,
    next_id: u64,
    streams: BTreeMap<u64, EntryStream>,
    waiting: Vec<WaitingSubscription>,
    /// Subscriptions that this leader accepted and that need the whole view, oldest first.
    awaiting_view: VecDeque<Subscription>,
    /// Entry VMs that were sent a view of their own since the last tick.
    single_views: u32,
    recent_updates: RecentUpdates,
    contents: Contents,
    member_table: MemberTable,
    /// Version of the routing in force, and whether it is contended.
    contended: (Version, bool),
}

impl Control {
    /// Initial state of a founding member, the same for all of them.
    ///
    /// ```
    /// use camphordale_fleet::{Control, Member};
    ///
    /// let member = Member {
    ///     id: 1,
    ///     peer: "10.0.0.1:7000".parse()?,
    ///     control: "10.0.0.1:8000".parse()?,
    ///     domain: "a".into(),
    /// };
    /// let recovered = Control::bootstrap_state(vec![member])?;
    /// assert_eq!(recovered.snapshot.map(|s| s.members.voters.len()), Some(1));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns the error of `postcard` if the state cannot be encoded.
    pub fn bootstrap_state(members: Vec<Member>) -> Result<RecoveredState, postcard::Error> {
        let mut state = State::default();
        let mut snapshot = Snapshot::default();
        for member in members {
            snapshot.members.voters.insert(member.id);
            state.view.members.insert(member.id, member);
        }
        snapshot.data = postcard::to_stdvec(&state)?;
        Ok(RecoveredState {
            snapshot: Some(snapshot),
            ..RecoveredState::default()
        })
    }

    /// Starts a member from its durable state. `seeds` are the control VMs in the settings, `stored`
    /// those that an earlier process knew ([`Effect::StoreMembers`]).
    ///
    /// # Errors
    ///
    /// Returns the error of `postcard` if the state in the snapshot cannot be decoded.
    pub fn new(
        config: Config,
        recovered: RecoveredState,
        seeds: Vec<Member>,
        stored: MemberList,
    ) -> Result<Control, postcard::Error> {
        let state = match &recovered.snapshot {
            Some(snapshot) => postcard::from_bytes(&snapshot.data)?,
            None => State::default(),
        };
        let applied = recovered.snapshot.as_ref().map_or(0, |s| s.index);
        let raft = Raft::new(
            raft::Config {
                id: config.member.id,
                election_timeout: config.election_timeout,
                lease: config.leader_lease,
                heartbeat_interval: config.heartbeat_interval,
                max_batch: MAX_BATCH_ENTRIES,
                max_batch_bytes: MAX_BATCH_BYTES,
                seed: config.seed,
            },
            recovered,
        );
        let member_table = MemberTable::new(seeds, stored, &state.view);
        // Entries that are no commands have indexes too, and may stand behind the last command.
        let recent_updates = RecentUpdates::new(state.view.index, &state.view);
        Ok(Control {
            config,
            raft,
            state,
            applied,
            leader_state: None,
            role: (false, 0, None),
            pending: BTreeMap::new(),
            acks: Acks::default(),
            next_id: 0,
            streams: BTreeMap::new(),
            waiting: Vec::new(),
            awaiting_view: VecDeque::new(),
            single_views: 0,
            recent_updates,
            contents: Contents::default(),
            member_table,
            contended: (0, false),
        })
    }

    /// Handles one event and returns the effects to carry out in order. `now` must come from a
    /// clock that continues while the VM is suspended.
    pub fn step(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.on_tick(now, &mut out),
            Event::Seeds(seeds) => self.member_table.set_seeds(seeds),
            Event::Peer(message) => self.on_peer_message(message, now, &mut out),
            Event::Stream { conn, message } => self.on_stream_message(conn, message, now, &mut out),
            Event::StreamProgress(conn) => self.record_progress(conn, now),
            Event::StreamClosed(conn) => self.on_stream_closed(conn, now, &mut out),
            Event::Call { token, call } => self.on_call(token, call, now, &mut out),
            Event::OrderAnswered { id, answer } => {
                self.on_order_answered(id, &answer, now, &mut out)
            }
        }
        self.retry_waiting_subscriptions(now, &mut out);
        out
    }

    /// Current membership of the Raft group.
    pub fn members(&self) -> &raft::Members {
        self.raft.members()
    }

    /// The replicated state as applied by this member.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether the routing in force is contended
    /// ([`Routing::is_contended`](crate::Routing::is_contended)). The routes are searched once for
    /// each version.
    pub fn is_contended(&mut self) -> bool {
        if let Some(routing) = &self.state.view.routing
            && routing.version != self.contended.0
        {
            self.contended = (routing.version, routing.is_contended());
        }
        self.contended.1
    }

    /// Bytes that this member keeps for other VMs and for its next start.
    pub fn retained_bytes(&self) -> RetainedBytes {
        RetainedBytes {
            log: self.raft.log_bytes(),
            snapshot: self.raft.snapshot_bytes(),
            updates: self.recent_updates.bytes(),
            contents: self.contents.bytes(),
        }
    }

    /// Number of members that lag behind the log ([`LogEvent::Lagging`]); 0 unless this VM leads.
    pub fn lagging_members(&self) -> usize {
        let leader = self.leader_state.as_ref();
        leader.map_or(0, |leader| leader.member_lag.count())
    }

    /// Whether this VM is the leader and has applied the state of its term.
    pub fn is_leader(&self) -> bool {
        self.leader_state.is_some()
    }

    /// Notifies the Raft group that this member's storage failed.
    pub fn storage_failed(&mut self, now: Duration) -> Vec<Effect> {
        let mut out = Vec::new();
        self.step_raft(raft::Event::StorageFailed, now, &mut out);
        out
    }

    fn on_tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.step_raft(raft::Event::Tick, now, out);
        let needs_new_term = |leader: &LeaderState| leader.lease_table.needs_new_term();
        if self.leader_state.as_ref().is_some_and(needs_new_term) {
            self.step_raft(raft::Event::Resign, now, out);
        }
        self.request_membership(now, out);
        if let Some(members) = self.member_table.take_unsaved() {
            out.push(Effect::StoreMembers(members));
        }
        if self.leader_state.is_some() {
            self.maintain_members(now, out);
            self.report_lagging_members(now, out);
            self.forget_silent_targets(now, out);
            self.maintain_key_leases(now, out);
            self.send_delayed_answers(now, out);
            self.share_crash_evidence(now, out);
            self.share_limits(now, out);
            self.share_loads(now, out);
            self.share_latencies(now, out);
            self.close_silent_streams(now, out);
            self.acks.expire(now);
            self.send_waiting_views(now, out);
            self.acknowledge_changes(now, out);
        }
        if self.needs_compaction() {
            match postcard::to_stdvec(&self.state) {
                Ok(data) => {
                    let index = self.applied;
                    self.step_raft(raft::Event::Compact { index, data }, now, out);
                }
                Err(_) => out.push(Effect::Log(LogEvent::Codec("state cannot be encoded"))),
            }
        }
    }

    /// Whether the log has too many entries, or takes too many bytes of which enough are applied.
    fn needs_compaction(&self) -> bool {
        if self.raft.log_len() > COMPACT_AFTER_ENTRIES && self.applied > 0 {
            return true;
        }
        let limit = self.log_limit();
        self.raft.log_bytes() > limit && self.raft.compactable_bytes() > limit / 2
    }

    /// Bytes of the log at which it is compacted.
    fn log_limit(&self) -> usize {
        let limit = self.raft.snapshot_bytes() * LOG_SNAPSHOT_RATIO;
        limit.max(MIN_LOG_BYTES).min(self.config.log_limit)
    }

    /// Passes an event to the Raft group and carries out its effects.
    fn step_raft(&mut self, event: raft::Event, now: Duration, out: &mut Vec<Effect>) {
        for effect in self.raft.step(event, now) {
            match effect {
                raft::Effect::Persist(persist) => out.push(Effect::Persist(persist)),
                raft::Effect::Send { to, message } => self.send_raft(to, message, out),
                raft::Effect::Apply {
                    index,
                    term,
                    id,
                    payload,
                } => self.apply(index, term, id, &payload, now, out),
                raft::Effect::RestoreSnapshot(snapshot) => self.restore(&snapshot, out),
                raft::Effect::ReadReady { id, .. } => self.on_read_ready(id, out),
                raft::Effect::RequestDropped { id, .. } => self.on_proposal_dropped(id, out),
                raft::Effect::RoleChanged { role, term, leader } => {
                    self.on_role_changed(role, term, leader, out);
                }
            }
        }
    }

    fn propose(&mut self, command: &Command, then: Pending, now: Duration, out: &mut Vec<Effect>) {
        match postcard::to_stdvec(command) {
            Ok(data) => {
                self.next_id += 1;
                let id = self.next_id;
                self.pending.insert(id, then);
                self.step_raft(raft::Event::Propose { id, data }, now, out);
            }
            Err(_) => out.push(Effect::Log(LogEvent::Codec("command cannot be encoded"))),
        }
    }

    fn apply(
        &mut self,
        index: u64,
        term: u64,
        id: Option<u64>,
        payload: &Payload,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        self.applied = index;
        match payload {
            Payload::Noop => {}
            Payload::Members(members) => out.push(Effect::Log(LogEvent::Members {
                voters: members.voters.iter().copied().collect(),
                learners: members.learners.iter().copied().collect(),
            })),
            Payload::Data(data) => match postcard::from_bytes::<Command>(data) {
                Ok(command) => self.apply_command(index, id, (command, data), now, out),
                Err(_) => out.push(Effect::Log(LogEvent::Codec("command cannot be decoded"))),
            },
        }
        // Once an entry of its own term is committed, a leader knows all commands that were
        // accepted before.
        if self.leader_state.is_none()
            && self.raft.role() == Role::Leader
            && term == self.raft.term()
        {
            self.become_leader(now, out);
        }
    }

    fn apply_command(
        &mut self,
        index: u64,
        id: Option<u64>,
        (command, encoded): (Command, &Arc<[u8]>),
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let outcome = self.state.apply(index, &command);
        let pending = id.and_then(|id| self.pending.remove(&id));
        if let (Command::Announce { id, target }, Some(leader)) = (&command, &mut self.leader_state)
            && leader.proposed_targets.get(id) == Some(target)
        {
            leader.proposed_targets.remove(id);
        }
        if let Command::Change(change) = &command {
            out.push(Effect::Log(LogEvent::Change {
                base: change.base_version,
                version: change.version,
                outcome: outcome.clone(),
            }));
        }
        if let Command::Evacuate { domain, order } = &command {
            out.push(Effect::Log(LogEvent::Evacuation {
                domain: domain.clone(),
                order: *order,
                outcome: outcome.clone(),
            }));
            if outcome == Outcome::Done && *order == EvacuationOrder::End {
                self.require_warm_proof(domain);
            }
            // Keys of targets there begin to move with the next tick.
            if let Some(leader) = &mut self.leader_state {
                leader.load_stats.plan_now(now);
            }
        }
        if outcome == Outcome::Done {
            match &command {
                Command::Change(change) => {
                    self.acks.on_change(change, self.config.apply_timeout, now);
                }
                Command::Announce { id, target } => {
                    self.acks.retain_current(&self.state.view);
                    self.acks.on_target(id, target, index);
                }
                Command::Remove { .. } => self.acks.retain_current(&self.state.view),
                Command::Member(_)
                | Command::Forget(_)
                | Command::Assign { .. }
                | Command::Evacuate { .. } => {}
            }
            self.on_command_applied(&command, out);
            let is_assignment = matches!(command, Command::Assign { .. });
            self.stream_update(index, command, encoded.clone(), out);
            if is_assignment {
                self.send_delayed_answers(now, out);
            }
        }
        if let Some(pending) = pending {
            self.on_command_outcome(pending, index, outcome, now, out);
        }
    }

    /// Updates this member's own state after a command was applied, and logs the change.
    fn on_command_applied(&mut self, command: &Command, out: &mut Vec<Effect>) {
        match command {
            Command::Member(_) | Command::Forget(_) => {
                self.member_table.sync(&self.state.view);
            }
            Command::Assign { service, range, .. } => {
                if let Some(leader) = &mut self.leader_state {
                    leader
                        .lease_table
                        .record_assignment(service, range, &self.state.view);
                }
                out.push(Effect::Log(LogEvent::Assigned {
                    service: service.clone(),
                    range: range.clone(),
                }));
            }
            Command::Announce { id, target } => out.push(Effect::Log(LogEvent::Target {
                id: id.clone(),
                incarnation: target.incarnation,
                change: match target.state {
                    crate::TargetState::Ready => "ready",
                    crate::TargetState::Draining => "draining",
                    crate::TargetState::Left => "left",
                    crate::TargetState::Cold => "cold",
                },
            })),
            Command::Remove { id, incarnation } => out.push(Effect::Log(LogEvent::Target {
                id: id.clone(),
                incarnation: *incarnation,
                change: "forgotten",
            })),
            Command::Change(_) | Command::Evacuate { .. } => {}
        }
    }

    fn restore(&mut self, snapshot: &Snapshot, out: &mut Vec<Effect>) {
        match postcard::from_bytes(&snapshot.data) {
            Ok(state) => {
                self.state = state;
                self.applied = snapshot.index;
                let view = &self.state.view;
                self.recent_updates = RecentUpdates::new(view.index, view);
                self.contents.clear();
                self.acks.on_restored();
                self.member_table.sync(&self.state.view);
            }
            Err(_) => out.push(Effect::Log(LogEvent::Codec("snapshot cannot be decoded"))),
        }
    }

    fn on_role_changed(
        &mut self,
        role: Role,
        term: u64,
        leader: Option<MemberId>,
        out: &mut Vec<Effect>,
    ) {
        if role != Role::Leader {
            self.step_down(out);
        }
        self.report_role(term, leader, out);
    }

    fn report_role(&mut self, term: u64, leader: Option<MemberId>, out: &mut Vec<Effect>) {
        let role = (self.leader_state.is_some(), term, leader);
        if role != self.role {
            self.role = role;
            let (leads, term, leader) = role;
            out.push(Effect::Log(LogEvent::Role {
                leads,
                term,
                leader,
            }));
        }
    }

    fn become_leader(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let term = self.raft.term();
        self.leader_state = Some(LeaderState {
            elected_at: now,
            lease_table: LeaseTable::new(self.config.lease_times, term, &self.state.view, now),
            announcements: BTreeMap::new(),
            departures: Departures::default(),
            load_stats: LoadStats::default(),
            delayed_answers: Vec::new(),
            proposed_targets: BTreeMap::new(),
            next_lease_pass: now,
            crash_news: CrashNews::default(),
            statement_news: StatementNews::default(),
            load_news: LoadNews::default(),
            member_lag: MemberLag::default(),
        });
        self.member_table.become_leader(now);
        self.report_role(term, Some(self.config.member.id), out);
    }

    fn step_down(&mut self, out: &mut Vec<Effect>) {
        let Some(leader) = self.leader_state.take() else {
            return;
        };
        for delayed in leader.delayed_answers {
            out.push(delayed.unavailable("leadership was lost"));
        }
        // These calls took effect, but nobody waits for the entry VMs here any more. They are repeated
        // at the next leader.
        for token in self.acks.take_calls() {
            let reply = Reply::Unavailable("leadership was lost");
            out.push(Effect::Reply { token, reply });
        }
        let leader = self.leader_member().map(|member| member.peer);
        let awaiting = std::mem::take(&mut self.awaiting_view).into_iter();
        let awaiting = awaiting.map(|subscription| subscription.conn);
        let pulling = self.contents.take_pullers();
        for conn in std::mem::take(&mut self.streams)
            .into_keys()
            .chain(awaiting)
            .chain(pulling)
        {
            let message = PeerMessage::NotLeader { leader };
            out.push(Effect::Stream { conn, message });
            out.push(Effect::CloseStream(conn));
        }
    }

    fn leader_member(&self) -> Option<&Member> {
        let leader = self.raft.leader()?;
        self.member_table.find(leader)
    }

    fn send_raft(&mut self, to: MemberId, message: raft::Message, out: &mut Vec<Effect>) {
        let Some(to_address) = self.member_table.address(to) else {
            let repeated = !self.member_table.unaddressed.insert(to);
            let member = to;
            return out.push(Effect::Log(LogEvent::Unaddressed { member, repeated }));
        };
        if matches!(message, raft::Message::RequestVote { .. }) {
            // A voter that was away may not know a candidate that joined meanwhile.
            let own = vec![self.config.member.clone()];
            out.push(Effect::Send {
                to: to_address,
                message: PeerMessage::MemberList(MemberList::partial(own)),
            });
        }
        out.push(Effect::Send {
            to: to_address,
            message: PeerMessage::Raft {
                from: self.config.member.id,
                to,
                message,
            },
        });
    }

    fn on_order_answered(
        &mut self,
        id: OrderId,
        answer: &Answer,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        if let Some(leader) = &mut self.leader_state {
            let answered = leader.lease_table.record_answer(id, answer, now);
            let done = matches!(answer, Answer::Granted | Answer::Released(_));
            if let Some(answered) = answered {
                for range in answered.confirmed {
                    self.stream_handover(&answered.service, range, true, out);
                }
                if !done {
                    out.push(Effect::Log(LogEvent::Order {
                        holder: answered.holder,
                        answer: answer.clone(),
                    }));
                }
            }
        }
        // What follows from other answers can wait for the next tick.
        let may_free_range = matches!(answer, Answer::Released(_) | Answer::OtherTarget);
        let is_due = |leader: &LeaderState| now >= leader.next_lease_pass;
        if may_free_range && self.leader_state.as_ref().is_some_and(is_due) {
            self.maintain_key_leases(now, out);
        }
    }
}
