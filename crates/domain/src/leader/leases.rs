//! Lease times of VMs and targets, counted from receipt of a renewal.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use camphordale_types::{
    SessionId,
    TargetId, //
};

use crate::{
    LeaseConfig,
    State, //
};

#[derive(Debug)]
pub(super) struct Leases {
    config: LeaseConfig,
    /// Everybody counts as renewed at this time.
    base: Duration,
    /// Last renewal by VM session.
    vms: BTreeMap<SessionId, Duration>,
    /// When VM sessions ended by the word of their VM.
    left: BTreeMap<SessionId, Duration>,
    /// Last renewal by target session.
    targets: BTreeMap<TargetId, Duration>,
    /// Targets seen after the election, with the time of that.
    joined: BTreeMap<TargetId, Duration>,
    /// What was last seen of each target's sender.
    senders: BTreeMap<TargetId, Seen>,
    layout: Option<u64>,
}

/// The sender of a target as last seen.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    holder: Option<SessionId>,
    /// End of the leases of all senders before `holder`.
    former_end: Duration,
}

impl Leases {
    pub(super) fn new(config: LeaseConfig, now: Duration) -> Self {
        Leases {
            config,
            base: now,
            vms: BTreeMap::new(),
            left: BTreeMap::new(),
            targets: BTreeMap::new(),
            joined: BTreeMap::new(),
            senders: BTreeMap::new(),
            layout: None,
        }
    }

    /// Counts everybody as renewed at `now`.
    pub(super) fn renew_all(&mut self, now: Duration) {
        self.base = self.base.max(now);
    }

    pub(super) fn renew_vm(&mut self, session: SessionId, now: Duration) {
        self.vms.insert(session, now);
    }

    pub(super) fn renew_target(&mut self, target: TargetId, now: Duration) {
        self.targets.insert(target, now);
    }

    /// Notes that a VM has given the lease of a session up. Later renewals of it come from
    /// datagrams that were on their way.
    pub(super) fn leave(&mut self, session: SessionId, now: Duration) {
        self.left.entry(session).or_insert(now);
    }

    /// Returns the time at which the lease of a VM session has certainly run out.
    pub(super) fn vm_end(&self, session: SessionId) -> Duration {
        match self.left.get(&session) {
            Some(&at) => at,
            None => self.vm_renewed(session) + self.config.vm_lease,
        }
    }

    /// Returns the last renewal of a VM session.
    pub(super) fn vm_renewed(&self, session: SessionId) -> Duration {
        self.vms
            .get(&session)
            .map_or(self.base, |&at| at.max(self.base))
    }

    /// Returns the time at which the lease of a target session has certainly run out.
    pub(super) fn target_end(&self, target: TargetId) -> Duration {
        self.target_renewed(target) + self.config.target_lease
    }

    /// Returns the last renewal of a target session.
    pub(super) fn target_renewed(&self, target: TargetId) -> Duration {
        self.targets
            .get(&target)
            .map_or(self.base, |&at| at.max(self.base))
    }

    /// Returns the time since a target joined; none if it was there at the election.
    pub(super) fn age(&self, target: TargetId, now: Duration) -> Option<Duration> {
        self.joined.get(&target).map(|&at| now.saturating_sub(at))
    }

    /// Returns the time at which the leases of all senders of a target before the last one have
    /// run out.
    pub(super) fn former_end(&self, target: TargetId) -> Duration {
        self.senders
            .get(&target)
            .map_or(Duration::ZERO, |s| s.former_end)
    }

    /// Takes note of sessions and senders that are new in `state`.
    pub(super) fn observe(&mut self, state: &State, now: Duration) {
        if self.layout == Some(state.layout_index()) {
            return;
        }
        let first = self.layout.replace(state.layout_index()).is_none();
        for (_, session) in state.vms() {
            self.vms.entry(session.id).or_insert(now);
        }
        for target in state.targets() {
            let id = target.info.id;
            if !first && !self.targets.contains_key(&id) {
                self.joined.insert(id, now);
            }
            self.targets.entry(id).or_insert(now);
            let known = self.senders.get(&id).copied();
            if known.is_some_and(|seen| seen.holder == target.sender_session) {
                continue;
            }
            let mut seen = known.unwrap_or_default();
            if let Some(former) = target.previous_session {
                seen.former_end = seen.former_end.max(self.vm_end(former));
            }
            if known.is_some() && seen.holder != target.previous_session {
                // A sender in between was not seen; its lease is younger than this step.
                seen.former_end = seen.former_end.max(now + self.config.vm_lease);
            }
            seen.holder = target.sender_session;
            self.senders.insert(id, seen);
        }
        self.forget(state);
    }

    fn forget(&mut self, state: &State) {
        let used: BTreeSet<SessionId> = state
            .targets()
            .filter_map(|t| t.sender_session)
            .chain(state.vms().map(|(_, session)| session.id))
            .chain(state.vms().filter_map(|(_, session)| session.earlier))
            .collect();
        self.vms.retain(|id, _| used.contains(id));
        self.left.retain(|id, _| used.contains(id));
        self.targets.retain(|&id, _| state.target(id).is_some());
        self.joined.retain(|&id, _| state.target(id).is_some());
        self.senders.retain(|&id, _| state.target(id).is_some());
    }
}
