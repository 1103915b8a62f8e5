//! Pre-vote, votes and changes of role.

use crate::{
    raft::Raft,
    replication::Lead,
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

/// Least election times that a member without a vote waits longer than a voter, so that a voter
/// that can win does so first.
const PATIENCE: u32 = 2;

impl Raft {
    /// Starts a pre-vote.
    ///
    /// A member without a vote, a learner or one whose removal is not known to be committed, may
    /// hold the only log that the voters accept: a lost leader may have reached no other member.
    /// It stands for election late, and leads only until its log is committed.
    pub(crate) fn call_election(&mut self, out: &mut Vec<Effect>) {
        if !self.members().voters.contains(&self.config.id) {
            let late = self.deadline + self.config.election_timeout * PATIENCE;
            if self.now < late || !self.log.has_member(self.config.id, self.commit) {
                return;
            }
        }
        if self.is_sole_voter() {
            self.campaign(out);
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.show(out);
        self.ask_votes(true, out);
    }

    /// Stands for election in the next term.
    fn campaign(&mut self, out: &mut Vec<Effect>) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(self.config.id),
        };
        self.persist_hard(out);
        self.show(out);
        self.ask_votes(false, out);
        self.count_votes(out);
    }

    fn ask_votes(&mut self, pre_vote: bool, out: &mut Vec<Effect>) {
        match pre_vote {
            true => self.retry_soon(),
            false => self.reset_deadline(),
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

    /// `last` is the term and the index of the candidate's last entry.
    pub(crate) fn on_vote(
        &mut self,
        from: MemberId,
        term: u64,
        last: (u64, u64),
        pre_vote: bool,
        out: &mut Vec<Effect>,
    ) {
        // A leader may rely on this member's last answer for the time of a lease. A member
        // that starts from nothing cannot judge the candidate's log.
        let sticky = self.now < self.quiet || self.lease_expiry() > Some(self.now);
        if sticky || self.log.snapshot().is_none() || term < self.hard_state.term {
            self.reply_vote(from, self.hard_state.term, false, pre_vote, out);
            return;
        }
        let complete = last >= (self.log.last_term(), self.log.last_index());
        if pre_vote {
            let granted = complete && term > self.hard_state.term;
            let term = if granted { term } else { self.hard_state.term };
            self.reply_vote(from, term, granted, pre_vote, out);
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None, out);
        }
        let free = self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted = complete && free && self.leader.is_none();
        if granted {
            self.become_follower(term, None, out);
            if self.hard_state.voted_for.is_none() {
                self.hard_state.voted_for = Some(from);
                self.persist_hard(out);
            }
            self.reset_deadline();
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
        let (role, election) = if pre_vote {
            (Role::PreCandidate, self.hard_state.term + 1)
        } else {
            (Role::Candidate, self.hard_state.term)
        };
        if granted && self.role == role && term == election {
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
        self.lead = Some(Lead::new(self.log.last_index() + 1));
        self.follow_members();
        // Entries of earlier terms are committed only together with one of this term.
        self.append(Payload::Noop, out);
        self.show(out);
        self.start_round(out);
        self.advance(out);
    }

    /// Follows `leader`, or nobody yet, in `term`, which is not below the present one.
    pub(crate) fn become_follower(
        &mut self,
        term: u64,
        leader: Option<MemberId>,
        out: &mut Vec<Effect>,
    ) {
        if let Some(until) = self.lease_expiry() {
            // What this member promised as a leader also binds its own vote.
            self.quiet = self.quiet.max(until);
        }
        let lead = self.lead.take();
        if lead.is_some() {
            self.reset_deadline();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        if term > self.hard_state.term {
            self.hard_state = HardState {
                term,
                voted_for: None,
            };
            self.persist_hard(out);
        }
        self.show(out);
        if let Some(lead) = lead {
            lead.drop_requests(leader, out);
        }
    }

    fn persist_hard(&self, out: &mut Vec<Effect>) {
        out.push(Effect::Persist(DurableWrite {
            hard_state: Some(self.hard_state),
            ..DurableWrite::default()
        }));
    }
}
