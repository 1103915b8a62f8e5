//! Changes of members, one at a time.

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
    pub(crate) fn change(&mut self, id: u64, change: MembershipChange, out: &mut Vec<Effect>) {
        match self.changed(change) {
            Some(members) => self.request(id, Payload::Members(members), out),
            None => self.drop_request(id, out),
        }
    }

    /// The members after `change`, or `None` if it is refused.
    fn changed(&self, change: MembershipChange) -> Option<Members> {
        let lead = self.lead.as_ref()?;
        let (index, members) = self.log.config();
        // Quorums of two configurations intersect only if they differ by one voter, so a change
        // waits until the one before it is committed in the term of this leader.
        if index > self.commit || self.commit < lead.first {
            return None;
        }
        let mut members = members.clone();
        let done = match change {
            MembershipChange::AddLearner(member) => {
                !members.voters.contains(&member) && members.learners.insert(member)
            }
            MembershipChange::Promote(member) => {
                let ready = self.match_index(member) >= Some(self.commit);
                ready && members.learners.remove(&member) && members.voters.insert(member)
            }
            MembershipChange::Remove(member) => {
                members.learners.remove(&member) || members.voters.remove(&member)
            }
        };
        (done && !members.voters.is_empty()).then_some(members)
    }

    /// Carries out what follows from a commit after which all changes are committed: members that
    /// left are told and forgotten, and a leader without a vote steps down.
    pub(crate) fn finish_change(&mut self, before: u64, out: &mut Vec<Effect>) {
        let (index, members) = self.log.config();
        let leaves = !members.voters.contains(&self.config.id);
        if index > self.commit || (index <= before && !leaves) {
            return;
        }
        let members = members.clone();
        let Some(lead) = &self.lead else { return };
        let kept = |id: &u64| members.voters.contains(id) || members.learners.contains(id);
        let left: Vec<u64> = lead
            .progress
            .keys()
            .copied()
            .filter(|id| leaves || !kept(id))
            .collect();
        for to in left {
            self.send(to, true, out);
        }
        if let Some(lead) = &mut self.lead {
            lead.progress.retain(|id, _| kept(id));
        }
        if leaves {
            self.become_follower(self.hard_state.term, None, out);
        }
    }
}
