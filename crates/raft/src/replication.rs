//! Log replication: progress of each follower, and advance of the commit index.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use crate::{
    raft::Raft,
    types::{
        AppendReply,
        DurableWrite,
        Effect,
        Entry,
        MemberId,
        Message,
        Payload, //
    },
};

/// Volatile state of a leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    /// Index of the first entry of the leader's term.
    pub(crate) first_index: u64,
    /// Request ids of uncommitted proposals and membership changes, by log index.
    pub(crate) pending_requests: BTreeMap<u64, u64>,
    /// Number of the latest heartbeat round.
    pub(crate) round: u64,
    /// Rounds not yet acknowledged by a quorum, with their start times, oldest first.
    pub(crate) open_rounds: VecDeque<(u64, Duration)>,
    /// Latest round acknowledged by a quorum, with its start time.
    pub(crate) confirmed_round: Option<(u64, Duration)>,
    /// Time at which the next heartbeat round starts.
    pub(crate) next_heartbeat: Duration,
    /// Request ids of pending reads with the round that each one waits for, oldest first.
    pub(crate) pending_reads: VecDeque<(u64, u64)>,
}

/// Entries that take at most [`Config::max_batch_bytes`] divided by this are sent again with each
/// heartbeat until they are acknowledged.
///
/// [`Config::max_batch_bytes`]: crate::Config::max_batch_bytes
const RESENT_DIVISOR: usize = 16;

/// Entries that were sent and are not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    /// Heartbeat round in which they were sent.
    round: u64,
    bytes: usize,
}

/// A snapshot that was sent.
#[derive(Clone, Copy, Debug)]
struct SentSnapshot {
    at: Duration,
    /// Heartbeat round in which it was sent.
    round: u64,
}

/// Replication progress of a follower.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Highest index known to match the leader's log.
    pub(crate) match_index: u64,
    /// Next index to send; 0 if the follower has no log and needs the snapshot.
    pub(crate) next_index: u64,
    /// Entries that were sent and are not acknowledged yet.
    in_flight: Option<InFlight>,
    /// The last sending of the snapshot that the follower needs.
    snapshot: Option<SentSnapshot>,
    /// Latest heartbeat round that the follower acknowledged.
    pub(crate) acked_round: u64,
    /// Time of the follower's latest reply.
    pub(crate) replied_at: Duration,
}

impl LeaderState {
    pub(crate) fn new(first_index: u64) -> LeaderState {
        LeaderState {
            progress: BTreeMap::new(),
            first_index,
            pending_requests: BTreeMap::new(),
            round: 0,
            open_rounds: VecDeque::new(),
            confirmed_round: None,
            next_heartbeat: Duration::ZERO,
            pending_reads: VecDeque::new(),
        }
    }

    /// Drops all pending requests after this member lost leadership. Entries that were already
    /// appended may still be committed by a later leader.
    pub(crate) fn drop_all(self, leader: Option<MemberId>, out: &mut Vec<Effect>) {
        let sent = self.pending_requests.into_values().map(|id| (id, true));
        let reads = self.pending_reads.into_iter().map(|(id, _)| (id, false));
        out.extend(
            sent.chain(reads)
                .map(|(id, may_commit)| Effect::RequestDropped {
                    id,
                    leader,
                    may_commit,
                }),
        );
    }
}

impl Raft {
    pub(crate) fn propose(&mut self, id: u64, data: Vec<u8>, out: &mut Vec<Effect>) {
        if self.leader_state.is_none() {
            self.drop_request(id, out);
            return;
        }
        self.append_request(id, Payload::Data(data.into()), out);
    }

    /// Appends an entry for a request and replicates it.
    pub(crate) fn append_request(&mut self, id: u64, payload: Payload, out: &mut Vec<Effect>) {
        let index = self.append_entry(payload, out);
        if let Some(leader) = &mut self.leader_state {
            leader.pending_requests.insert(index, id);
        }
        self.track_new_members();
        self.replicate_to_all(false, out);
        self.advance_commit(out);
    }

