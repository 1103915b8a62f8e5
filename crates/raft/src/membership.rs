//! Membership changes by one member at a time.

use crate::{
    raft::Raft,
    types::{
        Effect,
        Members,
        MembershipChange,
        Payload, //
    },
};

impl Raft {
    pub(crate) fn propose_change(
        &mut self,
        id: u64,
        change: MembershipChange,
        out: &mut Vec<Effect>,
    ) {
        match self.members_after(change) {
            Some(members) => self.append_request(id, Payload::Members(members), out),
            None => self.drop_request(id, out),
        }
    }

    /// Returns the members after `change`, or `None` if the change is not allowed.
    fn members_after(&self, change: MembershipChange) -> Option<Members> {
        let leader = self.leader_state.as_ref()?;
        let (index, members) = self.log.latest_members();
        // Quorums of two configurations are certain to intersect only if the configurations differ
        // by one voter. A change is therefore refused until the previous one is committed and this
        // leader has committed an entry of its own term.
        if index > self.commit_index || self.commit_index < leader.first_index {
            return None;
        }
        let mut members = members.clone();
        let valid = match change {
            MembershipChange::AddLearner(member) => {
                !members.voters.contains(&member) && members.learners.insert(member)
            }
            MembershipChange::Promote(member) => {
                let caught_up = self.match_index(member) >= Some(self.commit_index);
                caught_up && members.learners.remove(&member) && members.voters.insert(member)
            }
            MembershipChange::Remove(member) => {
                members.learners.remove(&member) || members.voters.remove(&member)
            }
        };
        (valid && !members.voters.is_empty()).then_some(members)
    }

    /// Completes a membership change once it is committed: sends the commit index to removed
    /// members and stops replicating to them. A leader that is no longer a voter steps down.
    pub(crate) fn finish_membership_change(&mut self, previous_commit: u64, out: &mut Vec<Effect>) {
        let (index, members) = self.log.latest_members();
        let non_voter = !members.voters.contains(&self.config.id);
        if index > self.commit_index || (index <= previous_commit && !non_voter) {
            return;
        }
        let members = members.clone();
        let Some(leader) = &self.leader_state else {
            return;
        };
        let kept = |id: &u64| members.voters.contains(id) || members.learners.contains(id);
        let removed: Vec<u64> = leader
            .progress
            .keys()
            .copied()
            .filter(|id| non_voter || !kept(id))
            .collect();
        for to in removed {
            self.replicate_to(to, true, out);
        }
        if let Some(leader) = &mut self.leader_state {
            leader.progress.retain(|id, _| kept(id));
        }
        if non_voter {
            self.become_follower(self.hard_state.term, None, out);
        }
    }
}
