//! State of a member and the dispatch of events.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use crate::{
    log::{
        LIMIT,
        Log, //
    },
    replication::Lead,
    types::{
        Config,
        DurableWrite,
        Effect,
        Event,
        HardState,
        MemberId,
        Members,
        Message,
        RecoveredState,
        Role, //
    },
};

/// Parts of the least election time between the turns of two voters after a restart, enough for a
/// vote to be counted in between.
const TURN_PARTS: u32 = 8;

/// One member of a group.
///
/// The reducer has no clock: `now` is the time since the process started, from a monotonic clock.
/// Call [`Raft::step`] with [`Event::Tick`] several times per heartbeat.
#[derive(Clone, Debug)]
pub struct Raft {
    pub(crate) config: Config,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) now: Duration,
    /// No vote is granted before this time, because a leader may rely on this member until then.
    pub(crate) quiet: Duration,
    /// When to call an election.
    pub(crate) deadline: Duration,
    /// Votes or pre-votes received in the present election.
    pub(crate) votes: BTreeSet<MemberId>,
    /// Set while this member leads.
    pub(crate) lead: Option<Lead>,
    rng: StdRng,
    started: bool,
    failed: bool,
    shown: (Role, u64, Option<MemberId>),
}

impl Raft {
    /// Creates a member from its durable state.
    ///
    /// The caller's state machine starts from `recovered.snapshot`; entries after it are applied
    /// again once they are known to be committed. A member whose recovered entries have gaps
    /// stays silent, as after [`Event::StorageFailed`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_raft::{Config, Event, Members, Raft, RecoveredState, Role, Snapshot};
    ///
    /// let config = Config {
    ///     id: 1,
    ///     election_timeout: Duration::from_millis(150),
    ///     lease: Duration::from_millis(150),
    ///     heartbeat_interval: Duration::from_millis(40),
    ///     max_batch: 64,
    ///     seed: 7,
    /// };
    /// let members = Members { voters: [1].into(), ..Members::default() };
    /// let snapshot = Some(Snapshot { members, ..Snapshot::default() });
    /// let mut raft = Raft::new(config, RecoveredState { snapshot, ..RecoveredState::default() });
    /// raft.step(Event::Tick, Duration::ZERO);
    /// assert_eq!(raft.role(), Role::Leader); // A group of one needs no other vote.
    /// ```
    pub fn new(config: Config, recovered: RecoveredState) -> Raft {
        let RecoveredState {
            hard_state,
            snapshot,
            entries,
        } = recovered;
        let log = Log::new(snapshot, entries)
            .filter(|log| log.last_term() <= hard_state.term && hard_state.term <= LIMIT);
        let failed = log.is_none();
        let log = log.unwrap_or_else(Log::empty);
        let commit = log.snapshot_index();
        Raft {
            rng: StdRng::seed_from_u64(config.seed),
            config,
            hard_state,
            log,
            role: Role::Follower,
            leader: None,
            commit,
            applied: commit,
            now: Duration::ZERO,
            quiet: Duration::ZERO,
            deadline: Duration::ZERO,
            votes: BTreeSet::new(),
            lead: None,
            started: false,
            failed,
            shown: (Role::Follower, hard_state.term, None),
        }
    }

    /// Takes one event and returns the effects to carry out in order.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_raft::{Config, Effect, Event, Members, Raft, RecoveredState, Snapshot};
    ///
    /// let config = Config {
    ///     id: 1,
    ///     election_timeout: Duration::from_millis(150),
    ///     lease: Duration::from_millis(150),
    ///     heartbeat_interval: Duration::from_millis(40),
    ///     max_batch: 64,
    ///     seed: 7,
    /// };
    /// let members = Members { voters: [1].into(), ..Members::default() };
    /// let snapshot = Some(Snapshot { members, ..Snapshot::default() });
    /// let mut raft = Raft::new(config, RecoveredState { snapshot, ..RecoveredState::default() });
    /// let propose = Event::Propose { id: 9, data: b"command".to_vec() };
    /// let effects = raft.step(propose, Duration::from_millis(1));
    /// assert!(matches!(effects.last(), Some(Effect::Apply { index: 2, id: Some(9), .. })));
    /// ```
    pub fn step(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        let mut out = Vec::new();
        self.now = self.now.max(now);
        if self.failed {
            self.refuse(&event, &mut out);
            return out;
        }
        if !self.started {
            self.start(&mut out);
        }
        match event {
            Event::Tick => self.tick(&mut out),
            Event::Receive { from, message } => self.receive(from, message, &mut out),
            Event::Propose { id, data } => self.propose(id, data, &mut out),
            Event::Read { id } => self.read(id, &mut out),
            Event::ChangeMembers { id, change } => self.change(id, change, &mut out),
            Event::Compact { index, data } => self.compact(index, data, &mut out),
            Event::StorageFailed => {
                self.become_follower(self.hard_state.term, None, &mut out);
                self.failed = true;
            }
        }
        out
    }

    /// The time until which no other member can become leader, while this member leads: the start
    /// of the latest heartbeat round that a quorum answered plus the lease.
    pub fn lease_expiry(&self) -> Option<Duration> {
        self.lead.as_ref()?.until(self.config.lease)
    }

    /// Present role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Present term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The leader of the present term, if known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Members in force: those of the latest such entry in the log, committed or not.
    pub fn members(&self) -> &Members {
        self.log.config().1
    }

