//! Members that do not catch up with the log.
//!
//! Under steady changes a member that works is always some entries behind. One that lags does not
//! reach, within the time in which it should catch up, the index that was committed at the beginning.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_raft::MemberId;

/// An index that a member has not reached yet.
struct Goal {
    index: u64,
    set_at: Duration,
    reported: bool,
}

/// Progress of the members that are behind the log.
#[derive(Default)]
pub(super) struct MemberLag(BTreeMap<MemberId, Goal>);

impl MemberLag {
    /// Records the index that a member has reached. Returns whether it lags from now on, if that has
    /// changed.
    pub(super) fn observe(
        &mut self,
        id: MemberId,
        (matched, committed): (u64, u64),
        limit: Duration,
        now: Duration,
    ) -> Option<bool> {
        let goal = self.0.entry(id).or_insert(Goal {
            index: committed,
            set_at: now,
            reported: false,
        });
        if matched >= goal.index {
            let reported = goal.reported;
            self.0.remove(&id);
            return reported.then_some(false);
        }
        let is_late = now.saturating_sub(goal.set_at) > limit && !goal.reported;
        goal.reported |= is_late;
        is_late.then_some(true)
    }

    /// Forgets members that have left the group.
    pub(super) fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(MemberId) -> bool,
    {
        self.0.retain(|id, _| keep(*id));
    }

    /// Number of members that lag.
    pub(super) fn count(&self) -> usize {
        self.0.values().filter(|goal| goal.reported).count()
    }
}
