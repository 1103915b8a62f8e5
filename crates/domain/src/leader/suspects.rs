//! Reports of senders that a target does not answer.
//!
//! Reports can mislead, so they only keep new shards away from a target for a while. What a
//! target owns is taken from it when its lease has run out.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_types::{
    TargetId,
    VmId, //
};

/// Time for which a suspected target gets no new shards.
const HOLD: Duration = Duration::from_secs(2);

/// Time within which reports of two VMs count together.
const TOGETHER: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
pub(super) struct Suspects {
    reports: BTreeMap<(TargetId, VmId), Duration>,
    held: BTreeMap<TargetId, Duration>,
}

impl Suspects {
    /// Notes a report of `vm`. One of the target's `sender` counts alone, others count in pairs.
    pub(super) fn report(
        &mut self,
        target: TargetId,
        vm: VmId,
        sender: Option<VmId>,
        now: Duration,
    ) {
        self.reports.insert((target, vm), now);
        let recent = self
            .reports
            .range((target, VmId::MIN)..=(target, VmId::MAX))
            .filter(|&(_, &at)| now < at + TOGETHER)
            .count();
        if sender == Some(vm) || recent >= 2 {
            self.held.insert(target, now + HOLD);
        }
    }

    pub(super) fn is_suspect(&self, target: TargetId, now: Duration) -> bool {
        self.held.get(&target).is_some_and(|&until| now < until)
    }

    pub(super) fn forget(&mut self, now: Duration) {
        self.reports.retain(|_, at| now < *at + TOGETHER);
        self.held.retain(|_, until| now < *until);
    }
}
