//! Heartbeat rounds: the leader's lease and linearizable reads.

use std::time::Duration;

use crate::{
    raft::Raft,
    replication::LeaderState,
    types::Effect, //
};

impl LeaderState {
    pub(crate) fn lease_expiry(&self, lease: Duration) -> Option<Duration> {
        self.confirmed_round.map(|(_, start)| start + lease)
    }
}

impl Raft {
    /// Steps down if no quorum has replied for two election timeouts; otherwise starts the next
    /// heartbeat round when it is due.
    pub(crate) fn tick_leader(&mut self, out: &mut Vec<Effect>) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let replied_at =
            self.quorum_value(|id| leader.progress.get(&id).map_or(self.now, |p| p.replied_at));
        let silence = replied_at.map(|at| self.now.saturating_sub(at));
        if silence.is_none_or(|silence| silence >= self.config.election_timeout * 2) {
            self.become_follower(self.hard_state.term, None, out);
        } else if self.now >= leader.next_heartbeat {
            self.start_heartbeat_round(out);
        }
    }

    pub(crate) fn start_heartbeat_round(&mut self, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader.round += 1;
        leader.open_rounds.push_back((leader.round, self.now));
        leader.next_heartbeat = self.now + self.config.heartbeat_interval;
        self.replicate_to_all(true, out);
        self.confirm_rounds(out);
    }

    /// Updates the latest round acknowledged by a quorum and completes the reads that it confirms.
    pub(crate) fn confirm_rounds(&mut self, out: &mut Vec<Effect>) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let round = self.quorum_value(|id| match leader.progress.get(&id) {
            Some(progress) => progress.acked_round,
            None if id == self.config.id => leader.round,
            None => 0,
        });
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        while let Some(front) = leader.open_rounds.front() {
            if round < Some(front.0) {
                break;
            }
            leader.confirmed_round = leader.open_rounds.pop_front();
        }
        self.complete_reads(out);
        let read_waits = self.leader_state.as_ref().is_some_and(|leader| {
            let last = leader.pending_reads.back();
            leader.open_rounds.is_empty() && last.is_some_and(|(_, round)| *round > leader.round)
        });
        if read_waits {
            self.start_heartbeat_round(out);
        }
    }

    /// Queues a read until a quorum acknowledges a round that started after the read arrived.
    pub(crate) fn read(&mut self, id: u64, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader_state else {
            self.drop_request(id, out);
            return;
        };
        leader.pending_reads.push_back((id, leader.round + 1));
        // While a round is open, reads are batched for the next one.
        if leader.open_rounds.is_empty() {
            self.start_heartbeat_round(out);
        }
    }

    /// Completes the reads whose round is confirmed. Before the first commit of its term a leader
    /// does not know which entries are committed, so reads wait for that commit.
    pub(crate) fn complete_reads(&mut self, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let confirmed = leader.confirmed_round.map_or(0, |(round, _)| round);
        if self.commit_index < leader.first_index {
            return;
        }
        while leader
            .pending_reads
            .front()
            .is_some_and(|(_, round)| *round <= confirmed)
        {
            if let Some((id, _)) = leader.pending_reads.pop_front() {
                out.push(Effect::ReadReady {
                    id,
                    index: self.commit_index,
                });
            }
        }
    }
}