    /// Appends an entry of the current term to the leader's own log and returns its index.
    pub(crate) fn append_entry(&mut self, payload: Payload, out: &mut Vec<Effect>) -> u64 {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            payload,
        };
        let index = entry.index;
        self.log.push(entry.clone());
        out.push(Effect::Persist(DurableWrite {
            entries: vec![entry],
            ..DurableWrite::default()
        }));
        index
    }

    /// Starts replication to members that are new in the configuration. Removed members receive
    /// entries until the change is committed, so that they learn of their removal.
    pub(crate) fn track_new_members(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let members = self.log.latest_members().1;
        for &id in members.voters.union(&members.learners) {
            if id != self.config.id {
                leader.progress.entry(id).or_insert(Progress {
                    match_index: 0,
                    next_index: leader.first_index,
                    in_flight: None,
                    snapshot: None,
                    acked_round: 0,
                    replied_at: self.now,
                });
            }
        }
    }

    /// Sends new entries to every follower; with `heartbeat`, sends a message in any case.
    pub(crate) fn replicate_to_all(&mut self, heartbeat: bool, out: &mut Vec<Effect>) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let ids: Vec<MemberId> = leader.progress.keys().copied().collect();
        for to in ids {
            self.replicate_to(to, heartbeat, out);
        }
    }

    /// Sends the next entries or the snapshot to a follower with nothing in flight. With
    /// `heartbeat`, a message is sent even without entries, and few bytes in flight are sent again.
    /// Many bytes may take longer to transfer than a heartbeat interval, and a follower that does
    /// not read them must not be sent more: they are sent again after a reply to a later round.
    pub(crate) fn replicate_to(&mut self, to: MemberId, heartbeat: bool, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let (term, commit, round) = (self.hard_state.term, self.commit_index, leader.round);
        let prev = progress
            .next_index
            .checked_sub(1)
            .filter(|prev| *prev >= self.log.base_index());
        let (prev_index, entries) = match (prev, self.log.snapshot()) {
            (None, Some(snapshot)) => {
                // A snapshot may take longer to transfer than a heartbeat interval, so it is sent
                // again only after an election timeout, and after a reply to a later round: as
                // messages arrive in order, the snapshot was lost then. Replies to earlier ones may
                // come while it is under way.
                let due = |sent: SentSnapshot| {
                    self.now.saturating_sub(sent.at) >= self.config.election_timeout
                        && progress.acked_round > sent.round
                };
                if progress.snapshot.is_none_or(due) {
                    let at = self.now;
                    progress.snapshot = Some(SentSnapshot { at, round });
                    let snapshot = snapshot.clone();
                    out.push(Effect::Send {
                        to,
                        message: Message::InstallSnapshot {
                            term,
                            snapshot,
                            round,
                        },
                    });
                    return;
                }
                (snapshot.index, Vec::new())
            }
            (Some(prev), _) => {
                progress.snapshot = None;
                let sends_entries = match progress.in_flight {
                    Some(in_flight) => {
                        let max_bytes = self.config.max_batch_bytes / RESENT_DIVISOR;
                        heartbeat && in_flight.bytes <= max_bytes
                    }
                    None => true,
                };
                let (count, bytes) = (self.config.max_batch.max(1), self.config.max_batch_bytes);
                let entries = match sends_entries {
                    true => self.log.entries_from(prev + 1, count, bytes),
                    false => Vec::new(),
                };
                if !entries.is_empty() {
                    let bytes = entries.iter().map(Entry::size).sum();
                    progress.in_flight = Some(InFlight { round, bytes });
                }
                (prev, entries)
            }
            (None, None) => return,
        };
        if !heartbeat && entries.is_empty() {
            return;
        }
        out.push(Effect::Send {
            to,
            message: Message::AppendEntries {
                term,
                prev_index,
                prev_term: self.log.term(prev_index).unwrap_or(0),
                entries,
                commit,
                round,
            },
        });
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: MemberId,
        reply: &AppendReply,
        out: &mut Vec<Effect>,
    ) {
        if reply.term > self.hard_state.term {
            self.become_follower(reply.term, None, out);
            return;
        }
        let last = self.log.last_index();
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        let ignored = reply.term < self.hard_state.term || reply.round == 0;
        if ignored || reply.round > leader.round || (reply.success && reply.index > last) {
            return;
        }
        progress.replied_at = self.now;
        progress.acked_round = progress.acked_round.max(reply.round);
        // A reply without progress triggers no message; otherwise duplicated replies would multiply
        // the traffic.
        let next = if reply.success {
            reply.index.max(progress.match_index) + 1
        } else if reply.index == 0 && progress.match_index == 0 {
            0
        } else {
            reply
                .index
                .min(progress.next_index)
                .max(progress.match_index + 1)
        };
        // The initial snapshot of a group ends at index 0, so installing it does not advance
        // `match_index`.
        let progressed = reply.index > progress.match_index || progress.next_index == 0;
        let advanced = reply.success && progressed;
        if advanced {
            progress.match_index = progress.match_index.max(reply.index);
        }
        if advanced || (!reply.success && next < progress.next_index) {
            progress.next_index = next;
            progress.in_flight = None;
        } else if let Some(in_flight) = progress.in_flight
            && reply.round > in_flight.round
        {
            // Messages to a follower arrive in order, so the entries were lost.
            progress.in_flight = None;
        }
        if advanced {
            self.advance_commit(out);
        }
        self.confirm_rounds(out);
        self.replicate_to(from, false, out);
    }

    /// Advances the commit index to the highest index stored by a quorum of voters, provided that
    /// its entry is of the current term.
    pub(crate) fn advance_commit(&mut self, out: &mut Vec<Effect>) {
        let index = self.quorum_value(|id| self.match_index(id).unwrap_or(0));
        let Some(index) = index.filter(|index| *index > self.commit_index) else {
            return;
        };
        if self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        let previous_commit = self.commit_index;
        self.commit_index = index;
        self.apply(out);
        self.finish_membership_change(previous_commit, out);
        self.complete_reads(out);
    }

    /// Returns the largest value that a majority of the voters have reached; `None` without voters.
    pub(crate) fn quorum_value<T, F>(&self, value: F) -> Option<T>
    where
        T: Ord + Copy,
        F: Fn(MemberId) -> T,
    {
        let voters = &self.members().voters;
        let mut values: Vec<T> = voters.iter().map(|id| value(*id)).collect();
        values.sort_unstable();
        let minority = voters.len().checked_sub(1)? / 2;
        values.get(minority).copied()
    }
}