    /// On the leader, the last index known to be in the log of member `id`.
    pub fn match_index(&self, id: MemberId) -> Option<u64> {
        let lead = self.lead.as_ref()?;
        if id == self.config.id {
            return Some(self.log.last_index());
        }
        lead.progress.get(&id).map(|progress| progress.matched)
    }

    /// Index of the last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Index of the last entry handed out in [`Effect::Apply`] or contained in the snapshot.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Number of entries after the snapshot. The caller sends [`Event::Compact`] when it grows.
    pub fn log_len(&self) -> u64 {
        self.log.last_index() - self.log.snapshot_index()
    }

    /// Whether the member is silent because its storage failed or its durable state has gaps.
    pub fn failed(&self) -> bool {
        self.failed
    }

    /// Starts the timers at the first event.
    fn start(&mut self, out: &mut Vec<Effect>) {
        self.started = true;
        self.reset_deadline();
        // A member with a term may have answered a heartbeat just before it restarted.
        self.quiet = self.now;
        if self.hard_state.term > 0 {
            self.quiet += self.config.lease;
            self.deadline = self.deadline.min(self.quiet + self.turn());
        }
        if self.is_sole_voter() {
            self.deadline = self.quiet;
            self.tick(out);
        }
    }

    fn tick(&mut self, out: &mut Vec<Effect>) {
        if self.lead.is_some() {
            self.tick_leader(out);
        } else if self.now >= self.deadline && self.now >= self.quiet {
            self.call_election(out);
        }
    }

    fn receive(&mut self, from: MemberId, message: Message, out: &mut Vec<Effect>) {
        let term = match &message {
            Message::RequestVote { term, .. }
            | Message::VoteReply { term, .. }
            | Message::AppendEntries { term, .. }
            | Message::InstallSnapshot { term, .. } => *term,
            Message::AppendReply(reply) => reply.term,
        };
        if from == self.config.id || term > LIMIT {
            return;
        }
        match message {
            Message::RequestVote {
                term,
                last_index,
                last_term,
                pre_vote,
            } => self.on_vote(from, term, (last_term, last_index), pre_vote, out),
            Message::VoteReply {
                term,
                granted,
                pre_vote,
            } => {
                self.on_vote_reply(from, term, granted, pre_vote, out);
            }
            Message::AppendEntries {
                term,
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                if self.follow(from, term, out) {
                    self.on_append(from, (prev_index, prev_term), entries, commit, round, out);
                }
            }
            Message::InstallSnapshot {
                term,
                snapshot,
                round,
            } => {
                if self.follow(from, term, out) {
                    self.on_install(from, snapshot, round, out);
                }
            }
            Message::AppendReply(reply) => self.on_append_reply(from, &reply, out),
        }
    }

    fn compact(&mut self, index: u64, data: Vec<u8>, out: &mut Vec<Effect>) {
        if index > self.applied {
            return;
        }
        if let Some(snapshot) = self.log.compact(index, data, self.config.max_batch) {
            out.push(Effect::Persist(DurableWrite {
                snapshot: Some(snapshot.clone()),
                ..DurableWrite::default()
            }));
        }
    }

    /// Answers a request that this member cannot take.
    fn refuse(&self, event: &Event, out: &mut Vec<Effect>) {
        if let Event::Propose { id, .. } | Event::Read { id } | Event::ChangeMembers { id, .. } =
            event
        {
            self.drop_request(*id, out);
        }
    }

    pub(crate) fn drop_request(&self, id: u64, out: &mut Vec<Effect>) {
        out.push(Effect::RequestDropped {
            id,
            leader: self.leader,
            may_commit: false,
        });
    }

    /// Hands out the entries that became committed.
    pub(crate) fn apply(&mut self, out: &mut Vec<Effect>) {
        while self.applied < self.commit {
            let index = self.applied + 1;
            let Some(entry) = self.log.get(index) else {
                return;
            };
            let requests = self.lead.as_mut().map(|lead| &mut lead.requests);
            out.push(Effect::Apply {
                index,
                term: entry.term,
                id: requests.and_then(|requests| requests.remove(&index)),
                payload: entry.payload.clone(),
            });
            self.applied = index;
        }
    }

    /// Draws the time of the next election.
    pub(crate) fn reset_deadline(&mut self) {
        let extra = self.config.election_timeout.mul_f64(self.rng.random());
        self.deadline = self.now + self.config.election_timeout + extra;
    }

    /// How long this member waits for others after a restart of all: the voters stand for election
    /// one after the other, so that they do not divide the votes.
    fn turn(&mut self) -> Duration {
        let before = |id: &&MemberId| **id < self.config.id;
        let rank = self.members().voters.iter().filter(before).count();
        let step = self.config.election_timeout / TURN_PARTS;
        step * rank as u32 + step.mul_f64(self.rng.random::<f64>() / 2.0)
    }

    /// Draws the time of the next attempt to win a pre-vote, which disturbs nobody.
    pub(crate) fn retry_soon(&mut self) {
        let step = self.config.election_timeout / TURN_PARTS;
        self.deadline = self.now + step.mul_f64(1.0 + self.rng.random::<f64>());
    }

    pub(crate) fn is_sole_voter(&self) -> bool {
        let voters = &self.members().voters;
        voters.len() == 1 && voters.contains(&self.config.id)
    }

    /// Reports the role, the term and the leader if one of them changed.
    pub(crate) fn show(&mut self, out: &mut Vec<Effect>) {
        let shown = (self.role, self.hard_state.term, self.leader);
        if self.shown != shown {
            self.shown = shown;
            out.push(Effect::RoleChanged {
                role: self.role,
                term: self.hard_state.term,
                leader: self.leader,
            });
        }
    }
}
