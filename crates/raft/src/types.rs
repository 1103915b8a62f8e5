//! The vocabulary of the reducer: entries, messages, events and effects.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};

/// Identity of a member. A member that lost its state comes back under a new one.
pub type MemberId = u64;

/// Settings of one member.
#[derive(Clone, Debug)]
pub struct Config {
    /// This member.
    pub id: MemberId,
    /// Least time without a leader before an election; the actual time is drawn from one to two
    /// times this value.
    pub election_timeout: Duration,
    /// How long a leader may rely on the answer of a voter, which grants no other vote meanwhile;
    /// at most `election`, and the same for all members. A voter that restarts waits for as long.
    pub lease: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Most entries in one append message.
    pub max_batch: usize,
    /// Seed of the election times.
    pub seed: u64,
}

/// Voting members and members that only receive the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that vote.
    pub voters: BTreeSet<MemberId>,
    /// Members that receive the log and do not vote.
    pub learners: BTreeSet<MemberId>,
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader appends it to commit the entries of earlier terms.
    Noop,
    /// A command of the state machine.
    Data(Vec<u8>),
    /// The members from this entry on; in force as soon as it is in the log.
    Members(Members),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that created it.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

/// The state a member must not forget between answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: u64,
    /// Candidate that got this member's vote in the current term.
    pub voted_for: Option<MemberId>,
}

/// The state machine up to `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry contained.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members as of that entry.
    pub members: Members,
    /// Encoded state of the state machine.
    pub data: Vec<u8>,
}

/// What a member starts from. A new group starts from a snapshot at index 0 that names its first
/// voters; a member that joins an existing group starts from nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// A change of members. One change at a time may be in the log and not committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner.
    AddLearner(MemberId),
    /// Makes a learner a voter. Refused while the learner lacks committed entries.
    Promote(MemberId),
    /// Removes a voter or learner.
    Remove(MemberId),
}

/// Input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message of another member arrived.
    Receive {
        /// The sender.
        from: MemberId,
        /// The message.
        message: Message,
    },
    /// The caller wants `data` in the log. Ends in `Apply` with the same id on this member, or
    /// in `RequestDropped`.
    Propose {
        /// Chosen by the caller.
        id: u64,
        /// The command.
        data: Vec<u8>,
    },
    /// The caller wants to read the state machine linearizably. Ends in `ReadReady` or
    /// `RequestDropped`.
    Read {
        /// Chosen by the caller.
        id: u64,
    },
    /// The caller wants to change the members. Ends in `Apply` or `RequestDropped`.
    ChangeMembers {
        /// Chosen by the caller.
        id: u64,
        /// The change.
        change: MembershipChange,
    },
    /// The state machine up to `index`, which was applied, is `data`; the log before it may go.
    Compact {
        /// Last entry contained.
        index: u64,
        /// Encoded state machine.
        data: Vec<u8>,
    },
    /// The storage failed. The member stops taking part until the process restarts.
    StorageFailed,
}

/// Output of the reducer, to be carried out in order. A `Persist` must be durable before the
/// effects after it are carried out (a volatile group skips it).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Make this durable.
    Persist(DurableWrite),
    /// Send a message to a member; it may be lost.
    Send {
        /// The recipient.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Apply a committed entry. `id` is set on the member that proposed it in this term.
    Apply {
        /// Index of the entry.
        index: u64,
        /// Term of the entry.
        term: u64,
        /// Id of the proposal or change.
        id: Option<u64>,
        /// Content.
        payload: Payload,
    },
    /// Replace the state machine by the snapshot.
    RestoreSnapshot(Snapshot),
    /// The read with this id may be answered once `index` is applied.
    ReadReady {
        /// Id of the read.
        id: u64,
        /// Index to wait for.
        index: u64,
    },
    /// A proposal, read or change was not taken, or its fate is unknown when `sent` is set.
    RequestDropped {
        /// Its id.
        id: u64,
        /// The leader, if known.
        leader: Option<MemberId>,
        /// Whether it may still be committed.
        may_commit: bool,
    },
    /// Role, term or known leader changed.
    RoleChanged {
        /// The new role.
        role: Role,
        /// The current term.
        term: u64,
        /// The leader, if known.
        leader: Option<MemberId>,
    },
}

/// State to make durable, in one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableWrite {
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// New snapshot. It replaces all entries up to its index, and all entries when `reset` is set.
    pub snapshot: Option<Snapshot>,
    /// Whether the snapshot also replaces the entries after it.
    pub discard_log: bool,
    /// New entries. Entries at or after the first one's index are replaced.
    pub entries: Vec<Entry>,
}

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// Messages between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote; with `pre_vote`, asks only whether a vote would be granted.
    RequestVote {
        /// Term of the election.
        term: u64,
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Whether this is a pre-vote.
        pre_vote: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// Term of the answering member, or of the election when granted.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
        /// Whether this answers a pre-vote.
        pre_vote: bool,
    },
    /// Replicates entries; without entries, a heartbeat.
    AppendEntries {
        /// Term of the leader.
        term: u64,
        /// Index before the first entry.
        prev_index: u64,
        /// Term at that index.
        prev_term: u64,
        /// New entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Number of the leader's heartbeat round, returned in the reply.
        round: u64,
    },
    /// Answers an append or a snapshot.
    AppendReply(AppendReply),
    /// Sends the state machine to a member that lags behind the log.
    InstallSnapshot {
        /// Term of the leader.
        term: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// Number of the leader's heartbeat round.
        round: u64,
    },
}

/// Answer of a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Term of the follower.
    pub term: u64,
    /// Whether the entries were taken.
    pub success: bool,
    /// On success the last index known to match; otherwise a hint where to go on.
    pub index: u64,
    /// Round of the message answered.
    pub round: u64,
}
