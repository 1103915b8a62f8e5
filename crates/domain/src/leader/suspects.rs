//! Failure suspicion: reports of senders that a target does not respond.
//!
//! Reports can be wrong, so they only prevent new shards from being assigned to a target for some
//! time. The shards that a target owns are taken away only after its lease has expired.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_types::{
    TargetId,
    VmId, //
};

/// Time for which a suspected target is assigned no new shards.
const SUSPICION_TIME: Duration = Duration::from_secs(2);

/// Time within which reports of two VMs corroborate each other.
const REPORT_WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
pub(super) struct Suspects {
    reports: BTreeMap<(TargetId, VmId), Duration>,
    suspected_until: BTreeMap<TargetId, Duration>,
}

impl Suspects {
    /// Records a report of `vm`. A report of the target's `sender` is sufficient; otherwise two VMs
    /// must report the target.
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
            .filter(|&(_, &at)| now < at + REPORT_WINDOW)
            .count();
        if sender == Some(vm) || recent >= 2 {
            self.suspected_until.insert(target, now + SUSPICION_TIME);
        }
    }

    pub(super) fn is_suspect(&self, target: TargetId, now: Duration) -> bool {
        self.suspected_until
            .get(&target)
            .is_some_and(|&until| now < until)
    }

    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.reports.retain(|_, at| now < *at + REPORT_WINDOW);
        self.suspected_until.retain(|_, until| now < *until);
    }
}
