//! Commands that were proposed and have not taken effect yet.

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

/// Time after which a proposal without effect is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Subject of a command. At most one command per subject is pending.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Subject {
    Barrier,
    OpenVmSession(VmId, Incarnation),
    EndVmSession(VmId),
    Target(TargetId),
    Sender(TargetId),
    Shard(ShardRef),
    Records(ServiceName),
    RecordsComplete(ServiceName),
}

#[derive(Debug, Default)]
pub(super) struct Pending {
    /// Version of the subject at the time of the proposal, and that time.
    proposed: BTreeMap<Subject, (u64, Duration)>,
}

impl Pending {
    /// Returns whether a command on `subject` is pending.
    pub(super) fn is_pending(&self, subject: &Subject, version: u64, now: Duration) -> bool {
        self.proposed
            .get(subject)
            .is_some_and(|&(v, at)| v == version && now < at + RETRY_INTERVAL)
    }

    /// Registers a proposal on `subject`; returns false if one for the same `version` is pending.
    pub(super) fn register(&mut self, subject: Subject, version: u64, now: Duration) -> bool {
        if self.is_pending(&subject, version, now) {
            return false;
        }
        self.proposed.insert(subject, (version, now));
        true
    }

    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.proposed
            .retain(|_, (_, at)| now < *at + RETRY_INTERVAL);
    }
}
