//! Heartbeat rounds: the leader's lease and linearizable reads.

use std::time::Duration;

use crate::{
    raft::Raft,
    replication::Lead,
    types::Effect, //
};

impl Lead {
    pub(crate) fn until(&self, lease: Duration) -> Option<Duration> {
        self.confirmed.map(|(_, start)| start + lease)
    }
}

impl Raft {
    /// Steps down without a quorum, or starts the next heartbeat round when it is due.
    pub(crate) fn tick_leader(&mut self, out: &mut Vec<Effect>) {
        let Some(lead) = &self.lead else { return };
        let heard = self.quorum(|id| lead.progress.get(&id).map_or(self.now, |p| p.heard));
        let silence = heard.map(|heard| self.now.saturating_sub(heard));
        if silence.is_none_or(|silence| silence >= self.config.election_timeout * 2) {
            self.become_follower(self.hard_state.term, None, out);
        } else if self.now >= lead.beat {
            self.start_round(out);
        }
    }

    pub(crate) fn start_round(&mut self, out: &mut Vec<Effect>) {
        let Some(lead) = &mut self.lead else { return };
        lead.round += 1;
        lead.rounds.push_back((lead.round, self.now));
        lead.beat = self.now + self.config.heartbeat_interval;
        self.send_all(true, out);
        self.confirm(out);
    }

    /// Notes the latest round that a quorum answered.
    pub(crate) fn confirm(&mut self, out: &mut Vec<Effect>) {
        let Some(lead) = &self.lead else { return };
        let round = self.quorum(|id| match lead.progress.get(&id) {
            Some(progress) => progress.round,
            None if id == self.config.id => lead.round,
            None => 0,
        });
        let Some(lead) = &mut self.lead else { return };
        while let Some(front) = lead.rounds.front() {
            if round < Some(front.0) {
                break;
            }
            lead.confirmed = lead.rounds.pop_front();
        }
        self.answer_reads(out);
        let waiting = self.lead.as_ref().is_some_and(|lead| {
            let last = lead.reads.back();
            lead.rounds.is_empty() && last.is_some_and(|(_, round)| *round > lead.round)
        });
        if waiting {
            self.start_round(out);
        }
    }

    /// A read is answered after a round that started after it arrived.
    pub(crate) fn read(&mut self, id: u64, out: &mut Vec<Effect>) {
        let Some(lead) = &mut self.lead else {
            self.drop_request(id, out);
            return;
        };
        lead.reads.push_back((id, lead.round + 1));
        // While a round is open, reads gather for the next one.
        if lead.rounds.is_empty() {
            self.start_round(out);
        }
    }

    /// Answers reads whose round is confirmed. Before the first commit of its term a leader does
    /// not know which entries are committed.
    pub(crate) fn answer_reads(&mut self, out: &mut Vec<Effect>) {
        let Some(lead) = &mut self.lead else { return };
        let confirmed = lead.confirmed.map_or(0, |(round, _)| round);
        if self.commit < lead.first {
            return;
        }
        while lead
            .reads
            .front()
            .is_some_and(|(_, round)| *round <= confirmed)
        {
            if let Some((id, _)) = lead.reads.pop_front() {
                out.push(Effect::ReadReady {
                    id,
                    index: self.commit,
                });
            }
        }
    }
}
