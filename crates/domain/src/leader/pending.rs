//! Commands that were proposed and whose effect is not seen yet.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_types::{
    Incarnation,
    ServiceName,
    ShardRef,
    TargetId,
    VmId, //
};

/// Time after which a proposal without effect is made again.
const RETRY: Duration = Duration::from_millis(200);

/// What a command is about. At most one command about a subject is under way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Subject {
    Barrier,
    VmUp(VmId, Incarnation),
    VmDown(VmId),
    Target(TargetId),
    Sender(TargetId),
    Shard(ShardRef),
    Records(ServiceName),
    Settle(ServiceName),
}

#[derive(Debug, Default)]
pub(super) struct Pending {
    /// Version of the subject that the proposal was made for, and its time.
    proposed: BTreeMap<Subject, (u64, Duration)>,
}

impl Pending {
    /// Tells whether a command about `subject` is under way.
    pub(super) fn waits(&self, subject: &Subject, version: u64, now: Duration) -> bool {
        self.proposed
            .get(subject)
            .is_some_and(|&(v, at)| v == version && now < at + RETRY)
    }

    /// Notes a proposal about `subject`, unless one for the same `version` is under way.
    pub(super) fn admit(&mut self, subject: Subject, version: u64, now: Duration) -> bool {
        if self.waits(&subject, version, now) {
            return false;
        }
        self.proposed.insert(subject, (version, now));
        true
    }

    pub(super) fn forget(&mut self, now: Duration) {
        self.proposed.retain(|_, (_, at)| now < *at + RETRY);
    }
}
