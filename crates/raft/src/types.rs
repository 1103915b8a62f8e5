//! Public types: configuration, log entries, messages, events and effects.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use serde::{Deserialize, Serialize};

/// Id of a member. A member that lost its durable state rejoins under a new id.
pub type MemberId = u64;

/// Configuration of one member.
#[derive(Clone, Debug)]
pub struct Config {
    /// Id of this member.
    pub id: MemberId,
    /// Minimum time without a leader before an election; the actual time is random between one and
    /// two times this value.
    pub election_timeout: Duration,
    /// Length of the leader lease: a voter that replies to a leader, or restarts, grants no vote
    /// for this time. At most `election_timeout`, and the same on all members.
    pub lease: Duration,
    /// Time between two heartbeat rounds of a leader.
    pub heartbeat_interval: Duration,
    /// Maximum number of entries in one append message.
    pub max_batch: usize,
    /// Bytes after which no further entry is added to an append message.
    pub max_batch_bytes: usize,
    /// Seed of the randomized election timeouts.
    pub seed: u64,
}

/// Voters and learners of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that vote.
    pub voters: BTreeSet<MemberId>,
    /// Members that receive the log and do not vote.
    pub learners: BTreeSet<MemberId>,
}

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Empty; a new leader appends it to commit the entries of earlier terms.
    Noop,
    /// A command for the state machine, shared by all copies of the entry.
    Data(Arc<[u8]>),
    /// The new members, in effect as soon as the entry is in the log.
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

impl Entry {
    /// Returns the bytes that the entry takes in memory.
    ///
    /// ```
    /// use camphordale_raft::{Entry, Payload};
    ///
    /// let entry = |payload| Entry { index: 1, term: 1, payload };
    /// let command = entry(Payload::Data([0; 100].into()));
    /// assert_eq!(command.size(), entry(Payload::Noop).size() + 100);
    /// ```
    pub fn size(&self) -> usize {
        let data = match &self.payload {
            Payload::Data(data) => data.len(),
            Payload::Noop | Payload::Members(_) => 0,
        };
        size_of::<Entry>() + data
    }
}

/// Term and vote, which a member must persist before it replies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: u64,
    /// Candidate that this member voted for in the current term.
    pub voted_for: Option<MemberId>,
}

/// Snapshot of the state machine up to and including `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry covered.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members as of that entry.
    pub members: Members,
    /// Encoded state of the state machine.
    pub data: Vec<u8>,
}

/// Durable state that a member starts from. A new group starts from a snapshot at index 0 with its
/// initial voters; a member that joins an existing group starts from the default, empty state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// A membership change. At most one uncommitted change may be in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner.
    AddLearner(MemberId),
    /// Promotes a learner to voter. Refused while the learner lacks committed entries.
    Promote(MemberId),
    /// Removes a voter or learner.
    Remove(MemberId),
}

/// Input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message from another member arrived.
    Receive {
        /// The sender.
        from: MemberId,
        /// The message.
        message: Message,
    },
    /// Proposes `data` for the log. Ends in `Apply` with the same id on this member, or in
    /// `RequestDropped`.
    Propose {
        /// Request id, chosen by the caller.
        id: u64,
        /// The command.
        data: Vec<u8>,
    },
    /// Requests a linearizable read of the state machine. Ends in `ReadReady` or `RequestDropped`.
    Read {
        /// Request id, chosen by the caller.
        id: u64,
    },
    /// Proposes a membership change. Ends in `Apply` or `RequestDropped`.
    ChangeMembers {
        /// Request id, chosen by the caller.
        id: u64,
        /// The change.
        change: MembershipChange,
    },
    /// Provides a snapshot of the state machine at `index`, which has been applied, so that the log
    /// up to it can be discarded.
    Compact {
        /// Index of the last entry covered.
        index: u64,
        /// Encoded state of the state machine.
        data: Vec<u8>,
    },
    /// A leader becomes a follower and lets another voter stand for election first.
    Resign,
    /// The durable storage failed. The member stops taking part until the process restarts.
    StorageFailed,
}

