//! Pre-votes, votes and role changes.

use crate::{
    raft::Raft,
    replication::LeaderState,
    types::{
        DurableWrite,
        Effect,
        HardState,
        MemberId,
        Message,
        Payload,
        Role, //
    },
};

/// Number of election timeouts that a non-voter waits longer than a voter before it starts an
/// election, so that a voter that can win is elected first.
const NON_VOTER_EXTRA_TIMEOUTS: u32 = 2;
/// Number of election timeouts that a leader that has resigned waits longer than other voters. With
/// one, its election deadline is at least two timeouts away, and those of the others, which heard
/// from it, at most two.
const RESIGNED_EXTRA_TIMEOUTS: u32 = 1;

impl Raft {
    /// Starts an election with a pre-vote, or without one if this is the only voter.
    ///
    /// A non-voter (a learner, or a member whose removal is not known to be committed) may hold the
    /// only log that is complete enough to be elected, because a failed leader may have reached no
    /// other member. It starts an election later than voters do, and leads only until its log is
    /// committed.
    pub(crate) fn start_election(&mut self, out: &mut Vec<Effect>) {
        if !self.members().voters.contains(&self.config.id) {
            let earliest =
                self.election_deadline + self.config.election_timeout * NON_VOTER_EXTRA_TIMEOUTS;
            if self.now < earliest || !self.log.has_member(self.config.id, self.commit_index) {
                return;
            }
        }
        if self.is_sole_voter() {
            self.campaign(out);
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.report_role(out);
        self.request_votes(true, out);
    }

    /// Becomes a candidate in the next term.
    fn campaign(&mut self, out: &mut Vec<Effect>) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(self.config.id),
        };
        self.persist_hard_state(out);
        self.report_role(out);
        self.request_votes(false, out);
        self.count_votes(out);
    }

    fn request_votes(&mut self, pre_vote: bool, out: &mut Vec<Effect>) {
        match pre_vote {
            true => self.reset_pre_vote_deadline(),
            false => self.reset_election_deadline(),
        }
        self.votes = [self.config.id].into();
        let message = Message::RequestVote {
            term: self.hard_state.term + u64::from(pre_vote),
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            pre_vote,
        };
        for &to in &self.members().voters {
            if to != self.config.id {
                out.push(Effect::Send {
                    to,
                    message: message.clone(),
                });
            }
        }
    }

    /// Handles a vote request; `last` is the term and index of the candidate's last entry.
    pub(crate) fn on_request_vote(
        &mut self,
        from: MemberId,
        term: u64,
        last: (u64, u64),
        pre_vote: bool,
        out: &mut Vec<Effect>,
    ) {
        // A leader's lease may depend on this member's last reply. A member without a snapshot has
        // no log to compare with the candidate's.
        let leader_lease_active =
            self.now < self.vote_after || self.lease_expiry() > Some(self.now);
        if leader_lease_active || self.log.snapshot().is_none() || term < self.hard_state.term {
            self.reply_vote(from, self.hard_state.term, false, pre_vote, out);
            return;
        }
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        if pre_vote {
            let granted = up_to_date && term > self.hard_state.term;
            let term = if granted { term } else { self.hard_state.term };
            self.reply_vote(from, term, granted, pre_vote, out);
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None, out);
        }
        let can_vote = self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted = up_to_date && can_vote && self.leader.is_none();
        if granted {
            self.become_follower(term, None, out);
            if self.hard_state.voted_for.is_none() {
                self.hard_state.voted_for = Some(from);
                self.persist_hard_state(out);
            }
            self.reset_election_deadline();
        }
        self.reply_vote(from, self.hard_state.term, granted, pre_vote, out);
    }

    fn reply_vote(
        &self,
        to: MemberId,
        term: u64,
        granted: bool,
        pre_vote: bool,
        out: &mut Vec<Effect>,
    ) {
        out.push(Effect::Send {
            to,
            message: Message::VoteReply {
                term,
                granted,
                pre_vote,
            },
        });
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        from: MemberId,
        term: u64,
        granted: bool,
        pre_vote: bool,
        out: &mut Vec<Effect>,
    ) {
        if !(granted && pre_vote) && term > self.hard_state.term {
            self.become_follower(term, None, out);
            return;
        }
        let (role, election_term) = if pre_vote {
            (Role::PreCandidate, self.hard_state.term + 1)
        } else {
            (Role::Candidate, self.hard_state.term)
        };
        if granted && self.role == role && term == election_term {
            self.votes.insert(from);
            self.count_votes(out);
        }
    }

    fn count_votes(&mut self, out: &mut Vec<Effect>) {
        let voters = &self.members().voters;
        let count = self.votes.intersection(voters).count();
        if count * 2 <= voters.len() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(out),
            Role::Candidate => self.become_leader(out),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self, out: &mut Vec<Effect>) {
        self.role = Role::Leader;
        self.leader = Some(self.config.id);
        self.votes.clear();
        self.leader_state = Some(LeaderState::new(self.log.last_index() + 1));
        self.track_new_members();
        // Entries of earlier terms are committed only together with an entry of this term.
        self.append_entry(Payload::Noop, out);
        self.report_role(out);
        self.start_heartbeat_round(out);
        self.advance_commit(out);
    }

    /// Becomes a follower of `leader`, if known, in `term`, which must not be below the current
    /// term.
    pub(crate) fn become_follower(
        &mut self,
        term: u64,
        leader: Option<MemberId>,
        out: &mut Vec<Effect>,
    ) {
        if let Some(until) = self.lease_expiry() {
            // A former leader must not vote for another one before its own lease has expired.
            self.vote_after = self.vote_after.max(until);
        }
        let leader_state = self.leader_state.take();
        if leader_state.is_some() {
            self.reset_election_deadline();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        if term > self.hard_state.term {
            self.hard_state = HardState {
                term,
                voted_for: None,
            };
            self.persist_hard_state(out);
        }
        self.report_role(out);
        if let Some(state) = leader_state {
            state.drop_all(leader, out);
        }
    }

    /// Follows in the current term, unless this member does not lead.
    pub(crate) fn resign(&mut self, out: &mut Vec<Effect>) {
        if self.leader_state.is_none() {
            return;
        }
        self.become_follower(self.hard_state.term, None, out);
        if !self.is_sole_voter() {
            self.election_deadline += self.config.election_timeout * RESIGNED_EXTRA_TIMEOUTS;
        }
    }

    fn persist_hard_state(&self, out: &mut Vec<Effect>) {
        out.push(Effect::Persist(DurableWrite {
            hard_state: Some(self.hard_state),
            ..DurableWrite::default()
        }));
    }
}
