//! State of a group member and dispatch of events.

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
        Log,
        MAX_INDEX, //
    },
    replication::LeaderState,
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

/// After a restart, the voters start elections in order of their ids, `election_timeout` divided by
/// this apart, so that one can collect its votes before the next one starts.
const STAGGER_DIVISOR: u32 = 8;

/// One member of a Raft group.
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
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) now: Duration,
    /// Time before which no vote is granted, because a leader's lease may depend on this member's
    /// last reply until then.
    pub(crate) vote_after: Duration,
    /// Time at which this member starts an election unless it hears from a leader.
    pub(crate) election_deadline: Duration,
    /// Votes or pre-votes received in the current election.
    pub(crate) votes: BTreeSet<MemberId>,
    /// State kept while this member is leader.
    pub(crate) leader_state: Option<LeaderState>,
    rng: StdRng,
    started: bool,
    failed: bool,
    reported_role: (Role, u64, Option<MemberId>),
}

impl Raft {
    /// Creates a member from its durable state.
    ///
    /// The caller's state machine starts from `recovered.snapshot`; entries after it are applied
    /// again once they are known to be committed. A member whose recovered entries have gaps takes
    /// no part in the group, as after [`Event::StorageFailed`].
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
    ///     max_batch_bytes: 1 << 20,
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
            .filter(|log| log.last_term() <= hard_state.term && hard_state.term <= MAX_INDEX);
        let failed = log.is_none();
        let log = log.unwrap_or_else(Log::empty);
        let commit_index = log.snapshot_index();
        Raft {
            rng: StdRng::seed_from_u64(config.seed),
            config,
            hard_state,
            log,
            role: Role::Follower,
            leader: None,
            commit_index,
            applied_index: commit_index,
            now: Duration::ZERO,
            vote_after: Duration::ZERO,
            election_deadline: Duration::ZERO,
            votes: BTreeSet::new(),
            leader_state: None,
            started: false,
            failed,
            reported_role: (Role::Follower, hard_state.term, None),
        }
    }

    /// Handles one event and returns the effects to carry out, in order.
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
    ///     max_batch_bytes: 1 << 20,
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
            self.reject(&event, &mut out);
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
            Event::ChangeMembers { id, change } => self.propose_change(id, change, &mut out),
            Event::Compact { index, data } => self.compact(index, data, &mut out),
            Event::Resign => self.resign(&mut out),
            Event::StorageFailed => {
                self.become_follower(self.hard_state.term, None, &mut out);
                self.failed = true;
            }
        }
        out
    }

    /// Returns the expiry of this member's leader lease, before which no other member can become
    /// leader: the start of the latest heartbeat round acknowledged by a quorum plus
    /// [`Config::lease`]. `None` unless this member leads and has a lease.
    pub fn lease_expiry(&self) -> Option<Duration> {
        self.leader_state.as_ref()?.lease_expiry(self.config.lease)
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns the members in effect: those of the latest membership entry in the log, whether or
    /// not it is committed.
    pub fn members(&self) -> &Members {
        self.log.latest_members().1
    }

    /// Returns the highest index known to be in the log of member `id`; `None` unless this member
    /// leads and replicates to `id`.
    pub fn match_index(&self, id: MemberId) -> Option<u64> {
        let leader = self.leader_state.as_ref()?;
        if id == self.config.id {
            return Some(self.log.last_index());
        }
        leader
            .progress
            .get(&id)
            .map(|progress| progress.match_index)
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the index of the last entry emitted in [`Effect::Apply`] or covered by the snapshot.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the number of entries after the snapshot. The caller sends [`Event::Compact`] to
    /// bound it.
    pub fn log_len(&self) -> u64 {
        self.log.last_index() - self.log.snapshot_index()
    }

    /// Returns the bytes of the entries in memory, with those before the snapshot that are kept for
    /// followers that lag.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the bytes of the entries after the snapshot that are applied, which
    /// [`Event::Compact`] replaces by a new snapshot.
    pub fn compactable_bytes(&self) -> usize {
        self.log
            .bytes_between(self.log.snapshot_index(), self.applied_index)
    }

    /// Returns the bytes of the entries that are not known to be committed.
    pub fn uncommitted_bytes(&self) -> usize {
        self.log
            .bytes_between(self.commit_index, self.log.last_index())
    }

    /// Returns the bytes of the encoded state in the snapshot.
    pub fn snapshot_bytes(&self) -> usize {
        self.log
            .snapshot()
            .map_or(0, |snapshot| snapshot.data.len())
    }

    /// Returns whether the member has stopped taking part because its storage failed or its durable
    /// state has gaps.
    pub fn failed(&self) -> bool {
        self.failed
    }

    /// Starts the timers; called at the first event.
    fn start(&mut self, out: &mut Vec<Effect>) {
        self.started = true;
        self.reset_election_deadline();
        // A member that has seen a term may have acknowledged a heartbeat just before it restarted,
        // so it grants no vote for the length of a lease.
        self.vote_after = self.now;
        if self.hard_state.term > 0 {
            self.vote_after += self.config.lease;
            self.election_deadline = self
                .election_deadline
                .min(self.vote_after + self.election_stagger());
        }
        if self.is_sole_voter() {
            self.election_deadline = self.vote_after;
            self.tick(out);
        }
    }

    fn tick(&mut self, out: &mut Vec<Effect>) {
        if self.leader_state.is_some() {
            self.tick_leader(out);
        } else if self.now >= self.election_deadline && self.now >= self.vote_after {
            self.start_election(out);
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
        if from == self.config.id || term > MAX_INDEX {
            return;
        }
        match message {
            Message::RequestVote {
                term,
                last_index,
                last_term,
                pre_vote,
            } => self.on_request_vote(from, term, (last_term, last_index), pre_vote, out),
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
                if self.accept_leader(from, term, out) {
                    self.on_append_entries(
                        from,
                        (prev_index, prev_term),
                        entries,
                        commit,
                        round,
                        out,
                    );
                }
            }
            Message::InstallSnapshot {
                term,
                snapshot,
                round,
            } => {
                if self.accept_leader(from, term, out) {
                    self.on_install_snapshot(from, snapshot, round, out);
                }
            }
            Message::AppendReply(reply) => self.on_append_reply(from, &reply, out),
        }
    }

    fn compact(&mut self, index: u64, data: Vec<u8>, out: &mut Vec<Effect>) {
        if index > self.applied_index {
            return;
        }
        let keep = (self.config.max_batch, self.config.max_batch_bytes);
        if let Some(snapshot) = self.log.compact(index, data, keep) {
            out.push(Effect::Persist(DurableWrite {
                snapshot: Some(snapshot.clone()),
                ..DurableWrite::default()
            }));
        }
    }

    /// Drops a request that arrives after this member has stopped.
    fn reject(&self, event: &Event, out: &mut Vec<Effect>) {
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

    /// Emits the newly committed entries for the state machine.
    pub(crate) fn apply(&mut self, out: &mut Vec<Effect>) {
        while self.applied_index < self.commit_index {
            let index = self.applied_index + 1;
            let Some(entry) = self.log.get(index) else {
                return;
            };
            let requests = self
                .leader_state
                .as_mut()
                .map(|leader| &mut leader.pending_requests);
            out.push(Effect::Apply {
                index,
                term: entry.term,
                id: requests.and_then(|requests| requests.remove(&index)),
                payload: entry.payload.clone(),
            });
            self.applied_index = index;
        }
    }

    /// Sets the election deadline at random, one to two election timeouts from now.
    pub(crate) fn reset_election_deadline(&mut self) {
        let extra = self.config.election_timeout.mul_f64(self.rng.random());
        self.election_deadline = self.now + self.config.election_timeout + extra;
    }

    /// Returns how long this member waits, once it may vote after a restart, before it starts an
    /// election. Voters that restart together start elections one after the other, so that they do
    /// not split the vote.
    fn election_stagger(&mut self) -> Duration {
        let lower_id = |id: &&MemberId| **id < self.config.id;
        let rank = self.members().voters.iter().filter(lower_id).count();
        let step = self.config.election_timeout / STAGGER_DIVISOR;
        step * rank as u32 + step.mul_f64(self.rng.random::<f64>() / 2.0)
    }

    /// Sets the time of the next pre-vote. Pre-votes do not disturb a leader, so they are retried
    /// sooner than elections.
    pub(crate) fn reset_pre_vote_deadline(&mut self) {
        let step = self.config.election_timeout / STAGGER_DIVISOR;
        self.election_deadline = self.now + step.mul_f64(1.0 + self.rng.random::<f64>());
    }

    pub(crate) fn is_sole_voter(&self) -> bool {
        let voters = &self.members().voters;
        voters.len() == 1 && voters.contains(&self.config.id)
    }

    /// Emits [`Effect::RoleChanged`] if the role, the term or the leader has changed.
    pub(crate) fn report_role(&mut self, out: &mut Vec<Effect>) {
        let reported_role = (self.role, self.hard_state.term, self.leader);
        if self.reported_role != reported_role {
            self.reported_role = reported_role;
            out.push(Effect::RoleChanged {
                role: self.role,
                term: self.hard_state.term,
                leader: self.leader,
            });
        }
    }
}