/// Output of the reducer, to be carried out in order. A [`DurableWrite`] must be durable before the
/// effects after it are carried out; an in-memory group skips the write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write this to durable storage.
    Persist(DurableWrite),
    /// Send a message to a member; it may be lost.
    Send {
        /// The recipient.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Apply a committed entry to the state machine. `id` is set if this member appended the entry
    /// and has led ever since.
    Apply {
        /// Index of the entry.
        index: u64,
        /// Term of the entry.
        term: u64,
        /// Request id of the proposal or change.
        id: Option<u64>,
        /// Content.
        payload: Payload,
    },
    /// Replace the state of the state machine by the snapshot.
    RestoreSnapshot(Snapshot),
    /// The read may be served once `index` is applied.
    ReadReady {
        /// Request id of the read.
        id: u64,
        /// Index to wait for.
        index: u64,
    },
    /// A proposal, read or membership change ended without a result.
    RequestDropped {
        /// Request id.
        id: u64,
        /// The leader, if known.
        leader: Option<MemberId>,
        /// Whether the entry was appended and may still be committed.
        may_commit: bool,
    },
    /// The role, the term or the known leader changed.
    RoleChanged {
        /// The new role.
        role: Role,
        /// The current term.
        term: u64,
        /// The leader, if known.
        leader: Option<MemberId>,
    },
}

/// State to write to durable storage in one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableWrite {
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// New snapshot. It replaces all entries up to its index; all entries if `discard_log` is set.
    pub snapshot: Option<Snapshot>,
    /// Whether the entries after the snapshot are discarded too.
    pub discard_log: bool,
    /// New entries. Stored entries from the index of the first one on are replaced.
    pub entries: Vec<Entry>,
}

impl DurableWrite {
    /// Combines writes that follow each other, so that they are made durable together. Writes with
    /// snapshots stay apart.
    ///
    /// ```
    /// use camphordale_raft::{DurableWrite, Entry, Payload};
    ///
    /// let write = |index| DurableWrite {
    ///     entries: vec![Entry { index, term: 1, payload: Payload::Noop }],
    ///     ..DurableWrite::default()
    /// };
    /// let combined = DurableWrite::combine(vec![write(1), write(2), write(3)]);
    /// assert_eq!(combined.len(), 1);
    /// assert_eq!(combined[0].entries.len(), 3);
    /// ```
    pub fn combine(writes: Vec<DurableWrite>) -> Vec<DurableWrite> {
        let mut combined: Vec<DurableWrite> = Vec::new();
        for write in writes {
            match combined.last_mut() {
                Some(last)
                    if last.snapshot.is_none()
                        && write.snapshot.is_none()
                        && !last.discard_log
                        && !write.discard_log =>
                {
                    last.hard_state = write.hard_state.or(last.hard_state.take());
                    if let Some(first) = write.entries.first() {
                        last.entries.retain(|entry| entry.index < first.index);
                    }
                    last.entries.extend(write.entries);
                }
                _ => combined.push(write),
            }
        }
        combined
    }
}

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one to be elected.
    Follower,
    /// Runs a pre-vote to learn whether it could win an election.
    PreCandidate,
    /// Requests votes in an election.
    Candidate,
    /// Leads the group.
    Leader,
}

/// Messages between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote; with `pre_vote`, only asks whether a vote would be granted.
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
    /// Reply to a vote request.
    VoteReply {
        /// Term of the replying member, or of the election if the vote is granted.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
        /// Whether this is a reply to a pre-vote.
        pre_vote: bool,
    },
    /// Replicates entries; without entries, a heartbeat.
    AppendEntries {
        /// Term of the leader.
        term: u64,
        /// Index of the entry before the first new one.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// New entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Heartbeat round of the leader, returned in the reply.
        round: u64,
    },
    /// Reply to an append or a snapshot.
    AppendReply(AppendReply),
    /// Sends a snapshot to a member that needs entries that the leader no longer has.
    InstallSnapshot {
        /// Term of the leader.
        term: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// Heartbeat round of the leader, returned in the reply.
        round: u64,
    },
}

/// Reply of a follower to an append or a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Term of the follower.
    pub term: u64,
    /// Whether the entries or the snapshot were accepted.
    pub success: bool,
    /// On success, the last index known to match; otherwise, the index from which to resend.
    pub index: u64,
    /// Heartbeat round of the message that this replies to; 0 if the term of the message was stale.
    pub round: u64,
}
