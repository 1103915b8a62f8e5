//! The reducer of a control VM.
//!
//! Every control VM takes part in the Raft group. The leader answers operators and targets,
//! streams the view to entry VMs and grants keys; the others redirect.

mod api;
mod calls;
mod members;
mod rebalance;
mod streams;

use std::{
    collections::BTreeMap,
    time::Duration, //
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

pub use self::api::{
    Call,
    CallToken, //
    Config,
    Effect,
    Event,
    LogEvent,
    Reply,
};
use self::{
    calls::{
        Pending,
        Seen, //
    },
    members::Roster,
    rebalance::Holders,
    streams::{
        Stream,
        Waiting, //
    },
};
use crate::{
    key_leases::{
        Answer,
        Grants, //
        OrderId,
    },
    message::{
        Member,
        PeerMessage, //
    },
    registry::TargetId,
    state::{
        Command,
        Outcome,
        State, //
    },
};

/// Entries after which the log is compacted.
const COMPACT_AFTER: u64 = 512;

/// What only the leader keeps.
struct Lead {
    since: Duration,
    grants: Grants,
    seen: BTreeMap<TargetId, Seen>,
    holders: Holders,
}

/// One control VM.
pub struct Control {
    config: Config,
    raft: Raft,
    state: State,
    applied: u64,
    lead: Option<Lead>,
    role: (bool, u64, Option<MemberId>),
    pending: BTreeMap<u64, Pending>,
    publishing: Vec<calls::Publishing>,
    next_id: u64,
    streams: BTreeMap<u64, Stream>,
    waiting: Vec<Waiting>,
    roster: Roster,
}

impl Control {
    /// State of a founding member before its first start: the same for all members.
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
    /// Those of `postcard`, if the state cannot be encoded.
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

    /// Starts a member from its durable state. `book` holds the control VMs known from before and
    /// from the settings.
    ///
    /// # Errors
    ///
    /// Those of `postcard`, if the state in the snapshot cannot be decoded.
    pub fn new(
        config: Config,
        recovered: RecoveredState,
        book: Vec<Member>,
    ) -> Result<Control, postcard::Error> {
        let state = match &recovered.snapshot {
            Some(snapshot) => postcard::from_bytes(&snapshot.data)?,
            None => State::default(),
        };
        let applied = recovered.snapshot.as_ref().map_or(0, |s| s.index);
        let raft = Raft::new(
            raft::Config {
                id: config.member.id,
                election_timeout: config.election,
                lease: config.leader_lease,
                heartbeat_interval: config.heartbeat,
                max_batch: 64,
                seed: config.seed,
            },
            recovered,
        );
        let roster = Roster::new(book, &state.view);
        Ok(Control {
            config,
            raft,
            state,
            applied,
            lead: None,
            role: (false, 0, None),
            pending: BTreeMap::new(),
            publishing: Vec::new(),
            next_id: 0,
            streams: BTreeMap::new(),
            waiting: Vec::new(),
            roster,
        })
    }

    /// Takes one event and returns the effects to carry out in order. `now` comes from a clock
    /// that counts suspension.
    pub fn step(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Peer(message) => self.peer(message, now, &mut out),
            Event::Stream { conn, message } => self.stream(conn, message, now, &mut out),
            Event::StreamClosed(conn) => self.end_stream(conn, &mut out),
            Event::Call { token, call } => self.call(token, call, now, &mut out),
            Event::OrderAnswered { id, answer } => self.order_answered(id, &answer, now, &mut out),
        }
        self.tend_waiting(now, &mut out);
        out
    }

    /// Members of the control group in force.
    pub fn members(&self) -> &raft::Members {
        self.raft.members()
    }

    /// The replicated state as far as this member knows it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether this VM leads and has the state of its term.
    pub fn is_leader(&self) -> bool {
        self.lead.is_some()
    }

    /// Tells the group that the storage of this member failed.
    pub fn storage_failed(&mut self, now: Duration) -> Vec<Effect> {
        let mut out = Vec::new();
        self.drive(raft::Event::StorageFailed, now, &mut out);
        out
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.drive(raft::Event::Tick, now, out);
        self.tend_roster(now, out);
        if self.lead.is_some() {
            self.tend_members(now, out);
            self.tend_targets(now, out);
            self.tend_holders(now, out);
            self.tend_streams(now, out);
            self.publish(now, out);
        }
        if self.raft.log_len() > COMPACT_AFTER && self.applied > 0 {
            match postcard::to_stdvec(&self.state) {
                Ok(data) => {
                    let index = self.applied;
                    self.drive(raft::Event::Compact { index, data }, now, out);
                }
                Err(_) => out.push(Effect::Log(LogEvent::Codec("state has no encoding"))),
            }
        }
    }

    /// Passes an event to the group and carries out what follows.
    fn drive(&mut self, event: raft::Event, now: Duration, out: &mut Vec<Effect>) {
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
                raft::Effect::ReadReady { id, .. } => self.read_ready(id, out),
                raft::Effect::RequestDropped { id, .. } => self.dropped(id, out),
                raft::Effect::RoleChanged { role, term, leader } => {
                    self.role_changed(role, term, leader, out);
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
                self.drive(raft::Event::Propose { id, data }, now, out);
            }
            Err(_) => out.push(Effect::Log(LogEvent::Codec("command has no encoding"))),
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
                Ok(command) => self.apply_command(index, id, command, now, out),
                Err(_) => out.push(Effect::Log(LogEvent::Codec("command cannot be decoded"))),
            },
        }
        // A leader knows all commands that were accepted before once an entry of its own term is
        // committed.
        if self.lead.is_none() && self.raft.role() == Role::Leader && term == self.raft.term() {
            self.begin_lead(now, out);
        }
    }

    fn apply_command(
        &mut self,
        index: u64,
        id: Option<u64>,
        command: Command,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let outcome = self.state.apply(index, &command);
        let pending = id.and_then(|id| self.pending.remove(&id));
        if outcome == Outcome::Done {
            self.applied_done(&command, out);
            self.stream_update(index, &command, out);
        }
        if let Command::Change(change) = &command {
            out.push(Effect::Log(LogEvent::Change {
                base: change.base_version,
                version: change.version,
                outcome: outcome.clone(),
            }));
        }
        if let Some(pending) = pending {
            self.decided(pending, index, outcome, now, out);
        }
    }

    /// What the leader's own bookkeeping takes from a command.
    fn applied_done(&mut self, command: &Command, out: &mut Vec<Effect>) {
        match command {
            Command::Member(_) | Command::Forget(_) => {
                if self.roster.follow(&self.state.view) {
                    out.push(Effect::StoreMembers(self.roster.book()));
                }
            }
            Command::Assign { service, range, .. } => {
                if let Some(lead) = &mut self.lead {
                    lead.grants.assigned(service, range);
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
                },
            })),
            Command::Remove { id, incarnation } => out.push(Effect::Log(LogEvent::Target {
                id: id.clone(),
                incarnation: *incarnation,
                change: "forgotten",
            })),
            Command::Change(_) => {}
        }
    }

    fn restore(&mut self, snapshot: &Snapshot, out: &mut Vec<Effect>) {
        match postcard::from_bytes(&snapshot.data) {
            Ok(state) => {
                self.state = state;
                self.applied = snapshot.index;
                if self.roster.follow(&self.state.view) {
                    out.push(Effect::StoreMembers(self.roster.book()));
                }
            }
            Err(_) => out.push(Effect::Log(LogEvent::Codec("snapshot cannot be decoded"))),
        }
    }

    fn role_changed(
        &mut self,
        role: Role,
        term: u64,
        leader: Option<MemberId>,
        out: &mut Vec<Effect>,
    ) {
        if role != Role::Leader {
            self.end_lead(out);
        }
        self.note_role(term, leader, out);
    }

    fn note_role(&mut self, term: u64, leader: Option<MemberId>, out: &mut Vec<Effect>) {
        let role = (self.lead.is_some(), term, leader);
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

    fn begin_lead(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let term = self.raft.term();
        self.lead = Some(Lead {
            since: now,
            grants: Grants::new(self.config.key_lease, term, &self.state.view, now),
            seen: BTreeMap::new(),
            holders: Holders::default(),
        });
        self.roster.begin_lead(now);
        self.note_role(term, Some(self.config.member.id), out);
    }

    fn end_lead(&mut self, out: &mut Vec<Effect>) {
        if self.lead.take().is_none() {
            return;
        }
        // What was published is committed, so it is acknowledged even now.
        for publishing in self.publishing.drain(..) {
            out.push(Effect::Reply {
                token: publishing.token,
                reply: Reply::Done { is_leader: false },
            });
        }
        let leader = self.leader_member().map(|member| member.peer);
        for conn in std::mem::take(&mut self.streams).into_keys() {
            let message = PeerMessage::NotLeader { leader };
            out.push(Effect::Stream { conn, message });
            out.push(Effect::CloseStream(conn));
        }
    }

    fn leader_member(&self) -> Option<&Member> {
        let leader = self.raft.leader()?;
        self.roster.find(leader)
    }

    fn send_raft(&self, to: MemberId, message: raft::Message, out: &mut Vec<Effect>) {
        let Some(member) = self.roster.find(to) else {
            return;
        };
        out.push(Effect::Send {
            to: member.peer,
            message: PeerMessage::Raft {
                from: self.config.member.id,
                to,
                message,
            },
        });
    }

    fn order_answered(
        &mut self,
        call: OrderId,
        answer: &Answer,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        if let Some(lead) = &mut self.lead {
            let answered = lead.grants.answered(call, answer, now);
            let done = matches!(answer, Answer::Granted | Answer::Released(_));
            if let Some(answered) = answered {
                for range in answered.received {
                    self.stream_handover(&answered.service, range, true, out);
                }
                if !done {
                    out.push(Effect::Log(LogEvent::Order {
                        holder: answered.holder,
                        answer: answer.clone(),
                    }));
                }
            }
            self.tend_holders(now, out);
        }
    }
}
