//! The leader's view of the followers, and commit by counting.

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
        DurableWrite, //
        Effect,
        Entry,
        MemberId,
        Message,
        Payload,
    },
};

/// State of a leader.
#[derive(Clone, Debug)]
pub(crate) struct Lead {
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    /// Index of the first entry of the leader's term.
    pub(crate) first: u64,
    /// Ids of proposals and changes by the index of their entry.
    pub(crate) requests: BTreeMap<u64, u64>,
    /// Latest heartbeat round.
    pub(crate) round: u64,
    /// Rounds that no quorum has answered yet, with their start.
    pub(crate) rounds: VecDeque<(u64, Duration)>,
    /// Latest round that a quorum answered, with its start.
    pub(crate) confirmed: Option<(u64, Duration)>,
    /// When the next round is due.
    pub(crate) beat: Duration,
    /// Ids of reads with the round that they need, in order.
    pub(crate) reads: VecDeque<(u64, u64)>,
}

/// What a leader knows of a follower.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last index known to match.
    pub(crate) matched: u64,
    /// Next index to send; 0 if the follower has nothing and needs the snapshot.
    pub(crate) next: u64,
    /// Whether entries were sent and not answered.
    waiting: bool,
    /// When the snapshot was sent last.
    installed: Option<Duration>,
    /// Latest round answered.
    pub(crate) round: u64,
    /// Time of the latest answer.
    pub(crate) heard: Duration,
}

impl Lead {
    pub(crate) fn new(first: u64) -> Lead {
        Lead {
            progress: BTreeMap::new(),
            first,
            requests: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            confirmed: None,
            beat: Duration::ZERO,
            reads: VecDeque::new(),
        }
    }

    /// Reports that the requests of a former leader end without an answer.
    pub(crate) fn drop_requests(self, leader: Option<MemberId>, out: &mut Vec<Effect>) {
        let sent = self.requests.into_values().map(|id| (id, true));
        let reads = self.reads.into_iter().map(|(id, _)| (id, false));
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
        if self.lead.is_none() {
            self.drop_request(id, out);
            return;
        }
        self.request(id, Payload::Data(data), out);
    }

    /// Appends the entry of a request and sends it.
    pub(crate) fn request(&mut self, id: u64, payload: Payload, out: &mut Vec<Effect>) {
        let index = self.append(payload, out);
        if let Some(lead) = &mut self.lead {
            lead.requests.insert(index, id);
        }
        self.follow_members();
        self.send_all(false, out);
        self.advance(out);
    }

    /// Appends an entry of the present term to the leader's own log.
    pub(crate) fn append(&mut self, payload: Payload, out: &mut Vec<Effect>) -> u64 {
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

    /// Starts to replicate to members that are new in the configuration. Members that left are
    /// served until the change is committed, so that they learn of it.
    pub(crate) fn follow_members(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        let members = self.log.config().1;
        for &id in members.voters.union(&members.learners) {
            if id != self.config.id {
                lead.progress.entry(id).or_insert(Progress {
                    matched: 0,
                    next: lead.first,
                    waiting: false,
                    installed: None,
                    round: 0,
                    heard: self.now,
                });
            }
        }
    }

    /// Sends entries, or with `beat` at least a heartbeat, to every follower.
    pub(crate) fn send_all(&mut self, beat: bool, out: &mut Vec<Effect>) {
        let Some(lead) = &self.lead else { return };
        let ids: Vec<MemberId> = lead.progress.keys().copied().collect();
        for to in ids {
            self.send(to, beat, out);
        }
    }

    /// Sends the next entries or the snapshot to a follower that is not waiting. With `beat`, the
    /// entries in flight are sent again, and a message is sent in any case.
    pub(crate) fn send(&mut self, to: MemberId, beat: bool, out: &mut Vec<Effect>) {
        let Some(lead) = &mut self.lead else { return };
        let Some(progress) = lead.progress.get_mut(&to) else {
            return;
        };
        let (term, commit, round) = (self.hard_state.term, self.commit, lead.round);
        let prev = progress
            .next
            .checked_sub(1)
            .filter(|prev| *prev >= self.log.base_index());
        let (prev_index, entries) = match (prev, self.log.snapshot()) {
            (None, Some(snapshot)) => {
                // A snapshot may take longer to arrive than a heartbeat interval.
                let due = |sent| self.now.saturating_sub(sent) >= self.config.election_timeout;
                if progress.installed.is_none_or(due) {
                    progress.installed = Some(self.now);
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
                progress.installed = None;
                if progress.waiting && !beat {
                    return;
                }
                let entries = self.log.slice(prev + 1, self.config.max_batch.max(1));
                progress.waiting = !entries.is_empty();
                (prev, entries)
            }
            (None, None) => return,
        };
        if !beat && entries.is_empty() {
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
        let Some(lead) = &mut self.lead else { return };
        let Some(progress) = lead.progress.get_mut(&from) else {
            return;
        };
        let stale = reply.term < self.hard_state.term || reply.round == 0;
        if stale || reply.round > lead.round || (reply.success && reply.index > last) {
            return;
        }
        progress.heard = self.now;
        progress.round = progress.round.max(reply.round);
        // Answers that bring nothing new do not cause a message, so that duplicates do not
        // multiply.
        let next = if reply.success {
            reply.index.max(progress.matched) + 1
        } else if reply.index == 0 && progress.matched == 0 {
            0
        } else {
            reply.index.min(progress.next).max(progress.matched + 1)
        };
        // The snapshot of a new group ends at index 0, so `matched` does not grow with it.
        let new = reply.index > progress.matched || progress.next == 0;
        let grown = reply.success && new;
        if grown {
            progress.matched = progress.matched.max(reply.index);
        }
        if grown || (!reply.success && next < progress.next) {
            progress.next = next;
            progress.waiting = false;
        }
        if grown {
            self.advance(out);
        }
        self.confirm(out);
        self.send(from, false, out);
    }

    /// Commits what a quorum of voters has, if it is of the present term.
    pub(crate) fn advance(&mut self, out: &mut Vec<Effect>) {
        let index = self.quorum(|id| self.match_index(id).unwrap_or(0));
        let Some(index) = index.filter(|index| *index > self.commit) else {
            return;
        };
        if self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        let before = self.commit;
        self.commit = index;
        self.apply(out);
        self.finish_change(before, out);
        self.answer_reads(out);
    }

    /// The largest value that more than half of the voters reach.
    pub(crate) fn quorum<T, F>(&self, value: F) -> Option<T>
    where
        T: Ord + Copy,
        F: Fn(MemberId) -> T,
    {
        let voters = &self.members().voters;
        let mut values: Vec<T> = voters.iter().map(|id| value(*id)).collect();
        values.sort_unstable();
        let missing = voters.len().checked_sub(1)? / 2;
        values.get(missing).copied()
    }
}
