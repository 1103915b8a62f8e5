//! Handling of entries and snapshots from the leader.

use crate::{
    log::{
        self,
        MAX_INDEX, //
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
    /// Accepts `from` as the leader of `term`. Returns whether to process its message.
    pub(crate) fn accept_leader(
        &mut self,
        from: MemberId,
        term: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        if term < self.hard_state.term {
            // The reply carries round 0, which no leader uses. If it carried the message's round, a
            // leader elected again in a later term would count it as an acknowledgement of a round
            // of that term.
            self.reply_append(from, false, 0, 0, out);
            return false;
        }
        let other_leader = self.leader.is_some_and(|leader| leader != from);
        if term == self.hard_state.term && (self.role == Role::Leader || other_leader) {
            return false;
        }
        self.become_follower(term, Some(from), out);
        self.reset_election_deadline();
        self.vote_after = self.vote_after.max(self.now + self.config.lease);
        true
    }

    /// Handles an append; `prev` is the index and term of the entry before the first new one.
    pub(crate) fn on_append_entries(
        &mut self,
        from: MemberId,
        prev: (u64, u64),
        mut entries: Vec<Entry>,
        commit: u64,
        round: u64,
        out: &mut Vec<Effect>,
    ) {
        let (prev_index, prev_term) = prev;
        if !log::is_contiguous(prev_index, prev_term, &entries, self.hard_state.term) {
            return;
        }
        if self.log.snapshot().is_none() {
            self.reply_append(from, false, 0, round, out);
            return;
        }
        let last = prev_index + entries.len() as u64;
        // Committed entries are in the log of every leader of this term or a later one, so only
        // uncommitted ones have to be compared.
        if prev_index >= self.commit_index && self.log.term(prev_index) != Some(prev_term) {
            let hint = self.conflict_hint(prev_index);
            self.reply_append(from, false, hint, round, out);
            return;
        }
        let matching = entries
            .iter()
            .take_while(|entry| {
                entry.index <= self.commit_index || self.log.term(entry.index) == Some(entry.term)
            })
            .count();
        entries.drain(..matching);
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
        self.commit_index = self.commit_index.max(commit.min(last));
        self.reply_append(from, true, last, round, out);
        self.apply(out);
    }

    /// Returns the index from which the leader should resend after a mismatch at `prev_index`.
    fn conflict_hint(&self, prev_index: u64) -> u64 {
        let last = self.log.last_index();
        if prev_index > last {
            return last + 1;
        }
        self.log
            .first_of_term(prev_index)
            .max(self.commit_index + 1)
    }

    pub(crate) fn on_install_snapshot(
        &mut self,
        from: MemberId,
        snapshot: Snapshot,
        round: u64,
        out: &mut Vec<Effect>,
    ) {
        let index = snapshot.index;
        let valid = index <= MAX_INDEX
            && snapshot.term <= self.hard_state.term
            && (index == 0) == (snapshot.term == 0);
        if !valid || snapshot.members.voters.is_empty() {
            return;
        }
        if self.log.snapshot().is_none() || index > self.commit_index {
            let discard_log = self.log.install(snapshot.clone());
            self.commit_index = index;
            self.applied_index = index;
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
