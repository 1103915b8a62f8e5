//! Appends and snapshots from the leader.

use crate::{
    log::{
        self,
        LIMIT, //
    },
    raft::Raft,
    types::{
        AppendReply,
        DurableWrite,
        Effect,
        Entry,
        MemberId,
        Message,
        Role,
        Snapshot, //
    },
};

impl Raft {
    /// Follows `from` as the leader of `term`. Returns whether its message counts.
    pub(crate) fn follow(&mut self, from: MemberId, term: u64, out: &mut Vec<Effect>) -> bool {
        if term < self.hard_state.term {
            // Round 0 is never started. With the message's round, a leader that was elected again
            // would take this refusal for an answer to a round of its present term.
            self.reply_append(from, false, 0, 0, out);
            return false;
        }
        let other = self.leader.is_some_and(|leader| leader != from);
        if term == self.hard_state.term && (self.role == Role::Leader || other) {
            return false;
        }
        self.become_follower(term, Some(from), out);
        self.reset_deadline();
        self.quiet = self.quiet.max(self.now + self.config.lease);
        true
    }

    /// `prev` is the index and the term before the first entry.
    pub(crate) fn on_append(
        &mut self,
        from: MemberId,
        prev: (u64, u64),
        mut entries: Vec<Entry>,
        commit: u64,
        round: u64,
        out: &mut Vec<Effect>,
    ) {
        let (prev_index, prev_term) = prev;
        if !log::continues(prev_index, prev_term, &entries, self.hard_state.term) {
            return;
        }
        if self.log.snapshot().is_none() {
            self.reply_append(from, false, 0, round, out);
            return;
        }
        let last = prev_index + entries.len() as u64;
        // Committed entries are the same in the log of every leader of this term or a later one.
        if prev_index >= self.commit && self.log.term(prev_index) != Some(prev_term) {
            let hint = self.conflict(prev_index);
            self.reply_append(from, false, hint, round, out);
            return;
        }
        let known = entries
            .iter()
            .take_while(|entry| {
                entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term)
            })
            .count();
        entries.drain(..known);
        if let Some(first) = entries.first() {
            self.log.truncate(first.index);
            for entry in &entries {
                self.log.push(entry.clone());
            }
            out.push(Effect::Persist(DurableWrite {
                entries,
                ..DurableWrite::default()
            }));
        }
        self.commit = self.commit.max(commit.min(last));
        self.reply_append(from, true, last, round, out);
        self.apply(out);
    }

    /// Where the leader should go on after a mismatch at `prev_index`.
    fn conflict(&self, prev_index: u64) -> u64 {
        let last = self.log.last_index();
        if prev_index > last {
            return last + 1;
        }
        self.log.run_start(prev_index).max(self.commit + 1)
    }

    pub(crate) fn on_install(
        &mut self,
        from: MemberId,
        snapshot: Snapshot,
        round: u64,
        out: &mut Vec<Effect>,
    ) {
        let index = snapshot.index;
        let ordered = index <= LIMIT
            && snapshot.term <= self.hard_state.term
            && (index == 0) == (snapshot.term == 0);
        if !ordered || snapshot.members.voters.is_empty() {
            return;
        }
        if self.log.snapshot().is_none() || index > self.commit {
            let discard_log = self.log.install(snapshot.clone());
            self.commit = index;
            self.applied = index;
            out.push(Effect::Persist(DurableWrite {
                snapshot: Some(snapshot.clone()),
                discard_log,
                ..DurableWrite::default()
            }));
            out.push(Effect::RestoreSnapshot(snapshot));
        }
        self.reply_append(from, true, index, round, out);
    }

    fn reply_append(
        &self,
        to: MemberId,
        success: bool,
        index: u64,
        round: u64,
        out: &mut Vec<Effect>,
    ) {
        out.push(Effect::Send {
            to,
            message: Message::AppendReply(AppendReply {
                term: self.hard_state.term,
                success,
                index,
                round,
            }),
        });
    }
}
